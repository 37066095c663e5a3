"""The pace of a database: statements in flight and new connections at its home.

Answers the load on a database that has just started, recovered, been promoted or
been taken back: it is neither flooded nor left idle. The limit of statements in
flight begins at one. It rises while answers are good, first to at most twice its
value, later by one. It falls by half at once when the database refuses statements,
or when their latency is a multiple of the database's own best, and then rises again.
It is never below one. New connections have a rate of their own, as opening one
occupies a slot.

Latencies count only during `probing_s` after such an event. Later a database isn't
slowed down because some of its statements take long, only for refusals. Statements
that fail while others are served don't lower the limit either: fewer statements in
flight wouldn't make them succeed. `failing` reports them, so that routing avoids the
database.
"""

import enum
import math
import statistics
from collections import deque
from typing import NamedTuple

START_LIMIT = 1.0
# How long latencies count after a start, unless a longer warm-up is configured.
PROBING_S = 30.0
# Without a fall for this long, a database that is no longer probed gets all its slots.
SETTLED_S = 5.0
# The latency of a kind of statement is the median of a block of durations: at least
# so many, and those of at least so long. Single long statements and noise don't count:
# with log-normal durations (sigma 0.3), the median of 9 varies by 12%.
BLOCK_SIZE = 9
BLOCK_S = 0.1
# The limit rises if the median of a block is within the first factor of the best one,
# and falls if it exceeds the second. Between them it stays.
FAST_FACTOR = 1.45
SLOW_FACTOR = 1.7
BEST_PERIOD_S = 15.0  # the best is that of the last one to two periods
ROUND_TRIP_PERIOD_S = 2.0
# The network's part of a duration is the least round trip. The latest ones show by how
# much it varies; this counts up to a fraction of it, as a slow database may delay these
# exchanges too.
MAX_JITTER = 0.3
ROUND_TRIPS = 9
MIN_DURATION_S = 0.0005  # shorter times are within the noise of the round trip
SCHEDULING_S = 0.002  # a busy instance reads answers late by this time
# Pause after a refusal at the lowest limit; it doubles with each further refusal.
MIN_PAUSE_S = 0.02
MAX_PAUSE_S = 0.5
# New connections a second: 10 occupy an eighth of one slot (12 ms each), and 40 for
# each slot half of the slots.
START_CONNECTS_PER_S = 10.0
MIN_CONNECTS_PER_S = 2.0
MAX_CONNECTS_PER_SLOT_S = 40.0
CONNECTS_STEP_PER_S = 2.0  # added by each connection that was opened
# Weight of the latest statement in the share of failed ones, and its half-life.
FAILING_WEIGHT = 0.1
FAILING_HALF_LIFE_S = 5.0


class Result(enum.Enum):
    """How a statement or the opening of a connection ended.

    FAILED is a failure of the statement, or a lost answer.
    """

    GOOD = "good"
    REFUSED = "refused"
    FAILED = "failed"


class RecentMinimum:
    """The minimum of the values noted in the last one to two periods."""

    def __init__(self, period_s):
        self.period_s = period_s
        self.since = -math.inf
        self.current = math.inf
        self.previous = math.inf

    def note(self, now, value):
        """Take a value into account."""
        if now - self.since >= self.period_s:
            is_recent = now - self.since < 2 * self.period_s
            self.previous = self.current if is_recent else math.inf
            self.current = math.inf
            self.since = now
        self.current = min(self.current, value)

    def get(self):
        """Return the minimum, infinity if there is no value."""
        return min(self.current, self.previous)


class Block(NamedTuple):
    """Durations of statements of one kind since a time."""

    began_at: float
    durations: list


class PaceState:
    """The pace of one database, as found from its answers.

    `limit` is the number of statements in flight, at most `bound`. `threshold` is
    the limit from which it rises by one. `good` counts good answers since it last
    changed. `refusals` counts refusals in a row at the lowest limit, `resume_at`
    is when the next statement may start after them. `best_s` holds the best
    medians and `blocks` the latest durations by kind, without the round trip.
    """

    def __init__(self, slots):
        self.bound = slots
        self.probing_s = PROBING_S
        self.best_s = {}
        self.blocks = {}
        self.least_round_trip = RecentMinimum(ROUND_TRIP_PERIOD_S)
        self.round_trips = deque(maxlen=ROUND_TRIPS)
        self.failing = 0.0
        self.answered_at = -math.inf
        self.last_good_at = -math.inf
        self.unreachable_since = None
        self.connecting = 0
        self.connects_paced_until = -math.inf
        self._reset(-math.inf, START_LIMIT)

    def _reset(self, now, limit):
        self.began_at = now
        self.fell_at = -math.inf
        self.limit = max(START_LIMIT, limit)
        self.threshold = math.inf
        self.good = 0
        self.refusals = 0
        self.resume_at = -math.inf
        self.connects_per_s = START_CONNECTS_PER_S * self.limit
        self.next_connect_at = -math.inf
        self.blocks.clear()

    def begin(self, now, limit=START_LIMIT):
        """Begin anew at a limit: the lowest, or the one of the home before."""
        self.best_s.clear()
        self._reset(now, limit)


def set_bounds(state, bound, probing_s=PROBING_S):
    """Set the maximum of statements in flight and the time in which latencies count."""
    state.bound = max(1, bound)
    state.probing_s = max(PROBING_S, probing_s)


def is_probing(state, now):
    """Return whether the database has begun so lately that latencies count."""
    return now - state.began_at < state.probing_s


def in_flight_limit(state, now):
    """Return how many statements may be in flight."""
    if not is_probing(state, now) and now - state.fell_at >= SETTLED_S:
        state.limit = max(state.limit, float(state.bound))
    return max(1, min(state.bound, int(state.limit)))


def pause_s(state, now):
    """Return the seconds until the next statement may start; usually 0."""
    return max(0.0, state.resume_at - now)


def note_round_trip(state, now, duration_s):
    """Note the time of an exchange that needs no slot of the database."""
    state.least_round_trip.note(now, duration_s)
    state.round_trips.append(duration_s)


def _network_s(state):
    """Return the least round trip and by how much it varies; 0 while unknown."""
    if not state.round_trips:
        return 0.0, 0.0
    least_s = state.least_round_trip.get()
    jitter_s = max(state.round_trips) - least_s
    return least_s, max(0.0, min(jitter_s, MAX_JITTER * least_s))


def note_answer(state, now, started_at, kind, result, in_flight):
    """Note how a statement ended that was sent at `started_at`.

    `in_flight` is the number of statements in flight with it.
    """
    _note_failing(state, now, result is Result.FAILED)
    if result is Result.REFUSED:
        _note_refusal(state, now, started_at)
        return
    if result is Result.FAILED:
        return
    state.last_good_at = now
    state.refusals = 0
    # Answers to fewer statements than the limit don't show that it may rise.
    if started_at >= state.fell_at and in_flight >= in_flight_limit(state, now):
        state.good += 1
    may_rise = True
    if is_probing(state, now):
        may_rise = _add_duration(state, now, started_at, kind)
    if may_rise and state.good >= int(state.limit) < state.bound:
        _rise(state)


def _note_failing(state, now, failed):
    state.failing = failing(state, now) * (1 - FAILING_WEIGHT)
    state.failing += FAILING_WEIGHT * failed
    state.answered_at = now


def failing(state, now):
    """Return the share of statements that failed lately, from 0 to 1."""
    age_s = max(0.0, now - state.answered_at)
    return state.failing * 0.5 ** (age_s / FAILING_HALF_LIFE_S)


def _add_duration(state, now, started_at, kind):
    """Add a duration to the block of its kind; return whether that ended and was fast.

    The first block of a kind only sets its best.
    """
    if started_at < state.fell_at:
        return False  # at the limit before the fall
    round_trip_s, jitter_s = _network_s(state)
    duration_s = now - started_at - round_trip_s
    block = state.blocks.get(kind)
    if block is None:
        block = state.blocks[kind] = Block(now, [])
    block.durations.append(max(MIN_DURATION_S, duration_s))
    if len(block.durations) < BLOCK_SIZE or now - block.began_at < BLOCK_S:
        return False
    del state.blocks[kind]
    best = state.best_s.setdefault(kind, RecentMinimum(BEST_PERIOD_S))
    best_s, median_s = best.get(), statistics.median(block.durations)
    best.note(now, median_s)
    tolerance_s = jitter_s + SCHEDULING_S
    if median_s > SLOW_FACTOR * best_s + tolerance_s:
        _fall(state, now, started_at)
    return best_s < math.inf and median_s <= FAST_FACTOR * best_s + tolerance_s


def _rise(state):
    step = state.limit if state.limit < state.threshold else 1.0
    state.limit = min(state.limit + step, float(state.bound))
    state.good = 0


def _fall(state, now, started_at):
    """Halve the limit, once for all statements that were sent before."""
    if started_at < state.fell_at:
        return
    state.limit = max(START_LIMIT, min(state.limit, float(state.bound)) / 2)
    state.threshold = state.limit
    state.fell_at = now
    state.good = 0
    state.blocks.clear()


def _note_refusal(state, now, started_at):
    if in_flight_limit(state, now) == 1:
        pause = min(MAX_PAUSE_S, MIN_PAUSE_S * 2 ** min(state.refusals, 10))
        state.refusals += 1
        state.resume_at = now + pause
    _fall(state, now, started_at)


# Connections


def may_connect(state, now):
    """Return whether a connection may be opened now."""
    if not is_probing(state, now) and now >= state.connects_paced_until:
        return True
    if state.connecting and state.connecting >= in_flight_limit(state, now) // 2:
        return False
    return now >= state.next_connect_at


def pace_connects(state, now):
    """Pace new connections for a while, as another database's load arrives."""
    state.connects_paced_until = now + state.probing_s
    state.connects_per_s = START_CONNECTS_PER_S


def begin_connect(state, now):
    """Note that a connection is being opened; `end_connect` must follow."""
    state.connecting += 1
    state.next_connect_at = now + 1 / state.connects_per_s


def end_connect(state, now, started_at, result):
    """Note how the opening of a connection ended; None if it wasn't tried."""
    state.connecting -= 1
    if result is None:
        return
    if result is Result.GOOD:
        if state.unreachable_since is not None:
            _note_reached(state, now)
        max_per_s = MAX_CONNECTS_PER_SLOT_S * state.bound
        state.connects_per_s = min(
            max_per_s, state.connects_per_s + CONNECTS_STEP_PER_S
        )
        return
    state.connects_per_s = max(MIN_CONNECTS_PER_S, state.connects_per_s / 2)
    state.next_connect_at = now + 1 / state.connects_per_s
    if result is Result.REFUSED and is_probing(state, now):
        _fall(state, now, started_at)


def note_unreachable(state, now):
    """Note that the database can't be reached."""
    if state.unreachable_since is None:
        state.unreachable_since = now


def _note_reached(state, now):
    # One failed attempt beside connections that work is no outage.
    if state.last_good_at < state.unreachable_since:
        state.begin(now)
    state.unreachable_since = None
