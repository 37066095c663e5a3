"""Small copies of the users' deployments: processes and links with faults."""

import asyncio
import fcntl
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from typing import NamedTuple

import aiohttp

from dragonflywing import answers, operations, typed
from dragonflywing.configuration import Database, Route
from dragonflywing.errors import UserError

DATABASE_PASSWORD = "standin"
PEER_SECRET = "secret-of-a-test-fleet"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0


class Plan(NamedTuple):
    """The data centres, groups, workspaces and instances of a deployment."""

    name: str
    data_centres: tuple[str, ...]
    one_way_latency_s: float  # between data centres
    groups: tuple[str, ...]
    connections: int  # that each database accepts
    workspaces: dict[str, tuple[str, float, float]]  # group, rate, burst
    instances: int = 8


def _workspaces(groups, names, large):
    return {
        name: (groups[i % len(groups)], 400.0 if name in large else 120.0, 200.0)
        for i, name in enumerate(names)
    }


HURON_GROUPS = ("spine-a", "spine-b", "spine-c")
HURON = Plan(
    name="huron",
    data_centres=("duluth-a", "buffalo-a", "sault-a"),
    one_way_latency_s=0.012,
    groups=HURON_GROUPS,
    connections=16,
    workspaces=_workspaces(
        HURON_GROUPS,
        (
            "press",
            "lakes-library",
            "north-shore",
            "birch-books",
            "harbor",
            "superior",
            "cedar",
            "straits",
        ),
        ("press", "lakes-library"),
    ),
)
LITORAL_GROUPS = ("sort-a", "sort-b", "sort-c")
LITORAL = Plan(
    name="litoral",
    data_centres=("litoral-a", "cuyo-a", "noa-a"),
    one_way_latency_s=0.008,
    groups=LITORAL_GROUPS,
    connections=32,
    workspaces=_workspaces(
        LITORAL_GROUPS,
        (
            "copal",
            "myrrh",
            "palo-santo",
            "export",
            "amber",
            "benzoin",
            "tears",
            "lots",
        ),
        ("copal", "export"),
    ),
    instances=9,
)
PLANS = {plan.name: plan for plan in (HURON, LITORAL)}


def get_plan(name):
    """Return the plan called `name`, or raise UserError."""
    if name not in PLANS:
        raise UserError(f"deployment {name!r}: expected one of {', '.join(PLANS)}")
    return PLANS[name]


def key_of(workspace):
    """Return the access key of a workspace in these deployments."""
    return f"key-of-{workspace}"


class Process:
    """A process that can be restarted, and its log file."""

    def __init__(self, name, args, log_path, python_path=None):
        self.name = name
        self.args = args
        self.log_path = log_path
        self.env = dict(os.environ)
        if python_path:
            self.env["PYTHONPATH"] = python_path
            # Keeps the current folder off the path, where it would come first.
            self.env["PYTHONSAFEPATH"] = "1"
        self.popen = None
        self.start()

    def start(self):
        """Start the process, or start it again after it has ended."""
        with open(self.log_path, "a", encoding="utf-8") as log:
            self.popen = subprocess.Popen(
                self.args,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=self.env,
            )

    def signal(self, signum):
        """Send a signal if the process is running."""
        if self.popen.poll() is None:
            self.popen.send_signal(signum)


def _command(module, *args):
    code = f"from dragonflywing.ui.{module} import main; main()"
    return [sys.executable, "-c", code, *args]


class PortPool:
    """Allocates free ports of the loopback interface, each of them once.

    A pool locks slices of the range with files, so that deployments that other
    processes start at the same time never get the same ports.
    """

    # Below the ephemeral ports, which systems use for outgoing connections.
    FIRST, LAST = 10000, 32000
    SLICES = 40

    def __init__(self):
        self.candidates = []
        self._locks = []

    def _add_slice(self):
        size = (self.LAST - self.FIRST) // self.SLICES
        for index in random.sample(range(self.SLICES), self.SLICES):
            lock = self._lock_slice(index)
            if lock is not None:
                self._locks.append(lock)
                start = self.FIRST + index * size
                self.candidates = random.sample(range(start, start + size), size)
                return
        raise UserError(f"all {self.SLICES} slices of test ports are in use")

    @staticmethod
    def _lock_slice(index):
        """Return an open locked file, None if another pool holds the slice."""
        path = os.path.join(tempfile.gettempdir(), f"dfw-ports-{index}.lock")
        file = open(path, "a", encoding="utf-8")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            file.close()
            return None
        return file

    def take(self):
        """Return a port that nothing listens on."""
        while True:
            if not self.candidates:
                self._add_slice()
            port = self.candidates.pop()
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return port


class Deployment:
    """The processes of one deployment; starts and stops them and injects faults.

    `start` starts `initial_entries` entry instances, or all if it is 0. With
    `direct_peers` they connect to each other directly, not through the fault
    proxies. With `traced` the databases write traces. `python_path` is the folder
    of a patched package, see `baselines`.
    """

    def __init__(
        self,
        plan,
        times=None,
        seed=1,
        statement_s=0.0,
        initial_entries=0,
        traced=False,
        direct_peers=False,
        python_path=None,
        extra_settings=None,
    ):
        self.plan = plan
        self.times = times or {}
        self.rng = random.Random(seed)
        self.statement_s = statement_s
        self.initial_entries = initial_entries
        self.traced = traced
        self.direct_peers = direct_peers
        self.python_path = python_path
        self.extra_settings = extra_settings or {}
        self.dir = tempfile.mkdtemp(prefix="dfw-")
        self.ports = PortPool()
        self.processes = {}
        self.links = {}  # settings in the fault proxies, by "source>target"
        self.link_data_centre = {}
        self.store_port = self.ports.take()
        self.data_centre_of = {}
        self.database_ports = {}
        self.replication_ports = {}
        self.entries = {}  # (port for callers, port for instances) by name
        self.control_addresses = {}
        self.group_of = {}
        self._assign_ports()

    def _assign_ports(self):
        plan = self.plan
        for group in plan.groups:
            for i, data_centre in enumerate(plan.data_centres):
                name = f"{group}-{i + 1}"
                self.data_centre_of[name] = data_centre
                self.group_of[name] = group
                self.database_ports[name] = self.ports.take()
                self.replication_ports[name] = self.ports.take()
        for i in range(plan.instances):
            self._add_entry(i)

    def _add_entry(self, i):
        name = f"entry-{i + 1}"
        self.data_centre_of[name] = self.plan.data_centres[
            i % len(self.plan.data_centres)
        ]
        self.entries[name] = (self.ports.take(), self.ports.take())

    def databases(self, group):
        """Return the names of a group's databases."""
        return [name for name, item in self.group_of.items() if item == group]

    def first_primary(self, group):
        """Return the database that is a group's primary at the start."""
        names = self.databases(group)
        return names[self.plan.groups.index(group) % len(names)]

    # Links

    def _link(self, source, target, port):
        """Return the proxied address at which `source` reaches `target`."""
        name = f"{source}>{target}"
        if name not in self.links:
            is_remote = self.data_centre_of.get(source) != self.data_centre_of.get(
                target, ""
            )
            is_undelayed = target == "store" or not is_remote
            delay_s = 0.0 if is_undelayed else self.plan.one_way_latency_s
            self.links[name] = {
                "name": name,
                "listen": f"127.0.0.1:{self.ports.take()}",
                "target": f"127.0.0.1:{port}",
                "delay_s": delay_s,
            }
        return self.links[name]["listen"]

    def _make_links(self):
        for entry in self.entries:
            self._link(entry, "store", self.store_port)
            for name, port in self.database_ports.items():
                self._link(entry, name, port)
            for other, (_, peer_port) in self.entries.items():
                if other != entry and not self.direct_peers:
                    self._link(entry, other, peer_port)
        for name in self.database_ports:
            for other in self.databases(self.group_of[name]):
                if other != name:
                    self._link(name, other, self.replication_ports[other])

    # Files

    def _write(self, name, value):
        path = os.path.join(self.dir, name)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(value, file, indent=1)
        return path

    def _start(self, name, module, *args):
        log_path = os.path.join(self.dir, f"{name}.log")
        args = _command(module, *args)
        self.processes[name] = Process(name, args, log_path, self.python_path)

    def _start_database(self, name):
        group = self.group_of[name]
        peers = {
            other: self.links[f"{name}>{other}"]["listen"]
            for other in self.databases(group)
            if other != name
        }
        settings = {
            "name": name,
            "host": "127.0.0.1",
            "port": self.database_ports[name],
            "replication_port": self.replication_ports[name],
            "data_dir": os.path.join(self.dir, "data"),
            "peers": peers,
            "initial_primary": self.first_primary(group),
            "connections": self.plan.connections,
            "statement_s": self.statement_s,
            "trace": os.path.join(self.dir, f"{name}.trace") if self.traced else "",
        }
        path = self._write(f"{name}.json", settings)
        self._start(name, "standin", "database", "--settings", path)

    def entry_settings(self, name):
        """Return the settings of an entry instance."""
        port, peer_port = self.entries[name]
        addresses = {
            target: link["listen"]
            for (source, target), link in (
                (key.split(">"), link) for key, link in self.links.items()
            )
            if source == name and target != "store"
        }
        seeds = [
            addresses.get(other, f"127.0.0.1:{self.entries[other][1]}")
            for other in sorted(self.entries)
            if other != name
        ]
        return {
            "instance": name,
            "data_centre": self.data_centre_of[name],
            "port": port,
            "peer_port": peer_port,
            "peer_secret": PEER_SECRET,
            "store": ["http://" + self.links[f"{name}>store"]["listen"]],
            "seeds": seeds,
            "database": {"user": "dragonflywing", "password": DATABASE_PASSWORD},
            "addresses": addresses,
            "times": self.times,
            **self.extra_settings,
        }

    def start_entry(self, name):
        """Start an entry instance."""
        path = self._write(f"{name}.json", self.entry_settings(name))
        self._start(name, "entry", "--settings_file", path)

    def _start_faults(self):
        links_by_data_centre = {}
        for name, link in self.links.items():
            data_centre = self.data_centre_of[name.split(">")[0]]
            self.link_data_centre[name] = data_centre
            links_by_data_centre.setdefault(data_centre, []).append(link)
        for data_centre, links in links_by_data_centre.items():
            self.control_addresses[data_centre] = f"127.0.0.1:{self.ports.take()}"
            settings = {"control": self.control_addresses[data_centre], "links": links}
            path = self._write(f"faults-{data_centre}.json", settings)
            self._start(
                f"faults-{data_centre}", "standin", "faults", "--settings", path
            )

    # Start and stop

    async def start(self):
        """Start all processes and put the configuration in force."""
        self._make_links()
        self._start("store", "standin", "store", "--port", str(self.store_port))
        self._start_faults()
        for name in self.database_ports:
            self._start_database(name)
        for name in list(self.entries)[: self.initial_entries or None]:
            self.start_entry(name)
        ports = [self.store_port, *self.database_ports.values()]
        ports += [
            int(item.rsplit(":", 1)[1]) for item in self.control_addresses.values()
        ]
        await asyncio.gather(*[_wait_port(port) for port in ports])
        await self.apply(self.answers())
        await self._wait_ready()
        started = [name for name in self.entries if name in self.processes]
        await asyncio.gather(*[_wait_port(self.entries[name][0]) for name in started])

    def ops_settings(self):
        """Return the settings of dfw-ops for this deployment."""
        return operations.OpsSettings(
            (f"http://127.0.0.1:{self.store_port}",), PEER_SECRET
        )

    def answers(self):
        """Return a filled-in questionnaire for this deployment."""
        plan = self.plan
        groups = {
            group: answers.GroupAnswer(
                {
                    name: Database(
                        f"127.0.0.1:{self.database_ports[name]}",
                        self.data_centre_of[name],
                    )
                    for name in self.databases(group)
                },
                plan.connections,
                2,
            )
            for group in plan.groups
        }
        workspaces = {
            name: answers.WorkspaceAnswer(
                group, rate, burst, (answers.KeyAnswer("first", key_of(name)),)
            )
            for name, (group, rate, burst) in plan.workspaces.items()
        }
        first = next(iter(plan.workspaces))
        routes = {
            "catalogue": Route(max_age_ms=2000),
            "public": Route(max_age_ms=10000, open=True, workspace=first),
        }
        return answers.Answers(plan.instances, groups, workspaces, routes)

    async def apply(self, filled):
        """Apply a filled-in questionnaire; return the configuration."""
        cfg = answers.generate(filled)

        async def action(store):
            return await operations.apply(store, cfg)

        return await operations.with_store(self.ops_settings(), action)

    async def reports(self):
        """Return the reports of all instances by name."""

        async def action(store):
            return await operations.fetch_reports(self.ops_settings(), store)

        return await operations.with_store(self.ops_settings(), action)

    async def _wait_ready(self):
        loop = asyncio.get_running_loop()
        end = loop.time() + START_TIMEOUT_S
        expected = {name for name in self.entries if name in self.processes}
        while True:
            reports = await self.reports()
            ready = {
                name for name, report in reports.items() if report and _is_ready(report)
            }
            if expected <= ready:
                return
            if loop.time() > end:
                missing = ", ".join(sorted(expected - ready))
                raise UserError(f"not ready in time: {missing} (logs in {self.dir})")
            await asyncio.sleep(0.1)

    async def stop(self):
        """End all processes; return the names of those that did not end cleanly."""
        unclean = []
        entries = [n for n in self.processes if n in self.entries]
        others = [n for n in self.processes if n not in self.entries]
        for names in (entries, others):
            for name in names:
                self.processes[name].signal(signal.SIGCONT)
                self.processes[name].signal(signal.SIGTERM)
            unclean += await self._wait_ended(names)
        return unclean

    async def _wait_ended(self, names):
        loop = asyncio.get_running_loop()
        end = loop.time() + STOP_TIMEOUT_S
        unclean = []
        for name in names:
            popen = self.processes[name].popen
            while popen.poll() is None and loop.time() < end:
                await asyncio.sleep(0.02)
            if popen.poll() is None:
                popen.kill()
                popen.wait()
                unclean.append(name)
            elif popen.returncode not in (0, -signal.SIGKILL):
                unclean.append(name)
        return unclean

    # Faults

    async def kill(self, name):
        """Kill a process with SIGKILL."""
        process = self.processes[name]
        process.signal(signal.SIGKILL)
        process.popen.wait()

    def freeze(self, name):
        """Suspend a process with SIGSTOP."""
        self.processes[name].signal(signal.SIGSTOP)

    def thaw(self, name):
        """Resume a frozen process."""
        self.processes[name].signal(signal.SIGCONT)

    def restart(self, name):
        """Start a killed process again."""
        self.processes[name].start()

    async def set_links(self, matches, **fault):
        """Set mode or delay_s of all links for which matches(source, target)."""
        by_data_centre = {}
        for name in self.links:
            source, target = name.split(">")
            if matches(source, target):
                by_data_centre.setdefault(self.link_data_centre[name], []).append(name)
        async with aiohttp.ClientSession() as session:
            for data_centre, names in by_data_centre.items():
                body = {"links": names, **fault}
                url = f"http://{self.control_addresses[data_centre]}/standin"
                async with session.post(url, json=body) as resp:
                    await resp.json()

    async def carried_bytes(self):
        """Return the number of bytes that each link has carried."""
        carried = {}
        async with aiohttp.ClientSession() as session:
            for control in self.control_addresses.values():
                url = f"http://{control}/standin"
                async with session.post(url, json={"links": []}) as resp:
                    carried.update((await resp.json())["bytes"])
        return carried

    async def set_store(self, **fault):
        """Set mode or delay_s of the store; return its state with its call counts."""
        url = f"http://127.0.0.1:{self.store_port}/standin"
        async with aiohttp.ClientSession() as session:
            async with session.post(url, json=fault) as resp:
                return await resp.json()

    async def primary(self, group):
        """Return a group's primary in the report with the latest term."""
        reports = [r for r in (await self.reports()).values() if r]
        views = [r["groups"][group] for r in reports]
        latest = max(views, key=lambda view: view["term"], default=None)
        return latest["primary"] if latest else None


def _is_ready(report):
    groups = report["groups"].values()
    primaries = all(group["primary"] for group in groups)
    return bool(groups) and primaries and report["slot"] is not None


async def _wait_port(port):
    loop = asyncio.get_running_loop()
    end = loop.time() + START_TIMEOUT_S
    while True:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return
        except OSError:
            if loop.time() > end:
                raise UserError(
                    f"port {port} did not accept connections in time"
                ) from None
            await asyncio.sleep(0.05)


def example_answers(plan):
    """Return a plan's answers with example addresses and no keys, as plain JSON."""
    deployment = Deployment(plan)
    filled = deployment.answers()
    groups = {}
    for g, (group, item) in enumerate(filled.groups.items()):
        databases = {
            name: spec._replace(address=f"10.0.{i}.{10 + g}:3306")
            for i, (name, spec) in enumerate(item.databases.items())
        }
        groups[group] = item._replace(databases=databases)
    workspaces = {
        name: item._replace(keys=()) for name, item in filled.workspaces.items()
    }
    return typed.to_plain(filled._replace(groups=groups, workspaces=workspaces))
