"""QueueCapacity: the workers that each queue may use, and what they can run."""

from hawthornbarrow.cells._job_record import JobRecord
from hawthornbarrow.cells._queue_isolation import QueueIsolation
from hawthornbarrow.cells._ready_capacity import CapacitySum
from hawthornbarrow.cells._worker_pool import WorkerPool


class QueueCapacity:
    """Returns the capacity of the workers that a queue may use.

    Args:
        pool: The attached workers.
        isolation: Queues that are confined to some of the workers.
    """

    def __init__(self, *, pool: WorkerPool, isolation: QueueIsolation) -> None:
        """Stores the workers and the confined queues."""
        self._pool = pool
        self._isolation = isolation

    @property
    def is_divided(self) -> bool:
        """Whether some queues are confined to a part of the workers."""
        return self._isolation.is_active

    def of_service(self, service: str) -> CapacitySum:
        """Returns the capacity of a service that accepts new tasks."""
        return self._pool.ready_capacity(service)

    def of_queue(self, service: str, queue: str) -> CapacitySum:
        """Returns the capacity that accepts new tasks of a queue."""
        capacity = self._pool.ready_capacity(service)
        if not self._isolation.is_active:
            return capacity
        agents = self._isolation.confined_agents(service)
        confined = self._pool.ready_capacity_of(service, agents)
        if self._isolation.is_confined(service, queue):
            return confined
        return capacity.minus(confined)

    def are_shared(self, service: str, queue: str, other: str) -> bool:
        """Returns whether two queues of a service use the same workers."""
        if not self._isolation.is_active:
            return True
        is_confined = self._isolation.is_confined(service, queue)
        return is_confined == self._isolation.is_confined(service, other)

    def can_run(self, job: JobRecord, service: str, now_s: float) -> bool:
        """Returns whether there are workers for each step of a job.

        Free capacity does not matter. While agents are yet to attach, workers are
        assumed.
        """
        if self._pool.is_recovering(now_s):
            return True
        slack_s = job.start_by_s - now_s
        return all(
            self._pool.can_run(service, step, slack_s, now_s)
            for step in set(job.document.steps)
        )
