"""Shares never exceed the whole rate and burst if messages are lost or repeated."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dragonflywing.decisions import shares

SLOTS = 3
RATE = 50.0
BURST = 30.0
LEASE_S = 5.0
EPSILON = 1e-6


class Instance:
    """An instance that may hold a slot, with its own clock offset."""

    def __init__(self, offset):
        self.offset = offset
        self.state = shares.ShareState(SLOTS)
        self.slot = None

    def clock(self, now):
        return now + self.offset


class ShareMachine(RuleBasedStateMachine):
    """Instances, a store that leases slots, and messages that the test controls.

    A slot is an equal share of the workspace's rate and burst.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.instances = [Instance(17.0 * i) for i in range(4)]
        self.lease_end = [0.0] * SLOTS
        self.messages = []
        self.ids = 0
        # The bucket of the whole fleet starts full and must never be negative.
        self.level = BURST
        self.level_at = self.now
        for instance in self.instances:
            limits = {"w": (RATE, BURST)}
            shares.configure(instance.state, instance.clock(self.now), limits)
        for slot in range(SLOTS):
            self.take_slot(slot, slot)
        self.advance(2 * shares.LOAN_S)

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 1.9, 2.1, 5.1]))
    def advance(self, seconds):
        self.now += seconds
        self.level = min(BURST, self.level + RATE * seconds)

    @rule(i=st.integers(0, 3), slot=st.integers(0, SLOTS - 1))
    def take_slot(self, i, slot):
        instance = self.instances[i]
        if instance.slot is not None or self.lease_end[slot] > self.now:
            return
        self.lease_end[slot] = self.now + LEASE_S
        instance.slot = slot
        clock = instance.clock(self.now)
        shares.take_slot(instance.state, clock, clock + LEASE_S)

    @rule(i=st.integers(0, 3))
    def renew(self, i):
        instance = self.instances[i]
        slot = instance.slot
        if slot is None:
            return
        if self.lease_end[slot] <= self.now:
            shares.drop_slot(instance.state, instance.clock(self.now))
            instance.slot = None
            return
        self.lease_end[slot] = self.now + LEASE_S
        shares.renew_slot(instance.state, instance.clock(self.now) + LEASE_S)

    @rule(i=st.integers(0, 3))
    def hand_over(self, i):
        instance = self.instances[i]
        if instance.slot is None or self.lease_end[instance.slot] <= self.now:
            return
        shares.drop_slot(instance.state, instance.clock(self.now))
        self.lease_end[instance.slot] = 0.0
        instance.slot = None

    @rule(i=st.integers(0, 3))
    def restart(self, i):
        """A killed process restarts without state while its slot stays leased."""
        instance = self.instances[i]
        instance.state = shares.ShareState(SLOTS)
        instance.slot = None
        limits = {"w": (RATE, BURST)}
        shares.configure(instance.state, instance.clock(self.now), limits)

    @rule()
    def spend_all(self):
        for i in range(4):
            self.spend(i, int(BURST) * 2)

    @rule(i=st.integers(0, 3), count=st.integers(1, 60))
    def spend(self, i, count):
        instance = self.instances[i]
        clock = instance.clock(self.now)
        for _ in range(count):
            shares.count_arrival(instance.state, clock, "w")
            if shares.admit(instance.state, clock, "w"):
                self.level -= 1.0

    @rule(i=st.integers(0, 3))
    def measure(self, i):
        instance = self.instances[i]
        shares.measure_demand(instance.state, instance.clock(self.now))

    @rule(i=st.integers(0, 3), j=st.integers(0, 3), share=st.floats(0.01, 1.0))
    def ask_for_loan(self, i, j, share):
        if i == j:
            return
        self.ids += 1
        request = shares.BorrowRequest(f"{j}/{i}/{self.ids}", "w", share)
        asked_at = self.instances[i].clock(self.now)
        self.messages.append(("request", i, j, request, asked_at))

    @rule(i=st.integers(0, 3), j=st.integers(0, 3), share=st.floats(0.1, 1.0))
    def borrow_at_once(self, i, j, share):
        if i != j:
            self.ask_for_loan(i, j, share)
            self._deliver(len(self.messages) - 1, False)
            self._deliver(len(self.messages) - 1, False)

    @rule(i=st.integers(0, 3))
    def renew_all(self, i):
        for j in range(4):
            if j != i:
                self.renew(j)

    @rule(i=st.integers(0, 3))
    def extend(self, i):
        clock = self.instances[i].clock(self.now)
        for request in shares.loans_to_extend(self.instances[i].state, clock):
            lender = int(request.loan_id.split("/")[0])
            self.messages.append(("request", i, lender, request, clock))

    @rule(i=st.integers(0, 3))
    def give_back(self, i):
        state = self.instances[i].state
        clock = self.instances[i].clock(self.now)
        for loan_id in list(state.buckets["w"].borrowed):
            message = shares.give_back(state, clock, "w", loan_id)
            lender = int(loan_id.split("/")[0])
            if message is not None:
                self.messages.append(("return", i, lender, message, clock))

    @rule(data=st.data(), keep=st.booleans())
    def deliver(self, data, keep):
        """Deliver any message in flight, which may be delivered again later."""
        if not self.messages:
            return
        self._deliver(data.draw(st.integers(0, len(self.messages) - 1)), keep)

    def _deliver(self, index, keep):
        message = self.messages[index]
        if not keep:
            del self.messages[index]
        kind, i, j, body, asked_at = message
        if kind == "request":
            lender = self.instances[j]
            answer = shares.lend(lender.state, lender.clock(self.now), body)
            self.messages.append(("answer", i, j, answer, asked_at))
        elif kind == "return":
            lender = self.instances[j]
            shares.take_back(lender.state, lender.clock(self.now), body)
        else:
            borrower = self.instances[i]
            clock = borrower.clock(self.now)
            shares.borrow(borrower.state, clock, body, asked_at)

    @rule()
    def lose_message(self):
        if self.messages:
            self.messages.pop(0)

    @invariant()
    def never_over_granted(self):
        assert self.level >= -EPSILON


TestShareMachine = ShareMachine.TestCase
TestShareMachine.settings = settings(
    max_examples=400, stateful_step_count=40, deadline=None, derandomize=True
)


class TestShares:
    def _holder(self, now=0.0):
        state = shares.ShareState(2)
        shares.configure(state, now, {"w": (100.0, 20.0)})
        shares.take_slot(state, now, now + 1000.0)
        return state

    def test_new_slot_waits_for_earlier_loans(self):
        state = self._holder()
        assert not shares.admit(state, shares.LOAN_S, "w")
        assert shares.admit(state, shares.LOAN_S + 0.1, "w")

    def test_first_holder_has_no_loans_to_wait_for(self):
        state = shares.ShareState(2)
        shares.configure(state, 0.0, {"w": (100.0, 20.0)})
        shares.take_slot(state, 0.0, 1000.0, is_first=True)
        assert not shares.admit(state, 0.0, "w")
        assert shares.admit(state, 0.1, "w")

    def test_admits_nothing_after_the_lease_has_ended(self):
        state = self._holder()
        state.valid_until = 10.0
        assert shares.admit(state, 9.9, "w")
        assert not shares.admit(state, 10.1, "w")

    def test_repeated_request_lends_once(self):
        state = self._holder()
        request = shares.BorrowRequest("a/b/1", "w", 0.2)
        first = shares.lend(state, 5.0, request)
        again = shares.lend(state, 5.1, request)
        assert first.share == again.share == 0.2
        assert again.tokens == 0.0
        late = shares.lend(state, 5.1 + shares.LOAN_S + 0.1, request)
        assert late.share == 0.0

    def test_borrows_enough_for_skewed_demand(self):
        lender, borrower = self._holder(), self._holder()
        now = shares.LOAN_S + 0.2
        for step in range(40):
            now += 0.1
            for _ in range(8):
                shares.count_arrival(borrower, now, "w")
                shares.admit(borrower, now, "w")
            shares.measure_demand(borrower, now)
            for name, missing in shares.missing_shares(borrower, now).items():
                request = shares.BorrowRequest(f"l/b/{step}", name, missing)
                answer = shares.lend(lender, now, request)
                shares.borrow(borrower, now, answer, now)
        assert shares.refill_rate(borrower, now, "w") >= 80.0

    def test_instance_without_slot_borrows_for_a_single_request(self):
        for rate, burst in ((4000.0, 4000.0), (10.0, 5.0)):
            lender = shares.ShareState(2)
            shares.configure(lender, 0.0, {"w": (rate, burst)})
            shares.take_slot(lender, 0.0, 1000.0)
            borrower = shares.ShareState(2)
            shares.configure(borrower, 0.0, {"w": (rate, burst)})
            shares.count_arrival(borrower, 10.0, "w")
            shares.measure_demand(borrower, 10.1)
            missing = shares.missing_shares(borrower, 10.1)["w"]
            request = shares.BorrowRequest("l/b/1", "w", missing)
            answer = shares.lend(lender, 10.1, request)
            shares.borrow(borrower, 10.1, answer, 10.1)
            assert shares.admit(borrower, 10.2, "w")

    def test_late_answer_is_not_used(self):
        borrower = self._holder()
        answer = shares.BorrowAnswer("l/b/1", "w", 0.3, 5.0)
        before = shares.refill_rate(borrower, 20.0, "w")
        shares.borrow(borrower, 20.0, answer, 20.0 - shares.LOAN_S)
        assert shares.refill_rate(borrower, 20.0, "w") == before
        shares.borrow(borrower, 20.0, answer, 20.0 - shares.LOAN_S / 2)
        assert shares.refill_rate(borrower, 20.5, "w") > before
        assert shares.refill_rate(borrower, 20.0 + shares.LOAN_S / 2, "w") == before
