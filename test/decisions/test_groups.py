"""Writes, acknowledgements, fences and promotions of a group.

Messages are lost and late, and databases restart.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from dragonflywing.decisions import acks, failover, fences
from dragonflywing.decisions.positions import (
    ZERO,
    Position,
    Status,
    confirmed_primary,
    decode_token,
    encode_token,
)

NAMES = ("a", "b", "c")


class ModelDatabase:
    """A model of a database: a term, a primary to follow and a log."""

    def __init__(self, name):
        self.name = name
        self.term = 1
        self.primary = "a"
        self.log = []

    def status(self):
        last = Position(*self.log[-1][:2]) if self.log else ZERO
        primary = self.primary == self.name
        return Status(self.name, primary, self.term, last, last, False, 0)

    def accept(self, term):
        if term > self.term:
            self.term = term
            self.primary = None

    def promote(self, term):
        if term == self.term and self.primary is None:
            self.primary = self.name
            self.log.append((term, len(self.log) + 1, "start"))

    def follow(self, term, primary):
        if term < self.term or primary == self.name:
            return
        self.accept(term)
        if self.primary is None:
            self.primary = primary

    def replicate(self, source, count):
        if source.primary != source.name or source.term != self.term:
            return
        common = 0
        for own, other in zip(self.log, source.log, strict=False):
            if own != other:
                break
            common += 1
        self.log = self.log[:common] + source.log[common : common + count]


class GroupMachine(RuleBasedStateMachine):
    """Two instances write to a group of three databases and promote primaries."""

    def __init__(self):
        super().__init__()
        self.databases = {name: ModelDatabase(name) for name in NAMES}
        self.acks = [acks.AckState(3), acks.AckState(3)]
        self.writes = {}
        self.acked = {}
        self.next_write = 0
        self.record_term = 1
        self.promotions = []
        self.fences = []

    def _primaries(self):
        return [x for x in self.databases.values() if x.primary == x.name]

    @precondition(lambda self: self._primaries())
    @rule(data=st.data(), entry=st.integers(0, 1))
    def write(self, data, entry):
        database = data.draw(st.sampled_from(self._primaries()))
        self.next_write += 1
        position = Position(database.term, len(database.log) + 1)
        database.log.append((*position, self.next_write))
        self.writes[self.next_write] = position
        own = database.status()
        self._record_acked(acks.record_status(self.acks[entry], own))
        self._record_acked(
            acks.add_write(self.acks[entry], self.next_write, position, 1e9)
        )

    def _record_acked(self, messages):
        for message in messages:
            if isinstance(message, acks.Acked):
                self.acked[message.waiter] = self.writes[message.waiter]

    @rule(name=st.sampled_from(NAMES), entry=st.integers(0, 1))
    def report(self, name, entry):
        status = self.databases[name].status()
        self._record_acked(acks.record_status(self.acks[entry], status))

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        """Restart a database: it keeps its log and its term, not its role."""
        self.databases[name].primary = None

    @rule(data=st.data(), count=st.integers(1, 9))
    def replicate(self, data, count):
        pairs = [
            (self.databases[replica.primary], replica)
            for replica in self.databases.values()
            if replica.primary not in (None, replica.name)
        ]
        if pairs:
            source, replica = data.draw(st.sampled_from(pairs))
            replica.replicate(source, count)

    @rule(data=st.data())
    def claim_and_promote(self, data):
        """Start a promotion and execute some of its steps, a few of which fail."""
        self.record_term += 1
        moved = data.draw(st.sampled_from((None, *NAMES)))
        state = failover.Promotion(NAMES, self.record_term, 0.0, 1.0, (), moved)
        failover.start(state)
        item = (state, list(failover.handle_claim_result(state, True)))
        self.promotions.append(item)
        lost = data.draw(st.sets(st.integers(0, 9), max_size=2))
        for turn in range(data.draw(st.integers(0, 9))):
            self._step(data, item, turn in lost)

    @precondition(lambda self: any(item[1] for item in self.promotions))
    @rule(data=st.data(), lost=st.booleans())
    def step(self, data, lost):
        """Execute or lose any pending step of any promotion."""
        pending = [item for item in self.promotions if item[1]]
        self._step(data, data.draw(st.sampled_from(pending)), lost)

    def _step(self, data, item, lost):
        state, steps = item
        if not steps:
            return
        step = steps.pop(data.draw(st.integers(0, len(steps) - 1)))
        if isinstance(step, (failover.AcceptTerm, failover.StepDown)):
            status = None
            if not lost:
                self.databases[step.database].accept(step.term)
                status = self.databases[step.database].status()
            if isinstance(step, failover.StepDown):
                steps += failover.handle_step_down_result(state, status)
            else:
                steps += failover.handle_accept_result(state, step.database, status)
        elif isinstance(step, failover.CatchUp):
            steps += failover.handle_catch_up_result(state)
        elif isinstance(step, failover.Promote):
            if not lost:
                self.databases[step.database].promote(step.term)
            status = self.databases[step.database].status()
            succeeded = not lost and status.primary and status.term == step.term
            steps += failover.handle_promote_result(state, succeeded)
        elif isinstance(step, failover.Follow) and not lost:
            self.databases[step.database].follow(step.term, step.primary)

    @rule()
    def fence(self):
        """Start a fence; its floor must include all writes acknowledged so far."""
        floor = max(self.acked.values(), default=ZERO)
        state = fences.FenceState(NAMES)
        queries = fences.add_waiter(state, 0.0, 1, 1.0)
        self.fences.append((floor, state, queries))

    @precondition(lambda self: any(item[2] for item in self.fences))
    @rule(data=st.data(), lost=st.booleans())
    def answer_fence(self, data, lost):
        pending = [item for item in self.fences if item[2]]
        floor, state, queries = data.draw(st.sampled_from(pending))
        query = queries.pop(data.draw(st.integers(0, len(queries) - 1)))
        status = None if lost else self.databases[query.database].status()
        for message in fences.handle_status(
            state, 0.0, query.round_id, query.database, status, 1.0
        ):
            if isinstance(message, fences.Granted):
                assert message.position >= floor

    @invariant()
    def acked_writes_survive(self):
        latest = max(
            (x for x in self.databases.values() if x.primary == x.name),
            key=lambda x: x.term,
            default=None,
        )
        if latest is None:
            return
        writes = {entry[2] for entry in latest.log}
        for write, position in self.acked.items():
            assert position.term > latest.term or write in writes

    @invariant()
    def one_primary_in_each_term(self):
        terms = [x.term for x in self.databases.values() if x.primary == x.name]
        assert len(terms) == len(set(terms))


TestGroupMachine = GroupMachine.TestCase
TestGroupMachine.settings = settings(
    max_examples=500, stateful_step_count=40, deadline=None, derandomize=True
)


def status(name, primary, term, received, leaving=False):
    """Return a status whose applied position equals the received one."""
    return Status(name, primary, term, received, received, leaving, 0)


class TestPositions:
    def test_token_round_trip(self):
        assert decode_token(encode_token(Position(3, 88))) == Position(3, 88)

    def test_replaced_primary_is_not_confirmed(self):
        statuses = [
            status("a", True, 1, Position(1, 9)),
            status("b", False, 2, Position(1, 9)),
            status("c", False, 2, Position(1, 9)),
        ]
        assert confirmed_primary(statuses, 3) is None


class TestFences:
    def test_one_round_serves_all_waiters_present_at_its_start(self):
        state = fences.FenceState(NAMES)
        first = fences.add_waiter(state, 0.0, 1, 1.0)
        assert len(first) == 3
        assert fences.add_waiter(state, 0.0, 2, 1.0) == []
        assert fences.add_waiter(state, 0.0, 3, 1.0) == []
        primary = status("a", True, 1, Position(1, 5))
        replica = status("b", False, 1, Position(1, 4))
        assert fences.handle_status(state, 0.1, 1, "a", primary, 1.0) == []
        messages = fences.handle_status(state, 0.1, 1, "b", replica, 1.0)
        granted = [m for m in messages if isinstance(m, fences.Granted)]
        assert [m.waiter for m in granted] == [1]
        assert granted[0].position == Position(1, 5)
        queries = [m for m in messages if isinstance(m, fences.Query)]
        assert len(queries) == 3
        assert state.active_waiters == [2, 3]

    def test_round_is_refused_after_its_deadline(self):
        state = fences.FenceState(NAMES)
        fences.add_waiter(state, 0.0, 1, 1.0)
        assert fences.expire(state, 0.9, 1.0) == []
        assert fences.expire(state, 1.0, 1.0) == [fences.Refused(1)]


class TestFailover:
    def test_chooses_the_longest_log_of_a_majority(self):
        state = failover.Promotion(NAMES, 2, 0.0, 1.0)
        failover.handle_claim_result(state, True)
        assert (
            failover.handle_accept_result(state, "a", status("a", False, 2, ZERO)) == []
        )
        last = status("b", False, 2, Position(1, 3))
        steps = failover.handle_accept_result(state, "b", last)
        assert steps == [failover.Promote("b", 2)]

    def test_leaving_database_is_not_chosen(self):
        state = failover.Promotion(NAMES, 2, 0.0, 1.0)
        failover.handle_claim_result(state, True)
        leaving = status("a", False, 2, Position(1, 9), leaving=True)
        assert failover.handle_accept_result(state, "a", leaving) == []
        assert (
            failover.handle_accept_result(state, "b", status("b", False, 2, ZERO)) == []
        )
        steps = failover.handle_accept_result(
            state, "c", status("c", False, 2, Position(1, 8))
        )
        assert steps == [failover.Promote("c", 2)]

    def test_suspects_silent_and_stalled_primary(self):
        state = failover.SuspicionState(0.0)
        failover.record_primary_status(state, 1.0, status("a", True, 1, Position(1, 1)))
        assert not failover.suspects(state, 1.5, 0.8)
        assert failover.suspects(state, 1.9, 0.8)
        for tick in range(10):
            now = 2.0 + tick * 0.5
            failover.record_primary_status(
                state, now, status("a", True, 1, Position(1, 2))
            )
        assert failover.suspects(state, 6.5, 0.8)
        failover.record_majority_position(state, 6.5, Position(1, 2))
        assert not failover.suspects(state, 6.5, 0.8)
