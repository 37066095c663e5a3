"""Reads on a replica that receives nothing, after its primary's home was frozen."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

MAX_STALENESS_S = 1.5
FREEZE_S = 4.0  # the site's node_freeze
DEAF_BEFORE_S = 0.65  # from a replica's last commit to the freeze
PAUSE_S = 4.0  # from one freeze to the next
ROUNDS = 11
BUSY_ROUNDS = 3  # with many reads on the primary route
WORK_S = 0.015


async def repeat(deployment, instance, route, text, pause_s, done):
    """Run a statement again and again on one session until cancelled."""
    number = 0
    while True:
        try:
            caller = await standins.Caller.open(deployment, instance, route)
            while True:
                number += 1
                statement_id, code, sent_at = await caller.query(text.format(number))
                done.append((statement_id, code, sent_at, deployment.record.now()))
                if code.startswith("cut"):
                    break
                await asyncio.sleep(pause_s)
            caller.close()
        except (OSError, EOFError, TimeoutError, standins.Refused):
            pass
        await asyncio.sleep(0.1)


def find_stale(deployment, writes, reads):
    """Return a line for each read that lacks a commit acknowledged long before."""
    primary = deployment.group.primary()
    numbers = {entry[1]: number for number, entry in enumerate(primary.log, 1)}
    acknowledged = [(at, numbers[name]) for name, code, _, at in writes if not code]
    sent = {name: sent_at for name, code, sent_at, _ in reads if not code}
    broken = []
    for database in deployment.databases:
        for at, name, verb, applied in database.runs:
            if verb != "READ" or name not in sent:
                continue
            lacking = [t for t, number in acknowledged if number > applied]
            age_s = sent[name] - min(lacking, default=sent[name])
            if age_s > MAX_STALENESS_S:
                broken.append(
                    f"STALE: {name} sent at {sent[name]:.3f} s ran on {database.name} "
                    f"at {at:.3f} s, which lacked a commit acknowledged "
                    f"{1000 * age_s:.0f} ms before"
                )
    return broken


async def case(deployment, trouble):
    """Let a replica receive nothing, and freeze the primary's home, several times."""
    record, writes, reads, other = deployment.record, [], [], []
    for database in deployment.databases:
        database.work_s = WORK_S
    names = list(deployment.instances)
    steady = [
        repeat(deployment, x, "orders", "WRITE 1a {}", 0.3, writes) for x in names
    ]
    for _ in range(4):
        steady += [
            repeat(deployment, x, "marks", "READ 1a", 0.08, reads) for x in names
        ]
    busy = [
        repeat(deployment, x, "orders", "READ 1a", 0.01, other)
        for x in names
        for _ in range(3)
    ]
    steady = [asyncio.create_task(task) for task in steady]
    busy = [asyncio.create_task(task) for task in busy]
    await asyncio.sleep(6.0)
    process = deployment.instances["front-0"].process
    for number in range(ROUNDS):
        if number == BUSY_ROUNDS:
            for task in busy:
                task.cancel()
        database = deployment.databases[1 + number % 2]
        database.is_deaf = True
        record.write("deaf", database=database.name)
        await asyncio.sleep(DEAF_BEFORE_S)
        if trouble:
            record.write("freeze", instance="front-0")
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        if trouble:
            process.send_signal(signal.SIGCONT)
            record.write("wake", instance="front-0")
        database.is_deaf = False
        await asyncio.sleep(PAUSE_S)
    for task in steady:
        task.cancel()
    return find_stale(deployment, writes, reads)


if __name__ == "__main__":
    routes = {"orders": ("primary", 0), "marks": ("bounded_staleness", 1500)}
    standins.run_case(FOLDER, case, routes)
