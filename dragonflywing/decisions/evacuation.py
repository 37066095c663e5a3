"""Until when databases in evacuated data centres may be used.

An operator evacuates a data centre while callers send statements. An instance doesn't
see the moment at which the store acknowledges the evacuation, and may be notified
late, repeatedly or not at all. It knows only when its copy of the evacuations was last
known to be complete. A key that was not in it then was acknowledged later, so the bound
counts from that time and never ends too late.

A statement is accepted, sent and ended some time before the bound, as it may wait in a
queue and on its way to the database. A process that was suspended may have statements
from before an evacuation that it doesn't know yet, so none is sent to any database if
such an evacuation may have reached its bound.
"""

import math
from typing import NamedTuple

# Statements are no longer accepted this long before the bound: the longest wait in a
# queue behind statements of 170 ms, and a way between regions.
ACCEPT_MARGIN_S = 1.5
# Accepted ones are no longer sent, as their answers could come too late.
SEND_MARGIN_S = 0.8
# The connections of those without an answer are reset, so that what a network still
# holds of them is dropped.
END_MARGIN_S = 0.25


class TimeLeft(NamedTuple):
    """Seconds for which a database accepts statements, gets them, and runs them."""

    to_accept_s: float
    to_send_s: float
    to_end_s: float


UNLIMITED = TimeLeft(math.inf, math.inf, math.inf)


class EvacuationState:
    """The evacuated data centres that an instance knows.

    `since` maps each to the earliest time at which the store may have acknowledged its
    evacuation. `known_at` is the latest time of which all evacuations are known.
    """

    def __init__(self):
        self.since = {}
        self.known_at = -math.inf


def note_known(state, at):
    """Note that all evacuations that were acknowledged up to a time are known."""
    state.known_at = max(state.known_at, at)


def begin(state, data_centre):
    """Note an evacuation; return whether it was not known."""
    if data_centre in state.since:
        return False
    state.since[data_centre] = state.known_at
    return True


def end(state, data_centre):
    """Note that an evacuation was cancelled; return whether it was known."""
    return state.since.pop(data_centre, None) is not None


def time_left(state, now, data_centre, bound_s):
    """Return the TimeLeft of the databases in a data centre.

    `bound_s` is the time from the acknowledgement after which no statement may reach
    them.
    """
    since = state.since.get(data_centre)
    if since is None:
        # Without a list, as right after the start, nothing is sent at all.
        unknown_left_s = state.known_at + bound_s - now
        return UNLIMITED._replace(to_send_s=unknown_left_s - END_MARGIN_S)
    left_s = since + bound_s - now
    return TimeLeft(
        left_s - ACCEPT_MARGIN_S, left_s - SEND_MARGIN_S, left_s - END_MARGIN_S
    )
