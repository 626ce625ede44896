"""BacklogBook: waiting tasks by service and class of their jobs' remaining work."""

import dataclasses

from hawthornbarrow.dispatch import WORK_CLASSES, RunTimeEstimator, work_class
from hawthornbarrow.jobs import Job

_CHANGE_FACTOR = 1.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Line:
    service: str
    level: int
    waiting: int


class BacklogBook:
    """Counts that entries report to agents as their demand.

    Args:
        estimator: Source of the learned run times.
    """

    def __init__(self, *, estimator: RunTimeEstimator) -> None:
        """Starts empty."""
        self._estimator = estimator
        self._lines: dict[str, _Line] = {}
        self._counts: dict[str, list[int]] = {}

    def note(self, job: Job) -> None:
        """Takes the present state of a job."""
        self.remove(job)
        declared_s = job.spec.declared_run_s if job.spec else None
        mean_s = self._estimator.mean_s(job.member, job.service, declared_s)
        line = _Line(
            service=job.service,
            level=work_class(job.unfinished_count * mean_s),
            waiting=job.waiting_count,
        )
        if line.waiting:
            self._lines[job.job_id] = line
            self._count(line, line.waiting)

    def remove(self, job: Job) -> None:
        """Uncounts a job."""
        line = self._lines.pop(job.job_id, None)
        if line is not None:
            self._count(line, -line.waiting)

    def waiting(self, services: list[str]) -> tuple[int, ...]:
        """Returns the waiting tasks of some services, by class."""
        totals = [0] * WORK_CLASSES
        for service in services:
            for level, count in enumerate(self._counts.get(service, ())):
                totals[level] += count
        return tuple(totals) if any(totals) else ()

    def _count(self, line: _Line, change: int) -> None:
        counts = self._counts.setdefault(line.service, [0] * WORK_CLASSES)
        counts[line.level] += change


def is_clear_change(before: tuple[int, ...], after: tuple[int, ...]) -> bool:
    """Tells whether a backlog differs enough from what was told to tell it anew."""
    if not before or not after:
        return bool(before) != bool(after)
    for old, new in zip(before, after, strict=True):
        if bool(old) != bool(new):
            return True
        if new > old * _CHANGE_FACTOR or old > new * _CHANGE_FACTOR:
            return True
    return False
