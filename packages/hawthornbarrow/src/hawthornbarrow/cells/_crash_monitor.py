"""CrashMonitor: reads from reports which upstreams crashed under which runs."""

import collections
import collections.abc

from hawthornbarrow.cells._crash_history import CrashCause, CrashedRun, CrashHistory
from hawthornbarrow.cells._messages import AttachWorker
from hawthornbarrow.cells._parts import ActiveRun, EndedRun
from hawthornbarrow.cells._queue_isolation import QueueIsolation
from hawthornbarrow.cells._worker_view import Run, WorkerView


class CrashMonitor:
    """Updates the crash history and the confined queues from reports.

    Args:
        history: Tasks under which upstreams crashed.
        isolation: Queues that are confined to some of the workers.
        counts: Event counters, in which crashes are counted.
    """

    def __init__(
        self,
        *,
        history: CrashHistory,
        isolation: QueueIsolation,
        counts: collections.Counter[str],
    ) -> None:
        """Initializes a monitor without reports."""
        self._history = history
        self._isolation = isolation
        self._counts = counts

    def on_ended_runs(
        self,
        ended_runs: collections.abc.Iterable[EndedRun],
        now_s: float,
        *,
        sent_at_s: float | None = None,
    ) -> None:
        """Processes the ended runs of a report.

        Args:
            ended_runs: The reported runs.
            now_s: Current time.
            sent_at_s: When the agent sent the report, on its clock, None if unknown.
        """
        runs: dict[str, list[CrashedRun]] = {}
        crashed_at_s: dict[str, float] = {}
        for ended in ended_runs:
            self._history.learn(ended.task, ended.crashes, now_s)
            if not ended.is_upstream_silent:
                self._history.explain_loss(ended.task, ended.attempt)
            if ended.crashed_upstream:
                runs.setdefault(ended.crashed_upstream, []).append(_crashed_run(ended))
                age_s = 0.0 if sent_at_s is None else sent_at_s - ended.ended_at_s
                crashed_at_s[ended.crashed_upstream] = now_s - age_s
        for upstream, crashed_runs in runs.items():
            is_new = self._history.record_crash(
                upstream, crashed_runs, crashed_at_s[upstream], now_s
            )
            if is_new:
                self._on_crash(crashed_runs, now_s)

    def on_adopted_run(self, active: ActiveRun, now_s: float) -> None:
        """Processes a run that a previous dispatcher started and that goes on."""
        self._history.learn(active.task, active.crashes, now_s)
        self._history.explain_loss(active.task, active.attempt)

    def on_detached(self, worker: WorkerView, now_s: float) -> None:
        """Processes the loss of a worker, whose upstream may have crashed."""
        if worker.is_leaving:
            return
        for run in worker.runs.values():
            self._history.record_unexplained_loss(
                run.task, run.attempt, worker.record.incarnation, now_s
            )

    def on_attached_anew(
        self,
        worker: WorkerView,
        runs: collections.abc.Iterable[Run],
        message: AttachWorker,
        now_s: float,
    ) -> None:
        """Processes an attach request that replaces an attached worker.

        Orders that the request does not mention never reached the agent, if it was
        running when they were sent.

        Args:
            worker: The worker as it was attached.
            runs: Runs that it had.
            message: The request.
            now_s: Current time.
        """
        silent = {
            (ended.task, ended.attempt)
            for ended in message.ended
            if ended.is_upstream_silent
        }
        for run in runs:
            is_known = now_s - run.started_at_s < message.recorded_s
            if is_known and (run.task, run.attempt) not in silent:
                self._history.explain_loss(run.task, run.attempt)
        former = worker.record
        upstream = message.worker.incarnation if message.worker else ""
        if former.incarnation != upstream and not worker.is_leaving:
            self._history.record_idle_crash(
                former.incarnation, former.data_centre, now_s
            )

    def on_run_ended(self, worker: WorkerView, ended: EndedRun, now_s: float) -> None:
        """Processes the end of a run of an attached worker."""
        if ended.is_upstream_silent:
            self._history.record_unexplained_loss(
                ended.task, ended.attempt, worker.record.incarnation, now_s
            )

    def update(
        self, workers: collections.abc.Iterable[WorkerView], now_s: float
    ) -> list[CrashCause]:
        """Runs periodic maintenance; returns tasks newly found to crash upstreams.

        Args:
            workers: Attached workers.
            now_s: Current time.
        """
        causes = self._history.take_causes(now_s)
        for cause in causes:
            self._isolation.record_cause(
                cause.service, cause.queue, cause.task.job, now_s
            )
        self._isolation.update(workers, now_s)
        self._history.remove_old(now_s)
        return causes

    def _on_crash(self, runs: list[CrashedRun], now_s: float) -> None:
        self._counts["upstream_crashed"] += 1
        queues = {run.queue for run in runs}
        self._isolation.record_crash(runs[0].service, queues, now_s)


def _crashed_run(ended: EndedRun) -> CrashedRun:
    return CrashedRun(
        task=ended.task,
        survived_s=ended.run_s,
        service=ended.service,
        queue=ended.queue,
        data_centre=ended.data_centre,
    )
