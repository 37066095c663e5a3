"""Routes statements to databases through the instances that are their homes."""

import asyncio
import json
import random

from dragonflywing import decoding, logs, metering, outcomes
from dragonflywing.decisions import contention, placing, retries, stopping
from dragonflywing.decisions.positions import Position
from dragonflywing.decoding import MalformedDocument
from dragonflywing.links import MAX_FRAME_BYTES, LinkLost, idl, pack, unpack
from dragonflywing.ports import Answer, DatabaseStatus
from dragonflywing.supervisor import spawn

# Homes that a statement is tried at before its database counts as unreachable, and
# how long a home that could not reach the database is moved to the end of the order.
MAX_HOMES_TRIED = 3
HOME_UNREACHABLE_S = 1.5
COMMAND_TIMEOUT_S = 0.5  # the home's own timeout and a round trip
REMOTE_READ_TIMEOUT_S = 0.7  # longer than a home's queue and its timeout for a read
LINK_MARGIN_S = 0.15  # a round trip between the farthest data centres
BEHIND_EXCLUDED_S = 0.3  # a replica that was behind is not chosen for this time
PRIMARY_POLL_S = 0.02
LOAD_VALID_S = 0.5  # how long the load reported with an answer is used
# The times to retry after that refusals name: a replacement of the primary usually
# takes about as long, or another database is chosen.
NO_PRIMARY_RETRY_S = 0.5
NO_FENCE_RETRY_S = 0.3
LEAVING_RETRY_S = 0.3
OUTSIDE_REGIONS_RETRY_S = 1.0  # operators or a promotion may change it
# Outcomes of reads with which a database is left for a short time, besides
# OVERLOADED from the database itself. Homes refuse with it as well, without a position;
# that is no fault of the database, and the wait shows it.
FAILING_CODES = frozenset(
    {
        outcomes.FAILED,
        outcomes.TIMED_OUT,
        outcomes.IN_DOUBT,
        outcomes.NO_CONNECTION,
        outcomes.UNREACHABLE,
        outcomes.ABORTED,
    }
)
FAILING_VALID_S = 2.0  # likewise, for the share of statements that fail
FAILED_COST_S = 0.3  # of a read that the database fails, with its attempt elsewhere
# Round trips within a region and between regions, from the deployments' data sheets.
SAME_REGION_RTT_S = 0.0015
CROSS_REGION_RTT_S = 0.03


class Router:
    """Chooses databases and homes, and forwards statements and answers."""

    def __init__(self, settings, ports, groups, cluster, metrics):
        self.settings = settings
        self.regions = settings.regions  # {data centre: region}
        self.ports = ports
        self.groups = groups
        self.cluster = cluster
        self.metrics = metrics
        self._behind_until = {}
        self._unreachable_until = {}
        self._loads = {}  # {database: (reported_at, wait_s)}
        self._contention = contention.ContentionState()
        # {group: (term, since)} while no primary of the group is known.
        self._without_primary = {}
        self.paces = {}  # {database: (reported_at, limit)}
        self._failing = {}  # {database: (reported_at, share)}
        self._local_origin = object()
        self._running = 0  # statements that this instance runs or keeps waiting
        self._tasks = set()

    def now(self):
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    # Control statements

    async def command_locally(self, database, text):
        """Run a control statement over this instance's own connection."""
        home = self.groups.home(database)
        return None if home is None else await home.command(text)

    async def command(self, database, text):
        """Run a control statement through a database's home or a fallback."""
        target = self.groups.databases.get(database)
        if target is None:
            return None
        first, *others = self.home_candidates(target)[:MAX_HOMES_TRIED]
        status = await self._command_through(first, database, text)
        if status is None and others:
            calls = [self._command_through(name, database, text) for name in others]
            statuses = await asyncio.gather(*calls)
            status = next((item for item in statuses if item is not None), None)
        if status is not None:
            self.groups.note_status(database, status)
        return status

    async def _command_through(self, instance, database, text):
        if instance == self.settings.instance:
            status = await self.command_locally(database, text)
        else:
            status = await self._command_at(instance, database, text)
        # A home of a cold database may have had no token for a status query.
        if status is None and not self.groups.is_cold(database):
            self._note_unreachable(instance, database)
        return status

    def home_candidates(self, database, allowed=None):
        """Return the live instances in the order in which they are tried as the home.

        Those that recently could not reach the database come last. `allowed` holds the
        data centres that a statement may pass through, None for all.
        """
        names = self.cluster.home_candidates(database, allowed)
        unreachable = self._unreachable_until.get(database.name)
        if not unreachable:
            return names
        now = self.now()
        for name in [x for x, until in unreachable.items() if until <= now]:
            del unreachable[name]
        # Only the first ones are tried, so the others of a large fleet don't matter.
        names = names[: MAX_HOMES_TRIED + len(unreachable)]
        return sorted(names, key=lambda name: name in unreachable)

    def _note_unreachable(self, instance, database):
        unreachable = self._unreachable_until.setdefault(database, {})
        unreachable[instance] = self.now() + HOME_UNREACHABLE_S
        self.metrics.count("home.unreachable")

    async def _command_at(self, instance, database, text):
        peer = self.cluster.peers.get(instance)
        name = "timed_command" if peer and peer.has_permits else "command"
        try:
            body = await self.cluster.call(
                instance, name, f"{database} {text}".encode(), COMMAND_TIMEOUT_S
            )
        except LinkLost:
            self.metrics.count("link.command_failed")
            return None
        try:
            return unpack_status(body)
        except MalformedDocument as exc:
            self.metrics.count("refused.bad_status")
            logs.warn("bad_status", instance=instance, error=str(exc)[:200])
            return None

    async def status_of(self, database):
        """Return the DatabaseStatus of a database, None if it can't be reached."""
        return await self.command(database, self.ports.databases.STATUS)

    async def _floor(self, group, max_age_s):
        """Return the log position that a read with this maximal age needs, or None."""
        if max_age_s > 0:
            position = self.groups.floor(group, max_age_s)
            if position is not None:
                return position
        self.metrics.count("fence.asked")
        return await self.groups.fence(group)

    async def run_locally(self, req, origin):
        """Run a statement at this instance; return (answer, handle, home)."""
        self._running += 1
        try:
            return await self._run_locally(req, origin)
        finally:
            self._running -= 1

    def is_in_use(self):
        """Return whether a statement runs or a transaction is open at this instance.

        A transaction isn't listed while a statement of it runs.
        """
        homes = self.groups.homes.values()
        return bool(self._running) or any(home.transactions for home in homes)

    async def _run_locally(self, req, origin):
        home = self.groups.home(req.database)
        own_instance = self.settings.instance
        if home is None:
            return (
                self.failure(outcomes.WRONG_DATABASE, "unknown database"),
                "",
                own_instance,
            )
        if not self.groups.knows_evacuations():
            # Others forward to an instance that has just started; they try another.
            text = "the evacuations are not known yet, not run"
            return self.failure(outcomes.UNREACHABLE, text), "", own_instance
        refusal = self._refuse_evacuated(req)
        if refusal is not None:
            return refusal, "", own_instance
        if not req.transaction and not self.groups.accepts_requests(req.database):
            return self._not_accepted(req.database), "", own_instance
        if req.transaction and not stopping.accepts_statement(
            self.cluster.stop, self.now(), req.timeout
        ):
            home.roll_back(req.transaction)
            text = "the database's home is stopping, rolled back"
            return self.failure(outcomes.ABORTED, text), "", own_instance
        floor = Position(req.floor_term, req.floor_index)
        if req.max_age >= 0 and not req.transaction:
            position = await self._floor(home.database.group, req.max_age)
            if position is None:
                self.metrics.count("refused.no_fence")
                answer = self.refusal(
                    home.database.group, "no primary is confirmed", NO_FENCE_RETRY_S
                )
                return answer, "", own_instance
            floor = max(floor, position)
        floor = floor if floor > Position(0, 0) else None
        answer, handle = await home.run(req, floor, origin)
        return answer, handle, own_instance

    def _refuse_evacuated(self, req):
        """Return an Answer if a transaction has to end for an evacuation, or None.

        Any statement for a database there gets no more time than is left.
        """
        left = self.groups.time_left(req.database)
        req.timeout = min(req.timeout, left.to_end_s)
        if not req.transaction or left.to_accept_s > 0:
            return None
        self.metrics.count("refused.evacuated")
        self.end_transaction_locally(req.database, req.transaction)
        text = "the data centre is evacuated, rolled back, retry in 300 ms"
        return self.failure(outcomes.ABORTED, text)

    def _not_accepted(self, database):
        """Return the Answer for a statement whose database accepts none."""
        group = self.groups.databases[database].group
        if not self.groups.is_evacuated(database):
            self.metrics.count("refused.leaving")
            return self.refusal(group, "the database is leaving", LEAVING_RETRY_S)
        self.metrics.count("refused.evacuated")
        answer = self.refusal(group, "the data centre is evacuated", LEAVING_RETRY_S)
        primary = self.groups.state(group).primary
        # The asker may not have learned of the new primary yet.
        is_replaced = primary not in (None, database)
        return answer._replace(code=outcomes.NOT_PRIMARY) if is_replaced else answer

    async def run(self, req, find_allowed=lambda: None):
        """Run a statement at a home that can reach its database.

        `find_allowed` returns the data centres that the statement may reach at present,
        None for all. Returns (answer, handle, home).
        """
        target = self.groups.databases.get(req.database)
        if target is None:
            return self.failure(outcomes.WRONG_DATABASE, "unknown database"), "", ""
        if not self.groups.accepts_requests(req.database):
            return self._not_accepted(req.database), "", ""
        homes = self.home_candidates(target, find_allowed())[:MAX_HOMES_TRIED]
        started_at, wait_s = self.now(), self.known_wait_s(target.name)
        timeout_s, target_s = req.timeout, req.target
        for instance in homes:
            # The lists may have changed while an earlier home was tried.
            if not self.is_allowed(target.name, instance, find_allowed()):
                answer = self.refuse_outside_regions(target.group), "", ""
                break
            answer = await self.run_at(instance, req)
            if answer[0].code != outcomes.UNREACHABLE:
                break
            self._note_unreachable(instance, req.database)
            elapsed_s = self.now() - started_at
            req.timeout = timeout_s - elapsed_s
            if target_s:
                req.target = target_s - elapsed_s
            if req.timeout <= 0:
                break
        if req.kind == "read" and not req.opening:
            elapsed_s = self.now() - started_at
            self._observe(target, req.workspace, answer[0], elapsed_s, wait_s)
        return answer

    def _observe(self, database, workspace, answer, elapsed_s, wait_s):
        """Record how a database has answered a read that was sent `elapsed_s` ago.

        `wait_s` is the wait that was known when it was sent.
        """
        if not self.groups.competes(database.group):
            return
        state, now = self._contention, self.now()
        is_busy = answer.code == outcomes.OVERLOADED and answer.position is not None
        if answer.code in FAILING_CODES or is_busy:
            self.metrics.count("choice.failing")
            contention.record_failure(state, now, database.name, random)
        elif answer.code == outcomes.OK:
            wait_s = max(wait_s, self.known_wait_s(database.name))
            network_s = self._network_s(database.data_centre)
            time_s = max(0.0, elapsed_s - wait_s - network_s)
            contention.record_answer(state, now, database.name, time_s)
            contention.record_served(
                state, now, database.group, workspace, database.name
            )

    async def run_at(self, instance, req):
        """Run a statement at a given instance; return (answer, handle, home)."""
        if instance == self.settings.instance:
            return await self.run_locally(req, self._local_origin)
        refusal = self._refuse_evacuated(req)
        if refusal is not None:
            self.end_transaction(req.database, instance, req.transaction)
            return refusal, "", instance
        timeout_s = req.timeout + LINK_MARGIN_S
        if req.kind == "read" and not req.transaction:
            # The read can be retried elsewhere, so do not wait long for this home.
            timeout_s = min(timeout_s, REMOTE_READ_TIMEOUT_S)
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
            return (
                self.failure(code, "the database's home was lost"),
                "",
                instance,
            )
        resp = unpack(idl.RunAnswer, body)
        self._loads[req.database] = (self.now(), resp.wait)
        if resp.pace:
            self.paces[req.database] = (self.now(), resp.pace)
            self._failing[req.database] = (self.now(), resp.failing or 0.0)
        position = Position(resp.term, resp.index) if resp.term else None
        answer = Answer(
            resp.code, resp.text, tuple(resp.rows), bool(resp.transaction), position
        )
        return answer, resp.transaction, instance

    def end_transaction(self, database, home, handle):
        """Roll back an open transaction at its home."""
        if home == self.settings.instance:
            self.end_transaction_locally(database, handle)
        else:
            body = f"{database} {handle}".encode()
            spawn(self._tasks, self._end_transaction_at(home, body))

    async def _end_transaction_at(self, home, body):
        try:
            await self.cluster.call(home, "end", body, COMMAND_TIMEOUT_S)
        except LinkLost:
            self.metrics.count("link.end_failed")

    def end_transaction_locally(self, database, handle):
        """Roll back an open transaction whose home is this instance."""
        home = self.groups.homes.get(database)
        if home is not None:
            home.roll_back(handle)

    def wait_s(self, database):
        """Return the expected wait for a slot of a database at this instance."""
        home = self.groups.homes.get(database)
        return home.wait_s() if home else 0.0

    def known_wait_s(self, database):
        """Return the expected wait at a database, 0 if no recent answer told it."""
        if database in self.groups.homes:
            return self.wait_s(database)
        reported_at, wait_s = self._loads.get(database, (-LOAD_VALID_S, 0.0))
        return wait_s if self.now() - reported_at < LOAD_VALID_S else 0.0

    def pacer(self, database):
        """Return the pacer of a database's home here, None if nothing is paced."""
        home = self.groups.homes.get(database)
        return home.pacer if home is not None and home.pacer.applies else None

    def _failing_cost_s(self, database):
        """Return the expected time that statements failing at a database cost."""
        pacer = self.pacer(database)
        if pacer is not None:
            return FAILED_COST_S * pacer.failing()
        reported_at, share = self._failing.get(database, (0.0, 0.0))
        is_valid = self.now() - reported_at < FAILING_VALID_S
        return FAILED_COST_S * share if is_valid else 0.0

    # Interface for sessions

    def competes(self, group):
        """Return whether workspaces compete for connections to a group's databases."""
        return self.groups.competes(group)

    def refusal(self, group, reason, wait_s):
        """Return an Answer that refuses a statement as not run, to retry later.

        `wait_s` is the expected wait. Where workspaces compete for connections, the
        time to retry after is spread over a range.
        """
        if self.groups.competes(group):
            wait_s = retries.spread_retry_s(wait_s, random)
        text = f"{reason}, not run, retry in {round(wait_s * 1000)} ms"
        return self.failure(outcomes.OVERLOADED, text)

    def is_allowed(self, database, home, allowed):
        """Return whether a statement may reach a database through a home.

        `allowed` holds the data centres that its lists allow, None for all. The
        instance that the caller is connected to may always be the home, and is if
        `home` is None.
        """
        if allowed is None:
            return True
        item = self.groups.databases.get(database)
        if item is None or item.data_centre not in allowed:
            return False
        is_own = home in (None, self.settings.instance)
        return is_own or self.cluster.data_centre_of(home) in allowed

    def has_allowed(self, group, allowed):
        """Return whether a statement may reach some database of a group."""
        if allowed is None:
            return True
        return any(x.data_centre in allowed for x in self.groups.members(group))

    def refuse_outside_regions(self, group):
        """Return an Answer that refuses what no allowed database may serve."""
        self.metrics.count("refused.regions")
        reason = "no database for it in the allowed regions"
        return self.refusal(group, reason, OUTSIDE_REGIONS_RETRY_S)

    def refuse_without_primary(self, group):
        """Return an Answer that refuses a statement as no primary is known."""
        return self.refusal(group, "no primary is known", NO_PRIMARY_RETRY_S)

    def refuse_overloaded(self, group):
        """Return an Answer that refuses what no database can start in time."""
        self.metrics.count("refused.no_capacity")
        waits = [self.known_wait_s(item.name) for item in self.groups.members(group)]
        return self.refusal(group, "overloaded", min(waits, default=0.0))

    def failure(self, code, text):
        """Return an Answer for a failure that this instance has detected."""
        return Answer(code, text, (), False, None)

    def new_request(self, **fields):
        """Return a RunRequest with these fields set."""
        req = idl.RunRequest(
            floor_term=0,
            floor_index=0,
            max_age=-1.0,
            opening="",
            transaction="",
            target=0.0,
        )
        for name, value in fields.items():
            setattr(req, name, value)
        return req

    def is_primary(self, route, database):
        """Return whether a database is the known primary of the route's group."""
        return self.groups.state(route.group).primary == database

    def choose_reader(self, route, tried, workspace="", allowed=None):
        """Return a database for a read that replicas may serve, or None.

        `tried` holds the names of the databases to leave out, `allowed` the data
        centres that the read may reach, None for all.
        """
        now = self.now()
        primary = self.groups.state(route.group).primary
        candidates = [
            placing.Candidate(
                item.name,
                item.name == primary,
                self._behind_until.get(item.name, 0.0) > now,
                self.known_wait_s(item.name),
                self._network_s(item.data_centre),
                excess_s=self._failing_cost_s(item.name),
            )
            for item in self.groups.members(route.group)
            if not item.is_leaving
            and self.groups.accepts_requests(item.name)
            # An evacuated primary serves only what no other database may.
            and not self.groups.is_evacuated(item.name)
            and (allowed is None or item.data_centre in allowed)
        ]
        if self.groups.competes(route.group):
            candidates = self._weigh(route.group, workspace, candidates, now)
            candidates = [item for item in candidates if item.name not in tried]
            chosen = placing.choose_assigned(candidates, random)
            if chosen is not None and not chosen.is_primary:
                place = "second" if chosen.rank else "first"
                self.metrics.count(f"choice.{place}")
            elif chosen is not None:
                self.metrics.count("choice.primary")
        else:
            candidates = [item for item in candidates if item.name not in tried]
            chosen = placing.choose(candidates, random)
        return chosen.name if chosen else None

    def _weigh(self, group, workspace, candidates, now):
        """Return candidates with their ranks and what was observed of them."""
        state = self._contention
        names = tuple(item.name for item in self.groups.members(group))
        order = contention.assigned_order(state, group, names, workspace)
        replicas = {item.name for item in candidates if not item.is_primary}
        ranks = {name: n for n, name in enumerate(x for x in order if x in replicas)}
        excess = contention.excess_times(state, now, [x.name for x in candidates])
        return [
            item._replace(
                rank=ranks.get(item.name, 0),
                excess_s=item.excess_s + excess[item.name],
                is_failing=contention.is_left(state, now, item.name),
                keeps_connection=contention.keeps_connection(
                    state, now, group, workspace, item.name
                ),
            )
            for item in candidates
        ]

    def _network_s(self, data_centre):
        settings = self.settings
        if data_centre == settings.data_centre:
            return 0.0
        regions = self.regions
        same_region = regions.get(data_centre) == regions.get(settings.data_centre)
        return SAME_REGION_RTT_S if same_region else CROSS_REGION_RTT_S

    def note_answer(self, req, route, answer):
        """Update the known state of a database from the code of its answer."""
        if answer.code == outcomes.BEHIND:
            self._behind_until[req.database] = self.now() + BEHIND_EXCLUDED_S
        elif answer.code == outcomes.NOT_PRIMARY:
            state = self.groups.state(route.group)
            if state.primary == req.database:
                logs.event("primary_denied", group=route.group, database=req.database)
                state.primary = None

    async def wait_primary(self, group, wait_s):
        """Return the group's primary; wait up to `wait_s` until one is known.

        Return None at once if evacuations leave no database that may lead. Where
        workspaces compete for connections, a statement doesn't wait for a primary that
        has been unknown for longer than that.
        """
        end = self.now() + wait_s
        state = self.groups.state(group)
        while True:
            if self.groups.is_out_of_service(group):
                self.metrics.count("refused.evacuated")
                return None
            if state.primary in self.groups.databases:
                self._without_primary.pop(group, None)
                return state.primary
            is_waited_for = not self.competes(group) or (
                self._primary_missing_s(state) <= wait_s
            )
            if self.now() >= end or not is_waited_for:
                self.metrics.count("refused.no_primary")
                return None
            await asyncio.sleep(PRIMARY_POLL_S)

    def _primary_missing_s(self, state):
        """Return for how many seconds statements have found no primary of a group."""
        term, since = self._without_primary.get(state.name, (None, 0.0))
        if term != state.term:  # there was another primary in between
            since = self.now()
            self._without_primary[state.name] = (state.term, since)
        return self.now() - since


def pack_answer(answer, handle, wait_s, pacer=None):
    """Return an Answer, its transaction's handle and the pace as bytes.

    An answer that fits into no frame becomes an error, which says that it ran.
    """
    body = _pack_answer(answer, handle, wait_s, pacer)
    if len(body) <= MAX_FRAME_BYTES:
        return body
    metering.meter.note("frame_too_large", bytes=len(body))
    text = f"the answer has {len(body)} bytes, at most {MAX_FRAME_BYTES} are forwarded"
    answer = answer._replace(code=outcomes.FAILED, text=text, rows=())
    return _pack_answer(answer, handle, wait_s, pacer)


def _pack_answer(answer, handle, wait_s, pacer):
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
            pace=float(pacer.limit()) if pacer else None,
            failing=pacer.failing() if pacer else None,
        )
    )


def pack_status(status, is_timed):
    """Return a DatabaseStatus, or None, as bytes.

    Earlier builds can't read one that is timed, with the age of its connection.
    """
    fields = list(status) if status else None
    if fields and not is_timed:
        fields = fields[:-1]
    return json.dumps(fields).encode()


def unpack_status(body):
    """Return the DatabaseStatus in bytes, or None; may raise MalformedDocument."""
    return decoding.decode(body, DatabaseStatus | None)
