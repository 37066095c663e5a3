"""Tests of connections to MySQL databases that end without an answer."""

import asyncio

from dragonflywing.backend import BackendConnection
from test.helper import run_on_simulated_clock


class SilentDriver:
    """A driver's connection whose database never answers."""

    def __init__(self):
        self.is_closed = False

    async def query(self, sql):
        await asyncio.Event().wait()

    def close(self):
        self.is_closed = True


class TestCancelledQueries:
    def test_close_their_connection(self):
        # STALE: on the users' platform the next query got the answer to this one.
        async def check():
            driver = SilentDriver()
            conn = BackendConnection(driver)
            task = asyncio.create_task(conn.query("SELECT 1"))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait({task})
            assert conn.broken and driver.is_closed

        run_on_simulated_clock(check())
