"""A TCP proxy that delays, cuts and freezes links between processes."""

import asyncio
from typing import NamedTuple

from aiohttp import web

CHUNK = 65536


class Link(NamedTuple):
    """A listening port that leads to a target, from one place to another."""

    name: str
    listen: str
    target: str
    delay_s: float = 0.0


class FaultSettings(NamedTuple):
    """Settings of the proxy: its control address and its links."""

    control: str
    links: tuple[Link, ...]


class LinkState:
    """The fault in force on a link and its open connections."""

    def __init__(self, link):
        self.link = link
        self.mode = "ok"
        self.delay_s = link.delay_s
        self.writers = set()
        self.carried = 0
        self.healed = asyncio.Event()
        self.healed.set()

    def set_mode(self, mode):
        """Set ok, cut (connections end, none open) or freeze (bytes wait)."""
        self.mode = mode
        if mode == "freeze":
            self.healed.clear()
            return
        self.healed.set()
        if mode == "cut":
            for writer in list(self.writers):
                writer.transport.abort()


async def _pump(state, reader, writer):
    """Carry bytes one way, each chunk after the link's delay."""
    loop = asyncio.get_running_loop()
    queue = asyncio.Queue(maxsize=64)

    async def send():
        while True:
            due, data = await queue.get()
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            await state.healed.wait()
            if data is None:
                return
            writer.write(data)
            await writer.drain()

    sender = asyncio.create_task(send())
    try:
        while data := await reader.read(CHUNK):
            state.carried += len(data)
            await queue.put((loop.time() + state.delay_s, data))
        await queue.put((loop.time() + state.delay_s, None))
        await sender
    except OSError:
        pass
    finally:
        sender.cancel()
        writer.close()


async def _serve_link(state, reader, writer):
    state.writers.add(writer)
    try:
        if state.mode == "cut":
            writer.transport.abort()
            return
        await state.healed.wait()
        host, port = state.link.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        state.writers.add(far_writer)
        try:
            await asyncio.gather(
                _pump(state, reader, far_writer), _pump(state, far_reader, writer)
            )
        finally:
            state.writers.discard(far_writer)
            far_writer.close()
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
        carried = {name: state.carried for name, state in states.items()}
        return web.json_response({"changed": changed, "bytes": carried})

    return handle


async def serve(cfg):
    """Serve all links until cancelled."""
    states = {link.name: LinkState(link) for link in cfg.links}
    servers = []
    for state in states.values():
        host, port = state.link.listen.rsplit(":", 1)

        def accept(reader, writer, state=state):
            return _serve_link(state, reader, writer)

        servers.append(await asyncio.start_server(accept, host, int(port)))
    app = web.Application(client_max_size=4 * 1024 * 1024)
    app.router.add_post("/standin", _control_handler(states))
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    host, port = cfg.control.rsplit(":", 1)
    await web.TCPSite(runner, host, int(port)).start()
    await asyncio.Event().wait()
