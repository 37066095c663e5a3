"""Runs statements on databases through the instances that are their homes."""

import asyncio
import json
import random

from dragonflywing import logs, outcomes
from dragonflywing.decisions import placing
from dragonflywing.decisions.positions import Position
from dragonflywing.links import LinkLost, idl, pack, unpack
from dragonflywing.ports import Answer, DatabaseStatus
from dragonflywing.supervisor import spawn

# Instances asked to reach a database before it counts as out of reach, and how
# long one that could not is asked last.
HOMES_TRIED = 3
UNREACHABLE_S = 1.5
COMMAND_TIMEOUT_S = 0.5  # a home's own limit and a round trip
READ_REMOTE_S = 0.7  # longer than a home lets a read take, with its queue
LINK_MARGIN_S = 0.15  # a round trip between the farthest data centres
BEHIND_S = 0.3  # a replica that was behind is left out for this time
LOAD_KEPT_S = 0.5  # a load told with an answer counts for this time
# Round trips within a region and between regions, as the sheets give them.
NEAR_WAY_S = 0.0015
REGION_WAY_S = 0.03


class Router:
    """Chooses databases and homes, and carries statements there and back."""

    def __init__(self, own, ports, groups, cluster, metrics):
        self.own = own
        self.ports = ports
        self.groups = groups
        self.cluster = cluster
        self.metrics = metrics
        self._behind = {}
        self._unreachable = {}
        self._loads = {}
        self._local = object()
        self._tasks = set()

    def now(self):
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    # Control statements

    async def command_here(self, database, text):
        """Run a control statement on a connection held here."""
        home = self.groups.home(database)
        return None if home is None else await home.command(text)

    async def command(self, database, text):
        """Run a control statement through a database's home, or another instance."""
        found = self.groups.databases.get(database)
        if found is None:
            return None
        first, *others = self.homes(found)[:HOMES_TRIED]
        status = await self._command_through(first, database, text)
        if status is None and others:
            calls = [self._command_through(name, database, text) for name in others]
            statuses = await asyncio.gather(*calls)
            status = next((item for item in statuses if item is not None), None)
        if status is not None:
            self.groups.note_status(database, status)
        return status

    async def _command_through(self, instance, database, text):
        if instance == self.own.instance:
            status = await self.command_here(database, text)
        else:
            status = await self._command_at(instance, database, text)
        if status is None:
            self._note_unreachable(instance, database)
        return status

    def homes(self, database):
        """Return a database's homes, those that can't reach it last."""
        now = self.now()
        return sorted(
            self.cluster.homes(database),
            key=lambda name: self._unreachable.get((name, database.name), 0.0) > now,
        )

    def _note_unreachable(self, instance, database):
        self._unreachable[(instance, database)] = self.now() + UNREACHABLE_S
        self.metrics.count("home.unreachable")

    async def _command_at(self, instance, database, text):
        try:
            body = await self.cluster.call(
                instance, "command", f"{database} {text}".encode(), COMMAND_TIMEOUT_S
            )
        except LinkLost:
            self.metrics.count("link.command_failed")
            return None
        return unpack_status(body)

    async def status_of(self, database):
        """Return a database's DatabaseStatus, asked through its home, or None."""
        return await self.command(database, self.ports.databases.STATUS)

    async def _floor(self, group, max_age_s):
        """Return the position that a read of this age needs, None if unknown."""
        if max_age_s > 0:
            position = self.groups.floor(group, max_age_s)
            if position is not None:
                return position
        self.metrics.count("fence.asked")
        return await self.groups.fence(group)

    async def run_here(self, req, origin):
        """Run a statement on a connection held here: (answer, handle, home)."""
        home = self.groups.home(req.database)
        me = self.own.instance
        if home is None:
            return self.answer(outcomes.WRONG_DATABASE, "unknown database"), "", me
        floor = Position(req.floor_term, req.floor_index)
        if req.max_age >= 0 and not req.transaction:
            position = await self._floor(home.database.group, req.max_age)
            if position is None:
                self.metrics.count("refused.no_fence")
                text = "no primary is confirmed, not run, retry in 300 ms"
                return self.answer(outcomes.OVERLOADED, text), "", me
            floor = max(floor, position)
        floor = floor if floor > Position(0, 0) else None
        answer, handle = await home.run(req, floor, origin)
        return answer, handle, me

    async def run(self, req):
        """Run a statement through the database's home: (answer, handle, home)."""
        found = self.groups.databases.get(req.database)
        if found is None:
            return self.answer(outcomes.WRONG_DATABASE, "unknown database"), "", ""
        homes = self.homes(found)[:HOMES_TRIED]
        end = self.now() + req.timeout
        for instance in homes:
            answer = await self.run_at(instance, req)
            if answer[0].code != outcomes.UNREACHABLE:
                break
            self._note_unreachable(instance, req.database)
            req.timeout = end - self.now()
            if req.timeout <= 0:
                break
        return answer

    async def run_at(self, instance, req):
        """Run a statement at an instance that is or was the database's home."""
        if instance == self.own.instance:
            return await self.run_here(req, self._local)
        timeout_s = req.timeout + LINK_MARGIN_S
        if req.kind == "read" and not req.transaction:
            # It can be read elsewhere, so a silent home costs little.
            timeout_s = min(timeout_s, READ_REMOTE_S)
        try:
            body = await self.cluster.call(instance, "run", pack(req), timeout_s)
        except LinkLost as exc:
            self.metrics.count("link.run_failed")
            logs.event(
                "home_lost",
                request=req.statement_id,
                home=instance,
                database=req.database,
                sent=exc.sent,
                error=str(exc),
            )
            code = outcomes.IN_DOUBT if exc.sent else outcomes.NO_CONNECTION
            return self.answer(code, "the database's home was lost"), "", instance
        found = unpack(idl.RunAnswer, body)
        self._loads[req.database] = (self.now(), found.wait)
        position = Position(found.term, found.index) if found.term else None
        answer = Answer(
            found.code, found.text, tuple(found.rows), bool(found.transaction), position
        )
        return answer, found.transaction, instance

    def end_transaction(self, database, home, handle):
        """Roll back an open transaction at its home."""
        if home == self.own.instance:
            self.end_here(database, handle)
        else:
            body = f"{database} {handle}".encode()
            spawn(self._tasks, self._end_at(home, body))

    async def _end_at(self, home, body):
        try:
            await self.cluster.call(home, "end", body, COMMAND_TIMEOUT_S)
        except LinkLost:
            self.metrics.count("link.end_failed")

    def end_here(self, database, handle):
        """Roll back an open transaction on a connection held here."""
        home = self.groups.homes.get(database)
        if home is not None:
            home.roll_back(handle)

    def wait_s(self, database):
        """Return the expected wait for a slot of a database held here."""
        home = self.groups.homes.get(database)
        return home.wait_s() if home else 0.0

    # What sessions ask

    def answer(self, code, text):
        """Return an Answer of this instance's own."""
        return Answer(code, text, (), False, None)

    def request(self, **fields):
        """Return a RunRequest."""
        req = idl.RunRequest(
            floor_term=0, floor_index=0, max_age=-1.0, opening="", transaction=""
        )
        for name, value in fields.items():
            setattr(req, name, value)
        return req

    def is_primary(self, route, database):
        """Return whether a database is believed to lead the route's group."""
        return self.groups.state(route.group).primary == database

    def choose_reader(self, route, tried):
        """Return the database for a read that a replica may serve, or None."""
        now = self.now()
        state = self.groups.state(route.group)
        candidates = []
        for item in self.groups.members(route.group):
            if item.is_leaving or item.name in tried:
                continue
            told_at, wait_s = self._loads.get(item.name, (0.0, 0.0))
            if item.name in self.groups.homes:
                told_at, wait_s = now, self.wait_s(item.name)
            candidates.append(
                placing.Candidate(
                    item.name,
                    item.name == state.primary,
                    self._behind.get(item.name, 0.0) > now,
                    wait_s if now - told_at < LOAD_KEPT_S else 0.0,
                    self._way_s(item.data_centre),
                )
            )
        chosen = placing.choose(candidates, random)
        return chosen.name if chosen else None

    def _way_s(self, data_centre):
        own = self.own
        if data_centre == own.data_centre:
            return 0.0
        same = own.regions.get(data_centre) == own.regions.get(own.data_centre)
        return NEAR_WAY_S if same else REGION_WAY_S

    def note_answer(self, req, route, answer):
        """Use what an answer tells about the database."""
        if answer.code == outcomes.BEHIND:
            self._behind[req.database] = self.now() + BEHIND_S
        elif answer.code == outcomes.NOT_PRIMARY:
            state = self.groups.state(route.group)
            if state.primary == req.database:
                logs.event("primary_denied", group=route.group, database=req.database)
                state.primary = None

    async def wait_primary(self, group, wait_s):
        """Return the group's primary, waiting a while for one to be known."""
        end = self.now() + wait_s
        state = self.groups.state(group)
        while state.primary not in self.groups.databases:
            if self.now() >= end:
                self.metrics.count("refused.no_primary")
                return None
            await asyncio.sleep(0.02)
        return state.primary


def pack_answer(answer, handle, wait_s):
    """Return an Answer and its transaction's handle as bytes."""
    position = answer.position or Position(0, 0)
    return pack(
        idl.RunAnswer(
            code=answer.code,
            text=answer.text,
            rows=list(answer.rows),
            term=position.term,
            index=position.index,
            transaction=handle,
            wait=wait_s,
        )
    )


def pack_status(status):
    """Return a DatabaseStatus, or None, as bytes."""
    return json.dumps(list(status) if status else None).encode()


def unpack_status(body):
    """Return the DatabaseStatus in bytes, or None."""
    fields = json.loads(body)
    if fields is None:
        return None
    found = DatabaseStatus(*fields)
    return found._replace(received=Position(*found.received))
