"""Client of the platform's store, the HTTP/JSON gateway of etcd v3."""

import asyncio
import base64
import json
from typing import NamedTuple

import aiohttp

from dragonflywing.errors import StoreError

CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.7
# A watch sends a configuration, up to a megabyte, as one line of base64.
READ_BUFFER_BYTES = 4 * 1024 * 1024


class KeyValue(NamedTuple):
    """A stored key and value with the revision of the last change."""

    key: str
    value: bytes
    mod_revision: int


def _encode(text):
    data = text if isinstance(text, bytes) else text.encode()
    return base64.b64encode(data).decode()


def _decode_key_value(kv):
    return KeyValue(
        base64.b64decode(kv["key"]).decode(),
        base64.b64decode(kv.get("value", "")),
        int(kv.get("mod_revision", 0)),
    )


def prefix_end(prefix):
    """Return the exclusive end of the range of keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


class Store:
    """HTTP client of the store; any call may raise StoreError."""

    def __init__(self, urls, metrics=None):
        self.urls = list(urls)
        self.metrics = metrics
        self._session = None

    async def open(self):
        """Open the HTTP session."""
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        self._session = aiohttp.ClientSession(
            timeout=timeout, read_bufsize=READ_BUFFER_BYTES
        )

    async def close(self):
        """Close the HTTP session."""
        if self._session:
            await self._session.close()

    async def _call(self, path, body, writes=False):
        connect_error = None
        for url in list(self.urls):
            try:
                async with self._session.post(url + path, json=body) as resp:
                    text = await resp.text()
                    if resp.status != 200:
                        raise StoreError(f"status {resp.status}: {text[:200]}", writes)
                    return json.loads(text)
            except aiohttp.ClientConnectorError as exc:
                connect_error = StoreError(f"connection failed: {exc}", False)
            except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
                if self.metrics:
                    self.metrics.count("store.failed")
                raise StoreError(f"{path}: {type(exc).__name__}", writes) from None
            self.urls.append(self.urls.pop(0))
        if self.metrics:
            self.metrics.count("store.failed")
        raise connect_error

    async def get(self, key):
        """Return the KeyValue of a key, or None."""
        entries, _ = await self._range({"key": _encode(key)})
        return entries[0] if entries else None

    async def get_prefix(self, prefix):
        """Return (KeyValues with a prefix, the store's revision)."""
        body = {"key": _encode(prefix), "range_end": _encode(prefix_end(prefix))}
        return await self._range(body)

    async def _range(self, body):
        response = await self._call("/v3/kv/range", body)
        revision = int(response.get("header", {}).get("revision", 0))
        return [_decode_key_value(kv) for kv in response.get("kvs", [])], revision

    async def put(self, key, value, lease=0):
        """Write a value unconditionally."""
        body = {"key": _encode(key), "value": _encode(value), "lease": str(lease)}
        await self._call("/v3/kv/put", body, writes=True)

    async def swap(self, key, value, mod_revision, lease=0):
        """Write a value if the key's revision is `mod_revision` (0 if it is absent)."""
        return await self.swap_all([(key, mod_revision)], [(key, value, lease)])

    async def swap_all(self, conditions, writes):
        """Apply all writes if all conditions hold; return whether they were applied.

        Conditions are (key, mod_revision); writes are (key, value, lease), where a
        value of None deletes the key.
        """
        compare = [
            {
                "key": _encode(key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(revision),
            }
            for key, revision in conditions
        ]
        success = []
        for key, value, lease in writes:
            if value is None:
                success.append({"request_delete_range": {"key": _encode(key)}})
                continue
            put = {"key": _encode(key), "value": _encode(value), "lease": str(lease)}
            success.append({"request_put": put})
        body = {"compare": compare, "success": success, "failure": []}
        response = await self._call("/v3/kv/txn", body, writes=True)
        return bool(response.get("succeeded"))

    async def grant_lease(self, seconds):
        """Create a lease and return its id."""
        body = {"TTL": str(max(1, round(seconds)))}
        response = await self._call("/v3/lease/grant", body, writes=True)
        return int(response["ID"])

    async def keep_lease(self, lease):
        """Renew a lease; return False if it has expired."""
        response = await self._call("/v3/lease/keepalive", {"ID": str(lease)}, True)
        return int(response.get("result", {}).get("TTL", 0)) > 0

    async def revoke_lease(self, lease):
        """Revoke a lease, which deletes its keys."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)}, writes=True)

    async def watch(self, prefix, revision):
        """Yield lists of changes from `revision` on; an empty list is a keepalive."""
        request = {
            "key": _encode(prefix),
            "range_end": _encode(prefix_end(prefix)),
            "start_revision": str(revision),
            "progress_notify": True,
        }
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=CALL_TIMEOUT_S * 2
        )
        try:
            async with self._session.post(
                self.urls[0] + "/v3/watch",
                json={"create_request": request},
                timeout=timeout,
            ) as resp:
                if resp.status != 200:
                    raise StoreError(f"watch: status {resp.status}", False)
                while line := await resp.content.readline():
                    result = json.loads(line).get("result", {})
                    events = result.get("events", [])
                    yield [_decode_key_value(item["kv"]) for item in events]
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            self.urls.append(self.urls.pop(0))
            raise StoreError(f"watch: {type(exc).__name__}", False) from None


async def retry_until_known(call, check, attempts=5, pause_s=0.2):
    """Retry a conditional write until its outcome is known.

    `call` returns whether the write was applied. `check` reads the store again
    after a response was lost; it returns whether that write was applied, or None
    if this can't be determined.
    """
    uncertain = False
    for _ in range(attempts):
        try:
            done = await call()
            # An earlier attempt whose response was lost may cause this refusal.
            if done or not uncertain:
                return done
        except StoreError as exc:
            if not exc.may_have_run:
                await asyncio.sleep(pause_s)
                continue
            uncertain = True
        try:
            outcome = await check()
        except StoreError:
            outcome = None
        if outcome is not None:
            return outcome
        await asyncio.sleep(pause_s)
    raise StoreError(
        "no response from the store; the write may have been applied", True
    )
