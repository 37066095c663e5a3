"""Settings of one entry instance: addresses, secrets and time limits."""

import os
from typing import NamedTuple

import json5

from dragonflywing import typed
from dragonflywing.errors import UserError

DEFAULTS_PATH = os.path.join(os.path.dirname(__file__), "entry_default.json")


class Statsd(NamedTuple):
    """The statsd server that receives metrics; an empty host disables it."""

    host: str
    port: int
    prefix: str


class Credentials(NamedTuple):
    """User and password with which the instance connects to the databases."""

    user: str
    password: str


class Tls(NamedTuple):
    """Certificate and key files for caller connections; empty paths disable TLS."""

    certificate: str
    key: str


class Times(NamedTuple):
    """Time limits, periods and lease times in seconds; see entry_default.json."""

    statement_s: float
    ack_s: float
    fence_s: float
    replica_wait_s: float
    rate_wait_s: float
    connect_s: float
    handshake_s: float
    message_s: float
    answer_s: float
    transaction_idle_s: float
    probe_s: float
    probe_timeout_s: float
    suspect_s: float
    promote_timeout_s: float
    gossip_s: float
    member_timeout_s: float
    share_lease_s: float
    instance_lease_s: float
    offline_keys_s: float
    drain_s: float
    evacuate_s: float


class EntrySettings(NamedTuple):
    """All settings of an entry instance."""

    instance: str
    data_centre: str
    host: str
    port: int
    peer_port: int
    peer_secret: str
    store: tuple[str, ...]
    seeds: tuple[str, ...]
    database: Credentials
    statsd: Statsd
    tls: Tls
    times: Times
    log_level: str
    max_statement_bytes: int
    max_callers: int
    memory_mb: int  # of this process; 0 if not limited
    max_descriptors: int  # likewise
    # Addresses that replace the published ones, by database or instance name.
    addresses: dict[str, str]


def _merge(base, overrides, path=""):
    merged = dict(base)
    for key, value in overrides.items():
        if isinstance(value, dict) and isinstance(base.get(key), dict):
            merged[key] = _merge(base[key], value, f"{path}{key}.")
        else:
            merged[key] = value
    return merged


def load(path):
    """Return the settings in a file, with defaults for those that it leaves out."""
    with open(DEFAULTS_PATH, encoding="utf-8") as file:
        defaults = json5.loads(file.read())
    try:
        with open(path, encoding="utf-8") as file:
            overrides = json5.loads(file.read())
    except OSError as exc:
        raise UserError(f"{path}: {exc.strerror}") from None
    except ValueError as exc:
        raise UserError(f"{path}: not JSON with comments: {exc}") from None
    if not isinstance(overrides, dict):
        raise UserError(f"{path}: expected an object at the top")
    return parse(_merge(defaults, overrides), path)


def parse(value, path):
    """Convert and check settings; `path` is only named in errors."""
    try:
        cfg = typed.convert(value, EntrySettings)
        for name in ("instance", "data_centre", "peer_secret"):
            if not getattr(cfg, name):
                raise UserError(f"field {name}: expected a non-empty string")
        for name, seconds in cfg.times._asdict().items():
            if seconds <= 0:
                raise UserError(f"field times.{name}: expected more than 0 seconds")
    except UserError as exc:
        raise UserError(f"{path}: {exc}") from None
    return cfg
