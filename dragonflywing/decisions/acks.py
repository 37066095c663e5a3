"""Acknowledgement of writes once a majority has stored them in the same term.

A write at (term, index) is acknowledged when a majority of the group's
databases, including the primary, has received it and has accepted no later
term. A promotion needs votes from a majority, which contains at least one of
these databases. Acknowledged writes therefore survive a promotion, and writes
on a replaced primary are not acknowledged.
"""

from typing import NamedTuple

from dragonflywing.decisions.positions import majority


class Acked(NamedTuple):
    """The waiter's write has been stored by a majority in its term."""

    waiter: int


class Unconfirmed(NamedTuple):
    """The waiter's write was not confirmed and may be lost."""

    waiter: int
    reason: str


class _Pending(NamedTuple):
    position: tuple
    deadline: float


class AckState:
    """The unacknowledged writes of one group."""

    def __init__(self, size):
        self.size = size
        self.pending = {}
        self.statuses = {}


def has_write(status, position):
    """Return whether a database has stored the write and accepted no later term."""
    if status.term != position.term:
        return False
    return status.received.term == position.term and (
        status.received.index >= position.index
    )


def add_write(state, waiter, position, deadline):
    """Add a write that was committed at `position`; return the resulting messages."""
    state.pending[waiter] = _Pending(position, deadline)
    return _resolve(state, waiter)


def record_status(state, status):
    """Record a database's status; return the resulting messages.

    The status must have been requested after the writes that it may confirm.
    """
    state.statuses[status.database] = status
    messages = []
    for waiter in list(state.pending):
        messages += _resolve(state, waiter)
    return messages


def forget_database(state, database):
    """Remove the status of a database whose connection was lost."""
    state.statuses.pop(database, None)


def expire(state, now):
    """Remove the writes whose deadline has passed; return their messages."""
    expired = [waiter for waiter, item in state.pending.items() if item.deadline <= now]
    for waiter in expired:
        del state.pending[waiter]
    return [Unconfirmed(waiter, "ack_timeout") for waiter in expired]


def highest_pending(state):
    """Return the greatest position of the pending writes, or None."""
    if not state.pending:
        return None
    return max(item.position for item in state.pending.values())


def _resolve(state, waiter):
    position = state.pending[waiter].position
    statuses = state.statuses.values()
    stored = sum(1 for status in statuses if has_write(status, position))
    if stored >= majority(state.size):
        del state.pending[waiter]
        return [Acked(waiter)]
    superseded = sum(1 for status in statuses if status.term > position.term)
    if superseded >= majority(state.size):
        del state.pending[waiter]
        return [Unconfirmed(waiter, "primary_replaced")]
    return []
