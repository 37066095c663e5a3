"""Membership of the fleet, and calls to the other instances.

Instances register in the store and exchange state several times a second. An
instance without such contact for some time is silent and not used.
"""

import asyncio
import contextlib
import json
import random
from typing import NamedTuple

from dragonflywing import logs
from dragonflywing.clock import boottime
from dragonflywing.decisions import membership, relays
from dragonflywing.errors import HistoryLost, StoreError
from dragonflywing.links import Link, LinkLost, pack

FLEET_PREFIX = "dfw/"  # of the keys that instances write
MEMBER_PREFIX = FLEET_PREFIX + "members/"
# An instance that crashes stays listed for this long. That is longer than the time
# after which an instance without confirmation refuses all operations, so no share
# of the rates is used twice.
MEMBER_LEASE_S = 6.0
RENEW_S = 1.5
WATCH_S = 15.0  # the store allows up to 30 s; each watch counts as a call
STORE_RETRY_S = 0.4
EXCHANGE_S = 0.5
EXCHANGE_TIMEOUT_S = 0.6
# Pause while some partner has not answered since it registered, as after a start.
UNANSWERED_PAUSE_S = 0.1
# An instance without an exchange for this long is not chosen as a home.
SILENT_AFTER_S = 1.3
# The same for one known through a relay only; the relay may have to be replaced.
RELAYED_SILENT_AFTER_S = 3.0


class Peer(NamedTuple):
    """Another instance, as registered in the store."""

    instance: str
    data_centre: str
    host: str
    port: int
    incarnation: int


class Cluster:
    """This instance's registration, the other instances, and calls to them."""

    def __init__(self, settings, store, metrics):
        self.settings = settings
        self.store = store
        self.metrics = metrics
        self.incarnation = random.getrandbits(40)
        self.peers = {}
        self.links = {}
        self.last_contact_at = {}
        self.leaving_peers = set()
        self.leaving = False
        self.answered = set()  # peers that answered an exchange since they registered
        self._current_partners = set()  # the partners of the latest round
        self._member_added = asyncio.Event()
        self._last_question_at = {}  # when each instance last sent a question
        self.make_question = None
        self.apply_answer = None
        self.extra_partners = set  # returns partners that do not depend on the role
        self._order_cache = {}
        self._member_lease = 0

    def _now(self):
        return asyncio.get_running_loop().time()

    # Registration

    async def register(self):
        """Keep this instance's entry in the store until cancelled."""
        entry = {
            "data_centre": self.settings.data_centre,
            "host": self.settings.host,
            "port": self.settings.peer_port,
            "incarnation": self.incarnation,
        }
        key = MEMBER_PREFIX + self.settings.instance
        lease_s = max(MEMBER_LEASE_S, self.settings.lease_min_s)
        while True:
            pause = RENEW_S
            try:
                lease = self._member_lease
                if not lease or not await self.store.keep_lease(lease):
                    self._member_lease = 0
                    lease = await self.store.grant_lease(lease_s)
                    value = json.dumps(entry).encode()
                    await self.store.swap(key, value, None, lease)
                    self._member_lease = lease
                    logs.event("registered", instance=self.settings.instance)
            except StoreError as exc:
                self.metrics.count("store.register_failed")
                logs.event("register_failed", error=str(exc))
                pause = STORE_RETRY_S
            await asyncio.sleep(pause * random.uniform(0.8, 1.0))

    async def withdraw(self):
        """Remove this instance's entry."""
        if self._member_lease:
            try:
                await self.store.end_lease(self._member_lease)
            except StoreError as exc:
                logs.event("withdraw_failed", error=str(exc))

    def apply_member(self, key, value):
        """Apply another instance's entry; `value` is None if it was removed."""
        instance = key[len(MEMBER_PREFIX) :]
        if instance == self.settings.instance:
            return
        if value is None:
            if self.peers.pop(instance, None):
                self._order_cache.clear()
                self._close_link(instance)
                self.leaving_peers.discard(instance)
                self.answered.discard(instance)
                logs.event("member_gone", instance=instance)
            return
        try:
            entry = json.loads(value)
            peer = Peer(
                instance,
                entry["data_centre"],
                entry["host"],
                entry["port"],
                entry["incarnation"],
            )
        except (ValueError, KeyError, TypeError):
            self.metrics.count("refused.bad_member")
            logs.warn("bad_member", instance=instance)
            return
        if self.peers.get(instance) != peer:
            self.peers[instance] = peer
            self._order_cache.clear()
            self._close_link(instance)
            self.leaving_peers.discard(instance)
            self.answered.discard(instance)
            self.last_contact_at[instance] = self._now()
            self._member_added.set()
            logs.event("member", instance=instance, data_centre=peer.data_centre)

    def _close_link(self, instance):
        link = self.links.pop(instance, None)
        if link is not None:
            link.close()

    # Calls

    def link(self, instance):
        """Return the Link to another instance, or raise LinkLost."""
        peer = self.peers.get(instance)
        if peer is None:
            raise LinkLost(f"instance {instance!r} is not known")
        if instance not in self.links:
            self.links[instance] = Link(peer.host, peer.port)
        return self.links[instance]

    async def call(self, instance, name, body, timeout_s):
        """Call another instance; return the answer's bytes or raise LinkLost."""
        return await self.link(instance).call(name, body, timeout_s)

    def alive(self):
        """Return the other instances that are neither silent nor leaving."""
        return [
            peer
            for name, peer in self.peers.items()
            if name not in self.leaving_peers and not self.is_silent(name)
        ]

    def is_silent(self, instance):
        """Return whether there has been no contact to an instance for too long."""
        question_age_s = self._now() - self._last_question_at.get(instance, 0.0)
        is_direct = (
            instance in self._current_partners
            or question_age_s < RELAYED_SILENT_AFTER_S
        )
        limit_s = (
            SILENT_AFTER_S if is_direct or self.is_small() else RELAYED_SILENT_AFTER_S
        )
        return self.silent_s(instance) >= limit_s

    def _order(self, subject, data_centre):
        """Return all instances in an order that every instance computes alike.

        The order depends on the subject; those of the data centre come first.
        """
        key = (subject, data_centre)
        if key not in self._order_cache:
            data_centres = {p.instance: p.data_centre for p in self.peers.values()}
            data_centres[self.settings.instance] = self.settings.data_centre
            order = membership.rendezvous_order(subject, data_centres)
            order.sort(key=lambda name: data_centres[name] != data_centre)
            self._order_cache[key] = order
        return self._order_cache[key]

    def home_candidates(self, database):
        """Return the live instances in the order in which they become the home."""
        eligible = {peer.instance for peer in self.alive()}
        if not self.leaving or not eligible:
            eligible.add(self.settings.instance)
        order = self._order(database.name, database.data_centre)
        return [name for name in order if name in eligible]

    def first_home(self, database):
        """Return the first home among all instances that are not leaving.

        Unlike `home_candidates`, this includes silent instances.
        """
        for name in self._order(database.name, database.data_centre):
            is_own = name == self.settings.instance
            if not (self.leaving if is_own else name in self.leaving_peers):
                return name
        return self.settings.instance

    # Roles

    def names_in(self, data_centre):
        """Return the other instances of a data centre."""
        peers = self.peers.values()
        return {peer.instance for peer in peers if peer.data_centre == data_centre}

    def relay(self, data_centre):
        """Return the relay of a data centre, None if all its instances are silent.

        A relay exchanges state on behalf of its data centre with the other relays.
        """
        eligible = {p.instance for p in self.alive() if p.data_centre == data_centre}
        if data_centre == self.settings.data_centre and not self.leaving:
            eligible.add(self.settings.instance)
        order = self._order("relay", data_centre)
        return next((name for name in order if name in eligible), None)

    def relays(self):
        """Return the relay of each data centre."""
        data_centres = {p.data_centre for p in self.peers.values()}
        return {
            data_centre: self.relay(data_centre)
            for data_centre in data_centres | {self.settings.data_centre}
        }

    def is_small(self):
        """Return whether all instances exchange state with all others."""
        return len(self.peers) + 1 <= relays.DIRECT_SIZE

    def role(self):
        """Return this instance's relays.Role."""
        own_relay = None if self.is_small() else self.relay(self.settings.data_centre)
        return relays.role(self.settings.instance, len(self.peers) + 1, own_relay)

    def partners(self):
        """Return the instances that this one exchanges state with."""
        registered = {p.instance: p.data_centre for p in self.peers.values()}
        data_centre = self.settings.data_centre
        partners = relays.partners(self.role(), data_centre, registered, self.relays())
        return (partners | self.extra_partners()) & registered.keys()

    def confirm_rank(self):
        """Return this instance's rank among those that may read the configuration.

        The first of them read it from the store on behalf of the whole fleet.
        """
        names = [peer.instance for peer in self.alive()]
        role = self.role()
        if role is not relays.Role.DIRECT:
            names = [name for name in self.relays().values() if name]
        if role is relays.Role.MEMBER:
            return len(names)
        return membership.rank("confirm", self.settings.instance, names)

    def note_contact(self, instance):
        """Note a contact with an instance."""
        self.last_contact_at[instance] = self._now()

    def note_question(self, instance):
        """Note a question from an instance; in a large fleet it counts as a contact."""
        self._last_question_at[instance] = self._now()
        if not self.is_small():
            self.note_contact(instance)

    def note_relayed(self, scope, silent, leaving):
        """Apply a relay's report on the silent and leaving instances of `scope`."""
        now = self._now()
        for name in scope - set(silent):
            self.last_contact_at[name] = now
        for name in (scope & set(silent)) - self._current_partners:
            self.last_contact_at[name] = now - RELAYED_SILENT_AFTER_S
        self.leaving_peers |= scope & set(leaving)

    def silent_s(self, instance):
        """Return the seconds since the last direct or relayed contact."""
        return self._now() - self.last_contact_at.get(instance, 0.0)

    def is_isolated(self):
        """Return whether fewer than half of the other instances are reachable."""
        return 2 * len(self.alive()) < len(self.peers)

    # Exchange

    async def exchange(self):
        """Exchange the known state with this instance's partners until cancelled."""
        running, started_at = {}, {}
        while True:
            now = self._now()
            partners = self._current_partners = self.partners()
            for instance in partners:
                task = running.get(instance)
                recently_started = (
                    now - started_at.get(instance, 0.0) < 0.7 * EXCHANGE_S
                )
                if recently_started and instance in self.answered:
                    continue
                if task is None or task.done():
                    started_at[instance] = now
                    running[instance] = asyncio.create_task(self._exchange(instance))
            unanswered = partners - self.answered
            pause = UNANSWERED_PAUSE_S if unanswered else EXCHANGE_S
            await self._wait_for_member(pause * random.uniform(0.8, 1.2))

    async def _wait_for_member(self, pause_s):
        """Wait for a time, or until an instance registers."""
        self._member_added.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._member_added.wait()

    async def _exchange(self, instance):
        asked_at = boottime()
        question = self.make_question()
        try:
            answer = await self.call(
                instance, "exchange", pack(question), EXCHANGE_TIMEOUT_S
            )
        except LinkLost:
            self.metrics.count("link.exchange_failed")
            if self.is_silent(instance):
                # The connection may be dead while new ones can be opened.
                self._close_link(instance)
            return
        self.note_contact(instance)
        self.answered.add(instance)
        await self.apply_answer(instance, question, answer, asked_at)

    def close(self):
        """Close all connections to other instances."""
        for instance in list(self.links):
            self._close_link(instance)


async def follow(store, prefix, on_list, on_change, metrics, batch_s=lambda: 0.0):
    """Follow all keys under a prefix until cancelled.

    `on_list(items)` is called with a complete list, `on_change(item)` with each
    later change. Each answer of the store counts as a call, so changes within
    `batch_s()` are read with one.
    """
    is_up = True
    while True:
        try:
            items, revision = await store.get_prefix(prefix)
            if not is_up:
                logs.event("store_regained", prefix=prefix)
            is_up = True
            on_list(items)
            while True:
                changes, revision = await store.watch(prefix, revision, WATCH_S)
                for item in changes:
                    on_change(item)
                if changes:
                    await asyncio.sleep(batch_s())
        except StoreError as exc:
            if is_up:
                logs.event("store_lost", prefix=prefix, error=str(exc))
            is_up = False
            metrics.count("store.follow_failed")
        except HistoryLost:
            metrics.count("store.history_lost")
            continue
        await asyncio.sleep(STORE_RETRY_S * random.uniform(0.5, 1.0))
