"""WorkerSelector: chooses the worker that runs a task."""

import collections.abc

from hawthornbarrow.cells._job_record import JobRecord
from hawthornbarrow.cells._parts import (
    Step,
)
from hawthornbarrow.cells._run_time_model import SPEED_CLASS_WIDTH
from hawthornbarrow.cells._worker_view import WorkerView

_REMOTE_RACK_PENALTY = 0.5  # log of the run time factor away from the data's rack


class WorkerSelector:
    """Prefers workers that finish a task soonest, then those with the most free CPU.

    Workers that the task should avoid are chosen only when no other one has capacity.

    Args:
        suspect_after_s: Silence after which a worker gets no new tasks.
    """

    def __init__(self, *, suspect_after_s: float) -> None:
        """Initializes a selector."""
        self._suspect_after_s = suspect_after_s

    def choose(
        self,
        job: JobRecord,
        step: int,
        index: int,
        candidates: collections.abc.Iterable[tuple[int, WorkerView]],
        now_s: float,
    ) -> WorkerView | None:
        """Returns the worker for a task, or None when none has free capacity.

        Args:
            job: The job.
            step: Position of the step.
            index: Position of the task in the step.
            candidates: Pairs of the speed class and a worker of the job's service, by
                speed class, then those with the most free CPU first.
            now_s: Current time.
        """
        step_request = job.document.steps[step]
        avoided = job.tasks[step][index].avoided
        best: WorkerView | None = None
        best_key: tuple = ()
        for speed_class, worker in candidates:
            if best is not None and best_key[:2] <= (False, speed_class):
                # None of those that follow can be preferred to it.
                break
            if not step_request.each.fits_into(worker.free):
                continue
            if not self.may_run(job, step, worker, now_s):
                continue
            is_remote = (
                bool(step_request.rack)
                and step_request.rack not in worker.record.labels
            )
            key = (
                worker.agent in avoided,
                speed_class + (is_remote * _REMOTE_RACK_PENALTY / SPEED_CLASS_WIDTH),
                -worker.free.cpu,
            )
            if best is None or key < best_key:
                best, best_key = worker, key
        return best

    def may_run(
        self, job: JobRecord, step: int, worker: WorkerView, now_s: float
    ) -> bool:
        """Returns whether a worker may run a task of a step, if it has the capacity."""
        if not worker.accepts_work(now_s, self._suspect_after_s):
            return False
        return self._is_allowed(job, step, job.document.steps[step], worker)

    def _is_allowed(
        self, job: JobRecord, step: int, step_request: Step, worker: WorkerView
    ) -> bool:
        if step_request.label and step_request.label not in worker.record.labels:
            return False
        if step_request.most_on_worker:
            return job.count_on(step, worker.agent) < step_request.most_on_worker
        return True
