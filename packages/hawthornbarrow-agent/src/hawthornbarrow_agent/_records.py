"""What the agent holds: tasks in line, tasks on slots, results of open jobs."""

import collections
import collections.abc
import dataclasses

from hawthornbarrow.dispatch import DEFAULT_RUN_S, SlotShare, SlotSplitter
from hawthornbarrow.links import SlotGrant, TaskResult
from hawthornbarrow.upstreams import Announcement

_RUN_WEIGHT = 0.1
_CLEAR_CHANGE = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeldTask:
    """A task that waits for a slot or runs on one.

    Attributes:
        entry: Entry that sent it.
        job: Job id.
        key: The caller's idempotency key.
        service: Name of the service.
        index: Position in the job.
        attempt: Number of the attempt.
        payload: The task as JSON.
        repeatable: Whether it may run again after an uncertain end.
        expires_at_s: When the job's deadline passes.
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


class JobHolding:
    """What the agent knows of one open job.

    Args:
        owner: Entry that owns the job.
        epoch: Ownership epoch of the job.
    """

    def __init__(self, *, owner: str, epoch: int) -> None:
        """Starts without tasks."""
        self.owner = owner
        self.epoch = epoch
        self.attempts: dict[int, int] = {}
        self.started: set[int] = set()
        self.finished: dict[int, TaskResult] = {}
        self.active = 0


class UpstreamSlots:
    """One announced upstream with its line and its slots.

    Args:
        announcement: Its latest announcement.
        splitter: Splits its slots among the entries.
        expires_at_s: When the announcement's lease ends.
    """

    def __init__(
        self,
        *,
        announcement: Announcement,
        splitter: SlotSplitter,
        expires_at_s: float,
    ) -> None:
        """Starts idle."""
        self.announcement = announcement
        self.splitter = splitter
        self.expires_at_s = expires_at_s
        self.is_leaving = False
        self.queue: collections.deque[HeldTask] = collections.deque()
        self.running: dict[tuple[str, int], HeldTask] = {}
        self.mean_run_s = DEFAULT_RUN_S
        self.split_mean_s = DEFAULT_RUN_S
        self.completed = 0
        self.shares: dict[str, SlotShare] = {}
        self.generation = 0
        self.split_at_s = 0.0
        self.is_dirty = False

    def held_for(self, entry: str) -> int:
        """Returns the number of tasks held for an entry."""
        queued = sum(task.entry == entry for task in self.queue)
        running = sum(task.entry == entry for task in self.running.values())
        return queued + running

    def take_waiting(
        self, is_meant: collections.abc.Callable[[HeldTask], bool]
    ) -> list[HeldTask]:
        """Removes and returns the tasks in line that are meant."""
        taken = [task for task in self.queue if is_meant(task)]
        if taken:
            kept = [task for task in self.queue if not is_meant(task)]
            self.queue = collections.deque(kept)
        return taken

    def learn(self, run_s: float) -> None:
        """Updates the mean run time; a clear change asks for a new split."""
        self.completed += 1
        weight = max(_RUN_WEIGHT, 1 / self.completed)
        self.mean_run_s += weight * (run_s - self.mean_run_s)
        change = abs(self.mean_run_s - self.split_mean_s)
        if change > _CLEAR_CHANGE * self.split_mean_s:
            self.is_dirty = True

    def split(
        self, backlog: dict[str, int], now_s: float
    ) -> list[tuple[str, SlotGrant]]:
        """Splits the slots anew.

        Args:
            backlog: Tasks that wait at each linked entry.
            now_s: Current time.

        Returns:
            The grants that changed clearly, by entry.
        """
        self.is_dirty = False
        self.split_at_s = now_s
        self.split_mean_s = self.mean_run_s
        demand = {
            peer: waiting + self.held_for(peer) for peer, waiting in backlog.items()
        }
        grants = []
        for peer, share in self.splitter.split(demand, self.mean_run_s).items():
            if self._is_told(peer, share):
                continue
            self.generation += 1
            self.shares[peer] = share
            grant = SlotGrant(
                upstream=self.announcement.name,
                limit=share.limit,
                slots=share.slots,
                generation=self.generation,
            )
            grants.append((peer, grant))
        return grants

    def _is_told(self, peer: str, share: SlotShare) -> bool:
        before = self.shares.get(peer)
        if before is None or before.slots != share.slots:
            return False
        return abs(share.limit - before.limit) <= _CLEAR_CHANGE * before.limit
