"""Orders in which waiting jobs get room."""

import abc

from hawthornbarrow.cells._job_record import JobRecord


class JobOrder(abc.ABC):
    """Says which of two waiting jobs goes first."""

    @abc.abstractmethod
    def key(self, job: JobRecord, now_s: float) -> tuple:
        """Returns the sort key of a job; the least goes first."""


class ArrivalOrder(JobOrder):
    """First come, first served; a baseline."""

    def key(self, job: JobRecord, now_s: float) -> tuple:
        """Sorts by the time of arrival."""
        return (job.arrived_at_s,)


class PriorityOrder(JobOrder):
    """By the queue's priority, then arrival; a baseline."""

    def key(self, job: JobRecord, now_s: float) -> tuple:
        """Sorts by priority and time of arrival."""
        return (job.queue.priority, job.arrived_at_s)


class TimelyPriorityOrder(JobOrder):
    """Jobs that can still meet their objective first, then by priority and work.

    Answers a load over the capacity: room spent on a job that is late already makes
    another late, so such jobs run when nothing else waits.
    """

    def key(self, job: JobRecord, now_s: float) -> tuple:
        """Sorts by lateness, priority, remaining work and arrival."""
        is_late = job.start_by_s < now_s and not job.running_count
        return (
            is_late,
            job.queue.priority,
            round(job.remaining_work, 1),
            job.arrived_at_s,
        )
