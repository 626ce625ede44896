"""Admission: decides whether a new job can start in time."""

import collections.abc
import dataclasses
import math

from hawthornbarrow.cells._job_record import JobRecord
from hawthornbarrow.cells._ready_capacity import CapacitySum
from hawthornbarrow.cells._run_times import RunTimes

_USABLE_FRACTION = 0.92  # of the capacity; the rest is lost to uneven task sizes
_MIN_RATE_CORES = 0.001
_ERROR_DEVIATIONS = 0.5  # standard deviations by which a wait may be longer
_MIN_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmissionDecision:
    """Decision whether a job is admitted.

    Attributes:
        is_admitted: Whether the job is admitted.
        predicted_wait_s: Time until its first task is expected to start.
        slack_s: Time until the latest start at which it meets its objective.
        retry_after_s: Time after which the caller may try again.
    """

    is_admitted: bool
    predicted_wait_s: float
    slack_s: float
    retry_after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outlook:
    """What is predicted beyond the present capacity and the work ahead of a job.

    Attributes:
        rate_cores: Core-seconds of the work ahead that are completed per second.
        deviation: Relative standard deviation of the work of a job, zero to ignore it.
    """

    rate_cores: float
    deviation: float = 0.0


class Admission:
    """Refuses a job on arrival when the work ahead of it takes too long.

    This handles bursts over the capacity: a job that misses its objective is of little
    use to its caller and takes capacity from jobs that would meet theirs.

    Args:
        run_times: Expected run times.
        admits_useful_late_jobs: Whether a job that missed its objective while it waited
            for a dispatcher is admitted to free capacity, as long as its late result
            is of use.
    """

    def __init__(
        self, *, run_times: RunTimes, admits_useful_late_jobs: bool = False
    ) -> None:
        """Initializes admission with expected run times."""
        self._run_times = run_times
        self._admits_useful_late_jobs = admits_useful_late_jobs

    def evaluate(
        self,
        job: JobRecord,
        ahead_core_s: float,
        capacity: CapacitySum,
        now_s: float,
        *,
        start_delay_s: float = 0.0,
        outlook: Outlook | None = None,
    ) -> AdmissionDecision:
        """Decides whether a job is admitted.

        Args:
            job: The new job.
            ahead_core_s: Expected work of the jobs that get capacity before it.
            capacity: Capacity of the workers that may run it.
            now_s: Current time.
            start_delay_s: Time until new jobs may start.
            outlook: What is predicted, or None to use the present capacity.
        """
        rate_cores = self.rate_cores(capacity)
        wait_s = start_delay_s
        if ahead_core_s > 0 or capacity.free_cores < self._requested_cores(job):
            wait_s += (ahead_core_s + self._work_core_s(job) / 2) / rate_cores
            if outlook is not None:
                # Once its turn comes, a job starts at the rate of all workers.
                wait_s += ahead_core_s / outlook.rate_cores - ahead_core_s / rate_cores
                wait_s += self._wait_error_s(job, ahead_core_s, outlook)
        slack_s = job.start_by_s - now_s
        # A job that is late when it arrives, as it waited for a dispatcher, takes
        # nothing from others while there is free capacity.
        starts_at_once = wait_s <= 0 and now_s <= self._late_by_s(job)
        return AdmissionDecision(
            is_admitted=wait_s <= slack_s or starts_at_once,
            predicted_wait_s=wait_s,
            slack_s=slack_s,
            retry_after_s=self.retry_after_s(wait_s),
        )

    def find_infeasible(
        self,
        waiting: collections.abc.Iterable[JobRecord],
        capacity: CapacitySum,
        now_s: float,
        *,
        start_delay_s: collections.abc.Callable[[JobRecord], float],
        outlook: Outlook | None = None,
    ) -> list[JobRecord]:
        """Returns jobs that have not begun and cannot start by their ``refuse_by_s``.

        Args:
            waiting: Jobs that wait for capacity, in the order in which they get it.
            capacity: Capacity of the workers that may run them.
            now_s: Current time.
            start_delay_s: Returns the time until a job may start.
            outlook: What is predicted, or None to use the present capacity.
        """
        rate_cores = outlook.rate_cores if outlook else self.rate_cores(capacity)
        ahead_core_s = 0.0
        infeasible = []
        for job in waiting:
            wait_s = max(start_delay_s(job), ahead_core_s / rate_cores)
            late_by_s = self._late_by_s(job) if wait_s <= 0 else job.refuse_by_s
            if not job.has_begun and now_s + wait_s > late_by_s:
                infeasible.append(job)
            else:
                ahead_core_s += self._work_core_s(job)
        return infeasible

    def _late_by_s(self, job: JobRecord) -> float:
        """Returns the latest time at which a job may start on free capacity."""
        if not self._admits_useful_late_jobs:
            return job.refuse_by_s
        return max(job.refuse_by_s, job.useful_start_by_s)

    def rate_cores(self, capacity: CapacitySum) -> float:
        """Returns the core-seconds of work that workers complete per second."""
        return max(capacity.rate_cores * _USABLE_FRACTION, _MIN_RATE_CORES)

    def retry_after_s(self, wait_s: float) -> float:
        """Returns the time after which a caller may try again, by the wait alone."""
        return max(_MIN_RETRY_AFTER_S, min(_MAX_RETRY_AFTER_S, wait_s))

    def _wait_error_s(
        self, job: JobRecord, ahead_core_s: float, outlook: Outlook
    ) -> float:
        """Returns the error of a predicted wait, as the work ahead is estimated.

        The work ahead is taken to consist of jobs of the same work as the new one.
        """
        work_core_s = self._work_core_s(job)
        variance = outlook.deviation**2 * ahead_core_s * work_core_s
        return _ERROR_DEVIATIONS * math.sqrt(variance) / outlook.rate_cores

    def _work_core_s(self, job: JobRecord) -> float:
        return self._run_times.expected_s(job.queue.name, job.remaining_work)

    def _requested_cores(self, job: JobRecord) -> float:
        steps = [job.document.steps[index] for index in job.waiting_steps()]
        return sum(step.count * step.each.cpu for step in steps) / 1000
