"""Tests of outgoing connections on loopback sockets."""

import asyncio
import contextlib
import socket

import pytest

from dragonflywing import streams
from dragonflywing.standin.faults import Link, LinkState, serve_link
from test.helper import run


class Recorder:
    """A server that records the bytes it receives, behind a link that can freeze."""

    def __init__(self):
        self.received = b""
        self.state = LinkState(Link("", "", ""))

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(100):
                self.received += data
        writer.close()

    async def start(self):
        """Return the link's address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.state.link = Link("recorder", "", f"{host}:{port}")

        async def forward(reader, writer):
            await serve_link(self.state, reader, writer)

        self._proxy = await asyncio.start_server(forward, "127.0.0.1", 0)
        return self._proxy.sockets[0].getsockname()


class TestDroppedConnections:
    """Bytes that a cut holds back must not arrive after their call was given up."""

    @pytest.mark.parametrize("ending", ["error", "timeout", "cancel"])
    def test_lose_the_bytes_of_a_call_that_failed(self, ending):
        run(self._check(ending))

    async def _check(self, ending):
        recorder = Recorder()
        stream = await streams.connect(*await recorder.start())
        stream.write(b"before ")
        await asyncio.sleep(0.1)
        recorder.state.set_mode("freeze")

        async def call():
            with stream.call():
                stream.write(b"late")
                if ending == "error":
                    raise ValueError
                await stream.reader.read(1)

        with contextlib.suppress(ValueError, TimeoutError, asyncio.CancelledError):
            if ending == "cancel":
                task = asyncio.create_task(call())
                await asyncio.sleep(0.05)
                task.cancel()
                await task
            else:
                async with asyncio.timeout(0.05):
                    await call()
        await asyncio.sleep(0.05)
        recorder.state.set_mode("ok")
        await asyncio.sleep(0.2)
        assert recorder.received == b"before "
        assert not stream.is_usable()

    def test_raise_an_os_error_for_writes(self):
        async def check():
            stream = await streams.connect(*await Recorder().start())
            stream.drop()
            await asyncio.sleep(0.01)
            with pytest.raises(ConnectionResetError):
                stream.write(b"x")

        run(check())

    def test_are_reset_if_the_process_ends(self):
        async def check():
            stream = await streams.connect(*await Recorder().start())
            sock = stream._writer.get_extra_info("socket")
            linger = sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
            assert linger == streams._RESET_ON_CLOSE

        run(check())
