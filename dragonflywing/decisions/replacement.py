"""When to replace a primary, and by which database, without losing a write.

Answers a primary that crashes, goes dark, is cut off from its replicas or
leaves. A write is acknowledged once the primary and `sync_replicas` others
hold it. A replica that is paused for a term acknowledges no more writes, nor
does a primary that has stepped down. Once enough databases have done so to
meet every set that can acknowledge, the longest log among them holds every
acknowledged write, and only a database with that log may lead the next term.
"""

from typing import NamedTuple

# A primary that nobody reaches for so long is replaced.
SILENT_S = 0.7
# A primary whose writes reach no replica for so long is replaced.
STALLED_S = 1.0


class PausedDatabase(NamedTuple):
    """A database that has stopped for the new term, and how long its log is."""

    database: str
    received: tuple
    is_leaving: bool
    in_own_data_centre: bool


class HealthState:
    """What the holder of the duty has seen of one group's primary.

    `pending_position` is a position that the primary reported at `pending_since`
    and that no replica is known to have received.
    """

    def __init__(self, now):
        self.seen_at = now
        self.pending_position = None
        self.pending_since = now
        self.is_behind = False
        self.asked_at = 0.0


def record_positions(state, now, received, replicas):
    """Note the positions that the primary and its replicas have told."""
    state.seen_at = now
    reached = (
        not replicas
        or state.pending_position is None
        or max(replicas) >= state.pending_position
    )
    if reached:
        state.pending_position = received
        state.pending_since = now
    state.is_behind = not reached


def is_silent(state, now):
    """Return whether nobody has reached the primary for too long."""
    return now - state.seen_at > SILENT_S


def is_stalled(state, now):
    """Return whether the replicas have been behind the primary for too long."""
    return state.is_behind and now - state.pending_since > STALLED_S


def choose(held, quorum):
    """Return the database that may lead, or None while too few have stopped."""
    if len(held) < quorum:
        return None
    longest = max(item.received for item in held)
    able = [item for item in held if item.received == longest]
    staying = [item for item in able if not item.is_leaving]
    if not staying:
        # A leaving database leads rather than none; it is replaced next.
        staying = able
    return max(
        staying, key=lambda item: (item.in_own_data_centre, item.database)
    ).database
