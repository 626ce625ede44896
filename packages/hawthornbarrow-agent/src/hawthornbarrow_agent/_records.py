"""Records of the tasks, open jobs and upstreams of an agent."""

import collections
import collections.abc
import dataclasses

from hawthornbarrow.dispatch import DEFAULT_RUN_S, SlotShare, SlotSplitter
from hawthornbarrow.links import SlotGrant, TaskResult
from hawthornbarrow.upstreams import Announcement

_MIN_SAMPLE_WEIGHT = 0.1
_SIGNIFICANT_CHANGE_FRACTION = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskRecord:
    """A task that waits for a slot or runs on one.

    Attributes:
        entry: Entry that dispatched it.
        job: Job id.
        key: The caller's idempotency key.
        service: Name of the service.
        index: Position of the task in its job.
        attempt: Number of the attempt.
        payload: The task, encoded as JSON.
        repeatable: Whether it may run again after an unknown outcome.
        expires_at_s: Time of the job's deadline.
        run_limit_s: Longest time that it may run.
    """

    entry: str
    job: str
    key: str
    service: str
    index: int
    attempt: int
    payload: bytes
    repeatable: bool
    expires_at_s: float
    run_limit_s: float


class JobRecord:
    """State of one open job at the agent.

    Args:
        owner: Entry that owns the job.
        epoch: Ownership epoch of the job.

    Attributes:
        attempts: Number of the latest accepted attempt of each task, by index.
        started: Indices of the tasks that were started on an upstream.
        finished: Results that are retained until the job is closed, by index of the
            task; results of tasks that did not start are not among them.
        active_task_count: Number of accepted tasks without an outcome.
    """

    def __init__(self, *, owner: str, epoch: int) -> None:
        """Initializes a job without tasks."""
        self.owner = owner
        self.epoch = epoch
        self.attempts: dict[int, int] = {}
        self.started: set[int] = set()
        self.finished: dict[int, TaskResult] = {}
        self.active_task_count = 0


class UpstreamSlots:
    """State of one announced upstream, its task queue and its slots.

    Args:
        announcement: Latest announcement of the upstream.
        splitter: Splits its slots among the entries.
        expires_at_s: Time at which the lease of the announcement expires.

    Attributes:
        is_leaving: Whether it accepts no new tasks.
        queue: Tasks that wait for a slot.
        running: Tasks that run on a slot, by job and index.
        mean_run_s: Mean run time of the tasks.
        mean_run_at_split_s: Mean run time that the last split was based on.
        completed_count: Number of completed tasks.
        granted_shares: Share that was last granted to each entry.
        generation: Number of the last grant.
        split_at_s: Time of the last split.
        needs_split: Whether the slots must be split again.
    """

    def __init__(
        self,
        *,
        announcement: Announcement,
        splitter: SlotSplitter,
        expires_at_s: float,
    ) -> None:
        """Initializes an upstream without tasks and grants."""
        self.announcement = announcement
        self.splitter = splitter
        self.expires_at_s = expires_at_s
        self.is_leaving = False
        self.queue: collections.deque[TaskRecord] = collections.deque()
        self.running: dict[tuple[str, int], TaskRecord] = {}
        self.mean_run_s = DEFAULT_RUN_S
        self.mean_run_at_split_s = DEFAULT_RUN_S
        self.completed_count = 0
        self.granted_shares: dict[str, SlotShare] = {}
        self.generation = 0
        self.split_at_s = 0.0
        self.needs_split = False

    def task_count(self, entry: str) -> int:
        """Returns the number of queued and running tasks of an entry."""
        queued = sum(task.entry == entry for task in self.queue)
        running = sum(task.entry == entry for task in self.running.values())
        return queued + running

    def take_queued_tasks(
        self, is_selected: collections.abc.Callable[[TaskRecord], bool]
    ) -> list[TaskRecord]:
        """Removes and returns the queued tasks that the predicate selects."""
        taken = [task for task in self.queue if is_selected(task)]
        if taken:
            kept = [task for task in self.queue if not is_selected(task)]
            self.queue = collections.deque(kept)
        return taken

    def record_run_time(self, run_s: float) -> None:
        """Updates the mean run time; a significant change requires a new split."""
        self.completed_count += 1
        weight = max(_MIN_SAMPLE_WEIGHT, 1 / self.completed_count)
        self.mean_run_s += weight * (run_s - self.mean_run_s)
        change = abs(self.mean_run_s - self.mean_run_at_split_s)
        if change > _SIGNIFICANT_CHANGE_FRACTION * self.mean_run_at_split_s:
            self.needs_split = True

    def split(
        self, backlog: dict[str, int], now_s: float
    ) -> list[tuple[str, SlotGrant]]:
        """Splits the slots among the connected entries again.

        Args:
            backlog: Number of tasks that wait at each connected entry, by entry name.
            now_s: Current time.

        Returns:
            The grants that changed significantly, with their entries.
        """
        self.needs_split = False
        self.split_at_s = now_s
        self.mean_run_at_split_s = self.mean_run_s
        demand = {
            peer: waiting + self.task_count(peer) for peer, waiting in backlog.items()
        }
        grants = []
        for peer, share in self.splitter.split(demand, self.mean_run_s).items():
            if self._is_grant_current(peer, share):
                continue
            self.generation += 1
            self.granted_shares[peer] = share
            grant = SlotGrant(
                upstream=self.announcement.name,
                limit=share.limit,
                slots=share.slots,
                generation=self.generation,
            )
            grants.append((peer, grant))
        return grants

    def _is_grant_current(self, peer: str, share: SlotShare) -> bool:
        granted = self.granted_shares.get(peer)
        if granted is None or granted.slots != share.slots:
            return False
        return (
            abs(share.limit - granted.limit)
            <= _SIGNIFICANT_CHANGE_FRACTION * granted.limit
        )
