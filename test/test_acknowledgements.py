"""Tests of acknowledgements that wait for a permit, on a simulated clock."""

import asyncio

import pytest

from dragonflywing import acknowledgements, groups
from dragonflywing.acknowledgements import Acknowledgements
from dragonflywing.decisions import permits
from dragonflywing.decisions.permits import Leader, Version
from dragonflywing.decisions.positions import Position
from dragonflywing.deployment import Database
from dragonflywing.groups import Groups
from dragonflywing.metrics import Metrics
from dragonflywing.ports import DatabaseStatus
from test.helper import run_on_simulated_clock

COMMIT = Position(3, 5)
NEXT = {"g": Leader("b", 4, Position(3, 4))}


def clock():
    return asyncio.get_running_loop().time()


@pytest.fixture(autouse=True)
def simulated_clock(monkeypatch):
    for module in (acknowledgements, groups):
        monkeypatch.setattr(module, "boottime", clock)


class TestConfirm:
    """A commit at the primary a, which callers were told of though b replaced a."""

    def confirm(self, change=lambda state: None, connected_s=0.0, silent_s=0.0):
        """Return whether a commit is confirmed within 2 s, and how long it was held.

        The permits have ended 1 s before; `change(groups)` is called 0.5 s after it.
        The replica c received the commit on a connection of `connected_s`. That b
        doesn't answer is known after `silent_s`.
        """

        async def run_commit():
            state = Groups(None, Metrics())
            state.note_roster("g", dict.fromkeys("abc", 1))
            given_at = clock() - permits.PERMIT_S - 1.0
            leaders = {"g": Leader("a", 3)}
            state.note_permits(Version(7, 1), leaders, given_at, permits.PERMIT_S)

            async def status_of(name):
                if name == "b":
                    await asyncio.sleep(silent_s)
                    return None
                open_s = connected_s + clock() - started_at
                return DatabaseStatus(name == "a", 3, COMMIT, 0, 0.0, 0, 1, open_s)

            state.status_of = status_of
            waiting = Acknowledgements(state, state.metrics)
            started_at = clock()
            asyncio.get_running_loop().call_later(0.5, change, state)
            is_confirmed = await waiting.confirm("s", "g", "a", COMMIT, 2.0)
            return is_confirmed, pytest.approx(clock() - started_at, abs=0.01)

        return run_on_simulated_clock(run_commit())

    def test_waits_until_a_permit_covers_it(self):
        def renew(state):
            state.note_permits(Version(7, 1), None, clock(), permits.PERMIT_S)

        assert self.confirm(renew) == (True, 0.5)

    def test_is_in_doubt_once_a_primary_without_it_leads(self):
        def replace(state):
            state.note_permits(Version(7, 2), NEXT, clock(), permits.PERMIT_S)

        assert self.confirm(replace) == (False, 0.5)

    def test_a_permit_during_a_round_does_not_make_its_answers_count(self):
        # LOST: c had restarted before b was promoted, and answered before that.
        def replace(state):
            state.note_permits(Version(7, 2), NEXT, clock(), permits.PERMIT_S)

        assert self.confirm(replace, 0.7, silent_s=0.6)[0] is False

    def test_is_in_doubt_at_the_deadline(self):
        assert self.confirm() == (False, 2.0)

    def test_needs_no_permit_if_a_replica_that_was_not_restarted_holds_it(self):
        # The store is away, so that no instance holds the duty.
        assert self.confirm(connected_s=5.0) == (True, 0.0)


class TestVoters:
    """LOST: a caller was told of a commit that only an unlisted replica had received.

    The permit covers the primary a; b and c are voters, d isn't.
    """

    LEADER = Leader("a", 3, voters=frozenset("abc"))

    def confirm(self, received, leader=LEADER, change=lambda state: None, **options):
        """Return whether a commit is confirmed in 1 s, how long it took, who was asked.

        `received` maps databases to what they have received, None if they are silent;
        `change(received)` is called after 0.5 s.
        """

        async def run_commit():
            state = Groups(None, Metrics())
            asked, started_at = [], clock()

            async def status_of(name):
                asked.append(name)
                await asyncio.sleep(0.01 if received[name] else 0.4)
                if received[name] is None:
                    return None
                return DatabaseStatus(False, 3, received[name], 0, 0.0, 0, 1)

            state.status_of = status_of
            for number, name in enumerate("abcd"):
                place = f"dc-{number}"
                state.note_database(
                    Database(name, "g", "h", 1, place, 2, False, False, 1)
                )
            state.note_permits(Version(7, 1), {"g": leader}, clock(), 10.0)
            waiting = Acknowledgements(state, state.metrics)
            waiting.data_centre = options.get("data_centre")
            asyncio.get_running_loop().call_later(0.5, change, received)
            is_confirmed = await waiting.confirm("s", "g", "a", COMMIT, 1.0)
            took_s = pytest.approx(clock() - started_at, abs=0.01)
            is_confirmed = (
                is_confirmed,
                await waiting.confirm("s", "g", "a", Position(3, 4), 1.0),
            )
            return is_confirmed, took_s, asked

        return run_on_simulated_clock(run_commit())

    def test_one_that_holds_a_commit_is_enough(self):
        result = self.confirm(dict.fromkeys("bcd", COMMIT))
        assert result == ((True, True), 0.01, ["b"])

    def test_the_nearest_is_asked_first(self):
        received = dict.fromkeys("bcd", COMMIT)
        result = self.confirm(received, data_centre="dc-2")
        assert result == ((True, True), 0.01, ["c"])

    def test_the_other_is_asked_if_the_first_is_silent(self):
        received = {"b": None, "c": COMMIT, "d": COMMIT}
        (is_confirmed, took_s, _) = self.confirm(received)
        assert is_confirmed == (True, True) and took_s == 0.1

    def test_a_commit_that_none_holds_is_in_doubt_at_the_deadline(self):
        received = {"b": Position(3, 4), "c": Position(2, 9), "d": COMMIT}
        is_confirmed, took_s, asked = self.confirm(received)
        assert is_confirmed == (False, True) and took_s == 1.0
        assert "d" not in asked and len(asked) < 20

    def test_a_commit_that_one_receives_later_is_confirmed_then(self):
        def receive(received):
            received["c"] = COMMIT

        received = {"b": Position(3, 4), "c": Position(3, 4), "d": COMMIT}
        is_confirmed, took_s, _ = self.confirm(received, change=receive)
        assert is_confirmed == (True, True)
        assert 0.5 <= took_s.expected <= 0.75

    def test_a_primary_outside_the_roster_needs_two(self):
        leader = self.LEADER._replace(voters=frozenset("bc"))
        received = {"b": COMMIT, "c": Position(3, 4), "d": COMMIT}
        assert self.confirm(received, leader)[0] == (False, True)

    def test_a_holder_of_an_earlier_build_names_none(self):
        leader = self.LEADER._replace(voters=None)
        received = dict.fromkeys("bcd")
        assert self.confirm(received, leader) == ((True, True), 0.0, [])
