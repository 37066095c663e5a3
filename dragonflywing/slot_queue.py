"""Waits for the slots of a database.

A slot is one of the statements that the database runs at the same time. The order of
the waiters is decided in `decisions/admission.py`; if connections are contended, in
`decisions/queue_order.py`.

Without contention a statement first waits for a connection and then for a slot. Under
contention it waits once: its turn gives it a slot together with a connection, or with
the right to open one in this slot. So waiters hold no connections.
"""

import asyncio
import itertools

from dragonflywing import outcomes
from dragonflywing.decisions import admission, queue_order
from dragonflywing.outcomes import Refusal

# A statement runs for at most about 170 ms. If no answer came, its slot is released
# after the longer of this minimum and this multiple of the mean duration.
MIN_SLOT_HOLD_S = 0.2
SLOT_HOLD_MEANS = 8
# The result of a waiter that must enter the queue again, as the order has changed.
REQUEUED = object()
MIN_SLEEP_S = 0.001  # a shorter wait may round to none


class SlotQueue:
    """The slots of one database at its home, and the statements that wait for one.

    Under contention `reserve(req, waiters, refused_s)` returns what a statement runs
    on, None if its workspace gets no connection now, and `unreserve` takes it back.
    """

    def __init__(self, slots, metrics, pacer):
        self.admission = admission.AdmissionState(slots)
        self.metrics = metrics
        self.pacer = pacer
        self.reserve = None
        self.unreserve = None
        self._waiters = {}
        self._requests = {}  # of the waiters that need a connection
        self._ids = itertools.count(1)
        self._is_start_scheduled = False
        self._resume_timer = None

    def _now(self):
        return asyncio.get_running_loop().time()

    def is_contended(self):
        """Return whether the waiters are ordered for contended connections."""
        return isinstance(self.admission, queue_order.QueueState)

    def set_contended(self, is_contended):
        """Choose the order of the waiters; those in the queue enter it again."""
        if is_contended == self.is_contended():
            return
        old = self.admission
        if is_contended:
            state = queue_order.QueueState(old.limit, old.running, old.duration_s)
        else:
            state = admission.AdmissionState(old.limit)
            state.running, state.duration_s = old.running, old.duration_s
        self.admission = state
        waiters, self._waiters, self._requests = self._waiters, {}, {}
        for fut in waiters.values():
            if not fut.done():
                fut.set_result(REQUEUED)

    def set_limit(self, limit):
        """Set how many statements may be in flight, in either order of the waiters."""
        is_raised = limit > self.admission.limit
        self.admission.limit = limit
        if is_raised and self.is_contended():
            self._start_soon()

    def wait_s(self):
        """Return the expected wait for a slot."""
        if self.is_contended():
            return queue_order.expected_wait(self.admission)
        return admission.expected_wait(self.admission)

    def expire(self):
        """Refuse the waiters whose deadline has passed, and check the others again."""
        if self.is_contended():
            self.connection_free(None)
        else:
            self._resolve_waiters(admission.expire(self.admission, self._now()))

    def waiting_by_priority(self):
        """Return the numbers of waiters by priority; empty without contention."""
        return self.admission.waiting_by_priority() if self.is_contended() else {}

    # Waiting

    async def take(self, workspace, deadline, urgent, priority=0):
        """Wait for a slot; raise Refusal if there is none before the deadline."""
        if not self.is_contended() and admission.start_at_once(self.admission):
            self.metrics.time("slot_wait", 0.0, "yes" if urgent else "no")
            await self._pause(deadline)
            return
        while await self._wait(workspace, deadline, urgent, priority) is REQUEUED:
            pass
        if not self.is_contended():
            await self._pause(deadline)

    async def _pause(self, deadline):
        """Wait with a slot until the database may be sent a statement again."""
        pause_s = self.pacer.pause_s()
        if not pause_s:
            return
        try:
            if self._now() + pause_s > deadline:
                raise Refusal(outcomes.OVERLOADED, self.retry_text("late"))
            await asyncio.sleep(pause_s)
        except BaseException:
            self.release(None)
            raise

    async def take_turn(self, req, deadline):
        """Wait for a slot and a connection; return what `reserve` returned.

        Returns None if the order has changed and the caller must start over. Raises
        Refusal if the turn doesn't come before the deadline.
        """
        grant = await self._wait(req.workspace, deadline, False, req.priority, req)
        return None if grant is REQUEUED else grant

    async def _wait(self, workspace, deadline, urgent, priority, req=None):
        enqueued_at = self._now()
        waiter = next(self._ids)
        fut = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = fut
        if req is not None:
            self._requests[waiter] = req
        state = self.admission
        if not self._enqueue(waiter, workspace, deadline, urgent, priority, req):
            del self._waiters[waiter]
            self._requests.pop(waiter, None)
            raise Refusal(outcomes.OVERLOADED, self.retry_text("queue too long"))
        try:
            async with asyncio.timeout_at(deadline):
                result = await fut
        except BaseException as exc:
            self._cancel_waiter(state, waiter, fut)
            if isinstance(exc, TimeoutError):
                raise Refusal(outcomes.OVERLOADED, self.retry_text("late")) from None
            raise
        if not result:
            raise Refusal(outcomes.OVERLOADED, self.retry_text("late"))
        if result is not REQUEUED:
            self.metrics.time(
                "slot_wait", self._now() - enqueued_at, "yes" if urgent else "no"
            )
        return result

    def _enqueue(self, waiter, workspace, deadline, urgent, priority, req):
        """Add a waiter; return False if it is refused."""
        state, now = self.admission, self._now()
        if not self.is_contended():
            messages = admission.enqueue(
                state, now, waiter, workspace, deadline, urgent, priority
            )
            if messages is not None:
                self._resolve_waiters(messages)
            return messages is not None
        if now + self.pacer.pause_s() > deadline:
            self.metrics.count("queue.refused_at_once")
            return False
        target_s = (req.target or 0.0) if req is not None else 0.0
        is_queued = queue_order.enqueue(
            state,
            now,
            waiter,
            workspace,
            deadline,
            urgent,
            priority,
            target_s,
            req is not None,
        )
        if is_queued:
            self._start_waiters()
        else:
            self.metrics.count("queue.refused_at_once")
        return is_queued

    def _cancel_waiter(self, state, waiter, fut):
        self._waiters.pop(waiter, None)
        self._requests.pop(waiter, None)
        if fut.done() and not fut.cancelled() and fut.result():
            if fut.result() is not REQUEUED:
                if fut.result() is not True:
                    self.unreserve(fut.result())
                self.release(None)
        elif isinstance(state, queue_order.QueueState):
            queue_order.cancel(state, waiter)
        else:
            admission.cancel(state, waiter)

    def retry_text(self, reason):
        return f"{reason}, not run, retry in {int(self.wait_s() * 1000) + 20} ms"

    # Starting

    def _resolve_waiters(self, messages):
        for message in messages:
            fut = self._waiters.pop(message.waiter, None)
            if fut is not None and not fut.done():
                fut.set_result(isinstance(message, admission.Start))
            elif isinstance(message, admission.Start):
                self.release(None)

    def connection_free(self, workspace):
        """Check again which waiters of a workspace may start, None for all of them.

        Must be called when a connection was released, closed, or kept by a transaction.
        """
        if self.is_contended():
            if workspace is None:
                queue_order.resume_all(self.admission)
            else:
                queue_order.resume(self.admission, workspace)
            self._start_soon()

    def _start_soon(self):
        # A statement that ends releases its slot and its connection one after the
        # other. The next waiter is chosen when both are free.
        if not self._is_start_scheduled:
            self._is_start_scheduled = True
            asyncio.get_running_loop().call_soon(self._start_waiters)

    def _start_waiters(self):
        self._is_start_scheduled = False
        if not self.is_contended():
            return
        pause_s = self.pacer.pause_s()
        if pause_s:
            self._resume_after(pause_s)
            return
        state, now = self.admission, self._now()
        while (item := queue_order.next_waiter(state, now)) is not None:
            fut = self._waiters.get(item.id)
            if fut is None or fut.done():  # its caller has left or timed out
                queue_order.cancel(state, item.id)
                continue
            grant = True
            if item.needs_connection:
                since = state.refused_since.get(item.workspace)
                refused_s = None if since is None else now - since
                req = self._requests[item.id]
                grant = self.reserve(req, state.by_workspace, refused_s)
            if grant is None:
                queue_order.set_aside(state, now, item)
                continue
            queue_order.start(state, item)
            del self._waiters[item.id]
            self._requests.pop(item.id, None)
            fut.set_result(grant)

    def _resume_after(self, pause_s):
        """Start waiters again when the database may be sent a statement."""
        if self._resume_timer is None:

            def resume():
                self._resume_timer = None
                self._start_soon()

            loop = asyncio.get_running_loop()
            self._resume_timer = loop.call_later(max(pause_s, MIN_SLEEP_S), resume)

    def release(self, started_at):
        """Release a slot; `started_at` is None if no statement ran in it."""
        now = self._now()
        duration_s = None if started_at is None else now - started_at
        if self.is_contended():
            queue_order.release(self.admission, duration_s)
            self._start_soon()
        else:
            messages = admission.release(self.admission, now, duration_s)
            self._resolve_waiters(messages)

    def hold(self, taken_at=None):
        """Return a function that releases a slot that was taken, at `taken_at` or now.

        A timer releases the slot if no answer comes: a lost answer does not
        occupy the database, so it must not occupy a slot for the whole timeout.
        """
        loop = asyncio.get_running_loop()
        started_at = self._now() if taken_at is None else taken_at
        timer = None

        def release():
            nonlocal timer
            if timer is not None:
                timer.cancel()
                timer = None
                self.release(started_at)

        def release_early():
            self.metrics.count("slot.released_early")
            release()

        limit_s = max(
            MIN_SLOT_HOLD_S, SLOT_HOLD_MEANS * (self.admission.duration_s or 0.0)
        )
        timer = loop.call_later(limit_s, release_early)
        return release
