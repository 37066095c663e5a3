"""Counters, latency histograms and gauges, exported to Prometheus or statsd."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import statsd
from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

FLUSH_INTERVAL_S = 1.0
PREFIX = "dragonflywing"
# From a cached answer on the same machine up to the longest statement timeout.
BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
# The labels of each histogram and its help text. Labels must have few distinct
# values: kinds of routes or statements, and codes of `outcomes`.
HISTOGRAMS = {
    "statement": (("route", "outcome"), "From a caller's statement to its answer."),
    "slot_wait": (("urgent",), "Waiting for a slot of a database."),
    "database": (("kind", "outcome"), "A statement's time at a database."),
}
# Latencies of one series that a flush sends; statsd computes quantiles from them.
MAX_TIMINGS_PER_FLUSH = 100


class Gauge(NamedTuple):
    """A value that is read each time the metrics are collected.

    `read()` returns {label values: number}.
    """

    name: str
    documentation: str
    labels: tuple
    read: Callable


def _gauge_family(gauge):
    family = GaugeMetricFamily(
        f"{PREFIX}_{gauge.name}", gauge.documentation, labels=gauge.labels
    )
    for values, number in gauge.read().items():
        family.add_metric(values, number)
    return family


class Metrics:
    """The counters, histograms and gauges of one process."""

    def __init__(self, cfg=None):
        self.counters = Counter()
        self.gauges = []
        self.registry = CollectorRegistry()
        self.registry.register(self)
        self._histograms = {
            name: Histogram(
                f"{PREFIX}_{name}_seconds",
                documentation,
                labels,
                registry=self.registry,
                buckets=BUCKETS_S,
            )
            for name, (labels, documentation) in HISTOGRAMS.items()
        }
        self._children = {}
        self._timings = {}
        self._flushed_counters = Counter()
        self._client = None
        if cfg and cfg.host:
            self._client = statsd.StatsClient(
                cfg.host, cfg.port, prefix=cfg.prefix, maxudpsize=1400
            )

    def count(self, name, amount=1):
        """Increment a counter."""
        self.counters[name] += amount

    def time(self, name, seconds, *labels):
        """Record a latency in one of `HISTOGRAMS`, with a value for each label."""
        key = (name, *labels)
        if key not in self._children:
            self._children[key] = self._histograms[name].labels(*labels)
        self._children[key].observe(seconds)
        if self._client is not None:
            timings = self._timings.setdefault(".".join(key), [])
            if len(timings) < MAX_TIMINGS_PER_FLUSH:
                timings.append(seconds)

    def collect(self):
        """Return the counters and gauges; called by the Prometheus registry."""
        events = CounterMetricFamily(
            f"{PREFIX}_events", "Events by name.", labels=["event"]
        )
        for name, value in sorted(self.counters.items()):
            events.add_metric([name], value)
        return [events, *map(_gauge_family, self.gauges)]

    def as_text(self):
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry).decode()

    def mean_s(self, name):
        """Return the mean latency of a histogram over all label values."""
        samples = [
            sample
            for family in self._histograms[name].collect()
            for sample in family.samples
        ]
        total = sum(s.value for s in samples if s.name.endswith("_sum"))
        count = sum(s.value for s in samples if s.name.endswith("_count"))
        return total / count if count else 0.0

    def flush(self):
        """Send changed counters and new latencies to statsd, if it is configured."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, value in self.counters.items():
                if value != self._flushed_counters[name]:
                    pipe.incr(name, value - self._flushed_counters[name])
            for name, timings in self._timings.items():
                for seconds in timings:
                    pipe.timing(name, seconds * 1000)
        self._timings = {}
        self._flushed_counters = Counter(self.counters)

    async def report(self):
        """Flush periodically until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()
