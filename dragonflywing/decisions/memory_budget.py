"""Decides who may hold memory for messages and answers, and whom to close.

Answers the load of callers that send permitted messages of 1 MiB all at once, stop
partway, or leave their answers unread: 100 such callers held 100 to 220 MB of a
process that may have 200 MB. Each connection has a Claim. What it holds beyond
SMALL_BYTES is reserved from a budget before it is read, so that ordinary callers,
whose messages are small, never wait for the budget. A message's final size isn't known
while it arrives, so its largest size is reserved at once: no two half-received
messages can wait for each other.
"""

SMALL_BYTES = 32 << 10  # what a connection may hold without a reservation
# Copies of a message that exist at the same time: the received bytes, the text, its
# parts, the encoded request, and what the socket has not taken yet. Measured: 3 for a
# write that waits for its turn, and as many again while it is forwarded.
MESSAGE_COPIES = 6
ANSWER_COPIES = 3  # of an answer: its rows, the encoded lines, what is unsent
FRAME_COPIES = 2  # of a frame between instances: its bytes and the decoded message
# Parts of the memory that is left beside what the process holds at rest. The rest is
# a reserve for fragmentation, ordinary callers and the instance's own state.
RESERVED_FRACTION = 0.4  # for reservations
ANSWERS_FRACTION = 0.15  # in addition, which only answers may use
SMALL_FRACTION = 0.25  # for what connections hold without one
WORKSPACE_FRACTION = 0.75  # of the reservations, for a single workspace
# Part of the reservations for what outlasts messages, such as the values of sessions,
# and a single workspace's part of that. Messages can always use the rest.
KEPT_FRACTION = 0.25
KEPT_WORKSPACE_FRACTION = 0.5
# What a session may keep whatever the others do, so that ordinary ones never are
# refused. Their number is limited by the descriptors.
KEPT_FREE_BYTES = 4 << 10
ENTRY_BYTES = 256  # of a name and its value, beside the two texts
# Rate below which a message or an answer doesn't count as progressing once its time
# limit has passed: 1 MiB takes at most 64 s more. The slowest lines in use are faster.
MIN_BYTES_PER_S = 16 << 10
# While others wait for memory, a connection that stands still for this long may be
# closed. A few round trips between regions.
PRESSURE_STALL_S = 0.5
# Fractions of the descriptors for each kind of connection; databases, the store and
# outgoing connections have the rest.
CALLERS_FRACTION = 0.5
INSTANCES_FRACTION = 0.125
PROBES_FRACTION = 0.03125  # for each of the two HTTP ports

IDLE, RECEIVING, SENDING, RUNNING, WAITING = range(5)


class Claim:
    """What one connection holds, in bytes, and when it last made progress.

    `held` is reserved; `small` is what it held without a reservation at the last
    observation. Times are in seconds.
    """

    __slots__ = (
        "workspace",
        "held",
        "small",
        "activity",
        "message",
        "start_size",
        "size",
        "begun_at",
        "progressed_at",
    )

    def __init__(self, workspace=""):
        self.workspace = workspace
        self.held = 0
        self.small = 0
        self.activity = IDLE
        self.message = 0
        self.start_size = self.size = 0
        self.begun_at = self.progressed_at = 0.0


class Kept:
    """What one session or pooled connection keeps between messages; `size` in bytes."""

    __slots__ = ("workspace", "size")

    def __init__(self, workspace=""):
        self.workspace = workspace
        self.size = 0


class Budget:
    """Bytes that all connections together may hold; None for no limit.

    `reserved` includes `kept`, which has a limit of its own.
    """

    def __init__(self, memory_bytes=None, resident_bytes=0):
        self.limit = self.answer_limit = self.small_limit = self.kept_limit = None
        if memory_bytes is not None:
            room = max(0, memory_bytes - resident_bytes)
            self.limit = int(room * RESERVED_FRACTION)
            self.answer_limit = self.limit + int(room * ANSWERS_FRACTION)
            self.small_limit = int(room * SMALL_FRACTION)
            self.kept_limit = int(self.limit * KEPT_FRACTION)
        self.reserved = 0
        self.by_workspace = {}
        self.kept = 0
        self.kept_by_workspace = {}


def fits(budget, claim, size):
    """Return whether `size` more bytes may be reserved.

    A message that is larger than the whole budget fits while no other one is held.
    """
    if budget.limit is None or budget.reserved - budget.kept == claim.held:
        return True
    if budget.reserved + size > budget.limit:
        return False
    if not claim.workspace:
        return True
    used = budget.by_workspace.get(claim.workspace, 0)
    share = budget.limit * WORKSPACE_FRACTION
    return used == claim.held or used + size <= share


def add(budget, claim, size):
    """Reserve `size` bytes more, or fewer if negative, even if they don't fit."""
    claim.held += size
    budget.reserved += size
    if claim.workspace:
        used = budget.by_workspace.get(claim.workspace, 0) + size
        if used:
            budget.by_workspace[claim.workspace] = used
        else:
            budget.by_workspace.pop(claim.workspace, None)


def may_keep(budget, kept, size):
    """Return whether a session may keep `size` bytes from now on, more or fewer."""
    if budget.kept_limit is None or size <= max(kept.size, KEPT_FREE_BYTES):
        return True
    change = size - kept.size
    used = budget.kept_by_workspace.get(kept.workspace, 0)
    share = budget.kept_limit * KEPT_WORKSPACE_FRACTION
    return budget.kept + change <= budget.kept_limit and used + change <= share


def keep(budget, kept, size):
    """Note that `size` bytes are kept from now on, even if they don't fit."""
    change = size - kept.size
    kept.size = size
    budget.kept += change
    budget.reserved += change
    used = budget.kept_by_workspace.get(kept.workspace, 0) + change
    if used:
        budget.kept_by_workspace[kept.workspace] = used
    else:
        budget.kept_by_workspace.pop(kept.workspace, None)


def set_workspace(budget, claim, workspace):
    """Charge what a claim holds to a workspace from now on."""
    held = claim.held
    add(budget, claim, -held)
    claim.workspace = workspace
    add(budget, claim, held)


def is_over(budget):
    """Return whether more is reserved than messages and answers may use."""
    return budget.limit is not None and budget.reserved > budget.answer_limit


def observe(claim, activity, message, size, now):
    """Note what a connection does.

    `message` numbers its messages. `size` is the number of bytes received of a
    message, or not yet sent of an answer.
    """
    if activity != claim.activity or message != claim.message:
        claim.activity, claim.message = activity, message
        claim.start_size = claim.size = size
        claim.begun_at = claim.progressed_at = now
    elif size != claim.size:
        claim.size = size
        claim.progressed_at = now


def overdue(claim, now, limits):
    """Return "message" or "answer" if a time limit has passed, "" otherwise.

    `limits` is a CallerLimits. A connection that is idle between messages, runs a
    statement or waits for memory is never overdue.
    """
    if claim.activity == RECEIVING:
        reason, limit_s, moved = "message", limits.message_s, claim.size
    elif claim.activity == SENDING:
        reason, limit_s = "answer", limits.idle_s
        moved = claim.start_size - claim.size
    else:
        return ""
    over_s = now - claim.begun_at - limit_s
    is_still = now - claim.progressed_at > limit_s
    return reason if is_still or over_s > 0 and moved < over_s * MIN_BYTES_PER_S else ""


def choose_stalled(claims, now):
    """Return the claim to close so that others can go on, or None.

    It is the one that holds memory and has stood still for longest.
    """
    stalled = [
        claim
        for claim in claims
        if claim.held
        and claim.activity in (RECEIVING, SENDING)
        and now - claim.progressed_at >= PRESSURE_STALL_S
    ]
    return min(stalled, key=lambda x: (x.progressed_at, -x.held), default=None)


def choose_unread(claims, but):
    """Return the claim with an unread answer to close at once, or None.

    It is the one that has read nothing for longest, or holds most among equals; `but`
    is left out.
    """
    unread = [x for x in claims if x.held and x.activity == SENDING and x is not but]
    return min(unread, key=lambda x: (x.progressed_at, -x.held), default=None)


def choose_small(budget, claims):
    """Return the claims to close so that small holdings are within their part.

    Begins with those that have made no progress for longest.
    """
    total = sum(claim.small for claim in claims)
    if budget.small_limit is None or total <= budget.small_limit:
        return []
    chosen = []
    for claim in sorted(claims, key=lambda x: (x.progressed_at, -x.small)):
        if total <= budget.small_limit:
            break
        if claim.small and claim.activity in (RECEIVING, SENDING, WAITING):
            chosen.append(claim)
            total -= claim.small
    return chosen


def connection_limit(max_descriptors, fraction):
    """Return how many connections of a kind may be open, None for no limit."""
    return None if max_descriptors is None else max(1, int(max_descriptors * fraction))
