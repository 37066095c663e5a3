"""Eras of the store, which may come back from an older copy of its state.

What was written after the copy was made is then gone, and the store gives out its
revisions and leases again. So a revision or a lease means something only together
with the era in which it was given out, and those of different eras never compare as
equal.

Right after a restore the store may lack what operators, databases and instances wrote
last, and holders rely on leases that it has forgotten. An instance may have started
after the restore and see no change of era. So one instance marks each era by a key
once all of this is over: without the mark of the present era, the others wait, and
keys written before the mark may be older than what was known before.
"""

import math
from typing import NamedTuple

FIRST_ERA = 1  # of a store that has never come back from a copy
# Within this time after a restore, operators and databases have written again what
# the store has lost.
SETTLE_S = 2.0
# How long leases that the store has forgotten may still be relied on.
LEASE_S = 3.0
# An era is marked once both times are over.
MARK_AFTER_S = max(SETTLE_S, LEASE_S)
TOKEN_NUMBER_BITS = 40


class Revision(NamedTuple):
    """A revision of the store; one of a later era is newer whatever its number."""

    era: int
    number: int

    def __str__(self):
        return f"{self.era}.{self.number}"


# Of a key that doesn't exist; older than all other revisions.
ABSENT = Revision(0, 0)


def before(revision):
    """Return the revision before one."""
    return revision._replace(number=revision.number - 1)


def accounts_for(first, last, known):
    """Return whether all revisions after `first` up to `last` are among the known ones.

    Each change of the store has the next revision, so an instance that knows them all
    has missed no change.
    """
    if first.era != last.era:
        return False
    count = last.number - first.number
    if count > len(known):
        return False
    return all(
        Revision(last.era, first.number + step) in known for step in range(1, count + 1)
    )


class Lease(NamedTuple):
    """A lease of the store; its id may be given out again in a later era."""

    era: int
    id: int


class EraState:
    """What an instance knows about the store's present era.

    `since` is when it learned of the era, `marked` the era that was marked last and
    `mark` the revision of that mark.
    """

    def __init__(self):
        self.era = 0
        self.since = -math.inf
        self.marked = 0
        self.mark = ABSENT


def note_era(state, now, era):
    """Note an era of the store."""
    if era > state.era:
        state.era = era
        state.since = now


def note_mark(state, era, revision):
    """Note that an era was marked at a revision."""
    if revision > state.mark:
        state.marked = era
        state.mark = revision


def is_marked(state):
    """Return whether the present era is marked, or needs no mark."""
    return state.era <= FIRST_ERA or state.marked == state.era


def is_settled(state, now, wait_s=SETTLE_S):
    """Return whether the era is marked or has been known for `wait_s` seconds."""
    return is_marked(state) or now - state.since >= wait_s


def may_be_outdated(state, revision):
    """Return whether a key's last change may be older than changes that were lost."""
    if revision.era <= FIRST_ERA:
        return False
    return state.marked != revision.era or revision < state.mark


def fencing_token(revision):
    """Return a number that is greater for a later revision, also of a later era."""
    return revision.era << TOKEN_NUMBER_BITS | revision.number
