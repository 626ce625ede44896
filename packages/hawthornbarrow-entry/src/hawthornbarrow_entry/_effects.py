"""Effects: the actions that the entry's core requests from its process."""

import dataclasses

import msgspec
from hawthornbarrow.ledger import Command
from hawthornbarrow.links import Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplyTarget:
    """Recipient of an answer.

    Attributes:
        peer: Entry that forwarded the request, or empty for a local caller.
        request: Number of the request at the peer, or here for a local caller.
    """

    peer: str
    request: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Answer to one request.

    Attributes:
        status: HTTP status code.
        body: JSON document; problem details for errors.
        retry_after_s: Time after which the caller should retry; zero for none.
    """

    status: int
    body: bytes
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """Requests an answer to a local caller."""

    request: int
    answer: Answer


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendMessage:
    """Requests sending a message to a peer process.

    Attributes:
        peer: Name of the peer.
        message: The message.
        is_urgent: Whether to send it at once; other messages wait for the next
            frame.
    """

    peer: str
    message: Message
    is_urgent: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Propose:
    """Requests proposing a command to the ledger.

    Attributes:
        command: The command.
        is_urgent: Whether to propose it at once; other commands are delayed briefly
            and batched.
    """

    command: Command
    is_urgent: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class DropUnacknowledged:
    """Requests dropping what a peer whose link is down has not acknowledged."""

    peer: str


EntryEffect = Reply | SendMessage | Propose | DropUnacknowledged


def refuse(
    status: int,
    reason: str,
    detail: str,
    *,
    not_run: bool,
    retry_after_s: float = 0.0,
) -> Answer:
    """Returns an answer with problem details (RFC 9457).

    Args:
        status: HTTP status code.
        reason: Short machine-readable reason.
        detail: Received and expected values.
        not_run: Whether no task of the request has run or ever will.
        retry_after_s: Time after which the caller should retry; zero for none.
    """
    document = {
        "type": "about:blank",
        "title": reason,
        "status": status,
        "detail": detail,
        "not_run": not_run,
    }
    if retry_after_s > 0:
        document["retry_after_s"] = round(retry_after_s, 3)
    return Answer(
        status=status,
        body=msgspec.json.encode(document),
        retry_after_s=retry_after_s,
    )
