"""What all commands share: fire, logs, signals, exit codes."""

import asyncio
import contextlib
import signal
import sys

import aiomisc
import fire
import uvloop

from dragonflywing import logs
from dragonflywing.errors import StoreError, UserError

EXIT_USER_ERROR = 2
EXIT_UNAVAILABLE = 3


def main(commands):
    """Run the subcommand of `commands` that the command line names."""
    logs.configure("warning")
    try:
        fire.Fire(commands() if isinstance(commands, type) else commands)
    except UserError as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)
    except StoreError as exc:
        print(f"error: the store does not answer: {exc}", file=sys.stderr)
        sys.exit(EXIT_UNAVAILABLE)
    except OSError as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(EXIT_UNAVAILABLE)


def run(coroutine):
    """Run a coroutine on uvloop under aiomisc and return its result.

    Logs and signals stay with absl and with the commands themselves.
    """
    return aiomisc.run(
        coroutine,
        log_config=False,
        catch_signals=(),
        loop_factory=uvloop.new_event_loop,
    )


def run_until_signal(coroutine):
    """Run a server until SIGTERM or SIGINT, then cancel it."""

    async def supervise():
        task = asyncio.create_task(coroutine)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        with contextlib.suppress(asyncio.CancelledError):
            await task

    run(supervise())
