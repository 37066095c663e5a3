"""The dfw-platform command: the entry daemon on the users' platform."""

import asyncio
import sys

import uvloop

from dragonflywing import logs, metering, supervisor
from dragonflywing.deployment import CallerLimits
from dragonflywing.errors import UserError
from dragonflywing.metrics import Metrics
from dragonflywing.node import Node
from dragonflywing.platform import databases, documents, probes, settings
from dragonflywing.platform.callers import CallerServer
from dragonflywing.platform.store import PlatformStore, PromotionClient
from dragonflywing.ports import Ports

USAGE = """dfw-platform: the entry daemon on the users' platform.

It takes no arguments; the variable DRAGONFLYWING_CONFIG holds the path of the
settings file that the platform writes.

Example: DRAGONFLYWING_CONFIG=/etc/dragonflywing/local.json dfw-platform"""
LOG_DRAIN_S = 0.2  # part of the shutdown time that is kept for the last log lines


async def serve(cfg):
    """Run one instance until SIGTERM."""
    metrics = Metrics()
    store = PlatformStore(*cfg.store_address, metrics)
    promotion_client = PromotionClient(*cfg.duty_address)
    ports = Ports(
        databases=databases,
        store=store,
        promote=promotion_client.promote,
        decode_configuration=documents.decode_configuration,
        decode_database=documents.decode_database,
        configuration_key=documents.CONFIGURATION_KEY,
        database_prefix=documents.DATABASE_PREFIX,
        evacuation_prefix=documents.EVACUATION_PREFIX,
    )
    node = Node(cfg, ports, metrics)
    callers = CallerServer(node)

    def caller_limits():
        return node.directory.cfg.limits if node.directory.cfg else CallerLimits()

    metering.meter.configure(
        cfg.memory_bytes, cfg.max_descriptors, metrics, caller_limits
    )
    sweeps = asyncio.create_task(
        supervisor.supervise("metering", metering.meter.run, metrics)
    )

    async def start_adapters(node):
        await callers.start(cfg.host, cfg.caller_port)
        await probes.start(node, cfg)

    try:
        await node.serve(start_adapters, callers, settings.load)
    finally:
        sweeps.cancel()


def main():
    """Run the daemon; return 2 for unexpected arguments or invalid settings."""
    if sys.argv[1:]:
        print(USAGE)
        return 0 if sys.argv[1:] == ["--help"] else 2
    output = logs.BoundedStream(sys.stdout)
    logs.configure(stream=output)
    try:
        cfg = settings.load()
    except UserError as exc:
        print(f"error: {exc}", file=sys.stderr)
        return 2
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(cfg))
    output.drain(LOG_DRAIN_S)
    return 0


if __name__ == "__main__":
    sys.exit(main())
