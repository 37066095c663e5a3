"""Division of each workspace's rate and burst over the fleet without overlap.

The rate and burst of every workspace are divided into equal slots. These are not
the slots of a database, which are statements that it runs at the same time. The
holder of a slot may refill and spend only its own share. Shares are transferred as
loans.

The lender stops using a share before it answers, for a fixed time on its own
clock. The borrower uses the share from the arrival of the answer until the same
time after it sent its request. The lender therefore does not use a share while
the borrower does, and a lost message can waste a share but never duplicate it.

Shares are fractions of a workspace's whole rate and burst.

Used by `entry`, the entry daemon for MySQL databases. `node`, the daemon on the
users' platform, divides rates by `division`.
"""

import math
from typing import NamedTuple

LOAN_S = 2.0  # duration of a loan
# A loan is extended once this fraction of its time has passed.
EXTEND_AFTER = 0.5
# Ids of answered and returned loans are kept for this long.
LOAN_ID_KEPT_S = 20.0
# Weights of the latest period in the two moving averages of demand.
FAST_WEIGHT = 0.5
SLOW_WEIGHT = 0.05
DEMAND_PERIOD_S = 0.1
MIN_DEMAND_PER_S = 0.01  # statements per second; lower demand counts as none
# The standard deviation of a number of arrivals is about its square root. This
# many standard deviations are added to the demand as a reserve.
RESERVE_DEVIATIONS = 2.0
KEPT_FRACTION = 0.15  # of its slot, which a lender never lends
DRAIN_S = 0.2  # waiting requests should be served within this time
MIN_LOAN_S = 0.3  # a loan is not returned earlier than this
# A borrower sends requests only when its tokens last for less than this.
LOW_WATER_S = 0.5
MIN_LOAN_SHARE = 0.002  # smaller loans do not justify a message
MIN_BURST = 2.0  # statements; an instance with a smaller burst would serve none


class Loan(NamedTuple):
    """A lent or borrowed share, valid until `until` on this instance's clock."""

    loan_id: str
    share: float
    until: float


class BorrowRequest(NamedTuple):
    """A request to a peer to lend a share or to extend a loan."""

    loan_id: str
    workspace: str
    share: float


class BorrowAnswer(NamedTuple):
    """The share that a peer lends, and the tokens that it transfers with it."""

    loan_id: str
    workspace: str
    share: float
    tokens: float


class LoanReturn(NamedTuple):
    """The return of a loan before its end, with the tokens left over from it."""

    loan_id: str
    workspace: str
    tokens: float


class Bucket:
    """One instance's tokens, loans and demand of a workspace."""

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
    """The buckets of one instance and its slot of the fleet's shares.

    A slot is one of `slots` equal shares of every workspace's rate and burst.
    It refills from `refill_from` and may be used until `valid_until`. `answered`
    maps the ids of recent loans to the times of the first answers, `returned` to the
    times of the returns.
    """

    def __init__(self, slots):
        self.slots = slots
        self.has_slot = False
        self.refill_from = 0.0
        self.valid_until = 0.0
        self.buckets = {}
        # Workspaces with demand or borrowed shares. All others are skipped.
        self.active = set()
        self.answered = {}
        self.returned = {}


def take_slot(state, now, valid_until, is_first=False):
    """Start to use a slot.

    The slot refills once all loans of its previous holder have ended, or at once
    if it never had a holder.
    """
    state.has_slot = True
    state.refill_from = now if is_first else now + LOAN_S
    state.valid_until = valid_until
    for bucket in state.buckets.values():
        _refill(state, bucket, now)


def renew_slot(state, valid_until):
    """Extend the time until which the slot may be used."""
    state.valid_until = max(state.valid_until, valid_until)


def drop_slot(state, now):
    """Stop using the slot."""
    for bucket in state.buckets.values():
        _refill(state, bucket, now)
    state.has_slot = False
    state.valid_until = now


def configure(state, now, limits):
    """Set the rate and burst of every workspace: {name: (rate, burst)}."""
    for name in [name for name in state.buckets if name not in limits]:
        del state.buckets[name]
        state.active.discard(name)
    for name, (rate, burst) in limits.items():
        bucket = state.buckets.get(name)
        if bucket is None:
            state.buckets[name] = Bucket(rate, burst, now)
            continue
        _refill(state, bucket, now)
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


def _refill(state, bucket, now):
    """Refill the bucket up to `now`, in steps between the changes of its share."""
    if now <= bucket.filled_at:
        return
    for time in _change_times(state, bucket, now):
        midpoint = (bucket.filled_at + time) / 2
        usable_share = share(state, bucket, midpoint)
        if midpoint < state.refill_from:
            # Only borrowed shares refill while loans of the previous holder last.
            usable_share = sum(
                x.share for x in bucket.borrowed.values() if x.until > midpoint
            )
        added = bucket.rate * usable_share * (time - bucket.filled_at)
        cap = bucket.burst * usable_share
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
    """Take one token; return whether one was available."""
    bucket = state.buckets[workspace]
    _refill(state, bucket, now)
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True


def refill_rate(state, now, workspace):
    """Return the statements per second that this instance may admit now."""
    bucket = state.buckets[workspace]
    return bucket.rate * share(state, bucket, now)


def measure_demand(state, now):
    """Update the moving averages of demand of the active workspaces."""
    for name in list(state.active):
        bucket = state.buckets[name]
        if now - bucket.demand_at < DEMAND_PERIOD_S:
            continue
        # After an idle time, all arrivals belong to the latest period.
        elapsed = min(now - bucket.demand_at, 2 * DEMAND_PERIOD_S)
        arrivals_per_s = bucket.arrivals / elapsed
        bucket.fast_demand += FAST_WEIGHT * (arrivals_per_s - bucket.fast_demand)
        bucket.slow_demand += SLOW_WEIGHT * (arrivals_per_s - bucket.slow_demand)
        bucket.arrivals = 0
        bucket.demand_at = now
        demand = max(bucket.fast_demand, bucket.slow_demand)
        if demand < MIN_DEMAND_PER_S and not bucket.borrowed:
            bucket.fast_demand = bucket.slow_demand = 0.0
            state.active.discard(name)


def _with_reserve(demand):
    return demand + RESERVE_DEVIATIONS * math.sqrt(demand)


def lendable_share(state, now, workspace):
    """Return the share of a workspace that this instance can lend."""
    bucket = state.buckets[workspace]
    demand = max(bucket.fast_demand, bucket.slow_demand)
    needed = _with_reserve(demand) / bucket.rate
    lent = sum(loan.share for loan in bucket.lent.values() if loan.until > now)
    # Borrowed shares cannot be lent, so only the own slot counts.
    own = _own_share(state, now)
    return max(0.0, min(own * (1 - KEPT_FRACTION), own - needed) - lent)


def _needed_share(bucket):
    waiting_per_s = bucket.waiting / DRAIN_S
    needed = (_with_reserve(bucket.fast_demand) + waiting_per_s) / bucket.rate
    needed = max(needed, MIN_BURST / bucket.burst, MIN_LOAN_SHARE)
    # The whole rate of the workspace is the limit.
    return min(needed, 1.0)


def missing_shares(state, now):
    """Return the shares that this instance should borrow, by workspace."""
    shares = {}
    for name in state.active:
        bucket = state.buckets[name]
        demand = max(bucket.fast_demand, bucket.waiting)
        if bucket.tokens > demand * LOW_WATER_S and bucket.tokens >= 1:
            continue
        missing = _needed_share(bucket) - share(state, bucket, now)
        if missing >= MIN_LOAN_SHARE and demand > 0:
            shares[name] = missing
    return shares


def loans_to_extend(state, now):
    """Return requests that extend the borrowed shares that are still needed."""
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
    """Stop using borrowed shares that are not needed; return LoanReturn messages."""
    messages = []
    for name in state.active:
        bucket = state.buckets[name]
        if not bucket.borrowed:
            continue
        _refill(state, bucket, now)
        surplus = share(state, bucket, now) - _needed_share(bucket)
        for loan in list(bucket.borrowed.values()):
            is_recent = loan.until - now > LOAN_S - MIN_LOAN_S
            if is_recent or surplus < loan.share:
                continue
            surplus -= loan.share
            messages.append(give_back(state, now, name, loan.loan_id))
    return messages


def give_back(state, now, workspace, loan_id):
    """Stop using a borrowed share; return a LoanReturn, or None if it has ended."""
    bucket = state.buckets[workspace]
    _refill(state, bucket, now)
    if bucket.borrowed.pop(loan_id, None) is None:
        return None
    # An answer that arrives later must not start the loan again.
    state.returned[loan_id] = now
    _remove_expired_ids(state.returned, now)
    tokens = max(0.0, bucket.tokens - _cap(state, bucket, now))
    bucket.tokens -= tokens
    return LoanReturn(loan_id, workspace, tokens)


def take_back(state, now, message):
    """Handle a LoanReturn: use the share again; ignore repeated messages."""
    bucket = state.buckets.get(message.workspace)
    if bucket is None:
        return
    _refill(state, bucket, now)
    if bucket.lent.pop(message.loan_id, None) is None:
        return
    cap = _cap(state, bucket, now)
    bucket.tokens = min(bucket.tokens + message.tokens, cap)


def lend(state, now, request):
    """Handle a BorrowRequest: stop using a share for LOAN_S; return the answer."""
    bucket = state.buckets.get(request.workspace)
    if bucket is None:
        return BorrowAnswer(request.loan_id, request.workspace, 0.0, 0.0)
    _refill(state, bucket, now)
    existing = bucket.lent.get(request.loan_id)
    if now >= state.valid_until:
        # The slot may have a new holder, which waits only for earlier loans.
        return BorrowAnswer(request.loan_id, request.workspace, 0.0, 0.0)
    if existing is not None:
        bucket.lent[request.loan_id] = existing._replace(until=now + LOAN_S)
        return BorrowAnswer(request.loan_id, request.workspace, existing.share, 0.0)
    _remove_expired_ids(state.answered, now)
    # A repeated request must not start a loan again after it has ended.
    if request.loan_id in state.answered or now < state.refill_from:
        return BorrowAnswer(request.loan_id, request.workspace, 0.0, 0.0)
    state.answered[request.loan_id] = now
    available = lendable_share(state, now, request.workspace)
    lent_share = min(available, request.share)
    if lent_share < MIN_LOAN_SHARE:
        return BorrowAnswer(request.loan_id, request.workspace, 0.0, 0.0)
    bucket.lent[request.loan_id] = Loan(request.loan_id, lent_share, now + LOAN_S)
    cap = _cap(state, bucket, now)
    tokens = max(0.0, bucket.tokens - cap)
    bucket.tokens -= tokens
    return BorrowAnswer(request.loan_id, request.workspace, lent_share, tokens)


def _remove_expired_ids(times, now):
    expired = [key for key, at in times.items() if at < now - LOAN_ID_KEPT_S]
    for key in expired:
        del times[key]


def borrow(state, now, answer, asked_at):
    """Handle a BorrowAnswer: use the share until LOAN_S after the request."""
    bucket = state.buckets.get(answer.workspace)
    until = asked_at + LOAN_S
    if bucket is None or answer.share <= 0 or until <= now:
        return
    if answer.loan_id in state.returned:
        return
    _refill(state, bucket, now)
    existing = bucket.borrowed.get(answer.loan_id)
    if existing is not None:
        until = max(until, existing.until)
    bucket.borrowed[answer.loan_id] = Loan(answer.loan_id, answer.share, until)
    if existing is None:
        cap = _cap(state, bucket, now)
        bucket.tokens = min(bucket.tokens + answer.tokens, cap)
