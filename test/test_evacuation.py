"""Evacuations in the tasks of an instance, on a simulated clock."""

import asyncio
import functools
import math
from types import SimpleNamespace

import pytest

from dragonflywing import (
    directory,
    following,
    granting,
    groups,
    order_records,
    outcomes,
    replacer,
)
from dragonflywing.cluster import Cluster
from dragonflywing.decisions import (
    eras,
    evacuation,
    replacement,
    replicas,
)
from dragonflywing.decisions.eras import Revision
from dragonflywing.decisions.positions import Position
from dragonflywing.decisions.relays import Role
from dragonflywing.deployment import Database
from dragonflywing.directory import Directory
from dragonflywing.errors import HistoryLost, StoreError
from dragonflywing.exchange import Exchange
from dragonflywing.groups import Groups
from dragonflywing.links import idl, pack, unpack
from dragonflywing.metrics import Metrics
from dragonflywing.ports import DatabaseStatus, StoredItem
from dragonflywing.replacer import EVACUATION_RETRY_S, Replacer
from dragonflywing.router import Router
from test.helper import run_on_simulated_clock
from test.test_homes import FakeAdapter, request

PREFIX = "evacuate/"
BOUND_S = 5.0


def clock():
    return asyncio.get_running_loop().time()


@pytest.fixture(autouse=True)
def simulated_clock(monkeypatch):
    for module in (directory, following, granting, groups, order_records, replacer):
        monkeypatch.setattr(module, "boottime", clock)


def simulated(cls):
    """Run the async tests of a class on a simulated clock, then cancel their tasks."""

    def wrap(test):
        return functools.wraps(test)(
            lambda *a, **k: run_on_simulated_clock(test(*a, **k))
        )

    for name in [name for name in vars(cls) if name.startswith("test_")]:
        setattr(cls, name, wrap(vars(cls)[name]))
    return cls


def make_groups(adapter=None):
    """Return Groups with a primary a in dc-a and replicas b and c."""
    state = Groups(SimpleNamespace(databases=adapter), Metrics(), evacuate_s=BOUND_S)
    for x in "abc":
        state.note_database(Database(x, "g", "h", 1, f"dc-{x}", 2, False, False, 1))
    state.note_primary("g", "a", 1)
    return state


def evacuate(state, names):
    """Note that the data centres of databases are evacuated."""
    for name in names:
        state.note_evacuation(f"dc-{name}", Revision(1, 6))


class Store:
    """A store with evacuations; its watches hear nothing while it is deaf."""

    restored_at = None

    def __init__(self):
        self.revision, self.items = Revision(1, 5), {}
        self.is_up, self.can_list, self.is_deaf = True, True, False

    def put(self, key, value=b"{}"):
        self.revision = self.revision._replace(number=self.revision.number + 1)
        self.items[key] = StoredItem(key, value, self.revision)

    def check_up(self, is_up=True):
        if not (self.is_up and is_up):
            raise StoreError("down", False)

    def select(self, prefix):
        return [x for x in self.items.values() if x.key.startswith(prefix)]

    async def get(self, key):
        self.check_up()
        return StoredItem(key, b"1", Revision(1, 1)), self.revision

    async def get_prefix(self, prefix, may_be_old=False):
        self.check_up(self.can_list)
        assert not may_be_old
        items = [x for x in self.select(prefix) if x.value is not None]
        return items, self.revision

    async def watch(self, prefix, after, wait_s):
        end = clock() + wait_s
        while True:
            self.check_up()
            if after.era != self.revision.era:
                raise HistoryLost(prefix)
            items = [x for x in self.select(prefix) if x.revision > after]
            if clock() >= end or (items and not (self.is_deaf and wait_s)):
                return items, self.revision
            await asyncio.sleep(0.05)

    drop_idle_connections = staticmethod(lambda: None)


def make_directory(evacuate_s=BOUND_S):
    """Return a Directory with a Store and Groups of its own."""
    ports = SimpleNamespace(
        store=Store(),
        database_prefix="databases/",
        evacuation_prefix=PREFIX,
        configuration_key="configuration",
        decode_configuration=lambda data: SimpleNamespace(
            workspaces={}, version=int(data), groups={}
        ),
    )
    cluster = SimpleNamespace(
        eras=eras.EraState(), rank=lambda subject: 0, role=lambda: Role.DIRECT
    )
    eras.note_era(cluster.eras, -100.0, 1)
    settings = SimpleNamespace(
        key_withdrawal_s=5.0, evacuate_s=evacuate_s, regions={"dc-a": "r", "dc-b": "r"}
    )
    state = make_groups()
    result = Directory(settings, ports, state, cluster, state.metrics)
    result.on_configuration = lambda cfg: None
    return result


@simulated
class TestNews:
    async def follow(self, *evacuated, **changes):
        """Follow a Store for 2 s; return it, the Groups and the Directory."""
        followed = make_directory()
        store = followed.ports.store
        vars(store).update(changes)
        for data_centre in evacuated:
            store.put(PREFIX + data_centre)
        runs = followed.evacuations.run(), followed.keep_confirmed()
        followed.tasks = [asyncio.create_task(x) for x in runs]
        await asyncio.sleep(2.0)
        return store, followed.groups, followed

    @pytest.mark.parametrize("is_deaf", [False, True])
    async def test_arrive_if_malformed_and_the_watch_is_silent(self, is_deaf):
        store, state, _ = await self.follow(is_deaf=is_deaf)
        store.put(PREFIX + "dc-a", b"\xff{")
        store.put(PREFIX + "nowhere")
        at = clock()
        await asyncio.sleep(1.2)
        assert at - 1.2 <= state.evacuated_since("dc-a") <= at
        assert state.metrics.counters["refused.bad_evacuation"] == 2

    async def test_instance_is_not_confirmed_before_it_knows_the_list(self):
        # An instance that started served databases of evacuated data centres.
        store, state, followed = await self.follow("dc-a", can_list=False)
        assert followed.confirmation_age() < 2.0 and not followed.is_confirmed()
        store.can_list = True
        await asyncio.sleep(5.0)
        assert followed.is_confirmed() and state.time_left("a").to_end_s < 0

    async def test_list_is_confirmed_though_others_tell_only_the_configuration(self):
        # Instances of earlier builds do; without a list no statement may be sent.
        store, state, followed = await self.follow()
        followed.cluster.rank = lambda subject: 3
        for _ in range(20):
            await asyncio.sleep(0.5)
            followed.confirm(1, clock(), store.revision)
            assert state.time_left("a").to_send_s > 1.0

    async def test_a_key_lost_in_a_restore_counts_until_operators_write_again(self):
        store, state, followed = await self.follow("dc-a")
        store.items.clear()
        store.revision = Revision(2, 5)
        eras.note_era(followed.cluster.eras, clock(), 2)
        for _ in range(17):
            await asyncio.sleep(0.1)
            followed.evacuations.expire()
            assert state.evacuated_since("dc-a") is not None
        await asyncio.sleep(1.5)
        followed.evacuations.expire()
        assert state.evacuated_since("dc-a") is None

    async def test_a_key_removed_in_an_outage_is_not_kept(self):
        store, state, _ = await self.follow("dc-a")
        assert state.evacuated_since("dc-a") is not None
        store.is_up = False
        await asyncio.sleep(3.0)
        store.put(PREFIX + "dc-a", None)
        store.is_up, store.restored_at = True, clock()
        await asyncio.sleep(2.0)
        assert state.evacuated_since("dc-a") is None


@simulated
class TestExchange:
    """In large fleets only relays hear of evacuations from the store."""

    async def exchange(
        self, known_by_relay=BOUND_S, known_by_member=BOUND_S, removed=0, read=0
    ):
        """Let a member ask a relay; return the member's Directory and the time.

        The relay holds back a removal at the revision `removed`, the member has read
        the list at the revision `read`.
        """
        ends = []
        for name, bound_s in (("m", known_by_member), ("r", known_by_relay)):
            followed = make_directory(bound_s)
            followed.entries.replica.revision = Revision(1, 1)
            settings = SimpleNamespace(instance=name, data_centre="dc-a")
            cluster = Cluster(settings, followed.ports.store, Metrics())
            end = Exchange(settings, followed.groups, cluster, followed, None)
            end._divides_rates = end._summary = lambda partner: None
            ends.append((end, followed))
        (member, learned), (relay, source) = ends
        if source.evacuations is not None:
            source.ports.store.put(PREFIX + "dc-a")
            await source.evacuations._read_list(False)
        if removed:
            gone = StoredItem(PREFIX + "dc-b", None, Revision(1, removed))
            held = replicas.Removal(gone, clock() + 1.0)
            source.evacuations.replica.held[gone.key] = held
            member_list = replicas.Changes(True, Revision(1, read), [])
            learned.evacuations.apply(member_list)
        asked_at = clock()
        answer = relay.answer(pack(member.make_question("r")))
        assert unpack(idl.Beliefs, answer).config_version == 0
        await member.apply_answer("r", None, answer, asked_at)
        return learned, asked_at

    async def test_tells_of_evacuations_and_since_when_they_are_known(self):
        learned, asked_at = await self.exchange()
        assert learned.groups.evacuated_since("dc-a") < asked_at
        assert learned.groups.evacuations.known_at == pytest.approx(asked_at)
        assert learned.evacuations_received_at == asked_at

    async def test_changes_behind_a_removal_that_is_held_back_prove_no_list(self):
        # They weren't applied, but the member took its list as complete without them.
        learned, _ = await self.exchange(removed=3, read=5)
        assert learned.groups.evacuated_since("dc-a") is None
        assert learned.groups.evacuations.known_at < 0

    @pytest.mark.parametrize("unfollowed", ["known_by_relay", "known_by_member"])
    async def test_nothing_is_told_or_learned_where_unfollowed(self, unfollowed):
        learned, _ = await self.exchange(**{unfollowed: None})
        state = learned.groups.evacuations
        assert state.since == {} and state.known_at < 0
        assert learned.evacuations_received_at < 0


@simulated
class TestRequests:
    """EVAC: statements that a home had queued, or that an open transaction sent."""

    def start(self, evacuated=""):
        """Return Groups whose list is 0.5 s old, with their Router and adapter."""
        adapter = FakeAdapter()
        state = make_groups(adapter)
        settings = SimpleNamespace(instance="me", data_centre="dc-a", regions={})
        cluster = SimpleNamespace(stop=None)
        router = Router(settings, None, state, cluster, state.metrics)
        evacuation.note_known(state.evacuations, clock() - 0.5)
        evacuate(state, evacuated)
        return state, router, adapter

    async def wait_until_before(self, margin_s):
        await asyncio.sleep(BOUND_S - 0.5 - margin_s)

    async def test_reads_leave_at_once_and_primaries_serve_until_shortly_before(self):
        state, router, _ = self.start("ab")
        route = SimpleNamespace(group="g")
        assert {router.choose_reader(route, set()) for _ in range(30)} == {"c"}
        assert router.choose_reader(route, {"c"}) is None
        assert await router.wait_primary("g", 1.0) == "a"
        assert not state.accepts_requests("b")
        await self.wait_until_before(evacuation.ACCEPT_MARGIN_S)
        assert not state.accepts_requests("a")
        before = router.now()
        assert await router.wait_primary("g", 1.0) is None
        assert router.now() == before
        state.end_evacuation("dc-a")
        assert await router.wait_primary("g", 1.0) == "a"

    async def test_the_home_of_a_former_primary_names_it_as_such(self):
        # Otherwise the asker goes on with the primary that it knows.
        state, router, adapter = self.start("a")
        state.note_primary("g", "b", 2)
        answer, _, _ = await router.run_locally(request("r", database="a"), None)
        assert answer.code == outcomes.NOT_PRIMARY
        assert adapter.ran == []

    @pytest.mark.parametrize(
        ("is_answered", "margin_s", "codes"),
        [
            (True, evacuation.SEND_MARGIN_S, ["", ""]),
            (False, evacuation.END_MARGIN_S, [outcomes.IN_DOUBT] * 2),
        ],
    )
    async def test_none_is_sent_or_still_unanswered_shortly_before_the_bound(
        self, is_answered, margin_s, codes
    ):
        # One was queued with a long time limit before the news; or a network that
        # held one could deliver it after the bound.
        state, _, adapter = self.start()
        home = state.home("a")
        home.admission.duration_s = BOUND_S  # slots are not released early
        reqs = [request(x, timeout=20.0, kind="write") for x in ("r1", "r2", "r3")]
        tasks = [asyncio.create_task(home.run(req, None, None)) for req in reqs]
        await asyncio.sleep(0.01)
        evacuate(state, "a")
        home.end_calls()
        await self.wait_until_before(margin_s)
        if is_answered:
            adapter.gate.set()
        await asyncio.wait(tasks, timeout=0.01)
        answers = [task.result()[0].code for task in tasks]
        assert answers == [*codes, outcomes.OVERLOADED]  # the database has two slots
        assert sum(x.startswith("READ") for x in adapter.ran) == 2
        assert adapter.closed == 1 + codes.count(outcomes.IN_DOUBT)

    async def test_none_is_sent_by_the_home_of_a_database_that_is_unlisted(self):
        # Its data centre was cut off from the store; the queue went on when it closed.
        state, _, adapter = self.start()
        home = state.home("a")
        home.admission.duration_s = BOUND_S
        reqs = [request(x, timeout=20.0, kind="write") for x in ("r1", "r2", "r3")]
        tasks = [asyncio.create_task(home.run(req, None, None)) for req in reqs]
        await asyncio.sleep(0.01)
        evacuate(state, "a")
        await self.wait_until_before(evacuation.SEND_MARGIN_S)
        state.remove_database("a")
        await asyncio.wait(tasks, timeout=1.0)
        assert tasks[2].done() and tasks[2].result()[0].code == outcomes.WRONG_DATABASE
        assert not any(x.endswith("r3") for x in adapter.ran)

    async def test_a_process_that_was_suspended_sends_no_old_statements(self):
        # It reads them from its connections before it is notified of the evacuation.
        state, _, adapter = self.start()
        adapter.gate.set()
        await asyncio.sleep(BOUND_S - 1.0)
        assert (await state.home("a").run(request("r"), None, None))[0].code == ""
        await asyncio.sleep(0.5)
        answer, _ = await state.home("a").run(request("s"), None, None)
        assert answer.code == outcomes.OVERLOADED
        assert not any(x.endswith("s") for x in adapter.ran)

    async def test_a_home_without_the_list_sends_nothing_for_others(self):
        # An instance that had just started ran what one with an old list forwarded.
        state, router, adapter = self.start()
        adapter.gate.set()
        state.evacuations.known_at = -math.inf
        req = request("r", database="a", floor_term=0, floor_index=0, max_age=-1.0)
        answer, _, _ = await router.run_locally(req, None)
        assert answer.code == outcomes.UNREACHABLE  # another home is tried
        assert (await state.home("a").run(req, None, None))[0].code
        assert not any(x.startswith("READ") for x in adapter.ran)

    async def test_open_transactions_are_rolled_back(self):
        state, router, adapter = self.start()
        adapter.gate.set()
        opening = request("t", opening="BEGIN", kind="write")
        _, handle = await state.home("a").run(opening, None, None)
        evacuate(state, "a")
        fields = {"database": "a", "floor_term": 0, "floor_index": 0, "max_age": -1.0}
        req = request("t2", transaction=handle, kind="write", **fields)
        answer, again, _ = await router.run_locally(req, None)
        assert (answer.code, again) == ("", handle)
        await self.wait_until_before(evacuation.ACCEPT_MARGIN_S)
        answer, _, _ = await router.run_locally(req, None)
        assert answer.code == outcomes.ABORTED
        await asyncio.sleep(0.01)
        assert adapter.ran[-1] == "ROLLBACK"

    async def test_shortly_before_the_bound_connections_get_no_statement_to_end(self):
        # ROLLBACK and RESET reached databases after the bound.
        state, _, adapter = self.start()
        adapter.gate.set()
        home = state.home("a")
        opening = request("t", opening="BEGIN", kind="write", workspace="harbor")
        await home.run(opening, None, None)
        assert (await home.run(request("r"), None, None))[0].code == ""
        evacuate(state, "a")
        await self.wait_until_before(evacuation.SEND_MARGIN_S)
        answer, _ = await home.run(request("s"), None, None)
        assert answer.code == outcomes.OVERLOADED
        home.roll_back_open()
        await asyncio.sleep(0.01)
        assert adapter.ran == ["BEGIN", "READ t", "READ r"] and adapter.closed == 2


class Fleet:
    """Three databases that obey control statements and replicate from a to b, c."""

    regions, RESUME = {}, "RESUME"
    pause, step_down = "PAUSE {}".format, "STEPDOWN {}".format

    def __init__(self, log_of_c=9, **changes):
        self.logs = {"a": 9, "b": 9, "c": log_of_c}
        self.promised = dict.fromkeys("abc", 0)
        self.primary, self.term = "a", 1
        self.down, self.commands, self.promoted = set(), [], []
        self.catches_up = True
        vars(self).update(changes)

    async def status_of(self, name):
        await asyncio.sleep(0.001)
        if name in self.down:
            return None
        received, promised = Position(1, self.logs[name]), self.promised[name]
        is_primary = name == self.primary
        return DatabaseStatus(is_primary, self.term, received, promised, 0.0, 0, 1)

    async def command(self, name, text):
        self.commands.append(f"{name} {text}")
        word, _, term = text.partition(" ")
        if word in ("PAUSE", "RESUME"):
            self.promised[name] = int(term or 0)
        elif name == self.primary:
            self.primary = None
        status = await self.status_of(name)
        for other in "abc" if self.catches_up else "":
            if not self.promised[other]:
                self.logs[other] = self.logs["a"]
        return status

    async def promote(self, group, name, holder, token, left_s):
        self.promoted.append(name)
        self.primary, self.term = name, self.term + 1
        self.promised = dict.fromkeys("abc", 0)
        return 200


@simulated
class TestReplacement:
    STUCK = {"log_of_c": 7, "catches_up": False}

    async def start(self, evacuated, **changes):
        """Evacuate databases of a Fleet; return it, the Groups and the Replacer."""
        fleet, state = Fleet(**changes), make_groups()
        state.specs["g"] = SimpleNamespace(sync_replicas=1)
        node = SimpleNamespace(
            settings=SimpleNamespace(instance="me", data_centre="dc-a"),
            groups=state,
            cluster=SimpleNamespace(eras=eras.EraState(), peers={}),
            router=fleet,
            metrics=state.metrics,
            ports=SimpleNamespace(store=None, databases=fleet, promote=fleet.promote),
            directory=SimpleNamespace(
                cfg=SimpleNamespace(groups=["g"], routes={}),
                entries=SimpleNamespace(read_now=lambda: asyncio.sleep(0)),
            ),
        )
        holder = Replacer(node)
        holder.token, holder.valid_until = 1, 1e12
        holder.granting.begin(1)
        holder._write_roster = lambda *args: asyncio.sleep(0)
        holder.order_records._write = lambda *args: asyncio.sleep(0, True)
        holder.task = asyncio.create_task(holder.watch())
        await asyncio.sleep(1.0)
        assert fleet.commands == []
        evacuate(state, evacuated)
        return fleet, state, holder

    @pytest.mark.parametrize(
        ("evacuated", "log_of_c", "first"),
        # The primary goes on until the database outside has what it acknowledged.
        [("a", 9, "a STEPDOWN"), ("ab", 7, "b PAUSE")],
    )
    async def test_moves_a_primary_within_moments(self, evacuated, log_of_c, first):
        fleet, state, _ = await self.start(evacuated, log_of_c=log_of_c)
        await asyncio.sleep(0.3)
        assert fleet.promoted == ["c"] and state.state("g").primary == "c"
        assert fleet.commands[0].startswith(first)
        assert fleet.logs["c"] == 9

    @pytest.mark.parametrize(
        ("evacuated", "changes", "wait_s", "tried", "cure", "promoted"),
        [
            # The database outside stays behind.
            ("ab", STUCK, 1.0, {"b PAUSE", "b RESUME"}, {"catches_up": True}, "c"),
            # A replica that can't be reached may hold more.
            ("a", {**STUCK, "down": {"b"}}, 2.0, set(), {"down": set()}, "b"),
            # Nothing is outside.
            ("abc", {}, 3.0, set(), "dc-b", "b"),
        ],
    )
    async def test_leaves_the_primary_until_a_database_outside_can_lead(
        self, evacuated, changes, wait_s, tried, cure, promoted
    ):
        fleet, state, _ = await self.start(evacuated, **changes)
        await asyncio.sleep(wait_s)
        assert fleet.promoted == [] and fleet.primary == "a"
        assert {" ".join(x.split(" ")[:2]) for x in fleet.commands} == tried
        assert fleet.promised["b"] == 0
        if isinstance(cure, str):
            state.end_evacuation(cure)
        else:
            vars(fleet).update(cure)
        await asyncio.sleep(EVACUATION_RETRY_S + 0.5)
        assert fleet.promoted == [promoted]

    async def test_promotes_no_evacuated_database_for_another_reason(self):
        fleet, _, holder = await self.start("ab", **self.STUCK)
        fleet.down, fleet.primary = {"a"}, None
        holder._health["g"] = replacement.HealthState(-100.0)
        await asyncio.sleep(3.0)
        assert fleet.promoted == []

    async def test_resumes_what_a_former_holder_left_paused(self):
        # It ended after it had paused a replica, and the evacuation was cancelled.
        fleet, _, _ = await self.start("")
        fleet.promised["b"] = 2
        await asyncio.sleep(5.0)
        assert fleet.commands == ["b RESUME"] and fleet.promised["b"] == 0
