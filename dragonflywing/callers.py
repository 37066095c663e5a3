"""Callers' sessions: access checks, routing, retries and transactions."""

import asyncio
import random

from dragonflywing import errors, identity, request_records
from dragonflywing.backend import parse_position
from dragonflywing.decisions import retries, routing, statements, stopping, versions
from dragonflywing.decisions.positions import ZERO, decode_token, encode_token
from dragonflywing.decisions.statements import Kind
from dragonflywing.errors import DatabaseError, DfwError, Verdict
from dragonflywing.wire import Column, Result, WireSession

VAR_STRING = 253
MAX_ROUTE_CHARS = 1024  # of a name that a session keeps
SERVER_VERSION = "8.0.36-dragonflywing"
SHOW_VARIABLES_COLUMNS = (
    Column("Variable_name", VAR_STRING),
    Column("Value", VAR_STRING),
)
SYSTEM_VARIABLES = {
    "version": SERVER_VERSION,
    "version_comment": "dragonflywing",
    "sql_mode": "STRICT_TRANS_TABLES",
    "lower_case_table_names": "0",
    "transaction_isolation": "REPEATABLE-READ",
    "tx_isolation": "REPEATABLE-READ",
    "max_allowed_packet": "4194304",
    "character_set_client": "utf8mb4",
    "character_set_results": "utf8mb4",
    "collation_connection": "utf8mb4_general_ci",
    "time_zone": "SYSTEM",
    "system_time_zone": "UTC",
    "auto_increment_increment": "1",
    "default_storage_engine": "InnoDB",
    "socket": "",
    "port": "3306",
}


class Transaction:
    """A caller's transaction and the backend connection that it holds."""

    def __init__(self, now):
        self.conn = None
        self.backend = None
        self.group = None
        self.term = 0
        self.aborted = False
        self.last_used_at = now
        self.request_id = None
        self.writes = request_records.StatementsDigest()


class CallerSession(WireSession):
    """One caller's connection: its workspace, floor and transaction.

    The floor is the lowest position that a database must have applied before it
    may serve a read of this session.
    """

    def __init__(self, entry):
        super().__init__()
        self.entry = entry
        self.floor = ZERO
        self.has_token = False
        self.route = ""
        self.request_id = None
        self.transaction = None
        self.autocommit_enabled = True
        self.busy = False

    def _now(self):
        return asyncio.get_running_loop().time()

    def caller(self):
        """Return (workspace, key id); both are None for a caller without a key."""
        return identity.split_user(self.username)

    def in_transaction(self):
        return self.transaction is not None

    def autocommit(self):
        return self.autocommit_enabled

    async def close(self):
        await self._discard_transaction()

    async def reset(self):
        await self._discard_transaction()
        self.autocommit_enabled = True
        self.route = ""
        self.request_id = None
        self.has_token = False

    async def use(self, database):
        workspace, _ = self.caller()
        if database and database != workspace:
            raise DfwError(errors.OTHER_WORKSPACE, f"no access to schema {database!r}")
        self.database = database

    async def execute(self, sql, attrs):
        started_at = self._now()
        self.busy = True
        outcome = "error"
        try:
            result = await self._execute(sql, attrs, started_at)
            outcome = "ok"
            return result
        except DfwError:
            # A request id applies to one statement, even if that is refused.
            self.request_id = None
            raise
        finally:
            self.busy = False
            elapsed_s = self._now() - started_at
            self.entry.metrics.time("statement", elapsed_s, "any", outcome)

    # Checks

    def _check_access(self, route):
        """Return (configuration, workspace) for a statement, or raise DfwError.

        The workspace is None if the caller has no key and the route requires one.
        """
        entry = self.entry
        cfg = entry.versions.cfg
        if cfg is None:
            raise DfwError(errors.NO_CONFIGURATION, "no configuration is in force yet")
        if versions.age(entry.versions, self._now()) > entry.cfg.times.offline_keys_s:
            raise DfwError(
                errors.CONFIGURATION_STALE,
                "keys were not confirmed by the store for too long",
            )
        workspace, key_id = self.caller()
        if workspace is None:
            spec = cfg.routes.get(route)
            return cfg, spec.workspace if spec and spec.open else None
        if not identity.is_valid_key(cfg, workspace, key_id):
            raise DfwError(errors.KEY_WITHDRAWN, "the key was withdrawn")
        if self.database and self.database != workspace:
            raise DfwError(
                errors.OTHER_WORKSPACE, f"no access to schema {self.database!r}"
            )
        return cfg, workspace

    @staticmethod
    def _check_open_route(kind, workspace):
        """Refuse a statement that a caller without a key may not run."""
        if kind in (Kind.SET, Kind.SHOW):
            return
        if workspace is None:
            raise DfwError(errors.ACCESS_DENIED, "this route needs a key")
        if kind is not Kind.READ:
            raise DfwError(errors.ACCESS_DENIED, "open routes serve reads only")

    async def _execute(self, sql, attrs, started_at):
        attrs = {name: str(value) for name, value in attrs.items()}
        route = attrs.get("route", self.route)
        if "session_token" in attrs:
            self._set_token(attrs["session_token"])
        cfg, workspace = self._check_access(route)
        statement = statements.decide(self.entry.statements, sql, workspace or "")
        if self.caller()[0] is None:
            self._check_open_route(statement.kind, workspace)
        deadline = self._deadline(statement.kind, started_at)
        request_id = attrs.get("request_id") or self.request_id
        return await self._dispatch(
            statement, sql, cfg, workspace, route, deadline, request_id
        )

    def _deadline(self, kind, started_at):
        """Return a statement's deadline; raise DfwError if a stop leaves no time."""
        stop, limit_s = self.entry.stop, self.entry.cfg.times.statement_s
        has_time = stopping.accepts_statement(stop, started_at, limit_s)
        if not has_time and kind is not Kind.ROLLBACK:
            raise DfwError(errors.SHUTTING_DOWN, "instance is shutting down, not run")
        return stopping.deadline(stop, started_at + limit_s)

    async def _dispatch(
        self, statement, sql, cfg, workspace, route, deadline, request_id
    ):
        kind = statement.kind
        if kind is Kind.SET:
            return await self._set_variables(statement.values, deadline)
        if kind is Kind.SHOW:
            return self._show(*statement.values)
        if kind is Kind.USE:
            return Result()
        if kind is Kind.ROLLBACK:
            return await self._rollback(deadline)
        if kind is Kind.COMMIT:
            return await self._commit(deadline, request_id)
        group = self.entry.groups[cfg.workspaces[workspace].group]
        group.mark_in_use()
        if kind is Kind.BEGIN:
            await self._commit(deadline, None)
            self._start_transaction(request_id)
            return Result()
        has_no_key = self.caller()[0] is None
        if self.transaction is None and not self.autocommit_enabled and not has_no_key:
            self._start_transaction(request_id)
        await self.entry.limiter.admit(workspace)
        if self.transaction is not None:
            return await self._run_in_transaction(group, workspace, sql, kind, deadline)
        if kind is Kind.READ:
            spec = cfg.routes.get(route)
            max_age_s = spec.max_age_ms / 1000 if spec else 0
            return await self._read(group, workspace, sql, max_age_s, deadline)
        self.request_id = None
        return await self._write(group, workspace, sql, request_id, deadline)

    # Settings

    def _set_token(self, text):
        if not text:
            self.has_token = False
            return
        try:
            token = decode_token(text)
        except ValueError:
            raise DfwError(
                errors.STATEMENT_REFUSED, "session_token: expected TERM.INDEX"
            ) from None
        self.has_token = True
        self.floor = max(self.floor, token)

    async def _set_variables(self, settings, deadline):
        for name, value in settings:
            if name == "autocommit":
                self.autocommit_enabled = value.lower() in ("1", "on", "true")
                if self.autocommit_enabled and self.transaction is not None:
                    await self._commit(deadline, None)
            elif name == "@dfw_session_token":
                self._set_token(value)
            elif name == "@dfw_route":
                self._set_route(value)
            elif name == "@dfw_request_id":
                self._set_request_id(request_records.check_id(value))
            elif name.startswith("@"):
                raise DfwError(errors.STATEMENT_REFUSED, f"unknown setting {name}")
        return Result()

    def _set_route(self, name):
        if len(name) > MAX_ROUTE_CHARS:
            text = f"dfw_route: expected at most {MAX_ROUTE_CHARS} characters"
            raise DfwError(errors.STATEMENT_REFUSED, text)
        self.route = name

    def _set_request_id(self, request_id):
        if self.transaction is not None:
            self.transaction.request_id = request_id
        else:
            self.request_id = request_id

    def _show(self, form, name):
        values = {
            **SYSTEM_VARIABLES,
            "database": self.caller()[0],
            "schema": self.caller()[0],
            "version": SERVER_VERSION,
            "connection_id": str(self.connection.connection_id),
            "autocommit": "1" if self.autocommit_enabled else "0",
            "dfw_session_token": encode_token(self.floor),
        }
        if form == "row":
            rows = ((name, values[name]),) if name in values else ()
            return Result(SHOW_VARIABLES_COLUMNS, rows)
        if name not in values:
            code = errors.Code(1193, "HY000", "unknown_variable")
            raise DfwError(code, f"unknown system variable {name!r}")
        return Result((Column(f"@@{name}", VAR_STRING),), ((values[name],),))

    # Reads

    async def _read(self, group, workspace, sql, max_age_s, deadline):
        budget = self.entry.retry_budget
        budget.record_attempt()
        attempt = 0
        while True:
            try:
                return await self._read_once(group, workspace, sql, max_age_s, deadline)
            except DatabaseError:
                raise
            except DfwError as exc:
                exc.verdict = Verdict.NOT_RUN
                await self._pause_or_raise(exc, attempt, deadline, "read")
            attempt += 1

    async def _pause_or_raise(self, exc, attempt, deadline, kind):
        """Wait before the next attempt, or raise if no time or retry budget is left."""
        pause = retries.backoff(attempt, random)
        is_late = self._now() + pause >= deadline
        if is_late or exc.code in errors.FINAL_CODES:
            raise exc
        # The wait for a new primary is exempt from the retry budget, which a busy
        # instance would exhaust before the failover ends.
        if exc.code is not errors.NO_PRIMARY and not self.entry.retry_budget.spend():
            self.entry.metrics.count("retry.budget_spent")
            raise exc
        self.entry.metrics.count(f"retry.{kind}.{exc.code.reason}")
        await asyncio.sleep(pause)

    async def _read_floor(self, group, max_age_s, deadline):
        """Return the position that a database must have applied to serve the read."""
        if self.has_token:
            return self.floor
        if max_age_s:
            aged_floor = group.position_history.floor(self._now(), max_age_s)
            if aged_floor is not None:
                return max(self.floor, aged_floor)
        granted = await group.fence(deadline)
        return max(self.floor, granted.position)

    async def _read_once(self, group, workspace, sql, max_age_s, deadline):
        metrics = self.entry.metrics
        floor = await self._read_floor(group, max_age_s, deadline)
        chosen = routing.choose(group.replicas(), floor, random)
        if chosen is None:
            wait_s = self.entry.cfg.times.replica_wait_s
            wait_until = min(deadline, self._now() + wait_s)
            if await group.wait_replica(floor, wait_until):
                chosen = routing.choose(group.replicas(), floor, random)
        if chosen is not None:
            backend = group.backends[chosen.name]
            result = await backend.run(workspace, sql, deadline)
            metrics.count("read.replica")
            self.floor = max(self.floor, chosen.position)
            return result
        return await self._read_primary(group, workspace, sql, floor, deadline)

    async def _read_primary(self, group, workspace, sql, floor, deadline):
        """Read from the primary after a majority has confirmed it as primary."""
        granted = await group.fence(deadline)
        backend = group.backends[granted.primary]
        group.check_evacuation(backend)
        result = await backend.run(workspace, sql, deadline)
        self.entry.metrics.count("read.primary")
        self.floor = max(self.floor, floor, granted.position)
        return result

    # Writes

    async def _write(self, group, workspace, sql, request_id, deadline):
        if request_id is not None:
            request_records.check_id(request_id)
        self.entry.retry_budget.record_attempt()
        attempt, may_have_run = 0, False
        while True:
            try:
                if request_id is None:
                    return await self._write_once(group, workspace, sql, deadline)
                return await self._write_recorded(
                    group, workspace, sql, request_id, deadline
                )
            except DatabaseError:
                raise
            except DfwError as exc:
                may_have_run = may_have_run or exc.verdict is Verdict.MAY_HAVE_RUN
                if may_have_run:
                    # A later attempt that did not run says nothing about this one.
                    exc.verdict = Verdict.MAY_HAVE_RUN
                if not retries.may_retry(exc.verdict, False, request_id is not None):
                    raise
                await self._pause_or_raise(exc, attempt, deadline, "write")
            attempt += 1

    async def _write_once(self, group, workspace, sql, deadline):
        backend = await group.wait_primary(deadline)
        try:
            result = await backend.run(workspace, sql, deadline)
        except DfwError as exc:
            self._note_failure(group, backend, exc)
            raise
        await self._acknowledge(group, backend, result, deadline)
        return result._replace(info=b"")

    def _note_failure(self, group, backend, exc):
        if exc.code in (errors.NO_PRIMARY, errors.NO_DATABASE):
            group.forget_primary(backend.name)

    async def _acknowledge(self, group, backend, result, deadline):
        position = parse_position(result.info)
        if position is None:
            return
        await group.ack(backend.name, position, deadline)
        self.floor = max(self.floor, position)

    async def _write_recorded(self, group, workspace, sql, request_id, deadline):
        backend = await group.wait_primary(deadline)
        term = group.term
        try:
            conn = await backend.acquire(workspace, deadline)
        except DfwError as exc:
            self._note_failure(group, backend, exc)
            raise
        reusable = False

        async def run(text):
            return await backend.run_on(conn, text, deadline)

        try:
            result, info = await self._run_recorded(run, sql, request_id)
            reusable = True
        except DatabaseError:
            reusable = True
            raise
        except DfwError as exc:
            self._note_failure(group, backend, exc)
            raise
        finally:
            backend.release(conn, reusable)
        if info:
            await self._acknowledge(group, backend, Result(info=info), deadline)
        else:
            await self._acknowledge_all(group, backend, term, deadline)
        return result

    async def _run_recorded(self, run, sql, request_id):
        """Return (result, info of COMMIT); the info is empty for a repeated request."""
        statements_digest = request_records.StatementsDigest(sql).hexdigest()
        await run("BEGIN")
        try:
            result = await run(sql)
            await run(request_records.insert_sql(request_id, statements_digest, result))
        except DatabaseError as exc:
            await run("ROLLBACK")
            earlier_result = await request_records.find(
                run, request_id, statements_digest
            )
            if earlier_result is not None:
                self.entry.metrics.count("write.repeated")
                return earlier_result, b""
            if (
                exc.code.errno == request_records.NO_TABLE_ERRNO
                and request_records.TABLE in str(exc)
            ):
                await run(request_records.CREATE)
                return await self._run_recorded(run, sql, request_id)
            raise
        return result._replace(info=b""), (await run("COMMIT")).info

    async def _acknowledge_all(self, group, backend, term, deadline):
        """Return once a majority stores everything that the primary has committed.

        `term` is the one in which it was primary before something was read there. A
        database that has been replaced meanwhile may no longer hold what was read.
        """
        status = await backend.query_status(self.entry.cfg.times.probe_timeout_s)
        if status is None or not status.primary or status.received.term != term:
            raise DfwError(
                errors.ACK_TIMEOUT,
                "the primary's position is unknown",
                Verdict.MAY_HAVE_RUN,
            )
        await group.ack(backend.name, status.received, deadline)
        self.floor = max(self.floor, status.received)

    # Transactions

    def _start_transaction(self, request_id):
        self.transaction = Transaction(self._now())
        self.transaction.request_id = request_id
        self.request_id = None

    async def _run_in_transaction(self, group, workspace, sql, kind, deadline):
        transaction = self.transaction
        if transaction.aborted:
            raise DfwError(errors.TRANSACTION_LOST, "the transaction was rolled back")
        transaction.last_used_at = self._now()
        if transaction.conn is None:
            await self._open_transaction(group, workspace, deadline)
        backend = transaction.backend
        try:
            result = await backend.run_on(transaction.conn, sql, deadline)
        except DatabaseError:
            raise
        except DfwError as exc:
            await self._abort_transaction(transaction)
            self._note_failure(group, backend, exc)
            # COMMIT was not sent, so the transaction has no effect.
            raise DfwError(
                errors.TRANSACTION_LOST, f"rolled back: {exc.message}"
            ) from exc
        transaction.last_used_at = self._now()
        if kind is Kind.WRITE:
            transaction.writes.add(sql)
        return result._replace(info=b"")

    async def _open_transaction(self, group, workspace, deadline):
        attempt = 0
        while True:
            backend = await group.wait_primary(deadline)
            conn = None
            try:
                # The fence prevents a start on a primary that was replaced.
                granted = await group.fence(deadline)
                backend, term = group.backends[granted.primary], group.term
                conn = await backend.acquire(workspace, deadline)
                await backend.run_on(conn, "BEGIN", deadline)
            except DfwError as exc:
                if conn is not None:
                    backend.release(conn, False)
                self._note_failure(group, backend, exc)
                if isinstance(exc, DatabaseError):
                    raise
                exc.verdict = Verdict.NOT_RUN
                await self._pause_or_raise(exc, attempt, deadline, "begin")
                attempt += 1
                continue
            except BaseException:
                if conn is not None:
                    backend.release(conn, False)
                raise
            conn.in_transaction = True
            self.transaction.conn = conn
            self.transaction.backend = backend
            self.transaction.group = group
            self.transaction.term = term
            self.entry.transactions.add(self)
            return

    async def _abort_transaction(self, transaction):
        """Close the transaction's connection, which rolls the transaction back.

        The session stays in the transaction until the caller ends it.
        """
        transaction.aborted = True
        if transaction.conn is not None:
            transaction.backend.release(transaction.conn, False)
            transaction.conn = None

    def _detach_transaction(self):
        """Remove the transaction from the session and return it, or None."""
        transaction, self.transaction = self.transaction, None
        self.entry.transactions.discard(self)
        return transaction

    async def _discard_transaction(self):
        transaction = self._detach_transaction()
        if transaction is not None:
            await self._abort_transaction(transaction)

    async def abort_idle(self, now, limit_s):
        """Roll back the transaction if it was idle for more than `limit_s`."""
        transaction = self.transaction
        if transaction is None or self.busy or transaction.conn is None:
            return
        if transaction.backend.time_left().to_accept_s <= 0:
            self.entry.metrics.count("transaction.evacuated")
            await self._abort_transaction(transaction)
        elif now - transaction.last_used_at > limit_s:
            self.entry.metrics.count("transaction.idle")
            await self._abort_transaction(transaction)

    async def _rollback(self, deadline):
        transaction = self._detach_transaction()
        self.request_id = None
        if transaction is None or transaction.conn is None:
            return Result()
        conn, backend = transaction.conn, transaction.backend
        try:
            await backend.run_on(conn, "ROLLBACK", deadline)
            conn.in_transaction = False
        except DfwError:
            pass
        finally:
            backend.release(conn, not conn.in_transaction)
        return Result()

    async def _commit(self, deadline, request_id):
        transaction = self._detach_transaction()
        if transaction is None:
            return Result()
        self.request_id = None
        if transaction.aborted:
            raise DfwError(errors.TRANSACTION_LOST, "the transaction was rolled back")
        if transaction.conn is None:
            return Result()
        request_id = transaction.request_id or request_id
        group = transaction.group
        conn, backend = transaction.conn, transaction.backend
        try:
            result = await self._commit_on(transaction, request_id, deadline)
            conn.in_transaction = False
        except DfwError as exc:
            self._note_failure(group, backend, exc)
            raise
        finally:
            backend.release(conn, not conn.in_transaction)
        if result is None:
            await self._acknowledge_all(group, backend, transaction.term, deadline)
            return Result()
        await self._acknowledge(group, backend, result, deadline)
        return Result()

    async def _commit_on(self, transaction, request_id, deadline):
        """Return the Result of COMMIT, or None if the request was committed before."""

        async def run(text):
            return await transaction.backend.run_on(transaction.conn, text, deadline)

        if request_id is not None:
            request_records.check_id(request_id)
            statements_digest = transaction.writes.hexdigest()
            try:
                insert = request_records.insert_sql(
                    request_id, statements_digest, Result()
                )
                await run(insert)
            except DatabaseError as exc:
                return await self._resolve_duplicate(
                    run, request_id, statements_digest, exc
                )
        try:
            return await run("COMMIT")
        except DfwError as exc:
            if exc.code is errors.NO_PRIMARY:
                raise DfwError(errors.TRANSACTION_LOST, exc.message) from exc
            raise

    async def _resolve_duplicate(self, run, request_id, statements_digest, exc):
        await run("ROLLBACK")
        if exc.code.errno == request_records.NO_TABLE_ERRNO:
            await run(request_records.CREATE)
            raise DfwError(
                errors.TRANSACTION_LOST,
                "rolled back to create a table; try again",
            )
        if await request_records.find(run, request_id, statements_digest) is None:
            raise exc
        self.entry.metrics.count("write.repeated")
        return None
