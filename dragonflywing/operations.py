"""What operators do: put configurations in force, give and withdraw keys."""

import asyncio
import json
import random
import secrets
from typing import NamedTuple

from dragonflywing import configuration
from dragonflywing.configuration import Key
from dragonflywing.errors import UserError
from dragonflywing.identity import key_hash
from dragonflywing.peers import PeerClient
from dragonflywing.presence import INSTANCE_PREFIX
from dragonflywing.store import Store, retry_until_known
from dragonflywing.watcher import CONFIGURATION_KEY

RACE_ATTEMPTS = 8
POLL_S = 0.1


class OpsSettings(NamedTuple):
    """Settings of dfw-ops: where the store is, and the peers' secret."""

    store: tuple[str, ...]
    peer_secret: str
    # Addresses by instance name, in place of the published ones.
    addresses: dict[str, str] = {}


async def current(store):
    """Return the configuration in the store and its revision, or (None, 0)."""
    entry = await store.get(CONFIGURATION_KEY)
    if entry is None:
        return None, 0
    return configuration.decode(entry.value), entry.mod_revision


def merge_keys(cfg, known):
    """Return `cfg` with the keys given or withdrawn since it was generated."""
    if known is None:
        return cfg
    if cfg.fleet_size != known.fleet_size:
        raise UserError(
            f"field fleet_size: expected {known.fleet_size}, it is fixed once applied"
        )
    workspaces = {}
    for name, item in cfg.workspaces.items():
        given = known.workspaces[name].keys if name in known.workspaces else ()
        ids = {key.id for key in item.keys}
        extra = tuple(key for key in given if key.id not in ids)
        workspaces[name] = item._replace(keys=item.keys + extra)
    return cfg._replace(workspaces=workspaces, withdrawn=known.withdrawn)


async def change(store, alter):
    """Apply `alter(current) -> new` by compare-and-swap; return the new one.

    A lost answer is settled by looking for the change's id; a race with
    another operator is run again on what the other has written.
    """
    for _ in range(RACE_ATTEMPTS):
        known, revision = await current(store)
        mark = secrets.token_hex(8)
        version = known.version + 1 if known else 1
        recent = (known.recent_changes if known else ()) + (mark,)
        cfg = alter(known)._replace(
            version=version,
            change_id=mark,
            recent_changes=recent[-configuration.RECENT_CHANGES :],
        )
        data = configuration.encode(configuration.check(cfg))

        async def check(mark=mark, version=version):
            now, _ = await current(store)
            if now is None or now.version < version:
                return None
            return mark in now.recent_changes

        if await retry_until_known(
            lambda data=data, revision=revision: store.swap(
                CONFIGURATION_KEY, data, revision
            ),
            check,
        ):
            return cfg
        await asyncio.sleep(random.uniform(0.01, 0.1))
    raise UserError("other operators keep changing the configuration; try again")


async def apply(store, cfg):
    """Put a generated configuration in force; return it with its version."""
    return await change(store, lambda known: merge_keys(cfg, known))


def _workspace(cfg, name):
    if cfg is None:
        raise UserError("no configuration has been applied yet")
    if name not in cfg.workspaces:
        known = ", ".join(sorted(cfg.workspaces))
        raise UserError(f"workspace {name!r} is unknown, expected one of {known}")
    return cfg.workspaces[name]


async def give_key(store, workspace, key_id, key=None):
    """Give a workspace a key; return (key, configuration)."""
    key = key or secrets.token_urlsafe(24)

    def alter(known):
        item = _workspace(known, workspace)
        if any(k.id == key_id for k in item.keys):
            raise UserError(f"workspace {workspace!r} already has a key {key_id!r}")
        keys = (*item.keys, Key(key_id, key_hash(key)))
        workspaces = {**known.workspaces, workspace: item._replace(keys=keys)}
        return known._replace(workspaces=workspaces)

    return key, await change(store, alter)


async def withdraw_key(store, workspace, key_id):
    """Withdraw a workspace's key for good; return the configuration."""

    def alter(known):
        item = _workspace(known, workspace)
        gone = [key.hash for key in item.keys if key.id == key_id]
        if not gone:
            raise UserError(f"workspace {workspace!r} has no key {key_id!r}")
        keys = tuple(key for key in item.keys if key.id != key_id)
        workspaces = {**known.workspaces, workspace: item._replace(keys=keys)}
        hashes = (*known.withdrawn.get(workspace, ()), *gone)
        withdrawn = {**known.withdrawn, workspace: hashes}
        return known._replace(workspaces=workspaces, withdrawn=withdrawn)

    return await change(store, alter)


async def leave_database(store, database, leaving):
    """Mark a database as leaving, or as staying; return the configuration."""

    def alter(known):
        if known is None:
            raise UserError("no configuration has been applied yet")
        for name, group in known.groups.items():
            if database in group.databases:
                item = group.databases[database]._replace(leaving=leaving)
                databases = {**group.databases, database: item}
                groups = {**known.groups, name: group._replace(databases=databases)}
                return known._replace(groups=groups)
        raise UserError(f"database {database!r} is in no group")

    return await change(store, alter)


async def reports(cfg, store):
    """Return {instance: report or None} of all instances in the store's list."""
    entries, _ = await store.get_prefix(INSTANCE_PREFIX)

    async def ask(entry):
        name = entry.key.removeprefix(INSTANCE_PREFIX)
        address = json.loads(entry.value)["peer_address"]
        client = PeerClient(cfg.addresses.get(name, address), cfg.peer_secret)
        answer = await client.call("report")
        client.close()
        return name, json.loads(answer.json) if answer else None

    return dict(await asyncio.gather(*[ask(entry) for entry in entries]))


async def wait_in_force(cfg, store, version, timeout_s):
    """Return the instances that do not have a version in force by the timeout."""
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout_s
    while True:
        found = await reports(cfg, store)
        behind = [n for n, r in found.items() if r is None or r["version"] < version]
        if not behind or loop.time() > end:
            return behind
        await asyncio.sleep(POLL_S)


async def with_store(cfg, use):
    """Call `use(store)` with an open store and close it."""
    store = Store(cfg.store)
    await store.open()
    try:
        return await use(store)
    finally:
        await store.close()
