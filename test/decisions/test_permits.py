"""Tests of the permits to tell callers of commits."""

import math

import pytest

from dragonflywing.decisions import permits
from dragonflywing.decisions.permits import Leader, Verdict, Version, Witness
from dragonflywing.decisions.positions import Position

FIRST, SECOND = Version(7, 1), Version(7, 2)
LEADERS = {"g": Leader("a", 3)}
COMMIT = Position(3, 5)


def permitted(version=FIRST, leaders=LEADERS, granted_at=10.0):
    """Return a PermitState with permits for 1 s."""
    state = permits.PermitState()
    permits.apply(state, version, leaders, granted_at, permits.PERMIT_S)
    return state


def judge(state, now, database="a", position=COMMIT):
    return permits.judge(state, now, "g", database, position)


class TestJudge:
    def test_permits_lapse_by_the_time_of_the_question(self):
        state = permitted()
        assert judge(state, 10.9) is Verdict.PERMITTED
        assert judge(state, 11.1) is Verdict.UNKNOWN
        permits.apply(state, FIRST, None, 10.5, permits.PERMIT_S)
        assert judge(state, 11.1) is Verdict.PERMITTED

    @pytest.mark.parametrize(
        ("database", "position"),
        [("b", Position(3, 5)), ("a", Position(4, 5))],
    )
    def test_another_database_or_a_later_term_is_not_permitted(
        self, database, position
    ):
        assert judge(permitted(), 10.1, database, position) is Verdict.UNKNOWN

    def test_of_an_earlier_term_only_what_the_next_primary_holds_is_kept(self):
        leaders = {"g": Leader("b", 4, Position(3, 5))}
        state = permitted(leaders=leaders)
        assert judge(state, 10.1) is Verdict.PERMITTED
        assert judge(state, 10.1, "a", Position(3, 6)) is Verdict.REPLACED
        assert judge(state, 10.1, "a", Position(2, 4)) is Verdict.REPLACED


class TestVersions:
    def test_a_revoked_permit_is_not_renewed_by_an_earlier_answer(self):
        # It may arrive from a relay after the holder's revocation.
        state = permitted()
        permits.revise(state, SECOND, {})
        assert judge(state, 10.1) is Verdict.UNKNOWN
        assert not permits.apply(state, FIRST, None, 11.0, permits.PERMIT_S)
        assert judge(state, 11.0) is Verdict.UNKNOWN

    def test_a_revision_that_was_read_late_extends_no_permit(self):
        state = permitted()
        permits.revise(state, SECOND, LEADERS)
        assert judge(state, 10.9) is Verdict.PERMITTED
        assert judge(state, 11.1) is Verdict.UNKNOWN

    def test_permits_of_an_earlier_holder_end_with_a_revision_of_a_later_one(self):
        state = permitted()
        permits.revise(state, Version(8, 1), LEADERS)
        assert judge(state, 10.1) is Verdict.UNKNOWN

    def test_unknown_versions_need_their_primaries(self):
        state = permitted()
        assert not permits.apply(state, SECOND, None, 11.0, permits.PERMIT_S)
        assert state.version == FIRST


class TestIsHeld:
    """LOST: a replacement counted no database that held the commit."""

    LEADER = Leader("b", 4, Position(3, 5), frozenset("abc"))

    @pytest.mark.parametrize(
        ("position", "received", "is_held"),
        [
            (Position(4, 7), {"c": Position(4, 7)}, True),
            (Position(4, 7), {"c": Position(4, 6)}, False),
            (Position(4, 7), {"d": Position(4, 7)}, False),
            (Position(4, 7), {"c": Position(5, 1)}, False),
            (Position(3, 5), {"a": Position(3, 5)}, True),
            (Position(3, 5), {"a": Position(4, 1)}, True),
            # It has not followed the leader yet, so its log may lack the commit.
            (Position(3, 5), {"a": Position(2, 9)}, False),
        ],
    )
    def test_counts_voters_that_include_the_commit(self, position, received, is_held):
        assert permits.is_held(self.LEADER, position, received, 1) is is_held

    def test_counts_the_primary_only_if_it_is_a_voter(self):
        leader = self.LEADER._replace(voters=frozenset("ac"))
        received = {"c": COMMIT._replace(term=4)}
        assert not permits.is_held(leader, Position(4, 5), received, 1)


class TestExclude:
    """LOST: a database left the roster while instances counted it for commits."""

    def begin(self):
        state = permits.GrantState(7, 0.0)
        permits.permit(state, "g", Leader("a", 3, voters=frozenset("abc")))
        permits.note_given(state, 10.0, "i")
        return state

    def exclude(self, state, now):
        return permits.exclude(state, "g", {"c"}, {"i": "dc"}, now)

    def test_a_voter_is_not_excluded(self):
        state = self.begin()
        assert self.exclude(state, 10.1) is None
        assert permits.excluded(state, "g", 100.0) == set()

    @pytest.mark.parametrize("is_told", [True, False])
    def test_ends_once_all_instances_are_told_or_their_permits_have_lapsed(
        self, is_told
    ):
        state = self.begin()
        permits.permit(state, "g", Leader("a", 3, voters=frozenset("ab")))
        revocation = self.exclude(state, 10.1)
        assert permits.excluded(state, "g", 10.2) == set()
        if is_told:
            revocation.confirm("i", 10.2, {})
        assert permits.excluded(state, "g", 10.3) == ({"c"} if is_told else set())
        lapsed_at = 10.0 + permits.PERMIT_S
        # Without a permit it may still count what the last one named.
        assert permits.excluded(state, "g", lapsed_at) == ({"c"} if is_told else set())
        assert permits.excluded(state, "g", lapsed_at + permits.ALONE_S) == {"c"}
        assert self.exclude(state, 12.0) is None

    def test_needs_a_permit_that_names_the_voters(self):
        # Instances don't learn who counts without a permit if there is none.
        state = self.begin()
        permits.withdraw(state, "g")
        assert self.exclude(state, 10.1) is None
        permits.permit(state, "g", Leader("a", 3))
        assert self.exclude(state, 10.2) is None

    def test_one_that_is_excluded_does_not_count_without_a_permit_either(self):
        state = permitted(leaders={"g": Leader("a", 3, voters=frozenset("abc"))})
        permits.revise(state, SECOND, {"g": Leader("a", 3, voters=frozenset("ab"))})
        permits.revise(state, Version(7, 3), {})
        assert permits.counted_without_permit(state, "g", "abc") == {"a", "b"}
        assert permits.counted_without_permit(state, "other", "abc") == set("abc")

    def test_starts_again_after_it_was_a_voter_again(self):
        state = self.begin()
        for voters in ("ab", "abc", "ab"):
            permits.permit(state, "g", Leader("a", 3, voters=frozenset(voters)))
            permits.note_given(state, 12.0, "i")
            self.exclude(state, 12.0)
        assert permits.excluded(state, "g", 12.5) == set()


class TestIsConfirmed:
    """LOST: databases that were restarted had forgotten that they were paused."""

    PRIMARY = Witness(True, 3, Position(3, 9), 0.0)

    def confirm(self, *replicas, position=COMMIT, sync_replicas=1):
        state = permitted()
        before = permits.trusted_before(state, "g")
        witnesses = [self.PRIMARY, *replicas]
        return permits.is_confirmed(position, witnesses, before, sync_replicas)

    def test_a_replica_that_was_connected_since_before_confirms(self):
        assert self.confirm(Witness(False, 3, Position(3, 5), 9.0))

    @pytest.mark.parametrize(
        "replica",
        [
            Witness(False, 3, Position(3, 5), 20.0),  # may have restarted
            Witness(False, 3, Position(3, 4), 9.0),  # lacks the commit
        ],
    )
    def test_other_replicas_do_not(self, replica):
        assert not self.confirm(replica)

    def test_nothing_is_confirmed_once_a_database_was_paused(self):
        holder = Witness(False, 3, Position(3, 5), 9.0)
        assert not self.confirm(holder, Witness(False, 4, Position(3, 5), 25.0))

    def test_a_primary_that_may_have_restarted_confirms_nothing(self):
        # It forgot a STEPDOWN; it and the third database were the quorum.
        before = permits.trusted_before(permitted(), "g")
        witnesses = [
            Witness(True, 3, Position(3, 5), 20.0),
            Witness(False, 3, Position(3, 5), 9.0),
        ]
        assert not permits.is_confirmed(COMMIT, witnesses, before, 1)

    def test_without_an_earlier_permit_no_connection_counts(self):
        # Databases that don't reach a promoted one never learn of it.
        assert permits.trusted_before(permits.PermitState(), "g") == -math.inf


class TestRevocation:
    def start(self, *given, names=("x", "y"), data_centre=None):
        """Return the Revocation at 10.0 of permits that were given at times.

        The instances are in the data centre dc-NAME, or all in `data_centre`.
        """
        state = permits.GrantState(7, 0.0)
        places = {name: data_centre or f"dc-{name}" for name in names}
        for name, at in given:
            permits.note_given(state, at, name, data_centre and places[name])
        return permits.Revocation(state, places, 10.0)

    def test_waits_for_those_that_do_not_confirm_until_their_permits_lapse(self):
        revocation = self.start(("x", 9.9), ("y", 9.5))
        revocation.confirm("x", 10.0, {})
        assert revocation.wait_s(10.0) == pytest.approx(9.5 + permits.PERMIT_S - 10.0)
        revocation.confirm("y", 10.0, {})
        assert revocation.wait_s(10.0) == 0.0

    def test_waits_for_an_instance_that_is_no_longer_listed(self):
        revocation = self.start(("gone", 9.8), names=())
        assert revocation.pending == {"gone"}

    def test_waits_for_what_may_have_been_passed_on_in_the_data_centre(self):
        revocation = self.start(("x", 9.8), data_centre="here")
        left_s = 9.8 + permits.RELAYED_PERMIT_S - 10.0
        assert revocation.wait_s(10.0) == pytest.approx(left_s)
        revocation.confirm("x", 10.0, {"y": 0.3})
        assert revocation.wait_s(10.0) == pytest.approx(0.3)

    def test_waits_for_an_instance_that_only_its_relay_knows(self):
        # A relay serves an instance that has just started before the holder knows it.
        revocation = self.start(("x", 9.8), data_centre="here")
        revocation.confirm("y", 10.0, {})
        revocation.confirm("x", 10.0, {"new": 0.3, "y": 0.4})
        assert revocation.pending == {"new"}
        assert revocation.wait_s(10.0) == pytest.approx(0.3)
        revocation.confirm("new", 10.1, {})
        assert revocation.wait_s(10.1) == 0.0

    def test_waits_for_no_data_centre_that_was_given_none(self):
        revocation = self.start(("x", 9.8))
        revocation.confirm("x", 10.0, {})
        assert revocation.wait_s(10.0) <= 0.0

    def test_a_new_holder_waits_for_permits_of_the_former_one(self):
        state = permits.GrantState(8, 9.0)
        revocation = permits.Revocation(state, {"x": "here"}, 10.0)
        left_s = permits.RELAYED_PERMIT_S - 1.0
        assert revocation.wait_s(10.0) == pytest.approx(left_s)
