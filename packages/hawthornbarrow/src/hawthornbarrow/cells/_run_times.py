"""Expected run times, learned from the ends of runs."""

import math

_WORKER_WEIGHT = 0.08
_QUEUE_WEIGHT = 0.02
_MAX_LOG_RATIO = 3.0


class RunTimes:
    """Learns how far callers' estimates are off, and how slow each worker is.

    Both are factors on the estimate, kept as weighted means of logarithms.
    """

    def __init__(self) -> None:
        """Starts with the estimates as they are."""
        self._queues: dict[str, float] = {}
        self._workers: dict[str, float] = {}

    def expected_s(self, queue: str, estimated_s: float) -> float:
        """Returns the expected run time on a worker of usual speed."""
        return estimated_s * math.exp(self._queues.get(queue, 0.0))

    def slowness(self, worker: str) -> float:
        """Returns a worker's run times over the usual ones."""
        return math.exp(self._workers.get(worker, 0.0))

    def learn(self, queue: str, worker: str, estimated_s: float, run_s: float) -> None:
        """Takes the run time of a task that ended well."""
        if estimated_s <= 0 or run_s <= 0:
            return
        ratio = math.log(run_s / estimated_s)
        ratio = max(-_MAX_LOG_RATIO, min(_MAX_LOG_RATIO, ratio))
        bias = self._queues.get(queue, 0.0)
        slow = self._workers.get(worker, 0.0)
        self._queues[queue] = bias + _QUEUE_WEIGHT * (ratio - slow - bias)
        self._workers[worker] = slow + _WORKER_WEIGHT * (ratio - bias - slow)

    def suspect(self, worker: str, factor: float) -> None:
        """Takes note that a run on a worker lasts this much longer than expected."""
        slow = self._workers.get(worker, 0.0)
        seen = min(_MAX_LOG_RATIO, math.log(max(1.0, factor)))
        self._workers[worker] = max(slow, (slow + seen) / 2)

    def forget(self, worker: str) -> None:
        """Forgets a worker that has another upstream now."""
        self._workers.pop(worker, None)
