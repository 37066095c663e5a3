"""The platform's line protocol, which callers and databases share.

A message is one line that ends in CR LF: a word and fields, separated by single
spaces. The last field extends to the end of the line.
"""

from typing import NamedTuple

from dragonflywing.decisions.positions import Position

MAX_LINE_BYTES = 1 << 20  # the platform's limit for a message
LINE_END = b"\r\n"

IDLE = "I"
IN_TRANSACTION = "T"
FAILED = "E"


class MalformedLine(Exception):
    """A line that does not follow the protocol."""


class Query(NamedTuple):
    """A statement: `verb` is the first word of `text`, `rest` what follows it."""

    statement_id: str
    text: str
    verb: str
    rest: str


def parse_startup(line):
    """Return the database name and the key in a STARTUP line, "" for no key."""
    fields = line.split(" ", 2)
    if fields[0] != "STARTUP" or len(fields) < 2 or not fields[1]:
        raise MalformedLine("expected STARTUP with a database name")
    return fields[1], fields[2] if len(fields) > 2 else ""


def parse_query(line):
    """Return the Query of a line, or None for TERMINATE."""
    if line == "TERMINATE":
        return None
    fields = line.split(" ", 2)
    if fields[0] != "QUERY" or len(fields) < 3:
        raise MalformedLine("expected QUERY with an id and a text, or TERMINATE")
    verb, _, rest = fields[2].partition(" ")
    return Query(fields[1], fields[2], verb, rest)


def decode(data):
    """Return a received line as text, without CR LF."""
    if not data.endswith(LINE_END):
        raise MalformedLine("line does not end in CR LF")
    try:
        return data[:-2].decode()
    except UnicodeDecodeError:
        raise MalformedLine("line is not UTF-8") from None


def encode(*fields):
    """Return a line with the given fields as bytes."""
    return " ".join(fields).encode() + LINE_END


def encode_position(position):
    """Return a log position as text, "-" for none."""
    return f"{position[0]}.{position[1]}" if position else "-"


def decode_position(text):
    """Return the Position in a text, None for "-"."""
    if text == "-":
        return None
    term, _, index = text.partition(".")
    try:
        return Position(int(term), int(index))
    except ValueError:
        raise MalformedLine(f"malformed log position {text!r}") from None
