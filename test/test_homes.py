"""A database's home: how many connections, and the session state on them."""

from dragonflywing.homes import Pooled, connections_for, session_statements
from dragonflywing.platform import databases


class TestConnections:
    def test_both_sides_of_a_cut_stay_within_the_limit(self):
        for limit in (16, 32, 248):
            first = connections_for(limit, None, False)
            cut_off = connections_for(limit, 30.0, True)
            # One side keeps the home; up to two instances of the other side
            # and the control connections of all three fit beside it.
            assert first + 2 * cut_off + 1 <= limit

    def test_grow_while_standing_in(self):
        counts = [connections_for(16, second, False) for second in range(6)]
        assert counts[0] == 2
        assert counts == sorted(counts)
        assert counts[-1] == connections_for(16, None, False)


class TestSessionState:
    def _pooled(self, values, prepared):
        pooled = Pooled(None, "press", 0.0)
        pooled.values, pooled.prepared = values, prepared
        return pooled

    def test_same_state_needs_nothing(self):
        pooled = self._pooled({"a": "1"}, {"p1": "READ x"})
        found = session_statements(databases, pooled, {"a": "1"}, {"p1": "READ x"})
        assert found == []

    def test_other_values_are_set(self):
        pooled = self._pooled({"a": "1"}, {})
        found = session_statements(databases, pooled, {"a": "2", "b": "3"}, {})
        assert found == ["SET a 2", "SET b 3"]
        assert pooled.values == {"a": "2", "b": "3"}

    def test_values_that_must_go_reset_all(self):
        pooled = self._pooled({"a": "1", "b": "2"}, {"p1": "READ x"})
        found = session_statements(databases, pooled, {"a": "1"}, {"p1": "READ x"})
        assert found == ["RESET", "SET a 1", "PREPARE p1 READ x"]
