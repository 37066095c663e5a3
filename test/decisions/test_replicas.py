"""Tests of the copies of the store's keys that instances pass on."""

import random
from typing import NamedTuple

from dragonflywing.decisions import eras, replicas
from dragonflywing.decisions.replicas import Changes, Replica


class Item(NamedTuple):
    key: str
    value: bytes | None
    revision: eras.Revision


def at(number, era=1):
    return eras.Revision(era, number)


def item(key, value, number, era=1):
    return Item(key, value, at(number, era))


def apply(state, number, *items, era=1, now=0.0, is_complete=False, **options):
    changes = Changes(is_complete, at(number, era), list(items))
    return replicas.apply_changes(state, now, changes, **options)


def listed(revision=5):
    state = Replica()
    items = [item("a", b"1", 3), item("b", b"1", 5)]
    apply(state, revision, *items, is_complete=True)
    return state


def pass_on(source, target, now=0.0):
    changes = replicas.changes_since(source, target.revision)
    return [] if changes is None else replicas.apply_changes(target, now, changes)


class TestChanges:
    def test_a_new_copy_receives_all_keys(self):
        copy = Replica()
        assert len(pass_on(listed(), copy)) == 2
        assert (copy.revision, set(copy.items)) == (at(5), {"a", "b"})

    def test_only_newer_keys_are_passed_on(self):
        source, copy = listed(), Replica()
        pass_on(source, copy)
        apply(source, 6, item("c", b"1", 6))
        changes = replicas.changes_since(source, copy.revision)
        assert changes == Changes(False, at(6), [item("c", b"1", 6)])
        replicas.apply_changes(copy, 0.0, changes)
        assert replicas.changes_since(source, copy.revision) is None

    def test_deletions_are_passed_on(self):
        source, copy = listed(), Replica()
        pass_on(source, copy)
        apply(source, 7, item("a", None, 7))
        assert pass_on(source, copy) == [item("a", None, 7)]
        assert set(copy.items) == {"b"}

    def test_a_copy_older_than_the_known_deletions_receives_all_keys(self):
        source, copy = listed(), Replica()
        pass_on(source, copy)
        apply(source, 7, item("a", None, 7))
        replicas.expire(source, replicas.DELETIONS_KEPT_S + 1)
        assert replicas.changes_since(source, copy.revision).is_complete
        assert pass_on(source, copy) == [item("a", None, 7)]

    def test_a_complete_list_deletes_the_keys_that_it_lacks(self):
        state = listed()
        changed = apply(state, 9, item("b", b"1", 5), is_complete=True)
        assert changed == [item("a", None, 9)]

    def test_older_changes_are_ignored(self):
        state = listed()
        apply(state, 9, item("a", b"2", 8))
        assert apply(state, 6, item("a", b"1", 3), is_complete=True) == []
        assert state.items["a"].value == b"2"

    def test_a_deletion_that_is_older_than_the_key_is_ignored(self):
        state = listed()
        assert apply(state, 6, item("b", None, 4)) == []
        assert "b" in state.items


class TestOutage:
    """Leases that ended while the store was away, though their holders live."""

    def test_removed_keys_are_kept_until_their_holders_write_them_again(self):
        state = listed()
        state.restored_at = 10.0
        assert apply(state, 7, item("a", None, 7), now=10.0) == []
        assert "a" in state.items
        assert apply(state, 8, item("a", b"2", 8), now=11.0) == [item("a", b"2", 8)]
        assert replicas.expire(state, 13.0) == []
        assert state.items["a"].value == b"2"

    def test_a_key_that_stays_missing_is_removed(self):
        state = listed()
        state.restored_at = 10.0
        apply(state, 7, item("a", None, 7), now=10.0)
        assert replicas.expire(state, 12.6) == [item("a", None, 7)]
        assert "a" not in state.items

    def test_a_deletion_is_not_held_back_twice(self):
        # Outages that follow each other must not keep a key for good.
        state = listed()
        state.restored_at = 10.0
        apply(state, 7, item("a", None, 7), now=10.0)
        state.restored_at = 12.0
        apply(state, 8, now=12.0, is_complete=True)
        assert [x.key for x in replicas.expire(state, 12.6)] == ["a"]

    def test_keys_that_may_not_be_held_are_removed_at_once(self):
        state = listed()
        state.restored_at = 10.0
        gone = item("a", None, 7)
        assert apply(state, 7, gone, now=10.0, hold_s=lambda key: 0.0) == [gone]

    def test_a_deletion_held_back_reaches_copies_that_were_up_to_date(self):
        source, copy = listed(), Replica()
        source.restored_at = 10.0
        apply(source, 7, item("a", None, 7), item("c", b"1", 6), now=10.0)
        pass_on(source, copy, 10.5)
        assert set(copy.items) == {"a", "b", "c"}
        assert replicas.changes_since(source, copy.revision) is None or set(
            pass_on(source, copy, 10.6)
        ) <= {item("c", b"1", 6)}
        replicas.expire(source, 12.6)
        pass_on(source, copy, 12.7)
        assert set(copy.items) == {"b", "c"}


class TestRestoredStore:
    """The store came back from an older copy: revisions are given out again."""

    def test_a_lower_revision_of_a_later_era_replaces_the_copy(self):
        state = listed(revision=9)
        changed = apply(state, 6, item("a", b"2", 6, 2), era=2, is_complete=True)
        assert changed == [item("a", b"2", 6, 2)]
        assert state.revision == at(6, 2)

    def test_changes_of_an_earlier_era_are_ignored(self):
        state = listed(revision=9)
        apply(state, 6, item("a", b"2", 6, 2), era=2, is_complete=True)
        assert apply(state, 50, item("a", b"1", 50), is_complete=True) == []
        assert state.items["a"].value == b"2"

    def test_missing_keys_are_kept_until_their_holders_write_them_again(self):
        state = listed(revision=9)
        apply(state, 4, item("a", b"1", 3, 2), era=2, now=10.0, is_complete=True)
        assert set(state.items) == {"a", "b"}
        apply(state, 7, item("b", b"1", 7, 2), era=2, now=11.0)
        assert replicas.expire(state, 20.0) == []
        assert set(state.items) == {"a", "b"}

    def test_a_copy_of_an_earlier_era_receives_all_keys(self):
        source, copy = listed(revision=9), Replica()
        pass_on(source, copy)
        # The copy is ahead of the source and knows a key that is lost.
        apply(copy, 12, item("c", b"1", 12))
        kept = [item("a", b"1", 3, 2), item("b", b"1", 5, 2)]
        apply(source, 6, *kept, era=2, is_complete=True)
        pass_on(source, copy, now=30.0)
        replicas.expire(copy, 30.0 + replicas.RESTORE_S)
        assert copy.items == source.items


class Store:
    """A store of keys with values, which can come back from a copy."""

    def __init__(self):
        self.era, self.number, self.items, self.copy = 1, 0, {}, (0, {})

    def write(self, key, is_present, step):
        """Write or delete a key; return the change."""
        self.number += step
        if is_present:
            value = b"%d.%d" % (self.era, self.number)
            self.items[key] = item(key, value, self.number, self.era)
            return self.items[key]
        self.items.pop(key, None)
        return item(key, None, self.number, self.era)

    def back_up(self):
        self.copy = (self.number, dict(self.items))

    def restore(self):
        self.era += 1
        self.number, items = self.copy
        self.items = {
            key: known._replace(revision=at(known.revision.number, self.era))
            for key, known in items.items()
        }


class TestRandomHistories:
    def test_a_copy_of_a_copy_becomes_equal(self):
        for seed in range(300):
            self._check(random.Random(seed))

    def _check(self, rng):
        store, source, copy, now = Store(), Replica(), Replica(), 0.0
        must_list = True
        for _ in range(60):
            now += rng.choice([0.1, 1.0, 9.0])
            key = rng.choice("abcdef")
            is_present = key not in store.items or rng.random() < 0.5
            change = store.write(key, is_present, rng.randint(1, 3))
            if rng.random() < 0.1:
                store.back_up()
            if rng.random() < 0.05:
                store.restore()
                must_list = True
            if rng.random() < 0.1:
                source.restored_at = now
            if must_list and rng.random() < 0.3:
                continue  # the source has not noticed the restore yet
            if must_list or rng.random() < 0.2:
                items, is_complete, must_list = store.items.values(), True, False
            else:
                items, is_complete = [change], False
            apply(
                source,
                store.number,
                *items,
                era=store.era,
                now=now,
                is_complete=is_complete,
            )
            replicas.expire(source, now)
            if rng.random() < 0.4:
                pass_on(source, copy, now)
                replicas.expire(copy, now)
        now += replicas.RESTORE_S
        apply(
            source,
            store.number,
            *store.items.values(),
            era=store.era,
            now=now,
            is_complete=True,
        )
        for wait_s in (0, 1, 2):
            now += wait_s * replicas.RESTORE_S
            replicas.expire(source, now)
            pass_on(source, copy, now)
            replicas.expire(copy, now)
        assert source.items == store.items
        assert copy.items == store.items
