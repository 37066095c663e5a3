"""Tests of acknowledgements that wait for a permit, on a simulated clock."""

import asyncio

import pytest

from dragonflywing import acknowledgements, groups
from dragonflywing.acknowledgements import Acknowledgements
from dragonflywing.decisions import permits
from dragonflywing.decisions.permits import Leader, Version
from dragonflywing.decisions.positions import Position
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
