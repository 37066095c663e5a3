"""Tests of a database's home: connection limits, session state, slots."""

import asyncio
import contextlib
import random
import socket
import struct

import pytest

from dragonflywing import outcomes
from dragonflywing.connection_pool import max_connections_for
from dragonflywing.deployment import Database
from dragonflywing.homes import Home
from dragonflywing.links import idl
from dragonflywing.metrics import Metrics
from dragonflywing.platform import databases
from dragonflywing.ports import Answer, ConnectionFailed
from test.helper import run


class TestConnections:
    def test_both_sides_of_a_partition_stay_within_the_limit(self):
        for limit in (16, 32, 248):
            first = max_connections_for(limit, None, False)
            isolated = max_connections_for(limit, 30.0, True)
            # One side keeps the home. Up to two instances on the other side and
            # a control connection must fit into the rest of the limit.
            assert first + 2 * isolated + 1 <= limit

    def test_fallback_limit_grows_with_time(self):
        counts = [max_connections_for(16, second, False) for second in range(6)]
        assert counts[0] == 2
        assert counts == sorted(counts)
        assert counts[-1] == max_connections_for(16, None, False)


class FakeConnection:
    """A connection whose statements wait until the test lets them run."""

    def __init__(self, adapter):
        self.adapter = adapter

    async def run(self, statement_id, text):
        self.adapter.ran.append(text)
        if statement_id != "-":
            await self.adapter.gate.wait()
        in_transaction = text == "BEGIN" or statement_id.startswith("t")
        return Answer("", "signature", (), in_transaction, None)

    def is_broken(self):
        return False

    def close(self):
        self.adapter.closed += 1


class FakeAdapter:
    """The part of the databases adapter that a home uses."""

    RESET, ROLLBACK, BEGIN = "RESET", "ROLLBACK", "BEGIN"

    def __init__(self, is_up=True):
        self.ran = []
        self.opened = self.closed = 0
        self.gate = asyncio.Event()
        self.is_up = is_up

    async def connect(self, database, workspace):
        if not self.is_up:
            raise ConnectionFailed("refused")
        self.opened += 1
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


def make_home(adapter, slots=1):
    database = Database(
        "db", "group", "127.0.0.1", 1, "duluth-a", slots, False, True, 1
    )
    return Home(database, 16, adapter, Metrics())


class TestDisconnectedCallers:
    def test_cancelled_waiter_takes_no_slot(self):
        run(self._cancel_queued())

    async def _cancel_queued(self):
        adapter = FakeAdapter()
        home = make_home(adapter)
        first = asyncio.create_task(home.run(request("a"), None, None))
        await asyncio.sleep(0.01)
        cancelled = asyncio.create_task(home.run(request("b"), None, None))
        await asyncio.sleep(0.01)
        cancelled.cancel()
        await asyncio.sleep(0.01)
        assert home.admission.waiting() == 0
        adapter.gate.set()
        assert (await first)[0].code == ""
        assert (await home.run(request("c"), None, None))[0].code == ""
        assert "READ b" not in adapter.ran

    @pytest.mark.parametrize("is_contended", [False, True])
    def test_closed_home_runs_nothing_and_keeps_no_connection(self, is_contended):
        # Statements in the queue of a database that had restarted ran on connections
        # that nobody closed, or opened new ones.
        run(self._close_home(is_contended))

    async def _close_home(self, is_contended):
        adapter = FakeAdapter()
        home = make_home(adapter)
        home.set_contended(is_contended)
        requests = [request(x, timeout=9.0) for x in "abcdefghij"]
        tasks = [asyncio.create_task(home.run(x, None, None)) for x in requests]
        await asyncio.sleep(0.01)
        home.close()
        adapter.gate.set()
        await asyncio.wait(tasks)
        # The first one had been sent; its caller was disconnected without an answer.
        codes = [task.result()[0].code for task in tasks]
        assert codes == [outcomes.IN_DOUBT, *[outcomes.WRONG_DATABASE] * 9]
        assert adapter.ran == ["READ a"] and home.total == 0
        assert adapter.closed == adapter.opened == (1 if is_contended else 8)

    def test_home_that_is_closed_during_a_connect_refuses_the_statement(self):
        run(self._close_connecting_home())

    async def _close_connecting_home(self):
        adapter = FakeAdapter()
        adapter.connect = lambda *args: adapter.gate.wait()
        home = make_home(adapter)
        home.set_contended(True)
        task = asyncio.create_task(home.run(request("a"), None, None))
        await asyncio.sleep(0.01)
        home.close()
        await asyncio.wait([task])
        assert task.result()[0].code == outcomes.WRONG_DATABASE

    def test_open_transaction_is_rolled_back(self):
        run(self._cancel_in_transaction())

    async def _cancel_in_transaction(self):
        adapter = FakeAdapter()
        home = make_home(adapter)
        req = request("t1", opening="BEGIN")
        cancelled = asyncio.create_task(home.run(req, None, None))
        await asyncio.sleep(0.01)
        cancelled.cancel()
        adapter.gate.set()
        await asyncio.sleep(0.05)
        assert home.transactions == {}
        assert adapter.ran == ["BEGIN", "READ t1", "ROLLBACK"]


class ScriptedDatabase:
    """A database on a loopback socket; the answer to STATUS tells how many came."""

    def __init__(self):
        self.answer_s = 0.0
        self.asked = 0
        self.writers = []

    async def start(self):
        """Accept connections; return a Home of the database."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        database = Database("db", "group", host, port, "duluth-a", 2, False, True, 1)
        return Home(database, 16, databases, Metrics())

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(OSError, EOFError):
            await reader.readuntil(b"\r\n")
            writer.write(b"READY I 1.1\r\n")
            while line := await reader.readuntil(b"\r\n"):
                self.asked += "STATUS" in line.decode()
                row = f"DATAROW primary 1 1.{self.asked} 0 0 0 1\r\n"
                await asyncio.sleep(self.answer_s)
                if writer.is_closing():
                    return
                writer.write(f"{row}COMPLETE -\r\nREADY I 1.1\r\n".encode())

    def reset_connections(self):
        """Reset all connections."""
        for writer in self.writers:
            if writer.is_closing():
                continue
            sock = writer.get_extra_info("socket")
            reset = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            writer.transport.abort()
        self.writers.clear()


class TestControlConnection:
    def test_a_cancelled_statement_does_not_answer_the_next_one(self):
        # STALE: floors were confirmed by the answers of earlier queries.
        run(self._cancel())

    async def _cancel(self):
        database = ScriptedDatabase()
        home = await database.start()
        assert (await home.command("STATUS")).received.index == 1
        database.answer_s = 0.1
        cancelled = asyncio.create_task(home.command("STATUS"))
        await asyncio.sleep(0.05)
        cancelled.cancel()
        await asyncio.wait({cancelled})
        await asyncio.sleep(0.1)
        assert (await home.command("STATUS")).received.index == 3

    def test_is_replaced_after_a_reset_while_it_was_idle(self):
        # RECOVER: all reads on primary routes were refused from then on.
        run(self._reset())

    async def _reset(self):
        database = ScriptedDatabase()
        home = await database.start()
        assert await home.command("STATUS") is not None
        database.reset_connections()
        await asyncio.sleep(0.05)
        answers = [await home.command("STATUS") for _ in range(2)]
        assert answers[-1] is not None


class TestCountedConnections:
    """RECOVER: connections that were lost stayed counted, until none was left."""

    @pytest.mark.parametrize("seed", range(4))
    def test_are_those_that_are_open(self, seed):
        run(self._check(random.Random(seed)))

    async def _check(self, rng):
        database = ScriptedDatabase()
        home = await database.start()
        tasks = []
        for number in range(250):
            database.answer_s = rng.choice([0, 0, 0.002, 0.02])
            timeout = rng.choice([0.005, 0.5])
            req = request(f"r{number}", timeout=timeout)
            tasks.append(asyncio.create_task(home.run(req, None, None)))
            await asyncio.sleep(rng.choice([0, 0.001, 0.005]))
            if rng.random() < 0.5:
                rng.choice(tasks).cancel()
            if rng.random() < 0.1:
                database.reset_connections()
            for pooled in home.idle:
                pooled.used_at -= rng.choice([0, 2.0])  # idle for long, so validated
        await asyncio.wait(tasks)
        await asyncio.sleep(1.0)
        assert not home._tasks
        assert home.total == len(home.idle) == home.by_workspace.get("press", 0)


class TestUnreachableDatabase:
    def test_statements_fail_at_once_after_one_connect(self):
        run(self._run_repeatedly())

    async def _run_repeatedly(self):
        adapter = FakeAdapter(is_up=False)
        home = make_home(adapter)
        for _ in range(3):
            started = asyncio.get_running_loop().time()
            answer, _ = await home.run(request("a"), None, None)
            assert answer.code == outcomes.UNREACHABLE
            assert asyncio.get_running_loop().time() - started < 0.1
        assert home.metrics.counters["database.connect_failed"] == 1


class TestLostAnswers:
    """Lost answers must not hold the slots that other statements wait for."""

    def test_release_the_slot_after_the_longest_statement(self):
        run(self._check_release())

    async def _check_release(self):
        adapter = FakeAdapter()
        home = make_home(adapter)
        lost = asyncio.create_task(home.run(request("a"), None, None))
        await asyncio.sleep(0.01)
        started = asyncio.get_running_loop().time()
        waiting = asyncio.create_task(home.run(request("b"), None, None))
        while "READ b" not in adapter.ran:
            await asyncio.sleep(0.01)
        # A statement runs for at most 170 ms.
        assert 0.17 < asyncio.get_running_loop().time() - started < 0.25
        assert home.metrics.counters["slot.released_early"] == 1
        adapter.gate.set()
        assert (await lost)[0].code == ""
        assert (await waiting)[0].code == ""
        assert home.admission.running == 0

    def test_timely_answers_leave_no_timer_behind(self):
        run(self._check_timers())

    async def _check_timers(self):
        adapter = FakeAdapter()
        adapter.gate.set()
        home = make_home(adapter)
        for number in range(5):
            await home.run(request(f"s{number}"), None, None)
        await asyncio.sleep(0.3)
        assert home.metrics.counters["slot.released_early"] == 0
        assert home.admission.running == 0
