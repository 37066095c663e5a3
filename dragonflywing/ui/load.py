"""The dfw-load command: demonstrations, load tests, experiments and benchmarks."""

import random
import sys
import time

from dragonflywing.errors import UserError
from dragonflywing.load import bench, capacity, crowds, experiments, runs, scenarios
from dragonflywing.load.deployment import get_plan
from dragonflywing.load.history import quantile
from dragonflywing.ui import command

DEMO_S = 15.0
READ_TIMEOUT_S = 30.0  # of the ordinary read after a crowd


class Load:
    """Run load tests and experiments against real processes on this machine.

    Example: dfw-load demo --deployment huron
    """

    def demo(self, deployment="huron"):
        """Run a small deployment, kill a primary, and check the history.

        Example: dfw-load demo --deployment litoral
        """
        self.scenario("kill_primary", deployment, DEMO_S)

    def scenario(self, name, deployment="huron", seconds=DEMO_S, seed=1, pause_s=0.15):
        """Run a deployment under load, inject a fault, and check the history.

        Example: dfw-load scenario data_centre_cut --deployment litoral --seed 7
        """
        if not self._run(name, get_plan(deployment), seconds, seed, pause_s):
            sys.exit(1)

    def soak(self, seed=1, minutes=5, deployment="huron"):
        """Run random scenarios for some minutes and check every history.

        The seed determines the scenarios.

        Example: dfw-load soak --seed 7 --minutes 20 --deployment litoral
        """
        plan = get_plan(deployment)
        rng = random.Random(seed)
        end = time.monotonic() + minutes * 60
        passed = True
        while time.monotonic() < end:
            name = rng.choice(sorted(scenarios.SCENARIOS))
            run_seed = rng.randrange(10**6)
            print(f"scenario={name} seed={run_seed}", end=" ", flush=True)
            passed = self._run(name, plan, DEMO_S, run_seed, 0.1) and passed
        if not passed:
            sys.exit(1)

    def crowd(
        self,
        kind,
        port,
        pid,
        clients=100,
        user=None,
        password="",
        caller_port=None,
    ):
        """Run misbehaving clients against an instance on this machine.

        Prints the highest resident memory of the process, its open descriptors, and
        after how many attempts an ordinary read was answered (0: none in 30 s).
        Kinds: see `crowds.KINDS`, and "mixed" for all of them. "frame" needs the port
        for instances and --caller_port for the read. With a user and password the
        process is a dfw-entry; kinds: see `crowds.MYSQL_KINDS` and MYSQL_HANDSHAKES.

        Example: dfw-load crowd unfinished --port 5400 --pid 4711 --clients 400
        """
        if user is None:
            known = [*crowds.KINDS, *crowds.INSTANCE_KINDS, crowds.MIXED]
        else:
            known = [*crowds.MYSQL_KINDS, *crowds.MYSQL_HANDSHAKES, crowds.MIXED]
        if kind not in known:
            raise UserError(f"kind {kind!r}: expected one of {', '.join(known)}")
        usage, attempts = command.run(
            self._crowd(kind, port, pid, clients, user, password, caller_port or port)
        )
        print(
            f"peak_mb={usage.memory_mb():.0f} now_mb={usage.memory_mb('VmRSS'):.0f}"
            f" descriptors={usage.descriptors} attempts={attempts}"
        )

    @staticmethod
    async def _crowd(kind, port, pid, clients, user, password, caller_port):
        if user is None:
            usage = await crowds.run_kind(kind, port, pid, clients)

            async def read():
                return await crowds.read_ordinary(caller_port)

        else:
            usage = await crowds.run_mysql_kind(
                kind, port, pid, clients, user, password
            )

            async def read():
                return await crowds.read_mysql(caller_port, user, password)

        return usage, await crowds.wait_served(read, READ_TIMEOUT_S)

    @staticmethod
    def _run(name, plan, seconds, seed, pause_s):
        """Run a scenario and print its figures; return whether all checks passed."""
        fault = scenarios.get_scenario(name)
        result = command.run(runs.run(plan, seconds, fault, seed, pause_s))
        figures = runs.figures(result, plan)
        print(" ".join(f"{key}={value}" for key, value in figures.items()), flush=True)
        if result.unclean:
            print(f"unclean exits: {' '.join(result.unclean)}", file=sys.stderr)
        if result.findings.total() or result.unclean:
            print(f"logs and history: {result.directory}", file=sys.stderr)
            return False
        return True

    def bench(self, idle=1000):
        """Measure latency, throughput and memory of one entry instance.

        Example: dfw-load bench --idle 2000
        """
        print(bench.table(*command.run(bench.run(idle))))

    def capacity(self, plots=None, part="all"):
        """Measure the figures of docs/CAPACITY.md: how costs grow with the fleet.

        --part is all, configuration, callers or fleet; --plots names a folder for
        the plots of the fleet's costs.

        Example: dfw-load capacity --plots docs/images
        """
        if part in ("all", "configuration"):
            print("| workspaces | KB | ms to adopt |")
            print("| --- | --- | --- |")
            for count, size_kb, spent_ms in capacity.measure_configuration():
                print(f"| {count} | {size_kb:.0f} | {spent_ms:.1f} |")
        if part in ("all", "callers"):
            rows = command.run(capacity.measure_callers())
            print("\n| callers | memory MB |\n| --- | --- |")
            for count, memory_mb in rows:
                print(f"| {count} | {memory_mb:.1f} |")
            per_caller = capacity.fit_line(rows)[1] * 1024
            print(f"| slope | {per_caller:.1f} KB per caller |")
        if part in ("all", "fleet"):
            by_instances, by_groups = command.run(capacity.run())
            for title, rows in (("instances", by_instances), ("groups", by_groups)):
                print("\n" + capacity.cost_table(title, rows))
                if plots:
                    capacity.plot(f"{plots}/capacity-{title}.png", title, rows)

    def experiment(self, name, deployment="huron", count=20, baseline=None, plots=None):
        """Run an experiment and print its results.

        The experiments are rates, failovers, latencies, overload, spread and pace.
        --plots names a folder for the plot of pace, which runs on a model.

        Example: dfw-load experiment rates --baseline "static division"
        """
        if name == "rates":
            print("| balancer | refused below rate | least served | loud / allowed |")
            print("| --- | --- | --- | --- |")
            for row in command.run(experiments.rates(baseline)):
                print("| {} | {:.4f} | {:.4f} | {:.3f} |".format(*row))
        elif name == "failovers":
            self._failovers(deployment, count, baseline)
        elif name == "latencies":
            plan = get_plan(deployment)
            latencies, queries = command.run(experiments.latencies(plan, baseline))
            for kind, (p50, p99, n) in latencies.items():
                print(f"{kind}: p50_ms={p50:.1f} p99_ms={p99:.1f} n={n}")
            print(f"fence_queries_per_read={queries:.2f}")
        elif name == "overload":
            print("| second after overload | sent | served |\n| --- | --- | --- |")
            for row in command.run(experiments.overload()):
                print("| {} | {} | {} |".format(*row))
        elif name == "spread":
            times = command.run(experiments.spread(get_plan(deployment), count))
            print(f"median_s={quantile(times, 0.5):.2f} max_s={max(times):.2f}")
        elif name == "pace":
            print("| policy | s to 90% | overshoot | lost | served |")
            print("| --- | --- | --- | --- | --- |")
            for row in experiments.pace(plots):
                print("| {} | {:.1f} | {:.2f} | {:.1f} | {:.3f} |".format(*row))
        else:
            expected = "rates, failovers, latencies, overload, spread, pace"
            raise UserError(f"experiment {name!r}: expected one of {expected}")

    def _failovers(self, deployment, count, baseline):
        plan = get_plan(deployment)
        gaps, findings = command.run(experiments.failovers(plan, count, 1, baseline))
        print(
            f"failovers={len(gaps)} gap_p50_s={quantile(gaps, 0.5):.2f} "
            f"gap_p99_s={quantile(gaps, 0.99):.2f}"
        )
        counts = findings._asdict().items()
        print(" ".join(f"{kind}={len(items)}" for kind, items in counts))


def main():
    """Run the command."""
    command.main(Load)
