"""When to replace a primary and by which database, without losing writes.

A primary is replaced when it crashes, is unreachable, is cut off from its
replicas, leaves, or is in a data centre that is evacuated. A write is acknowledged
once the primary and `sync_replicas` other databases have stored it. A replica that is
paused for a term acknowledges no more writes, and neither does a primary that has
stepped down. Once paused databases intersect every write quorum, the longest log among
them contains every acknowledged write. So a database holds all of them if the paused
ones whose logs are no longer than its own, itself included, are enough for that. Of
these databases the one with the longest log is the next primary. A database in an
evacuated data centre is never promoted.

Used by `replacer` on the users' platform. For MySQL databases, `group` uses
`failover`.
"""

from typing import NamedTuple

from dragonflywing.decisions.positions import ZERO

# A primary is replaced after it has not been reached for this long.
SILENT_S = 0.7
# A primary is replaced after its writes have reached no replica for this long.
STALLED_S = 1.0


class PausedDatabase(NamedTuple):
    """A database that is paused for the new term, with its last position.

    `is_in_regions` says whether all routes of its group allow its region. A database
    that is no voter doesn't count for the quorum, as it has just joined; it may hold
    acknowledged writes all the same.
    """

    database: str
    received: tuple
    is_leaving: bool
    in_own_data_centre: bool
    is_evacuated: bool = False
    is_in_regions: bool = True
    is_voter: bool = True
    term: int = 0


class Evacuation(NamedTuple):
    """How to replace a primary that is evacuated, and what to wait for.

    `pause_first` holds the databases to pause while the primary goes on, until one
    outside holds what they have received. `step_down_first` says that the primary's
    own log counts, so it steps down first and one outside has to receive its last
    writes.
    """

    pause_first: frozenset
    step_down_first: bool


class HealthState:
    """What the holder of the duty has observed of a group's primary.

    The duty is the lease that lets one instance at a time replace primaries.

    `pending_position` is a position that the primary reported at `pending_since`
    and that no replica is known to have received. `asked_at` is the time at which
    the group's databases were last queried, `unanswered` is that of
    `rosters.note_answers`.
    """

    def __init__(self, now):
        self.seen_at = now
        self.pending_position = None
        self.pending_since = now
        self.is_behind = False
        self.asked_at = 0.0
        self.unanswered = {}


def record_positions(state, now, received, replicas):
    """Record the positions received from the primary and its replicas."""
    state.seen_at = now
    is_replicated = (
        not replicas
        or state.pending_position is None
        or max(replicas) >= state.pending_position
    )
    if is_replicated:
        state.pending_position = received
        state.pending_since = now
    state.is_behind = not is_replicated


def is_silent(state, now):
    """Return whether the primary has not been reached for too long."""
    return now - state.seen_at > SILENT_S


def is_stalled(state, now):
    """Return whether the replicas have been behind the primary for too long."""
    return state.is_behind and now - state.pending_since > STALLED_S


def holds_acknowledged(received, logs, quorum):
    """Return whether a log holds every acknowledged write.

    `logs` are those of the databases that acknowledge no more, with this one.
    """
    return sum(log <= received for log in logs) >= quorum


def plan_evacuation(received, primary, evacuated, quorum):
    """Return the Evacuation of a primary, None if no database could replace it now.

    `received` has the positions of the databases that count for the quorum and can be
    reached, `evacuated` the names of those that must not be promoted, with the primary.
    """
    outside = received.keys() - evacuated
    if not outside:
        return None
    if len(outside) >= quorum:
        return Evacuation(frozenset(), False)
    replicas = received.keys() - {primary}
    if len(replicas) >= quorum:
        return Evacuation(frozenset(replicas - outside), False)
    # An unreachable database may have acknowledged the primary's last writes. If it
    # steps down and nobody outside has them, the group is without a primary.
    longest = max(received[name] for name in outside)
    if not holds_acknowledged(longest, received.values(), quorum):
        return None
    return Evacuation(frozenset(replicas - outside), True)


def choose(paused, quorum, only=None):
    """Return the database to promote, or None if none may be promoted.

    `only` names the one that an earlier order may still promote, if there is one.
    """
    logs = [item.received for item in paused if item.is_voter]
    joined = max((x.received for x in paused if not x.is_voter), default=ZERO)
    eligible = [
        item
        for item in paused
        if only in (None, item.database)
        and not item.is_evacuated
        and item.received >= joined
        and holds_acknowledged(item.received, logs, quorum)
    ]
    if not eligible:
        return None
    longest = max(item.received for item in eligible)
    eligible = [item for item in eligible if item.received == longest]
    preferred = [item for item in eligible if not item.is_leaving]
    if not preferred:
        # A leaving primary is better than none and is replaced afterwards.
        preferred = eligible
    return max(
        preferred,
        key=lambda item: (item.is_in_regions, item.in_own_data_centre, item.database),
    ).database
