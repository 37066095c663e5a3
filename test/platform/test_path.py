"""The whole path on the stand-in platform, with real processes."""

import asyncio
import re
import signal

import pytest

from dragonflywing.decisions import membership, relays
from dragonflywing.standin.platform_database import StandinDatabase
from test.helper import run
from test.platform.deployment import PLACES, deployed


class TestCalmDay:
    def test_reads_own_writes_through_any_instance(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        async with deployed(tmp_path) as site:
            writer = await site.connect("front-0", "orders")
            reader = await site.connect("front-1", "orders")
            for number in range(20):
                assert (await writer.query(f"WRITE a {number}"))[0] == ""
                code, rows, _ = await reader.query("READ a")
                assert code == "" and rows[0].endswith(f":{number}")
            batch = await site.connect("front-2", "batches")
            for number in range(20):
                assert (await batch.query(f"WRITE b {number}"))[0] == ""
                code, rows, _ = await batch.query("READ b")
                assert code == "" and rows[0].endswith(f":{number}")
            served = {name for name, *_ in site.group.executed}
            assert len(served) > 1, "replicas serve reads"


class TestTransactions:
    def test_keep_all_or_nothing(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        async with deployed(tmp_path) as site:
            caller = await site.connect("front-0", "orders")
            assert await caller.query("BEGIN") == ("", [], "T")
            assert (await caller.query("WRITE a 1"))[2] == "T"
            assert await caller.query("ROLLBACK") == ("", [], "I")
            await caller.query("BEGIN")
            await caller.query("WRITE a 2")
            left = await site.connect("front-1", "orders")
            await left.query("BEGIN")
            await left.query("WRITE a 3")
            left.close()
            code, _, state = await caller.query("COMMIT")
            assert (code, state) == ("", "I")
            await asyncio.sleep(0.3)
            assert (await caller.query("READ a"))[1][0].endswith(":2")


class TestSessions:
    def test_values_and_prepared_names_stay_apart(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        async with deployed(tmp_path, 2) as site:
            one = await site.connect("front-0", "orders")
            two = await site.connect("front-1", "orders")
            await one.query("SET zone lakes")
            await two.query("SET zone coast")
            await two.query("SET unit mm")
            await one.query("PREPARE s1 WRITE q1")
            await two.query("PREPARE s1 READ q2")
            for number in range(6):
                assert (await one.query(f"EXECUTE s1 a {number}", f"w{number}"))[
                    0
                ] == ""
                assert (await two.query("EXECUTE s1 a", f"r{number}"))[0] == ""
            for _, statement_id, workspace, values in site.group.executed:
                assert workspace == "press"
                if statement_id[0] == "w":
                    assert values == {"zone": "lakes"}
                else:
                    assert values == {"zone": "coast", "unit": "mm"}
            assert (await one.query("EXECUTE s9 a"))[0] == "NOSTMT"


class TestFailover:
    def test_no_acknowledged_write_is_lost(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        async with deployed(tmp_path) as site:
            kept = []
            crash = asyncio.get_running_loop().call_later(
                0.5, site.group.databases["db-0"].crash
            )
            caller = await site.connect("front-1", "orders")
            end = asyncio.get_running_loop().time() + 6
            number, after = 0, 0
            while asyncio.get_running_loop().time() < end and after < 20:
                number += 1
                code, _, _ = await caller.query(f"WRITE n{number} {number}")
                if code == "":
                    kept.append(number)
                    after += site.state.promotions != []
                await asyncio.sleep(0.02)
            crash.cancel()
            assert after == 20, "writes go on after the promotion"
            tokens = [token for _, token, _, _ in site.state.promotions]
            assert tokens == sorted(tokens)
            leader = next(
                d for d in site.group.databases.values() if d.is_up and d.is_primary
            )
            for item in kept:
                assert leader.value(f"n{item}")[1] == str(item)


class TestForgottenReplica:
    def test_write_that_only_unlisted_databases_hold_is_not_lost(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        """Restart all instances while only a replica without the write is listed."""
        async with deployed(tmp_path) as site:
            databases = site.group.databases
            databases["db-1"].is_cut_off = True
            caller = await site.connect("front-0", "orders")
            assert (await caller.query("WRITE a 1"))[0] == ""
            await asyncio.sleep(2)
            await site.kill_instances()
            databases["db-0"].crash()
            for name in ("db-0", "db-2"):
                site.state.delete(f"servers/{name}")
            await site.start_instances()
            # Longer than a database that vanished counts without a record of it.
            await asyncio.sleep(8)
            assert not databases["db-1"].is_primary, "it lacks the write"
            site.announce(databases["db-2"], PLACES[2])
            caller = await site.connect("front-1", "orders")
            code, rows = "BUSY", []
            end = asyncio.get_running_loop().time() + 6
            while code and asyncio.get_running_loop().time() < end:
                code, rows, _ = await caller.query("READ a")
                await asyncio.sleep(0.1)
            assert code == "" and rows[0].endswith(":1")
            assert databases["db-2"].is_primary


class TestNewDatabaseWithoutPrimary:
    def test_does_not_keep_the_others_from_a_promotion(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        """Lose the primary for good; a new database is listed that can't answer."""
        async with deployed(tmp_path) as site:
            databases = site.group.databases
            caller = await site.connect("front-0", "orders")
            assert (await caller.query("WRITE a 1"))[0] == ""
            await asyncio.sleep(2)
            await site.kill_instances()
            databases["db-0"].crash()
            site.state.delete("servers/db-0")
            new = StandinDatabase(site.group, "db-new")
            await new.start()
            new.crash()
            site.announce(new, PLACES[0])
            await site.start_instances()
            end = asyncio.get_running_loop().time() + 12
            code = "BUSY"
            while code and asyncio.get_running_loop().time() < end:
                caller = await site.connect("front-1", "orders")
                code, rows, _ = await caller.query("READ a")
                await asyncio.sleep(0.1)
            assert code == "" and rows[0].endswith(":1")
            assert (await caller.query("WRITE a 2"))[0] == ""


class TestReplacedAtOnce:
    def test_two_databases_that_leave_together_are_not_waited_for(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        async with deployed(tmp_path) as site:
            databases = site.group.databases
            for number in (1, 2):
                new = StandinDatabase(site.group, f"db-new-{number}")
                await new.start()
                site.announce(new, PLACES[number])
            caller = await site.connect("front-0", "orders")
            assert (await caller.query("WRITE a 1"))[0] == ""
            await asyncio.sleep(2)
            for name in ("db-1", "db-2"):
                databases[name].crash()
                site.state.delete(f"servers/{name}")
            # Longer than a database that vanished counts without the roster.
            await asyncio.sleep(8)
            code, rows, _ = await caller.query("READ a")
            assert code == "" and rows[0].endswith(":1")
            assert (await caller.query("WRITE a 2"))[0] == ""


class TestKeys:
    def test_withdrawn_key_stops_and_given_key_works(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        async with deployed(tmp_path) as site:
            caller = await site.connect("front-0", "orders")
            assert (await caller.query("READ a"))[0] == ""
            assert await site.connect("front-0", "orders", "other") == "NOAUTH"
            assert await site.connect("front-0", "nowhere") == "NODB"
            site.keys["press"] = ["key-new"]
            site.configure()
            await asyncio.sleep(3)
            assert (await caller.query("READ a"))[0] == "NOAUTH"
            fresh = await site.connect("front-2", "orders", "key-new")
            assert (await fresh.query("READ a"))[0] == ""

    def test_unconfirmed_keys_are_refused(self, tmp_path):
        run(self._unconfirmed(tmp_path))

    async def _unconfirmed(self, tmp_path):
        async with deployed(tmp_path) as site:
            caller = await site.connect("front-0", "orders")
            site.state.is_down = True
            await asyncio.sleep(2)
            assert (await caller.query("READ a"))[0] == ""
            await asyncio.sleep(4)
            assert (await caller.query("READ a", "unconfirmed"))[0] == "BUSY"
            site.state.is_down = False
            await asyncio.sleep(2)
            assert (await caller.query("READ a"))[0] == ""
            kinds = [line.kind for line in site.explain("unconfirmed")]
            assert kinds[-1] == "refused" and "confirm_failed" in kinds


class TestRates:
    def test_hold_over_all_instances(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        async with deployed(tmp_path) as site:
            await asyncio.sleep(1.5)
            callers = [
                await site.connect(f"front-{number % 3}", "marks", "key-harbor")
                for number in range(6)
            ]
            ran = await site.count_run(callers, 5, 0.02)
            # A rate of 20/s and a burst of 20, a tenth and 20 more at most.
            assert 60 <= ran <= (5 * 20 + 20) * 1.1 + 20
            refused = re.search("event=refused request=(\\S+)", site.log_of("front-0"))
            chain = site.explain(refused[1])
            assert "over the rate" in chain[-1].text
            assert "configuration" in [line.kind for line in chain]


class TestBadInput:
    def test_disturbs_nobody_else(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        async with deployed(tmp_path, 1) as site:
            good = await site.connect("front-0", "orders")
            site.state.put("servers/odd", b"\xff\x00")
            site.state.put("servers/half", b'{"service": "orders-db"}')
            for data in (b"GET / HTTP/1.1\r\n", b"\xff\xfe\r\n", b"x" * 1100000):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", site._ports["front-0"][0]
                )
                writer.write(data)
                line = await asyncio.wait_for(reader.readline(), 5)
                assert line.startswith(b"ERROR MALFORMED"), data[:20]
                writer.close()
            silent, silent_writer = await asyncio.open_connection(
                "127.0.0.1", site._ports["front-0"][0]
            )
            silent_writer.write(b"STARTUP ord")
            assert (await good.query("READ a"))[0] == ""
            assert await asyncio.wait_for(silent.read(), 5) == b""
            assert (await good.query("WRITE a 1"))[0] == ""
            log = site.log_of("front-0")
            assert log.count("event=malformed_line") == 3
            assert "event=bad_database_entry" in log


class TestLostAnswers:
    def test_read_is_tried_again_and_write_is_in_doubt(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        async with deployed(tmp_path, 2) as site:
            caller = await site.connect("front-0", "orders")
            primary = site.group.databases["db-0"]
            await caller.query("WRITE a 1")
            primary.answers_to_drop = 1
            code, rows, _ = await caller.query("READ a")
            assert code == "" and rows[0].endswith(":1")
            primary.answers_to_drop = 1
            assert (await caller.query("WRITE a 2", "doubtful"))[0] == "INDOUBT"
            runs = [item for item in site.group.executed if item[1] == "doubtful"]
            assert len(runs) == 1
            await asyncio.sleep(0.2)
            chain = site.explain("doubtful")
            kinds = [line.kind for line in chain]
            assert "answer_lost" in kinds and "failed" in kinds
            assert "primary" in kinds, "it tells which primary was believed in"
            lost = next(line.text for line in chain if line.kind == "answer_lost")
            assert "database=db-0 sent=True cause=ConnectionFailed" in lost


class TestShutdown:
    def test_cuts_no_request(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        async with deployed(tmp_path) as site:
            caller = await site.connect("front-0", "orders")
            await caller.query("BEGIN")
            await caller.query("WRITE a 1")
            site.processes["front-0"].send_signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            assert not await site.is_ready("front-0")
            assert (await caller.query("WRITE b 2"))[0] == ""
            assert (await caller.query("COMMIT"))[0] == ""
            assert await asyncio.wait_for(caller.line(), 6) == ""
            assert await asyncio.wait_for(site.processes["front-0"].wait(), 6) == 0
            other = await site.connect("front-1", "orders")
            assert (await other.query("READ b"))[1][0].endswith(":2")


class TestRelays:
    """A fleet in which relays pass on what instances know of one another."""

    SIZE = relays.DIRECT_SIZE + 2

    def test_serves_as_a_small_one_does(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        async with deployed(tmp_path, self.SIZE) as site:
            writer = await site.connect("front-3", "orders")
            reader = await site.connect("front-16", "orders")
            for number in range(10):
                assert (await writer.query(f"WRITE a {number}"))[0] == ""
                code, rows, _ = await reader.query("READ a")
                assert code == "" and rows[0].endswith(f":{number}")
            aged = await site.connect("front-14", "marks")
            assert (await aged.query("READ a"))[0] == ""
            site.keys["press"] = ["key-new"]
            site.configure()
            await asyncio.sleep(3)
            for number in range(self.SIZE):
                name = f"front-{number}"
                assert await site.connect(name, "orders") == "NOAUTH"
            await self._check_rate(site)

    async def _check_rate(self, site):
        """Ask ten times the rate of a workspace at six instances."""
        callers = [
            await site.connect(f"front-{number}", "marks", "key-harbor")
            for number in range(3, 15, 2)
        ]
        ran = await site.count_run(callers, 5, 0.03)
        assert 60 <= ran <= (5 * 20 + 20) * 1.1 + 20


class TestLostRelay:
    """Callers in a data centre whose relay is killed or stands still."""

    @pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
    def test_is_replaced(self, tmp_path, number):
        run(self._check(tmp_path, number))

    async def _check(self, tmp_path, number):
        async with deployed(tmp_path, TestRelays.SIZE) as site:
            place = [f"front-{n}" for n in range(0, TestRelays.SIZE, len(PLACES))]
            await asyncio.sleep(1)
            relay = membership.order("relay", place)[0]
            others = [name for name in place if name != relay]
            callers = [await site.connect(name, "marks") for name in others]
            loop = asyncio.get_running_loop()
            codes = []

            async def read(caller, end):
                while loop.time() < end:
                    asked_at = loop.time()
                    code, _, _ = await caller.query("READ a")
                    codes.append((asked_at, code))
                    await asyncio.sleep(0.05)

            lost_at = loop.time() + 1
            loop.call_at(lost_at, site.processes[relay].send_signal, number)
            end = lost_at + 8
            await asyncio.gather(*[read(caller, end) for caller in callers])
            before = [code for at, code in codes if at < lost_at]
            # 1.3 s until the relay counts as silent, then some exchanges.
            after = [code for at, code in codes if at > lost_at + 3]
            assert set(before) == set(after) == {""}
            assert len(after) > 0.5 * 5 * len(callers) / 0.05


class TestMetrics:
    def test_tell_what_an_instance_believes_and_how_long_things_took(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, tmp_path):
        async with deployed(tmp_path, 2) as site:
            caller = await site.connect("front-0", "orders")
            await caller.query("WRITE a 1")
            assert await site.connect("front-0", "nowhere") == "NODB"
            text = await site.metrics("front-0")
            for wanted in (
                'dragonflywing_events_total{event="refused.startup.no_route"} 1.0',
                'statement_seconds_count{outcome="ok",route="current"} 1.0',
                "dragonflywing_config_version 1.0",
                'dragonflywing_group_primary{database="db-0",group="orders-db"} 1.0',
                'dragonflywing_share{workspace="press"}',
            ):
                assert wanted in text
            homes = text + await site.metrics("front-1")
            assert 'database_seconds_count{kind="write",outcome="ok"} 1.0' in homes
            assert 'slot_wait_seconds_count{urgent="no"}' in homes
