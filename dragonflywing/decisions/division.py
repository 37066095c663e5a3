"""Divides each workspace's rate and burst over the instances by their demand.

Answers callers that are spread unevenly over the instances, and workspaces
that send many times their rate. Each instance tells the others the demand it
sees and how many operations it has admitted. It refills by its part of the
whole demand; a part of the rate is divided evenly, so that a first request
needs no message.

From what all have admitted each instance also keeps the workspace's whole
bucket. While that is well filled, parts are refilled faster, so that a
workspace inside its rate is not refused for an uneven spread; while it is
overdrawn, nobody refills, so that what was admitted too much before the others
knew is paid back within the same seconds.

An instance that is no longer heard of keeps its part until it must itself have
stopped.

What the others tell comes in units: of one instance each, or the sums of a data
centre or of the whole rest of the fleet where relays pass it on.
"""

import math
from collections import Counter

EVEN_PART = 0.2  # of the rate, divided evenly over all instances
DEMAND_PERIOD_S = 0.25  # over which arrivals are counted
DEMAND_WEIGHT = 0.1  # of the latest period: an average over some 2 s
LEAST_DEMAND = 0.1  # operations per second below which a demand is reported as 0
# A part of the burst that an instance may save up, in even parts.
SAVED_PARTS = 2.0
# Refill of a part while the whole bucket is at least half full.
FAST_REFILL = 3.0
FULL_ENOUGH = 0.5


class Bucket:
    """Tokens of one workspace at this instance, and its whole bucket."""

    def __init__(self, now):
        self.rate = 0.0
        self.burst = 0.0
        self.tokens = 0.0
        self.fleet_tokens = 0.0
        self.filled_at = now
        self.arrivals = 0
        self.admitted = 0
        self.demand = 0.0
        self.is_new = True


class DivisionState:
    """The buckets of this instance and what other units have told.

    `others` holds each unit's demand, `admitted` its count as last told and
    `grown` by how much that has grown since it was first heard.
    """

    def __init__(self):
        self.buckets = {}
        self.others = {}
        self.admitted = {}
        self.grown = {}
        self.sources = {}
        self.count = 1
        self.counted_at = None
        self.reports_complete = False


def configure(state, now, limits):
    """Take each workspace's (rate, burst); a new bucket starts empty."""
    for name in [name for name in state.buckets if name not in limits]:
        del state.buckets[name]
    for name, (rate, burst) in limits.items():
        bucket = state.buckets.setdefault(name, Bucket(now))
        if bucket.burst > burst:
            # What was saved up under a greater burst is not to be used.
            bucket.tokens *= burst / bucket.burst
            bucket.fleet_tokens = min(bucket.fleet_tokens, burst)
        bucket.rate = rate
        bucket.burst = burst


def apply_report(state, now, unit, demand, admitted, source=None, is_sum=False):
    """Note the demand of another unit and how many operations it admitted.

    `source` is the process that counted. A later process of an instance counts
    from 0, another relay's sum does not compare with the one known before.
    """
    before = state.admitted.get(unit)
    is_known = before is not None and state.sources.get(unit) == source
    if is_known and any(n < before.get(name, 0) for name, n in admitted.items()):
        # A message that lay in a connection while this process stood still.
        return
    state.others[unit] = demand
    state.admitted[unit] = dict(admitted)
    state.sources[unit] = source
    if before is None or (is_sum and not is_known):
        return
    sums = state.grown.setdefault(unit, Counter())
    for name, count in admitted.items():
        grown = count - before.get(name, 0) if is_known else count
        if grown and name in state.buckets:
            sums[name] += grown
            _fill(state, now, name).fleet_tokens -= grown


def set_units(state, units, count=None):
    """Forget units that have ended; new ones count without demand.

    `count` is the number of instances, by default one for each unit.
    """
    state.count = count or len(units) + 1
    state.others = {name: state.others.get(name, {}) for name in units}
    for known in (state.admitted, state.grown, state.sources):
        for name in known.keys() - state.others.keys():
            del known[name]


def totals(state, units):
    """Return the demand and growing counts of this instance and some units."""
    own_demand, own_admitted = report(state)
    demand, admitted = Counter(own_demand), Counter(own_admitted)
    for unit in units:
        demand.update(state.others.get(unit, {}))
        admitted.update(state.grown.get(unit, {}))
    return dict(demand), dict(admitted)


def subtract(total, own):
    """Return what of a sum is not one's own."""
    names = total.keys() | own.keys()
    return {name: total.get(name, 0) - own.get(name, 0) for name in names}


def share(state, workspace):
    """Return this instance's part of a workspace's rate and burst."""
    bucket = state.buckets[workspace]
    count = state.count
    if not state.reports_complete:
        # Until the others' demand is known, no more than the even part is safe.
        return EVEN_PART / count
    total = bucket.demand + sum(
        max(0.0, demand.get(workspace, 0.0)) for demand in state.others.values()
    )
    weighted = bucket.demand / total if total > 0 else 1.0 / count
    return EVEN_PART / count + (1 - EVEN_PART) * weighted


def _speed(state, workspace):
    """Return the tokens per second that this instance's part refills."""
    bucket = state.buckets[workspace]
    speed = bucket.rate * share(state, workspace)
    fast = bucket.fleet_tokens >= FULL_ENOUGH * bucket.burst and state.reports_complete
    return speed * FAST_REFILL if fast else speed


def _fill(state, now, workspace):
    bucket = state.buckets[workspace]
    elapsed = max(0.0, now - bucket.filled_at)
    bucket.filled_at = now
    part = max(share(state, workspace), SAVED_PARTS / state.count)
    # A part of less than one token would never serve anything.
    cap = max(1.0, bucket.burst * min(part, 1.0))
    overdrawn_s = (
        max(0.0, -bucket.fleet_tokens) / bucket.rate if bucket.rate else elapsed
    )
    refilling_s = max(0.0, elapsed - overdrawn_s)
    bucket.tokens = min(cap, bucket.tokens + refilling_s * _speed(state, workspace))
    bucket.fleet_tokens = min(bucket.burst, bucket.fleet_tokens + elapsed * bucket.rate)
    return bucket


def count_arrival(state, workspace):
    """Count an operation for the estimate of demand."""
    state.buckets[workspace].arrivals += 1


def admit(state, now, workspace):
    """Take a token; return 0, or the seconds until there is one."""
    bucket = _fill(state, now, workspace)
    if bucket.tokens >= 1.0:
        bucket.tokens -= 1.0
        bucket.fleet_tokens -= 1.0
        bucket.admitted += 1
        return 0.0
    overdrawn_s = (
        max(0.0, -bucket.fleet_tokens) / bucket.rate if bucket.rate else math.inf
    )
    speed = bucket.rate * share(state, workspace)
    missing_s = (1.0 - bucket.tokens) / speed if speed > 0 else math.inf
    return overdrawn_s + missing_s


def reserve(state, now, workspace):
    """Take a token that is not there yet, for an operation that waits for it."""
    bucket = _fill(state, now, workspace)
    bucket.tokens -= 1.0
    bucket.fleet_tokens -= 1.0
    bucket.admitted += 1


def cancel_reservation(state, workspace):
    """Return a token that was reserved and not used."""
    bucket = state.buckets.get(workspace)
    if bucket is not None:
        bucket.tokens += 1.0


def set_reports_complete(state, reports_complete):
    """Note whether all others were heard; the first time, take the part of a burst.

    An instance that starts finds the bucket as the fleet left it. One even part
    is little beside the rate, and after a restart of the whole fleet the bucket
    has refilled while nobody ran.
    """
    state.reports_complete = reports_complete
    if not reports_complete:
        return
    for bucket in state.buckets.values():
        if bucket.is_new:
            bucket.is_new = False
            bucket.tokens += bucket.burst / state.count
            bucket.fleet_tokens = max(bucket.fleet_tokens, FULL_ENOUGH * bucket.burst)


def measure_demand(state, now):
    """Update the moving averages of demand, once a period."""
    if state.counted_at is None:
        state.counted_at = now
    elapsed = now - state.counted_at
    if elapsed < DEMAND_PERIOD_S:
        return
    state.counted_at = now
    for name, bucket in state.buckets.items():
        _fill(state, now, name)
        seen = bucket.arrivals / elapsed
        bucket.arrivals = 0
        bucket.demand += DEMAND_WEIGHT * (seen - bucket.demand)


def report(state):
    """Return the demand and the admitted operations to tell the others."""
    demand = {
        name: round(bucket.demand, 2)
        for name, bucket in state.buckets.items()
        if bucket.demand >= LEAST_DEMAND
    }
    admitted = {
        name: bucket.admitted
        for name, bucket in state.buckets.items()
        if bucket.admitted
    }
    return demand, admitted
