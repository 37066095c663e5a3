"""Experiments on rates, overload, failovers, latencies, pacing and configuration."""

import asyncio
import random
import time
from collections import Counter

from dragonflywing import operations
from dragonflywing.load import baselines, bench, callers, pacing
from dragonflywing.load.deployment import Deployment, Plan, key_of
from dragonflywing.load.history import History, check, longest_gap, quantile
from dragonflywing.load.runs import Load

RATE = 60.0
BURST = 60.0
# Statements sent for a workspace, as a multiple of its rate.
QUIET_DEMAND = 0.7
LOUD_DEMAND = 5.0
RATE_RUN_S = 14.0
SHIFT_S = 3.0  # until the shifting balancer prefers the next instance
HOT_SHARE = 0.8  # of the statements go to one instance, the rest at random
BALANCERS = ("even", "skewed", "shifting")
QUIET_WORKSPACES = ("copal", "myrrh", "export")
OVERLOAD_STATEMENT_S = 0.01
OVERLOAD_PER_S = 900.0
OVERLOAD_S = 5.0
NORMAL_PER_S = 200.0
RECOVERY_S = 8.0
FAILOVER_PAUSE_S = 3.0
GAP_WINDOW_S = 3.5


def _rate_plan():
    workspaces = {name: ("sort-a", RATE, BURST) for name in (*QUIET_WORKSPACES, "loud")}
    return Plan(
        "rates",
        ("litoral-a", "cuyo-a", "noa-a"),
        0.002,
        ("sort-a",),
        32,
        workspaces,
        9,
    )


def _pick_entry(balancer, entries, elapsed_s, rng):
    if balancer == "even":
        return rng.choice(entries)
    hot = int(elapsed_s / SHIFT_S) % len(entries) if balancer == "shifting" else 0
    return entries[hot] if rng.random() < HOT_SHARE else rng.choice(entries)


class RateLoad:
    """Sends statements at given rates and counts those that are served."""

    def __init__(self, deployment, balancer, seed):
        self.deployment = deployment
        self.balancer = balancer
        self.rng = random.Random(seed)
        self.pools = {}
        self.sent = Counter()
        self.served = Counter()
        self.served_in_time = Counter()
        self.counted_until = float("inf")
        self.reasons = Counter()
        self.tasks = []

    async def _send_one(self, workspace, entry):
        pool = self.pools.setdefault((workspace, entry), [])
        self.sent[workspace] += 1
        conn = pool.pop() if pool else None
        try:
            if conn is None:
                port = self.deployment.entries[entry][0]
                key = key_of(workspace)
                setting = "SET @dfw_route = 'catalogue'"
                conn = await bench.connect(port, workspace, key, setting)
            await conn.query("SELECT 1")
            self.served[workspace] += 1
            if asyncio.get_running_loop().time() <= self.counted_until:
                self.served_in_time[workspace] += 1
        except callers.driver_errors.MySQLError as exc:
            self.reasons[(workspace, exc.args[0])] += 1
            if not str(exc.args[-1]).startswith("["):
                return
        pool.append(conn)

    async def finish(self):
        """Wait for the results of all statements sent."""
        await asyncio.gather(*self.tasks)

    async def send(self, workspace, rate_per_s, end, wait=True):
        """Send a workspace's statements at a mean rate until `end`.

        They are sent as a Poisson process, without waiting for earlier results.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        tasks = self.tasks
        entries = sorted(self.deployment.entries)
        while loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            entry = _pick_entry(self.balancer, entries, loop.time() - started, self.rng)
            tasks.append(asyncio.create_task(self._send_one(workspace, entry)))
        if wait:
            await self.finish()

    def close(self):
        """Close all connections."""
        for pool in self.pools.values():
            for conn in pool:
                conn.close()


async def rates(baseline=None, seed=1):
    """Send statements of quiet workspaces and of one that exceeds its rate.

    Return rows of (balancer, refused share of the quiet workspaces' statements,
    served share of the quiet workspace that was served least, ratio of the loud
    workspace's served statements to those that its limits allow).
    """
    path = baselines.package_path(baseline)
    deployment = Deployment(_rate_plan(), python_path=path)
    rows = []
    try:
        await deployment.start()
        await asyncio.sleep(3.0)
        for balancer in BALANCERS:
            load = RateLoad(deployment, balancer, seed)
            loop = asyncio.get_running_loop()
            end = loop.time() + RATE_RUN_S
            load.counted_until = end
            sends = [
                load.send(name, RATE * QUIET_DEMAND, end) for name in QUIET_WORKSPACES
            ]
            await asyncio.gather(*sends, load.send("loud", RATE * LOUD_DEMAND, end))
            sent = sum(load.sent[name] for name in QUIET_WORKSPACES)
            served = sum(load.served[name] for name in QUIET_WORKSPACES)
            least_served = min(
                load.served[name] / load.sent[name] for name in QUIET_WORKSPACES
            )
            allowed = RATE * RATE_RUN_S + BURST
            rows.append(
                (
                    balancer,
                    1 - served / sent,
                    least_served,
                    load.served_in_time["loud"] / allowed,
                )
            )
            load.close()
            await asyncio.sleep(2.5)
    finally:
        await deployment.stop()
    return rows


async def overload(seed=1):
    """Overload a fleet, then return rows of (second, sent, served).

    Seconds count from the end of the overload.
    """
    workspaces = {"press": ("orders", 1e6, 1e6)}
    plan = Plan("overload", ("x", "y", "z"), 0.0, ("orders",), 32, workspaces, 4)
    deployment = Deployment(plan, statement_s=OVERLOAD_STATEMENT_S)
    sent, served = Counter(), Counter()
    try:
        await deployment.start()
        load = RateLoad(deployment, "even", seed)
        loop = asyncio.get_running_loop()
        overload_end = loop.time() + OVERLOAD_S
        await load.send("press", OVERLOAD_PER_S, overload_end, wait=False)
        started = loop.time()
        while loop.time() < started + RECOVERY_S:
            before = load.sent["press"], load.served["press"]
            second = int(loop.time() - started)
            await load.send("press", NORMAL_PER_S, loop.time() + 1.0, wait=False)
            sent[second] += load.sent["press"] - before[0]
            served[second] += load.served["press"] - before[1]
        await load.finish()
        load.close()
    finally:
        await deployment.stop()
    return [(second, sent[second], served[second]) for second in sorted(sent)]


async def failovers(plan, count=20, seed=1, baseline=None):
    """Kill primaries one after another; return (gaps in s, findings).

    A gap is the longest time around a kill without an acknowledged write in the
    group.
    """
    path = baselines.package_path(baseline)
    deployment = Deployment(plan, seed=seed, python_path=path)
    rng = random.Random(seed)
    load = Load(deployment, seed, 0.05)
    loop = asyncio.get_running_loop()
    faults = []
    try:
        await deployment.start()
        setup_history = History()
        await callers.create_tables(deployment, setup_history, rng)
        load.start()
        await asyncio.sleep(2.0)
        for i in range(count):
            group = plan.groups[i % len(plan.groups)]
            primary = await deployment.primary(group)
            faults.append((group, loop.time()))
            await deployment.kill(primary)
            await asyncio.sleep(FAILOVER_PAUSE_S)
            deployment.restart(primary)
            await asyncio.sleep(1.5)
        await load.stop()
        await asyncio.sleep(1.0)
        final = await callers.final_counts(deployment, setup_history, rng)
    finally:
        await load.cancel()
        await deployment.stop()
    gaps = []
    for group, fault_time in faults:
        names = {n for n, spec in plan.workspaces.items() if spec[0] == group}
        in_group = [x for x in load.history.operations if x.workspace in names]
        gaps.append(longest_gap(in_group, fault_time - 0.1, fault_time + GAP_WINDOW_S))
    return gaps, check(load.history.operations, final)


async def latencies(plan, baseline=None, seconds=8.0, seed=1):
    """Return latency quantiles by kind, and the number of fence queries per read.

    The quantiles of reads and of writes are (p50 in ms, p99 in ms, operations).
    """
    path = baselines.package_path(baseline)
    deployment = Deployment(plan, seed=seed, python_path=path)
    load = Load(deployment, seed, 0.02)
    try:
        await deployment.start()
        await callers.create_tables(deployment, History(), random.Random(seed))
        load.start()
        await asyncio.sleep(seconds)
        await load.stop()
        reports = [r for r in (await deployment.reports()).values() if r]
    finally:
        await load.cancel()
        await deployment.stop()
    queries = sum(r["counters"].get("fence.query", 0) for r in reports)
    quantiles = {}
    for kind in ("read", "write"):
        times = [
            (x.ended - x.started) * 1000
            for x in load.history.operations
            if x.kind == kind and x.outcome == "OK"
        ]
        quantiles[kind] = (quantile(times, 0.5), quantile(times, 0.99), len(times))
    return quantiles, queries / max(1, quantiles["read"][2])


def pace(plots=None):
    """Return pacing.Rows of the ways to pace a cold database, on the model of one.

    `plots` names a folder for the plot of statements served over time.
    """
    if plots:
        pacing.plot(f"{plots}/pace.png")
    return pacing.compare()


async def spread(plan, rounds=10):
    """Return the seconds until each change was in force on every instance."""
    deployment = Deployment(plan)
    times = []
    try:
        await deployment.start()
        cfg = deployment.ops_settings()
        workspace = next(iter(plan.workspaces))

        async def give(store):
            _, applied = await operations.give_key(
                store, workspace, f"key-{len(times)}"
            )
            started = time.monotonic()
            behind = await operations.wait_in_force(cfg, store, applied.version, 18.0)
            return float("inf") if behind else time.monotonic() - started

        for _ in range(rounds):
            times.append(await operations.with_store(cfg, give))
    finally:
        await deployment.stop()
    return times
