"""The store's records of orders that may still take effect.

See `decisions/orders.py`.
"""

import asyncio
import json

from dragonflywing import decoding, logs
from dragonflywing.clock import boottime
from dragonflywing.decisions import orders
from dragonflywing.decisions.eras import ABSENT
from dragonflywing.decoding import MalformedDocument
from dragonflywing.errors import StoreError

ORDER_PREFIX = "dfw/orders/"
ADD_TIMEOUT_S = 2.0  # a call whose answer is lost, and two more


class OrderRecords:
    """The last order of each group, as the holder of the duty knows them."""

    def __init__(self, store, groups, metrics, duty):
        self.store = store
        self.groups = groups
        self.metrics = metrics
        self.duty = duty  # returns the duty's key and the revision at which it is held
        self._state = orders.OrderState()
        self._revisions = {}  # of the groups' keys

    async def read(self):
        """Return the records' items in the store."""
        items, _ = await self.store.get_prefix(ORDER_PREFIX)
        return items

    def apply(self, items):
        """Apply the orders that holders of the duty have recorded before.

        They sent none after this one has acquired it. A store that came back from an
        older copy may lack those that this process knows.
        """
        self._revisions = {}
        for item in items:
            group = item.key[len(ORDER_PREFIX) :]
            self._revisions[group] = item.revision
            try:
                order = orders.decode(decoding.decode(item.value, orders.OrderDocument))
            except (LookupError, MalformedDocument):
                self.metrics.count("refused.bad_order")
                logs.warn("bad_order", group=group)
                continue
            known = self.pending(group)
            if order is None or (known is not None and known.term > order.term):
                continue
            orders.record(self._state, group, order, boottime())
            logs.event(
                "order_found", group=group, database=order.database, term=order.term
            )

    def get(self, group):
        """Return the last order of a group, None if it has ended in any case."""
        return self._state.orders.get(group)

    def pending(self, group):
        """Return the Order of a group that may still take effect, or None."""
        self._note_leader(group)
        return orders.pending(self._state, group, boottime())

    def is_unfinished(self, group):
        """Return whether a group's order has had no effect yet, but still may."""
        self._note_leader(group)
        return orders.is_unfinished(self._state, group, boottime())

    def _note_leader(self, group):
        state = self.groups.state(group)
        orders.note_leader(self._state, group, state.primary, state.term)

    def may_resend(self, group):
        """Return whether a group's order, if there is one, may be sent again."""
        return orders.may_resend(self._state, group, boottime())

    def unfinished(self):
        """Return the groups whose orders have had no effect yet, but still may."""
        return [group for group in self._state.orders if self.is_unfinished(group)]

    async def add(self, group, order):
        """Record an order in the store before it is sent; return whether it is."""
        try:
            async with asyncio.timeout(ADD_TIMEOUT_S):
                is_written = await self._write(group, order)
        except TimeoutError:
            is_written = False
        if is_written:
            self.note_sent(group, order)
        return is_written

    def note_sent(self, group, order):
        """Note that an order may have been sent until now."""
        orders.record(self._state, group, order, boottime())

    def sent(self, group):
        """Return when a group's order was orders.Sent, None if there is none."""
        return self._state.sent.get(group)

    async def take_back(self, group, earlier, sent):
        """Record that an order was refused.

        `earlier` is one that may still take effect, or None, and `sent` when it was.
        """
        orders.settle(self._state, group)
        if earlier is not None:
            orders.restore(self._state, group, earlier, sent)
        await self._write(group, earlier)

    async def settle(self, group):
        """Forget a group's order once it can have no effect any more."""
        order = self._state.orders.get(group)
        if order is None or self.is_unfinished(group):
            return
        is_old = orders.is_old(self._state, group, boottime())
        if (is_old or not order.may_repeat) and await self._write(group, None):
            orders.settle(self._state, group)

    async def _write(self, group, order):
        """Write a group's order, or none, to the store; return whether it is there."""
        value = json.dumps(orders.encode(order)).encode()
        try:
            written = await self._swap(group, value)
            if written is None:  # the revision of its key was not known
                written = await self._swap(group, value)
        except StoreError as exc:
            written = None
            logs.event("order_not_written", group=group, error=str(exc))
        if written is None:
            self.metrics.count("promotion.not_recorded")
            return False
        self._revisions[group] = written
        return True

    async def _swap(self, group, value):
        """Write a group's record; return its revision, None if it was not written."""
        key = ORDER_PREFIX + group
        try:
            revision = self._revisions.get(group, ABSENT)
            # A former holder must not replace the record of a later one.
            written = await self.store.swap(key, value, revision, guard=self.duty())
        except StoreError as exc:
            if not exc.may_have_run:
                raise
            written = None
        if written is None:
            item, _ = await self.store.get(key)
            self._revisions[group] = item.revision if item else ABSENT
            if item is not None and item.value == value:
                return item.revision
        return written
