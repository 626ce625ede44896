"""TaskDispatcher: turns waiting jobs and slot credit into dispatch messages."""

import collections
import heapq
import itertools
import math

from hawthornbarrow.configuration import Configuration
from hawthornbarrow.dispatch import (
    DEFAULT_RUN_S,
    FairQueue,
    JobOrder,
    PlacementPolicy,
    RunTimeEstimator,
    SchedulingClass,
    UpstreamHealth,
    UpstreamView,
)
from hawthornbarrow.jobs import Job, JobStatus, Placement
from hawthornbarrow.links import DispatchBatch, DispatchItem, SlotDemand, TaskStart

from hawthornbarrow_entry._fleet import FleetView

_DEMAND_CHANGE_FACTOR = 2.0
_DEMAND_INTERVAL_S = 0.02


class TaskDispatcher:
    """Queues the tasks of one entry, places them and batches their dispatch.

    Args:
        fleet: Known state of agents and upstreams.
        health: Health tracker of the upstreams.
        estimator: Estimator of run times.
        order: Policy that orders the jobs of one member.
        placement: Policy that chooses the upstream of a task.
    """

    def __init__(
        self,
        *,
        fleet: FleetView,
        health: UpstreamHealth,
        estimator: RunTimeEstimator,
        order: JobOrder,
        placement: PlacementPolicy,
    ) -> None:
        """Initializes the dispatcher without waiting tasks."""
        self._fleet = fleet
        self._health = health
        self._estimator = estimator
        self._queue = FairQueue(order=order)
        self._placement = placement
        # Heap of (time, sequence number, job, task index).
        self._delayed: list[tuple[float, int, Job, int]] = []
        self._sequence = itertools.count()
        self._waiting_counts: collections.Counter[str] = collections.Counter()
        self._waiting_jobs: set[str] = set()
        self._is_demand_changed = False
        self._sent_backlogs: dict[str, dict[str, int]] = {}
        self._backlog_sent_at_s: dict[str, float] = {}
        self._configuration = Configuration()
        self._usage: collections.Counter[str] = collections.Counter()

    def configure(self, configuration: Configuration) -> None:
        """Applies the weights and quotas of members and the limits of services."""
        self._configuration = configuration
        for name, member in configuration.members.items():
            quota = member.slot_quota if member.slot_quota else math.inf
            self._queue.set_member(name, weight=member.weight, slot_quota=quota)

    def take_usage(self) -> dict[str, float]:
        """Returns the slot time charged to each member since the last call."""
        usage, self._usage = dict(self._usage), collections.Counter()
        return usage

    def charge_elsewhere(self, usage: dict[str, float]) -> None:
        """Charges slot time that members used through another entry."""
        for member, used_s in usage.items():
            self._queue.charge_elsewhere(member, used_s)

    def enqueue(self, job: Job) -> None:
        """Queues all waiting tasks of a job for slots."""
        self._count_waiting(job, job.waiting_count)
        self._queue.push(job)

    def dequeue(self, job: Job) -> None:
        """Removes the waiting tasks of a job that is about to close from the count."""
        self._count_waiting(job, -job.waiting_count)
        self._waiting_jobs.discard(job.job_id)

    def requeue(self, job: Job, index: int, at_s: float, now_s: float) -> None:
        """Queues one task again, at ``at_s`` if that is in the future."""
        if at_s > now_s:
            entry = (at_s, next(self._sequence), job, index)
            heapq.heappush(self._delayed, entry)
            return
        if job.status is JobStatus.RUNNING:
            job.put_back(index)
            self._count_waiting(job, 1)
            self._queue.push(job)

    def release(self, job: Job, placement: Placement, measured_s: float) -> None:
        """Returns the credit of a placed task and corrects its charge."""
        self._usage[job.member] += measured_s
        if not placement.upstream:
            # A previous owner placed the task, so its start was not charged here.
            self._queue.charge_elsewhere(job.member, measured_s)
            return
        view = self._fleet.upstreams.get(placement.upstream)
        if view is not None:
            view.outstanding = max(0, view.outstanding - 1)
        self._queue.charge_end(
            job.member, charged_s=placement.cost_s, measured_s=measured_s
        )

    def dispatch(
        self, incarnation: int, now_s: float
    ) -> list[tuple[str, DispatchBatch]]:
        """Places as many tasks as the slot credit allows.

        Returns:
            One batch for each agent that receives tasks.
        """
        self._requeue_delayed(now_s)
        if not self._waiting_jobs:
            return []
        self._update_contended_ahead()
        items: dict[str, dict[tuple[str, str], DispatchItem]] = {}
        services = self._fleet.services_with_credit()
        candidates: dict[tuple[SchedulingClass, bool], list[UpstreamView]] = {}
        blocked: set[SchedulingClass] = set()
        while True:
            job = self._queue.pick(services, now_s, blocked)
            if job is None:
                break
            candidates_key = (job.scheduling_class, job.repeatable)
            views = candidates.get(candidates_key)
            if views is None:
                views = candidates[candidates_key] = self._candidates(job, now_s)
            view = (
                self._placement.choose(views, self._mean_run_s(job)) if views else None
            )
            if view is None:
                blocked.add(job.scheduling_class)
                continue
            self._place(job, view, items, now_s)
            if view.credit <= 0 or self._health.is_ejected(view.name):
                views.remove(view)
        return [
            (
                agent,
                DispatchBatch(
                    incarnation=incarnation,
                    items=list(agent_items.values()),
                    backlog=self._record_sent_backlog(agent, now_s),
                ),
            )
            for agent, agent_items in items.items()
        ]

    def demands(self, now_s: float) -> list[tuple[str, SlotDemand]]:
        """Returns a demand message for each agent whose backlog has changed enough.

        The backlog of an upstream must have become empty or non-empty, or changed by
        more than ``_DEMAND_CHANGE_FACTOR``. An agent whose backlog was sent less than
        ``_DEMAND_INTERVAL_S`` ago is checked again later.
        """
        demands: list[tuple[str, SlotDemand]] = []
        if not self._is_demand_changed:
            return demands
        self._is_demand_changed = False
        for agent in self._fleet.agents.values():
            if not agent.is_up or not agent.is_registered:
                continue
            if (
                now_s - self._backlog_sent_at_s.get(agent.name, -1.0)
                < _DEMAND_INTERVAL_S
            ):
                self._is_demand_changed = True
            elif self._has_backlog_changed(agent.name):
                backlog = self._record_sent_backlog(agent.name, now_s)
                demands.append((agent.name, SlotDemand(backlog=backlog)))
        return demands

    def reset_sent_backlog(self, agent: str) -> None:
        """Forgets the backlog sent to an agent, because its link is new."""
        self._is_demand_changed = True
        self._sent_backlogs.pop(agent, None)

    def _update_contended_ahead(self) -> None:
        """Shortens the queues at agents while more than one job waits."""
        is_contended = len(self._waiting_jobs) > 1
        ahead_s = self._configuration.tuning.contended_ahead_ms / 1000
        for view in self._fleet.upstreams.values():
            view.contended_ahead = ahead_s / DEFAULT_RUN_S if is_contended else None

    def _candidates(self, job: Job, now_s: float) -> list[UpstreamView]:
        assert job.spec is not None
        return self._fleet.candidates(
            job.service, job.spec.resources, now_s, repeatable=job.repeatable
        )

    def _place(
        self,
        job: Job,
        view: UpstreamView,
        items: dict[str, dict[tuple[str, str], DispatchItem]],
        now_s: float,
    ) -> None:
        assert job.spec is not None
        cost_s = self._mean_run_s(job)
        index = job.pop_waiting_task()
        self._count_waiting(job, -1)
        placement = Placement(
            agent=view.agent,
            upstream=view.name,
            attempt=job.next_attempt(index),
            cost_s=cost_s,
        )
        job.place(index, placement)
        view.outstanding += 1
        self._health.record_sent(view.name)
        self._queue.charge_start(job, cost_s)
        agent_items = items.setdefault(view.agent, {})
        item = agent_items.get((job.job_id, view.name))
        if item is None:
            item = self._build_item(job, view, now_s)
            agent_items[job.job_id, view.name] = item
        item.tasks.append(
            TaskStart(
                index=index,
                attempt=placement.attempt,
                payload=bytes(job.spec.tasks[index]),
            )
        )

    def _build_item(self, job: Job, view: UpstreamView, now_s: float) -> DispatchItem:
        service = self._configuration.services.get(job.service)
        run_limit_s = service.run_limit_s if service else 30.0
        return DispatchItem(
            job=job.job_id,
            epoch=job.epoch,
            key=job.key,
            service=job.service,
            upstream=view.name,
            repeatable=job.repeatable,
            budget_s=job.deadline_at_s - now_s,
            run_limit_s=run_limit_s,
            tasks=[],
        )

    def _mean_run_s(self, job: Job) -> float:
        declared_s = job.spec.declared_run_s if job.spec else None
        return self._estimator.mean_s(job.member, job.service, declared_s)

    def _requeue_delayed(self, now_s: float) -> None:
        while self._delayed and self._delayed[0][0] <= now_s:
            _, _, job, index = heapq.heappop(self._delayed)
            self.requeue(job, index, now_s, now_s)

    def _count_waiting(self, job: Job, count: int) -> None:
        self._waiting_counts[job.service] += count
        if job.waiting_count:
            self._waiting_jobs.add(job.job_id)
        else:
            self._waiting_jobs.discard(job.job_id)
        self._is_demand_changed = True

    def _backlog(self, agent: str) -> dict[str, int]:
        return {
            view.name: sum(
                self._waiting_counts[name] for name in view.announcement.services
            )
            for view in self._fleet.upstreams.values()
            if view.agent == agent and view.is_open
        }

    def _has_backlog_changed(self, agent: str) -> bool:
        sent = self._sent_backlogs.get(agent, {})
        for upstream, waiting in self._backlog(agent).items():
            previous = sent.get(upstream, 0)
            if bool(previous) != bool(waiting):
                return True
            if (
                waiting > previous * _DEMAND_CHANGE_FACTOR
                or previous > waiting * _DEMAND_CHANGE_FACTOR
            ):
                return True
        return False

    def _record_sent_backlog(self, agent: str, now_s: float) -> dict[str, int]:
        backlog = self._backlog(agent)
        self._sent_backlogs[agent] = backlog
        self._backlog_sent_at_s[agent] = now_s
        return backlog
