"""Held: what a custodian knows of one run at its upstream."""

import dataclasses
import enum
import math

from hawthornbarrow.cells._parts import RunOutcome, StartOrder

STALLED_LEAST_S = 0.8
STALLED_SHARE = 0.1  # of the expected run time


class Phase(enum.StrEnum):
    """How far a run has come."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(kw_only=True)
class Held:
    """A run from its order until its end is sure.

    Attributes:
        order: The order to start it.
        phase: How far it has come.
        since_s: When the order came.
        started_at_s: When the upstream told of it first, zero before.
        answered_at_s: When the call to start it was answered, zero before.
        stop_sent_at_s: When it was told to stop last.
        stop_confirmed_at_s: When the upstream confirmed a stop first.
        progressed_at_s: When its progress changed last.
        percent: Its progress by the last listing.
        end: How it ends once its stop is sure.
        reason: Why it was stopped.
    """

    order: StartOrder
    phase: Phase
    since_s: float
    started_at_s: float = 0.0
    answered_at_s: float = 0.0
    stop_sent_at_s: float = -math.inf
    stop_confirmed_at_s: float = math.inf
    progressed_at_s: float = 0.0
    percent: float = -1.0
    end: RunOutcome = RunOutcome.STOPPED
    reason: str = ""

    def note_started(self, now_s: float) -> None:
        """Takes note that the upstream runs it."""
        if not self.started_at_s:
            self.started_at_s = now_s
            self.progressed_at_s = now_s
            if self.phase is Phase.STARTING:
                self.phase = Phase.RUNNING

    def note_progress(self, percent: float, now_s: float) -> None:
        """Takes its progress by a listing."""
        if percent != self.percent:
            self.percent = percent
            self.progressed_at_s = now_s

    def has_stalled(self, now_s: float) -> bool:
        """Tells whether it runs and makes no progress."""
        patience_s = max(STALLED_LEAST_S, STALLED_SHARE * self.order.expected_s)
        is_running = self.phase is Phase.RUNNING
        return is_running and now_s - self.progressed_at_s > patience_s
