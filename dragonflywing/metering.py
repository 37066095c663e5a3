"""Reads and writes connections within the process's memory and descriptors.

Both protocols use it, callers as well as links and databases. `meter` is the budget of
this process; it has no limit until `Meter.configure` is called. The decisions are in
`decisions/memory_budget.py`.
"""

import asyncio
import contextlib
import ctypes
import os
import socket

from dragonflywing import logs
from dragonflywing.decisions import memory_budget
from dragonflywing.decisions.memory_budget import RECEIVING, SENDING, WAITING
from dragonflywing.deployment import CallerLimits

SWEEP_S = 0.25  # well below the shortest time limit
# While little is held: four sweeps a second took 6% of an instance's processor time.
QUIET_SWEEP_S = 1.0
MAX_QUIET_CONNECTIONS = 256
MAX_QUIET_FRACTION = 0.25  # of the part for what is held without a reservation
LOG_INTERVAL_S = 1.0  # between two log lines for the same reason
# The system's receive buffer of a caller's connection bounds what one read returns.
RECEIVE_BYTES = 16 << 10
BUFFER_BYTES = 16 << 10  # the transport is paused above twice this size
UNSENT_BYTES = 32 << 10  # a writer waits above this size
# What may wait to be sent to another instance: two of the largest frames.
PEER_UNSENT_BYTES = 16 << 20
# glibc returns freed buffers above this size to the system at once. It would raise the
# threshold by itself otherwise: after 400 large writes a process kept 160 MB.
MAPPED_BYTES = 128 << 10
# Smaller ones leave holes in the heap, which are returned this often while the process
# holds more than a part of its room: 400 sessions left 60 MB of them.
TRIM_INTERVAL_S = 1.0
TRIM_FRACTION = 0.2
_M_MMAP_THRESHOLD = -3
ACCEPT_BATCH = 32  # connections accepted before other work gets its turn
ACCEPT_PAUSE_S = 0.05  # after the system has refused to accept one
BACKLOG = 1024


class NoMemory(Exception):
    """No memory became free for a message in time."""


class LineTooLong(ValueError):
    """A line exceeds the protocol's limit."""

    def __init__(self, max_bytes):
        super().__init__(f"line of more than {max_bytes} bytes")


def resident_bytes():
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _trim_heap():
    """Let the C library return free memory to the system, if it is glibc."""
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (AttributeError, OSError):
        pass


def _return_large_buffers():
    """Let the C library return large buffers to the system, if it is glibc."""
    try:
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, MAPPED_BYTES)
    except (AttributeError, OSError):
        pass


class Meter:
    """The budget of a process, those who wait for it, and its connections."""

    def __init__(self):
        self.budget = memory_budget.Budget()
        self.max_descriptors = None
        self.connections = {}  # Metered by its claim
        self._count = lambda name: None
        self._limits = CallerLimits
        self._waiters = []  # (claim, size, future) in order of arrival
        self._logged_at = {}
        self._pressure = None  # set when a connection waits, once `run` has begun
        self._trim_above = None  # resident bytes above which the heap is trimmed
        self._trimmed_at = 0.0

    def configure(self, memory_bytes, max_descriptors, metrics, limits):
        """Set the limits, None for none; `limits()` returns the CallerLimits.

        The memory that the process holds now is what it holds at rest.
        """
        resident = resident_bytes()
        self._trim_above = None
        if memory_bytes is not None:
            _return_large_buffers()
            room = max(0, memory_bytes - resident)
            self._trim_above = resident + int(room * TRIM_FRACTION)
        self.budget = memory_budget.Budget(memory_bytes, resident)
        self.max_descriptors = max_descriptors
        self._count = metrics.count
        self._limits = limits

    def connection_limit(self, fraction):
        """Return how many connections of a kind may be open, None for no limit."""
        return memory_budget.connection_limit(self.max_descriptors, fraction)

    async def reserve(self, claim, size, wait_s=None):
        """Reserve bytes, once others have released them; raise NoMemory if too late.

        `wait_s` is the time limit for an answer to be read if it is None.
        """
        budget = self.budget
        if not self._waiters and memory_budget.fits(budget, claim, size):
            memory_budget.add(budget, claim, size)
            return
        self._count("memory.waited")
        now = asyncio.get_running_loop().time()
        memory_budget.observe(claim, WAITING, claim.message, 0, now)
        fut = asyncio.get_running_loop().create_future()
        waiter = (claim, size, fut)
        self._waiters.append(waiter)
        if self._pressure is not None:
            self._pressure.set()
        self._grant()
        try:
            async with asyncio.timeout(wait_s or self._limits().idle_s):
                await fut
        except TimeoutError:
            self.note("no_memory")
            raise NoMemory from None
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            claim.activity = memory_budget.RUNNING

    def hold(self, claim, size):
        """Reserve bytes for an answer at once; return whether there is room.

        Makes room by closing connections that leave answers unread.
        """
        budget = self.budget
        memory_budget.add(budget, claim, size)
        while memory_budget.is_over(budget):
            victim = memory_budget.choose_unread(self.connections, claim)
            if victim is None:
                memory_budget.add(budget, claim, -size)
                return False
            self._close(victim, "unread_under_pressure")
        return True

    def charge(self, claim, size):
        """Reserve bytes that exist already, even if there is no room."""
        memory_budget.add(self.budget, claim, size)

    def release(self, claim, size):
        """Release reserved bytes."""
        if size:
            memory_budget.add(self.budget, claim, -size)
            self._grant()

    def keep(self, kept, size, is_forced=False):
        """Note how many bytes are kept from now on; return False if they don't fit.

        They are noted in any case if `is_forced`.
        """
        if not is_forced and not memory_budget.may_keep(self.budget, kept, size):
            return False
        is_less = size < kept.size
        memory_budget.keep(self.budget, kept, size)
        if is_less:
            self._grant()
        return True

    def _grant(self):
        for waiter in list(self._waiters):
            claim, size, fut = waiter
            if fut.done() or memory_budget.fits(self.budget, claim, size):
                self._waiters.remove(waiter)
                if not fut.done():
                    memory_budget.add(self.budget, claim, size)
                    fut.set_result(None)

    def forget(self, metered):
        """Release everything that a connection holds; it has ended."""
        self.connections.pop(metered.claim, None)
        metered.clear()
        for claim, _, fut in self._waiters:
            if claim is metered.claim and not fut.done():
                fut.set_exception(NoMemory())
        self.release(metered.claim, metered.claim.held)

    def note(self, reason, **fields):
        """Count a refusal or close, and log it at most once a second."""
        self._count(f"limited.{reason}")
        now = asyncio.get_running_loop().time()
        if now - self._logged_at.get(reason, -LOG_INTERVAL_S) >= LOG_INTERVAL_S:
            self._logged_at[reason] = now
            logs.event(
                "limited", reason=reason, reserved=self.budget.reserved, **fields
            )

    def _close(self, claim, reason):
        metered = self.connections.get(claim)
        if metered is None:
            return
        self.note(reason, workspace=claim.workspace)
        was_sending = claim.activity == SENDING
        self.forget(metered)
        metered.close(reason, was_sending)

    async def run(self):
        """Enforce time limits and make room for those who wait, until cancelled."""
        loop = asyncio.get_running_loop()
        now, last = 0.0, loop.time()
        self._pressure = asyncio.Event()
        while True:
            interval_s = SWEEP_S
            if self._is_quiet():
                interval_s = QUIET_SWEEP_S
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(interval_s):
                        await self._pressure.wait()
            else:
                await asyncio.sleep(interval_s)
            self._pressure.clear()
            # Time for which the process stood still isn't the callers' fault.
            now += min(loop.time() - last, interval_s + SWEEP_S)
            last = loop.time()
            self.sweep(now)
            self._trim(now)

    def _is_quiet(self):
        """Return whether connections hold so little that sweeps may be rare."""
        budget = self.budget
        if self._waiters or budget.reserved > budget.kept:
            return False
        if len(self.connections) > MAX_QUIET_CONNECTIONS:
            return False
        if budget.small_limit is None:
            return True
        small = sum(claim.small for claim in self.connections)
        return small <= MAX_QUIET_FRACTION * budget.small_limit

    def _trim(self, now):
        if self._trim_above is None or now - self._trimmed_at < TRIM_INTERVAL_S:
            return
        self._trimmed_at = now
        if resident_bytes() > self._trim_above:
            _trim_heap()

    def sweep(self, now):
        """Close the connections that are overdue or hold up others; see `run`."""
        limits = self._limits()
        for claim, metered in list(self.connections.items()):
            metered.observe(now)
            if claim.activity in (RECEIVING, SENDING) and metered.is_timed:
                reason = memory_budget.overdue(claim, now, limits)
                if reason:
                    self._close(claim, f"slow_{reason}")
        while self._waiters:
            victim = memory_budget.choose_stalled(self.connections, now)
            if victim is None:
                break
            self._close(victim, "stalled_under_pressure")
        for claim in memory_budget.choose_small(self.budget, self.connections):
            self._close(claim, "buffers_under_pressure")


meter = Meter()


class Metered:
    """One connection's share of the budget.

    `reader` and `writer` are asyncio's streams; `on_close(reason)` may write a last
    error before the connection is closed for its use of the process. Without
    `is_timed` only a lack of memory closes it.
    """

    def __init__(self, reader, writer, on_close=lambda reason: None, is_timed=True):
        self.claim = memory_budget.Claim()
        self.is_timed = is_timed
        self.is_reading = False  # whether it waits for a message
        self.is_busy = False  # whether a statement runs
        self.partial = 0  # bytes of the message that the reader no longer holds
        self._message_held = 0
        self._reader = reader
        self._writer = writer
        self._on_close = on_close
        meter.connections[self.claim] = self

    def observe(self, now):
        """Update the claim from the state of the buffers."""
        claim = self.claim
        unsent = self._writer.transport.get_write_buffer_size()
        received = self.partial + len(self._reader._buffer)
        claim.small = 0 if claim.held else unsent + received
        if claim.activity == WAITING:
            return
        activity, size = memory_budget.RUNNING, 0
        if unsent:
            activity, size = SENDING, unsent
        elif self.is_reading and not self.is_busy:
            # Idle between messages until the first byte has arrived.
            activity = RECEIVING if received else memory_budget.IDLE
            size = received
        memory_budget.observe(claim, activity, claim.message, size, now)

    def clear(self):
        """Drop what was received; the streams may live on until they are collected."""
        self._reader._buffer.clear()

    def set_workspace(self, workspace):
        """Charge what the connection holds to a workspace."""
        memory_budget.set_workspace(meter.budget, self.claim, workspace)

    def begin_message(self):
        """Note that the connection waits for a message."""
        self.is_reading = True
        self.partial = 0
        self._message_held = 0
        self.claim.message += 1

    async def reserve(self, size, wait_s=None):
        """Reserve bytes for the message that arrives, or raise NoMemory."""
        await meter.reserve(self.claim, size, wait_s)
        self._message_held += size

    def end_message(self, size=None):
        """Note that the message is complete; return how many bytes it holds reserved.

        With a size the reservation shrinks to it.
        """
        self.is_reading = False
        self.partial = 0
        held, self._message_held = self._message_held, 0
        if size is not None and held > size:
            self.release(held - size)
            held = size
        return held

    async def read_line(self, end, max_bytes):
        """Return the next line with its end and the bytes that it holds reserved.

        Raises LineTooLong as soon as it is known, and NoMemory.
        """
        self.begin_message()
        try:
            return await self._reader.readuntil(end), 0
        except asyncio.LimitOverrunError as exc:
            data = await self._read_large_line(end, max_bytes, exc.consumed)
            return data, self.end_message(len(data) * memory_budget.MESSAGE_COPIES)
        finally:
            self.is_reading = False

    async def _read_large_line(self, end, max_bytes, consumed):
        async def make_room(size):
            self.partial = size
            if size > memory_budget.SMALL_BYTES and not self._message_held:
                await self.reserve(max_bytes * memory_budget.MESSAGE_COPIES)

        return await read_large_line(self._reader, end, max_bytes, consumed, make_room)

    def release(self, size):
        """Release reserved bytes, unless the connection was closed."""
        if self.claim in meter.connections:
            meter.release(self.claim, size)

    def hold_answer(self, size):
        """Reserve bytes for an answer; return how many, 0 for a small one.

        Connections that leave answers unread are closed for it. Without any, the
        answer is still delivered: it exists already.
        """
        if size <= memory_budget.SMALL_BYTES:
            return 0
        size *= memory_budget.ANSWER_COPIES
        return size if meter.hold(self.claim, size) else 0

    def close(self, reason, is_sending):
        """Close the connection, after an error unless its answers are unread."""
        if not is_sending and not self._writer.is_closing():
            self._on_close(reason)
            self._writer.close()
        else:
            self._writer.transport.abort()


async def read_large_line(reader, end, max_bytes, consumed, make_room):
    """Return the rest of a line that exceeds the reader's limit.

    `consumed` is from asyncio's LimitOverrunError. Awaits `make_room(size)` whenever
    `size` bytes have been received, before it reads on.
    """
    data = bytearray()
    try:
        while True:
            data += await reader.readexactly(consumed)
            if len(data) > max_bytes:
                raise LineTooLong(max_bytes)
            await make_room(len(data))
            try:
                data += await reader.readuntil(end)
            except asyncio.LimitOverrunError as exc:
                consumed = exc.consumed
                continue
            if len(data) - len(end) > max_bytes:
                raise LineTooLong(max_bytes)
            return data
    except BaseException:
        data.clear()  # the exception's traceback keeps it
        raise


async def read_exactly(reader, size):
    """Return `size` bytes; raise IncompleteReadError without those received."""
    try:
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError as exc:
        # Exceptions may live on until they are collected.
        raise asyncio.IncompleteReadError(b"", exc.expected) from None


class CountedProtocol(asyncio.StreamReaderProtocol):
    """A stream's protocol that calls `on_lost` when its connection has ended."""

    on_lost = staticmethod(lambda: None)

    def connection_lost(self, exc):
        """End the streams and report the end of the connection."""
        super().connection_lost(exc)
        on_lost, self.on_lost = self.on_lost, lambda: None
        on_lost()


class Listener:
    """Accepts connections up to a limit.

    `make_protocol()` returns the CountedProtocol of a connection. At the limit
    `evict()` may close another connection and return True; otherwise the new one is
    sent `refusal` and closed. A limit of None is none.
    """

    def __init__(
        self, make_protocol, limit=None, evict=lambda: False, refusal=b"", receive=0
    ):
        self.make_protocol = make_protocol
        self.limit = limit
        self.evict = evict
        self.refusal = refusal
        self.receive = receive  # bytes of the system's buffer, 0 for its default
        self.sockets = []
        self.open_count = 0
        self._evicting = 0
        self._tasks = set()
        self._is_accepting = False

    async def start(self, host, port):
        """Listen on all addresses of a host."""
        loop = asyncio.get_running_loop()
        infos = await loop.getaddrinfo(
            host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
        )
        for family, *_, address in dict.fromkeys(infos):
            sock = socket.socket(family, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if family == socket.AF_INET6:
                sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
            if self.receive:
                # Accepted connections inherit it.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive)
            sock.setblocking(False)
            sock.bind(address)
            sock.listen(BACKLOG)
            self.sockets.append(sock)
        self._resume()

    def _resume(self):
        if not self._is_accepting:
            self._is_accepting = True
            for sock in self.sockets:
                asyncio.get_running_loop().add_reader(sock, self._accept, sock)

    def _pause(self):
        if self._is_accepting:
            self._is_accepting = False
            for sock in self.sockets:
                asyncio.get_running_loop().remove_reader(sock)

    def _accept(self, listening):
        for _ in range(ACCEPT_BATCH):
            is_full = self.limit is not None and self.open_count >= self.limit
            if is_full and (self._evicting or self.evict()):
                # Goes on when that connection has ended.
                self._evicting = 1
                self._pause()
                return
            try:
                sock, _ = listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as exc:  # no descriptors or memory
                meter.note("accept", error=exc.strerror)
                self._pause()
                loop = asyncio.get_running_loop()
                loop.call_later(ACCEPT_PAUSE_S, self._resume)
                return
            if is_full:
                self._refuse(sock)
            else:
                self._open(sock)

    def _refuse(self, sock):
        meter.note("connections")
        try:
            sock.setblocking(False)
            sock.send(self.refusal)
        except OSError:
            pass
        sock.close()

    def _open(self, sock):
        sock.setblocking(False)
        self.open_count += 1
        task = asyncio.ensure_future(self._connect(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, sock):
        protocol = self.make_protocol()
        protocol.on_lost = self._closed
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError:
            sock.close()
            protocol.on_lost()

    def _closed(self):
        self.open_count -= 1
        self._evicting = 0
        if self.sockets:
            self._resume()

    def close(self):
        """Accept no more connections; the open ones are kept."""
        self._pause()
        for sock in self.sockets:
            sock.close()
        self.sockets = []

    async def wait_closed(self):
        """Return at once: closing takes effect immediately."""


async def listen(serve, host, port, buffer_bytes=BUFFER_BYTES, **options):
    """Start a Listener that runs `serve(reader, writer)` for each connection."""

    def make_protocol():
        reader = asyncio.StreamReader(limit=buffer_bytes)
        return CountedProtocol(reader, serve)

    listener = Listener(make_protocol, **options)
    await listener.start(host, port)
    return listener
