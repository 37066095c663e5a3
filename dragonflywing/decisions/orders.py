"""Orders of promotion that may still take effect.

An order names a database and no term, can't be taken back, and may take effect seconds
after it was sent. If another database has been promoted and acknowledged writes by
then, they are lost. So an order is recorded in the store before it is sent. Until it
has taken effect or is too old to do so, only the same database may be promoted, also by
a later holder of the duty.
"""

from typing import NamedTuple, TypedDict

from dragonflywing.decisions.positions import Position

# An order takes effect within this time, or never.
LATE_S = 8.0


class Order(NamedTuple):
    """A recorded order: its database, and the group's term when it was sent.

    `base` is the position of the database's log. `may_repeat` says that an earlier
    order for the same database has had no answer and may take effect after this one.
    """

    database: str
    term: int
    base: Position
    may_repeat: bool = False


class OrderDocument(TypedDict, total=False):
    """The document of an Order; without fields if there is none."""

    database: str
    term: int
    base: tuple[int, int]
    may_repeat: bool


class Sent(NamedTuple):
    """When orders for a database may have been sent first and last."""

    first_at: float
    last_at: float


class OrderState:
    """The recorded orders of all groups, {group: Order}, and when they were Sent.

    `done` holds the groups whose order was seen to have taken effect.
    """

    def __init__(self):
        self.orders = {}
        self.sent = {}
        self.done = set()


def record(state, group, order, now):
    """Record an order that is sent now or was sent before."""
    known = state.orders.get(group)
    is_repeated = known is not None and known.database == order.database
    first_at = state.sent[group].first_at if is_repeated else now
    state.orders[group] = order
    state.sent[group] = Sent(first_at, now)
    state.done.discard(group)


def restore(state, group, order, sent):
    """Record an order again as it was before another one, which was refused."""
    state.orders[group], state.sent[group] = order, sent


def settle(state, group):
    """Forget a group's order, as it will not take effect any more."""
    state.orders.pop(group, None)
    state.sent.pop(group, None)
    state.done.discard(group)


def is_old(state, group, now):
    """Return whether a group's order is too old to take effect."""
    return group not in state.sent or now - state.sent[group].last_at >= LATE_S


def may_resend(state, group, now):
    """Return whether a group's order may be sent again.

    Its database may have had the time for one and not lead, so that another one has to
    be promoted once the last order is too old.
    """
    return group not in state.sent or now - state.sent[group].first_at < LATE_S


def note_leader(state, group, leader, term):
    """Note that a database leads a group in a term.

    A later term alone doesn't show that an order has taken effect: another database may
    already have led in it, unseen, when the order was sent.
    """
    order = state.orders.get(group)
    if order is not None and leader == order.database and term > order.term:
        state.done.add(group)


def pending(state, group, now):
    """Return the Order of a group that may still take effect, or None."""
    order = state.orders.get(group)
    if order is None or is_old(state, group, now):
        return None
    is_done = group in state.done and not order.may_repeat
    return None if is_done else order


def is_unfinished(state, group, now):
    """Return whether a group's order has not taken effect yet, but still may."""
    return group not in state.done and pending(state, group, now) is not None


def encode(order):
    """Return an Order as a document; None, for no order, as an empty one."""
    if order is None:
        return {}
    return order._asdict() | {"base": list(order.base)}


def decode(document):
    """Return the Order in a document, None if it is empty.

    `document` is an OrderDocument. Raises LookupError if a field is missing.
    """
    if not document:
        return None
    return Order(
        document["database"],
        document["term"],
        Position(*document["base"]),
        document["may_repeat"],
    )
