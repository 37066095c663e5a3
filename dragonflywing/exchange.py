"""The exchange of known state between instances.

In a small fleet each instance asks all others for their state. In a large one,
relays forward summaries of their data centres.
"""

from dragonflywing import logs
from dragonflywing.clock import boottime
from dragonflywing.decisions import division, floors
from dragonflywing.decisions.positions import Position
from dragonflywing.decisions.relays import Role
from dragonflywing.links import idl, pack, unpack

# Unit of the rates of all other instances, as a relay sums them up.
FLEET = "fleet"


def data_centre_unit(data_centre):
    """Return the name of the unit that holds a data centre's sums."""
    return f"data centre {data_centre}"


class Exchange:
    """Builds questions and answers for other instances, and applies theirs."""

    def __init__(self, settings, groups, cluster, directory, division_state):
        self.settings = settings
        self.groups = groups
        self.cluster = cluster
        self.directory = directory
        self.division = division_state
        self._role = None

    def _views(self, with_floors):
        now = boottime()
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

    def make_question(self):
        """Return the question for other instances, with this instance's own state.

        It holds no ages, since a question may be read late.
        """
        demand, admitted = division.report(self.division)
        has_relays = self.cluster.role() is not Role.DIRECT
        return idl.Exchange(
            instance=self.settings.instance,
            leaving=self.cluster.leaving,
            demand=demand,
            admitted=admitted,
            config_version=self.directory.version(),
            directory_revision=self.directory.revision,
            groups=self._views(False) if has_relays else [],
        )

    def answer(self, body):
        """Apply a question and return the state that this instance knows, with ages."""
        message = unpack(idl.Exchange, body)
        self._apply_question(message)
        return pack(
            idl.Beliefs(
                config_version=self.directory.version(),
                config_age=self.directory.confirmation_age(),
                directory_revision=self.directory.revision,
                groups=self._views(True),
                summary=self._summary(message.instance),
            )
        )

    def _apply_question(self, message):
        """Apply the state that another instance sent with its question."""
        name = message.instance
        peer = self.cluster.peers.get(name)
        if peer is None:
            return
        if message.leaving:
            self.cluster.leaving_peers.add(name)
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
        message = unpack(idl.Beliefs, body)
        for view in message.groups:
            self._note_primary(view)
            if view.floor_age >= 0:
                position = Position(view.floor_term, view.floor_index)
                floor = floors.Floor(position, asked_at - view.floor_age)
                self.groups.note_floor(view.group, floor)
        if message.summary is not None:
            self._apply_summary(instance, question, message.summary)
        should_fetch = self.directory.should_fetch(message.directory_revision)
        if message.config_version > self.directory.version() or should_fetch:
            await self.directory.fetch(instance)
        self.directory.confirm(message.config_version, asked_at - message.config_age)

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
        alive = self.cluster.alive()
        reachable = {peer.instance for peer in alive} | {FLEET}
        reachable |= {data_centre_unit(peer.data_centre) for peer in alive}
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
        alive = {item.instance for item in self.cluster.alive()}
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
        is_complete = self._is_complete(units)
        if role is not self._role and self._role is not None and not is_complete:
            # Keep the state of the former role until the new one's is complete.
            return
        if is_complete and not self.division.reports_complete:
            logs.event("all_heard", role=role.value, units=len(units))
        self._role = role
        division.set_units(self.division, units, self._count_admitting(role))
        division.set_reports_complete(self.division, is_complete)
