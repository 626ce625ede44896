"""Steady clock of the processes."""

import time

__all__ = ["seconds_since", "steady_s"]


def steady_s() -> float:
    """Returns seconds on a clock that never jumps and counts suspended time.

    Leases are measured on it, as a machine that was suspended must find its leases
    lapsed; the monotonic clock stands still meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def seconds_since(moment_s: float | None) -> float | None:
    """Returns the seconds since a moment for a log line, None when it never came."""
    return None if moment_s is None else round(steady_s() - moment_s, 3)
