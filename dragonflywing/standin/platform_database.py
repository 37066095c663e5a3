"""A stand-in for the users' databases: the line protocol and an in-memory log."""

import asyncio
import hashlib
from typing import NamedTuple

from dragonflywing.control import CONTROL_WORKSPACE
from dragonflywing.platform import lines
from dragonflywing.platform.lines import encode

STATEMENT_S = 0.002
CONNECT_S = 0.012
ACK_TIMEOUT_S = 0.6  # until a write fails because too few replicas received it
DARK_S = 3.0  # until a connection that is cut is dropped
DARK_POLL_S = 0.02


def ignores_control(connection):
    """Return whether a connection is one for control statements."""
    return connection.workspace == CONTROL_WORKSPACE


class LogEntry(NamedTuple):
    """One committed transaction: its term and (statement id, item, data) tuples."""

    term: int
    writes: tuple


class StandinGroup:
    """A group of databases that replicate one log.

    `executed` holds (database, statement id, workspace, session values) of each
    executed statement, in order. `promote_s` is the time from an order to its effect,
    or a function that returns that of the next order. `cuts` holds the pairs of
    databases, as frozensets of their names, that can't reach each other. `on_effect`
    is called with each database when it is promoted.
    """

    def __init__(
        self, name, sync_replicas=1, lag_s=0.01, promote_s=0.0, step_down_s=0.0
    ):
        self.name = name
        self.promote_s = promote_s
        # Until a primary that has been replaced follows the new one.
        self.step_down_s = step_down_s
        self.sync_replicas = sync_replicas
        self.lag_s = lag_s
        self.databases = {}
        self.cuts = set()
        self.on_effect = lambda database: None
        self.executed = []

    def leader(self):
        """Return the primary of the latest term, None if there is none."""
        primaries = [x for x in self.databases.values() if x.is_up and x.is_primary]
        return max(primaries, key=lambda item: item.term, default=None)

    def primary_of(self, database):
        """Return the primary that a database receives from, None if there is none."""
        reached = [
            item
            for item in self.databases.values()
            if item.is_primary
            and item.term >= database.term
            and self._reach(database, item)
        ]
        return max(reached, key=lambda item: item.term, default=None)

    def promote(self, database):
        """Make a database the primary of the next term; return the HTTP status."""
        new_primary = self.databases.get(database)
        if new_primary is None or not new_primary.is_up:
            return 409
        promote_s = self.promote_s() if callable(self.promote_s) else self.promote_s
        if promote_s:
            loop = asyncio.get_running_loop()
            loop.call_later(promote_s, self._take_effect, new_primary)
        else:
            self._take_effect(new_primary)
        return 200

    def _take_effect(self, new_primary):
        if self.databases.get(new_primary.name) is not new_primary:
            return
        if not new_primary.is_up or new_primary is self.leader():
            return
        term = max(item.term for item in self.databases.values()) + 1
        for item in self.databases.values():
            item.promised = 0
        new_primary.term = term
        new_primary.is_primary = True
        for item in list(self.databases.values()):
            if item is not new_primary and self._reach(item, new_primary):
                if item.is_primary and self.step_down_s:
                    self._follow_later(item)
                else:
                    item.follow(new_primary)
        self.on_effect(new_primary)

    def heal(self, database):
        """End a database's cuts; it follows the primary if it was replaced."""
        self.cuts = {pair for pair in self.cuts if database.name not in pair}
        database.ignores = lambda connection: False
        self._follow_later(database)

    def _follow_later(self, database):
        def follow():
            leader = self.leader()
            if leader not in (None, database) and self._reach(database, leader):
                database.follow(leader)

        asyncio.get_running_loop().call_later(self.step_down_s, follow)

    def _reach(self, database, other):
        pair = frozenset((database.name, other.name))
        return database.is_up and other.is_up and pair not in self.cuts

    async def replicate(self, primary, entry):
        """Copy the log to the replicas; return whether enough of them received it."""
        received = 0
        for item in self.databases.values():
            if item is primary or item.promised or item.is_primary or item.is_cut_off:
                continue
            # A replica of a later term follows another primary.
            if not self._reach(primary, item) or item.term > primary.term:
                continue
            item.log = list(primary.log)
            item.term = primary.term
            asyncio.get_running_loop().call_later(self.lag_s, item.apply, len(item.log))
            received += 1
        return received >= self.sync_replicas


class StandinDatabase:
    """One database of a group."""

    def __init__(self, group, name, is_primary=False, slots=2, connections=16):
        self.group = group
        self.name = name
        self.is_primary = is_primary
        self.is_up = True
        self.is_cut_off = False  # it receives nothing from the primary
        self.term = 1
        self.born = 1  # its start time in ms
        # Whether the statements on a connection are held, as if it were cut.
        self.ignores = lambda connection: False
        self.promised = 0  # the term for which it is paused, 0 if it is not paused
        self.log = []
        self.applied = 0
        self.connections = connections
        self.writers = set()
        self.connections_opened = 0
        self.slots = asyncio.Semaphore(slots)
        self.answers_to_drop = 0
        self.work_s = STATEMENT_S
        self.address = None
        self._server = None
        group.databases[name] = self

    async def start(self, host="127.0.0.1"):
        """Start accepting connections."""
        self._server = await asyncio.start_server(
            self._serve, host, 0, limit=lines.MAX_LINE_BYTES + 2
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    def crash(self):
        """Abort all connections and accept no more; the log is kept."""
        self.is_up = False
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self):
        """Come back with the log, as a replica if another one leads meanwhile."""
        self.is_up, self.promised = True, 0
        self.catch_up()
        await self.start()

    def catch_up(self):
        """Receive all of the primary's log, unless it leads itself."""
        primary = self.group.primary_of(self)
        if primary not in (None, self):
            self.is_primary, self.term = False, primary.term
            self.log = list(primary.log)
            self.apply(len(self.log))

    def follow(self, primary):
        """Become a replica of a primary; drop what its log lacks."""
        self.is_primary, self.term = False, primary.term
        pairs = enumerate(zip(self.log, primary.log, strict=False))
        common = min(len(self.log), len(primary.log))
        common = next((i for i, (own, other) in pairs if own is not other), common)
        self.log = self.log[:common]
        self.applied = min(self.applied, common)

    def apply(self, count):
        """Make the first `count` entries of the log visible to reads."""
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
        """Return (statement id, data) of the last visible write to an item."""
        visible = self.log if self.is_primary else self.log[: self.applied]
        for entry in reversed(visible):
            for statement_id, name, data in reversed(entry.writes):
                if name == item:
                    return statement_id, data
        return "-", "-"

    async def _serve(self, reader, writer):
        if len(self.writers) >= self.connections:
            writer.write(encode("ERROR", "CONNLIMIT", "too many"))
            writer.close()
            return
        self.writers.add(writer)
        self.connections_opened += 1
        try:
            await Connection(self, reader, writer).run()
        except (OSError, EOFError, RuntimeError):
            pass  # uvloop raises RuntimeError for a write to a closed connection
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Stop serving, if it is up."""
        if self.is_up:
            self.crash()


class Connection:
    """One connection to a stand-in database.

    The method that handles a verb is named after it, in lower case after "_".
    """

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
        """Serve statements until the client disconnects."""
        database = self.database
        line = lines.decode(await self.reader.readuntil(lines.LINE_END))
        _, service, rest = line.split(" ", 2)
        self.workspace, _, expected = rest.partition(" ")
        if not await self._is_heard():
            return
        if service != database.group.name or expected not in ("", database.name):
            self.writer.write(encode("ERROR", "WRONGNODE", database.name))
            return
        async with database.slots:
            await asyncio.sleep(CONNECT_S)
        self._send_ready()
        while True:
            query = lines.parse_query(
                lines.decode(await self.reader.readuntil(lines.LINE_END))
            )
            if query is None or not await self._is_heard():
                return
            error = await self._handle(query)
            if error:
                if self.state == lines.IN_TRANSACTION:
                    self.state = lines.FAILED
                self.writer.write(encode("ERROR", error, database.name))
            if database.answers_to_drop and query.statement_id != "-":
                database.answers_to_drop -= 1
                self.writer.transport.abort()
                return
            self._send_ready()

    async def _is_heard(self):
        """Wait until the connection isn't cut; return False if that takes too long."""
        end = asyncio.get_running_loop().time() + DARK_S
        while self.database.ignores(self):
            if asyncio.get_running_loop().time() > end:
                return False
            await asyncio.sleep(DARK_POLL_S)
        return True

    def _send_ready(self):
        self.writer.write(encode("READY", self.state, self.database.position()))

    async def _handle(self, query):
        verb, rest = query.verb, query.rest
        if self.state == lines.FAILED and verb not in ("ROLLBACK", "COMMIT"):
            return "MALFORMED"
        if verb == "AFTER":
            position, _, text = rest.partition(" ")
            if not self._log_contains(position):
                return "LAGGING"
            verb, _, rest = text.partition(" ")
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return "NOSTMT"
            verb = self.prepared[name].split(" ")[0]
        handler = getattr(self, f"_{verb.lower()}", None)
        return "MALFORMED" if handler is None else await handler(query, rest)

    def _log_contains(self, position):
        database = self.database
        term, index = (int(part) for part in position.split("."))
        count = len(database.log) if database.is_primary else database.applied
        # A later term suffices: a promotion may have dropped the entry from all logs.
        return index <= count and (not index or database.log[index - 1].term >= term)

    def _send_complete(self, signature="-"):
        self.writer.write(encode("COMPLETE", signature))

    async def _begin(self, query, rest):
        self.read_only = rest == "READ"
        if not self.read_only and not self.database.is_primary:
            return "READONLY"
        self.state = lines.IN_TRANSACTION
        self.writes = []
        return self._send_complete()

    async def _rollback(self, query, rest):
        self.state, self.writes = lines.IDLE, []
        return self._send_complete()

    async def _read(self, query, rest):
        async with self.database.slots:
            await asyncio.sleep(self.database.work_s)
        statement_id, data = self.database.value(rest)
        for own_id, name, own_data in self.writes:
            if name == rest:
                statement_id, data = own_id, own_data
        self._record_executed(query)
        self.writer.write(encode("DATAROW", f"{statement_id}:{data}"))
        return self._send_complete(self._signature(query))

    async def _write(self, query, rest):
        if not self.database.is_primary or self.read_only:
            return "READONLY"
        item, _, data = rest.partition(" ")
        async with self.database.slots:
            await asyncio.sleep(self.database.work_s)
        self.writes.append((query.statement_id, item, data))
        self._record_executed(query)
        if self.state == lines.IDLE:
            error = await self._append()
            if error:
                return error
        return self._send_complete(self._signature(query))

    async def _commit(self, query, rest):
        failed, self.state = self.state == lines.FAILED, lines.IDLE
        if failed:
            self.writes = []
            return "ABORTED"
        if self.writes:
            error = await self._append()
            if error:
                return error
        self._record_executed(query)
        return self._send_complete(self._signature(query))

    async def _append(self):
        database = self.database
        if not database.is_primary:
            return "READONLY"
        entry = LogEntry(database.term, tuple(self.writes))
        self.writes = []
        database.log.append(entry)
        if not await database.group.replicate(database, entry):
            await asyncio.sleep(ACK_TIMEOUT_S)
            return "TIMEOUT"
        return None

    async def _set(self, query, rest):
        name, _, value = rest.partition(" ")
        self.values[name] = value
        return self._send_complete()

    async def _prepare(self, query, rest):
        name, _, definition = rest.partition(" ")
        self.prepared[name] = definition
        return self._send_complete()

    async def _reset(self, query, rest):
        self.values, self.prepared = {}, {}
        return self._send_complete()

    async def _status(self, query, rest):
        database = self.database
        role = "primary" if database.is_primary else "replica"
        received = database.position(len(database.log))
        row = f"{role} {database.term} {received} {database.promised} 0 0 1"
        self.writer.write(encode("DATAROW", row))
        return self._send_complete()

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

    def _record_executed(self, query):
        record = (self.database.name, query.statement_id, self.workspace)
        self.database.group.executed.append((*record, dict(self.values)))

    def _signature(self, query):
        text = f"{self.database.name} {query.statement_id}"
        return hashlib.sha256(text.encode()).hexdigest()[:12]
