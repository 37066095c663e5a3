"""Tests of which databases count for a quorum, and of restarted databases."""

import asyncio
import itertools

import pytest

from dragonflywing.clock import boottime
from dragonflywing.decisions.floors import Floor
from dragonflywing.decisions.permits import Leader, Version
from dragonflywing.decisions.positions import (
    Position,
    fence_quorum,
    intersecting_quorum,
)
from dragonflywing.deployment import Database
from dragonflywing.groups import STATUS_AGE_S, Groups
from dragonflywing.metrics import Metrics
from dragonflywing.ports import DatabaseStatus
from test.helper import run


def database(name, born=1, is_primary=False):
    return Database(name, "orders", "127.0.0.1", 1, "here", 2, False, is_primary, born)


class TestRosters:
    def test_databases_of_the_roster_count_before_they_are_listed(self):
        async def check():
            groups = Groups(None, Metrics())
            groups.note_database(database("a"))
            groups.note_roster("orders", {"a": 1, "b": 1, "c": 1})
            assert groups.quorum_names("orders") == {"a", "b", "c"}
            assert groups.quorum("orders") == 2

        run(check())

    def test_new_database_counts_while_there_is_a_primary(self):
        async def check():
            groups = Groups(None, Metrics())
            groups.note_roster("orders", {"a": 1, "b": 1, "c": 1})
            for item in (database("a", is_primary=True), database("new")):
                groups.note_database(item)
            assert groups.quorum_names("orders") == {"a", "b", "c", "new"}

        run(check())

    def test_new_database_does_not_count_without_a_primary(self):
        # It joined after the primary became unlisted, so it has acknowledged no write
        # and isn't needed to replace the primary.
        async def check():
            groups = Groups(None, Metrics())
            groups.note_roster("orders", {"a": 1, "b": 1, "c": 1})
            for name in ("b", "c", "new"):
                groups.note_database(database(name))
            assert groups.quorum_names("orders") == {"a", "b", "c"}
            assert groups.quorum("orders") == 2

        run(check())

    def test_database_restarted_after_the_roster_is_marked_reborn(self):
        async def check():
            first, second = Groups(None, Metrics()), Groups(None, Metrics())
            first.note_database(database("a", born=5))
            first.note_roster("orders", {"a": 1, "b": 1})
            second.note_roster("orders", {"a": 1, "b": 1})
            second.note_database(database("a", born=5))
            second.note_database(database("b"))
            assert first.reborn == {"a"}
            assert second.reborn == {"a"}

        run(check())


class TestRostersBroughtBack:
    """A restore of the store may bring back a roster that lacks databases."""

    def test_databases_known_before_still_count(self):
        async def check():
            groups = Groups(None, Metrics())
            groups.note_roster("orders", {"a": 1, "b": 2, "new": 1})
            groups.note_roster("orders", {"a": 1, "b": 1}, is_outdated=True)
            assert groups.quorum_names("orders") == {"a", "b", "new"}
            assert groups.rosters["orders"]["b"] == 2
            groups.note_roster("orders", {"a": 1, "new": 1})
            assert groups.quorum_names("orders") == {"a", "new"}

        run(check())

    def test_a_lost_roster_leaves_the_known_one(self):
        async def check():
            groups = Groups(None, Metrics())
            groups.note_roster("orders", {"a": 1, "b": 1, "c": 1})
            groups.note_roster("orders", {}, is_outdated=True)
            assert groups.quorum("orders") == 2

        run(check())

    def test_listed_databases_count_without_a_primary(self):
        # An instance started after the restore doesn't know that `new` may have
        # acknowledged writes.
        async def check():
            groups = Groups(None, Metrics())
            groups.note_roster("orders", {"a": 1, "b": 1}, is_outdated=True)
            for name in ("b", "new"):
                groups.note_database(database(name))
            assert groups.quorum("orders") == 2

        run(check())


class TestFences:
    def group(self, status_of):
        """Return Groups with one group of two databases, whose statuses are given."""
        groups = Groups(None, Metrics())
        groups.note_database(database("a", is_primary=True))
        groups.note_database(database("b"))
        groups.status_of = status_of
        return groups

    def test_go_on_after_a_query_that_fails_in_an_unexpected_way(self):
        # RECOVER: after one RuntimeError no fence was granted any more.
        async def check():
            failures = [RuntimeError("the handler is closed")] * 2

            async def status_of(name):
                if failures:
                    raise failures.pop()
                return DatabaseStatus(name == "a", 1, Position(1, 5), 0, 0.0, 0, 1)

            groups = self.group(status_of)
            assert await groups.fence("orders") is None
            assert await groups.fence("orders") == (1, 5)
            assert groups.metrics.counters["task.failed.fence"] == 2

        run(check())

    def test_ask_new_databases_though_there_are_always_waiters(self):
        async def check():
            asked = []

            async def status_of(name):
                asked.append(name)
                await asyncio.sleep(0.01)
                return DatabaseStatus(name == "a", 1, Position(1, 5), 0, 0.0, 0, 1)

            groups = self.group(status_of)
            waiting = [asyncio.create_task(groups.fence("orders"))]
            await asyncio.sleep(0)
            for name in ("c", "d"):
                groups.note_database(database(name))
            waiting.append(asyncio.create_task(groups.fence("orders")))
            assert await asyncio.gather(*waiting) == [(1, 5)] * 2
            assert set(asked) > {"a", "b"}

        run(check())


class TestReborn:
    """LOST: an old floor took a restarted database for one that holds all writes."""

    def test_database_counts_only_by_a_floor_confirmed_after_its_restart(self):
        async def check():
            groups = Groups(None, Metrics())
            groups.note_database(database("b"))
            groups.note_floor("orders", Floor(Position(1, 10), boottime() - 0.5))
            groups.note_database(database("b", born=2))
            # It had acknowledged up to 20, and has received some of it again.
            status = DatabaseStatus(False, 1, Position(1, 12), 0, 0.0, 0, 1)
            groups.note_status("b", status)
            assert groups.reborn == {"b"}
            groups.note_floor("orders", Floor(Position(1, 20), boottime()))
            groups.note_status("b", status._replace(received=Position(1, 20)))
            assert groups.reborn == set()

        run(check())

    @pytest.mark.parametrize(
        ("term", "received", "reborn"),
        [(2, 3, set()), (1, 10, set()), (1, 3, {"b"})],
    )
    def test_primary_counts_if_it_was_promoted_or_kept_its_log(
        self, term, received, reborn
    ):
        # Otherwise no floor is confirmed any more, and the group has no primary.
        async def check():
            groups = Groups(None, Metrics())
            groups.note_database(database("b"))
            groups.note_primary("orders", "b", 1)
            groups.note_floor("orders", Floor(Position(1, 10), boottime() - 0.5))
            groups.note_database(database("b", born=2))
            position = Position(1, received)
            status = DatabaseStatus(True, term, position, 0, 0.0, 0, 1)
            groups.note_status("b", status)
            assert groups.reborn == reborn

        run(check())

    def test_replica_counts_once_it_has_what_its_primary_had_after_the_restart(self):
        # The quorum that confirms a floor may need the restarted database.
        async def check():
            groups = Groups(None, Metrics())
            for name in ("a", "b"):
                groups.note_database(database(name))
            primary = DatabaseStatus(True, 1, Position(1, 20), 0, 0.0, 0, 1)
            replica = primary._replace(is_primary=False)
            groups.note_status("a", primary)
            groups.note_floor("orders", Floor(Position(1, 10), boottime() - 5.0))
            groups.note_database(database("b", born=2))
            groups.note_status("b", replica)
            assert groups.reborn == {"b"}
            groups._reborn_at["b"] = boottime() - STATUS_AGE_S, 1
            groups.note_status("a", primary)
            groups.note_status("b", replica._replace(received=Position(1, 19)))
            assert groups.reborn == {"b"}
            groups.note_status("b", replica)
            assert groups.reborn == set()

        run(check())


class TestFenceQuorum:
    """STALE: in a group of two an old primary alone confirmed that it still led."""

    # Databases that confirm a primary, by sync_replicas and the size of the group.
    SIZES = {
        0: [1, 2, 3, 4, 5, 6, 7],
        1: [1, 2, 2, 3, 4, 5, 6],
        2: [1, 2, 3, 3, 3, 4, 5],
    }

    @pytest.mark.parametrize("sync_replicas", SIZES)
    def test_meets_each_write_quorum_and_what_each_replacement_has_paused(
        self, sync_replicas
    ):
        for size, expected in enumerate(self.SIZES[sync_replicas], 1):
            quorum = fence_quorum(size, sync_replicas)
            assert quorum == expected
            paused = intersecting_quorum(size, sync_replicas)
            written = min(sync_replicas + 1, size)
            for confirming in itertools.combinations(range(size), quorum):
                for count in (paused, written):
                    for others in itertools.combinations(range(size), count):
                        assert set(confirming) & set(others)

    @pytest.mark.parametrize(
        ("leader", "valid_s", "granted"),
        [
            (None, 0.0, False),
            (Leader("a", 1), 10.0, True),
            (Leader("a", 1), 0.0, False),
            (Leader("a", 2), 10.0, False),
            (Leader("b", 2), 10.0, False),
        ],
    )
    def test_a_group_of_two_needs_both_or_a_permit(self, leader, valid_s, granted):
        async def check():
            groups = Groups(None, Metrics())
            groups.note_database(database("a", is_primary=True))
            groups.note_database(database("b"))
            groups.note_roster("orders", {"a": 1, "b": 1})
            groups.note_primary("orders", "a", 1)
            asked = []

            async def status_of(name):
                asked.append(name)
                if name == "b":
                    return None
                return DatabaseStatus(True, 1, Position(1, 5), 0, 0.0, 0, 1)

            groups.status_of = status_of
            if leader is not None:
                leaders, now = {"orders": leader}, boottime()
                groups.note_permits(Version(7, 1), leaders, now, valid_s)
            position = await groups.fence("orders")
            assert position == (Position(1, 5) if granted else None)
            assert asked == ["a"] if granted else set(asked) == {"a", "b"}

        run(check())
