"""Server for callers that use the platform's line protocol."""

import asyncio
import re

from dragonflywing import logs, metering, outcomes, sessions, supervisor
from dragonflywing.decisions import memory_budget
from dragonflywing.outcomes import Refusal
from dragonflywing.platform import lines
from dragonflywing.platform.databases import OUTCOMES

STARTUP_TIMEOUT_S = 3.0  # from connecting to the end of the STARTUP line
# The error code sent for each outcome.
CODES = {outcome: code for code, outcome in OUTCOMES.items()}
CODES[outcomes.UNREACHABLE] = "BUSY"
READY_STATES = {
    sessions.IDLE: lines.IDLE,
    sessions.IN_TRANSACTION: lines.IN_TRANSACTION,
    sessions.FAILED: lines.FAILED,
}
OPERATION_KINDS = {
    "COMMIT": "commit",
    "ROLLBACK": "rollback",
    "READ": "read",
    "WRITE": "write",
    "SET": "set",
    "PREPARE": "prepare",
    "EXECUTE": "execute",
    "CLOSE": "close",
}
_PREPARED_DEFINITION = re.compile(r"(READ|WRITE) .+")


def decode_operation(query):
    """Return the Operation that a Query requests, of kind "unknown" if invalid."""
    kind = OPERATION_KINDS.get(query.verb, "unknown")
    name, _, value = query.rest.partition(" ")
    if query.verb == "BEGIN":
        kind = {"": "begin", "READ": "begin_read"}.get(query.rest, "unknown")
    elif kind in ("read", "write", "set", "prepare", "execute", "close") and not name:
        kind = "unknown"
    elif kind == "prepare" and not _PREPARED_DEFINITION.fullmatch(value):
        kind = "unknown"
    return sessions.Operation(kind, query.statement_id, query.text, name, value)


def encode_reply(reply):
    """Return a Reply as bytes of the line protocol."""
    encoded = [lines.encode("DATAROW", row) for row in reply.rows]
    if reply.code:
        encoded = [lines.encode("ERROR", CODES[reply.code], reply.text or "-")]
    else:
        encoded.append(lines.encode("COMPLETE", reply.text))
    position = lines.encode_position(reply.position)
    encoded.append(lines.encode("READY", READY_STATES[reply.state], position))
    return b"".join(encoded)


def _busy(text):
    return lines.encode("ERROR", "BUSY", text)


class CallerLeft(Exception):
    """The caller closed its connection before its answer."""


class CallerServer:
    """Accepts callers' connections; each has one session."""

    def __init__(self, node):
        self.node = node
        self.connections = set()
        # Connections that have sent no statement yet, oldest first.
        self._silent = {}
        self._server = None

    async def start(self, host, port):
        """Start accepting connections."""
        meter = metering.meter
        self._server = await metering.listen(
            self._serve,
            host,
            port,
            limit=meter.connection_limit(memory_budget.CALLERS_FRACTION),
            evict=self._evict,
            refusal=_busy("too many connections, not run"),
            receive=metering.RECEIVE_BYTES,
        )

    def _evict(self):
        """Close the oldest connection that has sent no statement, if there is one."""
        conn = next(iter(self._silent), None)
        if conn is None:
            return False
        del self._silent[conn]
        metering.meter.note("silent_connection")
        conn.refuse("too many connections")
        conn.close()
        return True

    def note_statement(self, conn):
        """Note that a connection has sent a statement."""
        self._silent.pop(conn, None)

    def stop_listening(self):
        """Accept no more connections; the open ones are kept."""
        self._server.close()

    async def _serve(self, reader, writer):
        conn = CallerConnection(self.node, reader, writer, self.note_statement)
        self.connections.add(conn)
        self._silent[conn] = None
        try:
            await conn.run()
        except CallerLeft:
            self.node.metrics.count("caller.left")
        except (TimeoutError, OSError, EOFError):
            pass
        except metering.NoMemory:
            conn.refuse("no memory for the message, not run, retry in 300 ms")
        except (lines.MalformedLine, ValueError) as exc:
            self.node.metrics.count("refused.malformed_line")
            logs.event("malformed_line", error=str(exc)[:100])
            is_long = isinstance(exc, metering.LineTooLong)
            conn.refuse(str(exc) if is_long else "malformed line", "MALFORMED")
        except Exception as exc:
            supervisor.note_failure("caller", exc, self.node.metrics)
        finally:
            self.connections.discard(conn)
            self._silent.pop(conn, None)
            conn.close()


class CallerConnection:
    """One caller's connection and its session."""

    def __init__(self, node, reader, writer, on_statement=lambda conn: None):
        self.node = node
        self.writer = writer
        self.metered = metering.Metered(reader, writer, self._refuse_slow)
        self._on_statement = on_statement
        writer.transport.set_write_buffer_limits(high=metering.UNSENT_BYTES)
        self.session = None
        self._next_line = None
        self._answering = False

    def is_idle(self):
        """Return whether closing the connection would interrupt no work."""
        session, line = self.session, self._next_line
        if session is None or line is None:
            return False
        # A complete line holds a statement that is about to start.
        busy = self._answering or line.done()
        return not busy and session.state() == sessions.IDLE

    def refuse(self, text, code="BUSY"):
        """Write an error, unless the connection is closing."""
        if not self.writer.is_closing():
            self.writer.write(lines.encode("ERROR", code, text))

    def _refuse_slow(self, reason):
        self.refuse(f"closed: {reason.replace('_', ' ')}, not run, retry in 300 ms")

    async def _read_line(self):
        """Return the next line's text, and the bytes that are reserved for it."""
        data, held = await self.metered.read_line(lines.LINE_END, lines.MAX_LINE_BYTES)
        return lines.decode(data), held

    async def run(self):
        """Serve the caller until it disconnects."""
        async with asyncio.timeout(STARTUP_TIMEOUT_S):
            line, held = await self._read_line()
        route_name, key = lines.parse_startup(line)
        await self.node.wait_started()
        try:
            session = sessions.Session(self.node, route_name, key)
        except Refusal as exc:
            self.refuse(exc.text)
            return
        finally:
            self.metered.release(held)
        try:
            if self._begin(session):
                await self._serve_statements()
        finally:
            session.close()

    def _begin(self, session):
        """Answer the start of a session; return whether it was accepted."""
        code = session.check_access()
        if code:
            self.node.metrics.count(f"refused.startup.{code}")
            logs.event(
                "startup_refused",
                route=session.route_name,
                code=code,
                version=self.node.directory.version(),
                age_s=self.node.directory.confirmation_age(),
            )
            self._write(lines.encode("ERROR", CODES[code], "startup refused"))
            return False
        self.session = session
        self.metered.set_workspace(session.workspace)
        self._write(lines.encode("READY", lines.IDLE, "-"))
        return True

    def _write(self, data):
        if self.writer.is_closing():
            raise CallerLeft
        self.writer.write(data)

    async def _serve_statements(self):
        self._next_line = asyncio.ensure_future(self._read_line())
        try:
            line, held = await self._next_line
            self._on_statement(self)
            while True:
                query = lines.parse_query(line)
                if query is None:
                    return
                task = asyncio.ensure_future(
                    self.session.handle(decode_operation(query))
                )
                # A large statement isn't kept while its answer is unread.
                del line, query
                self._answering = self.metered.is_busy = True
                self._next_line = asyncio.ensure_future(self._read_line())
                if not await self._wait_answer(task, self._next_line):
                    return
                held += self._send_answer(task)
                del task
                await self.writer.drain()
                self.metered.release(held)
                line, held = await self._next_line
        finally:
            self._next_line.cancel()
            self._next_line = None

    async def _wait_answer(self, task, next_line):
        """Wait for an answer; return False if the caller disconnects before it."""
        started_at = self.node.now()
        await asyncio.wait({task, next_line}, return_when=asyncio.FIRST_COMPLETED)
        lost = next_line.done() and isinstance(
            next_line.exception(), (EOFError, OSError)
        )
        if lost and not task.done():
            task.cancel()
            self.node.metrics.count("caller.left")
            await asyncio.wait({task})
            return False
        reply = await task
        self.node.metrics.time(
            "statement",
            self.node.now() - started_at,
            self.session.freshness(),
            reply.code or "ok",
        )
        return True

    def _send_answer(self, task):
        """Write the answer of a finished task; return the bytes reserved for it."""
        reply = task.result()
        held = self.metered.hold_answer(sum(map(len, reply.rows)))
        self._write(encode_reply(reply))
        self._answering = self.metered.is_busy = False
        return held

    def close(self):
        """Close the connection."""
        metering.meter.forget(self.metered)
        self.writer.close()
