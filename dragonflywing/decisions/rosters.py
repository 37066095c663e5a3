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
        self.required = {}


def votes_needed(quorum, listed, answered, sync_replicas):
    """Return how many votes confirm a primary for a change of the roster.

    When several databases left at once, too few are left for a quorum of the
    roster. If all that are listed answer, one more than acknowledge a write are
    enough: whoever was promoted meanwhile was held by a quorum, of which one
    would tell of the later term.
    """
    return min(quorum, sync_replicas + 1) if answered == listed else quorum


def compute_roster(state, recorded, listed, leader, received, sync_replicas):
    """Return the names that the roster should hold.

    `leader` is the name of the primary that a quorum of the roster has just
    confirmed, or None; `received` holds the position of each database that
    answered, asked while it was listed.
    """
    unlisted = recorded - listed
    for name in state.required.keys() - unlisted:
        del state.required[name]
    if leader is None:
        # One that comes while nobody leads has acknowledged nothing, and may not
        # be able to answer: counted, it could keep the group without a primary.
        return recorded
    for name in unlisted:
        state.required.setdefault(name, received[leader])
    return listed | {
        name
        for name in unlisted
        if not _is_held_without(received, state.required[name], sync_replicas)
    }


def _is_held_without(received, position, sync_replicas):
    """Return whether as many databases hold a position as acknowledge a write."""
    holders = [name for name, held in received.items() if held >= position]
    return len(holders) > sync_replicas
