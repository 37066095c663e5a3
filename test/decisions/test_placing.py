"""Choice of the database for a read that a replica may serve."""

import random

from dragonflywing.decisions import placing
from dragonflywing.decisions.placing import Candidate


def candidate(name, **changes):
    default = Candidate(name, False, False, 0.0, 0.03)
    return default._replace(**changes)


class TestChoice:
    def test_prefers_the_replica_of_its_data_centre(self):
        candidates = [candidate("far"), candidate("near", network_s=0.0)]
        assert placing.choose(candidates, random.Random(1)).name == "near"

    def test_prefers_a_replica_to_the_primary(self):
        candidates = [
            candidate("near", network_s=0.0),
            candidate("p", is_primary=True, network_s=0),
        ]
        assert placing.choose(candidates, random.Random(1)).name == "near"

    def test_leaves_the_data_centre_when_the_queue_is_too_long(self):
        candidates = [candidate("near", network_s=0.0, wait_s=0.05), candidate("far")]
        assert placing.choose(candidates, random.Random(1)).name == "far"

    def test_prefers_the_primary_to_a_replica_that_is_behind(self):
        candidates = [candidate("b", is_behind=True), candidate("p", is_primary=True)]
        assert placing.choose(candidates, random.Random(1)).name == "p"

    def test_none_without_candidates(self):
        assert placing.choose([], random.Random(1)) is None


class TestLoad:
    def test_spreads_over_equal_replicas(self):
        rng = random.Random(1)
        candidates = [candidate("a"), candidate("b")]
        names = [placing.choose(candidates, rng).name for _ in range(200)]
        assert 60 < names.count("a") < 140
