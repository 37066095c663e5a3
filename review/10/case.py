"""A planned stop ends a transaction early that another instance's caller has open.

The stopping instance is the home of the primary and has no callers of its own. It
exits as soon as none of its transactions is listed, and one whose statement is
running isn't listed.
"""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

import standins_2  # noqa: E402
from standins_2 import BOUNDS, Deployment, run_case  # noqa: E402

HOME, OTHER = "front-0", "front-1"  # the home of the primary; the caller's instance
STATEMENTS = 11  # a transaction has up to 12 statements
REST_S = 2.1  # of the caller after the stop; less than txn_idle_ms
PAUSE_S = 0.06  # between the further statements
WORK_S = 0.015  # of a statement, as of shelfmark-lookup
COMMIT_BY_S = BOUNDS["grace_s"] / 2 - 0.2  # after SIGTERM


async def run_transaction(caller, record, stop):
    """Run one transaction, with `stop()` after its first statement.

    Return (whether it was committed, the seconds from the stop to its end).
    """
    await caller.query("BEGIN")
    _, code, _ = await caller.query("WRITE a 0")
    if code:
        raise RuntimeError(f"the first statement was refused: {code}")
    stop()
    began_at, number = time.monotonic(), 1
    await asyncio.sleep(REST_S)
    while number < STATEMENTS and not code:
        await asyncio.sleep(PAUSE_S)
        if time.monotonic() - began_at > COMMIT_BY_S:
            break
        text = f"WRITE a {number}" if number % 2 else "READ a"
        _, code, _ = await caller.query(text)
        record.write(f"{text}: {code or 'ok'}")
        number += 1
    text = "ROLLBACK" if code else "COMMIT"
    _, end_code, _ = await caller.query(text)
    record.write(f"{text}: {end_code or 'ok'}")
    return not code and not end_code, time.monotonic() - began_at


async def play(record, has_trouble):
    standins_2.WORK_S = WORK_S
    deployment = Deployment(record)
    try:
        await deployment.start()
        await asyncio.sleep(2.0)  # until the homes are settled
        caller = await deployment.connect(OTHER, "orders")

        def stop():
            if has_trouble:
                record.write(f"SIGTERM to {HOME}")
                deployment.processes[HOME].send_signal(signal.SIGTERM)

        is_committed, took_s = await run_transaction(caller, record, stop)
        caller.close()
        await asyncio.sleep(0.2)
        process = deployment.processes[HOME]
        record.write(f"{HOME} has ended: {process.returncode is not None}")
        for line in deployment.log_of(OTHER).splitlines():
            if "event=home_lost" in line:
                record.write(line[line.index("event=") :])
    finally:
        await deployment.stop()
    half_s = BOUNDS["grace_s"] / 2
    record.write(f"committed: {is_committed}, {took_s:.3f} s after the stop")
    if not is_committed and took_s > half_s:
        raise RuntimeError("the transaction took too long to tell")
    return not is_committed


if __name__ == "__main__":
    run_case(play, os.path.dirname(os.path.abspath(__file__)))
