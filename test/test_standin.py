"""Tests of the stand-in database for the MySQL deployment."""

from dragonflywing.decisions.positions import Position
from dragonflywing.standin.database import DatabaseSettings, DatabaseState
from dragonflywing.standin.log import Log, LogEntry


class TestLog:
    """An accepted term and stored entries outlast any number of restarts."""

    def test_a_write_cut_short_loses_nothing_written_after_the_restart(self, tmp_path):
        path = tmp_path / "a.log"
        log = Log(path)
        log.accept(1)
        log.append(LogEntry(1, 1, "press", ("INSERT",)))
        with open(path, "a", encoding="utf-8") as file:
            file.write('{"entry": [1, 2, "pre')
        log = Log(path)
        log.accept(2)
        log.append(LogEntry(2, 2, "press", ("INSERT",)))
        log = Log(path)
        assert log.term == 2
        assert log.last() == Position(2, 2)


class TestRestart:
    """A database that forgot a term could let a replaced primary acknowledge again."""

    def test_a_restarted_database_follows_no_primary_of_an_earlier_term(self, tmp_path):
        cfg = DatabaseSettings("b", "", 0, 0, str(tmp_path), {}, "a")
        DatabaseState(cfg).accept_term(2)
        state = DatabaseState(cfg)
        state.follow(1, "a")
        assert (state.log.term, state.primary) == (2, None)


class TestPromotion:
    """Reads of a new primary miss acknowledged writes that it skipped."""

    def test_a_database_that_has_not_applied_its_log_does_not_lead(self, tmp_path):
        cfg = DatabaseSettings("b", "", 0, 0, str(tmp_path), {}, "a")
        state = DatabaseState(cfg)
        state.log.append(LogEntry(1, 1, "press", ("CREATE TABLE t (id INT)",)))
        state.apply(1)
        state.log.append(LogEntry(1, 2, "press", ("INSERT INTO t VALUES (7)",)))
        other = state.open_schema("press")
        other.execute("BEGIN IMMEDIATE")
        state.accept_term(2)
        state.promote(2)
        other.execute("ROLLBACK")
        state.promote(2)
        assert state.is_primary
        assert other.execute("SELECT id FROM t").fetchall() == [(7,)]
