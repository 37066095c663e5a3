"""What an instance knows of its deployment: routes, groups, databases, workspaces."""

from typing import NamedTuple


class Route(NamedTuple):
    """A name that callers connect to, and what they may expect of it.

    `freshness` is "current" (every acknowledged write), "session" (the
    session's own writes, others up to `max_age_s` old) or "aged" (all writes
    up to `max_age_s` old).
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

    `sync_replicas` is the number of replicas that hold a write before it is
    acknowledged; `connections` the limit of each database for all callers.
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
    """A database as it last reported itself."""

    name: str
    group: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_leaving: bool
    is_primary: bool
    born: int


class Configuration(NamedTuple):
    """A version of the operators' configuration."""

    version: int
    routes: dict
    groups: dict
    workspaces: dict
    keys: dict
    transaction_idle_s: float
