"""Tests of a session's attempts, on a simulated clock."""

import asyncio
from types import SimpleNamespace

import pytest

from dragonflywing import outcomes, sessions
from dragonflywing.decisions.positions import Position
from dragonflywing.decisions.retries import MAX_BACKOFF_S, MIN_BACKOFF_S
from dragonflywing.metrics import Metrics
from dragonflywing.ports import Answer
from test.helper import run_on_simulated_clock


def refusing_node(attempts):
    """Return a node whose databases refuse all statements as not run."""

    async def run(req, find_allowed):
        attempts.append(req)
        return Answer(outcomes.OVERLOADED, "not run", (), False, None), "", "home"

    async def wait_primary(group, wait_s):
        return "db"

    route = SimpleNamespace(
        freshness="current",
        timeout_s=5.0,
        target_s=1.0,
        priority=1,
        group="g",
        is_open=True,
        allowed_regions=frozenset(),
    )
    return SimpleNamespace(
        now=asyncio.get_running_loop().time,
        cluster=SimpleNamespace(stop=None),
        metrics=Metrics(),
        ports=SimpleNamespace(databases=None),
        directory=SimpleNamespace(
            cfg=SimpleNamespace(routes={"r": route}, keys={}, workspaces={}),
            is_confirmed=lambda: True,
        ),
        router=SimpleNamespace(
            failure=lambda code, text: Answer(code, text, (), False, None),
            new_request=lambda **fields: SimpleNamespace(
                **fields, opening="", max_age=-1.0
            ),
            is_primary=lambda route, database: True,
            competes=lambda group: False,
            regions={},
            has_allowed=lambda group, allowed: True,
            is_allowed=lambda database, home, allowed: True,
            note_answer=lambda *args: None,
            run=run,
            wait_primary=wait_primary,
        ),
    )


class TestAttempts:
    def test_end_without_a_pause_after_the_last_one(self):
        # A refusal took over a second, as it came only after one more pause.
        async def check():
            attempts = []
            session = sessions.Session(refusing_node(attempts), "r", "")
            started_at = asyncio.get_running_loop().time()
            op = sessions.Operation("read", "1", "READ a", "a", "")
            reply = await session.handle(op)
            assert reply.code == outcomes.OVERLOADED
            assert len(attempts) == sessions.MAX_ATTEMPTS
            pauses = [
                min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**number)
                for number in range(sessions.MAX_ATTEMPTS - 1)
            ]
            elapsed_s = asyncio.get_running_loop().time() - started_at
            assert elapsed_s <= sum(pauses) + 0.001

        # Pauses are random.
        for _ in range(20):
            run_on_simulated_clock(check())


class TestCommits:
    """LOST: callers were told of commits that the next primary lacked."""

    WRITE, READ = ("write", "WRITE a 1"), ("read", "READ a")
    COMMIT = ("commit", "COMMIT")

    @pytest.mark.parametrize(
        ("statements", "code", "asked"),
        [
            ([WRITE], outcomes.IN_DOUBT, 1),
            ([("begin", "BEGIN"), WRITE, COMMIT], outcomes.IN_DOUBT, 1),
            ([("begin", "BEGIN"), READ, COMMIT], outcomes.OK, 0),
        ],
    )
    def test_are_in_doubt_unless_they_are_confirmed(self, statements, code, asked):
        async def check():
            node, confirmations = refusing_node([]), []
            answer = Answer(outcomes.OK, "-", (), False, Position(3, 5))

            async def run(req, find_allowed):
                return answer, "handle" if req.opening else "", "home"

            async def run_at(home, req):
                return answer, "" if req.kind == "commit" else "handle", home

            async def confirm(*commit):
                confirmations.append(commit)
                return False

            node.router.run, node.router.run_at = run, run_at
            node.acknowledgements = SimpleNamespace(confirm=confirm)
            node.ports.databases = SimpleNamespace(BEGIN="BEGIN", BEGIN_READ="")
            node.directory.version = node.directory.confirmation_age = lambda: 1
            session = sessions.Session(node, "r", "")
            for kind, text in statements:
                op = sessions.Operation(kind, "1", text, "", "")
                reply = await session.handle(op)
            assert (reply.code, len(confirmations)) == (code, asked)

        run_on_simulated_clock(check())


class TestTransactions:
    """Changes of the configuration while a transaction is open."""

    async def _begin(self):
        """Return a session that has written, its node, and what it asks for."""
        node, asked = refusing_node([]), []
        answer = Answer(outcomes.OK, "-", (), False, Position(3, 5))

        async def run(req, find_allowed):
            return answer, "handle", "home"

        async def run_at(home, req):
            return answer, "" if req.kind == "commit" else "handle", home

        async def confirm(statement_id, group, *rest):
            asked.append(("confirm", group))
            return True

        node.router.run, node.router.run_at = run, run_at
        node.router.end_transaction = lambda *args: asked.append(args)
        node.acknowledgements = SimpleNamespace(confirm=confirm)
        node.ports.databases = SimpleNamespace(BEGIN="BEGIN", BEGIN_READ="")
        node.directory.version = node.directory.confirmation_age = lambda: 1
        session = sessions.Session(node, "r", "")
        for kind, text in [("begin", "BEGIN"), ("write", "WRITE a 1")]:
            await session.handle(sessions.Operation(kind, "1", text, "", ""))
        return session, node, asked

    def test_ends_at_its_home_if_the_commit_is_refused(self):
        # It kept its connection for twice the time that it may be idle.
        async def check():
            session, node, asked = await self._begin()
            node.directory.is_confirmed = lambda: False
            commit = sessions.Operation("commit", "2", "COMMIT", "", "")
            reply = await session.handle(commit)
            assert (reply.code, reply.state) == (outcomes.OVERLOADED, sessions.IDLE)
            assert asked == [("db", "home", "handle")]

        run_on_simulated_clock(check())

    def test_commit_is_confirmed_by_the_group_that_it_began_in(self):
        # The permits of the route's present group were asked for.
        async def check():
            session, node, asked = await self._begin()
            node.directory.cfg.routes["r"].group = "other"
            commit = sessions.Operation("commit", "2", "COMMIT", "", "")
            reply = await session.handle(commit)
            assert (reply.code, asked) == (outcomes.OK, [("confirm", "g")])

        run_on_simulated_clock(check())
