"""Which connections a home opens, keeps and closes where they are contended.

Answers the load of more workspaces than a database has connections, where a database
resets connections over its limit and opening one occupies a slot for 12 ms.
"""

import math
from collections import Counter
from typing import NamedTuple

OPEN_S = 0.012  # of a slot, to open a connection
# Time constant of a workspace's demand. A workspace with a statement every few seconds
# still differs from one with a statement a minute.
DEMAND_S = 10.0
# A workspace whose turn has found no connection for this long may have one of a
# workspace that has waiters, so that it is served within a statement's deadline.
MAX_REFUSED_S = 0.1

# Parts of the limit: of a home that shares the database, and of one that is alone.
# The rest is left for control connections and for stand-ins.
ALONE_FRACTION = 0.85
SPARE_CONNECTIONS = 4
CONTROL_CONNECTIONS = 2  # of other instances; more are those of another home
MIN_CONNECTIONS = 2  # of a stand-in, and of a home whose connections were refused
STATUS_VALID_S = 2.0
REPORT_S = 1.0  # between reports that are asked for; each may take a slot briefly
# Part of its connections that an instance may use as soon as it becomes the first home.
# It fits into the limit beside the part of the home before, unless that was alone.
FIRST_FRACTION = 0.5
# Growth of the number of connections, per second: until one is refused; after this,
# if the database has reported its connections; and otherwise, where growing on ends in
# another refusal, which takes a slot and a statement's turn.
START_GROWTH_PER_S = 10.0
REPORTED_GROWTH_PER_S = 1.0
GROWTH_PER_S = 0.1
REFUSED_FACTOR = 0.9
# Refusals within this time have one cause: the connections were opened together.
REFUSAL_S = 0.25


class Demand(NamedTuple):
    """A count of a workspace's statements that decays with `DEMAND_S`."""

    count: float
    at: float


def demand(state, workspace, now):
    """Return the decayed number of recent statements of a workspace."""
    item = state.get(workspace)
    if item is None:
        return 0.0
    return item.count * math.exp((item.at - now) / DEMAND_S)


def note_statement(state, workspace, now):
    """Count a statement of a workspace in `state`, {workspace: Demand}."""
    state[workspace] = Demand(demand(state, workspace, now) + 1.0, now)


def forget(state, now):
    """Remove workspaces without recent demand."""
    for name in [x for x in state if demand(state, x, now) < 0.01]:
        del state[name]


def waits_for_own(waiters, in_use, duration_s):
    """Return whether the waiters of a workspace should wait for its own connections.

    They should if the last of `waiters` is expected to get one of the `in_use`, on
    which statements run, before another one could be opened.
    """
    if not in_use:
        return False
    return (waiters - 0.5) * (duration_s or 0.0) / in_use < OPEN_S


def choose_closed(state, now, idle, workspace, waiters, is_starved):
    """Return the connection to close in favour of a workspace, or None.

    Connections beside another idle one of their workspace come first, except the one
    used last; then those of the workspaces with the least recent demand. `waiters`
    gives the number of each workspace's waiters. A workspace that has some keeps its
    connections, unless the one in need of a connection is starved.
    """
    others = [item for item in idle if item.workspace != workspace]
    allowed = [item for item in others if not waiters.get(item.workspace)]
    if not allowed and is_starved:
        allowed = others

    ranks, values = Counter(), {}
    for item in sorted(allowed, key=lambda item: -item.used_at):
        recent = demand(state, item.workspace, now)
        values[item] = (-ranks[item.workspace], recent, item.used_at)
        ranks[item.workspace] += 1
    return min(values, key=values.get, default=None)


class Share:
    """How many of a database's `limit` connections this instance may hold.

    `others` is the number that other instances held, and `own` that of this one, when
    the database reported at `status_at`.
    """

    def __init__(self, limit, allowed):
        self.limit = limit
        self.allowed = float(allowed)
        self.others = 0
        self.own = 0
        self.status_at = -math.inf
        self.asked_at = -math.inf
        self.refused_at = -math.inf
        self.updated_at = None
        self.was_first = False


def note_status(share, now, in_use, own):
    """Apply a database's report of all connections, `own` of which are this home's."""
    share.others = max(0, in_use - own)
    share.own = own
    share.status_at = now


def wants_report(share, now, base, own):
    """Return whether to ask the database how many connections it has.

    A first home asks when it uses all of `base`, unless it was told recently; a report
    may let it use more. Others learn from the reports that come with fences.
    """
    is_due = now - max(share.status_at, share.asked_at) >= REPORT_S
    return share.was_first and own >= base and is_due


def note_refused(share, now, open_connections):
    """Reduce the share after a refused connection; `open_connections` are left."""
    allowed = min(share.allowed, open_connections)
    if now - share.refused_at > REFUSAL_S:
        allowed *= REFUSED_FACTOR
    share.allowed = max(float(MIN_CONNECTIONS), allowed)
    share.refused_at = now


def update(share, now, base, is_first):
    """Let the share grow towards its bound, or reduce it at once; return it.

    `base` is the number of connections by the rules for uncontended databases.
    `is_first` tells whether this is the database's first home. A home that is alone
    may use more than `base`; one that is not leaves the others what they hold.
    """
    bound, growth = base, GROWTH_PER_S
    if now - share.status_at <= STATUS_VALID_S:
        growth = REPORTED_GROWTH_PER_S
        if share.others > CONTROL_CONNECTIONS:
            # Half of the room: the other home grows by the same report.
            room = share.limit - SPARE_CONNECTIONS - share.others - share.own
            bound = min(base, share.own + (room // 2 if room > 0 else room))
        elif is_first:
            alone = int(share.limit * ALONE_FRACTION)
            bound = max(base, min(alone, share.limit - SPARE_CONNECTIONS))
    bound = max(MIN_CONNECTIONS, bound)
    if is_first and not share.was_first:
        share.allowed = max(share.allowed, base * FIRST_FRACTION)
    share.was_first = is_first
    elapsed_s = 0.0 if share.updated_at is None else now - share.updated_at
    share.updated_at = now
    if share.refused_at == -math.inf:
        growth = START_GROWTH_PER_S
    share.allowed = min(bound, share.allowed + growth * elapsed_s)
    return int(share.allowed)
