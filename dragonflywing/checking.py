"""Checks a configuration before it is applied: its findings and its changes.

Both formats are translated to a Model, which the warnings are found in.
"""

import hashlib
import json
import re
from collections import Counter, defaultdict
from typing import NamedTuple

import json5

from dragonflywing import configuration, typed
from dragonflywing.errors import UserError

OWN = "own"
PLATFORM = "platform"
PLATFORM_MEMBERS = {"config_version", "services", "tenants"}
OWN_MEMBERS = {"fleet_size", "groups", "workspaces"}
# Larger files aren't read. Files with comments are parsed at some 30 KB/s.
MAX_FILE_BYTES = 8 * configuration.MAX_BYTES
MAX_DEPTH = 32  # both formats use less than 8
# The most statements per second of one slot. The shortest that were measured without
# the proxy took 0.22 ms (docs/MEASURES.md, "One instance").
MAX_SLOT_RATE = 5000
# What `dfw-ops apply` replaces; the file's values have no effect.
MAINTAINED = ("version", "change_id", "recent_changes")
SURROGATE_RE = re.compile("[\ud800-\udfff]")
SURROGATE_ESCAPE_RE = re.compile(r"\\u[dD][89a-fA-F]")
LINE_RE = re.compile(r"<string>:(\d+) (.*)", re.DOTALL)
# Members that hold secrets, and as part of the name of a member of either format.
OWN_SECRETS = {"hash", "withdrawn"}
SECRET_RE = re.compile("api_?key|secret|password|token", re.I)
IDENTITY_MEMBERS = ("database", "id", "name")


class Finding(NamedTuple):
    """A fault of a configuration; `severity` is "error" or "warning"."""

    severity: str
    path: str
    code: str
    message: str


class Change(NamedTuple):
    """A difference from the version in force: "added", "removed" or "changed"."""

    kind: str
    path: str
    old: object
    new: object


class Document(NamedTuple):
    """A file; `value` is only valid if its text could be parsed."""

    format: str
    value: object
    findings: list
    is_parsed: bool = False


class Report(NamedTuple):
    """The findings of a configuration, and its content without secrets.

    The content at `invalid` paths is not what the file contains.
    """

    findings: list
    content: object
    invalid: frozenset = frozenset()


class Database(NamedTuple):
    """A database; it is usable if it is neither leaving nor evacuated."""

    data_centre: str
    slots: int
    is_usable: bool


class Group(NamedTuple):
    """A group; `databases` is None if they are not known."""

    path: str
    connections: int
    databases: tuple | None
    warmup_s: float = 0.0
    cold_per_s: float = 0.0


class Workspace(NamedTuple):
    """A workspace; `group` is None if it uses all of them.

    `keys` maps paths to what identifies a key.
    """

    path: str
    group: str | None
    rate: float
    burst: float
    keys: dict
    regions: frozenset = frozenset()


class Route(NamedTuple):
    """A route. Without a `group` it reads from the group of the caller's workspace.

    `workspace` is the one that an open route serves. Times are None if unknown.
    """

    path: str
    group: str | None
    is_open: bool
    workspace: str | None = None
    freshness: str | None = None
    max_age_s: float = 0.0
    timeout_s: float | None = None
    target_s: float | None = None
    regions: frozenset = frozenset()


class Model(NamedTuple):
    """What the warnings are found in; the entries are by name.

    `regions` maps data centres to regions, `evacuated` paths to data centres.
    `regions` and `instances` are None if unknown. `body` is the path and size of
    messages that the operators expect, and the most that is possible. `fields` has
    the names of the format's fields that differ from those here.
    """

    groups: dict
    workspaces: dict
    routes: dict
    evacuated: dict
    withdrawn: dict = {}
    regions: dict | None = None
    instances: int | None = None
    body: tuple = ("", 0, 0)
    fields: dict = {}


def join(path, name):
    """Return the path of an object's member."""
    return f"{path}.{name}" if path else name


def mask(value):
    """Return a short hash in place of a secret."""
    text = value if isinstance(value, str) else json.dumps(value, sort_keys=True)
    data = text.encode("utf-8", "surrogatepass")
    return f"sha256:{hashlib.sha256(data).hexdigest()[:8]}"


# Text


def parse(data, document_format=None):
    """Return the Document in the bytes of a file; a format that is None is detected.

    The own format is JSON with comments, the platform's is JSON.
    """
    chosen = document_format or OWN
    if len(data) > MAX_FILE_BYTES:
        message = f"more than {MAX_FILE_BYTES} bytes, not parsed"
        return Document(chosen, None, [_error("(file)", "too_large", message)])
    try:
        text = data.decode()
    except UnicodeDecodeError as exc:
        line = 1 + data.count(b"\n", 0, exc.start)
        finding = _error(f"line {line}", "not_text", "expected UTF-8")
        return Document(chosen, None, [finding])
    duplicates = {}

    def note_duplicates(pairs):
        result = dict(pairs)
        if len(result) < len(pairs):
            counts = Counter(name for name, _ in pairs)
            repeated = sorted(name for name, count in counts.items() if count > 1)
            # Keeps the object, as another one could get the same id after its end.
            duplicates[id(result)] = result, repeated
        return result

    value, error, is_parsed = _parse_json(text, document_format, note_duplicates)
    if document_format is None:
        chosen = _detect(value, text)
    findings = []
    if error is not None and (not is_parsed or chosen == PLATFORM):
        findings.append(_error(error[0], "not_json", error[1]))
    if not is_parsed:
        return Document(chosen, None, findings)
    value = _copy(value, "", 0, False, duplicates, findings)
    return Document(chosen, value, findings, True)


def _parse_json(text, document_format, hook):
    """Return the value of JSON text, an error's (line, message), whether it is parsed.

    Text that is JSON only with comments is parsed and has an error. The fast parser of
    the standard library comes first. It joins escaped surrogates, which `dfw-ops apply`
    doesn't.
    """
    error = None
    if document_format == PLATFORM or not SURROGATE_ESCAPE_RE.search(text):
        try:
            return json.loads(text, object_pairs_hook=hook), None, True
        except (ValueError, RecursionError) as exc:
            error = _describe(exc)
    if document_format == PLATFORM or (
        document_format is None and '"config_version"' in text
    ):
        return None, error, False
    try:
        return json5.loads(text, object_pairs_hook=hook), error, True
    except (ValueError, RecursionError) as exc:
        return None, _describe(exc), False


def _describe(exc):
    if isinstance(exc, RecursionError):
        return "(top)", "nested too deeply"
    if isinstance(exc, json.JSONDecodeError):
        return f"line {exc.lineno}", f"{exc.msg} at column {exc.colno}"
    match = LINE_RE.match(str(exc))
    return (f"line {match[1]}", match[2]) if match else ("(top)", str(exc))


def _detect(value, text):
    if not isinstance(value, dict):
        return PLATFORM if value is None and '"config_version"' in text else OWN
    is_platform = PLATFORM_MEMBERS & value.keys() and not OWN_MEMBERS & value.keys()
    return PLATFORM if is_platform else OWN


def _copy(value, path, depth, in_secret, duplicates, findings):
    """Return the value without what is nested too deeply; add findings."""
    if not isinstance(value, (dict, list)):
        return value
    if depth > MAX_DEPTH:
        message = f"more than {MAX_DEPTH} levels, not checked"
        findings.append(Finding("warning", path, "too_deep", message))
        return None
    _, repeated = duplicates.get(id(value), (None, ()))
    for name in repeated:
        shown = mask(name) if in_secret else name
        message = "occurs more than once in its object, the last one counts"
        finding = Finding("warning", join(path, shown), "duplicate_member", message)
        findings.append(finding)
    rest = duplicates, findings
    if isinstance(value, list):
        return [
            _copy(item, f"{path}[{i}]", depth + 1, in_secret, *rest)
            for i, item in enumerate(value)
        ]
    result = {}
    for name, item in value.items():
        shown = mask(name) if in_secret else name
        secret = in_secret or bool(SECRET_RE.search(name))
        result[name] = _copy(item, join(path, shown), depth + 1, secret, *rest)
    return result


def _error(path, code, message):
    return Finding("error", path, code, message)


def check_size(size, severity="error"):
    """Return the Findings of a configuration's size in bytes."""
    if size <= configuration.MAX_BYTES:
        return []
    message = f"{size} bytes, expected at most {configuration.MAX_BYTES}"
    return [Finding(severity, "(file)", "too_large", message)]


# The own format


def check_own(document, size, current=None):
    """Return the Report on a Document in the own format of `size` bytes.

    It has an error if and only if `dfw-ops apply` rejects the file while the
    Configuration `current` is in force (None: none is).
    """
    findings = list(document.findings)
    if not document.is_parsed:
        return Report(findings, None)

    def report(path, message):
        findings.append(_error(path, "wrong_field", message))

    cfg = typed.convert(document.value, configuration.Configuration, "", report)
    # A placeholder of an invalid field isn't a fault of its own.
    invalid = frozenset(
        item.path.partition("[")[0] for item in findings if item.severity == "error"
    )
    seen = set()

    def require(condition, path, expected):
        if (
            condition
            or (path, expected) in seen
            or not invalid.isdisjoint(_prefixes(path))
        ):
            return
        seen.add((path, expected))
        findings.append(_error(path, "invalid_value", f"expected {expected}"))

    configuration.check(cfg, require)
    result = cfg
    try:
        result = configuration.merge_keys(cfg, current)
    except UserError as exc:
        field, _, message = str(exc).partition(": ")
        field = field.removeprefix("field ")
        require(False, field, message.removeprefix("expected "))
    result = configuration.next_version(result, current, "0" * 16)
    configuration.check(result, require)
    plain = typed.to_plain(result)
    unencodable = list(_surrogates(plain, ""))
    findings += [
        _error(path, "not_encodable", "a character that can't be written as UTF-8")
        for path in unencodable
    ]
    if not unencodable:
        found = _find_size_errors(result)
        findings += found or check_size(size, "warning")
    findings += find_warnings(_own_model(result))
    return Report(findings, own_content(result), invalid)


def _prefixes(path):
    """Yield a path and those of the objects that it is in."""
    while path:
        yield path
        path = path.rpartition(".")[0]


def _find_size_errors(cfg):
    try:
        configuration.encode(cfg)
    except UserError as exc:
        return [_error("(file)", "too_large", str(exc))]
    return []


def _surrogates(value, path):
    """Yield the paths of texts that aren't valid in UTF-8."""
    if isinstance(value, dict):
        for name, item in value.items():
            if SURROGATE_RE.search(name):
                yield join(path, name)
            yield from _surrogates(item, join(path, name))
    elif isinstance(value, list):
        for i, item in enumerate(value):
            yield from _surrogates(item, f"{path}[{i}]")
    elif isinstance(value, str) and SURROGATE_RE.search(value):
        yield path


def decode_own(data):
    """Return the Configuration in a file's bytes, or raise UserError."""
    document = parse(data, OWN)
    if not document.is_parsed:
        raise UserError("the version in force is not JSON with comments")
    cfg = typed.convert(document.value, configuration.Configuration)
    return configuration.check(cfg)


def own_content(cfg):
    """Return a Configuration (None: none) as plain data to compare, without secrets."""
    if cfg is None:
        return {}
    plain = typed.to_plain(cfg)
    plain = {name: item for name, item in plain.items() if name not in MAINTAINED}
    return redact(plain, OWN_SECRETS.__contains__)


def _own_model(cfg):
    evacuated = set(cfg.evacuated)
    groups = {
        name: Group(
            f"groups.{name}",
            item.connections,
            tuple(
                Database(
                    x.data_centre,
                    item.slots,
                    not x.leaving and x.data_centre not in evacuated,
                )
                for x in item.databases.values()
            ),
        )
        for name, item in cfg.groups.items()
    }
    workspaces = {
        name: Workspace(
            f"workspaces.{name}",
            item.group,
            item.rate,
            item.burst,
            {f"workspaces.{name}.keys.{key.id}": key.hash for key in item.keys},
        )
        for name, item in cfg.workspaces.items()
    }
    routes = {
        name: Route(
            f"routes.{name}", None, item.open, item.workspace if item.open else None
        )
        for name, item in cfg.routes.items()
    }
    return Model(
        groups,
        workspaces,
        routes,
        {f"evacuated[{i}]": name for i, name in enumerate(cfg.evacuated)},
        {x: name for name, hashes in cfg.withdrawn.items() for x in hashes},
    )


# Warnings


def find_warnings(model):
    """Return the warnings on a Model, in the order of its entries."""
    findings = []

    def warn(path, code, message):
        findings.append(Finding("warning", path, code, message))

    _check_groups(model, warn)
    _check_workspaces(model, warn)
    for name, route in model.routes.items():
        _check_route(name, route, model, warn)
    _check_keys(model, warn)
    known = {x.data_centre for g in model.groups.values() for x in g.databases or ()}
    for path, data_centre in model.evacuated.items():
        if data_centre not in known:
            warn(path, "evacuated_unknown", f"no database is in {data_centre!r}")
    path, body_bytes, max_bytes = model.body
    if body_bytes > max_bytes:
        message = f"{body_bytes} bytes, but a line has at most {max_bytes}"
        warn(path, "body_above_line", message)
    return findings


def _is_unserved(group):
    """Return whether it is known that no database serves a group."""
    if group is None or group.databases is None:
        return False
    return not any(x.is_usable for x in group.databases)


def _field(model, item, name):
    return join(item.path, model.fields.get(name, name))


def _check_groups(model, warn):
    used = {x.group for x in (*model.routes.values(), *model.workspaces.values())}
    for name, group in model.groups.items():
        path = group.path
        if name not in used:
            warn(path, "unused_group", f"nothing uses the group {name!r}")
        if _is_unserved(group):
            warn(path, "unserved_group", f"no database serves the group {name!r}")
        if model.instances is not None and group.connections < model.instances:
            message = f"{group.connections}, fewer than {model.instances} instances"
            code = "fewer_connections_than_instances"
            warn(_field(model, group, "connections"), code, message)
        if group.cold_per_s and not group.warmup_s:
            message = "no effect without warmup_s, except where databases report it"
            warn(f"{path}.cold_per_s", "cold_without_warmup", message)
        if group.warmup_s and not group.cold_per_s:
            message = "no limit of the rate without cold_per_s"
            warn(f"{path}.warmup_s", "warmup_without_cold", message)


def _capacity_per_s(groups):
    """Return the statements per second that groups serve at most, None if unknown."""
    if any(group is None or group.databases is None for group in groups):
        return None
    at_a_time = sum(
        min(group.connections, database.slots)
        for group in groups
        for database in group.databases
    )
    return at_a_time * MAX_SLOT_RATE


def _check_workspaces(model, warn):
    opened = {route.workspace for route in model.routes.values() if route.is_open}
    all_capacity_per_s = _capacity_per_s(model.groups.values())
    for name, item in model.workspaces.items():
        if not item.keys and name not in opened:
            message = f"no key and no open route leads to the workspace {name!r}"
            warn(item.path, "unused_workspace", message)
        _check_regions(item, model.groups.values(), model, warn)
        capacity_per_s = all_capacity_per_s
        if item.group is not None:
            capacity_per_s = _capacity_per_s([model.groups.get(item.group)])
        for field in ("rate", "burst"):
            value = getattr(item, field)
            if capacity_per_s and value > capacity_per_s:
                message = f"{value:g}, but at most {capacity_per_s:g} are served in 1 s"
                code = f"{field}_above_capacity"
                warn(_field(model, item, field), code, message)


def _check_route(name, route, model, warn):
    path = route.path
    if route.group is not None and route.group not in model.groups:
        warn(path, "unknown_group", f"no group has the name {route.group!r}")
    if route.is_open:
        workspace = model.workspaces.get(route.workspace)
        group = route.group or (workspace.group if workspace else None)
        if _is_unserved(model.groups.get(group)):
            message = f"open, but no database serves the group {group!r}"
            warn(path, "open_route_unserved", message)
    _check_callers(name, route, model, warn)
    _check_regions(route, [model.groups.get(route.group)], model, warn)
    if None not in (route.timeout_s, route.target_s):
        if route.timeout_s < route.target_s:
            message = f"{route.timeout_s:g} s, the objective is {route.target_s:g} s"
            warn(_field(model, route, "timeout_s"), "timeout_below_objective", message)
    path = _field(model, route, "max_age_s")
    if route.freshness == "current" and route.max_age_s:
        warn(path, "useless_max_age", "reads see all writes, the age has no effect")
    if route.freshness == "aged" and not route.max_age_s:
        warn(path, "missing_max_age", "an age of 0 is the same as reading all writes")


def _check_callers(name, route, model, warn):
    disjoint = [
        item.path
        for item in model.workspaces.values()
        if route.regions and item.regions and not route.regions & item.regions
    ]
    if disjoint:
        message = f"no region in common with {len(disjoint)} workspaces, {disjoint[0]}"
        warn(f"{route.path}.allowed_regions", "disjoint_regions", message)
    if not route.is_open and len(disjoint) == len(model.workspaces):
        message = f"not open, and no workspace can use the route {name!r}"
        warn(route.path, "unused_route", message)


def _check_regions(item, groups, model, warn):
    """Warn of allowed regions without a database of the groups."""
    if model.regions is None or any(g is None or g.databases is None for g in groups):
        return
    served = {model.regions.get(x.data_centre) for g in groups for x in g.databases}
    unserved = sorted(item.regions - served)
    if unserved:
        message = f"no database is in {', '.join(unserved)}"
        warn(f"{item.path}.allowed_regions", "region_without_database", message)


def _check_keys(model, warn):
    paths = defaultdict(list)
    for name, item in model.workspaces.items():
        for path, key in item.keys.items():
            paths[key].append((name, path))
    for key, places in paths.items():
        shown = mask(key)
        (first, first_path), *others = places
        for name, path in others:
            code = "duplicate_key" if name == first else "key_in_two_workspaces"
            warn(path, code, f"the key {shown} is also at {first_path}")
        # `configuration.check` rejects one that its own workspace withdrew.
        for name, path in places:
            if model.withdrawn.get(key, name) != name:
                message = f"the key {shown} was withdrawn from {model.withdrawn[key]!r}"
                warn(path, "withdrawn_key", message)


# Differences


def redact(value, is_secret):
    """Return a document with short hashes in place of secrets.

    `is_secret(name)` says whether a member and all that it contains is one.
    """

    def copy(value, hides):
        if isinstance(value, dict):
            return {
                mask(name) if hides else name: copy(x, hides or is_secret(name))
                for name, x in value.items()
            }
        if isinstance(value, list):
            return [copy(x, hides) for x in value]
        return mask(value) if hides and value is not None else value

    return copy(value, False)


def compare(content, report):
    """Return the Changes from the content in force to that of a Report.

    Entries with a field of a wrong type are left out.
    """
    prefixes = {prefix for path in report.invalid for prefix in _prefixes(path)}
    changes = []
    for item in find_changes(content, report.content):
        path = item.path.partition("[")[0]
        if path not in prefixes and report.invalid.isdisjoint(_prefixes(path)):
            changes.append(item)
    return changes


def find_changes(old, new, path=""):
    """Yield the Changes from one document without secrets to another.

    Lists of names and of objects with a name are compared without their order.
    """
    old_items, new_items = _members(old), _members(new)
    if old_items is None or new_items is None or type(old) is not type(new):
        if old != new or isinstance(old, bool) != isinstance(new, bool):
            yield Change("changed", path, old, new)
        return
    for name in sorted(old_items.keys() | new_items.keys()):
        child = f"{path}[{name}]" if isinstance(new, list) else join(path, name)
        if name not in old_items:
            yield Change("added", child, None, new_items[name])
        elif name not in new_items:
            yield Change("removed", child, old_items[name], None)
        else:
            yield from find_changes(old_items[name], new_items[name], child)


def _members(value):
    """Return the members of a value by name, None if they have no unique names."""
    if isinstance(value, dict):
        return value
    if not isinstance(value, list):
        return None
    if all(isinstance(item, str) for item in value):
        names = value
    elif all(isinstance(item, dict) for item in value):
        names = [_identity(item) for item in value]
    else:
        return None
    items = dict(zip(names, value, strict=True))
    return None if None in items or len(items) < len(value) else items


def _identity(item):
    names = (item.get(member) for member in IDENTITY_MEMBERS)
    return next((name for name in names if isinstance(name, str)), None)
