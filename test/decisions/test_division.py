"""Rates divided by demand: what callers get under load, and what never exceeds."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dragonflywing.decisions import division

RATE, BURST = 34.0, 34.0
WINDOW_S = 5.0


class Fleet:
    """Instances that tell each other their demand with a delay."""

    def __init__(self, count, delay_s=0.5):
        self.now = 0.0
        self.delay_s = delay_s
        self.told_at = 0.0
        self.states = {}
        self.admitted = []
        for number in range(count):
            self.add(f"i{number}")

    def add(self, name):
        """Start an instance."""
        state = division.DivisionState()
        division.configure(state, self.now, {"w": (RATE, BURST)})
        self.states[name] = state
        for known, other in self.states.items():
            division.set_units(other, [n for n in self.states if n != known])

    def tell(self):
        """Let all instances hear all others."""
        reports = {name: division.report(state) for name, state in self.states.items()}
        for name, state in self.states.items():
            for other, (demand, admitted) in reports.items():
                if other != name:
                    source = id(self.states[other])
                    division.apply_report(
                        state, self.now, other, demand, admitted, source
                    )
            division.set_reports_complete(state, True)

    def step(self, seconds):
        """Let time pass."""
        self.now += seconds
        for state in self.states.values():
            division.measure_demand(state, self.now)
        if self.now - self.told_at >= self.delay_s:
            self.told_at = self.now
            self.tell()

    def ask(self, name):
        """Return whether an operation is admitted at once."""
        state = self.states[name]
        division.count_arrival(state, "w")
        if division.admit(state, self.now, "w"):
            return False
        self.admitted.append(self.now)
        return True

    def whole(self, name):
        """Return what an instance believes of the workspace's whole bucket."""
        return self.states[name].buckets["w"].fleet_tokens

    def most_in_window(self):
        """Return the most operations admitted in any window."""
        most, start = 0, 0
        for end, at in enumerate(self.admitted):
            while self.admitted[start] < at - WINDOW_S:
                start += 1
            most = max(most, end - start + 1)
        return most


class RelayedFleet(Fleet):
    """A fleet in data centres of `size`, the first instance of each its relay."""

    def __init__(self, count, size, delay_s=0.5):
        self.size = size
        super().__init__(count, delay_s)

    def places(self):
        """Return the instances of each data centre, its relay first."""
        names = list(self.states)
        return [names[i : i + self.size] for i in range(0, len(names), self.size)]

    def add(self, name):
        """Start an instance."""
        state = division.DivisionState()
        division.configure(state, self.now, {"w": (RATE, BURST)})
        self.states[name] = state
        for place in self.places():
            relay, *members = place
            sums = [f"sum of {x[0]}" for x in self.places() if x is not place]
            for member in members:
                division.set_units(self.states[member], ["fleet"], len(self.states))
            units = members + [x for x in sums if x != f"sum of {relay}"]
            division.set_units(self.states[relay], units, len(self.states))

    def tell(self):
        """Let members tell their relays, those each other, and those members."""
        for relay, *members in self.places():
            for name in members:
                demand, admitted = division.report(self.states[name])
                division.apply_report(
                    self.states[relay], self.now, name, demand, admitted, name
                )
        sums = {
            relay: division.totals(self.states[relay], members)
            for relay, *members in self.places()
        }
        for relay in sums:
            for other, (demand, admitted) in sums.items():
                if other != relay:
                    unit, state = f"sum of {other}", self.states[relay]
                    division.apply_report(
                        state, self.now, unit, demand, admitted, other, True
                    )
            division.set_reports_complete(self.states[relay], True)
        for relay, *members in self.places():
            state = self.states[relay]
            total = division.totals(state, list(state.unit_demand))
            for name in members:
                own = division.report(self.states[name])
                rest = [
                    division.subtract(*pair) for pair in zip(total, own, strict=True)
                ]
                division.apply_report(
                    self.states[name], self.now, "fleet", *rest, relay, True
                )
                division.set_reports_complete(self.states[name], True)


LIMIT = (RATE * WINDOW_S + BURST) * 1.1 + 20


def play(fleet, names, per_s, seconds, rng):
    """Ask at random instances of `names` at a rate; return the part admitted."""
    asked = granted = 0
    for _ in range(int(seconds / 0.01)):
        fleet.step(0.01)
        if rng.random() < per_s * 0.01:
            asked += 1
            granted += fleet.ask(rng.choice(names))
    return granted / asked


class TestLoad:
    """A workspace inside its rate is served; one far above it gets its rate."""

    def test_uneven_callers_inside_the_rate(self):
        rng = random.Random(1)
        fleet = Fleet(9)
        play(fleet, list(fleet.states), RATE / 1.6, 5, rng)
        # Most callers of the workspace reach two of nine instances.
        names = ["i0"] * 4 + ["i1"] * 3 + ["i2", "i3"]
        assert play(fleet, names, RATE / 1.6, 30, rng) > 0.98

    def test_callers_that_move(self):
        rng = random.Random(2)
        fleet = Fleet(9)
        play(fleet, list(fleet.states), RATE / 1.6, 5, rng)
        shares = [play(fleet, [f"i{n}"], RATE / 1.6, 4, rng) for n in range(6)]
        assert min(shares) > 0.9

    def test_hot_workspace_stays_within_its_rate(self):
        rng = random.Random(3)
        fleet = Fleet(9)
        play(fleet, list(fleet.states), RATE / 1.6, 10, rng)
        play(fleet, list(fleet.states), RATE * 4.7, 15, rng)
        assert fleet.most_in_window() <= LIMIT

    def test_restarts_grant_little(self):
        rng = random.Random(4)
        fleet = Fleet(9)
        play(fleet, list(fleet.states), RATE * 4.7, 6, rng)
        for number in range(9):
            fleet.add(f"i{number}")
            play(fleet, list(fleet.states), RATE * 4.7, 1.0, rng)
        assert fleet.most_in_window() <= LIMIT

    def test_unheard_fleet_uses_only_even_parts(self):
        fleet = Fleet(9, delay_s=1e9)
        rng = random.Random(5)
        play(fleet, list(fleet.states), RATE * 4.7, 10, rng)
        assert fleet.most_in_window() <= RATE * WINDOW_S


class TestWaiting:
    def test_tells_when_to_come_back(self):
        state = division.DivisionState()
        division.configure(state, 0.0, {"w": (10.0, 10.0)})
        division.set_reports_complete(state, True)
        while not division.admit(state, 0.0, "w"):
            pass
        wait_s = division.admit(state, 0.0, "w")
        assert 0 < wait_s < 1
        # Refills pause while the whole bucket is overdrawn, then go on.
        division.admit(state, wait_s / 2, "w")
        assert division.admit(state, 2 * wait_s, "w") == 0

    def test_reserved_tokens_are_in_order(self):
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
    """Operations, delays and restarts in any order stay within the bound."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(4)

    @rule(name=st.integers(0, 3), count=st.integers(1, 30))
    def ask(self, name, count):
        for _ in range(count):
            self.fleet.ask(f"i{name}")

    @rule(seconds=st.floats(0.01, 0.6))
    def wait(self, seconds):
        self.fleet.step(seconds)

    @rule(seconds=st.sampled_from([0.5, 1.0]))
    def tell_later(self, seconds):
        self.fleet.delay_s = seconds

    @invariant()
    def within_the_rate(self):
        assert self.fleet.most_in_window() <= LIMIT


TestInstances = Instances.TestCase
TestInstances.settings = settings(
    max_examples=40, stateful_step_count=40, deadline=None, derandomize=True
)


class TestRelays:
    """Loads on instances that know each other by sums only."""

    def test_workspace_inside_its_rate_is_served(self):
        fleet = RelayedFleet(20, 5)
        rng = random.Random(4)
        names = ["i2", "i7", "i8", "i19"]
        play(fleet, names, 0.7 * RATE, 10, rng)
        assert play(fleet, names, 0.7 * RATE, 20, rng) >= 0.99

    def test_loud_workspace_stays_within_the_window(self):
        # Sums take up to three exchanges to reach all.
        fleet = RelayedFleet(20, 5, delay_s=1.5)
        rng = random.Random(5)
        for seed in range(3):
            play(fleet, [f"i{seed}", "i6", "i12", "i18"], 7.5 * RATE, 12, rng)
        assert fleet.most_in_window() <= LIMIT

    def test_all_know_what_was_admitted(self):
        fleet = RelayedFleet(20, 5)
        fleet.tell()
        before = {name: fleet.whole(name) for name in fleet.states}
        for name in ("i0", "i3", "i11"):
            fleet.states[name].buckets["w"].tokens = 3.0
            for _ in range(3):
                assert fleet.ask(name)
        fleet.tell()
        assert {before[name] - fleet.whole(name) for name in before} == {9.0}


INSIDE_THE_RATE = 0.99  # what workspaces inside their rate are to keep


class TestManyInstances:
    """A workspace inside its rate whose operations reach 90 instances."""

    def _part(self, grantors):
        """Return the part admitted when so many instances divide the rate."""
        rng = random.Random(7)
        fleet = Fleet(grantors)
        names = list(fleet.states)
        play(fleet, names, 0.6 * RATE, 4, rng)
        return play(fleet, names, 0.6 * RATE, 8, rng)

    def test_relays_of_six_data_centres_serve_it(self):
        assert self._part(6) >= INSIDE_THE_RATE

    def test_parts_for_each_instance_would_refuse_it(self):
        assert self._part(90) < INSIDE_THE_RATE


class TestLateMessages:
    def test_counts_that_lay_unread_change_nothing(self):
        state = division.DivisionState()
        division.configure(state, 0.0, {"w": (RATE, BURST)})
        division.set_units(state, ["other"])
        division.apply_report(state, 0.0, "other", {}, {"w": 500}, "process 1")
        division.apply_report(state, 0.0, "other", {"w": 3.0}, {"w": 504}, "process 1")
        whole = state.buckets["w"].fleet_tokens
        division.apply_report(state, 0.0, "other", {"w": 9.0}, {"w": 502}, "process 1")
        assert state.buckets["w"].fleet_tokens == whole
        assert state.unit_demand["other"] == {"w": 3.0}

    def test_process_started_anew_counts_from_zero(self):
        state = division.DivisionState()
        division.configure(state, 0.0, {"w": (RATE, BURST)})
        division.set_units(state, ["other"])
        division.apply_report(state, 0.0, "other", {}, {"w": 500}, "process 1")
        whole = state.buckets["w"].fleet_tokens
        division.apply_report(state, 0.0, "other", {}, {"w": 3}, "process 2")
        assert state.buckets["w"].fleet_tokens == whole - 3
