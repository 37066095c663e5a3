"""Choice of the database for a read on the users' platform.

A slot of a database is one of the statements that it may run at the same time.
Where possible, reads leave the primary's slots to writes. They stay in their data
centre while its replica keeps up, and go to another one when the replica's queue
costs more time than the network distance.

For MySQL databases, `group` uses `routing`.
"""

from typing import NamedTuple

# Added to the cost of the primary, besides its queue: the mean time of a write.
PRIMARY_PENALTY_S = 0.02
# Added to the cost of a replica that was recently behind a read: about the time
# that a failed attempt takes.
BEHIND_PENALTY_S = 0.06


class Candidate(NamedTuple):
    """A database that may serve a read, with its queue and network time."""

    name: str
    is_primary: bool
    is_behind: bool
    wait_s: float
    network_s: float


def expected_cost_s(candidate):
    """Return the expected seconds until the candidate has served a read."""
    seconds = candidate.wait_s + candidate.network_s
    if candidate.is_primary:
        seconds += PRIMARY_PENALTY_S
    if candidate.is_behind:
        seconds += BEHIND_PENALTY_S
    return seconds


def choose(candidates, rng):
    """Return a random candidate among those of the lowest cost, or None."""
    if not candidates:
        return None
    min_s = min(expected_cost_s(item) for item in candidates)
    return rng.choice([item for item in candidates if expected_cost_s(item) <= min_s])
