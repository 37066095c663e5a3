"""Tests of what an instance that is stopping accepts."""

from dragonflywing.decisions import stopping
from dragonflywing.decisions.stopping import Stop

STOP = Stop(100.0, 6.0)


class TestStatements:
    def test_are_all_accepted_without_a_stop(self):
        assert stopping.accepts_statement(None, 105.9, 60.0)
        assert stopping.deadline(None, 170.0) == 170.0

    def test_have_the_first_half_of_the_time(self):
        assert stopping.accepts_statement(STOP, 102.9, 60.0)

    def test_end_before_the_exit(self):
        # LOST: statements that a database ran were cut off by the exit.
        for number in range(600):
            now, limit_s = 100 + number / 100, 0.8
            accepted = stopping.accepts_statement(STOP, now, limit_s)
            if accepted:
                assert stopping.deadline(STOP, now + limit_s) <= STOP.answer_by()
            if accepted and now >= 103:
                assert now + limit_s <= STOP.answer_by() < STOP.exit_at()
        assert not stopping.accepts_statement(STOP, 104.3, 0.8)


class TestSessions:
    def test_stay_until_the_balancer_has_noticed(self):
        assert not stopping.closes_idle_sessions(None, 200.0)
        assert not stopping.closes_idle_sessions(STOP, 101.0)
        assert stopping.closes_idle_sessions(STOP, 102.5)
