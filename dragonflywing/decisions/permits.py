"""Permits: until when instances may tell callers that a commit succeeded.

A replacement pauses a group's databases and promotes one some time later. A pause ends
by itself if its database restarts, and a database may join that was never paused. The
former primary, if some instances still reach it, then acknowledges commits that the
promoted database lacks. Nothing that the holder of the duty knows of the databases
excludes this, so the instances hold such acknowledgements back.

The holder of the duty permits a group's primary of one term. A permit is passed on with
the exchange of state and lapses. The holder revokes it before it pauses any database,
and goes on once every instance has confirmed that or its permit has lapsed. So no
caller is told of a commit after the positions were read that the choice rests on,
until the promoted database is permitted.

Databases acknowledge a commit of which a replacement might not know: one that is no
longer listed, or that has just joined, receives it too. So a permit names the voters,
databases of the group's roster, and covers only commits that enough of them have
received. A replacement counts the roster, so each of its quorums includes one of these.
The holder takes a database out of the roster only once no instance counts it any more,
and enough others have received all that its primary held then.

Without a permit, as while the store is away, a commit is confirmed by the databases
themselves: enough of the voters that the instance knew last hold it, and none has been
paused. A replica
that has restarted may have forgotten a pause, so only an answer over a connection
counts that was open when the instance last had a permit.

Used by `acknowledgements` and `replacer` on the users' platform.
"""

import enum
import math
from typing import NamedTuple

from dragonflywing.decisions.positions import ZERO, Position

# How long a permit lasts, from the question that it answers. An instance asks twice a
# second; in a large fleet permits pass a relay, which asks twice a second too.
PERMIT_S = 1.0
RELAYED_PERMIT_S = 1.6
# How much longer an instance that hasn't confirmed it may count an excluded database,
# without a permit. With this a database counts as long as one that is no longer listed.
ALONE_S = 4.0


class Version(NamedTuple):
    """The version of the permitted primaries: their holder's fencing token, a count."""

    token: int
    number: int


NO_VERSION = Version(0, 0)


class Leader(NamedTuple):
    """A permitted primary and its term.

    Its log holds the commits of the term before it up to `base`. Of its commits those
    are permitted that enough of the `voters` have received, with itself if it is one;
    all if that is None, as with a holder of an earlier build.
    """

    database: str
    term: int
    base: Position = ZERO
    voters: frozenset | None = None


class Verdict(enum.Enum):
    """What a permit says of a commit that a database has acknowledged."""

    PERMITTED = "permitted"
    REPLACED = "replaced"  # the primary was replaced by one that may lack the commit
    UNKNOWN = "unknown"


class PermitState:
    """The permits that an instance has.

    They cover the primaries in `leaders`, {group: Leader}, and were given for
    `valid_s` at `granted_at`, the time of the instance's own question. `is_direct` says
    whether the holder of the duty itself gave them. `covered_at` is the latest time at
    which each group was known to have no replacement under way. `voters` has those of
    each group's last known permit, None from a holder of an earlier build.
    """

    def __init__(self):
        self.version = NO_VERSION
        self.leaders = {}
        self.granted_at = -math.inf
        self.valid_s = 0.0
        self.is_direct = False
        self.covered_at = {}
        self.voters = {}


def _set_leaders(state, version, leaders):
    state.version, state.leaders = version, dict(leaders)
    for group, leader in leaders.items():
        state.voters[group] = leader.voters


def apply(state, version, leaders, granted_at, valid_s, is_direct=True):
    """Apply permits that were given at `granted_at`; return whether they were.

    `leaders` is None if they are those of `version`, which the instance knows.
    """
    if version < state.version or (leaders is None and version != state.version):
        return False
    is_newer = version > state.version
    if is_newer:
        _set_leaders(state, version, leaders)
    if is_newer or granted_at > state.granted_at:
        state.granted_at, state.valid_s = granted_at, valid_s
        state.is_direct = is_direct
    for group in state.leaders:
        known_at = state.covered_at.get(group, -math.inf)
        state.covered_at[group] = max(known_at, granted_at)
    return True


def revise(state, version, leaders):
    """Apply a later version of the permitted primaries, without extending permits.

    Return whether it was later than the known one. It may have been sent any time ago.
    A permit of another holder says nothing of when this one's lapses, so it ends.
    """
    if version <= state.version:
        return False
    if version.token != state.version.token:
        state.granted_at = -math.inf
    _set_leaders(state, version, leaders)
    return True


def is_valid(state, now):
    """Return whether the permits have not lapsed."""
    return now < state.granted_at + state.valid_s


def judge(state, now, group, database, position):
    """Return the Verdict on a commit at a position of a database's log."""
    leader = state.leaders.get(group) if is_valid(state, now) else None
    if leader is None or position.term > leader.term:
        return Verdict.UNKNOWN
    if position.term == leader.term:
        is_leader = leader.database == database
        return Verdict.PERMITTED if is_leader else Verdict.UNKNOWN
    is_kept = position.term == leader.base.term and position <= leader.base
    return Verdict.PERMITTED if is_kept else Verdict.REPLACED


def is_held(leader, position, received, sync_replicas):
    """Return whether enough voters hold a commit that a permit for `leader` covers.

    `received` maps replicas to positions that they have reported.
    """
    if leader.voters is None or not sync_replicas:
        return True
    holders = {
        name
        for name in leader.voters - {leader.database}
        if name in received and _includes(received[name], position, leader)
    }
    return len(holders) + (leader.database in leader.voters) > sync_replicas


def _includes(received, position, leader):
    """Return whether a log that ends at `received` includes a permitted commit."""
    if received.term == position.term:
        return received >= position
    # A replica that has received from the leader holds all that the leader began with.
    return received.term == leader.term > position.term


class Witness(NamedTuple):
    """A database's status as evidence of a commit.

    `term` is the latest one that it has accepted, as primary, replica or by a pause.
    The connection on which it answered was opened at `connected_at`.
    """

    is_primary: bool
    term: int
    received: Position
    connected_at: float


def trusted_before(state, group):
    """Return the time before which a database must have been connected to.

    If it restarted later, it may have forgotten a pause. That doesn't end with time:
    databases that don't reach the promoted one never learn of it.
    """
    return state.covered_at.get(group, -math.inf)


def counted_without_permit(state, group, roster):
    """Return the databases of a roster that count for commits without a permit."""
    voters = state.voters.get(group)
    return set(roster) if voters is None else set(roster) & voters


def is_confirmed(position, witnesses, connected_before, sync_replicas):
    """Return whether databases confirm a commit that their primary acknowledged.

    Every replacement pauses one of the confirming databases or has it step down, and
    finds the commit in its log. `witnesses` are those of `counted_without_permit`.
    """
    if any(item.term > position.term for item in witnesses):
        return False
    trusted = [item for item in witnesses if item.connected_at < connected_before]
    if not any(x.is_primary and x.term == position.term for x in trusted):
        return False
    holders = [x for x in trusted if not x.is_primary and x.received >= position]
    return len(holders) >= sync_replicas


class GrantState:
    """The permits that the holder of the duty has given under its token.

    `lapses_at` maps instances to when the permits end that they received from this
    one. In a large fleet they may pass them on in their data centre, which `places`
    holds for each. All that were given by earlier holders end at `earlier_lapse_at`.
    `excluded` maps (group, database) to the Revocation of the permits by which a
    database counted as a voter that is none any more.
    """

    def __init__(self, token, now):
        self.version = Version(token, 0)
        self.leaders = {}
        self.lapses_at = {}
        self.places = {}
        self.excluded = {}
        self.earlier_lapse_at = now + RELAYED_PERMIT_S


def permit(state, group, leader):
    """Permit a group's primary; return whether that is a change."""
    if state.leaders.get(group) == leader:
        return False
    state.leaders[group] = leader
    for name in leader.voters or ():
        state.excluded.pop((group, name), None)
    state.version = state.version._replace(number=state.version.number + 1)
    return True


def withdraw(state, group):
    """Permit no primary of a group any longer."""
    state.leaders.pop(group, None)
    state.version = state.version._replace(number=state.version.number + 1)


def exclude(state, group, databases, data_centres, now):
    """Begin to exclude those databases of a group that its permit has not as voters.

    Of others the exclusion ends. Return the Revocation that says when no instance
    counts those any more that were added, None if there are none. Without a permit
    that names the voters none are.
    """
    leader = state.leaders.get(group)
    if leader is None or leader.voters is None:
        return None
    for key in [x for x in state.excluded if x[0] == group and x[1] not in databases]:
        del state.excluded[key]
    known = {name for item, name in state.excluded if item == group}
    added = databases - known - leader.voters
    if not added:
        return None
    revocation = Revocation(state, data_centres, now)
    state.excluded.update({(group, name): revocation for name in added})
    return revocation


def excluded(state, group, now):
    """Return the databases of a group that no instance counts as voters any more."""
    return {
        name
        for (item, name), revocation in state.excluded.items()
        if item == group and revocation.wait_s(now, ALONE_S) <= 0
    }


def note_given(state, now, instance, data_centre=None):
    """Note that an instance is given permits now; return for how many seconds.

    It may pass them on to those of its `data_centre`, if that is given.
    """
    valid_s = PERMIT_S if data_centre is None else RELAYED_PERMIT_S
    state.lapses_at[instance] = now + valid_s
    state.places[instance] = data_centre
    return valid_s


class Revocation:
    """The instances that have not confirmed yet that permits were revoked.

    `pending` holds their names. An instance that confirms tells for how long those
    last that it has passed on; until then each of its data centre may have some.
    """

    def __init__(self, state, data_centres, now):
        """Await the instances in `data_centres`, {instance: data centre}."""
        self.data_centres = data_centres
        self.earlier_lapse_at = state.earlier_lapse_at
        self.lapses_at = dict(state.lapses_at)
        self.passing = {
            name: place
            for name, place in state.places.items()
            if place is not None and state.lapses_at[name] > now
        }
        given = {name for name, end in self.lapses_at.items() if end > now}
        self.pending = given | data_centres.keys()
        self.confirmed = set()

    def confirm(self, instance, now, passed_on):
        """Note that an instance relies on the revoked permits no longer.

        `passed_on` maps others, also such as the holder doesn't know yet, to for how
        many seconds they may still do so.
        """
        self.confirmed.add(instance)
        self.pending.discard(instance)
        self.passing.pop(instance, None)
        for name, left_s in passed_on.items():
            known = self.lapses_at.get(name, -math.inf)
            self.lapses_at[name] = max(known, now + left_s)
            if name not in self.confirmed:
                self.pending.add(name)

    def lapse_at(self, name):
        """Return when the permits of an instance have lapsed in any case."""
        place = self.data_centres.get(name)
        passing = [x for x, other in self.passing.items() if other == place]
        ends = [self.lapses_at.get(x, -math.inf) for x in [name, *passing]]
        return max(self.earlier_lapse_at, *ends)

    def wait_s(self, now, alone_s=0.0):
        """Return the seconds until all permits that aren't confirmed have lapsed.

        They may count for `alone_s` longer.
        """
        ends = [self.lapse_at(name) + alone_s - now for name in self.pending]
        return max(ends, default=0.0)
