"""Tests of counters, histograms and gauges in the Prometheus text format."""

import pytest
from prometheus_client.parser import text_string_to_metric_families

from dragonflywing.metrics import BUCKETS_S, Gauge, Metrics


def samples(metrics):
    """Return {(name, *sorted label values): value} of the exported text."""
    return {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(metrics.as_text())
        for sample in family.samples
    }


class TestText:
    def test_counts_events(self):
        metrics = Metrics()
        metrics.count("refused.overloaded", 2)
        values = samples(metrics)
        assert values["dragonflywing_events_total", "refused.overloaded"] == 2

    def test_histogram_has_buckets_for_each_outcome(self):
        metrics = Metrics()
        for millis in range(1, 101):
            metrics.time("statement", millis / 1000, "current", "ok")
        metrics.time("statement", 3.0, "current", "in_doubt")
        values = samples(metrics)
        name = "dragonflywing_statement_seconds"
        assert values[f"{name}_count", "current", "ok"] == 100
        assert values[f"{name}_bucket", "0.05", "current", "ok"] == 50
        assert values[f"{name}_count", "current", "in_doubt"] == 1
        assert metrics.mean_s("statement") == pytest.approx((5.05 + 3.0) / 101)

    def test_gauge_is_evaluated_at_each_export(self):
        metrics, terms = Metrics(), {("orders",): 3}
        metrics.gauges.append(Gauge("group_term", "Term.", ("group",), lambda: terms))
        assert samples(metrics)["dragonflywing_group_term", "orders"] == 3
        terms["orders",] = 4
        assert samples(metrics)["dragonflywing_group_term", "orders"] == 4

    def test_buckets_cover_the_longest_deadline(self):
        assert BUCKETS_S[-1] >= 10
