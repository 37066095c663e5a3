"""Records writes that carry a request id, so that a repeated one runs only once.

The record is a row in a table of the workspace's schema, written in the write's
own transaction. A repeated request, through any instance and after any failover,
finds the row and gets the first answer. The row holds a digest of the statements,
so that an id that is reused for other statements is refused.
"""

import hashlib
import time

from dragonflywing import errors
from dragonflywing.errors import DatabaseError, DfwError
from dragonflywing.wire import Result

TABLE = "dfw_requests"
CREATE = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} (request_id VARCHAR(128) PRIMARY KEY, "
    "digest VARCHAR(64), affected_rows BIGINT, last_insert_id BIGINT, "
    "created_at BIGINT)"
)
MAX_ID_LENGTH = 128
NO_TABLE_ERRNO = 1146


def check_id(request_id):
    """Return a request id; raise DfwError if it is unsafe as an SQL literal."""
    allowed = all(ch.isalnum() or ch in "-_.:/" for ch in request_id)
    if not allowed or not 0 < len(request_id) <= MAX_ID_LENGTH:
        raise DfwError(
            errors.STATEMENT_REFUSED,
            "request_id: expected 1 to 128 letters, digits or -_.:/",
        )
    return request_id


class StatementsDigest:
    """The digest of a request's statements, which aren't kept themselves."""

    def __init__(self, *statements):
        self._hash = hashlib.sha256()
        self._separator = b""
        for sql in statements:
            self.add(sql)

    def add(self, sql):
        """Add the next statement."""
        self._hash.update(self._separator + sql.encode("utf-8", "surrogateescape"))
        self._separator = b"\0"

    def hexdigest(self):
        """Return the digest of all statements as a hexadecimal text."""
        return self._hash.hexdigest()


def insert_sql(request_id, statements_digest, result):
    """Return the statement that records an answer."""
    return (
        f"INSERT INTO {TABLE} "
        "(request_id, digest, affected_rows, last_insert_id, created_at) "
        f"VALUES ('{request_id}', '{statements_digest}', {result.affected_rows}, "
        f"{result.last_insert_id}, {int(time.time())})"
    )


async def find(run, request_id, statements_digest):
    """Return the recorded Result of a request, None if there is no record.

    Raises DfwError if the id was used for other statements.
    """
    try:
        result = await run(
            f"SELECT digest, affected_rows, last_insert_id FROM {TABLE} "
            f"WHERE request_id = '{request_id}'"
        )
    except DatabaseError as exc:
        if exc.code.errno == NO_TABLE_ERRNO:
            return None
        raise
    if not result.rows:
        return None
    recorded_digest, affected_rows, last_insert_id = result.rows[0]
    if recorded_digest != statements_digest:
        raise DfwError(
            errors.STATEMENT_REFUSED,
            f"request_id {request_id!r} was used for another statement",
        )
    return Result(affected_rows=int(affected_rows), last_insert_id=int(last_insert_id))
