"""DecayingRate: how much of something happened per second, mostly of late."""

import math

GRAIN_S = 0.05  # within which amounts count as simultaneous


class DecayingRate:
    """Sums amounts with weights that decay with their age.

    Args:
        period_s: Age at which an amount counts 1/e of what it counted when it was new.
    """

    def __init__(self, *, period_s: float) -> None:
        """Initializes a rate without amounts."""
        self._period_s = period_s
        self._sum = 0.0
        self._summed_at_s = -math.inf
        self._began_at_s = math.inf

    def add(self, amount: float, now_s: float) -> None:
        """Adds an amount that happened now."""
        if now_s - self._summed_at_s < GRAIN_S:
            self._sum += amount
            return
        self._began_at_s = min(self._began_at_s, now_s)
        self._sum = self._decayed(now_s) + amount
        self._summed_at_s = now_s

    def per_s(self, now_s: float) -> float:
        """Returns the amount per second.

        Before the period has passed, the time since the first amount counts, but at
        least half a period, as a few amounts right after each other show no rate.
        """
        if not self._sum:
            return 0.0
        age_s = max(now_s - self._began_at_s, self._period_s / 2)
        covered_s = self._period_s * -math.expm1(-age_s / self._period_s)
        return self._decayed(now_s) / covered_s

    def _decayed(self, now_s: float) -> float:
        if not self._sum:
            return 0.0
        return self._sum * math.exp((self._summed_at_s - now_s) / self._period_s)
