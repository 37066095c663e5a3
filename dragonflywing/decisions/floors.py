"""Floors of reads: the log position that a database must have applied.

A floor of a group is the position of its confirmed primary, together with a
time before that position was requested, on a clock that also advances while the
machine is suspended. Every write that was acknowledged before that time is at
or below the floor.
"""

from typing import NamedTuple

from dragonflywing.decisions.positions import Position


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
