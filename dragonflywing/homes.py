"""The home of a database: the instance that pools the connections to it.

Any instance can be the home of any database. The others forward their
statements to it, so that a small pool serves the whole fleet.

A statement waits for a connection of its workspace (connection_pool.py) and for a slot
of the database (slot_queue.py); for both at once where workspaces compete for the
connections. Open transactions (transactions.py) keep their connection. Control
statements (control.py) have a connection of their own.
"""

import asyncio
import itertools
import math
import random

from dragonflywing import logs, outcomes
from dragonflywing.connection_pool import (
    CLOSED_TEXT,
    ConnectionPool,
)
from dragonflywing.control import STATUS_TIMEOUT_S, ControlConnection
from dragonflywing.decisions import evacuation
from dragonflywing.outcomes import Refusal
from dragonflywing.pacing import LOST, Pacer
from dragonflywing.ports import Answer, ConnectionFailed
from dragonflywing.session_state import charged
from dragonflywing.slot_queue import SlotQueue
from dragonflywing.supervisor import spawn
from dragonflywing.transactions import Transaction, Transactions

# A read is retried after this time: the longest statement, 1.6 times as long on a
# database that is warming up, and a round trip between regions.
READ_ATTEMPT_TIMEOUT_S = 0.3
# How long a read waits for the rate of a cold database. With the attempt itself, it
# ends before an instance that forwarded it stops waiting (0.7 s) and tries again.
READ_TOKEN_WAIT_S = 0.35


def _was_closed(task):
    """Return whether the home has ended a task that the current one waited for."""
    return task.cancelled() and not asyncio.current_task().cancelling()


class Home:
    """This instance's connections, slots and open transactions for one database."""

    def __init__(self, database, connection_limit, adapter, metrics):
        self.last_request_at = 0.0
        self.in_use_since = 0.0
        self.adapter = adapter
        self.metrics = metrics
        self.time_left = lambda: evacuation.UNLIMITED
        self._calls = set()  # the timeouts of the statements that were sent
        self._ids = itertools.count(1)
        self._handle_prefix = f"{random.getrandbits(32):x}"
        self._tasks = set()
        self.pacer = Pacer(database, metrics)
        self.slots = SlotQueue(database.slots, metrics, self.pacer)
        self.pool = ConnectionPool(
            database, connection_limit, adapter, metrics, self.slots, self.pacer
        )
        self.pool.may_send = lambda: self.time_left().to_send_s > 0
        self.slots.reserve = self.pool.reserve
        self.slots.unreserve = self.pool.unreserve
        self.control = ControlConnection(database, adapter, metrics, self.pacer)
        self._transactions = Transactions(self.pool, metrics, self._tasks)

    def _now(self):
        return asyncio.get_running_loop().time()

    @property
    def database(self):
        """The database as it last reported itself."""
        return self.pool.database

    @database.setter
    def database(self, database):
        self.pool.database = self.control.database = database

    @property
    def connection_limit(self):
        """The connections that the database accepts from all instances."""
        return self.pool.connection_limit

    @property
    def admission(self):
        """The running and waiting statements; `limit` is what the pace allows."""
        return self.slots.admission

    @property
    def idle(self):
        """The connections that no statement uses, the least recently used first."""
        return self.pool.idle

    @property
    def by_workspace(self):
        """The number of open connections of each workspace."""
        return self.pool.by_workspace

    @property
    def total(self):
        """The number of open connections."""
        return self.pool.total

    @property
    def transactions(self):
        """The open transactions by handle."""
        return self._transactions.by_handle

    def set_contended(self, is_contended):
        """Tell whether the workspaces compete for the connections (contention.py)."""
        self.pool.set_contended(is_contended)

    def wait_s(self):
        """Return the expected wait for a slot."""
        return max(self.slots.wait_s(), self.pacer.wait_s())

    def set_database(self, database):
        """Apply the database's latest entry."""
        self.database = database
        self.pacer.slots = database.slots
        self.slots.set_limit(min(database.slots, self.pacer.limit()))

    def begin_pace(self, reason):
        """Begin at the lowest pace."""
        self.pacer.begin(reason)
        self.slots.set_limit(self.pacer.limit())

    async def _take_tokens(self, req, deadline):
        """Wait until a cold database may be sent a statement, or raise Refusal."""
        if req.kind == "read":
            deadline = min(deadline, self._now() + READ_TOKEN_WAIT_S)
        wait_s = await self.pacer.take(deadline, 2 if req.opening else 1)
        if wait_s:
            retry_ms = int(min(wait_s, 60.0) * 1000) + 1
            text = f"the database is cold, not run, retry in {retry_ms} ms"
            raise Refusal(outcomes.OVERLOADED, text)

    async def _charge_session(self, pooled, req, deadline, count=0):
        """Take tokens for a transaction's statement or those that set its session."""
        if self.pacer.gate is not None:
            count += pooled.state.missing(req.values, req.prepared)
            if not await self.pacer.charge(count, deadline - self._now()):
                text = self.slots.retry_text("the database is cold")
                raise Refusal(outcomes.OVERLOADED, text)

    async def _charge_queued(self, pooled, req, deadline, gate):
        """Take the tokens that a statement lacks; return the gate that it has passed.

        The database may have become cold while the statement was queued. `gate` is the
        one that it passed before, None if the database was warm.
        """
        count = 0 if gate else 1 + bool(req.opening)
        gate = self.pacer.gate
        await self._charge_session(pooled, req, deadline, count)
        return gate

    async def run(self, req, floor, origin):
        """Run a statement; return its Answer and its transaction's handle or ""."""
        deadline = self._now() + req.timeout
        try:
            if req.transaction:
                return await self._run_in_transaction(req, deadline)
            return await self._run_on_free_connection(req, floor, deadline, origin)
        except Refusal as exc:
            self.metrics.count(f"refused.{exc.code}")
            return Answer(exc.code, exc.text, (), False, None), ""

    def continuous_use_s(self):
        """Return for how many seconds statements have arrived without a gap of 1 s."""
        now = self._now()
        return now - self.in_use_since if now - self.last_request_at < 1.0 else 0.0

    async def _run_on_free_connection(self, req, floor, deadline, origin):
        now = self._now()
        if now - self.last_request_at >= 1.0:
            self.in_use_since = now
        self.last_request_at = now
        gate = self.pacer.gate
        await self._take_tokens(req, deadline)
        while self.slots.is_contended():
            pooled, taken_at = await self._take_turn(req, deadline)
            if pooled is not None:
                try:
                    await self._charge_queued(pooled, req, deadline, gate)
                except BaseException:
                    self.pool.put_back(pooled)
                    self.slots.release(None)
                    raise
                execution = self._execute(
                    pooled, req, floor, deadline, origin, taken_at
                )
                return await self._await_shielded(spawn(self._tasks, execution), req)
        pooled = await self.pool.acquire(req.workspace, deadline)
        try:
            gate = await self._charge_queued(pooled, req, deadline, gate)
            await self.slots.take(req.workspace, deadline, False, req.priority)
            try:
                if gate is None:
                    await self._charge_queued(pooled, req, deadline, gate)
            except BaseException:
                self.slots.release(None)
                raise
        except BaseException:
            self.pool.put_back(pooled)
            raise
        task = spawn(self._tasks, self._execute(pooled, req, floor, deadline, origin))
        return await self._await_shielded(task, req)

    async def _take_turn(self, req, deadline):
        """Wait for a connection and a slot; return them as (pooled, taken_at).

        Returns (None, None) if the statement must be queued again. A caller that
        leaves does not end the opening of a connection, which occupies the slot anyway.
        """
        if self.pool.is_out_of_reach(req.workspace):
            text = "database out of reach, not run"
            raise Refusal(outcomes.UNREACHABLE, text)
        grant = await self.slots.take_turn(req, deadline)
        if grant is None:
            return None, None
        taken_at = self._now()
        if self.pool.is_ready(grant):
            return grant.pooled, taken_at
        task = spawn(self._tasks, self._redeem(grant))
        try:
            async with asyncio.timeout_at(deadline):
                return await asyncio.shield(task), taken_at
        except BaseException as exc:
            task.add_done_callback(self._give_back)
            if isinstance(exc, TimeoutError):
                text = "no connection in time, not run, retry in 50 ms"
                raise Refusal(outcomes.OVERLOADED, text) from None
            if _was_closed(task):
                self._check_in_use(req)
            raise

    async def _redeem(self, grant):
        """Return the connection of a Grant; without one, release the slot."""
        pooled = None
        try:
            pooled = await self.pool.redeem(grant)
        finally:
            if pooled is None:
                self.slots.release(None)
        return pooled

    def _give_back(self, task):
        if task.cancelled() or task.exception() is not None or task.result() is None:
            return
        self.pool.put_back(task.result())
        self.slots.release(None)

    async def _run_in_transaction(self, req, deadline):
        transaction = self.transactions.pop(req.transaction, None)
        if transaction is None:
            raise Refusal(outcomes.ABORTED, "the transaction has ended")
        try:
            await self._charge_session(transaction.pooled, req, deadline, 1)
            await self.slots.take(req.workspace, deadline, True)
        except BaseException:
            self._transactions.roll_back_connection_later(transaction.pooled)
            raise
        task = spawn(
            self._tasks,
            self._execute(transaction.pooled, req, None, deadline, transaction.origin),
        )
        return await self._await_shielded(task, req)

    async def _await_shielded(self, task, req):
        """Return the task's result; a caller that disconnects does not cancel it."""
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError as exc:
            if _was_closed(task):  # the statement may have been sent
                return self._handle_lost_connection(req, True, exc), ""
            task.add_done_callback(self._roll_back_orphan)
            raise

    def _roll_back_orphan(self, task):
        if not task.cancelled() and task.exception() is None:
            self.roll_back(task.result()[1])

    async def _execute(self, pooled, req, floor, deadline, origin, taken_at=None):
        """Run a statement on a connection, and release the slot taken for it.

        The slot was taken at `taken_at`, by default now.
        """
        started_at = self._now()
        attempt_deadline = deadline
        if req.kind == "read":
            attempt_deadline = min(deadline, started_at + READ_ATTEMPT_TIMEOUT_S)
        sent, answer, call, is_lost = False, None, None, False
        release_slot = self.slots.hold(taken_at)
        try:
            with self.pool.discarding_on_error(pooled):
                async with asyncio.timeout_at(attempt_deadline) as call:
                    self._calls.add(call)
                    self.end_calls()
                    self._check_in_use(req)
                    await self._prepare_session(pooled, req)
                    self._check_in_use(req)
                    answer = await self._open_transaction(pooled, req, floor)
                    if answer is None:
                        self._check_in_use(req)
                        sent = True
                        answer = await pooled.conn.run(
                            req.statement_id, self._text_at_floor(req, floor)
                        )
        except (ConnectionFailed, TimeoutError) as exc:
            is_lost = True
            answer = self._handle_lost_connection(req, sent, exc)
            return answer, ""
        finally:
            self._calls.discard(call)
            code = answer.code if answer else outcomes.ABORTED
            if answer is not None:
                self._note_pace(started_at, req, LOST if is_lost else answer.code)
            release_slot()
            duration_s = self._now() - started_at
            self.metrics.time("database", duration_s, req.kind, code or "ok")
        if not sent:  # the database refused to open the transaction
            self.pool.put_back(pooled)
            return answer, ""
        return self._finish_statement(pooled, req, answer, origin)

    def _note_pace(self, started_at, req, code):
        kind = "opening" if req.opening else req.kind
        self.pacer.note_statement(started_at, kind, code, self.admission.running)
        self.slots.set_limit(self.pacer.limit())

    def _check_in_use(self, req):
        """Raise Refusal if the database must not be sent a statement any more."""
        if self.pool.is_closed:
            code = outcomes.ABORTED if req.transaction else outcomes.WRONG_DATABASE
            raise Refusal(code, CLOSED_TEXT)
        if self.pool.may_send():
            return
        self.metrics.count("refused.evacuated")
        code = outcomes.ABORTED if req.transaction else outcomes.OVERLOADED
        text = "the data centre is or may be evacuated, not run, retry in 300 ms"
        raise Refusal(code, text)

    def end_calls(self):
        """Let statements that were sent end when no more may reach the database."""
        left_s = self.time_left().to_end_s
        if math.isinf(left_s):
            return
        end = self._now() + left_s
        for call in self._calls:
            if not call.expired() and call.when() > end:
                call.reschedule(end)

    def close_idle(self):
        """Close all connections that no statement or transaction uses."""
        while self.idle:
            self.pool.discard(self.idle.pop())

    def roll_back_open(self):
        """Roll back all open transactions."""
        for handle in list(self.transactions):
            self.roll_back(handle)

    def _text_at_floor(self, req, floor):
        if req.kind == "read" and not req.opening and not req.transaction:
            return self.adapter.at_position(floor, req.text)
        return req.text

    async def _prepare_session(self, pooled, req):
        statements = pooled.state.statements(self.adapter, req.values, req.prepared)
        if not statements:
            return
        with charged(statements, pooled.workspace):
            for text in statements:
                pooled.conn.send("-", text)
            for text in statements:
                answer = await pooled.conn.receive()
                if answer.code:
                    raise ConnectionFailed(f"{text.split(' ')[0]}: {answer.code}")

    async def _open_transaction(self, pooled, req, floor):
        if not req.opening:
            return None
        text = self.adapter.at_position(floor, req.opening)
        answer = await pooled.conn.run("-", text)
        return answer if answer.code else None

    def _handle_lost_connection(self, req, sent, exc):
        self.metrics.count(f"database.lost.{type(exc).__name__}")
        self.pool.answer_lost_at = self._now()
        logs.event(
            "answer_lost",
            request=req.statement_id,
            database=self.database.name,
            sent=sent,
            cause=type(exc).__name__,
        )
        is_transactional = req.opening or req.transaction
        if not sent or (is_transactional and req.kind != "commit"):
            return Answer(
                outcomes.ABORTED, "connection to database lost", (), False, None
            )
        return Answer(outcomes.IN_DOUBT, "no answer from the database", (), False, None)

    def _finish_statement(self, pooled, req, answer, origin):
        is_transactional = req.opening or req.transaction
        if not is_transactional:
            self.pool.put_back(pooled)
            return answer, ""
        if answer.code and answer.in_transaction:
            self._transactions.roll_back_connection_later(pooled)
            return answer, ""
        if not answer.in_transaction:
            self.pool.put_back(pooled)
            return answer, ""
        handle = req.transaction or f"{self._handle_prefix}.{next(self._ids)}"
        pooled.used_at = self._now()
        self.pool.keep(pooled)
        self.transactions[handle] = Transaction(pooled, origin)
        return answer, handle

    def roll_back(self, handle):
        """Roll back an open transaction."""
        self._transactions.roll_back(handle)

    def roll_back_all(self, origin):
        """Roll back the transactions of an instance whose link was closed."""
        self._transactions.roll_back_all(origin)

    async def command(self, text):
        """Run a control statement; return its DatabaseStatus, None if it failed."""
        if not await self._charge_control(text):
            return None
        status = await self.control.command(text)
        if status is not None:
            self.pool.note_status(status)
        return status

    async def _charge_control(self, text):
        """Take a token for a control statement; return whether it may be sent.

        Orders for a replacement of the primary can't wait.
        """
        if self.pacer.gate is None:
            return True
        if text != self.adapter.STATUS:
            self.pacer.reserve()
        elif not await self.pacer.charge_status(STATUS_TIMEOUT_S):
            self.metrics.count("cold.status_refused")
            return False
        return True

    def sweep(self, is_home, max_connections, transaction_idle_s):
        """Close unneeded connections and roll back abandoned transactions."""
        self.pool.sweep(is_home, max_connections)
        self.slots.expire()
        self._transactions.sweep(transaction_idle_s)
        if not is_home:
            self.control.close_if_unused()
        elif self.pool.wants_report():
            spawn(self._tasks, self.command(self.adapter.STATUS))

    def close(self):
        """Close all connections."""
        for task in list(self._tasks):
            task.cancel()
        self.pool.close()
        self._transactions.close()
        self.control.close()
