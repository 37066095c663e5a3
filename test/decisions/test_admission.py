"""Fair admission to a database: round robin, limits, priorities and deadlines."""

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

    def test_waiters_expire_at_their_deadline(self):
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


class TestPriorities:
    """A workspace's batch statements fill its queue while its orders continue."""

    def _simulate(self, order_priority):
        """Simulate 2 s at twice the capacity, with one order in five statements.

        Return the fractions of orders and of batch statements that start within
        0.3 s.
        """
        state = admission.AdmissionState(2)
        state.duration_s = 0.02
        kinds, arrived, served, ends = [], [], [], []
        for step in range(2000):
            now = step / 1000
            while ends and ends[0] <= now:
                ends.pop(0)
                for start in admission.release(state, now, 0.02):
                    served.append(start.waiter)
                    ends.append(now + 0.02)
            if step % 5 == 0:
                waiter = len(kinds)
                is_order = waiter % 5 == 0
                kinds.append("order" if is_order else "batch")
                arrived.append(now)
                priority = order_priority if is_order else 2
                started = admission.enqueue(
                    state, now, waiter, "press", now + 0.3, False, priority
                )
                for start in started or []:
                    served.append(start.waiter)
                    ends.append(now + 0.02)
        started_ids = set(served)
        fractions = {}
        for kind in ("order", "batch"):
            ids = [n for n, item in enumerate(kinds) if item == kind]
            fractions[kind] = sum(n in started_ids for n in ids) / len(ids)
        return fractions["order"], fractions["batch"]

    def test_priority_statements_are_served_before_a_batch(self):
        orders, batch = self._simulate(1)
        assert orders >= 0.99
        assert batch >= 0.3

    def test_without_priorities_orders_are_refused_like_batch_statements(self):
        orders, _ = self._simulate(2)
        assert orders < 0.7

    def test_priority_statements_do_not_delay_other_workspaces(self):
        state = admission.AdmissionState(1)
        admission.enqueue(state, 0.0, 0, "loud", 9.0, False, 0)
        for waiter in range(1, 6):
            admission.enqueue(state, 0.0, waiter, "loud", 9.0, False, 0)
        admission.enqueue(state, 0.0, 10, "quiet", 9.0, False, 2)
        started = [admission.release(state, 1.0)[0].waiter for _ in range(6)]
        assert started.index(10) <= 1


class TestExpectedWait:
    """Statements that cannot be served in time are refused when they arrive."""

    def _state(self):
        state = admission.AdmissionState(2)
        state.duration_s = 0.02
        return state

    def _simulate(self, has_deadline):
        """Simulate 4 s at three times the capacity.

        Return how many statements were accepted and how many of them ended within
        0.8 s. Without `has_deadline` the deadline never refuses a statement.
        """
        state, now, done, refused, next_id = self._state(), 0.0, 0, 0, 0
        arrived, ends = {}, []
        state.duration_s = 0.022
        while now < 8.0:
            # With steps of 2 ms, a statement of 20 ms lasts up to 22 ms.
            now += 0.002
            for end, waiter in [item for item in ends if item[0] <= now]:
                ends.remove((end, waiter))
                done += now - arrived[waiter] <= 0.8
                for message in admission.release(state, now, 0.022):
                    if isinstance(message, admission.Start):
                        ends.append((now + 0.02, message.waiter))
            if now < 4.0 and round(now * 1000) % 3 == 0:
                next_id += 1
                arrived[next_id] = now
                deadline = now + (0.776 if has_deadline else 100.0)
                messages = admission.enqueue(state, now, next_id, "w", deadline)
                refused += messages is None
                for message in messages or []:
                    if isinstance(message, admission.Start):
                        ends.append((now + 0.02, message.waiter))
        return next_id - refused, done

    def test_accepted_statements_are_answered_in_time(self):
        accepted, in_time = self._simulate(has_deadline=True)
        _, in_time_without_deadline = self._simulate(has_deadline=False)
        assert in_time == accepted
        # The capacity is more than 90 statements per second, for 4 s.
        assert in_time >= 360 > in_time_without_deadline

    def test_other_workspaces_do_not_wait_for_a_flood(self):
        state = self._state()
        for waiter in range(60):
            admission.enqueue(state, 0.0, waiter, "flood", 100.0)
        assert admission.expected_wait(state, "flood") > 0.5
        assert admission.expected_wait(state, "other") < 0.05

    def test_open_transactions_start_first(self):
        state = self._state()
        for waiter in range(4):
            admission.enqueue(state, 0.0, waiter, "w", 100.0)
        admission.enqueue(state, 0.0, 9, "w", 100.0, urgent=True)
        assert admission.release(state, 0.1) == [admission.Start(9)]
