"""Clients of the platform's store and of its promotion service."""

import asyncio
import base64
import contextlib
from typing import NamedTuple

from dragonflywing import logs, responses
from dragonflywing.clock import boottime
from dragonflywing.decisions.eras import ABSENT, Lease, Revision
from dragonflywing.errors import HistoryLost, StoreError
from dragonflywing.http import AnswerTooLarge, HttpClient, HttpError, Timeouts
from dragonflywing.ports import StoredItem

CALL_TIMEOUT_S = 1.0  # the store answers in 4 ms, a slow one in about 300 ms
# Limits for a call that may return a large value: in all, and without any bytes.
DOCUMENT_TIMEOUT_S = 10.0
SILENT_TIMEOUT_S = 1.0
# The same for a watch that is not to wait; while the store drops its history, it
# holds such watches too.
UNHELD_WATCH_TIMEOUT_S = 0.4

# Rises by one each time the store comes back from an older copy.
ERA_HEADER = "store-era"


@contextlib.contextmanager
def _reject_malformed(call):
    """Raise StoreError if a field of a call's answer is missing or malformed."""
    try:
        yield
    except (LookupError, TypeError, ValueError, AttributeError) as exc:
        raise StoreError(f"{call}: malformed answer: {exc!r}", True) from None


def _item(document, era):
    value = document.get("value")
    data = None if document.get("tombstone") else base64.b64decode(value or "")
    return StoredItem(document["key"], data, Revision(era, document["revision"]))


CALL_TIMEOUTS = Timeouts(CALL_TIMEOUT_S, CALL_TIMEOUT_S)


def _document_timeouts(silent_s=SILENT_TIMEOUT_S):
    """Return the timeouts of a call that may be silent for `silent_s` at most."""
    return Timeouts(silent_s + DOCUMENT_TIMEOUT_S, silent_s)


class _Answer(NamedTuple):
    """The status and body of the store's answer, its era, and its size in bytes."""

    status: int
    body: dict
    era: int
    size: int


class _TooLarge(StoreError):
    """The store's answer exceeds a limit."""


class PlatformStore:
    """Client of the store over HTTP.

    `era` is the store's latest one that is known. Watches from a revision of an
    earlier era end at once with HistoryLost, conditions on one don't hold, and the
    leases of an earlier era have ended.
    """

    def __init__(self, host, port, metrics, max_bytes=responses.MAX_BYTES):
        self.max_bytes = max_bytes  # of an answer, and of all pages of a list
        self.metrics = metrics
        self.answered_at = None
        self.restored_at = None  # loop time of the first answer after failed calls
        self.era = 0
        self.on_era = lambda era: None  # called with each later era
        self._is_failing = False
        self._watch_timeouts = set()  # one for each watch that is waiting
        self._http = HttpClient(host, port, max_bytes=max_bytes)

    def close(self):
        """Close all connections."""
        self._http.close()

    def drop_idle_connections(self):
        """Drop the connections that no call uses."""
        self._http.close()

    async def _call(self, method, path, body=None, timeouts=CALL_TIMEOUTS, **query):
        self.metrics.count("store.calls")
        try:
            resp = await self._http.call(method, path, timeouts, query, body)
        except HttpError as exc:
            self._is_failing = True
            is_large = isinstance(exc, AnswerTooLarge)
            error = _TooLarge if is_large else StoreError
            raise error(f"{path}: {exc}", True) from None
        if resp.status in (429, 503):
            self._is_failing = True
            raise StoreError(f"{path}: status {resp.status}", False)
        self.answered_at = boottime()
        if self._is_failing:
            self._is_failing = False
            self.restored_at = asyncio.get_running_loop().time()
        try:
            with _reject_malformed(path):
                era = int(resp.headers.get(ERA_HEADER, 0))
                body = responses.parse(resp.body) if resp.body else {}
        except responses.ResponseTooLarge as exc:
            raise _TooLarge(f"{path}: {exc}", True) from None
        self._note_era(era)
        return _Answer(resp.status, body, era, len(resp.body))

    def _note_era(self, era):
        """Note the era of an answer."""
        if era <= self.era:
            return
        self.metrics.count("store.era_changed")
        logs.event("store_era", era=era, was=self.era)
        self.era = era
        self.on_era(era)
        now = asyncio.get_running_loop().time()
        while self._watch_timeouts:
            self._watch_timeouts.pop().reschedule(now)

    async def get(self, key):
        """Return a key's Item (None if absent) and the store's revision.

        A large value may take several seconds on a slow link.
        """
        status, body, era, _ = await self._call(
            "GET", "/-/kv-key", timeouts=_document_timeouts(), key=key
        )
        with _reject_malformed("key"):
            item = _item(body, era) if status == 200 else None
            return item, Revision(era, body.get("current_rev", 0))

    async def get_prefix(self, prefix, may_be_old=False):
        """Return all Items under a prefix and the revision to watch from.

        With `may_be_old` the call is cheaper, and the list may be seconds old.
        """
        items, revision, after, total = [], None, "", 0
        while True:
            query = {"prefix": prefix}
            if may_be_old:
                query["serializable"] = 1
            if after:
                query["after"] = after
            status, body, era, size = await self._call("GET", "/-/kv-range", **query)
            if status != 200:
                raise StoreError(f"range {prefix}: status {status}", False)
            with _reject_malformed(f"range {prefix}"):
                items += [_item(document, era) for document in body["items"]]
                # Pages are not one snapshot, so the watch starts at the revision of
                # the first page.
                if revision is None:
                    revision = Revision(era, body["current_rev"])
                if era != revision.era:
                    raise StoreError(f"range {prefix}: pages of different eras", False)
                if not body.get("has_more"):
                    return items, revision
                if items[-1].key == after:
                    raise ValueError("a page without further keys")
                after = items[-1].key
            total += size
            if total > self.max_bytes or len(items) > responses.MAX_LIST_ITEMS:
                responses.note_refused(total)
                raise StoreError(f"range {prefix}: list too large", False)

    async def watch(self, prefix, after, wait_s):
        """Return changed Items after a revision, and the revision to watch from next.

        The store answers once there are changes, or after `wait_s` without any. A
        large value may take several seconds on a slow link.
        """
        silent_s = wait_s + SILENT_TIMEOUT_S if wait_s else UNHELD_WATCH_TIMEOUT_S
        if after.era < self.era:
            raise HistoryLost(prefix)
        try:
            async with asyncio.timeout(None) as timeout:
                self._watch_timeouts.add(timeout)
                status, body, era, _ = await self._call(
                    "GET",
                    "/-/kv-watch",
                    prefix=prefix,
                    after=after.number,
                    wait_ms=int(wait_s * 1000),
                    timeouts=_document_timeouts(silent_s),
                )
        except (TimeoutError, _TooLarge):
            # A list has each key once, so it may be smaller than the changes.
            raise HistoryLost(prefix) from None
        finally:
            self._watch_timeouts.discard(timeout)
        # The store compares only numbers, so it may have answered for another era.
        if status == 410 or era != after.era:
            raise HistoryLost(prefix)
        if status != 200:
            raise StoreError(f"watch {prefix}: status {status}", False)
        with _reject_malformed(f"watch {prefix}"):
            items = [_item(event, era) for event in body["events"]]
            return items, Revision(era, body["current_rev"])

    async def swap(self, key, value, revision, lease=None, guard=None):
        """Write a key if its revision is `revision`; None writes it in any case.

        `guard` is another key and the revision that it must have. Return the new
        revision, or None if a revision differs or the lease ended.
        """
        is_conditional = revision not in (None, ABSENT)
        if is_conditional and revision.era < self.era:
            return None
        if lease is not None and lease.era < self.era:
            return None
        data = base64.b64encode(value).decode()
        put = {"key": key, "value": data, "lease": lease.id if lease else 0}
        expect = []
        if revision is not None:
            expect = [{"key": key, "revision": revision.number}]
        if guard is not None:
            guard_key, guard_revision = guard
            if guard_revision.era < self.era:
                return None
            expect.append({"key": guard_key, "revision": guard_revision.number})
        body = {"expect": expect, "puts": [put], "deletes": []}
        status, answer, era, _ = await self._call("POST", "/-/kv-txn", body)
        if status not in (200, 412, 404):
            raise StoreError(f"txn: status {status}", False)
        if status == 200 and is_conditional and era != revision.era:
            # The condition held for another revision of the same number.
            raise StoreError("txn: the store came back from an older copy", True)
        with _reject_malformed("txn"):
            return Revision(era, answer["revision"]) if status == 200 else None

    async def grant_lease(self, seconds):
        """Return a new Lease."""
        status, body, era, _ = await self._call(
            "POST", "/-/kv-lease", {"ttl_ms": int(seconds * 1000)}
        )
        if status != 200:
            raise StoreError(f"lease: status {status}", False)
        with _reject_malformed("lease"):
            return Lease(era, body["lease"])

    async def keep_lease(self, lease):
        """Renew a lease; return False if it has ended."""
        if lease.era < self.era:
            return False
        status, _, era, _ = await self._call("POST", f"/-/kv-keep/{lease.id}", {})
        if status not in (200, 404):
            raise StoreError(f"keep: status {status}", False)
        return status == 200 and era == lease.era

    async def end_lease(self, lease):
        """End a lease and delete its keys."""
        if lease.era == self.era:
            await self._call("DELETE", f"/-/kv-lease-end/{lease.id}")


class PromotionClient:
    """Requests promotions from the platform.

    Each order has a connection of its own: that it opens shows that the way is clear.
    """

    def __init__(self, host, port):
        self._http = HttpClient(host, port, max_idle=0)

    async def promote(self, group, database, holder, token, left_s):
        """Request a promotion; return the HTTP status.

        The order is not delivered later than `left_s()` seconds from now.
        """
        headers = [("X-Lease-Holder", holder), ("X-Fencing-Token", str(token))]
        timeout_s = max(0.0, left_s())
        try:
            resp = await self._http.call(
                "POST",
                "/promote",
                Timeouts(timeout_s, timeout_s),
                body={"service": group, "id": database},
                headers=headers,
                left_s=left_s,
            )
        except HttpError as exc:
            raise StoreError(f"promote: {exc}", exc.sent) from None
        return resp.status
