"""JobRegistry: all jobs of a dispatcher, and the answers to send to their entries."""

import collections

import structlog

from hawthornbarrow.cells._job_record import JobRecord
from hawthornbarrow.cells._messages import (
    CellMessage,
    JobAnswer,
)
from hawthornbarrow.cells._ordering import JobOrder
from hawthornbarrow.cells._parts import (
    JobState,
)
from hawthornbarrow.cells._waiting_jobs import WaitingJobs

ENDED_JOB_RETENTION_S = 60.0

_log = structlog.get_logger()


class JobRegistry:
    """Stores jobs by id, waiting jobs, and recently ended jobs.

    Args:
        term: Term of the dispatcher, which its answers carry.
        order: Order in which waiting jobs get capacity.
    """

    def __init__(self, *, term: int, order: JobOrder) -> None:
        """Initializes an empty registry."""
        self._term = term
        self._jobs: dict[str, JobRecord] = {}
        self._waiting = WaitingJobs(order=order)
        self._ended: collections.deque[tuple[float, JobRecord]] = collections.deque()
        self._answers: list[tuple[str, CellMessage]] = []

    @property
    def jobs(self) -> dict[str, JobRecord]:
        """Jobs by id, including recently ended ones."""
        return self._jobs

    @property
    def waiting(self) -> WaitingJobs:
        """Jobs with waiting tasks."""
        return self._waiting

    def waiting_in_order(self, now_s: float) -> list[JobRecord]:
        """Returns the waiting jobs in the order in which they get capacity."""
        return self._waiting.in_order(now_s)

    def state_of(self, job: str) -> JobState:
        """Returns the state of a job that callers see."""
        record = self._jobs.get(job)
        return record.state if record else JobState.UNKNOWN

    def count_not_begun_by_queue(self) -> dict[str, int]:
        """Returns the number of jobs that have not begun, by queue."""
        return dict(
            collections.Counter(
                job.queue.name
                for job in self._waiting.records.values()
                if not job.has_begun
            )
        )

    def add(self, record: JobRecord) -> None:
        """Adds a job whose tasks wait."""
        self._jobs[record.job] = record
        self._waiting.add(record)

    def requeue(self, record: JobRecord) -> None:
        """Records that tasks of a job wait again."""
        self._waiting.add(record)

    def on_tasks_changed(self, record: JobRecord) -> None:
        """Records that tasks of a job have begun or ended."""
        if record.is_all_begun:
            self._waiting.discard(record)
        else:
            self._waiting.touch(record)

    def close(
        self, record: JobRecord, state: JobState, reason: str, now_s: float
    ) -> None:
        """Ends a job in a final state and queues answers to its entries."""
        _log.info(
            "job_ended",
            job=record.job,
            queue=record.queue.name,
            state=state.value,
            reason=reason,
            has_run=record.has_begun,
            took_s=round(now_s - record.arrived_at_s, 3),
        )
        record.state = state
        self._waiting.discard(record)
        self._ended.append((now_s, record))
        self.answer(record)

    def answer(self, record: JobRecord) -> None:
        """Queues a job's state for the entries that wait for it."""
        answer = JobAnswer(job=record.job, state=record.state, term=self._term)
        for entry in record.entries:
            self._answers.append((entry, answer))
        record.entries.clear()

    def refuse(self, entry: str, answer: JobAnswer) -> None:
        """Queues the refusal of a job for an entry."""
        self._answers.append((entry, answer))

    def remove_old_jobs(self, now_s: float) -> None:
        """Removes jobs that ended more than ENDED_JOB_RETENTION_S ago."""
        while self._ended and now_s - self._ended[0][0] > ENDED_JOB_RETENTION_S:
            _, record = self._ended.popleft()
            if self._jobs.get(record.job) is record:
                del self._jobs[record.job]

    def take_answers(self) -> list[tuple[str, CellMessage]]:
        """Returns the answers to send with their entries, and clears them."""
        answers, self._answers = self._answers, []
        return answers
