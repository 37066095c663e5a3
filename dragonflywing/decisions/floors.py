"""Floors of reads: how far a database's log must reach, and since when.

A floor of a group is the position of its confirmed primary together with the
time before it was asked for, on a clock that also runs while the machine is
suspended. Every write acknowledged before that time is at or below it.
"""

from typing import NamedTuple

from dragonflywing.decisions.positions import Position


class Floor(NamedTuple):
    """A position and the time at which it was asked for, in seconds."""

    position: Position
    asked_at: float


def newer(old, new):
    """Return the floor that was asked for later; either may be None."""
    if old is None or (new is not None and new.asked_at > old.asked_at):
        return new
    return old


def usable(floor, now, max_age_s):
    """Return whether a floor covers all writes that a read of this age needs."""
    return floor is not None and now - floor.asked_at <= max_age_s
