"""WorkerJudge: learns from runs which workers are slow, stalled or failing."""

import structlog

from hawthornbarrow.cells._job_record import JobRecord
from hawthornbarrow.cells._parts import EndedRun, RunOutcome
from hawthornbarrow.cells._run_times import RunTimes
from hawthornbarrow.cells._worker_view import Run, WorkerView

_STALL_FACTOR = 3.5  # of the expected run time
_STALL_LEAST_S = 0.6

_log = structlog.get_logger()


class WorkerJudge:
    """Keeps run times and the health of workers up to date.

    Args:
        run_times: Expected run times.
    """

    def __init__(self, *, run_times: RunTimes) -> None:
        """Keeps the run times."""
        self._run_times = run_times

    def take_end(
        self,
        worker: WorkerView,
        run: Run,
        ended: EndedRun,
        record: JobRecord | None,
        now_s: float,
    ) -> None:
        """Takes the end of a run.

        Args:
            worker: Where it ran.
            run: The run.
            ended: Its end.
            record: Its job, None when that is not known any more.
            now_s: Current time.
        """
        if ended.end is RunOutcome.DONE:
            worker.health.note_success()
            if record is not None and run.expected_s:
                step = record.document.steps[ended.task.step]
                self._run_times.learn(
                    record.queue.name,
                    worker.record.upstream,
                    step.estimated_s,
                    ended.run_s,
                )
        elif ended.end in (RunOutcome.FAILED, RunOutcome.REFUSED, RunOutcome.LOST):
            is_ejected = worker.health.note_failure(ended.task.job, now_s)
            _log.warning(
                "run_failed",
                job=ended.task.job,
                task=str(ended.task),
                attempt=ended.attempt,
                agent=worker.agent,
                end=ended.end.value,
                reason=ended.reason,
                ejected=is_ejected,
            )

    def take_stall(self, worker: WorkerView, run: Run, now_s: float) -> None:
        """Takes note of a run that makes no progress."""
        is_ejected = worker.health.note_failure(run.task.job, now_s)
        _log.warning(
            "run_stalled",
            job=run.task.job,
            task=str(run.task),
            agent=worker.agent,
            expected_s=round(run.expected_s, 3),
            ran_s=round(now_s - run.started_at_s, 3),
            ejected=is_ejected,
        )

    def suspect_slow(self, worker: WorkerView, now_s: float) -> None:
        """Takes note of runs that last far longer than expected."""
        for run in worker.runs.values():
            if not run.expected_s or run.is_stopping:
                continue
            slowness = self._run_times.slowness(worker.record.upstream)
            limit_s = max(run.expected_s * _STALL_FACTOR, _STALL_LEAST_S) * slowness
            ran_s = now_s - run.started_at_s
            if ran_s > limit_s:
                self._run_times.suspect(worker.record.upstream, ran_s / run.expected_s)
