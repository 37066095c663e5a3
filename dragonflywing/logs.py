"""Structured logs: one line of key=value pairs for each event."""

import json
import logging as stdlib_logging
import queue
import threading
import time

from absl import flags, logging

# Lines of one kind of event in a second, beyond which they are only counted. A
# flood of refusals then writes some 10 KB a second.
LINES_PER_KIND_S = 60
# Lines that wait while nobody reads the output, about 1 MB.
MAX_WAITING_LINES = 5000
# Lines are written together this often, since each turn of the thread that
# writes them costs more than a line.
BATCH_S = 0.1


class KindLimit:
    """Bounds the lines of each kind of event in a second."""

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.second = 0
        self.counts = {}

    def take(self, name):
        """Return whether a line may be written, and what the last second left out."""
        second = int(self.clock())
        left_out = {}
        if second != self.second:
            left_out = {
                kind: count - LINES_PER_KIND_S
                for kind, count in self.counts.items()
                if count > LINES_PER_KIND_S
            }
            self.second, self.counts = second, {}
        self.counts[name] = self.counts.get(name, 0) + 1
        return self.counts[name] <= LINES_PER_KIND_S, left_out


class BoundedStream:
    """Writes lines from a thread of its own, so that a full pipe blocks nobody.

    Lines that find no room are counted, and the count is written later.
    """

    def __init__(self, stream, size=MAX_WAITING_LINES):
        self.stream = stream
        self.waiting = queue.Queue(size)
        self.dropped = 0
        threading.Thread(target=self._write_all, daemon=True).start()

    def write(self, text):
        """Take text to write; never waits."""
        try:
            self.waiting.put_nowait(text)
        except queue.Full:
            self.dropped += 1

    def flush(self):
        """Do nothing: the thread flushes."""

    def close(self):
        """Do nothing: the output is not this stream's own."""

    def _write_all(self):
        try:
            while True:
                self._write_batch()
        except (OSError, ValueError):
            # Nobody can read this output any more; lines are counted as dropped.
            return

    def _write_batch(self):
        texts = [self.waiting.get()]
        time.sleep(BATCH_S)
        while not self.waiting.empty():
            texts.append(self.waiting.get())
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            texts.append(f"event=lines_dropped count={dropped}\n")
        self.stream.write("".join(texts))
        self.stream.flush()

    def drain(self, timeout_s):
        """Wait for the lines taken so far to be written, for a while."""
        end = time.monotonic() + timeout_s
        while not self.waiting.empty() and time.monotonic() < end:
            time.sleep(0.01)
        time.sleep(BATCH_S)


_limit = KindLimit()


def _format_value(value):
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text == "" or any(ch in text for ch in ' ="\n'):
        return json.dumps(text)
    return text


def format_event(name, fields):
    """Return the log line of an event."""
    pairs = [f"event={name}"]
    pairs += [f"{key}={_format_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def _log(write, name, fields):
    allowed, left_out = _limit.take(name)
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
    """Send the log to `stream`, standard error if None, at the given level."""
    logging.use_absl_handler()
    if not flags.FLAGS.is_parsed():
        # absl warns of lines that come before its flags, which are not used.
        flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(level)
    logging.set_stderrthreshold(level)
    if stream is not None:
        logging.get_absl_handler().python_handler.stream = stream
        # Without this absl writes to standard error until its flags are parsed.
        logging.set_stderrthreshold("fatal")
    # These libraries log tracebacks of what this package reports itself.
    for name in ("sqlglot", "mysql_mimic", "thriftpy2", "asyncio", "aiohttp.access"):
        stdlib_logging.getLogger(name).setLevel(stdlib_logging.CRITICAL)
