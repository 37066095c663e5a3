"""Tests of following the store's keys, on a simulated clock."""

import asyncio
from types import SimpleNamespace

from dragonflywing.cluster import MEMBER_PREFIX, Cluster
from dragonflywing.decisions import replicas
from dragonflywing.decisions.eras import Revision
from dragonflywing.decisions.relays import DIRECT_SIZE
from dragonflywing.errors import HistoryLost, StoreError
from dragonflywing.exchange import Exchange
from dragonflywing.following import Follower
from dragonflywing.groups import Groups
from dragonflywing.links import idl, pack
from dragonflywing.metrics import Metrics
from dragonflywing.ports import StoredItem
from test.helper import run_on_simulated_clock


class ScriptedStore:
    """A store whose watches and lists end as scripted, then wait for good."""

    def __init__(self, lists, watches):
        self.restored_at = None
        self.lists = lists
        self.watches = watches
        self.calls = []
        self.drop_idle_connections = lambda: None

    async def _next(self, call, results):
        self.calls.append(call)
        await asyncio.sleep(0.01)
        if not results:
            await asyncio.Event().wait()
        result = results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    async def get_prefix(self, prefix, may_be_old=False):
        return await self._next("old list" if may_be_old else "list", self.lists)

    async def watch(self, prefix, after, wait_s):
        return await self._next(f"watch {after.number}", self.watches)


def follow(lists, watches, seconds=10.0):
    """Follow a store for a time; return the follower and the calls."""

    async def check():
        store = ScriptedStore(lists, watches)
        follower = Follower(store, "p/", lambda items: None, Metrics())
        had_list = []
        task = asyncio.create_task(follower.run())
        for _ in range(int(seconds * 20)):
            await asyncio.sleep(0.05)
            had_list.append(follower.has_list)
        task.cancel()
        return follower, store.calls, had_list

    return run_on_simulated_clock(check())


def at(number, era=1):
    return Revision(era, number)


ITEM = StoredItem("p/a", b"1", at(3))


class TestSilentWatches:
    """DRAIN: a watch on a connection that has gone silent hid a leaving database."""

    NEW = StoredItem("p/b", b"1", at(8))

    async def follow_silently(self):
        """Return a store, and a follower whose watch never ends, with its task."""
        store = ScriptedStore([([ITEM], at(3))], [])
        follower = Follower(store, "p/", lambda items: None, Metrics())
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.1)
        return store, follower, task

    def test_miss_no_change_that_the_store_tells_another_call(self):
        async def check():
            store, follower, task = await self.follow_silently()
            store.watches.append(([self.NEW], at(9)))
            await follower.catch_up(at(9))
            assert set(follower.replica.items) == {"p/a", "p/b"}
            # It is begun again, as it should have reported the change by now.
            await asyncio.sleep(2)
            assert store.calls == ["old list", "watch 3", "watch 3", "watch 9"]
            # A revision that other keys have moved isn't asked for twice.
            await follower.catch_up(at(9))
            assert len(store.calls) == 4
            task.cancel()

        run_on_simulated_clock(check())

    def test_are_replaced_by_a_list_if_the_history_is_lost(self):
        async def check():
            store, follower, task = await self.follow_silently()
            store.watches.append(HistoryLost("p/"))
            store.lists.append(([self.NEW], at(9)))
            await follower.catch_up(at(9))
            assert set(follower.replica.items) == {"p/b"}
            task.cancel()

        run_on_simulated_clock(check())


class TestFollower:
    def test_watches_from_the_newest_key_of_a_list_that_may_be_old(self):
        # The store may have reached revision 9 after the list was current.
        _, calls, _ = follow([([ITEM], at(9))], [])
        assert calls == ["old list", "watch 3"]

    def test_reads_a_current_list_if_the_history_is_lost(self):
        new = StoredItem("p/b", b"1", at(8))
        lists = [([ITEM], at(3)), ([new], at(9))]
        follower, calls, _ = follow(lists, [HistoryLost("p/")])
        assert calls == ["old list", "watch 3", "list", "watch 9"]
        assert set(follower.replica.items) == {"p/b"}

    def test_keeps_its_copy_while_a_lost_history_can_not_be_replaced(self):
        # An instance that is ready must stay so, as the copy is still good.
        lists = [([ITEM], at(3)), *[StoreError("x", False)] * 3, ([ITEM], at(9))]
        _, calls, had_list = follow(lists, [HistoryLost("p/")])
        assert calls.count("list") == 4
        assert all(had_list[1:])

    def test_an_older_list_of_another_instance_is_no_replacement(self):
        async def check():
            store = ScriptedStore(
                [([ITEM], at(3)), ([ITEM], at(9))], [HistoryLost("p/")]
            )
            follower = Follower(store, "p/", lambda items: None, Metrics())
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(0.025)
            follower.apply(replicas.Changes(True, at(2), []))
            await asyncio.sleep(1)
            task.cancel()
            return store.calls

        calls = run_on_simulated_clock(check())
        assert calls == ["old list", "watch 3", "list", "watch 9"]

    def test_changes_that_are_not_applied_do_not_count_as_received(self):
        # A confirmation took the copy as complete without a change that another
        # instance told behind a removal that it held back.
        async def check():
            store = SimpleNamespace(restored_at=None)
            follower = Follower(store, "p/", lambda items: None, Metrics())
            follower.apply(replicas.Changes(True, at(5), [ITEM]))
            new = StoredItem("p/b", b"1", at(7))
            follower.apply(replicas.Changes(False, at(4), [new]))
            assert "p/b" not in follower.replica.items
            assert at(7) not in follower.received

        run_on_simulated_clock(check())

    def test_pauses_after_a_list_that_is_older_than_its_copy(self):
        old = StoredItem("p/a", b"0", at(2))
        lists = [([ITEM], at(9)), *[([old], at(2))] * 100]
        _, calls, _ = follow(lists, [HistoryLost("p/")], seconds=5.0)
        assert calls.count("list") <= 5 / 0.2

    def test_pauses_if_each_list_is_followed_by_a_lost_history(self):
        lists = [([ITEM], at(3)) for _ in range(100)]
        _, calls, _ = follow(lists, [HistoryLost("p/")] * 100, seconds=5.0)
        assert calls.count("list") <= 5 / 0.2

    def test_takes_over_a_lower_revision_of_a_later_era(self):
        new = StoredItem("p/b", b"1", at(2, era=2))
        lists = [([ITEM], at(3)), ([new], at(2, era=2))]
        follower, calls, _ = follow(lists, [HistoryLost("p/")])
        assert calls == ["old list", "watch 3", "list", "watch 2"]
        assert "p/b" in follower.replica.items

    def test_resumes_a_watch_that_was_cut(self):
        _, calls, _ = follow([([ITEM], at(3))], [StoreError("x", True)])
        assert calls == ["old list", "watch 3", "watch 3"]


class TestFailingItems:
    """RECOVER: a failure at one item of a list lost the items behind it for good."""

    def item(self, name, value, revision):
        return StoredItem(f"p/{name}", value, at(revision))

    def follow(self, check, is_failing=lambda item: item.key == "p/b"):
        applied, metrics = [], Metrics()

        def apply(changed):
            if is_failing(changed):
                raise OverflowError("no such number")
            applied.append(changed.key)

        async def run():
            listed = [self.item(x, b"1", 2) for x in "abc"]
            store = ScriptedStore([(listed, at(5))] * 2, [])
            await check(Follower(store, "p/", apply, metrics), applied, metrics)

        run_on_simulated_clock(run())

    def test_keep_no_other_item_from_being_applied(self):
        async def check(follower, applied, metrics):
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(1.0)
            assert applied == ["p/a", "p/c"] and not task.done()
            assert metrics.counters["store.item_failed"] == 1
            follower.apply(replicas.Changes(False, at(6), [self.item("d", b"1", 6)]))
            assert applied == ["p/a", "p/c", "p/d"]
            # Not again with each change: it would cost as much as all of them.
            assert metrics.counters["store.item_failed"] == 1
            task.cancel()

        self.follow(check)

    def test_are_applied_with_the_next_list_or_by_a_task_that_starts_again(self):
        failing = {"p/b"}

        async def check(follower, applied, metrics):
            await follower.read_now()
            failing.clear()
            await follower.read_now()
            assert applied == ["p/a", "p/c", "p/b"]
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(0.1)
            assert applied[3:] == ["p/a", "p/b", "p/c"]
            task.cancel()

        self.follow(check, lambda changed: changed.key in failing)

    def test_a_deletion_is_not_forgotten(self):
        failing = {None}

        async def check(follower, applied, metrics):
            await follower.read_now()
            follower.apply(replicas.Changes(False, at(6), [self.item("a", None, 6)]))
            failing.clear()
            applied.clear()
            follower.apply(replicas.Changes(True, at(7), []))
            assert sorted(applied) == ["p/a", "p/b", "p/c"]

        self.follow(check, lambda changed: changed.value in failing)


class TestRelayOfAnEarlierBuild:
    """A rolling upgrade: the relay's answers carry no changes of keys."""

    def _is_served(self, answer):
        async def check():
            settings = SimpleNamespace(instance="me", data_centre="here")
            store = ScriptedStore([], [])
            cluster = Cluster(settings, store, Metrics())
            for number in range(DIRECT_SIZE + 2):
                entry = (
                    '{"data_centre": "here", "host": "127.0.0.1", "port": 1,'
                    ' "incarnation": 1}'
                )
                cluster.apply_member(f"{MEMBER_PREFIX}i-{number}", entry.encode())
            exchange = Exchange(
                settings,
                Groups(None, Metrics()),
                cluster,
                SimpleNamespace(
                    version=lambda: 1,
                    confirm=lambda *args: None,
                    entries=None,
                    evacuations=None,
                ),
                None,
            )
            relay = cluster.relay("here")
            await asyncio.sleep(4)
            for name in cluster.peers:
                cluster.note_contact(name)
            relay = cluster.relay("here")

            async def call(*args):
                return pack(answer)

            cluster.call = call
            cluster.make_question = lambda partner: idl.Exchange(instance="me")
            cluster.apply_answer = exchange.apply_answer
            await cluster._exchange(relay)
            return relay != "me" and cluster.is_served()

        return run_on_simulated_clock(check())

    def test_does_not_serve(self):
        answer = idl.Beliefs(config_version=1, config_age=0.1, groups=[])
        assert not self._is_served(answer)

    def test_a_later_one_serves(self):
        answer = idl.Beliefs(
            config_version=1,
            config_age=0.1,
            groups=[],
            config_revision=1,
            config_era=1,
        )
        assert self._is_served(answer)


class RegisteringStore:
    """A store that counts the grants of leases and the writes of entries."""

    def __init__(self):
        self.grants = 0
        self.writes = []

    async def keep_lease(self, lease):
        return True

    async def grant_lease(self, seconds):
        self.grants += 1
        return self.grants

    async def swap(self, key, value, revision, lease):
        self.writes.append(lease)
        return Revision(1, len(self.writes))


class TestRemovedEntry:
    """An instance stayed unlisted for good while it went on admitting operations."""

    def _register(self, check):
        async def run_check():
            settings = SimpleNamespace(
                instance="me", data_centre="here", host="h", peer_port=1, lease_min_s=1
            )
            store = RegisteringStore()
            cluster = Cluster(settings, store, Metrics())
            task = asyncio.create_task(cluster.register())
            await asyncio.sleep(10)
            await check(cluster)
            task.cancel()
            return store.writes

        return run_on_simulated_clock(run_check())

    def test_is_written_again(self):
        async def remove(cluster):
            cluster.apply_member(f"{MEMBER_PREFIX}me", None)
            await asyncio.sleep(0.1)

        assert self._register(remove) == [1, 2]

    def test_is_not_written_again_by_a_stopping_instance(self):
        async def stop_and_remove(cluster):
            cluster.leave(object())
            cluster.apply_member(f"{MEMBER_PREFIX}me", None)
            await asyncio.sleep(10)

        assert self._register(stop_and_remove) == [1]

    def test_others_that_lack_it_admit_operations(self):
        async def check(cluster):
            entry = '{"data_centre": "here", "host": "h", "port": 1, "incarnation": 1}'
            cluster.apply_member(f"{MEMBER_PREFIX}other", entry.encode())
            assert cluster.unlisted_by() is None
            cluster.note_listed("other", False)
            assert cluster.unlisted_by() == "other"
            cluster.note_listed("other", True)
            assert cluster.unlisted_by() is None
            # One that is no partner any more doesn't correct what it said.
            cluster.note_listed("other", False)
            await asyncio.sleep(2)
            cluster.note_contact("other")
            assert cluster.unlisted_by() is None

        self._register(check)


class TestSettling:
    """After a stop of all instances, reports pass several instances."""

    def _count_exchanges(self, is_settling):
        async def check():
            settings = SimpleNamespace(instance="me", data_centre="here")
            cluster = Cluster(settings, ScriptedStore([], []), Metrics())
            cluster.is_settling = lambda: is_settling
            asked = []

            async def call(instance, *args):
                asked.append(instance)
                await asyncio.sleep(0.01)
                return b""

            async def apply_answer(*args):
                pass

            cluster.call = call
            cluster.make_question = lambda partner: idl.Exchange(instance="me")
            cluster.apply_answer = apply_answer
            entry = '{"data_centre": "here", "host": "h", "port": 1, "incarnation": 1}'
            cluster.apply_member(f"{MEMBER_PREFIX}other", entry.encode())
            task = asyncio.create_task(cluster.exchange())
            await asyncio.sleep(3)
            task.cancel()
            return len(asked)

        return run_on_simulated_clock(check())

    def test_asks_often_until_the_rates_are_known(self):
        assert self._count_exchanges(True) >= 3 / 0.2

    def test_asks_twice_a_second_afterwards(self):
        assert self._count_exchanges(False) <= 3 / 0.4 + 1
