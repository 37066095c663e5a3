"""An entry instance of a platform on which instances share database connections.

`serve` runs all tasks of the instance in one task group, each restarted if it
fails. The adapters to the deployment are passed as `Ports`.
"""

import asyncio
import json
import signal

from dragonflywing import decoding, gauges, logs, supervisor
from dragonflywing.acknowledgements import Acknowledgements
from dragonflywing.clock import boottime
from dragonflywing.cluster import (
    ERA_KEY,
    FLEET_PREFIX,
    MEMBER_PREFIX,
    MEMBER_RESTORE_S,
    SERVED_S,
    Cluster,
)
from dragonflywing.connection_pool import max_connections_for
from dragonflywing.decisions import division, floors, regions, stopping
from dragonflywing.decisions.relays import Role
from dragonflywing.decoding import MalformedDocument
from dragonflywing.directory import Directory
from dragonflywing.errors import StoreError, UserError
from dragonflywing.exchange import Exchange
from dragonflywing.groups import Groups
from dragonflywing.links import LinkLost, LinkServer, idl, unpack
from dragonflywing.pacing import Pacing
from dragonflywing.replacer import DUTY_KEY, ROSTER_PREFIX, Replacer
from dragonflywing.router import Router, pack_answer, pack_status

# Time over which a large fleet collects registrations before it watches again, to
# save calls when many instances start together. A small fleet does without, as the
# calls cost less than the delay, except for a short time after the start.
MEMBER_BATCH_S = 0.8
# In a fleet with relays, each of them reads reports of databases at most this often:
# every report of every database would otherwise be a call of each relay.
ENTRIES_BATCH_S = 0.4
START_BATCH_S = 0.1
# An instance that has started within this time may not know yet that its fleet is
# large. It relies on the list of databases that it has just read.
STARTING_S = 2.0
# How long after the start an instance asks its partners more often while it awaits
# the fleet's rates.
SETTLING_S = 10.0
# The names of the workspaces that have nearly used up their burst, for instances that
# start after a kill of all. The record lasts as long as the window that limits rates.
DRAWN_KEY = FLEET_PREFIX + "drawn"
DRAWN_LEASE_S = 5.0
DRAWN_INTERVAL_S = 0.5
TICK_INTERVAL_S = 0.1  # for queues, demand and idle connections
DRAIN_POLL_S = 0.02  # far below what a caller notices
# How long a caller that connects during the start waits; callers time out after 2 s.
START_WAIT_S = 1.2
# How much longer than the operation's own wait a relay may take to answer.
RELAY_MARGIN_S = 0.15
START_POLL_S = 0.02  # far below what a caller notices
MAX_LOGGED_MEMBERS = 8  # names in a log line about changed instances


def decode_drawn(value):
    """Return the names of the workspaces that are recorded as drawn."""
    try:
        return set(decoding.decode(value or b"[]", list[str]))
    except MalformedDocument:
        return set()


def _hold_s(key):
    """Return how long a key of the fleet is kept that was removed in an outage."""
    return MEMBER_RESTORE_S if key.startswith(MEMBER_PREFIX) else 0.0


class Node:
    """The shared state of an instance's tasks, and its interface for sessions."""

    def __init__(self, settings, ports, metrics):
        self.settings = settings
        self.ports = ports
        self.metrics = metrics
        self.groups = Groups(ports, metrics, settings.drain_s, settings.evacuate_s)
        self.groups.plans_connections = settings.plans_connections
        self.cluster = Cluster(settings, ports.store, metrics)
        shared_args = (settings, ports, self.groups, self.cluster, metrics)
        self.directory = Directory(*shared_args)
        self.directory.on_configuration = self._apply_limits
        self.directory.followers.append(self.cluster.keys)
        self.router = Router(*shared_args)
        self.groups.status_of = self.router.status_of
        self.acknowledgements = Acknowledgements(self.groups, metrics)
        self.acknowledgements.data_centre = settings.data_centre
        self.division = division.DivisionState()
        self.pacing = Pacing(
            settings, self.groups, self.cluster, self.division, self.router.paces.get
        )
        self.exchange = Exchange(
            settings, self.groups, self.cluster, self.directory, self.division
        )
        self.cluster.make_question = self.exchange.make_question
        self.cluster.apply_answer = self.exchange.apply_answer
        self.cluster.find_floor_partners = self._floor_partners
        self.exchange.is_home_in = self._is_home_in
        self.cluster.is_settling = self._is_settling
        ports.store.on_era = self.cluster.note_era
        self.cluster.keys.on_item = self._apply_fleet_key
        # What the other keys mean depends on the mark.
        self.cluster.keys.order = lambda item: item.key != ERA_KEY
        self.cluster.keys.on_applied = self._log_members
        self._members_added, self._members_gone = [], []
        self.cluster.keys.hold_s = _hold_s
        self.cluster.keys.batch_s = self._member_batch_s
        self.cluster.keys.is_served = self.cluster.is_served
        self.directory.entries.is_served = self._is_served_databases
        self.directory.entries.batch_s = self._entries_batch_s
        if self.directory.evacuations is not None:
            self.directory.evacuations.is_served = self._is_served_evacuations
        self.replacer = Replacer(self)
        self.exchange.granting = self.replacer.granting
        self.groups.renew_own_permits = self.replacer.granting.renew_own
        self.acknowledgements.renew_own = self.replacer.granting.renew_own
        self.acknowledgements.needs_permit = self._needs_permit
        self.links = LinkServer(self._handle_call, self._link_closed, metrics)
        metrics.gauges += gauges.node_gauges(self)
        self.draining = asyncio.Event()
        self._is_started = False
        self._started_at = 0.0
        self._tasks = set()
        self._refreshing = set()  # groups whose floors are being confirmed

    def now(self):
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def _apply_limits(self, cfg):
        limits = {w.name: (w.rate, w.burst) for w in cfg.workspaces.values()}
        self.pacing.set_workspaces(limits)
        for problem in regions.find_problems(cfg, self.settings.regions):
            self.metrics.count(f"configuration.{problem.event}")
            logs.warn(problem.event, version=cfg.version, **problem.fields)

    # The fleet's keys in the store

    def _apply_fleet_key(self, item):
        """Apply a change of a key that instances write to the store."""
        if item.key == ERA_KEY:
            self.cluster.apply_mark(item)
        elif item.key == DUTY_KEY:
            self.replacer.apply_duty(item)
        elif item.key == DRAWN_KEY:
            division.note_drawn(self.division, decode_drawn(item.value))
        elif item.key.startswith(ROSTER_PREFIX):
            self.replacer.apply_roster(item)
        elif item.key.startswith(MEMBER_PREFIX):
            if self.cluster.apply_member(item.key, item.value):
                is_gone = item.value is None
                changed = self._members_gone if is_gone else self._members_added
                changed.append(item.key[len(MEMBER_PREFIX) :])

    def _log_members(self):
        """Log which instances have joined or gone since this was called last."""
        added, gone = self._members_added, self._members_gone
        self._members_added, self._members_gone = [], []
        if added or gone:
            logs.event(
                "members",
                added=",".join(added[:MAX_LOGGED_MEMBERS]),
                added_count=len(added),
                gone=",".join(gone[:MAX_LOGGED_MEMBERS]),
                gone_count=len(gone),
                known=len(self.cluster.peers),
            )

    async def _handle_call(self, name, body, origin):
        """Answer a call of another instance."""
        if name == "run":
            req = unpack(idl.RunRequest, body)
            answer, handle, _ = await self.router.run_locally(req, origin)
            pacer = self.router.pacer(req.database)
            wait_s = self.router.wait_s(req.database)
            return pack_answer(answer, handle, wait_s, pacer)
        if name == "exchange":
            return self.exchange.answer(body)
        if name == "admit":
            max_wait, _, workspace = body.decode().partition(" ")
            wait_s = await self._admit_locally(workspace, float(max_wait))
            return f"{wait_s:.3f}".encode()
        if name in ("command", "timed_command"):
            database, _, text = body.decode().partition(" ")
            status = await self.router.command_locally(database, text)
            return pack_status(status, is_timed=name == "timed_command")
        if name == "end":
            database, _, handle = body.decode().partition(" ")
            self.router.end_transaction_locally(database, handle)
            return b""
        if name == "permits":
            return await self.replacer.granting.revise(body)
        if name == "configuration":
            return self.directory.document()
        raise ValueError(f"unknown call {name!r}")

    def _needs_permit(self):
        """Return whether the instance that holds the duty gives permits."""
        holder = self.cluster.peers.get(self.replacer.holder())
        return holder is None or holder.has_permits

    def _link_closed(self, origin):
        for home in self.groups.homes.values():
            home.roll_back_all(origin)

    def _age_s(self):
        """Return the seconds since this process started."""
        return self.now() - self._started_at

    def _member_batch_s(self):
        if self._age_s() < STARTING_S:
            return START_BATCH_S
        return 0.0 if self.cluster.is_small() else MEMBER_BATCH_S

    def _entries_batch_s(self):
        return 0.0 if self.cluster.is_small() else ENTRIES_BATCH_S

    def _is_settling(self):
        return self._age_s() < SETTLING_S and not self.division.reports_complete

    def _is_served_databases(self):
        return self._age_s() < STARTING_S or self.cluster.is_served()

    def _is_served_evacuations(self):
        # A relay of an earlier build doesn't send them.
        age_s = self.now() - self.directory.evacuations_received_at
        return age_s < SERVED_S and self.cluster.is_served()

    # Interface for sessions

    async def admit(self, workspace, max_wait_s):
        """Admit an operation of a workspace; return 0, or the time to retry after.

        Waits for the rate limit if it allows the operation within `max_wait_s`.
        """
        admitting = self._admitting_instance()
        if admitting != self.settings.instance:
            wait_s = await self._admit_at(admitting, workspace, max_wait_s)
            if wait_s is not None:
                return wait_s
        return await self._admit_locally(workspace, max_wait_s)

    def _admitting_instance(self):
        """Return the instance that admits the operations of this one's callers.

        In a large fleet this is the data centre's relay, since each instance receives
        few operations of a workspace. If the rate were divided over all instances,
        most of them would be refused. An instance that the others don't list has no
        share of the rates: they divide them among themselves.
        """
        if not self.cluster.is_small():
            relay = self.cluster.relay(self.settings.data_centre)
            if relay not in (None, self.settings.instance):
                return relay
        return self.cluster.unlisted_by() or self.settings.instance

    async def _admit_at(self, relay, workspace, max_wait_s):
        """Admit an operation at another instance; return None if that failed."""
        body = f"{max_wait_s:.3f} {workspace}".encode()
        try:
            answer = await self.cluster.call(
                relay, "admit", body, max_wait_s + RELAY_MARGIN_S
            )
        except LinkLost as exc:
            self.metrics.count("rate.relay_failed")
            logs.event("relay_lost", relay=relay, error=str(exc))
            return None
        return float(answer)

    async def _admit_locally(self, workspace, max_wait_s):
        if workspace not in self.division.buckets:
            return max_wait_s
        division.count_arrival(self.division, workspace)
        wait_s = division.admit(self.division, boottime(), workspace)
        if not 0 < wait_s <= max_wait_s:
            return wait_s
        division.reserve(self.division, boottime(), workspace)
        self.metrics.count("rate.waited")
        try:
            await asyncio.sleep(wait_s)
        except asyncio.CancelledError:
            division.cancel_reservation(self.division, workspace)
            raise
        return 0.0

    # Tasks

    async def _tick(self):
        """Update demand, floors and connections periodically until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            division.measure_demand(self.division, boottime())
            self.exchange.update_units()
            self.cluster.keys.expire()
            self.directory.entries.expire()
            if self.directory.evacuations is not None:
                self.directory.evacuations.expire()
            self.pacing.update()
            self._sweep_homes()
            self._refresh_floors()

    async def _record_drawn(self):
        """Record in the store which workspaces are drawn, until cancelled.

        The record ends with its lease, after the window in which rates are counted.
        """
        lease, recorded = None, set()
        while True:
            await asyncio.sleep(DRAWN_INTERVAL_S)
            if self.cluster.rank("confirm") > 0 or self.cluster.leaving:
                continue
            names = division.drawn(self.division, boottime())
            if not names:
                continue
            store = self.ports.store
            try:
                if lease is None or not await store.keep_lease(lease):
                    seconds = max(DRAWN_LEASE_S, self.settings.lease_min_s)
                    lease, recorded = await store.grant_lease(seconds), set()
                if not names <= recorded:
                    value = json.dumps(sorted(names | recorded)).encode()
                    await store.swap(DRAWN_KEY, value, None, lease)
                    recorded |= names
            except StoreError as exc:
                lease = None
                self.metrics.count("store.record_drawn_failed")
                logs.event("drawn_not_recorded", error=str(exc))

    def _sweep_homes(self):
        own_instance = self.settings.instance
        idle_s = self.directory.cfg.transaction_idle_s if self.directory.cfg else 3.0
        isolated = self.cluster.is_isolated()
        for name, home in list(self.groups.homes.items()):
            database = self.groups.databases[name]
            first = self.cluster.first_home(database)
            fallback_s = None
            if first != own_instance:
                silent_s = self.cluster.silent_s(first)
                fallback_s = max(silent_s, home.continuous_use_s())
            is_home = self.router.home_candidates(database)[0] == own_instance
            max_connections = max_connections_for(
                home.connection_limit, fallback_s, isolated
            )
            home.set_contended(self.groups.competes(database.group))
            home.sweep(is_home, max_connections, idle_s)
            if self.groups.is_evacuated(name):
                self._drain_home(home)

    def _drain_home(self, home):
        """Close a home's connections to a database in an evacuated data centre."""
        home.end_calls()
        if home.time_left().to_accept_s <= 0:
            home.roll_back_open()
        if not self.groups.accepts_requests(home.database.name):
            home.close_idle()

    def _homes_in(self, group):
        """Return the homes of a group's databases."""
        return {
            self.router.home_candidates(database)[0]
            for database in self.groups.members(group)
        }

    def _is_home_in(self, group):
        return self.settings.instance in self._homes_in(group)

    def _floor_partners(self):
        """Return the instances whose floors or permits this one uses.

        The home of a primary confirms the floors that the replicas' homes need, and
        that show the holder of the duty that the primary answers. Relays pass on the
        permits of the holder.
        """
        own_instance, partners = self.settings.instance, set()
        if self.cluster.role() is Role.RELAY and self.replacer.holder():
            partners.add(self.replacer.holder())
        holds_duty = self.replacer.holds_duty()
        for group, state in self.groups.groups.items():
            homes = self._homes_in(group)
            if own_instance in homes:
                partners |= homes
            primary = self.groups.databases.get(state.primary)
            if holds_duty and primary is not None:
                partners.add(self.router.home_candidates(primary)[0])
        return partners - {own_instance}

    def _refresh_floors(self):
        """Confirm the floors that are due, of the primaries whose home this is."""
        for state in self.groups.groups.values():
            database = self.groups.databases.get(state.primary)
            if database is None or state.name in self._refreshing:
                continue
            is_home = self.router.home_candidates(database)[0] == self.settings.instance
            if is_home and floors.is_due(state.floor, boottime()):
                self._refreshing.add(state.name)
                supervisor.spawn(self._tasks, self._refresh_floor(state.name))

    async def _refresh_floor(self, group):
        try:
            await self.groups.fence(group)
        finally:
            self._refreshing.discard(group)

    async def wait_started(self):
        """Wait briefly after the start until callers can be served."""
        end = self.now() + START_WAIT_S
        while not self._is_started and self.now() < end:
            self._is_started = (
                self.directory.is_confirmed() and self.division.reports_complete
            )
            await asyncio.sleep(START_POLL_S)

    def is_ready(self):
        """Return whether callers can be served."""
        has_state = self.directory.is_confirmed() and self.directory.has_database_list
        return has_state and not self.cluster.leaving

    def reload(self, load):
        """Apply changed settings; changed addresses need a restart."""
        try:
            settings = load()
        except UserError as exc:
            self.metrics.count("refused.bad_settings")
            logs.warn("reload_failed", error=str(exc))
            return
        old = self.settings
        self.settings = self.directory.settings = settings._replace(
            host=old.host,
            caller_port=old.caller_port,
            ready_port=old.ready_port,
            peer_port=old.peer_port,
            metrics_port=old.metrics_port,
        )
        self.router.regions = settings.regions
        logs.event("reloaded", changed=settings != old)

    async def serve(self, start_adapters, callers, load):
        """Serve until SIGTERM, then shut down gracefully; reload on SIGHUP."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.draining.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload, load)
        store = self.ports.store
        try:
            async with asyncio.TaskGroup() as tasks:
                await self._start(tasks)
                await start_adapters(self)
                logs.event("started", instance=self.settings.instance)
                await self.draining.wait()
                await self._drain(callers)
                raise Drained
        except* Drained:
            pass
        finally:
            self.links.close()
            self.cluster.close()
            self.groups.close()
            store.close()
            logs.event("stopped", instance=self.settings.instance)

    async def _start(self, tasks):
        settings = self.settings
        self._started_at = self.now()
        await self.links.start(settings.host, settings.peer_port)
        starts = {
            "register": self.cluster.register,
            "exchange": self.cluster.exchange,
            "instances": self.cluster.keys.run,
            "databases": self.directory.entries.run,
            "configuration": self.directory.keep_confirmed,
            "tick": self._tick,
            "duty": self.replacer.run,
            "primaries": self.replacer.watch,
            "drawn": self._record_drawn,
        }
        if self.directory.evacuations is not None:
            starts["evacuations"] = self.directory.evacuations.run
        for name, start in starts.items():
            tasks.create_task(supervisor.supervise(name, start, self.metrics))

    async def _drain(self, callers):
        """Leave the balancer's rotation, then wait for sessions and transactions."""
        logs.event("draining", sessions=len(callers.connections))
        stop = stopping.Stop(self.now(), self.settings.shutdown_s)
        self.cluster.leave(stop)
        release = supervisor.spawn(self._tasks, self.replacer.release_duty())
        while not stopping.closes_idle_sessions(stop, self.now()):
            await asyncio.sleep(DRAIN_POLL_S)
        callers.stop_listening()
        while self.now() < stop.exit_at():
            for conn in list(callers.connections):
                if conn.is_idle():
                    conn.close()
            if not callers.connections and not self.router.is_in_use():
                break
            await asyncio.sleep(DRAIN_POLL_S)
        await release
        await self.cluster.withdraw()
        logs.event("drained", left=len(callers.connections))


class Drained(Exception):
    """Ends the task group after a graceful shutdown."""
