"""Fair admission: turns, limits and deadlines."""

from dragonflywing.decisions import admission
from dragonflywing.decisions.admission import Expired, Start


class TestAdmission:
    def test_workspaces_take_turns(self):
        state = admission.AdmissionState(1)
        assert admission.enqueue(state, 0.0, 0, "loud", 9.0) == [Start(0)]
        for waiter in range(1, 6):
            assert admission.enqueue(state, 0.0, waiter, "loud", 9.0) == []
        assert admission.enqueue(state, 0.0, 10, "quiet", 9.0) == []
        started = [admission.release(state, 1.0)[0].waiter for _ in range(6)]
        assert started.index(10) <= 1

    def test_never_runs_more_than_its_limit(self):
        state = admission.AdmissionState(2)
        messages = []
        for waiter in range(5):
            messages += admission.enqueue(state, 0.0, waiter, "w", 9.0)
        assert messages == [Start(0), Start(1)]
        assert state.running == 2

    def test_late_waiters_expire(self):
        state = admission.AdmissionState(1)
        admission.enqueue(state, 0.0, 0, "w", 9.0)
        admission.enqueue(state, 0.0, 1, "w", 1.0)
        assert admission.expire(state, 1.0) == [Expired(1)]

    def test_full_queue_refuses_at_once(self):
        state = admission.AdmissionState(0)
        for waiter in range(admission.MAX_QUEUE):
            assert admission.enqueue(state, 0.0, waiter, "w", 9.0) == []
        assert admission.enqueue(state, 0.0, 999, "w", 9.0) is None

    def test_cancelled_waiter_is_not_started(self):
        state = admission.AdmissionState(1)
        admission.enqueue(state, 0.0, 0, "w", 9.0)
        admission.enqueue(state, 0.0, 1, "w", 9.0)
        assert admission.cancel(state, 1)
        assert not admission.cancel(state, 1)
        assert admission.release(state, 1.0) == []
