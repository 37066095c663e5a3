"""The history checker finds each kind of violation."""

from dragonflywing.load import history
from dragonflywing.load.history import Operation


def operation(kind, order, started, outcome="OK", seen=False, caller="c"):
    """Return an operation that took a tenth of a second."""
    return Operation(
        kind, "w", caller, "e", order, started, started + 0.1, outcome, "", seen
    )


class TestCheck:
    def test_accepts_a_clean_history(self):
        items = [operation("write", "1", 0.0), operation("read", "1", 1.0, seen=True)]
        assert history.check(items, {"1": 1}).total() == 0

    def test_finds_a_lost_write(self):
        found = history.check([operation("write", "1", 0.0)], {})
        assert found.lost_writes == ["1"]

    def test_finds_a_doubled_write(self):
        found = history.check([operation("write", "1", 0.0)], {"1": 2})
        assert found.doubled_writes == ["1"]

    def test_finds_a_stale_read(self):
        items = [operation("write", "1", 0.0), operation("read", "1", 0.2)]
        assert history.check(items, {"1": 1}).stale_reads == ["1"]

    def test_ignores_a_read_that_began_before_the_ack(self):
        items = [operation("write", "1", 0.0), operation("read", "1", 0.05)]
        assert history.check(items, {"1": 1}).stale_reads == []

    def test_finds_a_false_refusal(self):
        found = history.check([operation("write", "1", 0.0, "NOT_RUN")], {"1": 1})
        assert found.false_not_run == ["1"]

    def test_finds_a_torn_batch(self):
        found = history.check([operation("batch", "1", 0.0, "NOT_RUN")], {"1": 1})
        assert found.torn_batches == ["1"]
