"""RackIndex: a worker index that also finds the workers of a rack."""

import bisect
import collections
import collections.abc

from hawthornbarrow.cells._run_time_model import RunTimeModel
from hawthornbarrow.cells._worker_index import WorkerIndex, _Entry
from hawthornbarrow.cells._worker_view import WorkerView

_NO_RACKS: list[str] = []
_NO_WORKERS: dict[int, list[_Entry]] = {}


class RackIndex(WorkerIndex):
    """Keeps the workers of each rack in the same order as those of a service.

    It handles jobs that want a rack, so that no search passes the workers of all racks.
    A label is kept as a rack from the first task on that names it as one, and only if
    a worker has it, so tasks cannot make it grow.

    Args:
        run_times: Expected run times, which define the speed classes.
    """

    def __init__(self, *, run_times: RunTimeModel) -> None:
        """Initializes an index without workers."""
        super().__init__(run_times=run_times)
        self._racks: dict[tuple[str, str], dict[int, list[_Entry]]] = {}
        self._racks_of: dict[str, list[str]] = {}
        self._label_counts: collections.Counter[tuple[str, str]] = collections.Counter()

    def add(self, worker: WorkerView) -> None:
        """Adds a worker, after those with the same speed class and free CPU."""
        service = worker.record.service
        labels = set(worker.record.labels)
        self._label_counts.update((service, label) for label in labels)
        racks = [label for label in labels if (service, label) in self._racks]
        self._racks_of[worker.agent] = racks
        super().add(worker)

    def remove(self, worker: WorkerView) -> None:
        """Removes a worker."""
        super().remove(worker)
        self._racks_of.pop(worker.agent, None)
        service = worker.record.service
        for label in set(worker.record.labels):
            key = (service, label)
            self._label_counts[key] -= 1
            if not self._label_counts[key]:
                del self._label_counts[key]
                self._racks.pop(key, None)

    def speed_classes(self, service: str) -> list[int]:
        """Returns the speed classes of the workers of a service, fastest first."""
        return sorted(self._services.get(service, ()))

    def track_rack(self, service: str, rack: str) -> bool:
        """Keeps the workers of a rack in order; returns whether there are any."""
        key = (service, rack)
        if key in self._racks:
            return True
        if key not in self._label_counts:
            return False
        classes = self._racks[key] = {}
        for speed_class, entry in self._entries.values():
            record = entry[2].record
            if record.service == service and rack in record.labels:
                bisect.insort(classes.setdefault(speed_class, []), entry)
                self._racks_of[entry[2].agent].append(rack)
        return True

    def tracked_racks(self, worker: WorkerView) -> list[str]:
        """Returns the labels of a worker that are kept as racks."""
        return self._racks_of.get(worker.agent, _NO_RACKS)

    def near(
        self, service: str, rack: str, speed_class: int, cpu: int
    ) -> collections.abc.Iterator[WorkerView]:
        """Yields the workers of a class in a rack, those with most free CPU first.

        Args:
            service: Service of the workers.
            rack: Label of the rack, which must be tracked; empty for all workers.
            speed_class: The class.
            cpu: CPU that must be free, in thousandths of a core.
        """
        classes = (
            self._racks.get((service, rack), _NO_WORKERS)
            if rack
            else self._services.get(service, _NO_WORKERS)
        )
        for negative_cpu, _, worker in classes.get(speed_class, ()):
            if -negative_cpu < cpu:
                return
            yield worker

    def _insert(self, worker: WorkerView, sequence: int) -> None:
        super()._insert(worker, sequence)
        if self._racks:
            speed_class, entry = self._entries[worker.agent]
            for classes in self._tracked(worker):
                bisect.insort(classes.setdefault(speed_class, []), entry)

    def _delete(self, worker: WorkerView) -> None:
        if self._racks:
            speed_class, entry = self._entries[worker.agent]
            for classes in self._tracked(worker):
                entries = classes[speed_class]
                del entries[bisect.bisect_left(entries, entry[:2])]
                if not entries:
                    del classes[speed_class]
        super()._delete(worker)

    def _tracked(self, worker: WorkerView) -> list[dict[int, list[_Entry]]]:
        service = worker.record.service
        return [self._racks[service, rack] for rack in self.tracked_racks(worker)]
