"""A deployment on the stand-in platform, with entry instances as processes."""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import time

import aiohttp
from aiohttp import web

from dragonflywing import explain, explain_group
from dragonflywing.load.deployment import PortPool
from dragonflywing.platform import lines
from dragonflywing.standin import platform_store
from dragonflywing.standin.platform_database import StandinDatabase, StandinGroup
from test.helper import Network

DATA_CENTRES = ("duluth-a", "buffalo-a", "sault-a")
ROUTES = {
    "orders": ("primary", 0),
    "marks": ("bounded_staleness", 1500),
    "batches": ("read_your_writes", 2500),
}
START_TIMEOUT_S = 20.0
DRAIN_MS = 4000


class Caller:
    """A caller's connection to an entry instance."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.sent_count = 0

    async def read_line(self):
        """Return the next line, "" at the end of the connection."""
        data = await asyncio.wait_for(self.reader.readline(), 5)
        return data.decode().strip()

    async def query(self, text, statement_id=None):
        """Run a statement; return (error code or "", rows, state)."""
        self.sent_count += 1
        statement_id = statement_id or f"{id(self):x}{self.sent_count}"
        self.writer.write(lines.encode("QUERY", statement_id, text))
        code, rows = "", []
        while True:
            line = await self.read_line()
            assert line, "connection closed without an answer"
            word, _, rest = line.partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "ERROR":
                code = rest.split(" ")[0]
            elif word == "READY":
                return code, rows, rest.split(" ")[0]

    def close(self):
        """Close the connection."""
        self.writer.close()

    def reset(self):
        """Reset the connection."""
        sock = self.writer.get_extra_info("socket")
        # Without a linger time, closing sends a reset.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class Deployment:
    """One group of databases, a store and entry instances."""

    def __init__(
        self,
        instances,
        through_networks=False,
        evacuate_ms=None,
        slots=2,
        workspaces=(),
        limits=None,
        databases=3,
    ):
        self.databases = databases  # at the start
        self.database_count = databases  # names given so far
        self.instances = instances
        self.evacuate_ms = evacuate_ms  # None: instances follow no evacuations
        self.slots = slots
        self.limits = limits or {}  # memory_mb and max_fds of each instance
        self.through_networks = through_networks
        self.networks = {}  # each instance's Networks to the store and its duties
        self.group = StandinGroup("orders-db")
        self.platform = platform_store.PlatformState(
            lambda service, name: self.group.promote(name)
        )
        self.version = 0
        self.keys = {"press": ["key-press"], "harbor": ["key-harbor"]}
        self.allowed_regions = {}  # by route
        self.rates = {"press": (400, 400), "harbor": (20, 20)}
        for name in workspaces:
            self.keys[name], self.rates[name] = [f"key-{name}"], (400, 400)
        self.processes = {}
        self.callers = {}
        self.logs = {}
        self.ports = PortPool()
        self._ports = {}
        self._tasks = []

    async def start(self, folder):
        """Start everything and wait until all instances are ready."""
        self.folder = folder
        app = platform_store.make_app(self.platform)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        self._runner = runner
        port = self.ports.take()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        self.store_port = port
        self._tasks.append(asyncio.create_task(self.platform.expire()))
        for number in range(self.database_count):
            database = StandinDatabase(
                self.group, f"db-{number}", number == 0, self.slots
            )
            await database.start()
            self.put_database_entry(database)
        self.put_configuration()
        await self.start_instances()

    async def start_instances(self):
        """Start all entry instances and wait until they are ready."""
        for number in range(self.instances):
            await self.start_instance(f"front-{number}", DATA_CENTRES[number % 3])
        await asyncio.gather(*[self.wait_ready(name) for name in self.processes])

    async def join(self, log=(), term=1):
        """Add a database, which receives at once; return it."""
        name = f"db-{self.database_count}"
        self.database_count += 1
        database = StandinDatabase(self.group, name, slots=self.slots)
        database.is_up = False  # until it serves
        database.born = time.time_ns() // 10**6
        database.log, database.term = list(log), term
        database.apply(len(database.log))
        await database.start()
        database.is_up = True
        database.catch_up()
        self.put_database_entry(database)
        return database

    async def leave(self, database, drain_s):
        """Let a database leave; it receives and counts until it has ended.

        One that leads ends once it was replaced, or stays if it isn't.
        """
        self.put_database_entry(database, state="draining")
        await asyncio.sleep(drain_s)
        end = asyncio.get_running_loop().time() + DRAIN_MS / 1000
        while database.is_primary and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.05)
        if database.is_primary:
            self.put_database_entry(database)
        else:
            self.remove(database)

    async def rename(self, database):
        """Let a database come back under another name, with its log."""
        self.remove(database)
        return await self.join(database.log, database.term)

    def remove(self, database):
        """End a database; its log and its entry are gone."""
        database.close()
        self.group.databases.pop(database.name, None)
        self.platform.delete(f"servers/{database.name}")

    async def restart_database(self, database, down_s):
        """Restart a database's process; it keeps its log and forgets its pause."""
        database.close()
        await asyncio.sleep(down_s)
        database.born = time.time_ns() // 10**6
        await database.restart()
        self.put_database_entry(database)

    def put_database_entry(self, database, data_centre=None, state="ready"):
        """Write a database's entry to the store, as the database does itself."""
        if data_centre is None:
            number = int(database.name.rpartition("-")[2])
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        host, port = database.address
        entry = {
            "service": self.group.name,
            "address": f"{host}:{port}",
            "zone": data_centre,
            "slots": self.slots,
            "state": state,
            "db_role": "primary" if database.is_primary else "replica",
            "sequence": 1,
            "born": database.born,
        }
        self.platform.put(f"servers/{database.name}", platform_store.encode(entry))

    def put_configuration(self, unused_routes=0):
        """Write the next version of the configuration.

        `unused_routes` more routes make it large.
        """
        self.version += 1
        routes = dict(ROUTES)
        for number in range(unused_routes):
            routes[f"unused-{number}"] = ("primary", 0)
        document = {
            "config_version": self.version,
            "routes": [
                {
                    "name": f"r-{name}",
                    "database": name,
                    "type": kind,
                    "timeout_ms": 1500,
                    "slo_ms": 800,
                    "priority": 1,
                    "service": self.group.name,
                    "max_staleness_ms": age,
                    "public": False,
                    "allowed_regions": self.allowed_regions.get(name, []),
                }
                for name, (kind, age) in routes.items()
            ],
            "services": [
                {"name": self.group.name, "max_conns": 16, "sync_replicas": 1}
            ],
            "limits": {"txn_idle_ms": 3000},
            "tenants": [
                {
                    "name": name,
                    "api_keys": keys,
                    "rate_per_s": self.rates[name][0],
                    "burst": self.rates[name][1],
                }
                for name, keys in self.keys.items()
            ],
        }
        self.platform.put("op/config", platform_store.encode(document))

    def put_document(self, value):
        """Write a configuration as base64 text, as the operator writes it again."""
        self.platform.put("op/config", base64.b64decode(value))

    async def start_instance(self, name, data_centre):
        """Start an entry instance as a process."""
        if name not in self._ports:
            self._ports[name] = [self.ports.take() for _ in range(4)]
        caller_port, ready_port, peer_port, metrics_port = self._ports[name]
        store_port = duty_port = self.store_port
        if self.through_networks:
            if name not in self.networks:
                self.networks[name] = [
                    await Network(self.store_port).start() for _ in range(2)
                ]
            store_port, duty_port = [x.port for x in self.networks[name]]
        settings = {
            "node": name,
            "zone": data_centre,
            "zones": {item: item for item in DATA_CENTRES},
            "listen_addrs": {
                "front": f"127.0.0.1:{caller_port}",
                "ready_addr": f"127.0.0.1:{ready_port}",
            },
            "port_range": [peer_port, metrics_port],
            "heartbeat_ms": 500,
            "bounds": {
                "revoke_ms": 5000,
                "grace_s": 6,
                "quota_window_s": 5,
                "drain_ms": DRAIN_MS,
                "evacuate_ms": self.evacuate_ms,
            },
            "platform": {
                "address": f"127.0.0.1:{store_port}",
                "ttl_min_ms": 1000,
            },
            "cloud": {"address": f"127.0.0.1:{duty_port}"},
            "limits": self.limits,
        }
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.logs[name] = os.path.join(self.folder, f"{name}.log")
        with open(self.logs[name], "a", encoding="utf-8") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "dragonflywing.ui.platform_entry",
                env={
                    **os.environ,
                    "DRAGONFLYWING_CONFIG": path,
                    "DFW_PLAN_CONNECTIONS": "1",
                },
                stdout=log,
                stderr=log,
            )

    async def restart(self, name):
        """Kill an entry instance, start it again and wait until it is ready."""
        self.processes[name].send_signal(signal.SIGKILL)
        await self.processes[name].wait()
        await self.start_instance(name, DATA_CENTRES[int(name[-1]) % 3])
        await self.wait_ready(name)

    async def kill_instances(self):
        """Kill all entry instances and wait until they have ended."""
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()

    def instance_of(self, port):
        """Return the instance that has a connection from a local port, or None."""
        with open("/proc/self/net/tcp", encoding="ascii") as file:
            rows = [line.split() for line in file]
        inodes = {row[9] for row in rows if row[1].endswith(f":{port:04X}")}
        links = {f"socket:[{inode}]" for inode in inodes}
        for name, process in self.processes.items():
            folder = f"/proc/{process.pid}/fd"
            with contextlib.suppress(OSError):
                for entry in os.scandir(folder):
                    with contextlib.suppress(OSError):
                        if os.readlink(entry) in links:
                            return name
        return None

    def cut_from(self, database, names):
        """Cut some instances' connections to a database."""
        found = {}  # by connection

        def ignores(connection):
            if connection not in found:
                peer = connection.writer.get_extra_info("peername")
                found[connection] = self.instance_of(peer[1]) if peer else None
            return found[connection] in names

        database.ignores = ignores

    def duty_holder(self):
        """Return the name of the instance that holds the duty, None if it is free."""
        item = self.platform.items.get("dfw/duty/promotion")
        value = base64.b64decode(item["value"]).decode() if item else ""
        return value.split("/")[0] or None

    async def count_executed(self, callers, duration_s, pause_s):
        """Read repeatedly with all callers; return how many statements executed."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s

        async def read_repeatedly(caller):
            while loop.time() < end:
                await caller.query("READ a")
                await asyncio.sleep(pause_s)

        before = len(self.group.executed)
        await asyncio.gather(*[read_repeatedly(caller) for caller in callers])
        return len(self.group.executed) - before

    async def is_ready(self, name):
        """Return whether the ready probe of an instance returns status 200."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self._ports[name][1]
            )
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            status = (await reader.readline()).split(b" ")[1]
            writer.close()
        except (OSError, IndexError):
            return False
        return status == b"200"

    async def metrics(self, name):
        """Return an instance's metrics as text."""
        url = f"http://127.0.0.1:{self._ports[name][3]}/metrics"
        async with aiohttp.ClientSession() as session, session.get(url) as resp:
            return await resp.text()

    async def wait_ready(self, name):
        """Return once an instance is ready."""
        end = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready(name):
            assert time.monotonic() < end, f"{name} was not ready in time"
            await asyncio.sleep(0.05)

    def address_ports(self, name):
        """Return an instance's ports for callers, probes, instances and metrics."""
        return self._ports[name]

    async def open(self, name):
        """Return a Caller that has sent nothing yet."""
        port = self._ports[name][0]
        return Caller(*await asyncio.open_connection("127.0.0.1", port))

    async def connect(self, name, route, key="key-press"):
        """Return a Caller, or the error code with which its STARTUP is refused."""
        caller = await self.open(name)
        caller.writer.write(lines.encode("STARTUP", route, key))
        word, _, rest = (await caller.read_line()).partition(" ")
        if word == "READY":
            return caller
        caller.close()
        return rest.split(" ")[0]

    def log_of(self, name):
        """Return the log of an instance."""
        with open(self.logs[name], encoding="utf-8") as file:
            return file.read()

    def explain(self, statement_id):
        """Return the lines in the logs of all instances that explain a request."""
        return explain.explain(statement_id, self.log_lines())

    def explain_group(self):
        """Return the history of the group's replacements as lines of text."""
        return explain_group.describe(self.group.name, self.log_lines())

    def log_lines(self):
        """Return the lines in the logs of all instances."""
        return [
            line
            for name in self.logs
            for line in explain.parse(name, self.log_of(name))
        ]

    async def stop(self):
        """End all processes and servers of the deployment."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
            await process.wait()
        for task in self._tasks:
            task.cancel()
        for database in self.group.databases.values():
            database.close()
        await self._runner.cleanup()


@contextlib.asynccontextmanager
async def deployed(folder, instances=3, **options):
    """Run a deployment for the duration of a `with` block."""
    deployment = Deployment(instances, **options)
    try:
        await deployment.start(str(folder))
        yield deployment
    finally:
        await deployment.stop()
