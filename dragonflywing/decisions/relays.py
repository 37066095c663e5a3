"""Relays: which instances exchange state with which others.

In a small fleet every instance asks all others for their state. In a larger one
that would cost too much: each instance asks the relay of its data centre, and the
relays also ask the relays of the other data centres. The relay is the first live
instance of a data centre in an order that all instances compute identically, so
no election is needed. While instances disagree on the relay, they only receive
incomplete summaries.
"""

import enum

# Up to this number of instances each one asks all others. The 240 exchanges
# twice a second then cost each instance less than 1% of a core.
DIRECT_SIZE = 16


class Role(enum.Enum):
    """The role of an instance in the exchange of state."""

    DIRECT = "direct"
    RELAY = "relay"
    MEMBER = "member"


def role(me, size, own_relay):
    """Return the role of an instance in a fleet of `size` instances."""
    if size <= DIRECT_SIZE:
        return Role.DIRECT
    return Role.RELAY if me == own_relay else Role.MEMBER


def partners(own_role, data_centre, registered, relays):
    """Return the instances that this one exchanges state with.

    `registered` maps each other instance to its data centre. `relays` maps each
    data centre to its relay, or to None if no instance of it responds.
    """
    if own_role is Role.DIRECT:
        return set(registered)
    if own_role is Role.MEMBER:
        return {relays[data_centre]}
    data_centres = set(registered.values())
    other_relays = {relays[name] for name in data_centres if name != data_centre}
    return other_relays - {None}
