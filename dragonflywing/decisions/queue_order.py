"""Order of the statements that wait for a database whose connections are contended.

Answers the load of many workspaces and routes on few slots, with bursts of single
workspaces. Elsewhere `admission` orders the waiters. The order is:

1. Statements of open transactions, first come, first served: they hold a connection.
2. Waiters that can still meet their objective. Priorities share the slots by `WEIGHTS`
   in rounds of seven starts, the most urgent first. Within a priority workspaces take
   turns, one statement a turn (deficit round robin with a cost of one each). Within a
   workspace the earliest deadline goes first.
3. Waiters that can no longer meet their objective, in the same order.

Bound: let T be the turns of its priority up to and including a waiter's own, which are
at most k for each workspace with waiters there, if k - 1 statements of its own
workspace go first. Then at most T - 1 + (7 - w) * (1 + ceil(T / w)) other statements of
step 2 start before it, w being the weight of its priority. The length of other
workspaces' queues is not part of this. Time for which its own or other workspaces
lacked a connection isn't counted.

A workspace that needs a connection but gets none now is set aside and keeps its turn.
Choosing the next waiter and estimating a wait take a time that doesn't depend on the
number of waiters of other workspaces.
"""

import bisect
import heapq
import math
from collections import Counter, OrderedDict
from typing import NamedTuple

from dragonflywing.decisions.admission import DURATION_WEIGHT, MAX_QUEUE

# Statements that each priority starts in a round while all have waiters; the last
# weight is also that of all lower priorities.
WEIGHTS = (4, 2, 1)


class Waiter(NamedTuple):
    """A waiting statement; `late_at` is when it can no longer meet its objective."""

    id: int
    workspace: str
    priority: int
    deadline: float
    late_at: float
    needs_connection: bool


class Lane:
    """The waiters of one priority, all of them on time or all late.

    `queues` holds (deadline, id) of each workspace's waiters, sorted. `ring` has the
    workspaces in the order of their turns, `aside` those that need a connection.
    `longer[n]` is the number of queues with more than n waiters.
    """

    def __init__(self, weight):
        self.weight = weight
        self.credit = weight
        self.count = 0
        self.queues = {}
        self.ring = OrderedDict()
        self.aside = OrderedDict()
        self.longer = []

    def add(self, item):
        """Add a waiter; a workspace that had none takes its turn last."""
        queue = self.queues.get(item.workspace)
        if queue is None:
            queue = self.queues[item.workspace] = []
            self.ring[item.workspace] = None
        bisect.insort(queue, (item.deadline, item.id))
        if len(queue) > len(self.longer):
            self.longer.append(0)
        self.longer[len(queue) - 1] += 1
        self.count += 1

    def remove(self, item):
        """Remove a waiter."""
        queue = self.queues[item.workspace]
        del queue[bisect.bisect_left(queue, (item.deadline, item.id))]
        self.longer[len(queue)] -= 1
        if not self.longer[-1]:
            self.longer.pop()
        self.count -= 1
        if not queue:
            del self.queues[item.workspace]
            self.ring.pop(item.workspace, None)
            self.aside.pop(item.workspace, None)

    def resume(self, workspace):
        """Give a workspace that was set aside the next turn."""
        if workspace in self.aside:
            del self.aside[workspace]
            self.ring[workspace] = None
            self.ring.move_to_end(workspace, last=False)

    def turns(self, workspace, deadline):
        """Return the turns up to and including that of a new waiter, at most."""
        queue = self.queues.get(workspace, ())
        index = bisect.bisect_right(queue, (deadline, math.inf))
        # Each other workspace has at most as many turns first as this one needs.
        others = sum(self.longer[: index + 1]) - min(len(queue), index + 1)
        return others + index + 1


class QueueState:
    """The running and waiting statements of one database.

    `limit` is the number of statements that may run at the same time, `duration_s`
    the mean time for which one occupies a slot. `lanes` are the priorities of waiters
    that are on time, followed by those of late ones. `refused_since` tells since when a
    workspace's turn has found no connection.
    """

    def __init__(self, limit, running=0, duration_s=None):
        self.limit = limit
        self.running = running
        self.duration_s = duration_s
        self.urgent = OrderedDict()
        self.lanes = [Lane(weight) for weight in WEIGHTS * 2]
        self.waiters = {}
        self.by_workspace = Counter()
        self.refused_since = {}
        self._late = []  # heap of (late_at, id), also of waiters that are gone

    def waiting(self):
        """Return the number of waiters."""
        return len(self.waiters)

    def waiting_by_priority(self):
        """Return the numbers of waiters by priority, and those of transactions."""
        counts = {"transaction": len(self.urgent)}
        for number in range(len(WEIGHTS)):
            lanes = self.lanes[number :: len(WEIGHTS)]
            counts[str(number)] = sum(lane.count for lane in lanes)
        return counts

    def lane(self, item):
        """Return the Lane of a waiter."""
        is_late = item.late_at == -math.inf
        return self.lanes[item.priority + len(WEIGHTS) * is_late]

    def add_late_time(self, item):
        """Note when a waiter becomes late."""
        if -math.inf < item.late_at < item.deadline:
            heapq.heappush(self._late, (item.late_at, item.id))

    def pop_late(self, now):
        """Remove and return a waiter that has become late, or None."""
        while self._late and self._late[0][0] < now:
            late_at, waiter = heapq.heappop(self._late)
            item = self.waiters.get(waiter)
            if item is not None and item.late_at == late_at:
                return item
        return None


def expected_wait(state, now=0.0, workspace=None, priority=0, deadline=None, late_at=0):
    """Return the seconds until a new waiter's turn; 0 while durations are unknown.

    Without a workspace, all waiters count. Otherwise those count that the order puts
    first. A waiter that becomes late at `late_at` before its turn also waits for all
    that are on time; later arrivals aren't known.
    """
    if state.running < state.limit or not state.duration_s:
        return 0.0
    turn_s = state.duration_s / max(1, state.limit)
    if workspace is None:
        return (len(state.waiters) + 1) * turn_s
    deadline = math.inf if deadline is None else deadline
    on_time, late = state.lanes[: len(WEIGHTS)], state.lanes[len(WEIGHTS) :]
    number = min(max(priority, 0), len(WEIGHTS) - 1)
    ahead = len(state.urgent) + _ahead(on_time, number, workspace, deadline)
    wait_s = (ahead + 1) * turn_s
    if late_at and now + wait_s > late_at:
        ahead = len(state.urgent) + sum(lane.count for lane in on_time)
        ahead += _ahead(late, number, workspace, deadline)
        wait_s = max(wait_s, (ahead + 1) * turn_s)
    return wait_s


def _ahead(lanes, number, workspace, deadline):
    """Return how many waiters of some lanes start before a new one, at most."""
    lane = lanes[number]
    turns = lane.turns(workspace, deadline)
    rounds = max(0, math.ceil((turns - lane.credit) / lane.weight))
    ahead = turns - 1
    for index, other in enumerate(lanes):
        if index < number:
            ahead += min(other.count, other.credit + rounds * other.weight)
        elif index > number and rounds:
            ahead += min(other.count, other.credit + (rounds - 1) * other.weight)
    return ahead


def enqueue(
    state,
    now,
    waiter,
    workspace,
    deadline,
    urgent=False,
    priority=0,
    target_s=0.0,
    needs_connection=True,
):
    """Add a waiter; return False if its turn isn't expected before its deadline.

    `target_s` is the time left to meet its objective, 0 if it has none.
    """
    number = min(max(priority, 0), len(WEIGHTS) - 1)
    late_at = deadline
    if target_s:
        late_at = now + target_s - (state.duration_s or 0.0)
    if late_at < now:
        late_at = -math.inf
    item = Waiter(waiter, workspace, number, deadline, late_at, needs_connection)
    if urgent:
        state.waiters[waiter] = item
        state.urgent[waiter] = item
        return True
    wait_s = expected_wait(state, now, workspace, number, deadline, late_at)
    if state.by_workspace[workspace] >= MAX_QUEUE or now + wait_s > deadline:
        return False
    state.waiters[waiter] = item
    state.by_workspace[workspace] += 1
    state.lane(item).add(item)
    state.add_late_time(item)
    # With another waiter, opening a connection may be better than waiting for one.
    resume(state, workspace)
    return True


def cancel(state, waiter):
    """Remove a waiter; return whether it was still queued."""
    item = state.waiters.pop(waiter, None)
    if item is None:
        return False
    if state.urgent.pop(waiter, None) is None:
        state.lane(item).remove(item)
        state.by_workspace[item.workspace] -= 1
        if not state.by_workspace[item.workspace]:
            del state.by_workspace[item.workspace]
            state.refused_since.pop(item.workspace, None)
    return True


def next_waiter(state, now):
    """Return the Waiter whose turn it is, None if there is no slot or nobody.

    Waiters whose deadline has passed are removed; their own time-outs refuse them.
    """
    while (item := state.pop_late(now)) is not None:
        state.lane(item).remove(item)
        item = state.waiters[item.id] = item._replace(late_at=-math.inf)
        state.lane(item).add(item)
    while state.running < state.limit:
        item = _first(state)
        if item is None or item.deadline > now:
            return item
        cancel(state, item.id)
    return None


def _first(state):
    if state.urgent:
        return next(iter(state.urgent.values()))
    half = len(WEIGHTS)
    for lanes in (state.lanes[:half], state.lanes[half:]):
        ready = [lane for lane in lanes if lane.ring]
        if not ready:
            continue
        if not any(lane.credit for lane in ready):
            for lane in lanes:
                lane.credit = lane.weight
        lane = next(lane for lane in ready if lane.credit)
        workspace = next(iter(lane.ring))
        return state.waiters[lane.queues[workspace][0][1]]
    return None


def start(state, item):
    """Start the waiter that `next_waiter` returned; `release` must be called later."""
    if item.id not in state.urgent:
        lane = state.lane(item)
        lane.credit -= 1
        lane.ring.move_to_end(item.workspace)
        state.refused_since.pop(item.workspace, None)
    cancel(state, item.id)
    state.running += 1


def set_aside(state, now, item):
    """Set the workspace of the next waiter aside; it keeps its turn."""
    lane = state.lane(item)
    del lane.ring[item.workspace]
    lane.aside[item.workspace] = None
    state.refused_since.setdefault(item.workspace, now)


def resume(state, workspace):
    """Give a workspace that was set aside its turn."""
    for lane in state.lanes:
        lane.resume(workspace)


def resume_all(state):
    """Give all workspaces that were set aside their turns, in the same order."""
    for lane in state.lanes:
        for workspace in reversed(list(lane.aside)):
            lane.resume(workspace)


def release(state, duration_s=None):
    """End a statement that occupied its slot for `duration_s`, None if unknown."""
    if duration_s is not None:
        average_s = duration_s if state.duration_s is None else state.duration_s
        state.duration_s = average_s + DURATION_WEIGHT * (duration_s - average_s)
    state.running -= 1
