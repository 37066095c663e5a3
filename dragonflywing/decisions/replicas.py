"""Copies of the store's keys under a prefix, passed on between instances.

Few instances follow the store itself, so that the calls to it do not grow with the
fleet. They pass changes on by revision: an instance names the revision of its own
copy and receives what is newer, or all keys if the deletions since that revision
are no longer known.

While the store is away, leases may end although their holders live. Keys that were
removed during an outage are kept for a short time after its end, in which their
holders write them again. The same applies to keys that are missing after the store
came back from an older copy.
"""

from typing import Any, NamedTuple

from dragonflywing.decisions import eras

# How long deletions are kept for instances that fell behind.
DELETIONS_KEPT_S = 20.0
# How long after an outage removed keys are kept. The holders of leases that ended
# meanwhile have written their keys again within about 2 s.
RESTORE_S = 2.5


class Changes(NamedTuple):
    """Keys that changed up to a revision; all keys if `is_complete` is set.

    The `items` have a key, a value (None if the key was deleted) and a revision.
    """

    is_complete: bool
    revision: eras.Revision
    items: list


class Removal(NamedTuple):
    """A deleted item, and when the deletion takes or took effect in the copy."""

    item: Any
    at: float


class Replica:
    """The keys of one prefix as of a revision.

    `items` maps each key to its item, `deletions` the keys deleted lately to
    Removals. All deletions after `known_since` are in it. `held` has the deletions
    that are held back after an outage; their items are still in `items`.
    """

    def __init__(self):
        self.items = {}
        self.revision = eras.ABSENT
        self.deletions = {}
        self.known_since = eras.ABSENT
        self.held = {}
        self.restored_at = None


def apply_changes(state, now, changes, hold_s=lambda key: RESTORE_S):
    """Apply changes that are newer than the copy; return the items that differ.

    After an outage, the deletion of a key is held back for `hold_s(key)` seconds;
    `expire` returns it later.
    """
    if changes.revision < state.revision:
        return []
    items = list(changes.items)
    if changes.is_complete:
        items += _missing(state, changes)
        if state.revision == eras.ABSENT:
            state.known_since = changes.revision
        elif changes.revision.era > state.revision.era:
            note_restored(state, now)
    state.revision = changes.revision
    return [item for item in items if _apply(state, now, item, hold_s)]


def note_restored(state, at):
    """Note that the store was back at a time, after an outage or from a copy."""
    if at is not None and (state.restored_at is None or at > state.restored_at):
        state.restored_at = at


def _missing(state, changes):
    """Return deletions of the keys that a complete list lacks."""
    present = {item.key for item in changes.items}
    return [
        item._replace(value=None, revision=changes.revision)
        for key, item in state.items.items()
        if key not in present
    ]


def _apply(state, now, item, hold_s):
    """Apply one item; return whether the copy has changed."""
    known = state.items.get(item.key)
    if item.value is not None:
        state.held.pop(item.key, None)
        if known is not None and item.revision <= known.revision:
            return False
        state.deletions.pop(item.key, None)
        state.items[item.key] = item
        return True
    if known is None or item.revision <= known.revision:
        return False
    if state.restored_at is not None and now - state.restored_at < hold_s(item.key):
        state.held.setdefault(item.key, Removal(item, now + hold_s(item.key)))
        return False
    _delete(state, Removal(item, now))
    return True


def _delete(state, removal):
    del state.items[removal.item.key]
    state.held.pop(removal.item.key, None)
    state.deletions[removal.item.key] = removal


def expire(state, now):
    """Return the deletions that were held back long enough; forget old deletions."""
    due = [removal for removal in state.held.values() if now >= removal.at]
    for removal in due:
        _delete(state, Removal(removal.item, now))
    for key, (item, at) in list(state.deletions.items()):
        if now - at > DELETIONS_KEPT_S:
            del state.deletions[key]
            state.known_since = max(state.known_since, item.revision)
    return [removal.item for removal in due]


def changes_since(state, revision):
    """Return the Changes for a copy of a given revision, None if there are none."""
    # A deletion that is held back must still count as new when it takes effect.
    held = [eras.before(removal.item.revision) for removal in state.held.values()]
    passed_on = min([state.revision, *held])
    if revision >= state.revision:
        return None
    # Of a copy of an earlier era it is unknown which of its keys are gone.
    if revision < state.known_since or revision.era < state.revision.era:
        return Changes(True, passed_on, list(state.items.values()))
    items = [item for item in state.items.values() if item.revision > revision]
    removed = [removal.item for removal in state.deletions.values()]
    items += [item for item in removed if item.revision > revision]
    if not items and passed_on <= revision:
        return None
    return Changes(False, passed_on, items)
