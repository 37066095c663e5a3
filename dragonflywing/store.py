"""Client of the platform's store, the HTTP/JSON gateway of etcd v3."""

import asyncio
import base64
import contextlib
from typing import NamedTuple

import aiohttp

from dragonflywing import responses
from dragonflywing.errors import StoreError

CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.7
READ_BUFFER_BYTES = 64 << 10
# Between the first byte of a line of a watch and its end.
LINE_TIMEOUT_S = 10.0
ERROR_BYTES = 4096  # read of the text of an error


CALL_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    ValueError,
    responses.ResponseTooLarge,
)


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


@contextlib.contextmanager
def _reject_malformed(call):
    """Raise StoreError if a field of a call's answer is missing or malformed."""
    try:
        yield
    except (LookupError, TypeError, ValueError, AttributeError) as exc:
        raise StoreError(f"{call}: malformed answer: {exc!r}", True) from None


async def _read_text(resp, max_bytes):
    """Return the body of a response, or raise ResponseTooLarge."""
    with responses.Body(max_bytes) as body:
        while data := await resp.content.readany():
            body.add(data)
        return body.data


async def _read_lines(resp, max_bytes):
    """Yield the lines of a response, or raise ResponseTooLarge or TimeoutError."""
    data = b""
    while data := data or await resp.content.readany():
        *lines, rest = data.split(b"\n")
        for line in lines:
            yield line
        data = b""
        if rest:
            async with asyncio.timeout(LINE_TIMEOUT_S):
                line, data = await _read_line(resp, rest, max_bytes)
            yield line


async def _read_line(resp, start, max_bytes):
    """Return the line that begins with `start`, and what was read after it."""
    with responses.Body(max_bytes) as body:
        body.add(start)
        end, rest = b"", b""
        while not end and (data := await resp.content.readany()):
            head, end, rest = data.partition(b"\n")
            body.add(head)
        return body.data, rest


def prefix_end(prefix):
    """Return the exclusive end of the range of keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


class Store:
    """HTTP client of the store; any call may raise StoreError."""

    def __init__(self, urls, metrics=None, max_bytes=responses.MAX_BYTES):
        self.urls = list(urls)
        self.max_bytes = max_bytes  # of a response, or of a line of a watch
        self.metrics = metrics
        self._session = None

    async def open(self):
        """Open the HTTP session."""
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        # A compressed response could be a thousand times as large as its bytes.
        self._session = aiohttp.ClientSession(
            timeout=timeout,
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=False,
            headers={"Accept-Encoding": "identity"},
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
                    if resp.status != 200:
                        data = await resp.content.read(ERROR_BYTES)
                        text = data[:200].decode("utf-8", "replace")
                        raise StoreError(f"status {resp.status}: {text}", writes)
                    value = responses.parse(await _read_text(resp, self.max_bytes))
                    if not isinstance(value, dict):
                        raise ValueError("not an object")
                    return value
            except aiohttp.ClientConnectorError as exc:
                connect_error = StoreError(f"connection failed: {exc}", False)
            except CALL_ERRORS as exc:
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
        with _reject_malformed("range"):
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
                async for line in _read_lines(resp, self.max_bytes):
                    result = responses.parse(line).get("result", {})
                    events = result.get("events", [])
                    yield [_decode_key_value(item["kv"]) for item in events]
        except (*CALL_ERRORS, LookupError, TypeError, AttributeError) as exc:
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
