"""A database's home: how many connections, and the session state on them."""

import asyncio

from dragonflywing import outcomes
from dragonflywing.deployment import Database
from dragonflywing.homes import Home, Pooled, connections_for, session_statements
from dragonflywing.links import idl
from dragonflywing.metrics import Metrics
from dragonflywing.platform import databases
from dragonflywing.ports import Answer, ConnectionFailed
from test.helper import run


class TestConnections:
    def test_both_sides_of_a_cut_stay_within_the_limit(self):
        for limit in (16, 32, 248):
            first = connections_for(limit, None, False)
            cut_off = connections_for(limit, 30.0, True)
            # One side keeps the home; up to two instances of the other side
            # and the control connections of all three fit beside it.
            assert first + 2 * cut_off + 1 <= limit

    def test_grow_while_standing_in(self):
        counts = [connections_for(16, second, False) for second in range(6)]
        assert counts[0] == 2
        assert counts == sorted(counts)
        assert counts[-1] == connections_for(16, None, False)


class TestSessionState:
    def _pooled(self, values, prepared):
        pooled = Pooled(None, "press", 0.0)
        pooled.values, pooled.prepared = values, prepared
        return pooled

    def test_same_state_needs_nothing(self):
        pooled = self._pooled({"a": "1"}, {"p1": "READ x"})
        found = session_statements(databases, pooled, {"a": "1"}, {"p1": "READ x"})
        assert found == []

    def test_other_values_are_set(self):
        pooled = self._pooled({"a": "1"}, {})
        found = session_statements(databases, pooled, {"a": "2", "b": "3"}, {})
        assert found == ["SET a 2", "SET b 3"]
        assert pooled.values == {"a": "2", "b": "3"}

    def test_values_that_must_go_reset_all(self):
        pooled = self._pooled({"a": "1", "b": "2"}, {"p1": "READ x"})
        found = session_statements(databases, pooled, {"a": "1"}, {"p1": "READ x"})
        assert found == ["RESET", "SET a 1", "PREPARE p1 READ x"]


class FakeConnection:
    """A connection whose statements wait until the test lets them run."""

    def __init__(self, port):
        self.port = port

    async def run(self, statement_id, text):
        self.port.ran.append(text)
        if statement_id != "-":
            await self.port.gate.wait()
        inside = text == "BEGIN" or statement_id.startswith("t")
        return Answer("", "signature", (), inside, None)

    def is_broken(self):
        return False

    def close(self):
        self.port.closed += 1


class FakePort:
    """The part of the databases' adapter that a home needs."""

    RESET, ROLLBACK, BEGIN = "RESET", "ROLLBACK", "BEGIN"

    def __init__(self, is_up=True):
        self.ran = []
        self.closed = 0
        self.gate = asyncio.Event()
        self.is_up = is_up

    async def connect(self, database, workspace):
        if not self.is_up:
            raise ConnectionFailed("refused")
        return FakeConnection(self)

    def at_position(self, position, text):
        return text


def request(statement_id, **changes):
    fields = {
        "workspace": "press",
        "statement_id": statement_id,
        "text": f"READ {statement_id}",
        "kind": "read",
        "values": {},
        "prepared": {},
        "opening": "",
        "transaction": "",
        "timeout": 1.0,
        "priority": 1,
    }
    return idl.RunRequest(**{**fields, **changes})


def make_home(port, slots=1):
    database = Database(
        "db", "group", "127.0.0.1", 1, "duluth-a", slots, False, True, 1
    )
    return Home(database, 16, port, Metrics())


class TestCallersWhoLeave:
    def test_take_no_slot(self):
        run(self._queued())

    async def _queued(self):
        port = FakePort()
        home = make_home(port)
        first = asyncio.create_task(home.run(request("a"), None, None))
        await asyncio.sleep(0.01)
        left = asyncio.create_task(home.run(request("b"), None, None))
        await asyncio.sleep(0.01)
        left.cancel()
        await asyncio.sleep(0.01)
        assert home.admission.waiting() == 0
        port.gate.set()
        assert (await first)[0].code == ""
        assert (await home.run(request("c"), None, None))[0].code == ""
        assert "READ b" not in port.ran

    def test_leave_no_transaction_open(self):
        run(self._inside())

    async def _inside(self):
        port = FakePort()
        home = make_home(port)
        req = request("t1", opening="BEGIN")
        left = asyncio.create_task(home.run(req, None, None))
        await asyncio.sleep(0.01)
        left.cancel()
        port.gate.set()
        await asyncio.sleep(0.05)
        assert home.transactions == {}
        assert port.ran == ["BEGIN", "READ t1", "ROLLBACK"]


class TestOutOfReach:
    def test_is_said_at_once_and_not_asked_again_for_a_while(self):
        run(self._check())

    async def _check(self):
        port = FakePort(is_up=False)
        home = make_home(port)
        for _ in range(3):
            started = asyncio.get_running_loop().time()
            answer, _ = await home.run(request("a"), None, None)
            assert answer.code == outcomes.UNREACHABLE
            assert asyncio.get_running_loop().time() - started < 0.1
        assert home.metrics.counters["database.connect_failed"] == 1


class TestLostAnswers:
    """A database that loses answers while statements wait for its slots."""

    def test_hold_a_slot_no_longer_than_any_statement_works(self):
        run(self._check())

    async def _check(self):
        port = FakePort()
        home = make_home(port)
        lost = asyncio.create_task(home.run(request("a"), None, None))
        await asyncio.sleep(0.01)
        started = asyncio.get_running_loop().time()
        waiting = asyncio.create_task(home.run(request("b"), None, None))
        while "READ b" not in port.ran:
            await asyncio.sleep(0.01)
        # A statement works for 170 ms at the most.
        assert 0.17 < asyncio.get_running_loop().time() - started < 0.25
        assert home.metrics.counters["slot.released_early"] == 1
        port.gate.set()
        assert (await lost)[0].code == ""
        assert (await waiting)[0].code == ""
        assert home.admission.running == 0

    def test_answers_in_time_leave_no_timer_behind(self):
        run(self._check_timers())

    async def _check_timers(self):
        port = FakePort()
        port.gate.set()
        home = make_home(port)
        for number in range(5):
            await home.run(request(f"s{number}"), None, None)
        await asyncio.sleep(0.3)
        assert home.metrics.counters["slot.released_early"] == 0
        assert home.admission.running == 0
