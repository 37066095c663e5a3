"""Crowds of misbehaving clients, and what a process holds meanwhile."""

import asyncio
import contextlib
import itertools
import os
import socket
import struct
import time

import asyncmy
from asyncmy import errors as driver_errors

from dragonflywing import links
from dragonflywing.platform import lines

HOLD_S = 4.0  # how long a crowd stays after its last client has connected
SAMPLE_S = 0.05
RECEIVE_BYTES = 4096  # a client's receive buffer, so that answers stay unread


STARTUP = lines.encode("STARTUP", "orders", "key-press")
LARGE = b"x" * 1_000_000  # a permitted message together with the words before it
WRITE = b"QUERY w WRITE large " + LARGE + lines.LINE_END
READ_LARGE = lines.encode("QUERY", "r", "READ large")
FRAME = links.HEADER.pack(7 << 20, 1, links.CALL) + b"x" * (7 << 20)


class Usage:
    """The most memory (MB) and descriptors that a process held."""

    def __init__(self, pid):
        self.pid = pid
        self.descriptors = 0

    def sample(self):
        """Count the open descriptors."""
        count = len(os.listdir(f"/proc/{self.pid}/fd"))
        self.descriptors = max(self.descriptors, count)

    def memory_mb(self, field="VmHWM"):
        """Return the highest (VmHWM) or present (VmRSS) resident memory in MB."""
        with open(f"/proc/{self.pid}/status", encoding="ascii") as file:
            line = next(line for line in file if line.startswith(field))
        return int(line.split()[1]) / 1024


async def open_unread(port):
    """Return a (reader, writer) of a connection whose answers stay unread."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=RECEIVE_BYTES)
    writer.transport.pause_reading()
    return reader, writer


async def _run_client(start, behave):
    # The other end may refuse the client or close its connection at any time.
    refusals = (OSError, EOFError, RuntimeError, driver_errors.MySQLError)
    with contextlib.suppress(*refusals):
        reader, writer = await start()
        try:
            await behave(reader, writer)
            await asyncio.sleep(HOLD_S)
        finally:
            writer.transport.abort()


async def run_crowd(pid, clients, start, behave):
    """Run clients that misbehave at the same time; return the process's Usage."""
    usage = Usage(pid)
    tasks = [asyncio.create_task(_run_client(start, behave)) for _ in range(clients)]
    end = asyncio.get_running_loop().time() + 3 * HOLD_S
    while asyncio.get_running_loop().time() < end:
        if all(task.done() for task in tasks):
            break
        usage.sample()
        await asyncio.sleep(SAMPLE_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return usage


# What the clients of the platform's line protocol do


async def send(writer, data):
    writer.write(data)
    await writer.drain()


async def send_unfinished(reader, writer):
    await send(writer, STARTUP + WRITE[:-2])


async def send_small_pieces(reader, writer):
    await send(writer, STARTUP)
    for start in range(0, len(WRITE) - 2, 3000):
        await send(writer, WRITE[start : min(start + 3000, len(WRITE) - 2)])
        await asyncio.sleep(0)


async def send_slowly(reader, writer):
    await send(writer, STARTUP + WRITE[:900_000])
    for _ in range(20):
        await send(writer, b"x")
        await asyncio.sleep(0.2)


async def send_too_large(reader, writer):
    await send(writer, STARTUP + b"QUERY w WRITE large " + LARGE * 4)


async def leave_write_unread(reader, writer):
    await send(writer, STARTUP + WRITE)


async def leave_reads_unread(reader, writer):
    await send(writer, STARTUP + WRITE + READ_LARGE * 40)


async def read_slowly(reader, writer):
    await send(writer, STARTUP + WRITE + READ_LARGE * 40)
    for _ in range(20):
        writer.transport.resume_reading()
        await reader.read(100)
        writer.transport.pause_reading()
        await asyncio.sleep(0.2)


async def pipeline_small(reader, writer):
    await send(writer, STARTUP + lines.encode("QUERY", "r", "READ small") * 100_000)


async def keep_values(reader, writer):
    await send(writer, STARTUP)
    for number in range(20):
        await send(writer, b"QUERY s SET v%d " % number + LARGE + lines.LINE_END)
        await send(writer, lines.encode("QUERY", "r", "READ small"))


async def keep_prepared(reader, writer):
    await send(writer, STARTUP)
    for number in range(20):
        name = b"p%d" % number
        definition = b" READ " + LARGE + name + lines.LINE_END
        await send(writer, b"QUERY s PREPARE " + name + definition)
        await send(writer, b"QUERY r EXECUTE " + name + b" small" + lines.LINE_END)


async def send_long_key(reader, writer):
    await send(writer, b"STARTUP orders " + LARGE + lines.LINE_END)


async def send_frame(reader, writer):
    await send(writer, FRAME[:-1])


async def send_nothing(reader, writer):
    pass


async def open_session(reader, writer):
    await send(writer, STARTUP)


async def send_startup_slowly(reader, writer):
    for position in range(len(STARTUP)):
        await send(writer, STARTUP[position : position + 1])
        await asyncio.sleep(1)


# What the clients of the MySQL protocol do, after they have logged in unless said
# otherwise. LARGE and the table are those of `prepare_mysql`.

MYSQL_TABLE = "crowd"
MYSQL_WRITE = (
    f"REPLACE INTO {MYSQL_TABLE} (id, large) VALUES (1, '%s')" % LARGE.decode()
)
MYSQL_READ = f"SELECT large FROM {MYSQL_TABLE}"
MYSQL_PACKET_BYTES = 4_000_000  # under the default of max_statement_bytes


def mysql_packet(body, number=0):
    """Return a packet; its header holds the size and the packet's number."""
    return struct.pack("<I", len(body) | number << 24) + body


def mysql_query(sql):
    """Return the packet of a statement."""
    return mysql_packet(b"\x03" + sql.encode())


class MysqlWriter:
    """Writes to the connection of a session; its answers stay unread."""

    def __init__(self, conn):
        self.transport = conn._transport
        self._conn = conn  # which would close the connection when it is collected
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self.transport.pause_reading()

    def write(self, data):
        """Write bytes."""
        self.transport.write(data)

    async def drain(self):
        """Wait until the connection takes more."""
        await self._conn._proto.drain()


async def _connect_mysql(port, user, password):
    return await asyncmy.connect(
        host="127.0.0.1",
        port=port,
        user=user,
        password=password,
        db=user,
        autocommit=True,
    )


async def open_mysql(port, user, password):
    """Return (None, MysqlWriter) of a session."""
    return None, MysqlWriter(await _connect_mysql(port, user, password))


async def _run_mysql(port, user, password, *statements):
    """Run statements on a connection; return the rows of the last one."""
    conn = await _connect_mysql(port, user, password)
    try:
        for sql in statements:
            await conn.query(sql)
        return conn._result.rows
    finally:
        conn.close()


async def prepare_mysql(port, user, password):
    """Create the table and the row that the clients read."""
    columns = "(id INT PRIMARY KEY, large TEXT)"
    create = f"CREATE TABLE IF NOT EXISTS {MYSQL_TABLE} {columns}"
    await _run_mysql(port, user, password, create, MYSQL_WRITE)


async def send_unfinished_handshake(reader, writer):
    body = b"x" * MYSQL_PACKET_BYTES
    await send(writer, mysql_packet(body, 1)[:-1])


async def send_unfinished_query(reader, writer):
    await send(writer, mysql_query("x" * MYSQL_PACKET_BYTES)[:-1])


async def send_query_in_small_pieces(reader, writer):
    packet = mysql_query(MYSQL_WRITE)[:-1]
    for start in range(0, len(packet), 3000):
        await send(writer, packet[start : start + 3000])
        await asyncio.sleep(0)


async def send_too_large_query(reader, writer):
    await send(writer, mysql_query("x" * (MYSQL_PACKET_BYTES + (1 << 20))))


async def leave_mysql_write_unread(reader, writer):
    await send(writer, mysql_query(MYSQL_WRITE))


async def leave_mysql_reads_unread(reader, writer):
    await send(writer, mysql_query(MYSQL_WRITE) + mysql_query(MYSQL_READ) * 40)


async def pipeline_small_queries(reader, writer):
    await send(writer, mysql_query("SELECT 1") * 20_000)


async def keep_mysql_statements(reader, writer):
    for number in range(20):
        sql = f"SELECT '{number}{LARGE.decode()}'"
        await send(writer, mysql_packet(b"\x16" + sql.encode()))


async def keep_mysql_parameters(reader, writer):
    for number in range(20):  # statements are numbered from 0
        await send(writer, mysql_packet(b"\x16SELECT ?"))
        header = struct.pack("<BIH", 0x18, number, 0)
        await send(writer, mysql_packet(header + LARGE))


KINDS = {
    "unfinished": send_unfinished,
    "small_pieces": send_small_pieces,
    "slow": send_slowly,
    "too_large": send_too_large,
    "write_unread": leave_write_unread,
    "reads_unread": leave_reads_unread,
    "read_slowly": read_slowly,
    "pipeline_small": pipeline_small,
    "values": keep_values,
    "prepared": keep_prepared,
    "long_key": send_long_key,
    "nothing": send_nothing,
    "sessions": open_session,
    "startup_slowly": send_startup_slowly,
}
MYSQL_KINDS = {
    "unfinished": send_unfinished_query,
    "small_pieces": send_query_in_small_pieces,
    "too_large": send_too_large_query,
    "write_unread": leave_mysql_write_unread,
    "reads_unread": leave_mysql_reads_unread,
    "pipeline_small": pipeline_small_queries,
    "prepared": keep_mysql_statements,
    "parameters": keep_mysql_parameters,
    "sessions": send_nothing,
}
# These don't log in.
MYSQL_HANDSHAKES = {
    "handshake_unfinished": send_unfinished_handshake,
    "nothing": send_nothing,
}
# For the port for other instances.
INSTANCE_KINDS = {"frame": send_frame}
MIXED = "mixed"  # all kinds of a protocol in turn


async def run_kind(kind, port, pid, clients):
    """Run a crowd against the port of a dfw-platform process; return its Usage."""
    kinds = KINDS.values() if kind == MIXED else [(KINDS | INSTANCE_KINDS)[kind]]
    turns = itertools.cycle(kinds)

    async def behave(reader, writer):
        await next(turns)(reader, writer)

    return await run_crowd(pid, clients, lambda: open_unread(port), behave)


async def run_mysql_kind(kind, port, pid, clients, user, password):
    """Run a crowd against the port of a dfw-entry process; return its Usage."""
    await prepare_mysql(port, user, password)
    kinds = [*MYSQL_KINDS.values(), *MYSQL_HANDSHAKES.values()]
    if kind != MIXED:
        kinds = [(MYSQL_KINDS | MYSQL_HANDSHAKES)[kind]]
    turns = itertools.cycle(kinds)
    chosen = {}

    async def start():
        behave = next(turns)
        if behave in MYSQL_KINDS.values() and kind not in MYSQL_HANDSHAKES:
            reader, writer = await open_mysql(port, user, password)
        else:
            reader, writer = await open_unread(port)
        chosen[writer] = behave
        return reader, writer

    async def behave(reader, writer):
        await chosen[writer](reader, writer)

    return await run_crowd(pid, clients, start, behave)


async def read_ordinary(port):
    """Run an ordinary read of the line protocol; return whether it was answered."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2 << 20)
    try:
        writer.write(STARTUP + lines.encode("QUERY", f"{time.time()}", "READ ordinary"))
        ready = await reader.readuntil(lines.LINE_END)
        answer = await reader.readuntil(lines.LINE_END)
        return ready.startswith(b"READY") and not answer.startswith(b"ERROR")
    finally:
        writer.close()


async def read_mysql(port, user, password):
    """Run an ordinary read of the MySQL protocol; return whether it was answered."""
    sql = f"SELECT id FROM {MYSQL_TABLE}"
    return len(await _run_mysql(port, user, password, sql)) == 1


async def wait_served(read, timeout_s):
    """Return the attempts until `read()` was answered, 0 if none was in time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            for attempt in itertools.count(1):
                with contextlib.suppress(OSError, EOFError, driver_errors.MySQLError):
                    if await read():
                        return attempt
                await asyncio.sleep(0.2)
    return 0
