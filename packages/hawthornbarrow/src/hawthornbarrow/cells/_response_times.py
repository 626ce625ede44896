"""ResponseTimes: when an unanswered call to an upstream counts as overdue."""

MIN_OVERDUE_S = 0.05  # covers the tick interval of the process that measures
MAX_OVERDUE_S = 0.3
_INITIAL_OVERDUE_S = 0.15
_MEAN_WEIGHT = 0.125
_DEVIATION_WEIGHT = 0.25
_DEVIATION_FACTOR = 4.0


class ResponseTimes:
    """Estimates the response time of an upstream, as TCP does for its retransmissions.

    An upstream may lose a call, carry it out late or lose its response. A call is
    overdue after the mean response time plus four mean deviations; it is then repeated,
    as waiting for it would cost the task its objective.

    References:
        V. Jacobson, "Congestion avoidance and control", 1988, and RFC 6298.

    Examples:
        >>> times = ResponseTimes()
        >>> times.overdue_after_s
        0.15
        >>> for _ in range(50):
        ...     times.record(0.004)
        >>> times.overdue_after_s
        0.05
    """

    def __init__(self) -> None:
        """Initializes an estimator without measurements."""
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._has_measurements = False

    @property
    def overdue_after_s(self) -> float:
        """Time in seconds after which an unanswered call is overdue."""
        if not self._has_measurements:
            return _INITIAL_OVERDUE_S
        estimate_s = self._mean_s + _DEVIATION_FACTOR * self._deviation_s
        return min(MAX_OVERDUE_S, max(MIN_OVERDUE_S, estimate_s))

    def record(self, response_s: float) -> None:
        """Records the response time of an answered call, in seconds."""
        if not self._has_measurements:
            self._has_measurements = True
            self._mean_s = response_s
            self._deviation_s = response_s / 2
            return
        error_s = response_s - self._mean_s
        self._deviation_s += _DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)
        self._mean_s += _MEAN_WEIGHT * error_s
