"""Tests of the record of orders that may still take effect."""

import pytest

from dragonflywing.decisions import orders
from dragonflywing.decisions.orders import LATE_S, Order
from dragonflywing.decisions.positions import Position

ORDER = Order("b", 3, Position(3, 5))


def recorded(order=ORDER):
    """Return an OrderState with an order that was sent at 10.0."""
    state = orders.OrderState()
    orders.record(state, "g", order, 10.0)
    return state


class TestPending:
    @pytest.mark.parametrize(
        ("order", "after_s", "leader", "expected"),
        [
            (ORDER, 1.0, ("a", 3), (True, True)),
            (ORDER, 1.0, ("b", 4), (False, False)),  # it has taken effect
            # The primary led in this term before, but had not been seen.
            (ORDER, 1.0, ("a", 4), (True, True)),
            (ORDER, LATE_S, ("a", 3), (False, False)),
            # An earlier one for the same database may do so after it.
            (ORDER._replace(may_repeat=True), 1.0, ("b", 4), (True, False)),
        ],
    )
    def test_lasts_until_the_effect_or_until_it_is_too_late(
        self, order, after_s, leader, expected
    ):
        state, now = recorded(order), 10.0 + after_s
        orders.note_leader(state, "g", *leader)
        orders.note_leader(state, "g", None, 0)  # it is denied for a moment
        is_pending = orders.pending(state, "g", now) is not None
        is_unfinished = orders.is_unfinished(state, "g", now)
        assert (is_pending, is_unfinished) == expected

    def test_ends_with_its_settlement(self):
        state = recorded()
        orders.settle(state, "g")
        assert orders.pending(state, "g", 10.0) is None

    def test_is_not_sent_again_for_good(self):
        state = recorded()
        orders.record(state, "g", ORDER, 10.0 + LATE_S - 1.0)
        assert not orders.may_resend(state, "g", 10.0 + LATE_S)
        assert orders.pending(state, "g", 10.0 + LATE_S) == ORDER
        assert orders.pending(state, "g", 10.0 + 2 * LATE_S) is None


class TestDocument:
    @pytest.mark.parametrize("order", [ORDER, ORDER._replace(may_repeat=True), None])
    def test_is_read_as_written(self, order):
        assert orders.decode(orders.encode(order)) == order

    @pytest.mark.parametrize("document", [{"database": "b"}, [1], "b"])
    def test_a_malformed_one_is_rejected(self, document):
        with pytest.raises((LookupError, TypeError, ValueError)):
            orders.decode(document)
