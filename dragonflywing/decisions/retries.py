"""Retry policy: which failed requests are retried, and after what delay."""

from dragonflywing.errors import Verdict

# Retries that each first attempt adds, and the maximum that can accumulate.
RETRIES_PER_ATTEMPT = 0.2
MAX_SAVED_RETRIES = 50.0
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5
# The time after which to retry is the expected wait times a factor from this range.
# Callers that are refused together come back spread over it, none of them too early.
MIN_RETRY_FACTOR = 1.0
MAX_RETRY_FACTOR = 2.0
MIN_RETRY_S = 0.02  # if no wait is expected: the time of one statement


class RetryBudget:
    """Limits retries to a fraction of first attempts to avoid retry storms."""

    def __init__(self):
        self.saved = MAX_SAVED_RETRIES

    def record_attempt(self):
        """Record a first attempt, which adds to the budget."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + RETRIES_PER_ATTEMPT)

    def spend(self):
        """Take one retry from the budget; return whether it is allowed."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True


def may_retry(verdict, is_read, has_request_id):
    """Return whether a retry is safe: a second execution would not be visible."""
    if verdict is Verdict.RAN:
        return False
    return verdict is Verdict.NOT_RUN or is_read or has_request_id


def backoff(attempt, rng):
    """Return a random delay in seconds before retry `attempt`, counted from 0."""
    limit = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**attempt)
    return rng.uniform(limit / 2, limit)


def spread_retry_s(wait_s, rng):
    """Return after how many seconds to retry what waits for `wait_s` at present."""
    factor = rng.uniform(MIN_RETRY_FACTOR, MAX_RETRY_FACTOR)
    return max(wait_s, MIN_RETRY_S) * factor
