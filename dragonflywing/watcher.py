"""Watches the store for configurations on behalf of a data centre."""

import asyncio
import random

from dragonflywing import configuration, logs
from dragonflywing.decisions import versions
from dragonflywing.errors import StoreError, UserError

CONFIGURATION_KEY = "/dfw/configuration"
RETRY_MAX_S = 1.0


async def watch_configuration(cfg, store, fleet):
    """Apply configurations from the store while this instance is a watcher.

    An instance without any configuration reads the store as well.
    """
    while True:
        if not fleet.is_watcher() and fleet.versions.cfg is not None:
            await asyncio.sleep(RETRY_MAX_S * random.uniform(0.5, 1.0))
            continue
        try:
            await _watch_once(store, fleet)
        except StoreError as exc:
            if fleet.store_ok:
                logs.event("store_lost", error=str(exc))
            fleet.store_ok = False
            fleet.metrics.count("store.watch_failed")
        await asyncio.sleep(RETRY_MAX_S * random.uniform(0.2, 1.0))


async def _watch_once(store, fleet):
    loop = asyncio.get_running_loop()
    requested_at = loop.time()
    kvs, revision = await store.get_prefix(CONFIGURATION_KEY)
    fleet.store_ok = True
    for kv in kvs:
        fleet.offer(kv.value, "store")
    entry = next((kv for kv in kvs if kv.key == CONFIGURATION_KEY), None)
    if not await _ensure_stored(store, fleet, entry):
        return
    _confirm_version(fleet, requested_at)
    async for changes in store.watch(CONFIGURATION_KEY, revision + 1):
        received_at = loop.time()
        for kv in changes:
            fleet.offer(kv.value, "store")
        _confirm_version(fleet, received_at)
        if not fleet.is_watcher():
            return


async def _ensure_stored(store, fleet, entry):
    """Return whether the store holds the configuration in force; write it if not.

    A store that came back from an older copy lacks it. Operators would then change
    the older version.
    """
    in_force, data = fleet.versions.cfg, fleet.configuration_bytes()
    if in_force is None or (entry is not None and entry.value == data):
        return True
    try:
        stored = configuration.decode(entry.value) if entry else None
    except UserError:
        return False  # logged when it was offered
    if stored is not None and stored.change_id == in_force.change_id:
        return True
    if stored is not None and not configuration.is_earlier(stored, in_force):
        fleet.metrics.count("configuration.conflict")
        logs.warn(
            "configuration_conflict", stored=stored.version, in_force=in_force.version
        )
        return False
    revision = entry.mod_revision if entry else 0
    if await store.swap(CONFIGURATION_KEY, data, revision):
        fleet.metrics.count("configuration.written_again")
        logs.event(
            "configuration_written_again",
            version=in_force.version,
            stored=stored.version if stored else 0,
        )
    return False  # the next round reads it


def _confirm_version(fleet, confirmed_at):
    now = asyncio.get_running_loop().time()
    version = versions.version(fleet.versions)
    versions.confirm(fleet.versions, now, version, now - confirmed_at)
