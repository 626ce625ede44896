"""OutcomeHandler: applies the outcomes of attempts to their jobs."""

import collections
import dataclasses
import random

from hawthornbarrow.configuration import Configuration, Service
from hawthornbarrow.dispatch import RetryBudget, RunTimeEstimator, UpstreamHealth
from hawthornbarrow.jobs import Job, JobStatus, Placement
from hawthornbarrow.links import TaskOutcome, TaskResult
from hawthornbarrow.upstreams import CallOutcome

from hawthornbarrow_entry._fleet import FleetView
from hawthornbarrow_entry._task_dispatcher import TaskDispatcher

_BACKOFF_MIN_S = 0.05
_BACKOFF_MAX_S = 2.0
_UPSTREAM_FAULTS = frozenset(
    {
        CallOutcome.REFUSED,
        CallOutcome.RESET_BEFORE_SENT,
        CallOutcome.RESET_AFTER_SENT,
        CallOutcome.MALFORMED_ANSWER,
        CallOutcome.TRUNCATED,
        CallOutcome.SERVER_ERROR,
        CallOutcome.DECLINED,
        CallOutcome.TIMED_OUT,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobOutcome:
    """Final state that a job must move to, and the reason."""

    status: JobStatus
    reason: str


class OutcomeHandler:
    """Decides on retry, completion or failure after each attempt of a task.

    The rules differ for repeatable and non-repeatable jobs.

    Args:
        dispatcher: Dispatcher for tasks that must run again.
        health: Health tracker of the upstreams.
        estimator: Estimator of run times.
        budget: Limit on retries.
        fleet: Known state of agents and upstreams.
        generator: Seeded random generator for backoff jitter.
    """

    def __init__(
        self,
        *,
        dispatcher: TaskDispatcher,
        health: UpstreamHealth,
        estimator: RunTimeEstimator,
        budget: RetryBudget,
        fleet: FleetView,
        generator: random.Random,
    ) -> None:
        """Stores the components."""
        self._dispatcher = dispatcher
        self._health = health
        self._estimator = estimator
        self._budget = budget
        self._fleet = fleet
        self._generator = generator
        self._services: dict[str, Service] = {}
        self._may_still_run: set[str] = set()
        self._recovered_outcomes: dict[str, JobOutcome] = {}
        self.wasted: collections.Counter[str] = collections.Counter()

    def configure(self, configuration: Configuration) -> None:
        """Applies the limits of the services."""
        self._services = configuration.services

    def on_result(
        self, job: Job | None, agent: str, result: TaskResult, now_s: float
    ) -> JobOutcome | None:
        """Processes a result; returns the job's outcome if it becomes final."""
        if job is None or job.status.is_final or result.epoch != job.epoch:
            self.wasted["late"] += 1
            return None
        placement = job.placed.get(result.index)
        if placement is None or placement.attempt != result.attempt:
            self.wasted["duplicate"] += 1
            return None
        if placement.agent != agent:
            self.wasted["crossed"] += 1
            return None
        self._dispatcher.release(job, placement, result.run_s)
        self._record_upstream_health(job, result, now_s)
        if result.outcome is TaskOutcome.COMPLETED:
            return self._on_completed(job, result)
        detail = f"task {result.index} at {result.upstream}: {result.reason}"
        job.timeline.add(now_s, result.outcome.value, detail)
        if result.outcome is TaskOutcome.NOT_STARTED:
            return self._on_not_started(job, result, now_s)
        if result.outcome is TaskOutcome.FAILED:
            return self._on_failed(job, result, now_s)
        return self._on_uncertain(job, result.index, result.upstream, detail, now_s)

    def on_recovered_result(self, job: Job, agent: str, result: TaskResult) -> None:
        """Processes a result that an agent kept for the previous owner."""
        placement = Placement(
            agent=agent, upstream="", attempt=result.attempt, cost_s=0.0
        )
        if result.outcome is TaskOutcome.COMPLETED:
            job.adopt(result.index, placement)
            job.finish(result.index, result.body)
            return
        job.adopt(result.index, placement)
        job.placed.pop(result.index)
        if job.repeatable:
            if result.outcome is TaskOutcome.UNKNOWN and not self._stops_on_disconnect(
                result.upstream
            ):
                self._may_still_run.add(job.job_id)
            return
        is_known = result.outcome is TaskOutcome.FAILED
        status = JobStatus.FAILED if is_known else JobStatus.UNKNOWN
        reason = f"task {result.index} at {result.upstream}: {result.reason}"
        self._recovered_outcomes[job.job_id] = JobOutcome(status=status, reason=reason)

    def pop_recovered_outcome(self, job: Job) -> JobOutcome | None:
        """Removes and returns the final outcome from recovered results, if any."""
        return self._recovered_outcomes.pop(job.job_id, None)

    def rerun_delay_s(self, job: Job, lost: set[str]) -> float:
        """Returns how long a recovered job must wait before its tasks run again.

        A task may still be running until its run-time limit if an agent reported its
        outcome as unknown or if it was at a lost agent. It can not if the upstream
        (for a lost agent: each known upstream) stops a task whose connection closes.
        The delay is the longest run-time limit of all services.
        """
        may_still_run = job.job_id in self._may_still_run
        self._may_still_run.discard(job.job_id)
        if lost and not all(map(self._stops_on_disconnect, self._fleet.upstreams)):
            may_still_run = True
        if not may_still_run:
            return 0.0
        limits = [service.run_limit_s for service in self._services.values()]
        return max(limits, default=Service().run_limit_s)

    def on_agent_lost(
        self, job: Job, agent: str, reason: str, now_s: float
    ) -> JobOutcome | None:
        """Resolves the tasks of a job that were at an agent that lost them."""
        lost = [
            (index, placement)
            for index, placement in job.placed.items()
            if placement.agent == agent
        ]
        for index, placement in lost:
            detail = f"task {index} at {placement.upstream or agent}: {reason}"
            job.timeline.add(now_s, "lost", detail)
            if not job.repeatable:
                return JobOutcome(status=JobStatus.UNKNOWN, reason=detail)
            self._dispatcher.release(job, placement, 0.0)
            del job.placed[index]
            outcome = self._on_uncertain(job, index, placement.upstream, detail, now_s)
            if outcome is not None:
                return outcome
        return None

    def release_all(self, job: Job) -> None:
        """Returns the credit of all placed tasks of a job."""
        for placement in job.placed.values():
            self._dispatcher.release(job, placement, 0.0)
        job.placed.clear()

    def _on_completed(self, job: Job, result: TaskResult) -> JobOutcome | None:
        self._budget.record_success()
        self._estimator.observe(job.member, job.service, result.run_s)
        job.finish(result.index, result.body)
        if job.unfinished_count:
            return None
        return JobOutcome(status=JobStatus.COMPLETED, reason="")

    def _on_not_started(
        self, job: Job, result: TaskResult, now_s: float
    ) -> JobOutcome | None:
        is_fault = result.reason in _UPSTREAM_FAULTS
        delay_s = self._backoff_s(job, result.index) if is_fault else 0.0
        self._requeue(job, result.index, now_s + delay_s, now_s)
        return None

    def _on_failed(
        self, job: Job, result: TaskResult, now_s: float
    ) -> JobOutcome | None:
        detail = f"task {result.index}: {result.reason}"
        is_final = result.reason == CallOutcome.CLIENT_ERROR
        if not is_final and self._may_retry(job, result.index):
            delay_s = self._backoff_s(job, result.index)
            self._requeue(job, result.index, now_s + delay_s, now_s)
            return None
        return JobOutcome(status=JobStatus.FAILED, reason=detail)

    def _on_uncertain(
        self, job: Job, index: int, upstream: str, detail: str, now_s: float
    ) -> JobOutcome | None:
        """Resolves a task that may have run or may still be running.

        It runs again only if it is repeatable and can no longer be running: after
        the backoff if the upstream stops a task whose connection closes, otherwise
        after the backoff plus the run-time limit.
        """
        if not job.repeatable:
            return JobOutcome(status=JobStatus.UNKNOWN, reason=detail)
        if not self._may_retry(job, index):
            return JobOutcome(status=JobStatus.FAILED, reason=detail)
        delay_s = self._backoff_s(job, index)
        if not self._stops_on_disconnect(upstream):
            delay_s += self._run_limit_s(job)
        self._requeue(job, index, now_s + delay_s, now_s)
        return None

    def _stops_on_disconnect(self, upstream: str) -> bool:
        """Returns whether an upstream stops a task whose connection closes."""
        view = self._fleet.upstreams.get(upstream)
        return view is not None and view.announcement.stops_on_disconnect

    def _may_retry(self, job: Job, index: int) -> bool:
        if not job.repeatable:
            return False
        service = self._services.get(job.service)
        attempts = service.attempts if service else 1
        return job.next_attempt(index) <= attempts and self._budget.try_retry()

    def _run_limit_s(self, job: Job) -> float:
        service = self._services.get(job.service)
        return service.run_limit_s if service else Service().run_limit_s

    def _requeue(self, job: Job, index: int, at_s: float, now_s: float) -> None:
        job.placed.pop(index, None)
        self._dispatcher.requeue(job, index, at_s, now_s)

    def _backoff_s(self, job: Job, index: int) -> float:
        exponent = min(job.next_attempt(index), 8)
        ceiling_s = min(_BACKOFF_MIN_S * 2**exponent, _BACKOFF_MAX_S)
        return self._generator.uniform(ceiling_s / 2, ceiling_s)

    def _record_upstream_health(
        self, job: Job, result: TaskResult, now_s: float
    ) -> None:
        is_fault = result.reason in _UPSTREAM_FAULTS
        if result.outcome is TaskOutcome.NOT_STARTED and not is_fault:
            return
        mean_s = self._estimator.mean_s(job.member, job.service, None)
        self._health.record(
            result.upstream,
            failed=is_fault,
            run_time_ratio=result.run_s / max(mean_s, 0.001),
            now_s=now_s,
        )
