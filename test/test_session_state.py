"""What sessions and pooled connections keep between messages, and its limits."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dragonflywing import metering, outcomes, session_state, sessions
from dragonflywing.decisions import memory_budget
from dragonflywing.errors import Verdict
from dragonflywing.outcomes import Refusal
from dragonflywing.platform import databases
from dragonflywing.session_state import ConnectionState, SessionState
from dragonflywing.sessions import Operation, Session
from test.helper import run
from test.test_sessions import refusing_node

MB = 1 << 20
VALUE = "x" * 1_000_000
STEPS = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.sampled_from(["set", "prepare", "close_prepared", "close", "move"]),
        st.sampled_from(["a", "b", "ä" * 300]),
        st.integers(0, 2 * MB),
    ),
    max_size=40,
)


class QuietMeter(metering.Meter):
    """A Meter with 40 MiB for reservations, 10 of them for what is kept."""

    def __init__(self):
        super().__init__()
        self.budget = memory_budget.Budget(100 * MB, 0)
        self.noted = []

    def note(self, reason, **fields):
        self.noted.append(reason)


@pytest.fixture(autouse=True)
def meter(monkeypatch):
    """The QuietMeter in place of the process's own Meter."""
    fresh = QuietMeter()
    monkeypatch.setattr(metering, "meter", fresh)
    return fresh


def fill(state, prefix="v"):
    """Set values of 1 MB until one is refused; return how many were accepted."""
    for number in range(100):
        try:
            state.set_value(f"{prefix}{number}", VALUE)
        except Refusal as exc:
            assert outcomes.verdict(exc.code) is Verdict.NOT_RUN
            assert "not run" in exc.text
            return number
    return 100


class TestSession:
    """Guards against values that are charged to nobody: a caller used 300 MB."""

    def test_is_limited_without_a_budget(self, meter):
        meter.budget = memory_budget.Budget()
        state = SessionState()
        assert fill(state) == 2
        assert len(state.values) == 2
        assert meter.noted == ["session_state"]

    def test_one_workspace_leaves_room_for_another(self, meter):
        states = {"press": [], "harbor": []}
        for workspace in states:
            for _ in range(20):
                states[workspace].append(SessionState())
                states[workspace][-1].set_workspace(workspace)
                fill(states[workspace][-1])
        held = {
            name: sum(len(state.values) for state in items)
            for name, items in states.items()
        }
        assert held["press"] == held["harbor"] > 0
        assert meter.budget.kept <= meter.budget.kept_limit
        assert meter.budget.reserved == meter.budget.kept

    def test_small_state_is_kept_whatever_others_keep(self, meter):
        full = SessionState()
        full.set_workspace("press")
        memory_budget.keep(meter.budget, memory_budget.Kept("press"), 50 * MB)
        small = SessionState()
        small.set_workspace("press")
        small.set_value("zone", "utc")
        with pytest.raises(Refusal):
            full.set_value("zone", VALUE)

    def test_a_replaced_value_counts_once(self, meter):
        state = SessionState()
        for _ in range(50):
            state.set_value("zone", VALUE)
            state.prepare("p", "READ " + "y" * 900_000)
            state.close_prepared("p")
        assert meter.budget.kept < 1.1 * len(VALUE)

    def test_names_are_limited(self):
        state = SessionState()
        with pytest.raises(Refusal, match="256 names"):
            for number in range(1000):
                state.set_value(f"v{number}", "1")

    def test_long_key_is_charged(self, meter):
        # Callers of open routes may send any key, which the session keeps.
        states = [SessionState(("orders", "k" * 1_000_000)) for _ in range(4)]
        assert meter.budget.kept > 4_000_000
        with pytest.raises(Refusal):
            states += [SessionState(("orders", "k" * 1_000_000)) for _ in range(20)]

    @given(STEPS)
    def test_charges_add_up(self, steps):
        budget = metering.meter.budget
        states = [SessionState() for _ in range(4)]
        for index, kind, name, size in steps:
            state = states[index]
            if kind == "close":
                state.close()
            elif kind == "move":
                state.set_workspace(name)
            elif kind == "close_prepared":
                state.close_prepared(name)
            else:
                keep = state.set_value if kind == "set" else state.prepare
                try:
                    keep(name, "z" * size)
                except Refusal:
                    pass
            texts = [*state.values.items(), *state.prepared.items()]
            assert sum(len(x) + len(y) for x, y in texts) <= session_state.MAX_BYTES
        for state in states:
            state.close()
        assert (budget.kept, budget.reserved) == (0, 0)
        assert budget.kept_by_workspace == {}


class TestForwarding:
    """Guards against copies of values, made for each statement, without a limit."""

    def test_waits_for_memory_and_is_refused_without(self, meter):
        async def check():
            state = SessionState()
            fill(state)
            assert state.is_large()
            async with state.forwarding():
                held = meter.budget.reserved - meter.budget.kept
                assert held >= 2 * len(VALUE) * session_state.FORWARDED_COPIES
                claim = memory_budget.Claim()
                memory_budget.add(meter.budget, claim, 40 * MB)
                with pytest.raises(Refusal, match="not run"):
                    async with state.forwarding():
                        raise AssertionError("there was no room")
                memory_budget.add(meter.budget, claim, -40 * MB)
            assert meter.budget.reserved == meter.budget.kept

        run(check())

    def test_is_released_when_cancelled(self, meter):
        async def check():
            state = SessionState()
            fill(state)
            claim = memory_budget.Claim()
            memory_budget.add(meter.budget, claim, 40 * MB)

            async def forward():
                async with state.forwarding():
                    await asyncio.sleep(10)

            tasks = [asyncio.ensure_future(forward()) for _ in range(3)]
            await asyncio.sleep(0)
            meter.release(claim, 40 * MB)  # grants some of them
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            assert meter.budget.reserved == meter.budget.kept

        run(check())


class TestSet:
    def test_without_room_ends_the_transaction(self, meter):
        # The refusal promises that nothing of the caller's attempt is kept.
        async def check():
            node = refusing_node([])
            node.directory.version = node.directory.confirmation_age = lambda: 1
            session = Session(node, "r", "")
            session.transaction = sessions.OpenTransaction(False, "", "", "")
            fill(session.kept)
            op = Operation("set", "1", "SET v9 x", "v9", VALUE)
            reply = await session.handle(op)
            assert reply.code == outcomes.OVERLOADED
            assert (reply.state, session.transaction) == (sessions.FAILED, None)
            session.close()
            assert meter.budget.kept == 0

        run(check())


def connection(values, prepared):
    """Return the state of a connection on which these are set."""
    state = ConnectionState("press")
    state.statements(databases, values, prepared)
    return state


class TestConnection:
    def test_same_state_needs_no_statements(self):
        state = connection({"a": "1"}, {"p1": "READ x"})
        assert state.statements(databases, {"a": "1"}, {"p1": "READ x"}) == []

    def test_changed_values_are_set(self):
        state = connection({"a": "1"}, {})
        statements = state.statements(databases, {"a": "2", "b": "3"}, {})
        assert statements == ["SET a 2", "SET b 3"]
        assert state.values == {"a": "2", "b": "3"}

    def test_removed_value_resets_the_connection(self):
        state = connection({"a": "1", "b": "2"}, {"p1": "READ x"})
        statements = state.statements(databases, {"a": "1"}, {"p1": "READ x"})
        assert statements == ["RESET", "SET a 1", "PREPARE p1 READ x"]

    @pytest.mark.parametrize("change", ["", "y"])
    def test_keeps_no_long_texts(self, meter, change):
        # Each pooled connection held a copy of the last session's values.
        state = connection({"a": VALUE}, {"p1": "READ " + VALUE})
        assert meter.budget.kept < 2000
        values = {"a": "x" * 999_999 + (change or "x")}
        expected = [f"SET a {values['a']}"] if change else []
        assert state.statements(databases, values, {"p1": "READ " + VALUE}) == expected
        state.clear()
        assert meter.budget.kept == 0

    def test_closes_the_oldest_prepared_statements(self):
        # Their names were kept for as long as the connection was open.
        state = connection({}, {})
        for number in range(session_state.MAX_POOLED_PREPARED):
            state.statements(databases, {}, {f"p{number}": "READ x"})
        statements = state.statements(databases, {}, {"p0": "READ x"})
        assert statements == []
        statements = state.statements(databases, {}, {"q": "READ x"})
        assert statements == ["PREPARE q READ x", "CLOSE p0"]
        statements = state.statements(databases, {}, {"p0": "READ x"})
        assert statements == ["PREPARE p0 READ x", "CLOSE p1"]
