"""End-to-end test with real processes and a standard MySQL client."""

import pymysql
import pytest

from test.helper import connect, deployed, query, run


class TestPath:
    def test_serves_clients_end_to_end(self):
        run(self._check())

    async def _check(self):
        async with deployed() as deployment:
            first = await connect(deployment, "entry-1")
            second = await connect(deployment, "entry-2")
            await self._check_read_your_writes(first, second)
            await self._check_transactions(first, second)
            await self._check_repeated_request(first, second)
            await self._check_refusals(deployment, first)
            await self._check_failover(deployment, first, second)
            for conn in (first, second):
                conn.close()

    async def _check_read_your_writes(self, first, second):
        await query(first, "CREATE TABLE orders (id INT, label VARCHAR(50))")
        for i in range(20):
            sql = "INSERT INTO orders VALUES (%s, %s)"
            assert await query(first, sql, (i, "it's \\ 'ok'")) == 1
            rows = await query(second, "SELECT label FROM orders WHERE id=%s", (i,))
            assert rows == [("it's \\ 'ok'",)]

    async def _check_transactions(self, first, second):
        await query(first, "BEGIN")
        assert first.get_transaction_status()
        await query(first, "INSERT INTO orders VALUES (100, 'a')")
        assert await query(second, "SELECT * FROM orders WHERE id=100") == []
        await query(first, "ROLLBACK")
        assert await query(first, "SELECT * FROM orders WHERE id=100") == []
        await query(first, "BEGIN")
        await query(first, "INSERT INTO orders VALUES (101, 'b')")
        await query(first, "COMMIT")
        assert not first.get_transaction_status()
        assert await query(second, "SELECT id FROM orders WHERE id=101") == [(101,)]

    async def _check_repeated_request(self, first, second):
        for conn in (first, second, first):
            await query(conn, "SET @dfw_request_id = 'order-7'")
            assert await query(conn, "INSERT INTO orders VALUES (7000, 'x')") == 1
        rows = await query(second, "SELECT COUNT(*) FROM orders WHERE id=7000")
        assert rows == [(1,)]

    async def _check_refusals(self, deployment, first):
        for sql, errno in (
            ("SELECT * FROM harbor.orders", 9102),
            ("SELECT GET_LOCK('a', 1)", 9103),
            ("SELEC 1", 1064),
        ):
            with pytest.raises(pymysql.MySQLError) as exc_info:
                await query(first, sql)
            assert exc_info.value.args[0] == errno
        with pytest.raises(pymysql.MySQLError) as exc_info:
            await connect(deployment, "entry-1", password="wrong")
        assert exc_info.value.args[0] == 1045
        assert await query(first, "SELECT 1") == [(1,)]

    async def _check_failover(self, deployment, first, second):
        primary = await deployment.primary("orders")
        await deployment.kill(primary)
        await query(first, "SET @dfw_request_id = 'after-kill'")
        await query(first, "INSERT INTO orders VALUES (8000, 'y')")
        rows = await query(second, "SELECT id FROM orders WHERE id=8000")
        assert rows == [(8000,)]
        assert await deployment.primary("orders") != primary
