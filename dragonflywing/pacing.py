"""The pace of databases at their homes, and the fleet's rate for cold ones.

Connects the decisions of `pace` and `warmup` with homes, the division of rates and
the databases' entries. They apply to groups whose workspaces compete for connections
and to those with a warm-up in their configuration. Elsewhere all slots are in use.
"""

import asyncio
import math

from dragonflywing import logs, outcomes
from dragonflywing.clock import boottime
from dragonflywing.decisions import division, pace, warmup
from dragonflywing.decisions.pace import Result

# A new home begins at the pace that it saw in an answer for so long, be it that of the
# home before or its own.
LEARNED_VALID_S = 2.0
# Databases that are first listed within this time of the first one were running
# before this instance was.
INITIAL_LIST_S = 2.0
MIN_SLEEP_S = 0.001  # a shorter wait may round to none
MAX_STARTS = 1000  # databases whose start is remembered

MAX_WAIT_S = 60.0  # the longest wait that is reported

# The code of a statement whose answer was lost, beside those of outcomes.
LOST = "lost"
RESULTS = {
    outcomes.OK: Result.GOOD,
    outcomes.OVERLOADED: Result.REFUSED,
    outcomes.NO_CONNECTION: Result.REFUSED,
    outcomes.FAILED: Result.FAILED,
    LOST: Result.FAILED,
}


def _now():
    return asyncio.get_running_loop().time()


class Gate:
    """Admits requests to a cold database at this instance's part of the rate."""

    def __init__(self, state, bucket, metrics):
        self.state = state
        self.bucket = bucket
        self.metrics = metrics
        self.waiting = 0
        self._next_status_at = -math.inf
        self._lock = asyncio.Lock()

    def _admit(self):
        if self.bucket not in self.state.buckets:
            return 0.0  # the database is warm
        return division.admit(self.state, boottime(), self.bucket)

    def _count_arrivals(self, count):
        if self.bucket in self.state.buckets:
            for _ in range(count):
                division.count_arrival(self.state, self.bucket)

    def _per_s(self):
        """Return this instance's part of the rate, infinity if there is no limit."""
        bucket = self.state.buckets.get(self.bucket)
        if bucket is None:
            return math.inf
        return bucket.rate * division.share(self.state, self.bucket)

    def wait_s(self):
        """Return the expected wait of a further statement."""
        bucket = self.state.buckets.get(self.bucket)
        if bucket is None:
            return 0.0
        missing = self.waiting + max(0.0, 1.0 - bucket.tokens)
        return min(MAX_WAIT_S, missing / self._per_s())

    async def take(self, deadline, count):
        """Take tokens in turn; return 0, or the seconds after which to retry."""
        self._count_arrivals(count)
        wait_s = self.wait_s() if self.waiting else 0.0
        if _now() + wait_s > deadline:
            return wait_s
        self.waiting += count
        try:
            async with self._lock:
                for _ in range(count):
                    while (wait_s := self._admit()) > 0:
                        if _now() + wait_s > deadline:
                            return wait_s
                        self.metrics.count("cold.waited")
                        await asyncio.sleep(max(wait_s, MIN_SLEEP_S))
        finally:
            self.waiting -= count
        return 0.0

    async def charge(self, count, max_wait_s):
        """Take tokens before the statements that wait; return whether there are any.

        There are none if they would be available only after `max_wait_s`.
        """
        self._count_arrivals(count)
        longest_s = 0.0
        for _ in range(count):
            wait_s = self._admit()
            if wait_s > max_wait_s:
                return False
            if wait_s > 0:
                division.reserve(self.state, boottime(), self.bucket)
                longest_s = max(longest_s, wait_s)
        await asyncio.sleep(longest_s)
        return True

    async def charge_status(self, max_wait_s):
        """Take a token for a status query; return whether there was one in time.

        Queries go before the statements, but use no more than half of the tokens.
        """
        due_at = max(_now(), self._next_status_at)
        wait_s = due_at - _now()
        if wait_s > max_wait_s:
            return False
        self._next_status_at = due_at + min(MAX_WAIT_S, 2 / self._per_s())
        is_granted = await self.charge(1, max_wait_s)
        if is_granted:
            await asyncio.sleep(max(0.0, due_at - _now()))
        return is_granted

    def reserve(self):
        """Count a request that can't wait; later ones wait for longer."""
        if self.bucket in self.state.buckets:
            division.reserve(self.state, boottime(), self.bucket)


class Pacer:
    """The pace of one database at this instance.

    `gate` is set while the database is cold and the fleet's rate for it is limited.
    Without `applies`, all slots are in use and nothing is noted.
    """

    def __init__(self, database, metrics):
        self.name = database.name
        self.slots = database.slots
        self.metrics = metrics
        self.state = pace.PaceState(database.slots)
        self.applies = False
        self.is_home = False
        self.gate = None

    def begin(self, reason, limit=pace.START_LIMIT):
        """Begin anew at a limit, the lowest by default."""
        if self.applies:
            self.state.begin(_now(), limit)
            self.metrics.count(f"pace.{reason}")
            logs.event("pace", database=self.name, reason=reason, limit=limit)

    def limit(self):
        """Return how many statements may be in flight."""
        if not self.applies:
            return self.slots
        return pace.in_flight_limit(self.state, _now())

    def pause_s(self):
        """Return the seconds until the next statement may start; usually 0."""
        return pace.pause_s(self.state, _now()) if self.applies else 0.0

    def wait_s(self):
        """Return the expected wait beside that for a slot."""
        return max(self.pause_s(), self.gate.wait_s() if self.gate else 0.0)

    def failing(self):
        """Return the share of statements that failed lately, from 0 to 1."""
        return pace.failing(self.state, _now()) if self.applies else 0.0

    def note_statement(self, started_at, kind, code, in_flight):
        """Note the code with which a statement ended."""
        result = RESULTS.get(code)
        if not self.applies or result is None:
            return
        if result is Result.FAILED:
            self.metrics.count("pace.failed_statement")
        fell_at = self.state.fell_at
        pace.note_answer(self.state, _now(), started_at, kind, result, in_flight)
        if self.state.fell_at != fell_at:
            self.metrics.count("pace.fell")

    def note_round_trip(self, started_at):
        """Note the time of an exchange that needs no slot."""
        if self.applies:
            now = _now()
            pace.note_round_trip(self.state, now, now - started_at)

    # Connections

    def may_connect(self):
        """Return whether a connection may be opened now."""
        return not self.applies or pace.may_connect(self.state, _now())

    def connect_pause_s(self):
        """Return the seconds until the rate allows another connection; 0 if it does."""
        return max(0.0, self.state.next_connect_at - _now()) if self.applies else 0.0

    def begin_connect(self):
        """Note that a connection is being opened; return a function for its end."""
        started_at = _now()
        pace.begin_connect(self.state, started_at)

        def end(result):
            began_at = self.state.began_at
            pace.end_connect(self.state, _now(), started_at, result)
            if self.applies and self.state.began_at != began_at:
                self.metrics.count("pace.recovered")
                logs.event("pace", database=self.name, reason="recovered", limit=1)

        return end

    def pace_connects(self):
        """Open connections slowly for a while, as another database's load arrives."""
        if self.applies:
            pace.pace_connects(self.state, _now())

    def note_unreachable(self):
        """Note that the database can't be reached."""
        pace.note_unreachable(self.state, _now())

    # The rate of a cold database

    async def take(self, deadline, count=1):
        """Take tokens; return 0, or the seconds after which to retry."""
        if self.gate is None:
            return 0.0
        wait_s = await self.gate.take(deadline, count)
        if wait_s:
            self.metrics.count("refused.cold")
        return wait_s

    async def charge(self, count, max_wait_s):
        """Take tokens with precedence; return whether there were any in time."""
        return self.gate is None or await self.gate.charge(count, max_wait_s)

    async def charge_status(self, max_wait_s):
        """Take a token for a status query; return whether there was one in time."""
        return self.gate is None or await self.gate.charge_status(max_wait_s)

    def reserve(self):
        """Count a request that can't wait."""
        if self.gate is not None:
            self.gate.reserve()


class Pacing:
    """The pacers of an instance's homes, and the buckets of cold databases.

    `learned` returns (time, limit) of the latest answer of another home of a database
    that told its pace, or None.
    """

    def __init__(self, settings, groups, cluster, division_state, learned):
        self.settings = settings
        self.groups = groups
        self.cluster = cluster
        self.division = division_state
        self.learned = learned
        self._workspace_limits = {}
        self._cold = {}  # {database: its group's `cold_per_s`}
        self._gates = {}
        self._starts = {}  # {database: (born, warmup.Start)}
        self._evacuated = set()  # the data centres of databases
        self._listed_since = None
        groups.on_entry = self.note_entry
        groups.on_home = self.prepare
        groups.is_cold = lambda name: name in self._cold

    # Cold databases

    def note_entry(self, database):
        """Note a database's entry, which was just read."""
        now = _now()
        if self._listed_since is None:
            self._listed_since = now
        born, start = self._starts.pop(database.name, (None, None))
        is_initial = now - self._listed_since < INITIAL_LIST_S
        has_started = born != database.born and not (born is None and is_initial)
        if born != database.born:
            start = None
        start = warmup.note_entry(start, now, database.warmup_left_s, has_started)
        self._starts[database.name] = database.born, start
        if len(self._starts) > MAX_STARTS:
            del self._starts[next(iter(self._starts))]

    def cold_s(self, database):
        """Return for how many more seconds a database is cold; 0 if it isn't."""
        spec = self.groups.specs.get(database.group)
        _, start = self._starts.get(database.name, (None, None))
        if spec is None or start is None:
            return 0.0
        now, evacuated_at = _now(), None
        # Not the earliest time at which it may have begun, and also after it was
        # cancelled: the caches are still empty.
        learned_at = self.groups.evacuation_learned_at(database.data_centre)
        if learned_at is not None:
            evacuated_at = now - (boottime() - learned_at)
        return warmup.cold_s(start, now, spec.warmup_s, evacuated_at)

    def set_workspaces(self, limits):
        """Set {workspace: (rate, burst)} of the configuration in force."""
        self._workspace_limits = limits
        self._cold = self._find_cold()
        self._configure()

    def _find_cold(self):
        cold = {}
        for name, database in self.groups.databases.items():
            spec = self.groups.specs.get(database.group)
            if spec and spec.cold_per_s > 0 and self.cold_s(database) > 0:
                cold[name] = spec.cold_per_s
        return cold

    def _configure(self):
        settings = self.settings
        limits = warmup.limits(self._cold, settings.warmup_over, settings.warmup_slack)
        division.configure(
            self.division, boottime(), self._workspace_limits | limits, limits.keys()
        )
        for name in [name for name in self._gates if name not in self._cold]:
            del self._gates[name]

    def update(self):
        """Update what follows from the time and the configuration."""
        self._update_cold()
        self._claim_shares()
        self._follow_evacuations()
        for home in self.groups.homes.values():
            self._update_home(home)

    def _claim_shares(self):
        """Let cold databases' homes have the demand of the whole rate.

        Readers avoid a home without tokens, so its own demand would stay low.
        """
        for name in self._cold:
            bucket = self.division.buckets[warmup.bucket_name(name)]
            database = self.groups.databases.get(name)
            if database is not None and self._is_home(database):
                bucket.arrivals += math.ceil(bucket.rate * division.DEMAND_PERIOD_S)

    def _follow_evacuations(self):
        """Pace the connections to databases that take over an evacuated load."""
        databases = self.groups.databases.values()
        data_centres = {item.data_centre for item in databases}
        since = self.groups.evacuated_since
        evacuated = {x for x in data_centres if since(x) is not None}
        begun = evacuated - self._evacuated
        moved = {item.group for item in databases if item.data_centre in begun}
        for home in self.groups.homes.values():
            if home.database.group in moved and home.database.data_centre not in begun:
                home.pacer.pace_connects()
        self._evacuated = evacuated

    def _is_home(self, database):
        return self.cluster.home_candidates(database)[0] == self.settings.instance

    def _update_cold(self):
        cold = self._find_cold()
        if cold == self._cold:
            return
        for name in cold.keys() ^ self._cold.keys():
            logs.event("cold" if name in cold else "warm", database=name)
        self._cold = cold
        self._configure()

    # Homes

    def prepare(self, home):
        """Set up the pacer of a new home."""
        self._update_cold()
        self._update_home(home)

    def _update_home(self, home):
        pacer, database = home.pacer, home.database
        spec = self.groups.specs.get(database.group)
        pacer.applies = spec is not None and (
            spec.warmup_s > 0 or spec.cold_per_s > 0 or self.groups.competes(spec.name)
        )
        pacer.gate = self._gate(database.name, home.metrics)
        if pacer.applies:
            self._update_pace(pacer, database, spec)
        home.slots.set_limit(pacer.limit())

    def _gate(self, name, metrics):
        if name not in self._cold:
            return None
        if name not in self._gates:
            bucket = warmup.bucket_name(name)
            self._gates[name] = Gate(self.division, bucket, metrics)
        return self._gates[name]

    def _update_pace(self, pacer, database, spec):
        own_instance = self.settings.instance
        is_first = self.cluster.first_home(database) == own_instance
        bound = pacer.slots
        if not is_first or self.cluster.is_isolated():
            # The first home may still send statements.
            bound = bound // 2
        pace.set_bounds(pacer.state, bound, spec.warmup_s)
        is_home = self._is_home(database)
        is_in_use = _now() - pacer.state.last_good_at < LEARNED_VALID_S
        becomes_home = is_home and not pacer.is_home and not is_in_use
        if pacer.state.began_at == -math.inf or becomes_home:
            pacer.begin("home", self._learned_limit(pacer, spec))
        pacer.is_home = is_home

    def _learned_limit(self, pacer, spec):
        """Return the limit at which a new home begins.

        It is the one that another home has just told. Without it, a database that has
        just started or that may warm up begins low; any other one is as fast as before.
        """
        at, limit = self.learned(pacer.name) or (-math.inf, 0.0)
        _, start = self._starts.get(pacer.name, (None, None))
        unknown = pace.START_LIMIT if spec.warmup_s > 0 else float(pacer.slots)
        if start is not None and start.started_at is not None:
            if at <= start.started_at:
                return pace.START_LIMIT  # it was that of the process before
            unknown = pace.START_LIMIT
        return limit if _now() - at < LEARNED_VALID_S else unknown
