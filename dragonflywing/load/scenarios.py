"""Fault scenarios: each injects faults, reverts them and returns their times."""

import asyncio
import json
import signal

from dragonflywing import operations
from dragonflywing.errors import UserError
from dragonflywing.load import runs

SHORT_FAULT_S = 2.0
LONG_FAULT_S = 4.0
FAULT_LAG_S = 5.0
NORMAL_LAG_S = 0.002


def _now():
    return asyncio.get_running_loop().time()


async def set_lag(deployment, name, seconds):
    """Set how long a database waits before it applies a received entry."""
    port = deployment.replication_ports[name]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(json.dumps({"lag_s": seconds}).encode() + b"\n")
    await reader.readline()
    writer.close()


async def _pick_primary(deployment, rng):
    group = rng.choice(deployment.plan.groups)
    return group, await deployment.primary(group)


async def nothing(deployment, rng):
    """Inject no fault."""
    return []


async def primary_cut_off(deployment, rng):
    """Cut a primary off from the databases and entries of other data centres."""
    group, primary = await _pick_primary(deployment, rng)
    data_centre = deployment.data_centre_of[primary]

    def is_cut(source, target):
        if target == primary or source == primary:
            other = source if target == primary else target
            return deployment.data_centre_of.get(other) != data_centre
        return False

    fault_time = _now()
    await deployment.set_links(is_cut, mode="cut")
    await asyncio.sleep(LONG_FAULT_S)
    await deployment.set_links(is_cut, mode="ok")
    return [(group, fault_time)]


async def primary_frozen(deployment, rng):
    """Freeze a primary for long enough to be replaced, then resume it."""
    group, primary = await _pick_primary(deployment, rng)
    fault_time = _now()
    deployment.freeze(primary)
    await asyncio.sleep(LONG_FAULT_S)
    deployment.thaw(primary)
    return [(group, fault_time)]


async def replica_lags(deployment, rng):
    """Let a replica lag by `FAULT_LAG_S` for a while."""
    group, primary = await _pick_primary(deployment, rng)
    names = [name for name in deployment.databases(group) if name != primary]
    replica = rng.choice(names)
    await set_lag(deployment, replica, FAULT_LAG_S)
    await asyncio.sleep(LONG_FAULT_S)
    await set_lag(deployment, replica, NORMAL_LAG_S)
    return []


async def entry_killed(deployment, rng):
    """Kill an entry instance during its transactions and restart it."""
    name = rng.choice(sorted(deployment.entries))
    await deployment.kill(name)
    await asyncio.sleep(SHORT_FAULT_S)
    deployment.restart(name)
    return []


async def entry_frozen(deployment, rng):
    """Freeze an entry instance for longer than the timeouts of other instances."""
    name = rng.choice(sorted(deployment.entries))
    deployment.freeze(name)
    await asyncio.sleep(LONG_FAULT_S)
    deployment.thaw(name)
    return []


async def entry_replaced(deployment, rng):
    """Shut down an entry instance gracefully and restart it."""
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
    """Make the store unavailable for a while."""
    await deployment.set_store(mode="down")
    await asyncio.sleep(LONG_FAULT_S)
    await deployment.set_store(mode="ok")
    return []


async def store_slow(deployment, rng):
    """Slow the store down and drop its answers while a primary is killed."""
    await deployment.set_store(mode="lose_answers", delay_s=0.2)
    times = await runs.kill_primary(deployment, rng)
    await deployment.set_store(mode="ok", delay_s=0.0)
    return times


async def data_centre_cut(deployment, rng):
    """Cut a data centre off from the others and from the store."""
    data_centre = rng.choice(deployment.plan.data_centres)

    def is_cut(source, target):
        is_inside = deployment.data_centre_of.get(source) == data_centre
        return is_inside != (deployment.data_centre_of.get(target) == data_centre)

    groups = [
        group
        for group in deployment.plan.groups
        if deployment.data_centre_of[await deployment.primary(group)] == data_centre
    ]
    fault_time = _now()
    await deployment.set_links(is_cut, mode="cut")
    await asyncio.sleep(LONG_FAULT_S)
    await deployment.set_links(is_cut, mode="ok")
    return [(group, fault_time) for group in groups]


async def primary_killed_twice(deployment, rng):
    """Kill a group's primary, then the primary that replaced it."""
    group, primary = await _pick_primary(deployment, rng)
    fault_time = _now()
    await deployment.kill(primary)
    await asyncio.sleep(LONG_FAULT_S)
    deployment.restart(primary)
    await asyncio.sleep(SHORT_FAULT_S)
    new_primary = await deployment.primary(group)
    second_fault_time = _now()
    await deployment.kill(new_primary)
    await asyncio.sleep(LONG_FAULT_S)
    deployment.restart(new_primary)
    return [(group, fault_time), (group, second_fault_time)]


async def database_leaves(deployment, rng):
    """Mark a primary as leaving for a while."""
    _, primary = await _pick_primary(deployment, rng)

    async def set_leaving(leaving):
        async def action(store):
            await operations.set_database_leaving(store, primary, leaving)

        await operations.with_store(deployment.ops_settings(), action)

    await set_leaving(True)
    await asyncio.sleep(LONG_FAULT_S)
    await set_leaving(False)
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


def get_scenario(name):
    """Return the scenario called `name`, or raise UserError."""
    if name not in SCENARIOS:
        raise UserError(f"scenario {name!r}: expected one of {', '.join(SCENARIOS)}")
    return SCENARIOS[name]
