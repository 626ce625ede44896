"""StartReservations: separates the starts of suspected tasks from other starts."""

import collections.abc
import dataclasses
import math

from hawthornbarrow.cells._crash_history import (
    OBSERVATION_S,
    CrashHistory,
    StartCare,
)
from hawthornbarrow.cells._parts import TaskKey
from hawthornbarrow.cells._worker_view import WorkerView

# Fraction of the workers that may be reserved at a time; the others serve all other
# tasks.
MAX_RESERVED_FRACTION = 0.5
# Time after the observation until the report of a crash has arrived.
REPORT_DELAY_S = 0.15


@dataclasses.dataclass(kw_only=True)
class _Reservation:
    """A worker on which one suspected task starts next, or has started last.

    Attributes:
        task: The task.
        care: How far it is separated from others.
        session: Session of the worker.
        started_at_s: When the task was started, None before.
    """

    task: TaskKey
    care: StartCare
    session: int
    started_at_s: float | None = None

    @property
    def has_started(self) -> bool:
        """Whether the task was started."""
        return self.started_at_s is not None


class StartReservations:
    """Reserves workers for suspected tasks until they have started and are observed.

    At most one task of a job has a reservation, so a job that crashes upstreams can
    not crash several at once.

    Args:
        crash_history: Decides which tasks are suspected, and is told which are not.
    """

    def __init__(self, *, crash_history: CrashHistory) -> None:
        """Initializes it without reservations."""
        self._crash_history = crash_history
        self._reservations: dict[str, _Reservation] = {}
        self._agents: dict[str, str] = {}  # by job
        self._started_at_s: dict[str, float] = {}

    @property
    def is_any_reserved(self) -> bool:
        """Whether any worker is reserved."""
        return bool(self._reservations)

    def is_reserved(self, worker: WorkerView) -> bool:
        """Returns whether tasks that are not suspected may not start on a worker."""
        return worker.agent in self._reservations

    def record_start(self, worker: WorkerView, now_s: float) -> None:
        """Records that a task was started on a worker."""
        self._started_at_s[worker.agent] = now_s

    def update(
        self,
        workers: collections.abc.Mapping[str, WorkerView],
        is_waiting: collections.abc.Callable[[TaskKey], bool],
        now_s: float,
    ) -> None:
        """Ends the reservations that have served their purpose.

        Args:
            workers: Attached workers by agent.
            is_waiting: Returns whether a task still waits for its start.
            now_s: Current time.
        """
        for agent, reservation in list(self._reservations.items()):
            worker = workers.get(agent)
            if worker is None or worker.session != reservation.session:
                self._remove(agent)
            elif not reservation.has_started:
                if worker.is_evacuated or not is_waiting(reservation.task):
                    self._remove(agent)
            elif self._is_observed(reservation, worker, now_s):
                self._crash_history.clear(reservation.task)
                self._remove(agent)

    def worker_for(
        self, task: TaskKey, workers: collections.abc.Mapping[str, WorkerView]
    ) -> WorkerView | None:
        """Returns the worker that is reserved for the next start of a task, or None.

        Args:
            task: The task.
            workers: Attached workers by agent.
        """
        agent = self._agents.get(task.job, "")
        reservation = self._reservations.get(agent)
        if reservation is None or reservation.task != task or reservation.has_started:
            return None
        return workers.get(agent)

    def may_reserve(self, task: TaskKey, worker_count: int) -> bool:
        """Returns whether a worker may be reserved for a task.

        Args:
            task: The task.
            worker_count: Number of workers that accept tasks.
        """
        if task.job in self._agents:
            return False
        limit = max(1, worker_count * MAX_RESERVED_FRACTION)
        return len(self._reservations) < limit

    def reserve(
        self,
        task: TaskKey,
        care: StartCare,
        candidates: collections.abc.Iterable[WorkerView],
    ) -> WorkerView | None:
        """Reserves one of the workers for the next start of a task.

        The worker with the fewest runs suits a task that runs alone, and the one that
        has started nothing for the longest time any other.

        Returns:
            The worker, or None when all are reserved for other tasks.
        """
        worker = min(
            (worker for worker in candidates if worker.agent not in self._reservations),
            key=lambda worker: (
                len(worker.runs) if care is StartCare.ALONE else 0,
                self._started_at_s.get(worker.agent, -math.inf),
            ),
            default=None,
        )
        if worker is not None:
            self._reservations[worker.agent] = _Reservation(
                task=task, care=care, session=worker.session
            )
            self._agents[task.job] = worker.agent
        return worker

    def release(self, task: TaskKey) -> None:
        """Ends the reservation for a task that has not started."""
        agent = self._agents.get(task.job, "")
        reservation = self._reservations.get(agent)
        if reservation and reservation.task == task and not reservation.has_started:
            self._remove(agent)

    def try_start(
        self, task: TaskKey, care: StartCare, worker: WorkerView, now_s: float
    ) -> bool:
        """Returns whether a task may start now on the worker reserved for it."""
        if care is StartCare.ALONE and worker.runs:
            return False
        started_at_s = self._started_at_s.get(worker.agent, -math.inf)
        if now_s - started_at_s < OBSERVATION_S:
            return False
        reservation = self._reservations[worker.agent]
        reservation.care = care
        reservation.started_at_s = now_s
        return True

    def _remove(self, agent: str) -> None:
        reservation = self._reservations.pop(agent)
        self._agents.pop(reservation.task.job, None)

    def _is_observed(
        self, reservation: _Reservation, worker: WorkerView, now_s: float
    ) -> bool:
        assert reservation.started_at_s is not None
        if reservation.task not in worker.runs:
            return True
        if reservation.care is StartCare.ALONE:
            return False
        return now_s - reservation.started_at_s >= OBSERVATION_S + REPORT_DELAY_S
