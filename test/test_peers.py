"""Tests of calls to other MySQL entry instances that end without an answer."""

import asyncio

import pytest

from dragonflywing.peers import PeerClient
from test.helper import run_on_simulated_clock


class TestFailedCalls:
    @pytest.mark.parametrize("ending", [KeyError, AttributeError, None])
    def test_close_their_connection(self, ending):
        # Its answer would be taken for that of the next call.
        async def check():
            class Client:
                async def report(self):
                    if ending is not None:
                        raise ending("malformed answer")
                    await asyncio.Event().wait()

            client = PeerClient("127.0.0.1:1", "secret")
            client._client = Client()
            task = asyncio.create_task(client.call("report"))
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.wait({task})
            assert client._client is None
            assert task.cancelled() == (ending is None)
            assert ending is None or task.exception() is not None

        run_on_simulated_clock(check())
