"""Connections between entry instances that multiplex calls.

A frame holds the length of its body, a call number, a kind and the body. The
body of a call is an Envelope in Thrift's binary protocol, that of an answer is
whatever the call returns.
"""

import asyncio
import contextlib
import itertools
import os
import struct

import thriftpy2
from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from dragonflywing import logs, metering, streams
from dragonflywing.decisions import memory_budget

idl = thriftpy2.load(
    os.path.join(os.path.dirname(__file__), "link.thrift"), module_name="link_thrift"
)

HEADER = struct.Struct(">IQB")
CALL, ANSWER, CANCEL, FAILURE = range(4)
MAX_FRAME_BYTES = 8 << 20  # a configuration of 1 MB and a full list of databases
CONNECT_TIMEOUT_S = 0.5  # some round trips between the farthest data centres
# A connection on which calls stay unanswered, and nothing else arrives, for this long
# is replaced, as it may have gone silent while new ones work.
SILENT_AFTER_S = 1.0
# How long a large frame may wait for memory, as others wait behind it.
MEMORY_WAIT_S = 1.0
LINK_BUFFER_BYTES = 64 << 10  # links carry many small frames at once
_FACTORY = TCyBinaryProtocolFactory()


class LinkLost(Exception):
    """A call got no answer or failed; it may have run if `sent` is set."""

    def __init__(self, message, sent=False):
        super().__init__(message)
        self.sent = sent


class FrameTooLarge(Exception):
    """A call or an answer exceeds what the other end accepts."""


def pack(message):
    """Return a Thrift struct as bytes."""
    return serialize(message, _FACTORY)


def unpack(struct_type, data):
    """Return a Thrift struct from bytes."""
    return deserialize(struct_type(), data, _FACTORY)


def _frame(number, kind, body):
    if len(body) > MAX_FRAME_BYTES:
        raise FrameTooLarge(f"{len(body)} bytes")
    return HEADER.pack(len(body), number, kind) + body


async def _read_frame(reader, metered):
    """Return a frame's number, kind and body, and the bytes reserved for it.

    The body is None if there was no memory for it in time.
    """
    if metered.is_reading:
        metered.claim.message += 1
    else:
        metered.begin_message()
    header = await reader.readexactly(HEADER.size)
    size, number, kind = HEADER.unpack(header)
    if size <= memory_budget.SMALL_BYTES:  # nearly all
        return number, kind, await reader.readexactly(size), 0
    if size > MAX_FRAME_BYTES:
        raise ConnectionError(f"frame of {size} bytes is too large")
    try:
        await metered.reserve(size * memory_budget.FRAME_COPIES, MEMORY_WAIT_S)
    except metering.NoMemory:
        await _discard(reader, size, metered)
        metered.end_message()
        return number, kind, None, 0
    body = await metering.read_exactly(reader, size)
    return number, kind, body, metered.end_message()


async def _discard(reader, size, metered):
    while size:
        data = await reader.readexactly(min(size, metering.BUFFER_BYTES))
        size -= len(data)
        metered.partial += len(data)


_CONNECTION_ERRORS = (OSError, EOFError, asyncio.IncompleteReadError)


class Link:
    """Calls to one other instance."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self._call_numbers = itertools.count(1)
        self._pending = {}
        self._stream = None
        self._received_at = 0.0
        self._silent_since = None  # when a call was sent after which nothing arrived
        self._read_task = None
        self._open_task = None

    def _now(self):
        return asyncio.get_running_loop().time()

    async def _open(self):
        stream = await asyncio.wait_for(
            streams.connect(self.host, self.port), CONNECT_TIMEOUT_S
        )
        self._stream = stream
        self._silent_since = None
        self._read_task = asyncio.create_task(self._read(stream))

    async def _ensure_open(self):
        if self._stream is not None:
            if self._stream.is_usable():
                return
            self._drop(self._stream)
        if self._open_task is None:
            self._open_task = asyncio.create_task(self._open())
        open_task = self._open_task
        try:
            await asyncio.shield(open_task)
        except (TimeoutError, OSError) as exc:
            raise LinkLost(f"{self.host}: {type(exc).__name__}") from None
        except asyncio.CancelledError:
            if open_task.cancelled():
                raise LinkLost(f"{self.host}: closed while opening") from None
            raise
        finally:
            if open_task.done() and self._open_task is open_task:
                self._open_task = None

    async def _read(self, stream):
        metered = stream.meter()
        try:
            while True:
                number, kind, body, held = await _read_frame(stream.reader, metered)
                metered.release(held)
                self._received_at, self._silent_since = self._now(), None
                fut = self._pending.pop(number, None)
                if fut is None or fut.done():
                    continue
                if body is None:
                    fut.set_exception(LinkLost(f"{self.host}: no memory", True))
                elif kind == ANSWER:
                    fut.set_result(body)
                else:
                    fut.set_exception(LinkLost(body.decode(errors="replace"), True))
        except _CONNECTION_ERRORS:
            pass
        finally:
            metering.meter.forget(metered)
            self._drop(stream)

    def _drop(self, stream):
        stream.drop()
        if self._stream is stream:
            self._stream = None
            pending, self._pending = self._pending, {}
            for fut in pending.values():
                if not fut.done():
                    fut.set_exception(LinkLost(f"{self.host}: connection lost", True))

    def _write(self, frame):
        try:
            if self._stream is None:
                raise ConnectionResetError
            if self._stream.unsent_bytes() > metering.PEER_UNSENT_BYTES:
                metering.meter.note("peer_unread", host=self.host)
                self._drop(self._stream)
                raise ConnectionResetError
            self._stream.write(frame)
        except OSError:
            raise LinkLost(f"{self.host}: connection lost") from None

    def _note_unanswered(self, sent_at):
        """Note a call without an answer; drop a connection that has gone silent."""
        if self._stream is None or self._received_at >= sent_at:
            return
        if self._silent_since is None:
            self._silent_since = sent_at
        if self._now() - self._silent_since >= SILENT_AFTER_S:
            logs.event("link_silent", host=self.host, port=self.port)
            self._drop(self._stream)

    async def call(self, name, body, timeout_s):
        """Send a call and return the answer's bytes, or raise LinkLost."""
        deadline = self._now() + timeout_s
        sent_at = None
        try:
            async with asyncio.timeout_at(deadline):
                await self._ensure_open()
                number = next(self._call_numbers)
                envelope = pack(idl.Envelope(name=name, body=body))
                try:
                    frame = _frame(number, CALL, envelope)
                except FrameTooLarge as exc:
                    raise LinkLost(f"{self.host}: {exc}") from None
                self._write(frame)
                sent_at = self._now()
                fut = asyncio.get_running_loop().create_future()
                self._pending[number] = fut
                try:
                    return await fut
                except asyncio.CancelledError:
                    self._pending.pop(number, None)
                    with contextlib.suppress(LinkLost):
                        self._write(_frame(number, CANCEL, b""))
                    raise
        except TimeoutError:
            if sent_at is not None:
                self._note_unanswered(sent_at)
            raise LinkLost(
                f"{self.host}: no answer to {name}", sent_at is not None
            ) from None

    def close(self):
        """Close the connection; pending calls fail at once."""
        if self._open_task is not None:
            self._open_task.cancel()
        if self._stream is not None:
            self._drop(self._stream)
        if self._read_task is not None:
            self._read_task.cancel()


class LinkServer:
    """Answers calls of other instances.

    `handle(name, body, origin)` returns an answer's bytes; `origin` identifies
    the connection, and `on_closed(origin)` is called when it ends.
    """

    def __init__(self, handle, on_closed, metrics):
        self.handle = handle
        self.on_closed = on_closed
        self.metrics = metrics
        self._server = None
        self._writers = set()
        self._silent = {}  # writers of connections without a frame, oldest first

    async def start(self, host, port):
        """Listen for other instances."""
        limit = metering.meter.connection_limit(memory_budget.INSTANCES_FRACTION)
        self._server = await metering.listen(
            self._serve, host, port, LINK_BUFFER_BYTES, limit=limit, evict=self._evict
        )

    def _evict(self):
        """Close the oldest connection that has sent no frame, if there is one."""
        writer = next(iter(self._silent), None)
        if writer is None:
            return False
        del self._silent[writer]
        metering.meter.note("silent_connection")
        writer.transport.abort()
        return True

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._silent[writer] = None
        metered = metering.Metered(reader, writer, is_timed=False)
        origin = object()
        running = {}
        try:
            streams.detect_silence(writer)
            while True:
                number, kind, body, held = await _read_frame(reader, metered)
                self._silent.pop(writer, None)
                if kind == CANCEL:
                    if number in running:
                        running[number].cancel()
                    continue
                if body is None:
                    self._write(writer, _frame(number, FAILURE, b"NoMemory"))
                    continue
                envelope = unpack(idl.Envelope, body)
                del body
                task = asyncio.create_task(
                    self._answer(writer, number, envelope, origin)
                )
                running[number] = task

                def end(_, number=number, held=held):
                    running.pop(number, None)
                    metered.release(held)

                task.add_done_callback(end)
        except _CONNECTION_ERRORS:
            pass
        except Exception as exc:
            # thriftpy2 raises errors of many types for bytes that are no message.
            self.metrics.count("link.malformed_frame")
            logs.warn("link_malformed_frame", error=repr(exc)[:200])
        finally:
            for task in list(running.values()):
                task.cancel()
            self.on_closed(origin)
            metering.meter.forget(metered)
            self._writers.discard(writer)
            self._silent.pop(writer, None)
            writer.close()

    async def _answer(self, writer, number, envelope, origin):
        body = envelope.body
        body = body if isinstance(body, bytes) else body.encode()
        try:
            answer = await self.handle(envelope.name, body, origin)
            frame = _frame(number, ANSWER, answer)
        except Exception as exc:
            self.metrics.count("link.handler_failed")
            logs.warn("link_handler_failed", call=envelope.name, error=repr(exc)[:200])
            frame = _frame(number, FAILURE, type(exc).__name__.encode())
        self._write(writer, frame)

    def _write(self, writer, frame):
        if writer.is_closing():
            return
        if writer.transport.get_write_buffer_size() > metering.PEER_UNSENT_BYTES:
            metering.meter.note("peer_unread")
            writer.transport.abort()
            return
        writer.write(frame)

    def close(self):
        """Stop listening and close all connections."""
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.close()
