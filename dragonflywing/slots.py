"""This instance's slot of the fleet's rates, held by a lease of the store."""

import asyncio
import random

from dragonflywing import logs
from dragonflywing.decisions import shares
from dragonflywing.errors import StoreError
from dragonflywing.store import settle

SLOT_PREFIX = "/dfw/slots/"
SLOT_ALIVE_PREFIX = "/dfw/slots_alive/"
RETRY_S = 1.0
# Part of a lease's time after which its holder no longer counts on it.
LEASE_SAFETY = 0.9
RENEWALS_PER_LEASE = 3
RENEWAL_MAX_S = 60.0


def lease_seconds(seconds):
    """Return a lease time as the store grants it, in whole seconds."""
    return max(1, round(seconds))


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
        period = min(RENEWAL_MAX_S, seconds / RENEWALS_PER_LEASE)
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
        if await self.store.keep_lease(self.lease) and await self._is_still_mine():
            shares.renew_slot(self.limiter.state, self._valid_until(asked_at))
            return
        logs.warn("slot_lost", slot=self.slot)
        self.metrics.count("slot.lost")
        shares.drop_slot(self.limiter.state, self._now())
        self.slot = None

    async def _is_still_mine(self):
        """Return whether no later run of the same name has taken the slot."""
        record = await self.store.get(f"{SLOT_PREFIX}{self.slot}")
        return record is not None and record.value.decode() == self.mark

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
        state = self.limiter.state
        shares.take_slot(state, self._now(), valid_until, is_first=record is None)
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
