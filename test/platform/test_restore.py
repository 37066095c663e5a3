"""The platform's store comes back from an older copy, with real processes."""

import asyncio

import pytest

from dragonflywing.cluster import MEMBER_PREFIX, MEMBER_RESTORE_S
from test.helper import run
from test.platform.deployment import DATA_CENTRES, deployed

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


class TestRegistrations:
    def test_a_lease_given_out_again_is_not_taken_for_the_own(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        async with deployed(tmp_path) as deployment:
            platform = deployment.platform
            backup = platform.back_up()
            await deployment.restart("front-2")
            key = f"{MEMBER_PREFIX}front-2"
            entry, lease = platform.items[key]["value"], platform.items[key]["lease"]

            def give_out_again():
                platform.leases[lease] = (60.0, asyncio.get_running_loop().time() + 60)

            await restore(deployment, backup, give_out_again)
            assert platform.items[key]["value"] != entry
            await asyncio.sleep(MEMBER_RESTORE_S)
            assert platform.items[key]["value"] == entry
            assert platform.items[key]["lease"] != lease
            for name in ("front-0", "front-1"):
                assert "gone=front-2" not in deployment.log_of(name).split("era=2")[1]


class TestPromotions:
    def test_fencing_tokens_rise(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        async with deployed(tmp_path) as deployment:
            platform = deployment.platform
            caller = await deployment.connect("front-0", "orders")
            assert (await caller.query("WRITE a 1"))[0] == ""
            backup = platform.back_up()
            put_unused_entries(platform, 30)
            await self._replace_primary(deployment, 1)
            await restore(deployment, backup)
            await asyncio.sleep(1)
            await self._replace_primary(deployment, 2)
            tokens = [token for _, token, *_ in platform.promotions]
            assert tokens == sorted(tokens) and tokens[0] < tokens[-1], tokens
            code, rows, _ = await caller.query("READ a")
            assert code == "" and rows[0].endswith(":1")

    async def _replace_primary(self, deployment, count):
        """Stop the primary; return once it is replaced and its entry is new."""
        platform, group = deployment.platform, deployment.group
        name = next(x for x, item in group.databases.items() if item.is_primary)
        deployment.put_database_entry(
            group.databases[name], DATA_CENTRES[int(name[-1])], "draining"
        )
        end = asyncio.get_running_loop().time() + 10
        while len(platform.promotions) < count:
            assert asyncio.get_running_loop().time() < end, "no promotion in time"
            await asyncio.sleep(0.05)
        await asyncio.sleep(1)
        deployment.put_database_entry(
            group.databases[name], DATA_CENTRES[int(name[-1])]
        )


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
