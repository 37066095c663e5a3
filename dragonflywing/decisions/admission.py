"""Fair admission to a database: deficit round robin among workspaces.

Answers bursts and single workspaces that send many times their usual. Every
workspace has a queue for each database. A statement costs one unit, a turn
adds one unit, so that each waiting workspace starts one statement per round
whatever the others send. Statements of open transactions go first, since they
hold a connection. Within a workspace's queue the statements of its more urgent
routes go first, so that a batch of its own does not delay them. A waiter whose
turn is not expected before its deadline is refused at once, a waiter past its
deadline when its turn comes.
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


class Waiter(NamedTuple):
    """A statement in a queue; priority 0 is the most urgent."""

    waiter: int
    deadline: float
    priority: int


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


def expected_wait(state, workspace=None, priority=0):
    """Return the seconds until a new waiter's turn; 0 while durations are unknown.

    With round robin a waiter of `workspace` is overtaken by as many of each
    other workspace as wait before it in its own queue.
    """
    if state.running < state.limit or not state.duration_s:
        return 0.0
    if workspace is None:
        ahead = state.waiting()
    else:
        rounds = _place(state.queues.get(workspace, ()), priority) + 1
        ahead = sum(min(len(queue), rounds) for queue in state.queues.values())
        ahead += len(state.urgent)
    return (ahead + 1) * state.duration_s / state.limit


def _place(queue, priority):
    """Return how many waiters of a queue go before a new one of a priority."""
    return sum(item.priority <= priority for item in queue)


def enqueue(state, now, waiter, workspace, deadline, urgent=False, priority=0):
    """Add a waiter; return the starts that follow, or None if it is refused."""
    item = Waiter(waiter, deadline, priority)
    if urgent:
        state.urgent.append(item)
        return _start(state, now)
    queue = state.queues.get(workspace, ())
    wait_s = expected_wait(state, workspace, priority)
    if len(queue) >= MAX_QUEUE or now + wait_s > deadline:
        return None
    queue = state.queues.setdefault(workspace, deque())
    queue.insert(_place(queue, priority), item)
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
            if item.waiter == waiter:
                queue.remove(item)
                return True
    return False


def expire(state, now):
    """Remove all waiters past their deadline."""
    messages = []
    for queue in [state.urgent, *state.queues.values()]:
        late = [item for item in queue if item.deadline <= now]
        for item in late:
            queue.remove(item)
        messages += [Expired(item.waiter) for item in late]
    return messages


def _start(state, now):
    messages = []
    while state.running < state.limit and (state.urgent or state.queues):
        found = _next(state)
        if found is None:
            continue
        if found.deadline <= now:
            messages.append(Expired(found.waiter))
            continue
        state.running += 1
        messages.append(Start(found.waiter))
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
