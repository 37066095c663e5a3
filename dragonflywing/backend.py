"""Connections from this instance to one database."""

import asyncio
import itertools
import socket

import asyncmy
from asyncmy import errors as driver_errors

from dragonflywing import errors, logs, metering
from dragonflywing.decisions import admission, evacuation, memory_budget, routing
from dragonflywing.decisions.positions import Position, Status
from dragonflywing.errors import DatabaseError, DfwError, Verdict
from dragonflywing.wire import Column, Result, rows_size

# Range of the error numbers that the driver raises itself.
DRIVER_ERRNO_MIN = 2000
DRIVER_ERRNO_MAX = 2999
GONE_AWAY_ERRNO = 2006
LOST_ERRNO = 2013
READ_ONLY_ERRNO = 1290
TOO_MANY_CONNECTIONS_ERRNO = 1040
ROLE_CHANGED_ERRNO = 1180
SQLSTATES = {
    1022: "23000",
    1040: "08004",
    1046: "3D000",
    1048: "23000",
    1050: "42S01",
    1054: "42S22",
    1062: "23000",
    1064: "42000",
    1146: "42S02",
    1213: "40001",
    1451: "23000",
    1452: "23000",
}
EXPIRY_INTERVAL_S = 0.05
STATUS_SQL = "SELECT dfw_status()"
# The driver reads as much as the system has received, into a buffer that it doubles
# and keeps: 34 connections with results of 8 MB held 185 MB.
RECEIVE_BYTES = 64 << 10  # of the system's buffer, if the memory is limited
HEADER_BYTES = 4  # of a packet: its size and number
# Rows are counted only if more arrive than this, as counting takes 2% of a statement.
UNCOUNTED_BYTES = 2 << 10
# Of a large row while it arrives: the driver's buffer with its spare half and the one
# before it, the bytes and the text.
ROW_COPIES = 5
ROW_WAIT_S = 2.0  # for memory for a large row
IDLE_BUFFER_BYTES = 16 << 10  # of the driver's buffer between statements
# Admission queue of control statements when the only connection is shared.
CONTROL_QUEUE = ""


async def _reserve_row(raw, claim):
    """Reserve bytes for the next row if it is large; wait for them without reading.

    The driver reads a whole row, into a buffer that it doubles, before it returns.
    """
    protocol, transport = raw._proto, raw._transport
    if transport is None:  # closed meanwhile
        raise driver_errors.OperationalError(LOST_ERRNO, "connection closed")
    if protocol.length - protocol.pos < HEADER_BYTES:
        await raw._fill_buffer(HEADER_BYTES)
    start = protocol.pos
    size = int.from_bytes(protocol.buffer[start : start + 3], "little")
    is_complete = protocol.length - start >= HEADER_BYTES + size
    if is_complete or size <= memory_budget.SMALL_BYTES:
        return
    transport.pause_reading()
    try:
        more = size * ROW_COPIES
        await metering.meter.reserve(claim, more, ROW_WAIT_S)
    finally:
        if not transport.is_closing():
            transport.resume_reading()


async def _read_rows(raw):
    """Return the rows of the driver's result, None if there is no room for them.

    They are read to the end in any case, so that the connection stays in step. Raises
    NoMemory if there is no room for a single row.
    """
    answer, meter = raw._result, metering.meter
    claim, arriving = memory_budget.Claim(), memory_budget.Claim()
    rows, counted, size, is_dropped = [], 0, 0, False
    try:
        while answer.unbuffered_active:
            await _reserve_row(raw, arriving)
            is_small = raw._proto.length - raw._proto.pos <= UNCOUNTED_BYTES
            row = await answer._read_rowdata_packet_unbuffered()
            if row is None:
                break
            if arriving.held:
                meter.release(arriving, arriving.held)
            is_first = not rows
            rows += [row, *answer._take_pending_rows()]
            if is_first and is_small and not size:
                continue
            size += rows_size(rows[counted:])
            if size > memory_budget.SMALL_BYTES and not is_dropped:
                more = size * memory_budget.ANSWER_COPIES - claim.held
                is_dropped = not meter.hold(claim, more)
            if is_dropped:
                rows.clear()
            counted = len(rows)
    finally:
        meter.release(claim, claim.held)
        meter.release(arriving, arriving.held)
    if is_dropped:
        meter.note("answer_too_large", bytes=size)
    return None if is_dropped else tuple(rows)


class BackendConnection:
    """A database connection with its selected schema and transaction state."""

    def __init__(self, raw):
        self.raw = raw
        self.schema = None
        self.in_transaction = False
        self.lock = asyncio.Lock()
        self.broken = False

    def limit_receive_buffer(self):
        """Bound what the system receives ahead, if the memory is limited."""
        transport = self.raw._transport
        sock = transport and transport.get_extra_info("socket")
        if sock is not None and metering.meter.budget.limit is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)

    def _shrink_buffer(self):
        protocol = self.raw._proto
        if protocol is None:  # closed meanwhile
            return
        is_empty = protocol.pos == protocol.length
        if is_empty and len(protocol.buffer) > IDLE_BUFFER_BYTES:
            protocol.buffer = bytearray(IDLE_BUFFER_BYTES)
            protocol.pos = protocol.length = 0

    async def query(self, sql):
        """Run a statement and return its Result.

        Any failure except an error from the database closes the connection. A result
        without room in the memory budget is replaced by a DatabaseError.
        """
        rows = ()  # None if there is no room for them
        async with self.lock:
            try:
                # Otherwise the driver would read all rows, whatever their size.
                await self.raw.query(sql, unbuffered=True)
                answer = self.raw._result
                if answer.description is not None:
                    rows = await _read_rows(self.raw)
            except driver_errors.MySQLError as exc:
                if not isinstance(translate_error(exc, sent=True), DatabaseError):
                    self.close()
                raise
            except metering.NoMemory:
                self.close()
                raise errors.no_memory_for_result() from None
            except BaseException:
                self.close()
                raise
            self._shrink_buffer()
        if rows is None:
            raise errors.no_memory_for_result()
        if answer.description is None:
            info = answer.message or b""
            return Result(
                affected_rows=answer.affected_rows,
                last_insert_id=answer.insert_id,
                info=info,
            )
        columns = tuple(Column(item[0], item[1]) for item in answer.description)
        return Result(columns, rows)

    async def select_schema(self, schema):
        """Select `schema` as the default schema of the connection."""
        if schema != self.schema:
            await self.raw.select_db(schema)
            self.schema = schema

    def close(self):
        """Close the socket immediately."""
        self.broken = True
        self.raw.close()


def parse_status(name, result):
    """Return the Status from the result of a control statement."""
    row = [int(value) for value in result.rows[0]]
    return Status(
        database=name,
        primary=bool(row[0]),
        term=row[1],
        received=Position(row[2], row[3]),
        applied=Position(row[4], row[5]),
        leaving=bool(row[6]),
        busy=row[7],
    )


def parse_position(info):
    """Return the position in the info of a commit's result, or None."""
    kind, _, text = info.decode("ascii", "replace").partition(" ")
    if kind != "dfw":
        return None
    term, index = text.split(".")
    return Position(int(term), int(index))


def translate_error(exc, sent):
    """Return the DfwError for an exception of the driver.

    `sent` says whether the statement may have reached the database.
    """
    if isinstance(exc, driver_errors.MySQLError) and exc.args:
        errno = exc.args[0] if isinstance(exc.args[0], int) else 0
        message = str(exc.args[1]) if len(exc.args) > 1 else str(exc)
        if errno in (READ_ONLY_ERRNO, ROLE_CHANGED_ERRNO):
            return DfwError(errors.NO_PRIMARY, message)
        if errno == TOO_MANY_CONNECTIONS_ERRNO:
            return DfwError(errors.NO_DATABASE, message)
        if errno == GONE_AWAY_ERRNO:
            # The connection was closed before the driver sent anything.
            return DfwError(errors.CONNECTION_LOST, message)
        if errno and not DRIVER_ERRNO_MIN <= errno <= DRIVER_ERRNO_MAX:
            return DatabaseError(errno, SQLSTATES.get(errno, "HY000"), message)
    verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
    code = errors.CONNECTION_LOST if sent else errors.NO_DATABASE
    return DfwError(code, f"{type(exc).__name__}: {exc}", verdict)


class Backend:
    """Admission queue, connections, status and latency of one database."""

    def __init__(self, name, spec, connection_limit, cfg, metrics):
        self.name = name
        self.spec = spec
        self.cfg = cfg
        self.metrics = metrics
        self.shares_connection = connection_limit < 2
        self.admission = admission.AdmissionState(max(1, connection_limit - 1))
        self.status = None
        self.status_at = float("-inf")
        self.latency_s = None
        self.outstanding = 0
        self.leaving = spec.leaving
        self.is_evacuated = False
        self.time_left = lambda: evacuation.UNLIMITED
        self._idle = []
        self._open_conns = set()
        self._waiters = {}
        self._ids = itertools.count(1)
        self._has_queue = asyncio.Event()
        self._control = None
        self._control_lock = asyncio.Lock()

    def _now(self):
        return asyncio.get_running_loop().time()

    def candidate(self):
        """Return this database as a routing candidate."""
        latency = (
            routing.DEFAULT_LATENCY_S if self.latency_s is None else self.latency_s
        )
        return routing.Candidate(
            name=self.name,
            position=self.status.applied if self.status else Position(0, 0),
            leaving=self.is_leaving(),
            reachable=self.status is not None,
            outstanding=self.outstanding,
            latency_s=latency,
        )

    def is_leaving(self):
        """Return whether the database is leaving and gets no new work."""
        is_reported = self.status is not None and self.status.leaving
        return self.leaving or self.is_evacuated or is_reported

    def note_status(self, status):
        """Store a status unless one with a later term or position is known."""
        known = self.status
        if known and (known.term, known.applied) > (status.term, status.applied):
            return
        self.status = status
        self.status_at = self._now()

    def forget_status(self):
        """Discard the status after a connection failure."""
        self.status = None

    async def _connect(self):
        address = self.cfg.addresses.get(self.name, self.spec.address)
        host, port = address.rsplit(":", 1)
        raw = await asyncmy.connect(
            host=host,
            port=int(port),
            user=self.cfg.database.user,
            password=self.cfg.database.password,
            connect_timeout=self.cfg.times.connect_s,
            autocommit=None,
            conv={},
        )
        conn = BackendConnection(raw)
        conn.limit_receive_buffer()
        status = parse_status(self.name, await conn.query(STATUS_SQL))
        # A higher known position is from an earlier run of the database and obsolete.
        if self.status and status.applied < self.status.applied:
            self.status = None
        self.note_status(status)
        return conn

    async def _open(self, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                conn = await self._connect()
        except (OSError, TimeoutError, driver_errors.MySQLError, RuntimeError) as exc:
            self.forget_status()
            self.metrics.count("backend.connect_failed")
            raise translate_error(exc, sent=False) from None
        self._open_conns = {item for item in self._open_conns if not item.broken}
        self._open_conns.add(conn)
        return conn

    async def acquire(self, workspace, deadline):
        """Wait for admission and return a connection for the workspace."""
        if workspace != CONTROL_QUEUE:
            self._check_time_left(self.time_left().to_accept_s)
        now = self._now()
        waiter = next(self._ids)
        fut = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = fut
        messages = admission.enqueue(self.admission, now, waiter, workspace, deadline)
        if messages is None:
            del self._waiters[waiter]
            raise DfwError(errors.OVERLOADED, f"queue for database {self.name} is full")
        self._deliver(messages)
        self._has_queue.set()
        self.outstanding += 1
        try:
            admitted = await fut
        except asyncio.CancelledError:
            self.outstanding -= 1
            if self._waiters.pop(waiter, None) is not None:
                admission.cancel(self.admission, waiter)
            elif not fut.cancelled() and fut.result():
                self._deliver(admission.release(self.admission, self._now()))
            raise
        if not admitted:
            self.outstanding -= 1
            raise DfwError(errors.DEADLINE, f"no turn at database {self.name} in time")
        return await self._connection_for(workspace, deadline)

    async def _connection_for(self, workspace, deadline):
        conn = None
        try:
            conn = self._pick_idle(workspace)
            if conn is None:
                conn = await self._open(max(0.001, deadline - self._now()))
            if workspace != CONTROL_QUEUE:
                async with asyncio.timeout_at(deadline):
                    await conn.select_schema(workspace)
            return conn
        except BaseException as exc:
            if conn:
                conn.close()
                self.forget_status()
            self._release_slot()
            if isinstance(exc, (DfwError, asyncio.CancelledError)):
                raise
            raise translate_error(exc, sent=False) from None

    def _pick_idle(self, workspace):
        self._idle = [conn for conn in self._idle if not conn.broken]
        for conn in self._idle:
            if conn.schema == workspace:
                self._idle.remove(conn)
                return conn
        return self._idle.pop() if self._idle else None

    def _deliver(self, messages):
        for message in messages:
            fut = self._waiters.pop(message.waiter, None)
            if fut and not fut.done():
                fut.set_result(isinstance(message, admission.Start))
            elif isinstance(message, admission.Start):
                self._deliver(admission.release(self.admission, self._now()))

    def _release_slot(self):
        self.outstanding -= 1
        self._deliver(admission.release(self.admission, self._now()))

    def release(self, conn, reusable):
        """Return a connection to the pool, or close it if it isn't reusable."""
        if reusable and not conn.in_transaction and not conn.broken:
            self._idle.append(conn)
        else:
            conn.close()
        self._release_slot()

    def _check_time_left(self, left_s):
        if left_s <= 0:
            text = f"the data centre of database {self.name} is evacuated"
            raise DfwError(errors.NO_PRIMARY, text)

    async def run_on(self, conn, sql, deadline):
        """Run a caller's statement on an acquired connection until the deadline."""
        left = self.time_left()
        self._check_time_left(left.to_send_s)
        deadline = min(deadline, self._now() + left.to_end_s)
        return await self._query_on(conn, sql, deadline)

    async def _query_on(self, conn, sql, deadline):
        started_at = self._now()
        if conn.broken:
            raise DfwError(errors.CONNECTION_LOST, f"lost connection to {self.name}")
        try:
            async with asyncio.timeout_at(deadline):
                result = await conn.query(sql)
        except TimeoutError:
            raise DfwError(
                errors.DEADLINE,
                f"database {self.name} did not answer in time",
                Verdict.MAY_HAVE_RUN,
            ) from None
        except (OSError, driver_errors.MySQLError, RuntimeError, ValueError) as exc:
            failure = translate_error(exc, sent=True)
            if not isinstance(failure, DatabaseError):
                self.forget_status()
            raise failure from None
        self.latency_s = routing.average_latency(
            self.latency_s, self._now() - started_at
        )
        return result

    async def run(self, workspace, sql, deadline):
        """Run one statement outside a transaction."""
        conn = await self.acquire(workspace, deadline)
        reusable = False
        try:
            is_control = workspace == CONTROL_QUEUE
            run_on = self._query_on if is_control else self.run_on
            result = await run_on(conn, sql, deadline)
            reusable = True
            return result
        except DatabaseError:
            reusable = True
            raise
        finally:
            self.release(conn, reusable)

    async def query_status(self, timeout_s):
        """Query and return the database's Status, or None on failure."""
        return await self.control(STATUS_SQL, timeout_s)

    async def control(self, sql, timeout_s):
        """Run a control statement and return the Status, or None on failure."""
        try:
            async with asyncio.timeout(timeout_s):
                if self.shares_connection:
                    result = await self._control_shared(sql, timeout_s)
                else:
                    result = await self._control_own(sql, timeout_s)
        except (TimeoutError, DfwError):
            self.metrics.count("backend.control_failed")
            return None
        status = parse_status(self.name, result)
        self.note_status(status)
        return status

    async def _control_shared(self, sql, timeout_s):
        for conn in self._open_conns:
            if not conn.broken:
                # Control statements read no data, so they don't affect a transaction
                # on the only connection.
                return await self._query_on(conn, sql, self._now() + timeout_s)
        return await self.run(CONTROL_QUEUE, sql, self._now() + timeout_s)

    async def _control_own(self, sql, timeout_s):
        async with self._control_lock:
            if self._control is None or self._control.broken:
                self._control = await self._open(timeout_s)
            try:
                return await self._control.query(sql)
            except (OSError, driver_errors.MySQLError, RuntimeError, ValueError) as exc:
                self.forget_status()
                raise translate_error(exc, sent=True) from None
            except asyncio.CancelledError:
                self.forget_status()
                raise

    async def expire(self):
        """Reject queued requests past their deadline, until cancelled."""
        while True:
            if not self.admission.queues:
                self._has_queue.clear()
                await self._has_queue.wait()
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._deliver(admission.expire(self.admission, self._now()))

    def close_idle(self):
        """Close the connections that no statement or transaction uses."""
        while self._idle:
            self._idle.pop().close()

    def close(self):
        """Close all connections."""
        for conn in [*self._idle, *self._open_conns]:
            conn.close()
        self._idle = []
        logs.event("backend_closed", database=self.name)
