"""Structured logs: one line of key=value pairs for each event."""

import json
import logging as stdlib_logging
import queue
import threading
import time

from absl import flags, logging

# Further lines of the same event in a second are counted but not written. This
# bounds a flood of refusals to about 10 KB/s.
MAX_EVENT_LINES_PER_S = 60
# About 1 MB of lines, queued while the reader of the output is stalled.
MAX_QUEUED_LINES = 5000
MAX_NAMES = 12  # in one field
MAX_VALUE_CHARS = 1024  # callers choose ids and names of up to 1 MiB
# Lines are written in batches, because waking the writer thread costs more than
# writing a line.
BATCH_INTERVAL_S = 0.1


class EventLimit:
    """Limits how many lines of each event are written in a second."""

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.second = 0
        self.counts = {}

    def allow(self, name):
        """Count a line; return whether it may be written, and the suppressed lines.

        The latter maps events to the number of lines that were over the limit in
        the last second with any line. It is empty except on the first call of a
        second.
        """
        second = int(self.clock())
        left_out = {}
        if second != self.second:
            left_out = {
                event: count - MAX_EVENT_LINES_PER_S
                for event, count in self.counts.items()
                if count > MAX_EVENT_LINES_PER_S
            }
            self.second, self.counts = second, {}
        self.counts[name] = self.counts.get(name, 0) + 1
        return self.counts[name] <= MAX_EVENT_LINES_PER_S, left_out


class BoundedStream:
    """Writes lines from a background thread, so that a full pipe blocks no caller.

    Lines that do not fit into the queue are dropped and counted; the count is
    logged later.
    """

    def __init__(self, stream, size=MAX_QUEUED_LINES):
        self.stream = stream
        self.pending = queue.Queue(size)
        self.dropped = 0
        threading.Thread(target=self._write_all, daemon=True).start()

    def write(self, text):
        """Queue text without blocking; drop it if the queue is full."""
        try:
            self.pending.put_nowait(text)
        except queue.Full:
            self.dropped += 1

    def flush(self):
        """Do nothing: the writer thread flushes after each batch."""

    def close(self):
        """Do nothing: the underlying stream belongs to the caller."""

    def _write_all(self):
        try:
            while True:
                self._write_batch()
        except (OSError, ValueError):
            # The output is closed. The queue fills up and further lines are dropped.
            return

    def _write_batch(self):
        texts = [self.pending.get()]
        time.sleep(BATCH_INTERVAL_S)
        while not self.pending.empty():
            texts.append(self.pending.get())
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            texts.append(f"event=lines_dropped count={dropped}\n")
        self.stream.write("".join(texts))
        self.stream.flush()

    def drain(self, timeout_s):
        """Wait until the queued lines are written, at most about `timeout_s`."""
        end = time.monotonic() + timeout_s
        while not self.pending.empty() and time.monotonic() < end:
            time.sleep(0.01)
        time.sleep(BATCH_INTERVAL_S)


_limit = EventLimit()


def _format_value(value):
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if len(text) > MAX_VALUE_CHARS:
        text = text[: MAX_VALUE_CHARS - 3] + "..."
    if text == "" or any(ch in text for ch in ' ="\n'):
        return json.dumps(text)
    return text


def join(names):
    """Return names as the value of a field; of many only the first and a count."""
    names = sorted(names)
    left_out = len(names) - MAX_NAMES
    text = ",".join(names[:MAX_NAMES])
    return f"{text},+{left_out}" if left_out > 0 else text


def format_event(name, fields):
    """Return an event as a log line of key=value pairs."""
    pairs = [f"event={name}"]
    pairs += [f"{key}={_format_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def _log(write, name, fields):
    allowed, left_out = _limit.allow(name)
    for kind, count in left_out.items():
        write("%s", format_event("lines_left_out", {"kind": kind, "count": count}))
    if allowed:
        write("%s", format_event(name, fields))


def event(name, **fields):
    """Log an event at level INFO."""
    _log(logging.info, name, fields)


def warn(name, **fields):
    """Log an event at level WARNING."""
    _log(logging.warning, name, fields)


def configure(level="info", stream=None):
    """Log to `stream` (standard error if None) from the given level up."""
    logging.use_absl_handler()
    if not flags.FLAGS.is_parsed():
        # absl warns about lines logged before its flags are parsed. No absl flags
        # are used here.
        flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(level)
    logging.set_stderrthreshold(level)
    if stream is not None:
        logging.get_absl_handler().python_handler.stream = stream
        # Otherwise absl writes to standard error until its flags are parsed.
        logging.set_stderrthreshold("fatal")
    # These libraries log tracebacks of errors that this package logs itself.
    for name in ("sqlglot", "mysql_mimic", "thriftpy2", "asyncio", "aiohttp.access"):
        stdlib_logging.getLogger(name).setLevel(stdlib_logging.CRITICAL)
