"""Tests of when floors are confirmed anew."""

import pytest

from dragonflywing.decisions import floors
from dragonflywing.decisions.floors import Floor
from dragonflywing.decisions.positions import Position

TICK_S = 0.1
FENCE_S = 0.03  # from the start of a fence to its answer


def play(fences_per_s, seconds=60.0):
    """Play a group's fences; return (confirmations for age alone, greatest age)."""
    floor, refreshes, max_age_s, now = None, 0, 0.0, 1000.0
    next_fence, end = now, now + seconds
    while now < end:
        if fences_per_s and now >= next_fence:
            floor = Floor(Position(1, 1), now)
            next_fence = now + 1 / fences_per_s
        if floors.is_due(floor, now):
            refreshes += 1
            floor = Floor(Position(1, 1), now)
        max_age_s = max(max_age_s, now + TICK_S + FENCE_S - floor.asked_at)
        now += TICK_S
    return refreshes, max_age_s


class TestRefreshes:
    @pytest.mark.parametrize("fences_per_s", [0, 1, 2, 9])
    def test_keep_floors_young(self, fences_per_s):
        # Routes accept ages of 1.5 s and more; the duty's holder waits for 1.1 s,
        # of which an exchange between instances takes up to 0.6 s.
        _, max_age_s = play(fences_per_s)
        assert max_age_s <= 0.55

    def test_are_not_needed_beside_many_fences(self):
        refreshes, _ = play(9)
        assert refreshes == 0

    def test_are_as_many_as_needed_without_fences(self):
        refreshes, _ = play(0)
        assert refreshes <= 60 / floors.REFRESH_AGE_S
