"""Server for callers that use the platform's line protocol."""

import asyncio
import re

from dragonflywing import logs, outcomes, sessions, supervisor
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


class CallerLeft(Exception):
    """The caller closed its connection before its answer."""


class CallerServer:
    """Accepts callers' connections; each has one session."""

    def __init__(self, node):
        self.node = node
        self.connections = set()
        self._server = None

    async def start(self, host, port):
        """Start accepting connections."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=lines.MAX_LINE_BYTES, backlog=1024
        )

    def stop_listening(self):
        """Accept no more connections; the open ones are kept."""
        self._server.close()

    async def _serve(self, reader, writer):
        conn = CallerConnection(self.node, reader, writer)
        self.connections.add(conn)
        try:
            await conn.run()
        except CallerLeft:
            self.node.metrics.count("caller.left")
        except (TimeoutError, OSError, EOFError):
            pass
        except (lines.MalformedLine, ValueError, asyncio.LimitOverrunError) as exc:
            self.node.metrics.count("refused.malformed_line")
            logs.event("malformed_line", error=str(exc)[:100])
            if not writer.is_closing():
                writer.write(lines.encode("ERROR", "MALFORMED", "malformed line"))
        except Exception as exc:
            supervisor.note_failure("caller", exc, self.node.metrics)
        finally:
            self.connections.discard(conn)
            conn.close()


class CallerConnection:
    """One caller's connection and its session."""

    def __init__(self, node, reader, writer):
        self.node = node
        self.reader = reader
        self.writer = writer
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

    async def _read_line(self):
        return lines.decode(await self.reader.readuntil(lines.LINE_END))

    async def run(self):
        """Serve the caller until it disconnects."""
        async with asyncio.timeout(STARTUP_TIMEOUT_S):
            route_name, key = lines.parse_startup(await self._read_line())
        await self.node.wait_started()
        session = sessions.Session(self.node, route_name, key)
        code = session.check_access()
        if code:
            self.node.metrics.count(f"refused.startup.{code}")
            logs.event(
                "startup_refused",
                route=route_name,
                code=code,
                version=self.node.directory.version(),
                age_s=self.node.directory.confirmation_age(),
            )
            self._write(lines.encode("ERROR", CODES[code], "startup refused"))
            return
        self.session = session
        self._write(lines.encode("READY", lines.IDLE, "-"))
        try:
            await self._serve_statements()
        finally:
            session.roll_back()

    def _write(self, data):
        if self.writer.is_closing():
            raise CallerLeft
        self.writer.write(data)

    async def _serve_statements(self):
        self._next_line = asyncio.ensure_future(self._read_line())
        try:
            while True:
                query = lines.parse_query(await self._next_line)
                if query is None:
                    return
                op = decode_operation(query)
                task = asyncio.ensure_future(self.session.handle(op))
                self._answering = True
                self._next_line = asyncio.ensure_future(self._read_line())
                if not await self._answer(task, self._next_line):
                    return
        finally:
            self._next_line.cancel()

    async def _answer(self, task, next_line):
        """Answer a statement; return False if the caller disconnects before its end."""
        started_at = self.node.now()
        await asyncio.wait({task, next_line}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done() and next_line.done() and next_line.exception() is not None:
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
        self._write(encode_reply(reply))
        self._answering = False
        await self.writer.drain()
        return True

    def close(self):
        """Close the connection."""
        self.writer.close()
