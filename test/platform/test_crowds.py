"""Memory and descriptors of a dfw-platform process under misbehaving clients.

The tests check no times. Run them one at a time, separately from other load.
"""

import asyncio
import time

import pytest

from dragonflywing.load import crowds
from dragonflywing.platform import lines
from dragonflywing.standin import platform_database
from test.helper import run
from test.platform.deployment import Caller, deployed

MEMORY_MB = 96
MAX_DESCRIPTORS = 160
SERVED_WITHIN_S = 30.0  # generous, as it only tells a hang from an answer


async def _check(tmp_path, clients, behave, port_index, limits):
    async with deployed(tmp_path, instances=1, limits=limits) as deployment:
        process = deployment.processes["front-0"]
        port = deployment.address_ports("front-0")[port_index]
        usage = await crowds.run_crowd(
            process.pid, clients, lambda: crowds.open_unread(port), behave
        )
        await _check_usage(deployment, usage, limits)


async def _check_usage(deployment, usage, limits):
    process = deployment.processes["front-0"]
    assert process.returncode is None, "the process has ended"
    await _wait_served(deployment)
    assert process.returncode is None, "the process has ended"
    found = (usage.memory_mb(), usage.memory_mb("VmRSS"), usage.descriptors)
    print("VmHWM MB, VmRSS MB, descriptors:", found)
    assert found[0] <= limits["memory_mb"], found
    assert found[2] <= limits["max_fds"], found


async def _wait_served(deployment):
    """Return once one ordinary request is answered."""
    end = time.monotonic() + SERVED_WITHIN_S
    while time.monotonic() < end:
        try:
            caller = await deployment.connect("front-0", "orders")
            if not isinstance(caller, str):
                code, _, _ = await caller.query("READ ordinary")
                caller.close()
                if code == "":
                    return
        except (AssertionError, OSError, TimeoutError):
            pass
        await asyncio.sleep(0.2)
    raise AssertionError("no ordinary request was answered")


class TestMemory:
    """Guards against memory that grows with the number of misbehaving clients."""

    @pytest.mark.parametrize(
        "clients,behave",
        [
            (100, crowds.send_unfinished),
            (100, crowds.send_small_pieces),
            (100, crowds.send_slowly),
            (100, crowds.send_too_large),
            (60, crowds.leave_write_unread),
            (60, crowds.leave_reads_unread),
            (60, crowds.read_slowly),
            (60, crowds.pipeline_small),
            (60, crowds.keep_values),
            (60, crowds.keep_prepared),
            (100, crowds.send_long_key),
        ],
    )
    def test_callers_stay_under_the_limit(self, tmp_path, clients, behave):
        limits = {"memory_mb": MEMORY_MB, "max_fds": 512}
        run(_check(tmp_path, clients, behave, 0, limits))

    def test_values_stay_under_the_limit_at_each_home(self, tmp_path):
        run(self._check_homes(tmp_path))

    async def _check_homes(self, tmp_path):
        limits = {"memory_mb": MEMORY_MB, "max_fds": 512}
        async with deployed(tmp_path, instances=3, limits=limits) as deployment:
            usages = [crowds.Usage(x.pid) for x in deployment.processes.values()]
            first = deployment.processes["front-0"]
            port = deployment.address_ports("front-0")[0]
            await crowds.run_crowd(
                first.pid, 30, lambda: crowds.open_unread(port), crowds.keep_values
            )
            await _wait_served(deployment)
            found = [usage.memory_mb() for usage in usages]
            print("VmHWM MB:", found)
            ends = [x.returncode for x in deployment.processes.values()]
            assert ends == [None] * 3, "a process has ended"
            assert max(found) <= MEMORY_MB, found

    def test_frames_stay_under_the_limit(self, tmp_path):
        limits = {"memory_mb": MEMORY_MB, "max_fds": 512}
        run(_check(tmp_path, 24, crowds.send_frame, 2, limits))

    def test_answers_of_databases_stay_under_the_limit(self, tmp_path, monkeypatch):
        run(self._check_answers(tmp_path, monkeypatch))

    async def _check_answers(self, tmp_path, monkeypatch):
        read = platform_database.Connection._read

        async def read_much(conn, query, rest):
            if rest == "much":
                for _ in range(2000):
                    conn.writer.write(lines.encode("DATAROW", "x" * 60_000))
                    await conn.writer.drain()
            return await read(conn, query, rest)

        monkeypatch.setattr(platform_database.Connection, "_read", read_much)
        limits = {"memory_mb": MEMORY_MB, "max_fds": 512}
        request = crowds.STARTUP + lines.encode("QUERY", "r", "READ much")

        async def read_answer(reader, writer):
            await crowds.send(writer, request)
            writer.transport.resume_reading()
            while await reader.read(1 << 20):
                pass

        async with deployed(tmp_path, instances=1, limits=limits) as deployment:
            process = deployment.processes["front-0"]
            port = deployment.address_ports("front-0")[0]
            usage = await crowds.run_crowd(
                process.pid, 2, lambda: crowds.open_unread(port), read_answer
            )
            await _check_usage(deployment, usage, limits)


class TestDescriptors:
    """Guards against descriptors that run out, so that nothing else can be opened."""

    @pytest.mark.parametrize(
        "behave,port_index",
        [
            (crowds.send_nothing, 0),
            (crowds.open_session, 0),
            (crowds.send_startup_slowly, 0),
            (crowds.send_nothing, 1),
            (crowds.send_nothing, 2),
        ],
    )
    def test_stay_under_the_limit(self, tmp_path, behave, port_index):
        limits = {"memory_mb": 400, "max_fds": MAX_DESCRIPTORS}
        run(_check(tmp_path, 300, behave, port_index, limits))


class TestOrdinaryCallers:
    """Guards against limits that close callers within them."""

    def test_largest_message_and_its_answer_are_served(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        limits = {"memory_mb": MEMORY_MB, "max_fds": 512}
        async with deployed(tmp_path, instances=1, limits=limits) as deployment:
            port = deployment.address_ports("front-0")[0]
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=2 * lines.MAX_LINE_BYTES
            )
            caller = Caller(reader, writer)
            writer.write(crowds.STARTUP)
            assert (await caller.read_line()).startswith("READY")
            head = len("QUERY w WRITE a ")
            data = "x" * (lines.MAX_LINE_BYTES - head)
            assert (await caller.query(f"WRITE a {data}", "w"))[0] == ""
            writer.write(lines.encode("QUERY", "t", f"WRITE a {data}x"))
            assert (await caller.read_line()).startswith("ERROR MALFORMED")
            other = await deployment.connect("front-0", "orders")
            data = "x" * 900_000
            assert (await other.query(f"WRITE b {data}"))[0] == ""
            other.reader._limit = 2 * lines.MAX_LINE_BYTES
            code, rows, _ = await other.query("READ b")
            assert code == "" and rows[0].endswith(data)
