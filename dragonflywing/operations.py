"""Operator actions: apply configurations, change keys, drain databases, get reports."""

import asyncio
import random
import secrets
from typing import NamedTuple, TypedDict

from dragonflywing import configuration, decoding
from dragonflywing.configuration import Key, merge_keys
from dragonflywing.decoding import MalformedDocument
from dragonflywing.errors import UserError
from dragonflywing.identity import key_hash
from dragonflywing.peers import PeerClient
from dragonflywing.presence import INSTANCE_PREFIX
from dragonflywing.store import Store, retry_until_known
from dragonflywing.watcher import CONFIGURATION_KEY

MAX_SWAP_ATTEMPTS = 8
REPORT_POLL_S = 0.1


class InstanceDocument(TypedDict):
    """An instance's entry in the store."""

    peer_address: str


class OpsSettings(NamedTuple):
    """Settings of dfw-ops: the URLs of the store and the secret of the instances."""

    store: tuple[str, ...]
    peer_secret: str
    # Addresses that replace those published in the store, by instance name.
    addresses: dict[str, str] = {}


async def read_configuration(store):
    """Return the stored configuration and its revision, or (None, 0) if unset."""
    entry = await store.get(CONFIGURATION_KEY)
    if entry is None:
        return None, 0
    return configuration.decode(entry.value), entry.mod_revision


async def update_configuration(store, alter):
    """Replace the configuration by `alter(current)`; return the new one.

    The write is a compare-and-swap. If the store's answer is lost, the change's
    id in the stored configuration shows whether the write took effect. If
    another operator wrote first, `alter` is applied to the newer configuration.
    """
    for _ in range(MAX_SWAP_ATTEMPTS):
        current, revision = await read_configuration(store)
        change_id = secrets.token_hex(8)
        cfg = configuration.next_version(alter(current), current, change_id)
        version = cfg.version
        data = configuration.encode(configuration.check(cfg))

        async def check(change_id=change_id, version=version):
            latest, _ = await read_configuration(store)
            if latest is None or latest.version < version:
                return None
            return change_id in latest.recent_changes

        if await retry_until_known(
            lambda data=data, revision=revision: store.swap(
                CONFIGURATION_KEY, data, revision
            ),
            check,
        ):
            return cfg
        await asyncio.sleep(random.uniform(0.01, 0.1))
    raise UserError("the configuration is being changed by other operators; try again")


async def apply(store, cfg):
    """Store a generated configuration; return it with its new version."""
    return await update_configuration(store, lambda current: merge_keys(cfg, current))


def _workspace(cfg, name):
    if cfg is None:
        raise UserError("no configuration has been applied yet")
    if name not in cfg.workspaces:
        expected = ", ".join(sorted(cfg.workspaces))
        raise UserError(f"unknown workspace {name!r}, expected one of {expected}")
    return cfg.workspaces[name]


async def give_key(store, workspace, key_id, key=None):
    """Add a key to a workspace; return (key, configuration)."""
    key = key or secrets.token_urlsafe(24)

    def alter(current):
        spec = _workspace(current, workspace)
        if any(k.id == key_id for k in spec.keys):
            raise UserError(f"workspace {workspace!r} already has a key {key_id!r}")
        keys = (*spec.keys, Key(key_id, key_hash(key)))
        workspaces = {**current.workspaces, workspace: spec._replace(keys=keys)}
        return current._replace(workspaces=workspaces)

    return key, await update_configuration(store, alter)


async def withdraw_key(store, workspace, key_id):
    """Withdraw a workspace's key permanently; return the configuration."""

    def alter(current):
        spec = _workspace(current, workspace)
        removed = [key.hash for key in spec.keys if key.id == key_id]
        if not removed:
            raise UserError(f"workspace {workspace!r} has no key {key_id!r}")
        keys = tuple(key for key in spec.keys if key.id != key_id)
        workspaces = {**current.workspaces, workspace: spec._replace(keys=keys)}
        hashes = (*current.withdrawn.get(workspace, ()), *removed)
        withdrawn = {**current.withdrawn, workspace: hashes}
        return current._replace(workspaces=workspaces, withdrawn=withdrawn)

    return await update_configuration(store, alter)


async def set_database_leaving(store, database, leaving):
    """Set or clear the leaving mark of a database; return the configuration."""

    def alter(current):
        if current is None:
            raise UserError("no configuration has been applied yet")
        for name, group in current.groups.items():
            if database in group.databases:
                spec = group.databases[database]._replace(leaving=leaving)
                databases = {**group.databases, database: spec}
                groups = {**current.groups, name: group._replace(databases=databases)}
                return current._replace(groups=groups)
        raise UserError(f"database {database!r} is in no group")

    return await update_configuration(store, alter)


async def set_evacuated(store, data_centre, is_evacuated):
    """Begin or end the evacuation of a data centre; return the configuration."""

    def alter(current):
        if current is None:
            raise UserError("no configuration has been applied yet")
        known = configuration.data_centres(current) | set(current.evacuated)
        if data_centre not in known:
            expected = ", ".join(sorted(known))
            raise UserError(
                f"unknown data centre {data_centre!r}, expected one of {expected}"
            )
        names = set(current.evacuated) - {data_centre}
        if is_evacuated:
            names.add(data_centre)
        return current._replace(evacuated=tuple(sorted(names)))

    return await update_configuration(store, alter)


async def fetch_reports(cfg, store):
    """Return {instance: report} of all registered instances.

    The report of an instance that does not respond is None, as is that of one whose
    entry or report can't be read.
    """
    entries, _ = await store.get_prefix(INSTANCE_PREFIX)

    async def fetch(entry):
        name = entry.key.removeprefix(INSTANCE_PREFIX)
        try:
            address = decoding.decode(entry.value, InstanceDocument)["peer_address"]
            decoding.parse_address(address)
            client = PeerClient(cfg.addresses.get(name, address), cfg.peer_secret)
            report = await client.call("report")
            client.close()
            return name, decoding.decode(report.json, dict) if report else None
        except MalformedDocument:
            return name, None

    return dict(await asyncio.gather(*[fetch(entry) for entry in entries]))


async def wait_in_force(cfg, store, version, timeout_s):
    """Wait until all instances have a version in force.

    Return the names of those that do not have it by the timeout.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout_s
    while True:
        reports = await fetch_reports(cfg, store)
        behind = [n for n, r in reports.items() if r is None or r["version"] < version]
        if not behind or loop.time() > end:
            return behind
        await asyncio.sleep(REPORT_POLL_S)


async def with_store(cfg, func):
    """Call `func(store)` with an open store, which is closed afterwards."""
    store = Store(cfg.store)
    await store.open()
    try:
        return await func(store)
    finally:
        await store.close()
