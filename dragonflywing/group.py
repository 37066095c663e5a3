"""One database group: its primary, fences, acknowledgements and promotions.

Used by `dfw-entry` (entry.py), which serves MySQL databases. The configuration lists
the databases. Each instance connects to all of them, confirms that a majority stores
a write, and can promote a new primary itself. On the users' platform, groups.py
takes the place of this module.
"""

import asyncio
import functools
import itertools
import random

from dragonflywing import errors, logs
from dragonflywing.backend import Backend
from dragonflywing.decisions import acks, failover, fences, membership, routing
from dragonflywing.decisions.positions import Status
from dragonflywing.errors import DfwError, Verdict
from dragonflywing.promoter import Promoter
from dragonflywing.supervisor import spawn, supervise

# Longest time for which a database delays its answer to a position query.
POSITION_WAIT_MS = 15
# Interval of the checks for expired waits; also the pause after a failed query.
EXPIRY_INTERVAL_S = 0.02
# Pause before the next check of a database whose position is not needed.
POSITION_POLL_S = 0.002
# Time after a statement during which its group counts as in use.
IN_USE_S = 10.0
# Longest pause between probes of a group that is not in use.
IDLE_PROBE_S = 15.0
# Pause between probes of a replica, as a multiple of the primary's.
REPLICA_PROBE_FACTOR = 4


class GroupTask:
    """Connects the databases of one group to the decision functions.

    A term numbers the successive primaries of the group. A fence is a majority's
    confirmation that a primary has not been replaced, with the position that a
    read must see.
    """

    def __init__(self, name, spec, connection_limit, cfg, store, metrics, fleet):
        self.name = name
        self.spec = spec
        self.cfg = cfg
        self.store = store
        self.metrics = metrics
        self.fleet = fleet
        self.backends = {
            database: Backend(database, item, connection_limit, cfg, metrics)
            for database, item in spec.databases.items()
        }
        self.size = len(self.backends)
        self.primary = None
        self.term = 0
        self.primary_known = asyncio.Event()
        self.fence_state = fences.FenceState(self.backends)
        self.ack_state = acks.AckState(self.size)
        self.position_history = routing.PositionHistory()
        self.suspicion = failover.SuspicionState(self._now())
        self._ids = itertools.count(1)
        self._waiters = {}
        self._tasks = set()
        self._waiting_reads = []
        self._positions_needed = asyncio.Event()
        self._has_deadlines = asyncio.Event()
        self.promoter = Promoter(self)
        self._in_use_until = 0.0
        self._probes_fast = True
        self._wake_probes = asyncio.Event()

    def _now(self):
        return asyncio.get_running_loop().time()

    # Statuses

    def note_status(self, status):
        """Apply a status that a database has just reported; None is ignored."""
        if status is None:
            return
        self._deliver(acks.record_status(self.ack_state, status))
        self._wake_waiting_reads(status)
        if status.primary and status.term >= self.term:
            self._note_primary(status.database, status.term)
            failover.record_primary_status(self.suspicion, self._now(), status)
        highest = max(item.term for item in [status, *self.statuses()])
        failover.record_latest_term(self.suspicion, self._now(), highest)
        stored = failover.stored_by_majority(self.statuses(), self.size)
        if stored is not None:
            failover.record_majority_position(self.suspicion, self._now(), stored)

    def statuses(self):
        """Return the latest status of each database whose status is known."""
        return [item.status for item in self.backends.values() if item.status]

    def _note_primary(self, database, term):
        if (database, term) != (self.primary, self.term):
            logs.event("primary", group=self.name, database=database, term=term)
            self.primary = database
            self.term = term
        self.primary_known.set()

    def forget_primary(self, database):
        """Drop a database as the known primary and probe the group at once."""
        if self.primary == database:
            self.primary = None
            self.primary_known.clear()
            self._probe_all()

    async def wait_primary(self, deadline):
        """Return the primary's backend, waiting for one until the deadline."""
        while self.primary is None:
            try:
                async with asyncio.timeout_at(deadline):
                    await self.primary_known.wait()
            except TimeoutError:
                raise DfwError(
                    errors.NO_PRIMARY, f"group {self.name!r} has no primary"
                ) from None
        backend = self.backends[self.primary]
        self.check_evacuation(backend)
        return backend

    def check_evacuation(self, primary):
        """Raise DfwError if a primary is evacuated and no database can replace it."""
        if primary.time_left().to_accept_s <= 0 and not self._can_replace():
            text = f"group {self.name!r} is evacuated, not run, retry in 1000 ms"
            raise DfwError(errors.EVACUATED, text)

    # Fences

    async def fence(self, deadline):
        """Return the Granted message with the floor of a read without a session token.

        A majority of the group has confirmed the primary after the call started.
        """
        now = self._now()
        waiter, fut = self._new_waiter()
        timeout_s = self.cfg.times.fence_s
        self._handle_fence_messages(
            fences.add_waiter(self.fence_state, now, waiter, timeout_s)
        )
        self._has_deadlines.set()
        try:
            async with asyncio.timeout_at(deadline):
                message = await fut
        except TimeoutError:
            message = fences.Refused(waiter)
        finally:
            self._waiters.pop(waiter, None)
        if isinstance(message, fences.Refused):
            raise DfwError(
                errors.NO_FENCE,
                f"no majority of group {self.name!r} confirms a primary",
            )
        return message

    def _new_waiter(self):
        waiter = next(self._ids)
        fut = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = fut
        return waiter, fut

    def _handle_fence_messages(self, messages):
        for message in messages:
            if isinstance(message, fences.Query):
                spawn(self._tasks, self._query_fence(message))
            else:
                if isinstance(message, fences.Granted):
                    self.position_history.add(message.asked_at, message.position)
                self._resolve(message)

    async def _query_fence(self, query):
        self.metrics.count("fence.query")
        timeout_s = self.cfg.times.fence_s
        backend = self.backends[query.database]
        status = await backend.query_status(timeout_s)
        self.note_status(status)
        self._handle_fence_messages(
            fences.handle_status(
                self.fence_state,
                self._now(),
                query.round_id,
                query.database,
                status,
                timeout_s,
            )
        )

    def _resolve(self, message):
        fut = self._waiters.get(message.waiter)
        if fut and not fut.done():
            fut.set_result(message)

    # Acknowledgements

    async def ack(self, database, position, deadline):
        """Return once a majority stores the write that `database` has committed."""
        expires_at = min(deadline, self._now() + self.cfg.times.ack_s)
        waiter, fut = self._new_waiter()
        primary_status = Status(
            database, True, position.term, position, position, False, 0
        )
        self._deliver(acks.record_status(self.ack_state, primary_status))
        self._deliver(acks.add_write(self.ack_state, waiter, position, expires_at))
        self._positions_needed.set()
        self._has_deadlines.set()
        try:
            # The group's tasks end if its configuration changes.
            async with asyncio.timeout_at(expires_at):
                message = await fut
        except TimeoutError:
            message = acks.Unconfirmed(waiter, "ack_timeout")
        finally:
            self._waiters.pop(waiter, None)
            self.ack_state.pending.pop(waiter, None)
        if isinstance(message, acks.Unconfirmed):
            self.metrics.count(f"unconfirmed.{message.reason}")
            raise DfwError(
                errors.ACK_TIMEOUT,
                f"no majority of group {self.name!r} confirmed the write",
                Verdict.MAY_HAVE_RUN,
            )

    def _deliver(self, messages):
        for message in messages:
            self._resolve(message)

    # Positions of replicas

    def replicas(self):
        """Return routing candidates for the databases other than the primary."""
        return [
            item.candidate()
            for item in self.backends.values()
            if item.name != self.primary
        ]

    async def wait_replica(self, floor, deadline):
        """Return True once a replica has applied the floor, False at the deadline."""
        fut = asyncio.get_running_loop().create_future()
        waiting_read = (floor, fut)
        self._waiting_reads.append(waiting_read)
        self._positions_needed.set()
        try:
            async with asyncio.timeout_at(deadline):
                await fut
            return True
        except TimeoutError:
            return False
        finally:
            self._waiting_reads.remove(waiting_read)

    def _wake_waiting_reads(self, status):
        if status.database == self.primary or status.leaving:
            return
        for floor, fut in self._waiting_reads:
            if floor <= status.applied and not fut.done():
                fut.set_result(None)

    def _next_query(self, backend):
        """Return the next position query for a database, or None if none is needed."""
        pos = acks.highest_pending(self.ack_state)
        if pos is not None:
            known = self.ack_state.statuses.get(backend.name)
            if not known or not acks.has_write(known, pos):
                return f"SELECT dfw_wait({pos.term}, {pos.index}, {POSITION_WAIT_MS})"
        if self._waiting_reads and not backend.is_leaving():
            term, index = min(floor for floor, _ in self._waiting_reads)
            return f"SELECT dfw_wait_applied({term}, {index}, {POSITION_WAIT_MS})"
        return None

    async def _poll_positions(self, backend):
        """Query one database's position while writes or reads wait for positions."""
        while True:
            await self._positions_needed.wait()
            if not self.ack_state.pending and not self._waiting_reads:
                self._positions_needed.clear()
                continue
            sql = None if backend.name == self.primary else self._next_query(backend)
            if sql is None:
                await asyncio.sleep(POSITION_POLL_S)
                continue
            timeout_s = self.cfg.times.probe_timeout_s
            status = await backend.control(sql, timeout_s)
            if status is None:
                acks.forget_database(self.ack_state, backend.name)
                await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.note_status(status)

    async def _expire(self):
        """Expire fences and writes past their deadlines; sleep while there are none."""
        while True:
            if not self.ack_state.pending and not self.fence_state.active_waiters:
                self._has_deadlines.clear()
                await self._has_deadlines.wait()
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = self._now()
            self._deliver(acks.expire(self.ack_state, now))
            self._handle_fence_messages(
                fences.expire(self.fence_state, now, self.cfg.times.fence_s)
            )

    # Probes, suspicion and promotion

    def mark_in_use(self):
        """Mark the group as in use, which makes its probes frequent."""
        self._in_use_until = self._now() + IN_USE_S
        if not self._probes_fast:
            self._set_fast_probes(True)

    def _set_fast_probes(self, fast):
        if fast and not self._probes_fast:
            # Infrequent probes could not show a failure, so the time without an
            # answer starts now.
            self.suspicion.seen_at = self._now()
            self._probe_all()
        self._probes_fast = fast

    async def refresh_statuses(self):
        """Query the status of every database and apply the answers."""
        timeout_s = self.cfg.times.probe_timeout_s
        statuses = await asyncio.gather(
            *[backend.query_status(timeout_s) for backend in self.backends.values()]
        )
        for status in statuses:
            self.note_status(status)

    def choose_probe_rate(self):
        """Probe often if the group is in use here or this instance is a prober."""
        members = self.fleet.local_instances()
        rank = membership.rank(self.name, self.cfg.instance, members)
        data_centres = {item.data_centre for item in self.spec.databases.values()}
        # Only data centres that hold a database of the group vote on its primary.
        is_prober = rank < membership.PROBERS and self.cfg.data_centre in data_centres
        self._set_fast_probes(is_prober or self._now() < self._in_use_until)

    async def _probe(self, backend):
        await asyncio.sleep(random.uniform(0, self.cfg.times.probe_s))
        while True:
            started_at = self._now()
            status = await backend.query_status(self.cfg.times.probe_timeout_s)
            if status is not None:
                self.note_status(status)
                await self._redirect_to_primary(backend, status)
            elif backend.name == self.primary and self.suspects():
                self.forget_primary(backend.name)
            await self._pause(backend, started_at)

    async def _pause(self, backend, started_at):
        """Wait until the next probe is due or immediate probes are requested."""
        pause = self.cfg.times.probe_s
        if not self._probes_fast:
            pause = IDLE_PROBE_S * random.uniform(0.7, 1.0)
        elif self.primary not in (None, backend.name):
            # Only a failure of the primary must be detected quickly.
            pause *= REPLICA_PROBE_FACTOR
        wake_up = self._wake_probes
        try:
            async with asyncio.timeout(max(0.01, started_at + pause - self._now())):
                await wake_up.wait()
        except TimeoutError:
            pass

    def _probe_all(self):
        self._wake_probes.set()
        self._wake_probes = asyncio.Event()

    async def _redirect_to_primary(self, backend, status):
        """Send dfw_follow to a database that missed a promotion."""
        if self.primary is None or backend.name == self.primary:
            return
        known = self.backends[self.primary].status
        behind = known is not None and status.received < known.received
        # A database that lags in the same term may have missed dfw_follow.
        if status.term < self.term or (status.term == self.term and behind):
            sql = f"SELECT dfw_follow({self.term}, '{self.primary}')"
            await backend.control(sql, self.cfg.times.probe_timeout_s)
            self.metrics.count("repair.follow")

    def suspects(self):
        """Return whether this instance considers a new primary necessary."""
        if not self._probes_fast:
            return False
        backend = self.backends.get(self.primary)
        if backend and backend.is_leaving() and self._can_replace():
            return True
        return failover.suspects(self.suspicion, self._now(), self.cfg.times.suspect_s)

    def moved_primary(self):
        """Return the primary if it answers and is only leaving, or None."""
        backend = self.backends.get(self.primary)
        if backend is None or not (backend.is_leaving() and self._can_replace()):
            return None
        has_failed = failover.suspects(
            self.suspicion, self._now(), self.cfg.times.suspect_s
        )
        return None if has_failed else self.primary

    def _can_replace(self):
        """Return whether enough databases remain to replace a leaving primary."""
        remaining = [
            item
            for item in self.backends.values()
            if item.status and not item.is_leaving()
        ]
        return len(remaining) >= failover.promotion_quorum(self.size)

    async def run(self):
        """Serve the group until cancelled."""
        task_specs = [("expire", self._expire), ("promoter", self.promoter.run)]
        for backend in self.backends.values():
            task_specs += [
                ("queue", backend.expire),
                ("probe", functools.partial(self._probe, backend)),
                ("positions", functools.partial(self._poll_positions, backend)),
            ]
        try:
            async with asyncio.TaskGroup() as tasks:
                for name, start in task_specs:
                    tasks.create_task(supervise(f"group.{name}", start, self.metrics))
        finally:
            for task in list(self._tasks):
                task.cancel()
            for backend in self.backends.values():
                backend.close()
