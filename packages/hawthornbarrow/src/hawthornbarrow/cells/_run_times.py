"""RunTimes: expected run times, learned from completed runs."""

import math

from hawthornbarrow.cells._run_time_model import SPEED_CLASS_WIDTH, RunTimeModel

_WORKER_WEIGHT = 0.08
_QUEUE_WEIGHT = 0.02
_MAX_LOG_RATIO = 3.0


class RunTimes(RunTimeModel):
    """Learns the bias of callers' estimates by queue and the slowness of each worker.

    Both are factors on the estimate, stored as exponentially weighted means of
    logarithms.
    """

    def __init__(self) -> None:
        """Initializes all factors to one."""
        self._queues: dict[str, float] = {}
        self._workers: dict[str, float] = {}

    def expected_s(self, queue: str, estimated_s: float) -> float:
        """Returns the expected run time on a worker of average speed."""
        return estimated_s * math.exp(self._queues.get(queue, 0.0))

    def slowness(self, worker: str) -> float:
        """Returns the ratio of a worker's run times to the expected ones."""
        return math.exp(self._workers.get(worker, 0.0))

    def speed_class(self, worker: str) -> int:
        """Returns the speed class of a worker; lower is faster."""
        return round(self._workers.get(worker, 0.0) / SPEED_CLASS_WIDTH)

    def learn(self, queue: str, worker: str, estimated_s: float, run_s: float) -> None:
        """Updates both factors with the run time of a completed task."""
        if estimated_s <= 0 or run_s <= 0:
            return
        ratio = math.log(run_s / estimated_s)
        ratio = max(-_MAX_LOG_RATIO, min(_MAX_LOG_RATIO, ratio))
        bias = self._queues.get(queue, 0.0)
        slow = self._workers.get(worker, 0.0)
        self._queues[queue] = bias + _QUEUE_WEIGHT * (ratio - slow - bias)
        self._workers[worker] = slow + _WORKER_WEIGHT * (ratio - bias - slow)

    def record_overrun(self, worker: str, factor: float) -> None:
        """Raises a worker's slowness for a run ``factor`` times as long as expected."""
        slow = self._workers.get(worker, 0.0)
        observed = min(_MAX_LOG_RATIO, math.log(max(1.0, factor)))
        self._workers[worker] = max(slow, (slow + observed) / 2)
