"""Eras of the store, which may come back from an older copy of its state.

What was written after the copy was made is then gone, and the store gives out its
revisions and leases again. So a revision or a lease means something only together
with the era in which it was given out, and those of different eras never compare as
equal.
"""

from typing import NamedTuple


class Revision(NamedTuple):
    """A revision of the store; one of a later era is newer whatever its number."""

    era: int
    number: int


# Of a key that doesn't exist; older than all other revisions.
ABSENT = Revision(0, 0)


def before(revision):
    """Return the revision before one."""
    return revision._replace(number=revision.number - 1)
