"""An acknowledged write that only a database without an entry holds is lost.

A replica can't reach the store, so its entry is removed; it still receives from the
primary. Then the other replica receives nothing for a while, and the primary crashes.
"""

import asyncio
import contextlib
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from standins_2 import Deployment, run_case  # noqa: E402

CUT_S = 12.0  # from the store
DEAF_AFTER_S, DEAF_S = 8.5, 6.5
CRASH_AFTER_S, CRASH_S = 1.2, 7.0  # after the other replica went deaf
PAUSE_S = 0.05  # between a caller's writes
END_S = 24.0


async def write_repeatedly(deployment, record, instance, acked, end):
    """Write until a time, each time with other data; record what is acknowledged."""
    number = 0
    while time.monotonic() < end:
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            caller = await deployment.connect(instance, "orders")
            while not isinstance(caller, str) and time.monotonic() < end:
                number += 1
                text = f"WRITE {instance}-{number % 50} {instance}-{number}"
                statement_id, code, _ = await caller.query(text)
                record.write(f"{instance} {statement_id} {text}: {code or 'ok'}")
                if not code:
                    acked[statement_id] = time.monotonic()
                elif code not in ("BUSY", "READONLY", "ABORTED"):
                    break
                await asyncio.sleep(PAUSE_S)
            if not isinstance(caller, str):
                caller.close()
        await asyncio.sleep(PAUSE_S)


async def disturb(deployment, record):
    """Cut one replica from the store, then deafen the other and crash the primary."""
    primary, deaf, cut = deployment.group.databases.values()
    record.write(f"{cut.name} does not reach the store any more")
    cut.is_cut_from_store = True
    loop = asyncio.get_running_loop()

    def heal():
        record.write(f"{cut.name} reaches the store again")
        cut.is_cut_from_store = False
        cut.report()

    loop.call_later(CUT_S, heal)
    await asyncio.sleep(DEAF_AFTER_S)
    record.write(f"{deaf.name} receives nothing from its primary")
    deaf.is_deaf = True
    loop.call_later(DEAF_S, deaf.hear_again)
    await asyncio.sleep(CRASH_AFTER_S)
    record.write(f"{primary.name} crashes")
    primary.crash()
    await asyncio.sleep(CRASH_S)
    record.write(f"{primary.name} comes back with its log")
    await primary.restart()


async def play(record, has_trouble):
    deployment = Deployment(record)
    try:
        await deployment.start()
        acked, end = {}, time.monotonic() + END_S
        tasks = [
            write_repeatedly(deployment, record, name, acked, end)
            for name in deployment.processes
        ]
        await asyncio.sleep(1.0)
        if has_trouble:
            tasks.append(disturb(deployment, record))
        await asyncio.gather(*tasks)
    finally:
        await deployment.stop()
    is_broken = False
    for name, held, at in deployment.group.promoted:
        before = {x for x, acked_at in acked.items() if acked_at < at}
        lost = sorted(before - held)
        record.write(
            f"{name} was promoted; {len(before)} writes were acknowledged before, its "
            f"log lacks {len(lost)} of them: {' '.join(lost)}"
        )
        is_broken = is_broken or bool(lost)
    record.write(f"{len(acked)} writes were acknowledged")
    if not acked:
        raise RuntimeError("no write was acknowledged")
    return is_broken


if __name__ == "__main__":
    run_case(play, os.path.dirname(os.path.abspath(__file__)))
