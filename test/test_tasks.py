"""Tests of limiter, supervisor, store and logs on a simulated clock."""

import asyncio
from types import SimpleNamespace

import pytest

from dragonflywing import logs, store, supervisor
from dragonflywing.decisions import shares
from dragonflywing.errors import DfwError, StoreError, Verdict
from dragonflywing.limiter import Limiter
from dragonflywing.metrics import Metrics
from test.helper import run_on_simulated_clock


class FakeFleet:
    """A fleet whose instances lend every requested share, or none."""

    def __init__(self, is_lending):
        self.is_lending = is_lending
        self.requests = []
        self.returned = []

    def lenders(self, workspace, count):
        return ["other"]

    def note_declined(self, lender, workspace):
        pass

    async def borrow(self, lender, request):
        self.requests.append(request)
        await asyncio.sleep(0.02)
        share = request.share if self.is_lending else 0.0
        return shares.BorrowAnswer(request.loan_id, request.workspace, share, 2.0)

    async def give_back(self, lender, message):
        self.returned.append(message)


def make_limiter(fleet):
    """Return a limiter without a slot, for a workspace with 100 statements/s."""
    times = SimpleNamespace(rate_wait_s=1.0)
    cfg = SimpleNamespace(instance="me", times=times)
    limiter = Limiter(cfg, fleet, Metrics())
    workspace = SimpleNamespace(rate=100.0, burst=50.0)
    limiter.configure(SimpleNamespace(fleet_size=2, workspaces={"w": workspace}))
    return limiter


class TestLimiter:
    def test_refuses_after_the_maximum_wait(self):
        run_on_simulated_clock(self._wait_and_refuse())

    async def _wait_and_refuse(self):
        limiter = make_limiter(FakeFleet(is_lending=False))
        running = asyncio.create_task(limiter.run())
        loop = asyncio.get_running_loop()
        started = loop.time()
        with pytest.raises(DfwError) as exc_info:
            await limiter.admit("w")
        assert exc_info.value.verdict is Verdict.NOT_RUN
        assert 1.0 <= loop.time() - started < 1.1
        running.cancel()

    def test_borrows_and_returns_shares(self):
        run_on_simulated_clock(self._borrow_and_return())

    async def _borrow_and_return(self):
        fleet = FakeFleet(is_lending=True)
        limiter = make_limiter(fleet)
        running = asyncio.create_task(limiter.run())
        loop = asyncio.get_running_loop()
        started = loop.time()
        await limiter.admit("w")
        assert loop.time() - started < 0.5
        for _ in range(100):
            await limiter.admit("w")
            await asyncio.sleep(0.02)
        await asyncio.sleep(3.0)
        borrowed = limiter.state.buckets["w"].borrowed
        assert fleet.returned or not borrowed
        running.cancel()


class TestSupervise:
    def test_restarts_a_failed_task_with_growing_pauses(self):
        run_on_simulated_clock(self._restart())

    async def _restart(self):
        starts = []

        async def work():
            starts.append(asyncio.get_running_loop().time())
            if len(starts) < 4:
                raise KeyError("x")

        metrics = Metrics()
        await supervisor.supervise("work", work, metrics)
        assert metrics.counters["task.failed.work"] == 3
        pauses = [b - a for a, b in zip(starts, starts[1:], strict=False)]
        assert pauses == sorted(pauses)
        assert pauses[0] == pytest.approx(supervisor.MIN_RESTART_DELAY_S, abs=0.01)


class TestRetryUntilKnown:
    @pytest.mark.parametrize(
        "calls,checks,outcome",
        [
            ([True], [], True),
            ([False], [], False),
            ([StoreError("x", True)], [True], True),
            ([StoreError("x", True)], [False], False),
            ([StoreError("x", True), False], [None, True], True),
            ([StoreError("x", False), True], [], True),
        ],
    )
    def test_outcome(self, calls, checks, outcome):
        assert run_on_simulated_clock(self._retry(list(calls), list(checks))) is outcome

    def test_raises_if_the_outcome_stays_unknown(self):
        calls = [StoreError("x", True)] * 5
        with pytest.raises(StoreError):
            run_on_simulated_clock(self._retry(calls, [None] * 5))

    async def _retry(self, calls, checks):
        async def call():
            value = calls.pop(0)
            if isinstance(value, StoreError):
                raise value
            return value

        async def check():
            return checks.pop(0)

        return await store.retry_until_known(call, check)


class TestLogs:
    def test_event_is_one_line_of_pairs(self):
        line = logs.format_event("x", {"a": 1, "b": "two words", "c": 0.25, "d": ""})
        assert line == 'event=x a=1 b="two words" c=0.25 d=""'
