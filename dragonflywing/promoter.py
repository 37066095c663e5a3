"""Replaces a group's primary: confirms the suspicion, claims a term, promotes."""

import asyncio
import json
import random
from typing import NotRequired, TypedDict

from dragonflywing import decoding, logs
from dragonflywing.decisions import failover, membership
from dragonflywing.decisions.positions import majority
from dragonflywing.decoding import Count, MalformedDocument
from dragonflywing.errors import StoreError
from dragonflywing.store import retry_until_known
from dragonflywing.supervisor import spawn

# Delay between the attempts of instances of adjacent rank.
RANK_DELAY_S = 0.15
# Instances of a higher rank wait as long as this rank.
MAX_DELAYED_RANK = 6
# Interval at which an instance checks whether it is a prober.
PROBER_CHECK_S = 2.0
RECORD_PREFIX = "/dfw/groups/"
# A claim skips up to this many terms. If the store comes back from an older copy, two
# promoters may claim after the same record, and a term must have one primary.
TERM_SPREAD = 1 << 20
# How long a primary that is moved may take to step down, and then the others to
# receive its last writes: a few round trips between regions each.
STEP_DOWN_S = 0.3
CATCH_UP_S = 0.2
# Then all instances acknowledge these writes: they poll positions without a pause, so
# this takes a round trip.
ACKNOWLEDGE_S = 0.1
POSITION_WAIT_MS = 15


class RecordDocument(TypedDict):
    """A group's record in the store; `id` names the claim of its term."""

    term: Count
    id: NotRequired[str]


class Promoter:
    """Replaces the primary of one group when this instance suspects it."""

    def __init__(self, group):
        self.group = group
        self.name = group.name
        self.cfg = group.cfg
        self.store = group.store
        self.metrics = group.metrics
        self.fleet = group.fleet
        self._claim_first_seen = None
        self._tasks = set()

    def _now(self):
        return asyncio.get_running_loop().time()

    async def run(self):
        """Replace the primary whenever necessary, until cancelled."""
        next_check = 0.0
        while True:
            await asyncio.sleep(self.cfg.times.probe_s / 2)
            if self._now() >= next_check:
                next_check = self._now() + PROBER_CHECK_S
                self.group.choose_probe_rate()
            if not self.group.suspects():
                continue
            term = self.group.term
            members = self.fleet.instances()
            rank = membership.rank(self.name, self.cfg.instance, members)
            jitter = random.uniform(0.8, 1.2)
            await asyncio.sleep(min(rank, MAX_DELAYED_RANK) * RANK_DELAY_S * jitter)
            if not self.group.suspects() or self.group.term != term:
                continue
            await self.group.refresh_statuses()
            if not self._reaches_majority() or not await self._is_confirmed():
                self.metrics.count("promotion.not_confirmed")
                continue
            await self._promote()

    def _reaches_majority(self):
        """Return whether a majority of the databases answered within `suspect_s`."""
        oldest = self._now() - self.cfg.times.suspect_s
        recent = [
            item
            for item in self.group.backends.values()
            if item.status and item.status_at >= oldest
        ]
        return len(recent) >= majority(self.group.size)

    async def _is_confirmed(self):
        """Return whether a majority of the group's data centres suspect the primary."""
        data_centres = {item.data_centre for item in self.group.spec.databases.values()}
        data_centres.add(self.cfg.data_centre)
        suspecting = {self.cfg.data_centre}
        suspecting |= await self.fleet.suspecting_data_centres(
            self.name, self.group.term
        )
        return len(suspecting & data_centres) >= majority(len(data_centres))

    async def _promote(self):
        try:
            term = await self._claim_term()
        except StoreError as exc:
            self.metrics.count("promotion.store_failed")
            logs.warn("promotion_failed", group=self.name, error=str(exc))
            return
        if term is None:
            self.metrics.count("promotion.claim_lost")
            return
        logs.event("promotion_started", group=self.name, term=term)
        self.metrics.count("promotion.started")
        state = failover.Promotion(
            self.group.backends,
            term,
            self._now(),
            self.cfg.times.promote_timeout_s,
            {x.name for x in self.group.backends.values() if x.is_evacuated},
            self.group.moved_primary(),
        )
        failover.start(state)
        await self._run_promotion(state)

    async def _claim_term(self):
        """Write a new term to the group's record in the store.

        Return the term, or None if another instance claimed one first.
        """
        key = RECORD_PREFIX + self.name
        kv = await self.store.get(key)
        record = self._decode_record(kv)
        if record["term"] > self.group.term and self._is_recent(record):
            # Another instance has claimed a newer term and is still promoting or has
            # finished. In case it has failed, its claim expires.
            return None
        highest_known = max(
            [self.group.term, *[status.term for status in self.group.statuses()]]
        )
        term = max(record["term"], highest_known) + random.randint(1, TERM_SPREAD)
        claim_id = f"{self.cfg.instance}/{random.getrandbits(64):x}"
        value = json.dumps({"term": term, "state": "electing", "id": claim_id})
        revision = kv.mod_revision if kv else 0

        async def check():
            current = await self.store.get(key)
            return self._decode_record(current).get("id") == claim_id

        won = await retry_until_known(
            lambda: self.store.swap(key, value, revision), check, attempts=2
        )
        return term if won else None

    def _decode_record(self, kv):
        """Return the RecordDocument of the group, with term 0 if there is none.

        One that can't be read counts as none, or no promotion could replace it.
        """
        try:
            return decoding.decode(kv.value, RecordDocument) if kv else {"term": 0}
        except MalformedDocument as exc:
            self.metrics.count("refused.bad_record")
            logs.warn("bad_record", group=self.name, error=str(exc)[:200])
            return {"term": 0}

    def _is_recent(self, record):
        """Return whether a record was first read within `promote_timeout_s`."""
        now = self._now()
        first_seen = self._claim_first_seen
        if first_seen is None or first_seen[0] != record["term"]:
            self._claim_first_seen = (record["term"], now)
            return True
        return now - first_seen[1] < self.cfg.times.promote_timeout_s

    async def _run_promotion(self, state):
        loop = asyncio.get_running_loop()
        events = asyncio.Queue()
        steps = failover.handle_claim_result(state, True)
        loop.call_at(state.deadline, events.put_nowait, ("expire", None, None))
        while True:
            for step in steps:
                if isinstance(step, failover.Finished):
                    self._finish_promotion(state, step)
                    return
                spawn(self._tasks, self._run_step(step, events))
            kind, database, answer = await events.get()
            if kind == "step_down":
                steps = failover.handle_step_down_result(state, answer)
            elif kind == "catch_up":
                steps = failover.handle_catch_up_result(state)
            elif kind == "accept":
                steps = failover.handle_accept_result(state, database, answer)
            elif kind == "promote":
                steps = failover.handle_promote_result(state, answer)
            elif kind == "record":
                steps = failover.handle_record_result(state)
            else:
                steps = failover.expire(state, self._now())

    async def _run_step(self, step, events):
        timeout_s = self.cfg.times.promote_timeout_s
        if isinstance(step, failover.StepDown):
            status = await self._accept_term(step, STEP_DOWN_S)
            events.put_nowait(("step_down", step.database, status))
        elif isinstance(step, failover.CatchUp):
            await self._wait_caught_up(step)
            events.put_nowait(("catch_up", None, None))
        elif isinstance(step, failover.AcceptTerm):
            status = await self._accept_term(step, timeout_s)
            events.put_nowait(("accept", step.database, status))
        elif isinstance(step, failover.Promote):
            status = await self._send_control(
                step.database, f"SELECT dfw_promote({step.term})", timeout_s
            )
            succeeded = bool(status and status.primary and status.term == step.term)
            if succeeded:
                self.group.note_status(status)
            events.put_nowait(("promote", step.database, succeeded))
        elif isinstance(step, failover.Follow):
            sql = f"SELECT dfw_follow({step.term}, '{step.primary}')"
            await self._send_control(step.database, sql, timeout_s)
        elif isinstance(step, failover.Record):
            await self._record(step)
            events.put_nowait(("record", None, None))

    async def _accept_term(self, step, timeout_s):
        status = await self._send_control(
            step.database, f"SELECT dfw_accept_term({step.term})", timeout_s
        )
        if status and self.group.backends[step.database].is_leaving():
            status = status._replace(leaving=True)
        return status

    async def _wait_caught_up(self, step):
        """Wait until the primary's last writes can be acknowledged everywhere."""
        waits = [self._wait_received(name, step.position) for name in step.databases]
        try:
            async with asyncio.timeout(CATCH_UP_S):
                await asyncio.gather(*waits)
        except TimeoutError:
            self.metrics.count("promotion.not_caught_up")
        await asyncio.sleep(ACKNOWLEDGE_S)

    async def _wait_received(self, database, position):
        sql = f"SELECT dfw_wait({position.term}, {position.index}, {POSITION_WAIT_MS})"
        while True:
            status = await self._send_control(database, sql, CATCH_UP_S)
            if status is not None and status.received >= position:
                return
            await asyncio.sleep(POSITION_WAIT_MS / 1000)

    async def _send_control(self, database, sql, timeout_s):
        return await self.group.backends[database].control(sql, timeout_s)

    async def _record(self, step):
        key = RECORD_PREFIX + self.name
        try:
            kv = await self.store.get(key)
            if kv and self._decode_record(kv)["term"] == step.term:
                record = {"term": step.term, "primary": step.primary, "state": "active"}
                await self.store.swap(key, json.dumps(record), kv.mod_revision)
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
