"""Tests of the guarantees to concurrent clients while faults are injected.

No write is lost or executed twice, no read is stale, no executed write is reported
as not run, and no batch is executed in part.
"""

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
    def test_guarantees_hold_under_fault(self, name):
        fault = scenarios.get_scenario(name)
        result = run(runs.run(SMALL, RUN_S, fault, seed=SEED, pause_s=0.03))
        findings = result.findings
        assert findings.lost_writes == []
        assert findings.doubled_writes == []
        assert findings.stale_reads == []
        assert findings.false_not_run == []
        assert findings.torn_batches == []
        assert result.unclean == []
        assert len(result.history.operations) > 100
