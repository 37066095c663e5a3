"""Fair admission to a database: deficit round robin among workspaces.

Answers bursts and single workspaces that send many times their usual. Every
workspace has a queue for each database. A statement costs one unit, a turn
adds one unit, so that each waiting workspace starts one statement per round
whatever the others send. Statements of open transactions go first, since they
hold a connection. A waiter whose turn is not expected before its deadline is
refused at once, a waiter past its deadline when its turn comes.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

MAX_QUEUE = 256  # waiters for each workspace and database
# Weight of a new duration in the moving average of a statement's time.
DURATION_WEIGHT = 0.05


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
        self.urgent = deque()
        self.queues = OrderedDict()
        self.duration_s = None

    def waiting(self):
        """Return the number of waiters."""
        return len(self.urgent) + sum(len(queue) for queue in self.queues.values())


def expected_wait(state, workspace=None):
    """Return the seconds until a new waiter's turn; 0 while durations are unknown.

    With round robin a waiter of `workspace` is overtaken by as many of each
    other workspace as wait before it in its own queue.
    """
    if state.running < state.limit or not state.duration_s:
        return 0.0
    if workspace is None:
        ahead = state.waiting()
    else:
        rounds = len(state.queues.get(workspace, ())) + 1
        ahead = sum(min(len(queue), rounds) for queue in state.queues.values())
        ahead += len(state.urgent)
    return (ahead + 1) * state.duration_s / state.limit


def enqueue(state, now, waiter, workspace, deadline, urgent=False):
    """Add a waiter; return the starts that follow, or None if it is refused."""
    if urgent:
        state.urgent.append((waiter, deadline))
        return _start(state, now)
    queue = state.queues.get(workspace, ())
    if len(queue) >= MAX_QUEUE or now + expected_wait(state, workspace) > deadline:
        return None
    state.queues.setdefault(workspace, deque()).append((waiter, deadline))
    return _start(state, now)


def release(state, now, duration_s=None):
    """Give one running place back after `duration_s`; return what follows."""
    if duration_s is not None:
        known = duration_s if state.duration_s is None else state.duration_s
        state.duration_s = known + DURATION_WEIGHT * (duration_s - known)
    state.running -= 1
    return _start(state, now)


def cancel(state, waiter):
    """Remove a waiter that gave up; return whether it was still queued."""
    for queue in [state.urgent, *state.queues.values()]:
        for item in queue:
            if item[0] == waiter:
                queue.remove(item)
                return True
    return False


def expire(state, now):
    """Remove all waiters past their deadline."""
    messages = []
    for queue in [state.urgent, *state.queues.values()]:
        late = [item for item in queue if item[1] <= now]
        for item in late:
            queue.remove(item)
        messages += [Expired(item[0]) for item in late]
    return messages


def _start(state, now):
    messages = []
    while state.running < state.limit and (state.urgent or state.queues):
        found = _next(state)
        if found is None:
            continue
        waiter, deadline = found
        if deadline <= now:
            messages.append(Expired(waiter))
            continue
        state.running += 1
        messages.append(Start(waiter))
    return messages


def _next(state):
    """Take the next waiter; None if the workspace whose turn it is has none."""
    if state.urgent:
        return state.urgent.popleft()
    workspace, queue = next(iter(state.queues.items()))
    state.queues.pop(workspace)
    if not queue:
        return None
    found = queue.popleft()
    if queue:
        state.queues[workspace] = queue
    return found
