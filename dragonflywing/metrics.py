"""Counters, latency histograms and gauges: as text over HTTP, or to statsd."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import statsd
from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

FLUSH_INTERVAL_S = 1.0
PREFIX = "dragonflywing"
# From a cached answer on the same machine to the longest deadline of a caller.
BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
# Each histogram's label names and what it measures. Labels take few values:
# kinds of routes or statements, and codes of `outcomes`.
HISTOGRAMS = {
    "statement": (("route", "outcome"), "From a caller's statement to its answer."),
    "slot_wait": (("urgent",), "Waiting for a slot of a database."),
    "database": (("kind", "outcome"), "A statement's time at a database."),
}
# Times of one kind sent to statsd in one flush; it works out quantiles of these.
TIMES_PER_FLUSH = 100


class Gauge(NamedTuple):
    """A belief of the process, read when the metrics are asked for.

    `read()` returns {values of the labels: number}.
    """

    name: str
    text: str
    labels: tuple
    read: Callable


def _family(gauge):
    family = GaugeMetricFamily(
        f"{PREFIX}_{gauge.name}", gauge.text, labels=gauge.labels
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
                text,
                labels,
                registry=self.registry,
                buckets=BUCKETS_S,
            )
            for name, (labels, text) in HISTOGRAMS.items()
        }
        self._children = {}
        self._times = {}
        self._reported = Counter()
        self._client = None
        if cfg and cfg.host:
            self._client = statsd.StatsClient(
                cfg.host, cfg.port, prefix=cfg.prefix, maxudpsize=1400
            )

    def count(self, name, amount=1):
        """Add to a counter."""
        self.counters[name] += amount

    def time(self, name, seconds, *labels):
        """Add a latency to one of `HISTOGRAMS`, with a value for each label."""
        key = (name, *labels)
        if key not in self._children:
            self._children[key] = self._histograms[name].labels(*labels)
        self._children[key].observe(seconds)
        if self._client is not None:
            times = self._times.setdefault(".".join(key), [])
            if len(times) < TIMES_PER_FLUSH:
                times.append(seconds)

    def collect(self):
        """Return the counters and gauges, for the registry."""
        events = CounterMetricFamily(
            f"{PREFIX}_events", "Events by name.", labels=["event"]
        )
        for name, value in sorted(self.counters.items()):
            events.add_metric([name], value)
        return [events, *map(_family, self.gauges)]

    def as_text(self):
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self.registry).decode()

    def mean_s(self, name):
        """Return the mean of a histogram's latencies over all labels."""
        samples = [
            sample
            for family in self._histograms[name].collect()
            for sample in family.samples
        ]
        total = sum(x.value for x in samples if x.name.endswith("_sum"))
        count = sum(x.value for x in samples if x.name.endswith("_count"))
        return total / count if count else 0.0

    def flush(self):
        """Send what has changed since the last flush."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, value in self.counters.items():
                if value != self._reported[name]:
                    pipe.incr(name, value - self._reported[name])
            for name, times in self._times.items():
                for seconds in times:
                    pipe.timing(name, seconds * 1000)
        self._times = {}
        self._reported = Counter(self.counters)

    async def report(self):
        """Flush once a second until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()
