"""A stand-in for the users' platform: its store over HTTP, and promotions."""

import asyncio
import base64
import json

from aiohttp import web

EXPIRY_INTERVAL_S = 0.05


class PlatformState:
    """Keys, leases and history of the store, and the promotions ordered."""

    def __init__(self, promote):
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.history = []
        self.changed = asyncio.Event()
        self.is_down = False
        self.promote = promote
        self.promotions = []

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
        self._note(dict(self.items[key]))
        return self.revision

    def delete(self, key):
        """Delete a key."""
        if self.items.pop(key, None):
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "tombstone": True})

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def expire(self):
        """End leases in time until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = loop.time()
            for lease in [k for k, (_, end) in self.leases.items() if end <= now]:
                if not self.is_down:
                    self.end_lease(lease)


async def _key(state, req):
    item = state.items.get(req.query["key"])
    body = dict(item or {}, current_rev=state.revision)
    return web.json_response(body, status=200 if item else 404)


async def _range(state, req):
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
    prefix, after = req.query["prefix"], int(req.query["after"])
    end = asyncio.get_running_loop().time() + int(req.query["wait_ms"]) / 1000
    while True:
        changed = state.changed
        events = [
            event
            for event in state.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
        remaining = end - asyncio.get_running_loop().time()
        if events or remaining <= 0 or state.is_down:
            body = {"events": events, "current_rev": state.revision}
            return web.json_response(body)
        try:
            await asyncio.wait_for(changed.wait(), remaining)
        except TimeoutError:
            continue


async def _txn(state, req):
    body = await req.json()
    now = {
        row["key"]: state.items.get(row["key"], {"key": row["key"], "revision": 0})
        for row in body["expect"]
    }
    if any(now[row["key"]]["revision"] != row["revision"] for row in body["expect"]):
        return web.json_response({"items": list(now.values())}, status=412)
    if any(p.get("lease") and p["lease"] not in state.leases for p in body["puts"]):
        return web.json_response({}, status=404)
    for put in body["puts"]:
        value = base64.b64decode(put["value"])
        state.put(put["key"], value, put.get("lease", 0))
    for key in body["deletes"]:
        state.delete(key)
    return web.json_response({"revision": state.revision})


async def _lease(state, req):
    ttl_s = (await req.json())["ttl_ms"] / 1000
    lease = len(state.history) * 1000 + len(state.leases) + 1
    state.leases[lease] = (ttl_s, asyncio.get_running_loop().time() + ttl_s)
    return web.json_response({"lease": lease, "ttl_ms": int(ttl_s * 1000)})


async def _keep(state, req):
    lease = int(req.match_info["lease"])
    if lease not in state.leases:
        return web.json_response({}, status=404)
    ttl_s, _ = state.leases[lease]
    state.leases[lease] = (ttl_s, asyncio.get_running_loop().time() + ttl_s)
    return web.json_response({"ttl_ms": int(ttl_s * 1000)})


async def _end(state, req):
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

    def serve(handler):
        async def answer(req):
            if state.is_down:
                return web.json_response({}, status=503)
            return await handler(state, req)

        return answer

    app = web.Application()
    app.router.add_get("/-/kv-key", serve(_key))
    app.router.add_get("/-/kv-range", serve(_range))
    app.router.add_get("/-/kv-watch", serve(_watch))
    app.router.add_post("/-/kv-txn", serve(_txn))
    app.router.add_post("/-/kv-lease", serve(_lease))
    app.router.add_post("/-/kv-keep/{lease}", serve(_keep))
    app.router.add_delete("/-/kv-lease-end/{lease}", serve(_end))
    app.router.add_post("/promote", serve(_promote))
    return app


def encode(document):
    """Return a document as the platform keeps it in the store."""
    return json.dumps(document).encode()
