"""Counters and latency histograms, reported to statsd once a second."""

import asyncio
import bisect
from collections import Counter

import statsd

FLUSH_INTERVAL_S = 1.0
# Upper bounds of the latency histogram's cells, in seconds.
BOUNDS_S = tuple(0.0001 * 1.5**i for i in range(32))


class Histogram:
    """Counts of latencies in cells of geometrically growing width."""

    def __init__(self):
        self.cells = [0] * (len(BOUNDS_S) + 1)
        self.count = 0

    def add(self, seconds):
        """Count one latency."""
        self.cells[bisect.bisect_left(BOUNDS_S, seconds)] += 1
        self.count += 1

    def quantile(self, share):
        """Return the upper bound in seconds of the cell that holds the quantile."""
        wanted = share * self.count
        seen = 0
        for index, cell in enumerate(self.cells):
            seen += cell
            if cell and seen >= wanted:
                return BOUNDS_S[min(index, len(BOUNDS_S) - 1)]
        return 0.0


class Metrics:
    """The counters and histograms of one process."""

    def __init__(self, cfg=None):
        self.counters = Counter()
        self.histograms = {}
        self._reported = Counter()
        self._client = None
        if cfg and cfg.host:
            self._client = statsd.StatsClient(
                cfg.host, cfg.port, prefix=cfg.prefix, maxudpsize=1400
            )

    def count(self, name, amount=1):
        """Add to a counter."""
        self.counters[name] += amount

    def time(self, name, seconds):
        """Add a latency to a histogram."""
        if name not in self.histograms:
            self.histograms[name] = Histogram()
        self.histograms[name].add(seconds)

    def as_text(self):
        """Return all counters and latency quantiles, a line each."""
        lines = [f"{name} {value}" for name, value in sorted(self.counters.items())]
        for name, histogram in sorted(self.histograms.items()):
            lines.append(f"{name}.count {histogram.count}")
            for share in (0.5, 0.99):
                value = histogram.quantile(share) * 1000
                lines.append(f"{name}.p{int(share * 100)}_ms {value:.3f}")
        return "\n".join(lines) + "\n"

    def flush(self):
        """Send what has changed since the last flush."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, value in self.counters.items():
                if value != self._reported[name]:
                    pipe.incr(name, value - self._reported[name])
            for name, histogram in self.histograms.items():
                pipe.gauge(f"{name}.p50_ms", histogram.quantile(0.5) * 1000)
                pipe.gauge(f"{name}.p99_ms", histogram.quantile(0.99) * 1000)
        self._reported = Counter(self.counters)

    async def report(self):
        """Flush once a second until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()
