"""Replaces a group's primary: when to, who does, and the steps."""

import asyncio
import json
import random

from dragonflywing import logs
from dragonflywing.decisions import failover, membership
from dragonflywing.decisions.positions import majority
from dragonflywing.errors import StoreError
from dragonflywing.store import settle
from dragonflywing.supervisor import spawn

# Instances try a promotion one after the other, this far apart.
RANK_DELAY_S = 0.15
# Later places do not wait for longer than this one.
RANK_MAX = 6
# How often an instance finds out whether it is a prober, in seconds.
PACE_S = 2.0
RECORD_PREFIX = "/dfw/groups/"


class Promoter:
    """This instance's attempts to replace the primary of one group."""

    def __init__(self, group):
        self.group = group
        self.name = group.name
        self.cfg = group.cfg
        self.store = group.store
        self.metrics = group.metrics
        self.fleet = group.fleet
        self._claim_seen = None
        self._tasks = set()

    def _now(self):
        return asyncio.get_running_loop().time()

    async def run(self):
        """Replace the primary whenever that is needed, until cancelled."""
        next_pace = 0.0
        while True:
            await asyncio.sleep(self.cfg.times.probe_s / 2)
            if self._now() >= next_pace:
                next_pace = self._now() + PACE_S
                self.group.choose_probe_rate()
            if not self.group.suspects():
                continue
            term = self.group.term
            members = self.fleet.instances()
            place = membership.rank(self.name, self.cfg.instance, members)
            jitter = random.uniform(0.8, 1.2)
            await asyncio.sleep(min(place, RANK_MAX) * RANK_DELAY_S * jitter)
            if not self.group.suspects() or self.group.term != term:
                continue
            await self.group.refresh_statuses()
            if not self._reaches_majority() or not await self._is_confirmed():
                self.metrics.count("promotion.not_confirmed")
                continue
            await self._promote()

    def _reaches_majority(self):
        """Return whether a majority of databases has answered lately."""
        oldest = self._now() - self.cfg.times.suspect_s
        fresh = [
            item
            for item in self.group.backends.values()
            if item.status and item.status_at >= oldest
        ]
        return len(fresh) >= majority(self.group.size)

    async def _is_confirmed(self):
        """Return whether a majority of the group's data centres suspect as well."""
        places = {item.data_centre for item in self.group.spec.databases.values()}
        places.add(self.cfg.data_centre)
        suspecting = {self.cfg.data_centre}
        suspecting |= await self.fleet.suspecting(self.name, self.group.term)
        return len(suspecting & places) >= majority(len(places))

    async def _promote(self):
        try:
            claim = await self._claim_term()
        except StoreError as exc:
            self.metrics.count("promotion.store_failed")
            logs.warn("promotion_failed", group=self.name, error=str(exc))
            return
        if claim is None:
            self.metrics.count("promotion.claim_lost")
            return
        logs.event("promotion_started", group=self.name, term=claim)
        self.metrics.count("promotion.started")
        state = failover.Promotion(
            self.group.backends,
            claim,
            self._now(),
            self.cfg.times.promote_timeout_s,
        )
        failover.start(state)
        await self._run_promotion(state)

    async def _claim_term(self):
        """Write a new term to the group's record; return it, or None if raced."""
        key = RECORD_PREFIX + self.name
        entry = await self.store.get(key)
        record = json.loads(entry.value) if entry else {"term": 0}
        if record["term"] > self.group.term and self._is_recent(record):
            # Another promoter is at work or done; a dead one is overtaken later.
            return None
        known = max(
            [self.group.term, *[status.term for status in self.group.statuses()]]
        )
        term = max(record["term"], known) + 1
        mark = f"{self.cfg.instance}/{random.getrandbits(64):x}"
        value = json.dumps({"term": term, "state": "electing", "id": mark})
        revision = entry.mod_revision if entry else 0

        async def check():
            now = await self.store.get(key)
            return bool(now) and json.loads(now.value).get("id") == mark

        won = await settle(
            lambda: self.store.swap(key, value, revision), check, attempts=2
        )
        return term if won else None

    def _is_recent(self, record):
        """Return whether a record was first seen less than a promotion ago."""
        now = self._now()
        seen = self._claim_seen
        if seen is None or seen[0] != record["term"]:
            self._claim_seen = (record["term"], now)
            return True
        return now - seen[1] < self.cfg.times.promote_timeout_s

    async def _run_promotion(self, state):
        loop = asyncio.get_running_loop()
        inbox = asyncio.Queue()
        steps = failover.handle_claim_result(state, True)
        loop.call_at(state.deadline, inbox.put_nowait, ("expire", None, None))
        while True:
            for step in steps:
                if isinstance(step, failover.Finished):
                    self._finish_promotion(state, step)
                    return
                spawn(self._tasks, self._run_step(step, inbox))
            kind, database, answer = await inbox.get()
            if kind == "accept":
                steps = failover.handle_accept_result(state, database, answer)
            elif kind == "promote":
                steps = failover.handle_promote_result(state, answer)
            elif kind == "record":
                steps = failover.handle_record_result(state)
            else:
                steps = failover.expire(state, self._now())

    async def _run_step(self, step, inbox):
        timeout_s = self.cfg.times.promote_timeout_s
        if isinstance(step, failover.AcceptTerm):
            status = await self._tell(
                step.database, f"SELECT dfw_accept_term({step.term})", timeout_s
            )
            if status and self.group.backends[step.database].is_leaving():
                status = status._replace(leaving=True)
            inbox.put_nowait(("accept", step.database, status))
        elif isinstance(step, failover.Promote):
            status = await self._tell(
                step.database, f"SELECT dfw_promote({step.term})", timeout_s
            )
            done = bool(status and status.primary and status.term == step.term)
            if done:
                self.group.note_status(status)
            inbox.put_nowait(("promote", step.database, done))
        elif isinstance(step, failover.Follow):
            sql = f"SELECT dfw_follow({step.term}, '{step.primary}')"
            await self._tell(step.database, sql, timeout_s)
        elif isinstance(step, failover.Record):
            await self._record(step)
            inbox.put_nowait(("record", None, None))

    async def _tell(self, database, sql, timeout_s):
        return await self.group.backends[database].control(sql, timeout_s)

    async def _record(self, step):
        key = RECORD_PREFIX + self.name
        try:
            entry = await self.store.get(key)
            if entry and json.loads(entry.value)["term"] == step.term:
                record = {"term": step.term, "primary": step.primary, "state": "active"}
                await self.store.swap(key, json.dumps(record), entry.mod_revision)
        except StoreError:
            self.metrics.count("promotion.record_failed")

    def _finish_promotion(self, state, step):
        logs.event(
            "promotion_finished",
            group=self.name,
            term=state.term,
            primary=step.primary,
            reason=step.reason,
        )
        self.metrics.count(f"promotion.{step.reason}")
