"""Two entries of another writer lack fields; then all instances are killed.

See claim.txt.
"""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins_3 as standins  # noqa: E402

CLIENTS = 9
MISSING = ["sequence", "warmup_left_ms"]  # one in each entry
WRITTEN_S = 4.0  # before the final fault
DOWN_S = 1.0  # of the instances
RECOVERY_S = 12.0
BEFORE_S = 4.0
AFTER_S = 20.0


async def operate(dep, number, stop, results):
    """Send one operation after the other; note when each was sent and served."""
    count = 0
    routes = ["orders", "marks", "batches"]
    while not stop.is_set():
        count += 1
        name = f"front-{(number + count) % dep.instances}"
        statement, sent_at, code = f"{number:03x}{count:05x}", time.monotonic(), "-"
        text = f"WRITE item-{number} {count}" if count % 4 == 0 else "READ item-1"
        try:
            client = await standins.Client.connect(dep.port(name))
            answer = await client.startup(routes[count % 3], "key-press")
            if answer.startswith("READY"):
                code, _, _ = await client.query(statement, text)
            else:
                code = answer or "CLOSED"
            client.close()
        except OSError:
            code = "REFUSED"
        dep.record(f"id={statement} to={name} {text} answered={code or 'COMPLETE'}")
        results.append((sent_at, not code))
        await asyncio.sleep(0.15)


async def write_entries(dep):
    """Write the entries of another writer again and again, as it does."""
    ports = standins.free_ports(len(MISSING))  # nobody listens there
    while True:
        for number, field in enumerate(MISSING):
            entry = {
                "service": dep.group.name,
                "address": f"{standins.HOST}:{ports[number]}",
                "zone": dep.zones[number],
                "config_version": 1,
                "slots": 2,
                "state": "ready",
                "warmup_left_ms": 0,
                "sequence": 1,
                "born": dep.group.primary().born,
                "db_role": "replica",
            }
            del entry[field]
            dep.platform.put(f"servers/x-{number:04x}", entry)
            dep.record(f"another writer's entry, without {field}: {entry}")
        await asyncio.sleep(standins.HEARTBEAT_S)


async def kill_all(dep):
    """Kill all instances and start them again."""
    for name, process in dep.fleet.processes.items():
        process.send_signal(signal.SIGKILL)
        dep.record(f"killed instance={name}")
    await asyncio.sleep(DOWN_S)
    for name, zone in list(dep.fleet.zone_of.items()):
        dep.fleet.processes[name].wait()
        dep.fleet.start(name, zone)


def share(results, begin, end):
    """Return which share of the operations of a time was served, and of how many."""
    found = [is_served for sent_at, is_served in results if begin <= sent_at < end]
    return (sum(found) / len(found) if found else 0.0), len(found)


async def main():
    """Return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    dep = standins.Deployment(FOLDER, instances=3)
    stop, results, tasks = asyncio.Event(), [], []
    try:
        if not await dep.start():
            return 2
        await asyncio.sleep(1.5)
        tasks = [
            asyncio.create_task(operate(dep, number, stop, results))
            for number in range(CLIENTS)
        ]
        began = time.monotonic()
        await asyncio.sleep(BEFORE_S)
        if standins.is_troubled():
            tasks.append(asyncio.create_task(write_entries(dep)))
        await asyncio.sleep(WRITTEN_S)
        before, count = share(results, began, time.monotonic())
        dep.record(f"before: {before:.3f} of {count} served")
        if before < 0.25:
            return 2
        await kill_all(dep)
        back_at = time.monotonic()
        dep.record("all machines are back")
        if not await dep.fleet.wait_ready():
            dep.record("the instances are not ready")
        await asyncio.sleep(back_at + RECOVERY_S + AFTER_S - time.monotonic())
        stop.set()
        await asyncio.wait(tasks[:CLIENTS], timeout=12)
        after, count = share(results, back_at + RECOVERY_S, time.monotonic())
        dep.record(f"later than {RECOVERY_S} s after: {after:.3f} of {count} served")
        if after < 0.25:
            dep.record("RECOVER broken: less than a quarter is served")
    except OSError as exc:
        dep.record(f"could not run: {exc!r}")
        return 2
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        dep.stop()
    return 1 if after < 0.25 else 0


if __name__ == "__main__":
    sys.exit(standins.run_case(main))
