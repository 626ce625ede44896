"""Retry budget: limits retries to a share of the successes."""

RETRY_SHARE = 0.1
_BURST_COUNT = 20.0


class RetryBudget:
    """Token bucket that successes fill and retries drain.

    Args:
        share: Number of retries that each success allows.
        burst: Maximum number of retries that can be saved up.
    """

    def __init__(
        self, *, share: float = RETRY_SHARE, burst: float = _BURST_COUNT
    ) -> None:
        """Initializes a full bucket."""
        self._share = share
        self._burst = burst
        self._tokens = burst

    def record_success(self) -> None:
        """Adds the share of a retry that one success allows."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_retry(self) -> bool:
        """Spends one retry and returns True, or returns False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
