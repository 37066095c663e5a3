"""Faults for runs: each breaks something, heals it, and returns fault times."""

import asyncio
import json
import signal

from dragonflywing import operations
from dragonflywing.errors import UserError
from dragonflywing.load import runs

SHORT_S = 2.0
LONG_S = 4.0
LAG_S = 5.0
ORDINARY_LAG_S = 0.002


def _now():
    return asyncio.get_running_loop().time()


async def set_lag(deployment, name, seconds):
    """Set how long a database waits before it executes what it received."""
    port = deployment.replication_ports[name]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(json.dumps({"lag_s": seconds}).encode() + b"\n")
    await reader.readline()
    writer.close()


async def _pick_primary(deployment, rng):
    group = rng.choice(deployment.plan.groups)
    return group, await deployment.primary(group)


async def nothing(deployment, rng):
    """Break nothing."""
    return []


async def primary_cut_off(deployment, rng):
    """Cut a primary from its group and from entries of other data centres."""
    group, primary = await _pick_primary(deployment, rng)
    place = deployment.places[primary]

    def crosses(source, target):
        if target == primary or source == primary:
            other = source if target == primary else target
            return deployment.places.get(other) != place
        return False

    moment = _now()
    await deployment.set_links(crosses, mode="cut")
    await asyncio.sleep(LONG_S)
    await deployment.set_links(crosses, mode="ok")
    return [(group, moment)]


async def primary_frozen(deployment, rng):
    """Freeze a primary until it has been replaced, then let it go on."""
    group, primary = await _pick_primary(deployment, rng)
    moment = _now()
    deployment.freeze(primary)
    await asyncio.sleep(LONG_S)
    deployment.thaw(primary)
    return [(group, moment)]


async def replica_lags(deployment, rng):
    """Let a replica lag by 5 s for a while."""
    group, primary = await _pick_primary(deployment, rng)
    names = [name for name in deployment.databases(group) if name != primary]
    replica = rng.choice(names)
    await set_lag(deployment, replica, LAG_S)
    await asyncio.sleep(LONG_S)
    await set_lag(deployment, replica, ORDINARY_LAG_S)
    return []


async def entry_killed(deployment, rng):
    """Kill an entry instance amid its transactions and start it again."""
    name = rng.choice(sorted(deployment.entries))
    await deployment.kill(name)
    await asyncio.sleep(SHORT_S)
    deployment.restart(name)
    return []


async def entry_frozen(deployment, rng):
    """Freeze an entry instance for longer than others wait for it."""
    name = rng.choice(sorted(deployment.entries))
    deployment.freeze(name)
    await asyncio.sleep(LONG_S)
    deployment.thaw(name)
    return []


async def entry_replaced(deployment, rng):
    """Shut an entry instance down gracefully and start it again."""
    name = rng.choice(sorted(deployment.entries))
    deployment.processes[name].signal(signal.SIGTERM)
    popen = deployment.processes[name].popen
    end = _now() + 15
    while popen.poll() is None:
        if _now() > end:
            raise UserError(f"{name} did not end after SIGTERM")
        await asyncio.sleep(0.05)
    if popen.returncode != 0:
        raise UserError(f"{name} ended with {popen.returncode} after SIGTERM")
    deployment.restart(name)
    return []


async def store_down(deployment, rng):
    """Take the store down for a while."""
    await deployment.set_store(mode="down")
    await asyncio.sleep(LONG_S)
    await deployment.set_store(mode="ok")
    return []


async def store_slow(deployment, rng):
    """Slow the store, lose its answers, and kill a primary meanwhile."""
    await deployment.set_store(mode="lose_answers", delay_s=0.2)
    times = await runs.kill_primary(deployment, rng)
    await deployment.set_store(mode="ok", delay_s=0.0)
    return times


async def data_centre_cut(deployment, rng):
    """Cut a data centre from the others and from the store."""
    place = rng.choice(deployment.plan.data_centres)

    def crosses(source, target):
        inside = deployment.places.get(source) == place
        return inside != (deployment.places.get(target) == place)

    groups = [
        group
        for group in deployment.plan.groups
        if deployment.places[await deployment.primary(group)] == place
    ]
    moment = _now()
    await deployment.set_links(crosses, mode="cut")
    await asyncio.sleep(LONG_S)
    await deployment.set_links(crosses, mode="ok")
    return [(group, moment) for group in groups]


async def primary_killed_twice(deployment, rng):
    """Kill a group's primary, then the next one."""
    group, primary = await _pick_primary(deployment, rng)
    moment = _now()
    await deployment.kill(primary)
    await asyncio.sleep(LONG_S)
    deployment.restart(primary)
    await asyncio.sleep(SHORT_S)
    second = await deployment.primary(group)
    again = _now()
    await deployment.kill(second)
    await asyncio.sleep(LONG_S)
    deployment.restart(second)
    return [(group, moment), (group, again)]


async def database_leaves(deployment, rng):
    """Mark a primary as leaving, then as staying."""
    _, primary = await _pick_primary(deployment, rng)

    async def mark(leaving):
        async def use(store):
            await operations.set_database_leaving(store, primary, leaving)

        await operations.with_store(deployment.ops_settings(), use)

    await mark(True)
    await asyncio.sleep(LONG_S)
    await mark(False)
    return []


SCENARIOS = {
    function.__name__: function
    for function in (
        nothing,
        runs.kill_primary,
        primary_cut_off,
        primary_frozen,
        primary_killed_twice,
        replica_lags,
        entry_killed,
        entry_frozen,
        entry_replaced,
        store_down,
        store_slow,
        data_centre_cut,
        database_leaves,
    )
}


def named(name):
    """Return a scenario, or raise UserError."""
    if name not in SCENARIOS:
        raise UserError(f"scenario {name!r}: expected one of {', '.join(SCENARIOS)}")
    return SCENARIOS[name]
