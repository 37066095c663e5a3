"""The clock for ages that promises depend on."""

import time


def elapsed():
    """Return seconds of a steady clock that also runs while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
