"""Follows the keys under a prefix of the store, directly or through other instances."""

import asyncio
import collections
import random

from dragonflywing import logs
from dragonflywing.clock import boottime
from dragonflywing.decisions import eras, replicas
from dragonflywing.errors import HistoryLost, StoreError

WATCH_S = 25.0  # the store allows up to 30 s; each watch counts as a call
RETRY_S = 0.4
# Greatest pause between attempts while the store is away.
MAX_RETRY_S = 1.6
# A watch that doesn't report a change this long after it became known in another way
# is on a connection that has gone silent, and is begun again.
WATCH_LATE_S = 0.5
MAX_RECEIVED = 500  # revisions; far more than the store changes in a second
# How often an instance that receives changes from others checks whether it still
# does.
CHECK_INTERVAL_S = 0.2


def retry_pause_s(failures):
    """Return the pause after a number of failed calls to the store in a row."""
    pause_s = min(RETRY_S * 2 ** (failures - 1), MAX_RETRY_S)
    return pause_s * random.uniform(0.5, 1.0)


class Follower:
    """A copy of the keys under a prefix, which it keeps up to date.

    `on_item(item)` is called for each item that changed, those with the least
    `order(item)` first, and `on_applied()` after all of them. An item for which it
    fails doesn't keep the others from being applied. `hold_s(key)` says how
    long a deletion is held back after an outage of the store. While
    `is_served()` is true, other instances pass the changes on, and the store is
    not asked. Changes within `batch_s()` are read with one call. `on_list(asked_at)`
    is called after a list was applied that held all keys of that time.
    """

    def __init__(self, store, prefix, on_item, metrics):
        self.store = store
        self.prefix = prefix
        self.on_item = on_item
        self.metrics = metrics
        self.replica = replicas.Replica()
        self.has_list = False
        self.allows_old_list = True  # whether the first list may be seconds old
        self._must_list = True  # whether changes may have been missed
        self._caught_up_to = eras.ABSENT  # the revision that is known to be reached
        # The revisions of the changes that were received lately.
        self.received = collections.deque(maxlen=MAX_RECEIVED)
        self._watching = None  # the timeout of the watch that is waiting
        # The items for which `on_item` failed, {key: item}.
        self._failed = {}
        self.order = lambda item: 0
        self.on_applied = lambda: None
        self.hold_s = lambda key: replicas.RESTORE_S
        self.is_served = lambda: False
        self.batch_s = lambda: 0.0
        self.on_list = lambda asked_at: None

    def _now(self):
        return asyncio.get_running_loop().time()

    def apply(self, changes):
        """Apply Changes, from the store or from another instance."""
        replicas.note_restored(self.replica, self.store.restored_at)
        is_newer = changes.revision >= self.replica.revision
        if is_newer:  # otherwise they aren't applied
            self.received.extend(item.revision for item in changes.items)
        items = replicas.apply_changes(self.replica, self._now(), changes, self.hold_s)
        if changes.is_complete and is_newer:
            self.has_list = True
            self._must_list = False
            items = self._with_failed(items)
        if changes.is_complete and not is_newer:
            self.metrics.count("store.list_rejected")
            logs.event(
                "list_rejected",
                prefix=self.prefix,
                revision=changes.revision,
                known=self.replica.revision,
            )
        if items:
            self._expect_report(WATCH_LATE_S)
            self._hand_over(items)

    def _hand_over(self, items):
        """Call `on_item` for each of the items, and `on_applied` after them."""
        for item in sorted(items, key=self.order):
            try:
                self.on_item(item)
            except Exception as exc:
                self._note_failed(item, exc)
            else:
                self._failed.pop(item.key, None)
        self.on_applied()

    def _note_failed(self, item, exc):
        """Count an item that was not applied; log it unless its revision was logged."""
        self.metrics.count("store.item_failed")
        known = self._failed.get(item.key)
        self._failed[item.key] = item
        if known is None or known.revision != item.revision:
            logs.warn(
                "item_not_applied",
                key=item.key[:200],
                revision=item.revision,
                is_deleted=item.value is None,
                error=repr(exc)[:200],
            )

    def _with_failed(self, items):
        """Return items with those that were not applied before and haven't changed."""
        changed = {item.key for item in items}
        return items + [x for key, x in self._failed.items() if key not in changed]

    def note_complete(self, revision):
        """Note that this copy has all changes up to a revision of the store."""
        self._caught_up_to = max(self._caught_up_to, revision)

    def complete_to(self):
        """Return the revision up to which this copy has all changes."""
        return max(self._caught_up_to, self.replica.revision)

    async def catch_up(self, revision):
        """Apply the changes up to a revision of the store, whatever the watch does.

        A watch may wait on a connection that has gone silent.
        """
        if self.complete_to() >= revision:
            return
        try:
            items, reached = await self.store.watch(
                self.prefix, self.complete_to(), 0.0
            )
        except (HistoryLost, StoreError):
            self._expect_report(0.0)
            await self._read_list(may_be_old=False)
            return
        if items:
            self.apply(replicas.Changes(False, reached, items))
        self.note_complete(reached)

    def _expect_report(self, seconds):
        """Let the watch that is waiting end after a time at the latest."""
        if self._watching is not None and self._watching.when() is None:
            self._watching.reschedule(self._now() + seconds)

    def expire(self):
        """Apply deletions that were held back long enough."""
        items = replicas.expire(self.replica, self._now())
        if items:
            self._hand_over(items)

    async def run(self):
        """Follow the keys until cancelled."""
        if self.replica.items or self._failed:
            # An earlier run may have failed before it had handed them all over.
            self._hand_over(self._with_failed(list(self.replica.items.values())))
        failures, has_watched = 0, False
        while True:
            try:
                if self._must_list:
                    is_first = not self.has_list and not failures
                    await self._read_list(self.allows_old_list and is_first)
                elif self.is_served():
                    await asyncio.sleep(CHECK_INTERVAL_S)
                else:
                    await self._watch()
                    has_watched = True
                if failures:
                    logs.event("store_regained", prefix=self.prefix)
                failures = 0
            except HistoryLost:
                self.metrics.count("store.history_lost")
                self._must_list = True
                if not has_watched:
                    await asyncio.sleep(retry_pause_s(1))
                has_watched = False
            except StoreError as exc:
                if not failures:
                    logs.event("store_lost", prefix=self.prefix, error=str(exc))
                failures += 1
                self.metrics.count("store.follow_failed")
                await asyncio.sleep(retry_pause_s(failures))

    async def read_now(self):
        """Apply all keys as they are in the store now; raise StoreError if it fails."""
        await self._read_list(may_be_old=False)

    async def _read_list(self, may_be_old):
        asked_at = boottime()
        items, revision = await self.store.get_prefix(self.prefix, may_be_old)
        if may_be_old:
            # The list may be older than the revision that the store has reached.
            revision = max([item.revision for item in items], default=eras.ABSENT)
        self.apply(replicas.Changes(True, revision, items))
        if self._must_list:
            raise StoreError(f"list {self.prefix}: older than the copy", False)
        if not may_be_old:
            self.on_list(asked_at)

    async def _watch(self):
        try:
            async with asyncio.timeout(None) as self._watching:
                items, revision = await self.store.watch(
                    self.prefix, self.replica.revision, WATCH_S
                )
        except TimeoutError:
            self.metrics.count("store.watch_silent")
            # Other connections may have gone silent too.
            self.store.drop_idle_connections()
            raise StoreError(f"watch {self.prefix}: silent", True) from None
        finally:
            self._watching = None
        self.apply(replicas.Changes(False, revision, items))
        if items:
            await asyncio.sleep(self.batch_s())
