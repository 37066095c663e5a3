"""The stand-in database's replicated log and its file."""

import json
import os
from typing import NamedTuple

from dragonflywing.decisions.positions import ZERO, Position


class LogEntry(NamedTuple):
    """One committed transaction: its position, schema and statements."""

    term: int
    index: int
    schema: str
    statements: tuple


class Log:
    """Log entries and the latest accepted term, kept in one file of JSON lines."""

    def __init__(self, path):
        self.path = path
        self.term = 0
        self.entries = []
        self._file = None
        if os.path.exists(path):
            self._load()
        self._file = open(path, "a", encoding="utf-8")

    def _load(self):
        with open(self.path, encoding="utf-8") as file:
            for line in file:
                try:
                    record = json.loads(line)
                except ValueError:
                    break  # the last line of a killed process may be cut short
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
        """Record a later term."""
        self.term = term
        self._write({"accept": term})

    def append(self, entry):
        """Add an entry at the end."""
        self.entries.append(entry)
        self._write({"entry": entry})

    def truncate(self, index):
        """Drop the entries after `index`."""
        del self.entries[index:]
        self._write({"truncate": index})

    def last(self):
        """Return the position of the last entry."""
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
        found = {}
        for entry in self.entries:
            found[entry.term] = entry.index
        return sorted(found.items())

    def common_index(self, boundaries):
        """Return the last index that this log shares with another's boundaries."""
        mine = dict(self.boundaries())
        for term, index in sorted(boundaries, reverse=True):
            if term in mine:
                return min(index, mine[term])
        return 0
