"""Writes that carry a request id: recorded in their own transaction.

The record is a row of a table in the workspace's schema. A repeated request,
through any instance and after any failover, finds the row and gets the first
run's answer.
"""

import time

from dragonflywing import errors
from dragonflywing.errors import DatabaseError, DfwError
from dragonflywing.wire import Result

TABLE = "dfw_requests"
CREATE = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} (request_id VARCHAR(128) PRIMARY KEY, "
    "affected_rows BIGINT, last_insert_id BIGINT, created_at BIGINT)"
)
MAX_ID_LENGTH = 128
DUPLICATE_ERRNO = 1062
NO_TABLE_ERRNO = 1146


def check_id(request_id):
    """Return a request id that is safe as a literal, or refuse it."""
    allowed = all(ch.isalnum() or ch in "-_.:/" for ch in request_id)
    if not allowed or not 0 < len(request_id) <= MAX_ID_LENGTH:
        raise DfwError(
            errors.STATEMENT_REFUSED,
            "request_id: expected 1 to 128 letters, digits or -_.:/",
        )
    return request_id


def insert_sql(request_id, result):
    """Return the statement that records an answer."""
    return (
        f"INSERT INTO {TABLE} (request_id, affected_rows, last_insert_id, created_at) "
        f"VALUES ('{request_id}', {result.affected_rows}, {result.last_insert_id}, "
        f"{int(time.time())})"
    )


async def find(run, request_id):
    """Return the recorded Result of a request, or None."""
    try:
        result = await run(
            f"SELECT affected_rows, last_insert_id FROM {TABLE} "
            f"WHERE request_id = '{request_id}'"
        )
    except DatabaseError as exc:
        if exc.code.errno == NO_TABLE_ERRNO:
            return None
        raise
    if not result.rows:
        return None
    affected, last_id = result.rows[0]
    return Result(affected_rows=int(affected), last_insert_id=int(last_id))
