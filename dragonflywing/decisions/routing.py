"""Choice of the database for a read among the databases of a MySQL group.

On the users' platform, `router` uses `placing`.
"""

from typing import NamedTuple

# Weight of a new sample in the moving average of latencies.
LATENCY_WEIGHT = 0.2
# Latency assumed for a database without samples.
DEFAULT_LATENCY_S = 0.002


class Candidate(NamedTuple):
    """A database that may serve a read, with its known state."""

    name: str
    position: tuple
    leaving: bool
    reachable: bool
    outstanding: int
    latency_s: float


def average_latency(average, sample):
    """Return the moving average of latencies with one sample added."""
    if average is None:
        return sample
    return average + LATENCY_WEIGHT * (sample - average)


def expected_latency(candidate):
    """Return the expected seconds that one more statement takes."""
    return candidate.latency_s * (1 + candidate.outstanding)


def eligible(candidates, floor):
    """Return the candidates that may serve a read with this floor."""
    return [
        candidate
        for candidate in candidates
        if candidate.reachable and not candidate.leaving and candidate.position >= floor
    ]


def choose(candidates, floor, rng):
    """Return the faster of two random eligible candidates, or None."""
    usable = eligible(candidates, floor)
    if not usable:
        return None
    pair = usable if len(usable) <= 2 else rng.sample(usable, 2)
    return min(pair, key=expected_latency)


class PositionHistory:
    """Past positions of the primary, for reads that may be stale by some age."""

    MAX_SAMPLES = 256

    def __init__(self):
        self.samples = []

    def add(self, asked_at, position):
        """Record that the primary was at `position` at or after `asked_at`."""
        if self.samples and self.samples[-1][0] == asked_at:
            return
        self.samples.append((asked_at, position))
        if len(self.samples) > self.MAX_SAMPLES:
            # Keep every second old sample, so that long ages still find one.
            half = self.MAX_SAMPLES // 2
            self.samples = self.samples[:half:2] + self.samples[half:]

    def floor(self, now, max_age_s):
        """Return the floor of a read with this maximum age, or None if unknown."""
        for asked_at, position in self.samples:
            if asked_at >= now - max_age_s:
                return position
        return None
