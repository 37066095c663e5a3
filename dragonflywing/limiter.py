"""Limits each workspace's statements to its rate and burst across the fleet."""

import asyncio
import itertools
import math
from collections import deque

from dragonflywing import errors
from dragonflywing.decisions import shares
from dragonflywing.errors import DfwError
from dragonflywing.supervisor import spawn

QUEUE_INTERVAL_S = 0.01
LOAN_INTERVAL_S = 0.05
# Maximum number of peers that are sent requests for one workspace at a time.
MAX_LENDERS = 8


class Limiter:
    """Token buckets of this instance and the queues of requests for tokens.

    A share is the fraction of a workspace's rate and burst that an instance may
    use. Instances lend each other shares that they don't need.
    """

    def __init__(self, cfg, fleet, metrics):
        self.cfg = cfg
        self.fleet = fleet
        self.metrics = metrics
        self.state = shares.ShareState(slots=1)
        self._queues = {}
        self._ids = itertools.count(1)
        self._tasks = set()
        self._pending_requests = set()
        self._has_activity = asyncio.Event()

    def _now(self):
        return asyncio.get_running_loop().time()

    def configure(self, cfg):
        """Apply the rates and bursts of a configuration."""
        self.state.slots = cfg.fleet_size
        limits = {
            name: (item.rate, item.burst) for name, item in cfg.workspaces.items()
        }
        shares.configure(self.state, self._now(), limits)

    async def admit(self, workspace):
        """Wait for a token of the workspace; raise DfwError after `rate_wait_s`."""
        now = self._now()
        shares.count_arrival(self.state, now, workspace)
        self._has_activity.set()
        queue = self._queues.get(workspace)
        if not queue and shares.admit(self.state, now, workspace):
            return
        queue = self._queues.setdefault(workspace, deque())
        self.metrics.count("rate.waited")
        fut = asyncio.get_running_loop().create_future()
        queue.append((fut, now + self.cfg.times.rate_wait_s))
        if not await fut:
            raise DfwError(
                errors.RATE_EXCEEDED, f"workspace {workspace!r} is over its rate"
            )

    def _serve_queue(self, now, workspace, queue):
        while queue:
            fut, deadline = queue[0]
            is_configured = workspace in self.state.buckets
            if fut.done():
                queue.popleft()
            elif is_configured and shares.admit(self.state, now, workspace):
                queue.popleft()
                fut.set_result(True)
            elif deadline <= now:
                queue.popleft()
                fut.set_result(False)
            else:
                return

    async def run(self):
        """Serve queued requests, borrow and return shares until cancelled."""
        next_loans = self._now()
        while True:
            if not self.state.active:
                self._has_activity.clear()
                await self._has_activity.wait()
            await asyncio.sleep(QUEUE_INTERVAL_S if self._queues else LOAN_INTERVAL_S)
            now = self._now()
            for workspace, queue in list(self._queues.items()):
                self._serve_queue(now, workspace, queue)
                if not queue:
                    del self._queues[workspace]
            if now >= next_loans:
                next_loans = now + LOAN_INTERVAL_S
                shares.measure_demand(self.state, now)
                self._move_shares(now)

    def _move_shares(self, now):
        for workspace in self.state.active:
            waiting = len(self._queues.get(workspace, ()))
            self.state.buckets[workspace].waiting = waiting
        for message in shares.loans_to_return(self.state, now):
            self.metrics.count("shares.returned")
            lender = message.loan_id.split("/")[0]
            spawn(self._tasks, self.fleet.give_back(lender, message))
        for request in shares.loans_to_extend(self.state, now):
            lender = request.loan_id.split("/")[0]
            self._send_request(lender, request)
        for workspace, missing in shares.missing_shares(self.state, now).items():
            # An instance lends at most the share of its slot.
            share = min(missing, 1.0 / self.state.slots)
            count = min(MAX_LENDERS, math.ceil(missing / share))
            for lender in self.fleet.lenders(workspace, count):
                loan_id = f"{lender}/{self.cfg.instance}/{next(self._ids)}/{now:.3f}"
                self._send_request(
                    lender, shares.BorrowRequest(loan_id, workspace, share)
                )

    def _send_request(self, lender, request):
        # At most one pending request for each lender and workspace.
        key = (lender, request.workspace)
        if key in self._pending_requests:
            return
        self._pending_requests.add(key)
        spawn(self._tasks, self._borrow(lender, request, key))

    async def _borrow(self, lender, request, key):
        requested_at = self._now()
        try:
            answer = await self.fleet.borrow(lender, request)
        finally:
            self._pending_requests.discard(key)
        if answer is None:
            self.metrics.count("shares.unanswered")
            return
        shares.borrow(self.state, self._now(), answer, requested_at)
        if answer.share:
            self.metrics.count("shares.borrowed")
        else:
            self.fleet.note_declined(lender, request.workspace)
            self.metrics.count("shares.declined")

    def take_back(self, message):
        """Reclaim a share that a peer returns."""
        shares.take_back(self.state, self._now(), message)

    def lend(self, request):
        """Return the answer to a peer's borrow request."""
        return shares.lend(self.state, self._now(), request)
