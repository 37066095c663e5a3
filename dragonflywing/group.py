"""One database group: its primary, fences, acknowledgements and promotions."""

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

# How long a replica may hold back the answer to a position query.
WAIT_SLICE_MS = 15
TICK_S = 0.02
PAUSE_S = 0.002
# A group counts as in use this long after a statement, in seconds.
USED_S = 10.0
# Pause between probes of a group that is not in use, in seconds.
SLOW_PROBE_S = 15.0
# Replicas are probed this many times less often than the primary.
REPLICA_PROBE_FACTOR = 4


class GroupTask:
    """The databases of a group and the decisions about them."""

    def __init__(self, name, spec, budget, cfg, store, metrics, fleet):
        self.name = name
        self.spec = spec
        self.cfg = cfg
        self.store = store
        self.metrics = metrics
        self.fleet = fleet
        self.backends = {
            database: Backend(database, item, budget, cfg, metrics)
            for database, item in spec.databases.items()
        }
        self.size = len(self.backends)
        self.primary = None
        self.term = 0
        self.primary_seen = asyncio.Event()
        self.fence_state = fences.FenceState(self.backends)
        self.ack_state = acks.AckState(self.size)
        self.ages = routing.PositionHistory()
        self.suspicion = failover.SuspicionState(self._now())
        self._ids = itertools.count(1)
        self._waiters = {}
        self._tasks = set()
        self._readers = []
        self._position_wanted = asyncio.Event()
        self._deadlines = asyncio.Event()
        self.promoter = Promoter(self)
        self._used_until = 0.0
        self._probes_fast = True
        self._probe_now = asyncio.Event()

    def _now(self):
        return asyncio.get_running_loop().time()

    # Statuses

    def note_status(self, status):
        """Use a status that a database has just told."""
        if status is None:
            return
        self._deliver(acks.record_status(self.ack_state, status))
        self._wake_readers(status)
        if status.primary and status.term >= self.term:
            self._note_primary(status.database, status.term)
            failover.record_primary_status(self.suspicion, self._now(), status)
        highest = max(item.term for item in [status, *self.statuses()])
        failover.record_newest_term(self.suspicion, self._now(), highest)
        stored = failover.stored_by_majority(self.statuses(), self.size)
        if stored is not None:
            failover.record_majority_position(self.suspicion, self._now(), stored)

    def statuses(self):
        """Return the latest statuses of the databases that answer."""
        return [item.status for item in self.backends.values() if item.status]

    def _note_primary(self, database, term):
        if (database, term) != (self.primary, self.term):
            logs.event("primary", group=self.name, database=database, term=term)
            self.primary = database
            self.term = term
        self.primary_seen.set()

    def forget_primary(self, database):
        """Note that a database turned out not to be the primary."""
        if self.primary == database:
            self.primary = None
            self.primary_seen.clear()
            self._probe_all()

    async def wait_primary(self, deadline):
        """Return the primary's backend, waiting for one until the deadline."""
        while self.primary is None:
            try:
                async with asyncio.timeout_at(deadline):
                    await self.primary_seen.wait()
            except TimeoutError:
                raise DfwError(
                    errors.NO_PRIMARY, f"group {self.name!r} has no primary"
                ) from None
        return self.backends[self.primary]

    # Fences

    async def fence(self, deadline):
        """Return the floor of a read that has no session token."""
        now = self._now()
        waiter, fut = self._new_waiter()
        timeout_s = self.cfg.times.fence_s
        self._act_fence(fences.add_waiter(self.fence_state, now, waiter, timeout_s))
        self._deadlines.set()
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

    def _act_fence(self, messages):
        for message in messages:
            if isinstance(message, fences.Query):
                spawn(self._tasks, self._query_fence(message))
            else:
                if isinstance(message, fences.Granted):
                    self.ages.add(message.asked_at, message.position)
                self._resolve(message)

    async def _query_fence(self, query):
        self.metrics.count("fence.query")
        timeout_s = self.cfg.times.fence_s
        backend = self.backends[query.database]
        status = await backend.ask_status(timeout_s)
        self.note_status(status)
        self._act_fence(
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
        """Return once a majority stores the write that `database` committed."""
        limit = min(deadline, self._now() + self.cfg.times.ack_s)
        waiter, fut = self._new_waiter()
        own = Status(database, True, position.term, position, position, False, 0)
        self._deliver(acks.record_status(self.ack_state, own))
        self._deliver(acks.add_write(self.ack_state, waiter, position, limit))
        self._position_wanted.set()
        self._deadlines.set()
        try:
            message = await fut
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
        """Return routing's view of the databases that are not the primary."""
        return [
            item.candidate()
            for item in self.backends.values()
            if item.name != self.primary
        ]

    async def wait_replica(self, floor, deadline):
        """Return once a replica has reached the floor; False at the deadline."""
        fut = asyncio.get_running_loop().create_future()
        reader = (floor, fut)
        self._readers.append(reader)
        self._position_wanted.set()
        try:
            async with asyncio.timeout_at(deadline):
                await fut
            return True
        except TimeoutError:
            return False
        finally:
            self._readers.remove(reader)

    def _wake_readers(self, status):
        if status.database == self.primary or status.leaving:
            return
        for floor, fut in self._readers:
            if floor <= status.applied and not fut.done():
                fut.set_result(None)

    def _next_wait(self, backend):
        """Return the position query that a database should answer next, or None."""
        wanted = acks.highest_pending(self.ack_state)
        if wanted is not None:
            known = self.ack_state.statuses.get(backend.name)
            if not known or not acks.has_write(known, wanted):
                return (
                    f"SELECT dfw_wait({wanted.term}, {wanted.index}, {WAIT_SLICE_MS})"
                )
        if self._readers and not backend.is_leaving():
            term, index = min(floor for floor, _ in self._readers)
            return f"SELECT dfw_wait_applied({term}, {index}, {WAIT_SLICE_MS})"
        return None

    async def _pump_positions(self, backend):
        """Ask one database for its position while writes or reads wait for it."""
        while True:
            await self._position_wanted.wait()
            if not self.ack_state.pending and not self._readers:
                self._position_wanted.clear()
                continue
            sql = None if backend.name == self.primary else self._next_wait(backend)
            if sql is None:
                await asyncio.sleep(PAUSE_S)
                continue
            timeout_s = self.cfg.times.probe_timeout_s
            status = await backend.control(sql, timeout_s)
            if status is None:
                acks.forget_database(self.ack_state, backend.name)
                await asyncio.sleep(TICK_S)
            self.note_status(status)

    async def _expire(self):
        """End fences and acknowledgements that are late, while there are any."""
        while True:
            if not self.ack_state.pending and not self.fence_state.active_waiters:
                self._deadlines.clear()
                await self._deadlines.wait()
            await asyncio.sleep(TICK_S)
            now = self._now()
            self._deliver(acks.expire(self.ack_state, now))
            self._act_fence(
                fences.expire(self.fence_state, now, self.cfg.times.fence_s)
            )

    # Probes, suspicion and promotion

    def use(self):
        """Note that a statement of this group is to be served."""
        self._used_until = self._now() + USED_S
        if not self._probes_fast:
            self._set_fast(True)

    def _set_fast(self, fast):
        if fast and not self._probes_fast:
            # Silence counts from now on, as nothing was asked before.
            self.suspicion.seen_at = self._now()
            self._probe_all()
        self._probes_fast = fast

    async def refresh(self):
        """Ask every database for its status and use the answers."""
        timeout_s = self.cfg.times.probe_timeout_s
        found = await asyncio.gather(
            *[backend.ask_status(timeout_s) for backend in self.backends.values()]
        )
        for status in found:
            self.note_status(status)

    def choose_pace(self):
        """Probe often if the group is in use here or this is one of its probers."""
        members = self.fleet.near_instances()
        place = membership.rank(self.name, self.cfg.instance, members)
        places = {item.data_centre for item in self.spec.databases.values()}
        # Only data centres with a database of the group vote on its primary.
        prober = place < membership.PROBERS and self.cfg.data_centre in places
        self._set_fast(prober or self._now() < self._used_until)

    async def _probe(self, backend):
        await asyncio.sleep(random.uniform(0, self.cfg.times.probe_s))
        while True:
            started = self._now()
            status = await backend.ask_status(self.cfg.times.probe_timeout_s)
            if status is not None:
                self.note_status(status)
                await self._repair(backend, status)
            elif backend.name == self.primary and self.suspects():
                self.forget_primary(backend.name)
            await self._pause(backend, started)

    async def _pause(self, backend, started):
        """Wait until the next probe is due, or all are wanted at once."""
        pause = self.cfg.times.probe_s
        if not self._probes_fast:
            pause = SLOW_PROBE_S * random.uniform(0.7, 1.0)
        elif self.primary not in (None, backend.name):
            # Only the primary's silence must be noticed soon.
            pause *= REPLICA_PROBE_FACTOR
        probe_now = self._probe_now
        try:
            async with asyncio.timeout(max(0.01, started + pause - self._now())):
                await probe_now.wait()
        except TimeoutError:
            pass

    def _probe_all(self):
        self._probe_now.set()
        self._probe_now = asyncio.Event()

    async def _repair(self, backend, status):
        """Tell a database that missed a promotion whom to follow."""
        if self.primary is None or backend.name == self.primary:
            return
        known = self.backends[self.primary].status
        behind = known is not None and status.received < known.received
        # One that is behind in the same term may never have been told the primary.
        if status.term < self.term or (status.term == self.term and behind):
            sql = f"SELECT dfw_follow({self.term}, '{self.primary}')"
            await backend.control(sql, self.cfg.times.probe_timeout_s)
            self.metrics.count("repair.follow")

    def suspects(self):
        """Return whether this instance wants another primary."""
        if not self._probes_fast:
            return False
        backend = self.backends.get(self.primary)
        if backend and backend.is_leaving() and self._can_replace():
            return True
        return failover.suspects(self.suspicion, self._now(), self.cfg.times.suspect_s)

    def _can_replace(self):
        """Return whether enough databases stay to replace one that leaves."""
        staying = [
            item
            for item in self.backends.values()
            if item.status and not item.is_leaving()
        ]
        return len(staying) >= failover.promotion_quorum(self.size)

    async def run(self):
        """Serve the group until cancelled."""
        jobs = [("expire", self._expire), ("promoter", self.promoter.run)]
        for backend in self.backends.values():
            jobs += [
                ("queue", backend.expire),
                ("probe", functools.partial(self._probe, backend)),
                ("positions", functools.partial(self._pump_positions, backend)),
            ]
        try:
            async with asyncio.TaskGroup() as tasks:
                for name, start in jobs:
                    tasks.create_task(supervise(f"group.{name}", start, self.metrics))
        finally:
            for task in list(self._tasks):
                task.cancel()
            for backend in self.backends.values():
                backend.close()
