"""The other instances: found through the store, heard several times a second."""

import asyncio
import json
import random
from typing import NamedTuple

from dragonflywing import logs
from dragonflywing.clock import elapsed
from dragonflywing.decisions import membership
from dragonflywing.errors import HistoryLost, StoreError
from dragonflywing.links import Link, LinkLost

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
        self.exchanged_at = {}
        self.make_exchange = None
        self.take_exchange = None
        self.on_members = None
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
                self._close_link(instance)
                self.leaving_peers.discard(instance)
                self.exchanged_at.pop(instance, None)
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
            self._close_link(instance)
            self.leaving_peers.discard(instance)
            self.exchanged_at.pop(instance, None)
            self.heard_at[instance] = self._now()
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
        now = self._now()
        return [
            peer
            for name, peer in self.peers.items()
            if name not in self.leaving_peers
            and now - self.heard_at.get(name, 0.0) < SUSPECT_S
        ]

    def homes(self, database):
        """Return the instances that may be a database's home, the first one first."""
        places = {peer.instance: peer.data_centre for peer in self.alive()}
        if not self.leaving or not places:
            places[self.cfg.instance] = self.cfg.data_centre
        order = membership.order(database.name, places)
        return sorted(order, key=lambda name: places[name] != database.data_centre)

    def first_home(self, database):
        """Return the first home among all registered instances, heard of or not."""
        places = {p.instance: p.data_centre for p in self.peers.values()}
        for name in self.leaving_peers:
            places.pop(name, None)
        if not self.leaving or not places:
            places[self.cfg.instance] = self.cfg.data_centre
        order = membership.order(database.name, places)
        return min(order, key=lambda name: places[name] != database.data_centre)

    def silent_s(self, instance):
        """Return the seconds since an instance was heard of."""
        return self._now() - self.heard_at.get(instance, 0.0)

    def is_isolated(self):
        """Return whether this instance hears fewer than half of the others."""
        return 2 * len(self.alive()) < len(self.peers)

    # Exchange

    async def exchange(self):
        """Exchange beliefs with all other instances until cancelled."""
        running, begun = {}, {}
        while True:
            now = self._now()
            for instance in list(self.peers):
                task = running.get(instance)
                recent = now - begun.get(instance, 0.0) < 0.7 * EXCHANGE_S
                if recent and instance in self.exchanged_at:
                    continue
                if task is None or task.done():
                    begun[instance] = now
                    running[instance] = asyncio.create_task(self._exchange(instance))
            unheard = self.peers.keys() - self.exchanged_at.keys()
            pause = UNHEARD_S if unheard else EXCHANGE_S
            await asyncio.sleep(pause * random.uniform(0.8, 1.2))

    async def _exchange(self, instance):
        asked_at = elapsed()
        try:
            answer = await self.call(
                instance, "exchange", self.make_exchange(), EXCHANGE_TIMEOUT_S
            )
        except LinkLost:
            self.metrics.count("link.exchange_failed")
            if self.silent_s(instance) > SUSPECT_S:
                # The connection may have gone silent while new ones work.
                self._close_link(instance)
            return
        self.heard_at[instance] = self._now()
        self.exchanged_at[instance] = asked_at
        await self.take_exchange(instance, answer, asked_at)

    def close(self):
        """Close all connections to other instances."""
        for instance in list(self.links):
            self._close_link(instance)


async def follow(store, prefix, on_list, on_change, metrics):
    """Follow all keys under a prefix until cancelled.

    `on_list(items)` takes a whole list, `on_change(item)` one change after it.
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
        except StoreError as exc:
            if is_up:
                logs.event("store_lost", prefix=prefix, error=str(exc))
            is_up = False
            metrics.count("store.follow_failed")
        except HistoryLost:
            metrics.count("store.history_lost")
            continue
        await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.0))
