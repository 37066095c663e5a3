"""Coalesced fences: one round of status queries serves all waiting reads.

A read that has no session token needs the position of the group's primary,
taken after the read arrived, and the word of a majority that the primary has
not been replaced. Reads that arrive while a round is under way wait for the
next one, so a group has at most one round in flight at any rate of reads.
"""

from typing import NamedTuple

from dragonflywing.decisions.positions import confirmed_primary


class Query(NamedTuple):
    """Ask a database for its status in the given round."""

    round_id: int
    database: str


class Granted(NamedTuple):
    """The fence of a waiter: the floor, its primary, and when that was asked."""

    waiter: int
    position: tuple
    primary: str
    asked_at: float


class Refused(NamedTuple):
    """No majority confirmed a primary for this waiter's round."""

    waiter: int


class FenceState:
    """The waiters and the round in flight of one group."""

    def __init__(self, databases, quorum=None):
        self.databases = tuple(databases)
        self.quorum = quorum
        self.round_id = 0
        self.next_waiters = []
        self.active_waiters = []
        self.unanswered = set()
        self.statuses = []
        self.asked_at = 0.0
        self.deadline = 0.0


def add_waiter(state, now, waiter, timeout_s):
    """Add a waiter; return the queries of a new round if none is in flight."""
    state.next_waiters.append(waiter)
    if state.active_waiters:
        return []
    return _start_round(state, now, timeout_s)


def _start_round(state, now, timeout_s):
    if not state.next_waiters:
        return []
    state.round_id += 1
    state.active_waiters = state.next_waiters
    state.next_waiters = []
    state.unanswered = set(state.databases)
    state.statuses = []
    state.asked_at = now
    state.deadline = now + timeout_s
    return [Query(state.round_id, name) for name in state.databases]


def handle_status(state, now, round_id, database, status, timeout_s):
    """Take a database's status (None if it failed); return what follows."""
    if round_id != state.round_id or database not in state.unanswered:
        return []
    state.unanswered.discard(database)
    if status is not None:
        state.statuses.append(status)
    leader = confirmed_primary(state.statuses, len(state.databases), state.quorum)
    if leader is None:
        return _refuse_round(state, now, timeout_s) if not state.unanswered else []
    granted = [
        Granted(waiter, leader.applied, leader.database, state.asked_at)
        for waiter in state.active_waiters
    ]
    state.active_waiters = []
    state.unanswered = set()
    return granted + _start_round(state, now, timeout_s)


def expire(state, now, timeout_s):
    """End a round that has passed its deadline."""
    if not state.active_waiters or now < state.deadline:
        return []
    return _refuse_round(state, now, timeout_s)


def _refuse_round(state, now, timeout_s):
    refused = [Refused(waiter) for waiter in state.active_waiters]
    state.active_waiters = []
    state.unanswered = set()
    return refused + _start_round(state, now, timeout_s)
