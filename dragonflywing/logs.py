"""Structured logs: one line of key=value pairs for each event."""

import json
import logging as stdlib_logging

from absl import logging


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


def event(name, **fields):
    """Log an event at level INFO."""
    logging.info("%s", format_event(name, fields))


def warn(name, **fields):
    """Log an event at level WARNING."""
    logging.warning("%s", format_event(name, fields))


def configure(level="info", stream=None):
    """Send the log to `stream`, standard error if None, at the given level."""
    logging.use_absl_handler()
    logging.set_verbosity(level)
    logging.set_stderrthreshold(level)
    if stream is not None:
        logging.get_absl_handler().python_handler.stream = stream
    # These libraries log tracebacks of what this package reports itself.
    for name in ("sqlglot", "mysql_mimic", "thriftpy2", "asyncio", "aiohttp.access"):
        stdlib_logging.getLogger(name).setLevel(stdlib_logging.CRITICAL)
