"""RunRecord: the run supervisor's state of one run at its upstream."""

import dataclasses
import enum
import math

from hawthornbarrow.cells._parts import RunOutcome, StartOrder

MIN_STALL_S = 0.35  # an upstream lists its runs at least every 0.25 s
STALL_FRACTION = 0.1  # of the expected run time
# Listings in a row without progress; after a freeze of the machine the first one shows
# none, as the upstream was frozen too.
MIN_UNCHANGED_LISTINGS = 2


class RunPhase(enum.StrEnum):
    """Phase of a run."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(kw_only=True)
class RunRecord:
    """State of a run from its order until its end is confirmed.

    Attributes:
        order: The order to start it.
        phase: Its phase.
        ordered_at_s: When the order arrived.
        started_at_s: When the upstream first reported it, zero before.
        answered_at_s: When the start call was answered, zero before.
        called_at_s: When the start call was last made.
        call_count: Number of start calls; a repeated call is the same order again.
        open_call_count: Number of start calls that may still be answered.
        stop_sent_at_s: When the last stop call was made.
        stop_confirmed_at_s: When the upstream first confirmed a stop.
        progressed_at_s: When its progress last changed.
        percent: Its progress in the last listing.
        unchanged_count: Listings in a row that showed no progress.
        end: Its outcome once its stop is confirmed.
        reason: Why it was stopped.
    """

    order: StartOrder
    phase: RunPhase
    ordered_at_s: float
    started_at_s: float = 0.0
    answered_at_s: float = 0.0
    called_at_s: float = 0.0
    call_count: int = 0
    open_call_count: int = 0
    stop_sent_at_s: float = -math.inf
    stop_confirmed_at_s: float = math.inf
    progressed_at_s: float = 0.0
    percent: float = -1.0
    unchanged_count: int = 0
    end: RunOutcome = RunOutcome.STOPPED
    reason: str = ""

    def on_started(self, now_s: float) -> None:
        """Records that the upstream runs it."""
        if not self.started_at_s:
            self.started_at_s = now_s
            self.progressed_at_s = now_s
            if self.phase is RunPhase.STARTING:
                self.phase = RunPhase.RUNNING

    def on_progress(self, percent: float, now_s: float) -> None:
        """Records its progress from a listing."""
        if percent != self.percent:
            self.percent = percent
            self.progressed_at_s = now_s
            self.unchanged_count = 0
        else:
            self.unchanged_count += 1

    def has_stalled(self, now_s: float) -> bool:
        """Returns whether it runs without progress for longer than allowed."""
        stall_timeout_s = max(MIN_STALL_S, STALL_FRACTION * self.order.expected_s)
        is_running = self.phase is RunPhase.RUNNING
        is_unchanged = self.unchanged_count >= MIN_UNCHANGED_LISTINGS
        is_overdue = now_s - self.progressed_at_s > stall_timeout_s
        return is_running and is_unchanged and is_overdue
