"""Admits requests by their workspace's rate and burst across the fleet."""

import asyncio
import itertools
import math
from collections import deque

from dragonflywing import errors
from dragonflywing.decisions import shares
from dragonflywing.errors import DfwError
from dragonflywing.supervisor import spawn

TICK_S = 0.01
LOAN_PERIOD_S = 0.05
# Peers asked for one workspace's shares at a time.
LENDERS_ASKED = 8


class Limiter:
    """The buckets of this instance and the requests that wait for them."""

    def __init__(self, cfg, fleet, metrics):
        self.cfg = cfg
        self.fleet = fleet
        self.metrics = metrics
        self.state = shares.ShareState(slots=1)
        self._queues = {}
        self._ids = itertools.count(1)
        self._tasks = set()
        self._asking = set()
        self._used = asyncio.Event()

    def _now(self):
        return asyncio.get_running_loop().time()

    def configure(self, cfg):
        """Take rates and bursts from a configuration."""
        self.state.slots = cfg.fleet_size
        limits = {
            name: (item.rate, item.burst) for name, item in cfg.workspaces.items()
        }
        shares.configure(self.state, self._now(), limits)

    async def admit(self, workspace):
        """Return once the workspace may run one statement; refuse if not soon."""
        now = self._now()
        shares.count_arrival(self.state, now, workspace)
        self._used.set()
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
            known = workspace in self.state.buckets
            if fut.done():
                queue.popleft()
            elif known and shares.admit(self.state, now, workspace):
                queue.popleft()
                fut.set_result(True)
            elif deadline <= now:
                queue.popleft()
                fut.set_result(False)
            else:
                return

    async def run(self):
        """Serve waiting requests and move shares until cancelled."""
        next_loans = self._now()
        while True:
            if not self.state.active:
                self._used.clear()
                await self._used.wait()
            await asyncio.sleep(TICK_S if self._queues else LOAN_PERIOD_S)
            now = self._now()
            for workspace, queue in list(self._queues.items()):
                self._serve_queue(now, workspace, queue)
                if not queue:
                    del self._queues[workspace]
            if now >= next_loans:
                next_loans = now + LOAN_PERIOD_S
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
            self._ask(lender, request)
        for workspace, missing in shares.missing_shares(self.state, now).items():
            # No instance can lend more than its slot.
            part = min(missing, 1.0 / self.state.slots)
            count = min(LENDERS_ASKED, math.ceil(missing / part))
            for lender in self.fleet.lenders(workspace, count):
                loan_id = f"{lender}/{self.cfg.instance}/{next(self._ids)}/{now:.3f}"
                self._ask(lender, shares.BorrowRequest(loan_id, workspace, part))

    def _ask(self, lender, request):
        # One question at a time to each lender for each workspace.
        key = (lender, request.workspace)
        if key in self._asking:
            return
        self._asking.add(key)
        spawn(self._tasks, self._borrow(lender, request, key))

    async def _borrow(self, lender, request, key):
        asked_at = self._now()
        try:
            answer = await self.fleet.borrow(lender, request)
        finally:
            self._asking.discard(key)
        if answer is None:
            self.metrics.count("shares.unanswered")
            return
        shares.borrow(self.state, self._now(), answer, asked_at)
        if answer.share:
            self.metrics.count("shares.borrowed")
        else:
            self.fleet.note_declined(lender, request.workspace)
            self.metrics.count("shares.declined")

    def take_back(self, message):
        """Use a share again that a peer gives back."""
        shares.take_back(self.state, self._now(), message)

    def lend(self, request):
        """Answer a peer that wants to borrow."""
        return shares.lend(self.state, self._now(), request)
