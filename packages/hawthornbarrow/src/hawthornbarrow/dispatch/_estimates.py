"""Learned run times; what callers declare counts only until one task was seen."""

import dataclasses
import enum

DEFAULT_RUN_S = 0.2
SHORT_LIMIT_S = 0.25
MEDIUM_LIMIT_S = 1.0
_DECAY = 0.05
_QUANTILE = 0.9
_QUANTILE_STEP = 0.05


class RunTimeClass(enum.StrEnum):
    """Class of a service's tasks by their learned upper quantile."""

    SHORT = "short"
    MEDIUM = "medium"
    LONG = "long"


@dataclasses.dataclass(kw_only=True)
class _Learned:
    mean_s: float
    quantile_s: float
    samples: int


class RunTimeEstimator:
    """Decaying mean and upper quantile of run times by member and service.

    The quantile follows the stochastic approximation of Robbins and Monro: each
    sample moves it up by q or down by 1 - q of a step relative to its value.
    """

    def __init__(self) -> None:
        """Starts without samples."""
        self._learned: dict[tuple[str, str], _Learned] = {}

    def observe(self, member: str, service: str, run_s: float) -> None:
        """Takes one measured run time."""
        learned = self._learned.get((member, service))
        if learned is None:
            self._learned[member, service] = _Learned(
                mean_s=run_s, quantile_s=run_s, samples=1
            )
            return
        learned.samples += 1
        weight = max(_DECAY, 1 / learned.samples)
        learned.mean_s += weight * (run_s - learned.mean_s)
        step_s = _QUANTILE_STEP * max(learned.quantile_s, 0.001)
        if run_s > learned.quantile_s:
            learned.quantile_s += step_s * _QUANTILE
        else:
            learned.quantile_s -= step_s * (1 - _QUANTILE)

    def mean_s(self, member: str, service: str, declared_s: float | None) -> float:
        """Returns the expected run time of a task in seconds."""
        learned = self._learned.get((member, service))
        if learned is not None:
            return learned.mean_s
        return declared_s if declared_s is not None else DEFAULT_RUN_S

    def run_time_class(self, member: str, service: str) -> RunTimeClass:
        """Returns the class of the member's tasks of this service."""
        learned = self._learned.get((member, service))
        quantile_s = learned.quantile_s if learned else DEFAULT_RUN_S
        if quantile_s <= SHORT_LIMIT_S:
            return RunTimeClass.SHORT
        if quantile_s <= MEDIUM_LIMIT_S:
            return RunTimeClass.MEDIUM
        return RunTimeClass.LONG
