"""RunTimeModel: what is known of run times and of the speeds of workers."""

import abc
import math

from hawthornbarrow.cells._parts import WorkerRecord

SPEED_CLASS_WIDTH = 0.12  # in log slowness; workers of one class count as equally fast


class RunTimeModel(abc.ABC):
    """Predicts run times by queue and worker from the runs that have ended.

    Workers are named by their speed key, see `WorkerView.speed_key`.
    """

    @abc.abstractmethod
    def expected_s(self, queue: str, estimated_s: float) -> float:
        """Returns the expected run time on a worker of average speed.

        It is proportional to the estimate, so it also holds for sums.
        """

    def expected_task_s(self, queue: str, estimated_s: float) -> float:
        """Returns the expected run time of one task on a worker of average speed."""
        return self.expected_s(queue, estimated_s)

    @abc.abstractmethod
    def slowness(self, worker: str) -> float:
        """Returns the ratio of a worker's run times to the expected ones."""

    @abc.abstractmethod
    def speed_class(self, worker: str) -> int:
        """Returns the speed class of a worker; lower is faster."""

    @abc.abstractmethod
    def record_overrun(self, worker: str, factor: float) -> None:
        """Raises a worker's slowness for a run ``factor`` times as long as expected."""

    def add_worker(self, worker: str, record: WorkerRecord) -> None:  # noqa: B027
        """Takes a worker that attaches into account."""

    def remove_worker(self, worker: str) -> None:  # noqa: B027
        """Takes into account that a worker is not attached any more."""

    def update(self, now_s: float) -> None:  # noqa: B027
        """Runs periodic maintenance."""

    @property
    def gauges(self) -> dict[str, int]:
        """Values for operators by name."""
        return {}


def class_slowness(speed_class: int) -> float:
    """Returns the slowness in the middle of a speed class."""
    return math.exp(speed_class * SPEED_CLASS_WIDTH)
