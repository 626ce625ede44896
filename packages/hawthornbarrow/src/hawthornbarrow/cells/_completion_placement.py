"""CompletionPlacement: places a task by the time at which it probably ends."""

import collections
import typing

from hawthornbarrow.cells._job_record import OVERHEAD_S, JobRecord
from hawthornbarrow.cells._rack_index import RackIndex
from hawthornbarrow.cells._release_rates import ReleaseRates
from hawthornbarrow.cells._tail_run_times import TailRunTimes
from hawthornbarrow.cells._worker_choice import WorkerChoice, WorkerFilter
from hawthornbarrow.cells._worker_pool import WorkerPool
from hawthornbarrow.cells._worker_selector import WorkerSelector
from hawthornbarrow.cells._worker_view import WorkerView

_MIN_RUN_S = 1e-6
_ANY_CPU = -(2**31)  # less than is free on any worker, also after its capacity shrank
# Interval of the sweeps that refuse jobs at their ``refuse_by_s``.
_REFUSAL_MARGIN_S = 0.1
# Free fraction of the capacity from which late runs away from their data displace no
# others.
_SPARE_FRACTION = 0.25


class _Group(typing.NamedTuple):
    """Workers on which a task takes equally long.

    Attributes:
        ratio: Run time there over that on a local worker of middle speed.
        speed_class: Their speed class.
        is_remote: Whether they are away from the rack of the data.
    """

    ratio: float
    speed_class: int
    is_remote: bool


class _Plan(typing.NamedTuple):
    """Where the tasks of a step go at one time.

    Attributes:
        rack: Rack of the data, empty where the task names none.
        groups: Groups of workers, the preferred first.
        in_time_count: How many of them are in time.
        expected_s: Expected run time of a task, local on a worker of middle speed.
        low_s: Short probable run time.
        low_slack_s: Time left for a task that is as short; the objective of a job of
            short tasks is short, too.
    """

    rack: str
    groups: list[_Group]
    in_time_count: int
    expected_s: float
    low_s: float
    low_slack_s: float


class CompletionPlacement(WorkerChoice):
    """Chooses workers on which a task ends by its objective.

    It handles uneven workers and a rack that many jobs want. Of these workers, it
    chooses the fastest near the data; remote runs are avoided, as they use more
    capacity. Where no free worker is in time, the task waits if a worker on which it is
    in time is expected soon enough, and otherwise goes where it ends soonest.

    Args:
        pool: The attached workers.
        index: Their index.
        selector: Decides which workers may run a step.
        run_times: Expected run times.
        releases: Capacity that is released per second.
        counts: Event counters, in which the decisions are counted.
    """

    def __init__(
        self,
        *,
        pool: WorkerPool,
        index: RackIndex,
        selector: WorkerSelector,
        run_times: TailRunTimes,
        releases: ReleaseRates,
        counts: collections.Counter[str],
    ) -> None:
        """Stores the workers and what is known of run times."""
        self._pool = pool
        self._index = index
        self._selector = selector
        self._run_times = run_times
        self._releases = releases
        self._counts = counts
        self._now_s = 0.0
        self._groups: dict[tuple[str, str, bool], list[_Group]] = {}
        self._has_spare: dict[str, bool] = {}
        self._plan_job: JobRecord | None = None
        self._plan_step = 0
        self._plan = _Plan("", [], 0, 0.0, 0.0, 0.0)

    def begin_pass(self, now_s: float) -> None:
        """Begins a pass through the waiting tasks."""
        self._now_s = now_s
        self._plan_job = None
        self._groups.clear()
        self._has_spare.clear()
        self._releases.begin_pass(now_s)

    def choose(
        self,
        job: JobRecord,
        step: int,
        index: int,
        service: str,
        may_use: WorkerFilter | None,
        now_s: float,
    ) -> WorkerView | None:
        """Returns the worker for a task, or None where it has to wait."""
        if self._plan_job is not job or self._plan_step != step:
            self._plan_job, self._plan_step = job, step
            self._plan = self._build_plan(job, step, service)
        avoided = job.tasks[step][index].avoided
        for is_avoided in (False, True) if avoided else (False,):
            for position, group in enumerate(self._plan.groups):
                worker = self._find(
                    job, step, service, group, may_use, avoided, is_avoided
                )
                if worker is None:
                    continue
                is_late = position >= self._plan.in_time_count
                if is_late and self._should_wait(job, step, service, position):
                    self._counts["task_deferred"] += 1
                    return None
                self._record(job, step, service, group, worker, is_late)
                return worker
        return None

    def _find(
        self,
        job: JobRecord,
        step: int,
        service: str,
        group: _Group,
        may_use: WorkerFilter | None,
        avoided: set[str],
        is_avoided: bool,
    ) -> WorkerView | None:
        """Returns the worker of a group with the most free CPU that may run a task."""
        each = job.document.steps[step].each
        rack = self._plan.rack
        near = "" if group.is_remote else rack
        for worker in self._index.near(service, near, group.speed_class, each.cpu):
            if group.is_remote and rack in worker.record.labels:
                continue
            if avoided and (worker.agent in avoided) is not is_avoided:
                continue
            if may_use is not None and not may_use(worker):
                continue
            if each.fits_into(worker.free) and self._selector.may_run(
                job, step, worker, self._now_s
            ):
                return worker
        return None

    def _record(
        self,
        job: JobRecord,
        step: int,
        service: str,
        group: _Group,
        worker: WorkerView,
        is_late: bool,
    ) -> None:
        """Counts a start, and the capacity that it takes."""
        if is_late:
            self._counts["task_placed_late"] += 1
        if group.is_remote:
            self._counts["task_placed_remote"] += 1
        cpu = job.document.steps[step].each.cpu
        priority = job.queue.priority
        releases = self._releases
        releases.record_start((service, "", group.speed_class), cpu, priority)
        for rack in self._index.tracked_racks(worker):
            releases.record_start((service, rack, group.speed_class), cpu, priority)

    def _build_plan(self, job: JobRecord, step: int, service: str) -> _Plan:
        """Returns where the tasks of a step go, the same for all of them.

        All estimates of a job are taken to be off by the same factor. As the objective
        grows with the run times, the shortest probable ones decide for a job that has
        waited for long, and the longest ones for any other.
        """
        queue = job.queue
        step_request = job.document.steps[step]
        estimated_s = max(_MIN_RUN_S, step_request.estimated_s)
        expected_s = self._run_times.expected_task_s(queue.name, estimated_s)
        chain = job.document.longest_chain_s / estimated_s
        rest = chain - _chain_until(job, step) / estimated_s
        # A run r times as long as expected is in time on workers of a ratio of up to
        # ``slope + left_s / (r * expected_s)``.
        slope = queue.slack_factor * chain - rest
        left_s = queue.objective_s - OVERHEAD_S - (self._now_s - job.arrived_at_s)
        distribution = self._run_times.distribution(queue.name)
        low_s = distribution.low_ratio * expected_s
        if left_s >= 0:
            safe_ratio = slope + left_s / (distribution.safe_ratio * expected_s)
            max_ratio = slope + left_s / (distribution.high_ratio * expected_s)
        else:
            safe_ratio = max_ratio = slope + left_s / low_s
        rack = step_request.rack
        if rack:
            self._index.track_rack(service, rack)
        groups, in_time_count = _order(
            self._groups_for(service, queue.name, bool(rack)), safe_ratio, max_ratio
        )
        return _Plan(
            rack, groups, in_time_count, expected_s, low_s, slope * low_s + left_s
        )

    def _groups_for(self, service: str, queue: str, has_rack: bool) -> list[_Group]:
        """Returns all groups, local ones first, then the fastest first."""
        groups = self._groups.get((service, queue, has_rack))
        if groups is None:
            groups = [
                _Group(self._run_times.class_slowness(speed_class), speed_class, False)
                for speed_class in self._index.speed_classes(service)
            ]
            groups.sort()
            if has_rack:
                factor = self._run_times.remote_factor(queue)
                groups += [
                    _Group(ratio * factor, speed_class, True)
                    for ratio, speed_class, _ in groups
                ]
            self._groups[service, queue, has_rack] = groups
        return groups

    def _should_wait(
        self, job: JobRecord, step: int, service: str, position: int
    ) -> bool:
        """Returns whether a task waits rather than start where it is late.

        Args:
            job: The job.
            step: Position of the step.
            service: Service of the workers.
            position: Position of the group with free capacity among those of the plan.
        """
        plan = self._plan
        free = plan.groups[position]
        if (
            free.is_remote
            and not self._has_spare_capacity(service)
            and self._has_local_worker(job, step, service)
        ):
            return True
        if self._now_s + _REFUSAL_MARGIN_S >= job.refuse_by_s:
            return False
        cpu = job.document.steps[step].each.cpu
        for better_position, group in enumerate(plan.groups[:position]):
            key = (service, "" if group.is_remote else plan.rack, group.speed_class)
            wait_s = self._releases.wait_s(key, cpu, job.queue.priority)
            if better_position < plan.in_time_count:
                is_better = wait_s <= plan.low_slack_s - group.ratio * plan.low_s
            else:
                is_better = wait_s < (free.ratio - group.ratio) * plan.expected_s
            if is_better:
                self._releases.promise(key, cpu)
                return True
        return False

    def _has_local_worker(self, job: JobRecord, step: int, service: str) -> bool:
        """Returns whether a worker in the rack of the data may run a step's tasks."""
        return any(
            self._selector.may_run(job, step, worker, self._now_s)
            for speed_class in self._index.speed_classes(service)
            for worker in self._index.near(
                service, self._plan.rack, speed_class, _ANY_CPU
            )
        )

    def _has_spare_capacity(self, service: str) -> bool:
        """Returns whether a part of the capacity was free when the pass began."""
        has_spare = self._has_spare.get(service)
        if has_spare is None:
            capacity = self._pool.ready_capacity(service)
            has_spare = capacity.free_cores >= _SPARE_FRACTION * capacity.rate_cores
            self._has_spare[service] = has_spare
        return has_spare


def _order(
    groups: list[_Group], safe_ratio: float, max_ratio: float
) -> tuple[list[_Group], int]:
    """Returns groups in the order of preference, and how many of them are in time.

    Those that are in time for a run of the tail, too, come first, and late ones last.

    Args:
        groups: The groups.
        safe_ratio: Ratio up to which a run of the tail is in time.
        max_ratio: Ratio up to which a run of a probable time is in time.
    """
    safe = [group for group in groups if group.ratio <= safe_ratio]
    if len(safe) == len(groups):
        return groups, len(groups)
    probable = [group for group in groups if safe_ratio < group.ratio <= max_ratio]
    late = sorted(group for group in groups if group.ratio > max_ratio)
    return safe + probable + late, len(safe) + len(probable)


def _chain_until(job: JobRecord, step: int) -> float:
    """Returns the estimated run time of the longest chain that ends with a step."""
    steps = job.document.steps
    if len(steps) == 1:
        return steps[0].estimated_s
    ends_s: list[float] = []
    for item in steps[: step + 1]:
        before_s = max((ends_s[index] for index in item.after), default=0.0)
        ends_s.append(before_s + item.estimated_s)
    return ends_s[step]
