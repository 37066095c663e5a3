"""A replica leaves some seconds after the connections to the store went silent."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

DRAIN_S = standins.BOUNDS["drain_ms"] / 1000
CONTACT_S = standins.BOUNDS["contact_ms"] / 1000
WORK_S = 0.1  # more than a statement takes from its arrival to its run
LEAVING_S = 14.0  # how long the database serves after its report


async def read_often(deployment, name, requests):
    """Read on sessions of one instance until cancelled."""
    for number in range(10**6):
        try:
            caller = await standins.Caller.open(deployment, name, "marks")
            statement_id, code, sent_at = await caller.query(f"READ {number % 50:x}")
            requests[statement_id] = (name, sent_at)
            caller.close()
        except (OSError, EOFError, TimeoutError, standins.Refused):
            pass
        await asyncio.sleep(0.05)


async def case(deployment, trouble):
    """Silence the open connections to the store; later let a replica leave."""
    record, requests = deployment.record, {}
    tasks = [
        asyncio.create_task(read_often(deployment, name, requests))
        for name in deployment.instances
    ]
    await asyncio.sleep(8.0)
    if trouble:
        record.write("silent")
        for instance in deployment.instances.values():
            instance.store_proxy.silence()
    await asyncio.sleep(CONTACT_S + 1.0)
    database = deployment.databases[1]
    deployment.states[database.name] = "draining"
    await asyncio.sleep(0.1)
    draining_at = record.now()  # the store has accepted the report before
    record.write("draining", database=database.name)
    await asyncio.sleep(LEAVING_S)
    for task in tasks:
        task.cancel()
    broken = []
    for at, statement_id, _, _ in database.runs:
        name, _ = requests.get(statement_id, (None, 0.0))
        if name is not None and at - WORK_S > draining_at + DRAIN_S:
            broken.append(
                f"DRAIN: {statement_id} of {name} runs on {database.name} "
                f"{at - draining_at:.3f} s after the store knew that it is draining"
            )
    return broken


if __name__ == "__main__":
    standins.run_case(FOLDER, case, {"marks": ("bounded_staleness", 1500)})
