"""The connections to a database that this instance holds, by workspace."""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from dragonflywing import logs, outcomes
from dragonflywing.decisions import connection_plan
from dragonflywing.decisions.pace import Result
from dragonflywing.outcomes import Refusal
from dragonflywing.ports import ConnectionFailed, ConnectionRefused
from dragonflywing.session_state import ConnectionState

# Fraction of a database's connection limit that its first home may use. The rest
# is left for control connections and for instances that can't reach that home.
FIRST_HOME_FRACTION = 0.65
# Connections of an instance that is not the database's first home, and how many
# more it may open for each second that it has replaced the first home.
FALLBACK_CONNECTIONS = 2
FALLBACK_GROWTH_PER_S = 2
# How long a database counts as unreachable after a failed connect, and how long
# idle connections are validated before use after an answer was lost.
UNREACHABLE_S = 0.4
SUSPECT_CONNECTIONS_S = 1.0
# Mean pause before the next connect after a refused or failed one.
CONNECT_PAUSE_S = 0.25
# Connections that a single workspace may not use, so that others get one.
RESERVED_CONNECTIONS = 2
# A connection that was idle for this long is validated before use.
STALE_AFTER_S = 1.0
VALIDATION_TIMEOUT_S = 0.25  # a round trip between regions; needs no slot
CONNECT_TIMEOUT_S = 0.6  # 12 ms of work, a round trip and the wait for a slot
CONNECT_RETRY_S = 0.05
MIN_CHECK_S = 0.001  # a shorter wait for the pace may round to none
IDLE_CLOSE_S = 20.0
# Under contention an idle connection costs nothing until another workspace needs its
# place, and reopening it costs a slot.
CONTENDED_IDLE_CLOSE_S = 120.0
# Workspaces whose demand is remembered before those without recent demand are removed.
MAX_DEMANDS_PER_CONNECTION = 4
CLOSED_TEXT = "the database has left or restarted, not run"


def max_connections_for(connection_limit, fallback_s, is_isolated):
    """Return how many connections an instance may hold to a database.

    `fallback_s` is the time for which it has replaced the database's first
    home, None if it is the first home. An isolated instance gets only the
    fallback connections, since the rest of the fleet keeps using the others.
    """
    max_connections = max(2, int(connection_limit * FIRST_HOME_FRACTION))
    if fallback_s is None and not is_isolated:
        return max_connections
    fallback_limit = min(FALLBACK_CONNECTIONS, max_connections)
    if is_isolated:
        return fallback_limit
    return min(
        max_connections, fallback_limit + int(fallback_s * FALLBACK_GROWTH_PER_S)
    )


class PooledConnection:
    """A connection with the session state that is set on it."""

    def __init__(self, conn, workspace, now):
        self.conn = conn
        self.workspace = workspace
        self.state = ConnectionState(workspace)
        self.used_at = now
        self.is_running = False  # a statement that was given it by `reserve`

    def close(self):
        """Close the connection."""
        self.state.clear()
        self.conn.close()


class Grant(NamedTuple):
    """What a statement runs on: a connection, or None if it may open one.

    `end_connect` ends the opening that was begun at the pace, if one was.
    """

    workspace: str
    pooled: PooledConnection | None
    end_connect: Callable | None = None


class ConnectionPool:
    """The open connections to one database.

    `connection_limit` is that of the database, `max_connections` the part of it that
    this instance may use now. `by_workspace` counts the open connections. `running`
    counts those that a statement was given by `reserve` and that it has not released.
    """

    def __init__(self, database, connection_limit, adapter, metrics, slots, pacer):
        self.database = database
        self.connection_limit = connection_limit
        self.max_connections = max_connections_for(connection_limit, None, False)
        self.adapter = adapter
        self.metrics = metrics
        self.slots = slots
        self.pacer = pacer
        self._is_check_scheduled = False
        self.is_closed = False
        self.may_send = lambda: True  # whether the database may get statements
        self.no_connect_until = 0.0
        self.unreachable_until = 0.0
        self.answer_lost_at = -SUSPECT_CONNECTIONS_S
        self.idle = []
        self.by_workspace = {}
        self.total = 0
        self.running = Counter()
        self.demand = {}
        self.share = connection_plan.Share(connection_limit, 0)
        self._released = asyncio.Event()

    def _now(self):
        return asyncio.get_running_loop().time()

    async def acquire(self, workspace, deadline):
        """Return a connection of the workspace for a statement or transaction."""
        while True:
            pooled = await self._take_idle(workspace)
            if pooled is not None:
                return pooled
            if self.is_closed:
                raise Refusal(outcomes.WRONG_DATABASE, CLOSED_TEXT)
            if self._now() < self.unreachable_until:
                raise Refusal(outcomes.UNREACHABLE, "database out of reach, not run")
            # Connections in open transactions are not released soon, so open another.
            used = self.by_workspace.get(workspace, 0)
            if used < max(
                1, self.max_connections - RESERVED_CONNECTIONS
            ) and self._make_room(workspace):
                pooled = await self._connect(workspace, deadline)
                if pooled is not None:
                    return pooled
            await self._wait_released(deadline)

    async def _take_idle(self, workspace):
        for pooled in reversed(self.idle):
            if pooled.workspace == workspace:
                self.idle.remove(pooled)
                with self.discarding_on_error(pooled):
                    if await self._is_usable(pooled):
                        return pooled
                self.metrics.count("database.stale_connection")
                self.discard(pooled)
                return await self._take_idle(workspace)
        return None

    @contextlib.contextmanager
    def discarding_on_error(self, pooled):
        """Discard a connection if the block doesn't end normally."""
        try:
            yield
        except BaseException:  # also if the statement is cancelled
            self.discard(pooled)
            raise

    async def _is_usable(self, pooled):
        """Return whether a connection works; validate it if it was idle for long."""
        if pooled.conn.is_broken():
            return False
        if self._is_fresh(pooled):
            return True
        if not await self.pacer.charge(1, VALIDATION_TIMEOUT_S):
            return False
        if not self.may_send():
            text = "the data centre is or may be evacuated, not run, retry in 300 ms"
            raise Refusal(outcomes.OVERLOADED, text)
        started_at = self._now()
        try:
            async with asyncio.timeout(VALIDATION_TIMEOUT_S):
                answer = await pooled.conn.run("-", self.adapter.RESET)
                self.pacer.note_round_trip(started_at)
        except (TimeoutError, ConnectionFailed):
            return False
        pooled.state.clear()
        return not answer.code

    def _is_fresh(self, pooled):
        """Return whether a connection needs no validation before use."""
        now = self._now()
        is_suspect = pooled.used_at < self.answer_lost_at + SUSPECT_CONNECTIONS_S > now
        # For a cold database the validation would cost as much as the statement.
        is_cold = self.pacer.gate is not None
        was_used = is_cold or now - pooled.used_at < STALE_AFTER_S
        return was_used and not is_suspect and not pooled.conn.is_broken()

    def _make_room(self, workspace):
        """Return whether a connection may be opened, closing an idle one if needed."""
        if self._now() < self.no_connect_until or not self.pacer.may_connect():
            return False
        if self.total < self.max_connections:
            return True
        others = [item for item in self.idle if item.workspace != workspace]
        if not others:
            return False
        self.idle.remove(others[0])
        self.discard(others[0])
        self.metrics.count("database.evicted_connection")
        return True

    async def _connect(self, workspace, deadline):
        """Open a connection; return None if the database accepts no more now."""
        self._count_connection(workspace, 1)
        return await self._open(workspace, self._connect_in_slot(workspace, deadline))

    async def _connect_in_slot(self, workspace, deadline):
        end_connect = self.pacer.begin_connect()
        try:
            await self.slots.take(workspace, deadline, True)
        except BaseException:
            end_connect(None)
            raise
        try:
            return await self._connect_now(workspace, deadline, end_connect)
        finally:
            self.slots.release(None)

    async def _connect_now(self, workspace, deadline, end_connect):
        """Open a connection in a slot that was taken, and note the Result."""
        result = None
        try:
            connect_deadline = min(deadline, self._now() + CONNECT_TIMEOUT_S)
            async with asyncio.timeout_at(connect_deadline):
                conn = await self.adapter.connect(self.database, workspace)
            result = Result.GOOD
            return conn
        except ConnectionRefused:
            result = Result.REFUSED
            raise
        except (ConnectionFailed, TimeoutError):
            result = Result.FAILED
            raise
        finally:
            end_connect(result)
            self.slots.set_limit(self.pacer.limit())
            if self.pacer.applies:  # others may be set aside until this has ended
                self.slots.connection_free(None)

    async def _open(self, workspace, connecting):
        """Return the PooledConnection of a connection that was counted already.

        `connecting` is the coroutine that opens it. Returns None if the database
        accepts no more now.
        """
        try:
            conn = await connecting
        except BaseException as exc:
            self._count_connection(workspace, -1)
            if isinstance(exc, (ConnectionRefused, ConnectionFailed, TimeoutError)):
                pause = CONNECT_PAUSE_S * random.uniform(0.5, 1.5)
                self.no_connect_until = self._now() + pause
                loop = asyncio.get_running_loop()
                loop.call_later(pause, self.slots.connection_free, None)
            if isinstance(exc, ConnectionRefused) and exc.code in (
                outcomes.NO_CONNECTION,
                outcomes.OVERLOADED,
            ):
                self.metrics.count("database.no_connection")
                if exc.code == outcomes.NO_CONNECTION:
                    connection_plan.note_refused(self.share, self._now(), self.total)
                return None
            if isinstance(exc, ConnectionRefused):
                raise Refusal(exc.code, "database refused the connection") from None
            if isinstance(exc, (ConnectionFailed, TimeoutError)):
                self.metrics.count("database.connect_failed")
                self.pacer.note_unreachable()
                self.unreachable_until = self._now() + UNREACHABLE_S
                text = "database out of reach, not run"
                raise Refusal(outcomes.UNREACHABLE, text) from None
            raise
        self.metrics.count("database.connected")
        self.unreachable_until = 0.0
        return PooledConnection(conn, workspace, self._now())

    def _count_connection(self, workspace, change):
        self.total += change
        count = self.by_workspace.get(workspace, 0) + change
        self.by_workspace[workspace] = count
        if change < 0:
            self._notify_released()

    async def _wait_released(self, deadline):
        released = self._released
        retry_at = min(deadline, self._now() + CONNECT_RETRY_S)
        try:
            async with asyncio.timeout_at(retry_at):
                await released.wait()
        except TimeoutError:
            if self._now() >= deadline:
                text = "all connections are in use, not run, retry in 100 ms"
                raise Refusal(outcomes.NO_CONNECTION, text) from None

    def _notify_released(self):
        self._released.set()
        self._released = asyncio.Event()
        self.slots.connection_free(None)

    # Under contention

    def reserve(self, req, waiters, refused_s):
        """Return the Grant of the statement whose turn it is, None if it must wait.

        `waiters` gives the number of each workspace's waiters. `refused_s` is the time
        for which the workspace's turn has found no connection, None if this is new.
        """
        is_starved = (refused_s or 0.0) > connection_plan.MAX_REFUSED_S
        workspace, now = req.workspace, self._now()
        own = [item for item in self.idle if item.workspace == workspace]
        end_connect = None
        if own:
            # Of equals the one used last, so that the others can be closed.
            pooled = min(
                reversed(own),
                key=lambda item: item.state.missing(req.values, req.prepared),
            )
            self.idle.remove(pooled)
            pooled.is_running = True
        else:
            if not is_starved and connection_plan.waits_for_own(
                waiters[workspace],
                self.running[workspace],
                self.slots.admission.duration_s,
            ):
                if refused_s is None:
                    self.metrics.count("connection.waited_own")
                return None
            if not self._reserve_new(workspace, now, waiters, is_starved):
                if refused_s is None:
                    self.metrics.count("connection.waited_any")
                return None
            pooled = None
            if now >= self.unreachable_until:
                end_connect = self.pacer.begin_connect()
        self.running[workspace] += 1
        connection_plan.note_statement(self.demand, workspace, now)
        return Grant(workspace, pooled, end_connect)

    def _reserve_new(self, workspace, now, waiters, is_starved):
        """Count a connection to be opened; return False if none may be opened now."""
        used = self.by_workspace.get(workspace, 0)
        if used >= max(1, self.max_connections - RESERVED_CONNECTIONS):
            return False
        if now < self.unreachable_until:  # `redeem` refuses the statement at once
            self._count_connection(workspace, 1)
            return True
        if now < self.no_connect_until:
            return False
        if not self.pacer.may_connect():
            self._check_when_paced()
            return False
        if self.total >= self.max_connections:
            closed = connection_plan.choose_closed(
                self.demand, now, self.idle, workspace, waiters, is_starved
            )
            if closed is None:
                return False
            self.idle.remove(closed)
            self.discard(closed)
            self.metrics.count("database.evicted_connection")
            if is_starved:
                self.metrics.count("connection.starved")
        self._count_connection(workspace, 1)
        return True

    def _check_when_paced(self):
        """Check the waiters again when the rate of new connections allows one."""
        pause_s = self.pacer.connect_pause_s()
        if not pause_s or self._is_check_scheduled:
            return  # the end of an opening checks them

        def check():
            self._is_check_scheduled = False
            self.slots.connection_free(None)

        self._is_check_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(max(pause_s, MIN_CHECK_S), check)

    def unreserve(self, grant):
        """Take back a Grant that was not used."""
        if grant.end_connect is not None:
            grant.end_connect(None)
        if grant.pooled is not None:
            self.put_back(grant.pooled)
        else:
            self._stop_running(grant.workspace)
            self._count_connection(grant.workspace, -1)

    def is_out_of_reach(self, workspace):
        """Return whether a connection would have to be opened, but can't be now."""
        has_idle = any(item.workspace == workspace for item in self.idle)
        return self._now() < self.unreachable_until and not has_idle

    def is_ready(self, grant):
        """Return whether the connection of a Grant can be used as it is."""
        pooled = grant.pooled
        return pooled is not None and self._is_fresh(pooled)

    async def redeem(self, grant):
        """Return the connection of a Grant, opened if needed, in the caller's slot.

        Returns None if the database accepts no more connections now.
        """
        if grant.pooled is not None:
            with self.discarding_on_error(grant.pooled):
                if await self._is_usable(grant.pooled):
                    return grant.pooled
            # Its place is kept for the connection that is opened instead.
            self.metrics.count("database.stale_connection")
            grant.pooled.close()
        workspace, end_connect = grant.workspace, grant.end_connect
        pooled = None
        try:
            if self.is_closed or self._now() < self.unreachable_until:
                if end_connect is not None:
                    end_connect(None)
                self._count_connection(workspace, -1)
                if self.is_closed:
                    raise Refusal(outcomes.WRONG_DATABASE, CLOSED_TEXT)
                text = "database out of reach, not run"
                raise Refusal(outcomes.UNREACHABLE, text)
            if end_connect is None:  # in place of a connection that was not usable
                if not self.pacer.may_connect():
                    self._count_connection(workspace, -1)
                    return None
                end_connect = self.pacer.begin_connect()
            connecting = self._connect_now(
                workspace, self._now() + CONNECT_TIMEOUT_S, end_connect
            )
            pooled = await self._open(workspace, connecting)
        finally:
            if pooled is None:
                self._stop_running(workspace)
        if pooled is not None:
            pooled.is_running = True
        return pooled

    def keep(self, pooled):
        """Note that a connection isn't released soon: a transaction keeps it."""
        if pooled.is_running:
            pooled.is_running = False
            self._stop_running(pooled.workspace)

    def _stop_running(self, workspace):
        self.running[workspace] -= 1
        if not self.running[workspace]:
            del self.running[workspace]
        self.slots.connection_free(workspace)

    def put_back(self, pooled):
        """Return a connection that is free again to the idle ones."""
        if self.is_closed:
            self.discard(pooled)
            return
        self.keep(pooled)
        pooled.used_at = self._now()
        self.idle.append(pooled)
        self._notify_released()

    def discard(self, pooled):
        """Close a connection that is not among the idle ones."""
        self.keep(pooled)
        pooled.close()
        self._count_connection(pooled.workspace, -1)

    def close(self):
        """Close the idle connections now, and the others as they are put back."""
        self.is_closed = True
        while self.idle:
            self.discard(self.idle.pop())

    def set_contended(self, is_contended):
        """Begin or end the rules for contended connections."""
        if is_contended and not self.slots.is_contended():
            # The next sweep raises this if the instance is the first home.
            allowed = max(self.total, connection_plan.MIN_CONNECTIONS)
            self.share = connection_plan.Share(self.connection_limit, allowed)
            self.max_connections = allowed
            logs.event(
                "connections_contended",
                database=self.database.name,
                limit=self.connection_limit,
                allowed=allowed,
            )
        self.slots.set_contended(is_contended)

    def sweep(self, is_home, max_connections):
        """Apply the number of connections allowed now and close unneeded ones."""
        now = self._now()
        home_idle_s = IDLE_CLOSE_S
        if self.slots.is_contended():
            max_connections = self._contended_limit(now, max_connections)
            home_idle_s = CONTENDED_IDLE_CLOSE_S
        self.max_connections = max_connections
        while self.total > max_connections and self.idle:
            self.discard(self.idle.pop(0))
        max_idle_s = home_idle_s if is_home else STALE_AFTER_S
        for pooled in list(self.idle):
            if now - pooled.used_at > max_idle_s or pooled.conn.is_broken():
                self.idle.remove(pooled)
                self.discard(pooled)

    def _contended_limit(self, now, base):
        """Return how many connections may be held under contention."""
        first = max_connections_for(self.connection_limit, None, False)
        if len(self.demand) > MAX_DEMANDS_PER_CONNECTION * self.connection_limit:
            connection_plan.forget(self.demand, now)
        limit = connection_plan.update(self.share, now, base, base >= first)
        if limit < self.max_connections:
            logs.event(
                "connections_reduced",
                database=self.database.name,
                allowed=limit,
                others=self.share.others,
                open=self.total,
            )
        return limit

    def wants_report(self):
        """Return whether to ask now how many connections the database has."""
        first = max_connections_for(self.connection_limit, None, False)
        now = self._now()
        if not self.slots.is_contended() or not connection_plan.wants_report(
            self.share, now, first, self.total
        ):
            return False
        self.share.asked_at = now
        return True

    def note_status(self, status):
        """Apply the number of connections that the database reports."""
        own = self.total + 1  # the control connection
        connection_plan.note_status(self.share, self._now(), status.connections, own)
