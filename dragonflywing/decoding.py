"""Decodes documents that other programs have written.

Such bytes may be anything. `decode` returns a value of the expected type or raises
MalformedDocument, and nothing else. The types here bound what later code can't handle:
text that no line or header takes, addresses that no socket takes, and numbers beyond
those of the store and of Thrift.
"""

import functools
import ipaddress
import re
from typing import Annotated

import msgspec
from msgspec import Meta

MAX_BYTES = 8 << 20  # of a document; a configuration of 1,000,000 bytes is large
MAX_NAME_CHARS = 200  # of a key in the store
MAX_HOST_CHARS = 253  # of a name in DNS
MAX_INTEGER = 2**63 - 1

# Neither blanks, which separate fields, nor control characters.
Name = Annotated[
    str,
    Meta(
        min_length=1,
        max_length=MAX_NAME_CHARS,
        pattern=r"\A[^\s\x00-\x1f\x7f-\x9f]+\Z",
    ),
]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Number = Annotated[float, Meta(ge=0, le=1e15)]

_HOST_NAME = re.compile(r"(?:[A-Za-z0-9_-]{1,63}\.)*[A-Za-z0-9_-]{1,63}\.?")
_PORT = re.compile(r"[0-9]{1,5}")


class MalformedDocument(ValueError):
    """A document can't be decoded, or isn't of the expected type."""


@functools.cache
def _decoder(target_type):
    return msgspec.json.Decoder(target_type)


def decode(data, target_type):
    """Return the value of a type in a JSON document of bytes or text.

    Fields that the type doesn't name are skipped. Raise MalformedDocument.
    """
    if len(data) > MAX_BYTES:
        raise MalformedDocument(f"{len(data)} bytes, at most {MAX_BYTES}")
    try:
        return _decoder(target_type).decode(data)
    except (msgspec.MsgspecError, UnicodeError) as exc:
        raise MalformedDocument(str(exc)) from None
    except RecursionError:
        raise MalformedDocument("nested too deeply") from None


def decode_text(data):
    """Return the text in bytes, with a mark in place of what isn't UTF-8."""
    return data.decode(errors="replace")


def check_name(text):
    """Return a text that is a Name, or raise MalformedDocument."""
    try:
        return msgspec.convert(text, Name)
    except msgspec.ValidationError as exc:
        raise MalformedDocument(str(exc)) from None


def check_host(host):
    """Return a host name or address that a socket takes, or raise MalformedDocument."""
    if len(host) <= MAX_HOST_CHARS and _HOST_NAME.fullmatch(host):
        return host
    try:
        return str(ipaddress.ip_address(host))
    except ValueError:
        raise MalformedDocument(f"no host: {host[:100]!r}") from None


def parse_address(text):
    """Return the host and port in HOST:PORT, or raise MalformedDocument."""
    host, _, port = text.rpartition(":")
    host = check_host(host.removeprefix("[").removesuffix("]"))
    if not _PORT.fullmatch(port) or not 0 < int(port) < 65_536:
        raise MalformedDocument(f"no port: {port[:100]!r}")
    return host, int(port)
