"""WorkerChoice: chooses a worker with free capacity for a waiting task."""

import abc
import collections
import collections.abc

from hawthornbarrow.cells._job_record import JobRecord
from hawthornbarrow.cells._worker_pool import WorkerPool
from hawthornbarrow.cells._worker_selector import WorkerSelector
from hawthornbarrow.cells._worker_view import WorkerView

# Returns whether a worker may get tasks of a queue that are not suspected.
WorkerFilter = collections.abc.Callable[[WorkerView], bool]


class WorkerChoice(abc.ABC):
    """Chooses the worker on which a task starts now."""

    def begin_pass(self, now_s: float) -> None:  # noqa: B027
        """Begins a pass through the waiting tasks."""

    @abc.abstractmethod
    def choose(
        self,
        job: JobRecord,
        step: int,
        index: int,
        service: str,
        may_use: WorkerFilter | None,
        now_s: float,
    ) -> WorkerView | None:
        """Returns the worker for a task, or None where it has to wait.

        Args:
            job: The job.
            step: Position of the step.
            index: Position of the task in the step.
            service: Service of the workers.
            may_use: Workers that the job may use, None for all.
            now_s: Current time.
        """


class FastestWorkerChoice(WorkerChoice):
    """Prefers the fastest worker with free capacity, also for a short task.

    Args:
        pool: The attached workers.
        selector: Compares the workers.
    """

    def __init__(self, *, pool: WorkerPool, selector: WorkerSelector) -> None:
        """Stores the workers."""
        self._pool = pool
        self._selector = selector

    def choose(
        self,
        job: JobRecord,
        step: int,
        index: int,
        service: str,
        may_use: WorkerFilter | None,
        now_s: float,
    ) -> WorkerView | None:
        """Returns the fastest worker, the data's rack considered."""
        candidates = self._pool.candidates(service, job.document.steps[step].each.cpu)
        if may_use is not None:
            candidates = (pair for pair in candidates if may_use(pair[1]))
        return self._selector.choose(job, step, index, candidates, now_s)
