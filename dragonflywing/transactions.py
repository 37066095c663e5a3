"""The open transactions of a database at its home."""

import asyncio
from typing import NamedTuple

from dragonflywing.connection_pool import PooledConnection
from dragonflywing.ports import ConnectionFailed
from dragonflywing.supervisor import spawn

ROLLBACK_TIMEOUT_S = 0.5


class Transaction(NamedTuple):
    """An open transaction: its connection, and the link that it was opened over."""

    pooled: PooledConnection
    origin: object


class Transactions:
    """The open transactions by handle; `tasks` holds the tasks that end them."""

    def __init__(self, pool, metrics, tasks):
        self.pool = pool
        self.metrics = metrics
        self.by_handle = {}
        self._tasks = tasks

    async def roll_back_connection(self, pooled):
        """Roll back on a connection; it returns to the pool unless this fails.

        If the database may get no statements, the end of the connection rolls back.
        """
        if not self.pool.may_send():
            self.pool.discard(pooled)
            return
        self.pool.pacer.reserve()
        try:
            with self.pool.discarding_on_error(pooled):
                async with asyncio.timeout(ROLLBACK_TIMEOUT_S):
                    answer = await pooled.conn.run("-", self.pool.adapter.ROLLBACK)
        except (ConnectionFailed, TimeoutError):
            return
        if answer.code or answer.in_transaction:
            self.pool.discard(pooled)
        else:
            self.pool.put_back(pooled)

    def roll_back(self, handle):
        """Roll back an open transaction."""
        transaction = self.by_handle.pop(handle, None)
        if transaction is not None:
            spawn(self._tasks, self.roll_back_connection(transaction.pooled))

    def roll_back_all(self, origin):
        """Roll back the transactions of an instance whose link was closed."""
        for handle, transaction in list(self.by_handle.items()):
            if transaction.origin is origin:
                self.roll_back(handle)

    def roll_back_connection_later(self, pooled):
        """Start the rollback of a connection whose transaction isn't listed."""
        spawn(self._tasks, self.roll_back_connection(pooled))

    def sweep(self, idle_s):
        """Roll back transactions that were abandoned."""
        now = asyncio.get_running_loop().time()
        for handle, transaction in list(self.by_handle.items()):
            if now - transaction.pooled.used_at > 2 * idle_s:
                self.metrics.count("transaction.forgotten")
                self.roll_back(handle)

    def close(self):
        """Close the connections of all transactions."""
        for transaction in self.by_handle.values():
            transaction.pooled.close()
