"""ReadyCapacity: sums over the workers of each service that accept tasks."""

import collections.abc
import dataclasses

from hawthornbarrow.cells._run_time_model import RunTimeModel
from hawthornbarrow.cells._worker_view import WorkerView


@dataclasses.dataclass(frozen=True, kw_only=True)
class CapacitySum:
    """Capacity of several workers.

    Attributes:
        worker_count: Number of workers.
        rate_cores: Core-seconds of work that they complete per second.
        free_cores: Free cores.
    """

    worker_count: int = 0
    rate_cores: float = 0.0
    free_cores: float = 0.0

    def minus(self, part: "CapacitySum") -> "CapacitySum":
        """Returns the capacity without that of some of the workers."""
        return CapacitySum(
            worker_count=self.worker_count - part.worker_count,
            rate_cores=max(0.0, self.rate_cores - part.rate_cores),
            free_cores=max(0.0, self.free_cores - part.free_cores),
        )


@dataclasses.dataclass(kw_only=True)
class _Sum:
    worker_count: int = 0
    rate_cores: float = 0.0
    free_cpu: int = 0


class ReadyCapacity:
    """Keeps the sums as workers change, so that no decision adds up all workers.

    Workers become silent as time passes. The sums show that after the next
    ``refresh_all``, which also removes rounding errors.

    Args:
        run_times: Expected run times.
        suspect_after_s: Silence after which a worker gets no new tasks.
    """

    def __init__(self, *, run_times: RunTimeModel, suspect_after_s: float) -> None:
        """Initializes the sums over no workers."""
        self._run_times = run_times
        self._suspect_after_s = suspect_after_s
        self._sums: dict[str, _Sum] = {}
        self._parts: dict[str, tuple[_Sum, float, int]] = {}

    def of_service(self, service: str) -> CapacitySum:
        """Returns the sum over the workers of a service that accept tasks."""
        total = self._sums.get(service)
        if total is None:
            return CapacitySum()
        return CapacitySum(
            worker_count=total.worker_count,
            rate_cores=total.rate_cores,
            free_cores=total.free_cpu / 1000,
        )

    def of_workers(
        self, service: str, agents: collections.abc.Iterable[str]
    ) -> CapacitySum:
        """Returns the sum over some of the workers of a service that accept tasks."""
        total = self._sums.get(service)
        parts = [self._parts[agent] for agent in agents if agent in self._parts]
        parts = [part for part in parts if part[0] is total]
        return CapacitySum(
            worker_count=len(parts),
            rate_cores=sum(rate_cores for _, rate_cores, _ in parts),
            free_cores=sum(free_cpu for _, _, free_cpu in parts) / 1000,
        )

    def refresh(self, worker: WorkerView, now_s: float) -> None:
        """Adds a worker, or updates its part of the sum."""
        self.remove(worker)
        if not worker.accepts_work(now_s, self._suspect_after_s):
            return
        total = self._sums.setdefault(worker.record.service, _Sum())
        slowness = self._run_times.slowness(worker.speed_key)
        rate_cores = worker.usable_cpu / 1000 / slowness
        free_cpu = worker.usable_free_cpu
        total.worker_count += 1
        total.rate_cores += rate_cores
        total.free_cpu += free_cpu
        self._parts[worker.agent] = (total, rate_cores, free_cpu)

    def remove(self, worker: WorkerView) -> None:
        """Removes a worker's part of the sum if it has one."""
        part = self._parts.pop(worker.agent, None)
        if part is None:
            return
        total, rate_cores, free_cpu = part
        total.worker_count -= 1
        total.rate_cores -= rate_cores
        total.free_cpu -= free_cpu

    def refresh_all(
        self, workers: collections.abc.Iterable[WorkerView], now_s: float
    ) -> None:
        """Adds all workers anew."""
        self._sums.clear()
        self._parts.clear()
        for worker in workers:
            self.refresh(worker, now_s)
