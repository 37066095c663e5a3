"""Which instances are partners, in small and in large fleets."""

from dragonflywing.decisions import relays
from dragonflywing.decisions.relays import Role


def fleet(data_centres, size):
    return {
        f"{data_centre}-{n}": data_centre
        for data_centre in data_centres
        for n in range(size)
    }


class TestRoles:
    def test_small_fleet_asks_directly(self):
        assert relays.role("a-0", relays.DIRECT_SIZE, "b-0") is Role.DIRECT

    def test_large_fleet_has_relays_and_members(self):
        size = relays.DIRECT_SIZE + 1
        assert relays.role("a-0", size, "a-0") is Role.RELAY
        assert relays.role("a-2", size, "a-0") is Role.MEMBER


class TestPartners:
    def partners(self, data_centres, size):
        """Return the instances that each instance asks when all are live."""
        registered = fleet(data_centres, size)
        relay_names = {data_centre: f"{data_centre}-0" for data_centre in data_centres}
        partners = {}
        for me, data_centre in registered.items():
            others = {name: x for name, x in registered.items() if name != me}
            role = relays.role(me, len(registered), relay_names[data_centre])
            partners[me] = relays.partners(role, data_centre, others, relay_names)
        return partners

    def test_member_asks_the_relay_of_its_data_centre(self):
        assert self.partners("abcdef", 15)["c-9"] == {"c-0"}

    def test_relay_asks_the_other_relays(self):
        partners = self.partners("abcdef", 15)
        assert partners["c-0"] == {"a-0", "b-0", "d-0", "e-0", "f-0"}

    def test_silent_data_centre_is_left_out(self):
        registered = fleet("ab", 10)
        relay_names = {"a": "a-0", "b": None}
        assert relays.partners(Role.RELAY, "a", registered, relay_names) == set()

    def test_questions_per_instance_are_bounded_with_420_instances(self):
        partners = self.partners("abcdefg", 60)
        question_counts = [
            sum(me in names for names in partners.values()) for me in partners
        ]
        # A relay is asked by 59 members and by the relays of 6 data centres.
        assert max(len(names) for names in partners.values()) <= 6
        assert max(question_counts) <= 59 + 6
