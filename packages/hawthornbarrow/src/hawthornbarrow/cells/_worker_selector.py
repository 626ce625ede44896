"""WorkerSelector: chooses the worker that runs a task."""

import collections.abc
import math

from hawthornbarrow.cells._job_record import JobRecord
from hawthornbarrow.cells._parts import (
    Step,
)
from hawthornbarrow.cells._run_times import RunTimes
from hawthornbarrow.cells._worker_view import WorkerView

_SPEED_CLASS_WIDTH = 0.12  # width in log speed; workers within one class are equal
_REMOTE_RACK_PENALTY = 0.5  # log of the run time factor away from the data's rack


class WorkerSelector:
    """Prefers the workers that finish a task soonest, then those with most free CPU.

    Args:
        run_times: Expected run times.
    """

    def __init__(self, *, run_times: RunTimes) -> None:
        """Initializes a selector with expected run times."""
        self._run_times = run_times

    def speed_class(self, worker: WorkerView) -> int:
        """Returns the speed class of a worker; lower is faster."""
        slowness = self._run_times.slowness(worker.record.upstream)
        return round(math.log(slowness) / _SPEED_CLASS_WIDTH)

    def choose(
        self,
        job: JobRecord,
        step: int,
        index: int,
        workers: collections.abc.Iterable[tuple[int, WorkerView]],
    ) -> WorkerView | None:
        """Returns the worker for a task, or None when none has free capacity.

        Args:
            job: The job.
            step: Position of the step.
            index: Position of the task in the step.
            workers: Pairs of the speed class and a worker that accepts new tasks.
        """
        step_request = job.document.steps[step]
        avoided = job.tasks[step][index].avoided
        best: WorkerView | None = None
        best_key: tuple = ()
        for speed_class, worker in workers:
            if not step_request.each.fits_into(worker.free):
                continue
            if worker.health.is_on_probation and worker.runs:
                continue
            if not self._is_allowed(job, step, step_request, worker):
                continue
            is_remote = (
                bool(step_request.rack)
                and step_request.rack not in worker.record.labels
            )
            key = (
                worker.agent in avoided,
                speed_class + (is_remote * _REMOTE_RACK_PENALTY / _SPEED_CLASS_WIDTH),
                -worker.free.cpu,
            )
            if best is None or key < best_key:
                best, best_key = worker, key
        return best

    def _is_allowed(
        self, job: JobRecord, step: int, step_request: Step, worker: WorkerView
    ) -> bool:
        if step_request.label and step_request.label not in worker.record.labels:
            return False
        if step_request.most_on_worker:
            return job.count_on(step, worker.agent) < step_request.most_on_worker
        return True
