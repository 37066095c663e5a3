"""A TCP proxy that injects faults: it delays, cuts and freezes links."""

import asyncio
from typing import NamedTuple

from aiohttp import web

CHUNK_BYTES = 65536


class Link(NamedTuple):
    """A listening address whose connections are forwarded to a target address."""

    name: str
    listen: str
    target: str
    delay_s: float = 0.0


class FaultSettings(NamedTuple):
    """Settings of the proxy; `control` is the address of its HTTP control server."""

    control: str
    links: tuple[Link, ...]


class LinkState:
    """A link's current fault and its open connections."""

    def __init__(self, link):
        self.link = link
        self.mode = "ok"
        self.delay_s = link.delay_s
        self.writers = set()
        self.forwarded_bytes = 0
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()

    def set_mode(self, mode):
        """Set the mode: "ok", "cut" or "freeze".

        A cut aborts all connections and refuses new ones; a freeze holds all bytes
        back until the mode changes.
        """
        self.mode = mode
        if mode == "freeze":
            self.unfrozen.clear()
            return
        self.unfrozen.set()
        if mode == "cut":
            for writer in list(self.writers):
                writer.transport.abort()


async def _forward(state, reader, writer):
    """Forward bytes in one direction, each chunk after the link's delay."""
    loop = asyncio.get_running_loop()
    queue = asyncio.Queue(maxsize=64)

    async def send():
        while True:
            send_at, data = await queue.get()
            if send_at > loop.time():
                await asyncio.sleep(send_at - loop.time())
            await state.unfrozen.wait()
            if data is None:
                return
            writer.write(data)
            await writer.drain()

    sender = asyncio.create_task(send())
    try:
        while data := await reader.read(CHUNK_BYTES):
            state.forwarded_bytes += len(data)
            await queue.put((loop.time() + state.delay_s, data))
        await queue.put((loop.time() + state.delay_s, None))
        await sender
    except (OSError, RuntimeError):
        pass  # uvloop raises RuntimeError for a write to a closed connection
    finally:
        sender.cancel()
        writer.close()


async def serve_link(state, reader, writer):
    """Forward one accepted connection of a link."""
    state.writers.add(writer)
    try:
        if state.mode == "cut":
            writer.transport.abort()
            return
        await state.unfrozen.wait()
        host, port = state.link.target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        state.writers.add(target_writer)
        try:
            await asyncio.gather(
                _forward(state, reader, target_writer),
                _forward(state, target_reader, writer),
            )
        finally:
            state.writers.discard(target_writer)
            target_writer.close()
    finally:
        state.writers.discard(writer)
        writer.close()


def _control_handler(states):
    async def handle(request):
        body = await request.json()
        changed = 0
        for name, state in states.items():
            if name in body["links"]:
                if "delay_s" in body:
                    state.delay_s = float(body["delay_s"])
                if "mode" in body:
                    state.set_mode(body["mode"])
                changed += 1
        forwarded_bytes = {
            name: state.forwarded_bytes for name, state in states.items()
        }
        return web.json_response({"changed": changed, "bytes": forwarded_bytes})

    return handle


async def serve(cfg):
    """Forward all links and serve the control address until cancelled."""
    states = {link.name: LinkState(link) for link in cfg.links}
    servers = []
    for state in states.values():
        host, port = state.link.listen.rsplit(":", 1)

        def accept(reader, writer, state=state):
            return serve_link(state, reader, writer)

        servers.append(await asyncio.start_server(accept, host, int(port)))
    app = web.Application(client_max_size=4 * 1024 * 1024)
    app.router.add_post("/standin", _control_handler(states))
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    host, port = cfg.control.rsplit(":", 1)
    await web.TCPSite(runner, host, int(port)).start()
    await asyncio.Event().wait()
