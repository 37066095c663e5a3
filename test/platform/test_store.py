"""The client of the platform's store with truncated or malformed answers."""

import asyncio

import pytest

from dragonflywing.errors import StoreError
from dragonflywing.metrics import Metrics
from dragonflywing.platform.store import PlatformStore
from test.helper import run

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
CALLS = {
    "get": lambda store: store.get("key"),
    "get_prefix": lambda store: store.get_prefix("prefix"),
    "watch": lambda store: store.watch("prefix", 1, 0.2),
    "swap": lambda store: store.swap("key", b"value", 1),
    "grant_lease": lambda store: store.grant_lease(3.0),
}


async def call_store(call, data):
    """Make a call to a store that answers with `data` and closes the connection."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    store = PlatformStore("127.0.0.1", port, Metrics())
    try:
        await CALLS[call](store)
    finally:
        store.close()
        server.close()


class TestMalformedAnswers:
    @pytest.mark.parametrize("call", CALLS)
    @pytest.mark.parametrize(
        "data",
        [
            pytest.param(HEAD + b'90\r\n\r\n{"items": [{"key"', id="truncated body"),
            pytest.param(HEAD[:20], id="truncated head"),
            pytest.param(b"", id="closed"),
            pytest.param(HEAD + b"2\r\n\r\n[]", id="a list"),
            pytest.param(HEAD + b"2\r\n\r\n{}", id="missing fields"),
            pytest.param(HEAD + b"4\r\n\r\n\xff\xfe\x00\x01", id="not UTF-8"),
        ],
    )
    def test_raise_a_store_error(self, call, data):
        with pytest.raises(StoreError) as caught:
            run(call_store(call, data))
        assert caught.value.may_have_run
