"""Fair admission to a database: deficit round robin among workspaces.

Bursts and workspaces that send far more than usual do not delay the statements
of other workspaces. Every workspace has a queue for each database. A statement
costs one unit and a turn adds one unit, so that each waiting workspace starts
one statement per round, however many the others send. Statements of open
transactions go first, since they hold a connection. Within a workspace's queue,
statements of routes with a higher priority go first, so that the workspace's own
batch jobs do not delay them. A waiter whose turn is not expected before its
deadline is refused at once. A waiter whose deadline has passed is refused when
its turn comes.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

MAX_QUEUE = 256  # waiters per workspace and database
# Weight of a new sample in the moving average of statement durations.
DURATION_WEIGHT = 0.05


class Start(NamedTuple):
    """The waiter may run its statement and must call `release` afterwards."""

    waiter: int


class Expired(NamedTuple):
    """The waiter's deadline passed before its turn."""

    waiter: int


class Waiter(NamedTuple):
    """A statement in a queue, with the waiter's id; priority 0 is the highest."""

    waiter: int
    deadline: float
    priority: int


class AdmissionState:
    """The running statements and the queues of one database.

    `limit` is the number of statements that may run at the same time.
    `urgent` is the queue of statements of open transactions. `queues` holds the
    other waiters by workspace, in the order of the workspaces' turns.
    """

    def __init__(self, limit):
        self.limit = limit
        self.running = 0
        self.urgent = deque()
        self.queues = OrderedDict()
        self.duration_s = None

    def waiting(self):
        """Return the number of waiters."""
        return len(self.urgent) + sum(map(len, self.queues.values()))


def expected_wait(state, workspace=None, priority=0):
    """Return the seconds until a new waiter's turn; 0 while durations are unknown.

    Without a workspace, all waiters count. Otherwise round robin applies: from
    each other workspace at most one waiter goes first per round, and the number
    of rounds is the waiter's place in its own queue.
    """
    if state.running < state.limit or not state.duration_s:
        return 0.0
    if workspace is None:
        ahead = state.waiting()
    else:
        rounds = _queue_index(state.queues.get(workspace, ()), priority) + 1
        counts = map(len, state.queues.values())
        ahead = len(state.urgent) + sum(n if n < rounds else rounds for n in counts)
    return (ahead + 1) * state.duration_s / state.limit


def _queue_index(queue, priority):
    """Return the index in a queue for a new waiter of the given priority."""
    return sum(item.priority <= priority for item in queue)


def enqueue(state, now, waiter, workspace, deadline, urgent=False, priority=0):
    """Add a waiter; return the resulting messages, or None if it is refused."""
    item = Waiter(waiter, deadline, priority)
    if urgent:
        state.urgent.append(item)
        return _start_waiters(state, now)
    queue = state.queues.get(workspace, ())
    wait_s = expected_wait(state, workspace, priority)
    if len(queue) >= MAX_QUEUE or now + wait_s > deadline:
        return None
    queue = state.queues.setdefault(workspace, deque())
    queue.insert(_queue_index(queue, priority), item)
    return _start_waiters(state, now)


def start_at_once(state):
    """Start a statement if a slot is free and no other waits; return whether it did."""
    if state.running >= state.limit or state.urgent or state.queues:
        return False
    state.running += 1
    return True


def release(state, now, duration_s=None):
    """End a statement that ran for `duration_s`; return the resulting messages."""
    if duration_s is not None:
        average_s = duration_s if state.duration_s is None else state.duration_s
        state.duration_s = average_s + DURATION_WEIGHT * (duration_s - average_s)
    state.running -= 1
    return _start_waiters(state, now)


def cancel(state, waiter):
    """Remove a waiter; return whether it was still queued."""
    for queue in [state.urgent, *state.queues.values()]:
        for item in queue:
            if item.waiter == waiter:
                queue.remove(item)
                return True
    return False


def expire(state, now):
    """Remove all waiters whose deadline has passed; return their messages."""
    messages = []
    for queue in [state.urgent, *state.queues.values()]:
        expired = [item for item in queue if item.deadline <= now]
        for item in expired:
            queue.remove(item)
        messages += [Expired(item.waiter) for item in expired]
    return messages


def _start_waiters(state, now):
    messages = []
    while state.running < state.limit and (state.urgent or state.queues):
        item = _pop_next(state)
        if item is None:
            continue
        if item.deadline <= now:
            messages.append(Expired(item.waiter))
            continue
        state.running += 1
        messages.append(Start(item.waiter))
    return messages


def _pop_next(state):
    """Remove and return the next waiter; None if the next workspace has none."""
    if state.urgent:
        return state.urgent.popleft()
    workspace, queue = next(iter(state.queues.items()))
    state.queues.pop(workspace)
    if not queue:
        return None
    item = queue.popleft()
    if queue:
        state.queues[workspace] = queue
    return item
