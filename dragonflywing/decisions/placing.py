"""Chooses the database for a statement that several databases may serve.

Answers reads that may go to replicas, so that they leave the primary's slots
to writes, stay in their data centre while its replica keeps up, and move to
another when its queue costs more than the way there.
"""

from typing import NamedTuple

# Cost of a place at the primary beside its queue: a write's mean time.
PRIMARY_COST_S = 0.02
# Cost of a replica that was behind a read lately: about the try in vain.
BEHIND_COST_S = 0.06


class Candidate(NamedTuple):
    """A database that may serve a read, with times in seconds."""

    name: str
    is_primary: bool
    is_behind: bool
    wait_s: float
    network_s: float


def cost(candidate):
    """Return the expected seconds until a read is served there."""
    seconds = candidate.wait_s + candidate.network_s
    if candidate.is_primary:
        seconds += PRIMARY_COST_S
    if candidate.is_behind:
        seconds += BEHIND_COST_S
    return seconds


def choose(candidates, rng):
    """Return the candidate of least cost, any of those that cost the same."""
    if not candidates:
        return None
    least = min(cost(item) for item in candidates)
    return rng.choice([item for item in candidates if cost(item) <= least])
