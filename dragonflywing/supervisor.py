"""Keeps tasks running: one that fails is logged, counted and started again."""

import asyncio
import traceback

from dragonflywing import logs

RESTART_FIRST_S = 0.05
RESTART_MAX_S = 5.0


def _where(exc):
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return "unknown"
    return f"{frames[-1].filename.rsplit('/', 1)[-1]}:{frames[-1].lineno}"


def note_failure(name, exc, metrics):
    """Log an unexpected exception in one line and count it."""
    metrics.count(f"task.failed.{name}")
    logs.warn(
        "task_failed",
        task=name,
        error=type(exc).__name__,
        message=str(exc)[:200],
        where=_where(exc),
    )


def spawn(tasks, coroutine):
    """Start a task and keep it in the set `tasks` until it ends; return it.

    The loop itself holds no task, so one that nobody keeps may be collected.
    """
    task = asyncio.create_task(coroutine)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task


async def supervise(name, start, metrics):
    """Run `start()` until cancelled, again after each unexpected exception."""
    loop = asyncio.get_running_loop()
    pause = RESTART_FIRST_S
    while True:
        started = loop.time()
        try:
            await start()
            return
        except Exception as exc:
            note_failure(name, exc, metrics)
        if loop.time() - started > RESTART_MAX_S:
            pause = RESTART_FIRST_S
        await asyncio.sleep(pause)
        pause = min(RESTART_MAX_S, pause * 2)
