"""Typed messages between entries, the cell's dispatcher and its agents.

The dispatcher's heartbeats and its orders to agents carry its term, and each order also
carries the session in which the agent is attached. So receivers can ignore heartbeats
of lower terms, and agents drop orders of other terms or sessions.
"""

import math

import msgspec

from hawthornbarrow.cells._parts import (
    ActiveRun,
    EndedRun,
    FleetMember,
    JobDocument,
    JobState,
    QueueLevel,
    Resources,
    StartOrder,
    TaskKey,
    WorkerRecord,
)


class _Message(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """Base class of messages, tagged with the class name or an explicit tag."""


class DispatcherHeartbeat(_Message, kw_only=True, tag="Pulse"):
    """Heartbeat of the dispatcher, which also acknowledges the receiver's frames.

    Attributes:
        term: Term in which the sender dispatches.
        heard_at_s: Time, on the receiver's clock, at which the receiver sent the newest
            frame that the dispatcher has heard.
        version: Version of the configuration in force.
        session: For an agent, the session in which it is attached, or zero.
        noted: For an agent, number of the last ended run that was acknowledged.
        waiting: For an entry, number of jobs that have not begun, by queue.
        evacuation_revision: For an entry, revision of the set of evacuated data
            centres.
        evacuated: For an entry, the evacuated data centres.
        levels: For an entry, what new jobs of each queue can expect.
        known_worker: For an agent without a session, the worker that the ledger lists
            for it.
        entries_alive_s: For an entry, age of the dispatcher's oldest proof that an
            entry with jobs was alive, infinite when it has none.
        releases_jobs: For an entry, whether the dispatcher stops the runs of jobs whose
            entries it does not hear, while another dispatcher may have them.
        sent_at_s: When the dispatcher sent it, on its own clock, negative infinity from
            other versions. Receivers that follow the dispatcher tell it back.
    """

    term: int
    heard_at_s: float
    version: int
    session: int = 0
    noted: int = 0
    waiting: dict[str, int] = {}
    evacuation_revision: int = 0
    evacuated: tuple[str, ...] = ()
    levels: tuple[QueueLevel, ...] = ()
    known_worker: WorkerRecord | None = None
    entries_alive_s: float = math.inf
    releases_jobs: bool = False
    sent_at_s: float = -math.inf


class AttachWorker(_Message, kw_only=True):
    """Attach request of an agent, with its worker and all its runs.

    Attributes:
        term: Term of the dispatcher that it attaches to.
        session: Random number of the attachment.
        worker: The worker's upstream, or None when none has announced itself.
        is_leaving: Whether it accepts no new tasks.
        running: Runs that have not ended.
        ended: Ended runs that the agent still retains, acknowledged or not.
        sent_at_s: When the agent sent it, on its own clock. Requests may overtake each
            other on different paths, so the dispatcher ignores an earlier one.
        recorded_s: Time for which the agent has recorded ended runs, that is since its
            start. Agents of the version before do not send it.
        process: Random number that the agent drew when it started, which its links
            carry too; zero from agents of a version that does not send it.
        heartbeat_at_s: As in HandoverComplete.
    """

    term: int
    session: int
    worker: WorkerRecord | None
    is_leaving: bool
    running: list[ActiveRun]
    ended: list[EndedRun]
    sent_at_s: float = 0.0
    recorded_s: float = math.inf
    process: int = 0
    heartbeat_at_s: float = -math.inf


class WorkerReport(_Message, kw_only=True):
    """Report of an attached agent about its runs.

    Attributes:
        session: Session of the attachment.
        is_leaving: Whether it accepts no new tasks.
        ended: Ended runs that the dispatcher has not acknowledged.
        stalled: Tasks whose runs have made no progress for a while.
        is_silent: Whether its upstream does not answer.
        capacity: Resources that its worker has now, None from agents of the version
            before.
        remaining_s: Minimum time until its upstream ends, None when it is not leaving
            or did not say.
        heartbeat_at_s: As in HandoverComplete.
    """

    session: int
    is_leaving: bool
    ended: list[EndedRun]
    stalled: list[TaskKey] = []
    is_silent: bool = False
    capacity: Resources | None = None
    remaining_s: float | None = None
    heartbeat_at_s: float = -math.inf


class StartTasks(_Message, kw_only=True):
    """Orders to start tasks."""

    term: int
    session: int
    orders: list[StartOrder]


class StopTasks(_Message, kw_only=True):
    """Orders to stop runs, by task."""

    term: int
    session: int
    tasks: list[TaskKey]


class SubmitJob(_Message, kw_only=True):
    """An entry submits a job to the dispatcher.

    Attributes:
        document: The job.
        age_s: Time since the entry received it.
        was_offered: Whether it was submitted to another dispatcher before.
        data_centre: Data centre of the entry, which is near the caller.
        former_silent_s: Time since the entry last heard another dispatcher that may
            still have the job, infinite for none. None when unknown, or when that
            dispatcher does not release jobs.
        term: Term of the dispatcher for which it is, zero when unknown.
    """

    document: JobDocument
    age_s: float
    was_offered: bool
    data_centre: str = ""
    former_silent_s: float | None = None
    term: int = 0


class WithdrawJob(_Message, kw_only=True):
    """An entry withdraws a job that its caller cancelled or abandoned.

    Attributes:
        job: Id of the job.
        is_cancelled: Whether a caller cancelled it, so that it must not run if it is
            submitted again. A version that does not know the field withdraws the job.
    """

    job: str
    is_cancelled: bool = False


class JobAnswer(_Message, kw_only=True):
    """The dispatcher's answer to a submitted job: its state or a refusal.

    Attributes:
        job: Id of the job.
        state: Its state; UNKNOWN when it was refused.
        reason: Why it was refused, otherwise empty.
        retry_after_s: Time after which the caller may try again after a refusal.
        has_not_run: Whether it is known that none of its tasks has ever started.
        term: Term of the dispatcher that answers; zero from processes of a version
            that does not send it.
    """

    job: str
    state: JobState
    reason: str = ""
    retry_after_s: float = 0.0
    has_not_run: bool = False
    term: int = 0


class GetJobState(_Message, kw_only=True, tag="AskJobState"):
    """An entry requests a job's state."""

    number: int
    job: str


class JobStateReply(_Message, kw_only=True, tag="TellJobState"):
    """Reply to GetJobState."""

    number: int
    state: JobState


class ProposeConfiguration(_Message, kw_only=True, tag="OfferConfiguration"):
    """An entry sends an operator's configuration to the leader."""

    number: int
    version: int
    document: bytes


class ConfigurationOutcome(_Message, kw_only=True):
    """Reply to ProposeConfiguration with the version that is committed now.

    A version higher than the proposed one was committed before.
    """

    number: int
    version: int


class GetConfiguration(_Message, kw_only=True, tag="AskConfiguration"):
    """An entry requests the newest configuration.

    Attributes:
        number: Number of the request.
        accepts_compressed: Whether the document of the reply may be compressed.
    """

    number: int
    accepts_compressed: bool = False


class ConfigurationReply(_Message, kw_only=True, tag="NewestConfiguration"):
    """Reply to GetConfiguration from a leader that has confirmed its leadership.

    Attributes:
        number: Number of the request.
        version: Version of the configuration.
        document: The document, empty for none or where it is compressed.
        compressed: The document, compressed by zlib, if the request accepts that.
    """

    number: int
    version: int
    document: bytes
    compressed: bytes = b""


class ProposeEvacuation(_Message, kw_only=True):
    """An entry sends the leader an operator's order to evacuate a data centre.

    Attributes:
        number: Number of the request.
        data_centre: Name of the data centre.
        is_evacuated: Whether to evacuate it, or to withdraw the evacuation.
        expected_revision: Revision of the evacuated data centres on which the order is
            based. The order has no effect under another revision.
    """

    number: int
    data_centre: str
    is_evacuated: bool
    expected_revision: int


class EvacuationOutcome(_Message, kw_only=True):
    """Reply to ProposeEvacuation after its command was committed.

    Attributes:
        number: Number of the request.
        is_accepted: Whether the data centre is in the requested state.
        revision: Committed revision of the evacuated data centres.
        evacuated: The evacuated data centres in that revision.
    """

    number: int
    is_accepted: bool
    revision: int
    evacuated: tuple[str, ...] = ()


class KnownEvacuation(_Message, kw_only=True):
    """An entry informs a standby of a newer state of the evacuations.

    Attributes:
        revision: Revision of the state.
        evacuated: The evacuated data centres.
    """

    revision: int
    evacuated: tuple[str, ...]


class Directory(_Message, kw_only=True):
    """Entries that the sender considers alive, itself first."""

    members: list[FleetMember]


class BootstrapLedger(_Message, kw_only=True, tag="FoundLedger"):
    """Creates the ledger at the first start, with the given replicas as voters."""

    voters: tuple[str, ...]


class HandoverComplete(_Message, kw_only=True, tag="OffersMade"):
    """An entry has handed over all its jobs to the dispatcher, and follows it.

    Attributes:
        term: Term of the dispatcher.
        heartbeat_at_s: When the dispatcher sent the newest heartbeat that arrived, on
            the dispatcher's clock, negative infinity when unknown.
    """

    term: int
    heartbeat_at_s: float = -math.inf


class KnownAgents(_Message, kw_only=True):
    """A leader of the ledger reports which agents the ledger lists."""

    term: int
    agents: tuple[str, ...]


class ClaimAgents(_Message, kw_only=True):
    """A standby claims an agent while no heartbeats arrive."""

    term: int


class GrantClaim(_Message, kw_only=True):
    """An agent promises to follow a standby, and no other one for a while."""

    term: int


class Superseded(_Message, kw_only=True):
    """An entry or agent informs a dispatcher that another one has a higher term."""

    term: int


class RelayedMessage(_Message, kw_only=True):
    """A message that an entry forwards between a cut-off process and the dispatcher.

    Attributes:
        source: Process that sent it.
        target: Process for which it is, empty for the dispatcher.
        sent_at_s: When the source sent it, on its own clock.
        message: The message, or None for a frame that only shows that the source runs.
    """

    source: str
    target: str
    sent_at_s: float
    message: (
        AttachWorker
        | WorkerReport
        | DispatcherHeartbeat
        | StartTasks
        | StopTasks
        | SubmitJob
        | WithdrawJob
        | JobAnswer
        | GetJobState
        | JobStateReply
        | GetConfiguration
        | ConfigurationReply
        | None
    ) = None


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
    | RelayedMessage
    | ProposeEvacuation
    | EvacuationOutcome
    | KnownEvacuation
)
