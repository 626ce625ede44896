"""Job orders within one member; the job with the smallest key goes first."""

import abc
import math

from hawthornbarrow.dispatch._estimates import RunTimeClass, RunTimeEstimator
from hawthornbarrow.jobs import Job

_SLACK_FACTOR = 2.0
_ASSUMED_SLOT_COUNT = 8
_CREDIT_TASKS_PER_S = 20.0
_CLASS_OFFSET_S = 1e6


class JobOrder(abc.ABC):
    """Determines which job of a member gets the next slot.

    Args:
        estimator: Source of the learned run times.
    """

    def __init__(self, *, estimator: RunTimeEstimator) -> None:
        """Initializes the order with an estimator."""
        self._estimator = estimator

    @abc.abstractmethod
    def key(self, job: Job) -> float:
        """Returns the sort key of a job; the smallest key goes first."""

    def promote_at_s(self, job: Job) -> float:
        """Returns when the job is promoted ahead of all jobs that are not promoted."""
        del job
        return math.inf


class FirstComeFirstServed(JobOrder):
    """Baseline: orders jobs by arrival time."""

    def key(self, job: Job) -> float:
        """Returns the arrival time."""
        return job.submitted_at_s


class AgedCount(JobOrder):
    """Baseline: unfinished task count minus a credit for each second waited.

    All credits grow at the same rate, so the key is the count plus a term
    proportional to the arrival time.
    """

    def key(self, job: Job) -> float:
        """Returns the unfinished task count plus the arrival-time term."""
        return job.unfinished_count + _CREDIT_TASKS_PER_S * job.submitted_at_s


class DeclaredWork(JobOrder):
    """Baseline: unfinished task count times the declared run time."""

    def key(self, job: Job) -> float:
        """Returns the declared remaining work in seconds."""
        declared_s = job.spec.declared_run_s if job.spec else None
        return job.unfinished_count * (declared_s or 0.2)


class LeastRemainingWork(JobOrder):
    """Orders jobs by remaining work, with promotion of jobs without deadline slack.

    The remaining work is the unfinished task count times the learned mean run time.
    A large job is promoted once its slack is used up, which is when the time to its
    deadline is twice the time that its remaining work needs on a few slots.
    """

    def key(self, job: Job) -> float:
        """Returns the expected remaining work in seconds."""
        return self._remaining_s(job)

    def promote_at_s(self, job: Job) -> float:
        """Returns when the job's slack is used up."""
        needed_s = self._remaining_s(job) / _ASSUMED_SLOT_COUNT
        return job.deadline_at_s - _SLACK_FACTOR * needed_s

    def _remaining_s(self, job: Job) -> float:
        declared_s = job.spec.declared_run_s if job.spec else None
        mean_s = self._estimator.mean_s(job.member, job.service, declared_s)
        return job.unfinished_count * mean_s


class ShortTasksFirst(LeastRemainingWork):
    """Alternative: jobs of short run-time classes always go first.

    Implements the share reserved for urgent short tasks in A. Sodan and X. Huang,
    "SCOJO: Share Based Job Coscheduling", section 3.2, as a strict precedence.
    """

    def key(self, job: Job) -> float:
        """Returns the remaining work, offset by the run-time class."""
        run_time_class = self._estimator.run_time_class(job.member, job.service)
        rank = list(RunTimeClass).index(run_time_class)
        return rank * _CLASS_OFFSET_S + super().key(job)
