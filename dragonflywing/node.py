"""An entry instance on a platform whose databases are shared through homes.

`serve` runs all its tasks under one supervisor; adapters come as `Ports`.
"""

import asyncio
import json
import random
import signal

from dragonflywing import logs, outcomes, supervisor
from dragonflywing.clock import elapsed
from dragonflywing.cluster import MEMBER_PREFIX, OWN_PREFIX, Cluster, follow
from dragonflywing.decisions import division, floors, membership, placing
from dragonflywing.decisions.positions import Position
from dragonflywing.errors import StoreError, UserError
from dragonflywing.groups import Groups
from dragonflywing.homes import connections_for
from dragonflywing.links import LinkLost, LinkServer, idl, pack, unpack
from dragonflywing.ports import Answer, DatabaseStatus
from dragonflywing.replacer import DUTY_KEY, Replacer

TICK_S = 0.1
# Instances asked to reach a database before it counts as out of reach, and how
# long one that could not is asked last.
HOMES_TRIED = 3
UNREACHABLE_S = 1.5
# The configuration is read this often by the instances that confirm it for all.
CONFIRM_S = 0.8
CONFIRMERS = 2
# An instance that hears no confirmation for so long asks the store itself.
CONFIRM_LATE_S = 1.8
# Taken off the time within which a withdrawn key must stop working.
WITHDRAWAL_MARGIN_S = 0.4
FENCE_PERIOD_S = 0.45  # a floor stays far younger than the ages of the routes
COMMAND_TIMEOUT_S = 0.5  # a home's own limit and a round trip
DIRECTORY_TIMEOUT_S = 1.5  # up to some hundred KB between regions
DIRECTORY_LATE_S = 2.5
READ_REMOTE_S = 0.7  # longer than a home lets a read take, with its queue
LINK_MARGIN_S = 0.15  # a round trip between the farthest data centres
BEHIND_S = 0.3  # a replica that was behind is left out for this time
LOAD_KEPT_S = 0.5  # a load told with an answer counts for this time
NEAR_WAY_S = 0.0015
REGION_WAY_S = 0.03
# After SIGTERM: the balancer needs two missed probes, one a second.
ROTATION_S = 2.2
EXIT_MARGIN_S = 0.8
# A caller that connects while the instance starts waits up to this time; it
# would give up after 2 s.
START_WAIT_S = 1.2
START_POLL_S = 0.02


class Node:
    """The state that the tasks of an instance share."""

    def __init__(self, own, ports, metrics):
        self.cfg_own = own
        self.ports = ports
        self.metrics = metrics
        self.cfg = None
        self.cfg_bytes = b""
        self.confirmed_at = None
        self.has_lists = False
        self.directory = {}
        self.directory_revision = 0
        self.directory_at = None
        self.groups = Groups(ports, metrics)
        self.groups.status_of = self.status_of
        self.cluster = Cluster(own, ports.store, metrics)
        self.cluster.make_exchange = self._make_exchange
        self.cluster.take_exchange = self._take_exchange
        self.division = division.DivisionState()
        self.replacer = Replacer(self)
        self.links = LinkServer(self._handle, self._link_closed, metrics)
        self.draining = asyncio.Event()
        self._is_started = False
        self._behind = {}
        self._unreachable = {}
        self._loads = {}
        self._fetching = False
        self._local = object()
        self._tasks = set()

    def now(self):
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Configuration

    def version(self):
        """Return the version of the configuration in force, 0 if there is none."""
        return self.cfg.version if self.cfg else 0

    def confirmation_age(self):
        """Return the seconds since the store confirmed the configuration."""
        if self.confirmed_at is None:
            return 1e9
        return elapsed() - self.confirmed_at

    def is_confirmed(self):
        """Return whether keys may be trusted."""
        limit = self.cfg_own.key_withdrawal_s - WITHDRAWAL_MARGIN_S
        return self.confirmation_age() < limit

    def _offer(self, data, source):
        try:
            cfg = self.ports.decode_configuration(data)
        except UserError as exc:
            self.metrics.count("refused.bad_configuration")
            logs.warn("bad_configuration", source=source, error=str(exc))
            return
        if cfg.version <= self.version():
            return
        self.cfg = cfg
        self.cfg_bytes = data
        self.groups.specs = cfg.groups
        limits = {w.name: (w.rate, w.burst) for w in cfg.workspaces.values()}
        division.configure(self.division, elapsed(), limits)
        self.metrics.count(f"configuration.from_{source}")
        logs.event("configuration", version=cfg.version, source=source)

    def _confirm(self, version, asked_at):
        if version == self.version() and self.cfg is not None:
            if self.confirmed_at is None or asked_at > self.confirmed_at:
                self.confirmed_at = asked_at

    async def _keep_confirmed(self):
        while True:
            names = [peer.instance for peer in self.cluster.alive()]
            place = membership.rank("confirm", self.cfg_own.instance, names)
            late = self.confirmation_age() > CONFIRM_LATE_S
            if place < CONFIRMERS or late or self.cfg is None:
                asked_at = elapsed()
                try:
                    item, _ = await self.ports.store.get(self.ports.configuration_key)
                except StoreError as exc:
                    self.metrics.count("store.confirm_failed")
                    logs.event(
                        "confirm_failed", error=str(exc), age_s=self.confirmation_age()
                    )
                else:
                    if item is not None:
                        if item.value != self.cfg_bytes:
                            self._offer(item.value, "store")
                        if item.value == self.cfg_bytes:
                            self._confirm(self.version(), asked_at)
            await asyncio.sleep(CONFIRM_S * random.uniform(0.8, 1.0))

    # Lists of databases and instances

    def _take_directory(self, items, revision):
        """Take a whole list of databases: {key: value}."""
        self.directory = items
        self.directory_revision = revision
        self.directory_at = self.now()
        found = {}
        for key, value in items.items():
            database = self.ports.decode_database(key, value)
            if database is None:
                self.metrics.count("refused.bad_database_entry")
                logs.event("bad_database_entry", key=key)
            else:
                found[database.name] = database
        for name in [name for name in self.groups.databases if name not in found]:
            self.groups.remove_database(name)
        for database in found.values():
            if self.groups.databases.get(database.name) != database:
                self.groups.note_database(database)

    def _list_databases(self, items):
        revision = max([item.revision for item in items], default=0)
        self._take_directory({item.key: item.value for item in items}, revision)
        self.has_lists = True

    def _change_database(self, item):
        items = dict(self.directory)
        if item.value is None:
            items.pop(item.key, None)
        else:
            items[item.key] = item.value
        self._take_directory(items, max(self.directory_revision, item.revision))

    def _list_own(self, items):
        """Take all keys that instances keep in the store."""
        present = {item.key: item.value for item in items}
        for name in list(self.cluster.peers):
            if MEMBER_PREFIX + name not in present:
                self.cluster.note_member(MEMBER_PREFIX + name, None)
        self.replacer.note_duty(None)
        for item in items:
            self._change_own(item)

    def _change_own(self, item):
        if item.key == DUTY_KEY:
            self.replacer.note_duty(item)
        elif item.key.startswith(MEMBER_PREFIX):
            self.cluster.note_member(item.key, item.value)
            self._members_changed()

    def _members_changed(self):
        division.keep_only(self.division, self.cluster.peers)

    # Exchange with the other instances

    def _make_exchange(self):
        """Return what the others need of this instance whatever its age."""
        demand, admitted = division.report(self.division)
        return pack(
            idl.Exchange(
                instance=self.cfg_own.instance,
                leaving=self.cluster.leaving,
                demand=demand,
                admitted=admitted,
            )
        )

    def _answer_exchange(self):
        """Return what this instance believes, with ages, for the one that asks."""
        now = elapsed()
        views = []
        for state in self.groups.groups.values():
            floor = state.floor
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
        return pack(
            idl.Beliefs(
                config_version=self.version(),
                config_age=self.confirmation_age(),
                directory_revision=self.directory_revision,
                groups=views,
            )
        )

    def _hear(self, message):
        """Use what another instance tells with its question."""
        name = message.instance
        if name not in self.cluster.peers:
            return
        if message.leaving:
            self.cluster.leaving_peers.add(name)
        division.hear(self.division, elapsed(), name, message.demand, message.admitted)

    async def _take_exchange(self, instance, body, asked_at):
        message = unpack(idl.Beliefs, body)
        for view in message.groups:
            if view.primary and view.term:
                self.groups.note_primary(view.group, view.primary, view.term)
            if view.floor_age >= 0:
                position = Position(view.floor_term, view.floor_index)
                floor = floors.Floor(position, asked_at - view.floor_age)
                self.groups.note_floor(view.group, floor)
        late = self.directory_at is None or (
            message.directory_revision > self.directory_revision
            and self.now() - self.directory_at > DIRECTORY_LATE_S
        )
        if message.config_version > self.version() or late:
            await self._fetch(instance)
        self._confirm(message.config_version, asked_at - message.config_age)

    async def _fetch(self, instance):
        """Take the configuration and the list of databases from another instance."""
        if self._fetching:
            return
        self._fetching = True
        try:
            body = await self.cluster.call(
                instance, "documents", b"", DIRECTORY_TIMEOUT_S
            )
        except LinkLost as exc:
            logs.event("documents_not_fetched", instance=instance, error=str(exc))
            return
        finally:
            self._fetching = False
        found = json.loads(body)
        if found["configuration"]:
            self._offer(found["configuration"].encode(), "peer")
        if found["revision"] > self.directory_revision:
            items = {key: value.encode() for key, value in found["databases"].items()}
            self._take_directory(items, found["revision"])

    def _documents(self):
        databases = {
            key: value.decode(errors="replace") for key, value in self.directory.items()
        }
        document = {
            "configuration": self.cfg_bytes.decode(),
            "revision": self.directory_revision,
            "databases": databases,
        }
        return json.dumps(document).encode()

    async def _handle(self, name, body, origin):
        """Answer a call of another instance."""
        if name == "run":
            req = unpack(idl.RunRequest, body)
            answer, handle, _ = await self._run_here(req, origin)
            return _pack_answer(answer, handle, self._wait_s(req.database))
        if name == "exchange":
            self._hear(unpack(idl.Exchange, body))
            return self._answer_exchange()
        if name == "command":
            database, _, text = body.decode().partition(" ")
            return _pack_status(await self._command_here(database, text))
        if name == "end":
            database, _, handle = body.decode().partition(" ")
            self._end_here(database, handle)
            return b""
        if name == "documents":
            return self._documents()
        raise ValueError(f"unknown call {name!r}")

    def _link_closed(self, origin):
        for home in self.groups.homes.values():
            home.end_all_of(origin)

    # Databases, here or through their homes

    async def _command_here(self, database, text):
        home = self.groups.home(database)
        return None if home is None else await home.command(text)

    async def command(self, database, text):
        """Run a control statement through a database's home, or another instance."""
        found = self.groups.databases.get(database)
        if found is None:
            return None
        first, *others = self._homes(found)[:HOMES_TRIED]
        status = await self._command_through(first, database, text)
        if status is None and others:
            calls = [self._command_through(name, database, text) for name in others]
            statuses = await asyncio.gather(*calls)
            status = next((item for item in statuses if item is not None), None)
        if status is not None:
            self.groups.note_status(database, status)
        return status

    async def _command_through(self, instance, database, text):
        if instance == self.cfg_own.instance:
            status = await self._command_here(database, text)
        else:
            status = await self._command_at(instance, database, text)
        if status is None:
            self._note_unreachable(instance, database)
        return status

    def _homes(self, database):
        """Return a database's homes, those that can't reach it last."""
        now = self.now()
        return sorted(
            self.cluster.homes(database),
            key=lambda name: self._unreachable.get((name, database.name), 0.0) > now,
        )

    def _note_unreachable(self, instance, database):
        self._unreachable[(instance, database)] = self.now() + UNREACHABLE_S
        self.metrics.count("home.unreachable")

    async def _command_at(self, instance, database, text):
        try:
            body = await self.cluster.call(
                instance, "command", f"{database} {text}".encode(), COMMAND_TIMEOUT_S
            )
        except LinkLost:
            self.metrics.count("link.command_failed")
            return None
        return _unpack_status(body)

    async def status_of(self, database):
        """Return a database's DatabaseStatus, asked through its home, or None."""
        return await self.command(database, self.ports.databases.STATUS)

    async def _floor(self, group, max_age_s):
        """Return the position that a read of this age needs, None if unknown."""
        if max_age_s > 0:
            position = self.groups.floor(group, max_age_s)
            if position is not None:
                return position
        self.metrics.count("fence.asked")
        return await self.groups.fence(group)

    async def _run_here(self, req, origin):
        home = self.groups.home(req.database)
        me = self.cfg_own.instance
        if home is None:
            return self.answer(outcomes.WRONG_DATABASE, "unknown database"), "", me
        floor = Position(req.floor_term, req.floor_index)
        if req.max_age >= 0 and not req.transaction:
            position = await self._floor(home.database.group, req.max_age)
            if position is None:
                self.metrics.count("refused.no_fence")
                text = "no primary is confirmed, not run, retry in 300 ms"
                return self.answer(outcomes.OVERLOADED, text), "", me
            floor = max(floor, position)
        floor = floor if floor > Position(0, 0) else None
        answer, handle = await home.run(req, floor, origin)
        return answer, handle, me

    async def run(self, req):
        """Run a statement through the database's home: (answer, handle, home)."""
        found = self.groups.databases.get(req.database)
        if found is None:
            return self.answer(outcomes.WRONG_DATABASE, "unknown database"), "", ""
        homes = self._homes(found)[:HOMES_TRIED]
        end = self.now() + req.timeout
        for instance in homes:
            answer = await self.run_at(instance, req)
            if answer[0].code != outcomes.UNREACHABLE:
                break
            self._note_unreachable(instance, req.database)
            req.timeout = end - self.now()
            if req.timeout <= 0:
                break
        return answer

    async def run_at(self, instance, req):
        """Run a statement at an instance that is or was the database's home."""
        if instance == self.cfg_own.instance:
            return await self._run_here(req, self._local)
        timeout_s = req.timeout + LINK_MARGIN_S
        if req.kind == "read" and not req.transaction:
            # It can be read elsewhere, so a silent home costs little.
            timeout_s = min(timeout_s, READ_REMOTE_S)
        try:
            body = await self.cluster.call(instance, "run", pack(req), timeout_s)
        except LinkLost as exc:
            self.metrics.count("link.run_failed")
            logs.event(
                "home_lost",
                request=req.statement_id,
                home=instance,
                database=req.database,
                sent=exc.sent,
                error=str(exc),
            )
            code = outcomes.IN_DOUBT if exc.sent else outcomes.NO_CONNECTION
            return self.answer(code, "the database's home was lost"), "", instance
        found = unpack(idl.RunAnswer, body)
        self._loads[req.database] = (self.now(), found.wait)
        position = Position(found.term, found.index) if found.term else None
        answer = Answer(
            found.code, found.text, tuple(found.rows), bool(found.transaction), position
        )
        return answer, found.transaction, instance

    def end_transaction(self, database, home, handle):
        """Roll back an open transaction at its home."""
        if home == self.cfg_own.instance:
            self._end_here(database, handle)
        else:
            self._spawn(self._end_at(home, f"{database} {handle}".encode()))

    async def _end_at(self, home, body):
        try:
            await self.cluster.call(home, "end", body, COMMAND_TIMEOUT_S)
        except LinkLost:
            self.metrics.count("link.end_failed")

    def _end_here(self, database, handle):
        home = self.groups.homes.get(database)
        if home is not None:
            home.end(handle)

    def _wait_s(self, database):
        home = self.groups.homes.get(database)
        return home.wait_s() if home else 0.0

    # What sessions ask

    def answer(self, code, text):
        """Return an Answer of this instance's own."""
        return Answer(code, text, (), False, None)

    def request(self, **fields):
        """Return a RunRequest."""
        req = idl.RunRequest(
            floor_term=0, floor_index=0, max_age=-1.0, opening="", transaction=""
        )
        for name, value in fields.items():
            setattr(req, name, value)
        return req

    async def admit(self, workspace, patience_s):
        """Take one operation from a workspace's rate; return 0 or a time to wait.

        Waits for the operation's turn if that comes within `patience_s`.
        """
        if workspace not in self.division.buckets:
            return patience_s
        division.arrive(self.division, workspace)
        wait_s = division.admit(self.division, elapsed(), workspace)
        if not 0 < wait_s <= patience_s:
            return wait_s
        division.reserve(self.division, elapsed(), workspace)
        self.metrics.count("rate.waited")
        try:
            await asyncio.sleep(wait_s)
        except asyncio.CancelledError:
            division.give_back(self.division, workspace)
            raise
        return 0.0

    def is_primary(self, route, database):
        """Return whether a database is believed to lead the route's group."""
        return self.groups.state(route.group).primary == database

    def choose_reader(self, route, tried):
        """Return the database for a read that a replica may serve, or None."""
        now = self.now()
        state = self.groups.state(route.group)
        candidates = []
        for item in self.groups.members(route.group):
            if item.is_leaving or item.name in tried:
                continue
            told_at, wait_s = self._loads.get(item.name, (0.0, 0.0))
            if item.name in self.groups.homes:
                told_at, wait_s = now, self._wait_s(item.name)
            candidates.append(
                placing.Candidate(
                    item.name,
                    item.name == state.primary,
                    self._behind.get(item.name, 0.0) > now,
                    wait_s if now - told_at < LOAD_KEPT_S else 0.0,
                    self._way_s(item.data_centre),
                )
            )
        chosen = placing.choose(candidates, random)
        return chosen.name if chosen else None

    def _way_s(self, data_centre):
        own = self.cfg_own
        if data_centre == own.data_centre:
            return 0.0
        same = own.regions.get(data_centre) == own.regions.get(own.data_centre)
        return NEAR_WAY_S if same else REGION_WAY_S

    def note_answer(self, req, route, answer):
        """Use what an answer tells about the database."""
        if answer.code == outcomes.BEHIND:
            self._behind[req.database] = self.now() + BEHIND_S
        elif answer.code == outcomes.NOT_PRIMARY:
            state = self.groups.state(route.group)
            if state.primary == req.database:
                logs.event("primary_denied", group=route.group, database=req.database)
                state.primary = None

    async def wait_primary(self, group, wait_s):
        """Return the group's primary, waiting a while for one to be known."""
        end = self.now() + wait_s
        state = self.groups.state(group)
        while state.primary not in self.groups.databases:
            if self.now() >= end:
                self.metrics.count("refused.no_primary")
                return None
            await asyncio.sleep(0.02)
        return state.primary

    # Tasks

    async def _tick(self):
        """Keep demand, floors and connections in order."""
        next_fence = 0.0
        while True:
            await asyncio.sleep(TICK_S)
            division.measure(self.division, elapsed())
            heard = set(self.division.others)
            known = set(self.division.admitted)
            division.note_heard(self.division, self._has_heard(heard, known))
            self._sweep_homes()
            if self.now() >= next_fence:
                next_fence = self.now() + FENCE_PERIOD_S
                self._refresh_floors()

    def _sweep_homes(self):
        me = self.cfg_own.instance
        idle_s = self.cfg.transaction_idle_s if self.cfg else 3.0
        isolated = self.cluster.is_isolated()
        for name, home in list(self.groups.homes.items()):
            database = self.groups.databases[name]
            first = self.cluster.first_home(database)
            standing_in_s = None
            if first != me:
                silent_s = self.cluster.silent_s(first)
                standing_in_s = max(silent_s, home.asked_for_s())
            is_home = self._homes(database)[0] == me
            cap = connections_for(home.limit, standing_in_s, isolated)
            home.sweep(is_home, cap, idle_s)

    def _has_heard(self, heard, known):
        """Return whether only instances that do not answer are unheard."""
        alive = {peer.instance for peer in self.cluster.alive()}
        return not (heard & alive) - known

    def _refresh_floors(self):
        for state in self.groups.groups.values():
            database = self.groups.databases.get(state.primary)
            if database is None:
                continue
            if self._homes(database)[0] == self.cfg_own.instance:
                self._spawn(self.groups.fence(state.name))

    async def wait_started(self):
        """Wait for a short while after the start until callers can be served."""
        end = self.now() + START_WAIT_S
        while not self._is_started and self.now() < end:
            self._is_started = self.is_confirmed() and self.division.heard_all
            await asyncio.sleep(START_POLL_S)

    def is_ready(self):
        """Return whether callers can be served."""
        return self.is_confirmed() and self.has_lists and not self.cluster.leaving

    def reload(self, load):
        """Take changed settings; those of addresses need a new start."""
        try:
            own = load()
        except UserError as exc:
            self.metrics.count("refused.bad_settings")
            logs.warn("reload_failed", error=str(exc))
            return
        old = self.cfg_own
        self.cfg_own = own._replace(
            host=old.host,
            caller_port=old.caller_port,
            ready_port=old.ready_port,
            peer_port=old.peer_port,
            metrics_port=old.metrics_port,
        )
        logs.event("reloaded", changed=own != old)

    async def serve(self, start_adapters, callers, load):
        """Serve until SIGTERM, then end gracefully; SIGHUP loads the settings."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.draining.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload, load)
        store = self.ports.store
        await store.open()
        try:
            async with asyncio.TaskGroup() as tasks:
                await self._start(tasks)
                await start_adapters(self)
                logs.event("started", instance=self.cfg_own.instance)
                await self.draining.wait()
                await self._drain(callers)
                raise Drained
        except* Drained:
            pass
        finally:
            self.links.close()
            self.cluster.close()
            self.groups.close()
            await store.close()
            logs.event("stopped", instance=self.cfg_own.instance)

    async def _start(self, tasks):
        own, store = self.cfg_own, self.ports.store
        await self.links.start(own.host, own.peer_port)
        jobs = {
            "register": self.cluster.register,
            "exchange": self.cluster.exchange,
            "instances": lambda: follow(
                store,
                OWN_PREFIX,
                self._list_own,
                self._change_own,
                self.metrics,
            ),
            "databases": lambda: follow(
                store,
                self.ports.database_prefix,
                self._list_databases,
                self._change_database,
                self.metrics,
            ),
            "configuration": self._keep_confirmed,
            "tick": self._tick,
            "duty": self.replacer.run,
            "primaries": self.replacer.watch,
        }
        for name, start in jobs.items():
            tasks.create_task(supervisor.supervise(name, start, self.metrics))

    async def _drain(self, callers):
        """Leave the balancer's rotation, end sessions, then other work."""
        logs.event("draining", sessions=len(callers.connections))
        self.cluster.leaving = True
        started_at = self.now()
        await self.replacer.give_up()
        end = started_at + self.cfg_own.shutdown_s - EXIT_MARGIN_S
        await asyncio.sleep(ROTATION_S)
        callers.stop_listening()
        while self.now() < end:
            for conn in list(callers.connections):
                if conn.is_idle():
                    conn.close()
            homes = self.groups.homes.values()
            if not callers.connections and not any(h.transactions for h in homes):
                break
            await asyncio.sleep(0.02)
        await self.cluster.withdraw()
        logs.event("drained", left=len(callers.connections))


class Drained(Exception):
    """Ends the supervisor after a graceful shutdown."""


def _pack_answer(answer, handle, wait_s):
    position = answer.position or Position(0, 0)
    return pack(
        idl.RunAnswer(
            code=answer.code,
            text=answer.text,
            rows=list(answer.rows),
            term=position.term,
            index=position.index,
            transaction=handle,
            wait=wait_s,
        )
    )


def _pack_status(status):
    return json.dumps(list(status) if status else None).encode()


def _unpack_status(body):
    fields = json.loads(body)
    if fields is None:
        return None
    found = DatabaseStatus(*fields)
    return found._replace(received=Position(*found.received))
