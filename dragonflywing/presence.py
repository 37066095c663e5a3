"""Keeps this instance's record in the store, by which operators find it."""

import asyncio
import json
import random

from dragonflywing.errors import StoreError

INSTANCE_PREFIX = "/dfw/instances/"
RENEWALS_PER_LEASE = 3


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
