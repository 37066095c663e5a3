"""The dfw-ops command: what operators do with a running fleet."""

import asyncio
import json
import os
import sys

from dragonflywing import answers, configuration, explain, operations, typed
from dragonflywing.errors import UserError
from dragonflywing.ui import command

DEFAULT_WAIT_S = 20


def _settings(path):
    return typed.load(path, operations.OpsSettings)


def _run(path, use):
    cfg = _settings(path)
    return command.run(operations.with_store(cfg, lambda store: use(cfg, store)))


async def _announce(cfg, store, new, wait_s):
    started = asyncio.get_running_loop().time()
    print(f"accepted version={new.version}", flush=True)
    behind = await operations.wait_in_force(cfg, store, new.version, wait_s)
    seconds = asyncio.get_running_loop().time() - started
    if behind:
        print(f"not yet in force on {' '.join(behind)} after {seconds:.1f} s")
        return False
    print(f"in force on every live instance after {seconds:.1f} s")
    return True


def _finish(done):
    if not done:
        sys.exit(1)


class Keys:
    """Give and withdraw keys of workspaces."""

    def give(self, workspace, key_id, settings="ops.json", wait_s=DEFAULT_WAIT_S):
        """Make a new key for a workspace and print it once.

        Example: dfw-ops keys give press spring-2027
        """

        async def use(cfg, store):
            key, new = await operations.give_key(store, workspace, key_id)
            print(f"key={key}")
            return await _announce(cfg, store, new, wait_s)

        _finish(_run(settings, use))

    def withdraw(self, workspace, key_id, settings="ops.json", wait_s=DEFAULT_WAIT_S):
        """Withdraw a key for good, also for connected callers.

        Example: dfw-ops keys withdraw press spring-2027
        """

        async def use(cfg, store):
            new = await operations.withdraw_key(store, workspace, key_id)
            return await _announce(cfg, store, new, wait_s)

        _finish(_run(settings, use))


class Ops:
    """Operate a fleet of entry instances.

    Example: dfw-ops status --settings ops.json
    """

    def __init__(self):
        self.keys = Keys()

    def questionnaire(self, output=None):
        """Write a commented questionnaire to fill in.

        Example: dfw-ops questionnaire --output answers.json
        """
        with open(answers.QUESTIONNAIRE_PATH, encoding="utf-8") as file:
            text = file.read()
        _write(text, output)

    def generate(self, answers_file, output=None):
        """Make a whole checked configuration from a filled-in questionnaire.

        Example: dfw-ops generate answers.json --output configuration.json
        """
        cfg = answers.generate(answers.load(answers_file))
        _write(json.dumps(typed.to_plain(cfg), indent=2) + "\n", output)

    def apply(self, configuration_file, settings="ops.json", wait_s=DEFAULT_WAIT_S):
        """Put a configuration in force and wait until every instance has it.

        Example: dfw-ops apply configuration.json --settings ops.json
        """
        cfg = configuration.check(
            typed.load(configuration_file, configuration.Configuration)
        )

        async def use(ops, store):
            new = await operations.apply(store, cfg)
            return await _announce(ops, store, new, wait_s)

        _finish(_run(settings, use))

    def drain(self, database, stay=False, settings="ops.json", wait_s=DEFAULT_WAIT_S):
        """Send a database no new work; --stay takes that back.

        Example: dfw-ops drain orders-2
        """

        async def use(cfg, store):
            new = await operations.set_database_leaving(store, database, not stay)
            return await _announce(cfg, store, new, wait_s)

        _finish(_run(settings, use))

    def explain(self, request, *files):
        """Show what instances decided about a request, and what they believed.

        Example: dfw-ops explain 5c0e7a21d94b36f8 front-1.log front-2.log
        """
        lines = []
        for path in files:
            with open(path, encoding="utf-8", errors="replace") as file:
                lines += explain.parse(os.path.basename(path), file.read())
        chain = explain.explain(str(request), lines)
        if not chain:
            raise UserError(f"request {request!r} is in none of {len(files)} files")
        for line in chain:
            print(f"{line.timestamp} {line.source} {line.text}")

    def status(self, settings="ops.json"):
        """Show groups, instances, configuration version and what is wrong.

        Example: dfw-ops status --settings ops.json
        """

        async def use(cfg, store):
            known, _ = await operations.read_configuration(store)
            return known, await operations.fetch_reports(cfg, store)

        known, found = _run(settings, use)
        if known is None:
            raise UserError("no configuration has been applied yet")
        lines, wrong = _format_status(known, found)
        print("\n".join(lines))
        _finish(not wrong)


def _write(text, output):
    if output is None:
        print(text, end="")
        return
    try:
        with open(output, "x", encoding="utf-8") as file:
            file.write(text)
    except FileExistsError:
        raise UserError(f"{output}: exists already") from None


def _format_status(known, found):
    live = {name: report for name, report in found.items() if report}
    lines = [
        f"configuration version={known.version} workspaces={len(known.workspaces)} "
        f"instances={len(live)} of {known.fleet_size}"
    ]
    wrong = [f"instance {name} does not answer" for name in found if name not in live]
    for name in sorted(known.groups):
        lines += _format_group(name, live, wrong)
    lines.append("instances:")
    for name, report in sorted(live.items()):
        lines.append(
            f"  {name} data_centre={report['data_centre']} version={report['version']} "
            f"slot={report['slot']} callers={report['callers']} "
            f"members={report['members']} config_age_s={report['config_age_s']:.1f}"
        )
        if report["version"] < known.version:
            wrong.append(f"instance {name} is at version {report['version']}")
        if report["slot"] is None:
            wrong.append(f"instance {name} holds no slot of the rates")
    if len(live) < known.fleet_size:
        wrong.append(f"{known.fleet_size - len(live)} of the instances are missing")
    lines += ["shares (statements/s now allowed, of the whole):"]
    for name, item in sorted(known.workspaces.items()):
        total = sum(report["shares"].get(name, 0.0) for report in live.values())
        lines.append(f"  {name} {total:.1f} of {item.rate:g}")
    lines.append("wrong:" if wrong else "wrong: nothing")
    lines += [f"  {text}" for text in sorted(set(wrong))]
    return lines, wrong


def _format_group(name, live, wrong):
    views = [r["groups"][name] for r in live.values() if name in r["groups"]]
    if not views:
        wrong.append(f"group {name} is not served")
        return [f"group {name}: no instance serves it"]
    best = max(views, key=lambda view: view["term"])
    lines = [f"group {name} primary={best['primary']} term={best['term']}"]
    if best["primary"] is None:
        wrong.append(f"group {name} has no primary")
    heads = [d["received"][1] for d in best["databases"].values() if d["received"]]
    for database, item in sorted(best["databases"].items()):
        if not item["reachable"]:
            lines.append(f"  {database} unreachable")
            wrong.append(f"database {database} is unreachable from an instance")
            continue
        lag = max(heads) - item["applied"][1]
        note = " leaving" if item["leaving"] else ""
        lines.append(f"  {database} term={item['term']} lag_entries={lag}{note}")
    return lines


def main():
    """Run the command."""
    command.main(Ops)
