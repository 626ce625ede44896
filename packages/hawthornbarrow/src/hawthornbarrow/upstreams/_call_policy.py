"""Single policy that classifies call outcomes by what they mean for the task."""

import dataclasses
import enum


class CallOutcome(enum.StrEnum):
    """Outcome of a call to an upstream, as seen by its agent."""

    ANSWERED = "answered"
    REFUSED = "refused"
    RESET_BEFORE_SENT = "reset_before_sent"
    RESET_AFTER_SENT = "reset_after_sent"
    MALFORMED_ANSWER = "garbage"
    TRUNCATED = "truncated"
    SERVER_ERROR = "server_error"
    CLIENT_ERROR = "client_error"
    DECLINED = "declined"
    TIMED_OUT = "timed_out"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallClassification:
    """State of a task that follows from the outcome of its call.

    Attributes:
        started: Whether the task may have started.
        completed: Whether the complete answer was received.
        known: Whether the task is known to be no longer running.
        retryable: Whether another attempt could have a different outcome.
    """

    started: bool
    completed: bool
    known: bool
    retryable: bool


_CLASSIFICATIONS = {
    CallOutcome.ANSWERED: CallClassification(
        started=True, completed=True, known=True, retryable=False
    ),
    CallOutcome.REFUSED: CallClassification(
        started=False, completed=False, known=True, retryable=True
    ),
    CallOutcome.RESET_BEFORE_SENT: CallClassification(
        started=False, completed=False, known=True, retryable=True
    ),
    CallOutcome.DECLINED: CallClassification(
        started=False, completed=False, known=True, retryable=True
    ),
    CallOutcome.RESET_AFTER_SENT: CallClassification(
        started=True, completed=False, known=False, retryable=True
    ),
    CallOutcome.MALFORMED_ANSWER: CallClassification(
        started=True, completed=False, known=False, retryable=True
    ),
    CallOutcome.TRUNCATED: CallClassification(
        started=True, completed=False, known=False, retryable=True
    ),
    CallOutcome.SERVER_ERROR: CallClassification(
        started=True, completed=False, known=True, retryable=True
    ),
    CallOutcome.CLIENT_ERROR: CallClassification(
        started=True, completed=False, known=True, retryable=False
    ),
    CallOutcome.TIMED_OUT: CallClassification(
        started=True, completed=False, known=False, retryable=False
    ),
    CallOutcome.STOPPED: CallClassification(
        started=True, completed=False, known=False, retryable=True
    ),
}


def classify_call(outcome: CallOutcome) -> CallClassification:
    """Returns the classification of a call outcome.

    A call is declined if the upstream answers with status 503 and the header
    `Hawthornbarrow-Not-Run: true`, which states that it did not start the task.
    """
    return _CLASSIFICATIONS[outcome]
