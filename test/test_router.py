"""Where statements go when a home is lost."""

from dragonflywing import outcomes
from dragonflywing.groups import Groups
from dragonflywing.links import LinkLost, idl, pack
from dragonflywing.metrics import Metrics
from dragonflywing.router import Router
from test.helper import run
from test.test_groups import database


class FakeCluster:
    """Other instances, some of which do not answer."""

    def __init__(self, order, silent, was_reset=False):
        self.order = order
        self.silent = silent
        self.was_reset = was_reset
        self.asked = []

    def homes(self, database):
        return list(self.order)

    async def call(self, instance, name, body, timeout_s):
        self.asked.append(instance)
        if instance in self.silent:
            raise LinkLost(f"{instance}: no answer", True, self.was_reset)
        return pack(
            idl.RunAnswer(
                code="",
                text="sign",
                rows=[],
                term=1,
                index=1,
                transaction="",
                wait=0.0,
            )
        )


class Own:
    instance = "me"


class TestLostHome:
    def _request(self, router, kind):
        return router.request(
            database="a",
            workspace="press",
            statement_id="1",
            text="",
            kind=kind,
            values={},
            prepared={},
            timeout=1.0,
            priority=0,
        )

    def test_next_statement_goes_to_another_instance(self):
        run(self._check())

    async def _check(self):
        groups = Groups(None, Metrics())
        groups.note_database(database("a"))
        cluster = FakeCluster(["frozen", "sound"], {"frozen"})
        router = Router(Own(), None, groups, cluster, Metrics())
        answer, _, home = await router.run(self._request(router, "write"))
        assert (answer.code, home) == (outcomes.IN_DOUBT, "frozen")
        assert cluster.asked == ["frozen"], "a write that may have run runs once"
        answer, _, home = await router.run(self._request(router, "read"))
        assert (answer.code, home) == ("", "sound")
        assert cluster.asked == ["frozen", "sound"]

    def test_home_whose_connection_was_reset_is_asked_again(self):
        run(self._check_reset())

    async def _check_reset(self):
        groups = Groups(None, Metrics())
        groups.note_database(database("a"))
        cluster = FakeCluster(["home", "other"], {"home"}, was_reset=True)
        router = Router(Own(), None, groups, cluster, Metrics())
        await router.run(self._request(router, "read"))
        cluster.silent = set()
        _, _, home = await router.run(self._request(router, "read"))
        assert home == "home"
