"""Starts background tasks; logs, counts and restarts those that fail."""

import asyncio
import traceback

from dragonflywing import logs

MIN_RESTART_DELAY_S = 0.05
MAX_RESTART_DELAY_S = 5.0


def _location(exc):
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return "unknown"
    return f"{frames[-1].filename.rsplit('/', 1)[-1]}:{frames[-1].lineno}"


def note_failure(name, exc, metrics):
    """Log an unexpected exception of a task in one line and count it."""
    metrics.count(f"task.failed.{name}")
    logs.warn(
        "task_failed",
        task=name,
        error=type(exc).__name__,
        message=str(exc)[:200],
        where=_location(exc),
    )


def spawn(tasks, coroutine):
    """Start a task and keep it in the set `tasks` until it ends; return it.

    The event loop has only weak references to tasks, so a task that is referenced
    nowhere else may be garbage-collected before it ends.
    """
    task = asyncio.create_task(coroutine)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task


async def supervise(name, start, metrics):
    """Run `start()` until it returns; run it again after an unexpected exception.

    The delay before a restart doubles with each failure, and returns to its
    minimum after a run that lasted longer than the maximum delay.
    """
    loop = asyncio.get_running_loop()
    delay_s = MIN_RESTART_DELAY_S
    while True:
        started = loop.time()
        try:
            await start()
            return
        except Exception as exc:
            note_failure(name, exc, metrics)
        if loop.time() - started > MAX_RESTART_DELAY_S:
            delay_s = MIN_RESTART_DELAY_S
        await asyncio.sleep(delay_s)
        delay_s = min(MAX_RESTART_DELAY_S, delay_s * 2)
