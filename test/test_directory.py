"""Tests of confirming the configuration, on a simulated clock."""

import asyncio
import json
from types import SimpleNamespace

import pytest

from dragonflywing import directory
from dragonflywing.decisions import eras
from dragonflywing.decisions.eras import EraState, Revision
from dragonflywing.decisions.relays import Role
from dragonflywing.decisions.replicas import Changes
from dragonflywing.deployment import Database
from dragonflywing.directory import Directory
from dragonflywing.errors import HistoryLost
from dragonflywing.groups import Groups
from dragonflywing.metrics import Metrics
from dragonflywing.ports import StoredItem
from test.helper import run_on_simulated_clock

KEY = "configuration"


class Store:
    """A store that holds one version of the configuration."""

    restored_at = None

    def __init__(self, version, revision):
        self.version, self.revision, self.calls = version, revision, 0

    async def get(self, key):
        self.calls += 1
        item = StoredItem(KEY, str(self.version).encode(), self.revision)
        return item, self.revision

    async def watch(self, key, after, wait_s):
        self.calls += 1
        if after.era != self.revision.era:
            raise HistoryLost(key)
        item, _ = await self.get(key)
        return ([item] if item and item.revision > after else []), self.revision


@pytest.fixture
def checked(monkeypatch):
    """Return a function that runs `check(directory, store)` on a simulated clock."""

    def run_check(check, version=1, revision=None):
        async def run():
            loop = asyncio.get_running_loop()
            monkeypatch.setattr(directory, "boottime", loop.time)
            store = Store(version, revision or Revision(1, 5))
            ports = SimpleNamespace(
                store=store,
                database_prefix="databases/",
                configuration_key=KEY,
                decode_configuration=lambda data: SimpleNamespace(
                    workspaces={}, version=int(data), groups={}
                ),
                decode_database=lambda key, value: Database(*json.loads(value)),
            )
            cluster = SimpleNamespace(
                eras=EraState(), rank=lambda subject: 0, role=lambda: Role.DIRECT
            )
            eras.note_era(cluster.eras, loop.time(), store.revision.era)
            settings = SimpleNamespace(key_withdrawal_s=5.0, evacuate_s=None)
            state = Directory(
                settings, ports, Groups(None, Metrics()), cluster, Metrics()
            )
            state.on_configuration = lambda cfg: None
            task = asyncio.create_task(state.keep_confirmed())
            await asyncio.sleep(0.05)
            await check(state, store)
            task.cancel()

        run_on_simulated_clock(run())

    return run_check


def restore(state, store, version, number):
    """Let the store come back from a copy that holds a version."""
    store.version, store.revision = version, Revision(store.revision.era + 1, number)
    now = asyncio.get_running_loop().time()
    eras.note_era(state.cluster.eras, now, store.revision.era)


class TestRestoredStore:
    def test_does_not_confirm_before_operators_have_written_again(self, checked):
        async def check(state, store):
            assert state.is_confirmed()
            await asyncio.sleep(3)
            restored_at = asyncio.get_running_loop().time()
            # The store may have lost version 2, acknowledged just before.
            restore(state, store, version=1, number=4)
            await asyncio.sleep(eras.SETTLE_S - 0.1)
            assert state.confirmed_at < restored_at
            await asyncio.sleep(0.4)
            assert state.confirmed_at >= restored_at + eras.SETTLE_S

        checked(check)

    def test_a_version_written_meanwhile_is_in_force_at_once(self, checked):
        async def check(state, store):
            restore(state, store, version=1, number=4)
            await asyncio.sleep(0.3)
            store.version, store.revision = 2, Revision(2, 5)
            await asyncio.sleep(1.0)
            assert state.version() == 2

        checked(check)

    def test_an_older_version_is_neither_taken_nor_confirmed(self, checked):
        async def check(state, store):
            store.version, store.revision = 3, Revision(1, 9)
            await asyncio.sleep(2)
            assert state.version() == 3
            restore(state, store, version=2, number=6)
            await asyncio.sleep(8)
            assert state.version() == 3
            assert not state.is_confirmed()
            assert state.metrics.counters["configuration.older"] >= 3

        checked(check)

    def test_a_missing_version_is_not_confirmed(self, checked):
        # A store that came back empty confirmed keys that may have been withdrawn.
        async def check(state, store):
            async def get(key):
                return None, store.revision

            store.get = get
            restore(state, store, version=1, number=4)
            await asyncio.sleep(eras.SETTLE_S + 5)
            assert not state.is_confirmed()
            assert state.metrics.counters["configuration.missing"] >= 3
            del store.get
            await asyncio.sleep(2)
            assert state.is_confirmed()

        checked(check)

    def test_a_process_started_after_it_waits_too(self, checked):
        async def check(state, store):
            assert state.version() == 1
            assert not state.is_confirmed()
            await asyncio.sleep(eras.SETTLE_S + 0.3)
            assert state.is_confirmed()

        checked(check, revision=Revision(3, 5))

    def test_a_process_started_in_a_marked_era_does_not_wait(self, checked):
        async def check(state, store):
            assert not state.is_confirmed()
            eras.note_mark(state.cluster.eras, 3, Revision(3, 4))
            await asyncio.sleep(0.3)
            assert state.is_confirmed()

        checked(check, revision=Revision(3, 5))


class TestEntriesBroughtBack:
    """A restore brings back entries of databases that have changed since."""

    def _apply(self, state, revision, sequence, is_leaving, born=1):
        entry = ("a", "g", "h", 1, "here", 2, is_leaving, False, born, sequence)
        state._apply_entry(
            StoredItem("databases/a", json.dumps(entry).encode(), revision)
        )

    def test_a_leaving_database_stays_leaving(self, checked):
        async def check(state, store):
            self._apply(state, Revision(1, 5), 7, True)
            self._apply(state, Revision(2, 4), 6, False)
            assert state.groups.databases["a"].is_leaving

        checked(check)

    def test_a_database_that_left_stays_away(self, checked):
        async def check(state, store):
            self._apply(state, Revision(1, 5), 7, True)
            state._apply_entry(StoredItem("databases/a", None, Revision(1, 6)))
            self._apply(state, Revision(2, 4), 6, False)
            assert "a" not in state.groups.databases
            self._apply(state, Revision(2, 5), 1, False, born=2)
            assert "a" in state.groups.databases

        checked(check)

    def test_a_later_report_is_applied(self, checked):
        async def check(state, store):
            self._apply(state, Revision(1, 5), 7, False)
            self._apply(state, Revision(2, 4), 8, True)
            assert state.groups.databases["a"].is_leaving

        checked(check)


class TestMissedChanges:
    """DRAIN: a confirmation covers the entries, without a call if none is missing."""

    def run(self, checked, told):
        """Change an entry, which its watch tells if `told`; return the other calls."""
        calls = []

        async def check(state, store):
            await asyncio.sleep(2.0)
            state.entries.has_list = True
            state.entries.note_complete(store.revision)
            changed = StoredItem("databases/a", b"[]", Revision(1, 6))

            async def watch(key, after, wait_s):
                if key == KEY:
                    return [], store.revision
                calls.append(key)
                return [changed], store.revision

            state.entries.on_item = lambda item: None
            store.watch, store.revision = watch, Revision(1, 6)
            if told:
                state.entries.apply(Changes(False, Revision(1, 6), [changed]))
            await asyncio.sleep(3.0)
            assert "databases/a" in state.entries.replica.items
            assert state.is_confirmed()

        checked(check)
        return calls

    def test_are_asked_for_once(self, checked):
        assert self.run(checked, told=False) == ["databases/"]

    def test_are_not_asked_for_if_the_watch_has_told_them(self, checked):
        assert self.run(checked, told=True) == []
