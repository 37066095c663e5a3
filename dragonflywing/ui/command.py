"""Shared parts of the commands: argument parsing, logs, signals and exit codes."""

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
    """Run the subcommand of `commands` that the command line selects.

    Exit with `EXIT_USER_ERROR` on invalid input, and with `EXIT_UNAVAILABLE` if
    the store or the operating system reports an error.
    """
    logs.configure("warning")
    try:
        fire.Fire(commands() if isinstance(commands, type) else commands)
    except UserError as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)
    except StoreError as exc:
        print(f"error: the store is unavailable: {exc}", file=sys.stderr)
        sys.exit(EXIT_UNAVAILABLE)
    except OSError as exc:
        print(f"error: {exc}", file=sys.stderr)
        sys.exit(EXIT_UNAVAILABLE)


def run(coroutine):
    """Run a coroutine on uvloop under aiomisc and return its result.

    aiomisc configures neither logging, which absl does, nor signals, which the
    commands handle themselves.
    """
    return aiomisc.run(
        coroutine,
        log_config=False,
        catch_signals=(),
        loop_factory=uvloop.new_event_loop,
    )


def run_until_signal(coroutine):
    """Run a server and cancel it on SIGTERM or SIGINT."""

    async def run_task():
        task = asyncio.create_task(coroutine)
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, task.cancel)
        with contextlib.suppress(asyncio.CancelledError):
            await task

    run(run_task())
