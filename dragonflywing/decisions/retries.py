"""Which failed requests are tried again, and when."""

from dragonflywing.errors import Verdict

# Retries allowed for each first attempt, and the most that can be saved up.
RETRY_RATIO = 0.2
RETRY_SAVED_MAX = 50.0
BACKOFF_FIRST_S = 0.02
BACKOFF_MAX_S = 0.5


class RetryBudget:
    """Limits retries to a share of first attempts, so that they do not pile up."""

    def __init__(self):
        self.saved = RETRY_SAVED_MAX

    def record_attempt(self):
        """Count a first attempt."""
        self.saved = min(RETRY_SAVED_MAX, self.saved + RETRY_RATIO)

    def spend(self):
        """Take one retry; return whether it is allowed."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True


def may_retry(verdict, is_read, has_request_id):
    """Return whether a second run cannot be seen by anyone."""
    if verdict is Verdict.RAN:
        return False
    return verdict is Verdict.NOT_RUN or is_read or has_request_id


def backoff(attempt, rng):
    """Return the seconds to wait before retry number `attempt`, from 0."""
    limit = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2**attempt)
    return rng.uniform(limit / 2, limit)
