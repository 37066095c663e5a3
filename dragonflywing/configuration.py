"""The operators' configuration: workspaces, groups, routes and limits."""

import re
from typing import Any, NamedTuple

import msgspec

from dragonflywing import decoding, typed
from dragonflywing.decoding import MalformedDocument
from dragonflywing.errors import UserError

MAX_BYTES = 1_000_000
MAX_RECENT_CHANGES = 256
MAX_RATE = 1e7  # statements/s for a rate, statements for a burst
NAME_RE = re.compile(r"[a-z][a-z0-9_-]{0,62}")
ADDRESS_RE = re.compile(r"[0-9.]+:[0-9]{1,5}")
HASH_RE = re.compile(r"[0-9a-f]{40}")


class Key(NamedTuple):
    """An access key of a workspace: an id for operators and SHA1(SHA1(key)) in hex."""

    id: str
    hash: str


class Workspace(NamedTuple):
    """A customer: its group, its keys and its limits over the whole fleet.

    `rate` is in statements/s, `burst` in statements.
    """

    group: str
    rate: float
    burst: float
    keys: tuple[Key, ...]


class Database(NamedTuple):
    """A database of a group: its address and data centre.

    A database that is leaving gets no new work.
    """

    address: str
    data_centre: str
    leaving: bool = False


class Group(NamedTuple):
    """A set of databases that replicate the same data.

    Each database accepts `connections` connections and runs `slots` statements
    at a time.
    """

    databases: dict[str, Database]
    connections: int
    slots: int


class Route(NamedTuple):
    """A named class of reads, which may return data up to `max_age_ms` old.

    An open route serves reads of `workspace` to callers without a key.
    """

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
    # Hashes of withdrawn keys by workspace; these keys cannot be added again.
    withdrawn: dict[str, tuple[str, ...]] = {}
    # Ids of the latest changes. An operator whose write got no answer looks for
    # its id here to learn whether the write took effect.
    recent_changes: tuple[str, ...] = ()
    # Data centres whose databases must not be used.
    evacuated: tuple[str, ...] = ()


def is_earlier(cfg, later):
    """Return whether a configuration is an earlier version of a later one.

    Two versions may have no common history after the store came back from an older
    copy and operators changed that.
    """
    return cfg.version < later.version and cfg.change_id in later.recent_changes


def _require(condition, field, expected):
    if not condition:
        raise UserError(f"field {field}: expected {expected}")


def _check_workspace(name, workspace, cfg, require):
    field = f"workspaces.{name}"
    require(
        NAME_RE.fullmatch(name), field, "a letter, then up to 62 of a-z, 0-9, _ and -"
    )
    require(workspace.group in cfg.groups, f"{field}.group", "the name of a group")
    in_range = 0 < workspace.rate <= MAX_RATE and workspace.burst <= MAX_RATE
    require(in_range, f"{field}.rate", f"more than 0, at most {MAX_RATE:g}")
    # Each instance's share of the burst must hold at least one statement.
    expected = f"at least {cfg.fleet_size} statements, one for each instance"
    require(workspace.burst >= cfg.fleet_size, f"{field}.burst", expected)
    ids = [key.id for key in workspace.keys]
    require(len(set(ids)) == len(ids), f"{field}.keys", "unique key ids")
    for key in workspace.keys:
        require(
            HASH_RE.fullmatch(key.hash), f"{field}.keys.{key.id}.hash", "40 hex digits"
        )
        is_withdrawn = key.hash in cfg.withdrawn.get(name, ())
        require(
            not is_withdrawn, f"{field}.keys.{key.id}", "a key that was not withdrawn"
        )


def _check_group(name, group, cfg, require):
    field = f"groups.{name}"
    require(
        NAME_RE.fullmatch(name), field, "a letter, then up to 62 of a-z, 0-9, _ and -"
    )
    require(len(group.databases) >= 1, f"{field}.databases", "at least 1 database")
    require(group.slots >= 1, f"{field}.slots", "at least 1 slot")
    for database, spec in group.databases.items():
        require(
            ADDRESS_RE.fullmatch(spec.address),
            f"{field}.databases.{database}.address",
            "IP:port",
        )
    require(
        group.connections >= cfg.fleet_size,
        f"{field}.connections",
        f"at least one for each of {cfg.fleet_size} instances",
    )


def _check_route(name, route, cfg, require):
    field = f"routes.{name}"
    require(route.max_age_ms >= 0, f"{field}.max_age_ms", "0 or more milliseconds")
    if route.open:
        require(route.workspace in cfg.workspaces, f"{field}.workspace", "a workspace")


def _check_databases(cfg, current):
    """Raise UserError if a group of `current` has other databases in `cfg`.

    Instances that count different databases can confirm a write and promote a
    primary by majorities that have no database in common.
    """
    for name in cfg.groups.keys() & current.groups.keys():
        names = sorted(current.groups[name].databases)
        if sorted(cfg.groups[name].databases) != names:
            raise UserError(
                f"field groups.{name}.databases: expected {', '.join(names)}, "
                "fixed while the group exists"
            )


def merge_keys(cfg, current):
    """Return `cfg` with the keys that only `current` has, and its withdrawn hashes.

    `cfg` is generated from a questionnaire, which does not list keys that were
    given later, nor evacuated data centres. `current` is None if the store has no
    configuration yet.
    """
    if current is None:
        return cfg
    if cfg.fleet_size != current.fleet_size:
        raise UserError(
            f"field fleet_size: expected {current.fleet_size}, fixed at the first apply"
        )
    _check_databases(cfg, current)
    workspaces = {}
    for name, spec in cfg.workspaces.items():
        existing = current.workspaces[name].keys if name in current.workspaces else ()
        ids = {key.id for key in spec.keys}
        newer = tuple(key for key in existing if key.id not in ids)
        workspaces[name] = spec._replace(keys=spec.keys + newer)
    return cfg._replace(
        workspaces=workspaces,
        withdrawn=current.withdrawn,
        evacuated=current.evacuated,
    )


def next_version(cfg, current, change_id):
    """Return `cfg` as the version that follows `current`, None for no version."""
    recent_changes = (current.recent_changes if current else ()) + (change_id,)
    return cfg._replace(
        version=current.version + 1 if current else 1,
        change_id=change_id,
        recent_changes=recent_changes[-MAX_RECENT_CHANGES:],
    )


def data_centres(cfg):
    """Return the data centres that have a database."""
    groups = cfg.groups.values()
    return {item.data_centre for group in groups for item in group.databases.values()}


def check(cfg, require=_require):
    """Return the configuration, or raise UserError that names the invalid field.

    `require(condition, field, expected)` may record invalid fields instead of raising.
    """
    require(cfg.version >= 1, "version", "1 or more")
    require(cfg.change_id, "change_id", "a non-empty string")
    require(cfg.fleet_size >= 1, "fleet_size", "at least 1 instance")
    names = [name for group in cfg.groups.values() for name in group.databases]
    require(
        len(set(names)) == len(names), "groups", "database names unique over all groups"
    )
    for name, group in cfg.groups.items():
        _check_group(name, group, cfg, require)
    for name, workspace in cfg.workspaces.items():
        _check_workspace(name, workspace, cfg, require)
    for name, route in cfg.routes.items():
        _check_route(name, route, cfg, require)
    return cfg


def decode(data):
    """Parse and check a configuration from bytes of JSON."""
    if len(data) > MAX_BYTES:
        raise UserError(f"configuration has {len(data)} bytes, at most {MAX_BYTES}")
    try:
        value = decoding.decode(data, Any)
    except MalformedDocument as exc:
        raise UserError(f"configuration is not JSON: {exc}") from None
    return check(typed.convert(value, Configuration))


def encode(cfg):
    """Return a configuration as bytes of JSON."""
    value = typed.to_plain(cfg)
    if not cfg.evacuated:
        del value["evacuated"]  # unknown to earlier builds
    data = msgspec.json.encode(value)
    if len(data) > MAX_BYTES:
        raise UserError(f"configuration has {len(data)} bytes, at most {MAX_BYTES}")
    return data
