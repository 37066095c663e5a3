"""A stand-in for the users' platform: its HTTP store and promotion service."""

import asyncio
import base64
import copy
import json
from collections import Counter
from typing import NamedTuple

from aiohttp import web

EXPIRY_INTERVAL_S = 0.05
SLOW_CHUNK_BYTES = 8192  # bytes sent at once over a slow link
ERA_HEADER = "Store-Era"


class Backup(NamedTuple):
    """A copy of the store's state."""

    revision: int
    items: dict
    leases: dict
    history: list


class PlatformState:
    """Keys, leases and history of the store, and the promotions requested.

    `leases` maps an id to (duration in seconds, end); `promote(group, database)`
    returns an HTTP status; `promotions` holds (holder, token, group, database).
    Watches hear nothing while `is_deaf`. `calls` counts the calls by path. All
    answers share a link of `bytes_per_s`, if it is set. `era` rises by one each
    time the store comes back from a Backup.
    """

    def __init__(self, promote):
        self.era = 1
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.history = []
        self.changed = asyncio.Event()
        self.is_down = False
        self.is_deaf = False
        self.promote = promote
        self.promotions = []
        self.calls = Counter()
        self.bytes_per_s = None
        self._link = asyncio.Lock()

    async def send_slowly(self, req, resp):
        """Send a response over the slow link; return it."""
        body = resp.body
        resp = web.StreamResponse(status=resp.status, headers=resp.headers)
        resp.content_length = len(body)
        await resp.prepare(req)
        for start in range(0, len(body), SLOW_CHUNK_BYTES):
            chunk = body[start : start + SLOW_CHUNK_BYTES]
            async with self._link:
                await asyncio.sleep(len(chunk) / self.bytes_per_s)
            await resp.write(chunk)
        await resp.write_eof()
        return resp

    def back_up(self):
        """Return a Backup of the present state."""
        return copy.deepcopy(
            Backup(self.revision, self.items, self.leases, self.history)
        )

    def restore(self, backup):
        """Come back with the state of a Backup; what was written since is gone."""
        state = copy.deepcopy(backup)
        self.revision, self.items = state.revision, state.items
        self.leases, self.history = state.leases, state.history
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Write a key; return the revision."""
        self.revision += 1
        created = self.items[key]["create_revision"] if key in self.items else None
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create_revision": created or self.revision,
            "lease": lease,
        }
        self._record_event(dict(self.items[key]))
        return self.revision

    def delete(self, key):
        """Delete a key."""
        if self.items.pop(key, None):
            self.revision += 1
            self._record_event(
                {"key": key, "revision": self.revision, "tombstone": True}
            )

    def _record_event(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def expire(self):
        """End leases that have expired, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = loop.time()
            for lease in [k for k, (_, end) in self.leases.items() if end <= now]:
                if not self.is_down:
                    self.end_lease(lease)


async def _get_key(state, req):
    item = state.items.get(req.query["key"])
    body = dict(item or {}, current_rev=state.revision)
    return web.json_response(body, status=200 if item else 404)


async def _get_range(state, req):
    prefix, after = req.query["prefix"], req.query.get("after", "")
    keys = sorted(k for k in state.items if k.startswith(prefix) and k > after)
    return web.json_response(
        {
            "items": [state.items[key] for key in keys[:500]],
            "has_more": len(keys) > 500,
            "current_rev": state.revision,
        }
    )


async def _watch(state, req):
    prefix, after, era = req.query["prefix"], int(req.query["after"]), state.era
    deadline = asyncio.get_running_loop().time() + int(req.query["wait_ms"]) / 1000
    while True:
        changed = state.changed
        if state.era != era:
            req.transport.close()  # a store that goes away cuts its watches
            raise web.HTTPServiceUnavailable()
        if after > state.revision:
            return web.json_response({}, status=410)
        events = [
            event
            for event in state.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
        if state.is_deaf:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            continue
        remaining_s = deadline - asyncio.get_running_loop().time()
        if events or remaining_s <= 0 or state.is_down:
            body = {"events": events, "current_rev": state.revision}
            return web.json_response(body)
        try:
            await asyncio.wait_for(changed.wait(), remaining_s)
        except TimeoutError:
            continue


async def _txn(state, req):
    body = await req.json()
    current = {
        row["key"]: state.items.get(row["key"], {"key": row["key"], "revision": 0})
        for row in body["expect"]
    }
    if any(
        current[row["key"]]["revision"] != row["revision"] for row in body["expect"]
    ):
        return web.json_response({"items": list(current.values())}, status=412)
    if any(
        item.get("lease") and item["lease"] not in state.leases for item in body["puts"]
    ):
        return web.json_response({}, status=404)
    for put in body["puts"]:
        value = base64.b64decode(put["value"])
        state.put(put["key"], value, put.get("lease", 0))
    for key in body["deletes"]:
        state.delete(key)
    return web.json_response({"revision": state.revision})


async def _grant_lease(state, req):
    ttl_s = (await req.json())["ttl_ms"] / 1000
    lease = len(state.history) * 1000 + len(state.leases) + 1
    state.leases[lease] = (ttl_s, asyncio.get_running_loop().time() + ttl_s)
    return web.json_response({"lease": lease, "ttl_ms": int(ttl_s * 1000)})


async def _renew_lease(state, req):
    lease = int(req.match_info["lease"])
    if lease not in state.leases:
        return web.json_response({}, status=404)
    ttl_s, _ = state.leases[lease]
    state.leases[lease] = (ttl_s, asyncio.get_running_loop().time() + ttl_s)
    return web.json_response({"ttl_ms": int(ttl_s * 1000)})


async def _end_lease(state, req):
    state.end_lease(int(req.match_info["lease"]))
    return web.json_response({})


async def _promote(state, req):
    body = await req.json()
    state.promotions.append(
        (
            req.headers["X-Lease-Holder"],
            int(req.headers["X-Fencing-Token"]),
            body["service"],
            body["id"],
        )
    )
    return web.json_response({}, status=state.promote(body["service"], body["id"]))


def make_app(state):
    """Return the HTTP application of the stand-in."""

    def make_handler(handle):
        async def handle_if_up(req):
            if state.is_down:
                return web.json_response({}, status=503)
            state.calls[req.match_info.route.resource.canonical] += 1
            resp = await handle(state, req)
            resp.headers[ERA_HEADER] = str(state.era)
            return await state.send_slowly(req, resp) if state.bytes_per_s else resp

        return handle_if_up

    app = web.Application()
    app.router.add_get("/-/kv-key", make_handler(_get_key))
    app.router.add_get("/-/kv-range", make_handler(_get_range))
    app.router.add_get("/-/kv-watch", make_handler(_watch))
    app.router.add_post("/-/kv-txn", make_handler(_txn))
    app.router.add_post("/-/kv-lease", make_handler(_grant_lease))
    app.router.add_post("/-/kv-keep/{lease}", make_handler(_renew_lease))
    app.router.add_delete("/-/kv-lease-end/{lease}", make_handler(_end_lease))
    app.router.add_post("/promote", make_handler(_promote))
    return app


def encode(document):
    """Return a document as bytes, as the platform writes it to the store."""
    return json.dumps(document).encode()
