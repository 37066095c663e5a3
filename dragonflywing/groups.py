"""The known state of the database groups: primaries, fences and floors.

Used by `dfw-platform` (node.py), which serves the databases of the users' platform.
The databases register themselves in the platform's store and wait for their replicas
before they acknowledge a write. Instances reach a database through its homes and
request promotions from the platform. For MySQL databases, group.py takes the place
of this module.

A fence confirms a group's primary and its log position through a quorum of
statuses, or by the primary's own under a permit. A floor is a position confirmed in
this way and the time of the query.
"""

import asyncio
import math

from dragonflywing import logs
from dragonflywing.clock import boottime
from dragonflywing.decisions import contention, evacuation, fences, floors, permits
from dragonflywing.decisions.positions import (
    Status,
    fence_quorum,
    intersecting_quorum,
)
from dragonflywing.homes import Home
from dragonflywing.supervisor import note_failure, spawn

# How long a database that is no longer listed still counts as able to
# acknowledge writes: three missed reports and the store's delay.
UNLISTED_COUNTED_S = 6.0
FENCE_TIMEOUT_S = 0.6  # a round trip to the farthest database and a wait for a slot
# Subtracted from the time after which a leaving database receives no requests, for
# a statement's way to the database and its wait in a queue.
DRAIN_MARGIN_S = 1.5
# A round queries the remaining databases if the first ones have not answered after
# this time: a round trip between regions and a wait for a slot.
FENCE_SECOND_QUERY_DELAY_S = 0.08
STATUS_AGE_S = 1.5  # how old a status may be when it is noted
MAX_LEFT = 1000  # databases that left and are remembered
UNRESPONSIVE_S = 3.0  # a database that did not answer is queried last for this time
# Subtracted from an accepted age, for the time between the check and the read.
AGE_MARGIN_S = 0.05


def as_vote(name, status):
    """Return a database's status in the form that decisions on primaries use."""
    # A paused database acknowledges no writes of terms before the promised one.
    term = max(status.term, status.promised_term)
    received = status.received
    return Status(name, status.is_primary, term, received, received, False, status.busy)


class GroupState:
    """What this instance knows about one group."""

    def __init__(self, name):
        self.name = name
        self.primary = None
        self.term = 0
        self.floor = None
        self.fences = None


class Groups:
    """The listed databases, this instance's homes, and the state of each group.

    `unlisted` holds databases that recently left the list without notice.
    `reborn` holds the names of databases that were restarted under their old
    name and may lack writes that they acknowledged before.
    """

    def __init__(self, ports, metrics, drain_s=math.inf, evacuate_s=None):
        self.ports = ports
        self.metrics = metrics
        self.drain_s = drain_s
        self.evacuate_s = evacuate_s
        self.evacuations = evacuation.EvacuationState()
        # When the latest evacuation of each data centre was learned of, also after it
        # has ended.
        self._evacuation_learned_at = {}
        self.databases = {}
        # When each leaving database may have reported so, by the clock of ages.
        self._leaving_since = {}
        # The age of the latest confirmation that all entries of databases are known.
        self.entries_age = lambda: math.inf
        self._left = {}  # the start time of databases that left, oldest first
        self._by_group = {}  # {group: {name: Database}}, the listed databases
        self.unlisted = {}
        self.rosters = {}  # {group: {name: born}} as in the store
        # Groups whose roster may lack databases, as the store came back from a copy.
        self.outdated_rosters = set()
        self.reborn = set()
        # When each was noted, by the clock of ages, and the term that was known then.
        self._reborn_at = {}
        self._primary_seen = {}  # {group: (term, received, when)} of its latest status
        self.groups = {}  # {name: GroupState}
        self.permits = permits.PermitState()
        self.permits_changed = asyncio.Event()  # replaced once it is set
        self.renew_own_permits = lambda: None  # where this instance gives them
        self.homes = {}  # {database: Home}
        self.specs = {}  # {name: deployment.Group}
        self.workspace_count = 0  # of the configuration in force
        self.plans_connections = True  # where workspaces compete for them
        self.status_of = None  # queries a database's status through its home
        self.on_entry = lambda database: None  # called for each entry that was read
        self.on_home = lambda home: None  # called for each new home
        self.is_cold = lambda name: False  # whether the rate for a database is limited
        self._waiters = {}
        self._next_waiter = 0
        self._unresponsive_until = {}
        self._tasks = set()

    def _now(self):
        return asyncio.get_running_loop().time()

    def state(self, group):
        """Return the GroupState of a group."""
        if group not in self.groups:
            self.groups[group] = GroupState(group)
        return self.groups[group]

    # Databases

    def is_superseded(self, database):
        """Return whether a later report of the same process of a database is known."""
        if self._left.get(database.name) == database.born:
            return True
        known = self.databases.get(database.name)
        is_same = known is not None and known.born == database.born
        return is_same and database.sequence < known.sequence

    def note_database(self, database):
        """Apply the entry with which a database last reported itself."""
        self.on_entry(database)
        old = self.databases.get(database.name)
        if old is not None and old.group != database.group:
            del self._by_group[old.group][old.name]
        self.databases[database.name] = database
        self._by_group.setdefault(database.group, {})[database.name] = database
        self.unlisted.pop(database.name, None)
        if database.is_leaving:
            # It may have reported at any time since the entries were confirmed.
            since = boottime() - self.entries_age()
            self._leaving_since.setdefault(database.name, since)
        else:
            self._leaving_since.pop(database.name, None)
        if old is not None and old.born != database.born:
            self._mark_reborn(database)
        self._check_restart(database)
        home = self.homes.get(database.name)
        if home is not None and old is not None:
            if (old.host, old.port, old.born) != (
                database.host,
                database.port,
                database.born,
            ):
                self._drop_home(database.name)
            else:
                home.set_database(database)
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
                born=database.born,
                joined=old is None,
            )
        state = self.state(database.group)
        if database.is_primary and state.primary is None:
            state.primary = database.name

    def remove_database(self, name):
        """Remove a database that is no longer listed."""
        database = self.databases.pop(name, None)
        if database is None:
            return
        del self._by_group[database.group][name]
        self._leaving_since.pop(name, None)
        logs.event(
            "database_gone",
            database=name,
            group=database.group,
            leaving=database.is_leaving,
            born=database.born,
        )
        if database.is_leaving:
            self._left[name] = database.born
            if len(self._left) > MAX_LEFT:
                del self._left[next(iter(self._left))]
        else:
            self.unlisted[name] = (database, self._now())
        self._drop_home(name)

    def _drop_home(self, name):
        home = self.homes.pop(name, None)
        if home is not None:
            home.close()

    def accepts_requests(self, name):
        """Return whether a database is listed and not about to end its service.

        In an evacuated data centre only primaries serve, until shortly before the
        bound.
        """
        database = self.databases.get(name)
        if database is None:
            return False
        since = self._leaving_since.get(name)
        if since is not None and boottime() - since >= self.drain_s - DRAIN_MARGIN_S:
            return False
        if not self.is_evacuated(name):
            return True
        is_primary = self.state(database.group).primary == name
        return is_primary and self.time_left(name).to_accept_s > 0

    # Evacuations

    def note_evacuation(self, data_centre, revision):
        """Note that a data centre is evacuated."""
        if evacuation.begin(self.evacuations, data_centre):
            self._evacuation_learned_at[data_centre] = boottime()
            logs.event(
                "evacuation",
                data_centre=data_centre,
                since=self.evacuations.since[data_centre],
                age_s=boottime() - self.evacuations.since[data_centre],
                revision=revision,
            )

    def end_evacuation(self, data_centre):
        """Note that a data centre is no longer evacuated."""
        if evacuation.end(self.evacuations, data_centre):
            logs.event("evacuation_ended", data_centre=data_centre)
            for name, database in self.databases.items():
                if database.data_centre == data_centre:
                    self.note_taken_back(name)

    def evacuated_since(self, data_centre):
        """Return the earliest time of an evacuation's acknowledgement, or None."""
        return self.evacuations.since.get(data_centre)

    def evacuation_learned_at(self, data_centre):
        """Return when the latest evacuation was learned of, also an ended one, or None.

        It began no later than this.
        """
        return self._evacuation_learned_at.get(data_centre)

    def knows_evacuations(self):
        """Return whether the list of evacuations is known, or none is followed."""
        return self.evacuate_s is None or not math.isinf(self.evacuations.known_at)

    def is_evacuated(self, name):
        """Return whether a listed database is in an evacuated data centre."""
        database = self.databases.get(name)
        return database is not None and database.data_centre in self.evacuations.since

    def time_left(self, name):
        """Return the evacuation.TimeLeft of a database."""
        if name not in self.databases:
            return evacuation.UNLIMITED
        return self._time_left_in(self.databases[name].data_centre)

    def _time_left_in(self, data_centre):
        if self.evacuate_s is None:
            return evacuation.UNLIMITED
        return evacuation.time_left(
            self.evacuations, boottime(), data_centre, self.evacuate_s
        )

    def is_out_of_service(self, group):
        """Return whether evacuations leave a group no database that may lead it now."""
        primary = self.state(group).primary
        if primary in self.databases:
            return self.is_evacuated(primary) and not self.accepts_requests(primary)
        members = self.members(group)
        return bool(members) and all(self.is_evacuated(item.name) for item in members)

    def members(self, group):
        """Return the listed databases of a group."""
        return list(self._by_group.get(group, {}).values())

    def note_roster(self, group, start_times, is_outdated=False):
        """Set a group's roster, the databases that may hold its writes.

        `start_times` gives the start time of each: {name: born}. Those of a roster
        that may be outdated are added to the known ones.
        """
        if is_outdated:
            start_times = start_times | self.rosters.get(group, {})
            self.outdated_rosters.add(group)
        else:
            self.outdated_rosters.discard(group)
        self.rosters[group] = start_times
        logs.event("roster", group=group, databases=",".join(sorted(start_times)))
        for database in self.members(group):
            self._check_restart(database)

    def _check_restart(self, database):
        """Mark a database as reborn if it started after the roster was written."""
        recorded = self.rosters.get(database.group, {}).get(
            database.name, database.born
        )
        if recorded != database.born and database.name not in self.reborn:
            self._mark_reborn(database)

    def _mark_reborn(self, database):
        # A database that is started again under its name has lost its data.
        self.reborn.add(database.name)
        term = self.state(database.group).term
        self._reborn_at[database.name] = boottime(), term
        logs.event(
            "database_reborn",
            database=database.name,
            group=database.group,
            born=database.born,
            recorded=self.rosters.get(database.group, {}).get(database.name),
        )

    def quorum_names(self, group):
        """Return the names of all databases that may hold a group's writes."""
        now = self._now()
        for name in [
            n for n, (_, at) in self.unlisted.items() if now - at > UNLISTED_COUNTED_S
        ]:
            del self.unlisted[name]
        names = {x.name for x, _ in self.unlisted.values() if x.group == group}
        names |= self.rosters.get(group, {}).keys()
        members = self.members(group)
        has_primary = any(item.is_primary for item in members)
        if not names or has_primary or group in self.outdated_rosters:
            names.update(item.name for item in members)
        # Without a primary, a database outside the roster has joined too late to
        # have acknowledged a write.
        return names

    def sync_replicas(self, group):
        """Return how many replicas must hold a write before it is acknowledged."""
        spec = self.specs.get(group)
        return spec.sync_replicas if spec else 1

    def quorum(self, group):
        """Return the smallest quorum of a group that intersects every write quorum.

        Any acknowledged write is held by at least one database of the quorum.
        """
        size = len(self.quorum_names(group))
        return intersecting_quorum(size, self.sync_replicas(group))

    def home(self, name):
        """Return this instance's Home of a listed database, None if it is unknown."""
        if name not in self.homes:
            database = self.databases.get(name)
            if database is None:
                return None
            spec = self.specs.get(database.group)
            connection_limit = spec.connections if spec else 16
            home = Home(database, connection_limit, self.ports.databases, self.metrics)
            # Statements may still wait in it when the database is no longer listed.
            home.time_left = lambda: self._time_left_in(home.database.data_centre)
            home.set_contended(self.competes(database.group))
            self.homes[name] = home
            self.on_home(home)
        return self.homes[name]

    def competes(self, group):
        """Return whether workspaces compete for connections to a group's databases."""
        spec = self.specs.get(group)
        if spec is None or not self.plans_connections:
            return False
        slots = [item.slots for item in self.members(group)]
        if not slots:
            return False
        return contention.competes_for_connections(
            self.workspace_count, spec.connections, min(slots)
        )

    # Known state

    def note_status(self, name, status):
        """Apply a status that a database has just reported."""
        database = self.databases.get(name)
        if status is None or database is None:
            return
        if name in self.reborn and self._has_caught_up(database, status):
            self.reborn.discard(name)
            del self._reborn_at[name]
            logs.event(
                "database_caught_up",
                database=name,
                group=database.group,
                index=status.received.index,
            )
        if status.is_primary and name not in self.reborn:
            self.note_primary(database.group, name, status.term)
            seen = status.term, status.received, boottime()
            self._primary_seen[database.group] = seen

    def _has_caught_up(self, database, status):
        """Return whether a reborn database has all that it may have acknowledged.

        A replica may have acknowledged more than what an earlier floor tells, and have
        received only a part of it again; what its primary had after the restart is
        enough. A primary has received nothing again, and one that was promoted since is
        the one that the others follow.
        """
        reborn_at, term = self._reborn_at[database.name]
        if status.is_primary and status.term > term:
            return True
        state = self.state(database.group)
        if state.floor is None or status.received < state.floor.position:
            return False
        if status.is_primary or state.floor.asked_at > reborn_at:
            return True
        term, received, at = self._primary_seen.get(database.group, (0, None, 0.0))
        is_later = at > reborn_at + STATUS_AGE_S
        return term and term >= state.term and is_later and status.received >= received

    def note_primary(self, group, name, term):
        """Set a group's primary for a term, unless a later term is known."""
        state = self.state(group)
        if term < state.term or (term == state.term and state.primary == name):
            return
        logs.event("primary", group=group, database=name, term=term, was=state.primary)
        if 0 < state.term < term and name in self.homes:
            self.homes[name].begin_pace("promoted")
        state.primary = name
        state.term = term

    def note_taken_back(self, name):
        """Let a database begin at a low pace, as its data centre is in use again."""
        home = self.homes.get(name)
        if home is not None:
            home.begin_pace("taken_back")

    def note_floor(self, group, floor):
        """Apply a floor that this or another instance has confirmed, if it is newer."""
        state = self.state(group)
        state.floor = floors.newer(state.floor, floor)

    def floor(self, group, max_age_s):
        """Return the position of the known floor if it is recent enough, or None."""
        floor = self.state(group).floor
        if floors.usable(floor, boottime(), max_age_s - AGE_MARGIN_S):
            return floor.position
        return None

    # Permits of acknowledgements

    def note_permits(self, version, leaders, granted_at, valid_s, is_direct=True):
        """Apply permits that were given to this instance at `granted_at`."""
        state = self.permits
        known, was_valid = state.version, permits.is_valid(state, boottime())
        permits.apply(state, version, leaders, granted_at, valid_s, is_direct)
        if state.version != known or not was_valid:
            self._note_permits_changed()

    def _permitted_leader(self, group):
        """Return the permits.Leader of a group, None without a valid permit.

        No other database is promoted before this instance's permit has been revoked or
        has lapsed.
        """
        self.renew_own_permits()
        if not permits.is_valid(self.permits, boottime()):
            return None
        return self.permits.leaders.get(group)

    def revise_permits(self, version, leaders):
        """Apply a later version of the permitted primaries, which extends no permit.

        Return whether it was not known.
        """
        is_new = permits.revise(self.permits, version, leaders)
        if is_new:
            self._note_permits_changed()
        return is_new

    def _note_permits_changed(self):
        for group, leader in self.permits.leaders.items():
            self.note_primary(group, leader.database, leader.term)
        self.permits_changed.set()
        self.permits_changed = asyncio.Event()

    # Fences

    async def fence(self, group):
        """Return the primary's position, confirmed after this call, or None."""
        state = self.state(group)
        if state.fences is None:
            state.fences = fences.FenceState(())
        now = boottime()
        if not state.fences.active_waiters or now >= state.fences.deadline:
            self._update_fence_members(state)
        self._next_waiter += 1
        waiter = self._next_waiter
        fut = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = fut
        self._apply_messages(state, fences.expire(state.fences, now, FENCE_TIMEOUT_S))
        self._apply_messages(
            state, fences.add_waiter(state.fences, now, waiter, FENCE_TIMEOUT_S)
        )
        try:
            # The waiter's round may start only after the running one has ended.
            async with asyncio.timeout(2 * FENCE_TIMEOUT_S):
                return await fut
        except TimeoutError:
            return None
        finally:
            self._waiters.pop(waiter, None)

    def _update_fence_members(self, state):
        """Set whom the next round asks; one in flight goes on with those it asked."""
        names = tuple(self.quorum_names(state.name))
        state.fences.databases = names
        state.fences.quorum = fence_quorum(len(names), self.sync_replicas(state.name))

    def _apply_messages(self, state, messages):
        for message in messages:
            if isinstance(message, fences.Query):
                spawn(self._tasks, self._query(state, message))
                continue
            fut = self._waiters.get(message.waiter)
            # Databases that were restarted may confirm a primary that was replaced.
            is_granted = (
                isinstance(message, fences.Granted) and message.term >= state.term
            )
            if is_granted:
                floor = floors.Floor(message.position, message.asked_at)
                self.note_floor(state.name, floor)
            if fut is not None and not fut.done():
                fut.set_result(message.position if is_granted else None)

    def _is_queried_first(self, state, name):
        """Return whether a round queries a database at once.

        The primary and as many replicas as the quorum needs are queried first; none
        if the primary is permitted. Replicas that recently did not answer come last in
        this order.
        """
        leader = self._permitted_leader(state.name)
        if leader is not None and leader.database == state.primary:
            return name == state.primary
        others = [item for item in state.fences.asked if item != state.primary]
        others.sort(key=lambda item: (self._unresponsive_until.get(item, 0.0), item))
        count = max(0, (state.fences.asked_quorum or 1) - 1)
        return name == state.primary or name in others[:count]

    async def _query(self, state, query):
        if not self._is_queried_first(state, query.database):
            await asyncio.sleep(FENCE_SECOND_QUERY_DELAY_S)
            done = (
                state.fences.round_id != query.round_id
                or not state.fences.active_waiters
            )
            if done:
                return
        self.metrics.count("fence.query")
        reported, status = None, None
        try:
            async with asyncio.timeout(FENCE_TIMEOUT_S):
                reported = await self.status_of(query.database)
        except TimeoutError:
            pass
        except Exception as exc:
            # The round must end whatever went wrong, or no other one begins.
            note_failure("fence", exc, self.metrics)
        if reported is not None:
            self.note_status(query.database, reported)
        if query.database in self.reborn:
            # It may lack writes that it acknowledged before its restart.
            reported = None
        if reported is None:
            self._unresponsive_until[query.database] = self._now() + UNRESPONSIVE_S
        else:
            self._unresponsive_until.pop(query.database, None)
            status = as_vote(query.database, reported)
        leader = self._permitted_leader(state.name)
        if state.fences.next_waiters:  # their round may start now
            self._update_fence_members(state)
        now = boottime()
        self._apply_messages(
            state,
            fences.handle_status(
                state.fences,
                now,
                query.round_id,
                query.database,
                status,
                FENCE_TIMEOUT_S,
                is_permitted=status is not None
                and leader is not None
                and status.primary
                and (status.database, status.term) == leader[:2],
            ),
        )

    def close(self):
        """Close all connections to databases."""
        for task in list(self._tasks):
            task.cancel()
        for name in list(self.homes):
            self._drop_home(name)
