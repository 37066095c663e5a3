"""Calls between instances over one connection."""

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

    def test_slow_call_delays_no_other(self):
        run(self._slow())

    async def _slow(self):
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

    def test_cancelled_call_ends_at_the_other_side(self):
        run(self._cancelled())

    async def _cancelled(self):
        ended = asyncio.Event()

        async def handle(name, body, origin):
            try:
                await asyncio.sleep(10)
            except asyncio.CancelledError:
                ended.set()
                raise

        server, link = await self._serve(handle)
        with pytest.raises(LinkLost) as caught:
            await link.call("run", b"", 0.1)
        assert caught.value.sent
        await asyncio.wait_for(ended.wait(), 1)
        link.close()
        server.close()

    def test_closing_ends_calls_that_wait_for_a_connection(self):
        run(self._closed_while_opening())

    async def _closed_while_opening(self):
        # A full queue of new connections: the next one hangs, as to a machine
        # that is off.
        with socket.socket() as full, socket.socket() as first:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            first.connect(full.getsockname())
            link = Link(*full.getsockname())
            call = asyncio.create_task(link.call("run", b"", 5.0))
            await asyncio.sleep(0.05)
            link.close()
            with pytest.raises(LinkLost) as caught:
                await asyncio.wait_for(call, 0.2)
            assert not caught.value.sent

    def test_call_that_was_not_sent_says_so(self):
        run(self._not_sent())

    async def _not_sent(self):
        async def handle(name, body, origin):
            return b""

        server, link = await self._serve(handle)
        server.close()
        await server._server.wait_closed()
        with pytest.raises(LinkLost) as caught:
            await link.call("run", b"", 0.5)
        assert not caught.value.sent

    def test_end_of_a_connection_is_told(self):
        run(self._closed())

    async def _closed(self):
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
