"""JobRecord: the dispatcher's state of one job."""

import dataclasses
import enum
import math

from hawthornbarrow.cells._parts import (
    JobDocument,
    JobState,
    Step,
    TaskKey,
)
from hawthornbarrow.queues import Queue

# Fraction of the objective by which a start may be later than ``start_by_s``. A job
# that cannot start by then is refused.
LATE_START_FRACTION = 0.4
GIVE_UP_FACTOR = 3.0  # times the objective; later results are useless to callers
OVERHEAD_S = 0.03  # time to send an order and to report its end


class Lane(enum.IntEnum):
    """Jobs of a queue that are served at a rate of their own under contention.

    Jobs are divided by their work: up to the mean of the queue, less than twice it, and
    at least twice it. Jobs that were refused and return have a lane of their own.
    """

    SMALL = 0
    LARGE = 1
    LARGEST = 2
    RETURNED = 3


@dataclasses.dataclass(kw_only=True)
class TaskProgress:
    """The dispatcher's state of one task.

    Attributes:
        attempts: Attempt number of the last start.
        failures: Runs that failed.
        worker: Agent that has its run, empty for none.
        is_done: Whether a run of it completed.
        avoided: Agents on which a run of it stalled, failed, or was lost, refused or
            superseded.
    """

    attempts: int = 0
    failures: int = 0
    worker: str = ""
    is_done: bool = False
    avoided: set[str] = dataclasses.field(default_factory=set)


class JobRecord:
    """State of one job at the dispatcher.

    A job is new when it was submitted to no previous dispatcher, so agents that have
    not attached yet run none of its tasks.

    Args:
        document: The job as submitted.
        queue: Its queue.
        arrived_at_s: When its entry received it.
        first_attempt: Attempt number after which starts are numbered.
        data_centre: Data centre of its entry, empty when unknown.
    """

    def __init__(
        self,
        *,
        document: JobDocument,
        queue: Queue,
        arrived_at_s: float,
        first_attempt: int,
        data_centre: str = "",
    ) -> None:
        """Initializes a job with all tasks waiting."""
        self.document = document
        self.queue = queue
        self.arrived_at_s = arrived_at_s
        self.start_by_s = arrived_at_s
        self.refuse_by_s = arrived_at_s
        self.give_up_at_s = arrived_at_s + queue.timeout_s
        self.useful_start_by_s = arrived_at_s
        self.entries: set[str] = set()
        self.data_centre = data_centre
        self.lane = Lane.SMALL
        self.is_new = False
        # When no other dispatcher can run it any more: one that it was submitted to
        # before, unless that may keep it, and one that an earlier submission of its
        # caller may have reached.
        self.released_at_s = -math.inf
        self.may_be_kept = False
        self.settled_at_s = -math.inf
        self.state = JobState.QUEUED
        self.tasks = [
            [TaskProgress(attempts=first_attempt) for _ in range(step.count)]
            for step in document.steps
        ]
        self._waiting = [list(range(step.count)) for step in document.steps]
        self._unfinished = [step.count for step in document.steps]
        self._running = 0

    @property
    def job(self) -> str:
        """Id of the job."""
        return self.document.job

    @property
    def has_begun(self) -> bool:
        """Whether any task was ordered to start."""
        return self.state is not JobState.QUEUED

    @property
    def is_done(self) -> bool:
        """Whether all tasks have completed."""
        return not any(self._unfinished)

    @property
    def running_count(self) -> int:
        """Number of tasks that are assigned to an agent."""
        return self._running

    @property
    def is_all_begun(self) -> bool:
        """Whether no task waits, including tasks of steps that are not ready."""
        return not any(self._waiting)

    @property
    def remaining_work(self) -> float:
        """Core-seconds of the waiting tasks, by the caller's estimate."""
        return sum(
            len(waiting) * step.each.cpu / 1000 * step.estimated_s
            for step, waiting in zip(self.document.steps, self._waiting, strict=True)
        )

    def set_times(self, chain_s: float) -> None:
        """Sets the deadlines for the start, a refusal and the end of waiting.

        Args:
            chain_s: Expected run time of its longest chain of steps.
        """
        objective_s = self.queue.objective_for_s(chain_s)
        self.start_by_s = self.arrived_at_s + objective_s - chain_s - OVERHEAD_S
        self.refuse_by_s = self.start_by_s + LATE_START_FRACTION * objective_s
        self.give_up_at_s = self.arrived_at_s + GIVE_UP_FACTOR * objective_s
        self.useful_start_by_s = self.give_up_at_s - chain_s - OVERHEAD_S

    def progress(self, key: TaskKey) -> TaskProgress | None:
        """Returns the state of a task, or None when the job has no such task."""
        if key.step >= len(self.tasks) or key.index >= len(self.tasks[key.step]):
            return None
        return self.tasks[key.step][key.index]

    def waiting_steps(self) -> list[int]:
        """Returns the ready steps that have waiting tasks."""
        return [
            index
            for index, step in enumerate(self.document.steps)
            if self._waiting[index] and self._is_ready(step)
        ]

    def waiting_tasks(self, step: int) -> list[int]:
        """Returns the waiting tasks of a step."""
        return self._waiting[step]

    def count_on(self, step: int, worker: str) -> int:
        """Returns how many tasks of a step are assigned to an agent."""
        return sum(progress.worker == worker for progress in self.tasks[step])

    def begin(self, step: int, index: int, worker: str) -> TaskProgress:
        """Records that a task is assigned to an agent."""
        progress = self.tasks[step][index]
        if progress.worker or progress.is_done:
            raise ValueError(f"task {self.job}.0.{step}.{index} is not waiting")
        self._waiting[step].remove(index)
        progress.worker = worker
        self._running += 1
        self.state = JobState.RUNNING
        return progress

    def end(self, step: int, index: int, *, is_done: bool) -> None:
        """Records the end of a task's run; the task waits again unless it is done."""
        progress = self.tasks[step][index]
        if progress.worker:
            progress.worker = ""
            self._running -= 1
        elif progress.is_done:
            return
        else:
            self._waiting[step].remove(index)
        progress.is_done = is_done
        if is_done:
            self._unfinished[step] -= 1
        else:
            self._waiting[step].append(index)

    def _is_ready(self, step: Step) -> bool:
        return not any(self._unfinished[index] for index in step.after)
