"""EndedRunLog: the ended runs that an agent reports to dispatchers."""

import collections
import collections.abc

import msgspec
import structlog

from hawthornbarrow.cells._parts import EndedRun, RunOutcome, StartOrder, WorkerRecord
from hawthornbarrow.cells._timing import (
    CRASHED_RUN_RETENTION_S,
    ENDED_RUN_RETENTION_S,
)

MAX_CRASHED_RUNS = 64
YOUNG_RUN_S = 0.1  # runs that were no older at a crash may have caused it

_log = structlog.get_logger()


def _is_young(run: EndedRun) -> bool:
    """Returns whether a run under a crash may have caused it."""
    return run.run_s <= YOUNG_RUN_S


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
        self._crashed: collections.deque[tuple[float, EndedRun]] = collections.deque()
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
            if len(self._crashed) > MAX_CRASHED_RUNS:
                self._limit_crashed_runs()
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

    def _limit_crashed_runs(self) -> None:
        """Removes the crashed runs from which a new dispatcher would learn least.

        These are the runs of the oldest crash that were no suspects beside others that
        were, then older crashes without such runs. Those are removed whole, as a part
        of one might seem to have only one job, which would then be blamed.
        """
        runs = [run for _, run in self._crashed]
        upstreams = list(dict.fromkeys(run.crashed_upstream for run in runs))
        with_young = {run.crashed_upstream for run in runs if _is_young(run)}
        with_both = {
            run.crashed_upstream
            for run in runs
            if run.crashed_upstream in with_young and not _is_young(run)
        }
        for upstream in upstreams:
            if upstream in with_both:
                self._remove_crashed(
                    lambda run, upstream=upstream: (
                        run.crashed_upstream == upstream and not _is_young(run)
                    )
                )
                return
        for upstream in upstreams[:-1]:
            if upstream not in with_young:
                self._remove_crashed(
                    lambda run, upstream=upstream: run.crashed_upstream == upstream
                )
                return
        if upstreams[-1] in with_young and len(upstreams) > 1:
            self._remove_crashed(lambda run: run.crashed_upstream == upstreams[0])
            return
        newest = [run for run in runs if run.crashed_upstream == upstreams[-1]]
        counts = collections.Counter(run.task.job for run in newest)
        number = next(
            run.number for run in newest if run.task.job == counts.most_common(1)[0][0]
        )
        self._remove_crashed(lambda run: run.number == number)

    def _remove_crashed(
        self, is_removed: collections.abc.Callable[[EndedRun], bool]
    ) -> None:
        self._crashed = collections.deque(
            (at_s, run) for at_s, run in self._crashed if not is_removed(run)
        )

    def remove_old(self, now_s: float) -> None:
        """Removes acknowledged runs whose retention time has passed."""
        while self._crashed and now_s - self._crashed[0][0] > CRASHED_RUN_RETENTION_S:
            self._crashed.popleft()
        while self._ended and self._ended[0][1].number <= self._acknowledged:
            if now_s - self._ended[0][0] < ENDED_RUN_RETENTION_S:
                break
            self._ended.popleft()
