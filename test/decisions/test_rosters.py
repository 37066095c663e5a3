"""A database leaves the roster only when its writes are held elsewhere."""

import itertools

from dragonflywing.decisions import rosters
from dragonflywing.decisions.positions import Position, intersecting_quorum


def at(**indexes):
    return {name: Position(1, index) for name, index in indexes.items()}


class TestRosters:
    def test_takes_listed_databases_while_a_primary_is_confirmed(self):
        state = rosters.RosterState()
        held = at(a=5, b=0)
        assert rosters.compute_roster(state, {"a"}, {"a", "b"}, "a", held, 1) == {
            "a",
            "b",
        }

    def test_takes_no_new_database_while_nobody_leads(self):
        state = rosters.RosterState()
        names = rosters.compute_roster(state, {"a", "b"}, {"b", "new"}, None, {}, 1)
        assert names == {"a", "b"}

    def test_keeps_unlisted_without_a_confirmed_primary(self):
        state = rosters.RosterState()
        held = at(b=9, c=9)
        names = rosters.compute_roster(
            state, {"a", "b", "c"}, {"b", "c"}, None, held, 1
        )
        assert names == {"a", "b", "c"}

    def test_keeps_unlisted_while_a_replica_is_behind(self):
        state = rosters.RosterState()
        group = {"a", "b", "c"}
        for _ in range(3):
            held = at(a=9, b=4)
            assert (
                rosters.compute_roster(state, group, {"a", "b"}, "a", held, 1) == group
            )
        assert rosters.compute_roster(
            state, group, {"a", "b"}, "a", at(a=12, b=9), 1
        ) == {
            "a",
            "b",
        }

    def test_database_that_is_listed_again_starts_anew(self):
        state = rosters.RosterState()
        group = {"a", "b", "c"}
        rosters.compute_roster(state, group, {"a", "b"}, "a", at(a=9, b=4), 1)
        rosters.compute_roster(state, group, group, "a", at(a=12, b=4, c=12), 1)
        held = at(a=12, b=9)
        assert rosters.compute_roster(state, group, {"a", "b"}, "a", held, 1) == group

    def test_two_that_leave_at_once_do_not_keep_the_others_from_going_on(self):
        roster, listed = {"a", "b", "c", "new1", "new2"}, {"a", "new1", "new2"}
        quorum = intersecting_quorum(len(roster), 1)
        assert quorum > len(listed)
        assert rosters.votes_needed(quorum, listed, listed, 1) == 2
        assert rosters.votes_needed(quorum, listed, {"a", "new1"}, 1) == quorum

    def test_a_promotion_unheard_of_would_be_told(self):
        # A promotion holds all but one of the roster; two of any listed answer.
        roster = ["a", "b", "c", "new1", "new2"]
        quorum = intersecting_quorum(len(roster), 1)
        for held in itertools.combinations(roster, quorum):
            for voters in itertools.combinations(roster, 2):
                assert set(held) & set(voters)

    def test_any_quorum_left_meets_every_acknowledged_write(self):
        names = ["a", "b", "c", "d"]
        for acker, vanished in itertools.product("bcd", repeat=2):
            for behind in itertools.combinations("bcd", 2):
                # "a" leads and acknowledged write 9 with one other.
                held = {"a": 9, **{n: 3 if n in behind else 9 for n in "bcd"}}
                held[acker] = 9
                received = at(**{n: x for n, x in held.items() if n != vanished})
                state = rosters.RosterState()
                listed = set(names) - {vanished}
                left = rosters.compute_roster(
                    state, set(names), listed, "a", received, 1
                )
                quorum = intersecting_quorum(len(left), 1)
                for met in itertools.combinations(sorted(left), quorum):
                    assert any(held[name] == 9 for name in met)
