"""TailRunTimes: run times with long tails on workers of uneven speeds."""

import dataclasses
import math

from hawthornbarrow.cells._estimate_regression import EstimateRegression
from hawthornbarrow.cells._parts import WorkerRecord
from hawthornbarrow.cells._run_time_distribution import RunTimeDistribution
from hawthornbarrow.cells._run_time_model import RunTimeModel
from hawthornbarrow.cells._worker_speeds import WorkerSpeeds

SLOW_RUN_FACTOR = 3.5  # times the expected run time, from which a run is in the tail
DEFAULT_REMOTE_LOG = 0.5  # log of the run time factor away from the data's rack
_REMOTE_GAIN = 0.01
_REMOTE_PRIOR_SAMPLES = 10.0
_REMOTE_KNOWN_SAMPLES = 50  # remote runs after which they show the speed of workers
_MAX_LOG_RATIO = 3.0
_UPDATE_INTERVAL_S = 1.0
_SLOW_CLASSES = 2  # classes from the middle one, from which a worker counts as slow


@dataclasses.dataclass(kw_only=True)
class _QueueRunTimes:
    """What is known of a queue.

    Attributes:
        regression: Log of run times near the data on a worker of learned log slowness
            zero, by the log of the estimate.
        remote_log: Log of remote over local run times.
        remote_count: Number of remote runs.
        distribution: Actual over expected run times.
    """

    regression: EstimateRegression
    remote_log: float = DEFAULT_REMOTE_LOG
    remote_count: int = 0
    distribution: RunTimeDistribution


class TailRunTimes(RunTimeModel):
    """Learns by queue the distribution of run times, and by worker a speed.

    It handles workers of uneven speeds, long tails and racks: a run is explained by
    its queue's bias, its worker's speed and the factor away from the data's rack. A
    run of the tail changes the speed of its worker by a bounded amount only.
    """

    def __init__(self) -> None:
        """Initializes run times without runs."""
        self._queues: dict[str, _QueueRunTimes] = {}
        self._speeds = WorkerSpeeds()
        self._updated_at_s = -math.inf
        # The last prediction, which is that for the other tasks of a step, too.
        self._prediction = ("", 0.0, 0.0)
        self._default = RunTimeDistribution(tail_factor=SLOW_RUN_FACTOR)

    @property
    def gauges(self) -> dict[str, int]:
        """Values for operators by name."""
        classes = self._speeds.attached_classes
        remote = [math.exp(queue.remote_log) for queue in self._queues.values()]
        return {
            "speed_classes": len(set(classes)),
            "slow_workers": sum(item >= _SLOW_CLASSES for item in classes),
            "remote_factor_percent": round(100 * max(remote, default=1.0)),
        }

    def expected_s(self, queue: str, estimated_s: float) -> float:
        """Returns the expected run time near the data on a worker of middle speed."""
        known = self._queues.get(queue)
        if known is None:
            return estimated_s
        bias = known.regression.bias + self._speeds.reference
        return estimated_s * math.exp(bias)

    def expected_task_s(self, queue: str, estimated_s: float) -> float:
        """Returns the expected run time of a task, by what estimates are worth.

        It is not proportional to the estimate, so it does not hold for sums.
        """
        if self._prediction[:2] != (queue, estimated_s):
            predicted_s = self._predict_s(queue, estimated_s)
            self._prediction = (queue, estimated_s, predicted_s)
        return self._prediction[2]

    def class_slowness(self, speed_class: int) -> float:
        """Returns the mean slowness of the workers of a class."""
        return self._speeds.class_slowness(speed_class)

    def remote_factor(self, queue: str) -> float:
        """Returns the ratio of run times away from the data's rack to those near it."""
        known = self._queues.get(queue)
        return math.exp(known.remote_log if known else DEFAULT_REMOTE_LOG)

    def distribution(self, queue: str) -> RunTimeDistribution:
        """Returns the distribution of actual over expected run times of a queue."""
        known = self._queues.get(queue)
        return known.distribution if known else self._default

    def tail_fraction(self, queue: str) -> float:
        """Returns the fraction of a queue's runs that exceed SLOW_RUN_FACTOR."""
        return self.distribution(queue).tail_fraction

    def add_worker(self, worker: str, record: WorkerRecord) -> None:
        """Takes a worker that attaches into account."""
        self._speeds.add(worker, record)

    def remove_worker(self, worker: str) -> None:
        """Takes into account that a worker is not attached any more."""
        self._speeds.remove(worker)

    def update(self, now_s: float) -> None:
        """Relates the speeds to the worker in the middle."""
        if now_s - self._updated_at_s >= _UPDATE_INTERVAL_S:
            self._updated_at_s = now_s
            self._speeds.update()
            self._prediction = ("", 0.0, 0.0)

    def learn(
        self,
        queue: str,
        worker: str,
        estimated_s: float,
        run_s: float,
        *,
        is_remote: bool,
    ) -> None:
        """Updates what is known with the run time of a completed task.

        Args:
            queue: Name of its queue.
            worker: Speed key of its worker.
            estimated_s: The caller's estimate of its run time.
            run_s: Its run time.
            is_remote: Whether it ran away from the rack of its data.
        """
        if estimated_s <= 0 or run_s <= 0:
            return
        self._prediction = ("", 0.0, 0.0)
        known = self._queues.get(queue)
        if known is None:
            known = self._queues[queue] = _QueueRunTimes(
                distribution=RunTimeDistribution(tail_factor=SLOW_RUN_FACTOR),
                regression=EstimateRegression(),
            )
        log_estimate = math.log(estimated_s)
        predicted = known.regression.predict(log_estimate)
        ratio = math.log(run_s) - predicted
        ratio = max(-_MAX_LOG_RATIO, min(_MAX_LOG_RATIO, ratio))
        explained = self._speeds.log_slowness(worker) + self._speeds.reference
        if is_remote:
            residual = ratio - explained - known.remote_log
            self._learn_remote(known, residual)
            known.distribution.add(residual)
            if known.remote_count >= _REMOTE_KNOWN_SAMPLES:
                self._speeds.learn(worker, ratio - known.remote_log)
        else:
            known.distribution.add(ratio - explained)
            residual = self._speeds.learn(worker, ratio)
            known.regression.add(log_estimate, predicted + residual)

    def record_overrun(self, worker: str, factor: float) -> None:
        """Raises a worker's slowness for runs ``factor`` times as long as expected."""
        self._speeds.raise_to(worker, math.log(max(1.0, factor)))

    def _learn_remote(self, known: _QueueRunTimes, residual: float) -> None:
        known.remote_count += 1
        gain = max(_REMOTE_GAIN, 1 / (_REMOTE_PRIOR_SAMPLES + known.remote_count))
        known.remote_log += gain * max(-1.0, min(1.0, residual))
        # Remote runs are not shorter than local ones.
        known.remote_log = max(0.0, known.remote_log)

    def _predict_s(self, queue: str, estimated_s: float) -> float:
        known = self._queues.get(queue)
        if known is None or estimated_s <= 0:
            return estimated_s
        predicted = known.regression.predict(math.log(estimated_s))
        return math.exp(predicted + self._speeds.reference)

    def slowness(self, worker: str) -> float:
        """Returns the ratio of a worker's run times to the expected ones."""
        return self._speeds.slowness(worker)

    def is_well_known(self, worker: str) -> bool:
        """Returns whether a worker's speed was learned from many runs."""
        return self._speeds.is_well_known(worker)

    def speed_class(self, worker: str) -> int:
        """Returns the speed class of a worker; lower is faster."""
        return self._speeds.speed_class(worker)
