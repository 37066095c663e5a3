"""Histories of concurrent runs, and the checks of what must always hold."""

import json
from collections import Counter
from typing import NamedTuple

OK = "OK"
NOT_RUN = "NOT_RUN"
MAY_HAVE_RUN = "MAY_HAVE_RUN"


class Operation(NamedTuple):
    """One operation of a caller, from its start to its outcome.

    `kind` is write, batch or read; `seen` tells whether a read found `order`.
    Times are seconds of the load process's clock.
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
    """Violations found in a history; each list holds order ids."""

    lost_writes: list
    doubled_writes: list
    stale_reads: list
    false_not_run: list
    torn_batches: list

    def total(self):
        """Return the number of violations."""
        return sum(len(items) for items in self)


class History:
    """The operations of one run, in the order in which they ended."""

    def __init__(self):
        self.operations = []

    def add(self, operation):
        """Record an operation that has ended."""
        self.operations.append(operation)

    def save(self, path):
        """Write the history as lines of JSON."""
        with open(path, "w", encoding="utf-8") as file:
            for operation in self.operations:
                file.write(json.dumps(operation._asdict()) + "\n")


def check(operations, final):
    """Return the Findings of a history.

    `final` maps order ids to the number of rows at the end; a batch's id has
    as many rows as the batch has orders.
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
    """Return reads that missed a write which the same caller had acknowledged."""
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
    """Return orders that were only ever refused as not run, yet are there."""
    outcomes = {}
    for item in writes:
        outcomes.setdefault(item.order, set()).add(item.outcome)
    return sorted(
        order
        for order, found in outcomes.items()
        if found == {NOT_RUN} and final.get(order)
    )


def longest_gap(operations, begin, end):
    """Return the longest time in seconds without an acknowledged write."""
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
    asked = Counter()
    served = Counter()
    for item in operations:
        asked[item.workspace] += 1
        served[item.workspace] += item.outcome == OK
    return {name: served[name] / asked[name] for name in asked}


def quantile(values, share):
    """Return the value at a share of the sorted values, 0 if there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
