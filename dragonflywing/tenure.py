"""This instance's place in the store: presence, slot and configuration."""

import asyncio
import json
import random

from dragonflywing import logs
from dragonflywing.decisions import shares, versions
from dragonflywing.errors import StoreError
from dragonflywing.store import settle

CONFIGURATION_KEY = "/dfw/configuration"
INSTANCE_PREFIX = "/dfw/instances/"
SLOT_PREFIX = "/dfw/slots/"
SLOT_ALIVE_PREFIX = "/dfw/slots_alive/"
RETRY_S = 1.0
# Part of a lease's time after which its holder no longer counts on it.
LEASE_SAFETY = 0.9
RENEWALS_PER_LEASE = 3


def lease_seconds(seconds):
    """Return a lease time as the store grants it, in whole seconds."""
    return max(1, round(seconds))


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


async def keep_presence(cfg, store):
    """Keep this instance's record in the store under a lease."""
    lease = 0
    record = {
        "data_centre": cfg.data_centre,
        "caller_address": f"{cfg.host}:{cfg.port}",
        "peer_address": f"{cfg.host}:{cfg.peer_port}",
    }
    period = cfg.times.instance_lease_s / RENEWALS_PER_LEASE
    while True:
        try:
            if not lease or not await store.keep_lease(lease):
                lease = await store.grant_lease(cfg.times.instance_lease_s)
                await store.put(
                    INSTANCE_PREFIX + cfg.instance, json.dumps(record), lease
                )
        except StoreError:
            lease = 0
        await asyncio.sleep(period * random.uniform(0.8, 1.0))


class SlotKeeper:
    """Takes, renews and hands over a slot of the fleet's shares."""

    def __init__(self, cfg, store, limiter, version_state, metrics):
        self.cfg = cfg
        self.store = store
        self.limiter = limiter
        self.versions = version_state
        self.metrics = metrics
        self.slot = None
        self.lease = 0
        self.mark = f"{cfg.instance}/{random.getrandbits(64):x}"

    def _now(self):
        return asyncio.get_running_loop().time()

    def _valid_until(self, asked_at):
        seconds = lease_seconds(self.cfg.times.share_lease_s)
        return asked_at + seconds * LEASE_SAFETY

    async def run(self):
        """Hold a slot until cancelled."""
        seconds = lease_seconds(self.cfg.times.share_lease_s)
        period = min(60.0, seconds / RENEWALS_PER_LEASE)
        while True:
            pause = period * random.uniform(0.8, 1.0)
            try:
                if self.slot is not None:
                    await self._renew()
                elif self.versions.cfg is not None:
                    await self._take()
                if self.slot is None:
                    pause = RETRY_S * random.uniform(0.3, 1.0)
            except StoreError:
                self.metrics.count("slot.store_failed")
                pause = min(pause, RETRY_S)
            await asyncio.sleep(pause)

    async def _renew(self):
        asked_at = self._now()
        if await self.store.keep_lease(self.lease):
            shares.renew_slot(self.limiter.state, self._valid_until(asked_at))
            return
        logs.warn("slot_lost", slot=self.slot)
        self.metrics.count("slot.lost")
        shares.drop_slot(self.limiter.state, self._now())
        self.slot = None

    async def _take(self):
        slots, _ = await self.store.get_prefix(SLOT_PREFIX)
        alive, _ = await self.store.get_prefix(SLOT_ALIVE_PREFIX)
        slots = {entry.key: entry for entry in slots}
        alive = {entry.key: entry for entry in alive}
        numbers = list(range(self.versions.cfg.fleet_size))
        random.shuffle(numbers)
        numbers.sort(key=lambda n: not self._is_mine(slots.get(f"{SLOT_PREFIX}{n}")))
        for number in numbers:
            record = slots.get(f"{SLOT_PREFIX}{number}")
            sign = alive.get(f"{SLOT_ALIVE_PREFIX}{number}")
            if sign and not self._is_mine(record):
                continue
            if await self._claim(number, record, sign):
                return

    def _is_mine(self, record):
        # This instance holds its address, so an earlier run has ended.
        return bool(record) and record.value.decode().split("/")[0] == self.cfg.instance

    async def _claim(self, number, record, sign):
        if not self.lease:
            self.lease = await self.store.grant_lease(self.cfg.times.share_lease_s)
        asked_at = self._now()
        if not await self.store.keep_lease(self.lease):
            self.lease = 0
            return False
        slot_key = f"{SLOT_PREFIX}{number}"
        alive_key = f"{SLOT_ALIVE_PREFIX}{number}"
        conditions = [
            (slot_key, record.mod_revision if record else 0),
            (alive_key, sign.mod_revision if sign else 0),
        ]
        writes = [(slot_key, self.mark, 0), (alive_key, self.mark, self.lease)]

        async def check():
            now = await self.store.get(slot_key)
            return bool(now) and now.value.decode() == self.mark

        if not await settle(
            lambda: self.store.swap_all(conditions, writes), check, attempts=2
        ):
            return False
        self.slot = number
        valid_until = self._valid_until(asked_at)
        shares.take_slot(self.limiter.state, self._now(), valid_until)
        logs.event("slot_taken", slot=number)
        return True

    async def hand_over(self):
        """Give the slot up so that another instance can take it at once."""
        if self.slot is None:
            return
        shares.drop_slot(self.limiter.state, self._now())
        try:
            await self.store.revoke_lease(self.lease)
        except StoreError:
            self.metrics.count("slot.store_failed")
