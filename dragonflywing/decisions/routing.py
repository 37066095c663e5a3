"""Choice of the database for a read."""

from typing import NamedTuple

# Weight of a new latency in the moving average.
LATENCY_WEIGHT = 0.2
# Latency assumed of a database that was not yet asked, in seconds.
DEFAULT_LATENCY_S = 0.002


class Candidate(NamedTuple):
    """What routing knows of a database."""

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
    """Return the seconds a further statement is expected to take."""
    return candidate.latency_s * (1 + candidate.outstanding)


def eligible(candidates, floor):
    """Return the databases that may serve a read with this floor."""
    return [
        candidate
        for candidate in candidates
        if candidate.reachable and not candidate.leaving and candidate.position >= floor
    ]


def choose(candidates, floor, rng):
    """Return the better of two random eligible candidates, or None."""
    able = eligible(candidates, floor)
    if not able:
        return None
    pair = able if len(able) <= 2 else rng.sample(able, 2)
    return min(pair, key=expected_latency)


class PositionHistory:
    """Positions of the primary by the time at which they were current."""

    MAX_SAMPLES = 256

    def __init__(self):
        self.samples = []

    def add(self, asked_at, position):
        """Record that the primary stood at `position` at or after `asked_at`."""
        if self.samples and self.samples[-1][0] == asked_at:
            return
        self.samples.append((asked_at, position))
        if len(self.samples) > self.MAX_SAMPLES:
            # Old samples are thinned, so that long ages keep one to compare with.
            half = self.MAX_SAMPLES // 2
            self.samples = self.samples[:half:2] + self.samples[half:]

    def floor(self, now, max_age_s):
        """Return the floor that a read of this age needs, or None if unknown."""
        for asked_at, position in self.samples:
            if asked_at >= now - max_age_s:
                return position
        return None
