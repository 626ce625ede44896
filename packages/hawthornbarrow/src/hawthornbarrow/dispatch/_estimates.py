"""Run-time estimates; declared run times count only until a task has been observed."""

import dataclasses
import enum

DEFAULT_RUN_S = 0.2
MAX_SHORT_RUN_S = 0.25
MAX_MEDIUM_RUN_S = 1.0
_MIN_SAMPLE_WEIGHT = 0.05
_QUANTILE = 0.9
_QUANTILE_STEP_FRACTION = 0.05


class RunTimeClass(enum.StrEnum):
    """Class of a service's tasks by the learned upper quantile of their run time."""

    SHORT = "short"
    MEDIUM = "medium"
    LONG = "long"


@dataclasses.dataclass(kw_only=True)
class _RunTimeStatistics:
    mean_s: float
    quantile_s: float
    samples: int


class RunTimeEstimator:
    """Estimates the mean and an upper quantile of run times by member and service.

    The mean is exponentially weighted. The quantile follows the stochastic
    approximation of Robbins and Monro: each sample moves it up by q or down by
    1 - q of a step that is proportional to its value.
    """

    def __init__(self) -> None:
        """Initializes the estimator without samples."""
        self._statistics: dict[tuple[str, str], _RunTimeStatistics] = {}

    def observe(self, member: str, service: str, run_s: float) -> None:
        """Updates the estimates with one measured run time."""
        statistics = self._statistics.get((member, service))
        if statistics is None:
            self._statistics[member, service] = _RunTimeStatistics(
                mean_s=run_s, quantile_s=run_s, samples=1
            )
            return
        statistics.samples += 1
        weight = max(_MIN_SAMPLE_WEIGHT, 1 / statistics.samples)
        statistics.mean_s += weight * (run_s - statistics.mean_s)
        step_s = _QUANTILE_STEP_FRACTION * max(statistics.quantile_s, 0.001)
        if run_s > statistics.quantile_s:
            statistics.quantile_s += step_s * _QUANTILE
        else:
            statistics.quantile_s -= step_s * (1 - _QUANTILE)

    def mean_s(self, member: str, service: str, declared_s: float | None) -> float:
        """Returns the expected run time of a task in seconds."""
        statistics = self._statistics.get((member, service))
        if statistics is not None:
            return statistics.mean_s
        return declared_s if declared_s is not None else DEFAULT_RUN_S

    def run_time_class(self, member: str, service: str) -> RunTimeClass:
        """Returns the class of the member's tasks of this service."""
        statistics = self._statistics.get((member, service))
        quantile_s = statistics.quantile_s if statistics else DEFAULT_RUN_S
        if quantile_s <= MAX_SHORT_RUN_S:
            return RunTimeClass.SHORT
        if quantile_s <= MAX_MEDIUM_RUN_S:
            return RunTimeClass.MEDIUM
        return RunTimeClass.LONG
