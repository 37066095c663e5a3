"""A model of a database that warms up, for comparing ways to pace it.

The model is a discrete-event simulation without a network or a clock. Callers' reads
and writes arrive at random at the database's home, which sends as many as its pace
allows and refuses those that would wait too long. A cold database can run fewer
statements at once than it has slots. Beyond this, all of them take longer, and the
database refuses statements above twice what it can run.
"""

import heapq
import itertools
import math
import random
from collections import deque
from typing import NamedTuple

from dragonflywing.decisions.pace import Result

READ_S = 0.008
WRITE_S = 0.014
WRITE_FRACTION = 0.3
# On a database that has just started, a statement takes this many times as long.
COLD_FACTOR = 1.6
# A statement takes the load to this power times as long if more run at once than the
# database can run; above 1, they are served more slowly than one after another.
OVERLOAD_EXPONENT = 1.5
MAX_WAIT_S = 0.3  # at the home
ANSWER_TIMEOUT_S = 0.3  # a statement without an answer for this long is lost
FAILED_S = 0.002  # a statement that fails does so at once
PROBE_PERIOD_S = 0.2  # between exchanges that need no slot
MEASURED_S = 0.5  # the window in which statements served are counted
RISEN = 0.9  # of the capacity


class Model(NamedTuple):
    """The database and its load; times in seconds.

    `sigma` is that of the log-normal durations; `tail` is the fraction of statements
    that take five times as long. `failing` is the fraction that fails. From
    `network_from_s` on, the round trip is `later_network_s`. `demand` is the load
    relative to the warm database's capacity.
    """

    slots: int = 4
    warmup_s: float = 8.0
    cold_fraction: float = 0.25
    sigma: float = 0.3
    tail: float = 0.02
    failing: float = 0.0
    network_s: float = 0.001
    later_network_s: float = 0.001
    network_from_s: float = math.inf
    demand: float = 1.2
    seconds: float = 20.0


class Report(NamedTuple):
    """What a run showed.

    `risen_s` is when 90% of the capacity was first served, infinity if it never was.
    `overshoot` is the highest load relative to what the database could run, `lost`
    the number of statements that it refused or that timed out there. `served_share`
    is relative to the capacity over the whole run. `series` has rows of
    (time, served a second, capacity a second, limit).
    """

    risen_s: float
    overshoot: float
    lost: int
    served_share: float
    least_limit: float
    series: list


def warmth(model, now):
    """Return how warm the database is, from 0 to 1."""
    return min(1.0, now / model.warmup_s) if model.warmup_s else 1.0


def runnable(model, now):
    """Return how many statements the database can run at once without delay."""
    cold = max(1.0, model.cold_fraction * model.slots)
    return cold + (model.slots - cold) * warmth(model, now)


def slowness(model, now):
    """Return how many times as long a statement takes as on a warm database."""
    return COLD_FACTOR - (COLD_FACTOR - 1) * warmth(model, now)


def _mean_factor(model):
    """Return the mean of the noise of durations."""
    return math.exp(model.sigma**2 / 2) * (1 + 4 * model.tail)


def capacity_per_s(model, now):
    """Return the statements a second that the database can serve."""
    mean_s = READ_S + WRITE_FRACTION * (WRITE_S - READ_S)
    mean_s *= _mean_factor(model) * slowness(model, now)
    # A slot of the home is in use during the round trip as well.
    return runnable(model, now) / (mean_s + _round_trip_s(model, now))


def _round_trip_s(model, now):
    is_later = now >= model.network_from_s
    return model.later_network_s if is_later else model.network_s


class _Run:
    """The state of one simulation."""

    def __init__(self, model, policy, seed):
        self.model = model
        self.policy = policy
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.queue = deque()
        self.in_flight = 0
        self.at_database = 0
        self.served_at = []
        self.overshoot = 0.0
        self.lost = 0
        self.limits = []
        self.wake_at = math.inf  # when a pause of the policy ends

    def at(self, when, action, *args):
        heapq.heappush(self.events, (when, next(self.order), action, args))

    def arrive(self, per_s):
        kind = "write" if self.rng.random() < WRITE_FRACTION else "read"
        self.queue.append((self.now + MAX_WAIT_S, kind))
        self.at(self.now + self.rng.expovariate(per_s), self.arrive, per_s)
        self.start()

    def start(self):
        while self.queue and self.queue[0][0] <= self.now:
            self.queue.popleft()
        while self.queue and self.in_flight < self.policy.limit(self.now):
            pause_s = self.policy.pause_s(self.now)
            if pause_s > 0:
                self.wake(self.now + pause_s + 1e-6)
                return
            self.send(self.queue.popleft()[1])

    def wake(self, when):
        if self.wake_at <= self.now or when < self.wake_at:
            self.wake_at = when
            self.at(when, self.start)

    def send(self, kind):
        model, now = self.model, self.now
        self.in_flight += 1
        can_run = runnable(model, now)
        round_trip_s = _round_trip_s(model, now) * self.rng.uniform(1.0, 1.3)
        if self.at_database >= max(1, math.ceil(2 * can_run)):
            result, work_s = Result.REFUSED, 0.0
        elif self.rng.random() < model.failing:
            result, work_s = Result.FAILED, FAILED_S
        else:
            result, work_s = Result.GOOD, self._work_s(kind, can_run)
        if result is Result.GOOD and work_s > ANSWER_TIMEOUT_S:
            result, work_s = Result.FAILED, ANSWER_TIMEOUT_S
            self.lost += 1
        self.lost += result is Result.REFUSED
        self.at_database += 1
        self.overshoot = max(self.overshoot, self.at_database / can_run)
        self.at(now + work_s, self.leave_database)
        self.at(now + work_s + round_trip_s, self.end, now, kind, result)

    def _work_s(self, kind, can_run):
        model, rng = self.model, self.rng
        work_s = WRITE_S if kind == "write" else READ_S
        work_s *= slowness(model, self.now) * rng.lognormvariate(0.0, model.sigma)
        if rng.random() < model.tail:
            work_s *= 5
        load = (self.at_database + 1) / can_run
        return work_s * max(1.0, load) ** OVERLOAD_EXPONENT

    def leave_database(self):
        self.at_database -= 1

    def end(self, started_at, kind, result):
        in_flight = self.in_flight
        self.in_flight -= 1
        if result is Result.GOOD:
            self.served_at.append(self.now)
        load = self.at_database, runnable(self.model, self.now)
        self.policy.note(self.now, started_at, kind, result, in_flight, load)
        self.start()

    def probe(self):
        duration_s = _round_trip_s(self.model, self.now) * self.rng.uniform(1.0, 1.3)
        self.policy.note_round_trip(self.now, duration_s)
        self.limits.append((self.now, self.policy.limit(self.now)))
        self.at(self.now + PROBE_PERIOD_S, self.probe)


def simulate(model, policy, seed=1):
    """Run the model under a policy; return its Report."""
    run = _Run(model, policy, seed)
    run.at(0.0, run.probe)
    run.at(0.0, run.arrive, model.demand * capacity_per_s(model, math.inf))
    while run.events and run.events[0][0] < model.seconds:
        run.now, _, action, args = heapq.heappop(run.events)
        action(*args)
    return _report(run)


def _report(run):
    model, series, risen_s = run.model, [], math.inf
    for when, limit in run.limits:
        if when < MEASURED_S:
            continue
        served = sum(when - MEASURED_S < at <= when for at in run.served_at)
        served_per_s = served / MEASURED_S
        capacity = capacity_per_s(model, when - MEASURED_S / 2)
        series.append((when, served_per_s, capacity, limit))
        if served_per_s >= RISEN * capacity:
            risen_s = min(risen_s, when)
    possible = sum(row[2] for row in series) * PROBE_PERIOD_S
    served = sum(at >= MEASURED_S for at in run.served_at)
    least = min(limit for _, limit in run.limits)
    return Report(risen_s, run.overshoot, run.lost, served / possible, least, series)
