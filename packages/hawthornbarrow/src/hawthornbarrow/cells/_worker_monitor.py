"""WorkerMonitor: detects slow, stalled and failing workers from their runs."""

import structlog

from hawthornbarrow.cells._job_record import JobRecord
from hawthornbarrow.cells._parts import EndedRun, RunOutcome
from hawthornbarrow.cells._run_times import RunTimes
from hawthornbarrow.cells._worker_view import Run, WorkerView

_SLOW_RUN_FACTOR = 3.5  # times the expected run time, after which a run is slow
_MIN_SLOW_RUN_S = 0.6

_log = structlog.get_logger()


class WorkerMonitor:
    """Updates expected run times and worker health from the outcomes of runs.

    Args:
        run_times: Expected run times.
    """

    def __init__(self, *, run_times: RunTimes) -> None:
        """Initializes a monitor with expected run times."""
        self._run_times = run_times

    def on_run_ended(
        self,
        worker: WorkerView,
        run: Run,
        ended: EndedRun,
        record: JobRecord | None,
        now_s: float,
    ) -> None:
        """Updates run times and worker health after a run ended.

        Args:
            worker: Worker that ran it.
            run: The run.
            ended: Its outcome.
            record: Its job, None when the job is not known any more.
            now_s: Current time.
        """
        if ended.end is RunOutcome.DONE:
            worker.health.record_success()
            if record is not None and run.expected_s:
                self._learn(worker, run, ended, record)
        elif ended.end in (RunOutcome.FAILED, RunOutcome.REFUSED, RunOutcome.LOST):
            is_ejected = worker.health.record_failure(ended.task.job, now_s)
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

    def on_run_stalled(self, worker: WorkerView, run: Run, now_s: float) -> None:
        """Records a failure of the worker for a run that makes no progress."""
        is_ejected = worker.health.record_failure(run.task.job, now_s)
        _log.warning(
            "run_stalled",
            job=run.task.job,
            task=str(run.task),
            agent=worker.agent,
            expected_s=round(run.expected_s, 3),
            ran_s=round(now_s - run.started_at_s, 3),
            ejected=is_ejected,
        )

    def detect_slow_runs(self, worker: WorkerView, now_s: float) -> None:
        """Updates a worker's slowness from runs that far exceed their expected time."""
        slowness = self._run_times.slowness(worker.speed_key)
        for run in worker.runs.values():
            if not run.expected_s or run.is_stopping:
                continue
            limit_s = max(run.expected_s * _SLOW_RUN_FACTOR, _MIN_SLOW_RUN_S) * slowness
            ran_s = now_s - run.started_at_s
            if ran_s > limit_s:
                self._run_times.record_overrun(worker.speed_key, ran_s / run.expected_s)

    def _learn(
        self, worker: WorkerView, run: Run, ended: EndedRun, record: JobRecord
    ) -> None:
        """Updates run times after a run of a known job was completed."""
        step = record.document.steps[ended.task.step]
        self._run_times.learn(
            record.queue.name, worker.speed_key, step.estimated_s, ended.run_s
        )
