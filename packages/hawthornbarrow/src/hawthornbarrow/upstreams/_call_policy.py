"""The one policy that maps each end of a call to what became of its task."""

import dataclasses
import enum


class CallEnd(enum.StrEnum):
    """How a call to an upstream ended, as seen by its agent."""

    ANSWERED = "answered"
    REFUSED = "refused"
    RESET_BEFORE_SENT = "reset_before_sent"
    RESET_AFTER_SENT = "reset_after_sent"
    GARBAGE = "garbage"
    TRUNCATED = "truncated"
    SERVER_ERROR = "server_error"
    CLIENT_ERROR = "client_error"
    DECLINED = "declined"
    TIMED_OUT = "timed_out"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallVerdict:
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
    CallEnd.ANSWERED: CallVerdict(
        started=True, completed=True, known=True, retryable=False
    ),
    CallEnd.REFUSED: CallVerdict(
        started=False, completed=False, known=True, retryable=True
    ),
    CallEnd.RESET_BEFORE_SENT: CallVerdict(
        started=False, completed=False, known=True, retryable=True
    ),
    CallEnd.DECLINED: CallVerdict(
        started=False, completed=False, known=True, retryable=True
    ),
    CallEnd.RESET_AFTER_SENT: CallVerdict(
        started=True, completed=False, known=False, retryable=True
    ),
    CallEnd.GARBAGE: CallVerdict(
        started=True, completed=False, known=False, retryable=True
    ),
    CallEnd.TRUNCATED: CallVerdict(
        started=True, completed=False, known=False, retryable=True
    ),
    CallEnd.SERVER_ERROR: CallVerdict(
        started=True, completed=False, known=True, retryable=True
    ),
    CallEnd.CLIENT_ERROR: CallVerdict(
        started=True, completed=False, known=True, retryable=False
    ),
    CallEnd.TIMED_OUT: CallVerdict(
        started=True, completed=False, known=False, retryable=False
    ),
    CallEnd.STOPPED: CallVerdict(
        started=True, completed=False, known=False, retryable=True
    ),
}


def judge_call(end: CallEnd) -> CallVerdict:
    """Returns what the given end of a call says about its task.

    A declined call is a 503 answer with the header `Hawthornbarrow-Not-Run: true`:
    the upstream's own word that it did not start the task.
    """
    return _VERDICTS[end]
