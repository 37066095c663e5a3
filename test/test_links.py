"""Tests of calls between instances over one connection."""

import asyncio
import socket

import pytest

from dragonflywing.links import Link, LinkLost, LinkServer
from dragonflywing.metrics import Metrics
from test.helper import run


class TestCalls:
    async def _serve(self, handle, on_closed=lambda origin: None):
        server = LinkServer(handle, on_closed, Metrics())
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        return server, Link("127.0.0.1", port)

    def test_slow_call_does_not_delay_others(self):
        run(self._call_slow_and_fast())

    async def _call_slow_and_fast(self):
        async def handle(name, body, origin):
            await asyncio.sleep(0.2 if name == "slow" else 0)
            return name.encode() + body

        server, link = await self._serve(handle)
        slow = asyncio.create_task(link.call("slow", b"\xff", 1.0))
        await asyncio.sleep(0)
        assert await link.call("fast", b"1", 1.0) == b"fast1"
        assert not slow.done()
        assert await slow == b"slow\xff"
        link.close()
        server.close()

    def test_timed_out_call_is_cancelled_at_the_server(self):
        run(self._time_out())

    async def _time_out(self):
        cancelled = asyncio.Event()

        async def handle(name, body, origin):
            try:
                await asyncio.sleep(10)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        server, link = await self._serve(handle)
        with pytest.raises(LinkLost) as exc_info:
            await link.call("run", b"", 0.1)
        assert exc_info.value.sent
        await asyncio.wait_for(cancelled.wait(), 1)
        link.close()
        server.close()

    def test_close_fails_calls_that_wait_for_a_connection(self):
        run(self._close_while_opening())

    async def _close_while_opening(self):
        # With a full accept queue the next connect hangs, as it does to a machine
        # that is off.
        with socket.socket() as server, socket.socket() as client:
            server.bind(("127.0.0.1", 0))
            server.listen(0)
            client.connect(server.getsockname())
            link = Link(*server.getsockname())
            call = asyncio.create_task(link.call("run", b"", 5.0))
            await asyncio.sleep(0.05)
            link.close()
            with pytest.raises(LinkLost) as exc_info:
                await asyncio.wait_for(call, 0.2)
            assert not exc_info.value.sent

    def test_unsent_call_is_not_marked_as_sent(self):
        run(self._call_closed_server())

    async def _call_closed_server(self):
        async def handle(name, body, origin):
            return b""

        server, link = await self._serve(handle)
        server.close()
        await server._server.wait_closed()
        with pytest.raises(LinkLost) as exc_info:
            await link.call("run", b"", 0.5)
        assert not exc_info.value.sent

    def test_server_reports_a_closed_connection(self):
        run(self._close_and_wait())

    async def _close_and_wait(self):
        closed = []

        async def handle(name, body, origin):
            return b""

        server, link = await self._serve(handle, closed.append)
        await link.call("run", b"", 0.5)
        link.close()
        for _ in range(100):
            if closed:
                break
            await asyncio.sleep(0.01)
        assert len(closed) == 1
        server.close()
