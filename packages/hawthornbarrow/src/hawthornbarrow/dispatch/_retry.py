"""Retry budget: retries are a bounded share of successes."""

RETRY_SHARE = 0.1
_BURST = 20.0


class RetryBudget:
    """Token bucket that successes fill and retries empty.

    Args:
        share: Retries allowed for each success.
        burst: Most retries that can be saved up.
    """

    def __init__(self, *, share: float = RETRY_SHARE, burst: float = _BURST) -> None:
        """Starts full."""
        self._share = share
        self._burst = burst
        self._tokens = burst

    def record_success(self) -> None:
        """Earns a share of one retry."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_retry(self) -> bool:
        """Spends one retry if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
