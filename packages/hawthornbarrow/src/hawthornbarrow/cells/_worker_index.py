"""WorkerIndex: workers by service, speed class and free CPU."""

import bisect
import collections.abc
import itertools

from hawthornbarrow.cells._run_time_model import RunTimeModel
from hawthornbarrow.cells._worker_view import WorkerView

# Negative free CPU, order of addition, and the worker, which is never compared.
_Entry = tuple[int, int, WorkerView]


class WorkerIndex:
    """Keeps the workers of each service in the order in which tasks prefer them.

    A worker must be updated whenever its free resources or its run times change. So
    the cost of a placement hardly grows with the number of workers.

    Args:
        run_times: Expected run times, which define the speed classes.
    """

    def __init__(self, *, run_times: RunTimeModel) -> None:
        """Initializes an index without workers."""
        self._run_times = run_times
        self._services: dict[str, dict[int, list[_Entry]]] = {}
        self._entries: dict[str, tuple[int, _Entry]] = {}
        self._sequence = itertools.count()

    def add(self, worker: WorkerView) -> None:
        """Adds a worker, after those with the same speed class and free CPU."""
        self._insert(worker, next(self._sequence))

    def remove(self, worker: WorkerView) -> None:
        """Removes a worker."""
        self._delete(worker)

    def update(self, worker: WorkerView) -> None:
        """Moves a worker to where its speed and free resources place it now."""
        speed_class, entry = self._entries[worker.agent]
        is_same_class = speed_class == self._speed_class(worker)
        if is_same_class and entry[0] == -worker.free.cpu:
            return
        self._delete(worker)
        self._insert(worker, entry[1])

    def candidates(
        self, service: str, cpu: int
    ) -> collections.abc.Iterator[tuple[int, WorkerView]]:
        """Yields the speed classes and workers with enough free CPU, best first.

        The workers must not be updated meanwhile.

        Args:
            service: Service of the workers.
            cpu: CPU that must be free, in thousandths of a core.
        """
        classes = self._services.get(service, {})
        for speed_class in sorted(classes):
            for negative_cpu, _, worker in classes[speed_class]:
                if -negative_cpu < cpu:
                    break
                yield speed_class, worker

    def _insert(self, worker: WorkerView, sequence: int) -> None:
        entry = (-worker.free.cpu, sequence, worker)
        speed_class = self._speed_class(worker)
        classes = self._services.setdefault(worker.record.service, {})
        bisect.insort(classes.setdefault(speed_class, []), entry)
        self._entries[worker.agent] = (speed_class, entry)

    def _delete(self, worker: WorkerView) -> None:
        speed_class, entry = self._entries.pop(worker.agent)
        classes = self._services[worker.record.service]
        entries = classes[speed_class]
        del entries[bisect.bisect_left(entries, entry[:2])]
        if not entries:
            del classes[speed_class]

    def _speed_class(self, worker: WorkerView) -> int:
        return self._run_times.speed_class(worker.speed_key)
