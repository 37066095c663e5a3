"""The operators' configuration: workspaces, groups, routes and limits."""

import re
from typing import NamedTuple

import msgspec

from dragonflywing import typed
from dragonflywing.errors import UserError

MAX_BYTES = 1_000_000
RECENT_CHANGES = 256
MAX_RATE = 1e7  # statements/s, and statements of burst
NAME = re.compile(r"[a-z][a-z0-9_-]{0,62}")
ADDRESS = re.compile(r"[0-9.]+:[0-9]{1,5}")
HASH = re.compile(r"[0-9a-f]{40}")


class Key(NamedTuple):
    """A workspace's key: an id for operators and SHA1(SHA1(key)) in hex."""

    id: str
    hash: str


class Workspace(NamedTuple):
    """A tenant: its group, keys, and rate (statements/s) and burst fleet-wide."""

    group: str
    rate: float
    burst: float
    keys: tuple[Key, ...]


class Database(NamedTuple):
    """A database of a group: its address, place and whether it is leaving."""

    address: str
    data_centre: str
    leaving: bool = False


class Group(NamedTuple):
    """A replicated group; `connections` and `slots` are limits per database."""

    databases: dict[str, Database]
    connections: int
    slots: int


class Route(NamedTuple):
    """A kind of read: the age it accepts, and a workspace if open to all."""

    max_age_ms: int = 0
    open: bool = False
    workspace: str = ""


class Configuration(NamedTuple):
    """The whole configuration at one version."""

    version: int
    change_id: str
    fleet_size: int
    workspaces: dict[str, Workspace]
    groups: dict[str, Group]
    routes: dict[str, Route]
    # Hashes of withdrawn keys by workspace; they cannot be given again.
    withdrawn: dict[str, tuple[str, ...]] = {}
    # Ids of the latest changes, by which a lost answer is settled.
    recent_changes: tuple[str, ...] = ()


def _require(condition, field, expected):
    if not condition:
        raise UserError(f"field {field}: expected {expected}")


def _check_workspace(name, workspace, cfg):
    field = f"workspaces.{name}"
    _require(NAME.fullmatch(name), field, "a name of a-z, 0-9, _ and -")
    _require(workspace.group in cfg.groups, f"{field}.group", "the name of a group")
    in_range = 0 < workspace.rate <= MAX_RATE and workspace.burst <= MAX_RATE
    _require(in_range, f"{field}.rate", f"more than 0, at most {MAX_RATE:g}")
    # Each slot of the fleet must be able to save up one statement.
    least = f"at least {cfg.fleet_size} statements, one for each instance"
    _require(workspace.burst >= cfg.fleet_size, f"{field}.burst", least)
    ids = [key.id for key in workspace.keys]
    _require(len(set(ids)) == len(ids), f"{field}.keys", "distinct ids")
    for key in workspace.keys:
        _require(HASH.fullmatch(key.hash), f"{field}.keys.{key.id}.hash", "40 hex")
        known = key.hash in cfg.withdrawn.get(name, ())
        _require(not known, f"{field}.keys.{key.id}", "a key that was not withdrawn")


def _check_group(name, group, cfg):
    field = f"groups.{name}"
    _require(NAME.fullmatch(name), field, "a name of a-z, 0-9, _ and -")
    _require(len(group.databases) >= 1, f"{field}.databases", "at least 1 database")
    _require(group.slots >= 1, f"{field}.slots", "at least 1 slot")
    for database, spec in group.databases.items():
        _require(
            ADDRESS.fullmatch(spec.address),
            f"{field}.databases.{database}.address",
            "IP:port",
        )
    _require(
        group.connections >= cfg.fleet_size,
        f"{field}.connections",
        f"at least one for each of {cfg.fleet_size} instances",
    )


def _check_route(name, route, cfg):
    field = f"routes.{name}"
    _require(route.max_age_ms >= 0, f"{field}.max_age_ms", "0 or more milliseconds")
    if route.open:
        _require(route.workspace in cfg.workspaces, f"{field}.workspace", "a workspace")


def check(cfg):
    """Raise UserError with the field if the configuration is not acceptable."""
    _require(cfg.version >= 1, "version", "1 or more")
    _require(cfg.change_id, "change_id", "a non-empty string")
    _require(cfg.fleet_size >= 1, "fleet_size", "at least 1 instance")
    names = [name for group in cfg.groups.values() for name in group.databases]
    _require(len(set(names)) == len(names), "groups", "distinct database names")
    for name, group in cfg.groups.items():
        _check_group(name, group, cfg)
    for name, workspace in cfg.workspaces.items():
        _check_workspace(name, workspace, cfg)
    for name, route in cfg.routes.items():
        _check_route(name, route, cfg)
    return cfg


def decode(data):
    """Return the checked configuration in `data`, bytes of JSON."""
    if len(data) > MAX_BYTES:
        raise UserError(f"configuration has {len(data)} bytes, at most {MAX_BYTES}")
    try:
        value = msgspec.json.decode(data)
    except msgspec.DecodeError as exc:
        raise UserError(f"configuration is not JSON: {exc}") from None
    return check(typed.convert(value, Configuration))


def encode(cfg):
    """Return the configuration as bytes of JSON."""
    data = msgspec.json.encode(typed.to_plain(cfg))
    if len(data) > MAX_BYTES:
        raise UserError(f"configuration has {len(data)} bytes, at most {MAX_BYTES}")
    return data
