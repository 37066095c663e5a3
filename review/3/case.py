"""Instances are stopped in turn while callers have transactions open."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

SESSIONS = 8  # of each instance
STATEMENTS = 12  # of a transaction
PAUSE_S = 0.45  # between them, far below txn_idle_ms
WORK_S = 0.09  # below the site's greatest work_ms, 110
ROUNDS = 3
GRACE_S = standins.BOUNDS["grace_s"]
LAST_SENT_S = 3.0  # later requests are not excused by a database that is at work
TURN_S = 10.5  # from one instance's SIGTERM to the next one's


async def run_transactions(deployment, name, rng, cut):
    """Run transactions on one session of an instance until cancelled."""
    record = deployment.record
    while True:
        try:
            caller = await standins.Caller.open(deployment, name, "orders")
        except (OSError, EOFError, TimeoutError, standins.Refused):
            await asyncio.sleep(0.3)
            continue
        code = ""
        while not code.startswith("cut"):
            texts = [f"READ {rng.randrange(2000):x}" for _ in range(STATEMENTS - 2)]
            begun_at = record.now()
            for text in ["BEGIN READ", *texts, "COMMIT"]:
                statement_id, code, sent_at = await caller.query(text)
                if code:
                    break
                await asyncio.sleep(PAUSE_S * rng.uniform(0.7, 1.3))
            if code.startswith("cut"):
                cut.append((statement_id, name, text, begun_at, sent_at, record.now()))
            elif code:
                await caller.query("ROLLBACK")
            await asyncio.sleep(0.1)
        caller.close()


async def case(deployment, trouble):
    """Stop the instances in turn by SIGTERM, and start each again."""
    record, cut = deployment.record, []
    for database in deployment.databases:
        database.work_s = WORK_S
    rng = random.Random(5)
    tasks = [
        asyncio.create_task(run_transactions(deployment, name, rng, cut))
        for name in deployment.instances
        for _ in range(SESSIONS)
    ]
    await asyncio.sleep(8.0)
    stopped_at = {name: [] for name in deployment.instances}
    for instance in list(deployment.instances.values()) * ROUNDS:
        next_at = record.now() + TURN_S
        if trouble:
            stopped_at[instance.name].append(record.now())
            await deployment.terminate(instance)
            record.write("ended", instance=instance.name)
            await asyncio.sleep(0.5)
            await deployment.start_instance(instance)
        await asyncio.sleep(next_at - record.now())
    for task in tasks:
        task.cancel()
    ran = {item[1] for database in deployment.databases for item in database.runs}
    broken = []
    for statement_id, name, text, begun_at, sent_at, cut_at in cut:
        for term_at in stopped_at[name]:
            after_s = sent_at - term_at
            is_planned = after_s > LAST_SENT_S and cut_at - term_at < GRACE_S + 1
            if begun_at <= term_at:
                continue  # the transaction was open when SIGTERM came
            if statement_id in ran and is_planned:
                broken.append(
                    f"LOST: {text} ({statement_id}) sent {after_s:.3f} s after the "
                    f"SIGTERM of {name} ran, and was cut {cut_at - sent_at:.3f} s "
                    "later unanswered"
                )
    return broken


if __name__ == "__main__":
    standins.run_case(FOLDER, case, {"orders": ("bounded_staleness", 1500)})
