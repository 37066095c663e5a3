"""The stand-in database's replicated log and its file."""

import json
from typing import NamedTuple

from dragonflywing.decisions.positions import ZERO, Position


class LogEntry(NamedTuple):
    """One committed transaction: its position, schema and statements."""

    term: int
    index: int
    schema: str
    statements: tuple


class Log:
    """Log entries and the latest accepted term, stored in a file of JSON lines.

    A line holds an entry, an accepted term or a truncation, in order.
    """

    def __init__(self, path):
        self.path = path
        self.term = 0
        self.entries = []
        self._file = open(path, "a+", encoding="utf-8")
        self._load()

    def _load(self):
        self._file.seek(0)
        text = self._file.read()
        # A killed process may leave an incomplete last line. What is written after it
        # must be readable at the next start.
        complete = text[: text.rfind("\n") + 1]
        if complete != text:
            self._file.truncate(len(complete.encode()))
        for line in complete.splitlines():
            record = json.loads(line)
            if "accept" in record:
                self.term = record["accept"]
            elif "truncate" in record:
                del self.entries[record["truncate"] :]
            else:
                self.entries.append(LogEntry(*record["entry"]))

    def _write(self, record):
        self._file.write(json.dumps(record) + "\n")
        self._file.flush()

    def accept(self, term):
        """Store a later term."""
        self.term = term
        self._write({"accept": term})

    def append(self, entry):
        """Append an entry."""
        self.entries.append(entry)
        self._write({"entry": entry})

    def truncate(self, index):
        """Remove the entries after `index`."""
        del self.entries[index:]
        self._write({"truncate": index})

    def last(self):
        """Return the position of the last entry, ZERO for an empty log."""
        if not self.entries:
            return ZERO
        return Position(self.entries[-1].term, self.entries[-1].index)

    def position(self, index):
        """Return the position of the entry at `index`, counted from 1."""
        if index == 0:
            return ZERO
        return Position(self.entries[index - 1].term, index)

    def boundaries(self):
        """Return the last index of each term, as (term, index) pairs."""
        last_indexes = {}
        for entry in self.entries:
            last_indexes[entry.term] = entry.index
        return sorted(last_indexes.items())

    def common_index(self, boundaries):
        """Return the last index up to which this log equals another log.

        `boundaries` are those of the other log.
        """
        own_boundaries = dict(self.boundaries())
        for term, index in sorted(boundaries, reverse=True):
            if term in own_boundaries:
                return min(index, own_boundaries[term])
        return 0
