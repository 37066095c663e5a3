"""Suspicion of a primary, and the steps of a promotion.

The steps are: claim a new term in the store by compare-and-swap; have a
majority of databases accept the term, which stops them following the old
primary; promote the accepted one with the greatest received position; tell
the others whom to follow; record the result. Every step carries the term,
so that late steps of a paused promoter have no effect.
"""

from typing import NamedTuple

from dragonflywing.decisions.positions import majority

# A primary whose log does not reach a majority is suspected after this many
# times the ordinary limit.
STALLED_FACTOR = 4


class Claim(NamedTuple):
    """Write the new term to the group's record."""

    term: int


class AcceptTerm(NamedTuple):
    """Tell a database the new term, without a primary to follow."""

    database: str
    term: int


class Promote(NamedTuple):
    """Make a database the primary of the term."""

    database: str
    term: int


class Follow(NamedTuple):
    """Tell a database to follow the new primary."""

    database: str
    term: int
    primary: str


class Record(NamedTuple):
    """Write the new primary to the group's record."""

    term: int
    primary: str


class Finished(NamedTuple):
    """The promotion ended; `primary` is None if it failed."""

    primary: str | None
    reason: str


class SuspicionState:
    """What one instance has seen of a group's primary."""

    def __init__(self, now):
        self.seen_at = now
        self.term = 0
        self.primary = None
        self.sent = []
        self.ahead_since = None


def record_primary_status(state, now, status):
    """Note an answer of the primary."""
    if status.term < state.term:
        return
    if status.term > state.term:
        state.sent = []
        state.ahead_since = None
    state.term = status.term
    state.primary = status.database
    state.seen_at = now
    state.sent.append((now, status.received))
    state.sent = state.sent[-64:]


def record_majority_position(state, now, position):
    """Note the greatest position that a majority has received."""
    state.sent = [item for item in state.sent if item[1] > position]


def record_newest_term(state, now, term):
    """Note the greatest term that a database has accepted.

    One that accepted the term of a failed promotion follows no primary until
    the next promotion.
    """
    if term <= state.term:
        state.ahead_since = None
    elif state.ahead_since is None:
        state.ahead_since = now


def suspects(state, now, suspect_s):
    """Return whether the primary is silent, stalled or overtaken by a term."""
    if now - state.seen_at > suspect_s:
        return True
    limit = suspect_s * STALLED_FACTOR
    oldest = state.sent[0][0] if state.sent else now
    ahead = now if state.ahead_since is None else state.ahead_since
    return now - min(oldest, ahead) > limit


def stored_by_majority(statuses, size):
    """Return the greatest position that a majority has received, or None."""
    positions = sorted((status.received for status in statuses), reverse=True)
    needed = majority(size)
    return positions[needed - 1] if len(positions) >= needed else None


class Promotion:
    """One attempt to replace the primary of a group."""

    def __init__(self, databases, term, now, timeout_s):
        self.databases = tuple(databases)
        self.term = term
        self.deadline = now + timeout_s
        self.phase = "claim"
        self.accepted = {}
        self.answered = set()
        self.chosen = None


def start(state):
    """Return the first step."""
    return [Claim(state.term)]


def handle_claim_result(state, won):
    """Take the result of the claim."""
    if state.phase != "claim":
        return []
    if not won:
        return _finish(state, None, "claim_lost")
    state.phase = "accept"
    return [AcceptTerm(name, state.term) for name in state.databases]


def handle_accept_result(state, database, status):
    """Take a database's answer to AcceptTerm; None if it failed or refused."""
    if database in state.answered:
        return []
    state.answered.add(database)
    if status is not None and status.term == state.term:
        state.accepted[database] = status
    if state.phase == "accept":
        return _choose(state)
    late = status is not None and state.phase in ("record", "done") and state.chosen
    return [Follow(database, state.term, state.chosen)] if late else []


def promotion_quorum(size):
    """Return how many databases meet every majority that can store a write."""
    return size - majority(size) + 1


def _choose(state):
    size = len(state.databases)
    staying = [status for status in state.accepted.values() if not status.leaving]
    all_answered = len(state.answered) == size
    if len(staying) >= max(promotion_quorum(size), 1):
        able = staying
    elif all_answered and len(state.accepted) >= majority(size):
        able = list(state.accepted.values())
    elif all_answered:
        return _finish(state, None, "no_majority")
    else:
        return []
    best = max(able, key=lambda status: (status.received, status.database))
    state.phase = "promote"
    state.chosen = best.database
    return [Promote(state.chosen, state.term)]


def handle_promote_result(state, done):
    """Take the chosen database's answer to Promote."""
    if state.phase != "promote":
        return []
    if not done:
        return _finish(state, None, "promote_refused")
    state.phase = "record"
    followers = [name for name in state.accepted if name != state.chosen]
    steps = [Follow(name, state.term, state.chosen) for name in followers]
    return [*steps, Record(state.term, state.chosen)]


def handle_record_result(state):
    """Take the store's answer to Record; its failure does not undo the rest."""
    return _finish(state, state.chosen, "promoted") if state.phase == "record" else []


def expire(state, now):
    """Give up after the deadline."""
    if state.phase == "done" or now < state.deadline:
        return []
    return _finish(state, None, "timeout")


def _finish(state, primary, reason):
    state.phase = "done"
    return [Finished(primary, reason)]
