"""A stand-in for the platform's store: a subset of etcd's JSON gateway."""

import asyncio
import base64
import copy
import json
from collections import Counter, deque

from aiohttp import web

EXPIRY_INTERVAL_S = 0.05
PROGRESS_INTERVAL_S = 1.0
WATCH_RESULT_KEY = "result"


def _encode_b64(data):
    return base64.b64encode(data).decode()


def _decode_b64(text):
    return base64.b64decode(text)


class StoreState:
    """Keys, leases, history and the current fault.

    `values` maps a key to (value, revision, lease), `leases` an id to (duration in
    seconds, end). `mode` is "ok", "down", "freeze" or "lose_answers".
    """

    def __init__(self):
        self.revision = 1
        self.values = {}
        self.leases = {}
        self.lease_keys = {}
        self.next_lease = 100
        self.history = deque(maxlen=20000)
        self.changed = asyncio.Event()
        self.calls = Counter()
        self.open_watches = 0
        self.mode = "ok"
        self.delay_s = 0.0
        self._backup = None

    def back_up(self):
        """Keep a copy of the present state for `restore`."""
        state = (self.revision, self.values, self.leases, self.lease_keys, self.history)
        self._backup = copy.deepcopy(state)

    def restore(self):
        """Come back with the state of the copy; what was written since is gone."""
        state = copy.deepcopy(self._backup)
        self.revision, self.values, self.leases, self.lease_keys, self.history = state


def _key_value(state, key):
    value, revision, lease = state.values[key]
    return {
        "key": _encode_b64(key),
        "value": _encode_b64(value),
        "mod_revision": str(revision),
        "lease": str(lease),
    }


def _record_event(state, kind, kv):
    state.history.append((state.revision, kind, _decode_b64(kv["key"]), kv))
    state.changed.set()
    state.changed = asyncio.Event()


def _write_key(state, body):
    key = _decode_b64(body["key"])
    lease = int(body.get("lease", 0) or 0)
    if lease and lease not in state.leases:
        raise web.HTTPNotFound(text="lease not found")
    state.revision += 1
    state.values[key] = (_decode_b64(body.get("value", "")), state.revision, lease)
    if lease:
        state.lease_keys.setdefault(lease, set()).add(key)
    _record_event(state, "PUT", _key_value(state, key))


def _delete_key(state, key):
    if state.values.pop(key, None) is None:
        return
    state.revision += 1
    kv = {"key": _encode_b64(key), "mod_revision": str(state.revision)}
    _record_event(state, "DELETE", kv)


def _header(state):
    return {"revision": str(state.revision)}


def _range(state, body):
    key = _decode_b64(body["key"])
    end = _decode_b64(body["range_end"]) if body.get("range_end") else None
    if end is None:
        keys = [key] if key in state.values else []
    else:
        keys = sorted(name for name in state.values if key <= name < end)
    return {"header": _header(state), "kvs": [_key_value(state, name) for name in keys]}


def _comparison_holds(state, compare):
    entry = state.values.get(_decode_b64(compare["key"]))
    return (entry[1] if entry else 0) == int(compare.get("mod_revision", 0))


def _txn(state, body):
    succeeded = all(_comparison_holds(state, item) for item in body.get("compare", []))
    for operation in body.get("success" if succeeded else "failure", []):
        if "request_put" in operation:
            _write_key(state, operation["request_put"])
        elif "request_delete_range" in operation:
            _delete_key(state, _decode_b64(operation["request_delete_range"]["key"]))
    return {"header": _header(state), "succeeded": succeeded}


def _put_key(state, body):
    _write_key(state, body)
    return {"header": _header(state)}


def _grant(state, body):
    state.next_lease += 1
    seconds = float(body["TTL"])
    now = asyncio.get_running_loop().time()
    state.leases[state.next_lease] = (seconds, now + seconds)
    return {"ID": str(state.next_lease), "TTL": str(seconds)}


def _keepalive(state, body):
    lease = int(body["ID"])
    if lease not in state.leases:
        return {"result": {"ID": body["ID"], "TTL": "0"}}
    seconds = state.leases[lease][0]
    now = asyncio.get_running_loop().time()
    state.leases[lease] = (seconds, now + seconds)
    return {"result": {"ID": body["ID"], "TTL": str(max(1, round(seconds)))}}


def _end_lease(state, lease):
    state.leases.pop(lease, None)
    for key in state.lease_keys.pop(lease, set()):
        if key in state.values and state.values[key][2] == lease:
            _delete_key(state, key)


def _revoke(state, body):
    _end_lease(state, int(body["ID"]))
    return {"header": _header(state)}


async def expire_leases(state):
    """End leases that have expired, until cancelled."""
    while True:
        await asyncio.sleep(EXPIRY_INTERVAL_S)
        if state.mode == "down":
            # A store that restarts renews all leases.
            continue
        now = asyncio.get_running_loop().time()
        for lease in [item for item, (_, end) in state.leases.items() if end < now]:
            _end_lease(state, lease)


def _handler(state, name, function):
    async def handle(request):
        state.calls[name] += 1
        await _apply_fault(state, request)
        answer = function(state, await request.json())
        if state.mode == "lose_answers" and name in ("put", "txn", "grant"):
            request.transport.close()
        return web.json_response(answer)

    return handle


async def _apply_fault(state, request):
    if state.mode == "down":
        request.transport.close()
        raise web.HTTPServiceUnavailable()
    if state.mode == "freeze":
        await asyncio.sleep(60)
    if state.delay_s:
        await asyncio.sleep(state.delay_s)


def _watch_handler(state):
    async def handle(request):
        state.calls["watch"] += 1
        await _apply_fault(state, request)
        body = (await request.json())["create_request"]
        start, end = _decode_b64(body["key"]), _decode_b64(body["range_end"])
        revision = int(body.get("start_revision", 0)) - 1
        resp = web.StreamResponse()
        await resp.prepare(request)
        await _send_watch_result(resp, {"created": True})
        state.open_watches += 1
        try:
            while state.mode not in ("down", "freeze"):
                changed = state.changed
                events = _events_after(state, revision, start, end)
                revision = state.revision
                await _send_watch_result(
                    resp, {"header": _header(state), "events": events}
                )
                try:
                    async with asyncio.timeout(PROGRESS_INTERVAL_S):
                        await changed.wait()
                except TimeoutError:
                    pass
            request.transport.close()
        except ConnectionError:
            pass
        finally:
            state.open_watches -= 1
        return resp

    return handle


def _events_after(state, after, start, end):
    return [
        {"type": kind, "kv": kv}
        for revision, kind, key, kv in state.history
        if revision > after and start <= key < end
    ]


async def _send_watch_result(resp, result):
    await resp.write(json.dumps({WATCH_RESULT_KEY: result}).encode() + b"\n")


def _control_handler(state):
    async def handle(request):
        body = await request.json()
        state.mode = body.get("mode", state.mode)
        state.delay_s = float(body.get("delay_s", state.delay_s))
        if body.get("back_up"):
            state.back_up()
        if body.get("restore"):
            state.restore()
        if state.mode == "ok":
            now = asyncio.get_running_loop().time()
            for lease, (seconds, _) in list(state.leases.items()):
                state.leases[lease] = (seconds, now + seconds)
        calls = dict(state.calls)
        return web.json_response({"calls": calls, "watching": state.open_watches})

    return handle


async def serve(host, port):
    """Serve the store until cancelled."""
    state = StoreState()
    app = web.Application(client_max_size=4 * 1024 * 1024)
    handlers = {
        "/v3/kv/range": ("range", _range),
        "/v3/kv/put": ("put", _put_key),
        "/v3/kv/txn": ("txn", _txn),
        "/v3/lease/grant": ("grant", _grant),
        "/v3/lease/keepalive": ("keepalive", _keepalive),
        "/v3/lease/revoke": ("revoke", _revoke),
    }
    for path, (name, function) in handlers.items():
        app.router.add_post(path, _handler(state, name, function))
    app.router.add_post("/v3/watch", _watch_handler(state))
    app.router.add_post("/standin", _control_handler(state))
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    try:
        await expire_leases(state)
    finally:
        await runner.cleanup()
