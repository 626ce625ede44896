"""Timeline of one job, which `explain` reports."""

import msgspec

MAX_STEPS = 400


class TimelineStep(msgspec.Struct, frozen=True, kw_only=True):
    """An event in the processing of a job.

    Attributes:
        at_ms: Milliseconds since the job was received.
        event: Short name of the event.
        detail: Where the event took place, why, or under which rule; may be empty.
    """

    at_ms: float
    event: str
    detail: str


class Timeline:
    """Bounded list of the events of one job.

    Args:
        start_s: Time at which the job was received.
    """

    def __init__(self, *, start_s: float) -> None:
        """Initializes an empty timeline."""
        self._start_s = start_s
        self._steps: list[TimelineStep] = []
        self._omitted = 0

    @property
    def steps(self) -> list[TimelineStep]:
        """Recorded steps, oldest first."""
        return list(self._steps)

    @property
    def omitted(self) -> int:
        """Number of steps that were omitted because the timeline was full."""
        return self._omitted

    def add(self, now_s: float, event: str, detail: str = "") -> None:
        """Adds a step, or counts it as omitted if the timeline is full."""
        if len(self._steps) >= MAX_STEPS:
            self._omitted += 1
            return
        at_ms = round((now_s - self._start_s) * 1000, 3)
        self._steps.append(TimelineStep(at_ms=at_ms, event=event, detail=detail))
