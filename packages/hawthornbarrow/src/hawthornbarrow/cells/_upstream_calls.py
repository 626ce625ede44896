"""Calls to an upstream and what it answers, as the custodian sees them."""

import dataclasses
import enum

from hawthornbarrow.cells._parts import (
    RunOutcome,
    StartOrder,
    TaskKey,
)


class StartResponse(enum.StrEnum):
    """What the upstream answered to a start."""

    STARTED = "started"
    NO_ROOM = "no_room"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    TOO_LATE = "too_late"
    DECLINED = "declined"
    NO_ANSWER = "no_answer"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartCall:
    """Start a run at the upstream."""

    upstream: str
    order: StartOrder
    term: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopCall:
    """Stop a run at the upstream."""

    upstream: str
    task: TaskKey
    attempt: int
    term: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListedRun:
    """A run in the upstream's listing; percent is its progress."""

    task: str
    attempt: int
    percent: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListedEndedRun:
    """An end in the upstream's listing."""

    number: int
    task: str
    attempt: int
    end: RunOutcome


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listing:
    """What the upstream says of itself.

    Attributes:
        upstream: Incarnation that answered.
        asked_at_s: When it was asked.
        running: Runs at work.
        ended: Ends that were not acknowledged.
    """

    upstream: str
    asked_at_s: float
    running: list[ListedRun]
    ended: list[ListedEndedRun]
