"""Rate and burst of each workspace, divided over the fleet without overlap.

The rate and burst of every workspace are divided into equal slots. The
holder of a slot may refill and spend only its part. Parts move as loans: the
lender gives up a part before it answers, for a fixed time on its own clock;
the borrower uses it from the answer on until the same time after its own
question. The borrower's use therefore lies within the lender's abstention,
and a lost message wastes a part but never makes one.

Shares are fractions of a workspace's whole rate and burst.
"""

import math
from typing import NamedTuple

# Time that a loan lasts, in seconds.
LOAN_S = 2.0
# A loan is extended once this share of its time has passed.
EXTEND_AFTER = 0.5
# Ids of ended loans are remembered for this long, in seconds.
FORGET_S = 20.0
# Weights of the demand seen in the latest period, and the period in seconds.
FAST_WEIGHT = 0.5
SLOW_WEIGHT = 0.05
DEMAND_PERIOD_S = 0.1
# Demand below this is none, in statements per second.
LEAST_DEMAND = 0.01
# Arrivals vary by the root of their number; so many roots are kept in reserve.
RESERVE_ROOTS = 2.0
# A lender keeps this part of its slot.
KEPT_PART = 0.15
# Time in which waiting requests should be served, in seconds.
DRAIN_S = 0.2
# A loan is kept at least this long before it is given back, in seconds.
LEAST_LOAN_S = 0.3
# A borrower asks only when its tokens last for less than this, in seconds.
LOW_WATER_S = 0.5
# Loans below this share are not worth a message.
LEAST_LOAN = 0.002
# Least burst that an instance with demand needs, in statements.
LEAST_BURST = 2.0


class Loan(NamedTuple):
    """A share lent or borrowed, valid until `until` on the holder's clock."""

    loan_id: str
    share: float
    until: float


class BorrowRequest(NamedTuple):
    """Ask a peer to lend, or to extend a loan that it gave."""

    loan_id: str
    workspace: str
    share: float


class BorrowAnswer(NamedTuple):
    """What a peer lends; `tokens` are statements that it gave up as well."""

    loan_id: str
    workspace: str
    share: float
    tokens: float


class LoanReturn(NamedTuple):
    """Give a loan back before its end, with tokens that it left over."""

    loan_id: str
    workspace: str
    tokens: float


class Bucket:
    """One instance's part of a workspace's rate and burst."""

    def __init__(self, rate, burst, now):
        self.rate = rate
        self.burst = burst
        self.tokens = 0.0
        self.filled_at = now
        self.lent = {}
        self.borrowed = {}
        self.arrivals = 0
        self.waiting = 0
        self.fast_demand = 0.0
        self.slow_demand = 0.0
        self.demand_at = now


class ShareState:
    """The buckets of one instance and its slot of the fleet's shares."""

    def __init__(self, slots):
        self.slots = slots
        self.has_slot = False
        self.refill_from = 0.0
        self.valid_until = 0.0
        self.buckets = {}
        # Workspaces with demand or borrowed shares; only these need attention.
        self.active = set()
        self.answered = {}
        self.returned = {}


def take_slot(state, now, valid_until, is_first=False):
    """Start to hold a slot.

    It refills after all loans of its last holder have ended, at once if it
    never had one.
    """
    state.has_slot = True
    state.refill_from = now if is_first else now + LOAN_S
    state.valid_until = valid_until
    for bucket in state.buckets.values():
        _advance(state, bucket, now)


def renew_slot(state, valid_until):
    """Extend the time for which the slot is held."""
    state.valid_until = max(state.valid_until, valid_until)


def drop_slot(state, now):
    """Stop to hold the slot."""
    for bucket in state.buckets.values():
        _advance(state, bucket, now)
    state.has_slot = False
    state.valid_until = now


def configure(state, now, limits):
    """Take the rate and burst of every workspace: {name: (rate, burst)}."""
    for name in [name for name in state.buckets if name not in limits]:
        del state.buckets[name]
        state.active.discard(name)
    for name, (rate, burst) in limits.items():
        bucket = state.buckets.get(name)
        if bucket is None:
            state.buckets[name] = Bucket(rate, burst, now)
            continue
        _advance(state, bucket, now)
        bucket.rate = rate
        bucket.burst = burst
        bucket.tokens = min(bucket.tokens, _cap(state, bucket, now))


def _own_share(state, now):
    return 1.0 / state.slots if state.has_slot and now < state.valid_until else 0.0


def share(state, bucket, now):
    """Return the share that the bucket may use at `now`."""
    own = _own_share(state, now)
    lent = sum(loan.share for loan in bucket.lent.values() if loan.until > now)
    borrowed = sum(loan.share for loan in bucket.borrowed.values() if loan.until > now)
    return max(0.0, own - lent) + borrowed


def _cap(state, bucket, now):
    return bucket.burst * share(state, bucket, now)


def _change_times(state, bucket, now):
    loans = list(bucket.lent.values()) + list(bucket.borrowed.values())
    times = {loan.until for loan in loans} | {state.refill_from, state.valid_until}
    return sorted(time for time in times if bucket.filled_at < time < now) + [now]


def _advance(state, bucket, now):
    """Refill up to `now`, piece by piece between changes of the share."""
    if now <= bucket.filled_at:
        return
    for time in _change_times(state, bucket, now):
        middle = (bucket.filled_at + time) / 2
        part = share(state, bucket, middle)
        if middle < state.refill_from:
            part = sum(x.share for x in bucket.borrowed.values() if x.until > middle)
        added = bucket.rate * part * (time - bucket.filled_at)
        cap = bucket.burst * part
        bucket.tokens = min(bucket.tokens + added, cap)
        bucket.filled_at = time
    bucket.tokens = min(bucket.tokens, _cap(state, bucket, now))
    for loans in (bucket.lent, bucket.borrowed):
        for loan_id in [x.loan_id for x in loans.values() if x.until <= now]:
            del loans[loan_id]


def count_arrival(state, now, workspace):
    """Count a request for the estimate of demand."""
    state.buckets[workspace].arrivals += 1
    state.active.add(workspace)


def admit(state, now, workspace):
    """Take one token; return whether there was one."""
    bucket = state.buckets[workspace]
    _advance(state, bucket, now)
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True


def refill_rate(state, now, workspace):
    """Return the statements per second that this instance may serve now."""
    bucket = state.buckets[workspace]
    return bucket.rate * share(state, bucket, now)


def measure_demand(state, now):
    """Update the estimates of arrivals per second of active workspaces."""
    for name in list(state.active):
        bucket = state.buckets[name]
        if now - bucket.demand_at < DEMAND_PERIOD_S:
            continue
        # After idleness the arrivals are those of the latest period.
        elapsed = min(now - bucket.demand_at, 2 * DEMAND_PERIOD_S)
        seen = bucket.arrivals / elapsed
        bucket.fast_demand += FAST_WEIGHT * (seen - bucket.fast_demand)
        bucket.slow_demand += SLOW_WEIGHT * (seen - bucket.slow_demand)
        bucket.arrivals = 0
        bucket.demand_at = now
        demand = max(bucket.fast_demand, bucket.slow_demand)
        if demand < LEAST_DEMAND and not bucket.borrowed:
            bucket.fast_demand = bucket.slow_demand = 0.0
            state.active.discard(name)


def _with_reserve(demand):
    return demand + RESERVE_ROOTS * math.sqrt(demand)


def lendable_share(state, now, workspace):
    """Return the share of a workspace that this instance could lend."""
    bucket = state.buckets[workspace]
    demand = max(bucket.fast_demand, bucket.slow_demand)
    needed = _with_reserve(demand) / bucket.rate
    lent = sum(loan.share for loan in bucket.lent.values() if loan.until > now)
    # Borrowed shares are not lent on, so only the own slot counts.
    own = _own_share(state, now)
    return max(0.0, min(own * (1 - KEPT_PART), own - needed) - lent)


def _needed_share(bucket):
    waiting = bucket.waiting / DRAIN_S
    needed = (_with_reserve(bucket.fast_demand) + waiting) / bucket.rate
    # Less than the burst of two statements would serve nothing.
    needed = max(needed, LEAST_BURST / bucket.burst, LEAST_LOAN)
    # A workspace needs no more than its whole share.
    return min(needed, 1.0)


def missing_shares(state, now):
    """Return the share of each workspace that this instance should borrow."""
    found = {}
    for name in state.active:
        bucket = state.buckets[name]
        demand = max(bucket.fast_demand, bucket.waiting)
        if bucket.tokens > demand * LOW_WATER_S and bucket.tokens >= 1:
            continue
        missing = _needed_share(bucket) - share(state, bucket, now)
        if missing >= LEAST_LOAN and demand > 0:
            found[name] = missing
    return found


def loans_to_extend(state, now):
    """Return requests for the borrowed shares that are still needed."""
    requests = []
    for name in state.active:
        bucket = state.buckets[name]
        demand = max(bucket.fast_demand, bucket.slow_demand)
        surplus = share(state, bucket, now) - _with_reserve(demand) / bucket.rate
        for loan in bucket.borrowed.values():
            if loan.until <= now or loan.until - now > LOAN_S * (1 - EXTEND_AFTER):
                continue
            if surplus >= loan.share:
                surplus -= loan.share
                continue
            requests.append(BorrowRequest(loan.loan_id, name, loan.share))
    return requests


def loans_to_return(state, now):
    """Stop using the borrowed shares that are not needed; return the messages."""
    messages = []
    for name in state.active:
        bucket = state.buckets[name]
        if not bucket.borrowed:
            continue
        _advance(state, bucket, now)
        surplus = share(state, bucket, now) - _needed_share(bucket)
        for loan in list(bucket.borrowed.values()):
            is_young = loan.until - now > LOAN_S - LEAST_LOAN_S
            if is_young or surplus < loan.share:
                continue
            surplus -= loan.share
            messages.append(give_back(state, now, name, loan.loan_id))
    return messages


def give_back(state, now, workspace, loan_id):
    """Stop using a borrowed share; return the message, None if it has ended."""
    bucket = state.buckets[workspace]
    _advance(state, bucket, now)
    if bucket.borrowed.pop(loan_id, None) is None:
        return None
    # An answer that is still on its way must not start the loan again.
    state.returned[loan_id] = now
    _forget_old(state.returned, now)
    tokens = max(0.0, bucket.tokens - _cap(state, bucket, now))
    bucket.tokens -= tokens
    return LoanReturn(loan_id, workspace, tokens)


def take_back(state, now, message):
    """Use a share again that a borrower has given back; repeats are ignored."""
    bucket = state.buckets.get(message.workspace)
    if bucket is None:
        return
    _advance(state, bucket, now)
    if bucket.lent.pop(message.loan_id, None) is None:
        return
    cap = _cap(state, bucket, now)
    bucket.tokens = min(bucket.tokens + message.tokens, cap)


def lend(state, now, request):
    """Give up a share for LOAN_S and return the answer for the borrower."""
    bucket = state.buckets.get(request.workspace)
    if bucket is None:
        return BorrowAnswer(request.loan_id, request.workspace, 0.0, 0.0)
    _advance(state, bucket, now)
    held = bucket.lent.get(request.loan_id)
    if now >= state.valid_until:
        # The slot may have a new holder; it waits for loans made before only.
        return BorrowAnswer(request.loan_id, request.workspace, 0.0, 0.0)
    if held is not None:
        bucket.lent[request.loan_id] = held._replace(until=now + LOAN_S)
        return BorrowAnswer(request.loan_id, request.workspace, held.share, 0.0)
    _forget_old(state.answered, now)
    # A repeated request whose loan has ended must not start it again.
    if request.loan_id in state.answered or now < state.refill_from:
        return BorrowAnswer(request.loan_id, request.workspace, 0.0, 0.0)
    state.answered[request.loan_id] = now
    free = lendable_share(state, now, request.workspace)
    part = min(free, request.share)
    if part < LEAST_LOAN:
        return BorrowAnswer(request.loan_id, request.workspace, 0.0, 0.0)
    bucket.lent[request.loan_id] = Loan(request.loan_id, part, now + LOAN_S)
    cap = _cap(state, bucket, now)
    tokens = max(0.0, bucket.tokens - cap)
    bucket.tokens -= tokens
    return BorrowAnswer(request.loan_id, request.workspace, part, tokens)


def _forget_old(times, now):
    old = [key for key, at in times.items() if at < now - FORGET_S]
    for key in old:
        del times[key]


def borrow(state, now, answer, asked_at):
    """Use a lent share until LOAN_S after the question was sent."""
    bucket = state.buckets.get(answer.workspace)
    until = asked_at + LOAN_S
    if bucket is None or answer.share <= 0 or until <= now:
        return
    if answer.loan_id in state.returned:
        return
    _advance(state, bucket, now)
    held = bucket.borrowed.get(answer.loan_id)
    if held is not None:
        until = max(until, held.until)
    bucket.borrowed[answer.loan_id] = Loan(answer.loan_id, answer.share, until)
    if held is None:
        cap = _cap(state, bucket, now)
        bucket.tokens = min(bucket.tokens + answer.tokens, cap)
