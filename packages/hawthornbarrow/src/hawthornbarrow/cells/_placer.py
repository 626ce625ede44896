"""Placer: gives waiting tasks room, in order."""

import collections
import collections.abc

import structlog

from hawthornbarrow.cells._job_board import JobBoard
from hawthornbarrow.cells._job_record import JobRecord
from hawthornbarrow.cells._ordering import JobOrder
from hawthornbarrow.cells._parts import StartOrder, TaskKey
from hawthornbarrow.cells._placement import Placement
from hawthornbarrow.cells._run_times import RunTimes
from hawthornbarrow.cells._worker_pool import WorkerPool
from hawthornbarrow.cells._worker_view import Run, WorkerView
from hawthornbarrow.queues import QueueTable

_LEAST_EXPECTED_S = 0.001

_log = structlog.get_logger()


class Placer:
    """Starts waiting tasks at the workers of their services.

    Args:
        term: Term of the dispatcher.
        pool: The workers.
        board: The jobs.
        order: Order in which jobs get room.
        run_times: Expected run times.
        counts: Where starts are counted.
    """

    def __init__(
        self,
        *,
        term: int,
        pool: WorkerPool,
        board: JobBoard,
        order: JobOrder,
        run_times: RunTimes,
        counts: collections.Counter[str],
    ) -> None:
        """Starts without a configuration, so nothing can be placed."""
        self._term = term
        self._pool = pool
        self._board = board
        self._order = order
        self._run_times = run_times
        self._counts = counts
        self._placement = Placement(run_times=run_times)
        self._table: QueueTable | None = None

    def set_table(self, table: QueueTable) -> None:
        """Takes the configuration in force."""
        self._table = table

    def service_of(self, job: JobRecord) -> str:
        """Returns the service by the configuration in force, empty for none."""
        queue = self._table.queues.get(job.queue.name) if self._table else None
        return queue.service if queue else ""

    def in_order(self, now_s: float) -> list[JobRecord]:
        """Returns the waiting jobs in the order in which they get room."""
        return sorted(
            self._board.waiting.values(), key=lambda job: self._order.key(job, now_s)
        )

    def workers_by_service(self, now_s: float) -> dict[str, list[WorkerView]]:
        """Returns the workers that may take work."""
        services: dict[str, list[WorkerView]] = {}
        for worker in self._pool.ready(now_s):
            services.setdefault(worker.record.service, []).append(worker)
        return services

    def place(self, now_s: float, *, only_new: bool) -> None:
        """Starts waiting tasks in order, as far as there is room.

        Args:
            now_s: Current time.
            only_new: Whether jobs that an earlier dispatcher was offered must wait.
        """
        classed = {
            service: [(self._placement.speed_class(worker), worker) for worker in ready]
            for service, ready in self.workers_by_service(now_s).items()
        }
        for job in self.in_order(now_s):
            if only_new and not job.is_new:
                continue
            workers = classed.get(self.service_of(job))
            if workers:
                self._place_job(job, workers, now_s)
            self._board.drop_begun(job)

    def _place_job(
        self, job: JobRecord, workers: list[tuple[int, WorkerView]], now_s: float
    ) -> None:
        placed: list[str] = []
        for step in job.waiting_steps():
            for index in list(job.waiting_tasks(step)):
                worker = self._placement.choose(job, step, index, workers)
                if worker is None:
                    break
                self._start(job, step, index, worker, now_s)
                placed.append(f"{step}.{index}@{worker.agent}")
        if placed:
            _log.info(
                "tasks_placed",
                job=job.job,
                queue=job.queue.name,
                term=self._term,
                tasks=" ".join(placed),
                waited_s=round(now_s - job.arrived_at_s, 3),
                slack_s=round(job.start_by_s - now_s, 3),
                waiting=len(self._board.waiting),
            )

    def _start(
        self, job: JobRecord, step: int, index: int, worker: WorkerView, now_s: float
    ) -> None:
        self._counts["run_started"] += 1
        progress = job.begin(step, index, worker.agent)
        progress.attempts += 1
        wanted = job.document.steps[step]
        key = TaskKey(job=job.job, step=step, index=index)
        expected_s = self._run_times.expected_s(job.queue.name, wanted.estimated_s)
        worker.add(
            Run(
                task=key,
                attempt=progress.attempts,
                needs=wanted.each,
                started_at_s=now_s,
                expected_s=max(expected_s, _LEAST_EXPECTED_S),
            )
        )
        order = StartOrder(
            task=key,
            attempt=progress.attempts,
            spec=job.document.spec,
            needs=wanted.each,
            expected_s=expected_s,
        )
        self._pool.order_start(worker, order)
