"""Tests of callers' retries of writes, without databases."""

import asyncio
from types import SimpleNamespace
from unittest.mock import AsyncMock, Mock

import pytest

from dragonflywing import errors
from dragonflywing.callers import CallerSession
from dragonflywing.decisions.positions import Position, Status
from dragonflywing.decisions.retries import RetryBudget
from dragonflywing.errors import DfwError, Verdict
from dragonflywing.metrics import Metrics
from dragonflywing.wire import Result
from test.helper import run_on_simulated_clock

ATTEMPT_S = 0.01


class ScriptedSession(CallerSession):
    """A session whose attempts of a write end with the given errors."""

    def __init__(self, outcomes):
        self.entry = SimpleNamespace(retry_budget=RetryBudget(), metrics=Metrics())
        self.outcomes = list(outcomes)
        self.attempts = 0

    def _now(self):
        return asyncio.get_running_loop().time()

    async def _write_recorded(self, group, workspace, sql, request_id, deadline):
        self.attempts += 1
        await asyncio.sleep(ATTEMPT_S)
        raise self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]


def write(*outcomes):
    """Write with a request id; return (error, attempts, seconds)."""

    async def check():
        session = ScriptedSession(outcomes)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(DfwError) as caught:
            await session._write(None, "w", "INSERT", "id", started_at + 5)
        return caught.value, session.attempts, loop.time() - started_at

    return run_on_simulated_clock(check())


class TestWrites:
    @pytest.mark.parametrize("code", sorted(errors.FINAL_CODES))
    def test_what_can_never_be_served_is_refused_at_once(self, code):
        exc, attempts, seconds = write(DfwError(code, "x"))
        assert (exc.code, attempts) == (code, 1)
        assert seconds < 0.1

    def test_others_are_retried_until_the_deadline(self):
        exc, attempts, seconds = write(DfwError(errors.NO_PRIMARY, "x"))
        assert exc.code == errors.NO_PRIMARY and attempts > 5
        assert 4 < seconds <= 5 + ATTEMPT_S

    @pytest.mark.parametrize("later", [errors.NO_PRIMARY, errors.OVERLOADED])
    def test_a_lost_answer_is_not_forgotten_by_later_attempts(self, later):
        # The first attempt may have run, though a later one was refused as not run.
        lost = DfwError(errors.CONNECTION_LOST, "x", Verdict.MAY_HAVE_RUN)
        exc, _, _ = write(lost, DfwError(later, "x"))
        assert exc.verdict is Verdict.MAY_HAVE_RUN


class RepeatingSession(ScriptedSession):
    """A session that finds its request recorded, before the primary's term changes."""

    _write_recorded = CallerSession._write_recorded

    def __init__(self, group, later_term):
        super().__init__([])
        times = SimpleNamespace(probe_timeout_s=0.8)
        self.entry.cfg = SimpleNamespace(times=times)
        self.floor = Position(0, 0)
        self.group, self.later_term = group, later_term

    async def _run_recorded(self, run, sql, request_id):
        self.group.term = self.later_term
        return Result(), b""


class TestRepeatedWrites:
    """A record was found on a primary that then lost it, replaced twice meanwhile."""

    @pytest.mark.parametrize(("later_term", "is_confirmed"), [(1, True), (3, False)])
    def test_are_confirmed_in_the_term_of_their_record(self, later_term, is_confirmed):
        received = Position(later_term, 9)
        status = Status("a", True, later_term, received, received, False, 0)
        backend = AsyncMock(query_status=AsyncMock(return_value=status))
        backend.release = Mock()
        group = AsyncMock(term=1)
        group.wait_primary.return_value = backend
        session = RepeatingSession(group, later_term)

        async def check():
            return await session._write_recorded(group, "w", "INSERT", "id", 5.0)

        if is_confirmed:
            run_on_simulated_clock(check())
            group.ack.assert_awaited_once()
        else:
            with pytest.raises(DfwError) as caught:
                run_on_simulated_clock(check())
            assert caught.value.code is errors.ACK_TIMEOUT
            assert caught.value.verdict is Verdict.MAY_HAVE_RUN
