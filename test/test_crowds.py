"""Memory and descriptors of a dfw-entry process under misbehaving clients.

The tests check no times. Run them one at a time, separately from other load.
"""

import asyncio
import struct
import time

import pytest

from dragonflywing.load import crowds
from dragonflywing.wire import CallerProtocol
from test.helper import SMALL, connect, deployed, query, run
from test.test_wire import make_certificate

MAX_DESCRIPTORS = 160
SERVED_WITHIN_S = 30.0  # generous, as it only tells a hang from an answer
PACKET_BYTES = 4_000_000  # under the default of max_statement_bytes
PLAN = SMALL._replace(instances=1)
MEMORY_MB = 176


def _header(size, number):
    return struct.pack("<I", size | number << 24)


async def _send_unfinished_handshake(reader, writer):
    await crowds.send(writer, _header(PACKET_BYTES, 1) + b"x" * (PACKET_BYTES - 1))


async def _send_unfinished_query(reader, writer):
    await crowds.send(writer, _header(PACKET_BYTES, 0) + b"\x03" * (PACKET_BYTES - 1))


async def _send_large_queries(reader, writer):
    # Refused without a look at the text, as the schema is unknown.
    packet = _header(PACKET_BYTES, 0) + b"\x02" + b"x" * (PACKET_BYTES - 1)
    await crowds.send(writer, packet * 3)


async def _send_nothing(reader, writer):
    pass


async def _stop_in_tls(reader, writer):
    body = struct.pack("<IIB23x", CallerProtocol.CLIENT_SSL | 0x0200, 2**24, 45)
    await crowds.send(
        writer, _header(len(body), 1) + body + b"\x16\x03\x01\x02\x00\x01"
    )


async def _check(limits, clients, start, behave, extra=None, prepare=None):
    settings = {**limits, **(extra or {})}
    options = {"direct_peers": True, "extra_settings": settings}
    async with deployed(PLAN, **options) as deployment:
        popen = deployment.processes["entry-1"].popen
        if prepare is not None:
            await prepare(deployment)
        usage = await crowds.run_crowd(
            popen.pid, clients, lambda: start(deployment), behave
        )
        assert popen.poll() is None, "the process has ended"
        await _wait_served(deployment)
        assert popen.poll() is None, "the process has ended"
        found = (usage.memory_mb(), usage.memory_mb("VmRSS"), usage.descriptors)
        print("VmHWM MB, VmRSS MB, descriptors:", found)
        assert found[0] <= limits["memory_mb"], found
        assert found[2] <= limits["max_descriptors"], found


async def _wait_served(deployment):
    """Return once one ordinary request is answered."""
    end = time.monotonic() + SERVED_WITHIN_S
    while time.monotonic() < end:
        try:
            async with asyncio.timeout(5):
                conn = await connect(deployment, "entry-1")
                await query(conn, "SHOW VARIABLES LIKE 'version'")
                conn.close()
                return
        except Exception:  # the drivers raise errors of many types
            await asyncio.sleep(0.2)
    raise AssertionError("no ordinary request was answered")


async def _start_raw(deployment):
    return await crowds.open_unread(deployment.entries["entry-1"][0])


async def _start_session(deployment):
    conn = await connect(deployment, "entry-1")
    conn._writer.transport.pause_reading()
    conn._reader.owner = conn  # which closes the connection when it is collected
    return conn._reader, conn._writer


class TestMemory:
    """Guards against memory that grows with the number of misbehaving clients."""

    @pytest.mark.parametrize(
        "start,behave",
        [
            (_start_raw, _send_unfinished_handshake),
            (_start_session, _send_unfinished_query),
            (_start_session, _send_large_queries),
            (_start_session, crowds.keep_mysql_statements),
            (_start_session, crowds.keep_mysql_parameters),
        ],
    )
    def test_stays_under_the_limit(self, start, behave):
        limits = {"memory_mb": MEMORY_MB, "max_descriptors": 512}
        run(_check(limits, 60, start, behave))


def _send_query(sql, count):
    async def behave(reader, writer):
        text = b"\x03" + sql.encode()
        await crowds.send(writer, (_header(len(text), 0) + text) * count)

    return behave


# 16 rows of 500,000 bytes.
_leave_large_rows_unread = _send_query("SELECT a.large FROM big a, big b", 20)


async def _fill_table(deployment):
    conn = await connect(deployment, "entry-1")
    await query(conn, "CREATE TABLE big (id INT PRIMARY KEY, large TEXT)")
    for number in range(4):
        sql = "INSERT INTO big (id, large) VALUES (%s, %s)"
        await query(conn, sql, (number, "x" * 500_000))
    conn.close()


async def _send_call(reader, writer):
    # The name of the method has 1 GB; the caller needs no secret.
    head = struct.pack(">iI", -0x7FFEFFFF, 1 << 30)
    await crowds.send(writer, head + b"x" * 8_000_000)


async def _start_peer(deployment):
    return await crowds.open_unread(deployment.entries["entry-1"][1])


class TestAnswersOfDatabases:
    """Guards against results that are held while callers leave them unread."""

    def test_stay_under_the_limit(self):
        limits = {"memory_mb": MEMORY_MB, "max_descriptors": 512}
        behave = _leave_large_rows_unread
        run(_check(limits, 40, _start_session, behave, prepare=_fill_table))


class TestCallsOfInstances:
    """Guards against calls whose size is known only once they are complete."""

    def test_stay_under_the_limit(self):
        limits = {"memory_mb": MEMORY_MB, "max_descriptors": 512}
        run(_check(limits, 40, _start_peer, _send_call))


class TestDescriptors:
    """Guards against handshakes that stop partway and hold all descriptors."""

    @pytest.mark.parametrize("behave", [_send_nothing, _stop_in_tls])
    def test_stay_under_the_limit(self, tmp_path, behave):
        certificate, key = make_certificate(tmp_path)
        limits = {"memory_mb": 400, "max_descriptors": MAX_DESCRIPTORS}
        tls = {"certificate": certificate, "key": key}
        run(_check(limits, 300, _start_raw, behave, {"tls": tls}))
