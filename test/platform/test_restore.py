"""The platform's store comes back from an older copy, with real processes."""

import asyncio

import pytest

from test.helper import run
from test.platform.deployment import deployed

APPLY_S = 3.0  # within which a change of the configuration must be in force
OUTAGE_S = 0.5


async def restore(deployment, backup, write=lambda: None):
    """Take the store away and bring it back with an older state.

    The operator writes the newest configuration again; `write()` writes more before
    instances reach the store.
    """
    platform = deployment.platform
    newest = platform.items["op/config"]["value"]
    platform.is_down = True
    await asyncio.sleep(OUTAGE_S)
    platform.restore(backup)
    deployment.put_document(newest)
    write()
    platform.is_down = False


def put_unused_entries(platform, count):
    """Write entries that name no database, which raises the store's revision."""
    for number in range(count):
        platform.put(f"servers/unused-{number}", b"{}")


class TestConfigurations:
    @pytest.mark.parametrize("writes_after", [0, 20])
    def test_a_version_written_after_a_restore_is_in_force_in_time(
        self, tmp_path, writes_after
    ):
        run(self._check(tmp_path, writes_after))

    async def _check(self, tmp_path, writes_after):
        async with deployed(tmp_path) as deployment:
            platform = deployment.platform
            caller = await deployment.connect("front-0", "orders")
            backup = platform.back_up()
            for _ in range(3):
                deployment.put_configuration()
                await asyncio.sleep(1.1)

            def write():
                deployment.keys["press"].append("key-added")
                deployment.put_configuration()
                put_unused_entries(platform, writes_after)

            await restore(deployment, backup, write)
            await asyncio.sleep(APPLY_S)
            for name in deployment.processes:
                new = await deployment.connect(name, "orders", "key-added")
                assert not isinstance(new, str), (name, new)
            assert (await caller.query("READ a"))[0] == ""


class TestCalls:
    def test_lists_are_not_read_in_a_loop_after_a_restore(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        async with deployed(tmp_path) as deployment:
            platform = deployment.platform
            backup = platform.back_up()
            put_unused_entries(platform, 40)
            await asyncio.sleep(1)
            await restore(deployment, backup)
            platform.calls.clear()
            await asyncio.sleep(3)
            # Each of three instances reads two lists, and again if a watch is cut.
            assert platform.calls["/-/kv-range"] <= 3 * 2 * 3
