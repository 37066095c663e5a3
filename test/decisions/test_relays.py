"""Whom an instance asks, in small fleets and in great ones."""

from dragonflywing.decisions import relays
from dragonflywing.decisions.relays import Role


def fleet(places, size):
    return {f"{place}-{n}": place for place in places for n in range(size)}


class TestRoles:
    def test_small_fleet_asks_directly(self):
        assert relays.role("a-0", relays.DIRECT_SIZE, "b-0") is Role.DIRECT

    def test_great_fleet_has_relays_and_members(self):
        size = relays.DIRECT_SIZE + 1
        assert relays.role("a-0", size, "a-0") is Role.RELAY
        assert relays.role("a-2", size, "a-0") is Role.MEMBER


class TestPartners:
    def asked(self, places, size):
        """Return the partners of each instance when all know each other."""
        registered = fleet(places, size)
        chosen = {place: f"{place}-0" for place in places}
        found = {}
        for me, place in registered.items():
            others = {name: x for name, x in registered.items() if name != me}
            role = relays.role(me, len(registered), chosen[place])
            found[me] = relays.partners(role, place, others, chosen)
        return found

    def test_member_asks_the_relay_of_its_data_centre(self):
        assert self.asked("abcdef", 15)["c-9"] == {"c-0"}

    def test_relay_asks_the_other_relays(self):
        found = self.asked("abcdef", 15)
        assert found["c-0"] == {"a-0", "b-0", "d-0", "e-0", "f-0"}

    def test_silent_data_centre_is_left_out(self):
        registered = fleet("ab", 10)
        chosen = {"a": "a-0", "b": None}
        assert relays.partners(Role.RELAY, "a", registered, chosen) == set()

    def test_none_asks_or_is_asked_by_many_at_the_later_size(self):
        found = self.asked("abcdefg", 60)
        callers = [sum(me in names for names in found.values()) for me in found]
        # 7 data centres of 60: the members here and the relays elsewhere.
        assert max(len(names) for names in found.values()) <= 6
        assert max(callers) <= 59 + 6
