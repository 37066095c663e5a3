"""The model of a deployment: routes, groups, workspaces, databases, configuration."""

from typing import NamedTuple


class Route(NamedTuple):
    """A name that callers connect to, with its guarantees.

    `freshness` says which writes a read must see: "current" for all acknowledged
    writes, "session" for the session's own writes and those of others that are
    older than `max_age_s`, "aged" for all writes older than `max_age_s`.
    Without a key callers may only use a route with `is_open`.
    """

    name: str
    group: str
    freshness: str
    timeout_s: float
    target_s: float
    priority: int
    max_age_s: float
    is_open: bool


class Group(NamedTuple):
    """A primary and its replicas.

    `sync_replicas` is the number of replicas that must hold a write before it is
    acknowledged, `connections` the connection limit of each database.
    """

    name: str
    connections: int
    sync_replicas: int


class Workspace(NamedTuple):
    """A workspace with its rate (operations per second) and burst."""

    name: str
    rate: float
    burst: float


class Database(NamedTuple):
    """A database as it last reported itself.

    `slots` is the number of statements that it runs at once, `born` the time at
    which its process started, `sequence` the number of its report since then.
    """

    name: str
    group: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_leaving: bool
    is_primary: bool
    born: int
    sequence: int = 0


class Configuration(NamedTuple):
    """A version of the operators' configuration; `keys` maps keys to workspaces."""

    version: int
    routes: dict
    groups: dict
    workspaces: dict
    keys: dict
    transaction_idle_s: float
