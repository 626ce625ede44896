"""Typed messages between entries, the cell's dispatcher and its agents.

Each message of the dispatcher carries the term in which it leads, each order to an
agent the session in which the agent is attached, so what is late is dropped.
"""

import msgspec

from hawthornbarrow.cells._parts import (
    EndedRun,
    FleetMember,
    HeldRun,
    JobDocument,
    JobState,
    StartOrder,
    TaskKey,
    WorkerRecord,
)


class _Wire(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """Base of the messages."""


class DispatcherHeartbeat(_Wire, kw_only=True):
    """The dispatcher leads, and this is what it has heard of the receiver.

    Attributes:
        term: Term in which it leads.
        heard_at_s: The receiver's own time of sending of the newest frame heard.
        version: Version of the configuration in force.
        session: For an agent, the session in which it is attached, or zero.
        noted: For an agent, number of the last end taken note of.
        waiting: For an entry, jobs not begun, by queue.
    """

    term: int
    heard_at_s: float
    version: int
    session: int = 0
    noted: int = 0
    waiting: dict[str, int] = {}


class AttachWorker(_Wire, kw_only=True):
    """An agent offers its worker and tells all that it holds.

    Attributes:
        term: Term of the dispatcher that it attaches to.
        session: Random number of the attachment.
        worker: The worker's upstream, or None when none has announced itself.
        is_leaving: Whether it takes nothing new.
        running: Runs that it holds.
        ended: Ends of the last seconds, noted or not.
    """

    term: int
    session: int
    worker: WorkerRecord | None
    is_leaving: bool
    running: list[HeldRun]
    ended: list[EndedRun]


class WorkerReport(_Wire, kw_only=True):
    """News of an attached worker.

    Attributes:
        session: Session of the attachment.
        is_leaving: Whether it takes nothing new.
        ended: Ends not yet noted that are new.
        stalled: Runs that made no progress for a while.
        is_silent: Whether its upstream gives no answers.
    """

    session: int
    is_leaving: bool
    ended: list[EndedRun]
    stalled: list[TaskKey] = []
    is_silent: bool = False


class StartTasks(_Wire, kw_only=True):
    """Orders to start tasks."""

    term: int
    session: int
    orders: list[StartOrder]


class StopTasks(_Wire, kw_only=True):
    """Orders to stop runs, by task."""

    term: int
    session: int
    tasks: list[TaskKey]


class SubmitJob(_Wire, kw_only=True):
    """An entry hands over a job that a caller waits for.

    Attributes:
        document: The job.
        age_s: Time since the entry received it.
        was_offered: Whether it was handed to another dispatcher before.
    """

    document: JobDocument
    age_s: float
    was_offered: bool


class WithdrawJob(_Wire, kw_only=True):
    """A caller has cancelled a job, or has left."""

    job: str


class JobAnswer(_Wire, kw_only=True):
    """What became of a job.

    Attributes:
        job: Id of the job.
        state: Its state; UNKNOWN when it was refused.
        reason: Why it was refused, empty else.
        retry_after_s: When the caller may come back after a refusal.
        has_not_run: Whether no dispatcher has had a task of it started.
    """

    job: str
    state: JobState
    reason: str = ""
    retry_after_s: float = 0.0
    has_not_run: bool = False


class GetJobState(_Wire, kw_only=True):
    """An entry asks for a job's state."""

    number: int
    job: str


class JobStateReply(_Wire, kw_only=True):
    """Answer to GetJobState."""

    number: int
    state: JobState


class ProposeConfiguration(_Wire, kw_only=True):
    """An entry hands an operator's configuration to the leader."""

    number: int
    version: int
    document: bytes


class ConfigurationOutcome(_Wire, kw_only=True):
    """A configuration that was offered is committed."""

    number: int
    version: int


class GetConfiguration(_Wire, kw_only=True):
    """An entry asks which configuration is the newest."""

    number: int


class ConfigurationReply(_Wire, kw_only=True):
    """The newest configuration, by a leader that is sure of it."""

    number: int
    version: int
    document: bytes


class Directory(_Wire, kw_only=True):
    """Entries that the sender knows to be alive, itself first."""

    members: list[FleetMember]


class BootstrapLedger(_Wire, kw_only=True):
    """The first start: these replicas found the ledger."""

    voters: tuple[str, ...]


class HandoverComplete(_Wire, kw_only=True):
    """An entry has offered a new dispatcher all jobs that it holds."""

    term: int


class KnownAgents(_Wire, kw_only=True):
    """A leader of the ledger tells an entry which agents the ledger names."""

    term: int
    agents: tuple[str, ...]


class ClaimAgents(_Wire, kw_only=True):
    """An entry asks agents to follow it while no dispatcher is heard."""

    term: int


class GrantClaim(_Wire, kw_only=True):
    """An agent promises to follow a standby, and nobody else for a while."""

    term: int


class Superseded(_Wire, kw_only=True):
    """An entry tells a dispatcher that another one has a higher term."""

    term: int


CellMessage = (
    DispatcherHeartbeat
    | AttachWorker
    | WorkerReport
    | StartTasks
    | StopTasks
    | SubmitJob
    | WithdrawJob
    | JobAnswer
    | GetJobState
    | JobStateReply
    | ProposeConfiguration
    | ConfigurationOutcome
    | GetConfiguration
    | ConfigurationReply
    | Directory
    | BootstrapLedger
    | HandoverComplete
    | KnownAgents
    | ClaimAgents
    | GrantClaim
    | Superseded
)
