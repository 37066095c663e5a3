"""An entry of another writer that can't be read stops all instances after a restart.

The entry's bytes are a deeply nested list. Decoding it raises an error that ends the
task that follows the databases' entries, and the entries that came with it are lost.
"""

import asyncio
import contextlib
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from standins_2 import BOUNDS, Deployment, run_case  # noqa: E402

KEY = "servers/backup-agent"
VALUE = b"[" * 100_000  # no document; below the store's limit for a value
BEFORE_S, AFTER_S = 4.0, 8.0
DOWN_S = 0.9  # from the final fault until the processes are started
PAUSE_S = 0.1


async def request_repeatedly(deployment, record, instance, counts, end):
    """Write and read until a time; count the requests and those that are served."""
    number = 0
    while time.monotonic() < end:
        number += 1
        text = f"WRITE a b{number}" if number % 2 else "READ a"
        served, code = False, "no session"
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            caller = await deployment.connect(instance, "orders")
            if isinstance(caller, str):
                code = caller
            else:
                code = "no answer"
                _, code, _ = await caller.query(text)
                served = not code
                caller.close()
        counts[0] += 1
        counts[1] += served
        record.write(f"{instance} {text}: {code or 'ok'}")
        await asyncio.sleep(PAUSE_S)


async def measure(deployment, record, seconds):
    """Return the requests sent within a time, and how many were served."""
    counts, end = [0, 0], time.monotonic() + seconds
    await asyncio.gather(
        *[
            request_repeatedly(deployment, record, name, counts, end)
            for name in deployment.processes
        ]
    )
    return counts


async def play(record, has_trouble):
    deployment = Deployment(record)
    try:
        await deployment.start()
        sent_before, served_before = await measure(deployment, record, BEFORE_S)
        if has_trouble:
            record.write(f"another writer writes {KEY}, {len(VALUE)} bytes")
            deployment.store.put(KEY, VALUE)
        await asyncio.sleep(1.0)
        record.write("all processes are killed, right after a configuration")
        deployment.put_configuration()
        names = list(deployment.processes)
        for name in names:
            await deployment.kill(name)
        await asyncio.sleep(DOWN_S)
        for name in names:
            await deployment.start_instance(name)
        await deployment.wait_ready()
        record.write("the machines are back, all are ready")
        await asyncio.sleep(BOUNDS["recovery_s"])
        sent, served = await measure(deployment, record, AFTER_S)
        are_ready = [await deployment.is_ready(name) for name in names]
        logs = "".join(map(deployment.log_of, names))
    finally:
        await deployment.stop()
    errors = {line for line in logs.splitlines() if "task_failed" in line}
    record.write(f"before: {served_before} of {sent_before} requests were served")
    record.write(f"after: {served} of {sent} requests were served")
    record.write(f"ready probes at the end: {are_ready}")
    for line in sorted(errors):
        record.write(line[line.index("event=") :])
    if served_before < 0.25 * sent_before:
        raise RuntimeError("too little was served before the final fault")
    return served < 0.25 * sent


if __name__ == "__main__":
    run_case(play, os.path.dirname(os.path.abspath(__file__)))
