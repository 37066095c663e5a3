"""Log positions of a database group, database statuses and session tokens."""

from typing import NamedTuple


class Position(NamedTuple):
    """A log position; positions of later terms are greater."""

    term: int
    index: int


ZERO = Position(0, 0)


class Status(NamedTuple):
    """What a database says of itself.

    `term` is the latest term it has accepted; `received` and `applied` are the
    last log entries it stores and has executed; `busy` counts its running
    statements.
    """

    database: str
    primary: bool
    term: int
    received: Position
    applied: Position
    leaving: bool
    busy: int


def majority(size):
    """Return the number of databases that forms a majority of `size`."""
    return size // 2 + 1


def intersecting_quorum(size, sync_replicas):
    """Return how many databases meet every set that can acknowledge a write.

    A write is acknowledged once the primary and `sync_replicas` others hold it.
    """
    return max(1, size - sync_replicas)


def confirmed_primary(statuses, size, quorum=None):
    """Return the status of the primary that enough databases still follow, or None.

    The primary of the greatest term counts itself; another database counts if
    it has accepted no later term. `quorum` is a majority unless given.
    """
    quorum = majority(size) if quorum is None else quorum
    primaries = [status for status in statuses if status.primary]
    if not primaries:
        return None
    leader = max(primaries, key=lambda status: status.term)
    if any(status.term > leader.term for status in statuses):
        return None
    followers = sum(1 for status in statuses if status.term == leader.term)
    return leader if followers >= quorum else None


def encode_token(position):
    """Return the session token that stands for a floor."""
    return f"{position.term}.{position.index}"


def decode_token(text):
    """Return the floor in a session token, or raise ValueError."""
    term, _, index = text.partition(".")
    position = Position(int(term), int(index))
    if position.term < 0 or position.index < 0:
        raise ValueError(f"session token {text!r} holds a negative number")
    return position
