"""Log positions of a database group, database statuses and session tokens."""

from typing import NamedTuple


class Position(NamedTuple):
    """A position in the replicated log, ordered by term and then by index."""

    term: int
    index: int


ZERO = Position(0, 0)


class Status(NamedTuple):
    """The state that a database reports.

    `term` is the latest term it has accepted. `received` is the position of the
    last log entry it has stored, `applied` of the last one it has executed.
    `busy` is the number of statements it is running.
    """

    database: str
    primary: bool
    term: int
    received: Position
    applied: Position
    leaving: bool
    busy: int


def majority(size):
    """Return the smallest number of databases that is a majority of `size`."""
    return size // 2 + 1


def intersecting_quorum(size, sync_replicas):
    """Return the smallest quorum that intersects every write quorum.

    A write is acknowledged once the primary and `sync_replicas` other databases
    have stored it.
    """
    return max(1, size - sync_replicas)


def fence_quorum(size, sync_replicas):
    """Return how many databases confirm that a primary has not been replaced.

    They include one of each write quorum, and one of the databases that a replacement
    has paused, which are all but `sync_replicas`.
    """
    quorum = intersecting_quorum(size, sync_replicas)
    return min(max(quorum, sync_replicas + 1), max(1, size))


def confirmed_primary(statuses, size, quorum=None):
    """Return the status of the primary that a quorum still follows, or None.

    The primary of the latest term counts towards the quorum, and so does every
    database in that term. If any database has accepted a later term, no primary
    is confirmed. `quorum` defaults to a majority.
    """
    quorum = majority(size) if quorum is None else quorum
    primaries = [status for status in statuses if status.primary]
    if not primaries:
        return None
    primary = max(primaries, key=lambda status: status.term)
    if any(status.term > primary.term for status in statuses):
        return None
    followers = sum(1 for status in statuses if status.term == primary.term)
    return primary if followers >= quorum else None


def encode_token(position):
    """Return the session token for a floor, a position that reads must include."""
    return f"{position.term}.{position.index}"


def decode_token(text):
    """Return the floor in a session token; raise ValueError if it is malformed."""
    term, _, index = text.partition(".")
    position = Position(int(term), int(index))
    if position.term < 0 or position.index < 0:
        raise ValueError(f"session token {text!r} contains a negative number")
    return position
