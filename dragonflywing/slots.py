"""This instance's slot, held by a lease of the store.

A slot is one of `fleet_size` equal shares of every workspace's rate and burst.
"""

import asyncio
import random

from dragonflywing import logs
from dragonflywing.decisions import shares
from dragonflywing.errors import StoreError
from dragonflywing.store import retry_until_known

SLOT_PREFIX = "/dfw/slots/"
SLOT_ALIVE_PREFIX = "/dfw/slots_alive/"
RETRY_MAX_S = 1.0
# Fraction of the lease time for which its holder relies on it.
LEASE_SAFETY_FACTOR = 0.9
RENEWALS_PER_LEASE = 3
RENEWAL_MAX_S = 60.0


def lease_seconds(seconds):
    """Return a lease time rounded to whole seconds, as the store grants it."""
    return max(1, round(seconds))


class SlotKeeper:
    """Acquires, renews and releases this instance's slot."""

    def __init__(self, cfg, store, limiter, version_state, metrics):
        self.cfg = cfg
        self.store = store
        self.limiter = limiter
        self.versions = version_state
        self.metrics = metrics
        self.slot = None
        self.lease = 0
        self.run_id = f"{cfg.instance}/{random.getrandbits(64):x}"

    def _now(self):
        return asyncio.get_running_loop().time()

    def _valid_until(self, requested_at):
        seconds = lease_seconds(self.cfg.times.share_lease_s)
        return requested_at + seconds * LEASE_SAFETY_FACTOR

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
                    await self._acquire()
                if self.slot is None:
                    pause = RETRY_MAX_S * random.uniform(0.3, 1.0)
            except StoreError:
                self.metrics.count("slot.store_failed")
                pause = min(pause, RETRY_MAX_S)
            await asyncio.sleep(pause)

    async def _renew(self):
        requested_at = self._now()
        if await self.store.keep_lease(self.lease) and await self._still_holds_slot():
            shares.renew_slot(self.limiter.state, self._valid_until(requested_at))
            return
        logs.warn("slot_lost", slot=self.slot)
        self.metrics.count("slot.lost")
        shares.drop_slot(self.limiter.state, self._now())
        self.slot = None

    async def _still_holds_slot(self):
        """Return whether the slot's record still names this run of the instance."""
        record = await self.store.get(f"{SLOT_PREFIX}{self.slot}")
        return record is not None and record.value.decode() == self.run_id

    async def _acquire(self):
        slots, _ = await self.store.get_prefix(SLOT_PREFIX)
        alive_records, _ = await self.store.get_prefix(SLOT_ALIVE_PREFIX)
        slots = {kv.key: kv for kv in slots}
        alive_records = {kv.key: kv for kv in alive_records}
        numbers = list(range(self.versions.cfg.fleet_size))
        random.shuffle(numbers)
        numbers.sort(
            key=lambda n: not self._is_own_record(slots.get(f"{SLOT_PREFIX}{n}"))
        )
        for number in numbers:
            record = slots.get(f"{SLOT_PREFIX}{number}")
            alive_record = alive_records.get(f"{SLOT_ALIVE_PREFIX}{number}")
            if alive_record and not self._is_own_record(record):
                continue
            if await self._try_claim(number, record, alive_record):
                return

    def _is_own_record(self, record):
        # This process has bound the instance's address, so an earlier run of the
        # instance has ended.
        return bool(record) and record.value.decode().split("/")[0] == self.cfg.instance

    async def _try_claim(self, number, record, alive_record):
        if not self.lease:
            self.lease = await self.store.grant_lease(self.cfg.times.share_lease_s)
        requested_at = self._now()
        if not await self.store.keep_lease(self.lease):
            self.lease = 0
            return False
        slot_key = f"{SLOT_PREFIX}{number}"
        alive_key = f"{SLOT_ALIVE_PREFIX}{number}"
        conditions = [
            (slot_key, record.mod_revision if record else 0),
            (alive_key, alive_record.mod_revision if alive_record else 0),
        ]
        writes = [(slot_key, self.run_id, 0), (alive_key, self.run_id, self.lease)]

        async def check():
            current = await self.store.get(slot_key)
            return bool(current) and current.value.decode() == self.run_id

        if not await retry_until_known(
            lambda: self.store.swap_all(conditions, writes), check, attempts=2
        ):
            return False
        self.slot = number
        valid_until = self._valid_until(requested_at)
        state = self.limiter.state
        shares.take_slot(state, self._now(), valid_until, is_first=record is None)
        logs.event("slot_taken", slot=number)
        return True

    async def release(self):
        """Release the slot so that another instance can acquire it immediately."""
        if self.slot is None:
            return
        shares.drop_slot(self.limiter.state, self._now())
        try:
            await self.store.revoke_lease(self.lease)
        except StoreError:
            self.metrics.count("slot.store_failed")
