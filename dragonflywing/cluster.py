"""The other instances: found through the store, heard several times a second."""

import asyncio
import contextlib
import json
import random
from typing import NamedTuple

from dragonflywing import logs
from dragonflywing.clock import elapsed
from dragonflywing.decisions import membership, relays
from dragonflywing.errors import HistoryLost, StoreError
from dragonflywing.links import Link, LinkLost, pack

OWN_PREFIX = "dfw/"
MEMBER_PREFIX = OWN_PREFIX + "members/"
# An instance that dies without a word is listed for this long. It is longer
# than the time after which an unconfirmed instance refuses everything, so a
# listed share of the rates is never used twice.
MEMBER_LEASE_S = 6.0
RENEW_S = 1.5
WATCH_S = 15.0  # the store holds a watch for up to 30 s; each one is a call
RETRY_S = 0.4
EXCHANGE_S = 0.5
EXCHANGE_TIMEOUT_S = 0.6
# Between tries while an instance has not been heard at all, as after a start.
UNHEARD_S = 0.1
# Without an exchange for so long an instance is not chosen as a home.
SUSPECT_S = 1.3
# The same for one that only a relay tells of: the relay may have to be replaced.
RELAYED_SUSPECT_S = 3.0


class Peer(NamedTuple):
    """Another instance as it has registered itself."""

    instance: str
    data_centre: str
    host: str
    port: int
    incarnation: int


class Cluster:
    """Registration of this instance, the others, and calls to them."""

    def __init__(self, cfg, store, metrics):
        self.cfg = cfg
        self.store = store
        self.metrics = metrics
        self.incarnation = random.getrandbits(40)
        self.peers = {}
        self.links = {}
        self.heard_at = {}
        self.leaving_peers = set()
        self.leaving = False
        self.answered = set()  # those that answered since they registered
        self._asked = set()  # the partners of the latest round
        self._member_came = asyncio.Event()
        self._told_at = {}  # when each instance last asked this one
        self.make_exchange = None
        self.take_exchange = None
        self.more_partners = set  # instances to ask whatever this one's role
        self._orders = {}
        self._registered_lease = 0

    def _now(self):
        return asyncio.get_running_loop().time()

    # Registration

    async def register(self):
        """Keep this instance's entry in the store until cancelled."""
        record = {
            "data_centre": self.cfg.data_centre,
            "host": self.cfg.host,
            "port": self.cfg.peer_port,
            "incarnation": self.incarnation,
        }
        key = MEMBER_PREFIX + self.cfg.instance
        lease_s = max(MEMBER_LEASE_S, self.cfg.lease_min_s)
        while True:
            pause = RENEW_S
            try:
                lease = self._registered_lease
                if not lease or not await self.store.keep_lease(lease):
                    self._registered_lease = 0
                    lease = await self.store.grant_lease(lease_s)
                    value = json.dumps(record).encode()
                    await self.store.swap(key, value, None, lease)
                    self._registered_lease = lease
                    logs.event("registered", instance=self.cfg.instance)
            except StoreError as exc:
                self.metrics.count("store.register_failed")
                logs.event("register_failed", error=str(exc))
                pause = RETRY_S
            await asyncio.sleep(pause * random.uniform(0.8, 1.0))

    async def withdraw(self):
        """Remove this instance's entry."""
        if self._registered_lease:
            try:
                await self.store.end_lease(self._registered_lease)
            except StoreError as exc:
                logs.event("withdraw_failed", error=str(exc))

    def note_member(self, key, value):
        """Take another instance's entry; `value` is None if it is gone."""
        instance = key[len(MEMBER_PREFIX) :]
        if instance == self.cfg.instance:
            return
        if value is None:
            if self.peers.pop(instance, None):
                self._orders.clear()
                self._close_link(instance)
                self.leaving_peers.discard(instance)
                self.answered.discard(instance)
                logs.event("member_gone", instance=instance)
            return
        try:
            record = json.loads(value)
            peer = Peer(
                instance,
                record["data_centre"],
                record["host"],
                record["port"],
                record["incarnation"],
            )
        except (ValueError, KeyError, TypeError):
            self.metrics.count("refused.bad_member")
            logs.warn("bad_member", instance=instance)
            return
        if self.peers.get(instance) != peer:
            self.peers[instance] = peer
            self._orders.clear()
            self._close_link(instance)
            self.leaving_peers.discard(instance)
            self.answered.discard(instance)
            self.heard_at[instance] = self._now()
            self._member_came.set()
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
        """Return the other instances heard of lately that are not leaving."""
        return [
            peer
            for name, peer in self.peers.items()
            if name not in self.leaving_peers and not self.is_silent(name)
        ]

    def is_silent(self, instance):
        """Return whether an instance has not been heard of for too long."""
        told_s = self._now() - self._told_at.get(instance, 0.0)
        is_direct = instance in self._asked or told_s < RELAYED_SUSPECT_S
        limit_s = SUSPECT_S if is_direct or self.is_small() else RELAYED_SUSPECT_S
        return self.silent_s(instance) >= limit_s

    def _order(self, subject, data_centre):
        """Return all instances, those of a data centre first, in a fixed order."""
        key = (subject, data_centre)
        if key not in self._orders:
            places = {p.instance: p.data_centre for p in self.peers.values()}
            places[self.cfg.instance] = self.cfg.data_centre
            order = membership.order(subject, places)
            order.sort(key=lambda name: places[name] != data_centre)
            self._orders[key] = order
        return self._orders[key]

    def homes(self, database):
        """Return the instances that may be a database's home, the first one first."""
        able = {peer.instance for peer in self.alive()}
        if not self.leaving or not able:
            able.add(self.cfg.instance)
        order = self._order(database.name, database.data_centre)
        return [name for name in order if name in able]

    def first_home(self, database):
        """Return the first home among all registered instances, heard of or not."""
        for name in self._order(database.name, database.data_centre):
            is_own = name == self.cfg.instance
            if not (self.leaving if is_own else name in self.leaving_peers):
                return name
        return self.cfg.instance

    # Roles

    def names_in(self, data_centre):
        """Return the other instances of a data centre."""
        peers = self.peers.values()
        return {peer.instance for peer in peers if peer.data_centre == data_centre}

    def relay(self, data_centre):
        """Return the relay of a data centre, None if all there are silent."""
        able = {p.instance for p in self.alive() if p.data_centre == data_centre}
        if data_centre == self.cfg.data_centre and not self.leaving:
            able.add(self.cfg.instance)
        order = self._order("relay", data_centre)
        return next((name for name in order if name in able), None)

    def relays(self):
        """Return the relay of each data centre."""
        places = {p.data_centre for p in self.peers.values()}
        return {place: self.relay(place) for place in places | {self.cfg.data_centre}}

    def is_small(self):
        """Return whether all instances ask all others."""
        return len(self.peers) + 1 <= relays.DIRECT_SIZE

    def role(self):
        """Return this instance's relays.Role."""
        own_relay = None if self.is_small() else self.relay(self.cfg.data_centre)
        return relays.role(self.cfg.instance, len(self.peers) + 1, own_relay)

    def partners(self):
        """Return the instances that this one asks."""
        registered = {p.instance: p.data_centre for p in self.peers.values()}
        place = self.cfg.data_centre
        found = relays.partners(self.role(), place, registered, self.relays())
        return (found | self.more_partners()) & registered.keys()

    def confirm_rank(self):
        """Return this instance's place among those that may ask the store for all."""
        names = [peer.instance for peer in self.alive()]
        role = self.role()
        if role is not relays.Role.DIRECT:
            names = [name for name in self.relays().values() if name]
        if role is relays.Role.MEMBER:
            return len(names)
        return membership.rank("confirm", self.cfg.instance, names)

    def note_heard(self, instance):
        """Note that an instance was heard just now."""
        self.heard_at[instance] = self._now()

    def note_question(self, instance):
        """Note that an instance asked this one just now."""
        self._told_at[instance] = self._now()
        if not self.is_small():
            self.note_heard(instance)

    def note_relayed(self, scope, silent, leaving):
        """Take a relay's word on which instances of `scope` it hears."""
        now = self._now()
        for name in scope - set(silent):
            self.heard_at[name] = now
        for name in (scope & set(silent)) - self._asked:
            self.heard_at[name] = now - RELAYED_SUSPECT_S
        self.leaving_peers |= scope & set(leaving)

    def silent_s(self, instance):
        """Return the seconds since an instance was heard of."""
        return self._now() - self.heard_at.get(instance, 0.0)

    def is_isolated(self):
        """Return whether this instance hears fewer than half of the others."""
        return 2 * len(self.alive()) < len(self.peers)

    # Exchange

    async def exchange(self):
        """Exchange beliefs with this instance's partners until cancelled."""
        running, begun = {}, {}
        while True:
            now = self._now()
            partners = self._asked = self.partners()
            for instance in partners:
                task = running.get(instance)
                recent = now - begun.get(instance, 0.0) < 0.7 * EXCHANGE_S
                if recent and instance in self.answered:
                    continue
                if task is None or task.done():
                    begun[instance] = now
                    running[instance] = asyncio.create_task(self._exchange(instance))
            unheard = partners - self.answered
            pause = UNHEARD_S if unheard else EXCHANGE_S
            await self._wait_member(pause * random.uniform(0.8, 1.2))

    async def _wait_member(self, pause_s):
        """Wait for a time, or until an instance registers."""
        self._member_came.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._member_came.wait()

    async def _exchange(self, instance):
        asked_at = elapsed()
        question = self.make_exchange()
        try:
            answer = await self.call(
                instance, "exchange", pack(question), EXCHANGE_TIMEOUT_S
            )
        except LinkLost:
            self.metrics.count("link.exchange_failed")
            if self.is_silent(instance):
                # The connection may have gone silent while new ones work.
                self._close_link(instance)
            return
        self.note_heard(instance)
        self.answered.add(instance)
        await self.take_exchange(instance, question, answer, asked_at)

    def close(self):
        """Close all connections to other instances."""
        for instance in list(self.links):
            self._close_link(instance)


async def follow(store, prefix, on_list, on_change, metrics, gather_s=lambda: 0.0):
    """Follow all keys under a prefix until cancelled.

    `on_list(items)` takes a whole list, `on_change(item)` one change after it.
    Each answer costs a call: changes within `gather_s()` come with one.
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
                    await asyncio.sleep(gather_s())
        except StoreError as exc:
            if is_up:
                logs.event("store_lost", prefix=prefix, error=str(exc))
            is_up = False
            metrics.count("store.follow_failed")
        except HistoryLost:
            metrics.count("store.history_lost")
            continue
        await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.0))
