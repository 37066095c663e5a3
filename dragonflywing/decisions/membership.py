"""Membership of the fleet by gossip of heartbeats, and rendezvous hashing."""

import hashlib
from typing import NamedTuple

# Maximum number of member records in one message.
MEMBERS_PER_MESSAGE = 24
# Instances of a data centre that watch the store on behalf of all of it.
WATCHERS = 2
# Instances of a data centre that probe a group even if they do not use it.
PROBERS = 2


class Member(NamedTuple):
    """The record of an instance.

    Of two records of an instance, the one with the greater (incarnation,
    heartbeat) is newer.
    """

    instance: str
    data_centre: str
    address: str
    incarnation: int
    heartbeat: int
    leaving: bool
    store_ok: bool


class MemberState:
    """The members that an instance knows.

    `me` is the record of the instance itself. `seen_at` is the time at which
    each other member's record was last updated.
    """

    def __init__(self, me):
        self.me = me
        self.members = {}
        self.seen_at = {}


def advance_heartbeat(state, leaving, store_ok):
    """Advance this instance's own heartbeat."""
    state.me = state.me._replace(
        heartbeat=state.me.heartbeat + 1, leaving=leaving, store_ok=store_ok
    )


def merge(state, now, members):
    """Merge the records received from a peer; the newer record of each wins."""
    for member in members:
        if member.instance == state.me.instance:
            continue
        known = state.members.get(member.instance)
        newer = known is None or (member.incarnation, member.heartbeat) > (
            known.incarnation,
            known.heartbeat,
        )
        if newer:
            state.members[member.instance] = member
            state.seen_at[member.instance] = now


def alive(state, now, timeout_s):
    """Return the other members whose record was updated within the timeout."""
    return [
        member
        for name, member in state.members.items()
        if now - state.seen_at[name] <= timeout_s
    ]


def remove_silent(state, now, timeout_s):
    """Remove members whose record was not updated for ten timeouts."""
    for name in [x for x, at in state.seen_at.items() if now - at > 10 * timeout_s]:
        del state.seen_at[name]
        del state.members[name]


def sample(state, now, timeout_s, rng):
    """Return the records for one message: the own one and a random sample."""
    others = alive(state, now, timeout_s)
    count = min(len(others), MEMBERS_PER_MESSAGE - 1)
    return [state.me, *rng.sample(others, count)]


def rendezvous_order(subject, instances):
    """Return the instances in an order for `subject` that is the same everywhere.

    The order is that of rendezvous hashing and differs between subjects.
    """

    def weight(instance):
        return hashlib.sha256(f"{subject}/{instance}".encode()).digest()

    return sorted(set(instances), key=weight)


def rank(subject, instance, others):
    """Return the index of an instance in the rendezvous order with the others."""
    return rendezvous_order(subject, [instance, *others]).index(instance)


def is_watcher(state, now, timeout_s):
    """Return whether this instance watches the store for its data centre."""
    candidates = [
        member.instance
        for member in alive(state, now, timeout_s)
        if member.data_centre == state.me.data_centre
        and member.store_ok
        and not member.leaving
    ]
    return rank("watcher", state.me.instance, candidates) < WATCHERS
