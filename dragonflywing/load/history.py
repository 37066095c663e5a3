"""Histories of concurrent runs, and checks of their consistency guarantees."""

import json
from collections import Counter
from typing import NamedTuple

OK = "OK"
NOT_RUN = "NOT_RUN"
MAY_HAVE_RUN = "MAY_HAVE_RUN"


class Operation(NamedTuple):
    """One operation of a caller, from its start to its outcome.

    `kind` is write, batch, read or aged (a read that accepts older data). `seen`
    is true if a read found `order`. Times are those of the load process's clock,
    in seconds.
    """

    kind: str
    workspace: str
    caller: str
    entry: str
    order: str
    started: float
    ended: float
    outcome: str
    reason: str = ""
    seen: bool = False


class Findings(NamedTuple):
    """The violations found in a history, as lists of order ids."""

    lost_writes: list
    doubled_writes: list
    stale_reads: list
    false_not_run: list
    torn_batches: list

    def total(self):
        """Return the number of violations."""
        return sum(len(items) for items in self)


class History:
    """The operations of one run, ordered by their end."""

    def __init__(self):
        self.operations = []

    def add(self, operation):
        """Append an operation that has ended."""
        self.operations.append(operation)

    def save(self, path):
        """Write the history to a file, one JSON object a line."""
        with open(path, "w", encoding="utf-8") as file:
            for operation in self.operations:
                file.write(json.dumps(operation._asdict()) + "\n")


def check(operations, final):
    """Return the Findings of a history.

    `final` maps order ids to their number of rows at the end of the run. A
    batch's id must have `BATCH_SIZE` rows or none.
    """
    writes = [item for item in operations if item.kind == "write"]
    batches = [item for item in operations if item.kind == "batch"]
    acked = {item.order for item in writes + batches if item.outcome == OK}
    return Findings(
        lost_writes=sorted(order for order in acked if not final.get(order)),
        doubled_writes=sorted(
            {item.order for item in writes if final.get(item.order, 0) > 1}
        ),
        stale_reads=_stale_reads(operations),
        false_not_run=_false_not_run(writes + batches, final),
        torn_batches=sorted(
            {x.order for x in batches if final.get(x.order, 0) not in (0, BATCH_SIZE)}
        ),
    )


# Orders in one batch.
BATCH_SIZE = 3


def _stale_reads(operations):
    """Return reads that missed a write acknowledged to their caller before."""
    acked_at = {}
    for item in operations:
        if item.kind in ("write", "batch") and item.outcome == OK:
            key = (item.caller, item.order)
            acked_at[key] = min(item.ended, acked_at.get(key, item.ended))
    stale = []
    for item in operations:
        if item.kind != "read" or item.outcome != OK or item.seen:
            continue
        if acked_at.get((item.caller, item.order), float("inf")) <= item.started:
            stale.append(item.order)
    return sorted(stale)


def _false_not_run(writes, final):
    """Return stored orders of which every attempt was reported as not run."""
    outcomes = {}
    for item in writes:
        outcomes.setdefault(item.order, set()).add(item.outcome)
    return sorted(
        order
        for order, verdicts in outcomes.items()
        if verdicts == {NOT_RUN} and final.get(order)
    )


def longest_gap(operations, begin, end):
    """Return the longest time without an acknowledged write, in seconds."""
    times = [
        item.ended
        for item in operations
        if item.kind in ("write", "batch")
        and item.outcome == OK
        and begin <= item.ended <= end
    ]
    points = [begin, *sorted(times), end]
    return max(b - a for a, b in zip(points, points[1:], strict=False))


def served_shares(operations):
    """Return the share of each workspace's operations that succeeded."""
    total = Counter()
    served = Counter()
    for item in operations:
        total[item.workspace] += 1
        served[item.workspace] += item.outcome == OK
    return {name: served[name] / total[name] for name in total}


def quantile(values, fraction):
    """Return the quantile of the values at a fraction, 0 if there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
