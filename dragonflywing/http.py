"""A small HTTP/1.1 client and server on h11 and asyncio's streams.

The platform's program uses them instead of aiohttp, whose import takes longer than
all the rest of a start.
"""

import asyncio
import json
from typing import NamedTuple
from urllib.parse import urlencode

import h11

from dragonflywing import metering, responses, streams, supervisor
from dragonflywing.decisions import memory_budget

READ_BYTES = 65536
MAX_IDLE_CONNECTIONS = 4
SERVER_IDLE_S = 30.0  # how long a client may keep a connection without a request


class HttpError(Exception):
    """A call got no complete answer; it may have been executed if `sent` is set."""

    def __init__(self, message, sent):
        super().__init__(message)
        self.sent = sent


class AnswerTooLarge(HttpError):
    """The answer exceeds a limit."""


class Response(NamedTuple):
    """The status, body and headers of an answer; names of headers are lower case."""

    status: int
    body: bytes | bytearray
    headers: dict = {}


class Timeouts(NamedTuple):
    """Limits for one call: in all, and for each wait for bytes of the answer."""

    total_s: float
    silent_s: float


class _Connection:
    """A connection of the client and the state of the protocol on it."""

    def __init__(self, stream):
        self.stream = stream
        self.protocol = h11.Connection(our_role=h11.CLIENT)

    def send(self, method, target, headers, body, left_s=None):
        """Write a request; with `left_s`, as HttpClient.call describes."""
        events = [h11.Request(method=method, target=target, headers=headers)]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        data = b"".join(self.protocol.send(event) for event in events)
        if left_s is None:
            self.stream.write(data)
            return
        self.stream.limit_delivery(left_s())
        # Nothing may come between the check and the write.
        if left_s() <= 0:
            raise HttpError("too late to send it", False)
        self.stream.write_now(data)

    async def receive(self, silent_s, body):
        """Return the Response to the request that was sent, read into a Body."""
        status, headers = 0, {}
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(silent_s):
                    data = await self.stream.reader.read(READ_BYTES)
                self.protocol.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.Data):
                body.add(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return Response(status, body.data, headers)
            elif not isinstance(event, h11.InformationalResponse):
                raise ConnectionResetError("closed before the end of an answer")

    def start_next(self):
        """Prepare for the next request; return whether there may be one."""
        if self.protocol.our_state is not h11.DONE:
            return False
        if self.protocol.their_state is not h11.DONE:
            return False
        self.protocol.start_next_cycle()
        return self.stream.is_usable()


class HttpClient:
    """Calls to one server, over connections that are kept open between calls."""

    def __init__(
        self,
        host,
        port,
        max_idle=MAX_IDLE_CONNECTIONS,
        max_bytes=responses.MAX_BYTES,
    ):
        self.host = host
        self.port = port
        self.max_idle = max_idle
        self.max_bytes = max_bytes  # of an answer's body
        self._idle = []

    async def call(
        self, method, path, timeouts, query=None, body=None, headers=(), left_s=None
    ):
        """Return the Response to a call, or raise HttpError.

        `left_s()` returns for how many more seconds the request may be delivered. It
        is asked last thing before the request is written, as opening the connection
        may have taken long. Such calls need a client that keeps no connections.
        """
        target = f"{path}?{urlencode(query)}" if query else path
        data = b"" if body is None else json.dumps(body).encode()
        all_headers = [("Host", f"{self.host}:{self.port}"), *headers]
        if body is not None:
            all_headers += [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(data))),
            ]
        sent = False
        try:
            async with asyncio.timeout(timeouts.total_s):
                conn = self._take_idle()
                if conn is not None and method == "GET":
                    try:
                        return await self._run(
                            conn, method, target, all_headers, data, timeouts
                        )
                    except TimeoutError:
                        raise
                    except (OSError, h11.ProtocolError):
                        # The server may have closed the idle connection just now.
                        conn = None
                if conn is None:
                    conn = await self._open(timeouts.silent_s)
                sent = True
                return await self._run(
                    conn, method, target, all_headers, data, timeouts, left_s
                )
        except TimeoutError:
            # Other connections may have gone silent too.
            self.close()
            raise HttpError("TimeoutError", sent) from None
        except responses.ResponseTooLarge as exc:
            raise AnswerTooLarge(str(exc), True) from None
        except (OSError, h11.ProtocolError) as exc:
            raise HttpError(type(exc).__name__, sent) from None

    async def _run(self, conn, method, target, headers, data, timeouts, left_s=None):
        """Make a call on a connection; keep the connection if it can be used again."""
        with conn.stream.call():
            conn.send(method, target, headers, data, left_s)
            with responses.Body(self.max_bytes) as answer:
                resp = await conn.receive(timeouts.silent_s, answer)
        if conn.start_next() and len(self._idle) < self.max_idle:
            self._idle.append(conn)
        else:
            conn.stream.drop()
        return resp

    def _take_idle(self):
        while self._idle:
            conn = self._idle.pop()
            if conn.stream.is_usable():
                return conn
            conn.stream.drop()
        return None

    async def _open(self, timeout_s):
        async with asyncio.timeout(timeout_s):
            return _Connection(await streams.connect(self.host, self.port))

    def close(self):
        """Close the connections that no call uses."""
        idle, self._idle = self._idle, []
        for conn in idle:
            conn.stream.drop()


async def serve(host, port, path, handle, metrics):
    """Answer GET requests for one path with (status, body) of `handle()`."""

    open_writers = {}  # oldest first

    def evict():
        writer = next(iter(open_writers), None)
        if writer is None:
            return False
        del open_writers[writer]
        metering.meter.note("silent_connection")
        writer.transport.abort()
        return True

    async def answer(reader, writer):
        open_writers[writer] = None
        protocol = h11.Connection(our_role=h11.SERVER)
        try:
            async with asyncio.timeout(SERVER_IDLE_S) as idle:
                while await _answer_one(protocol, reader, writer, path, handle):
                    idle.reschedule(asyncio.get_running_loop().time() + SERVER_IDLE_S)
        except (TimeoutError, OSError, h11.ProtocolError):
            pass
        except Exception as exc:
            supervisor.note_failure("http", exc, metrics)
        finally:
            open_writers.pop(writer, None)
            writer.close()

    limit = metering.meter.connection_limit(memory_budget.PROBES_FRACTION)
    return await metering.listen(
        answer, host, port, READ_BYTES, limit=limit, evict=evict
    )


async def _answer_one(protocol, reader, writer, path, handle):
    """Answer one request; return whether the connection stays open."""
    request = None
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage):
            break
        elif isinstance(event, h11.ConnectionClosed):
            return False
    status, body = 404, b""
    if request.target.split(b"?")[0] == path.encode():
        status, body = handle()
    headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
    events = [h11.Response(status_code=status, headers=headers), h11.Data(data=body)]
    events.append(h11.EndOfMessage())
    if writer.is_closing():
        return False
    writer.write(b"".join(protocol.send(event) for event in events))
    if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
        return False
    protocol.start_next_cycle()
    return True
