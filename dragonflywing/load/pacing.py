"""Ways to pace a database that has just started, compared on a model of one.

Each policy has the number of statements in flight that it allows, the pause before
the next statement, and notes of answers and round trips.
"""

import math
from typing import NamedTuple

from dragonflywing.decisions import pace
from dragonflywing.standin.warming import Model, simulate

RAMP_S = 20.0  # a configured time, for want of knowing the database's own
BUCKET_START_FRACTION = 0.1
GRADIENT_TOLERANCE = 1.5
GRADIENT_SMOOTHING = 0.2


class Policy:
    """All slots at once, as without pacing; the base of the other policies."""

    def __init__(self, model):
        self.model = model
        self.slots = model.slots

    def limit(self, now):
        """Return how many statements may be in flight."""
        return self.slots

    def pause_s(self, now):
        """Return the seconds until the next statement may start."""
        return 0.0

    def note(self, now, started_at, kind, result, in_flight, load):
        """Note an answer; `load` is (running, runnable) at the database."""

    def note_round_trip(self, now, duration_s):
        """Note the time of an exchange that needs no slot."""


class Ramp(Policy):
    """A limit that rises from one to all slots in a fixed time."""

    def limit(self, now):
        """Return how many statements may be in flight."""
        return max(1, int(self.slots * min(1.0, now / RAMP_S)))


class TokenBucket(Policy):
    """A rate that rises in a fixed time; in flight are as many as there are slots."""

    def __init__(self, model):
        super().__init__(model)
        self.next_at = 0.0

    def pause_s(self, now):
        """Return the seconds until the next token; take it if there is one."""
        if now >= RAMP_S:
            return 0.0
        if now < self.next_at:
            return self.next_at - now
        part = BUCKET_START_FRACTION + (1 - BUCKET_START_FRACTION) * now / RAMP_S
        full_per_s = self.slots / 0.011  # the configured capacity
        self.next_at = now + 1 / (part * full_per_s)
        return 0.0


class Aimd(Policy):
    """One more after as many good answers, half after a refusal or lost answer."""

    def __init__(self, model):
        super().__init__(model)
        self.value = 1.0
        self.fell_at = -math.inf

    def limit(self, now):
        """Return how many statements may be in flight."""
        return int(self.value)

    def note(self, now, started_at, kind, result, in_flight, load):
        """Raise or halve the limit."""
        if result is pace.Result.GOOD:
            self.value = min(self.slots, self.value + 1 / self.value)
        elif started_at >= self.fell_at:
            self.value, self.fell_at = max(1.0, self.value / 2), now


class Gradient(Policy):
    """The limit times the ratio of the long-term latency to the latest one."""

    def __init__(self, model):
        super().__init__(model)
        self.value, self.long_s = 1.0, None

    def limit(self, now):
        """Return how many statements may be in flight."""
        return max(1, int(self.value))

    def note(self, now, started_at, kind, result, in_flight, load):
        """Move the limit towards the one that the gradient gives."""
        if result is not pace.Result.GOOD:
            self.value = max(1.0, self.value / 2)
            return
        duration_s = now - started_at
        long_s = duration_s if self.long_s is None else self.long_s
        self.long_s = long_s + 0.01 * (duration_s - long_s)
        ratio = GRADIENT_TOLERANCE * self.long_s / duration_s
        target = self.value * min(1.0, max(0.5, ratio)) + math.sqrt(self.value)
        value = self.value + GRADIENT_SMOOTHING * (target - self.value)
        self.value = min(float(self.slots), max(1.0, value))


class LoadFigures(Policy):
    """What the database says that it can run, carried on its answers."""

    def __init__(self, model):
        super().__init__(model)
        self.value = 1

    def limit(self, now):
        """Return how many statements may be in flight."""
        return self.value

    def note(self, now, started_at, kind, result, in_flight, load):
        """Take over the database's figure."""
        self.value = max(1, min(self.slots, int(load[1])))


class Adaptive(Policy):
    """The product's pace (decisions/pace.py)."""

    def __init__(self, model, begun=True):
        super().__init__(model)
        self.state = pace.PaceState(model.slots)
        if begun:
            self.state.begin(0.0)

    def limit(self, now):
        """Return how many statements may be in flight."""
        return pace.in_flight_limit(self.state, now)

    def pause_s(self, now):
        """Return the seconds until the next statement may start."""
        return pace.pause_s(self.state, now)

    def note(self, now, started_at, kind, result, in_flight, load):
        """Note an answer."""
        pace.note_answer(self.state, now, started_at, kind, result, in_flight)

    def note_round_trip(self, now, duration_s):
        """Note the time of an exchange that needs no slot."""
        pace.note_round_trip(self.state, now, duration_s)


POLICIES = {
    "all slots at once": Policy,
    "fixed ramp": Ramp,
    "token bucket": TokenBucket,
    "AIMD on refusals": Aimd,
    "gradient": Gradient,
    "load figures": LoadFigures,
    "pace": Adaptive,
}


class Row(NamedTuple):
    """The means of a policy's runs over several seeds; times in seconds."""

    policy: str
    risen_s: float
    overshoot: float
    lost: float
    served_share: float


def compare(model=None, seeds=8):
    """Return a Row for each policy."""
    model = model or Model()
    rows = []
    for name, policy in POLICIES.items():
        reports = [simulate(model, policy(model), seed) for seed in range(seeds)]
        columns = ("risen_s", "overshoot", "lost", "served_share")
        means = [sum(getattr(r, c) for r in reports) / seeds for c in columns]
        rows.append(Row(name, *means))
    return rows


def plot(path, model=None, seed=1):
    """Plot the statements served and the capacity over time to a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    model = model or Model()
    figure, axes = pyplot.subplots(2, 4, figsize=(14, 6), sharex=True, sharey=True)
    for axis, (name, policy) in zip(axes.flat, POLICIES.items(), strict=False):
        report = simulate(model, policy(model), seed)
        times, served, capacity, _ = zip(*report.series, strict=True)
        axis.plot(times, capacity, "--", label="capacity")
        axis.plot(times, served, label="served")
        axis.set_title(f"{name}: {report.lost} lost", fontsize=10)
        axis.set_ylim(bottom=0)
    axes.flat[-1].axis("off")
    axes.flat[0].legend()
    figure.supxlabel("seconds since the start")
    figure.supylabel("statements a second")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
