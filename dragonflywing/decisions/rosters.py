"""Rosters: the databases that may hold acknowledged writes of a group.

The platform can remove a database from its list while the database holds writes
that no other one has, and an instance can start while that database is unlisted.
A quorum counted from the listed databases alone would then be too small. The
roster is therefore kept in the store. An unlisted database is removed from it
only once no instance counts it for a commit any more (see `permits`), and enough
listed databases have stored everything that the primary held after that.
"""

# A database is silent if it hasn't answered this many queries, for this time. One that
# ends for good is then excluded before its entry expires.
SILENT_QUERIES = 2
SILENT_S = 1.0


class RosterState:
    """The position of the primary after each unlisted database was excluded.

    `required` maps the name of each such database to the position that enough
    listed databases must have stored before it may be removed from the roster.
    """

    def __init__(self):
        self.required = {}


def votes_needed(quorum, listed, answered, sync_replicas):
    """Return how many votes confirm a primary for a change of the roster.

    When several databases leave at once, too few may remain for a quorum of the
    roster. If all listed databases answer, `sync_replicas` + 1 votes are enough:
    a primary promoted in the meantime was accepted by a quorum, and at least one
    database of that quorum is among the voters and reports the later term.
    """
    return min(quorum, sync_replicas + 1) if answered == listed else quorum


def compute_roster(state, recorded, listed, primary, received, sync_replicas, excluded):
    """Return the names of the databases that the roster should contain.

    `primary` is the name of the primary that a quorum of the roster has just
    confirmed, or None. `received` maps the databases that answered to their
    positions; each was listed when it was queried. Before that, no instance counted
    the `excluded` databases any more.
    """
    unlisted = (recorded - listed) & excluded
    for name in state.required.keys() - unlisted:
        del state.required[name]
    if primary is None:
        # A database that is added while there is no primary has acknowledged
        # nothing and may be unable to answer. Counting it could keep the group
        # without a primary.
        return recorded
    for name in unlisted:
        state.required.setdefault(name, received[primary])
    replaced = {
        name
        for name in unlisted
        if _is_held_by_quorum(received, state.required[name], sync_replicas)
    }
    return (recorded | listed) - replaced


def note_answers(unanswered, now, statuses):
    """Note which databases answered a round of queries that began at `now`.

    `unanswered` maps each that hasn't answered since to (queries, when they began).
    `statuses` has None for those that didn't answer.
    """
    for name in unanswered.keys() - statuses.keys():
        del unanswered[name]
    for name, status in statuses.items():
        if status is not None:
            unanswered.pop(name, None)
        else:
            queries, since = unanswered.get(name, (0, now))
            unanswered[name] = queries + 1, since


def silent(unanswered, now):
    """Return the databases that haven't answered for a while, see `note_answers`."""
    return {
        name
        for name, (queries, since) in unanswered.items()
        if queries >= SILENT_QUERIES and now - since >= SILENT_S
    }


def choose_voters(names, leaving, silent, primary, sync_replicas):
    """Return those of some databases that are to count for commits of a primary.

    Those that are leaving or silent will soon have to be excluded, so they don't if
    enough others do.
    """
    for unwanted in (leaving | silent, silent):
        voters = names - (unwanted - {primary})
        if len(voters - {primary}) >= sync_replicas:
            return voters
    return names


def roster_after_promotion(recorded, listed, received, base, sync_replicas):
    """Return the names of the roster once a database was promoted.

    Its log reached up to `base`, and `received` maps the databases that were paused to
    their positions. Those that are no longer listed count until enough others hold what
    the new primary holds.
    """
    names = listed | received.keys()
    is_held = _is_held_by_quorum(received, base, sync_replicas)
    return names if is_held else names | recorded


def _is_held_by_quorum(received, position, sync_replicas):
    """Return whether a write quorum of the given databases holds a position."""
    holders = [name for name, held in received.items() if held >= position]
    return len(holders) > sync_replicas
