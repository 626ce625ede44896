"""What the agent's core asks its process to do."""

import dataclasses

from hawthornbarrow.links import Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendMessage:
    """Send a message to an entry."""

    peer: str
    message: Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartCall:
    """Start a task on an upstream.

    Attributes:
        upstream: Name of the upstream.
        job: Job id.
        key: The caller's idempotency key.
        service: Name of the service.
        index: Position of the task in its job.
        attempt: Number of the attempt.
        payload: The task as JSON.
        limit_s: Longest time that the call may take.
    """

    upstream: str
    job: str
    key: str
    service: str
    index: int
    attempt: int
    payload: bytes
    limit_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopCall:
    """Stop a running task by closing its connection."""

    job: str
    index: int
    attempt: int


AgentEffect = SendMessage | StartCall | StopCall
