"""Division of rates by demand: what is admitted under load, and its upper bound."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dragonflywing.decisions import division

RATE, BURST = 34.0, 34.0
WINDOW_S = 5.0


class Fleet:
    """Instances that exchange reports at an interval of `delay_s`."""

    def __init__(self, count, delay_s=0.5, burst=BURST):
        self.now = 0.0
        self.delay_s = delay_s
        self.burst = burst
        self.exchanged_at = 0.0
        self.states = {}
        self.cut_off = set()  # instances that exchange no reports with the others
        self.admitted = []
        for number in range(count):
            self.add(f"i{number}")

    def add(self, name, drawn=()):
        """Start an instance, which knows the recorded names of drawn workspaces."""
        state = division.DivisionState()
        division.note_drawn(state, drawn)
        division.configure(state, self.now, {"w": (RATE, self.burst)})
        self.states[name] = state
        for known, other in self.states.items():
            division.set_units(other, [n for n in self.states if n != known])

    def exchange(self):
        """Deliver the reports of all instances to all others."""
        reports = {name: division.report(state) for name, state in self.states.items()}
        for name, state in self.states.items():
            for other, (demand, admitted) in reports.items():
                is_cut = (name in self.cut_off) != (other in self.cut_off)
                if other != name and not is_cut:
                    source = id(self.states[other])
                    division.record_report(
                        state, self.now, other, demand, admitted, source
                    )
            division.set_reports_complete(state, True)

    def step(self, seconds):
        """Advance the time, and exchange reports when they are due."""
        self.now += seconds
        for state in self.states.values():
            division.measure_demand(state, self.now)
        if self.now - self.exchanged_at >= self.delay_s:
            self.exchanged_at = self.now
            self.exchange()

    def offer(self, name):
        """Return whether an operation is admitted at once."""
        state = self.states[name]
        division.count_arrival(state, "w")
        if division.admit(state, self.now, "w"):
            return False
        self.admitted.append(self.now)
        return True

    def fleet_tokens(self, name):
        """Return an instance's estimate of the workspace's bucket for the fleet."""
        return self.states[name].buckets["w"].fleet_tokens

    def max_in_window(self):
        """Return the maximum number of operations admitted in any window."""
        most, start = 0, 0
        for end, at in enumerate(self.admitted):
            while self.admitted[start] < at - WINDOW_S:
                start += 1
            most = max(most, end - start + 1)
        return most


class RelayedFleet(Fleet):
    """A fleet in data centres of `size` instances; the first of each is its relay."""

    def __init__(self, count, size, delay_s=0.5, burst=BURST):
        self.size = size
        super().__init__(count, delay_s, burst)

    def data_centres(self):
        """Return the instances of each data centre, starting with its relay."""
        names = list(self.states)
        return [names[i : i + self.size] for i in range(0, len(names), self.size)]

    def add(self, name):
        """Start an instance."""
        state = division.DivisionState()
        division.configure(state, self.now, {"w": (RATE, self.burst)})
        self.states[name] = state
        for data_centre in self.data_centres():
            relay, *members = data_centre
            sums = [
                f"sum of {x[0]}" for x in self.data_centres() if x is not data_centre
            ]
            for member in members:
                division.set_units(self.states[member], ["fleet"], len(self.states))
            units = members + [x for x in sums if x != f"sum of {relay}"]
            division.set_units(self.states[relay], units, len(self.states))

    def exchange(self):
        """Deliver reports from members to relays, among relays, and back to members."""
        for relay, *members in self.data_centres():
            for name in members:
                demand, admitted = division.report(self.states[name])
                division.record_report(
                    self.states[relay], self.now, name, demand, admitted, name
                )
        sums = {
            relay: division.totals(self.states[relay], members)
            for relay, *members in self.data_centres()
        }
        for relay in sums:
            for other, (demand, admitted) in sums.items():
                if other != relay:
                    unit, state = f"sum of {other}", self.states[relay]
                    division.record_report(
                        state, self.now, unit, demand, admitted, other, True
                    )
            division.set_reports_complete(self.states[relay], True)
        for relay, *members in self.data_centres():
            state = self.states[relay]
            total = division.totals(state, list(state.unit_demand))
            for name in members:
                own = division.report(self.states[name])
                rest = [
                    division.subtract(*pair) for pair in zip(total, own, strict=True)
                ]
                division.record_report(
                    self.states[name], self.now, "fleet", *rest, relay, True
                )
                division.set_reports_complete(self.states[name], True)


MAX_IN_WINDOW = (RATE * WINDOW_S + BURST) * 1.1 + 20


def simulate_load(fleet, names, per_s, seconds, rng):
    """Send operations to random instances of `names`; return the fraction admitted."""
    offered = admitted = 0
    for _ in range(int(seconds / 0.01)):
        fleet.step(0.01)
        if rng.random() < per_s * 0.01:
            offered += 1
            admitted += fleet.offer(rng.choice(names))
    return admitted / offered


def rush(fleet, names, seconds):
    """Send more operations to each of `names` than any workspace may."""
    for _ in range(int(seconds / 0.05)):
        fleet.step(0.05)
        for name in names:
            while fleet.offer(name):
                pass


class TestLoad:
    """A workspace within its rate is served; one far above it gets only its rate."""

    def test_uneven_callers_within_the_rate_are_admitted(self):
        rng = random.Random(1)
        fleet = Fleet(9)
        simulate_load(fleet, list(fleet.states), RATE / 1.6, 5, rng)
        # Most callers of the workspace use two of the nine instances.
        names = ["i0"] * 4 + ["i1"] * 3 + ["i2", "i3"]
        assert simulate_load(fleet, names, RATE / 1.6, 30, rng) > 0.98

    def test_callers_that_change_instances_are_admitted(self):
        rng = random.Random(2)
        fleet = Fleet(9)
        simulate_load(fleet, list(fleet.states), RATE / 1.6, 5, rng)
        fractions = [
            simulate_load(fleet, [f"i{n}"], RATE / 1.6, 4, rng) for n in range(6)
        ]
        assert min(fractions) > 0.9

    def test_overloaded_workspace_stays_within_the_bound(self):
        rng = random.Random(3)
        fleet = Fleet(9)
        simulate_load(fleet, list(fleet.states), RATE / 1.6, 10, rng)
        simulate_load(fleet, list(fleet.states), RATE * 4.7, 15, rng)
        assert fleet.max_in_window() <= MAX_IN_WINDOW

    def test_restarts_stay_within_the_bound(self):
        rng = random.Random(4)
        fleet = Fleet(9)
        simulate_load(fleet, list(fleet.states), RATE * 4.7, 6, rng)
        for number in range(9):
            fleet.add(f"i{number}")
            simulate_load(fleet, list(fleet.states), RATE * 4.7, 1.0, rng)
        assert fleet.max_in_window() <= MAX_IN_WINDOW

    def test_restart_of_all_beside_a_hot_workspace_stays_within_the_bound(self):
        # Each restarted instance granted its part of the burst, which had been used.
        rng = random.Random(6)
        fleet = Fleet(9)
        simulate_load(fleet, list(fleet.states), RATE / 1.6, 10, rng)
        simulate_load(fleet, list(fleet.states), RATE * 7.5, 2, rng)
        drawn = division.drawn(fleet.states["i0"], fleet.now)
        fleet.now += 0.3
        for name in list(fleet.states):
            fleet.add(name, drawn)
        simulate_load(fleet, list(fleet.states), RATE * 7.5, 6, rng)
        assert fleet.max_in_window() <= MAX_IN_WINDOW

    def test_restart_of_all_grants_the_burst_to_others(self):
        # Without it, requests that piled up during the restart would be refused.
        rng = random.Random(7)
        fleet = Fleet(9)
        simulate_load(fleet, list(fleet.states), RATE / 1.6, 10, rng)
        assert division.drawn(fleet.states["i0"], fleet.now) == set()
        for name in list(fleet.states):
            fleet.add(name)
        fleet.exchange()
        assert sum(x.buckets["w"].tokens for x in fleet.states.values()) >= 0.9 * BURST

    def test_cut_beside_a_hot_workspace_stays_within_the_bound(self):
        # Both sides took the fleet's bucket for full and refilled three times as fast.
        for seed in range(5):
            rng = random.Random(seed)
            fleet = Fleet(9)
            simulate_load(fleet, list(fleet.states), RATE / 1.6, 10, rng)
            simulate_load(fleet, list(fleet.states), RATE * 7.5, 0.6, rng)
            fleet.cut_off = {"i0", "i1", "i2"}
            simulate_load(fleet, list(fleet.states), RATE * 7.5, 5.5, rng)
            fleet.cut_off = set()
            simulate_load(fleet, list(fleet.states), RATE * 7.5, 5, rng)
            assert fleet.max_in_window() <= MAX_IN_WINDOW

    def test_one_crashed_instance_does_not_slow_down_the_others(self):
        rng = random.Random(8)
        fleet = Fleet(9)
        simulate_load(fleet, list(fleet.states), RATE / 1.6, 5, rng)
        fleet.cut_off = {"i8"}
        names = ["i0"] * 4 + ["i1"] * 3 + ["i2", "i3"]
        assert simulate_load(fleet, names, RATE / 1.6, 20, rng) > 0.98

    @pytest.mark.parametrize("bursts", [1, 4, 6, 10, 30])
    @pytest.mark.parametrize("hot", [0, 1, 4, 9])
    @pytest.mark.parametrize(("count", "sizes"), [(4, ()), (9, ()), (20, (5,))])
    def test_idle_instances_save_no_second_burst(self, count, sizes, hot, bursts):
        # Each spent two even shares, whatever the others had spent, and took itself for
        # the only one with demand until it heard of theirs.
        for phase in range(3):
            make = RelayedFleet if sizes else Fleet
            fleet = make(count, *sizes, burst=bursts * RATE)
            rng = random.Random(phase)
            simulate_load(fleet, list(fleet.states), RATE / 1.6, 5, rng)
            for _ in range(200):
                fleet.step(0.5)
            fleet.step(0.1 * phase)
            names = list(fleet.states)
            rush(fleet, names[:hot], 2.0)
            rush(fleet, names, 2.0)
            allowed = (RATE * WINDOW_S + fleet.burst) * 1.1 + 20
            assert fleet.max_in_window() <= allowed

    def test_instances_without_reports_use_only_the_even_fraction(self):
        fleet = Fleet(9, delay_s=1e9)
        rng = random.Random(5)
        simulate_load(fleet, list(fleet.states), RATE * 4.7, 10, rng)
        assert fleet.max_in_window() <= RATE * WINDOW_S


class TestWaiting:
    def test_refusal_returns_the_time_to_wait(self):
        state = division.DivisionState()
        division.configure(state, 0.0, {"w": (10.0, 10.0)})
        division.set_reports_complete(state, True)
        while not division.admit(state, 0.0, "w"):
            pass
        wait_s = division.admit(state, 0.0, "w")
        assert 0 < wait_s < 1
        # Refilling pauses while the fleet-wide bucket is overdrawn.
        division.admit(state, wait_s / 2, "w")
        assert division.admit(state, 2 * wait_s, "w") == 0

    def test_reservations_wait_in_order(self):
        state = division.DivisionState()
        division.configure(state, 0.0, {"w": (10.0, 10.0)})
        division.set_reports_complete(state, True)
        waits = []
        for _ in range(30):
            wait_s = division.admit(state, 0.0, "w")
            if wait_s:
                waits.append(wait_s)
                division.reserve(state, 0.0, "w")
        assert waits == sorted(waits)


class Instances(RuleBasedStateMachine):
    """Operations and report delays in any order stay within the bound."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(4)

    @rule(name=st.integers(0, 3), count=st.integers(1, 30))
    def admit(self, name, count):
        for _ in range(count):
            self.fleet.offer(f"i{name}")

    @rule(seconds=st.floats(0.01, 0.6))
    def wait(self, seconds):
        self.fleet.step(seconds)

    @rule(seconds=st.sampled_from([0.5, 1.0]))
    def set_report_delay(self, seconds):
        self.fleet.delay_s = seconds

    @invariant()
    def within_the_bound(self):
        assert self.fleet.max_in_window() <= MAX_IN_WINDOW


TestInstances = Instances.TestCase
TestInstances.settings = settings(
    max_examples=40, stateful_step_count=40, deadline=None, derandomize=True
)


class TestRelays:
    """Load on instances that receive only the sums of other instances' reports."""

    def test_workspace_within_its_rate_is_admitted(self):
        fleet = RelayedFleet(20, 5)
        rng = random.Random(4)
        names = ["i2", "i7", "i8", "i19"]
        simulate_load(fleet, names, 0.7 * RATE, 10, rng)
        assert simulate_load(fleet, names, 0.7 * RATE, 20, rng) >= 0.99

    def test_overloaded_workspace_stays_within_the_bound(self):
        # Sums take up to three exchanges to reach all instances.
        fleet = RelayedFleet(20, 5, delay_s=1.5)
        rng = random.Random(5)
        for seed in range(3):
            simulate_load(fleet, [f"i{seed}", "i6", "i12", "i18"], 7.5 * RATE, 12, rng)
        assert fleet.max_in_window() <= MAX_IN_WINDOW

    def test_all_instances_count_what_was_admitted(self):
        fleet = RelayedFleet(20, 5)
        fleet.exchange()
        before = {name: fleet.fleet_tokens(name) for name in fleet.states}
        for name in ("i0", "i3", "i11"):
            fleet.states[name].buckets["w"].tokens = 3.0
            for _ in range(3):
                assert fleet.offer(name)
        fleet.exchange()
        assert {before[name] - fleet.fleet_tokens(name) for name in before} == {9.0}

    def test_lost_relay_leaves_no_debt(self):
        # The instance that becomes the next relay refused operations for seconds.
        fleet = RelayedFleet(20, 5)
        fleet.exchange()
        before = fleet.fleet_tokens("i1")
        fleet.exchange = lambda: None
        for _ in range(30):
            fleet.step(0.1)
        assert fleet.fleet_tokens("i1") >= before


MIN_ADMITTED_FRACTION = 0.99  # for workspaces within their rate


class TestManyInstances:
    """A workspace within its rate whose operations arrive at 90 instances."""

    def _admitted_fraction(self, count):
        """Return the fraction admitted when `count` instances divide the rate."""
        rng = random.Random(7)
        fleet = Fleet(count)
        names = list(fleet.states)
        simulate_load(fleet, names, 0.6 * RATE, 4, rng)
        return simulate_load(fleet, names, 0.6 * RATE, 8, rng)

    def test_six_relays_admit_it(self):
        assert self._admitted_fraction(6) >= MIN_ADMITTED_FRACTION

    def test_ninety_shares_would_refuse_some_of_it(self):
        assert self._admitted_fraction(90) < MIN_ADMITTED_FRACTION


class TestOutdatedReports:
    def test_delayed_report_is_ignored(self):
        state = division.DivisionState()
        division.configure(state, 0.0, {"w": (RATE, BURST)})
        division.set_units(state, ["other"])
        division.record_report(state, 0.0, "other", {}, {"w": 500}, "process 1")
        division.record_report(state, 0.0, "other", {"w": 3.0}, {"w": 504}, "process 1")
        before = state.buckets["w"].fleet_tokens
        division.record_report(state, 0.0, "other", {"w": 9.0}, {"w": 502}, "process 1")
        assert state.buckets["w"].fleet_tokens == before
        assert state.unit_demand["other"] == {"w": 3.0}

    def test_restarted_process_counts_from_zero(self):
        state = division.DivisionState()
        division.configure(state, 0.0, {"w": (RATE, BURST)})
        division.set_units(state, ["other"])
        division.record_report(state, 0.0, "other", {}, {"w": 500}, "process 1")
        before = state.buckets["w"].fleet_tokens
        division.record_report(state, 0.0, "other", {}, {"w": 3}, "process 2")
        assert state.buckets["w"].fleet_tokens == before - 3
