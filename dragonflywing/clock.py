"""The clock for leases and for ages that consistency guarantees depend on."""

import time


def boottime():
    """Return the seconds since boot, including time that the machine was suspended.

    The loop's clock stops while the machine is suspended, so a lease or an age
    measured by it could be taken for younger than it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
