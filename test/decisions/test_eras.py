"""Tests of revisions, fencing tokens and what is known about the store's era."""

from hypothesis import given
from hypothesis import strategies as st

from dragonflywing.decisions import eras
from dragonflywing.decisions.eras import ABSENT, EraState, Revision

REVISIONS = st.builds(Revision, st.integers(0, 1000), st.integers(0, 2**40 - 1))


class TestRevisions:
    @given(REVISIONS, REVISIONS)
    def test_of_a_later_era_are_newer_whatever_their_number(self, one, other):
        if one.era < other.era:
            assert one < other
        assert ABSENT <= one

    @given(REVISIONS, REVISIONS)
    def test_give_fencing_tokens_in_their_order(self, one, other):
        tokens = eras.fencing_token(one), eras.fencing_token(other)
        assert (one < other) == (tokens[0] < tokens[1])
        assert max(tokens) < 2**53, "JSON readers may round larger numbers"


class TestEras:
    def test_the_first_one_needs_no_mark(self):
        state = EraState()
        eras.note_era(state, 10.0, eras.FIRST_ERA)
        assert eras.is_settled(state, 10.0)
        assert not eras.may_be_outdated(state, Revision(1, 5))

    def test_a_later_one_is_settled_after_a_time(self):
        state = EraState()
        eras.note_era(state, 10.0, 1)
        eras.note_era(state, 20.0, 2)
        assert not eras.is_settled(state, 20.0)
        assert not eras.is_settled(state, 20.0 + eras.SETTLE_S - 0.1)
        assert eras.is_settled(state, 20.0 + eras.SETTLE_S)
        assert not eras.is_settled(state, 20.0 + eras.SETTLE_S, eras.LEASE_S)

    def test_a_process_that_starts_in_a_marked_one_does_not_wait(self):
        state = EraState()
        eras.note_era(state, 10.0, 4)
        assert not eras.is_settled(state, 10.0)
        eras.note_mark(state, 4, Revision(4, 9))
        assert eras.is_settled(state, 10.0)

    def test_the_mark_of_an_earlier_one_does_not_count(self):
        state = EraState()
        eras.note_era(state, 10.0, 3)
        eras.note_mark(state, 2, Revision(3, 7))  # as the copy holds it
        assert not eras.is_marked(state)
        assert eras.may_be_outdated(state, Revision(3, 50))

    def test_keys_written_after_the_mark_are_up_to_date(self):
        state = EraState()
        eras.note_era(state, 10.0, 2)
        assert eras.may_be_outdated(state, Revision(2, 50))
        eras.note_mark(state, 2, Revision(2, 20))
        assert eras.may_be_outdated(state, Revision(2, 19))
        assert not eras.may_be_outdated(state, Revision(2, 21))

    def test_an_answer_of_an_earlier_one_changes_nothing(self):
        state = EraState()
        eras.note_era(state, 10.0, 2)
        eras.note_era(state, 11.0, 1)
        eras.note_mark(state, 2, Revision(2, 20))
        eras.note_mark(state, 1, Revision(1, 90))
        assert (state.era, state.since, state.marked) == (2, 10.0, 2)


class TestReceivedChanges:
    def test_account_for_a_revision_if_none_is_missing(self):
        known = {Revision(1, 6), Revision(1, 7), Revision(1, 9)}
        assert eras.accounts_for(Revision(1, 5), Revision(1, 7), known)
        assert eras.accounts_for(Revision(1, 7), Revision(1, 7), set())
        assert not eras.accounts_for(Revision(1, 5), Revision(1, 9), known)
        assert not eras.accounts_for(Revision(1, 5), Revision(2, 6), known)
