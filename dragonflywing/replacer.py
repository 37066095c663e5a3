"""Replaces primaries; one instance at a time holds this duty.

The duty is a key under a lease of the store. The revision at which the key was
written numbers the holder's orders, so a later holder's number is greater.
"""

import asyncio
import json
import random

from dragonflywing import logs
from dragonflywing.clock import elapsed
from dragonflywing.decisions import membership, replacement, rosters
from dragonflywing.decisions.positions import confirmed_primary
from dragonflywing.errors import StoreError
from dragonflywing.groups import as_vote

DUTY_KEY = "dfw/duty/promotion"
ROSTER_PREFIX = "dfw/groups/"
DUTY_LEASE_S = 3.0  # a dead holder is followed after this time
RENEW_S = 0.8
# The holder stops this long before its lease can have ended.
SAFETY_S = 0.5
WATCH_S = 0.2  # between looks at each group
# A floor of this age shows that the primary answers; it is refreshed and passed
# on twice a second each.
SOUND_S = 1.1
# Even so the databases are asked this often, for replicas that fall behind.
ASK_S = 1.5
# While the roster names other databases than are listed they are asked this often.
ROSTER_ASK_S = 0.4
PROMOTE_TIMEOUT_S = 3.0  # the order is answered in milliseconds
TAKE_EFFECT_S = 2.5  # a database leads some hundred ms after the order
EFFECT_POLL_S = 0.05
RANK_DELAY_S = 0.3  # instances try to take the duty one after the other


class Replacer:
    """Holds the duty when it can, and replaces primaries while it does."""

    def __init__(self, node):
        self.node = node
        self.groups = node.groups
        self.cluster = node.cluster
        self.router = node.router
        self.store = node.ports.store
        self.metrics = node.metrics
        self.token = 0
        self.lease = 0
        self.valid_until = 0.0
        self._health = {}
        self._running = {}
        self._holder = None
        self._rosters = {}
        self._roster_revisions = {}

    def note_duty(self, item):
        """Take the duty's key as it is in the store; None or no value if it is free."""
        self._holder = item if item is not None and item.value is not None else None

    def note_roster(self, item):
        """Take a group's roster as it is in the store."""
        group = item.key[len(ROSTER_PREFIX) :]
        self._roster_revisions[group] = item.revision if item.value is not None else 0
        try:
            starts = dict(json.loads(item.value)) if item.value is not None else {}
        except (ValueError, TypeError):
            self.metrics.count("refused.bad_roster")
            logs.warn("bad_roster", group=group)
            return
        self.groups.note_roster(group, starts)

    def holds(self):
        """Return whether this instance may order promotions."""
        return self.token > 0 and elapsed() < self.valid_until - SAFETY_S

    # The duty

    async def run(self):
        """Take and renew the duty until cancelled."""
        while True:
            pause = RENEW_S
            try:
                if self.lease and self.token:
                    await self._renew()
                else:
                    await self._take()
            except StoreError as exc:
                self.metrics.count("duty.store_failed")
                logs.event("duty_store_failed", error=str(exc))
                pause = 0.4
            await asyncio.sleep(pause * random.uniform(0.8, 1.0))

    async def _renew(self):
        asked_at = elapsed()
        if await self.store.keep_lease(self.lease):
            self.valid_until = asked_at + DUTY_LEASE_S
            return
        logs.event("duty_lost", token=self.token)
        self.token = 0
        self.lease = 0

    async def _take(self):
        if self.cluster.leaving or not self.node.directory.has_lists:
            return
        names = [peer.instance for peer in self.cluster.alive()]
        place = membership.rank("duty", self.node.cfg_own.instance, names)
        item = self._holder
        if item is not None and not self._is_left_behind(item):
            return
        await asyncio.sleep(min(place, 5) * RANK_DELAY_S)
        asked_at = elapsed()
        if not self.lease:
            self.lease = await self.store.grant_lease(DUTY_LEASE_S)
        elif not await self.store.keep_lease(self.lease):
            self.lease = 0
            return
        mark = f"{self.node.cfg_own.instance}/{self.cluster.incarnation}"
        token = await self._claim(mark, item)
        if not token:
            # What was watched is behind; the key itself tells.
            self._holder, _ = await self.store.get(DUTY_KEY)
        else:
            self.token = token
            self.valid_until = asked_at + DUTY_LEASE_S
            self._health.clear()
            logs.event("duty_taken", token=token)

    def _is_left_behind(self, item):
        # An earlier process of this instance held it; that one has ended.
        return item.value.decode().split("/")[0] == self.node.cfg_own.instance

    async def _claim(self, mark, item):
        revision = item.revision if item else 0
        value = mark.encode()
        try:
            return await self.store.swap(DUTY_KEY, value, revision, self.lease)
        except StoreError as exc:
            if not exc.may_have_run:
                raise
        found, _ = await self.store.get(DUTY_KEY)
        mine = found is not None and found.value == value
        return found.revision if mine else 0

    async def give_up(self):
        """Leave the duty to another instance."""
        self.token = 0
        if self.lease:
            try:
                await self.store.end_lease(self.lease)
            except StoreError as exc:
                logs.event("duty_not_given_up", error=str(exc))

    # Watching primaries

    async def watch(self):
        """Look after all primaries while this instance holds the duty."""
        while True:
            await asyncio.sleep(WATCH_S)
            if not self.holds() or self.node.directory.cfg is None:
                self._health.clear()
                continue
            for group in self.node.directory.cfg.groups:
                task = self._running.get(group)
                if task is None or task.done():
                    self._running[group] = asyncio.create_task(self._look(group))

    def _is_sound(self, group, health):
        """Return whether the group needs no look just now."""
        state = self.groups.state(group)
        database = self.groups.databases.get(state.primary)
        if database is None or database.is_leaving:
            return False
        now = elapsed()
        if health.is_behind:
            return False
        if state.floor is not None:
            health.seen_at = max(health.seen_at, state.floor.asked_at)
        listed = {item.name for item in self.groups.members(group)}
        is_settled = listed == self.groups.rosters.get(group, {}).keys()
        ask_s = ASK_S if is_settled else ROSTER_ASK_S
        young = now - health.seen_at < SOUND_S
        return young and now - health.asked_at < ask_s

    async def _look(self, group):
        members = self.groups.members(group)
        if not members:
            return
        now = elapsed()
        health = self._health.setdefault(group, replacement.HealthState(now))
        state = self.groups.state(group)
        if self._is_sound(group, health):
            return
        health.asked_at = now
        found = dict(
            zip(
                [item.name for item in members],
                await asyncio.gather(*[self.router.status_of(m.name) for m in members]),
                strict=True,
            )
        )
        reachable = {name: status for name, status in found.items() if status}
        await self._review_roster(group, set(found), reachable)
        leaders = [n for n, status in reachable.items() if status.is_primary]
        if leaders:
            primary = max(leaders, key=lambda name: reachable[name].term)
            others = [s.received for n, s in reachable.items() if n != primary]
            replacement.see(health, elapsed(), reachable[primary].received, others)
            database = self.groups.databases.get(primary)
            if database is not None and database.is_leaving:
                await self._replace(group, "leaving")
                return
        elif state.primary in reachable:
            # The primary answers as a replica: nobody leads.
            logs.event("no_leader", group=group, was=state.primary)
        now = elapsed()
        if replacement.silent(health, now):
            await self._replace(group, "silent")
        elif replacement.stalled(health, now):
            await self._replace(group, "stalled")

    async def _review_roster(self, group, listed, reachable):
        """Write the group's roster if it should name other databases."""
        recorded = self.groups.rosters.get(group, {})
        counted = {n: s for n, s in reachable.items() if n not in self.groups.reborn}
        votes = [as_vote(name, status) for name, status in counted.items()]
        sync_replicas = self.groups.sync_replicas(group)
        needed = rosters.votes_needed(
            self.groups.quorum(group), listed, set(counted), sync_replicas
        )
        leader = confirmed_primary(votes, len(listed), needed)
        if leader is not None and leader.term < self.groups.state(group).term:
            leader = None
        names = rosters.review(
            self._rosters.setdefault(group, rosters.RosterState()),
            set(recorded),
            listed,
            leader.database if leader else None,
            {name: status.received for name, status in counted.items()},
            sync_replicas,
        )
        await self._write_roster(group, names)

    async def _write_roster(self, group, names):
        """Keep the roster of these names in the store if it differs."""
        recorded = self.groups.rosters.get(group, {})
        starts = {name: self._trusted_start(name, recorded) for name in sorted(names)}
        if starts == recorded or not self.holds():
            return
        revision = self._roster_revisions.get(group, 0)
        value = json.dumps(starts).encode()
        try:
            written = await self.store.swap(ROSTER_PREFIX + group, value, revision)
        except StoreError as exc:
            # Whether it was written is told by the watch.
            self.metrics.count("roster.store_failed")
            logs.event("roster_not_written", group=group, error=str(exc))
            return
        if written:
            self._roster_revisions[group] = written
            self.groups.note_roster(group, starts)

    def _trusted_start(self, name, recorded):
        """Return when a database started that holds what it has acknowledged."""
        database = self.groups.databases.get(name)
        if database is None or name in self.groups.reborn:
            return recorded.get(name, 0)
        return database.born

    # Replacing

    async def _replace(self, group, reason):
        members = self.groups.members(group)
        counted, quorum = self.groups.quorum_names(group), self.groups.quorum(group)
        found = await self._statuses(members)
        terms = [max(s.term, s.promised_term) for s in found.values()]
        term = max([self.groups.state(group).term, *terms]) + 1
        logs.event(
            "replacement_started",
            group=group,
            reason=reason,
            term=term,
            token=self.token,
            primary=self.groups.state(group).primary,
            reached=len(found),
            quorum=quorum,
        )
        self.metrics.count(f"replacement.{reason}")
        if reason == "silent" and any(s.is_primary for s in found.values()):
            logs.event("replacement_not_needed", group=group)
            self._health[group].seen_at = elapsed()
            return
        if len(found.keys() & counted) < quorum or not self._has_candidate(found):
            logs.event("replacement_refused", group=group, reached=len(found))
            self.metrics.count("replacement.refused")
            return
        held = await self._hold(members, found, term)
        able = [item for item in held if item.database in counted]
        chosen = replacement.choose(able, quorum)
        if chosen is None or not await self._promote(group, chosen, term):
            await self._release(held)
            return
        self._health.pop(group, None)
        # What leads now holds every acknowledged write; who is gone is not needed.
        listed = {item.name for item in self.groups.members(group)}
        await self._write_roster(group, listed | {item.database for item in held})

    def _has_candidate(self, found):
        return any(
            not self.groups.databases[name].is_leaving
            for name in found
            if name in self.groups.databases
        )

    async def _statuses(self, members):
        answers = await asyncio.gather(
            *[self.router.status_of(m.name) for m in members]
        )
        return {
            item.name: status
            for item, status in zip(members, answers, strict=True)
            if status and item.name not in self.groups.reborn
        }

    async def _hold(self, members, found, term):
        """Stop every database for the new term; return those that have."""
        port = self.node.ports.databases
        calls, names = [], []
        for item in members:
            status = found.get(item.name)
            if status is None:
                continue
            text = port.step_down(term) if status.is_primary else port.pause(term)
            names.append(item)
            calls.append(self.router.command(item.name, text))
        answers = await asyncio.gather(*calls)
        place = self.node.cfg_own.data_centre
        return [
            replacement.Held(
                item.name, status.received, item.is_leaving, item.data_centre == place
            )
            for item, status in zip(names, answers, strict=True)
            if status is not None and not status.is_primary
        ]

    async def _promote(self, group, database, term):
        if not self.holds():
            logs.event("replacement_stopped", group=group, reason="duty_lost")
            return False
        try:
            status = await self.node.ports.promote(
                group,
                database,
                self.node.cfg_own.instance,
                self.token,
                PROMOTE_TIMEOUT_S,
            )
        except StoreError as exc:
            logs.event("promotion_failed", group=group, error=str(exc))
            self.metrics.count("promotion.no_answer")
            status = 0
        logs.event(
            "promotion", group=group, database=database, term=term, status=status
        )
        if status not in (0, 200):
            self.metrics.count(f"promotion.status_{status}")
            return False
        return await self._wait_effect(group, database)

    async def _wait_effect(self, group, database):
        end = elapsed() + TAKE_EFFECT_S
        while elapsed() < end:
            found = await self.router.status_of(database)
            if found is not None and found.is_primary:
                self.groups.note_status(database, found)
                self.metrics.count("promotion.done")
                logs.event("promoted", group=group, database=database, term=found.term)
                return True
            await asyncio.sleep(EFFECT_POLL_S)
        return False

    async def _release(self, held):
        port = self.node.ports.databases
        await asyncio.gather(
            *[self.router.command(item.database, port.RESUME) for item in held]
        )
