"""What callers set in their sessions, and what is set on connections to databases.

Both outlast the message that set them, so they are charged to the memory budget.
"""

import contextlib
import sys

from dragonflywing import metering, outcomes
from dragonflywing.decisions import memory_budget
from dragonflywing.decisions.memory_budget import Claim, Kept
from dragonflywing.outcomes import Refusal

# Limits of one session. Its values travel with each statement that is forwarded, so
# they must fit into a frame between instances together with the statement.
MAX_BYTES = 2 << 20
MAX_VALUES = 256
MAX_PREPARED = 1024
# Statements that stay prepared on a pooled connection, which many sessions use.
MAX_POOLED_PREPARED = 256
# Copies of the values while a statement is forwarded: the request, its envelope and
# what the socket hasn't taken yet.
FORWARDED_COPIES = 3
# Copies of the statements that set a connection's state: the text and its line.
SENT_COPIES = 2
MEMORY_WAIT_S = 0.3
MAX_PLAIN_CHARS = 64


def _digest(text):
    """Return a text that is short, and its length and hash in place of a long one.

    The hash is keyed, so that callers can't choose texts with the same one, and a
    string computes it only once.
    """
    return text if len(text) <= MAX_PLAIN_CHARS else (len(text), hash(text))


def _digests(entries):
    return {_digest(name): _digest(text) for name, text in entries.items()}


def _entry_bytes(name, text):
    return memory_budget.ENTRY_BYTES + sys.getsizeof(name) + sys.getsizeof(text)


def _refuse(reason, workspace):
    metering.meter.note("session_state", workspace=workspace)
    raise Refusal(outcomes.OVERLOADED, reason)


class SessionState:
    """The values and prepared statements of one session, by name.

    `identity` holds the texts that its caller has presented and that are kept with it.
    What exceeds a limit of the session, the workspace or the process raises Refusal and
    changes nothing.
    """

    def __init__(self, identity=()):
        self.values = {}
        self.prepared = {}
        self._values_bytes = 0
        self._kept = Kept()
        self._resize(sum(map(sys.getsizeof, identity)))

    def set_workspace(self, workspace):
        """Charge what the session keeps to a workspace."""
        size = self._kept.size
        metering.meter.keep(self._kept, 0)
        self._kept.workspace = workspace
        metering.meter.keep(self._kept, size, is_forced=True)

    def set_value(self, name, value):
        """Set a value; raise Refusal if there is no room for it."""
        self._values_bytes += self._put(self.values, MAX_VALUES, name, value)

    def prepare(self, name, definition):
        """Keep the definition of a prepared statement; raise Refusal without room."""
        self._put(self.prepared, MAX_PREPARED, name, definition)

    def close_prepared(self, name):
        """Forget a prepared statement, if there is one."""
        definition = self.prepared.pop(name, None)
        if definition is not None:
            self._resize(self._kept.size - _entry_bytes(name, definition))

    def _put(self, entries, max_entries, name, text):
        """Set an entry; return by how many bytes the session has grown."""
        if name not in entries and len(entries) >= max_entries:
            reason = f"the session has {max_entries} names already, not run"
            _refuse(reason, self._kept.workspace)
        change = _entry_bytes(name, text)
        if name in entries:
            change -= _entry_bytes(name, entries[name])
        self._resize(self._kept.size + change)
        entries[name] = text
        return change

    def _resize(self, size):
        if size > max(MAX_BYTES, self._kept.size):
            reason = f"a session keeps at most {MAX_BYTES} bytes, not run"
            _refuse(reason, self._kept.workspace)
        if not metering.meter.keep(self._kept, size):
            reason = "no memory for the session's state, not run, retry in 300 ms"
            _refuse(reason, self._kept.workspace)

    def is_large(self):
        """Return whether forwarding the values needs a reservation."""
        return self._values_bytes > memory_budget.SMALL_BYTES

    @contextlib.asynccontextmanager
    async def forwarding(self):
        """Reserve memory for the values while a statement is forwarded.

        Raises Refusal if there is none in time.
        """
        meter = metering.meter
        claim = Claim(self._kept.workspace)
        try:
            try:
                size = self._values_bytes * FORWARDED_COPIES
                await meter.reserve(claim, size, MEMORY_WAIT_S)
            except metering.NoMemory:
                reason = "no memory for the session's values, not run, retry in 300 ms"
                raise Refusal(outcomes.OVERLOADED, reason) from None
            yield
        finally:
            meter.release(claim, claim.held)

    def close(self):
        """Forget everything; the session has ended."""
        self.values, self.prepared, self._values_bytes = {}, {}, 0
        metering.meter.keep(self._kept, 0)


class ConnectionState:
    """The values and prepared statements that are set on a connection to a database.

    `values` has digests of long names and values. `prepared` has the names in the order
    of their first use.
    """

    def __init__(self, workspace):
        self.values = {}
        self.prepared = {}
        self._kept = Kept(workspace)

    def missing(self, values, prepared):
        """Return how many statements would set a caller's session state."""
        values = _digests(values)
        if self.values.keys() - values.keys():
            return 1 + len(values) + len(prepared)
        missing = sum(self.values.get(name) != value for name, value in values.items())
        return missing + len(prepared.keys() - self.prepared.keys())

    def statements(self, adapter, values, prepared):
        """Return the statements that set a caller's session state; note the new one."""
        if not (values or prepared or self.values):
            return []
        digests = _digests(values)
        statements = []
        if self.values.keys() - digests.keys():
            statements.append(adapter.RESET)
            self.values, self.prepared = {}, {}
        for name, value in values.items():
            if self.values.get(_digest(name)) != digests[_digest(name)]:
                statements.append(adapter.set_value(name, value))
        for name, definition in prepared.items():
            if name not in self.prepared:
                statements.append(adapter.prepare(name, definition))
        self.values = digests
        self.prepared.update(dict.fromkeys(prepared))
        statements += self._close_oldest(adapter, prepared)
        if statements:
            self._charge()
        return statements

    def _close_oldest(self, adapter, used):
        excess = max(0, len(self.prepared) - MAX_POOLED_PREPARED)
        closed = [name for name in self.prepared if name not in used][:excess]
        for name in closed:
            del self.prepared[name]
        return [adapter.close_prepared(name) for name in closed]

    def _charge(self):
        # Bounded by the number of names, so that it needs no room.
        values = sum(_entry_bytes(*item) for item in self.values.items())
        prepared = sum(_entry_bytes(name, "") for name in self.prepared)
        metering.meter.keep(self._kept, values + prepared, is_forced=True)

    def clear(self):
        """Note that nothing is set on the connection, or that it was closed."""
        self.values, self.prepared = {}, {}
        metering.meter.keep(self._kept, 0)


@contextlib.contextmanager
def charged(statements, workspace):
    """Charge statements that set a connection's state while they are sent."""
    size = sum(map(len, statements)) * SENT_COPIES
    if size <= memory_budget.SMALL_BYTES:
        yield
        return
    claim = Claim(workspace)
    metering.meter.charge(claim, size)
    try:
        yield
    finally:
        metering.meter.release(claim, size)
