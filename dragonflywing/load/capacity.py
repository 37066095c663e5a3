"""Slopes of an instance's control costs, measured on idle small fleets."""

import asyncio
import time
from typing import NamedTuple

import msgspec

from dragonflywing import configuration, typed
from dragonflywing.decisions import shares, versions
from dragonflywing.load import bench
from dragonflywing.load.deployment import Deployment, Plan, key_of

OBSERVED_S = 8.0
SETTLE_S = 4.0
INSTANCES = (2, 8, 24, 60)
GROUPS = (1, 4, 8, 16)
CALLERS = (500, 2000, 5000, 9000)
WORKSPACES = (50, 500, 2000, 4000)


class Cost(NamedTuple):
    """Control costs of one daemon, averaged over a fleet without callers."""

    size: int
    core_percent: float
    memory_mb: float
    peer_kb_s: float
    store_kb_s: float
    database_kb_s: float
    store_calls_s: float
    store_watches: int


def _plan(instances, groups):
    names = tuple(f"group-{i}" for i in range(groups))
    return Plan(
        name="capacity",
        data_centres=("duluth-a", "buffalo-a", "sault-a"),
        between_s=0.0,
        groups=names,
        connections=max(16, 2 * instances),
        workspaces={f"w{i}": (names[0], 1000.0, 1000.0) for i in range(8)},
        instances=instances,
    )


async def _sample(deployment):
    """Return (bytes by kind, processor seconds, store calls, watches)."""
    carried = await deployment.carried_bytes()
    sent = {"store": 0, "database": 0}
    for name, count in carried.items():
        source, target = name.split(">")
        if source in deployment.entries:
            sent["store" if target == "store" else "database"] += count
    reports = [r for r in (await deployment.reports()).values() if r]
    sent["peer"] = sum(r["counters"].get("peer.bytes", 0) for r in reports)
    used = sum(
        bench.processor_s(deployment.processes[name].popen.pid)
        for name in deployment.entries
    )
    state = await deployment.set_store()
    return sent, used, sum(state["calls"].values()), state["watching"]


async def measure_fleet(instances, groups, size):
    """Return the Cost of a daemon in an idle fleet; `size` is what is varied."""
    deployment = Deployment(_plan(instances, groups), direct_peers=True)
    try:
        await deployment.start()
        await asyncio.sleep(SETTLE_S)
        sent, used, calls, _ = await _sample(deployment)
        started = time.monotonic()
        await asyncio.sleep(OBSERVED_S)
        sent_after, used_after, calls_after, watching = await _sample(deployment)
        seconds = time.monotonic() - started
        memory = sum(
            bench.memory_kb(deployment.processes[name].popen.pid)
            for name in deployment.entries
        )
    finally:
        await deployment.stop()
    per = 1 / (seconds * instances)
    rates = {kind: (sent_after[kind] - sent[kind]) * per / 1000 for kind in sent}
    return Cost(
        size,
        (used_after - used) * per * 100,
        memory / instances / 1024,
        rates["peer"],
        rates["store"],
        rates["database"],
        (calls_after - calls) / seconds,
        watching,
    )


async def measure_callers(counts=CALLERS):
    """Return (callers, memory in MB) of one instance with idle callers."""
    deployment = Deployment(bench.PLAN)
    rows = []
    conns = []
    key = key_of(bench.WORKSPACE)
    try:
        await deployment.start()
        pid = deployment.processes["entry-1"].popen.pid
        port = deployment.entries["entry-1"][0]
        rows.append((0, bench.memory_kb(pid) / 1024))
        for count in counts:
            while len(conns) < count:
                conns.append(await bench.connect(port, bench.WORKSPACE, key))
            await asyncio.sleep(0.5)
            rows.append((count, bench.memory_kb(pid) / 1024))
    finally:
        for conn in conns:
            conn.close()
        await deployment.stop()
    return rows


def measure_configuration(counts=WORKSPACES):
    """Return (workspaces, KB, ms to adopt, MB) of configurations."""
    rows = []
    for count in counts:
        cfg = _large_configuration(count)
        data = configuration.encode(cfg)
        started = time.process_time()
        state = versions.VersionState()
        versions.adopt(state, configuration.decode(data))
        limits = {n: (w.rate, w.burst) for n, w in cfg.workspaces.items()}
        shares.configure(shares.ShareState(420), 0.0, limits)
        spent_ms = (time.process_time() - started) * 1000
        rows.append((count, len(data) / 1000, spent_ms))
    return rows


def _large_configuration(count):
    plain = {
        "version": 1,
        "change_id": "x",
        "fleet_size": 2,
        "workspaces": {
            f"workspace-{i}": {
                "group": "g",
                "rate": 100.0,
                "burst": 500.0,
                "keys": [{"id": "first", "hash": "0" * 40}],
            }
            for i in range(count)
        },
        "groups": {
            "g": {
                "databases": {"d": {"address": "10.0.0.1:3306", "data_centre": "x"}},
                "connections": 32,
                "slots": 2,
            }
        },
        "routes": {},
    }
    data = msgspec.json.encode(plain)
    return typed.convert(msgspec.json.decode(data), configuration.Configuration)


def slope(points):
    """Return (intercept, slope) of the least-squares line through the points."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    inclination = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - inclination * mean_x, inclination


def cost_table(title, rows):
    """Return a Markdown table of costs with the slope of each column."""
    fields = Cost._fields[1:]
    lines = [f"| {title} | " + " | ".join(fields) + " |"]
    lines.append("| --- " * (len(fields) + 1) + "|")
    for row in rows:
        cells = " | ".join(f"{value:.3g}" for value in row[1:])
        lines.append(f"| {row.size} | {cells} |")
    if len(rows) > 1:
        slopes = [slope([(r.size, getattr(r, f)) for r in rows]) for f in fields]
        cells = " | ".join(f"{a:.3g} + {b:.3g} n" for a, b in slopes)
        lines.append(f"| line | {cells} |")
    return "\n".join(lines)


def plot(path, title, rows):
    """Draw the measured points and their lines into a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    fields = ("core_percent", "memory_mb", "peer_kb_s", "database_kb_s")
    figure, axes = pyplot.subplots(1, len(fields), figsize=(14, 3.2))
    for axis, field in zip(axes, fields, strict=True):
        points = [(row.size, getattr(row, field)) for row in rows]
        base, inclination = slope(points)
        axis.plot([x for x, _ in points], [y for _, y in points], "o")
        ends = [0, max(x for x, _ in points)]
        axis.plot(ends, [base + inclination * x for x in ends])
        axis.set_title(field)
        axis.set_xlabel(title)
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


async def run(instances=INSTANCES, groups=GROUPS):
    """Return the costs by fleet size and by groups."""
    by_instances = [await measure_fleet(n, 1, n) for n in instances]
    by_groups = [await measure_fleet(2, n, n) for n in groups]
    return by_instances, by_groups
