"""Histories of concurrent runs under faults: nothing lost, doubled or stale."""

import pytest

from dragonflywing.load import runs, scenarios
from test.helper import SMALL, run

RUN_S = 9.0
SEED = 11


class TestHistories:
    @pytest.mark.parametrize(
        "name",
        [
            "kill_primary",
            "primary_cut_off",
            "primary_frozen",
            "replica_lags",
            "entry_killed",
            "entry_frozen",
            "store_slow",
            "data_centre_cut",
            "database_leaves",
        ],
    )
    def test_holds_under(self, name):
        fault = scenarios.get_scenario(name)
        result = run(runs.run(SMALL, RUN_S, fault, seed=SEED, pause_s=0.03))
        found = result.findings
        assert found.lost_writes == []
        assert found.doubled_writes == []
        assert found.stale_reads == []
        assert found.false_not_run == []
        assert found.torn_batches == []
        assert result.unclean == []
        assert len(result.history.operations) > 100
