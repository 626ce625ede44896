"""Steady clock of the processes."""

import time

__all__ = ["steady_s"]


def steady_s() -> float:
    """Returns seconds on a clock that never jumps and counts suspended time.

    Leases are measured on it, as a machine that was suspended must find its leases
    lapsed; the monotonic clock stands still meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
