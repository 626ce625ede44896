"""QueueLevels: refuses jobs at an entry that the dispatcher could not start in time."""

import collections.abc
import math

import structlog
from hawthornbarrow.cells import QueueLevel

from hawthornbarrow_entry.fleet._caller_job import CallerJob
from hawthornbarrow_entry.fleet._caller_outcome import CallerOutcome

LEVEL_VALIDITY_S = 0.45  # three heartbeats

_log = structlog.get_logger()


class QueueLevels:
    """Keeps what the dispatcher said about new jobs of each queue.

    A level is valid for LEVEL_VALIDITY_S after its arrival. The work that it counted
    goes on meanwhile, so the predicted wait is reduced by the age of the level.
    """

    def __init__(self) -> None:
        """Initializes an object without levels."""
        self._levels: dict[str, QueueLevel] = {}
        self._arrived_at_s = -math.inf

    def on_heartbeat(
        self, levels: collections.abc.Iterable[QueueLevel], now_s: float
    ) -> None:
        """Replaces all levels by those of a heartbeat that has just arrived."""
        self._levels = {level.queue: level for level in levels}
        self._arrived_at_s = now_s

    def clear(self) -> None:
        """Removes all levels, as the dispatcher that sent them is not heard."""
        self._levels = {}

    def wait_s(self, queue: str, now_s: float) -> float:
        """Returns the predicted wait of a new job, zero without a valid level."""
        level = self._levels.get(queue)
        age_s = now_s - self._arrived_at_s
        if level is None or age_s > LEVEL_VALIDITY_S:
            return 0.0
        return max(0.0, level.wait_s - age_s)

    def refusal(self, job: CallerJob, term: int, now_s: float) -> CallerOutcome | None:
        """Returns the refusal of a new job that can not start in time, or None.

        A job for which there is no wait is left to the dispatcher, also when it is
        late.

        Args:
            job: The job, which was submitted to no dispatcher.
            term: Term of the dispatcher that sent the levels.
            now_s: Current time.
        """
        queue = job.document.queue
        wait_s = self.wait_s(queue, now_s)
        slack_s = job.start_by_s - now_s
        if wait_s <= max(0.0, slack_s):
            return None
        retry_after_s = self._levels[queue].retry_after_s
        _log.info(
            "job_refused",
            job=job.document.job,
            queue=queue,
            reason="no room in time by the level of the queue",
            predicted_wait_s=round(wait_s, 3),
            slack_s=round(slack_s, 3),
            level_age_s=round(now_s - self._arrived_at_s, 3),
            retry_after_s=round(retry_after_s, 3),
            term=term,
        )
        return CallerOutcome.refused("no room in time", retry_after_s=retry_after_s)
