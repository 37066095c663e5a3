"""The dfw-load command: demonstration, load, experiments and reports."""

import sys

from dragonflywing.load import bench, runs, scenarios
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


def main():
    """Run the command."""
    command.main(Load)
