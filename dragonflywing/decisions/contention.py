"""Assignment of workspaces to replicas where they compete for connections.

Answers the load of many workspaces on few connections: each connection belongs to one
workspace, and opening another one occupies a slot of the database. Each workspace is
assigned to replicas in the order of rendezvous hashing, so that it keeps connections to
few databases. What this instance has observed of the databases says when to leave the
assigned one: how long statements take there beyond the wait, and whether they fail.
"""

from dragonflywing.decisions.membership import rendezvous_order

# With fewer slots, these rather than the connections limit what a database serves.
MIN_SLOTS = 4


def competes_for_connections(workspaces, connections, slots):
    """Return whether connections are what a database of this size has too few of.

    `workspaces` is the number of configured workspaces, `connections` the connection
    limit of each database, `slots` the statements that it runs at once.
    """
    return workspaces > connections and slots >= MIN_SLOTS


# Weight of a new sample in the moving average of the time that statements take.
TIME_WEIGHT = 0.1
# The excess of a database's time over that of the fastest one counts half after this
# time without a sample, so that a database that was slow is tried again.
TIME_HALF_LIFE_S = 3.0
# A database that has failed a statement is left for about this time. The time doubles
# with each failure that no success has made up for.
MIN_LEFT_S = 0.05
MAX_LEFT_S = 2.0
MAX_FAILURES = 7  # more would not lengthen the time further
# A database that has served a workspace within this time probably keeps a connection
# for it. Homes close the one that was idle for longest first.
CONNECTION_KEPT_S = 3.0


class Observed:
    """What this instance has observed of a database's answers.

    `time_s` is the moving average of the time of statements beyond their wait and the
    network, None if unknown, as of `updated_at`. `failures` are the failed statements
    less the successful ones since. The database is left until `left_until`.
    """

    def __init__(self):
        self.time_s = None
        self.updated_at = 0.0
        self.failures = 0
        self.left_until = 0.0


class ContentionState:
    """The observed databases, and the cached assignments of each group.

    `databases` maps names to Observed. `orders` maps each group to the names of its
    databases and, for these, the order of each workspace. `served_at` maps each group
    to the times at which databases last served workspaces, by (workspace, database).
    """

    def __init__(self):
        self.databases = {}
        self.orders = {}
        self.served_at = {}


def assigned_order(state, group, names, workspace):
    """Return the tuple `names` in the order in which the workspace is assigned to them.

    Databases that come or go don't change the order of the others. The order is
    computed once for each workspace and set of names.
    """
    known_names, orders = state.orders.get(group, ((), None))
    if orders is None or known_names != names:
        orders = {}
        state.orders[group] = names, orders
        state.served_at[group] = {}
        for name in state.databases.keys() - _all_names(state):
            del state.databases[name]
    if workspace not in orders:
        orders[workspace] = tuple(rendezvous_order(workspace, names))
    return orders[workspace]


def _all_names(state):
    return {name for names, _ in state.orders.values() for name in names}


def record_served(state, now, group, workspace, database):
    """Record that a database has served a statement of a workspace."""
    if group in state.served_at:
        state.served_at[group][workspace, database] = now


def keeps_connection(state, now, group, workspace, database):
    """Return whether a database probably has a connection of a workspace."""
    served_at = state.served_at[group].get((workspace, database))
    return served_at is not None and now - served_at < CONNECTION_KEPT_S


def record_answer(state, now, database, time_s):
    """Record a statement that took `time_s` beyond its wait and the network."""
    item = state.databases.setdefault(database, Observed())
    item.failures = max(0, item.failures - 1)
    average_s = time_s if item.time_s is None else item.time_s
    item.time_s = average_s + TIME_WEIGHT * (time_s - average_s)
    item.updated_at = now


def record_failure(state, now, database, rng):
    """Record a statement that the database failed, refused or left unanswered."""
    item = state.databases.setdefault(database, Observed())
    item.failures = min(MAX_FAILURES, item.failures + 1)
    left_s = min(MAX_LEFT_S, MIN_LEFT_S * 2 ** (item.failures - 1))
    # Instances that saw the same failure don't return at the same time.
    item.left_until = max(item.left_until, now + left_s * rng.uniform(0.5, 1.5))


def is_left(state, now, database):
    """Return whether statements avoid a database, as it has just failed some."""
    item = state.databases.get(database)
    return item is not None and now < item.left_until


def excess_times(state, now, names):
    """Return by how many seconds each database is slower than the fastest one.

    A database without samples counts as the fastest, so that it is tried.
    """
    known = [state.databases.get(name) for name in names]
    times = [item.time_s for item in known if item and item.time_s is not None]
    best_s = min(times, default=0.0)
    result = {}
    for name, item in zip(names, known, strict=True):
        excess_s = 0.0
        if item is not None and item.time_s is not None:
            age_s = now - item.updated_at
            excess_s = (item.time_s - best_s) * 0.5 ** (age_s / TIME_HALF_LIFE_S)
        result[name] = excess_s
    return result
