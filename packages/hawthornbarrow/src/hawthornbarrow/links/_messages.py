"""Typed messages that entries and agents exchange over links.

All times are durations in seconds; no message carries a reading of one process's
clock to another. Every message that concerns a job names the job and its ownership
epoch, so that a receiver can drop messages that arrive late or out of order.
"""

import enum

import msgspec

from hawthornbarrow.cells._messages import CellMessage
from hawthornbarrow.upstreams import Announcement


class TaskOutcome(enum.StrEnum):
    """How one attempt of a task ended at its agent."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    UNKNOWN = "unknown"


class _BaseMessage(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True
):
    """Base of all link messages."""


class _BasePart(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base of the parts of link messages."""


class TaskStart(_BasePart, kw_only=True):
    """One task inside a dispatch.

    Attributes:
        index: Position of the task in its job, from zero.
        attempt: Number of this attempt, from one.
        payload: The task as the caller sent it, encoded as JSON.
    """

    index: int
    attempt: int
    payload: bytes


class DispatchItem(_BasePart, kw_only=True):
    """Tasks of one job for one upstream.

    Attributes:
        job: Fleet-wide job id.
        epoch: Ownership epoch of the job at the sender.
        key: The caller's idempotency key.
        service: Name of the service that the tasks call.
        upstream: Name of the upstream that shall run them.
        repeatable: Whether a task may run again after an unknown outcome.
        budget_s: Time left until the job's deadline.
        run_limit_s: Longest time that one attempt may run.
        tasks: The tasks, in the order in which they shall start.
    """

    job: str
    epoch: int
    key: str
    service: str
    upstream: str
    repeatable: bool
    budget_s: float
    run_limit_s: float
    tasks: list[TaskStart]


class DispatchBatch(_BaseMessage, kw_only=True):
    """Tasks that an entry hands to an agent under its slot grants.

    Attributes:
        incarnation: Membership incarnation of the sending entry.
        items: The tasks, by job and upstream.
        backlog: Number of tasks that still wait at the entry, by upstream.
    """

    incarnation: int
    items: list[DispatchItem]
    backlog: dict[str, int]


class SlotDemand(_BaseMessage, kw_only=True):
    """Number of tasks waiting at an entry, by upstream name."""

    backlog: dict[str, int]


class SlotGrant(_BaseMessage, kw_only=True):
    """Share of an upstream's slots that an entry may use.

    Attributes:
        upstream: Name of the upstream.
        limit: Maximum number of tasks that the entry may have outstanding there.
        slots: Maximum number of them that may run at once.
        generation: Increases with every grant to this entry for this upstream.
    """

    upstream: str
    limit: int
    slots: int
    generation: int


class TaskResult(_BasePart, kw_only=True):
    """Outcome and result of one attempt.

    Attributes:
        job: Fleet-wide job id.
        epoch: Ownership epoch under which the attempt was dispatched.
        index: Position of the task in its job.
        attempt: Number of the attempt.
        upstream: Name of the upstream that the task was dispatched to.
        outcome: How the attempt ended.
        run_s: Time that the attempt occupied a slot, zero when it never started.
        body: The upstream's response as JSON, empty unless completed.
        reason: Short machine-readable reason, empty when completed.
    """

    job: str
    epoch: int
    index: int
    attempt: int
    upstream: str
    outcome: TaskOutcome
    run_s: float
    body: bytes
    reason: str


class ResultBatch(_BaseMessage, kw_only=True):
    """Results that an agent reports to the entry that owns their jobs."""

    results: list[TaskResult]


class UpstreamAnnounced(_BaseMessage, kw_only=True):
    """An upstream is available behind the sending agent."""

    announcement: Announcement


class UpstreamGone(_BaseMessage, kw_only=True):
    """An upstream left or its announcement expired."""

    upstream: str
    reason: str


class CancelJobs(_BaseMessage, kw_only=True):
    """Jobs whose waiting tasks shall be dropped and running ones stopped."""

    jobs: list[str]


class JobsClosed(_BaseMessage, kw_only=True):
    """Jobs whose end is committed, so that their results may be discarded."""

    jobs: list[str]


class JobEpoch(_BasePart, kw_only=True):
    """A job and the epoch of its new ownership.

    Attributes:
        job: Fleet-wide job id.
        epoch: Ownership epoch of the job at the new owner.
    """

    job: str
    epoch: int


class EntryIncarnation(_BasePart, kw_only=True):
    """One membership incarnation of an entry."""

    name: str
    incarnation: int


class RecoverJobs(_BaseMessage, kw_only=True):
    """Request of a new owner for all that an agent holds of the named jobs.

    Attributes:
        recovery: Number of the recovery at the sender.
        fenced: Previous owners, from which no work may be accepted any more.
        jobs: The jobs and the epochs of their new ownership.
    """

    recovery: int
    fenced: list[EntryIncarnation]
    jobs: list[JobEpoch]


class JobHoldings(_BasePart, kw_only=True):
    """Running tasks and results of one job that an agent holds.

    Attributes:
        job: Fleet-wide job id.
        running: Index and attempt of each running task.
        finished: Results that have not been discarded.
    """

    job: str
    running: list[tuple[int, int]]
    finished: list[TaskResult]


class JobsRecovered(_BaseMessage, kw_only=True):
    """Reply to RecoverJobs; the agent refuses earlier epochs from then on."""

    recovery: int
    holdings: list[JobHoldings]


class ForwardRequest(_BaseMessage, kw_only=True):
    """A caller's request, forwarded to the entry that owns the job."""

    request: int
    kind: str
    member: str
    key: str
    body: bytes


class ForwardReply(_BaseMessage, kw_only=True):
    """The owner's reply to a forwarded request."""

    request: int
    status: int
    body: bytes
    retry_after_s: float


class ConfigurationUpdate(_BaseMessage, kw_only=True):
    """The configuration in force at the sender, as JSON."""

    version: int
    document: bytes


class UsageReport(_BaseMessage, kw_only=True):
    """Slot-seconds that an entry charged to each member since its last report."""

    usage: dict[str, float]


class ReplicaPayload(_BaseMessage, kw_only=True):
    """An encoded message between two replicas of the ledger."""

    data: bytes


Message = (
    DispatchBatch
    | SlotDemand
    | SlotGrant
    | ResultBatch
    | UpstreamAnnounced
    | UpstreamGone
    | CancelJobs
    | JobsClosed
    | RecoverJobs
    | JobsRecovered
    | ForwardRequest
    | ForwardReply
    | ConfigurationUpdate
    | UsageReport
    | ReplicaPayload
    | CellMessage
)
