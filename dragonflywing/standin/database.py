"""A stand-in for one database of a replicated group, on sqlite3.

It serves the MySQL protocol with real transactions and replicates a log with
terms and positions. The apply lag, the numbers of slots and connections, and the
time to connect are settings. Control statements are SELECTs of functions whose
names start with dfw_.
"""

import asyncio
import json
import os
import re
import sqlite3
from typing import NamedTuple

from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User

from dragonflywing import logs, wire
from dragonflywing.decisions.positions import ZERO, Position
from dragonflywing.errors import DatabaseError
from dragonflywing.standin import dialect
from dragonflywing.standin.log import Log, LogEntry

LOCK_TIMEOUT_S = 2.0
LOCK_RETRY_S = 0.002
RECONNECT_S = 0.05
APPLY_RETRY_S = 0.001  # after an entry that met a locked file
CONTROL_STATEMENT = re.compile(r"\s*select\s+dfw_(\w+)\s*\(([^)]*)\)", re.I)
STATUS_COLUMNS = (
    "is_primary",
    "term",
    "received_term",
    "received_index",
    "applied_term",
    "applied_index",
    "leaving",
    "busy",
)


class DatabaseSettings(NamedTuple):
    """Settings of a stand-in database; `peers` are replication addresses."""

    name: str
    host: str
    port: int
    replication_port: int
    data_dir: str
    peers: dict[str, str]
    initial_primary: str
    user: str = "dragonflywing"
    password: str = "standin"
    connections: int = 16
    slots: int = 2
    connect_s: float = 0.012
    statement_s: float = 0.0
    apply_lag_s: float = 0.002
    # File to which users and statements are appended as they arrive; "" for none.
    trace: str = ""


def trace(cfg, text):
    """Append `text` to the trace file, if the settings name one."""
    if cfg.trace:
        with open(cfg.trace, "a", encoding="utf-8", errors="replace") as file:
            file.write(text + "\n")


class DatabaseState:
    """The log, the role and the sqlite files of one database.

    The log is the durable state. `applied` is the index of its last entry that
    was executed in the sqlite files, which are rebuilt from the log at start-up.
    """

    def __init__(self, cfg):
        self.cfg = cfg
        self.log = Log(os.path.join(cfg.data_dir, f"{cfg.name}.log"))
        if self.log.term == 0:
            self.log.accept(1)
            self.primary = cfg.initial_primary
        else:
            self.primary = None
        self.is_primary = self.primary == cfg.name
        self.applied = 0
        self.received_at = {}
        self.lag_s = cfg.apply_lag_s
        self.leaving = False
        self.busy = 0
        self.slots = asyncio.Semaphore(cfg.slots)
        self.changed = asyncio.Event()
        self.apply_connections = {}
        self.sessions = set()
        self.rebuilds = 0
        self.rebuild()

    def notify(self):
        """Wake all tasks that wait for a change of the log or the role."""
        self.changed.set()
        self.changed = asyncio.Event()

    def open_schema(self, schema):
        """Return a new sqlite connection to a schema's file."""
        path = os.path.join(self.cfg.data_dir, f"{self.cfg.name}.{schema}.db")
        db = sqlite3.connect(
            path, isolation_level=None, detect_types=sqlite3.PARSE_DECLTYPES, timeout=0
        )
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=OFF")
        return db

    def rebuild(self):
        """Delete the sqlite files and create them again from the log."""
        for db in self.apply_connections.values():
            db.close()
        self.apply_connections = {}
        for name in os.listdir(self.cfg.data_dir):
            if name.startswith(f"{self.cfg.name}.") and ".db" in name:
                os.unlink(os.path.join(self.cfg.data_dir, name))
        self.applied = 0
        self.rebuilds += 1
        self.apply(len(self.log.entries))

    def apply(self, index):
        """Execute log entries up to `index`, or up to one that meets a locked file."""
        while self.applied < index:
            entry = self.log.entries[self.applied]
            if not self._apply_entry(entry):
                return
            self.applied += 1
        self.notify()

    def _apply_entry(self, entry):
        if not entry.statements:
            return True
        db = self.apply_connections.get(entry.schema)
        if db is None:
            db = self.apply_connections[entry.schema] = self.open_schema(entry.schema)
        try:
            db.execute("BEGIN IMMEDIATE")
            for sql in entry.statements:
                db.execute(dialect.translate(sql))
            db.execute("COMMIT")
        except sqlite3.OperationalError as exc:
            if db.in_transaction:
                db.execute("ROLLBACK")
            if "locked" in str(exc):
                return False
            raise
        return True

    def accept_term(self, term):
        """Accept a later term; the database then neither is nor follows a primary."""
        if term <= self.log.term:
            return
        self.log.accept(term)
        self.is_primary = False
        self.primary = None
        for session in self.sessions:
            session.abort()
        self.notify()

    def promote(self, term):
        """Become the primary of the accepted term unless it has another primary.

        It stays without a role if an entry of its log can't be executed now.
        """
        if term != self.log.term or (self.primary and not self.is_primary):
            return
        if self.is_primary:
            return
        self.apply(len(self.log.entries))
        if self.applied < len(self.log.entries):
            return
        self.is_primary = True
        self.primary = self.cfg.name
        self.commit("", ())

    def follow(self, term, primary):
        """Replicate from the primary of a term."""
        if term < self.log.term or primary == self.cfg.name:
            return
        self.accept_term(term)
        if self.primary is None:
            self.primary = primary
            self.notify()

    def commit(self, schema, statements):
        """Append a transaction that the primary has committed; return its position."""
        index = len(self.log.entries) + 1
        entry = LogEntry(self.log.term, index, schema, tuple(statements))
        self.log.append(entry)
        self.applied = index
        self.notify()
        return Position(entry.term, index)

    def applied_position(self):
        """Return the position of the last executed entry."""
        return self.log.position(self.applied) if self.applied else ZERO

    def status_row(self):
        """Return the row of dfw_status(), with STATUS_COLUMNS as columns."""
        received = self.log.last()
        applied = self.applied_position()
        values = (self.is_primary, self.log.term, *received, *applied)
        values += (self.leaving, self.busy)
        return tuple(str(int(value)) for value in values)


class DatabaseSession(wire.WireSession):
    """One client connection to the stand-in database."""

    def __init__(self, state):
        super().__init__()
        self.state = state
        self.schema_connections = {}
        self.statements = []
        self.transaction_open = False
        self.aborted = False
        self.rebuilds = state.rebuilds
        state.sessions.add(self)

    def abort(self):
        """Roll back; if a transaction was open, the next statement fails."""
        self.aborted = self.transaction_open
        self._rollback()

    async def use(self, database):
        self.database = database

    async def reset(self):
        self._rollback()

    async def close(self):
        self.state.sessions.discard(self)
        self._rollback()
        for db in self.schema_connections.values():
            db.close()

    def in_transaction(self):
        return self.transaction_open

    def _schema_db(self):
        if not self.database:
            raise DatabaseError(1046, "3D000", "No database selected")
        if self.rebuilds != self.state.rebuilds:
            for db in self.schema_connections.values():
                db.close()
            self.schema_connections = {}
            self.rebuilds = self.state.rebuilds
        if self.database not in self.schema_connections:
            self.schema_connections[self.database] = self.state.open_schema(
                self.database
            )
        return self.schema_connections[self.database]

    def _rollback(self):
        if self.transaction_open:
            self.transaction_open = False
            self.statements = []
            db = self.schema_connections.get(self.database)
            if db is not None and db.in_transaction:
                db.execute("ROLLBACK")

    async def execute(self, sql, attrs):
        trace(self.state.cfg, sql)
        control = CONTROL_STATEMENT.match(sql)
        if control:
            return await self._control(control[1].lower(), control[2])
        text = sql.strip().rstrip(";").lower()
        if self.aborted:
            self.aborted = False
            raise DatabaseError(1180, "HY000", "the database has changed its role")
        if text.startswith("set "):
            return wire.Result()
        if text in ("begin", "start transaction"):
            return await self._begin()
        if text in ("commit", "rollback"):
            return self._end_transaction(text)
        async with self.state.slots:
            self.state.busy += 1
            try:
                if self.state.cfg.statement_s:
                    await asyncio.sleep(self.state.cfg.statement_s)
                return await self._execute_statement(sql, text)
            finally:
                self.state.busy -= 1

    async def _begin(self):
        if self.transaction_open:
            raise DatabaseError(1568, "25001", "a transaction is in progress")
        if not self.state.is_primary:
            raise DatabaseError(1290, "HY000", "the database is read-only")
        await self._begin_immediate()
        if not self.state.is_primary:
            self._schema_db().execute("ROLLBACK")
            raise DatabaseError(1290, "HY000", "the database is read-only")
        self.transaction_open = True
        self.statements = []
        return wire.Result()

    async def _begin_immediate(self):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + LOCK_TIMEOUT_S
        while True:
            try:
                self._schema_db().execute("BEGIN IMMEDIATE")
                return
            except sqlite3.OperationalError as exc:
                if "locked" not in str(exc) or loop.time() > deadline:
                    raise DatabaseError(1205, "HY000", "lock wait timeout") from None
            await asyncio.sleep(LOCK_RETRY_S)

    def _end_transaction(self, text):
        if not self.transaction_open:
            return wire.Result()
        if text == "rollback":
            self._rollback()
            return wire.Result()
        statements = self.statements
        if statements and not self.state.is_primary:
            self._rollback()
            raise DatabaseError(1290, "HY000", "the database is read-only")
        self._schema_db().execute("COMMIT")
        self.transaction_open = False
        self.statements = []
        return wire.Result(info=self._commit_info(statements))

    def _commit_info(self, statements):
        if not statements:
            return b""
        position = self.state.commit(self.database, statements)
        return f"dfw {position.term}.{position.index}".encode()

    async def _execute_statement(self, sql, text):
        is_read = text.startswith(("select", "with", "values", "explain", "describe"))
        if not is_read and not self.state.is_primary:
            raise DatabaseError(1290, "HY000", "the database is read-only")
        if is_read or self.transaction_open:
            return self._run_in_sqlite(sql, is_read)
        await self._begin_immediate()
        if not self.state.is_primary:
            self._schema_db().execute("ROLLBACK")
            raise DatabaseError(1290, "HY000", "the database is read-only")
        try:
            result = self._run_in_sqlite(sql, False)
        except DatabaseError:
            if self._schema_db().in_transaction:
                self._schema_db().execute("ROLLBACK")
            raise
        self._schema_db().execute("COMMIT")
        return result._replace(info=self._commit_info([sql]))

    def _run_in_sqlite(self, sql, is_read):
        try:
            cursor = self._schema_db().execute(dialect.translate(sql))
            rows = cursor.fetchall()
        except sqlite3.IntegrityError as exc:
            raise DatabaseError(1062, "23000", f"Duplicate entry: {exc}") from None
        except sqlite3.Error as exc:
            raise self._translate_error(exc) from None
        if not is_read:
            if self.transaction_open:
                self.statements.append(sql)
            return wire.Result(
                affected_rows=max(0, cursor.rowcount),
                last_insert_id=cursor.lastrowid or 0,
            )
        names = [item[0] for item in cursor.description]
        columns = tuple(
            wire.Column(name, dialect.type_code(row[i] for row in rows))
            for i, name in enumerate(names)
        )
        return wire.Result(columns, tuple(rows))

    @staticmethod
    def _translate_error(exc):
        text = str(exc)
        if "no such table" in text:
            return DatabaseError(1146, "42S02", text)
        if "already exists" in text:
            return DatabaseError(1050, "42S01", text)
        if "locked" in text:
            return DatabaseError(1205, "HY000", "lock wait timeout")
        return DatabaseError(1064, "42000", text)

    async def _control(self, name, text):
        args = [item.strip().strip("'") for item in text.split(",") if item.strip()]
        state = self.state
        if name == "wait":
            position = Position(int(args[0]), int(args[1]))
            await self._wait(state.log.last, position, int(args[2]) / 1000)
        elif name == "wait_applied":
            position = Position(int(args[0]), int(args[1]))
            await self._wait(state.applied_position, position, int(args[2]) / 1000)
        elif name == "accept_term":
            state.accept_term(int(args[0]))
        elif name == "promote":
            state.promote(int(args[0]))
        elif name == "follow":
            state.follow(int(args[0]), args[1])
        elif name == "set_leaving":
            state.leaving = bool(int(args[0]))
        elif name != "status":
            raise DatabaseError(1305, "42000", f"no function dfw_{name}")
        columns = tuple(wire.Column(item, 8) for item in STATUS_COLUMNS)
        return wire.Result(columns, (state.status_row(),))

    async def _wait(self, current_position, position, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                while current_position() < position:
                    if self.state.log.term > position.term:
                        return
                    await self.state.changed.wait()
        except TimeoutError:
            pass


class _SingleUser(IdentityProvider):
    def __init__(self, state):
        self.cfg = state.cfg
        self.auth = NativePasswordAuthPlugin.create_auth_string(state.cfg.password)

    async def get_user(self, username):
        await asyncio.sleep(self.cfg.connect_s)
        trace(self.cfg, username)
        if username != self.cfg.user:
            return None
        return User(username, self.auth, NativePasswordAuthPlugin.name)


async def _serve_replica(state, reader, writer):
    """Send log entries to a replica while this database is the primary.

    A request with `lag_s` sets the apply lag instead.
    """
    try:
        request = json.loads(await reader.readline())
        if "lag_s" in request:
            state.lag_s = float(request["lag_s"])
            writer.write(b"{}\n")
            return
        term = state.log.term
        if not state.is_primary or request["term"] > term:
            return
        index = state.log.common_index(request["boundaries"])
        writer.write(json.dumps({"term": term, "common": index}).encode() + b"\n")
        while state.is_primary and state.log.term == term:
            changed = state.changed
            batch = state.log.entries[index : index + 500]
            writer.write(json.dumps(batch).encode() + b"\n")
            await writer.drain()
            index += len(batch)
            if index < len(state.log.entries):
                continue
            try:
                async with asyncio.timeout(0.2):
                    await changed.wait()
            except TimeoutError:
                pass
    except (OSError, ValueError, KeyError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def _follow(state):
    """Receive the primary's log while this database is a replica; reconnect."""
    while True:
        if state.is_primary or state.primary not in state.cfg.peers:
            await state.changed.wait()
            continue
        try:
            await _receive(state, state.primary, state.log.term)
        except (OSError, ValueError, KeyError, TimeoutError):
            pass
        await asyncio.sleep(RECONNECT_S)


async def _receive(state, primary, term):
    host, port = state.cfg.peers[primary].rsplit(":", 1)
    async with asyncio.timeout(1.0):
        reader, writer = await asyncio.open_connection(host, int(port), limit=2**24)
    try:
        request = {"term": term, "boundaries": state.log.boundaries()}
        writer.write(json.dumps(request).encode() + b"\n")
        async with asyncio.timeout(1.0):
            reply = json.loads(await reader.readline())
        if reply["term"] != state.log.term or state.primary != primary:
            return
        if reply["common"] < len(state.log.entries):
            logs.event("truncated", database=state.cfg.name, index=reply["common"])
            state.log.truncate(reply["common"])
            state.rebuild()
        while True:
            async with asyncio.timeout(1.0):
                line = await reader.readline()
            if not line or state.log.term != term or state.primary != primary:
                return
            _append_entries(state, json.loads(line))
    finally:
        writer.close()


def _append_entries(state, batch):
    now = asyncio.get_running_loop().time()
    for item in batch:
        entry = LogEntry(*item)
        state.log.append(entry)
        state.received_at[entry.index] = now
    if batch:
        state.notify()


async def _apply_with_lag(state):
    """Execute each entry once the apply lag has passed since it was received."""
    while True:
        if state.is_primary or state.applied >= len(state.log.entries):
            await state.changed.wait()
            continue
        now = asyncio.get_running_loop().time()
        apply_at = state.received_at.get(state.applied + 1, 0.0) + state.lag_s
        if apply_at > now:
            await asyncio.sleep(min(apply_at - now, 0.05))
            continue
        applied = state.applied
        state.apply(applied + 1)
        state.received_at.pop(applied + 1, None)
        await asyncio.sleep(0 if state.applied > applied else APPLY_RETRY_S)


async def serve(cfg):
    """Serve one database until cancelled."""
    os.makedirs(cfg.data_dir, exist_ok=True)
    state = DatabaseState(cfg)
    server = wire.WireServer(
        lambda: DatabaseSession(state), _SingleUser(state), cfg.connections
    )
    host = cfg.host
    replication = await asyncio.start_server(
        lambda reader, writer: _serve_replica(state, reader, writer),
        host,
        cfg.replication_port,
    )
    await server.start(host, cfg.port)
    logs.event("database_started", database=cfg.name, term=state.log.term)
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(_follow(state))
            group.create_task(_apply_with_lag(state))
            group.create_task(_drop_connections(state, server))
    finally:
        replication.close()


async def _drop_connections(state, server):
    """Close all client connections after a truncation of the log.

    Positions that they returned may no longer be in the log.
    """
    rebuilds = state.rebuilds
    while True:
        await state.changed.wait()
        if state.rebuilds != rebuilds:
            rebuilds = state.rebuilds
            server.close_all()
