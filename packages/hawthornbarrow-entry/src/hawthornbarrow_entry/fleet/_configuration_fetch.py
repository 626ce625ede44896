"""ConfigurationFetch: decides when an entry asks the leader for the configuration."""

import math

MIN_RETRY_INTERVAL_S = 0.25
MAX_RETRY_INTERVAL_S = 2.0


class ConfigurationFetch:
    """Asks once for each new version and term, then ever more rarely.

    A leader that cannot answer yet drops the request, so it is repeated. But a large
    configuration may take seconds on a slow link, and each repetition would put
    another copy behind it.
    """

    def __init__(self) -> None:
        """Initializes a fetch that has not asked yet."""
        self._requested = (0, 0)
        self._requested_at_s = -math.inf
        self._retry_interval_s = MIN_RETRY_INTERVAL_S

    def is_due(
        self, *, known_version: int, current_version: int, term: int, now_s: float
    ) -> bool:
        """Returns whether to send a request now, and assumes that it is sent.

        Args:
            known_version: Newest version, by the dispatcher's heartbeats.
            current_version: Version in force at this entry.
            term: Term of the dispatcher.
            now_s: Current time.
        """
        if known_version <= current_version:
            return False
        wanted = (term, known_version)
        if wanted != self._requested:
            self._retry_interval_s = MIN_RETRY_INTERVAL_S
        elif now_s - self._requested_at_s < self._retry_interval_s:
            return False
        else:
            self._retry_interval_s = min(
                2 * self._retry_interval_s, MAX_RETRY_INTERVAL_S
            )
        self._requested = wanted
        self._requested_at_s = now_s
        return True
