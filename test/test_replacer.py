"""Tests of the duty to replace primaries, on a simulated clock."""

import asyncio
from types import SimpleNamespace

import pytest

from dragonflywing import replacer
from dragonflywing.decisions import eras
from dragonflywing.decisions.eras import ABSENT, EraState, Lease, Revision
from dragonflywing.decisions.relays import Role
from dragonflywing.groups import Groups
from dragonflywing.metrics import Metrics
from dragonflywing.ports import StoredItem
from dragonflywing.replacer import DUTY_KEY, DUTY_LEASE_S, Replacer
from test.helper import run_on_simulated_clock


class Store:
    """The duty's key and its lease; `restore` loses both."""

    def __init__(self, era=1):
        self.era, self.number, self.item, self.leases = era, 10, None, {}
        self.on_era = []  # called before each answer, as by the client of the store

    def restore(self):
        self.era += 1
        self.number, self.item, self.leases = 10, None, {}

    def _drop_ended(self):
        for note_era in self.on_era:
            note_era(self.era)
        now = asyncio.get_running_loop().time()
        self.leases = {k: end for k, end in self.leases.items() if end > now}
        if self.item and self.item[1] not in self.leases:
            self.item = None

    async def get(self, key):
        self._drop_ended()
        return (self.item[0] if self.item else None), Revision(self.era, self.number)

    async def get_prefix(self, prefix):
        return [], Revision(self.era, self.number)

    async def grant_lease(self, seconds):
        self.number += 1
        lease = Lease(self.era, self.number)
        self.leases[lease] = asyncio.get_running_loop().time() + seconds
        return lease

    async def keep_lease(self, lease):
        self._drop_ended()
        if lease not in self.leases:
            return False
        self.leases[lease] = asyncio.get_running_loop().time() + DUTY_LEASE_S
        return True

    async def swap(self, key, value, revision, lease):
        self._drop_ended()
        current = self.item[0].revision if self.item else ABSENT
        if revision != current or lease not in self.leases:
            return None
        self.number += 1
        written = Revision(self.era, self.number)
        self.item = (StoredItem(key, value, written), lease)
        return written


@pytest.fixture
def start(monkeypatch):
    """Return a function that starts a Replacer on the running loop."""

    def start_replacer(store, name):
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(replacer, "boottime", loop.time)
        eras_state = EraState()
        store.on_era.append(lambda era: eras.note_era(eras_state, loop.time(), era))

        async def mark_era():
            pass

        cluster = SimpleNamespace(
            eras=eras_state,
            incarnation=1,
            leaving=False,
            rank=lambda subject: 0,
            role=lambda: Role.DIRECT,
            mark_era=mark_era,
        )
        node = SimpleNamespace(
            settings=SimpleNamespace(instance=name, data_centre="here"),
            groups=Groups(None, Metrics()),
            cluster=cluster,
            router=None,
            metrics=Metrics(),
            ports=SimpleNamespace(store=store),
            directory=SimpleNamespace(has_database_list=True),
        )
        state = Replacer(node)

        async def follow():
            while True:
                item, revision = await store.get(DUTY_KEY)
                state.apply_duty(item or StoredItem(DUTY_KEY, None, revision))
                await asyncio.sleep(0.05)

        tasks = [asyncio.create_task(follow()), asyncio.create_task(state.run())]
        return state, tasks

    return start_replacer


def stop(tasks):
    for task in tasks:
        task.cancel()


class TestRestoredStore:
    def test_another_instance_waits_until_the_forgotten_lease_is_over(self, start):
        async def check():
            store = Store()
            holder, holder_tasks = start(store, "a")
            await asyncio.sleep(1.5)
            assert holder.holds_duty()
            other, other_tasks = start(store, "b")
            await asyncio.sleep(2)
            stop(holder_tasks)  # it is cut off from the store and relies on its lease
            store.restore()
            for _ in range(200):
                await asyncio.sleep(0.05)
                assert not (holder.holds_duty() and other.holds_duty())
            assert other.holds_duty()
            assert other.token > eras.fencing_token(holder.claimed)
            stop(other_tasks)

        run_on_simulated_clock(check())

    def test_the_holder_itself_goes_on_with_a_greater_token(self, start):
        async def check():
            store = Store()
            holder, tasks = start(store, "a")
            await asyncio.sleep(1.5)
            first = holder.token
            store.number += 100
            store.restore()
            await asyncio.sleep(1.5)
            assert holder.holds_duty()
            assert holder.token > first
            stop(tasks)

        run_on_simulated_clock(check())

    def test_an_instance_started_after_it_waits_too(self, start):
        async def check():
            store = Store(era=2)
            state, tasks = start(store, "a")
            await asyncio.sleep(DUTY_LEASE_S - 0.2)
            assert not state.token
            await asyncio.sleep(1.5)
            assert state.holds_duty()
            stop(tasks)

        run_on_simulated_clock(check())

    def test_the_duty_is_lost_if_another_instance_has_written_its_key(self, start):
        async def check():
            store = Store()
            state, tasks = start(store, "a")
            await asyncio.sleep(1.5)
            lease = await store.grant_lease(DUTY_LEASE_S)
            await store.swap(DUTY_KEY, b"b/1", state.claimed, lease)
            await asyncio.sleep(0.2)
            assert not state.holds_duty()
            stop(tasks)

        run_on_simulated_clock(check())
