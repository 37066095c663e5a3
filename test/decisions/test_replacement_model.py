"""Whether a history of a group loses a commit that a caller was told of."""

import pytest
from hypothesis import HealthCheck, Phase, settings, target
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from dragonflywing.standin.replacement_model import (
    INSTANCES,
    STEPS,
    SYNC_REPLICAS,
    ReplacementModel,
)


def names_of(find):
    """Draw one of the names that a method of the machine returns."""
    return st.runner().flatmap(lambda machine: st.sampled_from(sorted(find(machine))))


RUNNING = names_of(lambda machine: machine.running())
PRIMARIES = names_of(lambda machine: machine.primaries())
REPLICAS = names_of(lambda machine: machine.running() - machine.primaries())
OTHERS = names_of(lambda machine: machine.running() | set(INSTANCES))


class Protocol(RuleBasedStateMachine, ReplacementModel):
    """The protocol of the replacer; without one of its parts it loses commits."""

    def __init__(self):
        RuleBasedStateMachine.__init__(self)
        ReplacementModel.__init__(self)

    @invariant()
    def no_commit_is_lost(self):
        """Tell callers of what they may be told of; a promotion must keep it all."""
        for name in INSTANCES:
            self.ask_voters(name)
            self.confirm(name)
        self.tell()
        self.assert_kept()

    def teardown(self):
        target(float(self.progress))


class Machine(Protocol):
    """All that may happen, in any order."""

    cut_off = rule(one=RUNNING, other=OTHERS)(ReplacementModel.cut_off)
    partition = rule(side=st.sets(OTHERS, max_size=3))(ReplacementModel.partition)
    reconnect = precondition(lambda self: self.group.broken)(
        rule(name=OTHERS)(ReplacementModel.reconnect)
    )
    wait = rule(seconds=st.sampled_from([0.4, 1.2, 2.5, 8.0]), is_usual=st.booleans())(
        ReplacementModel.wait
    )
    restart = rule(name=RUNNING)(ReplacementModel.restart)
    join = precondition(
        lambda self: "d" not in self.group.databases and self.primaries()
    )(rule(primary=PRIMARIES)(ReplacementModel.join))
    lose = precondition(lambda self: self.lost < SYNC_REPLICAS)(
        rule(name=RUNNING)(ReplacementModel.lose)
    )
    change_list = rule(name=RUNNING)(ReplacementModel.change_list)
    take_effect = precondition(lambda self: self.group.orders)(
        rule()(ReplacementModel.take_effect)
    )
    catch_up = rule(name=RUNNING)(ReplacementModel.catch_up)
    write = precondition(ReplacementModel.has_both)(
        rule(instance=st.sampled_from(INSTANCES), primary=PRIMARIES, replica=REPLICAS)(
            ReplacementModel.write
        )
    )
    ask_databases = precondition(lambda self: self.held)(
        rule(instance=st.sampled_from(INSTANCES))(ReplacementModel.ask_databases)
    )
    exchange = precondition(lambda self: self.has_permits)(
        rule(instance=st.sampled_from(INSTANCES), is_late=st.booleans())(
            ReplacementModel.exchange
        )
    )
    deliver = precondition(lambda self: self.answers)(rule()(ReplacementModel.deliver))
    take_over = rule(name=st.sampled_from(INSTANCES), knows_term=st.booleans())(
        ReplacementModel.take_over
    )
    check = precondition(lambda self: self.holder.replacement is None)(
        rule()(ReplacementModel.check)
    )
    replace = rule(until=st.sampled_from(STEPS[::-1]), is_late=st.booleans())(
        ReplacementModel.replace
    )


class Outsiders(Protocol):
    """Few kinds of events, around databases that are not listed or have just joined."""

    change_list = rule(name=RUNNING)(ReplacementModel.change_list)
    cut_off = rule(one=RUNNING, other=OTHERS)(ReplacementModel.cut_off)
    wait = rule(seconds=st.sampled_from([0.4, 2.5]), is_usual=st.just(True))(
        ReplacementModel.wait
    )
    join, lose, write = Machine.join, Machine.lose, Machine.write
    replace = rule(until=st.just("end"), is_late=st.just(False))(
        ReplacementModel.replace
    )


class OutsidersWithoutVoters(Outsiders):
    """A permit covers commits that only databases outside the roster have received."""

    has_voters = False


class WithoutPermits(Machine):
    """The protocol before: instances pass every acknowledgement on."""

    has_permits = False
    has_records = False


class WithoutVoters(Machine):
    """A permit covers commits that only databases outside the roster have received."""

    has_voters = False


class WithoutRecords(Machine):
    """A holder knows nothing of the orders of an earlier one."""

    has_records = False


def search(machine, max_examples, phases=tuple(Phase)):
    """Search for a history that loses a commit; raise its AssertionError."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=max_examples,
            stateful_step_count=40,
            deadline=None,
            derandomize=True,
            database=None,
            phases=phases,
            suppress_health_check=list(HealthCheck),
        ),
    )


def play(machine, history):
    """Apply the rules of a history, given as (name, arguments), to a machine."""
    for name, *args in history:
        getattr(machine, name)(*args)
        machine.no_commit_is_lost()


class TestSearch:
    def test_finds_a_loss_without_permits(self):
        with pytest.raises(AssertionError, match="lacks"):
            search(WithoutPermits, 3000, [Phase.generate, Phase.target])

    def test_finds_a_loss_without_voters(self):
        with pytest.raises(AssertionError, match="lacks"):
            search(OutsidersWithoutVoters, 6000, [Phase.generate, Phase.target])

    @pytest.mark.parametrize("machine", [Machine, Outsiders])
    def test_finds_no_loss(self, machine):
        search(machine, 1000)


class TestHistories:
    """LOST: the shortest histories that have lost a commit."""

    def test_commit_that_only_an_unlisted_database_has_received(self):
        # review/7: c, unlisted, left the roster and went on receiving.
        history = [
            ("change_list", "c"),
            ("write", "x", "a", "b"),
            ("check",),
            ("wait", 0.4, True),
            ("check",),
            ("write", "x", "a", "c"),
            ("lose", "a"),
            ("replace", "end", False),
        ]
        with pytest.raises(AssertionError, match="lacks"):
            play(WithoutVoters(), history)
        play(Machine(), history)

    def test_commit_that_only_a_database_that_has_joined_has_received(self):
        # review/6: d is not in the roster yet, and the holder can't write it there.
        history = [
            ("join", "a"),
            ("change_list", "a"),
            ("write", "x", "a", "d"),
            ("cut_off", "d", "x"),
            ("cut_off", "a", "x"),
            ("replace", "end", False),
        ]
        with pytest.raises(AssertionError, match="lacks"):
            play(WithoutVoters(), history)
        play(Machine(), history)

    def test_order_that_a_later_replacement_knows_nothing_of(self):
        history = [
            ("replace", "end", True),
            ("cut_off", "c", "x"),
            ("replace", "end", False),
            ("write", "x", "b", "a"),
        ]
        with pytest.raises(AssertionError, match="lacks"):
            play(WithoutRecords(), history)
        play(Machine(), history[:3])

    def test_roster_is_reset_before_the_new_primary_has_replicas(self):
        # a and b hold the commit, and neither is lost.
        history = [
            ("write", "x", "a", "b"),
            ("change_list", "a"),
            ("replace", "end", False),
            ("cut_off", "b", "x"),
            ("replace", "end", False),
        ]
        play(Machine(), history)

    def test_order_of_a_holder_that_knows_an_earlier_term(self):
        # The replicas report the group's term, so the order counts as settled.
        history = [
            ("replace", "end", False),
            ("partition", {"c"}),
            ("take_over", "y", True),
            ("check",),
            ("wait", 2.5, False),
            ("replace", "end", True),
            ("reconnect", "c"),
            ("check",),
            ("check",),
            ("write", "y", "c", "a"),
        ]
        play(Machine(), history)

    def test_order_of_a_holder_that_knows_no_term(self):
        history = [
            ("take_over", "y", False),
            ("cut_off", "a", "y"),
            ("replace", "end", True),
            ("reconnect", "a"),
            ("cut_off", "c", "y"),
            ("replace", "end", False),
            ("write", "y", "b", "a"),
        ]
        play(Machine(), history)

    def test_order_is_settled_by_the_late_discovery_of_an_earlier_one(self):
        history = [
            ("replace", "end", True),
            ("partition", {"c"}),
            ("take_effect",),
            ("wait", 8.0, False),
            ("replace", "end", True),
            ("reconnect", "c"),
            ("check",),
            ("catch_up", "a"),
            ("check",),
            ("write", "x", "c", "a"),
        ]
        play(Machine(), history)

    def test_databases_that_never_learn_of_a_promotion_confirm(self):
        # b has forgotten its pause; a, b and y are cut off from c and x.
        history = [
            ("partition", {"x"}),
            ("reconnect", "b"),
            ("reconnect", "c"),
            ("wait", 2.5, False),
            ("replace", "await_effect", True),
            ("restart", "b"),
            ("cut_off", "b", "c"),
            ("cut_off", "c", "y"),
            ("take_effect",),
            ("write", "y", "a", "b"),
            ("wait", 8.0, False),
            ("wait", 8.0, False),
            ("ask_databases", "y"),
        ]
        play(Machine(), history)

    def test_round_of_queries_during_which_the_replacement_ends(self):
        history = [
            ("cut_off", "a", "x"),
            ("replace", "await_effect", True),
            ("restart", "b"),
            ("write", "y", "a", "b"),
            ("cut_off", "c", "y"),
            ("wait", 0.4, False),
            ("ask_databases", "y"),
            ("take_effect",),
            ("replace", "end", True),
            ("exchange", "y", False),
        ]
        play(Machine(), history)

    def test_order_of_another_holder_that_knew_an_earlier_term(self):
        # x keeps its own order of term 2, which is old, and ignores y's of term 1.
        history = [
            ("partition", {"y"}),
            ("reconnect", "a"),
            ("reconnect", "b"),
            ("partition", {"c"}),
            ("reconnect", "x"),
            ("cut_off", "a", "x"),
            ("partition", {"y"}),
            ("wait", 2.5, False),
            ("replace", "end", False),
            ("reconnect", "b"),
            ("cut_off", "b", "c"),
            ("restart", "b"),
            ("reconnect", "a"),
            ("cut_off", "a", "x"),
            ("cut_off", "a", "c"),
            ("write", "y", "a", "b"),
            ("replace", "end", True),
            ("write", "y", "a", "b"),
            ("take_over", "y", True),
            ("wait", 8.0, False),
            ("replace", "end", True),
            ("take_over", "x", True),
            ("wait", 2.5, False),
            ("reconnect", "c"),
            ("replace", "end", False),
            ("write", "x", "b", "c"),
        ]
        play(Machine(), history)
