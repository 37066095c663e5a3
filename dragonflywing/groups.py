"""The database groups as this instance sees them: primaries, fences and floors."""

import asyncio

from dragonflywing import logs
from dragonflywing.clock import elapsed
from dragonflywing.decisions import fences, floors
from dragonflywing.decisions.positions import (
    Status,
    write_quorum_complement,
)
from dragonflywing.homes import Home
from dragonflywing.supervisor import spawn

# How long a database that is no longer listed still counts as able to
# acknowledge writes: three missed reports and the store's delay.
VANISHED_S = 6.0
FENCE_TIMEOUT_S = 0.6  # a round trip to the farthest database and a busy slot
# A round asks the other databases if the first ones are silent for so long: a
# round trip between regions and a slot.
FENCE_SECOND_S = 0.08
MUTE_S = 3.0  # a database that did not answer is asked last for this time
# Taken off an accepted age for the time between a check and its use.
AGE_MARGIN_S = 0.05


def as_vote(name, found):
    """Return what a database's status says about who leads its group."""
    # A paused database has promised its log to a later term.
    term = max(found.term, found.promised_term)
    received = found.received
    return Status(name, found.is_primary, term, received, received, False, found.busy)


class GroupState:
    """What this instance believes of one group."""

    def __init__(self, name):
        self.name = name
        self.primary = None
        self.term = 0
        self.floor = None
        self.fences = None


class Groups:
    """Databases, their homes held here, and the beliefs about each group."""

    def __init__(self, ports, metrics):
        self.ports = ports
        self.metrics = metrics
        self.databases = {}
        self.vanished = {}
        self.rosters = {}  # {group: {name: born}} as the store keeps it
        self.reborn = set()
        self.groups = {}
        self.homes = {}
        self.specs = {}
        self.status_of = None  # asks a database's home for its status
        self._waiters = {}
        self._next_waiter = 0
        self._mute_until = {}
        self._tasks = set()

    def _now(self):
        return asyncio.get_running_loop().time()

    def state(self, group):
        """Return the GroupState of a group."""
        if group not in self.groups:
            self.groups[group] = GroupState(group)
        return self.groups[group]

    # Databases

    def note_database(self, database):
        """Take a database's latest report of itself."""
        old = self.databases.get(database.name)
        self.databases[database.name] = database
        self.vanished.pop(database.name, None)
        if old is not None and old.born != database.born:
            self._distrust(database)
        self._check_start(database)
        home = self.homes.get(database.name)
        if home is not None and old is not None:
            if (old.host, old.port, old.born) != (
                database.host,
                database.port,
                database.born,
            ):
                self._drop_home(database.name)
            else:
                home.database = database
                home.admission.limit = database.slots
        if old is None or (old.is_leaving, old.is_primary) != (
            database.is_leaving,
            database.is_primary,
        ):
            logs.event(
                "database",
                database=database.name,
                group=database.group,
                leaving=database.is_leaving,
                primary=database.is_primary,
            )
        state = self.state(database.group)
        if database.is_primary and state.primary is None:
            state.primary = database.name

    def remove_database(self, name):
        """Note that a database is no longer listed."""
        database = self.databases.pop(name, None)
        if database is None:
            return
        logs.event("database_gone", database=name, leaving=database.is_leaving)
        if not database.is_leaving:
            self.vanished[name] = (database, self._now())
        self._drop_home(name)

    def _drop_home(self, name):
        home = self.homes.pop(name, None)
        if home is not None:
            home.close()

    def members(self, group):
        """Return the listed databases of a group."""
        return [item for item in self.databases.values() if item.group == group]

    def note_roster(self, group, starts):
        """Take the databases that may hold a group's writes: {name: born}."""
        self.rosters[group] = starts
        logs.event("roster", group=group, databases=",".join(sorted(starts)))
        for database in self.members(group):
            self._check_start(database)

    def _check_start(self, database):
        """Distrust a database that started anew since the roster was written."""
        known = self.rosters.get(database.group, {}).get(database.name, database.born)
        if known != database.born and database.name not in self.reborn:
            self._distrust(database)

    def _distrust(self, database):
        # A database that starts anew under its name holds nothing of before.
        self.reborn.add(database.name)
        logs.event("database_reborn", database=database.name, born=database.born)

    def quorum_names(self, group):
        """Return the names of all databases that may hold a group's writes."""
        now = self._now()
        for name in [
            n for n, (_, at) in self.vanished.items() if now - at > VANISHED_S
        ]:
            del self.vanished[name]
        names = {x.name for x, _ in self.vanished.values() if x.group == group}
        names |= self.rosters.get(group, {}).keys()
        members = self.members(group)
        if not names or any(item.is_primary for item in members):
            names.update(item.name for item in members)
        # Without a primary a database that is not in the roster came too late to
        # acknowledge anything.
        return names

    def sync_replicas(self, group):
        """Return how many replicas hold a write when it is acknowledged."""
        spec = self.specs.get(group)
        return spec.sync_replicas if spec else 1

    def quorum(self, group):
        """Return how many databases meet every acknowledged write of a group."""
        size = len(self.quorum_names(group))
        return write_quorum_complement(size, self.sync_replicas(group))

    def home(self, name):
        """Return the Home held here of a listed database, None if unknown."""
        if name not in self.homes:
            database = self.databases.get(name)
            if database is None:
                return None
            spec = self.specs.get(database.group)
            connections = spec.connections if spec else 16
            self.homes[name] = Home(
                database, connections, self.ports.databases, self.metrics
            )
        return self.homes[name]

    # Beliefs

    def note_status(self, name, status):
        """Use a status that a database has just told."""
        database = self.databases.get(name)
        if status is None or database is None:
            return
        if name in self.reborn and self._has_caught_up(database.group, status):
            self.reborn.discard(name)
            logs.event("database_caught_up", database=name)
        if status.is_primary and name not in self.reborn:
            self.note_primary(database.group, name, status.term)

    def _has_caught_up(self, group, status):
        floor = self.state(group).floor
        return floor is not None and status.received >= floor.position

    def note_primary(self, group, name, term):
        """Believe that `name` leads a group in a term, unless a later one is known."""
        state = self.state(group)
        if term < state.term or (term == state.term and state.primary == name):
            return
        logs.event("primary", group=group, database=name, term=term, was=state.primary)
        state.primary = name
        state.term = term

    def note_floor(self, group, floor):
        """Take a floor that this or another instance has found."""
        state = self.state(group)
        state.floor = floors.newer(state.floor, floor)

    def floor(self, group, max_age_s):
        """Return the position of a floor known to be young enough, or None."""
        floor = self.state(group).floor
        if floors.usable(floor, elapsed(), max_age_s - AGE_MARGIN_S):
            return floor.position
        return None

    # Fences

    async def fence(self, group):
        """Return the primary's position, confirmed after this call; None if not."""
        state = self.state(group)
        names = self.quorum_names(group)
        if state.fences is None or set(state.fences.databases) != names:
            if state.fences is None or not state.fences.served:
                state.fences = fences.FenceState(names)
        state.fences.quorum = self.quorum(group)
        self._next_waiter += 1
        waiter = self._next_waiter
        fut = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = fut
        now = elapsed()
        self._act(state, fences.ask(state.fences, now, waiter, FENCE_TIMEOUT_S))
        try:
            # A waiter may have to see the end of the round before its own.
            async with asyncio.timeout(2 * FENCE_TIMEOUT_S):
                return await fut
        except TimeoutError:
            return None
        finally:
            self._waiters.pop(waiter, None)

    def _act(self, state, messages):
        for message in messages:
            if isinstance(message, fences.Query):
                spawn(self._tasks, self._query(state, message))
                continue
            fut = self._waiters.get(message.waiter)
            granted = isinstance(message, fences.Granted)
            if granted:
                floor = floors.Floor(message.position, message.asked_at)
                self.note_floor(state.name, floor)
            if fut is not None and not fut.done():
                fut.set_result(message.position if granted else None)

    def _is_first_asked(self, state, name):
        """Return whether a round asks a database at once.

        The primary and as many replicas as are needed go first; those that did
        not answer lately go last.
        """
        others = [item for item in state.fences.databases if item != state.primary]
        others.sort(key=lambda item: (self._mute_until.get(item, 0.0), item))
        count = max(0, (state.fences.quorum or 1) - 1)
        return name == state.primary or name in others[:count]

    async def _query(self, state, query):
        if not self._is_first_asked(state, query.database):
            await asyncio.sleep(FENCE_SECOND_S)
            done = state.fences.round_id != query.round_id or not state.fences.served
            if done:
                return
        self.metrics.count("fence.query")
        try:
            async with asyncio.timeout(FENCE_TIMEOUT_S):
                found = await self.status_of(query.database)
        except TimeoutError:
            found = None
        status = None
        if found is not None:
            self.note_status(query.database, found)
        if query.database in self.reborn:
            # What it acknowledged before its start it no longer knows.
            found = None
        if found is None:
            self._mute_until[query.database] = self._now() + MUTE_S
        else:
            self._mute_until.pop(query.database, None)
            status = as_vote(query.database, found)
        now = elapsed()
        self._act(
            state,
            fences.answer(
                state.fences,
                now,
                query.round_id,
                query.database,
                status,
                FENCE_TIMEOUT_S,
            ),
        )

    def close(self):
        """Close all connections to databases."""
        for task in list(self._tasks):
            task.cancel()
        for name in list(self.homes):
            self._drop_home(name)
