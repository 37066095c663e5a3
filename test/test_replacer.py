"""Tests of the duty to replace primaries, on a simulated clock."""

import asyncio
import json
from types import SimpleNamespace

import pytest

from dragonflywing import granting, groups, order_records, replacer
from dragonflywing.decisions import eras, orders, permits, replacement
from dragonflywing.decisions.eras import ABSENT, EraState, Lease, Revision
from dragonflywing.decisions.positions import Position
from dragonflywing.decisions.relays import Role
from dragonflywing.deployment import Database
from dragonflywing.errors import StoreError
from dragonflywing.groups import Groups
from dragonflywing.links import LinkLost
from dragonflywing.metrics import Metrics
from dragonflywing.order_records import ORDER_PREFIX
from dragonflywing.ports import DatabaseStatus, StoredItem
from dragonflywing.replacer import (
    DUTY_KEY,
    DUTY_LEASE_S,
    LEASE_MARGIN_S,
    Replacer,
)
from test.helper import run_on_simulated_clock


class Store:
    """The duty's key and its lease, and the orders; `restore` loses the first two."""

    def __init__(self, era=1):
        self.era, self.number, self.item, self.leases = era, 10, None, {}
        self.orders = {}
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
        if key in self.orders:
            return self.orders[key], Revision(self.era, self.number)
        return (self.item[0] if self.item else None), Revision(self.era, self.number)

    async def get_prefix(self, prefix):
        found = [item for key, item in self.orders.items() if key.startswith(prefix)]
        return found, Revision(self.era, self.number)

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

    async def swap(self, key, value, revision, lease=None, guard=None):
        self._drop_ended()
        if guard is not None:
            held = self.item[0].revision if self.item else ABSENT
            if guard != (DUTY_KEY, held):
                return None
        if key.startswith(ORDER_PREFIX):
            return self._swap_order(key, value, revision)
        current = self.item[0].revision if self.item else ABSENT
        if revision != current or lease not in self.leases:
            return None
        self.number += 1
        written = Revision(self.era, self.number)
        self.item = (StoredItem(key, value, written), lease)
        return written

    def _swap_order(self, key, value, revision):
        known = self.orders.get(key)
        if revision != (known.revision if known else ABSENT):
            return None
        self.number += 1
        self.orders[key] = StoredItem(key, value, Revision(self.era, self.number))
        return self.orders[key].revision


@pytest.fixture
def start(monkeypatch):
    """Return a function that starts a Replacer on the running loop."""

    def start_replacer(store, name):
        loop = asyncio.get_running_loop()
        for module in (granting, order_records, replacer):
            monkeypatch.setattr(module, "boottime", loop.time)
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
            peers={},
            call=None,
        )

        async def read_now():
            pass

        node = SimpleNamespace(
            settings=SimpleNamespace(instance=name, data_centre="here"),
            groups=Groups(None, Metrics()),
            cluster=cluster,
            router=None,
            metrics=Metrics(),
            ports=SimpleNamespace(store=store),
            directory=SimpleNamespace(
                has_database_list=True,
                has_evacuation_list=True,
                cfg=None,
                entries=SimpleNamespace(read_now=read_now),
            ),
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


class Platform:
    """A promotion service that answers after `answer_s`.

    `orders` holds tokens, `ordered` the names of databases.
    """

    def __init__(self):
        self.answer_s, self.open_s = 0.0, 0.0
        self.status = 200
        self.orders, self.ordered = [], []

    async def promote(self, group, database, holder, token, left_s):
        count = len(self.orders)
        try:
            async with asyncio.timeout(max(0.0, left_s())):
                await asyncio.sleep(self.open_s)
                if left_s() <= 0:
                    raise StoreError("too late", False)
                self.orders.append(token)
                self.ordered.append(database)
                await asyncio.sleep(self.answer_s)
                return self.status
        except TimeoutError:
            raise StoreError("TimeoutError", len(self.orders) > count) from None


class Databases:
    """Three databases that obey control statements; `commands` holds those.

    `primary` leads, and those in `down` don't answer.
    """

    RESUME = "RESUME"

    def __init__(self):
        self.commands = []
        self.primary, self.down = None, set()
        self.before_answer = None  # called once before the next PAUSE is answered

    def pause(self, term):
        return f"PAUSE {term}"

    def step_down(self, term):
        return f"STEPDOWN {term}"

    async def status_of(self, name):
        if name in self.down:
            return None
        is_primary = name == self.primary
        return DatabaseStatus(is_primary, 1, Position(1, 5), 0, 0.0, 0, 1)

    async def command(self, name, text):
        self.commands.append(text)
        if text.startswith("PAUSE") and self.before_answer is not None:
            hook, self.before_answer = self.before_answer, None
            await hook()
        return await self.status_of(name)


@pytest.fixture
def holding(start, monkeypatch):
    """Return a function that runs `check(state, store, platform, databases)`."""

    def run_check(check):
        async def run_holder():
            loop = asyncio.get_running_loop()
            monkeypatch.setattr(groups, "boottime", loop.time)
            store, platform, databases = Store(), Platform(), Databases()
            state, tasks = start(store, "a")
            state.node.router = state.router = databases
            state.node.ports.databases = databases
            state.node.ports.promote = platform.promote
            for name in ("x", "y", "z"):
                entry = Database(name, "g", "h", 1, "here", 2, False, False, 1)
                state.groups.note_database(entry)
            await asyncio.sleep(1.5)
            assert state.holds_duty()
            state._health["g"] = replacement.HealthState(loop.time())
            await check(state, store, platform, databases)
            stop(tasks)

        run_on_simulated_clock(run_holder())

    return run_check


class TestOrders:
    """ONE and LOST: orders that took effect after their holder's right had ended."""

    @pytest.mark.parametrize("open_s,sent", [(10.0, 0), (1.0, 1)])
    def test_end_before_the_lease_can_end(self, holding, open_s, sent):
        async def check(state, store, platform, databases):
            async def keep_lease(lease):
                raise StoreError("cut off", True)

            store.keep_lease = keep_lease
            platform.open_s, platform.answer_s = open_s, 10.0
            task = asyncio.create_task(state._replace("g", "silent"))
            await asyncio.sleep(0.1)
            assert state._orders
            while state._orders:
                await asyncio.sleep(0.01)
            now = asyncio.get_running_loop().time()
            assert now <= state.valid_until - LEASE_MARGIN_S + 0.02
            assert len(platform.orders) == sent
            await task

        holding(check)

    def test_are_not_sent_after_a_stand_still(self, holding, monkeypatch):
        # The process stood still after the last check of the lease.
        async def check(state, store, platform, databases):
            async def stand_still():
                loop = asyncio.get_running_loop()
                monkeypatch.setattr(replacer, "boottime", lambda: loop.time() + 4)

            databases.before_answer = stand_still
            await state._replace("g", "silent")
            assert platform.orders == []

        holding(check)

    def test_are_not_sent_with_a_later_token_than_the_pause(self, holding):
        # What was learned before the duty was lost and acquired again is out of date.
        async def check(state, store, platform, databases):
            async def lose_and_acquire():
                token = state.token
                state._lose_duty("lease_ended")
                store.item = None
                while not state.token:
                    await asyncio.sleep(0.1)
                assert state.token > token

            databases.before_answer = lose_and_acquire
            await state._replace("g", "silent")
            assert platform.orders == []
            assert "RESUME" not in databases.commands

        holding(check)

    def test_are_not_sent_if_a_late_promotion_has_made_the_pause_void(self, holding):
        # A PAUSE for a term that isn't later than the database's has no effect.
        async def check(state, store, platform, databases):
            async def command(name, text):
                status = await databases.status_of(name)
                return status._replace(term=2, received=Position(2, 7))

            databases.command = command
            await state._replace("g", "silent")
            assert platform.orders == []

        holding(check)

    async def send_order(self, state, platform, answer_s):
        """Send an order that is answered after a time; return the task."""
        platform.answer_s = answer_s
        task = asyncio.create_task(state._replace("g", "silent"))
        await asyncio.sleep(0.3)
        assert len(platform.orders) == 1 and state._orders
        return task

    def test_end_when_the_duty_is_lost(self, holding):
        async def check(state, store, platform, databases):
            task = await self.send_order(state, platform, 10.0)
            state._lose_duty("key_changed")
            await asyncio.sleep(0.01)
            assert not state._orders
            await task
            assert "RESUME" not in databases.commands

        holding(check)

    def test_end_before_the_duty_is_released(self, holding):
        async def check(state, store, platform, databases):
            task = await self.send_order(state, platform, 0.6)
            started_at = asyncio.get_running_loop().time()
            ended = []
            store.end_lease = lambda lease: ended.append(lease) or asyncio.sleep(0)
            await state.release_duty()
            assert asyncio.get_running_loop().time() - started_at > 0.25
            # Its effect isn't seen yet, so the lease ends by itself.
            assert ended == []
            await task

        holding(check)

    @pytest.mark.parametrize("status,resumed", [(409, 3), (200, 0), (502, 0)])
    def test_leave_databases_paused_unless_they_were_refused(
        self, holding, status, resumed
    ):
        async def check(state, store, platform, databases):
            platform.status = status
            await state._replace("g", "silent")
            assert len(platform.orders) == 1
            assert databases.commands.count("RESUME") == resumed

        holding(check)

    def test_leave_databases_paused_while_an_earlier_one_may_take_effect(self, holding):
        async def check(state, store, platform, databases):
            platform.status = 502
            await state._replace("g", "silent")
            platform.status = 409
            await state._replace("g", "silent")
            assert len(platform.orders) == 2
            assert "RESUME" not in databases.commands
            # Another one in a later term may have led in it before the order.
            state.groups.note_primary("g", "x", 2)
            await state._replace("g", "silent")
            assert "RESUME" not in databases.commands
            state.groups.note_primary("g", platform.ordered[0], 3)
            await state._replace("g", "silent")
            assert databases.commands.count("RESUME") == 3

        holding(check)


class TestRevocation:
    """LOST: an old primary acknowledged after the next one's log had been read."""

    def test_precedes_every_pause(self, holding):
        async def check(state, store, platform, databases):
            async def call(instance, name, body, timeout_s):
                raise LinkLost("timed out", True)

            peer = SimpleNamespace(instance="b", data_centre="there")
            state.cluster.peers, state.cluster.call = {"b": peer}, call
            state.granting.state.earlier_lapse_at = 0.0
            given_at = asyncio.get_running_loop().time()
            state.granting.give("b")
            task = asyncio.create_task(state._replace("g", "silent"))
            while not databases.commands:
                await asyncio.sleep(0.01)
            waited_s = asyncio.get_running_loop().time() - given_at
            assert permits.PERMIT_S <= waited_s < permits.PERMIT_S + 0.1
            await task
            assert len(platform.orders) == 1

        holding(check)

    def test_lasts_while_an_order_may_take_effect(self, holding):
        async def check(state, store, platform, databases):
            databases.primary = "x"
            await state._check_group("g")
            assert state.granting.leader("g")[:2] == ("x", 1)
            platform.status = 502
            await state._replace("g", "stalled")
            # The former primary answers, but another one may be promoted any time.
            await state._check_group("g")
            assert state.granting.leader("g") is None

        holding(check)


class TestPermitsOfALaterToken:
    """LOST: a primary was permitted that another holder had replaced meanwhile."""

    async def lose_and_acquire(self, state, store):
        state._lose_duty("lease_ended")
        store.item = None
        while not state.token:
            await asyncio.sleep(0.1)

    def test_are_not_given_for_statuses_from_before_the_duty_was_lost(self, holding):
        async def check(state, store, platform, databases):
            async def update_roster(*args):
                await self.lose_and_acquire(state, store)

            databases.primary, state._update_roster = "x", update_roster
            await state._check_group("g")
            assert state.granting.leader("g") is None

        holding(check)

    def test_are_not_given_for_a_promotion_ordered_before_that(self, holding):
        async def check(state, store, platform, databases):
            async def wait_for_promotion(group, database, ordered_at):
                await self.lose_and_acquire(state, store)
                return await databases.status_of(database)

            state._wait_for_promotion = wait_for_promotion
            await state._replace("g", "silent")
            assert len(platform.orders) == 1
            assert state.granting.leader("g") is None

        holding(check)


class TestRecordedOrders:
    """LOST: an order took effect after a later holder had promoted another database."""

    RECORD = orders.Order("x", 1, Position(1, 5))

    def start(self, holding, check):
        async def find_order(state, store, platform, databases):
            state.groups.note_primary("g", "y", 1)
            key = ORDER_PREFIX + "g"
            value = json.dumps(orders.encode(self.RECORD)).encode()
            await store.swap(key, value, ABSENT)
            state._lose_duty("lease_ended")
            store.item = None
            while not state.token:
                await asyncio.sleep(0.1)
            platform.status = 502
            await check(state, platform, databases)

        holding(find_order)

    def test_are_completed_by_a_later_holder(self, holding):
        async def check(state, platform, databases):
            databases.primary = "y"  # it can be reached again
            await state._check_group("g")
            assert platform.ordered == ["x"]

        self.start(holding, check)

    def test_are_awaited_if_their_database_is_gone(self, holding):
        async def check(state, platform, databases):
            databases.down = {"x"}
            await state._replace("g", "silent")
            assert platform.ordered == [] and "RESUME" not in databases.commands
            await asyncio.sleep(orders.LATE_S)
            state.valid_until = asyncio.get_running_loop().time() + DUTY_LEASE_S
            await state._replace("g", "silent")
            assert platform.ordered == ["z"]

        self.start(holding, check)

    def test_are_written_before_they_are_sent(self, holding):
        async def check(state, store, platform, databases):
            async def swap(key, value, revision, lease=None, guard=None):
                assert platform.orders == []
                raise StoreError("down", False)

            store.swap = swap
            await state._replace("g", "silent")
            assert platform.orders == [] and databases.commands.count("RESUME") == 3

        holding(check)

    def test_of_a_later_holder_are_not_overwritten_by_a_former_one(self, holding):
        async def check(state, store, platform, databases):
            key, swap = ORDER_PREFIX + "g", store.swap
            later = json.dumps(orders.encode(self.RECORD)).encode()

            async def swap_late(*args, guard):
                store.swap = swap
                state._lose_duty("key_changed")
                lease = await store.grant_lease(DUTY_LEASE_S)
                await swap(DUTY_KEY, b"b/1", state.claimed, lease)
                await swap(key, later, ABSENT)
                return await swap(*args, guard=guard)

            store.swap = swap_late
            await state._replace("g", "silent")
            assert platform.orders == [] and store.orders[key].value == later

        holding(check)

    def test_that_take_effect_while_permits_are_revoked_are_not_repeated(self, holding):
        # Otherwise the database that has just been promoted is replaced.
        async def check(state, store, platform, databases):
            async def status_of(name):
                term = 2 if databases.primary else 1
                is_primary = name == databases.primary
                status = DatabaseStatus(is_primary, term, Position(1, 5), 0, 0.0, 0, 1)
                state.groups.note_status(name, status)
                return status

            async def revoke(group):
                databases.primary = platform.ordered[0]

            databases.status_of, platform.status = status_of, 502
            await state._replace("g", "silent")
            state.granting.revoke = revoke
            await state._check_group("g")
            assert len(platform.ordered) == 1

        holding(check)

    def test_last_although_the_term_that_databases_had_reported_is_seen(self, holding):
        # LOST: the holder had not seen the primary x, which returns before the effect.
        async def check(state, store, platform, databases):
            async def status_of(name):
                is_primary = name == databases.primary
                status = DatabaseStatus(is_primary, 2, Position(2, 5), 0, 0.0, 0, 1)
                state.groups.note_status(name, status)
                return status

            databases.status_of, platform.status = status_of, 502
            await state._replace("g", "silent")
            assert platform.ordered == ["z"]
            databases.primary = "x"
            await state._check_group("g")
            assert state.granting.leader("g") is None

        holding(check)

    def test_do_not_last_longer_as_their_repetition_is_refused(self, holding):
        # Otherwise the group never gets a primary.
        async def check(state, store, platform, databases):
            platform.status = 502
            await state._replace("g", "silent")
            platform.status = 409
            for _ in range(int(orders.LATE_S) + 2):
                await asyncio.sleep(1.0)
                await state._replace("g", "silent")
            assert state.order_records.pending("g") is None

        holding(check)
