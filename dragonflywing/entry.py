"""The entry daemon: runs all tasks of one instance under a supervisor."""

import asyncio
import functools
import json
import signal
import ssl

from dragonflywing import (
    errors,
    identity,
    logs,
    metering,
    presence,
    slots,
    supervisor,
    watcher,
)
from dragonflywing.callers import CallerSession
from dragonflywing.decisions import (
    evacuation,
    retries,
    shares,
    stopping,
    versions,
)
from dragonflywing.decisions.statements import StatementCache
from dragonflywing.deployment import CallerLimits
from dragonflywing.errors import DfwError, UserError
from dragonflywing.fleet import Fleet
from dragonflywing.group import GroupTask
from dragonflywing.limiter import Limiter
from dragonflywing.metrics import Metrics
from dragonflywing.peers import PeerServer, idl
from dragonflywing.store import Store
from dragonflywing.wire import WireServer

# Interval of the checks for idle transactions and withdrawn keys.
IDLE_CHECK_S = 0.2
# Time for callers to read the final error and close their connection.
LINGER_S = 1.0
READY_POLL_S = 0.05
# Time by which the wait for a slot at startup exceeds the longest loan.
READY_MARGIN_S = 1.0


class Entry:
    """One entry instance: the state that its tasks share."""

    def __init__(self, cfg):
        self.cfg = cfg
        self.metrics = Metrics(cfg.statsd)
        self.versions = versions.VersionState()
        self.statements = StatementCache()
        self.retry_budget = retries.RetryBudget()
        self.transactions = set()
        self.evacuations = evacuation.EvacuationState()
        self.groups = {}
        self.group_tasks = {}
        self.store = Store(cfg.store, self.metrics)
        self.fleet = Fleet(cfg, self.versions, self.metrics, self.adopt)
        self.limiter = Limiter(cfg, self.fleet, self.metrics)
        self.slot = slots.SlotKeeper(
            cfg, self.store, self.limiter, self.versions, self.metrics
        )
        self.peers = PeerServer(cfg.peer_secret, self.fleet, self.metrics)
        self.callers = WireServer(
            lambda: CallerSession(self),
            identity.Identity(self.versions, self.metrics),
            cfg.max_callers,
            max_packet=cfg.max_statement_bytes,
            ssl=_tls_context(cfg.tls),
            handshake_s=cfg.times.handshake_s,
            on_error=self.count_error,
        )
        self.draining = asyncio.Event()
        self.stop = None  # the stopping.Stop once it has begun
        self._supervisor = None
        self._set_fleet_callbacks()

    def _set_fleet_callbacks(self):
        self.fleet.suspects_group = self._suspects
        self.fleet.lend = self._lend
        self.fleet.take_back = self._take_back
        self.fleet.report_json = self.report_json

    def _suspects(self, group, term):
        task = self.groups.get(group)
        return task is not None and task.term <= term and task.suspects()

    def _lend(self, request):
        answer = self.limiter.lend(
            shares.BorrowRequest(request.loan_id, request.workspace, request.share)
        )
        return idl.LoanAnswer(**answer._asdict())

    def _take_back(self, message):
        self.limiter.take_back(
            shares.LoanReturn(message.loan_id, message.workspace, message.tokens)
        )

    def count_error(self, exc):
        """Count an error that was sent to a caller."""
        self.metrics.count(f"refused.{exc.code.reason}")
        self.metrics.count(f"verdict.{exc.verdict.value}")

    # Configuration

    def adopt(self, cfg):
        """Apply a new configuration."""
        self.limiter.configure(cfg)
        self._note_evacuations(cfg)
        for name in [name for name in self.groups if name not in cfg.groups]:
            self._stop_group(name)
        for name, spec in cfg.groups.items():
            self._adopt_group(name, spec, cfg)
        for conn in list(self.callers.connections):
            self._check_key(conn, cfg)

    def _adopt_group(self, name, spec, cfg):
        task = self.groups.get(name)
        if task is not None and _same_databases(task.spec, spec):
            task.spec = spec
            self._set_use(task)
            return
        if task is not None:
            self._stop_group(name)
        connection_limit = max(1, spec.connections // cfg.fleet_size)
        group = GroupTask(
            name, spec, connection_limit, self.cfg, self.store, self.metrics, self.fleet
        )
        self._set_use(group)
        self.groups[name] = group
        self.group_tasks[name] = self._start_task(f"group.{name}", group.run)

    def _note_evacuations(self, cfg):
        """Note the evacuated data centres of a new configuration.

        They were not evacuated when the one before it was last confirmed.
        """
        if self.versions.confirmed_at is not None:
            evacuation.note_known(self.evacuations, self.versions.confirmed_at)
        for data_centre in list(self.evacuations.since):
            if data_centre not in cfg.evacuated:
                evacuation.end(self.evacuations, data_centre)
                logs.event("evacuation_ended", data_centre=data_centre)
        for data_centre in cfg.evacuated:
            if evacuation.begin(self.evacuations, data_centre):
                since = self.evacuations.since[data_centre]
                logs.event(
                    "evacuation",
                    data_centre=data_centre,
                    since=since,
                    revision=cfg.version,
                )

    def _set_use(self, group):
        """Set which databases of a group are leaving or evacuated."""
        for database, item in group.spec.databases.items():
            backend = group.backends[database]
            backend.leaving = item.leaving
            backend.is_evacuated = item.data_centre in self.evacuations.since
            backend.time_left = functools.partial(self._time_left, item.data_centre)

    def _time_left(self, data_centre):
        """Return the evacuation.TimeLeft of a data centre's databases."""
        if data_centre not in self.evacuations.since:
            return evacuation.UNLIMITED
        now, bound_s = asyncio.get_running_loop().time(), self.cfg.times.evacuate_s
        return evacuation.time_left(self.evacuations, now, data_centre, bound_s)

    def _drain_evacuated(self):
        """Close connections that evacuated databases no longer need."""
        for group in self.groups.values():
            for backend in group.backends.values():
                if backend.is_evacuated and backend.name != group.primary:
                    backend.close_idle()

    def _stop_group(self, name):
        del self.groups[name]
        self.group_tasks.pop(name).cancel()

    def _check_key(self, conn, cfg):
        """Close a connection whose key was withdrawn, once its statement has ended."""
        if conn.session.username is None or conn not in self.callers.connections:
            return
        workspace, key_id = conn.session.caller()
        if workspace is None or identity.is_valid_key(cfg, workspace, key_id):
            return
        loop = asyncio.get_running_loop()
        if conn.session.busy:
            loop.call_later(IDLE_CHECK_S, self._check_key, conn, cfg)
            return
        self.metrics.count("caller.key_withdrawn")
        logs.event("key_withdrawn", workspace=workspace, key_id=key_id)
        conn.send_final_error(DfwError(errors.KEY_WITHDRAWN, "the key was withdrawn"))
        loop.call_later(LINGER_S, conn.task.cancel)

    # Shutdown

    async def _drain(self):
        """Finish running statements and transactions, then close all connections."""
        self.fleet.leaving = True
        self.callers.stop_listening()
        loop = asyncio.get_running_loop()
        self.stop = stopping.Stop(loop.time(), self.cfg.times.drain_s)
        deadline = loop.time() + self.cfg.times.drain_s
        notified = set()
        shutdown_error = DfwError(errors.SHUTTING_DOWN, "instance is shutting down")
        while loop.time() < deadline:
            open_conns = self.callers.connections
            for conn in list(open_conns - notified):
                if self._is_idle(conn):
                    notified.add(conn)
                    conn.send_final_error(shutdown_error)
            if not open_conns - notified:
                break
            await asyncio.sleep(0.01)
        await self.slot.release()
        deadline = min(deadline, loop.time() + LINGER_S)
        while self.callers.connections and loop.time() < deadline:
            await asyncio.sleep(0.01)
        logs.event("drained", left=len(self.callers.connections))

    @staticmethod
    def _is_idle(conn):
        session = conn.session
        unread_bytes = len(conn.stream.reader._buffer)
        return not session.busy and not session.in_transaction() and not unread_bytes

    # Tasks

    async def _abort_idle_transactions(self):
        while True:
            await asyncio.sleep(IDLE_CHECK_S)
            now = asyncio.get_running_loop().time()
            self._drain_evacuated()
            for session in list(self.transactions):
                await session.abort_idle(now, self.cfg.times.transaction_idle_s)

    async def run(self):
        """Serve until cancelled or until `draining` is set, then drain."""
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.draining.set)
        await self.store.open()
        try:
            async with asyncio.TaskGroup() as tasks:
                self._supervisor = tasks
                await self._start()
                await self.draining.wait()
                await self._drain()
                raise Drained
        except* Drained:
            pass
        finally:
            self.callers.close_all()
            self.peers.close()
            self.fleet.close()
            await self.store.close()
            self.metrics.flush()

    async def _wait_ready(self):
        """Wait for a configuration, then a limited time for a slot and primaries.

        Statements of earlier callers would only be refused.
        """
        loop = asyncio.get_running_loop()
        while self.versions.cfg is None and not self.draining.is_set():
            await asyncio.sleep(READY_POLL_S)
        deadline = loop.time() + shares.LOAN_S + READY_MARGIN_S
        while loop.time() < deadline and not self.draining.is_set():
            primaries = all(group.primary for group in self.groups.values())
            state = self.limiter.state
            if primaries and state.has_slot and loop.time() >= state.refill_from:
                return
            await asyncio.sleep(READY_POLL_S)

    def _start_task(self, name, start):
        """Start a supervised task."""
        coroutine = supervisor.supervise(name, start, self.metrics)
        return self._supervisor.create_task(coroutine)

    async def _start(self):
        cfg = self.cfg
        await self.peers.start(cfg.host, cfg.peer_port)
        self._start_task("fleet", self.fleet.run)
        self._start_task(
            "configuration",
            lambda: watcher.watch_configuration(cfg, self.store, self.fleet),
        )
        self._start_task("presence", lambda: presence.maintain_record(cfg, self.store))
        self._start_task("slot", self.slot.run)
        self._start_task("limiter", self.limiter.run)
        self._start_task("metrics", self.metrics.report)
        self._start_task("sweep", self._abort_idle_transactions)
        self._configure_meter()
        self._start_task("metering", metering.meter.run)
        await self._wait_ready()
        await self.callers.start(cfg.host, cfg.port)
        logs.event("started", instance=cfg.instance, port=cfg.port)

    def _configure_meter(self):
        cfg = self.cfg
        limits = CallerLimits(cfg.times.message_s, cfg.times.answer_s)
        metering.meter.configure(
            cfg.memory_mb * 2**20 or None,
            cfg.max_descriptors or None,
            self.metrics,
            lambda: limits,
        )

    # Report

    def report_json(self):
        """Return the state of the instance for operators, as JSON."""
        now = asyncio.get_running_loop().time()
        return json.dumps(
            {
                "instance": self.cfg.instance,
                "data_centre": self.cfg.data_centre,
                "version": versions.version(self.versions),
                "config_age_s": min(versions.age(self.versions, now), 1e9),
                "evacuated": sorted(self.evacuations.since),
                "slot": self.slot.slot,
                "watcher": self.fleet.is_watcher(),
                "callers": len(self.callers.connections),
                "members": len(self.fleet.alive()) + 1,
                "groups": {name: _group_report(g) for name, g in self.groups.items()},
                "shares": {
                    name: shares.refill_rate(self.limiter.state, now, name)
                    for name in self.limiter.state.buckets
                },
                "counters": dict(self.metrics.counters),
                "mean_latency_ms": self.metrics.mean_s("statement") * 1000,
            }
        )


class Drained(Exception):
    """Ends the supervisor after a graceful shutdown."""


def _group_report(group):
    databases = {}
    for name, backend in group.backends.items():
        status = backend.status
        databases[name] = {
            "reachable": status is not None,
            "leaving": backend.is_leaving(),
            "term": status.term if status else 0,
            "received": list(status.received) if status else None,
            "applied": list(status.applied) if status else None,
        }
    return {"primary": group.primary, "term": group.term, "databases": databases}


def _same_databases(old, new):
    def without_leaving(group):
        return {
            name: item._replace(leaving=False) for name, item in group.databases.items()
        }

    same_limits = (old.connections, old.slots) == (new.connections, new.slots)
    return same_limits and without_leaving(old) == without_leaving(new)


def _tls_context(tls):
    if not tls.certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(tls.certificate, tls.key)
    except (OSError, ssl.SSLError) as exc:
        raise UserError(f"field tls: {exc}") from None
    return context


async def serve(cfg):
    """Run one entry instance until SIGTERM."""
    await Entry(cfg).run()
