"""A stand-in for the users' databases: the line protocol over a log in memory."""

import asyncio
import hashlib
from typing import NamedTuple

from dragonflywing.platform import lines
from dragonflywing.platform.lines import encode

WORK_S = 0.002
CONNECT_S = 0.012
ACK_TIMEOUT_S = 0.6


class Entry(NamedTuple):
    """One committed transaction: its term, and (statement id, item, data) rows."""

    term: int
    writes: tuple


class StandinGroup:
    """A group of databases that replicate one log."""

    def __init__(self, name, sync_replicas=1, lag_s=0.01):
        self.name = name
        self.sync_replicas = sync_replicas
        self.lag_s = lag_s
        self.databases = {}
        self.ran = []  # (database, statement id, workspace), in order

    def promote(self, database):
        """Make a database lead the next term; return the HTTP status."""
        chosen = self.databases.get(database)
        if chosen is None or not chosen.is_up:
            return 409
        if chosen.is_primary:
            return 200
        term = max(item.term for item in self.databases.values()) + 1
        for item in self.databases.values():
            if item.is_up and item is not chosen:
                item.is_primary = False
                item.log = item.log[: len(chosen.log)]
                item.term = term
            item.promised = 0
        chosen.term = term
        chosen.is_primary = True
        return 200

    async def replicate(self, primary, entry):
        """Give an entry to the replicas; return whether enough have received it."""
        received = 0
        for item in self.databases.values():
            if item is primary or not item.is_up or item.promised or item.is_primary:
                continue
            if item.is_deaf:
                continue
            item.log = list(primary.log)
            item.term = primary.term
            asyncio.get_running_loop().call_later(self.lag_s, item.apply, len(item.log))
            received += 1
        return received >= self.sync_replicas


class StandinDatabase:
    """One database."""

    def __init__(self, group, name, is_primary=False, slots=2, connections=16):
        self.group = group
        self.name = name
        self.is_primary = is_primary
        self.is_up = True
        self.is_deaf = False  # receives nothing from the primary
        self.term = 1
        self.promised = 0
        self.log = []
        self.applied = 0
        self.connections = connections
        self.open = set()
        self.opened = 0
        self.slots = asyncio.Semaphore(slots)
        self.drop_answers = 0
        self.address = None
        self._server = None
        group.databases[name] = self

    async def start(self, host="127.0.0.1"):
        """Listen for connections."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def crash(self):
        """Stop at once; the log is kept."""
        self.is_up = False
        self._server.close()
        for writer in list(self.open):
            writer.transport.abort()

    def apply(self, count):
        """Make the log visible to reads up to `count` entries."""
        self.applied = max(self.applied, min(count, len(self.log)))

    def position(self, count=None):
        """Return the position of the applied log, or of its first `count` entries."""
        count = (
            (len(self.log) if self.is_primary else self.applied)
            if count is None
            else count
        )
        term = self.log[count - 1].term if count else 1
        return f"{term}.{count}"

    def value(self, item):
        """Return what a read of an item sees, as (statement id, data)."""
        visible = self.log if self.is_primary else self.log[: self.applied]
        for entry in reversed(visible):
            for statement_id, name, data in reversed(entry.writes):
                if name == item:
                    return statement_id, data
        return "-", "-"

    async def _serve(self, reader, writer):
        if len(self.open) >= self.connections:
            writer.write(encode("ERROR", "CONNLIMIT", "too many"))
            writer.close()
            return
        self.open.add(writer)
        self.opened += 1
        try:
            await Connection(self, reader, writer).run()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def close(self):
        """Stop serving."""
        if self.is_up:
            self.crash()


class Connection:
    """One connection to a stand-in database."""

    def __init__(self, database, reader, writer):
        self.database = database
        self.reader = reader
        self.writer = writer
        self.workspace = ""
        self.state = lines.IDLE
        self.read_only = False
        self.writes = []
        self.values = {}
        self.prepared = {}

    async def run(self):
        """Serve until the other end leaves."""
        database = self.database
        line = lines.decode(await self.reader.readuntil(lines.LINE_END))
        _, service, rest = line.split(" ", 2)
        self.workspace, _, expected = rest.partition(" ")
        if service != database.group.name or expected not in ("", database.name):
            self.writer.write(encode("ERROR", "WRONGNODE", database.name))
            return
        async with database.slots:
            await asyncio.sleep(CONNECT_S)
        self._ready()
        while True:
            query = lines.parse_query(
                lines.decode(await self.reader.readuntil(lines.LINE_END))
            )
            if query is None:
                return
            error = await self._handle(query)
            if error:
                if self.state == lines.IN_TRANSACTION:
                    self.state = lines.FAILED
                self.writer.write(encode("ERROR", error, database.name))
            if database.drop_answers and query.statement_id != "-":
                database.drop_answers -= 1
                self.writer.transport.abort()
                return
            self._ready()

    def _ready(self):
        self.writer.write(encode("READY", self.state, self.database.position()))

    async def _handle(self, query):
        verb, rest = query.verb, query.rest
        if self.state == lines.FAILED and verb not in ("ROLLBACK", "COMMIT"):
            return "MALFORMED"
        if verb == "AFTER":
            wanted, _, text = rest.partition(" ")
            if not self._has(wanted):
                return "LAGGING"
            verb, _, rest = text.partition(" ")
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return "NOSTMT"
            verb = self.prepared[name].split(" ")[0]
        handler = getattr(self, f"_{verb.lower()}", None)
        return "MALFORMED" if handler is None else await handler(query, rest)

    def _has(self, wanted):
        database = self.database
        term, index = (int(part) for part in wanted.split("."))
        count = len(database.log) if database.is_primary else database.applied
        # Positions of entries that a promotion dropped are in no log.
        return index <= count and (not index or database.log[index - 1].term >= term)

    def _complete(self, signature="-"):
        self.writer.write(encode("COMPLETE", signature))

    async def _begin(self, query, rest):
        self.read_only = rest == "READ"
        if not self.read_only and not self.database.is_primary:
            return "READONLY"
        self.state = lines.IN_TRANSACTION
        self.writes = []
        return self._complete()

    async def _rollback(self, query, rest):
        self.state, self.writes = lines.IDLE, []
        return self._complete()

    async def _read(self, query, rest):
        async with self.database.slots:
            await asyncio.sleep(WORK_S)
        statement_id, data = self.database.value(rest)
        for own_id, name, own_data in self.writes:
            if name == rest:
                statement_id, data = own_id, own_data
        self._note(query)
        self.writer.write(encode("DATAROW", f"{statement_id}:{data}"))
        return self._complete(self._sign(query))

    async def _write(self, query, rest):
        if not self.database.is_primary or self.read_only:
            return "READONLY"
        item, _, data = rest.partition(" ")
        async with self.database.slots:
            await asyncio.sleep(WORK_S)
        self.writes.append((query.statement_id, item, data))
        self._note(query)
        if self.state == lines.IDLE:
            error = await self._append()
            if error:
                return error
        return self._complete(self._sign(query))

    async def _commit(self, query, rest):
        failed, self.state = self.state == lines.FAILED, lines.IDLE
        if failed:
            self.writes = []
            return "ABORTED"
        if self.writes:
            error = await self._append()
            if error:
                return error
        self._note(query)
        return self._complete(self._sign(query))

    async def _append(self):
        database = self.database
        if not database.is_primary:
            return "READONLY"
        entry = Entry(database.term, tuple(self.writes))
        self.writes = []
        database.log.append(entry)
        if not await database.group.replicate(database, entry):
            await asyncio.sleep(ACK_TIMEOUT_S)
            return "TIMEOUT"
        return None

    async def _set(self, query, rest):
        name, _, value = rest.partition(" ")
        self.values[name] = value
        return self._complete()

    async def _prepare(self, query, rest):
        name, _, definition = rest.partition(" ")
        self.prepared[name] = definition
        return self._complete()

    async def _reset(self, query, rest):
        self.values, self.prepared = {}, {}
        return self._complete()

    async def _status(self, query, rest):
        database = self.database
        role = "primary" if database.is_primary else "replica"
        received = database.position(len(database.log))
        row = f"{role} {database.term} {received} {database.promised} 0 0 1"
        self.writer.write(encode("DATAROW", row))
        return self._complete()

    async def _pause(self, query, rest):
        self.database.promised = int(rest)
        return await self._status(query, rest)

    async def _resume(self, query, rest):
        self.database.promised = 0
        return await self._status(query, rest)

    async def _stepdown(self, query, rest):
        if int(rest) > self.database.term:
            self.database.is_primary = False
            self.database.apply(len(self.database.log))
        return await self._status(query, rest)

    def _note(self, query):
        note = (self.database.name, query.statement_id, self.workspace)
        self.database.group.ran.append((*note, dict(self.values)))

    def _sign(self, query):
        text = f"{self.database.name} {query.statement_id}"
        return hashlib.sha256(text.encode()).hexdigest()[:12]
