"""A caller's session: variables, prepared statements, transaction and floor.

The floor is the log position that the session's reads must see: that of its
latest write.
"""

import asyncio
import hashlib
import random
from typing import NamedTuple

from dragonflywing import logs, outcomes
from dragonflywing.decisions import regions, retries, stopping
from dragonflywing.decisions.positions import Position
from dragonflywing.errors import Verdict
from dragonflywing.outcomes import Refusal
from dragonflywing.session_state import SessionState

# States of a session, sent to the caller with each answer.
IDLE = "idle"
IN_TRANSACTION = "in_transaction"
FAILED = "failed"

# Enough for a read that reaches two lagging replicas and a former primary, and for
# a write to wait about 0.5 s in all for a new primary before it is refused.
MAX_ATTEMPTS = 6
# Fraction of a statement's remaining time that it may wait for a known primary.
PRIMARY_WAIT_FRACTION = 0.6
# Refusals of homes and databases that are overloaded.
OVERLOAD_CODES = frozenset({outcomes.OVERLOADED, outcomes.NO_CONNECTION})
# How many other replicas a read may try that was refused as overloaded, where
# workspaces compete for connections. More attempts would add to the load.
MAX_OTHER_REPLICAS = 1

# Kinds of operations that may reach a database or begin a transaction.
FORWARDED_KINDS = ("begin", "begin_read", "commit", "read", "write", "execute")
# The objective of an operation counts as missed by at least this time once it is; 0
# would mean that it is unknown.
MIN_MISSED_S = 0.001
# The workspace of callers without a key, on open routes.
OPEN_WORKSPACE = "public"
# Fraction of the route's target time that an operation may wait for its rate limit.
RATE_WAIT_FRACTION = 0.5


class Operation(NamedTuple):
    """A decoded statement of a caller.

    `kind` is begin, begin_read, commit, rollback, read, write, set, prepare,
    execute, close or unknown; `name` and `value` are its arguments.
    """

    kind: str
    statement_id: str
    text: str
    name: str
    value: str


class Reply(NamedTuple):
    """The answer to a statement; `code` is one of `outcomes`."""

    code: str
    text: str
    rows: tuple
    state: str
    position: Position | None


class OpenTransaction(NamedTuple):
    """An open transaction; `handle` is empty until its first statement has run.

    `group` is that of its database; the route may have got another one since.
    """

    is_read_only: bool
    database: str
    home: str
    handle: str
    has_written: bool = False
    group: str = ""


def prepared_name(definition):
    """Return the name under which databases prepare a definition."""
    return "p" + hashlib.sha256(definition.encode()).hexdigest()[:16]


class Session:
    """The state of one caller's connection, independent of its protocol."""

    def __init__(self, node, route_name, key):
        self.node = node
        self.route_name = route_name
        self.key = key
        self.workspace = None
        self.kept = SessionState((route_name, key))
        self.transaction = None
        self.failed = False
        self.floor = Position(0, 0)
        self.operation_began_at = 0.0

    def state(self):
        """Return the session's state."""
        if self.failed:
            return FAILED
        return IN_TRANSACTION if self.transaction is not None else IDLE

    def check_access(self):
        """Return the code with which the route or key is refused, or "".

        Sets the session's workspace if the key is accepted.
        """
        cfg = self.node.directory.cfg
        if cfg is None or not self.node.directory.is_confirmed():
            return outcomes.OVERLOADED
        route = cfg.routes.get(self.route_name)
        if route is None:
            return outcomes.NO_ROUTE
        workspace = cfg.keys.get(self.key)
        if workspace is None and not route.is_open:
            return outcomes.BAD_KEY
        workspace = workspace or OPEN_WORKSPACE
        if self.workspace not in (None, workspace):
            # The key was reassigned to another workspace during the session.
            return outcomes.BAD_KEY
        if self.workspace is None:
            self.workspace = workspace
            self.kept.set_workspace(workspace)
        return outcomes.OK

    def route(self):
        """Return the caller's route."""
        return self.node.directory.cfg.routes[self.route_name]

    def freshness(self):
        """Return the freshness of the caller's route, "none" if it was removed."""
        cfg = self.node.directory.cfg
        route = cfg.routes.get(self.route_name) if cfg else None
        return route.freshness if route else "none"

    def _reply(self, code="", text="-", rows=(), position=None):
        return Reply(code, text, rows, self.state(), position)

    async def handle(self, op):
        """Run one statement and return its Reply."""
        if self.transaction is None:
            self.operation_began_at = self.node.now()
        if self.failed and op.kind not in ("rollback", "commit"):
            return self._reply(
                outcomes.MALFORMED,
                "the transaction has failed",
            )
        if self._is_forwarded(op) and not self._has_time(op.kind):
            return self._refuse_stopping(op)
        return await self._handlers()[op.kind](op)

    def _is_forwarded(self, op):
        return op.kind in FORWARDED_KINDS and not self.failed

    def _has_time(self, kind):
        """Return whether an instance that is stopping accepts a statement."""
        stop = self.node.cluster.stop
        if stop is None or self.check_access():
            return True
        now = self.node.now()
        if kind in ("begin", "begin_read"):
            return not stopping.closes_idle_sessions(stop, now)
        limit_s = self.route().timeout_s
        if self.transaction is None:
            limit_s += self._max_rate_wait_s()
        return stopping.accepts_statement(stop, now, limit_s)

    def _refuse_stopping(self, op):
        self.node.metrics.count("refused.stopping")
        if self.transaction is None:
            text = "the instance is stopping, not run, retry at once"
            return self._reply(
                *self._log_refusal(op.statement_id, outcomes.OVERLOADED, text)
            )
        text = "the instance is stopping, rolled back, retry at once"
        self._log_refusal(op.statement_id, outcomes.ABORTED, text)
        self.roll_back()
        self.failed = op.kind != "commit"
        return self._reply(outcomes.ABORTED, text)

    def _handlers(self):
        return {
            "begin": self._begin,
            "begin_read": self._begin,
            "commit": self._commit,
            "rollback": self._rollback,
            "read": self._statement,
            "write": self._statement,
            "execute": self._execute,
            "set": self._set,
            "prepare": self._prepare,
            "close": self._close_prepared,
            "unknown": self._unknown,
        }

    async def _unknown(self, op):
        return self._reply(outcomes.MALFORMED, "unknown statement")

    async def _set(self, op):
        return self._keep(self.kept.set_value, op)

    async def _prepare(self, op):
        return self._keep(self.kept.prepare, op)

    def _keep(self, keep, op):
        """Change what the session keeps; without room its transaction ends."""
        try:
            keep(op.name, op.value)
        except Refusal as exc:
            self._fail()
            return self._reply(*self._log_refusal(op.statement_id, exc.code, exc.text))
        return self._reply()

    async def _close_prepared(self, op):
        self.kept.close_prepared(op.name)
        return self._reply()

    async def _begin(self, op):
        if self.transaction is not None:
            return self._reply(outcomes.MALFORMED, "a transaction is open")
        refusal = await self._admit(op.statement_id)
        if refusal:
            return self._reply(*refusal)
        self.transaction = OpenTransaction(op.kind == "begin_read", "", "", "")
        return self._reply()

    async def _rollback(self, op):
        self.roll_back()
        return self._reply()

    def close(self):
        """End the session; its transaction is rolled back."""
        self.roll_back()
        self.kept.close()

    def roll_back(self):
        """Roll back the transaction, also when the caller has disconnected."""
        transaction, self.transaction = self.transaction, None
        self.failed = False
        if transaction is not None and transaction.handle:
            self.node.router.end_transaction(
                transaction.database, transaction.home, transaction.handle
            )

    async def _commit(self, op):
        if self.failed or self.transaction is None:
            self.roll_back()
            return self._reply(outcomes.ABORTED, "no transaction to commit")
        answer = await self._forward(op, "commit", op.text, {})
        if not answer.code:
            self._note_write(answer)
        # Still open at its home if the commit was refused before it was sent.
        self.roll_back()
        return self._reply(answer.code, answer.text, answer.rows, answer.position)

    async def _execute(self, op):
        definition = self.kept.prepared.get(op.name)
        if definition is None:
            self._fail()
            return self._reply(outcomes.UNKNOWN_STATEMENT, op.name)
        name = prepared_name(definition)
        adapter = self.node.ports.databases
        kind = "read" if adapter.is_read(definition) else "write"
        text = adapter.execute(name, op.value)
        return await self._run(op, kind, text, {name: definition})

    async def _statement(self, op):
        return await self._run(op, op.kind, op.text, {})

    async def _run(self, op, kind, text, prepared):
        if self.transaction is None:
            refusal = await self._admit(op.statement_id)
            if refusal:
                return self._reply(*refusal)
        answer = await self._forward(op, kind, text, prepared)
        if answer.code:
            self._fail()
        elif kind == "write" and self.transaction is None:
            self._note_write(answer)
        elif kind == "write":
            self.transaction = self.transaction._replace(has_written=True)
        return self._reply(answer.code, answer.text, answer.rows, answer.position)

    async def _acknowledge(self, op, group, database, answer, deadline):
        """Return a commit's answer once the caller may be told of its success.

        If this isn't known at the deadline, the commit is in doubt.
        """
        if answer.code or answer.position is None:
            return answer
        is_confirmed = await self.node.acknowledgements.confirm(
            op.statement_id,
            group,
            database,
            answer.position,
            deadline - self.node.now(),
        )
        if is_confirmed:
            return answer
        text = "the primary is being replaced, the commit may be lost"
        return self.node.router.failure(outcomes.IN_DOUBT, text)

    def _note_write(self, answer):
        if answer.position is not None:
            self.floor = max(self.floor, answer.position)

    def _fail(self):
        if self.transaction is not None:
            self.roll_back()
            self.failed = True

    async def _admit(self, statement_id):
        """Wait for the rate limit; return (code, text) of a refusal, or None."""
        code = self.check_access()
        if code:
            return self._log_refusal(statement_id, code, "route or key")
        if self.workspace == OPEN_WORKSPACE:
            return None
        wait_s = await self.node.admit(self.workspace, self._max_rate_wait_s())
        if wait_s > 0:
            text = f"over the rate, not run, retry in {int(wait_s * 1000) + 1} ms"
            return self._log_refusal(statement_id, outcomes.OVERLOADED, text)
        return None

    def _max_rate_wait_s(self):
        return RATE_WAIT_FRACTION * self.route().target_s

    def _log_refusal(self, statement_id, code, text):
        self.node.metrics.count(f"refused.{code}")
        logs.event(
            "refused",
            request=statement_id,
            code=code,
            reason=text,
            version=self.node.directory.version(),
            age_s=self.node.directory.confirmation_age(),
        )
        return code, text

    # Statements for databases

    async def _forward(self, op, kind, text, prepared):
        """Run a statement on a database; return its Answer."""
        code = self.check_access()
        if code:
            self._log_refusal(op.statement_id, code, "route or key")
            return self.node.router.failure(code, "route or key")
        if not self.kept.is_large():  # nearly all
            return await self._forward_admitted(op, kind, text, prepared)
        try:
            async with self.kept.forwarding():
                return await self._forward_admitted(op, kind, text, prepared)
        except Refusal as exc:
            self._log_refusal(op.statement_id, exc.code, exc.text)
            return self.node.router.failure(exc.code, exc.text)

    async def _forward_admitted(self, op, kind, text, prepared):
        if self.transaction is not None and self.transaction.handle:
            return await self._forward_in_transaction(op, kind, text, prepared)
        return await self._forward_with_retries(op, kind, text, prepared)

    def _request(self, op, kind, text, prepared, database, timeout_s):
        return self.node.router.new_request(
            database=database,
            workspace=self.workspace,
            statement_id=op.statement_id,
            text=text,
            kind=kind,
            values=self.kept.values,
            prepared=prepared,
            timeout=timeout_s,
            priority=self.route().priority,
            target=self._target_left_s(),
        )

    def _target_left_s(self):
        """Return the seconds until the operation's objective is missed, never 0."""
        end = self.operation_began_at + self.route().target_s
        left_s = end - self.node.now()
        return left_s if abs(left_s) >= MIN_MISSED_S else -MIN_MISSED_S

    def _deadline(self, route):
        """Return when a statement that is forwarded now must have ended."""
        end = self.node.now() + route.timeout_s
        return stopping.deadline(self.node.cluster.stop, end)

    async def _forward_in_transaction(self, op, kind, text, prepared):
        transaction, router = self.transaction, self.node.router
        find_allowed = self._region_finder(self.route())
        if not router.is_allowed(
            transaction.database, transaction.home, find_allowed()
        ):
            return self._abort_outside_regions(op)
        deadline = self._deadline(self.route())
        remaining_s = deadline - self.node.now()
        req = self._request(op, kind, text, prepared, transaction.database, remaining_s)
        req.transaction = transaction.handle
        answer, handle, _ = await router.run_at(transaction.home, req)
        if kind == "commit" and transaction.has_written:
            answer = await self._acknowledge(
                op, transaction.group, transaction.database, answer, deadline
            )
        if handle:
            return answer
        self.transaction = transaction._replace(handle="")
        if kind == "commit":
            self._log_outcome(op, kind, req, transaction.home, answer, 0, deadline)
        verdict = outcomes.verdict(answer.code)
        if kind != "commit" and verdict is Verdict.MAY_HAVE_RUN:
            # Without its commit the transaction has no effect.
            return answer._replace(code=outcomes.ABORTED)
        return answer

    def _abort_outside_regions(self, op):
        """Roll back a transaction whose database or home is no longer allowed."""
        transaction = self.transaction
        self.node.metrics.count("refused.regions")
        text = "the transaction is outside the allowed regions, rolled back"
        self._log_refusal(op.statement_id, outcomes.ABORTED, text)
        self.node.router.end_transaction(
            transaction.database, transaction.home, transaction.handle
        )
        self.transaction = transaction._replace(handle="")
        return self.node.router.failure(outcomes.ABORTED, text)

    def _region_finder(self, route):
        """Return a function that returns the data centres allowed at present.

        They are those that the route and the workspace allow, None for all. If either
        has been removed meanwhile, its last list still applies.
        """
        workspace = None

        def find_allowed():
            nonlocal route, workspace
            cfg = self.node.directory.cfg
            route = cfg.routes.get(self.route_name, route)
            workspace = cfg.workspaces.get(self.workspace, workspace)
            return regions.allowed_data_centres(
                route, workspace, self.node.router.regions
            )

        return find_allowed

    async def _forward_with_retries(self, op, kind, text, prepared):
        route = self.route()
        deadline = self._deadline(route)
        opened_for_writes = (
            self.transaction is not None and not self.transaction.is_read_only
        )
        to_primary = (
            opened_for_writes or kind == "write" or route.freshness == "current"
        )
        tried = set()
        answer = self.node.router.failure(
            outcomes.OVERLOADED, "no database, not run, retry in 300 ms"
        )
        competes = self.node.router.competes(route.group)
        refusals = 0  # by homes or databases that are overloaded
        find_allowed = self._region_finder(route)
        for attempt in range(MAX_ATTEMPTS):
            database = await self._choose_database(
                route, to_primary, tried, deadline, find_allowed
            )
            if self._is_outside_regions(route, database, find_allowed()):
                answer = self.node.router.refuse_outside_regions(route.group)
                self._log_refusal(op.statement_id, answer.code, answer.text)
                return answer
            remaining_s = deadline - self.node.now()
            if database is None or remaining_s <= 0:
                if competes and not attempt:
                    answer = self.node.router.refuse_without_primary(route.group)
                    self._log_refusal(op.statement_id, answer.code, answer.text)
                break
            if refusals and self.node.router.known_wait_s(database) > remaining_s:
                break
            code = self.check_access()
            if code:
                # The key may have been withdrawn during the wait.
                answer = self.node.router.failure(code, "route or key")
                break
            req = self._request(op, kind, text, prepared, database, remaining_s)
            self._set_opening_and_bounds(req, route, kind, database)
            answer, handle, home = await self.node.router.run(req, find_allowed)
            self.node.router.note_answer(req, route, answer)
            if kind == "write" and self.transaction is None:
                answer = await self._acknowledge(
                    op, route.group, database, answer, deadline
                )
            if self.transaction is not None:
                self.transaction = self.transaction._replace(
                    database=database, home=home, handle=handle, group=route.group
                )
            if not answer.code or not self._may_retry(kind, answer.code):
                self._log_outcome(op, kind, req, home, answer, attempt, deadline)
                break
            self.node.metrics.count(f"retry.{answer.code}")
            logs.event(
                "retry",
                request=op.statement_id,
                database=database,
                home=home,
                code=answer.code,
                attempt=attempt,
            )
            tried.add(database)
            if competes and answer.code in OVERLOAD_CODES:
                refusals += 1
                if not to_primary and refusals > MAX_OTHER_REPLICAS:
                    break
            if to_primary and attempt + 1 < MAX_ATTEMPTS:
                await asyncio.sleep(retries.backoff(attempt, random))
        if competes and refusals and answer.code in OVERLOAD_CODES:
            refusal = self.node.router.refuse_overloaded(route.group)
            answer = answer._replace(text=refusal.text)
            self._log_refusal(op.statement_id, answer.code, answer.text)
        return self._resolve_unknown_outcome(kind, answer)

    def _log_outcome(self, op, kind, req, home, answer, attempt, deadline):
        name, fields = "failed" if answer.code else "served", {}
        is_commit = kind == "commit" or (kind == "write" and self.transaction is None)
        if is_commit and not answer.code and answer.position is not None:
            # Under another name, so that many reads don't suppress its line.
            name, fields = "committed", answer.position._asdict()
        logs.event(
            name,
            request=op.statement_id,
            kind=kind,
            code=answer.code or "ok",
            database=req.database,
            home=home,
            attempt=attempt,
            left_s=deadline - self.node.now(),
            max_age_s=req.max_age,
            version=self.node.directory.version(),
            **fields,
        )

    def _set_opening_and_bounds(self, req, route, kind, database):
        adapter = self.node.ports.databases
        if self.transaction is not None:
            req.opening = (
                adapter.BEGIN_READ if self.transaction.is_read_only else adapter.BEGIN
            )
        if kind != "write" or req.opening:
            req.max_age = 0.0 if route.freshness == "current" else route.max_age_s
        is_primary = self.node.router.is_primary(route, database)
        if route.freshness == "session" and not is_primary:
            req.floor_term, req.floor_index = self.floor

    def _may_retry(self, kind, code):
        if outcomes.verdict(code) is Verdict.NOT_RUN:
            return code not in (outcomes.BAD_KEY, outcomes.NO_ROUTE)
        return kind == "read"

    def _resolve_unknown_outcome(self, kind, answer):
        """Return the answer as aborted if it is in doubt but can't have an effect."""
        if outcomes.verdict(answer.code) is not Verdict.MAY_HAVE_RUN:
            return answer
        if kind == "read" or (kind == "write" and self.transaction is not None):
            return answer._replace(code=outcomes.ABORTED)
        return answer

    def _is_outside_regions(self, route, database, allowed):
        """Return whether no allowed database is left for a statement."""
        router = self.node.router
        if database is None:
            return not router.has_allowed(route.group, allowed)
        return not router.is_allowed(database, None, allowed)

    async def _choose_database(self, route, to_primary, tried, deadline, find_allowed):
        allowed = find_allowed()
        if not self.node.router.has_allowed(route.group, allowed):
            return None
        if not to_primary:
            database = self.node.router.choose_reader(
                route, tried, self.workspace, allowed
            )
            if database is not None:
                return database
        wait_s = (deadline - self.node.now()) * PRIMARY_WAIT_FRACTION
        return await self.node.router.wait_primary(route.group, wait_s)
