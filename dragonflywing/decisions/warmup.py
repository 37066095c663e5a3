"""Cold databases: when a database is cold, and the fleet's rate for it.

Answers the load on a database whose caches are empty: while it is cold, the whole
fleet sends it at most `cold_per_s` x `warmup_over` + `warmup_slack` statements in any
second. The rate is divided over the instances by `division`, in a bucket for each
cold database beside those of the workspaces. These buckets are strict: they save at
most one token, and no share grows before the others can know of it.
"""

from typing import NamedTuple

# Workspaces' names have no slash, so that the buckets' names are never theirs.
BUCKET_PREFIX = "cold/"
# Instances that may send statements to a database at the same time: its home, and
# those that a statement is tried at before the database counts as out of reach. Each
# may have saved one token.
MAX_HOMES = 3
# How much more than the rate may be sent in a second beyond these tokens. The fleet of
# test_warmup.py sent 0.95 times the rate while homes changed and reports were late.
# Three new homes on each side of a cut sent 1.75 times the rate, as each side then
# takes the whole of it.
SHARE_EXCESS = 2.0
# The least part of the limit that is used if the limit is small beside `MAX_HOMES`.
MIN_FRACTION = 0.25


class Start(NamedTuple):
    """What is known of a database's start, on the loop's clock.

    `read_at` is when its entry was read, with `left_s` of its warm-up left.
    `started_at` is when it was seen to have started, None if it was running when the
    instance first learned of it.
    """

    read_at: float
    left_s: float
    started_at: float | None


def bucket_name(database):
    """Return the name of a cold database's bucket."""
    return BUCKET_PREFIX + database


def note_entry(start, now, left_s, has_started):
    """Return the Start of a database after its entry was read.

    `has_started` says that this is the first entry of its process.
    """
    started_at = start.started_at if start else None
    return Start(now, left_s, now if has_started else started_at)


def cold_s(start, now, warmup_s, evacuated_at=None):
    """Return for how many more seconds a database is cold; 0 if it isn't.

    `evacuated_at` is when the evacuation of its data centre began, None without one.
    """
    left_s = start.read_at + start.left_s - now
    for begun_at in (start.started_at, evacuated_at):
        if begun_at is not None:
            left_s = max(left_s, begun_at + warmup_s - now)
    return max(0.0, left_s)


def max_per_s(cold_per_s, over, slack):
    """Return how many statements the fleet may send to a cold database in a second."""
    return cold_per_s * over + slack


def fleet_rate(cold_per_s, over, slack):
    """Return the rate of a cold database's bucket, in statements a second."""
    limit = max_per_s(cold_per_s, over, slack)
    rate = max((limit - MAX_HOMES) / SHARE_EXCESS, MIN_FRACTION * limit)
    return min(cold_per_s, rate)


def limits(cold, over, slack):
    """Return {bucket: (rate, burst)} for {cold database: its `cold_per_s`}.

    The burst is what the fleet's bucket, known from reports, saves in a second; an
    instance saves one token only.
    """
    rates = {name: fleet_rate(per_s, over, slack) for name, per_s in cold.items()}
    return {bucket_name(name): (rate, rate) for name, rate in rates.items()}
