"""Admission: whether a new job can be served in time."""

import collections.abc
import dataclasses

from hawthornbarrow.cells._job_record import JobRecord
from hawthornbarrow.cells._run_times import RunTimes
from hawthornbarrow.cells._worker_view import WorkerView

_USABLE_SHARE = 0.92  # of the capacity; the rest is lost between tasks of odd sizes
_LEAST_RATE = 0.001
_LEAST_RETRY_S = 1.0
_MOST_RETRY_S = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """Whether a job is taken.

    Attributes:
        is_admitted: Whether it is.
        predicted_wait_s: When its first task is expected to start, from now.
        slack_s: Latest start by which it meets its objective, from now.
        retry_after_s: When the caller may come back.
    """

    is_admitted: bool
    predicted_wait_s: float
    slack_s: float
    retry_after_s: float


class Admission:
    """Refuses a job on arrival when the work ahead of it takes too long.

    Answers bursts over the capacity: a job that will miss its objective gains its
    caller little and takes room from jobs that would meet theirs.

    Args:
        run_times: Expected run times.
    """

    def __init__(self, *, run_times: RunTimes) -> None:
        """Keeps the run times."""
        self._run_times = run_times

    def judge(
        self,
        job: JobRecord,
        waiting: collections.abc.Iterable[JobRecord],
        workers: collections.abc.Iterable[WorkerView],
        now_s: float,
        *,
        paused_s: float = 0.0,
    ) -> Verdict:
        """Returns whether a job is taken.

        Args:
            job: The new job.
            waiting: Jobs that wait for room.
            workers: Workers that may take it.
            now_s: Current time.
            paused_s: Time for which nothing is started yet.
        """
        workers = list(workers)
        rate = self._rate(workers)
        free = sum(max(0, worker.free.cpu) for worker in workers) / 1000
        ahead = sum(
            self._work(other)
            for other in waiting
            if other.queue.priority <= job.queue.priority and other.start_by_s >= now_s
        )
        wait_s = paused_s
        if ahead > 0 or free < self._cores(job):
            wait_s += (ahead + self._work(job) / 2) / rate
        slack_s = job.start_by_s - now_s
        return Verdict(
            is_admitted=wait_s <= slack_s,
            predicted_wait_s=wait_s,
            slack_s=slack_s,
            retry_after_s=max(_LEAST_RETRY_S, min(_MOST_RETRY_S, wait_s)),
        )

    def hopeless(
        self,
        waiting: collections.abc.Iterable[JobRecord],
        workers: collections.abc.Iterable[WorkerView],
        now_s: float,
        *,
        paused_s: float = 0.0,
    ) -> list[JobRecord]:
        """Returns jobs not begun that the work ahead of them keeps for too long.

        Args:
            waiting: Jobs that wait for room, in the order in which they get it.
            workers: Workers that may take them.
            now_s: Current time.
            paused_s: Time for which nothing is started yet.
        """
        rate = self._rate(workers)
        ahead = 0.0
        hopeless = []
        for job in waiting:
            if not job.has_begun and now_s + paused_s + ahead / rate > job.refuse_by_s:
                hopeless.append(job)
            else:
                ahead += self._work(job)
        return hopeless

    def _rate(self, workers: collections.abc.Iterable[WorkerView]) -> float:
        """Returns the core-seconds of work that workers do in a second."""
        cores = sum(
            worker.record.capacity.cpu
            / 1000
            / self._run_times.slowness(worker.record.upstream)
            for worker in workers
        )
        return max(cores * _USABLE_SHARE, _LEAST_RATE)

    def _work(self, job: JobRecord) -> float:
        return self._run_times.expected_s(job.queue.name, job.remaining_work)

    def _cores(self, job: JobRecord) -> float:
        steps = [job.document.steps[index] for index in job.waiting_steps()]
        return sum(step.count * step.each.cpu for step in steps) / 1000
