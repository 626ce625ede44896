"""Calls to an upstream and its answers, as the run supervisor sees them."""

import dataclasses
import enum

from hawthornbarrow.cells._parts import (
    RunOutcome,
    StartOrder,
    TaskKey,
)


class StartResponse(enum.StrEnum):
    """Response of the upstream to a start call, or why there is none."""

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
    """Call to start a run at the upstream.

    Attributes:
        upstream: Id of the upstream.
        order: The order to start it.
        term: Fencing token.
        called_at_s: When the call was made.
        born_ms: When its incarnation started, zero where upstreams do not say.
    """

    upstream: str
    order: StartOrder
    term: int
    called_at_s: float = 0.0
    born_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopCall:
    """Call to stop a run at the upstream; the fields are those of a start call."""

    upstream: str
    task: TaskKey
    attempt: int
    term: int
    born_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListedRun:
    """A run in the upstream's listing; percent is its progress."""

    task: str
    attempt: int
    percent: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListedEndedRun:
    """An ended run in the upstream's listing."""

    number: int
    task: str
    attempt: int
    end: RunOutcome


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listing:
    """The upstream's list of its runs.

    Attributes:
        upstream: Id of the upstream that answered.
        asked_at_s: When the listing was requested.
        running: Runs that have not ended.
        ended: Ended runs that were not acknowledged.
        born_ms: When the incarnation that answered started, zero if it did not say.
    """

    upstream: str
    asked_at_s: float
    running: list[ListedRun]
    ended: list[ListedEndedRun]
    born_ms: int = 0
