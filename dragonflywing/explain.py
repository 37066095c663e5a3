"""Explains a request from the logs of the instances that handled it."""

import re
from typing import NamedTuple

# Kinds of lines that say what an instance believed when it decided.
BELIEFS = (
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
    "member_gone",
    "store_lost",
    "store_regained",
    "confirm_failed",
)
# Beliefs before the request that are shown of each instance.
SHOWN_BELIEFS = 6
_LINE = re.compile(r"^[IWE](\d{4} [\d:.]+) +\d+ \S+\] (event=(\S+).*)$")


class Line(NamedTuple):
    """A log line: when, of which file, the kind of event and its text."""

    at: str
    source: str
    kind: str
    text: str


def parse(source, text):
    """Return the Lines in a log."""
    found = []
    for row in text.splitlines():
        match = _LINE.match(row)
        if match:
            found.append(Line(match[1], source, match[3], match[2]))
    return found


def explain(statement_id, lines):
    """Return the lines of a request in order, after what was believed then."""
    own = [line for line in lines if f"request={statement_id}" in line.text.split()]
    if not own:
        return []
    first = min(line.at for line in own)
    last = max(line.at for line in own)
    chain = list(own)
    for source in {line.source for line in own}:
        beliefs = [x for x in lines if x.source == source and x.kind in BELIEFS]
        before = [line for line in beliefs if line.at < first]
        chain += before[-SHOWN_BELIEFS:]
        chain += [line for line in beliefs if first <= line.at <= last]
    return sorted(set(chain))
