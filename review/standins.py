"""Stand-ins for the platform, databases and callers of the review's scripts.

They use the standard library only. Each runs in the process of a case's script;
the entry instances run as processes of their own, with the command of the deploy
file. Every address is a loopback address.
"""

import asyncio
import base64
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
DATA_CENTRES = ("duluth-a", "buffalo-a", "sault-a")
SERVICE = "spine-db"
TENANT, KEY = "press", "key-press"
# Bounds of the site hblw-spines.
BOUNDS = {
    "contact_ms": 5000,
    "drain_ms": 7000,
    "grace_s": 6,
    "config_apply_ms": 3000,
    "revoke_ms": 5000,
    "fail_closed": True,
    "quota_window_s": 5,
    "recovery_s": 12,
}
HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
MAX_LINE_BYTES = 1 << 20


class Record:
    """The case's record: what was sent, answered and run, with times."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def write(self, kind, **fields):
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.3f} {kind} {text}\n")

    def close(self):
        """Close the file."""
        self._file.close()


# Ports below those that the system gives out; runs at the same time start apart.
_ports = itertools.count(16000 + os.getpid() % 400 * 40)


def free_port():
    """Return a port that is free now."""
    while True:
        port = 16000 + (next(_ports) - 16000) % 16000
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
            return port


def reset(writer):
    """Close a connection by a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def local_ports(process):
    """Return the local ports of a process's TCP connections."""
    folder, inodes = f"/proc/{process.pid}/fd", set()
    for name in os.listdir(folder):
        try:
            inodes.add(os.readlink(os.path.join(folder, name)))
        except OSError:
            pass  # it was closed meanwhile
    ports = set()
    with open(f"/proc/{process.pid}/net/tcp", encoding="ascii") as file:
        for line in list(file)[1:]:
            fields = line.split()
            if f"socket:[{fields[9]}]" in inodes:
                ports.add(int(fields[1].rpartition(":")[2], 16))
    return ports


# A proxy that acts as the network


class Proxy:
    """Forwards connections to a target; delays, holds or resets them.

    While it is cut, bytes are held, as by a partition. They are delivered when it
    heals, unless their sender has reset the connection meanwhile. A connection that
    is opened during a cut stays dark for good.
    """

    def __init__(self, target, delay_s=0.0):
        self.target = target
        self.delay_s = delay_s
        self.is_cut = False
        self.pairs = []
        self.silent = set()  # the writers whose connections are silent for good
        self.healed = asyncio.Event()
        self.healed.set()
        self.port = free_port()
        self._server = None

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def cut(self):
        """Hold all bytes from now on."""
        self.is_cut = True
        self.healed.clear()

    def heal(self):
        """Deliver what was held."""
        self.is_cut = False
        self.healed.set()

    def silence(self):
        """Let the open connections go silent for good; new ones work."""
        for pair in self.pairs:
            self.silent.update(pair)

    def reset(self, rng, fraction, ports):
        """Reset a fraction of the connections from these ports; return how many."""
        chosen = [
            pair
            for pair in self.pairs
            if pair[0].get_extra_info("peername")[1] in ports
            and rng.random() < fraction
        ]
        for pair in chosen:
            for writer in pair:
                reset(writer)
        return len(chosen)

    async def _serve(self, reader, writer):
        if self.is_cut:
            await self.healed.wait()
            reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            reset(writer)
            return
        pair = (writer, far_writer)
        self.pairs.append(pair)
        try:
            await asyncio.gather(
                self._forward(reader, far_writer), self._forward(far_reader, writer)
            )
        except OSError:
            for item in pair:
                reset(item)
        finally:
            self.pairs.remove(pair)
            self.silent.difference_update(pair)
            for item in pair:
                item.close()

    async def _forward(self, reader, writer):
        loop = asyncio.get_running_loop()
        chunks = asyncio.Queue()

        async def deliver():
            while True:
                at, data = await chunks.get()
                await asyncio.sleep(max(0.0, at - loop.time()))
                await self.healed.wait()
                if writer in self.silent:
                    continue
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()

        task = asyncio.create_task(deliver())
        try:
            at = 0.0
            while True:
                data = await reader.read(65536)  # raises an error after a reset
                at = max(at, loop.time() + self.delay_s)
                chunks.put_nowait((at, data))
                if not data:
                    break
            await task
        finally:
            task.cancel()


# HTTP


async def _read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rows = head.decode().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


async def serve_http(port, handle):
    """Answer requests with (status, document) of `handle(method, path, ...)`."""

    async def serve(reader, writer):
        try:
            while True:
                method, target, headers, body = await _read_request(reader)
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                document = json.loads(body) if body else {}
                status, answer = await handle(
                    method, parts.path, query, headers, document
                )
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, HOST, port)


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.port = free_port()
        self.revision = 10
        self.items = {}
        self.leases = {}
        self.history = []
        self._lease_ids = itertools.count(1000)
        self._changed = asyncio.Event()

    async def start(self):
        """Listen, and end leases that run out."""
        await serve_http(self.port, self._handle)
        asyncio.get_running_loop().create_task(self._expire())

    def _note(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key, document, lease=0):
        """Write a JSON document under a key."""
        self._put(key, base64.b64encode(json.dumps(document).encode()).decode(), lease)

    def _put(self, key, value, lease):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "create_revision": old["create_revision"] if old else self.revision,
            "lease": lease,
        }
        self._note(self.items[key])

    def delete(self, key):
        """Delete a key."""
        if self.items.pop(key, None):
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "tombstone": True})

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [k for k, (_, end) in self.leases.items() if end <= now]:
                self._end_lease(lease)

    async def _handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            answer = dict(item or {}, current_rev=self.revision)
            return (200 if item else 404), answer
        if path == "/-/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self.items[key] for key in keys[:500]],
                "has_more": len(keys) > 500,
                "current_rev": self.revision,
            }
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-txn":
            return self._txn(body)
        if path == "/-/kv-lease":
            lease, ttl_s = next(self._lease_ids), body["ttl_ms"] / 1000
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        name, _, lease = path[3:].partition("/")
        lease = int(lease)
        if name == "kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        if lease not in self.leases:
            return 404, {}
        ttl_s, _ = self.leases[lease]
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"ttl_ms": int(ttl_s * 1000)}

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = end - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                pass

    def _txn(self, body):
        absent = {"revision": 0}
        rows = body["expect"]
        if any(
            self.items.get(row["key"], absent)["revision"] != row["revision"]
            for row in rows
        ):
            current = [
                self.items.get(row["key"], {"key": row["key"], "revision": 0})
                for row in rows
            ]
            return 412, {"items": current}
        puts = body.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


class Cloud:
    """The platform's promotion service, which does not check fences.

    `orders` holds (time, holder, token, database) of each order, as it arrives.
    """

    def __init__(self, group, record):
        self.port = free_port()
        self.group = group
        self.record = record
        self.is_down = False
        self.orders = []

    async def start(self):
        """Listen."""
        await serve_http(self.port, self._handle)

    async def _handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        if self.is_down:
            return 503, {}
        holder, token = headers["x-lease-holder"], int(headers["x-fencing-token"])
        self.orders.append((self.record.now(), holder, token, body["id"]))
        status = self.group.promote(body["id"])
        self.record.write(
            "order", holder=holder, token=token, database=body["id"], status=status
        )
        return status, {}


# Databases


def position_text(log):
    """Return the position of a log's end, as the line protocol writes it."""
    return f"{log[-1][0]}.{len(log)}" if log else "0.0"


def parse_position(text):
    """Return a position as a pair that can be compared."""
    term, _, number = text.partition(".")
    return int(term), int(number)


class Group:
    """The databases of one service.

    `acknowledged` holds (time, entry) of each acknowledged commit; an entry is
    (term, statement id, item, data).
    """

    def __init__(self, record, promote_s=0.3):
        self.record = record
        self.promote_s = promote_s
        self.databases = {}
        self.acknowledged = []

    def primary(self):
        """Return the primary of the latest term."""
        primaries = [x for x in self.databases.values() if x.is_primary and x.is_up]
        return max(primaries, key=lambda x: x.term, default=None)

    def promote(self, name):
        """Order a promotion; return the HTTP status."""
        database = self.databases.get(name)
        if database is None or not database.is_up:
            return 409
        if database is self.primary():
            return 200
        loop = asyncio.get_running_loop()
        loop.call_later(self.promote_s, self._take_effect, database)
        return 200

    def _take_effect(self, database):
        if not database.is_up or database is self.primary():
            return
        term = max(item.term for item in self.databases.values()) + 1
        database.is_primary, database.term, database.paused = True, term, 0
        self.record.write("promoted", database=database.name, term=term)
        for item in self.databases.values():
            if item is not database and item.is_up:
                item.follow(database)


class Database:
    """One database: the line protocol, slots, a log and its replication."""

    def __init__(self, group, name, is_primary, slots=2, max_conns=16):
        self.group = group
        self.record = group.record
        self.name = name
        self.is_primary = is_primary
        self.is_up = True
        self.is_deaf = False  # it receives nothing from the primary
        self.term = 1
        self.paused = 0
        self.log = []
        self.applied = 0
        self.lag_s = 0.008
        self.work_s = 0.004
        self.status_s = 0.001
        self.max_conns = max_conns
        self.slots = asyncio.Semaphore(slots)
        self.busy = 0
        self.port = free_port()
        self.writers = set()
        self.runs = []  # (time, statement id, log's length, entries applied)
        self._server = None
        self._received = asyncio.Event()
        group.databases[name] = self

    async def start(self):
        """Accept connections, and receive from the primary."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=MAX_LINE_BYTES + 64
        )
        asyncio.get_running_loop().create_task(self._catch_up())

    # Replication

    def follow(self, primary):
        """Become a replica of a primary; what it lacks is rolled back."""
        common = 0
        for ours, theirs in zip(self.log, primary.log, strict=False):
            if ours != theirs:
                break
            common += 1
        del self.log[common:]
        self.applied = min(self.applied, common)
        self.is_primary, self.term, self.paused = False, primary.term, 0

    async def _catch_up(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.002)
            primary = self.group.primary()
            if primary is None or primary is self or not self.is_up:
                continue
            if self.is_deaf or self.paused or self.is_primary:
                continue
            if self.term < primary.term:
                self.follow(primary)
            if len(self.log) < len(primary.log):
                self.log += primary.log[len(self.log) :]
                primary.note_received()
                loop.call_later(self.lag_s, self._apply, len(self.log))

    def _apply(self, length):
        self.applied = max(self.applied, min(length, len(self.log)))

    def note_received(self):
        """Wake the commits that wait for a replica."""
        self._received.set()
        self._received = asyncio.Event()

    async def _commit(self, writes):
        """Append writes; return whether a replica has received them in time."""
        for statement_id, item, data in writes:
            self.log.append((self.term, statement_id, item, data))
        length, entry = len(self.log), self.log[-1]
        self.applied = length
        end = time.monotonic() + 3.0
        while time.monotonic() < end and self.is_primary and self.is_up:
            received = self._received
            for item in self.group.databases.values():
                if item is self or len(item.log) < length:
                    continue
                if item.log[length - 1] == entry:
                    return True
            try:
                await asyncio.wait_for(received.wait(), 0.1)
            except TimeoutError:
                pass
        return False

    # Faults

    def crash(self):
        """End the process; its connections are closed."""
        self.is_up = False
        self._server.close()
        for writer in list(self.writers):
            writer.close()

    async def restart(self):
        """Come back with the log, as a replica if another one was promoted."""
        self.paused = 0
        self.slots = asyncio.Semaphore(2)
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=MAX_LINE_BYTES + 64
        )
        self.is_up = True
        primary = self.group.primary()
        if primary is not None and primary is not self and primary.term > self.term:
            self.follow(primary)

    # The line protocol

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        session = _Session(self, writer)
        try:
            line = (await reader.readuntil(b"\r\n")).decode()[:-2]
            word, service, who, *expected = line.split(" ")
            if word != "STARTUP" or service != SERVICE:
                writer.write(b"ERROR WRONGNODE -\r\n")
                return
            if expected and expected[0] != self.name:
                writer.write(f"ERROR WRONGNODE {self.name}\r\n".encode())
                return
            if len(self.writers) > self.max_conns:
                writer.write(b"ERROR CONNLIMIT -\r\n")
                return
            session.who = who
            async with self.slots:
                await asyncio.sleep(0.012)
            session.ready()
            while True:
                line = (await reader.readuntil(b"\r\n")).decode()[:-2]
                if line == "TERMINATE":
                    return
                _, statement_id, text = line.split(" ", 2)
                await session.run(statement_id, text)
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def status_row(self):
        """Return the row that STATUS and its like answer."""
        role = "primary" if self.is_primary else "replica"
        return (
            f"{role} {self.term} {position_text(self.log)} {self.paused} 0 "
            f"{self.busy} {len(self.writers)}"
        )


class _Session:
    """One connection to a database."""

    def __init__(self, database, writer):
        self.database = database
        self.writer = writer
        self.who = ""
        self.state = "I"
        self.is_plain = False
        self.term = 0
        self.writes = []
        self.prepared = {}

    def ready(self):
        """Send READY."""
        log = self.database.log[: self.database.applied]
        self.writer.write(f"READY {self.state} {position_text(log)}\r\n".encode())

    def _complete(self, rows=(), signature="-"):
        for row in rows:
            self.writer.write(f"DATAROW {row}\r\n".encode())
        self.writer.write(f"COMPLETE {signature}\r\n".encode())
        self.ready()

    def _error(self, code):
        if self.state == "T":
            self.state = "E"
        self.writer.write(f"ERROR {code} {self.database.name}\r\n".encode())
        self.ready()

    async def _work(self, seconds):
        database = self.database
        async with database.slots:
            database.busy += 1
            await asyncio.sleep(seconds)
            database.busy -= 1

    async def run(self, statement_id, text):
        """Run one statement and answer it."""
        database = self.database
        verb, _, rest = text.partition(" ")
        needed = None
        if verb == "AFTER":
            position, _, text = rest.partition(" ")
            needed = parse_position(position)
            verb, _, rest = text.partition(" ")
        if verb in ("STATUS", "PAUSE", "STEPDOWN", "RESUME"):
            return await self._control(verb, rest)
        if verb in ("SET", "CLOSE"):
            return self._complete()
        if verb == "RESET":
            self.prepared = {}
            return self._complete()
        if verb == "PREPARE":
            name, _, definition = rest.partition(" ")
            self.prepared[name] = definition
            return self._complete()
        if verb == "ROLLBACK":
            self.state, self.writes = "I", []
            return self._complete()
        if self.state == "E" and verb != "COMMIT":
            return self._error("MALFORMED")
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self._error("NOSTMT")
            verb = self.prepared[name].split(" ")[0]
        if verb != "BEGIN":
            await self._work(database.work_s)
        applied = database.log[: database.applied]
        if needed is not None and parse_position(position_text(applied)) < needed:
            return self._error("LAGGING")
        if verb == "BEGIN":
            self.is_plain = rest != "READ"
            if self.is_plain and not database.is_primary:
                return self._error("READONLY")
            self.state, self.term, self.writes = "T", database.term, []
            return self._complete()
        has_lost_lead = self.state == "T" and self.is_plain
        has_lost_lead = has_lost_lead and (
            not database.is_primary or database.term != self.term
        )
        is_write = verb == "WRITE"
        if verb != "COMMIT" and (
            has_lost_lead or (is_write and not database.is_primary)
        ):
            return self._error("READONLY")
        database.runs.append((self.now(), statement_id, verb, database.applied))
        database.record.write(
            "run", database=database.name, id=statement_id, verb=verb, who=self.who
        )
        if verb == "COMMIT":
            return await self._commit(statement_id, has_lost_lead)
        if verb == "READ":
            return self._complete(["x"], f"s.{database.name}.{statement_id}")
        item, _, data = rest.partition(" ")
        if self.state == "T":
            self.writes.append((statement_id, item, data))
            return self._complete((), f"s.{database.name}.{statement_id}")
        return await self._acknowledge(statement_id, [(statement_id, item, data)])

    def now(self):
        """Return the record's time."""
        return self.database.record.now()

    async def _commit(self, statement_id, has_lost_lead):
        failed, writes = self.state != "T", self.writes
        self.state, self.writes = "I", []
        if failed:
            return self._error("ABORTED")
        if not writes:
            return self._complete((), f"s.{self.database.name}.{statement_id}")
        if has_lost_lead:
            return self._error("READONLY")
        return await self._acknowledge(statement_id, writes)

    async def _acknowledge(self, statement_id, writes):
        database = self.database
        if not await database._commit(writes):
            return self._error("TIMEOUT")
        entry = database.log[-1]
        database.group.acknowledged.append((self.now(), entry))
        database.record.write(
            "commit", database=database.name, id=statement_id, number=len(database.log)
        )
        return self._complete((), f"s.{database.name}.{statement_id}")

    async def _control(self, verb, rest):
        database = self.database
        await self._work(database.status_s)
        newest = max(item.term for item in database.group.databases.values())
        if verb == "PAUSE" and int(rest) > newest and not database.is_primary:
            database.paused = int(rest)
        elif verb == "STEPDOWN" and database.is_primary and database.term < int(rest):
            database.is_primary = False
            database.paused = int(rest)
        elif verb == "RESUME":
            database.paused = 0
        if verb != "STATUS":
            database.record.write(
                "control", database=database.name, verb=verb, term=rest
            )
        return self._complete([database.status_row()])


# Callers


class Refused(Exception):
    """A caller's STARTUP was refused."""


class Caller:
    """A caller's session on one instance."""

    _ids = itertools.count(1)

    def __init__(self, record, instance, reader, writer):
        self.record = record
        self.instance = instance
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, deployment, instance, route):
        """Open a session."""
        port = deployment.instances[instance].ports["front"]
        reader, writer = await asyncio.open_connection(
            HOST, port, limit=MAX_LINE_BYTES + 64
        )
        caller = cls(deployment.record, instance, reader, writer)
        writer.write(f"STARTUP {route} {KEY}\r\n".encode())
        line = await caller._line()
        if not line.startswith("READY"):
            writer.close()
            raise Refused(line)
        return caller

    async def _line(self, timeout_s=8.0):
        async with asyncio.timeout(timeout_s):
            return (await self.reader.readuntil(b"\r\n")).decode()[:-2]

    async def query(self, text):
        """Run a statement; return (statement id, code or "", time it was sent)."""
        statement_id = f"{next(self._ids):08x}"
        sent_at = self.record.now()
        self.record.write(
            "sent", id=statement_id, instance=self.instance, text=repr(text)
        )
        code = ""
        try:
            self.writer.write(f"QUERY {statement_id} {text}\r\n".encode())
            while True:
                word, _, rest = (await self._line()).partition(" ")
                if word == "ERROR":
                    code = rest.split(" ")[0]
                elif word == "READY":
                    break
        except (OSError, EOFError, TimeoutError) as exc:
            code = f"cut:{type(exc).__name__}"
        self.record.write("answered", id=statement_id, code=code or "ok")
        return statement_id, code, sent_at

    def close(self):
        """End the session."""
        self.writer.close()


# The deployment


class Instance:
    """One entry instance: its ports, its way to the platform and its process."""

    def __init__(self, name, data_centre):
        self.name = name
        self.data_centre = data_centre
        self.ports = {key: free_port() for key in ("front", "ready", "peer", "metrics")}
        self.store_proxy = None
        self.cloud_proxy = None
        self.process = None


class Deployment:
    """Three instances before one service of three databases.

    `routes` maps the name that callers connect to to (type, max_staleness_ms).
    """

    def __init__(self, record, routes, rate=2000, delay_s=0.0, instances=3):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.routes = routes
        self.rate = rate
        self.group = Group(record)
        self.store = Store()
        self.cloud = Cloud(self.group, record)
        self.databases = []
        self.proxies = {}
        self.delay_s = delay_s
        self.instances = {}
        self.version = 0
        self.states = {}
        self._sequence = itertools.count(1)
        self._born = int(time.time() * 1000)
        for number in range(instances):
            name = f"front-{number}"
            self.instances[name] = Instance(name, DATA_CENTRES[number % 3])

    async def start(self):
        """Start everything and wait until all instances are ready."""
        await self.store.start()
        await self.cloud.start()
        for number in range(3):
            database = Database(self.group, f"i-{number}", number == 0)
            await database.start()
            proxy = Proxy(database.port, self.delay_s)
            await proxy.start()
            self.databases.append(database)
            self.proxies[database.name] = proxy
            self.states[database.name] = "ready"
        self.put_configuration()
        asyncio.get_running_loop().create_task(self._beat())
        for instance in self.instances.values():
            instance.store_proxy = Proxy(self.store.port)
            instance.cloud_proxy = Proxy(self.cloud.port)
            await instance.store_proxy.start()
            await instance.cloud_proxy.start()
            await self.start_instance(instance)
        await asyncio.gather(*[self.wait_ready(x) for x in self.instances.values()])

    def put_configuration(self):
        """Write the next version of the configuration."""
        self.version += 1
        routes = []
        for name, (kind, max_staleness_ms) in self.routes.items():
            route = {
                "name": f"r-{name}",
                "database": name,
                "prefix": "/",
                "type": kind,
                "timeout_ms": 800,
                "slo_ms": 400,
                "priority": 1,
                "service": SERVICE,
                "public": False,
            }
            if max_staleness_ms:
                route["max_staleness_ms"] = max_staleness_ms
            routes.append(route)
        self.store.put(
            "op/config",
            {
                "config_version": self.version,
                "routes": routes,
                "services": [{"name": SERVICE, "max_conns": 16, "sync_replicas": 1}],
                "limits": {"txn_idle_ms": 3000},
                "tenants": [
                    {
                        "name": TENANT,
                        "api_keys": [KEY],
                        "rate_per_s": self.rate,
                        "burst": self.rate,
                    }
                ],
            },
        )

    async def _beat(self):
        """Register the databases as they do themselves."""
        roles = {}
        beat_at = 0.0
        while True:
            is_due = time.monotonic() >= beat_at
            if is_due:
                beat_at = time.monotonic() + HEARTBEAT_S
            for number, database in enumerate(self.databases):
                seen = (database.is_primary, self.states[database.name])
                if database.is_up and (is_due or roles.get(database.name) != seen):
                    roles[database.name] = seen
                    self.put_entry(database, number)
            await asyncio.sleep(0.02)

    def put_entry(self, database, number):
        """Write a database's entry."""
        self.store.put(
            f"servers/{database.name}",
            {
                "service": SERVICE,
                "address": f"{HOST}:{self.proxies[database.name].port}",
                "zone": DATA_CENTRES[number],
                "config_version": 1,
                "slots": 2,
                "state": self.states[database.name],
                "warmup_left_ms": 0,
                "sequence": next(self._sequence),
                "db_role": "primary" if database.is_primary else "replica",
                "born": self._born,
            },
        )

    def _settings(self, instance):
        ports = instance.ports
        return {
            "node": instance.name,
            "role": "entry",
            "class": "front",
            "serves": ["front"],
            "ip": HOST,
            "zone": instance.data_centre,
            "region": instance.data_centre,
            "zones": {item: item for item in DATA_CENTRES},
            "listen_addrs": {
                "front": f"{HOST}:{ports['front']}",
                "ready_addr": f"{HOST}:{ports['ready']}",
            },
            "port_range": [ports["peer"], ports["metrics"]],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300},
            "data_dir": None,
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS,
            "platform": {
                "address": f"{HOST}:{instance.store_proxy.port}",
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
            "cloud": {
                "address": f"{HOST}:{instance.cloud_proxy.port}",
                "rate_per_s": 50.0,
                "duties": ["promotion"],
                "duty_per_s": 50.0,
            },
        }

    async def start_instance(self, instance):
        """Start an instance's process with the command of the deploy file."""
        path = os.path.join(self.folder, f"{instance.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self._settings(instance), file)
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": os.path.join(ROOT, "target", "deps"),
            "DRAGONFLYWING_CONFIG": path,
        }
        log_path = os.path.join(self.folder, f"{instance.name}.log")
        with open(log_path, "a", encoding="utf-8") as log:
            instance.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "dragonflywing.ui.platform_entry",
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.record.write("start", instance=instance.name)

    async def kill(self, instance):
        """Kill an instance's process."""
        self.record.write("kill", instance=instance.name)
        instance.process.send_signal(signal.SIGKILL)
        await instance.process.wait()

    async def terminate(self, instance):
        """Stop an instance by SIGTERM, and by SIGKILL after `grace_s`."""
        self.record.write("term", instance=instance.name)
        instance.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(instance.process.wait(), BOUNDS["grace_s"])
        except TimeoutError:
            await self.kill(instance)

    async def is_ready(self, instance):
        """Return whether the ready probe of an instance answers 200."""
        try:
            reader, writer = await asyncio.open_connection(
                HOST, instance.ports["ready"]
            )
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200" in line

    async def wait_ready(self, instance, timeout_s=20.0):
        """Wait until an instance is ready."""
        end = time.monotonic() + timeout_s
        while not await self.is_ready(instance):
            if time.monotonic() > end:
                raise RuntimeError(f"{instance.name} was not ready in time")
            await asyncio.sleep(0.05)

    def reset_connections(self, instance, rng, fraction):
        """Reset a fraction of an instance's connections to the databases."""
        ports = local_ports(instance.process)
        proxies = self.proxies.values()
        count = sum(proxy.reset(rng, fraction, ports) for proxy in proxies)
        self.record.write("reset", instance=instance.name, connections=count)

    def duty_holder(self):
        """Return the instance that last wrote the duty's key to the store."""
        value = base64.b64decode(self.store.items["dfw/duty/promotion"]["value"])
        return self.instances[value.decode().split("/")[0]]

    def holder(self):
        """Return the instance that gave the last order, None if there was none."""
        return self.instances[self.cloud.orders[-1][1]] if self.cloud.orders else None

    async def stop(self):
        """End all instances."""
        for instance in self.instances.values():
            process = instance.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case, routes, **options):
    """Run `case(deployment, trouble)`; exit with 1 if it returns broken promises.

    Exits with 0 if it returns none and with 2 if the case can't run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # The instances are ended also if the script itself is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(os.path.join(folder, "record.txt"))

    async def run():
        deployment = Deployment(record, routes, **options)
        try:
            async with asyncio.timeout(115):
                await deployment.start()
                return await case(deployment, trouble)
        finally:
            await deployment.stop()

    try:
        broken = asyncio.run(run())
    except Exception as exc:
        record.write("failed", error=repr(exc))
        print(f"the case could not run: {exc!r}")
        record.close()
        sys.exit(2)
    for line in broken:
        record.write("broken", text=repr(line))
        print(line)
    print("broken" if broken else "held")
    record.close()
    sys.exit(1 if broken else 0)
