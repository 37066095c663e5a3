"""Acknowledgement of writes once a majority stores them in the same term.

A write at (term, index) is acknowledged when a majority of the group's
databases, the primary included, has received it and has accepted no later
term. A promotion needs the word of a majority, so it meets at least one of
these databases: the write survives, and no replaced primary acknowledges.
"""

from typing import NamedTuple

from dragonflywing.decisions.positions import majority


class Acked(NamedTuple):
    """The waiter's write is stored by a majority in its term."""

    waiter: int


class Unconfirmed(NamedTuple):
    """The waiter's write may or may not survive."""

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
    """Return whether a status proves the write stored in an unreplaced term."""
    if status.term != position.term:
        return False
    return status.received.term == position.term and (
        status.received.index >= position.index
    )


def add_write(state, waiter, position, deadline):
    """Add a write that was committed at `position`; return what follows."""
    state.pending[waiter] = _Pending(position, deadline)
    return _settle(state, waiter)


def record_status(state, status):
    """Take the status of a database, asked after the writes it is to confirm."""
    state.statuses[status.database] = status
    messages = []
    for waiter in list(state.pending):
        messages += _settle(state, waiter)
    return messages


def forget_database(state, database):
    """Drop what is known of a database whose connection was lost."""
    state.statuses.pop(database, None)


def expire(state, now):
    """Give up the writes whose deadline has passed."""
    late = [waiter for waiter, item in state.pending.items() if item.deadline <= now]
    for waiter in late:
        del state.pending[waiter]
    return [Unconfirmed(waiter, "ack_timeout") for waiter in late]


def highest_pending(state):
    """Return the greatest position that still waits, or None."""
    if not state.pending:
        return None
    return max(item.position for item in state.pending.values())


def _settle(state, waiter):
    position = state.pending[waiter].position
    statuses = state.statuses.values()
    stored = sum(1 for status in statuses if has_write(status, position))
    if stored >= majority(state.size):
        del state.pending[waiter]
        return [Acked(waiter)]
    replaced = sum(1 for status in statuses if status.term > position.term)
    if replaced >= majority(state.size):
        del state.pending[waiter]
        return [Unconfirmed(waiter, "primary_replaced")]
    return []
