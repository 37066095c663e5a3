"""Runs a deployment under load with a fault and checks the history."""

import asyncio
import os
import random
from typing import NamedTuple

from dragonflywing.load import callers
from dragonflywing.load.callers import Caller
from dragonflywing.load.deployment import Deployment
from dragonflywing.load.history import History, check, longest_gap, served_shares

CALLERS_PER_WORKSPACE = 2
SETTLE_S = 1.0


class RunResult(NamedTuple):
    """The history of a run, its findings, and the sums of the instances' counters.

    `unclean` names the processes that did not exit cleanly, `fault_times` the
    groups with the times of their faults.
    """

    history: History
    findings: tuple
    counters: dict
    unclean: list
    fault_times: list
    directory: str


class Load:
    """The callers of a run."""

    def __init__(self, deployment, seed, pause_s):
        self.deployment = deployment
        self.history = History()
        self.rng = random.Random(seed)
        self.pause_s = pause_s
        self.stop_event = asyncio.Event()
        self.tasks = []
        self.callers = []

    def start(self):
        """Start the callers of every workspace."""
        for workspace in self.deployment.plan.workspaces:
            for i in range(CALLERS_PER_WORKSPACE):
                name = f"{workspace}-{i}"
                rng = random.Random(self.rng.random())
                caller = Caller(name, workspace, self.deployment, self.history, rng)
                self.callers.append(caller)
                workload = callers.order_workload if i else callers.batch_workload
                coroutine = workload(caller, self.pause_s, self.stop_event)
                self.tasks.append(asyncio.create_task(coroutine))

    async def stop(self):
        """Stop the callers after their current operations."""
        self.stop_event.set()
        await asyncio.gather(*self.tasks)
        for caller in self.callers:
            caller.close()

    async def cancel(self):
        """Stop the callers immediately."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def run(plan, seconds, fault, seed=1, pause_s=0.15, times=None):
    """Run a deployment under load with a fault; return the RunResult.

    `fault(deployment, rng)` is a coroutine function that is started after a third
    of the time. It injects faults, reverts them, and returns a list of (group,
    time of the fault on the loop's clock).
    """
    deployment = Deployment(plan, times=times, seed=seed)
    rng = random.Random(seed)
    load = Load(deployment, seed, pause_s)
    try:
        await deployment.start()
        setup_history = History()
        await callers.create_tables(deployment, setup_history, rng)
        load.start()
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        await asyncio.sleep(seconds / 3)
        fault_times = await fault(deployment, rng)
        await asyncio.sleep(max(0, end - loop.time()))
        await load.stop()
        await asyncio.sleep(SETTLE_S)
        final = await callers.final_counts(deployment, setup_history, rng)
        counters = await _sum_counters(deployment)
    finally:
        await load.cancel()
        unclean = await deployment.stop()
    load.history.save(os.path.join(deployment.dir, "history.jsonl"))
    findings = check(load.history.operations, final)
    return RunResult(
        load.history, findings, counters, unclean, fault_times, deployment.dir
    )


async def _sum_counters(deployment):
    totals = {}
    for report in (await deployment.reports()).values():
        for name, value in (report or {"counters": {}})["counters"].items():
            totals[name] = totals.get(name, 0) + value
    return totals


async def kill_primary(deployment, rng):
    """Kill a random group's primary and restart it later."""
    group = rng.choice(deployment.plan.groups)
    primary = await deployment.primary(group)
    fault_time = asyncio.get_running_loop().time()
    await deployment.kill(primary)
    await asyncio.sleep(4.0)
    deployment.restart(primary)
    return [(group, fault_time)]


def figures(result, plan):
    """Return the measured figures of a run by name."""
    operations = result.history.operations
    replica = result.counters.get("read.replica", 0)
    primary = result.counters.get("read.primary", 0)
    gaps = []
    for group, fault_time in result.fault_times:
        names = {n for n, spec in plan.workspaces.items() if spec[0] == group}
        in_group = [item for item in operations if item.workspace in names]
        gaps.append(longest_gap(in_group, fault_time - 0.2, fault_time + 5.0))
    refused = [item for item in operations if item.reason.startswith(("9110", "9111"))]
    findings = result.findings
    return {
        "replica_read_share": round(replica / max(1, replica + primary), 4),
        "failover_gap_ms": round(1000 * max(gaps, default=0.0)),
        "worst_workspace_share": round(min(served_shares(operations).values()), 4),
        "wrongful_refusals": len(refused),
        "lost_writes": len(findings.lost_writes),
        "doubled_writes": len(findings.doubled_writes),
        "stale_reads": len(findings.stale_reads),
        "false_not_run": len(findings.false_not_run),
        "torn_batches": len(findings.torn_batches),
        "statements": len(operations),
    }
