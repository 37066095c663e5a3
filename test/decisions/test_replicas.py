"""Tests of the copies of the store's keys that instances pass on."""

import random
from typing import NamedTuple

from dragonflywing.decisions import replicas
from dragonflywing.decisions.replicas import Changes, Replica


class Item(NamedTuple):
    key: str
    value: bytes | None
    revision: int


def apply(state, revision, *items, now=0.0, is_complete=False, **options):
    changes = Changes(is_complete, revision, list(items))
    return replicas.apply_changes(state, now, changes, **options)


def listed(revision=5):
    state = Replica()
    items = [Item("a", b"1", 3), Item("b", b"1", 5)]
    apply(state, revision, *items, is_complete=True)
    return state


def pass_on(source, target, now=0.0):
    changes = replicas.changes_since(source, target.revision)
    return [] if changes is None else replicas.apply_changes(target, now, changes)


class TestChanges:
    def test_a_new_copy_receives_all_keys(self):
        copy = Replica()
        assert len(pass_on(listed(), copy)) == 2
        assert (copy.revision, set(copy.items)) == (5, {"a", "b"})

    def test_only_newer_keys_are_passed_on(self):
        source, copy = listed(), Replica()
        pass_on(source, copy)
        apply(source, 6, Item("c", b"1", 6))
        changes = replicas.changes_since(source, copy.revision)
        assert changes == Changes(False, 6, [Item("c", b"1", 6)])
        replicas.apply_changes(copy, 0.0, changes)
        assert replicas.changes_since(source, copy.revision) is None

    def test_deletions_are_passed_on(self):
        source, copy = listed(), Replica()
        pass_on(source, copy)
        apply(source, 7, Item("a", None, 7))
        assert pass_on(source, copy) == [Item("a", None, 7)]
        assert set(copy.items) == {"b"}

    def test_a_copy_older_than_the_known_deletions_receives_all_keys(self):
        source, copy = listed(), Replica()
        pass_on(source, copy)
        apply(source, 7, Item("a", None, 7))
        replicas.expire(source, replicas.DELETIONS_KEPT_S + 1)
        assert replicas.changes_since(source, copy.revision).is_complete
        assert pass_on(source, copy) == [Item("a", None, 7)]

    def test_a_complete_list_deletes_the_keys_that_it_lacks(self):
        state = listed()
        changed = apply(state, 9, Item("b", b"1", 5), is_complete=True)
        assert changed == [Item("a", None, 9)]

    def test_older_changes_are_ignored(self):
        state = listed()
        apply(state, 9, Item("a", b"2", 8))
        assert apply(state, 6, Item("a", b"1", 3), is_complete=True) == []
        assert state.items["a"].value == b"2"

    def test_a_deletion_that_is_older_than_the_key_is_ignored(self):
        state = listed()
        assert apply(state, 6, Item("b", None, 4)) == []
        assert "b" in state.items


class TestOutage:
    """Leases that ended while the store was away, though their holders live."""

    def test_removed_keys_are_kept_until_their_holders_write_them_again(self):
        state = listed()
        state.restored_at = 10.0
        assert apply(state, 7, Item("a", None, 7), now=10.0) == []
        assert "a" in state.items
        assert apply(state, 8, Item("a", b"2", 8), now=11.0) == [Item("a", b"2", 8)]
        assert replicas.expire(state, 13.0) == []
        assert state.items["a"].value == b"2"

    def test_a_key_that_stays_missing_is_removed(self):
        state = listed()
        state.restored_at = 10.0
        apply(state, 7, Item("a", None, 7), now=10.0)
        assert replicas.expire(state, 12.6) == [Item("a", None, 7)]
        assert "a" not in state.items

    def test_a_deletion_is_not_held_back_twice(self):
        # Outages that follow each other must not keep a key for good.
        state = listed()
        state.restored_at = 10.0
        apply(state, 7, Item("a", None, 7), now=10.0)
        state.restored_at = 12.0
        apply(state, 8, now=12.0, is_complete=True)
        assert [x.key for x in replicas.expire(state, 12.6)] == ["a"]

    def test_keys_that_may_not_be_held_are_removed_at_once(self):
        state = listed()
        state.restored_at = 10.0
        item = Item("a", None, 7)
        assert apply(state, 7, item, now=10.0, may_hold=lambda key: False) == [item]

    def test_a_deletion_held_back_reaches_copies_that_were_up_to_date(self):
        source, copy = listed(), Replica()
        source.restored_at = 10.0
        apply(source, 7, Item("a", None, 7), Item("c", b"1", 6), now=10.0)
        pass_on(source, copy, 10.5)
        assert set(copy.items) == {"a", "b", "c"}
        assert replicas.changes_since(source, copy.revision) is None or set(
            pass_on(source, copy, 10.6)
        ) <= {Item("c", b"1", 6)}
        replicas.expire(source, 12.6)
        pass_on(source, copy, 12.7)
        assert set(copy.items) == {"b", "c"}


class TestRandomHistories:
    def test_a_copy_of_a_copy_becomes_equal(self):
        for seed in range(300):
            self._check(random.Random(seed))

    def _check(self, rng):
        source, copy, now, revision = Replica(), Replica(), 0.0, 0
        truth = {}
        for _ in range(60):
            now += rng.choice([0.1, 1.0, 9.0])
            revision += rng.randint(1, 3)
            key = rng.choice("abcdef")
            if key in truth and rng.random() < 0.5:
                del truth[key]
                item = Item(key, None, revision)
            else:
                truth[key] = item = Item(key, b"%d" % revision, revision)
            if rng.random() < 0.1:
                source.restored_at = now
            if rng.random() < 0.8:
                apply(source, revision, item, now=now)
            else:
                apply(source, revision, *truth.values(), now=now, is_complete=True)
            replicas.expire(source, now)
            if rng.random() < 0.4:
                pass_on(source, copy, now)
        replicas.expire(source, now + replicas.RESTORE_S)
        pass_on(source, copy, now + replicas.RESTORE_S)
        assert source.items == truth
        assert copy.items == truth
