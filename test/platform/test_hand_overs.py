"""Hand-overs of the promotion duty while orders are under way, with processes.

Long runs: python -m test.platform.test_hand_overs FIRST_SEED COUNT ROUNDS INSTANCES
[MOVE ...] [databases=N] [effect=S] [logs=FOLDER]. The holder's moves are cut, cut_duty,
freeze and end. With moves of the databases (join, leave, restart, rename), or losses of
the primary (crash, unheard, cut_some, cut_all, cut_replicas), these happen from shortly
before an order to its effect, which comes up to S seconds (5) after it. With unlist and
deafen, a replica that goes on receiving is no longer listed before the primary is lost,
and the others receive nothing.
"""

import asyncio
import contextlib
import random
import shutil
import signal
import sys
import tempfile
from collections import Counter
from typing import NamedTuple

import pytest

from dragonflywing.standin.platform_database import ignores_control
from test.helper import run
from test.platform.deployment import DATA_CENTRES, deployed

MAX_DELAY_S = 4.0  # from the crash of a primary to what happens to the duty's holder
MAX_LENGTH_S = 5.5  # of cuts and freezes
REPLACED_WITHIN_S = 20.0
RETURNS_AFTER_S = 12.0  # a primary that is not replaced
MIN_EFFECT_S = 0.3
MAX_EFFECT_S = 5.0
HOLDER_MOVES = ("cut", "cut_duty", "freeze", "end")
DATABASE_MOVES = ("join", "leave", "restart", "rename")
ENDING_MOVES = {"leave", "rename"}  # a log is gone, or under another name
UNLISTED_S = 4.0  # at most, from the end of an entry to what follows
DEAF_S = 1.8  # at most, until the primary is lost
LOSSES = ("crash", "unheard", "cut_some", "cut_all", "cut_replicas")


class Writes:
    """The writes that callers were told of, and those that a primary lacks."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.acknowledged = {}
        self.lost = {}  # {item: the promotion that lost it}
        self.effects = []
        self.longest_gap_s = 0.0
        self._last_at = asyncio.get_running_loop().time()
        deployment.group.on_effect = self.note_effect

    def note(self, item, data):
        """Note an acknowledged write; the present primary has to hold it."""
        now = asyncio.get_running_loop().time()
        self.longest_gap_s = max(self.longest_gap_s, now - self._last_at)
        self._last_at = now
        self.acknowledged[item] = data
        leader = self.deployment.group.leader()
        if leader is not None and leader.value(item)[1] != data:
            self.lost.setdefault(item, f"acknowledged later than term {leader.term}")

    def note_effect(self, database):
        """Compare a promoted database's log with what was acknowledged."""
        self.effects.append(f"{database.name}@{database.term}.{len(database.log)}")
        for item in self.deployment.group.databases.values():
            if item.is_up:
                self.deployment.put_database_entry(item)
        self.compare(database)

    def compare(self, database):
        """Note the acknowledged writes that a primary's log lacks."""
        held = {item: data for entry in database.log for _, item, data in entry.writes}
        for item, data in self.acknowledged.items():
            if held.get(item) != data:
                self.lost.setdefault(item, f"promotion of {self.effects[-1:]}")


class HandOvers:
    """Crashes primaries and disturbs the holder of the duty meanwhile."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.kinds = list(HOLDER_MOVES)
        self.writes = Writes(deployment)
        self.moves = []
        self.lower_tokens = 0
        self.unreplaced = 0  # primaries that came back before another one led

    async def write(self, name):
        """Write on one instance's sessions until cancelled."""
        number = 0
        while True:
            with contextlib.suppress(OSError, AssertionError, TimeoutError):
                caller = await self.deployment.connect(name, "orders")
                while not isinstance(caller, str):
                    number += 1
                    item = f"{name}.{number}"
                    code, _, _ = await caller.query(f"WRITE {item} {number}")
                    if not code:
                        self.writes.note(item, str(number))
                    await asyncio.sleep(0.02)
            await asyncio.sleep(0.1)

    async def wait_for_order(self):
        """Wait for a moment at which an order is about to be sent, or any moment."""
        end = asyncio.get_running_loop().time() + MAX_DELAY_S
        if self.rng.random() < 0.3:
            end -= self.rng.uniform(0.0, MAX_DELAY_S)
        while asyncio.get_running_loop().time() < end:
            databases = self.deployment.group.databases.values()
            if any(item.promised for item in databases):
                break
            await asyncio.sleep(0.001)
        await asyncio.sleep(self.rng.choice([0.0, 0.0, 0.002, 0.005, 0.02]))

    async def disturb(self, name):
        """Do something to the holder of the duty."""
        length_s = self.rng.uniform(0.5, MAX_LENGTH_S)
        move = getattr(self, self.rng.choice(self.kinds))
        self.moves.append(f"{move.__name__} {name} {length_s:.2f}")
        await move(name, length_s)

    async def cut(self, name, length_s):
        """Cut an instance from the platform."""
        for network in self.deployment.networks[name]:
            network.cut()
        await asyncio.sleep(length_s)
        for network in self.deployment.networks[name]:
            network.heal()

    async def cut_duty(self, name, length_s):
        """Cut an instance from the promotion service only."""
        _, duty = self.deployment.networks[name]
        duty.cut()
        await asyncio.sleep(length_s)
        duty.heal()

    async def freeze(self, name, length_s):
        """Let an instance stand still."""
        process = self.deployment.processes[name]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(length_s)
        process.send_signal(signal.SIGCONT)

    async def end(self, name, length_s):
        """End an instance and start it again, cut from the promotion service."""
        _, duty = self.deployment.networks[name]
        duty.cut()
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        process = self.deployment.processes[name]
        number = self.rng.choice([signal.SIGTERM, signal.SIGKILL])
        self.moves.append(number.name)
        process.send_signal(number)
        await process.wait()
        duty.heal()
        number = int(name.split("-")[1])
        await self.deployment.start_instance(name, DATA_CENTRES[number % 3])
        await self.deployment.wait_ready(name)

    def replicas_of(self, primary):
        """Return the other databases, in the order of their names."""
        databases = sorted(self.deployment.group.databases.items())
        return [item for _, item in databases if item is not primary]

    def primary(self):
        """Return the database that leads, None if there is none."""
        databases = self.deployment.group.databases.values()
        return next((x for x in databases if x.is_up and x.is_primary), None)

    async def crash_primary(self):
        """Crash the primary; bring it back once another one leads."""
        crashed = self.primary()
        crashed.crash()
        crashed.is_primary = False
        end = asyncio.get_running_loop().time() + REPLACED_WITHIN_S
        while self.primary() is None:
            assert asyncio.get_running_loop().time() < end, "no primary was promoted"
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        await crashed.restart()
        number = int(crashed.name.split("-")[1])
        self.deployment.put_database_entry(crashed, DATA_CENTRES[number % 3])

    async def run(self, rounds):
        """Crash primaries; return what broke a promise."""
        deployment = self.deployment
        deployment.group.promote_s = 0.3
        writers = [
            asyncio.create_task(self.write(name)) for name in deployment.processes
        ]
        await asyncio.sleep(2)
        for _ in range(rounds):
            crash = asyncio.create_task(self.crash_primary())
            await self.wait_for_order()
            name = deployment.duty_holder()
            if name is not None:
                await self.disturb(name)
            await crash
            await asyncio.sleep(2)
        for task in writers:
            task.cancel()
        return self.find_broken()

    def find_logged(self, name, token):
        """Return the lines of an instance's log that name a fencing token."""
        lines = self.deployment.log_of(name).splitlines()
        return [line[:160] for line in lines if f"token={token}" in line]

    def find_broken(self):
        """Return a line for each order with a lower token and each lost write."""
        broken, greatest = [], 0
        for holder, token, _, database in self.deployment.platform.promotions:
            if token < greatest:
                self.lower_tokens += 1
                broken.append(f"{holder} orders {database}: {token} after {greatest}")
                broken += self.find_logged(holder, token)
            greatest = max(greatest, token)
        leader = self.deployment.group.leader()
        if leader is None:
            broken.append("no database leads at the end")
        else:
            self.writes.compare(leader)
        for cause, number in Counter(self.writes.lost.values()).items():
            broken.append(f"lost {number}: {cause}")
        return broken


class Replacements(HandOvers):
    """Loses primaries and disturbs the databases until an order takes effect."""

    def __init__(self, deployment, seed, words):
        super().__init__(deployment, seed)
        self.kinds = [word for word in words if word in HOLDER_MOVES]
        self.database_kinds = [word for word in words if word in DATABASE_MOVES]
        self.leaderless = 0  # rounds in which no database led within that time
        self.isolations = {"unlist", "deafen"} & set(words)
        self.losses = [word for word in words if word in LOSSES] or ["unheard"]
        self.moved = set()  # databases that are joining, ending or restarting

    def replicas(self):
        """Return the databases that are up and don't lead."""
        databases = self.deployment.group.databases.values()
        return [
            item
            for item in databases
            if item.is_up and not item.is_primary and item.name not in self.moved
        ]

    async def move(self, kind):
        """Do something to a replica."""
        replica = self.rng.choice(self.replicas())
        paused = "paused" if replica.promised else "not paused"
        self.moves.append(f"{kind} {replica.name}, {paused}")
        self.moved.add(replica.name)
        await getattr(self, kind)(replica)
        self.moved.discard(replica.name)

    async def join(self, _):
        """Let a database join."""
        await self.deployment.join()

    async def leave(self, replica):
        """Let a replica leave; another one takes its place later."""
        await self.deployment.leave(replica, self.rng.uniform(0.0, 2.0))
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        await self.deployment.join()

    async def restart(self, replica):
        """Restart a replica."""
        down_s = self.rng.uniform(0.0, 0.4)
        await self.deployment.restart_database(replica, down_s)

    async def rename(self, replica):
        """Let a replica come back under another name."""
        await self.deployment.rename(replica)

    async def isolate(self):
        """Let one replica be unlisted, and then the others receive nothing."""
        replicas = self.rng.sample(self.replicas(), len(self.replicas()))
        if "unlist" in self.isolations and self.rng.random() < 0.8:
            self.moves.append(f"unlist {replicas[0].name}")
            self.deployment.platform.delete(f"servers/{replicas[0].name}")
            await asyncio.sleep(self.rng.uniform(0.0, UNLISTED_S))
        if "deafen" in self.isolations and self.rng.random() < 0.8:
            self.moves += [f"deafen {item.name}" for item in replicas[1:]]
            for item in replicas[1:]:
                item.is_cut_off = True
            await asyncio.sleep(self.rng.uniform(0.0, DEAF_S))

    def end_isolation(self):
        """List all databases that run, and let them receive."""
        for item in self.deployment.group.databases.values():
            if item.is_up and self.isolations and item.name not in self.moved:
                item.is_cut_off = False
                item.catch_up()
                self.deployment.put_database_entry(item)

    async def lose(self, primary):
        """Let the primary crash or be cut."""
        deployment, group = self.deployment, self.deployment.group
        loss = self.rng.choice(self.losses)
        others = [name for name in group.databases if name != primary.name]
        instances = sorted(deployment.processes)
        if loss == "crash":
            primary.crash()
        elif loss == "unheard":
            primary.ignores = ignores_control
        elif loss == "cut_some":
            number = self.rng.randint(1, len(instances) - 1)
            deployment.cut_from(primary, set(self.rng.sample(instances, number)))
        elif loss == "cut_all":
            deployment.cut_from(primary, set(instances))
        if loss == "cut_replicas":
            others = self.rng.sample(others, self.rng.randint(1, len(others)))
            group.cuts |= {frozenset((primary.name, name)) for name in others}
        self.moves.append(f"{loss} {primary.name}")

    async def wait_for_pause(self):
        """Wait until a database has been paused, or for a time."""
        end = asyncio.get_running_loop().time() + MAX_DELAY_S
        while not any(item.promised for item in self.replicas()):
            if asyncio.get_running_loop().time() > end:
                break
            await asyncio.sleep(0.01)

    async def disturb_databases(self):
        """Move replicas in the time from shortly before an order to its effect."""
        if not self.database_kinds:
            return
        if self.rng.random() < 0.8:
            await self.wait_for_pause()
        await asyncio.sleep(self.rng.uniform(0.0, 0.4))
        kinds, moves = set(self.database_kinds), []
        # A database that ends before a pause usually prevents the order.
        if not any(x.promised for x in self.replicas()) and self.rng.random() < 0.8:
            kinds = kinds - ENDING_MOVES or kinds
        for _ in range(self.rng.randint(1, 3)):
            kind = self.rng.choice(sorted(kinds))
            if kind in ENDING_MOVES:
                kinds = kinds - ENDING_MOVES or kinds
            if len(self.replicas()) > 1:
                moves.append(asyncio.create_task(self.move(kind)))
            await asyncio.sleep(self.rng.choice([0.0, 0.2, 0.8]))
        await asyncio.gather(*moves)

    async def wait_for_leader(self):
        """Return the database that leads; note if none does for long."""
        group = self.deployment.group
        end = asyncio.get_running_loop().time() + REPLACED_WITHIN_S
        while group.leader() is None:
            if asyncio.get_running_loop().time() > end:
                self.leaderless += 1
                return None
            await asyncio.sleep(0.05)
        return group.leader()

    async def replace_primary(self):
        """Lose a primary; bring it back once another one leads, or never will."""
        group = self.deployment.group
        await self.isolate()
        primary, count = await self.wait_for_leader(), len(self.writes.effects)
        if primary is None:
            return
        end = asyncio.get_running_loop().time() + RETURNS_AFTER_S
        await self.lose(primary)
        tasks = [asyncio.create_task(self.disturb_databases())]
        if self.kinds and self.rng.random() < 0.6:
            tasks.append(asyncio.create_task(self.disturb_holder()))
        while len(self.writes.effects) == count:
            if asyncio.get_running_loop().time() > end:
                self.unreplaced += 1
                break
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.rng.uniform(0.0, 3.0))
        if primary.is_up:
            group.heal(primary)
        elif group.databases.get(primary.name) is primary:  # it hasn't left
            primary.is_primary = group.leader() is None
            await self.deployment.restart_database(primary, 0.0)
        self.end_isolation()
        await asyncio.gather(*tasks)

    async def disturb_holder(self):
        """Disturb the holder of the duty around an order."""
        await self.wait_for_order()
        name = self.deployment.duty_holder()
        if name is not None:
            await self.disturb(name)

    async def trim(self):
        """Let databases leave that joined, down to the initial number."""
        extra = len(self.deployment.group.databases) - self.deployment.databases
        for replica in self.rng.sample(self.replicas(), max(0, extra)):
            await self.deployment.leave(replica, 0.5)

    async def run(self, rounds):
        """Lose primaries; return what broke a promise."""
        self.deployment.group.step_down_s = 1.0
        writers = [
            asyncio.create_task(self.write(name)) for name in self.deployment.processes
        ]
        await asyncio.sleep(2)
        for _ in range(rounds):
            await self.replace_primary()
            await asyncio.sleep(3)
            await self.trim()
            await asyncio.sleep(1)
        # An order whose database has ended is awaited for 8 s before the next one.
        await self.wait_for_leader()
        for task in writers:
            task.cancel()
        broken = self.find_broken()
        if self.leaderless:
            broken.append(f"no database led for {REPLACED_WITHIN_S} s")
        return broken


class Result(NamedTuple):
    """What a run did and found; `broken` holds a line for each broken promise."""

    moves: list
    broken: list
    orders: int
    written: int
    lost: int
    lower_tokens: int
    longest_gap_s: float
    unreplaced: int


async def check(folder, seed, rounds, instances, words=(), databases=3, effect_s=None):
    """Run hand-overs; return a Result.

    Orders take effect after up to `effect_s`, if the databases are disturbed too.
    """
    options = {"through_networks": True, "databases": databases}
    async with deployed(folder, instances, **options) as deployment:
        for name in deployment.keys:
            deployment.rates[name] = (4000, 4000)
        deployment.put_configuration()
        if set(words) <= set(HOLDER_MOVES):
            state = HandOvers(deployment, seed)
            state.kinds = words or state.kinds
        else:
            state = Replacements(deployment, seed, words)
            rng = random.Random(seed)
            deployment.group.promote_s = lambda: rng.uniform(
                MIN_EFFECT_S, effect_s or MAX_EFFECT_S
            )
        broken = await state.run(rounds)
        orders = deployment.platform.promotions
        if broken:
            state.moves += [str(orders), str(state.writes.effects)]
        return Result(
            state.moves,
            broken,
            len(orders),
            len(state.writes.acknowledged),
            len(state.writes.lost),
            state.lower_tokens,
            state.writes.longest_gap_s,
            state.unreplaced,
        )


class TestOrders:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_of_earlier_holders_never_come_after_later_ones(self, tmp_path, seed):
        # ONE and LOST: late orders made databases lead that lacked writes.
        result = run(check(tmp_path, seed, 4, 4))
        assert result.broken == [], result.moves
        assert result.orders >= 4 and result.written


class TestUnlisted:
    """Writes stay that only a database without an entry has received."""

    def test_are_in_no_log_that_is_promoted_without_them(self, tmp_path):
        # LOST: an unlisted replica left the roster, and went on receiving.
        async def play():
            async with deployed(tmp_path, 3, through_networks=True) as deployment:
                state = HandOvers(deployment, 0)
                names = list(deployment.processes)
                tasks = [asyncio.create_task(state.write(name)) for name in names]
                await asyncio.sleep(1.0)
                primary = deployment.group.leader()
                unlisted, deaf = state.replicas_of(primary)
                deployment.platform.delete(f"servers/{unlisted.name}")
                await asyncio.sleep(7.0)
                count = len(state.writes.acknowledged)
                assert count
                deaf.is_cut_off = True
                await asyncio.sleep(1.2)
                primary.crash()
                end = asyncio.get_running_loop().time() + REPLACED_WITHIN_S
                while not state.writes.effects:
                    assert asyncio.get_running_loop().time() < end, "not replaced"
                    await asyncio.sleep(0.05)
                for task in tasks:
                    task.cancel()
                return state.find_broken()

        assert run(play()) == []


class TestOrderUnderWay:
    """Writes stay while the databases change between an order and its effect."""

    async def _replace(self, folder, disturb, effects_s=(2.0,)):
        """Replace a primary that instances reach but the holder doesn't.

        `disturb(deployment, ordered)` runs 0.2 s after the first order, which names
        the database `ordered`. Return what was broken, and the promotions.
        """
        async with deployed(folder, 4, through_networks=True) as deployment:
            group, platform = deployment.group, deployment.platform
            delays = iter(effects_s)
            group.promote_s = lambda: next(delays, MIN_EFFECT_S)
            group.step_down_s = 1.0
            state = HandOvers(deployment, 0)
            names = list(deployment.processes)
            tasks = [asyncio.create_task(state.write(name)) for name in names]
            await asyncio.sleep(2)
            primary = group.leader()
            primary.ignores = ignores_control
            loop = asyncio.get_running_loop()
            end = loop.time() + REPLACED_WITHIN_S
            while not platform.promotions:
                assert loop.time() < end, "nothing was ordered"
                await asyncio.sleep(0.05)
            due = loop.time() + effects_s[0]
            await asyncio.sleep(0.2)
            await disturb(deployment, group.databases[platform.promotions[0][3]])
            while loop.time() < due or not state.writes.effects:
                assert loop.time() < end, "nothing took effect"
                await asyncio.sleep(0.05)
            await asyncio.sleep(1.0)
            group.heal(primary)
            await asyncio.sleep(1.5)
            for task in tasks:
                task.cancel()
            assert state.writes.acknowledged
            return state.find_broken(), state.writes.effects

    def _other(self, deployment, ordered):
        replicas = deployment.group.databases.values()
        return next(x for x in replicas if not x.is_primary and x is not ordered)

    def test_another_replica_restarts_and_forgets_its_pause(self, tmp_path):
        async def disturb(deployment, ordered):
            await deployment.restart_database(self._other(deployment, ordered), 0.1)

        broken, effects = run(self._replace(tmp_path, disturb))
        assert broken == [], effects

    def test_a_replica_joins_that_was_never_paused(self, tmp_path):
        async def disturb(deployment, ordered):
            await deployment.join()

        broken, effects = run(self._replace(tmp_path, disturb))
        assert broken == [], effects

    def test_a_paused_replica_comes_back_under_another_name(self, tmp_path):
        async def disturb(deployment, ordered):
            await deployment.rename(self._other(deployment, ordered))

        broken, effects = run(self._replace(tmp_path, disturb))
        assert broken == [], effects

    def test_the_ordered_database_restarts(self, tmp_path):
        async def disturb(deployment, ordered):
            await deployment.restart_database(ordered, 0.1)

        broken, effects = run(self._replace(tmp_path, disturb))
        assert broken == [], effects

    def _end_holder(self, deployment, ordered):
        """End the holder with its order; the ordered database receives no more."""
        holder = deployment.duty_holder()
        deployment.processes[holder].send_signal(signal.SIGKILL)
        names = deployment.group.databases.keys() - {ordered.name}
        deployment.group.cuts = {frozenset((ordered.name, x)) for x in names}

    def test_the_holder_ends_and_the_ordered_database_is_cut(self, tmp_path):
        async def disturb(deployment, ordered):
            self._end_holder(deployment, ordered)

        broken, effects = run(self._replace(tmp_path, disturb, (7.5, MIN_EFFECT_S)))
        assert broken == [], effects

    def test_a_later_holder_resumes_replicas_before_a_late_effect(self, tmp_path):
        async def disturb(deployment, ordered):
            self._end_holder(deployment, ordered)
            deployment.group.leader().ignores = lambda connection: False

        broken, effects = run(self._replace(tmp_path, disturb, (7.5, MIN_EFFECT_S)))
        assert broken == [], effects

    def test_a_later_holder_orders_another_before_a_late_effect(self, tmp_path):
        async def disturb(deployment, ordered):
            self._end_holder(deployment, ordered)
            primary = deployment.group.leader()
            primary.ignores = lambda connection: False
            ordered.ignores = ignores_control
            deployment.put_database_entry(primary, state="draining")

        broken, effects = run(self._replace(tmp_path, disturb, (7.5, MIN_EFFECT_S)))
        assert broken == [], effects


def main():
    """Run hand-overs for a number of seeds and print what broke a promise."""
    first, count, rounds, instances = map(int, sys.argv[1:5])
    words = [word for word in sys.argv[5:] if "=" not in word]
    options = dict(word.split("=") for word in sys.argv[5:] if "=" in word)
    databases, effect_s = int(options.get("databases", 3)), options.get("effect")
    effect_s = effect_s and float(effect_s)
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as folder:
            result = run(
                check(folder, seed, rounds, instances, words, databases, effect_s)
            )
            if "logs" in options:
                shutil.copytree(folder, f"{options['logs']}/{seed}")
        print(
            f"seed={seed} orders={result.orders} writes={result.written}"
            f" lost={result.lost} lower_tokens={result.lower_tokens}"
            f" longest_gap={result.longest_gap_s:.2f}s unreplaced={result.unreplaced}"
        )
        print("\n".join([*result.moves, *result.broken]), flush=True)


if __name__ == "__main__":
    main()
