"""Fair admission to a database: deficit round robin among workspaces.

Every workspace has a queue for each database. A statement costs one unit, a
turn adds one unit, so that each waiting workspace starts one statement per
round whatever the others send. Waiters past their deadline are refused, and
a full queue refuses at once.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

MAX_QUEUE = 256  # waiters for each workspace and database


class Start(NamedTuple):
    """The waiter may use the database; it must release it afterwards."""

    waiter: int


class Expired(NamedTuple):
    """The waiter's deadline passed before its turn."""

    waiter: int


class AdmissionState:
    """The running statements and the queues of one database."""

    def __init__(self, limit):
        self.limit = limit
        self.running = 0
        self.queues = OrderedDict()


def enqueue(state, now, waiter, workspace, deadline):
    """Add a waiter; return the starts that follow, or None if its queue is full."""
    queue = state.queues.setdefault(workspace, deque())
    if len(queue) >= MAX_QUEUE:
        return None
    queue.append((waiter, deadline))
    return _start(state, now)


def release(state, now):
    """Give one running place back; return what follows."""
    state.running -= 1
    return _start(state, now)


def cancel(state, waiter):
    """Remove a waiter that gave up; return whether it was still queued."""
    for queue in state.queues.values():
        for item in queue:
            if item[0] == waiter:
                queue.remove(item)
                return True
    return False


def expire(state, now):
    """Remove all waiters past their deadline."""
    messages = []
    for queue in state.queues.values():
        late = [item for item in queue if item[1] <= now]
        for item in late:
            queue.remove(item)
        messages += [Expired(item[0]) for item in late]
    return messages


def _start(state, now):
    messages = []
    while state.running < state.limit and state.queues:
        workspace, queue = next(iter(state.queues.items()))
        state.queues.pop(workspace)
        if queue:
            waiter, deadline = queue.popleft()
            if queue:
                state.queues[workspace] = queue
            if deadline <= now:
                messages.append(Expired(waiter))
                continue
            state.running += 1
            messages.append(Start(waiter))
    return messages
