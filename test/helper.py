"""Shared test tools: a deployment of processes, clients and a simulated clock."""

import asyncio
import contextlib
import selectors

import aiomysql
import uvloop

from dragonflywing.load.deployment import Deployment, Plan, key_of
from dragonflywing.standin.faults import Link, LinkState, serve_link

SMALL = Plan(
    name="small",
    data_centres=("duluth-a", "buffalo-a", "sault-a"),
    one_way_latency_s=0.001,
    groups=("orders",),
    connections=16,
    workspaces={
        "press": ("orders", 4000.0, 4000.0),
        "harbor": ("orders", 200.0, 100.0),
    },
    instances=3,
)


def run(coroutine):
    """Run a coroutine on a uvloop event loop and return its result."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coroutine)


class Network:
    """A way to a server on this machine, which a test can cut or silence."""

    def __init__(self, port):
        self._link = Link("network", "", f"127.0.0.1:{port}")
        self._state = LinkState(self._link)
        self.port = None

    async def start(self):
        """Accept connections and forward them; return this object."""

        async def forward(reader, writer):
            await serve_link(self._state, reader, writer)

        self._server = await asyncio.start_server(forward, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def cut(self):
        """Hold all bytes until `heal`, unless their sender resets the connection."""
        self._state.set_mode("freeze")

    def heal(self):
        """Deliver what was held."""
        self._state.set_mode("ok")

    def silence(self):
        """Let the open connections go silent for good; new ones work."""
        self.cut()
        self._state = LinkState(self._link)


class AdvancingSelector(selectors.DefaultSelector):
    """A selector that never blocks; it advances a simulated clock instead.

    `now` is the clock in seconds.
    """

    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        """Return the ready events; if none, advance the clock by the timeout."""
        events = super().select(0)
        if not events and timeout:
            self.now += timeout
        return events


def run_on_simulated_clock(coroutine):
    """Run a coroutine on an event loop with a simulated clock.

    Timers and sleeps end without waiting in real time.
    """

    def make_loop():
        selector = AdvancingSelector()
        loop = asyncio.SelectorEventLoop(selector)
        loop.time = lambda: selector.now
        return loop

    with asyncio.Runner(loop_factory=make_loop) as runner:
        return runner.run(coroutine)


@contextlib.asynccontextmanager
async def deployed(plan=SMALL, **options):
    """Run a deployment in a context; check that its processes exit cleanly."""
    deployment = Deployment(plan, **options)
    try:
        await deployment.start()
        yield deployment
    finally:
        unclean = await deployment.stop()
    assert unclean == []


async def connect(deployment, entry, workspace="press", **options):
    """Connect as a workspace to an entry instance; return the connection."""
    options = {"autocommit": True, "password": key_of(workspace), **options}
    return await aiomysql.connect(
        host="127.0.0.1",
        port=deployment.entries[entry][0],
        user=workspace,
        db=options.pop("db", workspace),
        **options,
    )


async def query(conn, sql, args=None):
    """Execute a statement; return its rows, or the number of affected rows."""
    async with conn.cursor() as cursor:
        await cursor.execute(sql, args)
        if cursor.description is None:
            return cursor.rowcount
        return list(await cursor.fetchall())
