"""DrainPolicy: finds runs that will probably not end before their upstream."""

import abc

from hawthornbarrow.cells._messages import WorkerReport
from hawthornbarrow.cells._tail_run_times import TailRunTimes
from hawthornbarrow.cells._worker_view import Run, WorkerView


class DrainPolicy(abc.ABC):
    """Decides which runs of a leaving worker are better started elsewhere at once."""

    @abc.abstractmethod
    def on_report(self, worker: WorkerView, report: WorkerReport, now_s: float) -> None:
        """Takes a report of a leaving worker into account."""

    @abc.abstractmethod
    def unfinishable_runs(self, worker: WorkerView, now_s: float) -> list[Run]:
        """Returns the runs that will probably not end before the upstream."""


class KeepRunsPolicy(DrainPolicy):
    """Lets all runs of a leaving worker go on."""

    def on_report(self, worker: WorkerView, report: WorkerReport, now_s: float) -> None:
        """Ignores a report."""

    def unfinishable_runs(self, worker: WorkerView, now_s: float) -> list[Run]:
        """Returns no runs."""
        return []


class RemainingTimePolicy(DrainPolicy):
    """Compares the probable ends of runs with the end that the upstream announced.

    It handles workers that leave while long tasks run there: a run that is cut off by
    the end of its upstream has lost the time until then.

    Args:
        run_times: Expected run times.
    """

    def __init__(self, *, run_times: TailRunTimes) -> None:
        """Stores the run times."""
        self._run_times = run_times

    def on_report(self, worker: WorkerView, report: WorkerReport, now_s: float) -> None:
        """Records until when the upstream lasts at least.

        A later report does not shorten the time, as it may have been delayed.
        """
        if not worker.is_leaving or report.remaining_s is None:
            return
        ends_at_s = now_s + max(0.0, report.remaining_s)
        if worker.ends_at_s is None or ends_at_s > worker.ends_at_s:
            worker.ends_at_s = ends_at_s

    def unfinishable_runs(self, worker: WorkerView, now_s: float) -> list[Run]:
        """Returns runs of which even a short probable run time takes too long."""
        if worker.ends_at_s is None or now_s >= worker.ends_at_s:
            return []
        slowness = self._run_times.slowness(worker.speed_key)
        return [
            run
            for run in worker.runs.values()
            if run.expected_s
            and not run.is_stopping
            and run.started_at_s + self._short_s(run) * slowness > worker.ends_at_s
        ]

    def _short_s(self, run: Run) -> float:
        """Returns a run time that the run probably exceeds, at middle speed."""
        low_ratio = self._run_times.distribution(run.queue).low_ratio
        factor = self._run_times.remote_factor(run.queue) if run.is_remote else 1.0
        return run.expected_s * low_ratio * factor
