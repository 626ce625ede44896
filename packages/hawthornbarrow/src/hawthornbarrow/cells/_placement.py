"""Placement: which worker runs a task."""

import collections.abc
import math

from hawthornbarrow.cells._job_record import JobRecord
from hawthornbarrow.cells._parts import (
    Step,
)
from hawthornbarrow.cells._run_times import RunTimes
from hawthornbarrow.cells._worker_view import WorkerView

_SPEED_CLASS = 0.12  # workers this close in the logarithm of their speed are equal
_FAR_PENALTY = 0.5  # logarithm of the run time's factor away from the data


class Placement:
    """Prefers workers that end a task soonest, among equal ones the emptiest.

    Args:
        run_times: Expected run times.
    """

    def __init__(self, *, run_times: RunTimes) -> None:
        """Keeps the run times."""
        self._run_times = run_times

    def speed_class(self, worker: WorkerView) -> int:
        """Returns the class of a worker's speed; less is faster."""
        slowness = self._run_times.slowness(worker.record.upstream)
        return round(math.log(slowness) / _SPEED_CLASS)

    def choose(
        self,
        job: JobRecord,
        step: int,
        index: int,
        workers: collections.abc.Iterable[tuple[int, WorkerView]],
    ) -> WorkerView | None:
        """Returns the worker for a task, or None when none has room.

        Args:
            job: The job.
            step: Position of the step.
            index: Position of the task in the step.
            workers: Workers that may take work, each after its speed class.
        """
        wanted = job.document.steps[step]
        avoided = job.tasks[step][index].avoided
        best: WorkerView | None = None
        best_key: tuple = ()
        for speed_class, worker in workers:
            if not wanted.each.fits_into(worker.free):
                continue
            if worker.health.is_on_trial and worker.runs:
                continue
            if not self._is_allowed(job, step, wanted, worker):
                continue
            far = bool(wanted.rack) and wanted.rack not in worker.record.labels
            key = (
                worker.agent in avoided,
                speed_class + (far * _FAR_PENALTY / _SPEED_CLASS),
                -worker.free.cpu,
            )
            if best is None or key < best_key:
                best, best_key = worker, key
        return best

    def _is_allowed(
        self, job: JobRecord, step: int, wanted: Step, worker: WorkerView
    ) -> bool:
        if wanted.label and wanted.label not in worker.record.labels:
            return False
        if wanted.most_on_worker:
            return job.count_on(step, worker.agent) < wanted.most_on_worker
        return True
