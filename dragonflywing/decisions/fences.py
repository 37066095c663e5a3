"""Fences: rounds of status queries that establish the floor of waiting reads.

A read without a session token must include every write acknowledged before it
arrived. It needs a position of the group's primary that was reported after the
read arrived, and the confirmation of a quorum that the primary has not been
replaced. One round serves all reads that are waiting when it starts. Reads that
arrive during a round wait for the next one, so that a group has at most one
round in flight at any rate of reads.
"""

from typing import NamedTuple

from dragonflywing.decisions.positions import confirmed_primary


class Query(NamedTuple):
    """Request a database's status for the given round."""

    round_id: int
    database: str


class Granted(NamedTuple):
    """The floor of a waiter, its primary and term, and when the round started."""

    waiter: int
    position: tuple
    primary: str
    asked_at: float
    term: int


class Refused(NamedTuple):
    """No quorum confirmed a primary in this waiter's round."""

    waiter: int


class FenceState:
    """The waiters and the round in flight of one group.

    `active_waiters` are served by the round in flight, `next_waiters` by the one
    after it. The round asks `asked`, of which `unanswered` have not answered, and
    needs `asked_quorum` of them; the next one asks `databases`.
    """

    def __init__(self, databases, quorum=None):
        self.databases = tuple(databases)
        self.quorum = quorum
        self.asked = ()
        self.asked_quorum = None
        self.round_id = 0
        self.next_waiters = []
        self.active_waiters = []
        self.unanswered = set()
        self.statuses = []
        self.asked_at = 0.0
        self.deadline = 0.0


def add_waiter(state, now, waiter, timeout_s):
    """Add a waiter; if no round is in flight, start one and return its queries."""
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
    state.asked, state.asked_quorum = state.databases, state.quorum
    state.unanswered = set(state.asked)
    state.statuses = []
    state.asked_at = now
    state.deadline = now + timeout_s
    return [Query(state.round_id, name) for name in state.asked]


def handle_status(
    state, now, round_id, database, status, timeout_s, is_permitted=False
):
    """Handle a database's status, None if the query failed; return messages.

    A primary that is permitted has not been replaced, and needs no confirmation.
    """
    if round_id != state.round_id or database not in state.unanswered:
        return []
    state.unanswered.discard(database)
    if status is not None:
        state.statuses.append(status)
    quorum = 1 if is_permitted else state.asked_quorum
    primary = confirmed_primary(state.statuses, len(state.asked), quorum)
    if primary is None:
        return _refuse_round(state, now, timeout_s) if not state.unanswered else []
    granted = [
        Granted(waiter, primary.applied, primary.database, state.asked_at, primary.term)
        for waiter in state.active_waiters
    ]
    state.active_waiters = []
    state.unanswered = set()
    return granted + _start_round(state, now, timeout_s)


def expire(state, now, timeout_s):
    """Refuse the waiters of a round whose deadline has passed; return messages."""
    if not state.active_waiters or now < state.deadline:
        return []
    return _refuse_round(state, now, timeout_s)


def _refuse_round(state, now, timeout_s):
    refused = [Refused(waiter) for waiter in state.active_waiters]
    state.active_waiters = []
    state.unanswered = set()
    return refused + _start_round(state, now, timeout_s)
