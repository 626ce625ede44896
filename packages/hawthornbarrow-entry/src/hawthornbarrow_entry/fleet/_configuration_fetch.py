"""ConfigurationFetch: decides when an entry asks the leader for the configuration."""

import math

MIN_RETRY_INTERVAL_S = 0.5
MAX_RETRY_INTERVAL_S = 2.0


class ConfigurationFetch:
    """Keeps one request open at a time, and repeats it ever more rarely.

    A leader that cannot answer yet drops the request, so it is repeated. But a large
    configuration may take seconds on a slow link, and each further request would put
    another copy behind it, also when versions follow one another quickly: the reply
    brings the version that is the newest when the leader sends it.
    """

    def __init__(self) -> None:
        """Initializes a fetch without an open request."""
        self._open_term = 0
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
        if term != self._open_term:
            self._retry_interval_s = MIN_RETRY_INTERVAL_S
        elif now_s - self._requested_at_s < self._retry_interval_s:
            return False
        else:
            self._retry_interval_s = min(
                2 * self._retry_interval_s, MAX_RETRY_INTERVAL_S
            )
        self._open_term = term
        self._requested_at_s = now_s
        return True

    def on_reply(self) -> None:
        """Records that a reply arrived, so that the next request can be sent."""
        self._open_term = 0
