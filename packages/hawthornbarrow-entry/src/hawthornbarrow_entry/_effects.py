"""What the entry's core asks its process to do."""

import dataclasses

import msgspec
from hawthornbarrow.ledger import Command
from hawthornbarrow.links import Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplyTarget:
    """Who waits for an answer.

    Attributes:
        peer: Entry that forwarded the request, or empty for a local caller.
        request: Number of the request there.
    """

    peer: str
    request: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Answer to one request.

    Attributes:
        status: HTTP status code.
        body: JSON document; problem details for errors.
        retry_after_s: When to come back; zero for no advice.
    """

    status: int
    body: bytes
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """Answer a local caller."""

    request: int
    answer: Answer


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendMessage:
    """Send a message to a peer process.

    Attributes:
        peer: Name of the peer.
        message: The message.
        is_urgent: Whether it must leave now; others ride on the next frame.
    """

    peer: str
    message: Message
    is_urgent: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Propose:
    """Propose a command to the ledger.

    Attributes:
        command: The command.
        is_urgent: Whether it must go now; others wait a moment for company.
    """

    command: Command
    is_urgent: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class DropUnacknowledged:
    """Drop what a peer whose link is down has not acknowledged."""

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
        detail: What was got and what was expected.
        not_run: Whether no task of the request has run or ever will.
        retry_after_s: When to come back; zero for no advice.
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
