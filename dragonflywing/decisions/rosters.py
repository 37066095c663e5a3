"""Which databases may hold an acknowledged write of a group.

Answers databases that vanish from the platform's list while they hold writes
that no other has, and instances that start while they are away. A quorum
counted from the listed databases alone would be too small. The roster is kept
in the store. A database that is no longer listed leaves it only once enough of
the listed ones hold everything that the primary held after it vanished.
"""


class RosterState:
    """For each unlisted database: what the primary held after it had vanished."""

    def __init__(self):
        self.wanted = {}


def review(state, recorded, listed, leader, received, sync_replicas):
    """Return the names that the roster should hold.

    `leader` is the name of the primary that a quorum of the roster has just
    confirmed, or None; `received` holds the position of each database that
    answered, asked while it was listed.
    """
    unlisted = recorded - listed
    for name in state.wanted.keys() - unlisted:
        del state.wanted[name]
    if leader is None:
        return recorded | listed
    for name in unlisted:
        state.wanted.setdefault(name, received[leader])
    return listed | {
        name
        for name in unlisted
        if not _is_held_without(received, state.wanted[name], sync_replicas)
    }


def _is_held_without(received, position, sync_replicas):
    """Return whether as many databases hold a position as acknowledge a write."""
    holders = [name for name, held in received.items() if held >= position]
    return len(holders) > sync_replicas
