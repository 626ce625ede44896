"""EndedRunLog: the ended runs that an agent reports to dispatchers."""

import collections

import msgspec
import structlog

from hawthornbarrow.cells._parts import EndedRun, RunOutcome, StartOrder, WorkerRecord
from hawthornbarrow.cells._timing import (
    CRASHED_RUN_RETENTION_S,
    ENDED_RUN_RETENTION_S,
)

MAX_CRASHED_RUNS = 64

_log = structlog.get_logger()


class EndedRunLog:
    """Numbers ended runs and retains them until dispatchers no longer need them.

    Ended runs are retained until a dispatcher acknowledges them, and at least for
    ENDED_RUN_RETENTION_S after their end, as traces for the next dispatcher. Runs under
    which the upstream crashed are retained for CRASHED_RUN_RETENTION_S, so that the
    next dispatcher knows the tasks that crash upstreams.
    """

    def __init__(self) -> None:
        """Initializes an empty log."""
        self._ended: collections.deque[tuple[float, EndedRun]] = collections.deque()
        self._crashed: collections.deque[tuple[float, EndedRun]] = collections.deque(
            maxlen=MAX_CRASHED_RUNS
        )
        self._last_number = 0
        self._acknowledged = 0

    @property
    def has_unacknowledged(self) -> bool:
        """Whether the dispatcher has yet to acknowledge an ended run."""
        return self._last_number > self._acknowledged

    def add(
        self,
        order: StartOrder,
        end: RunOutcome,
        now_s: float,
        *,
        worker: WorkerRecord | None,
        reason: str = "",
        run_s: float = 0.0,
        crashed_at_s: float | None = None,
        is_upstream_silent: bool = False,
    ) -> None:
        """Adds and logs an ended run.

        Args:
            order: Order that started it, or that was refused.
            end: Its outcome.
            now_s: Current time.
            worker: The worker's upstream, None when there is none.
            reason: Why it was refused or lost, otherwise empty.
            run_s: Run time.
            crashed_at_s: When the upstream crashed during the run, None if it did not.
            is_upstream_silent: Whether it may have crashed, as it does not answer.
        """
        self._last_number += 1
        upstream = worker.incarnation if worker else ""
        ended = EndedRun(
            number=self._last_number,
            task=order.task,
            attempt=order.attempt,
            end=end,
            run_s=run_s,
            reason=reason,
            crashes=order.crashes,
            is_upstream_silent=is_upstream_silent,
            ended_at_s=now_s,
        )
        if worker is not None and crashed_at_s is not None:
            ended = msgspec.structs.replace(
                ended,
                crashed_upstream=upstream,
                ended_at_s=crashed_at_s,
                queue=order.queue,
                service=worker.service,
                data_centre=worker.data_centre,
            )
        self._ended.append((now_s, ended))
        if ended.crashed_upstream:
            self._crashed.append((now_s, ended))
        _log.info(
            "run_ended",
            task=str(order.task),
            attempt=order.attempt,
            upstream=upstream,
            end=end.value,
            run_s=round(run_s, 3),
            reason=reason,
            crashed=bool(ended.crashed_upstream),
        )

    def acknowledge(self, number: int) -> None:
        """Records the number of the last ended run that the dispatcher acknowledged."""
        self._acknowledged = max(self._acknowledged, number)

    def unacknowledged(self) -> list[EndedRun]:
        """Returns the ended runs that the dispatcher has not acknowledged."""
        return [ended for _, ended in self._ended if ended.number > self._acknowledged]

    def retained(self) -> list[EndedRun]:
        """Returns all retained ended runs."""
        ended = [ended for _, ended in self._ended]
        first_number = ended[0].number if ended else self._last_number + 1
        crashed = [run for _, run in self._crashed if run.number < first_number]
        return crashed + ended

    def remove_old(self, now_s: float) -> None:
        """Removes acknowledged runs whose retention time has passed."""
        while self._crashed and now_s - self._crashed[0][0] > CRASHED_RUN_RETENTION_S:
            self._crashed.popleft()
        while self._ended and self._ended[0][1].number <= self._acknowledged:
            if now_s - self._ended[0][0] < ENDED_RUN_RETENTION_S:
                break
            self._ended.popleft()
