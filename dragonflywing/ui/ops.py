"""The dfw-ops command: configure, operate and inspect a running fleet."""

import asyncio
import json
import os
import sys

from dragonflywing import (
    answers,
    checking,
    configuration,
    explain,
    explain_group,
    operations,
    typed,
)
from dragonflywing.errors import StoreError, UserError
from dragonflywing.platform import checking as platform_checking
from dragonflywing.ui import command

DEFAULT_WAIT_S = 20
# Exit codes of `check`.
EXIT_ERRORS = 1
EXIT_WARNINGS = 2
EXIT_UNREADABLE = 3
# Raised if the store or file in force can't be read or has malformed content.
READ_ERRORS = (
    UserError,
    StoreError,
    OSError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    RecursionError,
)
MAX_SHOWN_VALUE = 200  # characters of a value in the text of a change


def _load_settings(path):
    return typed.load(path, operations.OpsSettings)


def _run(path, action):
    cfg = _load_settings(path)
    return command.run(operations.with_store(cfg, lambda store: action(cfg, store)))


async def _wait_in_force(cfg, store, applied, wait_s):
    started = asyncio.get_running_loop().time()
    print(f"accepted version={applied.version}", flush=True)
    behind = await operations.wait_in_force(cfg, store, applied.version, wait_s)
    seconds = asyncio.get_running_loop().time() - started
    if behind:
        print(f"not yet in force on {' '.join(behind)} after {seconds:.1f} s")
        return False
    print(f"in force on every live instance after {seconds:.1f} s")
    return True


def _exit_unless(success):
    if not success:
        sys.exit(1)


class Keys:
    """Give and withdraw keys of workspaces."""

    def give(self, workspace, key_id, settings="ops.json", wait_s=DEFAULT_WAIT_S):
        """Create a key for a workspace and print it; it is not stored in clear text.

        Example: dfw-ops keys give press spring-2027
        """

        async def action(cfg, store):
            key, applied = await operations.give_key(store, workspace, key_id)
            print(f"key={key}")
            return await _wait_in_force(cfg, store, applied, wait_s)

        _exit_unless(_run(settings, action))

    def withdraw(self, workspace, key_id, settings="ops.json", wait_s=DEFAULT_WAIT_S):
        """Withdraw a key permanently, and close the connections that use it.

        Example: dfw-ops keys withdraw press spring-2027
        """

        async def action(cfg, store):
            applied = await operations.withdraw_key(store, workspace, key_id)
            return await _wait_in_force(cfg, store, applied, wait_s)

        _exit_unless(_run(settings, action))


class Ops:
    """Operate a fleet of entry instances.

    Example: dfw-ops status --settings ops.json
    """

    def __init__(self):
        self.keys = Keys()

    def questionnaire(self, output=None):
        """Write a commented questionnaire for the configuration of a new fleet.

        Example: dfw-ops questionnaire --output answers.json
        """
        with open(answers.QUESTIONNAIRE_PATH, encoding="utf-8") as file:
            text = file.read()
        _write(text, output)

    def generate(self, answers_file, output=None):
        """Generate and check a configuration from a filled-in questionnaire.

        Example: dfw-ops generate answers.json --output configuration.json
        """
        cfg = answers.generate(answers.load(answers_file))
        _write(json.dumps(typed.to_plain(cfg), indent=2) + "\n", output)

    def apply(self, configuration_file, settings="ops.json", wait_s=DEFAULT_WAIT_S):
        """Apply a configuration and wait until it is in force on every instance.

        Example: dfw-ops apply configuration.json --settings ops.json
        """
        cfg = configuration.check(
            typed.load(configuration_file, configuration.Configuration)
        )

        async def action(ops_settings, store):
            applied = await operations.apply(store, cfg)
            return await _wait_in_force(ops_settings, store, applied, wait_s)

        _exit_unless(_run(settings, action))

    def check(self, file, format=None, settings=None, against=None, json=False):
        """Check a configuration and compare it with the version in force.

        Writes nothing. --settings compares with the store, --against with a file.
        Example: dfw-ops check configuration.json --settings ops.json
        """
        sys.exit(_check(str(file), format, settings, against, json))

    def drain(self, database, stay=False, settings="ops.json", wait_s=DEFAULT_WAIT_S):
        """Mark a database as leaving, so that it gets no new work; --stay unmarks it.

        Example: dfw-ops drain orders-2
        """

        async def action(cfg, store):
            applied = await operations.set_database_leaving(store, database, not stay)
            return await _wait_in_force(cfg, store, applied, wait_s)

        _exit_unless(_run(settings, action))

    def evacuate(
        self, data_centre, cancel=False, settings="ops.json", wait_s=DEFAULT_WAIT_S
    ):
        """Stop using the databases in a data centre; --cancel uses them again.

        Example: dfw-ops evacuate duluth-a
        """

        async def action(cfg, store):
            applied = await operations.set_evacuated(store, data_centre, not cancel)
            return await _wait_in_force(cfg, store, applied, wait_s)

        _exit_unless(_run(settings, action))

    def explain(self, request, *files):
        """Show the log lines of a request and of the state behind its decisions.

        With `group` and a group's name in place of the request, show how the group's
        primaries were replaced.
        Example: dfw-ops explain 5c0e7a21d94b36f8 front-1.log front-2.log
        Example: dfw-ops explain group orders front-1.log front-2.log
        """
        group = None
        if request == "group" and files:
            group, *files = files
        lines = []
        for path in files:
            with open(path, encoding="utf-8", errors="replace") as file:
                lines += explain.parse(os.path.basename(path), file.read())
        if group is not None:
            text = explain_group.describe(str(group), lines)
            if not text:
                raise UserError(
                    f"no replacement of {group!r} in {len(files)} log files"
                )
            print("\n".join(text))
            return
        selected = explain.explain(str(request), lines)
        if not selected:
            raise UserError(f"request {request!r} not found in {len(files)} log files")
        for line in selected:
            print(f"{line.timestamp} {line.source} {line.text}")

    def status(self, settings="ops.json"):
        """Show the configuration version, groups, instances, shares and problems.

        Example: dfw-ops status --settings ops.json
        """

        async def action(cfg, store):
            current, _ = await operations.read_configuration(store)
            return current, await operations.fetch_reports(cfg, store)

        current, reports = _run(settings, action)
        if current is None:
            raise UserError("no configuration has been applied yet")
        lines, problems = _format_status(current, reports)
        print("\n".join(lines))
        _exit_unless(not problems)


def _check(path, document_format, settings_path, against_path, as_json):
    """Check a file, print what was found and return the exit code."""
    sys.stdout.reconfigure(errors="backslashreplace")
    sys.stderr.reconfigure(errors="backslashreplace")
    try:
        if document_format not in (None, checking.OWN, checking.PLATFORM):
            raise UserError("--format: expected own or platform")
        if settings_path is not None and against_path is not None:
            raise UserError("expected at most one of --settings and --against")
        data = _read_file(path)
    except UserError as exc:
        print(f"error: {exc}", file=sys.stderr)
        return EXIT_UNREADABLE
    document = checking.parse(data, document_format)
    in_force, content, failure = None, None, None
    if settings_path is not None or against_path is not None:
        try:
            in_force = _read_in_force(document.format, settings_path, against_path)
            if document.format == checking.OWN:
                content = checking.own_content(in_force)
            else:
                content = platform_checking.content(in_force.data)
        except READ_ERRORS as exc:
            failure = str(exc) or type(exc).__name__
    if document.format == checking.PLATFORM:
        report = platform_checking.check(document, data, in_force)
    else:
        report = checking.check_own(document, len(data), in_force)
    changes = []
    if content is not None and document.is_parsed:
        changes = checking.compare(content, report)
    findings = sorted(report.findings, key=lambda finding: finding.severity)
    _print_report(document.format, findings, changes, failure, as_json)
    if failure is not None:
        return EXIT_UNREADABLE
    severities = {finding.severity for finding in findings}
    if "error" in severities:
        return EXIT_ERRORS
    return EXIT_WARNINGS if severities else 0


def _read_file(path):
    """Return a file's bytes, of a large one a part that is known to be too large."""
    try:
        with open(path, "rb") as file:
            return file.read(checking.MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as exc:
        raise UserError(f"{path}: {getattr(exc, 'strerror', exc)}") from None


def _read_in_force(document_format, settings_path, against_path):
    """Return the Configuration (None: none) or the InForce of the platform."""
    is_own = document_format == checking.OWN
    if against_path is not None:
        data = _read_file(str(against_path))
        return checking.decode_own(data) if is_own else platform_checking.InForce(data)
    if is_own:

        async def read(cfg, store):
            current, _ = await operations.read_configuration(store)
            return current

        return _run(str(settings_path), read)
    place = platform_checking.decode_settings(typed.load(str(settings_path), dict))
    return command.run(platform_checking.read_in_force(*place))


def _print_report(document_format, findings, changes, failure, as_json):
    if as_json:
        report = {
            "format": document_format,
            "findings": [finding._asdict() for finding in findings],
            "changes": [change._asdict() for change in changes],
            "comparison_failure": failure,
        }
        print(json.dumps(report, indent=2))
        return
    for item in findings:
        text = f"{item.severity} {item.path}: {item.message} ({item.code})"
        print(_printable(text))
    for item in changes:
        values = {"added": [item.new], "removed": [item.old]}.get(
            item.kind, [item.old, item.new]
        )
        print(_printable(f"{item.kind} {item.path}: {_format_values(values)}"))
    if failure is not None:
        text = _printable(f"error: not compared with the version in force: {failure}")
        print(text, file=sys.stderr)
    counts = [finding.severity for finding in findings]
    print(
        f"{document_format} format: errors={counts.count('error')} "
        f"warnings={counts.count('warning')} changes={len(changes)}"
    )


def _format_values(values):
    texts = [json.dumps(value) for value in values]
    return " -> ".join(
        text if len(text) <= MAX_SHOWN_VALUE else f"{text[:MAX_SHOWN_VALUE]}..."
        for text in texts
    )


def _printable(text):
    """Return a text without characters that control a terminal or aren't UTF-8."""
    return "".join(x if x.isprintable() else ascii(x)[1:-1] for x in text)


def _write(text, output):
    if output is None:
        print(text, end="")
        return
    try:
        with open(output, "x", encoding="utf-8") as file:
            file.write(text)
    except FileExistsError:
        raise UserError(f"{output}: file already exists") from None


def _format_status(cfg, reports):
    live = {name: report for name, report in reports.items() if report}
    lines = [
        f"configuration version={cfg.version} workspaces={len(cfg.workspaces)} "
        f"instances={len(live)} of {cfg.fleet_size}"
    ]
    problems = [
        f"instance {name} does not answer" for name in reports if name not in live
    ]
    lines += _format_evacuations(cfg, live, problems)
    for name in sorted(cfg.groups):
        lines += _format_group(name, live, problems)
    lines.append("instances:")
    for name, report in sorted(live.items()):
        lines.append(
            f"  {name} data_centre={report['data_centre']} version={report['version']} "
            f"slot={report['slot']} callers={report['callers']} "
            f"members={report['members']} config_age_s={report['config_age_s']:.1f}"
        )
        if report["version"] < cfg.version:
            problems.append(f"instance {name} is at version {report['version']}")
        if report["slot"] is None:
            problems.append(f"instance {name} holds no slot of the rates")
    if len(live) < cfg.fleet_size:
        problems.append(f"{cfg.fleet_size - len(live)} of the instances are missing")
    lines += ["shares (statements/s now allowed, of the whole):"]
    for name, workspace in sorted(cfg.workspaces.items()):
        total = sum(report["shares"].get(name, 0.0) for report in live.values())
        lines.append(f"  {name} {total:.1f} of {workspace.rate:g}")
    lines.append("wrong:" if problems else "wrong: nothing")
    lines += [f"  {text}" for text in sorted(set(problems))]
    return lines, problems


def _format_evacuations(cfg, live, problems):
    """Return a line for each evacuated data centre, with what still leads there."""
    lines = []
    for data_centre in cfg.evacuated:
        leading = {
            report["groups"][name]["primary"]
            for report in live.values()
            for name, group in cfg.groups.items()
            if name in report["groups"]
            for database, item in group.databases.items()
            if item.data_centre == data_centre
            and report["groups"][name]["primary"] == database
        }
        state = f"primaries={','.join(sorted(leading))}" if leading else "empty"
        lines.append(f"evacuated {data_centre} {state}")
        problems += [
            f"database {name} leads in the evacuated data centre {data_centre}"
            for name in leading
        ]
    return lines


def _format_group(name, live, problems):
    views = [r["groups"][name] for r in live.values() if name in r["groups"]]
    if not views:
        problems.append(f"group {name} is not served")
        return [f"group {name}: no instance serves it"]
    latest = max(views, key=lambda view: view["term"])
    lines = [f"group {name} primary={latest['primary']} term={latest['term']}"]
    if latest["primary"] is None:
        problems.append(f"group {name} has no primary")
    received = [d["received"][1] for d in latest["databases"].values() if d["received"]]
    for database, status in sorted(latest["databases"].items()):
        if not status["reachable"]:
            lines.append(f"  {database} unreachable")
            problems.append(f"database {database} is unreachable from an instance")
            continue
        lag = max(received) - status["applied"][1]
        note = " leaving" if status["leaving"] else ""
        lines.append(f"  {database} term={status['term']} lag_entries={lag}{note}")
    return lines


def main():
    """Run the command."""
    command.main(Ops)
