"""The known state of an instance, as gauges on its metrics address.

Labels are the configured names of groups and workspaces and the names of the
listed databases.
"""

from collections import Counter

from dragonflywing.clock import boottime
from dragonflywing.decisions import division, warmup
from dragonflywing.metrics import Gauge


def node_gauges(node):
    """Return the Gauges of an instance."""
    groups, cluster, directory = node.groups, node.cluster, node.directory

    def unlabelled(read):
        return lambda: {(): read()}

    def store_age():
        answered_at = node.ports.store.answered_at
        return -1.0 if answered_at is None else boottime() - answered_at

    def terms():
        return {(name,): state.term for name, state in groups.groups.items()}

    def primaries():
        states = groups.groups.values()
        return {(x.name, x.primary): 1 for x in states if x.primary}

    def floor_ages():
        now = boottime()
        states = [state for state in groups.groups.values() if state.floor]
        return {(x.name,): now - x.floor.asked_at for x in states}

    def shares():
        state = node.division
        names = [x for x in state.buckets if not x.startswith(warmup.BUCKET_PREFIX)]
        return {(name,): division.share(state, name) for name in names}

    def queues():
        homes = groups.homes.items()
        return {(name,): home.admission.waiting() for name, home in homes}

    def connections():
        return {(name,): home.total for name, home in groups.homes.items()}

    def waiters():
        return {
            (name, priority): count
            for name, home in groups.homes.items()
            for priority, count in home.slots.waiting_by_priority().items()
        }

    def allowed_connections():
        homes = groups.homes.items()
        return {(name,): home.pool.max_connections for name, home in homes}

    def workspace_connections():
        totals = Counter()
        for home in groups.homes.values():
            totals.update(home.by_workspace)
        return {(name,): count for name, count in totals.items() if count}

    def pacers():
        return [home.pacer for home in groups.homes.values() if home.pacer.applies]

    def paces():
        return {(pacer.name,): pacer.limit() for pacer in pacers()}

    def failing():
        return {(pacer.name,): pacer.failing() for pacer in pacers()}

    def cold():
        databases = groups.databases.values()
        return {(item.name,): node.pacing.cold_s(item) for item in databases}

    return [
        Gauge("config_version", "Version in force.", (), unlabelled(directory.version)),
        Gauge(
            "config_age_seconds",
            "Since the store confirmed that version.",
            (),
            unlabelled(directory.confirmation_age),
        ),
        Gauge(
            "store_age_seconds",
            "Since the store last answered; -1 if it never did.",
            (),
            unlabelled(store_age),
        ),
        Gauge(
            "store_era",
            "Rises each time the store comes back from an older copy.",
            (),
            unlabelled(lambda: node.ports.store.era),
        ),
        Gauge("ready", "Whether callers are taken.", (), unlabelled(node.is_ready)),
        Gauge(
            "peers",
            "Other instances heard.",
            (),
            unlabelled(lambda: len(cluster.alive())),
        ),
        Gauge(
            "duty",
            "Whether promotions are ordered here.",
            (),
            unlabelled(node.replacer.holds_duty),
        ),
        Gauge(
            "evacuated_data_centres",
            "Data centres known to be evacuated.",
            (),
            unlabelled(lambda: len(groups.evacuations.since)),
        ),
        Gauge("group_term", "Latest term known.", ("group",), terms),
        Gauge(
            "group_primary",
            "1 for the database believed to lead.",
            ("group", "database"),
            primaries,
        ),
        Gauge("floor_age_seconds", "Age of the floor known.", ("group",), floor_ages),
        Gauge("share", "Part of the rate refilled here.", ("workspace",), shares),
        Gauge("queue", "Statements waiting for a slot.", ("database",), queues),
        Gauge("connections", "Connections held.", ("database",), connections),
        Gauge(
            "waiters",
            "Statements waiting, by priority, where connections are contended.",
            ("database", "priority"),
            waiters,
        ),
        Gauge(
            "allowed_connections",
            "Connections that may be held now.",
            ("database",),
            allowed_connections,
        ),
        Gauge(
            "workspace_connections",
            "Connections held to all databases.",
            ("workspace",),
            workspace_connections,
        ),
        Gauge("pace", "Statements in flight allowed.", ("database",), paces),
        Gauge("failing", "Share of failed statements.", ("database",), failing),
        Gauge("cold_seconds", "Until it is warm; 0: is.", ("database",), cold),
    ]
