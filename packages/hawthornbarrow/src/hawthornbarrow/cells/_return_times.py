"""ReturnTimes: how long crashed upstreams are away."""

import collections
import statistics

UPSTREAM_RETURN_S = 4.0  # time within which a lost upstream is expected back
MIN_RETURNS = 5  # observed returns from which the time is learned
MAX_RETURNS = 32  # latest returns that count
MARGIN_FACTOR = 1.1  # on the longest of them
MIN_RETURN_S = 0.5
MAX_RETURN_S = 10.0  # longer absences are no returns after a crash


class ReturnTimes:
    """Learns from upstreams that are back as another incarnation."""

    def __init__(self) -> None:
        """Initializes it without observed returns."""
        self._away_s: collections.deque[float] = collections.deque(maxlen=MAX_RETURNS)

    @property
    def is_learned(self) -> bool:
        """Whether enough returns were observed."""
        return len(self._away_s) >= MIN_RETURNS

    @property
    def limit_s(self) -> float:
        """Time within which a lost upstream is expected back."""
        if not self.is_learned:
            return UPSTREAM_RETURN_S
        return max(MIN_RETURN_S, max(self._away_s) * MARGIN_FACTOR)

    @property
    def expected_s(self) -> float:
        """Time for which a lost upstream is away in the median."""
        if not self.is_learned:
            return UPSTREAM_RETURN_S
        return max(MIN_RETURN_S, statistics.median(self._away_s))

    def add(self, away_s: float) -> None:
        """Records for how long an upstream was away."""
        if away_s <= MAX_RETURN_S:
            self._away_s.append(away_s)
