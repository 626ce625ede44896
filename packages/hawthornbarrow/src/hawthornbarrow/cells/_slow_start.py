"""SlowStart: the return of a worker after the evacuation of its data centre."""

RETURN_S = 5.0  # time after a withdrawal in which workers may be cold
RETURN_FRACTION = 0.25  # of a worker's capacity, usable right after a withdrawal
# A run of at most this many times the expected run time completes in time. A cold
# worker is up to 1.5 times slower.
IN_TIME_FACTOR = 1.2


class SlowStart:
    """Determines how much of its capacity a worker uses after a withdrawal.

    The usable fraction grows by the share of the capacity that each run used which
    completed in time, so it doubles with each round of such runs.

    Args:
        until_s: When all of the capacity is usable at the latest.
        slowness: Ratio of the worker's run times to the expected ones before the
            evacuation.
    """

    def __init__(self, *, until_s: float, slowness: float) -> None:
        """Initializes it with the fraction right after the withdrawal."""
        self._until_s = until_s
        self._slowness = slowness
        self._fraction = RETURN_FRACTION

    @property
    def fraction(self) -> float:
        """Usable fraction of the capacity."""
        return self._fraction

    def is_complete(self, now_s: float) -> bool:
        """Returns whether all of the capacity is usable."""
        return self._fraction >= 1.0 or now_s >= self._until_s

    def record_run(self, share: float, run_s: float, expected_s: float) -> None:
        """Records a completed run.

        Args:
            share: Fraction of the worker's capacity that the run used.
            run_s: Its run time.
            expected_s: Its expected run time on a worker of average speed, zero when
                unknown.
        """
        if run_s <= expected_s * self._slowness * IN_TIME_FACTOR:
            self._fraction = min(1.0, self._fraction + share)
