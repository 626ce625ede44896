"""Documents, orders and ends that messages of a cell are made of."""

import enum

import msgspec


class _Part(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base of the parts of messages."""


class RunOutcome(enum.StrEnum):
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
    end: RunOutcome
    run_s: float = 0.0
    reason: str = ""


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
