"""Loads played on a simulated clock, on one home or on a fleet, without a network.

Sessions, routers and homes are the real ones; databases are counted slots.
"""

import asyncio
import contextlib
import functools
import math
import random
from types import SimpleNamespace
from typing import NamedTuple

from dragonflywing import outcomes
from dragonflywing.clock import boottime
from dragonflywing.cluster import Cluster, Peer
from dragonflywing.connection_pool import max_connections_for
from dragonflywing.decisions.floors import Floor
from dragonflywing.decisions.positions import Position
from dragonflywing.deployment import Database, Group, Route
from dragonflywing.groups import Groups
from dragonflywing.links import LinkLost, idl, unpack
from dragonflywing.metrics import Metrics
from dragonflywing.ports import (
    Answer,
    ConnectionFailed,
    ConnectionRefused,
    DatabaseStatus,
)
from dragonflywing.router import Router, pack_answer
from dragonflywing.sessions import Operation, Session
from test.helper import run_on_simulated_clock

REGIONS = {"duluth-a": "north", "duluth-b": "north", "sault-a": "south"}
DATA_CENTRES = tuple(REGIONS)
CONNECTIONS = 56  # the limit of a database; its first home may hold 36 of them
CONNECT_S = 0.012
SLOTS = 4


def simulated(test):
    """Return an async test as a function that runs it on a simulated clock."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        run_on_simulated_clock(test(*args, **kwargs))

    return run


class PlayedDatabase:
    """The slots of a database, and what it was asked for.

    Statements last between the two `durations_s`. It takes `slowness` times as long as
    others, fails a `failing` share of reads and resets a `lost` share of connections
    and statements. If `lost` is None, control statements take no slot.
    """

    RESET, BEGIN, ROLLBACK, STATUS = "RESET", "BEGIN", "ROLLBACK", "STATUS"
    slowness, failing, lost, limit, durations_s = 1.0, 0.0, None, math.inf, (0.01, 0.04)

    def __init__(self, rng, **options):
        self.rng = rng
        vars(self).update(options)
        self.slots = asyncio.Semaphore(SLOTS)
        self.open = set()
        self.max_open = self.opened = self.refused = 0
        self.is_up = True
        self.statements = []

    def at_position(self, floor, text):
        return text

    def decode_status(self, answer):
        return DatabaseStatus(True, 1, Position(1, 1), 0, 0.0, 0, len(self.open))

    async def _occupy(self, seconds):
        if not self.is_up:
            raise ConnectionFailed("down")
        async with self.slots:
            seconds = seconds() if callable(seconds) else seconds
            await asyncio.sleep(seconds * self.slowness)
        if self.lost is not None and self.rng.random() < self.lost:
            raise ConnectionFailed("reset")

    async def connect(self, database, workspace):
        """Open a connection, which takes a slot."""
        await self._occupy(CONNECT_S)
        if len(self.open) >= self.limit:
            self.refused += 1
            raise ConnectionRefused(outcomes.NO_CONNECTION)
        in_transaction, self.opened = False, self.opened + 1

        async def run(statement_id, text):
            nonlocal in_transaction
            if text in ("BEGIN", "COMMIT", "ROLLBACK"):
                in_transaction = text == "BEGIN"
            is_free = statement_id == "-" and self.lost is None
            code = "" if is_free else await self._execute(text)
            return Answer(code, "", (), in_transaction, Position(1, 1))

        self.open.add(run)
        self.max_open = max(len(self.open), self.max_open)
        return SimpleNamespace(
            run=run,
            is_broken=lambda: not self.is_up or run not in self.open,
            close=lambda: self.open.discard(run),
        )

    async def _execute(self, text):
        """Run a statement of random length; return the code of its outcome."""
        if self.is_up:
            self.statements.append(text)
        # Drawn on arrival or in the slot, as when the loads' figures were measured.
        draw = functools.partial(self.rng.uniform, *self.durations_s)
        await self._occupy(draw if self.lost is None else draw())
        is_failed = text == "read" and self.rng.random() < self.failing
        return "failed" if is_failed else ""


class Fleet:
    """Instances with routers and homes that reach one another and the databases."""

    def __init__(self, databases, routes, workspaces, instances=9):
        self.databases = databases  # {name: PlayedDatabase}; the first is the primary
        self.lost = set()  # instances whose links are cut
        self.data_centres = {
            f"front-{n}": DATA_CENTRES[n % len(DATA_CENTRES)] for n in range(instances)
        }
        keys = {f"key-{name}": name for name in workspaces}
        self.cfg = SimpleNamespace(routes=routes, keys=keys, workspaces=workspaces)
        # Without STATUS, a home that asks for a report ends the sweeps. The figures of
        # choice-of-database.md were measured so, with 36 usable connections.
        adapter = SimpleNamespace(
            connect=lambda item, name: databases[item.name].connect(item, name),
            at_position=lambda floor, text: text,
            **{x: x for x in ("RESET", "BEGIN", "BEGIN_READ", "ROLLBACK")},
        )
        ports = SimpleNamespace(databases=adapter)
        self.nodes = {name: self._make_node(name, ports) for name in self.data_centres}

    def _make_node(self, instance, ports):
        data_centre = self.data_centres[instance]
        settings = SimpleNamespace(
            instance=instance, data_centre=data_centre, regions=REGIONS
        )
        metrics = Metrics()
        groups = Groups(ports, metrics)
        groups.specs = {"g": Group("g", CONNECTIONS, 1)}
        groups.workspace_count = len(self.cfg.workspaces)
        for n, name in enumerate(self.databases):
            place = DATA_CENTRES[n % len(DATA_CENTRES)]
            item = Database(name, "g", "host", 1, place, SLOTS, False, n == 0, 1)
            groups.note_database(item)
        groups.note_floor("g", Floor(Position(1, 1), boottime()))
        cluster = Cluster(settings, None, metrics)
        for other, place in self.data_centres.items():
            cluster.peers[other] = Peer(other, place, "host", 1, 1)
            cluster.last_contact_at[other] = math.inf
        del cluster.peers[instance]
        cluster.call = functools.partial(self._call, data_centre)
        router = Router(settings, ports, groups, cluster, metrics)

        async def admit(workspace, max_wait_s):
            return 0.0

        directory = SimpleNamespace(cfg=self.cfg, is_confirmed=lambda: True)
        directory.version, directory.confirmation_age = lambda: 1, lambda: 0.0

        async def confirm(*commit):
            return True

        node = SimpleNamespace(instance=instance, now=router.now, admit=admit)
        node.acknowledgements = SimpleNamespace(confirm=confirm)
        node.cluster, node.groups, node.router = cluster, groups, router
        node.metrics, node.ports, node.directory = metrics, ports, directory
        return node

    async def _call(self, data_centre, other, name, body, timeout_s):
        is_far = REGIONS[data_centre] != REGIONS[self.data_centres[other]]
        await asyncio.sleep(0.015 if is_far else 0.00075)
        if other in self.lost:
            raise LinkLost("cut")
        router = self.nodes[other].router
        if name == "end":
            return router.end_transaction_locally(*body.decode().split())
        req = unpack(idl.RunRequest, body)
        answer, handle, _ = await router.run_locally(req, None)
        body = pack_answer(answer, handle, router.wait_s(req.database))
        await asyncio.sleep(0.015 if is_far else 0.00075)
        return body

    def session(self, instance, route, workspace):
        """Return a new session at an instance."""
        return Session(self.nodes[instance], route, f"key-{workspace}")

    def sweep(self):
        """Sweep all homes once."""
        for node in self.nodes.values():
            for home in node.groups.homes.values():
                is_first = node.cluster.first_home(home.database) == node.instance
                count = max_connections_for(CONNECTIONS, None if is_first else 0, False)
                home.sweep(is_first, count, 3.0)


def route(name, priority):
    """Return a route of reads that replicas may serve."""
    return Route(name, "g", "aged", 0.6, 0.3, priority, 600.0, False)


class Call(NamedTuple):
    """A statement of a caller, and the code and time of its reply."""

    workspace: str
    priority: int
    is_burst: bool
    code: str
    duration_s: float


def share_served(calls):
    """Return the share of some Calls that were served."""
    return sum(not call.code for call in calls) / len(calls)


@contextlib.asynccontextmanager
async def swept(sweep):
    """Sweep homes every 0.1 s within the context, as instances do."""

    async def run():
        while True:
            await asyncio.sleep(0.1)
            sweep()

    task = asyncio.create_task(run())
    try:
        yield
    finally:
        task.cancel()


async def play_calls(rng, start_call, seconds, rate, is_first_at_once):
    """Play calls at random intervals; return the list of Calls.

    `start_call(elapsed_s)` returns the workspace, the priority, whether there is a
    burst, and the coroutine that returns the code. `rate(elapsed_s)` is the number per
    second. The first call is made at once or after the first interval.
    """
    loop, tasks = asyncio.get_running_loop(), []

    async def call(workspace, priority, is_burst, running):
        started_at = loop.time()
        code = await running
        return Call(workspace, priority, is_burst, code, loop.time() - started_at)

    began_at = loop.time()
    while (elapsed_s := loop.time() - began_at) < seconds:
        pause_s = rng.expovariate(rate(elapsed_s))
        if not is_first_at_once:
            await asyncio.sleep(pause_s)
        tasks.append(asyncio.create_task(call(*start_call(elapsed_s))))
        if is_first_at_once:
            await asyncio.sleep(pause_s)
    return await asyncio.gather(*tasks)


async def play(fleet, seconds, per_s, seed):
    """Play reads and writes with uneven demand of the workspaces; return the Calls."""
    rng = random.Random(seed)
    names, routes = list(fleet.cfg.workspaces), list(fleet.cfg.routes)
    nodes = list(fleet.nodes)
    weights = [1 / (n + 1) ** 0.8 for n in range(len(names))]

    def start_call(elapsed_s):
        workspace = rng.choices(names, weights)[0]
        name, instance = rng.choice(routes), rng.choice(nodes)
        kind = "write" if rng.random() < 0.2 else "read"

        async def run():
            op = Operation(kind, "s1", kind, "", "")
            return (await fleet.session(instance, name, workspace).handle(op)).code

        return workspace, fleet.cfg.routes[name].priority, False, run()

    async with swept(fleet.sweep):
        return await play_calls(rng, start_call, seconds, lambda _: per_s, True)
