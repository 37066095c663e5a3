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


class Held(NamedTuple):
    """A database that has stopped for the new term, and how long its log is."""

    database: str
    received: tuple
    is_leaving: bool
    is_near: bool


class HealthState:
    """What the holder of the duty has seen of one group's primary.

    `wanted` is a position of the primary, told at `wanted_at`, which no replica
    has been seen to have received yet.
    """

    def __init__(self, now):
        self.seen_at = now
        self.wanted = None
        self.wanted_at = now
        self.is_behind = False
        self.asked_at = 0.0


def see(state, now, received, replicas):
    """Note the positions that the primary and its replicas have told."""
    state.seen_at = now
    reached = not replicas or state.wanted is None or max(replicas) >= state.wanted
    if reached:
        state.wanted = received
        state.wanted_at = now
    state.is_behind = not reached


def silent(state, now):
    """Return whether nobody has reached the primary for too long."""
    return now - state.seen_at > SILENT_S


def stalled(state, now):
    """Return whether the replicas have been behind the primary for too long."""
    return state.is_behind and now - state.wanted_at > STALLED_S


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
    return max(staying, key=lambda item: (item.is_near, item.database)).database
