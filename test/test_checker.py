"""Tests that the history checker finds each kind of violation."""

from dragonflywing.load import history
from dragonflywing.load.history import Operation


def operation(kind, order, started, outcome="OK", seen=False, caller="c"):
    """Return an operation that takes 0.1 s."""
    return Operation(
        kind, "w", caller, "e", order, started, started + 0.1, outcome, "", seen
    )


class TestCheck:
    def test_accepts_a_history_without_violations(self):
        operations = [
            operation("write", "1", 0.0),
            operation("read", "1", 1.0, seen=True),
        ]
        assert history.check(operations, {"1": 1}).total() == 0

    def test_finds_a_lost_write(self):
        findings = history.check([operation("write", "1", 0.0)], {})
        assert findings.lost_writes == ["1"]

    def test_finds_a_write_executed_twice(self):
        findings = history.check([operation("write", "1", 0.0)], {"1": 2})
        assert findings.doubled_writes == ["1"]

    def test_finds_a_stale_read(self):
        operations = [operation("write", "1", 0.0), operation("read", "1", 0.2)]
        assert history.check(operations, {"1": 1}).stale_reads == ["1"]

    def test_accepts_a_read_that_started_before_the_ack(self):
        operations = [operation("write", "1", 0.0), operation("read", "1", 0.05)]
        assert history.check(operations, {"1": 1}).stale_reads == []

    def test_finds_an_executed_write_reported_as_not_run(self):
        findings = history.check([operation("write", "1", 0.0, "NOT_RUN")], {"1": 1})
        assert findings.false_not_run == ["1"]

    def test_finds_a_partly_executed_batch(self):
        findings = history.check([operation("batch", "1", 0.0, "NOT_RUN")], {"1": 1})
        assert findings.torn_batches == ["1"]
