"""Exceptions, error codes, and verdicts on whether a failed statement ran."""

import enum
from typing import NamedTuple


class Verdict(enum.Enum):
    """Whether a statement that ended with an error may have taken effect."""

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    RAN = "RAN"


class Code(NamedTuple):
    """A MySQL error number, its SQLSTATE and its name in counters and logs."""

    errno: int
    sqlstate: str
    reason: str


ACCESS_DENIED = Code(1045, "28000", "access_denied")
KEY_WITHDRAWN = Code(9101, "DF101", "key_withdrawn")
OTHER_WORKSPACE = Code(9102, "DF102", "other_workspace")
STATEMENT_REFUSED = Code(9103, "DF103", "statement_refused")
SYNTAX = Code(1064, "42000", "syntax")
TOO_LARGE = Code(1153, "08S01", "too_large")
MALFORMED = Code(1835, "HY000", "malformed_packet")
RATE_EXCEEDED = Code(9110, "DF110", "rate_exceeded")
OVERLOADED = Code(9111, "DF111", "overloaded")
NO_PRIMARY = Code(9120, "DF120", "no_primary")
NO_FENCE = Code(9121, "DF121", "no_fence")
NO_DATABASE = Code(9122, "DF122", "no_database")
EVACUATED = Code(9124, "DF124", "evacuated")
DEADLINE = Code(9123, "DF123", "deadline")
CONNECTION_LOST = Code(9130, "DF130", "connection_lost")
ACK_TIMEOUT = Code(9131, "DF131", "ack_timeout")
TRANSACTION_LOST = Code(9132, "DF132", "transaction_lost")
SHUTTING_DOWN = Code(1053, "08S01", "shutting_down")
CONFIGURATION_STALE = Code(9140, "DF140", "configuration_stale")
NO_CONFIGURATION = Code(9141, "DF141", "no_configuration")
INTERNAL = Code(1105, "HY000", "internal")

# Errors that another attempt would end with too, or that ask callers to come back
# later.
FINAL_CODES = frozenset(
    {
        ACCESS_DENIED,
        KEY_WITHDRAWN,
        OTHER_WORKSPACE,
        STATEMENT_REFUSED,
        SYNTAX,
        TOO_LARGE,
        MALFORMED,
        RATE_EXCEEDED,
        OVERLOADED,
        EVACUATED,
    }
)


class DfwError(Exception):
    """The refusal or failure of a request, with its error code and verdict."""

    def __init__(self, code, message, verdict=Verdict.NOT_RUN):
        super().__init__(message)
        self.code = code
        self.message = message
        self.verdict = verdict

    def __str__(self):
        return f"[{self.verdict.value}] {self.message}"


class DatabaseError(DfwError):
    """An error returned by a database; the statement had no effect."""

    def __init__(self, errno, sqlstate, message):
        super().__init__(Code(errno, sqlstate, "database"), message, Verdict.NOT_RUN)

    def __str__(self):
        return self.message


def no_memory_for_result():
    """Return the error for a result that the memory budget has no room for."""
    return DatabaseError(1037, "HY001", "no memory for the result")


class UserError(Exception):
    """Invalid operator input, reported in one line without a traceback."""


class StoreError(Exception):
    """A failed store call; `may_have_run` is true if it may have taken effect."""

    def __init__(self, message, may_have_run):
        super().__init__(message)
        self.may_have_run = may_have_run


class HistoryLost(Exception):
    """The store has discarded the changes since the requested revision."""
