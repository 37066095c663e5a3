"""The model of a deployment: routes, groups, workspaces, databases, configuration."""

from typing import NamedTuple


class Route(NamedTuple):
    """A name that callers connect to, with its guarantees.

    `freshness` says which writes a read must see: "current" for all acknowledged
    writes, "session" for the session's own writes and those of others that are
    older than `max_age_s`, "aged" for all writes older than `max_age_s`.
    Without a key callers may only use a route with `is_open`. Statements run only
    in `allowed_regions`; an empty set allows all regions.
    """

    name: str
    group: str
    freshness: str
    timeout_s: float
    target_s: float
    priority: int
    max_age_s: float
    is_open: bool
    allowed_regions: frozenset = frozenset()


class Group(NamedTuple):
    """A primary and its replicas.

    `sync_replicas` is the number of replicas that must hold a write before it is
    acknowledged, `connections` the connection limit of each database. A database
    that has just started is cold for `warmup_s`. While it is, the whole fleet may
    send it about `cold_per_s` statements a second; 0 means no limit.
    """

    name: str
    connections: int
    sync_replicas: int
    warmup_s: float = 0.0
    cold_per_s: float = 0.0


class Workspace(NamedTuple):
    """A workspace with its rate (operations per second) and burst.

    Priority 0 is the highest. Its statements run only in `allowed_regions`; an empty
    set allows all regions.
    """

    name: str
    rate: float
    burst: float
    priority: int = 1
    allowed_regions: frozenset = frozenset()


class Database(NamedTuple):
    """A database as it last reported itself.

    `slots` is the number of statements that it runs at once, `born` the time at
    which its process started, `sequence` the number of its report since then. When it
    reported, it expected to be slow for another `warmup_left_s`.
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
    warmup_left_s: float = 0.0


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take.

    `message_s` is the time for a message to arrive, `idle_s` the time for an answer
    to be read, both without progress. `body_bytes` is the size of a message that the
    operators expect.
    """

    message_s: float = 3.0
    idle_s: float = 15.0
    body_bytes: int = 262_144


class Configuration(NamedTuple):
    """A version of the operators' configuration; `keys` maps keys to workspaces."""

    version: int
    routes: dict
    groups: dict
    workspaces: dict
    keys: dict
    transaction_idle_s: float
    limits: CallerLimits = CallerLimits()
