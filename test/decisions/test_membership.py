"""Members of the fleet, watchers of the store, and configuration versions."""

import random
from types import SimpleNamespace

from dragonflywing.decisions import membership, versions
from dragonflywing.decisions.membership import Member


def member(name, heartbeat=1, store_ok=True, data_centre="x"):
    """Return a member's record."""
    return Member(name, data_centre, "127.0.0.1:1", 7, heartbeat, False, store_ok)


class TestMembership:
    def test_newer_heartbeat_wins(self):
        state = membership.MemberState(member("a"))
        membership.merge(state, 0.0, [member("b", 5)])
        membership.merge(state, 9.0, [member("b", 4)])
        assert membership.alive(state, 9.0, 3.0) == []
        membership.merge(state, 9.0, [member("b", 6)])
        assert [m.instance for m in membership.alive(state, 9.0, 3.0)] == ["b"]

    def test_two_watchers_in_each_data_centre(self):
        names = [f"entry-{i}" for i in range(9)]
        watchers = 0
        for name in names:
            state = membership.MemberState(member(name))
            others = [member(other) for other in names if other != name]
            membership.merge(state, 0.0, [*others, member("far", data_centre="y")])
            watchers += membership.is_watcher(state, 0.0, 3.0)
        assert watchers == membership.WATCHERS

    def test_instances_without_store_are_no_watchers(self):
        state = membership.MemberState(member("a"))
        others = [member(f"b{i}", store_ok=False) for i in range(9)]
        membership.merge(state, 0.0, others)
        assert membership.is_watcher(state, 0.0, 3.0)

    def test_message_size_is_bounded(self):
        state = membership.MemberState(member("a"))
        membership.merge(state, 0.0, [member(f"b{i}") for i in range(200)])
        records = membership.sample(state, 0.0, 3.0, random.Random(1))
        assert len(records) == membership.MEMBERS_PER_MESSAGE
        assert records[0].instance == "a"


class TestVersions:
    def test_older_configuration_is_not_adopted(self):
        state = versions.VersionState()
        assert versions.adopt(state, SimpleNamespace(version=3))
        assert not versions.adopt(state, SimpleNamespace(version=2))
        assert not versions.adopt(state, SimpleNamespace(version=3))
        assert versions.version(state) == 3

    def test_age_counts_from_the_confirmation_by_the_store(self):
        state = versions.VersionState()
        versions.adopt(state, SimpleNamespace(version=3))
        assert versions.age(state, 100.0) == float("inf")
        versions.confirm(state, 100.0, 3, 5.0)
        assert versions.age(state, 101.0) == 6.0
        versions.confirm(state, 101.0, 2, 0.0)
        assert versions.age(state, 101.0) == 6.0
