"""The entry instances known to one another by exchanged heartbeats."""

import hashlib
from typing import NamedTuple

# Records of members in one message.
MEMBERS_PER_MESSAGE = 24
# Instances of a data centre that watch the store for all of it.
WATCHERS = 2
# Instances of a data centre that probe a group whether or not they use it.
PROBERS = 2


class Member(NamedTuple):
    """An instance's record; the greater (incarnation, heartbeat) wins."""

    instance: str
    data_centre: str
    address: str
    incarnation: int
    heartbeat: int
    leaving: bool
    store_ok: bool


class MemberState:
    """The members that an instance knows and when each was last heard of."""

    def __init__(self, me):
        self.me = me
        self.members = {}
        self.last_seen_at = {}


def advance_heartbeat(state, leaving, store_ok):
    """Advance the own heartbeat."""
    state.me = state.me._replace(
        heartbeat=state.me.heartbeat + 1, leaving=leaving, store_ok=store_ok
    )


def merge(state, now, members):
    """Take records from a peer; keep the newer of each."""
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
            state.last_seen_at[member.instance] = now


def alive(state, now, timeout_s):
    """Return the other members heard of within the timeout."""
    return [
        member
        for name, member in state.members.items()
        if now - state.last_seen_at[name] <= timeout_s
    ]


def remove_silent(state, now, timeout_s):
    """Drop members not heard of for ten timeouts."""
    for name in [
        x for x, at in state.last_seen_at.items() if now - at > 10 * timeout_s
    ]:
        del state.last_seen_at[name]
        del state.members[name]


def sample(state, now, timeout_s, rng):
    """Return the records for one message: the own and some others at random."""
    others = alive(state, now, timeout_s)
    count = min(len(others), MEMBERS_PER_MESSAGE - 1)
    return [state.me, *rng.sample(others, count)]


def rendezvous_order(subject, instances):
    """Return instances in an order that all agree on, another for each subject."""

    def weight(instance):
        return hashlib.sha256(f"{subject}/{instance}".encode()).digest()

    return sorted(set(instances), key=weight)


def rank(subject, instance, others):
    """Return the place of an instance among itself and the others, from 0."""
    return rendezvous_order(subject, [instance, *others]).index(instance)


def is_watcher(state, now, timeout_s):
    """Return whether this instance watches the store for its data centre."""
    rivals = [
        member.instance
        for member in alive(state, now, timeout_s)
        if member.data_centre == state.me.data_centre
        and member.store_ok
        and not member.leaving
    ]
    return rank("watcher", state.me.instance, rivals) < WATCHERS
