"""Effects: actions that AgentCore requests from its process."""

import dataclasses

from hawthornbarrow.links import Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendMessage:
    """Sends a message to an entry."""

    peer: str
    message: Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartCall:
    """Starts a task on an upstream.

    Attributes:
        upstream: Name of the upstream.
        job: Job id.
        key: The caller's idempotency key.
        service: Name of the service.
        index: Position of the task in its job.
        attempt: Number of the attempt.
        payload: The task, encoded as JSON.
        timeout_s: Longest time that the call may take.
    """

    upstream: str
    job: str
    key: str
    service: str
    index: int
    attempt: int
    payload: bytes
    timeout_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class StopCall:
    """Stops a running task by closing its connection."""

    job: str
    index: int
    attempt: int


AgentEffect = SendMessage | StartCall | StopCall
