"""Benchmark of one entry instance: latency, throughput and memory."""

import asyncio
import time
from typing import NamedTuple

import asyncmy

from dragonflywing.load.deployment import (
    DATABASE_PASSWORD,
    Deployment,
    Plan,
    key_of,
)
from dragonflywing.load.history import quantile

WORKSPACE = "press"
PLAN = Plan(
    name="bench",
    data_centres=("duluth-a", "buffalo-a", "sault-a"),
    one_way_latency_s=0.0,
    groups=("orders",),
    connections=64,
    workspaces={WORKSPACE: ("orders", 1e6, 1e6)},
    instances=1,
)
LATENCY_STATEMENTS = 1500
THROUGHPUT_S = 3.0
CALLERS = 24
READ = "SELECT n FROM orders WHERE id = 'a{}'"
WRITE = "INSERT INTO orders VALUES ('b{}', 'x', 1)"


class Row(NamedTuple):
    """Latency quantiles with one caller, and throughput with `CALLERS` callers."""

    name: str
    p50_ms: float
    p99_ms: float
    per_s: float


async def connect(port, user, password, *settings):
    """Open a connection and run the statements in `settings` on it."""
    conn = await asyncmy.connect(
        host="127.0.0.1",
        port=port,
        user=user,
        password=password,
        database=user if user != "dragonflywing" else WORKSPACE,
        autocommit=None,
    )
    for sql in settings:
        await conn.query(sql)
    return conn


async def _latency(open_conn, template):
    conn = await open_conn()
    times = []
    for i in range(LATENCY_STATEMENTS):
        started = time.perf_counter()
        await conn.query(template.format(i))
        times.append((time.perf_counter() - started) * 1000)
    conn.close()
    return quantile(times, 0.5), quantile(times, 0.99)


async def _throughput(open_conn, template):
    conns = [await open_conn() for _ in range(CALLERS)]
    end = time.perf_counter() + THROUGHPUT_S

    async def work(conn, first):
        done = 0
        while time.perf_counter() < end:
            await conn.query(template.format(first + done))
            done += 1
        return done

    counts = await asyncio.gather(
        *[work(conn, i * 1_000_000) for i, conn in enumerate(conns)]
    )
    for conn in conns:
        conn.close()
    return sum(counts) / THROUGHPUT_S


async def _measure(name, open_conn, template):
    p50, p99 = await _latency(open_conn, template)
    per_s = await _throughput(open_conn, template)
    return Row(name, p50, p99, per_s)


def memory_kb(pid):
    """Return the resident memory of a process in KB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


def cpu_s(pid):
    """Return the CPU time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    # User and system time, in clock ticks of 10 ms.
    return (int(fields[11]) + int(fields[12])) / 100


async def idle_memory_kb(deployment, entry, count):
    """Return the KB of memory that an entry instance needs per idle caller."""
    pid = deployment.processes[entry].popen.pid
    port = deployment.entries[entry][0]
    before = memory_kb(pid)
    conns = []
    for _ in range(count):
        conns.append(await connect(port, WORKSPACE, key_of(WORKSPACE)))
    await asyncio.sleep(0.5)
    after = memory_kb(pid)
    for conn in conns:
        conn.close()
    return (after - before) / count


async def run(idle=1000):
    """Return the rows of all kinds of statement, and the KB per idle caller."""
    deployment = Deployment(PLAN)
    try:
        await deployment.start()
        entry = deployment.entries["entry-1"][0]
        primary = deployment.database_ports[deployment.first_primary("orders")]
        key = key_of(WORKSPACE)

        def direct():
            return connect(primary, "dragonflywing", DATABASE_PASSWORD)

        def via_proxy(*settings):
            return lambda: connect(entry, WORKSPACE, key, *settings)

        setup = await via_proxy()()
        await setup.query("CREATE TABLE orders (id VARCHAR(64), c VARCHAR(64), n INT)")
        for i in range(100):
            await setup.query(f"INSERT INTO orders VALUES ('a{i}', 'x', {i})")
        token = via_proxy("SET @dfw_session_token = '1.1'")
        aged = via_proxy("SET @dfw_route = 'catalogue'")
        rows = [
            await _measure("read, direct", direct, READ),
            await _measure("read, session token", token, READ),
            await _measure("read, accepted age", aged, READ),
            await _measure("read, fence", via_proxy(), READ),
            await _measure("write, direct", direct, WRITE),
            await _measure("write, majority", via_proxy(), WRITE),
        ]
        return rows, await idle_memory_kb(deployment, "entry-1", idle)
    finally:
        await deployment.stop()


def table(rows, idle_kb):
    """Return the rows as a Markdown table."""
    lines = [
        "| statement | p50 ms | p99 ms | statements/s |",
        "| --- | --- | --- | --- |",
    ]
    for row in rows:
        lines.append(
            f"| {row.name} | {row.p50_ms:.2f} | {row.p99_ms:.2f} | {row.per_s:.0f} |"
        )
    return "\n".join([*lines, "", f"KB for each idle caller: {idle_kb:.1f}"])
