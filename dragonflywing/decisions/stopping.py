"""What an instance still accepts between SIGTERM and its exit.

Answers the load of a planned stop: callers go on using their connections until these
are closed, and some have transactions open. At first new callers still arrive, since
the balancer needs a while to notice. A transaction that is open at SIGTERM has the
first half of the time until SIGKILL. Later a statement is accepted only if it will be
answered before the exit, so none that a database runs is cut off.
"""

from typing import NamedTuple

# The balancer takes two failed probes, one a second, to notice.
BALANCER_NOTICE_S = 2.2
EXIT_MARGIN_S = 0.8  # left before SIGKILL for the last answers and the store
ANSWER_MARGIN_S = 0.2  # for an answer's way from the home, and to the caller


class Stop(NamedTuple):
    """A planned stop: when it began, and the seconds from then to SIGKILL."""

    began_at: float
    grace_s: float

    def exit_at(self):
        """Return when the instance exits at the latest."""
        return self.began_at + self.grace_s - EXIT_MARGIN_S

    def answer_by(self):
        """Return when all statements have ended."""
        return self.exit_at() - ANSWER_MARGIN_S


def closes_idle_sessions(stop, now):
    """Return whether callers are sent to other instances."""
    return stop is not None and now >= stop.began_at + BALANCER_NOTICE_S


def accepts_statement(stop, now, limit_s):
    """Return whether a statement that takes at most `limit_s` is accepted."""
    if stop is None or now < stop.began_at + stop.grace_s / 2:
        return True
    return now + limit_s <= stop.answer_by()


def deadline(stop, end):
    """Return the deadline of a statement that has until `end` without a stop."""
    return end if stop is None else min(end, stop.answer_by())
