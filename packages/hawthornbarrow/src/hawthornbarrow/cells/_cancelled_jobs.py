"""CancelledJobs: jobs that callers cancelled, which no dispatcher may run any more.

A cancel may reach a dispatcher before the job does: while a new dispatcher takes over,
the entry that has the job and the entry that got the cancel find it at different times.
"""

import collections
import collections.abc

MEMORY_S = 30.0  # longer than a takeover and the resubmissions that follow it
MAX_CANCELLED_JOBS = 10_000


class CancelledJobs:
    """Remembers the cancelled jobs of the last MEMORY_S."""

    def __init__(self) -> None:
        """Initializes it without jobs."""
        self._cancelled_at_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __contains__(self, job: str) -> bool:
        """Returns whether a job was cancelled."""
        return job in self._cancelled_at_s

    def __iter__(self) -> collections.abc.Iterator[str]:
        """Returns the cancelled jobs, the oldest first."""
        return iter(tuple(self._cancelled_at_s))

    def add(self, job: str, now_s: float) -> None:
        """Adds a job, and removes those that are too old or too many."""
        self._cancelled_at_s[job] = now_s
        self._cancelled_at_s.move_to_end(job)
        if len(self._cancelled_at_s) > MAX_CANCELLED_JOBS:
            self._cancelled_at_s.popitem(last=False)
        self.remove_old(now_s)

    def remove_old(self, now_s: float) -> None:
        """Removes the jobs that were cancelled more than MEMORY_S ago."""
        while self._cancelled_at_s:
            oldest = next(iter(self._cancelled_at_s))
            if now_s - self._cancelled_at_s[oldest] <= MEMORY_S:
                return
            del self._cancelled_at_s[oldest]
