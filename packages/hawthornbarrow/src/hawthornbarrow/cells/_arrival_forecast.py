"""ArrivalForecast: predicts the work that arrives in each queue."""

import collections
import dataclasses
import itertools
import math

_BIN_S = 0.1
_BURST_BINS = (2, 3, 5)  # bins that are compared with the level; few for 0.3 s
_LEVEL_WEIGHT = 0.05  # per bin
_TREND_WEIGHT = 0.02  # per bin
_MAX_TREND_S = 1.0  # a trend is not followed beyond this time
_BURST_DEVIATIONS = 4.0
_SEASON_BINS = 5  # bins of the level per bin of the history
_SEASON_BIN_S = _BIN_S * _SEASON_BINS
_HISTORY_BINS = 120  # of _SEASON_BIN_S
_MIN_PERIODS = 2.0  # that the history must contain
_PERIODS_S = tuple(period / 2 for period in range(8, 61))
# Tried with each new bin of the history, by all queues and by one at most.
_PERIODS_PER_BIN = 56
_MAX_PERIODS_PER_BIN = 14
_MIN_EXPLAINED = 0.25  # part of the history's variance
_MIN_EVIDENCE = 9.0  # n/2 x explained part; noise gives it once in 150 scans
_ERROR_WEIGHT = 0.1  # per bin of the history
_LOOK_AHEAD_BINS = 2  # bins of the history over which forecasts are compared
_MAX_QUEUES = 256


@dataclasses.dataclass(frozen=True, kw_only=True)
class ArrivalRate:
    """Predicted arrival of work in a queue.

    Attributes:
        rate_cores: Core-seconds of work per second.
        error_cores: Standard error of the rate over the next second.
        usual_cores: Mean rate over the last minute.
        period_s: Period of the variation that the prediction follows, zero for none.
    """

    rate_cores: float = 0.0
    error_cores: float = 0.0
    usual_cores: float = 0.0
    period_s: float = 0.0


class ArrivalForecast:
    """Predicts the arrival of work by queue.

    It handles bursts, which it notices within 0.3 s, and demand that rises, falls or
    swings. Queues beyond 256 replace the queue whose last job arrived first.
    """

    def __init__(self) -> None:
        """Initializes a forecast without queues, which predicts no arrivals."""
        self._queues: collections.OrderedDict[str, _QueueForecast] = (
            collections.OrderedDict()
        )
        self._burst_count = 0

    @property
    def burst_count(self) -> int:
        """Number of sudden changes of a level."""
        return self._burst_count

    @property
    def _period_count(self) -> int:
        return min(_MAX_PERIODS_PER_BIN, 1 + _PERIODS_PER_BIN // len(self._queues))

    def record(self, queue: str, core_s: float, now_s: float) -> None:
        """Records that a job of some work arrived."""
        forecast = self._queues.get(queue)
        if forecast is None:
            forecast = self._queues[queue] = _QueueForecast(now_s=now_s)
            if len(self._queues) > _MAX_QUEUES:
                self._queues.popitem(last=False)
        self._queues.move_to_end(queue)
        self._burst_count += forecast.advance(now_s, self._period_count)
        forecast.add(core_s)

    def predict(self, queue: str, now_s: float, ahead_s: float = 0.0) -> ArrivalRate:
        """Returns the predicted rate of arrival.

        Args:
            queue: Name of the queue.
            now_s: Current time.
            ahead_s: Time from now for which the rate is predicted.
        """
        forecast = self._queues.get(queue)
        if forecast is None:
            return ArrivalRate()
        self._burst_count += forecast.advance(now_s, self._period_count)
        return forecast.predict(ahead_s)


class _QueueForecast:
    """Level, trend and periodic variation of the arrivals in one queue."""

    def __init__(self, *, now_s: float) -> None:
        self._bin_end_s = now_s + _BIN_S
        self._bin_core_s = 0.0
        self._bin_squares = 0.0
        self._short: collections.deque[float] = collections.deque(
            maxlen=_BURST_BINS[-1]
        )
        self._level = 0.0
        self._squares = 0.0
        self._trend = 0.0
        self._bin_count = 0
        self._season = _Season()

    def add(self, core_s: float) -> None:
        """Adds the work of a job to the current bin."""
        self._bin_core_s += core_s
        self._bin_squares += core_s**2

    def advance(self, now_s: float, period_count: int) -> int:
        """Closes the bins that have ended; returns the number of sudden changes.

        Args:
            now_s: Current time.
            period_count: Number of periods to try with each bin of the history.
        """
        changes = 0
        if now_s - self._bin_end_s > _HISTORY_BINS * _SEASON_BIN_S:
            self.__init__(now_s=now_s)
        while self._bin_end_s <= now_s:
            changes += self._close_bin(period_count)
            self._bin_end_s += _BIN_S
        return changes

    def predict(self, ahead_s: float) -> ArrivalRate:
        """Returns the predicted rate after some time."""
        error = math.sqrt(self._squares)
        rate = self._level
        if abs(self._trend) * _MAX_TREND_S > error:
            rate += self._trend * min(ahead_s, _MAX_TREND_S)
        change = self._season.change(ahead_s)
        return ArrivalRate(
            rate_cores=max(0.0, rate + change),
            error_cores=error,
            usual_cores=self._season.mean_rate(self._level),
            period_s=self._season.period_s if self._season.is_trusted else 0.0,
        )

    def _close_bin(self, period_count: int) -> int:
        rate = self._bin_core_s / _BIN_S
        squares = self._bin_squares / _BIN_S
        self._short.append(rate)
        self._bin_count += 1
        self._bin_core_s = self._bin_squares = 0.0
        # The first bins count fully, so that an empty history does not bias the level.
        weight = max(_LEVEL_WEIGHT, 1 / self._bin_count)
        former = self._level
        self._level += weight * (rate - self._level)
        self._squares += weight * (squares - self._squares)
        if self._bin_count > 1 / _LEVEL_WEIGHT:
            change = (self._level - former) / _BIN_S
            self._trend += _TREND_WEIGHT * (change - self._trend)
        is_sudden = self._follow_sudden_change(former)
        self._season.add_bin(rate, self._level, period_count)
        return int(is_sudden)

    def _follow_sudden_change(self, former: float) -> bool:
        """Moves the level to that of the last bins if chance does not explain them."""
        if self._bin_count <= _BURST_BINS[-1]:
            return False
        strongest, count = max(
            (self._deviations(former, bins), bins) for bins in _BURST_BINS
        )
        if strongest < _BURST_DEVIATIONS:
            return False
        self._level = self._mean_of_last(count)
        if former > 0:
            self._squares *= max(0.1, min(10.0, self._level / former))
        self._trend = 0.0
        # The level is the mean of the bins since the change until enough have passed.
        self._bin_count = count
        return True

    def _deviations(self, level: float, bins: int) -> float:
        """Returns by how many standard deviations the last bins differ from a level."""
        variance = max(self._squares, 1e-12) / (bins * _BIN_S)
        return abs(self._mean_of_last(bins) - level) / math.sqrt(variance)

    def _mean_of_last(self, bins: int) -> float:
        return sum(itertools.islice(reversed(self._short), bins)) / bins


class _Season:
    """Detects a periodic variation in a history of rates and extrapolates it.

    A sine of each of the candidate periods is fitted to the history in turn. The best
    one counts while forecasts with it were better than those with the level alone.
    """

    def __init__(self) -> None:
        self._history: collections.deque[float] = collections.deque(
            maxlen=_HISTORY_BINS
        )
        self._sum = 0.0
        self._part_count = 0
        self._next_period = 0
        self._best: tuple[float, float] = (0.0, 0.0)
        self._fit: tuple[float, float, float] | None = None
        self._forecasts: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=_LOOK_AHEAD_BINS + 1
        )
        self._level_error = 0.0
        self._season_error = 0.0

    @property
    def period_s(self) -> float:
        """Period of the variation, zero when there is none."""
        return self._fit[0] if self._fit else 0.0

    @property
    def is_trusted(self) -> bool:
        """Whether forecasts with the variation are better than without."""
        return self._fit is not None and self._season_error < self._level_error

    def add_bin(self, rate: float, level: float, period_count: int) -> None:
        """Adds the rate of one short bin, and the level after it."""
        self._sum += rate
        self._part_count += 1
        if self._part_count < _SEASON_BINS:
            return
        self._history.append(self._sum / _SEASON_BINS)
        self._sum, self._part_count = 0.0, 0
        self._scan(period_count)
        self._compare(level)

    def mean_rate(self, otherwise: float) -> float:
        """Returns the mean rate of the history, or another one if it is empty."""
        count = len(self._history)
        return sum(self._history) / count if count else otherwise

    def change(self, ahead_s: float) -> float:
        """Returns by how much the rate will have changed after some time."""
        return self._fitted_change(ahead_s) if self.is_trusted else 0.0

    def _fitted_change(self, ahead_s: float) -> float:
        if self._fit is None:
            return 0.0
        period_s, cosine, sine = self._fit
        angle = 2 * math.pi * ahead_s / period_s
        # Cosine and sine are those at the newest bin.
        return cosine * (math.cos(angle) - 1) + sine * math.sin(angle)

    def _compare(self, level: float) -> None:
        """Compares the newest rate with the forecasts made for it."""
        actual = self._history[-1]
        if len(self._forecasts) > _LOOK_AHEAD_BINS:
            with_level, with_season = self._forecasts[0]
            for name, forecast in (
                ("_level_error", with_level),
                ("_season_error", with_season),
            ):
                error = getattr(self, name)
                error += _ERROR_WEIGHT * ((actual - forecast) ** 2 - error)
                setattr(self, name, error)
        change = self._fitted_change(_LOOK_AHEAD_BINS * _SEASON_BIN_S)
        self._forecasts.append((level, level + change))

    def _scan(self, period_count: int) -> None:
        """Tries some of the periods, and after all of them takes the best one."""
        count = len(self._history)
        mean = sum(self._history) / count
        variance = sum((rate - mean) ** 2 for rate in self._history)
        if variance <= 0:
            return
        for _ in range(period_count):
            period_s = _PERIODS_S[self._next_period]
            if count * _SEASON_BIN_S >= _MIN_PERIODS * period_s:
                cosine, sine = self._project(period_s, mean)
                explained = count / 2 * (cosine**2 + sine**2) / variance
                self._best = max(self._best, (explained, period_s))
            self._next_period = (self._next_period + 1) % len(_PERIODS_S)
            if self._next_period == 0:
                self._take_best(count)
        if self._fit is not None:
            self._fit = (self._fit[0], *self._project(self._fit[0], mean))

    def _take_best(self, count: int) -> None:
        explained, period_s = self._best
        self._best = (0.0, 0.0)
        if explained < _MIN_EXPLAINED or explained * count / 2 < _MIN_EVIDENCE:
            self._fit = None
        elif self._fit is None or self._fit[0] != period_s:
            self._fit = (period_s, 0.0, 0.0)

    def _project(self, period_s: float, mean: float) -> tuple[float, float]:
        """Returns the cosine and sine parts of a period, at the newest bin."""
        angle = 2 * math.pi * _SEASON_BIN_S / period_s
        step_cosine, step_sine = math.cos(angle), math.sin(angle)
        cosine, sine = 1.0, 0.0
        cosine_sum = sine_sum = 0.0
        for rate in reversed(self._history):
            cosine_sum += (rate - mean) * cosine
            sine_sum -= (rate - mean) * sine
            cosine, sine = (
                cosine * step_cosine - sine * step_sine,
                sine * step_cosine + cosine * step_sine,
            )
        count = len(self._history)
        return 2 * cosine_sum / count, 2 * sine_sum / count
