"""Traces a request through the logs of the instances that handled it."""

import re
from typing import NamedTuple

# Events that change the state on which an instance bases its decisions.
STATE_EVENTS = (
    "started",
    "draining",
    "configuration",
    "primary",
    "primary_denied",
    "database",
    "database_gone",
    "replacement_started",
    "replacement_refused",
    "promotion",
    "promoted",
    "members",
    "store_lost",
    "store_regained",
    "confirm_failed",
)
# Lines with such events from before the request, shown for each instance.
MAX_PRIOR_STATE_LINES = 6
_LINE = re.compile(r"^[IWE](\d{4} [\d:.]+) +\d+ \S+\] (event=(\S+).*)$")


class Line(NamedTuple):
    """A log line: its time, its file, the name of its event and its text."""

    timestamp: str
    source: str
    kind: str
    text: str


def parse(source, text):
    """Return the events in a log as Lines; lines in another format are skipped."""
    lines = []
    for raw in text.splitlines():
        match = _LINE.match(raw)
        if match:
            lines.append(Line(match[1], source, match[3], match[2]))
    return lines


def explain(statement_id, lines):
    """Return the lines of a request in order of time.

    They include the state events of the instances involved, while the request
    ran and shortly before it.
    """
    own = [line for line in lines if f"request={statement_id}" in line.text.split()]
    if not own:
        return []
    first = min(line.timestamp for line in own)
    last = max(line.timestamp for line in own)
    selected = list(own)
    for source in {line.source for line in own}:
        state = [x for x in lines if x.source == source and x.kind in STATE_EVENTS]
        prior = [line for line in state if line.timestamp < first]
        selected += prior[-MAX_PRIOR_STATE_LINES:]
        selected += [line for line in state if first <= line.timestamp <= last]
    return sorted(set(selected))
