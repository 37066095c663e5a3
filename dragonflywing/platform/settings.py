"""Reads the settings file that the platform writes for each process."""

import json
import os
from typing import NamedTuple

from dragonflywing.errors import UserError

PATH_VARIABLE = "DRAGONFLYWING_CONFIG"
PLAN_VARIABLE = "DFW_PLAN_CONNECTIONS"


class InstanceSettings(NamedTuple):
    """Settings of one instance; times are in seconds."""

    instance: str  # the file's field node
    data_centre: str  # the file's field zone
    regions: dict  # data centre -> region
    host: str
    caller_port: int
    ready_port: int
    peer_port: int
    metrics_port: int
    store_address: tuple  # (host, port)
    duty_address: tuple  # where promotions are requested; the file's field cloud
    key_withdrawal_s: float  # a withdrawn key is refused after at most this time
    shutdown_s: float  # from SIGTERM to SIGKILL
    drain_s: float  # a leaving database receives no requests after this time
    lease_min_s: float  # the shortest lease that the store grants
    # Databases in an evacuated data centre receive no requests after this time; None
    # if data centres are not evacuated.
    evacuate_s: float | None = None
    warmup_over: float = 1.0  # factor on the rate of a cold database
    warmup_slack: float = 0.0  # statements a second beyond that rate
    memory_bytes: int | None = None  # of this process; None if not limited
    max_descriptors: int | None = None  # likewise
    # Whether connections are planned where workspaces compete for them; "1" in the
    # variable DFW_PLAN_CONNECTIONS of the deployment's run command.
    plans_connections: bool = False


def _require(document, path, kind):
    value = document
    for name in path.split("."):
        if not isinstance(value, dict) or name not in value:
            raise UserError(f"field {path}: missing")
        value = value[name]
    if not isinstance(value, kind) or isinstance(value, bool):
        raise UserError(f"field {path}: expected {kind}, found {value!r}")
    return value


def _require_address(document, path):
    text = _require(document, path, str)
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise UserError(f"field {path}: expected HOST:PORT, found {text!r}")
    return host, int(port)


def _optional(document, path, kind):
    """Return a field's value, None if it or a table on its path is absent."""
    value = document
    for name in path.split("."):
        value = value.get(name) if isinstance(value, dict) else None
    if value is None:
        return None
    return _require(document, path, kind)


def decode(document):
    """Return the InstanceSettings in a parsed file, or raise UserError."""
    number = (int, float)
    host, caller_port = _require_address(document, "listen_addrs.front")
    _, ready_port = _require_address(document, "listen_addrs.ready_addr")
    ports = _require(document, "port_range", list)
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports):
        raise UserError("field port_range: expected two ports")
    evacuate_ms = _optional(document, "bounds.evacuate_ms", number)
    memory_mb = _optional(document, "limits.memory_mb", number)
    return InstanceSettings(
        instance=_require(document, "node", str),
        data_centre=_require(document, "zone", str),
        regions=_require(document, "zones", dict),
        host=host,
        caller_port=caller_port,
        ready_port=ready_port,
        peer_port=ports[0],
        metrics_port=ports[1],
        store_address=_require_address(document, "platform.address"),
        duty_address=_require_address(document, "cloud.address"),
        key_withdrawal_s=_require(document, "bounds.revoke_ms", number) / 1000,
        shutdown_s=_require(document, "bounds.grace_s", number),
        drain_s=_require(document, "bounds.drain_ms", number) / 1000,
        lease_min_s=_require(document, "platform.ttl_min_ms", number) / 1000,
        evacuate_s=None if evacuate_ms is None else evacuate_ms / 1000,
        warmup_over=_optional(document, "bounds.warmup_over", number) or 1.0,
        warmup_slack=_optional(document, "bounds.warmup_slack", number) or 0.0,
        memory_bytes=None if memory_mb is None else int(memory_mb * 2**20),
        max_descriptors=_optional(document, "limits.max_fds", int),
    )


def load():
    """Return the settings in the file that DRAGONFLYWING_CONFIG names."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise UserError(f"variable {PATH_VARIABLE}: missing")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError) as exc:
        raise UserError(f"{path}: {exc}") from None
    plans_connections = os.environ.get(PLAN_VARIABLE) == "1"
    try:
        return decode(document)._replace(plans_connections=plans_connections)
    except UserError as exc:
        raise UserError(f"{path}: {exc}") from None
