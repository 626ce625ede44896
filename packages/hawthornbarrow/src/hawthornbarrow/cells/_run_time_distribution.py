"""RunTimeDistribution: decaying distribution of run times relative to estimates."""

import itertools
import math

_BIN_WIDTH = 0.1  # in log ratio
_MAX_LOG_RATIO = 3.0
_BIN_COUNT = round(2 * _MAX_LOG_RATIO / _BIN_WIDTH) + 1
_MEMORY_SAMPLES = 2000.0  # after which a sample has lost two thirds of its weight
_MAX_WEIGHT = 1e6
_REFRESH_SAMPLES = 64
MIN_SAMPLES = 100

# Probabilities of a shorter run, between which a run is probable.
LOW_PROBABILITY = 0.1
HIGH_PROBABILITY = 0.9
SAFE_PROBABILITY = 0.985  # leaves out no run of a tail of a few in 100
# Used until there are enough samples: a factor of 1.7, as estimates are rough.
_DEFAULT_LOG_SPREAD = math.log(1.7)
_DEFAULT_TAIL_FRACTION = 0.002


class RunTimeDistribution:
    """Keeps the distribution of the log of actual over expected run times.

    It handles estimates that are far off and runs of many times the mean: both show in
    the quantiles. Quantiles are computed anew after some samples, so adding a sample
    takes constant time.

    Args:
        tail_factor: Ratio from which a run belongs to the tail.
    """

    def __init__(self, *, tail_factor: float) -> None:
        """Initializes a distribution without samples."""
        self._tail_log = math.log(tail_factor)
        self._bins = [0.0] * _BIN_COUNT
        self._weight = 1.0
        self._growth = math.exp(1.0 / _MEMORY_SAMPLES)
        self._sample_count = 0
        self._until_refresh = MIN_SAMPLES
        self._low_ratio = math.exp(-_DEFAULT_LOG_SPREAD)
        self._high_ratio = math.exp(_DEFAULT_LOG_SPREAD)
        self._safe_ratio = self.quantile(SAFE_PROBABILITY)
        self._tail_fraction = _DEFAULT_TAIL_FRACTION

    @property
    def low_ratio(self) -> float:
        """Ratio below which one run of ten ends."""
        return self._low_ratio

    @property
    def high_ratio(self) -> float:
        """Ratio below which nine runs of ten end."""
        return self._high_ratio

    @property
    def safe_ratio(self) -> float:
        """Ratio below which a run ends unless it is among the longest few of 100."""
        return self._safe_ratio

    @property
    def tail_fraction(self) -> float:
        """Fraction of the runs that belong to the tail."""
        return self._tail_fraction

    def add(self, log_ratio: float) -> None:
        """Adds the log of an actual over its expected run time."""
        position = int((log_ratio + _MAX_LOG_RATIO) / _BIN_WIDTH + 0.5)
        self._bins[max(0, min(_BIN_COUNT - 1, position))] += self._weight
        self._weight *= self._growth
        self._sample_count += 1
        self._until_refresh -= 1
        if not self._until_refresh:
            self._until_refresh = _REFRESH_SAMPLES
            self._refresh()

    def quantile(self, probability: float) -> float:
        """Returns the ratio below which a run ends with a probability."""
        if self._sample_count < MIN_SAMPLES:
            return math.exp(
                _DEFAULT_LOG_SPREAD * (2 * probability - 1) / (2 * HIGH_PROBABILITY - 1)
            )
        limit = probability * sum(self._bins)
        sums = itertools.accumulate(self._bins)
        position = next(
            (index for index, total in enumerate(sums) if total >= limit),
            _BIN_COUNT - 1,
        )
        return math.exp(position * _BIN_WIDTH - _MAX_LOG_RATIO)

    def _refresh(self) -> None:
        if self._weight > _MAX_WEIGHT:
            self._bins = [count / self._weight for count in self._bins]
            self._weight = 1.0
        self._low_ratio = self.quantile(LOW_PROBABILITY)
        self._high_ratio = self.quantile(HIGH_PROBABILITY)
        self._safe_ratio = self.quantile(SAFE_PROBABILITY)
        first = math.ceil((self._tail_log + _MAX_LOG_RATIO) / _BIN_WIDTH)
        total = sum(self._bins)
        tail = sum(self._bins[first:]) / total
        self._tail_fraction = max(_DEFAULT_TAIL_FRACTION, tail)
