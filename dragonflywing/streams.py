"""Outgoing connections: to the store, the promotion service, databases and instances.

A call that ends without its answer leaves its connection out of step: the answer may
still come and be taken for that of the next call, and what was written may still
arrive. So such a connection is dropped, whatever ended the call, and dropping resets
it: closing in the ordinary way would let the network deliver the bytes that it holds
back, perhaps seconds later. The connections of a process that is killed are reset too.
"""

import asyncio
import contextlib
import os
import socket
import struct

from dragonflywing import metering

# A connection whose other end is dark counts as lost after this time.
DARK_AFTER_S = 3.0
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
DEFAULT_LINE_BYTES = 1 << 16

# Closing discards unsent bytes and sends a reset: lingering is on, for 0 s.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Stream:
    """One outgoing connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self._writer = writer

    def is_usable(self):
        """Return whether neither end has closed the connection."""
        is_open = not self._writer.is_closing() and not self.reader.at_eof()
        return is_open and self.reader.exception() is None

    def write(self, data):
        """Write bytes; raise ConnectionResetError if the connection is closed."""
        # uvloop raises RuntimeError for writes to a closed connection.
        if self._writer.is_closing():
            raise ConnectionResetError("the connection is closed")
        self._writer.write(data)

    def unsent_bytes(self):
        """Return how many written bytes the system has not taken yet."""
        return self._writer.transport.get_write_buffer_size()

    def meter(self):
        """Return a Metered for what is read; only a lack of memory closes it."""
        return metering.Metered(self.reader, self._writer, is_timed=False)

    def write_now(self, data):
        """Write bytes past the loop's queue, or raise an OSError and write none.

        The connection must be new, so that no other bytes wait to be written.
        """
        if self._writer.is_closing():
            raise ConnectionResetError("the connection is closed")
        if os.write(_socket(self._writer).fileno(), data) < len(data):
            raise ConnectionAbortedError("written in part only")

    @contextlib.contextmanager
    def call(self):
        """Drop the connection if the block doesn't end normally."""
        try:
            yield
        except BaseException:  # a cancelled call has no answer either
            self.drop()
            raise

    def limit_delivery(self, seconds):
        """Let the system drop the connection if bytes stay undelivered for a time.

        It does so even while this process stands still.
        """
        _socket(self._writer).setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, max(1, int(seconds * 1000))
        )

    def drop(self):
        """Reset the connection; bytes on their way are lost."""
        self._writer.transport.abort()


def _socket(writer):
    sock = writer.get_extra_info("socket")
    if sock is None:
        raise ConnectionResetError("the connection is closed")
    return sock


def detect_silence(writer):
    """Let the system close a connection whose other end is dark."""
    sock = _socket(writer)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, int(DARK_AFTER_S * 1000)),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


async def connect(host, port, max_line_bytes=DEFAULT_LINE_BYTES):
    """Open a connection and return its Stream."""
    reader, writer = await asyncio.open_connection(host, port, limit=max_line_bytes)
    try:
        _socket(writer).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        detect_silence(writer)
    except OSError:  # the other end has reset it already
        writer.transport.abort()
        raise
    return Stream(reader, writer)
