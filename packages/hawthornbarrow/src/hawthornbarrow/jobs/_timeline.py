"""Timeline: the record from which `explain` tells what happened to a job."""

import msgspec

MAX_STEPS = 400


class TimelineStep(msgspec.Struct, frozen=True, kw_only=True):
    """One thing that happened to a job.

    Attributes:
        at_ms: Milliseconds since the job was received.
        event: Short name of the event.
        detail: Where, why and under which rule.
    """

    at_ms: float
    event: str
    detail: str


class Timeline:
    """Bounded list of the steps of one job.

    Args:
        start_s: Time at which the job was received.
    """

    def __init__(self, *, start_s: float) -> None:
        """Starts empty."""
        self._start_s = start_s
        self._steps: list[TimelineStep] = []
        self._omitted = 0

    @property
    def steps(self) -> list[TimelineStep]:
        """The steps so far, oldest first."""
        return list(self._steps)

    @property
    def omitted(self) -> int:
        """Number of steps left out for the bound."""
        return self._omitted

    def add(self, now_s: float, event: str, detail: str = "") -> None:
        """Adds a step, or counts it when the record is full."""
        if len(self._steps) >= MAX_STEPS:
            self._omitted += 1
            return
        at_ms = round((now_s - self._start_s) * 1000, 3)
        self._steps.append(TimelineStep(at_ms=at_ms, event=event, detail=detail))
