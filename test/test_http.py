"""Tests of the HTTP client and server on loopback connections."""

import asyncio

import pytest

from dragonflywing import http
from dragonflywing.http import HttpClient, HttpError, Timeouts
from dragonflywing.metrics import Metrics
from test.helper import Network, run

TIMEOUTS = Timeouts(2.0, 0.3)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class ScriptedServer:
    """A server whose connections answer as `script(number)` says.

    The script of a connection is a list with an item for each request: bytes to
    send, None to stay silent, or "close".
    """

    def __init__(self, script):
        self.script = script
        self.connections = 0
        self.requests = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return HttpClient(*self.server.sockets[0].getsockname())

    async def __aexit__(self, *exc_info):
        self.server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            for item in self.script(self.connections):
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                if item == "close":
                    return
                if item is None:
                    await asyncio.sleep(5)
                writer.write(item)
        except (OSError, EOFError):
            pass
        finally:
            writer.close()


def call(server, *methods, pause_s=0.0):
    """Make calls one after the other; return their statuses or errors."""

    async def check():
        results = []
        async with server as client:
            for method in methods:
                try:
                    resp = await client.call(method, "/x", TIMEOUTS, {"a": "b c"})
                    results.append(resp.status)
                except HttpError as exc:
                    results.append(str(exc))
                await asyncio.sleep(pause_s)
            client.close()
        return results

    return run(check())


class TestClient:
    def test_keeps_a_connection_for_the_next_call(self):
        server = ScriptedServer(lambda number: [ANSWER] * 3)
        assert call(server, "GET", "POST", "GET") == [200] * 3
        assert server.connections == 1
        assert server.requests[0].startswith(b"GET /x?a=b+c HTTP/1.1\r\n")

    def test_opens_another_if_the_server_has_closed_it(self):
        server = ScriptedServer(lambda number: [ANSWER])
        assert call(server, "GET", "POST", pause_s=0.05) == [200, 200]
        assert server.connections == 2

    def test_repeats_a_get_on_a_connection_that_closes_meanwhile(self):
        server = ScriptedServer(lambda number: [ANSWER, "close"])
        assert call(server, "GET", "GET") == [200, 200]

    def test_does_not_repeat_a_post(self):
        # The server may have executed it.
        server = ScriptedServer(lambda number: [ANSWER, "close"])
        first, second = call(server, "GET", "POST")
        assert first == 200
        assert second in ("ConnectionResetError", "RemoteProtocolError")
        assert server.connections == 1

    def test_gives_up_on_a_silent_server(self):
        server = ScriptedServer(lambda number: [None])
        assert call(server, "GET") == ["TimeoutError"]

    def test_leaves_connections_that_went_silent(self):
        server = ScriptedServer(
            lambda number: [ANSWER, None] if number == 1 else [ANSWER]
        )
        assert call(server, "GET", "GET", "GET") == [200, "TimeoutError", 200]

    def test_waits_for_a_body_that_keeps_coming(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
            for _ in range(10):
                await asyncio.sleep(0.1)
                writer.write(b"x")

        async def check():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            client = HttpClient(*server.sockets[0].getsockname())
            resp = await client.call("GET", "/", TIMEOUTS)
            client.close()
            server.close()
            return resp.body

        assert run(check()) == b"x" * 10


class TestLimitedDelivery:
    """ONE: orders that acted late, as their connections opened or delivered late."""

    def test_a_request_that_is_too_late_is_not_sent(self):
        async def check():
            async with ScriptedServer(lambda number: [ANSWER]) as client:
                with pytest.raises(HttpError) as exc_info:
                    await client.call("POST", "/x", TIMEOUTS, left_s=lambda: 0.0)
                assert not exc_info.value.sent

        run(check())

    @pytest.mark.parametrize("ending", ["timeout", "cancel"])
    def test_a_request_that_a_cut_holds_is_not_delivered_later(self, ending):
        run(self._check_cut(ending))

    async def _check_cut(self, ending):
        server = ScriptedServer(lambda number: [ANSWER, ANSWER])
        async with server as client:
            network = await Network(client.port).start()
            client.port = network.port
            await client.call("POST", "/before", TIMEOUTS)
            network.cut()
            call = asyncio.create_task(client.call("POST", "/late", TIMEOUTS))
            await asyncio.sleep(0.1)
            if ending == "cancel":
                call.cancel()
            await asyncio.wait({call})
            await asyncio.sleep(0.05)
            network.heal()
            await asyncio.sleep(0.2)
            assert len(server.requests) == 1


class TestServer:
    @pytest.mark.parametrize(
        "data,status",
        [
            (b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", b"200"),
            (b"GET /-/ready?x=1 HTTP/1.0\r\n\r\n", b"200"),
            (b"GET /other HTTP/1.1\r\nHost: x\r\n\r\n", b"404"),
            (b"nonsense\r\n\r\n", b""),
            (b"GET / HTTP/1.1\r\nHost: x\r\n" + b"a: b\r\n" * 90000 + b"\r\n", b""),
            (b"", b""),
        ],
    )
    def test_answers_or_closes(self, data, status):
        async def check():
            metrics = Metrics()
            server = await http.serve(
                "127.0.0.1", 0, "/-/ready", lambda: (200, b"ok"), metrics
            )
            port = server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            writer.write_eof()
            try:
                answer = await asyncio.wait_for(reader.read(), 2)
            except ConnectionResetError:
                answer = b""
            server.close()
            assert "task.failed.http" not in metrics.counters
            return answer

        answer = run(check())
        assert answer.split(b" ")[1:2] == ([status] if status else [])
