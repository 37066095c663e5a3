"""Tests of calls between instances over one connection."""

import asyncio
import contextlib
import gc
import json
import socket
from types import SimpleNamespace

import pytest

from dragonflywing.cluster import MEMBER_PREFIX, Cluster
from dragonflywing.exchange import Exchange
from dragonflywing.groups import Groups
from dragonflywing.links import MAX_FRAME_BYTES, Link, LinkLost, LinkServer, idl
from dragonflywing.metrics import Metrics
from test.helper import Network, run


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

    def test_too_large_frame_ends_no_other_call(self):
        # The connection was closed, so that others' writes had an unknown outcome.
        run(self._call_too_large())

    async def _call_too_large(self):
        large = b"x" * (MAX_FRAME_BYTES + 1)

        async def handle(name, body, origin):
            await asyncio.sleep(0.2 if name == "write" else 0)
            return large if name == "read" else b"done"

        server, link = await self._serve(handle)
        write = asyncio.create_task(link.call("write", b"", 1.0))
        await asyncio.sleep(0.05)
        with pytest.raises(LinkLost, match="FrameTooLarge"):
            await link.call("read", b"", 1.0)
        with pytest.raises(LinkLost) as exc_info:
            await link.call("other", large, 1.0)
        assert not exc_info.value.sent
        assert await write == b"done"
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


class TestMalformedMessages:
    """Bytes that are no messages, from a broken or foreign process."""

    FRAMES = [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xff" * 64,
        b"\x00\x00\x00\x04" + b"\x00" * 8 + b"\x00" + b"\xff\xfe\xfd\xfc",
        b"\x00\x00\x00\x03" + b"\x00" * 8 + b"\x09" + b"abc",
        b"\x00\x00\x00\x00" + b"\x00" * 8 + b"\x00",
    ]

    def run_quietly(self, check):
        """Run a coroutine; return the unexpected errors that the loop reports."""
        reported = []

        async def run_check():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: reported.append(context))
            await check()
            await asyncio.sleep(0.05)
            gc.collect()
            await asyncio.sleep(0)

        run(run_check())
        return reported

    @pytest.mark.parametrize("data", FRAMES)
    def test_end_only_their_connection_at_the_server(self, data):
        async def check():
            async def handle(name, body, origin):
                return body

            metrics = Metrics()
            server = LinkServer(handle, lambda origin: None, metrics)
            await server.start("127.0.0.1", 0)
            port = server._server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            writer.write_eof()
            await asyncio.wait_for(reader.read(), 2)
            link = Link("127.0.0.1", port)
            assert await link.call("echo", b"x", 1.0) == b"x"
            link.close()
            server.close()

        assert self.run_quietly(check) == []

    @pytest.mark.parametrize("data", FRAMES)
    def test_fail_only_the_calls_of_their_link(self, data):
        async def check():
            async def serve(reader, writer):
                await reader.read(10)
                writer.write(data)
                writer.write_eof()
                with contextlib.suppress(ConnectionResetError):
                    await reader.read()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            link = Link("127.0.0.1", server.sockets[0].getsockname()[1])
            with pytest.raises(LinkLost) as exc_info:
                await link.call("echo", b"x", 1.0)
            assert exc_info.value.sent
            link.close()
            server.close()

        assert self.run_quietly(check) == []


class TestMalformedAnswers:
    """An instance that answers exchanges with bytes that are no answer."""

    @pytest.mark.parametrize("answer", [b"", b"\xff\xfe", b"\x78\x01broken", b"[]"])
    def test_are_counted(self, answer):
        metrics = Metrics()
        reported = []

        async def check():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: reported.append(context))
            settings = SimpleNamespace(instance="me", data_centre="here")
            cluster = Cluster(settings, None, metrics)
            groups = Groups(None, metrics)
            directory = SimpleNamespace()
            exchange = Exchange(settings, groups, cluster, directory, None)
            cluster.make_question = lambda partner: idl.Exchange(instance="me")
            cluster.apply_answer = exchange.apply_answer

            async def handle(name, body, origin):
                return answer

            server = LinkServer(handle, lambda origin: None, metrics)
            await server.start("127.0.0.1", 0)
            port = server._server.sockets[0].getsockname()[1]
            entry = {
                "data_centre": "here",
                "host": "127.0.0.1",
                "port": port,
                "incarnation": 1,
            }
            cluster.apply_member(MEMBER_PREFIX + "other", json.dumps(entry).encode())
            await cluster._exchange("other")
            cluster.close()
            server.close()

        run(check())
        assert metrics.counters["refused.bad_exchange"] == 1
        assert reported == []


class TestSilentConnections:
    async def connect(self):
        """Return a server that echoes, a Network to it and a Link through that."""

        async def echo(name, body, origin):
            return body

        server = LinkServer(echo, lambda origin: None, Metrics())
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        network = await Network(port).start()
        link = Link("127.0.0.1", network.port)
        assert await link.call("echo", b"x", 1.0) == b"x"
        return server, network, link

    def test_are_replaced(self):
        # A connection that goes silent for good shows only by calls that time out.
        async def check():
            server, network, link = await self.connect()
            network.silence()
            started_at = asyncio.get_running_loop().time()
            answer = None
            while answer is None:
                with contextlib.suppress(LinkLost):
                    answer = await link.call("echo", b"y", 0.3)
            assert asyncio.get_running_loop().time() - started_at < 2.0
            link.close()
            server.close()

        run(check())

    def test_a_connection_that_was_lost_is_replaced_by_the_next_call(self):
        # The call ended with an unexpected error, and the caller without an answer.
        async def check():
            server, _, link = await self.connect()
            link._stream.drop()
            assert await link.call("echo", b"x", 1.0) == b"x"
            link.close()
            server.close()

        run(check())
