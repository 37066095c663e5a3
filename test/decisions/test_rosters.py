"""A database leaves the roster only when other databases hold its writes."""

import itertools

from dragonflywing.decisions import rosters
from dragonflywing.decisions.positions import Position, intersecting_quorum


def compute_roster(state, recorded, listed, *args, excluded=None):
    """Compute a roster; by default no instance counts an unlisted database."""
    excluded = recorded - listed if excluded is None else excluded
    return rosters.compute_roster(state, recorded, listed, *args, excluded)


def positions(**indexes):
    return {name: Position(1, index) for name, index in indexes.items()}


class TestRosters:
    def test_adds_listed_databases_while_a_primary_is_confirmed(self):
        state = rosters.RosterState()
        received = positions(a=5, b=0)
        assert compute_roster(state, {"a"}, {"a", "b"}, "a", received, 1) == {
            "a",
            "b",
        }

    def test_adds_no_database_without_a_confirmed_primary(self):
        state = rosters.RosterState()
        names = compute_roster(state, {"a", "b"}, {"b", "new"}, None, {}, 1)
        assert names == {"a", "b"}

    def test_keeps_unlisted_databases_without_a_confirmed_primary(self):
        state = rosters.RosterState()
        received = positions(b=9, c=9)
        names = compute_roster(state, {"a", "b", "c"}, {"b", "c"}, None, received, 1)
        assert names == {"a", "b", "c"}

    def test_keeps_unlisted_databases_while_a_replica_is_behind(self):
        state = rosters.RosterState()
        group = {"a", "b", "c"}
        for _ in range(3):
            received = positions(a=9, b=4)
            assert compute_roster(state, group, {"a", "b"}, "a", received, 1) == group
        assert compute_roster(
            state, group, {"a", "b"}, "a", positions(a=12, b=9), 1
        ) == {
            "a",
            "b",
        }

    def test_required_position_is_reset_when_a_database_is_listed_again(self):
        state = rosters.RosterState()
        group = {"a", "b", "c"}
        compute_roster(state, group, {"a", "b"}, "a", positions(a=9, b=4), 1)
        compute_roster(state, group, group, "a", positions(a=12, b=4, c=12), 1)
        received = positions(a=12, b=9)
        assert compute_roster(state, group, {"a", "b"}, "a", received, 1) == group

    def test_keeps_an_unlisted_database_that_may_still_count_for_a_commit(self):
        # LOST: it left the roster, and then held commits that callers were told of.
        state, group = rosters.RosterState(), {"a", "b", "c"}

        def compute(excluded, **indexes):
            received = positions(**indexes)
            return compute_roster(
                state, group, {"a", "b"}, "a", received, 1, excluded=excluded
            )

        assert compute(set(), a=9, b=9) == group
        # What it may have counted for until now is required.
        assert compute({"c"}, a=12, b=9) == group
        assert compute({"c"}, a=15, b=12) == {"a", "b"}

    def test_fewer_votes_suffice_when_all_listed_databases_answer(self):
        roster, listed = {"a", "b", "c", "new1", "new2"}, {"a", "new1", "new2"}
        quorum = intersecting_quorum(len(roster), 1)
        assert quorum > len(listed)
        assert rosters.votes_needed(quorum, listed, listed, 1) == 2
        assert rosters.votes_needed(quorum, listed, {"a", "new1"}, 1) == quorum

    def test_two_voters_include_one_that_knows_of_a_promotion(self):
        # A promotion is accepted by all but one of the roster, and two answer.
        roster = ["a", "b", "c", "new1", "new2"]
        quorum = intersecting_quorum(len(roster), 1)
        for accepted in itertools.combinations(roster, quorum):
            for voters in itertools.combinations(roster, 2):
                assert set(accepted) & set(voters)

    def test_any_quorum_of_the_roster_holds_every_acknowledged_write(self):
        names = ["a", "b", "c", "d"]
        for acknowledging, unlisted in itertools.product("bcd", repeat=2):
            for lagging in itertools.combinations("bcd", 2):
                # The primary "a" and one other database acknowledged write 9.
                indexes = {"a": 9, **{n: 3 if n in lagging else 9 for n in "bcd"}}
                indexes[acknowledging] = 9
                received = positions(
                    **{n: x for n, x in indexes.items() if n != unlisted}
                )
                state = rosters.RosterState()
                listed = set(names) - {unlisted}
                roster = compute_roster(state, set(names), listed, "a", received, 1)
                quorum = intersecting_quorum(len(roster), 1)
                for voters in itertools.combinations(sorted(roster), quorum):
                    assert any(indexes[name] == 9 for name in voters)


class TestChooseVoters:
    """A group of three couldn't replace its primary soon after another one had gone."""

    def voters(self, answers, leaving=frozenset()):
        """Return the voters after rounds of queries, 0.6 s apart."""
        unanswered = {}
        for number, names in enumerate(answers):
            statuses = {name: name if name in names else None for name in "abc"}
            rosters.note_answers(unanswered, 0.6 * number, statuses)
        silent = rosters.silent(unanswered, 0.6 * (len(answers) - 1))
        return rosters.choose_voters(frozenset("abc"), leaving, silent, "a", 1)

    def test_leaves_out_databases_that_do_not_answer(self):
        assert self.voters(["abc", "ab", "ab", "ab"]) == {"a", "b"}
        assert self.voters(["ab", "abc", "ab", "ab"]) == {"a", "b", "c"}

    def test_leaves_out_replicas_that_leave(self):
        assert self.voters(["abc"], {"a", "b"}) == {"a", "c"}

    def test_keeps_as_many_as_a_commit_needs(self):
        assert self.voters(["a"] * 4) == {"a", "b", "c"}
        assert self.voters(["abc"], {"b", "c"}) == {"a", "b", "c"}
        assert self.voters(["ab"] * 4, {"b"}) == {"a", "b"}


class TestAfterPromotion:
    def test_an_unlisted_database_counts_until_replicas_hold_what_was_promoted(self):
        # LOST: the next promotion could do without the database that had the write.
        base, behind = Position(1, 9), Position(1, 5)
        for received, names in (
            ({"b": base, "c": base}, {"b", "c", "new"}),
            ({"b": base, "c": behind}, {"a", "b", "c", "new"}),
        ):
            assert names == rosters.roster_after_promotion(
                {"a", "b", "c"}, {"b", "c", "new"}, received, base, 1
            )
