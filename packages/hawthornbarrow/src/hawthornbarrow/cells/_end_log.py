"""EndLog: the ends of runs that an agent tells dispatchers."""

import collections

import structlog

from hawthornbarrow.cells._parts import EndedRun, RunOutcome, StartOrder
from hawthornbarrow.cells._timing import ENDED_KEPT_S

_log = structlog.get_logger()


class EndLog:
    """Numbers ends, and keeps them until they are noted and a new dispatcher knows.

    Ends that a dispatcher has noted are kept for ENDED_KEPT_S more, as traces for the
    next one.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._ended: collections.deque[tuple[float, EndedRun]] = collections.deque()
        self._last_number = 0
        self._noted = 0

    @property
    def has_unnoted(self) -> bool:
        """Whether the dispatcher has yet to note an end."""
        return self._last_number > self._noted

    def add(
        self,
        order: StartOrder,
        end: RunOutcome,
        now_s: float,
        *,
        upstream: str,
        reason: str = "",
        run_s: float = 0.0,
    ) -> None:
        """Takes the end of a run.

        Args:
            order: What ran or was to run.
            end: How it ended.
            now_s: Current time.
            upstream: Incarnation of the upstream, for the log.
            reason: Why it was refused or lost, empty else.
            run_s: How long it ran.
        """
        self._last_number += 1
        ended = EndedRun(
            number=self._last_number,
            task=order.task,
            attempt=order.attempt,
            end=end,
            run_s=run_s,
            reason=reason,
        )
        self._ended.append((now_s, ended))
        _log.info(
            "run_ended",
            task=str(order.task),
            attempt=order.attempt,
            upstream=upstream,
            end=end.value,
            run_s=round(run_s, 3),
            reason=reason,
        )

    def note(self, number: int) -> None:
        """Takes the number of the last end that the dispatcher has noted."""
        self._noted = max(self._noted, number)

    def unnoted(self) -> list[EndedRun]:
        """Returns the ends that the dispatcher has not noted."""
        return [ended for _, ended in self._ended if ended.number > self._noted]

    def kept(self) -> list[EndedRun]:
        """Returns all ends that are kept."""
        return [ended for _, ended in self._ended]

    def forget_old(self, now_s: float) -> None:
        """Forgets ends that were noted and are of no use as traces any more."""
        while self._ended and self._ended[0][1].number <= self._noted:
            if now_s - self._ended[0][0] < ENDED_KEPT_S:
                break
            self._ended.popleft()
