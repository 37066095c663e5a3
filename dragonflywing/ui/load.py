"""The dfw-load command: demonstration, load, experiments and reports."""

import sys

from dragonflywing.load import bench, capacity, runs, scenarios
from dragonflywing.load.deployment import plan_named
from dragonflywing.ui import command

DEMO_S = 15.0


class Load:
    """Load and experiments against real processes on this machine.

    Example: dfw-load demo --deployment huron
    """

    def demo(self, deployment="huron"):
        """Run a deployment in small, kill a primary halfway, check the history.

        Example: dfw-load demo --deployment litoral
        """
        self.scenario("kill_primary", deployment, DEMO_S)

    def scenario(self, name, deployment="huron", seconds=DEMO_S, seed=1, pause_s=0.15):
        """Run a deployment under load with a named fault, check the history.

        Example: dfw-load scenario data_centre_cut --deployment litoral --seed 7
        """
        plan = plan_named(deployment)
        fault = scenarios.named(name)
        result = command.run(runs.run(plan, seconds, fault, seed, pause_s))
        found = runs.figures(result, plan)
        print(" ".join(f"{name}={value}" for name, value in found.items()))
        if result.unclean:
            print(f"not ended cleanly: {' '.join(result.unclean)}", file=sys.stderr)
        if result.findings.total() or result.unclean:
            print(f"logs and history: {result.directory}", file=sys.stderr)
            sys.exit(1)

    def bench(self, idle=1000):
        """Measure latency, throughput and memory of one entry instance.

        Example: dfw-load bench --idle 2000
        """
        print(bench.table(*command.run(bench.run(idle))))

    def capacity(self, plots=None, part="all"):
        """Measure the slopes behind docs/CAPACITY.md; --plots names a folder.

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
            per_caller = capacity.slope(rows)[1] * 1024
            print(f"| line | {per_caller:.1f} KB for each |")
        if part in ("all", "fleet"):
            by_instances, by_groups = command.run(capacity.run())
            for title, rows in (("instances", by_instances), ("groups", by_groups)):
                print("\n" + capacity.cost_table(title, rows))
                if plots:
                    capacity.plot(f"{plots}/capacity-{title}.png", title, rows)


def main():
    """Run the command."""
    command.main(Load)
