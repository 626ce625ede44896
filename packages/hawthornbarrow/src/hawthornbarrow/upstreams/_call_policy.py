"""The one policy that maps each end of a call to what became of its task."""

import dataclasses
import enum


class CallOutcome(enum.StrEnum):
    """How a call to an upstream ended, as seen by its agent."""

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
    """What the end of a call says about its task.

    Attributes:
        started: Whether the task may have started.
        completed: Whether its answer is whole.
        known: Whether the task is known to be no longer running.
        retryable: Whether another attempt could end otherwise.
    """

    started: bool
    completed: bool
    known: bool
    retryable: bool


_VERDICTS = {
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


def classify_call(end: CallOutcome) -> CallClassification:
    """Returns what the given end of a call says about its task.

    A declined call is a 503 answer with the header `Hawthornbarrow-Not-Run: true`:
    the upstream's own word that it did not start the task.
    """
    return _VERDICTS[end]
