"""Where reads go that a replica may serve."""

import random

from dragonflywing.decisions import placing
from dragonflywing.decisions.placing import Candidate


def candidate(name, **changes):
    plain = Candidate(name, False, False, 0.0, 0.03)
    return plain._replace(**changes)


class TestChoice:
    def test_prefers_the_replica_of_its_data_centre(self):
        rows = [candidate("far"), candidate("near", network_s=0.0)]
        assert placing.choose(rows, random.Random(1)).name == "near"

    def test_leaves_the_primary_to_writes(self):
        rows = [
            candidate("near", network_s=0.0),
            candidate("p", is_primary=True, network_s=0),
        ]
        assert placing.choose(rows, random.Random(1)).name == "near"

    def test_goes_on_when_the_queue_costs_more_than_the_way(self):
        rows = [candidate("near", network_s=0.0, wait_s=0.05), candidate("far")]
        assert placing.choose(rows, random.Random(1)).name == "far"

    def test_lagging_replica_is_left_for_the_primary(self):
        rows = [candidate("b", is_behind=True), candidate("p", is_primary=True)]
        assert placing.choose(rows, random.Random(1)).name == "p"

    def test_none_without_candidates(self):
        assert placing.choose([], random.Random(1)) is None


class TestLoad:
    def test_spreads_over_equal_replicas(self):
        rng = random.Random(1)
        rows = [candidate("a"), candidate("b")]
        names = [placing.choose(rows, rng).name for _ in range(200)]
        assert 60 < names.count("a") < 140
