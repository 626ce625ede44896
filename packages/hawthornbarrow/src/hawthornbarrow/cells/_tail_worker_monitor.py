"""TailWorkerMonitor: tells slow workers from runs of a long tail."""

import math

import structlog

from hawthornbarrow.cells._job_record import JobRecord
from hawthornbarrow.cells._parts import EndedRun
from hawthornbarrow.cells._rack_index import RackIndex
from hawthornbarrow.cells._release_rates import ReleaseRates
from hawthornbarrow.cells._tail_run_times import SLOW_RUN_FACTOR, TailRunTimes
from hawthornbarrow.cells._worker_monitor import WorkerMonitor
from hawthornbarrow.cells._worker_view import Run, WorkerView

_MIN_OVERDUE_S = 0.6
# Log of how much more probable a slow worker is to be than a long tail, from which it
# counts as slow. A slow worker is rare, so two runs of a tail of 3 in 100 do not do.
_SLOW_EVIDENCE = 8.0
# Probability that a run on a slow worker ends in a probable time all the same.
_TIMELY_ON_SLOW_WORKER = 0.1

_log = structlog.get_logger()


class TailWorkerMonitor(WorkerMonitor):
    """Weighs the overdue runs of a worker against its runs that ended in time.

    It handles a load in which some runs take many times the mean on healthy workers. An
    overdue run is as strong evidence of a slow worker as such runs are rare in its
    queue; a run that was started no earlier and has ended in time speaks against it.

    Args:
        run_times: Expected run times.
        index: The attached workers.
        releases: Receives the capacity that ended runs release.
    """

    def __init__(
        self, *, run_times: TailRunTimes, index: RackIndex, releases: ReleaseRates
    ) -> None:
        """Initializes a monitor with expected run times."""
        super().__init__(run_times=run_times)
        self._tail_run_times = run_times
        self._index = index
        self._releases = releases

    def on_run_ended(
        self,
        worker: WorkerView,
        run: Run,
        ended: EndedRun,
        record: JobRecord | None,
        now_s: float,
    ) -> None:
        """Updates run times, health and released capacity after a run ended."""
        super().on_run_ended(worker, run, ended, record, now_s)
        service = worker.record.service
        speed_class = self._tail_run_times.speed_class(worker.speed_key)
        cpu = run.needs.cpu
        self._releases.record_end((service, "", speed_class), cpu)
        for rack in self._index.tracked_racks(worker):
            self._releases.record_end((service, rack, speed_class), cpu)

    def detect_slow_runs(self, worker: WorkerView, now_s: float) -> None:
        """Raises a worker's slowness where its overdue runs are no long tail."""
        overdue = list(self._overdue_runs(worker, now_s).values())
        if not overdue:
            return
        first_s = min(run.started_at_s for run, _, _ in overdue)
        timely_count = sum(start_s >= first_s for start_s in worker.timely_starts_s)
        evidence = timely_count * math.log(_TIMELY_ON_SLOW_WORKER) - sum(
            math.log(tail_fraction) for _, _, tail_fraction in overdue
        )
        if evidence < _SLOW_EVIDENCE:
            return
        factor = min(factor for _, factor, _ in overdue)
        _log.info(
            "worker_slow",
            agent=worker.agent,
            upstream=worker.record.upstream,
            overdue_runs=len(overdue),
            timely_runs=timely_count,
            factor=round(factor, 2),
            evidence=round(evidence, 1),
        )
        self._tail_run_times.record_overrun(worker.speed_key, factor)

    def _overdue_runs(
        self, worker: WorkerView, now_s: float
    ) -> dict[str, tuple[Run, float, float]]:
        """Returns overdue runs with their relative run times and tail fractions.

        There is one run of each job, as its estimate may be off for all of them.
        """
        slowness = self._tail_run_times.slowness(worker.speed_key)
        overdue = {}
        for run in worker.runs.values():
            ran_s = now_s - run.started_at_s
            if ran_s <= _MIN_OVERDUE_S * slowness or not run.expected_s:
                continue
            if run.is_stopping:
                continue
            expected_s = run.expected_s * self._remote_factor(run)
            if ran_s > expected_s * SLOW_RUN_FACTOR * slowness:
                tail_fraction = self._tail_run_times.tail_fraction(run.queue)
                overdue[run.task.job] = (run, ran_s / expected_s, tail_fraction)
        return overdue

    def _remote_factor(self, run: Run) -> float:
        return self._tail_run_times.remote_factor(run.queue) if run.is_remote else 1.0

    def _learn(
        self, worker: WorkerView, run: Run, ended: EndedRun, record: JobRecord
    ) -> None:
        if self._is_timely(worker, run, ended.run_s):
            worker.timely_starts_s.append(run.started_at_s)
        if run.task.index % 2 and self._tail_run_times.is_well_known(worker.speed_key):
            # The tasks of a job share the error of its estimate, so half of them say
            # almost as much as all.
            return
        self._tail_run_times.learn(
            record.queue.name,
            worker.speed_key,
            record.document.steps[ended.task.step].estimated_s,
            ended.run_s,
            is_remote=run.is_remote,
        )

    def _is_timely(self, worker: WorkerView, run: Run, run_s: float) -> bool:
        limit_s = run.expected_s * SLOW_RUN_FACTOR
        if run_s <= limit_s or run_s <= _MIN_OVERDUE_S:
            return True
        slowness = self._tail_run_times.slowness(worker.speed_key)
        return run_s <= limit_s * slowness * self._remote_factor(run)
