"""The home of a database: holds its connections and runs statements on them.

Any instance can be the home of any database; the others send it their
statements, so that few connections serve the whole fleet.
"""

import asyncio
import itertools
import random
from typing import NamedTuple

from dragonflywing import logs, outcomes
from dragonflywing.decisions import admission
from dragonflywing.ports import Answer, ConnectionFailed, ConnectionRefused
from dragonflywing.supervisor import spawn

# Part of a database's connections for its first home; the rest is for control
# and for other instances while they can't reach that home.
FIRST_HOME_PART = 0.65
# Connections of an instance that is not a database's first home, and how many
# more it may use for each second that it has stood in for the first one.
FALLBACK_CONNECTIONS = 2
FALLBACK_GROWTH = 2
# For so long after a connection could not be opened, and after an answer was
# lost, the database counts as out of reach and idle connections are tried.
UNREACHABLE_S = 0.4
SUSPECT_CONNECTIONS_S = 1.0
# No connection is opened for this long after the database refused one.
REFUSED_PAUSE_S = 0.25
# Connections that one workspace leaves to the others.
LEFT_TO_OTHERS = 2
# A connection unused for this long is tried before a statement goes over it.
STALE_AFTER_S = 1.0
TRIAL_TIMEOUT_S = 0.25  # a trial takes no slot: a round trip between regions
CONNECT_TIMEOUT_S = 0.6  # 12 ms of work, a round trip and a busy slot
STATUS_TIMEOUT_S = 0.4  # may wait for a slot behind two long statements
ROLLBACK_TIMEOUT_S = 0.5
# A statement works for at most some 170 ms. Its slot is taken for free after this
# time, or after so many times the mean if that is more, even if no answer came.
SLOT_LEAST_S = 0.2
SLOT_MEANS = 8
# A read is sent again after this time: the longest work, with a warming database's
# 1.6 times, and a round trip between regions.
READ_ATTEMPT_S = 0.3
RETRY_CONNECT_S = 0.05
IDLE_CLOSE_S = 20.0  # connections that no statement used for so long
CONTROL_WORKSPACE = "dragonflywing"


def connections_for(limit, standing_in_s, is_isolated):
    """Return how many connections an instance may hold to a database.

    `standing_in_s` says for how long it has stood in for the database's first
    home, None if it is the first home. An instance that hears hardly any other
    is cut off, while the others go on using theirs.
    """
    most = max(2, int(limit * FIRST_HOME_PART))
    if standing_in_s is None and not is_isolated:
        return most
    few = min(FALLBACK_CONNECTIONS, most)
    if is_isolated:
        return few
    return min(most, few + int(standing_in_s * FALLBACK_GROWTH))


class Pooled:
    """A connection with the session state that it holds."""

    def __init__(self, conn, workspace, now):
        self.conn = conn
        self.workspace = workspace
        self.values = {}
        self.prepared = {}
        self.used_at = now


class Transaction(NamedTuple):
    """An open transaction's connection and who may use it."""

    pooled: Pooled
    origin: object


class Refusal(Exception):
    """A statement was refused before it was sent; `code` is of `outcomes`."""

    def __init__(self, code, text):
        super().__init__(text)
        self.code = code
        self.text = text


def session_statements(port, pooled, values, prepared):
    """Return the statements that give a connection a caller's session state."""
    statements = []
    held_values, held_prepared = pooled.values, pooled.prepared
    if held_values.keys() - values.keys():
        statements.append(port.RESET)
        held_values, held_prepared = {}, {}
    for name, value in values.items():
        if held_values.get(name) != value:
            statements.append(port.set_value(name, value))
    for name, definition in prepared.items():
        if name not in held_prepared:
            statements.append(port.prepare(name, definition))
    pooled.values = dict(values)
    pooled.prepared = {**held_prepared, **prepared}
    return statements


class Home:
    """The connections, slots and open transactions of one database."""

    def __init__(self, database, connections, port, metrics):
        self.database = database
        self.limit = connections
        self.cap = connections_for(connections, None, False)
        self.no_connect_until = 0.0
        self.unreachable_until = 0.0
        self.lost_at = -SUSPECT_CONNECTIONS_S
        self.asked_at = 0.0
        self.asked_since = 0.0
        self.port = port
        self.metrics = metrics
        self.admission = admission.AdmissionState(database.slots)
        self.idle = []
        self.by_workspace = {}
        self.total = 0
        self.transactions = {}
        self._waiters = {}
        self._numbers = itertools.count(1)
        self._mark = f"{random.getrandbits(32):x}"
        self._released = asyncio.Event()
        self._control = None
        self._control_lock = asyncio.Lock()
        self._tasks = set()

    def _now(self):
        return asyncio.get_running_loop().time()

    def wait_s(self):
        """Return the expected wait for a slot."""
        return admission.expected_wait(self.admission)

    # Slots

    def _deliver(self, messages):
        for message in messages:
            fut = self._waiters.pop(message.waiter, None)
            if fut is not None and not fut.done():
                fut.set_result(isinstance(message, admission.Start))
            elif isinstance(message, admission.Start):
                self._release_slot(None)

    def _release_slot(self, started_at):
        now = self._now()
        duration = None if started_at is None else now - started_at
        self._deliver(admission.release(self.admission, now, duration))

    def _hold_slot(self):
        """Return a function that gives a taken slot back.

        A database that loses answers is free while they are waited for, so the
        slot comes back by itself after a time.
        """
        loop, started_at = asyncio.get_running_loop(), self._now()
        timer = None

        def release():
            nonlocal timer
            if timer is not None:
                timer.cancel()
                timer = None
                self._release_slot(started_at)

        def release_early():
            self.metrics.count("slot.released_early")
            release()

        limit_s = max(SLOT_LEAST_S, SLOT_MEANS * (self.admission.duration_s or 0.0))
        timer = loop.call_later(limit_s, release_early)
        return release

    async def _take_slot(self, workspace, deadline, urgent, priority=0):
        """Return when a slot is taken."""
        asked_at = self._now()
        waiter = next(self._numbers)
        fut = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = fut
        messages = admission.enqueue(
            self.admission,
            self._now(),
            waiter,
            workspace,
            deadline,
            urgent,
            priority,
        )
        if messages is None:
            del self._waiters[waiter]
            raise Refusal(outcomes.OVERLOADED, self._come_back("queue too long"))
        self._deliver(messages)
        try:
            async with asyncio.timeout_at(deadline):
                started = await fut
        except BaseException as exc:
            self._give_up(waiter, fut)
            if isinstance(exc, TimeoutError):
                raise Refusal(outcomes.OVERLOADED, self._come_back("late")) from None
            raise
        if not started:
            raise Refusal(outcomes.OVERLOADED, self._come_back("late"))
        self.metrics.time(
            "slot_wait", self._now() - asked_at, "yes" if urgent else "no"
        )

    def _give_up(self, waiter, fut):
        self._waiters.pop(waiter, None)
        if fut.done() and not fut.cancelled() and fut.result():
            self._release_slot(None)
        else:
            admission.cancel(self.admission, waiter)

    def _come_back(self, reason):
        return f"{reason}, not run, retry in {int(self.wait_s() * 1000) + 20} ms"

    # Connections

    async def _acquire(self, workspace, deadline):
        """Return a connection of the workspace for one statement or transaction."""
        while True:
            pooled = await self._take_idle(workspace)
            if pooled is not None:
                return pooled
            if self._now() < self.unreachable_until:
                raise Refusal(outcomes.UNREACHABLE, "database out of reach, not run")
            # A connection that an open transaction holds is not soon free.
            used = self.by_workspace.get(workspace, 0)
            if used < max(1, self.cap - LEFT_TO_OTHERS) and self._make_room(workspace):
                pooled = await self._connect(workspace, deadline)
                if pooled is not None:
                    return pooled
            await self._wait_released(deadline)

    async def _take_idle(self, workspace):
        for pooled in reversed(self.idle):
            if pooled.workspace == workspace:
                self.idle.remove(pooled)
                if await self._is_sound(pooled):
                    return pooled
                self.metrics.count("database.stale_connection")
                self._discard(pooled)
                return await self._take_idle(workspace)
        return None

    async def _is_sound(self, pooled):
        """Try a connection that nothing was heard on for a while."""
        if pooled.conn.is_broken():
            return False
        now = self._now()
        is_suspect = pooled.used_at < self.lost_at + SUSPECT_CONNECTIONS_S > now
        if now - pooled.used_at < STALE_AFTER_S and not is_suspect:
            return True
        try:
            async with asyncio.timeout(TRIAL_TIMEOUT_S):
                answer = await pooled.conn.run("-", self.port.RESET)
        except (TimeoutError, ConnectionFailed):
            return False
        pooled.values, pooled.prepared = {}, {}
        return not answer.code

    def _make_room(self, workspace):
        """Return whether a connection may be opened, closing an idle one if needed."""
        if self._now() < self.no_connect_until:
            return False
        if self.total < self.cap:
            return True
        others = [item for item in self.idle if item.workspace != workspace]
        if not others:
            return False
        self.idle.remove(others[0])
        self._discard(others[0])
        self.metrics.count("database.evicted_connection")
        return True

    async def _connect(self, workspace, deadline):
        """Open a connection; None if the database takes no more just now."""
        self._count_connection(workspace, 1)
        try:
            await self._take_slot(workspace, deadline, True)
            try:
                limit = min(deadline, self._now() + CONNECT_TIMEOUT_S)
                async with asyncio.timeout_at(limit):
                    conn = await self.port.connect(self.database, workspace)
            finally:
                self._release_slot(None)
        except BaseException as exc:
            self._count_connection(workspace, -1)
            if isinstance(exc, (ConnectionRefused, ConnectionFailed, TimeoutError)):
                pause = REFUSED_PAUSE_S * random.uniform(0.5, 1.5)
                self.no_connect_until = self._now() + pause
            if isinstance(exc, ConnectionRefused) and exc.code in (
                outcomes.NO_CONNECTION,
                outcomes.OVERLOADED,
            ):
                self.metrics.count("database.no_connection")
                return None
            if isinstance(exc, ConnectionRefused):
                raise Refusal(exc.code, "database refused the connection") from None
            if isinstance(exc, (ConnectionFailed, TimeoutError)):
                self.metrics.count("database.connect_failed")
                self.unreachable_until = self._now() + UNREACHABLE_S
                text = "database out of reach, not run"
                raise Refusal(outcomes.UNREACHABLE, text) from None
            raise
        self.metrics.count("database.connected")
        self.unreachable_until = 0.0
        return Pooled(conn, workspace, self._now())

    def _count_connection(self, workspace, change):
        self.total += change
        count = self.by_workspace.get(workspace, 0) + change
        self.by_workspace[workspace] = count
        if change < 0:
            self._wake()

    async def _wait_released(self, deadline):
        released = self._released
        limit = min(deadline, self._now() + RETRY_CONNECT_S)
        try:
            async with asyncio.timeout_at(limit):
                await released.wait()
        except TimeoutError:
            if self._now() >= deadline:
                text = "all connections are in use, not run, retry in 100 ms"
                raise Refusal(outcomes.NO_CONNECTION, text) from None

    def _wake(self):
        self._released.set()
        self._released = asyncio.Event()

    def _give_back(self, pooled):
        pooled.used_at = self._now()
        self.idle.append(pooled)
        self._wake()

    def _discard(self, pooled):
        pooled.conn.close()
        self._count_connection(pooled.workspace, -1)

    # Statements

    async def run(self, req, floor, origin):
        """Run a statement; return its Answer and the handle of its transaction."""
        deadline = self._now() + req.timeout
        try:
            if req.transaction:
                return await self._run_inside(req, deadline)
            return await self._run_first(req, floor, deadline, origin)
        except Refusal as exc:
            self.metrics.count(f"refused.{exc.code}")
            return Answer(exc.code, exc.text, (), False, None), ""

    def asked_for_s(self):
        """Return for how many seconds statements have come without a pause."""
        now = self._now()
        return now - self.asked_since if now - self.asked_at < 1.0 else 0.0

    async def _run_first(self, req, floor, deadline, origin):
        now = self._now()
        if now - self.asked_at >= 1.0:
            self.asked_since = now
        self.asked_at = now
        pooled = await self._acquire(req.workspace, deadline)
        try:
            await self._take_slot(req.workspace, deadline, False, req.priority)
        except BaseException:
            self._give_back(pooled)
            raise
        work = spawn(self._tasks, self._execute(pooled, req, floor, deadline, origin))
        return await self._finish_work(work)

    async def _run_inside(self, req, deadline):
        found = self.transactions.pop(req.transaction, None)
        if found is None:
            raise Refusal(outcomes.ABORTED, "the transaction has ended")
        try:
            await self._take_slot(req.workspace, deadline, True)
        except BaseException:
            spawn(self._tasks, self._roll_back(found.pooled))
            raise
        work = spawn(
            self._tasks, self._execute(found.pooled, req, None, deadline, found.origin)
        )
        return await self._finish_work(work)

    async def _finish_work(self, work):
        """Return the work's result; when the caller left, let it end by itself."""
        try:
            return await asyncio.shield(work)
        except asyncio.CancelledError:
            work.add_done_callback(self._abandon)
            raise

    def _abandon(self, work):
        if not work.cancelled() and work.exception() is None:
            self.end(work.result()[1])

    async def _execute(self, pooled, req, floor, deadline, origin):
        """Run a statement on a connection while a slot is held."""
        started_at = self._now()
        limit = deadline
        if req.kind == "read":
            limit = min(deadline, started_at + READ_ATTEMPT_S)
        sent, answer = False, None
        release_slot = self._hold_slot()
        try:
            async with asyncio.timeout_at(limit):
                await self._prepare_session(pooled, req)
                answer = await self._open_transaction(pooled, req, floor)
                if answer is not None:
                    self._give_back(pooled)
                    return answer, ""
                sent = True
                answer = await pooled.conn.run(req.statement_id, self._text(req, floor))
        except (ConnectionFailed, TimeoutError) as exc:
            self._discard(pooled)
            answer = self._lost(req, sent, exc)
            return answer, ""
        finally:
            release_slot()
            code = answer.code if answer else outcomes.ABORTED
            spent_s = self._now() - started_at
            self.metrics.time("database", spent_s, req.kind, code or "ok")
        return self._finish(pooled, req, answer, origin)

    def _text(self, req, floor):
        if req.kind == "read" and not req.opening and not req.transaction:
            return self.port.at_position(floor, req.text)
        return req.text

    async def _prepare_session(self, pooled, req):
        statements = session_statements(self.port, pooled, req.values, req.prepared)
        for text in statements:
            pooled.conn.send("-", text)
        for text in statements:
            answer = await pooled.conn.receive()
            if answer.code:
                raise ConnectionFailed(f"{text.split(' ')[0]}: {answer.code}")

    async def _open_transaction(self, pooled, req, floor):
        if not req.opening:
            return None
        text = self.port.at_position(floor, req.opening)
        answer = await pooled.conn.run("-", text)
        return answer if answer.code else None

    def _lost(self, req, sent, exc):
        self.metrics.count(f"database.lost.{type(exc).__name__}")
        self.lost_at = self._now()
        logs.event(
            "answer_lost",
            request=req.statement_id,
            database=self.database.name,
            sent=sent,
            cause=type(exc).__name__,
        )
        inside = req.opening or req.transaction
        if not sent or (inside and req.kind != "commit"):
            return Answer(
                outcomes.ABORTED, "connection to database lost", (), False, None
            )
        return Answer(outcomes.IN_DOUBT, "no answer from the database", (), False, None)

    def _finish(self, pooled, req, answer, origin):
        inside = req.opening or req.transaction
        if not inside:
            self._give_back(pooled)
            return answer, ""
        if answer.code and answer.in_transaction:
            spawn(self._tasks, self._roll_back(pooled))
            return answer, ""
        if not answer.in_transaction:
            self._give_back(pooled)
            return answer, ""
        handle = req.transaction or f"{self._mark}.{next(self._numbers)}"
        pooled.used_at = self._now()
        self.transactions[handle] = Transaction(pooled, origin)
        return answer, handle

    async def _roll_back(self, pooled):
        try:
            async with asyncio.timeout(ROLLBACK_TIMEOUT_S):
                answer = await pooled.conn.run("-", self.port.ROLLBACK)
        except (ConnectionFailed, TimeoutError):
            self._discard(pooled)
            return
        if answer.code or answer.in_transaction:
            self._discard(pooled)
        else:
            self._give_back(pooled)

    def end(self, handle):
        """Roll back an open transaction."""
        found = self.transactions.pop(handle, None)
        if found is not None:
            spawn(self._tasks, self._roll_back(found.pooled))

    def end_all_of(self, origin):
        """Roll back the transactions of an instance whose connection has ended."""
        for handle, found in list(self.transactions.items()):
            if found.origin is origin:
                self.end(handle)

    # Control

    async def command(self, text):
        """Run a control statement; return its DatabaseStatus, None if it failed."""
        async with self._control_lock:
            try:
                async with asyncio.timeout(STATUS_TIMEOUT_S):
                    if self._control is None:
                        self._control = await self.port.connect(
                            self.database, CONTROL_WORKSPACE
                        )
                    answer = await self._control.run("-", text)
                    status = self.port.decode_status(answer)
            except (ConnectionFailed, ConnectionRefused, TimeoutError) as exc:
                self.metrics.count(f"database.control.{type(exc).__name__}")
                self._close_control()
                return None
        return status

    def _close_control(self):
        if self._control is not None:
            self._control.close()
            self._control = None

    def sweep(self, is_home, cap, transaction_idle_s):
        """Close connections that are not needed and end forgotten transactions."""
        now = self._now()
        self.cap = cap
        while self.total > cap and self.idle:
            self._discard(self.idle.pop(0))
        self._deliver(admission.expire(self.admission, now))
        limit = IDLE_CLOSE_S if is_home else STALE_AFTER_S
        for pooled in list(self.idle):
            if now - pooled.used_at > limit or pooled.conn.is_broken():
                self.idle.remove(pooled)
                self._discard(pooled)
        for handle, found in list(self.transactions.items()):
            if now - found.pooled.used_at > 2 * transaction_idle_s:
                self.metrics.count("transaction.forgotten")
                self.end(handle)
        if not is_home and not self._control_lock.locked():
            self._close_control()

    def close(self):
        """Close all connections."""
        for task in list(self._tasks):
            task.cancel()
        for pooled in self.idle:
            pooled.conn.close()
        for found in self.transactions.values():
            found.pooled.conn.close()
        self._close_control()
