"""Bounds on the responses of the stores, for the clients of both.

A store that returned a list without end made an instance hold all of it. What is
being received is charged to the memory budget, so that callers make room for it, but
never waits for it: without the store's keys an instance can't serve callers.
"""

import json

from dragonflywing import metering
from dragonflywing.decisions import memory_budget

# Of one response, and of all pages of a list. A configuration of 1,000,000 bytes takes
# 1.4 MB, 999 entries of 2 KB take 2.9 MB.
MAX_BYTES = 8 << 20
# Of all responses that are being received. An instance follows few prefixes.
MAX_RECEIVING_BYTES = 16 << 20
# Values in one response. 999 entries have some 10,000. Ten bytes of an empty list can
# take 300 in memory, so the size doesn't bound it.
MAX_VALUES = 100_000
MAX_LIST_ITEMS = 20_000  # in all pages of a list

_receiving = memory_budget.Claim()


class ResponseTooLarge(Exception):
    """A response exceeds a limit."""


def note_refused(size):
    """Count and log that a response of at least some bytes was refused."""
    metering.meter.note("store_response", bytes=size)


def _refuse(size):
    note_refused(size)
    raise ResponseTooLarge("response too large")


class Body:
    """The bytes of a response that is being received; use it as a context."""

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.data = bytearray()
        self._held = 0

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.clear()
        # The traceback of an exception may keep this object.
        self.data = bytearray()

    def add(self, data):
        """Append received bytes, or raise ResponseTooLarge."""
        size = len(self.data) + len(data)
        if size > self.max_bytes or _receiving.held + len(data) > MAX_RECEIVING_BYTES:
            _refuse(size)
        self.data += data
        self._held += len(data)
        metering.meter.charge(_receiving, len(data))

    def clear(self):
        """Release what is held; the bytes belong to the caller."""
        held, self._held = self._held, 0
        metering.meter.release(_receiving, held)


def parse(data):
    """Return the JSON value in a response, or raise ValueError or ResponseTooLarge."""
    if data.count(b",") + data.count(b"[") + data.count(b"{") > MAX_VALUES:
        _refuse(len(data))
    try:
        return json.loads(data)
    except RecursionError:
        raise ValueError("nested too deeply") from None
