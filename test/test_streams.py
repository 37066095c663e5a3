"""Tests of outgoing connections on loopback sockets."""

import asyncio
import contextlib
import socket

import pytest

from dragonflywing import streams
from test.helper import Network, run


class Recorder:
    """A server that records the bytes it receives through a Network."""

    def __init__(self):
        self.received = b""
        self.network = None

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(100):
                self.received += data
        writer.close()

    async def connect(self):
        """Return a Stream to the server."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.network = await Network(port).start()
        return await streams.connect("127.0.0.1", self.network.port)


class TestDroppedConnections:
    """Bytes that a cut holds back must not arrive after their call was given up."""

    @pytest.mark.parametrize("ending", ["error", "timeout", "cancel"])
    def test_lose_the_bytes_of_a_call_that_failed(self, ending):
        run(self._check(ending))

    async def _check(self, ending):
        recorder = Recorder()
        stream = await recorder.connect()
        stream.write(b"before ")
        await asyncio.sleep(0.1)
        recorder.network.cut()

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
        recorder.network.heal()
        await asyncio.sleep(0.2)
        assert recorder.received == b"before "
        assert not stream.is_usable()

    def test_raise_an_os_error_for_writes(self):
        async def check():
            stream = await Recorder().connect()
            stream.drop()
            await asyncio.sleep(0.01)
            with pytest.raises(ConnectionResetError):
                stream.write(b"x")

        run(check())

    def test_are_reset_if_the_process_ends(self):
        async def check():
            stream = await Recorder().connect()
            sock = stream._writer.get_extra_info("socket")
            linger = sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
            assert linger == streams._RESET_ON_CLOSE

        run(check())
