"""Simulated callers that write, read their own writes and record a history."""

import asyncio
import itertools

import asyncmy
from asyncmy import errors as driver_errors

from dragonflywing.load.deployment import key_of
from dragonflywing.load.history import (
    BATCH_SIZE,
    MAY_HAVE_RUN,
    NOT_RUN,
    OK,
    Operation,
)

CONNECT_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 12.0
RETRY_PAUSE_S = 0.05
# The simulated balancer skips an instance for this long after a failed connect.
AVOID_UNREACHABLE_S = 1.0
# Error numbers of the driver, as prefixes of `Failure.reason`.
SERVER_GONE_ERRNO = "2006"
CONNECT_FAILED_ERRNO = "2003"
MAX_ATTEMPTS = 40
NOT_SENT_ERRNOS = {2002, 2003, 2006, 1040, 1045}
CREATE_TABLE_SQL = (
    "CREATE TABLE IF NOT EXISTS orders (id VARCHAR(64), caller VARCHAR(64), n INT)"
)


class Failure(Exception):
    """A failed statement with its verdict and the driver's error."""

    def __init__(self, verdict, reason):
        super().__init__(reason)
        self.verdict = verdict
        self.reason = reason


def classify(exc, sent):
    """Return the Failure for an exception of the driver.

    Errors of the proxy start with the verdict in brackets. Without one, the
    statement may have run only if it was sent and the client lost the connection.
    """
    errno = exc.args[0] if exc.args and isinstance(exc.args[0], int) else 0
    text = str(exc.args[1]) if len(exc.args) > 1 else str(exc)
    reason = f"{errno} {text}"
    if text.startswith("["):
        return Failure(text[1 : text.index("]")], reason)
    if not sent or errno in NOT_SENT_ERRNOS:
        return Failure(NOT_RUN, reason)
    if errno and not 2000 <= errno < 3000:
        return Failure(NOT_RUN, reason)
    return Failure(MAY_HAVE_RUN, reason)


class Caller:
    """A caller that keeps a connection to each entry instance it uses."""

    def __init__(self, name, workspace, deployment, history, rng):
        self.name = name
        self.workspace = workspace
        self.deployment = deployment
        self.history = history
        self.rng = rng
        self.conns = {}
        self.avoided_until = {}
        self.token = None
        self.in_batch = False
        self._ids = itertools.count(1)

    def _now(self):
        return asyncio.get_running_loop().time()

    async def _connection(self, entry):
        conn = self.conns.get(entry)
        if conn is None:
            self.avoided_until[entry] = self._now() + AVOID_UNREACHABLE_S
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                conn = await asyncmy.connect(
                    host="127.0.0.1",
                    port=self.deployment.entries[entry][0],
                    user=self.workspace,
                    password=key_of(self.workspace),
                    autocommit=None,
                )
            self.conns[entry] = conn
            del self.avoided_until[entry]
        return conn

    def drop(self, entry):
        """Close the connection to an entry instance."""
        conn = self.conns.pop(entry, None)
        if conn is not None:
            conn.close()

    async def run(self, entry, *statements):
        """Run statements on one connection; return the rows of the last one.

        If the driver finds the connection closed before it sends the first
        statement, the statements are run on a new one, as a client's pool does.
        In a batch this is an error, since the transaction is lost.
        """
        try:
            return await self._run(entry, statements)
        except Failure as exc:
            if exc.reason.startswith(SERVER_GONE_ERRNO) and not self.in_batch:
                return await self._run(entry, statements)
            raise

    async def _run(self, entry, statements):
        sent = False
        try:
            conn = await self._connection(entry)
            cursor = conn.cursor()
            async with asyncio.timeout(CALL_TIMEOUT_S):
                for sql in statements:
                    sent = True
                    await cursor.execute(sql)
            return await cursor.fetchall() if cursor.description else ()
        except driver_errors.MySQLError as exc:
            failure = classify(exc, sent)
            if not str(exc.args[-1]).startswith("[") or "(2" in str(exc):
                self.drop(entry)
            raise failure from None
        except (OSError, TimeoutError) as exc:
            self.drop(entry)
            verdict = MAY_HAVE_RUN if sent else NOT_RUN
            raise Failure(verdict, type(exc).__name__) from None
        except asyncio.CancelledError:
            self.drop(entry)
            raise

    def _record(self, kind, entry, order, started, outcome, reason="", seen=False):
        if reason.startswith(CONNECT_FAILED_ERRNO):
            # Not a failure: the platform's balancer would have picked another instance.
            return
        operation = Operation(
            kind,
            self.workspace,
            self.name,
            entry,
            order,
            started,
            self._now(),
            outcome,
            reason,
            seen,
        )
        self.history.add(operation)

    def pick_entry(self):
        """Return a random entry instance, as the platform's balancer does.

        Instances to which a connection has recently failed are skipped.
        """
        now = self._now()
        names = sorted(self.deployment.entries)
        available = [name for name in names if self.avoided_until.get(name, 0.0) <= now]
        return self.rng.choice(available or names)

    def _insert(self, order):
        n = self.rng.randrange(1000)
        return f"INSERT INTO orders VALUES ('{order}', '{self.name}', {n})"

    async def write(self, with_request_id):
        """Write one order; return its id if it was acknowledged, else None.

        A failed write is retried, unless it may have run and has no request id.
        """
        order = f"{self.name}-{next(self._ids)}"
        sql = self._insert(order)
        for _ in range(MAX_ATTEMPTS):
            entry = self.pick_entry()
            started = self._now()
            try:
                if with_request_id:
                    await self.run(entry, f"SET @dfw_request_id = '{order}'", sql)
                else:
                    await self.run(entry, sql)
            except Failure as exc:
                self._record("write", entry, order, started, exc.verdict, exc.reason)
                if exc.verdict == MAY_HAVE_RUN and not with_request_id:
                    return None
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._record("write", entry, order, started, OK)
            await self._fetch_token(entry)
            return order
        return None

    async def _fetch_token(self, entry):
        try:
            rows = await self.run(entry, "SELECT @@dfw_session_token")
            self.token = rows[0][0]
        except Failure:
            self.token = None

    async def write_batch(self):
        """Write a batch in one transaction; return its id if it was acknowledged."""
        order = f"{self.name}-batch-{next(self._ids)}"
        entry = self.pick_entry()
        started = self._now()
        inserts = [self._insert(order) for _ in range(BATCH_SIZE)]
        committing = False
        try:
            await self.run(entry, "BEGIN")
            self.in_batch = True
            for sql in inserts:
                await self.run(entry, sql)
            committing = True
            await self.run(entry, "COMMIT")
        except Failure as exc:
            # Only a failed COMMIT leaves it unknown whether the batch was stored.
            verdict = exc.verdict if committing else NOT_RUN
            self._record("batch", entry, order, started, verdict, exc.reason)
            await self._roll_back(entry)
            return None
        finally:
            self.in_batch = False
        self._record("batch", entry, order, started, OK)
        return order

    async def _roll_back(self, entry):
        if entry in self.conns:
            try:
                await self.run(entry, "ROLLBACK")
            except Failure:
                self.drop(entry)

    async def read(self, order, with_token):
        """Look up an order through a random entry instance."""
        entry = self.pick_entry()
        statements = [f"SELECT n FROM orders WHERE id = '{order}'"]
        if with_token and self.token:
            statements.insert(0, f"SET @dfw_session_token = '{self.token}'")
        started = self._now()
        try:
            rows = await self.run(entry, *statements)
        except Failure as exc:
            self._record("read", entry, order, started, exc.verdict, exc.reason)
            return
        self._record("read", entry, order, started, OK, seen=bool(rows))
        if with_token:
            # The token stays set on the connection; later reads must use a fence.
            self.drop(entry)

    async def read_aged(self):
        """Count orders on a route that accepts older data."""
        entry = self.pick_entry()
        started = self._now()
        try:
            await self.run(
                entry,
                "SET @dfw_route = 'catalogue'",
                "SELECT COUNT(*) FROM orders",
                "SET @dfw_route = ''",
            )
        except Failure as exc:
            self._record("aged", entry, "", started, exc.verdict, exc.reason)
            return
        self._record("aged", entry, "", started, OK)

    def close(self):
        """Close all connections."""
        for entry in list(self.conns):
            self.drop(entry)


async def order_workload(caller, pause_s, stop):
    """Write single orders and look them up until `stop` is set."""
    while not stop.is_set():
        order = await caller.write(with_request_id=caller.rng.random() < 0.5)
        if order is not None:
            for _ in range(2):
                await caller.read(order, with_token=caller.rng.random() < 0.3)
        await asyncio.sleep(caller.rng.uniform(0.5, 1.5) * pause_s)


async def batch_workload(caller, pause_s, stop):
    """Write batches and run reads that accept older data until `stop` is set."""
    while not stop.is_set():
        order = await caller.write_batch()
        if order is not None:
            await caller.read(order, with_token=False)
        for _ in range(4):
            await caller.read_aged()
        await asyncio.sleep(caller.rng.uniform(0.5, 1.5) * pause_s)


async def create_tables(deployment, history, rng):
    """Create the orders table of every workspace."""
    entry = next(iter(deployment.entries))
    for workspace in deployment.plan.workspaces:
        caller = Caller(f"setup-{workspace}", workspace, deployment, history, rng)
        await caller.run(entry, CREATE_TABLE_SQL)
        caller.close()


async def final_counts(deployment, history, rng):
    """Return the number of rows of every order id, read with a fence."""
    counts = {}
    for workspace in deployment.plan.workspaces:
        caller = Caller(f"final-{workspace}", workspace, deployment, history, rng)
        rows = await _count_rows(caller)
        caller.close()
        counts.update({order: int(count) for order, count in rows})
    return counts


async def _count_rows(caller):
    sql = "SELECT id, COUNT(*) FROM orders GROUP BY id"
    for _ in range(MAX_ATTEMPTS):
        try:
            return await caller.run(caller.pick_entry(), sql)
        except Failure as exc:
            failure = exc
            await asyncio.sleep(0.25)
    raise failure
