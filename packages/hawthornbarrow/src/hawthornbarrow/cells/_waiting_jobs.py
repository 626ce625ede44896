"""WaitingJobs: jobs with waiting tasks, in the order in which they get capacity."""

import bisect
import collections.abc
import dataclasses
import heapq
import itertools

from hawthornbarrow.cells._job_record import JobRecord, Lane
from hawthornbarrow.cells._ordering import JobOrder
from hawthornbarrow.cells._run_times import RunTimes
from hawthornbarrow.queues import Queue


@dataclasses.dataclass(kw_only=True)
class _Place:
    """Where a job stands in the order, and what it adds to its queue's work."""

    record: JobRecord
    sequence: int
    key: tuple | None = None
    work: float | None = None


@dataclasses.dataclass(kw_only=True)
class _QueueWork:
    """Waiting work of the jobs of a queue's lane that can still start in time."""

    job_count: int = 0
    core_s: float = 0.0


class WaitingJobs:
    """Keeps jobs sorted, and sums their work, as they change.

    A job whose tasks have begun or ended must be reported by `touch`. Its place also
    changes when it becomes late, which is found out here.

    Args:
        order: Order of the jobs.
    """

    def __init__(self, *, order: JobOrder) -> None:
        """Initializes an order of no jobs."""
        self._order = order
        self._records: dict[str, JobRecord] = {}
        self._places: dict[str, _Place] = {}
        self._sorted: list[tuple[tuple, int, JobRecord]] = []
        self._touched: set[str] = set()
        self._late_from: list[tuple[float, int, str]] = []
        self._work: dict[tuple[str, int, Lane], _QueueWork] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Returns the number of jobs."""
        return len(self._records)

    @property
    def records(self) -> dict[str, JobRecord]:
        """Jobs by id, in the order of their addition."""
        return self._records

    def add(self, record: JobRecord) -> None:
        """Adds a job, or reports that a job here has changed."""
        if record.job in self._records:
            self.touch(record)
            return
        self._records[record.job] = record
        place = _Place(record=record, sequence=next(self._sequence))
        self._places[record.job] = place
        self._touched.add(record.job)
        heapq.heappush(self._late_from, (record.start_by_s, place.sequence, record.job))

    def touch(self, record: JobRecord) -> None:
        """Reports that tasks of a job have begun or ended."""
        if self._records.get(record.job) is record:
            self._touched.add(record.job)

    def touch_all(self) -> None:
        """Reports that the order itself has changed."""
        self._touched.update(self._records)

    def discard(self, record: JobRecord) -> None:
        """Removes a job if it is here."""
        if self._records.get(record.job) is not record:
            return
        del self._records[record.job]
        self._touched.discard(record.job)
        place = self._places.pop(record.job)
        self._take_out(place)

    def in_order(self, now_s: float) -> list[JobRecord]:
        """Returns the jobs in the order in which they get capacity."""
        self._update(now_s)
        return [record for _, _, record in self._sorted]

    def work_ahead_core_s(
        self,
        priority: int,
        run_times: RunTimes,
        now_s: float,
        *,
        shares_workers: collections.abc.Callable[[str], bool] | None = None,
    ) -> float:
        """Returns the expected work of jobs that go first and can start in time.

        Args:
            priority: Priority of a new job; jobs of the same one go first.
            run_times: Expected run times.
            now_s: Current time.
            shares_workers: Returns whether a queue uses the workers of the new job,
                or None when all do.
        """
        self._update(now_s)
        return sum(
            run_times.expected_s(queue, work.core_s)
            for (queue, queue_priority, _), work in self._work.items()
            if queue_priority <= priority
            and (shares_workers is None or shares_workers(queue))
        )

    def lane_work_core_s(
        self, queue: Queue, lane: Lane, run_times: RunTimes, now_s: float
    ) -> float:
        """Returns the expected work of a queue's lane that can start in time."""
        self._update(now_s)
        work = self._work.get((queue.name, queue.priority, lane))
        return run_times.expected_s(queue.name, work.core_s) if work else 0.0

    def work_by_queue(self, run_times: RunTimes, now_s: float) -> dict[str, float]:
        """Returns the expected work that can start in time, by queue."""
        self._update(now_s)
        core_s: dict[str, float] = {}
        for (queue, _, _), work in self._work.items():
            expected = run_times.expected_s(queue, work.core_s)
            core_s[queue] = core_s.get(queue, 0.0) + expected
        return core_s

    def _update(self, now_s: float) -> None:
        while self._late_from and self._late_from[0][0] < now_s:
            _, sequence, job = heapq.heappop(self._late_from)
            place = self._places.get(job)
            if place is not None and place.sequence == sequence:
                self._touched.add(job)
        for job in self._touched:
            place = self._places[job]
            self._take_out(place)
            self._put_in(place, now_s)
        self._touched.clear()

    def _put_in(self, place: _Place, now_s: float) -> None:
        record = place.record
        place.key = self._order.key(record, now_s)
        bisect.insort(self._sorted, (place.key, place.sequence, record))
        if record.start_by_s < now_s:
            return
        place.work = record.remaining_work
        work = self._work.setdefault(_work_key(record), _QueueWork())
        work.job_count += 1
        work.core_s += place.work

    def _take_out(self, place: _Place) -> None:
        if place.key is not None:
            position = bisect.bisect_left(self._sorted, (place.key, place.sequence))
            del self._sorted[position]
            place.key = None
        if place.work is None:
            return
        key = _work_key(place.record)
        work = self._work[key]
        work.job_count -= 1
        work.core_s -= place.work
        place.work = None
        if not work.job_count:
            # Also removes what rounding has left.
            del self._work[key]


def _work_key(record: JobRecord) -> tuple[str, int, Lane]:
    return record.queue.name, record.queue.priority, record.lane


def plain_work_ahead_core_s(
    waiting: collections.abc.Iterable[JobRecord],
    priority: int,
    run_times: RunTimes,
    now_s: float,
) -> float:
    """Returns the same as `WaitingJobs.work_ahead_core_s` for any selection of jobs."""
    return sum(
        run_times.expected_s(job.queue.name, job.remaining_work)
        for job in waiting
        if job.queue.priority <= priority and job.start_by_s >= now_s
    )
