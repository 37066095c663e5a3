"""Membership of the fleet, and calls to the other instances.

Instances register in the store and exchange state several times a second. An
instance without such contact for some time is silent and not used.
"""

import asyncio
import contextlib
import json
import random
from typing import NamedTuple, NotRequired, TypedDict

from dragonflywing import decoding, logs
from dragonflywing.clock import boottime
from dragonflywing.decisions import eras, membership, relays
from dragonflywing.decoding import Count, MalformedDocument, Name, Port
from dragonflywing.errors import StoreError
from dragonflywing.following import Follower, retry_pause_s
from dragonflywing.links import Link, LinkLost, pack

FLEET_PREFIX = "dfw/"  # of the keys that instances write
MEMBER_PREFIX = FLEET_PREFIX + "members/"
ERA_KEY = FLEET_PREFIX + "era"  # its value is the era that was marked last
# An instance that crashes stays listed for this long. That is longer than the time
# after which an instance without confirmation refuses all operations, so no share
# of the rates is used twice.
MEMBER_LEASE_S = 9.0
RENEW_S = 2.7
# How long an entry that is missing after an outage of the store is kept. Its instance
# may learn only at its next renewal that the lease has ended.
MEMBER_RESTORE_S = 4.0
EXCHANGE_S = 0.5
EXCHANGE_TIMEOUT_S = 0.6
# Pause while some partner has not answered since it registered, as after a start.
UNANSWERED_PAUSE_S = 0.1
# Time between exchanges with a partner while the fleet's rates are not known yet, as
# after a stop of all instances: reports pass several instances until all know them.
SETTLING_EXCHANGE_S = 0.15
# What an instance said about listing this one counts until its next answers. At the
# start many don't yet, and those that are partners only then don't correct it.
UNLISTED_VALID_S = 1.5
# An instance without an exchange for this long is not chosen as a home.
SILENT_AFTER_S = 1.3
# The same for one known through a relay only; the relay may have to be replaced.
RELAYED_SILENT_AFTER_S = 3.0
# An instance to which its relay has passed on nothing for this long follows the store
# itself.
SERVED_S = 3.0
# How long the list of live instances, and what follows from it, is used before it is
# computed again. A contact from a silent instance ends this at once.
LIVENESS_PERIOD_S = 0.1


class MemberDocument(TypedDict):
    """An instance's entry in the store; see Peer."""

    data_centre: Name
    host: str
    port: Port
    incarnation: Count
    has_permits: NotRequired[bool]
    has_voters: NotRequired[bool]


class Peer(NamedTuple):
    """Another instance, as registered in the store.

    `has_permits` is false for an earlier build, which neither gives nor needs permits,
    `has_voters` for one that tells callers of commits without asking voters.
    """

    instance: str
    data_centre: str
    host: str
    port: int
    incarnation: int
    has_permits: bool = False
    has_voters: bool = False


class Liveness:
    """The live instances at one moment, and what was derived from them.

    `peers` holds the live other instances, `names` their names and `data_centres`
    their data centres. The dictionaries cache the homes of databases, in order, and
    the relays of data centres.
    """

    def __init__(self, peers, valid_until):
        self.peers = peers
        self.names = {peer.instance for peer in peers}
        self.data_centres = {peer.data_centre for peer in peers}
        self.valid_until = valid_until
        self.homes = {}
        self.relays = {}


class Cluster:
    """This instance's registration, the other instances, and calls to them."""

    def __init__(self, settings, store, metrics):
        self.settings = settings
        self.store = store
        self.metrics = metrics
        # The keys that instances write; the owner sets what is called for changes.
        self.keys = Follower(store, FLEET_PREFIX, None, metrics)
        self.eras = eras.EraState()
        self.incarnation = random.getrandbits(40)
        self.peers = {}
        self.links = {}
        self.last_contact_at = {}
        self.leaving_peers = set()
        self.stop = None  # the stopping.Stop of this instance once it has begun
        self.answered = set()  # peers that answered an exchange since they registered
        self._current_partners = set()  # the partners of the latest round
        self._member_added = asyncio.Event()
        self._last_question_at = {}  # when each instance last sent a question
        self._served_at = {}  # when each instance last passed on the store's changes
        self._registered_at = {}  # when each instance's entry was last new
        self.make_question = None
        self.apply_answer = None
        self.is_settling = lambda: False  # whether the fleet's rates are awaited
        self.find_floor_partners = set
        self.floor_partners = set()  # the instances whose floors this one uses
        self._order_cache = {}
        self._liveness = None
        self._member_lease = None
        self._entry_removed = asyncio.Event()
        self._unlisted_by = {}  # when each instance last said not to list this one

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
            "has_permits": True,
            "has_voters": True,
        }
        key = MEMBER_PREFIX + self.settings.instance
        lease_s = max(MEMBER_LEASE_S, self.settings.lease_min_s)
        failures = 0
        while True:
            pause = RENEW_S
            try:
                lease = self._member_lease
                if not lease or not await self.store.keep_lease(lease):
                    self._member_lease = None
                    lease = await self.store.grant_lease(lease_s)
                    value = json.dumps(entry).encode()
                    if await self.store.swap(key, value, None, lease) is None:
                        raise StoreError("the lease ended before it was used", False)
                    self._member_lease = lease
                    logs.event("registered", instance=self.settings.instance)
                failures = 0
            except StoreError as exc:
                self.metrics.count("store.register_failed")
                logs.event("register_failed", error=str(exc))
                failures += 1
                pause = retry_pause_s(failures)
            self._entry_removed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause * random.uniform(0.8, 1.0)):
                    await self._entry_removed.wait()

    def _apply_own_entry(self, value):
        """Register again if this instance's entry was removed.

        A write without an answer may be done seconds later, with a lease that was
        given up; the entry then ends with that lease while another one is renewed.
        """
        if value is not None or not self._member_lease or self.leaving:
            return
        self.metrics.count("member.entry_removed")
        logs.event("own_entry_removed", instance=self.settings.instance)
        self._member_lease = None
        self._entry_removed.set()

    def note_listed(self, instance, is_listed):
        """Note whether another instance lists this one."""
        if is_listed:
            self._unlisted_by.pop(instance, None)
            return
        if instance not in self._unlisted_by:
            self.metrics.count("member.unlisted")
            logs.event("not_listed", by=instance)
        self._unlisted_by[instance] = self._now()

    def unlisted_by(self):
        """Return a live instance that doesn't list this one, or None.

        Those that still do have learned nothing of its end, so they keep its share.
        """
        if not self._unlisted_by:
            return None
        since = self._now() - UNLISTED_VALID_S
        recent = {name for name, at in self._unlisted_by.items() if at > since}
        live = recent & self.liveness().names
        return min(live) if live else None

    async def withdraw(self):
        """Remove this instance's entry."""
        if self._member_lease:
            try:
                await self.store.end_lease(self._member_lease)
            except StoreError as exc:
                logs.event("withdraw_failed", error=str(exc))

    def apply_member(self, key, value):
        """Apply another instance's entry; `value` is None if it was removed.

        Return whether the known instances have changed.
        """
        instance = key[len(MEMBER_PREFIX) :]
        if instance == self.settings.instance:
            self._apply_own_entry(value)
            return False
        if value is None:
            if not self.peers.pop(instance, None):
                return False
            self._forget_member(instance)
            return True
        try:
            entry = decoding.decode(value, MemberDocument)
            decoding.check_name(instance)
            peer = Peer(
                instance, **entry | {"host": decoding.check_host(entry["host"])}
            )
        except MalformedDocument:
            self.metrics.count("refused.bad_member")
            logs.warn("bad_member", instance=instance)
            return False
        if self.peers.get(instance) == peer:
            return False
        self.peers[instance] = peer
        self._forget_member(instance)
        self.last_contact_at[instance] = self._registered_at[instance] = self._now()
        self._member_added.set()
        return True

    def _forget_member(self, instance):
        """Forget what is known about an instance that was replaced or removed."""
        self._order_cache.clear()
        self._liveness = None
        self._close_link(instance)
        self.leaving_peers.discard(instance)
        self.answered.discard(instance)

    @property
    def leaving(self):
        """Whether this instance is being stopped."""
        return self.stop is not None

    def leave(self, stop):
        """Note this instance's Stop; it becomes the home of no database."""
        self.stop = stop
        self._liveness = None

    def note_leaving(self, instances):
        """Mark other instances as leaving."""
        if not instances <= self.leaving_peers:
            self.leaving_peers |= instances
            self._liveness = None

    def _close_link(self, instance):
        link = self.links.pop(instance, None)
        if link is not None:
            link.close()

    # The store's era

    def note_era(self, era):
        """Note an era of the store."""
        eras.note_era(self.eras, boottime(), era)

    def apply_mark(self, item):
        """Apply the key that marks the store's era."""
        try:
            era = int(item.value or 0)
        except ValueError:
            self.metrics.count("refused.bad_era")
            logs.warn("bad_era", value=str(item.value)[:40])
            return
        eras.note_mark(self.eras, era, item.revision)

    async def mark_era(self):
        """Mark the store's present era, if it is not marked and long enough known."""
        era = self.eras.era
        is_settled = eras.is_settled(self.eras, boottime(), eras.MARK_AFTER_S)
        if eras.is_marked(self.eras) or not is_settled:
            return
        revision = await self.store.swap(ERA_KEY, str(era).encode(), None)
        if revision is not None and revision.era == era:
            eras.note_mark(self.eras, era, revision)
            logs.event("era_marked", era=era)

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

    def liveness(self):
        """Return the current Liveness."""
        now = self._now()
        if self._liveness is None or now >= self._liveness.valid_until:
            is_small = self.is_small()
            peers = [
                peer
                for name, peer in self.peers.items()
                if name not in self.leaving_peers
                and not self._is_silent(name, now, is_small)
            ]
            self._liveness = Liveness(peers, now + LIVENESS_PERIOD_S)
        return self._liveness

    def alive(self):
        """Return the other instances that are neither silent nor leaving."""
        return self.liveness().peers

    def is_silent(self, instance):
        """Return whether there has been no contact to an instance for too long."""
        return self._is_silent(instance, self._now(), self.is_small())

    def _is_silent(self, instance, now, is_small):
        silent_s = now - self.last_contact_at.get(instance, 0.0)
        if silent_s < SILENT_AFTER_S:
            return False
        if is_small or silent_s >= RELAYED_SILENT_AFTER_S:
            return True
        asked_at = self._last_question_at.get(instance, 0.0)
        return (
            instance in self._current_partners
            or now - asked_at < RELAYED_SILENT_AFTER_S
        )

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

    def data_centre_of(self, instance):
        """Return an instance's data centre, None if the instance is not known."""
        if instance == self.settings.instance:
            return self.settings.data_centre
        peer = self.peers.get(instance)
        return peer.data_centre if peer else None

    def home_candidates(self, database, allowed=None):
        """Return the live instances in the order in which they become the home.

        `allowed` holds the data centres of those that a statement may pass through,
        besides this instance; None stands for all. The list is cached and must not be
        changed.
        """
        liveness = self.liveness()
        if allowed is not None:
            return self._allowed_candidates(liveness, database, allowed)
        key = (database.name, database.data_centre)
        if key not in liveness.homes:
            order = self._order(*key)
            serves = not self.leaving or not liveness.names
            own = self.settings.instance
            liveness.homes[key] = [
                name
                for name in order
                if name in liveness.names or (serves and name == own)
            ]
        return liveness.homes[key]

    def _allowed_candidates(self, liveness, database, allowed):
        key = (database.name, database.data_centre, allowed)
        if key not in liveness.homes:
            own = self.settings.instance
            liveness.homes[key] = [
                name
                for name in self.home_candidates(database)
                if name == own or self.data_centre_of(name) in allowed
            ] or [own]
        return liveness.homes[key]

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
        liveness = self.liveness()
        if data_centre not in liveness.relays:
            eligible = {
                p.instance for p in liveness.peers if p.data_centre == data_centre
            }
            if data_centre == self.settings.data_centre and not self.leaving:
                eligible.add(self.settings.instance)
            order = self._order("relay", data_centre)
            liveness.relays[data_centre] = next(
                (name for name in order if name in eligible), None
            )
        return liveness.relays[data_centre]

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
        self.floor_partners = self.find_floor_partners()
        return (partners | self.floor_partners) & registered.keys()

    def rank(self, subject):
        """Return this instance's rank among those that act for the whole fleet.

        In a large fleet these are the relays, and all others come after them.
        """
        role = self.role()
        if role is relays.Role.DIRECT:
            names = self.liveness().names
        else:
            names = {name for name in self.relays().values() if name}
        if role is relays.Role.MEMBER:
            return len(names)
        return membership.rank(subject, self.settings.instance, names)

    def is_served(self):
        """Return whether the relay passes on the changes of the store's keys."""
        if self.role() is not relays.Role.MEMBER:
            return False
        relay = self.relay(self.settings.data_centre)
        # A relay that was just registered or chosen has some time to answer first.
        since = max(
            self._served_at.get(relay, 0.0), self._registered_at.get(relay, 0.0)
        )
        return self._now() - since < SERVED_S

    def note_served(self, instance):
        """Note that an instance has passed on the store's changes that it knows."""
        self._served_at[instance] = self._now()

    def note_contact(self, instance):
        """Note a contact with an instance."""
        self.last_contact_at[instance] = self._now()
        if instance in self.peers and instance not in self.leaving_peers:
            self._note_live({instance})

    def _note_live(self, instances):
        """Compute the live instances anew if one of these was not among them."""
        if self._liveness is not None and not instances <= self._liveness.names:
            self._liveness = None

    def note_question(self, instance):
        """Note a question from an instance; in a large fleet it counts as a contact."""
        self._last_question_at[instance] = self._now()
        if not self.is_small():
            self.note_contact(instance)

    def note_relayed(self, scope, silent, leaving):
        """Apply a relay's report on the silent and leaving instances of `scope`."""
        now = self._now()
        live = scope - set(silent)
        for name in live:
            self.last_contact_at[name] = now
        for name in (scope & set(silent)) - self._current_partners:
            self.last_contact_at[name] = now - RELAYED_SILENT_AFTER_S
        self.note_leaving(scope & set(leaving))
        self._note_live(live - self.leaving_peers)

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
            is_settling = self.is_settling()
            interval_s = SETTLING_EXCHANGE_S if is_settling else EXCHANGE_S
            for instance in partners:
                task = running.get(instance)
                recently_started = (
                    now - started_at.get(instance, 0.0) < 0.7 * interval_s
                )
                if recently_started and instance in self.answered:
                    continue
                if task is None or task.done():
                    started_at[instance] = now
                    running[instance] = asyncio.create_task(self._exchange(instance))
            unanswered = partners - self.answered
            pause = UNANSWERED_PAUSE_S if unanswered else interval_s
            await self._wait_for_member(pause * random.uniform(0.8, 1.2))

    async def _wait_for_member(self, pause_s):
        """Wait for a time, or until an instance registers."""
        self._member_added.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._member_added.wait()

    async def _exchange(self, instance):
        asked_at = boottime()
        question = self.make_question(instance)
        try:
            answer = await self.call(
                instance, "exchange", pack(question), EXCHANGE_TIMEOUT_S
            )
        except LinkLost:
            self.metrics.count("link.exchange_failed")
            return
        self.note_contact(instance)
        self.answered.add(instance)
        try:
            await self.apply_answer(instance, question, answer, asked_at)
        except Exception as exc:
            # An answer that can't be read raises errors of many types.
            self.metrics.count("refused.bad_exchange")
            logs.warn("bad_exchange", instance=instance, error=repr(exc)[:200])

    def close(self):
        """Close all connections to other instances."""
        for instance in list(self.links):
            self._close_link(instance)
