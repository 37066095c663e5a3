"""Replaces primaries; one instance at a time holds this duty.

The duty is a key in the store under a lease. The era and revision at which the holder
wrote the key are the fencing token of its promotions, so a later holder's token
is greater.
"""

import asyncio
import enum
import json
import random

from dragonflywing import decoding, logs
from dragonflywing.clock import boottime
from dragonflywing.decisions import (
    eras,
    orders,
    permits,
    regions,
    replacement,
    rosters,
)
from dragonflywing.decisions.eras import ABSENT
from dragonflywing.decisions.positions import ZERO, confirmed_primary
from dragonflywing.decisions.relays import Role
from dragonflywing.decoding import Count, MalformedDocument
from dragonflywing.errors import StoreError
from dragonflywing.granting import Granting
from dragonflywing.groups import as_vote
from dragonflywing.order_records import OrderRecords
from dragonflywing.supervisor import spawn

DUTY_KEY = "dfw/duty/promotion"
ROSTER_PREFIX = "dfw/groups/"
# Another instance takes over from a dead holder after this time.
DUTY_LEASE_S = eras.LEASE_S
RENEW_S = 0.8
START_POLL_S = 0.05  # until the databases and evacuations are known
# How long an instance that has just started waits for the entries of others that start
# with it, before it knows its role and rank. Without them each would acquire the duty.
START_SETTLE_S = 0.3
# The holder stops ordering promotions this long before its lease can end.
LEASE_MARGIN_S = 0.5
CHECK_INTERVAL_S = 0.2  # for each group
# A floor younger than this shows that the primary answers. Floors are refreshed twice
# a second, and exchanged twice a second.
HEALTHY_AGE_S = 1.1
# Databases of a healthy group are queried this often, to notice lagging replicas.
STATUS_INTERVAL_S = 1.5
# The same while the roster differs from the listed databases.
ROSTER_STATUS_INTERVAL_S = 0.4
PROMOTE_TIMEOUT_S = 2.5  # an answer usually takes milliseconds
# An order is sent within this time of the first pause; then databases are paused anew.
PAUSED_FOR_S = 3.5
# Statuses with which the platform refuses an order.
REFUSED_STATUSES = frozenset({400, 403, 404, 409, 429, 503})
PROMOTION_EFFECT_TIMEOUT_S = 2.5  # usually some hundred ms after the order
PROMOTION_POLL_S = 0.05
# How long a database outside of an evacuated data centre may take to receive what it
# lacks: several round trips between regions. Without success, the next attempt begins
# after this pause.
CATCH_UP_S = 0.3
CATCH_UP_POLL_S = 0.02
EVACUATION_RETRY_S = 0.5
LIST_TIMEOUT_S = 0.3  # of reading the databases' entries during a replacement
ACQUIRE_DELAY_S = 0.1  # for each rank, so that instances try one after the other
MAX_RANKS_DELAYED = 5
# Delay of the instances of a large fleet that are no relays.
MEMBER_ACQUIRE_DELAY_S = 4.0


class PromotionOutcome(enum.Enum):
    """What came of an order; one whose outcome is unknown may take effect later."""

    DONE = "done"
    NOT_ORDERED = "not_ordered"
    UNKNOWN = "unknown"


def _terms(statuses):
    """Return the terms of databases' statuses, {name: DatabaseStatus}."""
    return [status.term for status in statuses.values()]


def _position(position):
    return f"{position.term}/{position.index}"


def _describe(name, status):
    """Return a database's status in a form for log lines that list several."""
    kind = "primary" if status.is_primary else "replica"
    text = f"{name}:{kind}:{_position(status.received)}"
    return f"{text}:promised:{status.promised_term}" if status.promised_term else text


def _is_paused(before, status, term):
    """Return whether a database's status after PAUSE or STEPDOWN tells that it obeys.

    A PAUSE for a term that isn't later than the database's has no effect, as once an
    earlier order has taken effect.
    """
    if status is None or status.is_primary or status.received < before.received:
        return False  # or it was born again, without its log
    return before.is_primary or status.term < term


def _status_fields(status):
    """Return the fields of a log line about a database's status, none for None."""
    if status is None:
        return {}
    return {
        "term": status.term,
        "promised": status.promised_term,
        "received": _position(status.received),
    }


class Replacer:
    """Acquires the duty if it is free, and replaces primaries while it holds it."""

    def __init__(self, node):
        self.node = node
        self.groups = node.groups
        self.cluster = node.cluster
        self.router = node.router
        self.store = node.ports.store
        self.metrics = node.metrics
        self.token = 0
        self.claimed = ABSENT  # the revision at which the key was written
        self.lease = None
        self.valid_until = 0.0
        self._health = {}
        self._running = {}
        self._orders = set()  # tasks of the orders that are under way
        self.order_records = OrderRecords(
            self.store,
            self.groups,
            self.metrics,
            lambda: (DUTY_KEY, self.claimed),
        )
        self.granting = Granting(
            node.settings, self.groups, self.cluster, self.holds_duty
        )
        # Whether the roster's replicas receive what the primary of a group writes.
        self._receiving = {}
        self._duty_item = None
        self._held_since = 0.0
        # Until when the evacuation of a group's primary is not tried again.
        self._evacuation_retry_at = {}
        self._roster_states = {}
        self._roster_revisions = {}

    def apply_duty(self, item):
        """Apply the state of the duty's key; None or no value means that it is free."""
        self._duty_item = item if item is not None and item.value is not None else None
        if self.token and item is not None and item.revision > self.claimed:
            if item.value != self._holder_id():
                self._lose_duty("key_changed")

    def apply_roster(self, item):
        """Apply a group's roster from the store.

        One that a restore may have brought back is only added to the known one.
        """
        group = item.key[len(ROSTER_PREFIX) :]
        is_stored = item.value is not None
        self._roster_revisions[group] = item.revision if is_stored else ABSENT
        try:
            start_times = (
                decoding.decode(item.value, dict[str, Count]) if is_stored else {}
            )
        except MalformedDocument:
            self.metrics.count("refused.bad_roster")
            logs.warn("bad_roster", group=group)
            return
        is_outdated = eras.may_be_outdated(self.cluster.eras, item.revision)
        self.groups.note_roster(group, start_times, is_outdated)

    def holds_duty(self):
        """Return whether this instance may order promotions."""
        return self._order_left_s(self.token) > 0

    def _order_left_s(self, token):
        """Return for how many seconds an order with this token may be delivered.

        Between an earlier token and the present one, another instance may have held
        the duty.
        """
        if not token or token != self.token:
            return 0.0
        left_s = self.valid_until - LEASE_MARGIN_S - boottime()
        return min(left_s, PROMOTE_TIMEOUT_S)

    # The duty

    async def run(self):
        """Acquire and renew the duty until cancelled."""
        is_new = True
        while True:
            pause = RENEW_S
            try:
                if self.lease and self.token:
                    await self._renew()
                if not self._has_lists():
                    pause = START_POLL_S
                elif not self.token:
                    if is_new and self._duty_item is None:
                        await asyncio.sleep(START_SETTLE_S)
                    is_new = False
                    await self._acquire()
                if self.token:
                    await self.cluster.mark_era()
            except StoreError as exc:
                self.metrics.count("duty.store_failed")
                logs.event("duty_store_failed", error=str(exc))
                pause = 0.4
            await asyncio.sleep(pause * random.uniform(0.8, 1.0))

    async def _renew(self):
        asked_at = boottime()
        if await self.store.keep_lease(self.lease):
            self.valid_until = asked_at + DUTY_LEASE_S
            return
        self._lose_duty("lease_ended")

    def _lose_duty(self, reason):
        logs.event("duty_lost", token=self.token, reason=reason)
        self.granting.end()
        if self.claimed.era == self.cluster.eras.era:
            self.valid_until = 0.0
        self.token = 0
        self.lease = None
        for order in self._orders:
            self.metrics.count("promotion.dropped")
            order.cancel()

    def _holder_id(self):
        return f"{self.node.settings.instance}/{self.cluster.incarnation}".encode()

    def _has_lists(self):
        directory = self.node.directory
        return directory.has_database_list and directory.has_evacuation_list

    async def _acquire(self):
        """Acquire the duty if it is free, after the instances of a lower rank."""
        if self.cluster.leaving:
            return
        if self._is_held() or not self._may_claim():
            return
        if self._duty_item is None:  # otherwise no other instance may acquire it
            await asyncio.sleep(self._acquire_delay_s())
        item = self._duty_item
        if self._is_held():
            return
        if item is not None and item.revision.era < self.cluster.eras.era:
            item, _ = await self.store.get(DUTY_KEY)
            self.apply_duty(item)
            if self._is_held():
                return
        asked_at = boottime()
        if not self.lease:
            self.lease = await self.store.grant_lease(DUTY_LEASE_S)
            if not self._may_claim():  # the answer told of another era
                return
        elif not await self.store.keep_lease(self.lease):
            self.lease = None
            return
        claimed = await self._claim(item)
        if claimed is None:
            # The copy of the keys lags behind, so read the key itself.
            current, _ = await self.store.get(DUTY_KEY)
            self.apply_duty(current)
            return
        # The copy of the rosters may lag behind too; promotions depend on them.
        (rosters_now, _), orders_now = await asyncio.gather(
            self.store.get_prefix(ROSTER_PREFIX), self.order_records.read()
        )
        for roster in rosters_now:
            self.apply_roster(roster)
        self.order_records.apply(orders_now)
        self.claimed, self.token = claimed, eras.fencing_token(claimed)
        self.valid_until = asked_at + DUTY_LEASE_S
        self._held_since = boottime()
        self.granting.begin(self.token)
        self._health.clear()
        self._receiving.clear()
        logs.event("duty_taken", token=self.token)

    def _may_claim(self):
        """Return whether no holder of an earlier era may still order promotions.

        The store may have forgotten a lease on which its holder relies.
        """
        now = boottime()
        was_own = now < self.valid_until
        return was_own or eras.is_settled(self.cluster.eras, now, eras.LEASE_S)

    def _is_held(self):
        """Return whether another instance holds the duty."""
        item = self._duty_item
        return item is not None and not self._is_from_earlier_process()

    def holder(self):
        """Return the name of the instance that holds the duty, None if none does."""
        item = self._duty_item
        return decoding.decode_text(item.value).split("/")[0] if item else None

    def _acquire_delay_s(self):
        """Return how long to leave the duty to the instances of a lower rank.

        In a large fleet the relays are asked first, so that instances that learn
        late of the holder do not all ask the store.
        """
        rank = self.cluster.rank("duty")
        if self.cluster.role() is not Role.MEMBER:
            return min(rank, MAX_RANKS_DELAYED) * ACQUIRE_DELAY_S
        return MEMBER_ACQUIRE_DELAY_S * random.uniform(1.0, 2.0)

    def _is_from_earlier_process(self):
        # The holder was an earlier process of this instance, which has ended.
        return self.holder() == self.node.settings.instance

    async def _claim(self, item):
        """Write the duty's key; return its revision, None if another one holds it."""
        revision, value = item.revision if item else ABSENT, self._holder_id()
        try:
            claimed = await self.store.swap(DUTY_KEY, value, revision, self.lease)
        except StoreError as exc:
            if not exc.may_have_run:
                raise
            current, _ = await self.store.get(DUTY_KEY)
            is_own = current is not None and current.value == value
            claimed = current.revision if is_own else None
        # The lease may belong to another one in a later era.
        is_valid = claimed is not None and claimed.era == self.lease.era
        return claimed if is_valid else None

    async def release_duty(self):
        """Release the duty, so that another instance can acquire it at once.

        Orders that are under way end first. If it isn't known whether they take
        effect, the lease ends by itself.
        """
        self.token = 0
        self.granting.end()
        if self._orders:
            await asyncio.wait(self._orders)
        unresolved = self.order_records.unfinished()
        if unresolved:
            logs.event("duty_left", unresolved=",".join(sorted(unresolved)))
        elif self.lease:
            try:
                await self.store.end_lease(self.lease)
            except StoreError as exc:
                logs.event("duty_not_given_up", error=str(exc))

    # Watching primaries

    async def watch(self):
        """Check all groups while this instance holds the duty, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self.holds_duty() or self.node.directory.cfg is None:
                self._health.clear()
                continue
            for group in self.node.directory.cfg.groups:
                task = self._running.get(group)
                if task is None or task.done():
                    self._running[group] = asyncio.create_task(self._check_group(group))

    def _is_healthy(self, group, health):
        """Return whether the group's state is recent and needs no query now."""
        state = self.groups.state(group)
        database = self.groups.databases.get(state.primary)
        if database is None or database.is_leaving:
            return False
        now = boottime()
        if health.is_behind or self._is_evacuation_due(group, database, now):
            return False
        leader = self.granting.leader(group)
        if leader is None or leader.term < state.term:
            return False
        if state.floor is not None:
            health.seen_at = max(health.seen_at, state.floor.asked_at)
        listed = {item.name for item in self.groups.members(group)}
        is_settled = listed == self.groups.rosters.get(group, {}).keys()
        ask_s = STATUS_INTERVAL_S if is_settled else ROSTER_STATUS_INTERVAL_S
        is_recent = now - health.seen_at < HEALTHY_AGE_S
        return is_recent and now - health.asked_at < ask_s

    def _is_evacuation_due(self, group, database, now):
        """Return whether a group's primary is to be replaced for an evacuation."""
        if not self.groups.is_evacuated(database.name):
            return False
        return now >= self._evacuation_retry_at.get(group, 0.0)

    async def _check_group(self, group):
        members = self.groups.members(group)
        if not members:
            return
        now = boottime()
        health = self._health.setdefault(group, replacement.HealthState(now))
        state = self.groups.state(group)
        if self._is_healthy(group, health):
            return
        health.asked_at, token = now, self.token
        excluded = self.granting.excluded(group)
        statuses = dict(
            zip(
                [item.name for item in members],
                await asyncio.gather(*[self.router.status_of(m.name) for m in members]),
                strict=True,
            )
        )
        reachable = {name: status for name, status in statuses.items() if status}
        rosters.note_answers(health.unanswered, now, statuses)
        confirmed = self._confirm_primary(group, set(statuses), reachable)
        await self._update_roster(group, set(statuses), reachable, confirmed, excluded)
        if token != self.token:
            return  # another holder may have replaced the primary meanwhile
        if await self._finish_order(group):
            return
        self._update_permit(group, confirmed, reachable, health.unanswered)
        if self._exclude(group):
            health.asked_at = 0.0  # the roster may shrink soon
        if self.granting.leader(group) is not None:
            await self.order_records.settle(group)
        primaries = [n for n, status in reachable.items() if status.is_primary]
        if primaries:
            primary = max(primaries, key=lambda name: reachable[name].term)
            others = [s.received for n, s in reachable.items() if n != primary]
            replacement.record_positions(
                health, boottime(), reachable[primary].received, others
            )
            database = self.groups.databases.get(primary)
            if self.groups.is_evacuated(primary):
                # Until a database elsewhere can lead, it stays the primary.
                if self._is_evacuation_due(group, database, now):
                    await self._evacuate(group, primary, reachable)
                return
            if database is not None and database.is_leaving:
                await self._replace(group, "leaving")
                return
            await self._resume_forgotten(group, reachable[primary], reachable)
        elif state.primary in reachable:
            # The former primary answers as a replica, so the group has no primary.
            logs.event("no_leader", group=group, was=state.primary)
        now = boottime()
        if replacement.is_silent(health, now):
            await self._replace(group, "silent")
        elif replacement.is_stalled(health, now):
            await self._replace(group, "stalled")

    def _confirm_primary(self, group, listed, reachable):
        """Return the Status of the primary that a quorum confirms, or None."""
        trusted = self._trusted(reachable)
        votes = [as_vote(name, status) for name, status in trusted.items()]
        needed = rosters.votes_needed(
            self.groups.quorum(group),
            listed,
            set(trusted),
            self.groups.sync_replicas(group),
        )
        primary = confirmed_primary(votes, len(listed), needed)
        if primary is not None and primary.term < self.groups.state(group).term:
            return None
        return primary

    def _trusted(self, statuses):
        """Return the statuses of the databases that were not born again."""
        return {n: s for n, s in statuses.items() if n not in self.groups.reborn}

    def _update_permit(self, group, primary, reachable, unanswered):
        """Permit the confirmed primary, with the voters that count for its commits.

        Instances of an earlier build ask no voters, so that a database outside the
        roster may be the only one that holds a commit. If there are some, the roster's
        replicas must receive the primary's writes.
        """
        if primary is None:
            return
        roster = self.groups.rosters.get(group, {})
        received = [
            status.received
            for name, status in self._trusted(reachable).items()
            if name in roster and name != primary.database
        ]
        state = self._receiving.setdefault(group, replacement.HealthState(boottime()))
        replacement.record_positions(state, boottime(), primary.received, received)
        needs_replica = self.groups.sync_replicas(group) > 0 and len(roster) > 1
        is_unsafe = state.is_behind or (needs_replica and not received)
        if is_unsafe and not all(x.has_voters for x in self.cluster.peers.values()):
            self.granting.withdraw(group)
            return
        known = self.granting.leader(group)
        if known is not None and known[:2] == (primary.database, primary.term):
            base = known.base
        else:
            order = self.order_records.get(group)
            is_ordered = order is not None and order.database == primary.database
            base = order.base if is_ordered and order.term < primary.term else ZERO
        voters = rosters.choose_voters(
            self._voters(group, roster.keys()),
            {item.name for item in self.groups.members(group) if item.is_leaving},
            rosters.silent(unanswered, boottime()),
            primary.database,
            self.groups.sync_replicas(group),
        )
        self.granting.permit(
            group, permits.Leader(primary.database, primary.term, base, voters)
        )

    def _exclude(self, group):
        """Exclude the databases of a group's roster that are no voters in its permit.

        Return whether some were added.
        """
        roster = self.groups.rosters.get(group, {}).keys()
        leader = self.granting.leader(group)
        return self.granting.exclude(group, roster - leader.voters if leader else set())

    def _voters(self, group, roster):
        """Return the databases of a roster that count for commits.

        They are listed, so that a replacement asks them, and have not lost their data.
        Without a roster, a replacement counts those that are listed.
        """
        listed = {item.name for item in self.groups.members(group)}
        roster = roster or self.groups.quorum_names(group)
        return frozenset((roster & listed) - self.groups.reborn)

    async def _finish_order(self, group):
        """Complete an order that has had no effect; return whether there is one.

        Until it has had one, or comes too late, the group's primary is not permitted.
        """
        if not self.order_records.is_unfinished(group):
            return False
        self.granting.withdraw(group)
        if self.order_records.may_resend(group):
            await self._replace(group, "unfinished")
        return True

    async def _update_roster(self, group, listed, reachable, primary, excluded):
        """Compute the group's roster and write it to the store if it has changed.

        The `excluded` databases had counted for no commit when the others were asked.
        """
        recorded = self.groups.rosters.get(group, {})
        trusted = self._trusted(reachable)
        sync_replicas = self.groups.sync_replicas(group)
        if primary is None and group in self.groups.outdated_rosters:
            return
        names = rosters.compute_roster(
            self._roster_states.setdefault(group, rosters.RosterState()),
            set(recorded),
            listed,
            primary.database if primary else None,
            {name: status.received for name, status in trusted.items()},
            sync_replicas,
            excluded,
        )
        await self._write_roster(group, names)

    async def _write_roster(self, group, names):
        """Write the roster of these names to the store if it differs."""
        recorded = self.groups.rosters.get(group, {})
        start_times = {
            name: self._trusted_start(name, recorded) for name in sorted(names)
        }
        is_recorded = (
            start_times == recorded and group not in self.groups.outdated_rosters
        )
        if is_recorded or not self.holds_duty():
            return
        if not eras.is_marked(self.cluster.eras):
            return  # it would count as outdated itself
        revision = self._roster_revisions.get(group, ABSENT)
        value = json.dumps(start_times).encode()
        try:
            # A roster of a former holder must not replace that of a later one.
            written = await self.store.swap(
                ROSTER_PREFIX + group,
                value,
                revision,
                guard=(DUTY_KEY, self.claimed),
            )
        except StoreError as exc:
            # If it was written after all, the watch reports it.
            self.metrics.count("roster.store_failed")
            logs.event("roster_not_written", group=group, error=str(exc))
            return
        if written:
            self._roster_revisions[group] = written
            self.groups.note_roster(group, start_times)

    def _trusted_start(self, name, recorded):
        """Return the start time to record for a database.

        The current one is recorded only if the database holds all writes that it has
        acknowledged. For a reborn or unlisted one the recorded start time stays.
        """
        database = self.groups.databases.get(name)
        if database is None or name in self.groups.reborn:
            return recorded.get(name, 0)
        return database.born

    # Replacing

    async def _evacuate(self, group, primary, reachable):
        """Replace an evacuated primary if a database elsewhere can lead."""
        voters, quorum = self.groups.quorum_names(group), self.groups.quorum(group)
        received = {
            name: status.received
            for name, status in reachable.items()
            if name in voters and name not in self.groups.reborn
        }
        unusable = {name for name in received if not self._is_promotable(name)}
        plan = replacement.plan_evacuation(received, primary, unusable, quorum)
        if plan is None:
            self.metrics.count("replacement.evacuation_waits")
            logs.event("evacuation_waits", group=group, primary=primary)
        else:
            await self._replace(group, "evacuated", plan)
        self._evacuation_retry_at[group] = boottime() + EVACUATION_RETRY_S

    async def _resume_forgotten(self, group, primary, statuses):
        """Let replicas receive that a former holder of the duty has left paused.

        Its last order has taken effect by now, or never will.
        """
        if boottime() - self._held_since < PROMOTION_EFFECT_TIMEOUT_S:
            return
        forgotten = [
            self._as_paused(self.groups.databases[name], status)
            for name, status in statuses.items()
            if not status.is_primary
            and status.promised_term > primary.term
            and name in self.groups.databases
        ]
        if forgotten:
            self.metrics.count("replacement.forgotten_pause")
            names = logs.join(item.database for item in forgotten)
            logs.event("forgotten_pause", group=group, databases=names)
            await self._resume_databases(group, forgotten, self.token)

    async def _replace(self, group, reason, plan=None):
        """Replace a primary; `plan` is a replacement.Evacuation if it is evacuated."""
        token = self.token
        members = self.groups.members(group)
        voters, quorum = self.groups.quorum_names(group), self.groups.quorum(group)
        statuses = await self._statuses(members)
        terms = [max(s.term, s.promised_term) for s in statuses.values()]
        term = max([self.groups.state(group).term, *terms]) + 1
        read_at = boottime()
        logs.event(
            "replacement_started",
            group=group,
            reason=reason,
            term=term,
            token=token,
            primary=self.groups.state(group).primary,
            reached=len(statuses),
            quorum=quorum,
            sync_replicas=self.groups.sync_replicas(group),
            list_age_s=self.groups.entries_age(),
            voters=logs.join(voters),
            roster=logs.join(self.groups.rosters.get(group, ())),
            listed=logs.join(item.name for item in self.groups.members(group)),
            unlisted=logs.join(voters & self.groups.unlisted.keys()),
            reborn=logs.join(voters & self.groups.reborn),
            statuses=logs.join(map(_describe, statuses, statuses.values())),
        )
        self.metrics.count(f"replacement.{reason}")
        if reason == "silent" and any(s.is_primary for s in statuses.values()):
            logs.event("replacement_not_needed", group=group)
            self._health[group].seen_at = boottime()
            return
        primaries = [name for name, status in statuses.items() if status.is_primary]
        if plan is not None and not any(map(self.groups.is_evacuated, primaries)):
            logs.event("replacement_not_needed", group=group)
            return
        if len(statuses.keys() & voters) < quorum or not self._has_promotable(statuses):
            logs.event("replacement_refused", group=group, reached=len(statuses))
            self.metrics.count("replacement.refused")
            return
        if self._order_left_s(token) > 0:
            await self.granting.revoke(group)
        if self._order_left_s(token) <= 0:
            logs.event("replacement_stopped", group=group, reason="duty_lost")
            return
        if reason == "unfinished" and not self.order_records.is_unfinished(group):
            logs.event("replacement_not_needed", group=group)
            return
        asked = {item.name for item in members}
        await self._pause_and_promote(
            group, asked, statuses, term, token, plan, read_at
        )

    async def _pause_and_promote(
        self, group, asked, statuses, term, token, plan, read_at
    ):
        """Pause a group's databases, and promote the one that is chosen.

        No caller is told of a commit meanwhile. `statuses` are those of the databases
        that were `asked` at `read_at`; those that are listed since are queried now.
        """
        paused_at = boottime()
        members = await self._read_members(group)
        new = [item for item in members if item.name not in asked]
        statuses = statuses | await self._statuses(new)
        voters, quorum = self.groups.quorum_names(group), self.groups.quorum(group)
        paused = []
        if plan is not None:
            paused, may_lead = await self._prepare_evacuation(
                group, members, statuses, term, plan, quorum
            )
            if not may_lead:
                self.metrics.count("replacement.evacuation_late")
                logs.event("evacuation_late", group=group, term=term)
                await self._resume_databases(group, paused, token)
                return
        done = {item.database for item in paused}
        others = [item for item in members if item.name not in done]
        paused += await self._pause_databases(others, statuses, term)
        paused = [x._replace(is_voter=x.database in voters) for x in paused]
        earlier = self.order_records.pending(group)
        chosen = replacement.choose(paused, quorum, earlier and earlier.database)
        self._log_choice(
            group,
            chosen,
            paused,
            voters,
            quorum=quorum,
            term=term,
            token=token,
            statuses_age_s=boottime() - read_at,
        )
        outcome = PromotionOutcome.NOT_ORDERED
        if chosen is not None and self._is_still_usable(chosen):
            base = next(x.received for x in paused if x.database == chosen)
            terms = [*_terms(statuses), *(item.term for item in paused)]
            known_term = max([self.groups.state(group).term, *terms])
            outcome = await self._promote(
                group, chosen, known_term, term, token, base, paused_at, paused
            )
        elif earlier is not None:
            logs.event("order_awaited", group=group, database=earlier.database)
        if outcome is PromotionOutcome.NOT_ORDERED:
            await self._resume_databases(group, paused, token)
        if outcome is not PromotionOutcome.DONE:
            return
        self._health.pop(group, None)

    async def _read_members(self, group):
        """Return a group's databases as they are listed in the store now.

        If the store can't be asked in time, they are those that are known.
        """
        directory = self.node.directory
        try:
            async with asyncio.timeout(LIST_TIMEOUT_S):
                await directory.entries.read_now()
        except (StoreError, TimeoutError) as exc:
            logs.event("databases_not_read", group=group, error=repr(exc)[:200])
        return self.groups.members(group)

    def _is_still_usable(self, name):
        """Return whether a database is still listed, with the log that was read."""
        return name in self.groups.databases and name not in self.groups.reborn

    def _log_choice(self, group, chosen, paused, voters, **fields):
        """Log which database was chosen and what the choice rests on."""
        logs.event(
            "chosen",
            group=group,
            database=chosen,
            **fields,
            voters=logs.join(voters),
            listed=logs.join(item.name for item in self.groups.members(group)),
            reborn=logs.join(voters & self.groups.reborn),
            paused=logs.join(f"{x.database}:{_position(x.received)}" for x in paused),
            list_age_s=self.groups.entries_age(),
        )

    async def _prepare_evacuation(self, group, members, statuses, term, plan, quorum):
        """Pause what has to be paused first; wait until a database outside may lead.

        Return the PausedDatabases and whether one may lead.
        """
        names = set(plan.pause_first)
        if plan.step_down_first:
            names |= {name for name, status in statuses.items() if status.is_primary}
        if not names:
            return [], True
        voters = self.groups.quorum_names(group)
        reachable = [x for x in members if x.name in statuses and x.name in voters]
        first = [item for item in reachable if item.name in names]
        outside = [item for item in reachable if self._is_promotable(item.name)]
        paused = await self._pause_databases(first, statuses, term)
        end = boottime() + CATCH_UP_S
        while True:
            latest = [x.received for x in (await self._statuses(outside)).values()]
            logs_held = [item.received for item in paused] + latest
            if latest and replacement.holds_acknowledged(
                max(latest), logs_held, quorum
            ):
                return paused, True
            if boottime() >= end:
                return paused, False
            await asyncio.sleep(CATCH_UP_POLL_S)

    def _is_promotable(self, name):
        database = self.groups.databases.get(name)
        if database is None or database.is_leaving:
            return False
        return not self.groups.is_evacuated(name)

    def _has_promotable(self, statuses):
        return any(self._is_promotable(name) for name in statuses)

    async def _statuses(self, members):
        answers = await asyncio.gather(
            *[self.router.status_of(m.name) for m in members]
        )
        return {
            item.name: status
            for item, status in zip(members, answers, strict=True)
            if status and item.name not in self.groups.reborn
        }

    async def _pause_databases(self, members, statuses, term):
        """Step down the primary and pause the replicas; return those that did so."""
        adapter, asked_at = self.node.ports.databases, boottime()
        calls, targets = [], []
        for item in members:
            status = statuses.get(item.name)
            if status is None:
                continue
            text = adapter.step_down(term) if status.is_primary else adapter.pause(term)
            targets.append(item)
            calls.append(self.router.command(item.name, text))
        answers = await asyncio.gather(*calls)
        for item, status in zip(targets, answers, strict=True):
            self._log_pause(item, statuses[item.name], status, term, asked_at)
        return [
            self._as_paused(item, status)
            for item, status in zip(targets, answers, strict=True)
            if _is_paused(statuses[item.name], status, term)
        ]

    def _log_pause(self, database, before, status, term, asked_at):
        """Log a database's answer to a PAUSE or STEPDOWN; `status` may be None."""
        logs.event(
            "paused" if _is_paused(before, status, term) else "not_paused",
            group=database.group,
            database=database.name,
            command="step_down" if before.is_primary else "pause",
            for_term=term,
            **_status_fields(status),
            before=_position(before.received),
            born=database.born,
            took_s=boottime() - asked_at,
        )

    def _as_paused(self, database, status):
        return replacement.PausedDatabase(
            database.name,
            status.received,
            database.is_leaving,
            database.data_centre == self.node.settings.data_centre,
            self.groups.is_evacuated(database.name),
            self._is_in_regions(database),
            term=status.term,
        )

    def _is_in_regions(self, database):
        """Return whether all routes of a database's group allow its region."""
        cfg = self.node.directory.cfg
        if cfg is None:
            return True
        common = regions.common_data_centres(
            cfg.routes.values(), database.group, self.router.regions
        )
        return common is None or database.data_centre in common

    async def _promote(
        self, group, database, known_term, term, token, base, paused_at, paused
    ):
        """Order a promotion with the token that was held when its group was paused.

        What was learned under another token may be out of date. `known_term` is the
        group's latest known term, `base` the end of the database's log. No pause was
        sent before `paused_at`. Return the PromotionOutcome.
        """
        earlier, sent = (
            self.order_records.pending(group),
            self.order_records.sent(group),
        )
        record = orders.Order(database, known_term, base, earlier is not None)
        if not await self.order_records.add(group, record):
            return PromotionOutcome.NOT_ORDERED
        left_s = self._order_left_s(token)
        is_late = boottime() - paused_at > PAUSED_FOR_S
        if left_s <= 0 or is_late:
            reason = "late" if is_late else "duty_lost"
            logs.event("replacement_stopped", group=group, reason=reason)
            await self.order_records.take_back(group, earlier, sent)
            return PromotionOutcome.NOT_ORDERED
        ordered_at = boottime()
        logs.event(
            "promotion_ordered",
            group=group,
            database=database,
            term=term,
            token=token,
            known_term=known_term,
            left_s=left_s,
        )
        order = spawn(
            self._orders,
            self.node.ports.promote(
                group,
                database,
                self.node.settings.instance,
                token,
                lambda: self._order_left_s(token),
            ),
        )
        await asyncio.wait({order})
        status, may_have_run = self._order_result(group, order)
        logs.event(
            "promotion",
            group=group,
            database=database,
            term=term,
            token=token,
            status=status,
            left_s=left_s,
            took_s=boottime() - ordered_at,
        )
        if not may_have_run:
            await self.order_records.take_back(group, earlier, sent)
            return PromotionOutcome.NOT_ORDERED
        self.order_records.note_sent(group, record)
        promoted = await self._wait_for_promotion(group, database, ordered_at)
        if promoted is None or token != self.token:
            return PromotionOutcome.UNKNOWN
        # It may have been born again, without its log.
        is_whole = promoted.received >= base
        await self._note_promoted(
            group, database, promoted.term, base, is_whole, paused
        )
        return PromotionOutcome.DONE

    async def _note_promoted(self, group, database, term, base, is_whole, paused):
        """Permit a database that was promoted, and write the roster that follows.

        `is_whole` says that it still holds its log up to `base`. Until the roster is
        written, a replacement may count the recorded one.
        """
        recorded = self.groups.rosters.get(group, {}).keys()
        names = rosters.roster_after_promotion(
            recorded,
            {item.name for item in self.groups.members(group)},
            {item.database: item.received for item in paused},
            base,
            self.groups.sync_replicas(group),
        )
        voters = self._voters(group, recorded & names)
        leader = permits.Leader(database, term, base if is_whole else ZERO, voters)
        self.granting.permit(group, leader)
        await self.order_records.settle(group)
        await self._write_roster(group, names)

    def _order_result(self, group, order):
        """Return the status of an order that has ended, and whether it may take effect.

        The status is 0 if there is no answer.
        """
        status, error, may_have_run = 0, "dropped", True
        if not order.cancelled():
            try:
                status = order.result()
            except StoreError as exc:
                error, may_have_run = str(exc), exc.may_have_run
        if not status:
            logs.event("promotion_failed", group=group, error=error)
            self.metrics.count("promotion.no_answer")
        elif status != 200:
            self.metrics.count(f"promotion.status_{status}")
            may_have_run = status not in REFUSED_STATUSES
        return status, may_have_run

    async def _wait_for_promotion(self, group, database, ordered_at):
        """Return the status of a database that leads, None if it doesn't in time."""
        end = boottime() + PROMOTION_EFFECT_TIMEOUT_S
        while boottime() < end:
            status = await self.router.status_of(database)
            if status is not None and status.is_primary:
                self.groups.note_status(database, status)
                self.metrics.count("promotion.done")
                logs.event(
                    "promoted",
                    group=group,
                    database=database,
                    **_status_fields(status),
                    since_order_s=boottime() - ordered_at,
                )
                return status
            await asyncio.sleep(PROMOTION_POLL_S)
        logs.event(
            "promotion_not_seen",
            group=group,
            database=database,
            since_order_s=boottime() - ordered_at,
        )
        return None

    async def _resume_databases(self, group, paused, token):
        """Let paused databases receive again.

        They stay paused if another instance may hold the duty or an order may still
        take effect: what they receive then could be missing from the next primary.
        """
        if self.order_records.is_unfinished(group) or self._order_left_s(token) <= 0:
            logs.event(
                "databases_stay_paused",
                group=group,
                token=token,
                databases=logs.join(item.database for item in paused),
                ordered=self.order_records.is_unfinished(group),
            )
            return
        adapter = self.node.ports.databases
        answers = await asyncio.gather(
            *[self.router.command(item.database, adapter.RESUME) for item in paused]
        )
        for item, status in zip(paused, answers, strict=True):
            logs.event(
                "resumed" if status else "not_resumed",
                group=group,
                database=item.database,
                token=token,
                **_status_fields(status),
                paused_at=_position(item.received),
            )
