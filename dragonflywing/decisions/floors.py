"""Floors of reads: the log position that a database must have applied.

A floor of a group is the position of its confirmed primary, together with a
time before that position was requested, on a clock that also advances while the
machine is suspended. Every write that was acknowledged before that time is at
or below the floor.
"""

from typing import NamedTuple

from dragonflywing.decisions.positions import Position

# A floor of this age is confirmed anew: far below the routes' maximal ages, and
# below the age at which the holder of the duty queries the primary itself.
REFRESH_AGE_S = 0.35


class Floor(NamedTuple):
    """A position and the time at which it was requested, in seconds."""

    position: Position
    asked_at: float


def newer(old, new):
    """Return the floor that was requested later; either may be None."""
    if old is None or (new is not None and new.asked_at > old.asked_at):
        return new
    return old


def usable(floor, now, max_age_s):
    """Return whether a floor is recent enough for a read with this maximum age."""
    return floor is not None and now - floor.asked_at <= max_age_s


def is_due(floor, now):
    """Return whether to confirm a floor anew though no statement needs it.

    Answers the load of a group with many reads on `current` routes: their fences
    confirm the floor often enough, so that no further queries take slots of the
    databases.
    """
    return floor is None or now - floor.asked_at >= REFRESH_AGE_S
