"""Typed messages between entries, the cell's dispatcher and its agents.

Each message of the dispatcher carries the term in which it leads, each order to an
agent the session in which the agent is attached, so what is late is dropped.
"""

import enum

import msgspec


class _Wire(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """Base of the messages."""


class _Part(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base of the parts of messages."""


class RunEnd(enum.StrEnum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    REFUSED = "refused"
    SUPERSEDED = "superseded"


class JobState(enum.StrEnum):
    """What callers see of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether the state does not change any more."""
        return self in (JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED)


class Resources(_Part, kw_only=True):
    """What a task takes or a worker has.

    Attributes:
        cpu: Thousandths of a core.
        memory_mb: Memory in MB.
        accelerators: Number of accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_into(self, room: "Resources") -> bool:
        """Tells whether this much is free in the given room."""
        return (
            self.cpu <= room.cpu
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def plus(self, other: "Resources") -> "Resources":
        """Returns the sum."""
        return Resources(
            cpu=self.cpu + other.cpu,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Returns the difference, which may be negative."""
        return Resources(
            cpu=self.cpu - other.cpu,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )


class Step(_Part, kw_only=True):
    """Equal tasks of a job.

    Attributes:
        count: Number of tasks.
        each: What each task takes.
        estimated_s: Rough run time of a task in seconds.
        after: Positions of the steps that must have ended before.
        label: Label that the worker must have, empty for any.
        rack: Rack near the data, empty for any.
        most_on_worker: Most tasks of the step on one worker, zero for no limit.
    """

    count: int
    each: Resources
    estimated_s: float
    after: tuple[int, ...] = ()
    label: str = ""
    rack: str = ""
    most_on_worker: int = 0


class JobDocument(_Part, kw_only=True):
    """A job as its caller submitted it.

    Attributes:
        job: The caller's id of the job.
        queue: Name of the queue.
        spec: Text handed to each task.
        steps: The steps.
    """

    job: str
    queue: str
    spec: str
    steps: tuple[Step, ...]

    @property
    def longest_chain_s(self) -> float:
        """Longest chain of steps that depend on one another, in seconds."""
        ends_s: list[float] = []
        for step in self.steps:
            before_s = max((ends_s[index] for index in step.after), default=0.0)
            ends_s.append(before_s + step.estimated_s)
        return max(ends_s, default=0.0)


class TaskKey(_Part, kw_only=True):
    """Identity of a task.

    Attributes:
        job: Id of the job.
        occurrence: Position of the occurrence of a repeated job.
        step: Position of the step.
        index: Position in the step.
    """

    job: str
    occurrence: int = 0
    step: int
    index: int

    def __str__(self) -> str:
        """Returns the name used towards upstreams and in logs."""
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, name: str) -> "TaskKey | None":
        """Returns the key that a name stands for, or None."""
        parts = name.rsplit(".", 3)
        if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
            return None
        occurrence, step, index = (int(part) for part in parts[1:])
        return cls(job=parts[0], occurrence=occurrence, step=step, index=index)


class WorkerRecord(_Part, kw_only=True):
    """One incarnation of a worker's upstream, as it announced itself.

    Attributes:
        upstream: Id of the incarnation.
        service: Service that it serves.
        data_centre: Its data centre.
        labels: Its labels.
        capacity: What it has.
    """

    upstream: str
    service: str
    data_centre: str
    labels: tuple[str, ...]
    capacity: Resources


class StartOrder(_Part, kw_only=True):
    """An order to start a task.

    Attributes:
        task: The task.
        attempt: Number of the start.
        spec: Text handed to the task.
        needs: What the task takes.
        expected_s: How long it is expected to run.
    """

    task: TaskKey
    attempt: int
    spec: str
    needs: Resources
    expected_s: float = 0.0


class HeldRun(_Part, kw_only=True):
    """A run that an agent holds at its upstream.

    Attributes:
        task: The task.
        attempt: Number of the start.
        needs: What the task takes.
        age_s: Time since the start.
    """

    task: TaskKey
    attempt: int
    needs: Resources
    age_s: float


class EndedRun(_Part, kw_only=True):
    """The end of a run.

    Attributes:
        number: The agent's number of the end in this session.
        task: The task.
        attempt: Number of the start.
        end: How it ended.
        run_s: How long it ran, zero when it never started.
        reason: Why it was refused or lost, empty else.
    """

    number: int
    task: TaskKey
    attempt: int
    end: RunEnd
    run_s: float = 0.0
    reason: str = ""


class Pulse(_Wire, kw_only=True):
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


class AskJobState(_Wire, kw_only=True):
    """An entry asks for a job's state."""

    number: int
    job: str


class TellJobState(_Wire, kw_only=True):
    """Answer to AskJobState."""

    number: int
    state: JobState


class OfferConfiguration(_Wire, kw_only=True):
    """An entry hands an operator's configuration to the leader."""

    number: int
    version: int
    document: bytes


class ConfigurationOutcome(_Wire, kw_only=True):
    """A configuration that was offered is committed."""

    number: int
    version: int


class AskConfiguration(_Wire, kw_only=True):
    """An entry asks which configuration is the newest."""

    number: int


class NewestConfiguration(_Wire, kw_only=True):
    """The newest configuration, by a leader that is sure of it."""

    number: int
    version: int
    document: bytes


class FleetMember(_Part, kw_only=True):
    """An entry as others reach it.

    Attributes:
        name: Name of the entry.
        address: IP number and port of its links.
        data_centre: Its data centre.
        replica: Identity of its ledger replica, empty where it has no disk.
    """

    name: str
    address: str
    data_centre: str
    replica: str


class Directory(_Wire, kw_only=True):
    """Entries that the sender knows to be alive, itself first."""

    members: list[FleetMember]


class FoundLedger(_Wire, kw_only=True):
    """The first start: these replicas found the ledger."""

    voters: tuple[str, ...]


class OffersMade(_Wire, kw_only=True):
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
    Pulse
    | AttachWorker
    | WorkerReport
    | StartTasks
    | StopTasks
    | SubmitJob
    | WithdrawJob
    | JobAnswer
    | AskJobState
    | TellJobState
    | OfferConfiguration
    | ConfigurationOutcome
    | AskConfiguration
    | NewestConfiguration
    | Directory
    | FoundLedger
    | OffersMade
    | KnownAgents
    | ClaimAgents
    | GrantClaim
    | Superseded
)
