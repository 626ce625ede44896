"""TaskPlacer: starts waiting tasks on workers with free capacity, in order."""

import collections
import collections.abc
import math

import structlog

from hawthornbarrow.cells._contention_control import ContentionControl
from hawthornbarrow.cells._crash_history import CrashHistory, StartCare
from hawthornbarrow.cells._job_record import JobRecord
from hawthornbarrow.cells._job_registry import JobRegistry
from hawthornbarrow.cells._parts import StartOrder, TaskKey
from hawthornbarrow.cells._queue_isolation import QueueIsolation
from hawthornbarrow.cells._run_time_model import RunTimeModel
from hawthornbarrow.cells._start_reservations import StartReservations
from hawthornbarrow.cells._worker_choice import WorkerChoice, WorkerFilter
from hawthornbarrow.cells._worker_pool import WorkerPool
from hawthornbarrow.cells._worker_selector import WorkerSelector
from hawthornbarrow.cells._worker_view import Run, WorkerView
from hawthornbarrow.queues import QueueTable

_MIN_EXPECTED_S = 0.001

_log = structlog.get_logger()


class TaskPlacer:
    """Starts waiting tasks on the workers of their services.

    Args:
        term: Term of the dispatcher.
        pool: The attached workers.
        job_registry: The jobs.
        run_times: Expected run times.
        crash_history: Tasks that may crash the upstreams that start them.
        isolation: Queues that are confined to some of the workers.
        contention: Is told what was started.
        counts: Event counters, in which starts are counted.
        selector: Decides which workers may run a step.
        choice: Chooses the workers of tasks that are not suspected.
    """

    def __init__(
        self,
        *,
        term: int,
        pool: WorkerPool,
        job_registry: JobRegistry,
        run_times: RunTimeModel,
        crash_history: CrashHistory,
        isolation: QueueIsolation,
        contention: ContentionControl,
        counts: collections.Counter[str],
        selector: WorkerSelector,
        choice: WorkerChoice,
    ) -> None:
        """Initializes a placer that places nothing until it has a configuration."""
        self._term = term
        self._pool = pool
        self._job_registry = job_registry
        self._run_times = run_times
        self._crash_history = crash_history
        self._isolation = isolation
        self._reservations = StartReservations(crash_history=crash_history)
        self._contention = contention
        self._counts = counts
        self._worker_selector = selector
        self._choice = choice
        self._table: QueueTable | None = None

    def set_table(self, table: QueueTable) -> None:
        """Sets the configuration in force."""
        self._table = table

    def service_of(self, job: JobRecord) -> str:
        """Returns a job's service in the current configuration, empty for none."""
        queue = self._table.queues.get(job.queue.name) if self._table else None
        return queue.service if queue else ""

    def place(
        self,
        now_s: float,
        *,
        only_new: bool,
        new_before_s: float = math.inf,
        may_start: collections.abc.Callable[[JobRecord], bool] | None = None,
    ) -> None:
        """Starts waiting tasks in order, as far as there is free capacity.

        Args:
            now_s: Current time.
            only_new: Whether jobs that were submitted to a previous dispatcher must
                wait.
            new_before_s: Time from which received jobs may have been submitted to a
                previous dispatcher by another entry, and must wait too.
            may_start: Returns whether no other dispatcher may run a job, None where
                that is known of all jobs.
        """
        self._reservations.update(self._pool.workers, self._is_waiting, now_s)
        self._choice.begin_pass(now_s)
        for job in self._job_registry.waiting_in_order(now_s):
            is_new = job.is_new and job.arrived_at_s < new_before_s
            if only_new and not is_new:
                continue
            if may_start is None or may_start(job):
                self._place_job(job, now_s)

    def _place_job(self, job: JobRecord, now_s: float) -> None:
        placed: list[str] = []
        work_core_s = job.remaining_work
        service = self.service_of(job)
        for step in job.waiting_steps():
            for index in list(job.waiting_tasks(step)):
                care = self._care_for(job, step, index)
                if care is StartCare.NONE:
                    worker = self._choose(job, step, index, service, now_s)
                    if worker is None:
                        break
                else:
                    worker = self._choose_with_care(
                        job, step, index, care, service, now_s
                    )
                    if worker is None:
                        continue
                self._start(job, step, index, worker, now_s)
                placed.append(f"{step}.{index}@{worker.agent}")
        if placed:
            self._contention.record_start(job, work_core_s - job.remaining_work, now_s)
            self._job_registry.on_tasks_changed(job)
            _log.info(
                "tasks_placed",
                job=job.job,
                queue=job.queue.name,
                term=self._term,
                tasks=" ".join(placed),
                waited_s=round(now_s - job.arrived_at_s, 3),
                slack_s=round(job.start_by_s - now_s, 3),
                waiting=len(self._job_registry.waiting),
            )

    def _care_for(self, job: JobRecord, step: int, index: int) -> StartCare:
        if not self._crash_history.has_crashes(job.job):
            return StartCare.NONE
        task = TaskKey(job=job.job, step=step, index=index)
        return self._crash_history.care_for(task)

    def _choose(
        self, job: JobRecord, step: int, index: int, service: str, now_s: float
    ) -> WorkerView | None:
        """Returns the worker for a task that is not suspected, or None."""
        may_use = self._worker_filter(job, service)
        return self._choice.choose(job, step, index, service, may_use, now_s)

    def _worker_filter(self, job: JobRecord, service: str) -> WorkerFilter | None:
        """Returns which workers a job may use, None for all."""
        is_isolating = self._isolation.is_active
        if not is_isolating and not self._reservations.is_any_reserved:
            return None
        queue = job.queue.name

        def may_use(worker: WorkerView) -> bool:
            if self._reservations.is_reserved(worker):
                return False
            return not is_isolating or self._isolation.may_use(
                service, queue, worker.agent
            )

        return may_use

    def _is_waiting(self, task: TaskKey) -> bool:
        job = self._job_registry.waiting.records.get(task.job)
        return job is not None and task.index in job.waiting_tasks(task.step)

    def _choose_with_care(
        self,
        job: JobRecord,
        step: int,
        index: int,
        care: StartCare,
        service: str,
        now_s: float,
    ) -> WorkerView | None:
        """Returns the worker on which a suspected task may start now, or None."""
        task = TaskKey(job=job.job, step=step, index=index)
        if care is StartCare.HELD:
            self._reservations.release(task)
            return None
        worker = self._reservations.worker_for(task, self._pool.workers)
        if worker is None:
            worker = self._reserve_worker(job, task, care, service, now_s)
        if worker is None or not self._may_use(job, task, care, worker, now_s):
            return None
        if not self._reservations.try_start(task, care, worker, now_s):
            return None
        return worker

    def _reserve_worker(
        self, job: JobRecord, task: TaskKey, care: StartCare, service: str, now_s: float
    ) -> WorkerView | None:
        worker_count = self._pool.ready_capacity(service).worker_count
        if not self._reservations.may_reserve(task, worker_count):
            return None
        candidates = (
            worker
            for worker in self._pool.workers_of(service)
            if self._may_use(job, task, care, worker, now_s)
        )
        return self._reservations.reserve(task, care, candidates)

    def _may_use(
        self,
        job: JobRecord,
        task: TaskKey,
        care: StartCare,
        worker: WorkerView,
        now_s: float,
    ) -> bool:
        """Returns whether a suspected task fits on a worker that may run it.

        A task that is to run alone has to fit once nothing else runs there.
        """
        is_alone = care is StartCare.ALONE
        available = worker.record.capacity if is_alone else worker.free
        return (
            job.document.steps[task.step].each.fits_into(available)
            and self._worker_selector.may_run(job, task.step, worker, now_s)
            and self._isolation.may_use(
                worker.record.service, job.queue.name, worker.agent
            )
        )

    def _start(
        self, job: JobRecord, step: int, index: int, worker: WorkerView, now_s: float
    ) -> None:
        self._counts["run_started"] += 1
        progress = job.begin(step, index, worker.agent)
        progress.attempts += 1
        step_request = job.document.steps[step]
        key = TaskKey(job=job.job, step=step, index=index)
        expected_s = self._run_times.expected_task_s(
            job.queue.name, step_request.estimated_s
        )
        run = Run(
            task=key,
            attempt=progress.attempts,
            needs=step_request.each,
            started_at_s=now_s,
            expected_s=max(expected_s, _MIN_EXPECTED_S),
            is_remote=bool(step_request.rack)
            and step_request.rack not in worker.record.labels,
            queue=job.queue.name,
        )
        self._pool.add_run(worker, run, now_s)
        self._reservations.record_start(worker, now_s)
        order = StartOrder(
            task=key,
            attempt=progress.attempts,
            spec=job.document.spec,
            needs=step_request.each,
            expected_s=expected_s,
            crashes=self._crash_history.crashes_under(key),
            queue=job.queue.name,
        )
        self._pool.order_start(worker, order)
