"""Holds acknowledgements of commits back until callers may be told of them.

See `decisions/permits.py` for when that is.
"""

import asyncio
import contextlib
import math

from dragonflywing import logs
from dragonflywing.clock import boottime
from dragonflywing.decisions import permits
from dragonflywing.decisions.permits import Verdict
from dragonflywing.decisions.positions import ZERO, Position
from dragonflywing.links import idl
from dragonflywing.supervisor import note_failure

# Voters that haven't received a commit yet are asked again after these pauses.
RETRY_VOTERS_S = 0.01
MAX_RETRY_VOTERS_S = 0.2
# The other voters are asked too if the first one has not answered after this time.
SECOND_VOTER_DELAY_S = 0.08
FAILING_S = 3.0  # how long a voter that didn't answer is asked last
LOGGED_AFTER_S = 0.2  # commits that are held for less have no line in the log
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
                voters=None if item.voters is None else sorted(item.voters),
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
                item.database,
                item.term,
                Position(item.base_term, item.base_index),
                None if item.voters is None else frozenset(item.voters),
            )
            for group, item in leaders.items()
        }
    return permits.Version(message.token, message.number), leaders


class Voter:
    """What this instance knows of a database that counts for commits.

    `received` is the latest position that it has reported, `question` the task that
    queries its status, and `failed_at` is when it has not answered.
    """

    def __init__(self):
        self.received = ZERO
        self.question = None
        self.failed_at = -math.inf


class Acknowledgements:
    """The commits that wait for this instance's permits."""

    def __init__(self, groups, metrics):
        self.groups = groups
        self.metrics = metrics
        self.renew_own = lambda: None  # called before permits are judged
        # False while an instance of an earlier build, which gives none, holds the duty.
        self.needs_permit = lambda: True
        self.data_centre = None  # whose voters are asked first
        self._rounds = {}  # {group: task} that queries the databases' statuses
        self._voters = {}  # {database: Voter}

    async def confirm(self, statement_id, group, database, position, wait_s):
        """Return whether a caller may be told of a commit, within a time.

        If not, it isn't known whether the group's next primary holds the commit.
        """
        verdict = self._judge(group, database, position)
        if verdict is Verdict.PERMITTED and self._is_held(group, position):
            return True
        is_covered = verdict is Verdict.PERMITTED
        verdict = Verdict.UNKNOWN  # at the deadline
        started_at = asyncio.get_running_loop().time()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, wait_s)):
                verdict = await self._await_verdict(group, database, position)
        held_s = asyncio.get_running_loop().time() - started_at
        is_told = verdict is Verdict.PERMITTED
        if is_told and is_covered and held_s < LOGGED_AFTER_S:
            return True
        self.metrics.count("acknowledgement.held")
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
        return is_told

    def _judge(self, group, database, position):
        if not self.needs_permit():
            return Verdict.PERMITTED
        self.renew_own()
        return permits.judge(self.groups.permits, boottime(), group, database, position)

    async def _await_verdict(self, group, database, position):
        """Return the verdict on a commit once it is known."""
        loop = asyncio.get_running_loop()
        ask_at = loop.time() + (ASK_INTERVAL_S if self._has_permits() else 0.0)
        retry_s = 0.0
        while True:
            changed = self.groups.permits_changed
            verdict = self._judge(group, database, position)
            if verdict is Verdict.REPLACED:
                return verdict
            if verdict is Verdict.PERMITTED:
                if self._is_held(group, position):
                    return verdict
                await asyncio.sleep(retry_s)
                await self._ask_voters(group, is_first=not retry_s)
                retry_s = min(retry_s * 2 or RETRY_VOTERS_S, MAX_RETRY_VOTERS_S)
                continue
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

    # Under a permit

    def _is_held(self, group, position):
        """Return whether enough voters are known to hold a commit under a permit."""
        leader = self.groups.permits.leaders.get(group)
        if leader is None or not self.needs_permit():
            return True
        sync_replicas = self.groups.sync_replicas(group)
        received = {name: voter.received for name, voter in self._voters.items()}
        return permits.is_held(leader, position, received, sync_replicas)

    async def _ask_voters(self, group, is_first):
        """Query the voters of a group; at first only the nearest one if it answers."""
        leader = self.groups.permits.leaders.get(group)
        if leader is None or leader.voters is None:
            return
        names = sorted(leader.voters - {leader.database}, key=self._distance)
        questions = [self._ask(name) for name in names[: 1 if is_first else None]]
        if not questions:
            await asyncio.sleep(MAX_RETRY_VOTERS_S)  # until the permit changes
            return
        timeout_s = SECOND_VOTER_DELAY_S if is_first else None
        await asyncio.wait(
            questions, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )

    def _distance(self, name):
        """Return a key that sorts databases by how soon they should answer."""
        is_failing = boottime() - self._voter(name).failed_at < FAILING_S
        database = self.groups.databases.get(name)
        is_near = database is not None and database.data_centre == self.data_centre
        return is_failing, not is_near, name

    def _voter(self, name):
        """Return the Voter of a database."""
        if name not in self._voters:
            listed = self.groups.databases
            self._voters = {x: v for x, v in self._voters.items() if x in listed}
            self._voters[name] = Voter()
        return self._voters[name]

    def _ask(self, name):
        """Return the task that queries a database's status; others may await it too."""
        voter = self._voter(name)
        if voter.question is None or voter.question.done():
            voter.question = asyncio.create_task(self._query(name, voter))
        return voter.question

    async def _query(self, name, voter):
        """Query a database's status and note what it has received."""
        self.metrics.count("acknowledgement.voter_asked")
        status = None
        try:
            status = await self.groups.status_of(name)
        except Exception as exc:
            note_failure("voter", exc, self.metrics)
        if status is None:
            voter.failed_at = boottime()
        elif not status.is_primary:
            voter.received = status.received

    # Without a permit

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
        counted = permits.counted_without_permit(self.groups.permits, group, witnesses)
        return permits.is_confirmed(
            position,
            [witnesses[name] for name in counted],
            trusted_before,
            self.groups.sync_replicas(group),
        )

    async def _ask_databases(self, group):
        """Return a group's Witnesses by name, and since when they are trusted.

        A permit that arrives meanwhile says nothing of answers from before it.
        """
        trusted_before = permits.trusted_before(self.groups.permits, group)
        roster = self.groups.rosters.get(group) or self.groups.quorum_names(group)
        names = list(set(roster) - self.groups.reborn)
        answers = await asyncio.gather(*[self.groups.status_of(name) for name in names])
        now = boottime()
        witnesses = {
            name: permits.Witness(
                status.is_primary,
                max(status.term, status.promised_term),
                status.received,
                now - status.connected_s,
            )
            for name, status in zip(names, answers, strict=True)
            if status is not None
        }
        return witnesses, trusted_before
