"""Outcomes of jobs as callers get them, and the callers that wait for them."""

import collections.abc
import dataclasses
import enum

RETRY_AFTER_S = 1.0


class OutcomeKind(enum.StrEnum):
    """Outcome of a job as reported to its caller."""

    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerOutcome:
    """Outcome of a job with the details that its caller gets.

    Attributes:
        kind: Outcome of the job.
        reason: Why the job was refused or its outcome is unknown, or empty.
        retry_after_s: Time after which the caller may try again, or zero for no advice.
    """

    kind: OutcomeKind
    reason: str = ""
    retry_after_s: float = 0.0

    @classmethod
    def refused(
        cls, reason: str, *, retry_after_s: float = RETRY_AFTER_S
    ) -> "CallerOutcome":
        """Returns the outcome of a refused job that may be submitted again soon."""
        return cls(kind=OutcomeKind.REFUSED, reason=reason, retry_after_s=retry_after_s)


class Waiter:
    """One caller that waits for a job.

    Args:
        give_up_at_s: When the caller stops waiting.
        is_abandoned: Returns whether the caller has closed its connection.
    """

    def __init__(
        self, *, give_up_at_s: float, is_abandoned: collections.abc.Callable[[], bool]
    ) -> None:
        """Initializes a waiter without an outcome."""
        self.give_up_at_s = give_up_at_s
        self.is_abandoned = is_abandoned
        self.outcome: CallerOutcome | None = None
