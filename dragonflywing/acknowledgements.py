"""Holds acknowledgements of commits back until callers may be told of them.

See `decisions/permits.py` for when that is.
"""

import asyncio
import contextlib

from dragonflywing import logs
from dragonflywing.clock import boottime
from dragonflywing.decisions import permits
from dragonflywing.decisions.permits import Verdict
from dragonflywing.decisions.positions import Position
from dragonflywing.links import idl

ASK_INTERVAL_S = 0.1  # between status queries while there is no permit
# The same while the holder of the duty permits other groups. It is probably replacing
# this one's primary, and its own queries go over the same connections.
HOLDER_ASK_INTERVAL_S = 0.5


def pack_permits(version, leaders, age_s=None, valid_s=None, is_direct=None):
    """Return permits as a Thrift struct; `leaders` is None if they are known."""
    if leaders is not None:
        leaders = {
            group: idl.PermittedPrimary(
                database=item.database,
                term=item.term,
                base_term=item.base.term,
                base_index=item.base.index,
            )
            for group, item in leaders.items()
        }
    return idl.Permits(
        token=version.token,
        number=version.number,
        leaders=leaders,
        age=age_s,
        valid=valid_s,
        direct=is_direct,
    )


def unpack_permits(message):
    """Return the Version and the {group: Leader}, or None, in a Thrift struct."""
    leaders = message.leaders
    if leaders is not None:
        leaders = {
            group: permits.Leader(
                item.database, item.term, Position(item.base_term, item.base_index)
            )
            for group, item in leaders.items()
        }
    return permits.Version(message.token, message.number), leaders


class Acknowledgements:
    """The commits that wait for this instance's permits."""

    def __init__(self, groups, metrics):
        self.groups = groups
        self.metrics = metrics
        self.renew_own = lambda: None  # called before permits are judged
        # False while an instance of an earlier build, which gives none, holds the duty.
        self.needs_permit = lambda: True
        self._rounds = {}  # {group: task} that queries the databases' statuses

    async def confirm(self, statement_id, group, database, position, wait_s):
        """Return whether a caller may be told of a commit, within a time.

        If not, it isn't known whether the group's next primary holds the commit.
        """
        verdict = self._judge(group, database, position)
        if verdict is Verdict.PERMITTED:
            return True
        self.metrics.count("acknowledgement.held")
        started_at = asyncio.get_running_loop().time()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, wait_s)):
                verdict = await self._await_verdict(group, database, position)
        held_s = asyncio.get_running_loop().time() - started_at
        self.metrics.count(f"acknowledgement.{verdict.value}")
        logs.event(
            "acknowledgement_held",
            request=statement_id,
            group=group,
            database=database,
            term=position.term,
            index=position.index,
            verdict=verdict.value,
            held_s=held_s,
        )
        return verdict is Verdict.PERMITTED

    def _judge(self, group, database, position):
        if not self.needs_permit():
            return Verdict.PERMITTED
        self.renew_own()
        return permits.judge(self.groups.permits, boottime(), group, database, position)

    async def _await_verdict(self, group, database, position):
        """Return the verdict on a commit once it is known."""
        loop = asyncio.get_running_loop()
        ask_at = loop.time() + (ASK_INTERVAL_S if self._has_permits() else 0.0)
        while True:
            changed = self.groups.permits_changed
            verdict = self._judge(group, database, position)
            if verdict is not Verdict.UNKNOWN:
                return verdict
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(ask_at):
                    await changed.wait()
            if loop.time() < ask_at:
                continue
            is_confirmed = await self._is_confirmed(group, position)
            verdict = self._judge(group, database, position)
            if is_confirmed and verdict is not Verdict.REPLACED:
                self.metrics.count("acknowledgement.confirmed_by_databases")
                return Verdict.PERMITTED
            interval_s = (
                HOLDER_ASK_INTERVAL_S if self._has_permits() else ASK_INTERVAL_S
            )
            ask_at = loop.time() + interval_s

    def _has_permits(self):
        """Return whether the holder of the duty permits something at this instance."""
        return permits.is_valid(self.groups.permits, boottime())

    async def _is_confirmed(self, group, position):
        """Return whether the group's databases confirm a commit."""
        task = self._rounds.get(group)
        if task is None or task.done():
            task = asyncio.create_task(self._ask_databases(group))
            self._rounds[group] = task
        witnesses, trusted_before = await asyncio.shield(task)
        sync_replicas = self.groups.sync_replicas(group)
        return permits.is_confirmed(position, witnesses, trusted_before, sync_replicas)

    async def _ask_databases(self, group):
        """Return the Witnesses of a group's roster, and since when they are trusted.

        A permit that arrives meanwhile says nothing of answers from before it.
        """
        trusted_before = permits.trusted_before(self.groups.permits, group)
        roster = self.groups.rosters.get(group) or self.groups.quorum_names(group)
        names = set(roster) - self.groups.reborn
        answers = await asyncio.gather(*[self.groups.status_of(name) for name in names])
        now = boottime()
        witnesses = [
            permits.Witness(
                status.is_primary,
                max(status.term, status.promised_term),
                status.received,
                now - status.connected_s,
            )
            for status in answers
            if status is not None
        ]
        return witnesses, trusted_before
