"""Codes of a statement's outcome, as entry instances exchange them.

The verdict of a code says whether the statement may have taken effect.
"""

from dragonflywing.errors import Verdict

OK = ""
OVERLOADED = "overloaded"
BEHIND = "behind"  # the database's log has not reached the requested position
NOT_PRIMARY = "not_primary"
WRONG_DATABASE = "wrong_database"
NO_CONNECTION = "no_connection"
UNREACHABLE = "unreachable"  # the home can't reach the database
UNKNOWN_STATEMENT = "unknown_statement"
ABORTED = "aborted"  # the transaction has had no effect
FAILED = "failed"
TIMED_OUT = "timed_out"
IN_DOUBT = "in_doubt"
NO_ROUTE = "no_route"
BAD_KEY = "bad_key"
MALFORMED = "malformed"

VERDICTS = {
    OK: Verdict.RAN,
    FAILED: Verdict.RAN,
    TIMED_OUT: Verdict.MAY_HAVE_RUN,
    IN_DOUBT: Verdict.MAY_HAVE_RUN,
}


class Refusal(Exception):
    """A statement was refused before it was sent; `code` is one of the above."""

    def __init__(self, code, text):
        super().__init__(text)
        self.code = code
        self.text = text


def verdict(code):
    """Return whether a statement that ended with `code` may have taken effect."""
    return VERDICTS.get(code, Verdict.NOT_RUN)
