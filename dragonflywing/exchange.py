"""The exchange of known state between instances.

In a small fleet each instance asks all others for their state. In a large one,
relays forward summaries of their data centres.
"""

import math
import zlib

from dragonflywing import logs
from dragonflywing.acknowledgements import pack_permits, unpack_permits
from dragonflywing.clock import boottime
from dragonflywing.decisions import division, floors, permits, replicas
from dragonflywing.decisions.eras import ABSENT, Revision
from dragonflywing.decisions.positions import Position
from dragonflywing.decisions.relays import Role
from dragonflywing.links import idl, pack, unpack
from dragonflywing.ports import StoredItem

# Unit of the rates of all other instances, as a relay sums them up.
FLEET = "fleet"
COMPRESSION_LEVEL = 1
# First byte of zlib's format. A Thrift struct starts with the type of a field, and
# no type has this number.
ZLIB_FIRST_BYTE = 0x78


def data_centre_unit(data_centre):
    """Return the name of the unit that holds a data centre's sums."""
    return f"data centre {data_centre}"


def pack_changes(changes):
    """Return Changes of the store's keys as a Thrift struct, None if there are none."""
    if changes is None:
        return None
    items = [
        idl.StoredKey(
            key=item.key,
            value=item.value or b"",
            revision=item.revision.number,
            deleted=item.value is None,
            era=item.revision.era,
        )
        for item in changes.items
    ]
    return idl.KeyChanges(
        complete=changes.is_complete,
        revision=changes.revision.number,
        items=items,
        era=changes.revision.era,
    )


def unpack_changes(message):
    """Return the Changes in a Thrift struct."""
    items = []
    for item in message.items:
        # thriftpy2 decodes binary fields that hold UTF-8 as text.
        value = item.value if isinstance(item.value, bytes) else item.value.encode()
        value = None if item.deleted else value
        revision = Revision(item.era, item.revision)
        items.append(StoredItem(item.key, value, revision))
    revision = Revision(message.era, message.revision)
    return replicas.Changes(message.complete, revision, items)


class Exchange:
    """Builds questions and answers for other instances, and applies theirs."""

    def __init__(self, settings, groups, cluster, directory, division_state):
        self.settings = settings
        self.granting = None  # the Granting of this instance
        self.groups = groups
        self.cluster = cluster
        self.directory = directory
        self.division = division_state
        self.is_home_in = None  # whether this instance is a home of a group's database
        self._role = None
        self._digests = {}  # of the primaries that each partner last knew

    def _view(self, state, floor):
        position = floor.position if floor else Position(0, 0)
        return idl.GroupView(
            group=state.name,
            primary=state.primary or "",
            term=state.term,
            floor_term=position.term,
            floor_index=position.index,
            floor_age=boottime() - floor.asked_at if floor else -1.0,
        )

    def _primaries_digest(self):
        """Return a number that differs if the known primaries differ."""
        known = sorted(
            f"{state.name} {state.primary} {state.term}"
            for state in self.groups.groups.values()
            if state.primary and state.term
        )
        return zlib.crc32("\n".join(known).encode())

    # Questions

    def make_question(self, partner):
        """Return the question for another instance, with this instance's own state.

        It holds no ages, since a question may be read late.
        """
        demand, admitted = {}, {}
        if self._divides_rates(partner):
            demand, admitted = division.report(self.division)
        digest = self._primaries_digest()
        groups = []
        if self._digests.get(partner) != digest:
            groups = [self._view(x, None) for x in self.groups.groups.values()]
        peer = self.cluster.peers.get(partner)
        databases = self.directory.entries.replica.revision
        fleet = self.cluster.keys.replica.revision
        follower = self.directory.evacuations
        evacuations = follower.replica.revision if follower else None
        known_permits = self.groups.permits.version
        return idl.Exchange(
            instance=self.settings.instance,
            leaving=self.cluster.leaving,
            demand=demand,
            admitted=admitted,
            config_version=self.directory.version(),
            database_revision=databases.number,
            groups=groups,
            fleet_revision=fleet.number,
            primaries_digest=digest,
            floors=partner in self.cluster.floor_partners,
            compress=bool(peer) and peer.data_centre != self.settings.data_centre,
            database_era=databases.era,
            fleet_era=fleet.era,
            evacuation_revision=evacuations.number if evacuations else None,
            evacuation_era=evacuations.era if evacuations else None,
            permit_token=known_permits.token,
            permit_number=known_permits.number,
        )

    def _divides_rates(self, partner):
        """Return whether another instance takes this one's demand into account."""
        role = self.cluster.role()
        if role is Role.MEMBER:
            return partner == self.cluster.relay(self.settings.data_centre)
        return role is Role.DIRECT

    def answer(self, body):
        """Apply a question and return the state that this instance knows, with ages."""
        message = unpack(idl.Exchange, body)
        self._apply_question(message)
        digest = self._primaries_digest()
        entries, keys = self.directory.entries, self.cluster.keys
        confirmed = self.directory.confirmed_revision
        answer = pack(
            idl.Beliefs(
                config_version=self.directory.version(),
                config_age=self.directory.confirmation_age(),
                directory_revision=0,
                groups=self._views_for(message, digest),
                summary=self._summary(message.instance),
                databases=self._changes(
                    entries, message.database_era, message.database_revision
                ),
                fleet=self._changes(keys, message.fleet_era, message.fleet_revision),
                config_revision=confirmed.number,
                config_era=confirmed.era,
                primaries_digest=digest,
                listed=message.instance in self.cluster.peers,
                evacuations=self._changes(
                    self.directory.evacuations,
                    message.evacuation_era,
                    message.evacuation_revision,
                ),
                evacuation_age=self.directory.evacuations_age(),
                permits=self._permits_for(message),
            )
        )
        if message.compress:
            answer = zlib.compress(answer, COMPRESSION_LEVEL)
        return answer

    def _permits_for(self, question):
        """Return the permits for an instance, None if this one has none to give.

        Those of the holder of the duty that have not lapsed are only passed on once, in
        a data centre of a large fleet. The holder then knows whose permits it has to
        await. Lapsed ones tell when no replacement was under way.
        """
        peer = self.cluster.peers.get(question.instance)
        if question.permit_token is None or peer is None or self.granting is None:
            return None
        is_small = self.cluster.is_small()
        given = self.granting.give(
            peer.instance, None if is_small else peer.data_centre
        )
        if given is not None:
            version, leaders, valid_s = given
            age_s, is_direct = 0.0, True
        else:
            state, is_direct = self.groups.permits, False
            version, leaders, valid_s = state.version, state.leaders, state.valid_s
            age_s = boottime() - state.granted_at
            if version == permits.NO_VERSION or math.isinf(age_s):
                return None
            if age_s < valid_s:
                is_near = peer.data_centre == self.settings.data_centre
                is_for_others = state.is_direct and valid_s == permits.RELAYED_PERMIT_S
                if not is_near or not is_for_others:
                    return None
                self.granting.note_passed_on(peer.instance, state.granted_at + valid_s)
        known = permits.Version(question.permit_token, question.permit_number)
        if known == version:
            leaders = None
        return pack_permits(version, leaders, age_s, valid_s, is_direct)

    def _views_for(self, question, digest):
        """Return the views of groups that the asker lacks.

        Floors are confirmed by the homes of the primaries and used by those of the
        replicas, so only these exchange them.
        """
        differs = question.primaries_digest != digest
        views = []
        for state in self.groups.groups.values():
            wants_floor = question.floors and self.is_home_in(state.name)
            floor = state.floor if wants_floor else None
            if floor or differs:
                views.append(self._view(state, floor))
        return views

    def _changes(self, follower, era, number):
        """Return what another instance's copy lacks, None if it lacks nothing."""
        if number is None or follower is None:
            return None  # the question of an earlier build, or keys not followed
        if era is None:  # that of a build which did not tell eras apart
            era = follower.replica.revision.era
        changes = replicas.changes_since(follower.replica, Revision(era, number))
        return pack_changes(changes)

    def _apply_question(self, message):
        """Apply the state that another instance sent with its question."""
        name = message.instance
        peer = self.cluster.peers.get(name)
        if peer is None:
            return
        if message.leaving:
            self.cluster.note_leaving({name})
        self.cluster.note_question(name)
        for view in message.groups:
            self._note_primary(view)
        if name in self._units():
            division.record_report(
                self.division,
                boottime(),
                name,
                message.demand,
                message.admitted,
                peer.incarnation,
            )
            if not self.division.reports_complete:
                self.update_units()

    def _note_primary(self, view):
        if view.primary and view.term:
            self.groups.note_primary(view.group, view.primary, view.term)

    # Answers

    async def apply_answer(self, instance, question, body, asked_at):
        """Apply the answer to a question that was sent at `asked_at`."""
        if body[0] == ZLIB_FIRST_BYTE:
            body = zlib.decompress(body)
        message = unpack(idl.Beliefs, body)
        self._digests[instance] = message.primaries_digest
        self.cluster.note_listed(instance, message.listed is not False)
        for view in message.groups:
            self._note_primary(view)
            if view.floor_age >= 0:
                position = Position(view.floor_term, view.floor_index)
                floor = floors.Floor(position, asked_at - view.floor_age)
                self.groups.note_floor(view.group, floor)
        if message.permits is not None:
            version, leaders = unpack_permits(message.permits)
            granted_at = asked_at - message.permits.age
            self.groups.note_permits(
                version,
                leaders,
                granted_at,
                message.permits.valid,
                bool(message.permits.direct),
            )
        if message.summary is not None:
            self._apply_summary(instance, question, message.summary)
        confirmed = ABSENT
        if message.config_era is not None:  # earlier builds do not tell eras apart
            confirmed = Revision(message.config_era, message.config_revision)
            self.cluster.note_served(instance)
            if message.databases is not None:
                self.directory.entries.apply(unpack_changes(message.databases))
            if message.fleet is not None:
                self.cluster.keys.apply(unpack_changes(message.fleet))
            self._apply_evacuations(message, asked_at)
        if message.config_version > self.directory.version():
            await self.directory.fetch(instance)
        self.directory.confirm(
            message.config_version,
            asked_at - message.config_age,
            confirmed,
        )

    def _apply_evacuations(self, message, asked_at):
        """Apply the evacuations that another instance knows.

        One that holds a removal back tells an earlier revision. If this instance has
        already passed it, the changes are not applied, so they prove nothing.
        """
        follower = self.directory.evacuations
        if follower is None:
            return
        if message.evacuations is not None:
            changes = unpack_changes(message.evacuations)
            if changes.revision < follower.replica.revision:
                return
            follower.apply(changes)
        if message.evacuation_age is not None:
            self.directory.evacuations_received_at = self.directory.now()
            known_at = asked_at - message.evacuation_age
            self.directory.note_evacuations_known(known_at)

    def _apply_summary(self, instance, question, summary):
        peer = self.cluster.peers.get(instance)
        if peer is None or instance != self.cluster.relay(peer.data_centre):
            return
        role, is_own = (
            self.cluster.role(),
            peer.data_centre == self.settings.data_centre,
        )
        if role is Role.MEMBER and is_own:
            scope, unit = set(self.cluster.peers), FLEET
            demand = division.subtract(summary.demand, question.demand)
            admitted = division.subtract(summary.admitted, question.admitted)
        elif role is Role.RELAY and not is_own:
            scope = self.cluster.names_in(peer.data_centre)
            unit = data_centre_unit(peer.data_centre)
            demand, admitted = summary.demand, summary.admitted
        else:
            return
        self.cluster.note_relayed(scope, summary.silent, summary.leaving)
        division.note_contact(self.division, boottime(), unit)
        if summary.complete:
            source = peer.incarnation
            division.record_report(
                self.division, boottime(), unit, demand, admitted, source, True
            )

    # Summaries of relays

    def _units(self):
        """Return the units whose rates this instance tracks in its role.

        A unit is one instance, one data centre or the rest of the fleet.
        """
        role = self.cluster.role()
        if role is Role.DIRECT:
            return set(self.cluster.peers)
        if role is Role.MEMBER:
            return {FLEET}
        return (
            self.cluster.names_in(self.settings.data_centre) | self._data_centre_units()
        )

    def _data_centre_units(self):
        data_centres = {peer.data_centre for peer in self.cluster.peers.values()}
        return {data_centre_unit(x) for x in data_centres - {self.settings.data_centre}}

    def _reachable_units(self, units):
        """Return those of the units that can report now."""
        liveness = self.cluster.liveness()
        reachable = liveness.names | {FLEET}
        reachable |= {data_centre_unit(name) for name in liveness.data_centres}
        return units & reachable

    def _is_complete(self, units):
        return self._reachable_units(units) <= self.division.unit_admitted.keys()

    def _summary(self, requester):
        """Return a relay's summary for an instance, None if this is no relay."""
        peer = self.cluster.peers.get(requester)
        if peer is None or self.cluster.role() is not Role.RELAY:
            return None
        units, scope = self._units(), set(self.cluster.peers)
        if peer.data_centre != self.settings.data_centre:
            scope = self.cluster.names_in(self.settings.data_centre)
            units = scope
        demand, admitted = division.totals(self.division, units)
        leaving = self.cluster.leaving_peers & scope
        if self.cluster.leaving:
            leaving = leaving | {self.settings.instance}
        alive = self.cluster.liveness().names
        return idl.Summary(
            complete=self._is_complete(units),
            demand=demand,
            admitted=admitted,
            silent=sorted(scope - alive),
            leaving=sorted(leaving),
        )

    def _count_admitting(self, role):
        """Return how many instances admit operations of a workspace."""
        if role is Role.RELAY:
            return len(self.cluster.relays())
        return len(self.cluster.peers) + 1

    def update_units(self):
        """Update the tracked units and whether all reachable ones have reported."""
        role, units = self.cluster.role(), self._units()
        # Without the list, other instances and drawn workspaces are not known yet.
        is_complete = self.cluster.keys.has_list and self._is_complete(units)
        if role is not self._role and self._role is not None and not is_complete:
            # Keep the state of the former role until the new one's is complete.
            return
        if is_complete and not self.division.reports_complete:
            logs.event("all_heard", role=role.value, units=len(units))
        self._role = role
        division.set_units(self.division, units, self._count_admitting(role))
        division.set_reports_complete(self.division, is_complete)
