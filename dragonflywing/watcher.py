"""Takes configurations from the store while this instance is a watcher."""

import asyncio
import random

from dragonflywing import logs
from dragonflywing.decisions import versions
from dragonflywing.errors import StoreError

CONFIGURATION_KEY = "/dfw/configuration"
RETRY_S = 1.0


async def watch_configuration(cfg, store, fleet):
    """Take configurations from the store while this instance is a watcher."""
    while True:
        if not fleet.is_watcher() and fleet.versions.cfg is not None:
            await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.0))
            continue
        try:
            await _watch_once(store, fleet)
        except StoreError as exc:
            if fleet.store_ok:
                logs.event("store_lost", error=str(exc))
            fleet.store_ok = False
            fleet.metrics.count("store.watch_failed")
        await asyncio.sleep(RETRY_S * random.uniform(0.2, 1.0))


async def _watch_once(store, fleet):
    loop = asyncio.get_running_loop()
    asked_at = loop.time()
    entries, revision = await store.get_prefix(CONFIGURATION_KEY)
    fleet.store_ok = True
    for entry in entries:
        fleet.offer(entry.value, "store")
    _confirm(fleet, asked_at)
    async for changes in store.watch(CONFIGURATION_KEY, revision + 1):
        heard_at = loop.time()
        for entry in changes:
            fleet.offer(entry.value, "store")
        _confirm(fleet, heard_at)
        if not fleet.is_watcher():
            return


def _confirm(fleet, moment):
    now = asyncio.get_running_loop().time()
    version = versions.version(fleet.versions)
    versions.confirm(fleet.versions, now, version, now - moment)
