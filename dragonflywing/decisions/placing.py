"""Choice of the database for a read on the users' platform.

A slot of a database is one of the statements that it may run at the same time.
Where possible, reads leave the primary's slots to writes. They stay in their data
centre while its replica keeps up, and go to another one when the replica's queue
costs more time than the network distance.

Where workspaces compete for connections (`contention`), reads stay at the replica that
their workspace is assigned to while that costs less than a new connection elsewhere.
Each instance knows only the waits that its own statements have met. It therefore moves
reads with a probability that grows with the gain, and the instances that see the same
long queue don't all leave it at once.

For MySQL databases, `group` uses `routing`.
"""

from typing import NamedTuple

# Added to the cost of the primary, besides its queue: the mean time of a write.
PRIMARY_PENALTY_S = 0.02
# Added to the cost of a replica that was recently behind a read: about the time
# that a failed attempt takes.
BEHIND_PENALTY_S = 0.06

# For groups whose workspaces compete for connections: the cost of a likely new
# connection. Opening it takes 12 ms of a slot and a round trip, and it displaces a
# connection whose workspace then opens another, and so on. A played load near capacity
# opened 0.60 connections per statement with 70 ms, 0.51 with 100 ms and 0.54 with 150.
NEW_CONNECTION_S = 0.1
# The same if the database has just served the workspace. It then has a connection, and
# only if all are in use another one is opened. Workspaces with much demand thus spread
# over two replicas, which evens out the load; others stay at one.
KEPT_CONNECTION_S = 0.03
# Added to the cost of the primary there, so that its slots stay free for writes and
# current reads: the time of three writes. Workspaces that write have connections to it.
PRIMARY_MARGIN_S = 0.06
# Added to the cost of a database that has just failed statements: about the time until
# a read is sent to another one after no answer has come.
FAILING_PENALTY_S = 0.3
# A read is moved for certain if it gains this time: about that of two statements.
CERTAIN_GAIN_S = 0.05
CHOICES = 2  # replicas that the costs are compared of


class Candidate(NamedTuple):
    """A database that may serve a read, with its queue and network time.

    `excess_s` is the expected time that failing statements cost at a database that is
    paced, and where workspaces compete for connections also the time by which it is
    slower than the fastest one. Only there, `rank` is the index of the database in the
    order in which the workspace is assigned to replicas, `is_failing` says whether it
    has just failed statements, `keeps_connection` whether it has just served the
    workspace.
    """

    name: str
    is_primary: bool
    is_behind: bool
    wait_s: float
    network_s: float
    rank: int = 0
    excess_s: float = 0.0
    is_failing: bool = False
    keeps_connection: bool = False


def expected_cost_s(candidate):
    """Return the expected seconds until the candidate has served a read."""
    seconds = candidate.wait_s + candidate.network_s + candidate.excess_s
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


def contended_cost_s(candidate):
    """Return the expected cost in seconds where workspaces compete for connections."""
    seconds = candidate.wait_s + candidate.network_s + candidate.excess_s
    if candidate.is_behind:
        seconds += BEHIND_PENALTY_S
    if candidate.is_failing:
        seconds += FAILING_PENALTY_S
    if candidate.is_primary:
        return seconds + PRIMARY_MARGIN_S
    if not candidate.rank:
        return seconds
    return seconds + (
        KEPT_CONNECTION_S if candidate.keeps_connection else NEW_CONNECTION_S
    )


def choose_assigned(candidates, rng):
    """Return the candidate for a read of a workspace that competes, or None.

    Compares the first two replicas that the workspace is assigned to and that are
    neither failing nor behind. The primary is compared as well if neither of them has
    spare capacity.
    """
    replicas = [item for item in candidates if not item.is_primary]
    replicas.sort(key=lambda item: (_is_impaired(item), item.rank))
    options = replicas[:CHOICES]
    if all(item.wait_s > 0 or _is_impaired(item) for item in options):
        options += [item for item in candidates if item.is_primary]
    if not options:
        return None
    chosen = options[0]
    for other in options[1:]:
        gain_s = contended_cost_s(chosen) - contended_cost_s(other)
        if gain_s > rng.random() * CERTAIN_GAIN_S:
            chosen = other
    return chosen


def _is_impaired(candidate):
    return candidate.is_failing or candidate.is_behind
