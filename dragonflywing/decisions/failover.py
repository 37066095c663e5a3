"""Failure detection for a primary and the steps of a promotion.

The steps are:

1. Claim a new term in the store by compare-and-swap.
2. Have a majority of databases accept the term, so that they stop following the
   old primary.
3. Promote the database with the greatest received position among them.
4. Configure the other databases to follow it.
5. Record the new primary in the store.

Every step carries the term, so that delayed steps of a paused promoter have no
effect.

Used by `group` and `promoter` for MySQL databases. On the users' platform,
`replacer` uses `replacement`.
"""

from typing import NamedTuple

from dragonflywing.decisions.positions import majority

# A primary whose log does not reach a majority is suspected after this multiple
# of the timeout for a silent primary.
STALLED_FACTOR = 4


class Claim(NamedTuple):
    """Write the new term to the group's record in the store."""

    term: int


class StepDown(NamedTuple):
    """Have the primary accept the new term before the others do."""

    database: str
    term: int


class CatchUp(NamedTuple):
    """Wait a short time until databases have received a position."""

    databases: tuple
    position: tuple


class AcceptTerm(NamedTuple):
    """Have a database accept the new term, in which it follows no primary yet."""

    database: str
    term: int


class Promote(NamedTuple):
    """Make a database the primary of the term."""

    database: str
    term: int


class Follow(NamedTuple):
    """Have a database follow the new primary."""

    database: str
    term: int
    primary: str


class Record(NamedTuple):
    """Write the new primary to the group's record in the store."""

    term: int
    primary: str


class Finished(NamedTuple):
    """The promotion has ended; `primary` is None if it failed."""

    primary: str | None
    reason: str


class SuspicionState:
    """What one instance has observed of a group's primary.

    `unreplicated` holds times and positions of the primary that no majority is
    known to have received. `later_term_since` is the time since which a database
    has been in a later term than the primary's, or None.
    """

    def __init__(self, now):
        self.seen_at = now
        self.term = 0
        self.primary = None
        self.unreplicated = []
        self.later_term_since = None


def record_primary_status(state, now, status):
    """Record a status received from the primary."""
    if status.term < state.term:
        return
    if status.term > state.term:
        state.unreplicated = []
        state.later_term_since = None
    state.term = status.term
    state.primary = status.database
    state.seen_at = now
    state.unreplicated.append((now, status.received))
    state.unreplicated = state.unreplicated[-64:]


def record_majority_position(state, now, position):
    """Record the greatest position that a majority has received."""
    state.unreplicated = [item for item in state.unreplicated if item[1] > position]


def record_latest_term(state, now, term):
    """Record the latest term that any database has accepted.

    A database that accepted the term of a failed promotion follows no primary
    until the next promotion.
    """
    if term <= state.term:
        state.later_term_since = None
    elif state.later_term_since is None:
        state.later_term_since = now


def suspects(state, now, suspect_s):
    """Return whether the primary is silent, stalled or behind the latest term."""
    if now - state.seen_at > suspect_s:
        return True
    limit = suspect_s * STALLED_FACTOR
    oldest = state.unreplicated[0][0] if state.unreplicated else now
    later_term_at = now if state.later_term_since is None else state.later_term_since
    return now - min(oldest, later_term_at) > limit


def stored_by_majority(statuses, size):
    """Return the greatest position that a majority has received, or None."""
    positions = sorted((status.received for status in statuses), reverse=True)
    needed = majority(size)
    return positions[needed - 1] if len(positions) >= needed else None


class Promotion:
    """One attempt to replace the primary of a group.

    `phase` is "claim", "step_down", "catch_up", "accept", "promote", "record" or
    "done". `accepted` holds the statuses of the databases that have accepted the term,
    `responded` all that have answered AcceptTerm, and `chosen` the one to promote.
    `excluded` databases, which are in evacuated data centres, are never promoted.
    `moved` is the primary if it answers and is only to be moved, or None.
    """

    def __init__(self, databases, term, now, timeout_s, excluded=(), moved=None):
        self.moved = moved
        self.excluded = frozenset(excluded)
        self.databases = tuple(databases)
        self.term = term
        self.deadline = now + timeout_s
        self.phase = "claim"
        self.accepted = {}
        self.responded = set()
        self.chosen = None


def start(state):
    """Return the first steps of the promotion."""
    return [Claim(state.term)]


def handle_claim_result(state, won):
    """Handle the result of Claim; return the next steps."""
    if state.phase != "claim":
        return []
    if not won:
        return _finish(state, None, "claim_lost")
    if state.moved is not None:
        state.phase = "step_down"
        return [StepDown(state.moved, state.term)]
    return _accept(state, state.databases)


def _accept(state, databases):
    state.phase = "accept"
    return [AcceptTerm(name, state.term) for name in databases]


def handle_step_down_result(state, status):
    """Handle the primary's answer to StepDown; return the next steps.

    `status` is None if the request failed or was refused.
    """
    if state.phase != "step_down":
        return []
    if status is None or status.term != state.term:
        return _accept(state, state.databases)
    state.phase = "catch_up"
    state.accepted[state.moved] = status
    state.responded.add(state.moved)
    return [CatchUp(_others(state), status.received)]


def _others(state):
    return tuple(name for name in state.databases if name != state.moved)


def handle_catch_up_result(state):
    """Handle the end of CatchUp; return the next steps."""
    return _accept(state, _others(state)) if state.phase == "catch_up" else []


def handle_accept_result(state, database, status):
    """Handle a database's answer to AcceptTerm; return the next steps.

    `status` is None if the request failed or was refused.
    """
    if database in state.responded:
        return []
    state.responded.add(database)
    if status is not None and status.term == state.term:
        state.accepted[database] = status
    if state.phase == "accept":
        return _choose_primary(state)
    is_late = status is not None and state.phase in ("record", "done") and state.chosen
    return [Follow(database, state.term, state.chosen)] if is_late else []


def promotion_quorum(size):
    """Return how many databases are needed to intersect every majority."""
    return size - majority(size) + 1


def _choose_primary(state):
    size = len(state.databases)
    usable = [x for x in state.accepted.values() if x.database not in state.excluded]
    not_leaving = [status for status in usable if not status.leaving]
    all_responded = len(state.responded) == size
    if len(not_leaving) >= max(promotion_quorum(size), 1):
        eligible = not_leaving
    elif all_responded and len(state.accepted) >= majority(size):
        longest = max(status.received for status in state.accepted.values())
        eligible = [status for status in usable if status.received == longest]
        if not eligible:
            return _finish(state, None, "evacuated")
    elif all_responded:
        return _finish(state, None, "no_majority")
    else:
        return []
    best = max(eligible, key=lambda status: (status.received, status.database))
    state.phase = "promote"
    state.chosen = best.database
    return [Promote(state.chosen, state.term)]


def handle_promote_result(state, succeeded):
    """Handle the chosen database's answer to Promote; return the next steps."""
    if state.phase != "promote":
        return []
    if not succeeded:
        return _finish(state, None, "promote_refused")
    state.phase = "record"
    followers = [name for name in state.accepted if name != state.chosen]
    steps = [Follow(name, state.term, state.chosen) for name in followers]
    return [*steps, Record(state.term, state.chosen)]


def handle_record_result(state):
    """Handle the end of Record; the promotion counts even if the write failed."""
    return _finish(state, state.chosen, "promoted") if state.phase == "record" else []


def expire(state, now):
    """End the promotion as failed once its deadline has passed."""
    if state.phase == "done" or now < state.deadline:
        return []
    return _finish(state, None, "timeout")


def _finish(state, primary, reason):
    state.phase = "done"
    return [Finished(primary, reason)]
