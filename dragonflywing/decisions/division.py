"""Division of each workspace's rate and burst over the instances by demand.

Callers may be spread unevenly over the instances, and a workspace may send many
times its rate. Each instance reports to the others the demand it observes and
the number of operations it has admitted. Its share of the rate is its share of
the total demand, except for a fraction that is divided evenly, so that the first
request of a workspace needs no message. Its own demand counts once the others have
heard of it: otherwise the shares of instances whose demand rises exceed the whole.

From the reported numbers of admitted operations, each instance also tracks a
token bucket of the workspace for the whole fleet. While that bucket is at least
half full, local buckets are refilled faster, so that a workspace within its rate
is not refused because its operations are spread unevenly. While it is overdrawn,
no instance refills, so that operations admitted in excess before the reports
arrived are compensated within seconds.

An instance that no longer reports keeps its share until it is certain to have
stopped admitting operations. While more than a few units have not reported lately, the
bucket of the fleet may look fuller than it is and the demand of the others lower, so
local buckets are not refilled faster, and no share grows.

When all instances are restarted together, none knows what they admitted before. So the
names of workspaces whose bucket is nearly empty are recorded outside of the instances;
an instance that starts in a fleet that has admitted little grants these no burst.

A report is for a unit: a single instance or, where relays forward reports, the
sum of a data centre or of all other instances of the fleet. Where there are
relays, they divide the rate and admit the operations of their data centres.

The bucket of a cold database (`warmup`) is strict: its rate holds in each second. It
saves at most one token and is never refilled faster. Demand above the rate counts as
the rate, and so does lower total demand, so that an instance's share grows only as
its average does and the others learn of it meanwhile. The even fraction is added to
what is divided by demand: the rate of the bucket (`warmup`) allows for it.

Used by `node`, the entry daemon on the users' platform. `entry`, the daemon for
MySQL databases, divides rates by `shares`.
"""

import math
from collections import Counter, deque

EVEN_FRACTION = 0.2  # of the rate and burst, divided evenly over all instances
DEMAND_PERIOD_S = 0.25  # period over which arrivals are counted
DEMAND_WEIGHT = 0.1  # of the latest period, for an average over about 2 s
# A higher demand raises the own share once it has been measured for so many periods, in
# which others report theirs. Otherwise each instance takes itself for the only one when
# the demand for an idle workspace rises at all.
SHARED_PERIODS = 2
IDLE_DEMAND_PER_S = 0.01  # lower demand counts as none
MIN_DEMAND_PER_S = 0.1  # operations per second; lower demand is not reported
# Even shares of the burst that an instance may save if its share by demand is smaller.
# All may spend what they have saved before they learn of each other, so together it
# exceeds one burst by no more than the rate gives in a few seconds. It falls with the
# fleet's bucket below the given fraction of the burst.
MAX_SAVED_EVEN_SHARES = 3.0
SAVED_RATE_S = 2.0
SAVING_LEVEL = 0.75
# The refill rate is multiplied by this factor while the fleet-wide bucket is
# filled at least to the given fraction of the burst.
FAST_REFILL_FACTOR = 3.0
FAST_REFILL_LEVEL = 0.5
# A workspace is recorded as drawn while its bucket for the fleet is below this part of
# the burst.
DRAWN_LEVEL = 0.25
# Part of the burst that is deducted at the start from a drawn workspace, for operations
# that were admitted in excess and are not known any more.
DRAWN_DEBT = 0.25
# A fleet whose instances have admitted fewer bursts of a workspace than this has just
# been started.
RESTARTED_BURSTS = 2.0
# A report is recent for this long: units report twice a second, busy ones later.
RECENT_REPORT_S = 1.8
# Time for which units that fall silent may have admitted operations at the faster rate.
HIDDEN_S = 1.2
# Fraction of the units that must have reported lately for the faster refill. One of
# seven instances may crash without slowing down the others.
MIN_RECENT_FRACTION = 0.8
# The same for a strict bucket, whose rate holds in each second.
STRICT_REPORT_S = 1.2
STRICT_IDLE_S = 5.0  # a strict bucket that admitted nothing for this long is empty


class Bucket:
    """The tokens of one workspace at this instance and in the whole fleet.

    `fleet_tokens` is estimated from the operations that all instances have
    admitted, and is negative while the workspace is overdrawn. `known_share` is this
    instance's share when enough units had last reported, 0 if they never did.
    `latest_demands` holds the demand of the latest periods. `is_strict` is set for the
    bucket of a cold database.
    """

    def __init__(self, now, is_strict=False):
        self.is_strict = is_strict
        self.used_at = now
        self.rate = 0.0
        self.burst = 0.0
        self.tokens = 0.0
        self.fleet_tokens = 0.0
        self.filled_at = now
        self.arrivals = 0
        self.admitted = 0
        self.demand = 0.0
        self.latest_demands = deque([0.0], maxlen=SHARED_PERIODS)
        self.known_share = 0.0 if is_strict else 1.0
        self.is_new = True


class DivisionState:
    """The buckets of this instance and the latest reports of other units.

    `unit_demand` and `unit_admitted` hold the demand and the number of admitted
    operations that each unit last reported, `unit_growth` by how much that number
    has grown since the unit's first report, and `unit_sources` the process that
    counted. All but `unit_sources` are by unit and workspace. `unit_reported_at` holds
    the times of the latest reports, and `is_informed` whether enough are recent, or
    due from units that have just been added; `has_reports` doesn't count the latter.
    `drawn` holds the recorded names of drawn workspaces.
    """

    def __init__(self):
        self.drawn = set()
        self.unit_reported_at = {}
        self.is_informed = True
        self.has_reports = True
        self.buckets = {}
        self.unit_demand = {}
        self.others_demand = {}  # sums over `unit_demand` by workspace, as needed
        self.unit_admitted = {}
        self.unit_growth = {}
        self.unit_sources = {}
        self.instance_count = 1
        self.measured_at = None
        self.reports_complete = False


def configure(state, now, limits, strict=()):
    """Set each workspace's (rate, burst); a new bucket starts empty.

    `strict` holds the names of strict buckets.
    """
    for name in [name for name in state.buckets if name not in limits]:
        del state.buckets[name]
    for name, (rate, burst) in limits.items():
        if name not in state.buckets:
            state.buckets[name] = Bucket(now, name in strict)
        bucket = state.buckets[name]
        if bucket.burst > burst:
            # Tokens accumulated under a larger burst must not be used.
            bucket.tokens *= burst / bucket.burst
            bucket.fleet_tokens = min(bucket.fleet_tokens, burst)
        bucket.rate = rate
        bucket.burst = burst


def note_drawn(state, names):
    """Note the workspaces that are recorded as drawn."""
    state.drawn = set(names)


def drawn(state, now):
    """Return the names of the workspaces whose bucket for the fleet is nearly empty."""
    return {
        name
        for name, bucket in state.buckets.items()
        if not bucket.is_strict
        and bucket.demand >= MIN_DEMAND_PER_S
        and _refill(state, now, name).fleet_tokens < DRAWN_LEVEL * bucket.burst
    }


def record_report(state, now, unit, demand, admitted, source=None, is_sum=False):
    """Record the demand of another unit and its number of admitted operations.

    `source` is the process that counted the operations. A restarted instance
    counts from 0 again. With `is_sum`, the report is the sum of several
    instances; the sums of different relays are not comparable.
    """
    previous = state.unit_admitted.get(unit)
    same_source = previous is not None and state.unit_sources.get(unit) == source
    if same_source and any(n < previous.get(name, 0) for name, n in admitted.items()):
        # The message was delayed in a connection while this process was paused.
        return
    state.unit_reported_at[unit] = now
    state.unit_demand[unit] = demand
    state.others_demand.clear()
    state.unit_admitted[unit] = dict(admitted)
    state.unit_sources[unit] = source
    if previous is None or (is_sum and not same_source):
        return
    unit_total = state.unit_growth.setdefault(unit, Counter())
    for name, count in admitted.items():
        growth = count - previous.get(name, 0) if same_source else count
        if growth and name in state.buckets:
            unit_total[name] += growth
            _refill(state, now, name).fleet_tokens -= growth


def note_contact(state, now, unit):
    """Note that a unit was heard though it has no complete report at present."""
    if unit in state.unit_reported_at:
        state.unit_reported_at[unit] = now


def set_units(state, units, count=None):
    """Set the units that take part; remove others and add new ones without demand.

    `count` is the number of instances that divide the rate, by default this one
    and one for each unit.
    """
    state.instance_count = count or len(units) + 1
    state.unit_demand = {name: state.unit_demand.get(name, {}) for name in units}
    state.others_demand.clear()
    for known in (
        state.unit_admitted,
        state.unit_growth,
        state.unit_sources,
        state.unit_reported_at,
    ):
        for name in known.keys() - state.unit_demand.keys():
            del known[name]


def totals(state, units):
    """Return the summed demand and admitted operations of this instance and units.

    A unit's operations count from its first report, so that a sum never jumps.
    """
    own_demand, own_admitted = report(state)
    demand, admitted = Counter(own_demand), Counter(own_admitted)
    for unit in units:
        demand.update(state.unit_demand.get(unit, {}))
        admitted.update(state.unit_growth.get(unit, {}))
    return dict(demand), dict(admitted)


def subtract(total, own):
    """Return a sum of reports without the own report."""
    names = total.keys() | own.keys()
    return {name: total.get(name, 0) - own.get(name, 0) for name in names}


def _others_demand(state, workspace):
    """Return the demand for a workspace that all other units have reported."""
    total = state.others_demand.get(workspace)
    if total is None:
        reports = state.unit_demand.values()
        total = sum(max(0.0, demand.get(workspace, 0.0)) for demand in reports)
        state.others_demand[workspace] = total
    return total


def share(state, workspace):
    """Return this instance's share of a workspace's rate and burst, from 0 to 1."""
    bucket = state.buckets[workspace]
    count = state.instance_count
    if not state.reports_complete:
        # Until the demand of the others is known, only the even fraction is safe.
        return EVEN_FRACTION / count
    demand = bucket.demand if bucket.is_strict else min(bucket.latest_demands)
    total = demand + _others_demand(state, workspace)
    if bucket.is_strict:
        total = max(total, bucket.rate)
    by_demand = demand / total if total > 0 else 1.0 / count
    demand_fraction = 1.0 if bucket.is_strict else 1 - EVEN_FRACTION
    fraction = EVEN_FRACTION / count + demand_fraction * by_demand
    if state.has_reports if bucket.is_strict else state.is_informed:
        return fraction
    known_share = bucket.known_share
    if bucket.is_strict:
        known_share = max(known_share, EVEN_FRACTION / count)
    return min(fraction, known_share)


def _refill_rate(state, workspace):
    """Return the tokens per second that this instance's bucket gains."""
    bucket = state.buckets[workspace]
    refill_rate = bucket.rate * share(state, workspace)
    is_fast = (
        bucket.fleet_tokens >= FAST_REFILL_LEVEL * bucket.burst
        and state.reports_complete
        and state.is_informed
        and not bucket.is_strict
    )
    return refill_rate * FAST_REFILL_FACTOR if is_fast else refill_rate


def _saved_share(state, bucket):
    """Return the fraction of the burst that an instance without demand may hold.

    What the others have spent of it lowers the fraction.
    """
    if not bucket.burst:
        return 0.0
    saved = min(MAX_SAVED_EVEN_SHARES, 1 + SAVED_RATE_S * bucket.rate / bucket.burst)
    level = bucket.fleet_tokens / (SAVING_LEVEL * bucket.burst)
    return saved * max(0.0, min(1.0, level)) / state.instance_count


def _refill(state, now, workspace):
    bucket = state.buckets[workspace]
    elapsed = max(0.0, now - bucket.filled_at)
    bucket.filled_at = now
    max_share = max(share(state, workspace), _saved_share(state, bucket))
    # A bucket that holds less than one token would never admit an operation.
    cap = max(1.0, bucket.burst * min(max_share, 1.0))
    if bucket.is_strict:
        cap = 1.0
    overdrawn_s = (
        max(0.0, -bucket.fleet_tokens) / bucket.rate if bucket.rate else elapsed
    )
    refilling_s = max(0.0, elapsed - overdrawn_s)
    bucket.tokens = min(
        cap, bucket.tokens + refilling_s * _refill_rate(state, workspace)
    )
    bucket.fleet_tokens = min(bucket.burst, bucket.fleet_tokens + elapsed * bucket.rate)
    return bucket


def count_arrival(state, workspace):
    """Count an operation for the estimate of demand."""
    state.buckets[workspace].arrivals += 1


def admit(state, now, workspace):
    """Take a token and return 0, or return the seconds until one is available."""
    bucket = _refill(state, now, workspace)
    if bucket.is_strict:
        if now - bucket.used_at > STRICT_IDLE_S:
            bucket.tokens = min(bucket.tokens, 0.0)
        bucket.used_at = now
    if bucket.tokens >= 1.0:
        bucket.tokens -= 1.0
        bucket.fleet_tokens -= 1.0
        bucket.admitted += 1
        return 0.0
    overdrawn_s = (
        max(0.0, -bucket.fleet_tokens) / bucket.rate if bucket.rate else math.inf
    )
    refill_rate = bucket.rate * share(state, workspace)
    missing_s = (1.0 - bucket.tokens) / refill_rate if refill_rate > 0 else math.inf
    return overdrawn_s + missing_s


def reserve(state, now, workspace):
    """Take a token in advance, for an operation that waits until it is available."""
    bucket = _refill(state, now, workspace)
    bucket.tokens -= 1.0
    bucket.fleet_tokens -= 1.0
    bucket.admitted += 1


def cancel_reservation(state, workspace):
    """Put back a token that was reserved and not used."""
    bucket = state.buckets.get(workspace)
    if bucket is not None:
        bucket.tokens += 1.0


def _is_restarted(state, name):
    """Return whether all instances have begun to admit a workspace's operations."""
    counts = [admitted.get(name, 0) for admitted in state.unit_admitted.values()]
    return sum(counts) < RESTARTED_BURSTS * state.buckets[name].burst


def set_reports_complete(state, reports_complete):
    """Set whether all units have reported; grant new buckets their initial tokens.

    When the reports are first complete, each new bucket gets an even share of the
    burst. The rest of the fleet may have used the workspace's burst already, but one
    even share is little compared with the rate. If all instances were restarted, a
    drawn workspace begins with a debt instead.
    """
    state.reports_complete = reports_complete
    if not reports_complete:
        return
    for name, bucket in state.buckets.items():
        if bucket.is_new:
            bucket.is_new = False
            if name in state.drawn and _is_restarted(state, name):
                bucket.fleet_tokens = -DRAWN_DEBT * bucket.burst
                continue
            if bucket.is_strict:
                continue
            bucket.tokens += bucket.burst / state.instance_count
            bucket.fleet_tokens = max(
                bucket.fleet_tokens, FAST_REFILL_LEVEL * bucket.burst
            )


def measure_demand(state, now):
    """Update the moving averages of demand once per period."""
    if state.measured_at is None:
        state.measured_at = now
    elapsed = now - state.measured_at
    if elapsed < DEMAND_PERIOD_S:
        return
    state.measured_at = now
    # Units that have just been added have not fallen silent.
    reported_at = state.unit_reported_at.values()
    recent = len(state.unit_demand) - sum(
        now - at >= RECENT_REPORT_S for at in reported_at
    )
    # Sums of relays are late whenever a relay is replaced; if that counted as silence,
    # rolling restarts would refuse operations within the rate.
    has_relays = state.instance_count != len(state.unit_demand) + 1
    is_informed = has_relays or recent >= MIN_RECENT_FRACTION * len(state.unit_demand)
    reported = sum(now - at < STRICT_REPORT_S for at in reported_at)
    state.has_reports = reported >= MIN_RECENT_FRACTION * len(state.unit_demand)
    if state.is_informed and not is_informed:
        missing = 1 - recent / len(state.unit_demand)
        for name, bucket in state.buckets.items():
            # What the others may have admitted since their last reports.
            hidden = FAST_REFILL_FACTOR * bucket.rate * HIDDEN_S * missing
            _refill(state, now, name).fleet_tokens -= hidden
    state.is_informed = is_informed
    for name, bucket in state.buckets.items():
        if not bucket.arrivals and bucket.demand < IDLE_DEMAND_PER_S:
            # The next operation refills the bucket for all of the idle time.
            bucket.demand = 0.0
            bucket.latest_demands.append(0.0)
            continue
        _refill(state, now, name)
        if (reported if bucket.is_strict else recent) == len(state.unit_demand):
            bucket.known_share = share(state, name)
        if has_relays and not bucket.is_strict:
            # A member's own share is no measure of its share without relays.
            bucket.known_share = 1.0
        arrivals_per_s = bucket.arrivals / elapsed
        if bucket.is_strict:
            arrivals_per_s = min(arrivals_per_s, bucket.rate)
        bucket.arrivals = 0
        bucket.demand += DEMAND_WEIGHT * (arrivals_per_s - bucket.demand)
        bucket.latest_demands.append(bucket.demand)


def report(state):
    """Return the demand and the admitted operations to report to other instances."""
    demand = {
        name: round(bucket.demand, 2)
        for name, bucket in state.buckets.items()
        if bucket.demand >= MIN_DEMAND_PER_S
    }
    admitted = {
        name: bucket.admitted
        for name, bucket in state.buckets.items()
        if bucket.admitted
    }
    return demand, admitted
