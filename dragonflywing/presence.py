"""Maintains this instance's record in the store, by which operators find it."""

import asyncio
import json
import random

from dragonflywing.errors import StoreError

INSTANCE_PREFIX = "/dfw/instances/"
RENEWALS_PER_LEASE = 3


async def maintain_record(cfg, store):
    """Write this instance's record to the store and renew its lease forever."""
    lease_id = 0
    record = {
        "data_centre": cfg.data_centre,
        "caller_address": f"{cfg.host}:{cfg.port}",
        "peer_address": f"{cfg.host}:{cfg.peer_port}",
    }
    period = cfg.times.instance_lease_s / RENEWALS_PER_LEASE
    while True:
        try:
            if not lease_id or not await store.keep_lease(lease_id):
                lease_id = await store.grant_lease(cfg.times.instance_lease_s)
                await store.put(
                    INSTANCE_PREFIX + cfg.instance, json.dumps(record), lease_id
                )
        except StoreError:
            lease_id = 0
        await asyncio.sleep(period * random.uniform(0.8, 1.0))
