"""Measures how the control costs of an instance grow, on small idle fleets."""

import asyncio
import time
from typing import NamedTuple

import msgspec

from dragonflywing import configuration, typed
from dragonflywing.decisions import shares, versions
from dragonflywing.load import bench
from dragonflywing.load.deployment import Deployment, Plan, key_of

MEASUREMENT_S = 8.0
SETTLE_S = 4.0
FLEET_SIZES = (2, 8, 24, 60)
GROUP_COUNTS = (1, 4, 8, 16)
CALLER_COUNTS = (500, 2000, 5000, 9000)
WORKSPACE_COUNTS = (50, 500, 2000, 4000)


class Cost(NamedTuple):
    """Control costs of one instance, averaged over a fleet without callers.

    `store_calls_s` and `store_watches` are those of the whole fleet.
    """

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
        one_way_latency_s=0.0,
        groups=names,
        connections=max(16, 2 * instances),
        workspaces={f"w{i}": (names[0], 1000.0, 1000.0) for i in range(8)},
        instances=instances,
    )


async def _sample(deployment):
    """Return (bytes sent by kind of target, CPU seconds, store calls, watches)."""
    carried_bytes = await deployment.carried_bytes()
    sent = {"store": 0, "database": 0}
    for name, count in carried_bytes.items():
        source, target = name.split(">")
        if source in deployment.entries:
            sent["store" if target == "store" else "database"] += count
    reports = [r for r in (await deployment.reports()).values() if r]
    sent["peer"] = sum(r["counters"].get("peer.bytes", 0) for r in reports)
    cpu_s = sum(
        bench.cpu_s(deployment.processes[name].popen.pid) for name in deployment.entries
    )
    state = await deployment.set_store()
    return sent, cpu_s, sum(state["calls"].values()), state["watching"]


async def measure_fleet(instances, groups, size):
    """Return the Cost of an instance in an idle fleet.

    `size` is the parameter that is varied: the number of instances or groups.
    """
    deployment = Deployment(_plan(instances, groups), direct_peers=True)
    try:
        await deployment.start()
        await asyncio.sleep(SETTLE_S)
        sent, cpu_s, calls, _ = await _sample(deployment)
        started = time.monotonic()
        await asyncio.sleep(MEASUREMENT_S)
        sent_after, cpu_after_s, calls_after, watching = await _sample(deployment)
        seconds = time.monotonic() - started
        memory = sum(
            bench.memory_kb(deployment.processes[name].popen.pid)
            for name in deployment.entries
        )
    finally:
        await deployment.stop()
    per_instance_second = 1 / (seconds * instances)
    rates = {
        kind: (sent_after[kind] - sent[kind]) * per_instance_second / 1000
        for kind in sent
    }
    return Cost(
        size,
        (cpu_after_s - cpu_s) * per_instance_second * 100,
        memory / instances / 1024,
        rates["peer"],
        rates["store"],
        rates["database"],
        (calls_after - calls) / seconds,
        watching,
    )


async def measure_callers(counts=CALLER_COUNTS):
    """Return rows of (idle callers, memory in MB) of one instance."""
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


def measure_configuration(counts=WORKSPACE_COUNTS):
    """Return rows of (workspaces, size in KB, ms to adopt) of configurations."""
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


def fit_line(points):
    """Return (intercept, slope) of the least-squares line through the points."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
    return mean_y - slope * mean_x, slope


def cost_table(title, rows):
    """Return a Markdown table of costs with a linear fit of each column."""
    fields = Cost._fields[1:]
    lines = [f"| {title} | " + " | ".join(fields) + " |"]
    lines.append("| --- " * (len(fields) + 1) + "|")
    for row in rows:
        cells = " | ".join(f"{value:.3g}" for value in row[1:])
        lines.append(f"| {row.size} | {cells} |")
    if len(rows) > 1:
        fits = [fit_line([(r.size, getattr(r, f)) for r in rows]) for f in fields]
        cells = " | ".join(f"{a:.3g} + {b:.3g} n" for a, b in fits)
        lines.append(f"| fit | {cells} |")
    return "\n".join(lines)


def plot(path, title, rows):
    """Plot the measured points and their linear fits to a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    fields = ("core_percent", "memory_mb", "peer_kb_s", "database_kb_s")
    figure, axes = pyplot.subplots(1, len(fields), figsize=(14, 3.2))
    for axis, field in zip(axes, fields, strict=True):
        points = [(row.size, getattr(row, field)) for row in rows]
        intercept, slope = fit_line(points)
        axis.plot([x for x, _ in points], [y for _, y in points], "o")
        ends = [0, max(x for x, _ in points)]
        axis.plot(ends, [intercept + slope * x for x in ends])
        axis.set_title(field)
        axis.set_xlabel(title)
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


async def run(instances=FLEET_SIZES, groups=GROUP_COUNTS):
    """Return the costs by fleet size and those by number of groups."""
    by_instances = [await measure_fleet(n, 1, n) for n in instances]
    by_groups = [await measure_fleet(2, n, n) for n in groups]
    return by_instances, by_groups
