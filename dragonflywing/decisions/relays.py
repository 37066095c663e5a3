"""Which instances ask one another for what they know.

Answers fleets in which all instances can't ask all others. A small fleet does;
in a greater one each instance asks the relay of its data centre, and relays
also ask those of the other data centres. The relay is the first live instance
of a data centre in an order that all agree on, so it needs no election; two
that differ for a while only tell less.
"""

import enum

# Up to this size all ask all: 240 pairs, twice a second, stay under 1% of a
# core for each instance.
DIRECT_SIZE = 16


class Role(enum.Enum):
    """How an instance takes part in the exchange."""

    DIRECT = "direct"
    RELAY = "relay"
    MEMBER = "member"


def role(me, size, own_relay):
    """Return the role of an instance in a fleet of `size` instances."""
    if size <= DIRECT_SIZE:
        return Role.DIRECT
    return Role.RELAY if me == own_relay else Role.MEMBER


def partners(own_role, data_centre, registered, relays):
    """Return the instances to ask.

    `registered` gives each other instance's data centre, `relays` the relay of
    each data centre, or None where all are silent.
    """
    if own_role is Role.DIRECT:
        return set(registered)
    if own_role is Role.MEMBER:
        return {relays[data_centre]}
    places = set(registered.values())
    found = {relays[place] for place in places if place != data_centre}
    return found - {None}
