"""The connection for a database's control statements: STATUS, PAUSE and others."""

import asyncio

from dragonflywing.clock import boottime
from dragonflywing.ports import ConnectionFailed, ConnectionRefused

STATUS_TIMEOUT_S = 0.4  # may wait for a slot behind two long statements
CONTROL_WORKSPACE = "dragonflywing"


class ControlConnection:
    """A connection that runs one control statement at a time, opened when needed."""

    def __init__(self, database, adapter, metrics, pacer):
        self.database = database
        self.adapter = adapter
        self.metrics = metrics
        self.pacer = pacer
        self._conn = None
        self._connected_at = 0.0
        self._lock = asyncio.Lock()

    async def command(self, text):
        """Run a control statement; return its DatabaseStatus, None if it failed."""
        async with self._lock:
            try:
                async with asyncio.timeout(STATUS_TIMEOUT_S):
                    if self._conn is None:
                        self._conn = await self.adapter.connect(
                            self.database, CONTROL_WORKSPACE
                        )
                        self._connected_at = boottime()
                    started_at = asyncio.get_running_loop().time()
                    answer = await self._conn.run("-", text)
                    self.pacer.note_round_trip(started_at)
                    status = self.adapter.decode_status(answer)
                    connected_s = boottime() - self._connected_at
            except (ConnectionFailed, ConnectionRefused, TimeoutError) as exc:
                self.metrics.count(f"database.control.{type(exc).__name__}")
                return None
            finally:
                # A statement that was cancelled or failed has dropped it.
                if self._conn is not None and self._conn.is_broken():
                    self.close()
        return status and status._replace(connected_s=connected_s)

    def close(self):
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def close_if_unused(self):
        """Close the connection unless a statement runs on it."""
        if not self._lock.locked():
            self.close()
