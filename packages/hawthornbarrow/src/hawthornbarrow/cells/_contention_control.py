"""ContentionControl: admission and shares by what is requested and expected."""

import collections
import collections.abc
import itertools

from hawthornbarrow.cells._admission import Admission, AdmissionDecision, Outlook
from hawthornbarrow.cells._arrival_forecast import ArrivalForecast
from hawthornbarrow.cells._job_record import JobRecord, Lane
from hawthornbarrow.cells._load_features import LoadFeature
from hawthornbarrow.cells._ordering import (
    ContentionOrder,
    JobOrder,
    ReturnedFirstOrder,
    TimelyPriorityOrder,
)
from hawthornbarrow.cells._parts import QueueLevel
from hawthornbarrow.cells._queue_capacity import QueueCapacity
from hawthornbarrow.cells._ready_capacity import CapacitySum
from hawthornbarrow.cells._return_plan import ReturnPlan
from hawthornbarrow.cells._run_times import RunTimes
from hawthornbarrow.cells._shares import WINDOW_S, Shares
from hawthornbarrow.cells._waiting_jobs import WaitingJobs
from hawthornbarrow.queues import Queue, QueueTable

_MIN_FREE_PART = 0.15  # of the rate that is assumed for jobs of the last priority
_ESTIMATE_DEVIATION = 0.45  # of a job's work over its estimate
_MAX_LEVELS = 256
_SHORT_BACKLOG_S = 0.3  # of the workers' rate; more is a shortage
_AHEAD_S = 0.5  # for which arrivals are predicted


class ContentionControl:
    """Applies the enabled ones of shares, forecast, return plan and queue levels.

    It starts without history, as after a takeover, and decides as without the features
    until its history covers the sliding window.

    While the queues of a service are confined because of crashes, its workers are
    divided by that, and the shares do not apply to it.

    Args:
        features: The enabled features.
        admission: Decides on single jobs.
        run_times: Expected run times.
        capacity: Workers that each queue may use.
        counts: Event counters.
        now_s: Current time.
    """

    def __init__(
        self,
        *,
        features: frozenset[LoadFeature],
        admission: Admission,
        run_times: RunTimes,
        capacity: QueueCapacity,
        counts: collections.Counter[str],
        now_s: float,
    ) -> None:
        """Initializes the control without any history."""
        self._active_from_s = now_s + WINDOW_S
        self._is_active = False
        self._admission = admission
        self._run_times = run_times
        self._capacity = capacity
        self._uses_forecast = LoadFeature.FORECAST in features
        is_predicting = self._uses_forecast or LoadFeature.RETURN_PLAN in features
        self._forecast = ArrivalForecast() if is_predicting else None
        self._shares = (
            Shares(
                forecast=self._forecast if self._uses_forecast else None,
                counts=counts,
            )
            if LoadFeature.SHARES in features
            else None
        )
        self._return_plan = (
            ReturnPlan() if LoadFeature.RETURN_PLAN in features else None
        )
        self._has_levels = LoadFeature.EARLY_REFUSAL in features
        self._counts = counts
        self._waiting = WaitingJobs(order=TimelyPriorityOrder())
        self._table: QueueTable | None = None
        self._overtaking: dict[tuple[str, int], float] = {}

    @property
    def gauges(self) -> dict[str, int]:
        """Current values of the gauges, by name; empty where the features are off."""
        gauges = {}
        if self._shares is not None:
            gauges["contended_services"] = self._shares.contended_count
        if self._forecast is not None:
            gauges["forecast_bursts"] = self._forecast.burst_count
        if self._return_plan is not None:
            gauges["remembered_refusals"] = self._return_plan.remembered_count
        return gauges

    def order_for(self, order: JobOrder) -> JobOrder:
        """Returns the order of waiting jobs, given that without the features."""
        if self._return_plan is not None:
            order = ReturnedFirstOrder(order=order)
        if self._shares is not None:
            order = ContentionOrder(shares=self._shares, otherwise=order)
        return order

    def set_waiting(self, waiting: WaitingJobs) -> None:
        """Sets the jobs with waiting tasks."""
        self._waiting = waiting

    def set_table(self, table: QueueTable) -> None:
        """Sets the configuration in force."""
        self._table = table

    # Jobs

    def record_request(
        self, job: JobRecord, now_s: float, *, was_offered: bool
    ) -> None:
        """Records a new job, and sets its lane.

        Args:
            job: The job.
            now_s: Current time.
            was_offered: Whether it was handed over from a previous dispatcher. These
                jobs arrive together and say nothing about those that will arrive.
        """
        core_s = self._work_core_s(job)
        if self._forecast is not None and not was_offered:
            self._forecast.record(job.queue.name, core_s, now_s)
        if self._return_plan is not None and self._return_plan.take(job.job):
            job.lane = Lane.RETURNED
            self._counts["job_returned"] += 1
        if self._shares is not None:
            self._shares.record_request(job, core_s, now_s)

    def record_start(
        self, job: JobRecord, estimated_core_s: float, now_s: float
    ) -> None:
        """Records that tasks of a job of some estimated work started."""
        if self._shares is not None:
            core_s = self._run_times.expected_s(job.queue.name, estimated_core_s)
            self._shares.record_start(job, core_s, now_s)

    def evaluate(
        self,
        job: JobRecord,
        ahead_core_s: float,
        capacity: CapacitySum,
        now_s: float,
        *,
        start_delay_s: float = 0.0,
    ) -> AdmissionDecision:
        """Decides whether a job is admitted.

        Args:
            job: The new job.
            ahead_core_s: Expected work of the jobs of its and higher priorities.
            capacity: Capacity of the workers that may run it.
            now_s: Current time.
            start_delay_s: Time until new jobs may start.
        """
        if self._is_shared(job.queue.service):
            ahead_core_s = self._lane_work_core_s(job, now_s)
        elif job.lane is Lane.RETURNED:
            ahead_core_s -= self._new_work_core_s(job, now_s)
        return self._admission.evaluate(
            job,
            max(0.0, ahead_core_s),
            capacity,
            now_s,
            start_delay_s=start_delay_s,
            outlook=self._outlook(job, capacity, now_s),
        )

    def refuse(
        self,
        job: JobRecord,
        wait_s: float,
        retry_after_s: float,
        capacity: CapacitySum,
        now_s: float,
    ) -> float:
        """Records the refusal of a job that has not begun; returns its Retry-After.

        Args:
            job: The job.
            wait_s: Its predicted wait.
            retry_after_s: Its Retry-After without a return plan.
            capacity: Capacity of the workers that may run it.
            now_s: Current time.
        """
        core_s = self._work_core_s(job)
        if self._shares is not None:
            self._shares.record_refusal(job, core_s, now_s)
        if self._return_plan is None or not self._is_active:
            return retry_after_s
        free_cores = self._free_rate_cores(job.queue.service, capacity, now_s)
        return float(self._return_plan.book(job.job, core_s, wait_s, free_cores, now_s))

    def describe(
        self, job: JobRecord, capacity: CapacitySum, now_s: float
    ) -> dict[str, object]:
        """Returns the inputs of a decision on a job that the features add."""
        outlook = self._outlook(job, capacity, now_s)
        if outlook is None:
            return {}
        inputs = {
            "lane": job.lane.name.lower(),
            "rate_cores": round(outlook.rate_cores, 1),
            "is_contended": self._is_shared(job.queue.service),
        }
        if self._uses_forecast:
            rate = self._forecast.predict(job.queue.name, now_s)
            inputs["arriving_cores"] = round(rate.rate_cores, 1)
            inputs["arriving_error_cores"] = round(rate.error_cores, 1)
        return inputs

    def find_infeasible(
        self,
        waiting: collections.abc.Sequence[JobRecord],
        capacity: CapacitySum,
        now_s: float,
        *,
        start_delay_s: collections.abc.Callable[[JobRecord], float],
    ) -> list[JobRecord]:
        """Returns waiting jobs that have not begun and that others displaced.

        Under contention a job can count on the rate of its lane only.
        """
        if not waiting or not self._is_shared(waiting[0].queue.service):
            return self._admission.find_infeasible(
                waiting, capacity, now_s, start_delay_s=start_delay_s
            )
        lanes: dict[tuple[str, Lane], list[JobRecord]] = {}
        for job in waiting:
            lanes.setdefault((job.queue.name, job.lane), []).append(job)
        displaced = [
            infeasible
            for jobs in lanes.values()
            for infeasible in self._admission.find_infeasible(
                jobs,
                capacity,
                now_s,
                start_delay_s=start_delay_s,
                outlook=self._outlook(jobs[0], capacity, now_s),
            )
        ]
        self._counts["job_displaced"] += len(displaced)
        return displaced

    # Time

    def update(self, now_s: float) -> None:
        """Computes shares and the state of contention anew."""
        self._overtaking.clear()
        self._is_active = now_s >= self._active_from_s
        if not self._is_active:
            return
        if self._shares is None and self._return_plan is None:
            return
        backlogs = self._backlogs_by_service(now_s)
        is_short = False
        has_changed = False
        for service, of_service in backlogs.items():
            rate_cores = self._capacity.of_service(service).rate_cores
            if self._shares is not None:
                has_changed |= self._shares.refresh(
                    service, rate_cores, of_service, now_s
                )
            is_short |= sum(of_service.values()) > rate_cores * _SHORT_BACKLOG_S
        if self._return_plan is not None:
            self._return_plan.update(is_short=is_short, now_s=now_s)
        if has_changed:
            self._waiting.touch_all()

    def _backlogs_by_service(self, now_s: float) -> dict[str, dict[str, float]]:
        if self._table is None:
            return {}
        backlogs = {service: {} for service in self._table.services}
        by_queue = self._waiting.work_by_queue(self._run_times, now_s)
        for name, core_s in by_queue.items():
            queue = self._table.queues.get(name)
            if queue is not None:
                backlogs[queue.service][name] = core_s
        return backlogs

    def levels(self, now_s: float) -> tuple[QueueLevel, ...]:
        """Returns what new jobs of each queue can expect, none where that is off.

        A level leaves out the new job's own work, so that entries refuse only what
        waits too long in any case.
        """
        if not self._has_levels or self._table is None:
            return ()
        queues = itertools.islice(self._table.queues.values(), _MAX_LEVELS)
        ahead_core_s: dict[int, float] = {}
        return tuple(self._level(queue, ahead_core_s, now_s) for queue in queues)

    def _level(
        self, queue: Queue, ahead_core_s: dict[int, float], now_s: float
    ) -> QueueLevel:
        """Returns the level of a queue.

        Args:
            queue: The queue.
            ahead_core_s: Work ahead by priority, computed once for all queues.
            now_s: Current time.
        """
        capacity = self._capacity.of_queue(queue.service, queue.name)
        if self._is_shared(queue.service):
            wait_s = self._lane_wait_s(queue, now_s)
        else:
            wait_s = self._work_ahead_core_s(queue, ahead_core_s, now_s)
            wait_s /= self._admission.rate_cores(capacity)
        retry_after_s = self._admission.retry_after_s(wait_s)
        if self._return_plan is not None and self._is_active:
            retry_after_s = float(self._return_plan.preview(wait_s, now_s))
        return QueueLevel(queue=queue.name, wait_s=wait_s, retry_after_s=retry_after_s)

    def _lane_wait_s(self, queue: Queue, now_s: float) -> float:
        """Returns the wait in the lane of most jobs, or in all lanes if less."""
        by_lane = [
            self._waiting.lane_work_core_s(queue, lane, self._run_times, now_s)
            for lane in Lane
        ]
        lane_rate = self._shares.lane_rate_cores(queue, Lane.SMALL, now_s)
        return min(
            by_lane[Lane.SMALL] / lane_rate,
            sum(by_lane) / self._shares.queue_rate_cores(queue),
        )

    def _work_ahead_core_s(
        self, queue: Queue, ahead_core_s: dict[int, float], now_s: float
    ) -> float:
        if self._capacity.is_divided:
            return self._waiting.work_ahead_core_s(
                queue.priority,
                self._run_times,
                now_s,
                shares_workers=lambda other: self._capacity.are_shared(
                    queue.service, queue.name, other
                ),
            )
        if queue.priority not in ahead_core_s:
            ahead_core_s[queue.priority] = self._waiting.work_ahead_core_s(
                queue.priority, self._run_times, now_s
            )
        return ahead_core_s[queue.priority]

    # Predictions

    def _is_shared(self, service: str) -> bool:
        return (
            self._shares is not None
            and self._shares.is_contended(service)
            and not self._capacity.is_divided
        )

    def _outlook(
        self, job: JobRecord, capacity: CapacitySum, now_s: float
    ) -> Outlook | None:
        """Returns what is known beyond the capacity and the work ahead, or None."""
        deviation = _ESTIMATE_DEVIATION if self._uses_forecast else 0.0
        if self._is_shared(job.queue.service):
            rate_cores = self._shares.lane_rate_cores(job.queue, job.lane, now_s)
            return Outlook(rate_cores=rate_cores, deviation=deviation)
        if not self._uses_forecast or not self._is_active:
            return None
        rate_cores = self._admission.rate_cores(capacity)
        overtaking = self._overtaking_cores(job.queue, now_s)
        return Outlook(
            rate_cores=max(rate_cores - overtaking, rate_cores * _MIN_FREE_PART),
            deviation=deviation,
        )

    def _overtaking_cores(self, queue: Queue, now_s: float) -> float:
        """Returns the rate of work that arrives and goes before jobs of a queue."""
        if self._table is None or self._capacity.is_divided:
            return 0.0
        key = (queue.service, queue.priority)
        if key not in self._overtaking:
            self._overtaking[key] = sum(
                self._forecast.predict(other.name, now_s, _AHEAD_S).rate_cores
                for other in self._table.queues.values()
                if other.priority < queue.priority and other.service == queue.service
            )
        return self._overtaking[key]

    def _free_rate_cores(
        self, service: str, capacity: CapacitySum, now_s: float
    ) -> float:
        """Returns the capacity that is free at the normal demand of a service."""
        rate_cores = self._admission.rate_cores(capacity)
        demand_cores = (
            sum(
                self._forecast.predict(queue.name, now_s).usual_cores
                for queue in self._table.queues.values()
                if queue.service == service
            )
            if self._table
            else 0.0
        )
        return max(rate_cores - demand_cores, rate_cores * _MIN_FREE_PART)

    def _work_core_s(self, job: JobRecord) -> float:
        return self._run_times.expected_s(job.queue.name, job.remaining_work)

    def _lane_work_core_s(self, job: JobRecord, now_s: float) -> float:
        return self._waiting.lane_work_core_s(
            job.queue, job.lane, self._run_times, now_s
        )

    def _new_work_core_s(self, job: JobRecord, now_s: float) -> float:
        """Returns the waiting work of a queue's jobs that were not refused before."""
        return sum(
            self._waiting.lane_work_core_s(job.queue, lane, self._run_times, now_s)
            for lane in Lane
            if lane is not Lane.RETURNED
        )
