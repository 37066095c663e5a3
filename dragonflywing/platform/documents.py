"""Decoders for the documents that operators and databases write to the store."""

from typing import Annotated, Literal, NotRequired, TypedDict

from msgspec import Meta

from dragonflywing import decoding
from dragonflywing.decoding import Count, MalformedDocument, Name, Number
from dragonflywing.deployment import (
    CallerLimits,
    Configuration,
    Database,
    Group,
    Route,
    Workspace,
)
from dragonflywing.errors import UserError

CONFIGURATION_KEY = "op/config"
DATABASE_PREFIX = "servers/"
EVACUATION_PREFIX = "op/evacuate/"
MAX_SLOTS = 65_535  # a statement has a connection, and so a port, of its own

# The freshness of a route's reads for each `type` in the document.
FRESHNESS = {
    "primary": "current",
    "bounded_staleness": "aged",
    "read_your_writes": "session",
}


class _RouteDocument(TypedDict):
    name: str
    database: str
    service: str
    type: Literal["primary", "bounded_staleness", "read_your_writes"]
    timeout_ms: Number
    slo_ms: NotRequired[Number]
    priority: NotRequired[int]
    max_staleness_ms: NotRequired[Number | None]
    public: NotRequired[bool]
    allowed_regions: NotRequired[list[str] | None]


class _ServiceDocument(TypedDict):
    name: str
    max_conns: NotRequired[Count]
    sync_replicas: NotRequired[Count]
    warmup_s: NotRequired[Number]
    cold_per_s: NotRequired[Number]


class _TenantDocument(TypedDict):
    name: str
    api_keys: list[str]
    rate_per_s: Number
    burst: Number
    priority: NotRequired[int]
    allowed_regions: NotRequired[list[str] | None]


class _LimitsDocument(TypedDict):
    header_timeout_ms: NotRequired[Number]
    idle_timeout_ms: NotRequired[Number]
    txn_idle_ms: NotRequired[Number]
    max_body_bytes: NotRequired[Number]


class _ConfigurationDocument(TypedDict):
    config_version: Count
    routes: list[_RouteDocument]
    services: list[_ServiceDocument]
    tenants: NotRequired[list[_TenantDocument]]
    limits: NotRequired[_LimitsDocument]


class _DatabaseDocument(TypedDict):
    service: Name
    address: str
    zone: Name
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    db_role: Literal["primary", "replica"]
    born: NotRequired[Count]
    sequence: NotRequired[Count]
    warmup_left_ms: NotRequired[Annotated[float, Meta(le=1e15)]]


def _decode_route(item):
    max_staleness_ms = item.get("max_staleness_ms")
    return Route(
        name=item["name"],
        group=item["service"],
        freshness=FRESHNESS[item["type"]],
        timeout_s=item["timeout_ms"] / 1000,
        target_s=item.get("slo_ms", item["timeout_ms"]) / 1000,
        priority=item.get("priority", 0),
        max_age_s=max_staleness_ms / 1000 if max_staleness_ms else 0.0,
        is_open=item.get("public", False),
        allowed_regions=_decode_regions(item),
    )


def _decode_regions(item):
    """Return the allowed regions of a route or tenant, empty if all are allowed."""
    return frozenset(item.get("allowed_regions") or [])


def _decode_limits(limits):
    default = CallerLimits()
    return CallerLimits(
        message_s=limits.get("header_timeout_ms", default.message_s * 1000) / 1000,
        idle_s=limits.get("idle_timeout_ms", default.idle_s * 1000) / 1000,
        body_bytes=int(limits.get("max_body_bytes", default.body_bytes)),
    )


def decode_configuration(data):
    """Return the Configuration in an operator's document, or raise UserError."""
    try:
        document = decoding.decode(data, _ConfigurationDocument)
    except MalformedDocument as exc:
        raise UserError(f"malformed configuration: {exc}") from None
    limits = document.get("limits", {})
    tenants = document.get("tenants", [])
    return Configuration(
        version=document["config_version"],
        # Callers connect to the value of `database`, so routes are found by it.
        routes={item["database"]: _decode_route(item) for item in document["routes"]},
        groups={
            item["name"]: Group(
                item["name"],
                item.get("max_conns", 16),
                item.get("sync_replicas", 0),
                item.get("warmup_s", 0.0),
                item.get("cold_per_s", 0.0),
            )
            for item in document["services"]
        },
        workspaces={
            item["name"]: Workspace(
                item["name"],
                item["rate_per_s"],
                item["burst"],
                item.get("priority", 1),
                _decode_regions(item),
            )
            for item in tenants
        },
        keys={key: item["name"] for item in tenants for key in item["api_keys"]},
        transaction_idle_s=limits.get("txn_idle_ms", 3000) / 1000,
        limits=_decode_limits(limits),
    )


def decode_database(key, data):
    """Return the Database in an entry, None if it is malformed or not in use.

    The entry's `slots` is the number of statements that the database runs at once.
    """
    try:
        name = decoding.check_name(key[len(DATABASE_PREFIX) :])
        document = decoding.decode(data, _DatabaseDocument)
        host, port = decoding.parse_address(document["address"])
    except MalformedDocument:
        return None
    return Database(
        name=name,
        group=document["service"],
        host=host,
        port=port,
        data_centre=document["zone"],
        slots=document["slots"],
        is_leaving=document["state"] == "draining",
        is_primary=document["db_role"] == "primary",
        born=document.get("born", 0),
        sequence=document.get("sequence", 0),
        warmup_left_s=max(0.0, document.get("warmup_left_ms", 0.0) / 1000),
    )
