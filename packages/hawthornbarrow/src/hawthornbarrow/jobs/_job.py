"""Job record: the state of one submission, which reaches a final state only once."""

import collections
import dataclasses
import enum

import msgspec

from hawthornbarrow.jobs._spec import JobSpec
from hawthornbarrow.jobs._timeline import Timeline
from hawthornbarrow.upstreams import Resources


class JobStatus(enum.StrEnum):
    """State of a job.

    A job is open while claiming, orphaned or running. All other states are final.
    The claim of a claiming job is not committed yet. An orphaned job was taken over
    from a previous owner and has not begun here.
    """

    CLAIMING = "claiming"
    ORPHANED = "orphaned"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether the state is final."""
        return self not in _OPEN_STATUSES


_OPEN_STATUSES = frozenset({JobStatus.CLAIMING, JobStatus.ORPHANED, JobStatus.RUNNING})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """Agent and upstream to which an attempt of a task was sent.

    Attributes:
        agent: Name of the agent process.
        upstream: Name of the upstream.
        attempt: Number of the attempt.
        cost_s: Expected slot time that was charged in advance.
    """

    agent: str
    upstream: str
    attempt: int
    cost_s: float


class Job:
    """A submitted job and the state of its tasks.

    Args:
        job_id: Fleet-wide id, unique to the member and idempotency key.
        member: Name of the member that submitted the job.
        key: Idempotency key.
        epoch: Ownership epoch under which this entry holds the job.
        task_count: Number of tasks.
        repeatable: Whether a task may run again if it is unknown whether an earlier
            attempt ran.
        submitted_at_s: Time at which the job was received.
        deadline_at_s: Time after which the answer is of no use to the caller.
        spec: Submitted document, or None while only the claim of the job is known.

    Attributes:
        is_recovered: Whether the recovery of a job that was taken over from a previous
            owner has finished.
        may_have_run: Whether tasks may have run under a previous owner although no
            agent reports them.
        hold_until_s: Time before which a recovered job must not begin, as tasks that a
            previous owner dispatched may still be running.
        closed_service: Name of the service of a closed job, retained after the
            document has been dropped.
        timeline: Events in the processing of the job.
    """

    def __init__(
        self,
        *,
        job_id: str,
        member: str,
        key: str,
        epoch: int,
        task_count: int,
        repeatable: bool,
        submitted_at_s: float,
        deadline_at_s: float,
        spec: JobSpec | None,
    ) -> None:
        """Initializes the job with no dispatched tasks."""
        self.job_id = job_id
        self.member = member
        self.key = key
        self.epoch = epoch
        self.task_count = task_count
        self.repeatable = repeatable
        self.submitted_at_s = submitted_at_s
        self.deadline_at_s = deadline_at_s
        self.spec = spec
        self.is_recovered = False
        self.may_have_run = False
        self.hold_until_s = 0.0
        self.closed_service = ""
        self.timeline = Timeline(start_s=submitted_at_s)
        self._status = JobStatus.CLAIMING
        self._reason = ""
        self._closed_at_s = 0.0
        self._results: list[bytes | None] = [None] * task_count
        self._attempts = [0] * task_count
        self._placed: dict[int, Placement] = {}
        self._waiting: collections.deque[int] = collections.deque()
        self._unfinished_count = task_count
        self._dispatch_count = 0
        self._agents: set[str] = set()

    @property
    def status(self) -> JobStatus:
        """Current state of the job."""
        return self._status

    @property
    def reason(self) -> str:
        """Reason why the job did not complete, empty otherwise."""
        return self._reason

    @property
    def closed_at_s(self) -> float:
        """Time at which the job became final, or zero while it is open."""
        return self._closed_at_s

    @property
    def service(self) -> str:
        """Name of the service, empty while only the claim of the job is known."""
        return self.spec.service if self.spec else ""

    @property
    def scheduling_class(self) -> tuple[str, Resources]:
        """Service and resources; jobs of the same class fit the same upstreams."""
        resources = self.spec.resources if self.spec else Resources()
        return (self.service, resources)

    @property
    def waiting_count(self) -> int:
        """Number of tasks that wait for a slot."""
        return len(self._waiting)

    @property
    def unfinished_count(self) -> int:
        """Number of tasks without a result."""
        return self._unfinished_count

    @property
    def placed(self) -> dict[int, Placement]:
        """Placement of each task that is at an agent, by task index."""
        return self._placed

    @property
    def agents(self) -> set[str]:
        """Names of all agents to which a task of this job was sent."""
        return self._agents

    @property
    def never_dispatched(self) -> bool:
        """Whether no entry has ever sent a task of this job to an agent."""
        return self._dispatch_count == 0 and not self.may_have_run

    def begin(self) -> None:
        """Marks the job as running and queues all tasks neither placed nor finished."""
        self._status = JobStatus.RUNNING
        self._waiting = collections.deque(
            index
            for index in range(self.task_count)
            if self._results[index] is None and index not in self._placed
        )

    def orphan(self) -> None:
        """Marks the job as taken over from a previous owner, without its document."""
        self._status = JobStatus.ORPHANED

    def adopt(self, index: int, placement: Placement) -> None:
        """Records an attempt that was dispatched by a previous owner."""
        self._placed[index] = placement
        self._attempts[index] = max(self._attempts[index], placement.attempt)
        self._record_dispatch(placement.agent)

    def pop_waiting_task(self) -> int:
        """Removes and returns the index of the next waiting task."""
        return self._waiting.popleft()

    def place(self, index: int, placement: Placement) -> None:
        """Records that an attempt of a task is sent to an agent."""
        self._placed[index] = placement
        self._attempts[index] = placement.attempt
        self._record_dispatch(placement.agent)

    def next_attempt(self, index: int) -> int:
        """Returns the number of the task's next attempt."""
        return self._attempts[index] + 1

    def put_back(self, index: int) -> None:
        """Removes the placement of a task and queues it first if the job is running."""
        self._placed.pop(index, None)
        if self._status is JobStatus.RUNNING:
            self._waiting.appendleft(index)

    def finish(self, index: int, body: bytes) -> bool:
        """Records a result and returns whether it is the first one for its task."""
        self._placed.pop(index, None)
        if self._results[index] is not None:
            return False
        self._results[index] = body
        self._unfinished_count -= 1
        return True

    def close(self, status: JobStatus, reason: str, now_s: float) -> bool:
        """Moves the job to a final state, or returns False if it is already final."""
        if self._status.is_final:
            return False
        self._status = status
        self._reason = reason
        self._closed_at_s = now_s
        self._waiting.clear()
        self.timeline.add(now_s, status.value, reason)
        return True

    def answer_body(self) -> bytes:
        """Returns the answer of a closed job as a JSON document."""
        document: dict = {"key": self.key, "status": self._status.value}
        if self._status is JobStatus.COMPLETED:
            document["results"] = [
                msgspec.Raw(body or b"null") for body in self._results
            ]
        else:
            document["reason"] = self._reason
            document["not_run"] = self.never_dispatched
        return msgspec.json.encode(document)

    def release_payloads(self) -> None:
        """Drops the tasks and results of a closed job to free memory."""
        self.closed_service = self.service
        self.spec = None
        self._results = []

    def _record_dispatch(self, agent: str) -> None:
        self._dispatch_count += 1
        self._agents.add(agent)
