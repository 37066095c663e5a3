"""Connections to the platform's databases, and the texts of their statements."""

import asyncio
import contextlib

from dragonflywing import metering, outcomes, streams
from dragonflywing.decisions import memory_budget
from dragonflywing.decisions.positions import Position
from dragonflywing.platform import lines
from dragonflywing.ports import (
    Answer,
    ConnectionFailed,
    ConnectionRefused,
    DatabaseStatus,
)

# The outcome for each error code of the platform's databases.
OUTCOMES = {
    "BUSY": outcomes.OVERLOADED,
    "LAGGING": outcomes.BEHIND,
    "READONLY": outcomes.NOT_PRIMARY,
    "WRONGNODE": outcomes.WRONG_DATABASE,
    "CONNLIMIT": outcomes.NO_CONNECTION,
    "NOSTMT": outcomes.UNKNOWN_STATEMENT,
    "ABORTED": outcomes.ABORTED,
    "FAILED": outcomes.FAILED,
    "TIMEOUT": outcomes.TIMED_OUT,
    "INDOUBT": outcomes.IN_DOUBT,
    "NODB": outcomes.NO_ROUTE,
    "NOAUTH": outcomes.BAD_KEY,
    "MALFORMED": outcomes.MALFORMED,
}


@contextlib.contextmanager
def _exchange(stream):
    """Drop the connection if the block fails; raise errors as ConnectionFailed."""
    try:
        with stream.call():
            yield
    except (OSError, EOFError, ValueError, asyncio.LimitOverrunError) as exc:
        raise ConnectionFailed(type(exc).__name__) from None
    except (lines.MalformedLine, metering.LineTooLong) as exc:
        raise ConnectionFailed(str(exc) or "line is too long") from None


async def _no_reservation(size):
    """Need none: a single line is small beside the reserve."""


class DatabaseConnection:
    """One connection to a database, opened for one workspace.

    `position` is the log position that the database reported last, or None.
    """

    def __init__(self, stream):
        self.position = None
        self._stream = stream

    async def start(self, database, workspace):
        """Send STARTUP; raise ConnectionRefused unless the database accepts it."""
        with _exchange(self._stream):
            self._stream.write(
                lines.encode("STARTUP", database.group, workspace, database.name)
            )
            word, _, rest = (await self._read_line()).partition(" ")
            if word != "READY":
                raise ConnectionRefused(
                    OUTCOMES.get(rest.partition(" ")[0], outcomes.FAILED)
                )
            self.position = lines.decode_position(rest.partition(" ")[2])

    async def _read_line(self):
        reader = self._stream.reader
        try:
            data = await reader.readuntil(lines.LINE_END)
        except asyncio.LimitOverrunError as exc:
            data = await metering.read_large_line(
                reader,
                lines.LINE_END,
                lines.MAX_LINE_BYTES,
                exc.consumed,
                _no_reservation,
            )
        return lines.decode(data)

    def send(self, statement_id, text):
        """Send a statement without waiting; answers arrive in the order of sending."""
        with _exchange(self._stream):
            self._stream.write(lines.encode("QUERY", statement_id, text))

    async def receive(self):
        """Return the Answer to the oldest statement that has none yet."""
        with _exchange(self._stream):
            return await self._read_answer()

    async def _read_answer(self):
        claim = memory_budget.Claim()
        try:
            return await self._read_rows(claim)
        finally:
            metering.meter.release(claim, claim.held)

    async def _read_rows(self, claim):
        code, text, rows = "", "", []
        size, is_dropped = 0, False
        while True:
            line = await self._read_line()
            word, _, rest = line.partition(" ")
            if word == "DATAROW":
                size += len(rest)
                if size > memory_budget.SMALL_BYTES and not is_dropped:
                    more = size * memory_budget.ANSWER_COPIES - claim.held
                    is_dropped = not metering.meter.hold(claim, more)
                if is_dropped:
                    # The rest is read, so that the connection stays in step.
                    rows.clear()
                else:
                    rows.append(rest)
            elif word == "COMPLETE":
                text = rest
            elif word == "ERROR":
                word, _, text = rest.partition(" ")
                code = OUTCOMES.get(word, outcomes.FAILED)
            elif word == "READY":
                state, _, position = rest.partition(" ")
                self.position = lines.decode_position(position)
                if is_dropped and not code:
                    metering.meter.note("answer_too_large", bytes=size)
                    code, text = outcomes.FAILED, "no memory for the answer"
                return Answer(
                    code, text, tuple(rows), state != lines.IDLE, self.position
                )
            else:
                raise ConnectionFailed(f"unexpected message {word!r}")

    async def run(self, statement_id, text):
        """Send a statement and return its Answer."""
        with _exchange(self._stream):
            self._stream.write(lines.encode("QUERY", statement_id, text))
            return await self._read_answer()

    def is_broken(self):
        """Return whether the connection was closed or dropped."""
        return not self._stream.is_usable()

    def close(self):
        """Close the connection, which rolls back an open transaction."""
        self._stream.drop()


async def connect(database, workspace):
    """Open a connection to a database for a workspace."""
    try:
        stream = await streams.connect(
            database.host, database.port, metering.BUFFER_BYTES
        )
    except OSError as exc:
        raise ConnectionFailed(type(exc).__name__) from None
    conn = DatabaseConnection(stream)
    await conn.start(database, workspace)
    return conn


def decode_status(answer):
    """Return the DatabaseStatus in an answer to STATUS, PAUSE or STEPDOWN."""
    if answer.code or not answer.rows:
        return None
    try:
        role, term, received, promised, lag, busy, conns = answer.rows[0].split(" ")
        return DatabaseStatus(
            is_primary=role == "primary",
            term=int(term),
            received=lines.decode_position(received) or Position(0, 0),
            promised_term=int(promised),
            lag_s=int(lag) / 1000,
            busy=int(busy),
            connections=int(conns),
        )
    except (ValueError, lines.MalformedLine):
        raise ConnectionFailed(f"malformed status {answer.rows[0]!r}") from None


STATUS = "STATUS"
BEGIN = "BEGIN"
BEGIN_READ = "BEGIN READ"
ROLLBACK = "ROLLBACK"
RESET = "RESET"
RESUME = "RESUME"


def pause(term):
    """Return the statement that pauses a replica for `term`: it stops receiving."""
    return f"PAUSE {term}"


def step_down(term):
    """Return the statement that makes a primary of a lower term a replica."""
    return f"STEPDOWN {term}"


def at_position(position, text):
    """Return a read or BEGIN that a database refuses if its log lacks `position`."""
    return f"AFTER {lines.encode_position(position)} {text}" if position else text


def set_value(name, value):
    """Return the statement that sets a session value."""
    return f"SET {name} {value}"


def prepare(name, definition):
    """Return the statement that prepares `definition` under a name."""
    return f"PREPARE {name} {definition}"


def close_prepared(name):
    """Return the statement that drops a prepared statement."""
    return f"CLOSE {name}"


def execute(name, arguments):
    """Return the statement that runs a prepared statement."""
    return f"EXECUTE {name} {arguments}"


def is_read(definition):
    """Return whether the definition of a prepared statement is a read."""
    return definition.startswith("READ ")
