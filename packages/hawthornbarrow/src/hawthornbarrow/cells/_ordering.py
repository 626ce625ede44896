"""Orders in which waiting jobs get capacity."""

import abc

from hawthornbarrow.cells._job_record import JobRecord, Lane
from hawthornbarrow.cells._shares import Shares


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
    """Orders jobs by whether they can meet their objective, then priority and work.

    This handles a load over the capacity: capacity given to a job that is late already
    makes another job late, so late jobs run only when nothing else waits.
    """

    def key(self, job: JobRecord, now_s: float) -> tuple:
        """Returns a key that sorts by lateness, priority, work and time of arrival."""
        is_late = job.start_by_s < now_s and not job.running_count
        return (
            is_late,
            job.queue.priority,
            round(job.remaining_work, 1),
            job.arrived_at_s,
        )


class ContentionOrder(JobOrder):
    """Orders jobs by the latest start under contention, and otherwise by another order.

    Queues that request no more than their share go first. Admission leaves each queue
    about as much work as its share serves in time, so what waits is placed by which job
    has to start first. Jobs of a queue, size class or data
    centre that received less than the others are advanced by a part of their slack.

    Args:
        shares: Shares, which tell what is contended.
        otherwise: Order while there is free capacity.
    """

    def __init__(self, *, shares: Shares, otherwise: JobOrder) -> None:
        """Stores the shares and the other order."""
        self._shares = shares
        self._otherwise = otherwise

    def key(self, job: JobRecord, now_s: float) -> tuple:
        """Returns a key that sorts by lateness and the latest start."""
        if not self._shares.is_contended(job.queue.service):
            return self._otherwise.key(job, now_s)
        is_late = job.start_by_s < now_s and not job.running_count
        slack_s = job.start_by_s - job.arrived_at_s
        haste = self._shares.haste(job, now_s)
        is_over_share = self._shares.is_over_share(job.queue)
        start_by_s = job.arrived_at_s + slack_s * (1 - haste)
        return (is_late, int(is_over_share), start_by_s, 0.0)


class ReturnedFirstOrder(JobOrder):
    """Orders the returned jobs of a priority before its new ones.

    Args:
        order: Order among the others; its keys begin with lateness and priority.
    """

    def __init__(self, *, order: JobOrder) -> None:
        """Stores the order among the others."""
        self._order = order

    def key(self, job: JobRecord, now_s: float) -> tuple:
        """Returns the key with the kind of job after lateness and priority."""
        is_late, priority, *others = self._order.key(job, now_s)
        return (is_late, priority, job.lane is not Lane.RETURNED, *others)
