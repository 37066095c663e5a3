"""A model of one database group of the users' platform, without sockets or a clock.

The logs hold only the term of each commit, so a position identifies a commit. Whether
two parties reach each other is part of the state, as is every order of promotion that
may still take effect.
"""

from dragonflywing.decisions.positions import ZERO, Position


class Database:
    """One database; `promised` is the term for which it is paused, 0 if it isn't."""

    def __init__(self, name, term, log=(), started_at=0.0):
        self.name = name
        self.term = term
        self.log = log
        self.started_at = started_at
        self.is_primary = False
        self.is_gone = False
        self.promised = 0

    @property
    def received(self):
        """The position of the last commit in the log."""
        return Position(self.log[-1], len(self.log)) if self.log else ZERO

    def holds(self, position):
        """Return whether the log contains the commit at a position."""
        return self.log[position.index - 1 : position.index] == (position.term,)


class Order:
    """An order of promotion; it takes effect by `until` or never."""

    def __init__(self, database, until):
        self.database = database
        self.until = until


class Commit:
    """A commit of a primary, and the replicas that have received it."""

    def __init__(self, database, position):
        self.database = database
        self.position = position
        self.receivers = set()


class Group:
    """A group's databases; `leader` is the one that was promoted last.

    `broken` holds the pairs of parties that don't reach each other.
    """

    def __init__(self, names, sync_replicas=1):
        self.sync_replicas = sync_replicas
        self.databases = {name: Database(name, 1, (1,)) for name in names}
        self.leader = names[0]
        self.databases[self.leader].is_primary = True
        self.term = 1
        self.broken = set()
        self.orders = []
        self.commits = []  # those that aren't acknowledged yet


def reaches(group, one, other):
    """Return whether two parties reach each other."""
    if any(n in group.databases and group.databases[n].is_gone for n in (one, other)):
        return False
    return frozenset((one, other)) not in group.broken


def commit(group, primary):
    """Append a commit to a primary's log; return it."""
    database = group.databases[primary]
    database.log += (database.term,)
    made = Commit(primary, database.received)
    group.commits.append(made)
    return made


def may_receive(group, primary, replica):
    """Return whether a replica receives the log of a primary."""
    source, target = group.databases[primary], group.databases[replica]
    return (
        source.is_primary
        and not target.is_primary
        and not target.promised
        and target.term <= source.term
        and reaches(group, primary, replica)
    )


def receive(group, primary, replica):
    """Let a replica catch up; return the commits that are acknowledged by that."""
    source, target = group.databases[primary], group.databases[replica]
    target.term, target.log = source.term, source.log
    acknowledged = []
    for item in list(group.commits):
        if item.database == primary and target.holds(item.position):
            item.receivers.add(replica)
            if len(item.receivers) >= group.sync_replicas:
                group.commits.remove(item)
                acknowledged.append(item)
    return acknowledged


def pause(group, name, term):
    """Let a replica receive nothing."""
    database = group.databases[name]
    if not database.is_primary and term > max(database.term, database.promised):
        database.promised = term


def resume(group, name):
    """Let a paused replica receive again."""
    group.databases[name].promised = 0


def step_down(group, name, term):
    """Make a primary of an earlier term a replica."""
    database = group.databases[name]
    if term > database.term:
        _stop_leading(group, database)


def _stop_leading(group, database):
    database.is_primary = False
    group.commits = [x for x in group.commits if x.database != database.name]


def restart(group, name, now):
    """Restart a database, which keeps its log and forgets a pause."""
    database = group.databases[name]
    database.promised, database.started_at = 0, now
    group.commits = [x for x in group.commits if x.database != name]
    if group.leader != name:
        database.is_primary = False


def join(group, name, primary, now):
    """Add a replica with the log of a primary; return the acknowledged commits."""
    source = group.databases[primary]
    group.databases[name] = Database(name, source.term, source.log, now)
    return receive(group, primary, name)


def lose(group, name):
    """End a database with its log."""
    database = group.databases[name]
    database.is_gone = True
    _stop_leading(group, database)


def take_effect(group, order):
    """Promote the database of an order, if it runs and isn't the primary."""
    group.orders.remove(order)
    database = group.databases[order.database]
    is_leading = database.is_primary and group.leader == database.name
    if database.is_gone or is_leading:
        return
    _stop_leading(group, database)
    group.term += 1
    group.leader = database.name
    database.is_primary, database.term, database.promised = True, group.term, 0
    for item in group.databases.values():
        # A former primary goes on until it steps down.
        if not item.is_primary and reaches(group, database.name, item.name):
            follow(group, item.name)


def follow(group, name):
    """Let a database follow the leader; what the leader's log lacks is cut off."""
    database, leader = group.databases[name], group.databases[group.leader]
    _stop_leading(group, database)
    database.term, database.promised = leader.term, 0
    kept = 0
    for own, other in zip(database.log, leader.log, strict=False):
        if own != other:
            break
        kept += 1
    database.log = database.log[:kept]
