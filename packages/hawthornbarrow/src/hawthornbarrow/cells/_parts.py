"""Data types that the messages of a cell contain, such as jobs, orders and runs."""

import enum

import msgspec


class _Part(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base class of the parts of messages."""


class RunOutcome(enum.StrEnum):
    """Outcome of a run of a task."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    REFUSED = "refused"
    SUPERSEDED = "superseded"


class JobState(enum.StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether the state cannot change any more."""
        return self in (JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED)


class Resources(_Part, kw_only=True):
    """Resources that a task uses or a worker has.

    Attributes:
        cpu: Thousandths of a core.
        memory_mb: Memory in MB.
        accelerators: Number of accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_into(self, available: "Resources") -> bool:
        """Returns whether these resources fit into the available ones."""
        return (
            self.cpu <= available.cpu
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
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
    """A step of a job: a number of equal tasks.

    Attributes:
        count: Number of tasks.
        each: Resources that each task uses.
        estimated_s: Rough run time of a task in seconds.
        after: Positions of the steps that must complete before this one.
        label: Label that the worker must have, empty for any.
        rack: Label of the rack near the data, empty for any. It is a preference only.
        most_on_worker: Maximum number of tasks of the step on one worker, zero for no
            limit.
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
        spec: Text that is passed to each task.
        steps: The steps.
    """

    job: str
    queue: str
    spec: str
    steps: tuple[Step, ...]

    @property
    def longest_chain_s(self) -> float:
        """Estimated run time of the longest chain of dependent steps, in seconds."""
        ends_s: list[float] = []
        for step in self.steps:
            before_s = max((ends_s[index] for index in step.after), default=0.0)
            ends_s.append(before_s + step.estimated_s)
        return max(ends_s, default=0.0)


class TaskKey(_Part, kw_only=True):
    """Key that identifies a task.

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
        """Returns the name that upstreams and logs use for the task."""
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, name: str) -> "TaskKey | None":
        """Returns the key for a name, or None when the name is invalid."""
        parts = name.rsplit(".", 3)
        if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
            return None
        occurrence, step, index = (int(part) for part in parts[1:])
        return cls(job=parts[0], occurrence=occurrence, step=step, index=index)


def incarnation_key(upstream: str, born_ms: int) -> str:
    """Returns the key of an incarnation, which differs between starts of one id.

    Args:
        upstream: Id of the upstream.
        born_ms: When the incarnation started, zero if it does not say.
    """
    return f"{upstream}@{born_ms}" if born_ms else upstream


class WorkerRecord(_Part, kw_only=True):
    """One incarnation of a worker's upstream, as it announced itself.

    Attributes:
        upstream: Id of the incarnation.
        service: Service that it serves.
        data_centre: Its data centre.
        labels: Its labels.
        capacity: Its resources.
        born_ms: When the incarnation started, as a Unix time in ms by its own clock,
            or zero where upstreams do not say. An upstream may start again under the
            same id.
    """

    upstream: str
    service: str
    data_centre: str
    labels: tuple[str, ...]
    capacity: Resources
    born_ms: int = 0

    @property
    def incarnation(self) -> str:
        """Key of the incarnation, which differs between starts under the same id."""
        return incarnation_key(self.upstream, self.born_ms)


class QueueLevel(_Part, kw_only=True):
    """What a new job of a queue can expect at the dispatcher.

    Attributes:
        queue: Name of the queue.
        wait_s: Predicted time until a new job starts.
        retry_after_s: Time after which a refused caller may try again.
    """

    queue: str
    wait_s: float
    retry_after_s: float


class StartOrder(_Part, kw_only=True):
    """An order to start a task.

    Attributes:
        task: The task.
        attempt: Attempt number of the start.
        spec: Text that is passed to the task.
        needs: Resources that the task uses.
        expected_s: Expected run time.
        crashes: Incarnations of upstreams that crashed under the task before.
        queue: Name of the job's queue, which reports of crashes contain.
    """

    task: TaskKey
    attempt: int
    spec: str
    needs: Resources
    expected_s: float = 0.0
    crashes: tuple[str, ...] = ()
    queue: str = ""


class ActiveRun(_Part, kw_only=True):
    """A run at an agent's upstream that has not ended.

    Attributes:
        task: The task.
        attempt: Attempt number of the start.
        needs: Resources that the task uses.
        age_s: Time since the agent received the order to start it.
        crashes: Incarnations of upstreams that crashed under the task before.
    """

    task: TaskKey
    attempt: int
    needs: Resources
    age_s: float
    crashes: tuple[str, ...] = ()


class EndedRun(_Part, kw_only=True):
    """A run that has ended, or a start that was refused.

    Attributes:
        number: Sequence number that the agent gave to the ended run.
        task: The task.
        attempt: Attempt number of the start.
        end: Its outcome.
        run_s: Run time, zero when unknown or when it never started. After a crash it
            is the time from the order until the upstream was last known to run.
        reason: Why it was refused or lost, otherwise empty.
        crashed_upstream: Incarnation of the upstream that crashed during the run,
            empty for any other end.
        crashes: Incarnations of upstreams that crashed under the task before.
        is_upstream_silent: Whether the upstream did not answer, so that it may have
            crashed.
        ended_at_s: When it ended, on the agent's clock; for a crash, when the upstream
            broke off a call, if that is known.
        queue: Name of the job's queue if the upstream crashed, otherwise empty.
        service: Service of the upstream if it crashed, otherwise empty.
        data_centre: Data centre of the upstream if it crashed, otherwise empty.
    """

    number: int
    task: TaskKey
    attempt: int
    end: RunOutcome
    run_s: float = 0.0
    reason: str = ""
    crashed_upstream: str = ""
    crashes: tuple[str, ...] = ()
    is_upstream_silent: bool = False
    ended_at_s: float = 0.0
    queue: str = ""
    service: str = ""
    data_centre: str = ""


class FleetMember(_Part, kw_only=True):
    """An entry with the address at which others reach it.

    Attributes:
        name: Name of the entry.
        address: IP address and port of its links.
        data_centre: Its data centre.
        replica: Identity of its ledger replica, empty where it has no disk.
        is_relay: Whether it forwards relayed messages; other versions may not.
        relays_entries: Whether it forwards those of entries too, and answers them as
            the dispatcher.
        releases_jobs: Whether it stops the runs of jobs whose entries it does not hear
            while it leads a minority of the agents; other versions may not.
        is_stopping: Whether its process is about to end.
    """

    name: str
    address: str
    data_centre: str
    replica: str
    is_relay: bool = False
    relays_entries: bool = False
    releases_jobs: bool = False
    is_stopping: bool = False
