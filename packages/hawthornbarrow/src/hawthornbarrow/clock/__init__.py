"""Clock that never jumps and counts suspended time, for leases and durations."""

import time

__all__ = ["seconds_since", "steady_s"]


def steady_s() -> float:
    """Returns the seconds on a clock that never jumps and counts suspended time.

    Leases are measured on it, as a host that was suspended must find its leases
    expired on resuming; the monotonic clock stands still while it is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def seconds_since(start_s: float | None) -> float | None:
    """Returns the seconds since a start time, rounded for log lines.

    Args:
        start_s: Start time on the clock of `steady_s`, or None.

    Returns:
        None when there is no start time.
    """
    return None if start_s is None else round(steady_s() - start_s, 3)
