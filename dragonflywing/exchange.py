"""What an instance tells the others of its beliefs, and takes from them."""

from dragonflywing import logs
from dragonflywing.clock import elapsed
from dragonflywing.decisions import division, floors
from dragonflywing.decisions.positions import Position
from dragonflywing.decisions.relays import Role
from dragonflywing.links import idl, pack, unpack

# What an instance that is no relay hears of all others, as one sum.
FLEET = "fleet"


def place_unit(data_centre):
    """Return the name under which a data centre's sum is kept."""
    return f"data centre {data_centre}"


class Exchange:
    """Questions to other instances, the answers, and their use."""

    def __init__(self, own, groups, cluster, directory, rates):
        self.own = own
        self.groups = groups
        self.cluster = cluster
        self.directory = directory
        self.rates = rates  # DivisionState
        self._role = None

    def _views(self, with_floors):
        now = elapsed()
        views = []
        for state in self.groups.groups.values():
            floor = state.floor if with_floors else None
            position = floor.position if floor else Position(0, 0)
            views.append(
                idl.GroupView(
                    group=state.name,
                    primary=state.primary or "",
                    term=state.term,
                    floor_term=position.term,
                    floor_index=position.index,
                    floor_age=now - floor.asked_at if floor else -1.0,
                )
            )
        return views

    # Questions

    def question(self):
        """Return what the others need of this instance whatever its age."""
        demand, admitted = division.report(self.rates)
        has_relays = self.cluster.role() is not Role.DIRECT
        return idl.Exchange(
            instance=self.own.instance,
            leaving=self.cluster.leaving,
            demand=demand,
            admitted=admitted,
            config_version=self.directory.version(),
            directory_revision=self.directory.revision,
            groups=self._views(False) if has_relays else [],
        )

    def answer(self, body):
        """Use a question and return what this instance believes, with ages."""
        message = unpack(idl.Exchange, body)
        self._hear(message)
        return pack(
            idl.Beliefs(
                config_version=self.directory.version(),
                config_age=self.directory.confirmation_age(),
                directory_revision=self.directory.revision,
                groups=self._views(True),
                summary=self._summary(message.instance),
            )
        )

    def _hear(self, message):
        """Use what another instance tells with its question."""
        name = message.instance
        peer = self.cluster.peers.get(name)
        if peer is None:
            return
        if message.leaving:
            self.cluster.leaving_peers.add(name)
        self.cluster.note_question(name)
        for view in message.groups:
            self._take_primary(view)
        if name in self._units():
            division.hear(
                self.rates,
                elapsed(),
                name,
                message.demand,
                message.admitted,
                peer.incarnation,
            )
            if not self.rates.heard_all:
                self.review_units()

    def _take_primary(self, view):
        if view.primary and view.term:
            self.groups.note_primary(view.group, view.primary, view.term)

    # Answers

    async def take(self, instance, question, body, asked_at):
        """Use the answer to a question that was asked at `asked_at`."""
        message = unpack(idl.Beliefs, body)
        for view in message.groups:
            self._take_primary(view)
            if view.floor_age >= 0:
                position = Position(view.floor_term, view.floor_index)
                floor = floors.Floor(position, asked_at - view.floor_age)
                self.groups.note_floor(view.group, floor)
        if message.summary is not None:
            self._take_summary(instance, question, message.summary)
        late = self.directory.is_behind(message.directory_revision)
        if message.config_version > self.directory.version() or late:
            await self.directory.fetch(instance)
        self.directory.confirm(message.config_version, asked_at - message.config_age)

    def _take_summary(self, instance, question, summary):
        peer = self.cluster.peers.get(instance)
        if peer is None or instance != self.cluster.relay(peer.data_centre):
            return
        role, is_own = self.cluster.role(), peer.data_centre == self.own.data_centre
        if role is Role.MEMBER and is_own:
            scope, unit = set(self.cluster.peers), FLEET
            demand = division.rest(summary.demand, question.demand)
            admitted = division.rest(summary.admitted, question.admitted)
        elif role is Role.RELAY and not is_own:
            scope = self.cluster.names_in(peer.data_centre)
            unit = place_unit(peer.data_centre)
            demand, admitted = summary.demand, summary.admitted
        else:
            return
        self.cluster.note_relayed(scope, summary.silent, summary.leaving)
        if summary.complete:
            source = peer.incarnation
            division.hear(self.rates, elapsed(), unit, demand, admitted, source, True)

    # Summaries of relays

    def _units(self):
        """Return the units whose rates this instance keeps, in its role."""
        role = self.cluster.role()
        if role is Role.DIRECT:
            return set(self.cluster.peers)
        if role is Role.MEMBER:
            return {FLEET}
        return self.cluster.names_in(self.own.data_centre) | self._place_units()

    def _place_units(self):
        places = {peer.data_centre for peer in self.cluster.peers.values()}
        return {place_unit(x) for x in places - {self.own.data_centre}}

    def _awaited(self, units):
        """Return those of the units that can be heard now."""
        alive = self.cluster.alive()
        answering = {peer.instance for peer in alive} | {FLEET}
        answering |= {place_unit(peer.data_centre) for peer in alive}
        return units & answering

    def _is_complete(self, units):
        return self._awaited(units) <= self.rates.admitted.keys()

    def _summary(self, asker):
        """Return what a relay tells an instance; None if this is no relay."""
        peer = self.cluster.peers.get(asker)
        if peer is None or self.cluster.role() is not Role.RELAY:
            return None
        units, scope = self._units(), set(self.cluster.peers)
        if peer.data_centre != self.own.data_centre:
            scope = self.cluster.names_in(self.own.data_centre)
            units = scope
        demand, admitted = division.totals(self.rates, units)
        leaving = self.cluster.leaving_peers & scope
        if self.cluster.leaving:
            leaving = leaving | {self.own.instance}
        alive = {item.instance for item in self.cluster.alive()}
        return idl.Summary(
            complete=self._is_complete(units),
            demand=demand,
            admitted=admitted,
            silent=sorted(scope - alive),
            leaving=sorted(leaving),
        )

    def _grantors(self, role):
        """Return how many instances grant operations of a workspace."""
        if role is Role.RELAY:
            return len(self.cluster.relays())
        return len(self.cluster.peers) + 1

    def review_units(self):
        """Keep to the instances that run, and note whether all of them were heard."""
        role, units = self.cluster.role(), self._units()
        is_complete = self._is_complete(units)
        if role is not self._role and self._role is not None and not is_complete:
            # What was told in the former role holds until all is told anew.
            return
        if is_complete and not self.rates.heard_all:
            logs.event("all_heard", role=role.value, units=len(units))
        self._role = role
        division.keep_only(self.rates, units, self._grantors(role))
        division.note_heard(self.rates, is_complete)
