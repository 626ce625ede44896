"""Orders in which waiting jobs get capacity."""

import abc

from hawthornbarrow.cells._job_record import JobRecord


class JobOrder(abc.ABC):
    """Defines the order of waiting jobs."""

    @abc.abstractmethod
    def key(self, job: JobRecord, now_s: float) -> tuple:
        """Returns the sort key of a job; the lowest goes first."""


class ArrivalOrder(JobOrder):
    """Orders jobs first come, first served; a baseline."""

    def key(self, job: JobRecord, now_s: float) -> tuple:
        """Returns a key that sorts by the time of arrival."""
        return (job.arrived_at_s,)


class PriorityOrder(JobOrder):
    """Orders jobs by the queue's priority, then by arrival; a baseline."""

    def key(self, job: JobRecord, now_s: float) -> tuple:
        """Returns a key that sorts by priority and time of arrival."""
        return (job.queue.priority, job.arrived_at_s)


class TimelyPriorityOrder(JobOrder):
    """Orders jobs that can still meet their objective first, by priority and work.

    This handles a load over the capacity: capacity given to a job that is late already
    makes another job late, so late jobs run only when nothing else waits.
    """

    def key(self, job: JobRecord, now_s: float) -> tuple:
        """Returns a key for lateness, priority, remaining work and arrival."""
        is_late = job.start_by_s < now_s and not job.running_count
        return (
            is_late,
            job.queue.priority,
            round(job.remaining_work, 1),
            job.arrived_at_s,
        )
