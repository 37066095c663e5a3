"""Translates the platform's document and store for the checks of a configuration."""

from typing import NamedTuple
from urllib.parse import urlsplit

from dragonflywing import checking, typed
from dragonflywing.checking import Finding, Model, Report, join
from dragonflywing.cluster import MEMBER_PREFIX
from dragonflywing.errors import UserError
from dragonflywing.metrics import Metrics
from dragonflywing.operations import OpsSettings
from dragonflywing.platform import documents, lines, settings
from dragonflywing.platform.store import PlatformStore

MAX_NUMBER = 1e12  # for any limit; integers up to 2^53 are exact in JSON


class Field(NamedTuple):
    """A member of an object: what it must be, in a function and in words."""

    is_valid: object
    expected: str
    is_required: bool = False


class InForce(NamedTuple):
    """What the store holds, for comparison; None for what is not known.

    `data` is the document in force, `databases` are the listed ones, `evacuated`
    the names of data centres, `instances` the number of live ones.
    """

    data: bytes | None
    databases: tuple | None = None
    evacuated: tuple = ()
    instances: int | None = None
    regions: dict | None = None


def _is_text(value):
    return isinstance(value, str) and not checking.SURROGATE_RE.search(value)


def _is_number(value):
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return is_number and 0 <= value <= MAX_NUMBER


def _is_whole(value):
    return _is_number(value) and isinstance(value, int)


def _is_list_of_texts(value):
    return isinstance(value, list) and all(map(_is_text, value))


def _is_freshness(value):
    return isinstance(value, str) and value in documents.FRESHNESS


def _or_null(is_valid):
    return lambda value: value is None or is_valid(value)


NUMBER = Field(_is_number, f"a number from 0 to {MAX_NUMBER:g}")
WHOLE = Field(_is_whole, f"a whole number from 0 to {MAX_NUMBER:g}")
TEXT = Field(_is_text, "text", True)
REGIONS = Field(_or_null(_is_list_of_texts), "a list of names")
FIELDS = {
    "routes": {
        "name": TEXT,
        "database": TEXT,
        "service": TEXT,
        "type": Field(
            _is_freshness, f"one of {', '.join(sorted(documents.FRESHNESS))}", True
        ),
        "timeout_ms": NUMBER._replace(is_required=True),
        "slo_ms": NUMBER,
        "priority": WHOLE,
        "max_staleness_ms": NUMBER._replace(is_valid=_or_null(_is_number)),
        "public": Field(lambda value: isinstance(value, bool), "true or false"),
        "allowed_regions": REGIONS,
    },
    "services": {
        "name": TEXT,
        "max_conns": WHOLE,
        "sync_replicas": WHOLE,
        "warmup_s": NUMBER,
        "cold_per_s": NUMBER,
    },
    "tenants": {
        "name": TEXT,
        "rate_per_s": NUMBER._replace(is_required=True),
        "burst": NUMBER._replace(is_required=True),
        "priority": WHOLE,
        "api_keys": Field(_is_list_of_texts, "a list of keys", True),
        "allowed_regions": REGIONS,
    },
}
LIMITS = {
    "txn_idle_ms": NUMBER,
    "header_timeout_ms": NUMBER,
    "idle_timeout_ms": NUMBER,
    "max_body_bytes": WHOLE,
}
TOP = {
    "config_version": WHOLE._replace(is_required=True),
    "routes": Field(lambda value: isinstance(value, list), "a list", True),
    "services": Field(lambda value: isinstance(value, list), "a list", True),
    "tenants": Field(lambda value: isinstance(value, list), "a list"),
    "limits": Field(lambda value: isinstance(value, dict), "an object"),
}
FIELD_NAMES = {
    "connections": "max_conns",
    "rate": "rate_per_s",
    "max_age_s": "max_staleness_ms",
    "timeout_s": "timeout_ms",
}
# Members whose values are shown. Any other may be a misspelled one that holds keys.
SHOWN = {*TOP, *LIMITS, *(x for names in FIELDS.values() for x in names)} - {"api_keys"}
# The members by which the instances find an entry; a later one replaces an earlier.
NAMES = {"routes": "database", "services": "name", "tenants": "name"}


def _read(fields, item, path, report):
    """Return the valid members of an object; report the others."""
    if not isinstance(item, dict):
        report(path or "(top)", "expected an object")
        return {}
    valid = {}
    for name, field in fields.items():
        if name not in item:
            if field.is_required:
                report(join(path, name), "missing")
        elif field.is_valid(item[name]):
            valid[name] = item[name]
        else:
            report(join(path, name), f"expected {field.expected}")
    return valid


def check(document, data, in_force=None):
    """Return the Report on a Document in the platform's format, parsed from `data`.

    It has an error if the instances reject the document. They accept some values of
    a wrong type, which fail later, so the reverse doesn't hold. `in_force` is an
    InForce or None.
    """
    findings = list(document.findings) + checking.check_size(len(data))
    if not document.is_parsed:
        return Report(findings, None)

    def report(path, message):
        findings.append(Finding("error", path, "wrong_field", message))

    top = _read(TOP, document.value, "", report)
    limits = _read(LIMITS, top.get("limits", {}), "limits", report)
    entries = {}
    for kind, fields in FIELDS.items():
        entries[kind] = {}
        for i, item in enumerate(top.get(kind, [])):
            path = f"{kind}[{i}]"
            valid = _read(fields, item, path, report)
            name = valid.get(NAMES[kind], path)
            if name in entries[kind]:
                message = f"{name!r} occurs before, the last entry counts"
                findings.append(Finding("warning", path, "duplicate_name", message))
            entries[kind][name] = path, valid
    if not any(finding.severity == "error" for finding in findings):
        try:
            documents.decode_configuration(data)
        except UserError:
            report("(top)", "rejected by the instances")
    findings += checking.find_warnings(_model(entries, limits, in_force))
    return Report(findings, checking.redact(document.value, _is_secret))


def _is_secret(name):
    return name not in SHOWN


def content(data):
    """Return a document in force (None: none) to compare, or raise UserError."""
    if data is None:
        return {}
    document = checking.parse(data, checking.PLATFORM)
    if not document.is_parsed:
        raise UserError("the version in force is not JSON")
    return checking.redact(document.value, _is_secret)


def _model(entries, limits, in_force):
    in_force = in_force or InForce(None)
    return Model(
        groups={
            name: checking.Group(
                path,
                item.get("max_conns", 16),
                _databases(name, in_force),
                item.get("warmup_s", 0.0),
                item.get("cold_per_s", 0.0),
            )
            for name, (path, item) in entries["services"].items()
        },
        workspaces={
            name: checking.Workspace(
                path,
                None,
                item.get("rate_per_s", 0.0),
                item.get("burst", 0.0),
                {
                    f"{path}.api_keys[{i}]": key
                    for i, key in enumerate(item.get("api_keys", []))
                },
                frozenset(item.get("allowed_regions") or ()),
            )
            for name, (path, item) in entries["tenants"].items()
        },
        routes={
            name: checking.Route(
                path,
                item.get("service"),
                item.get("public", False),
                None,
                documents.FRESHNESS.get(item.get("type")),
                (item.get("max_staleness_ms") or 0) / 1000,
                item["timeout_ms"] / 1000 if "timeout_ms" in item else None,
                item["slo_ms"] / 1000 if "slo_ms" in item else None,
                frozenset(item.get("allowed_regions") or ()),
            )
            for name, (path, item) in entries["routes"].items()
        },
        evacuated={
            documents.EVACUATION_PREFIX + name: name for name in in_force.evacuated
        },
        regions=in_force.regions,
        instances=in_force.instances,
        fields=FIELD_NAMES,
        body=(
            "limits.max_body_bytes",
            limits.get("max_body_bytes", 0),
            lines.MAX_LINE_BYTES,
        ),
    )


def _databases(group, in_force):
    if in_force.databases is None:
        return None
    return tuple(
        checking.Database(
            item.data_centre,
            item.slots,
            not item.is_leaving and item.data_centre not in in_force.evacuated,
        )
        for item in in_force.databases
        if item.group == group
    )


def decode_settings(value):
    """Return the store's (host, port) and the regions in parsed settings.

    These are the platform's settings file, or those of dfw-ops, which don't name the
    regions; they are None then.
    """
    if isinstance(value, dict) and "platform" in value:
        cfg = settings.decode(value)
        names = cfg.regions.items()
        return cfg.store_address, {k: v for k, v in names if isinstance(v, str)}
    cfg = typed.convert(value, OpsSettings)
    try:
        url = urlsplit(cfg.store[0])
        address = url.hostname, url.port
    except (IndexError, ValueError):
        address = None, None
    if None in address:
        raise UserError("field store: expected a list of URLs with host and port")
    return address, None


async def read_in_force(address, regions):
    """Return what is InForce in the store, or raise StoreError."""
    store = PlatformStore(*address, Metrics())
    try:
        item, _ = await store.get(documents.CONFIGURATION_KEY)
        listed, _ = await store.get_prefix(documents.DATABASE_PREFIX)
        evacuated, _ = await store.get_prefix(documents.EVACUATION_PREFIX)
        members, _ = await store.get_prefix(MEMBER_PREFIX)
    finally:
        store.close()
    databases = [documents.decode_database(x.key, x.value) for x in listed]
    return InForce(
        item.value if item else None,
        tuple(x for x in databases if x is not None),
        tuple(x.key.removeprefix(documents.EVACUATION_PREFIX) for x in evacuated),
        len(members),
        regions,
    )
