"""WorkerView: the dispatcher's view of one agent and its worker."""

import collections
import dataclasses
import math

import msgspec

from hawthornbarrow.cells._health import WorkerHealth
from hawthornbarrow.cells._parts import (
    Resources,
    TaskKey,
    WorkerRecord,
)
from hawthornbarrow.cells._slow_start import SlowStart

_TIMELY_RUN_COUNT = 32


@dataclasses.dataclass(kw_only=True)
class Run:
    """A run that an agent has or was ordered to start.

    Attributes:
        task: The task.
        attempt: Attempt number of the start.
        needs: Resources that the task uses.
        started_at_s: When the dispatcher ordered its start.
        expected_s: Expected run time, zero when unknown.
        is_stopping: Whether its stop was ordered.
        is_remote: Whether its worker is away from the rack of its data.
        queue: Name of its job's queue, empty when unknown.
    """

    task: TaskKey
    attempt: int
    needs: Resources
    started_at_s: float
    expected_s: float = 0.0
    is_stopping: bool = False
    is_remote: bool = False
    queue: str = ""


def speed_key(record: WorkerRecord) -> str:
    """Returns the key by which the speed of an incarnation of a worker is kept."""
    return record.incarnation


class WorkerView:
    """The dispatcher's view of one attached agent.

    Args:
        agent: Name of the agent.
        session: Session of its attachment.
        record: Record of its worker's upstream.
        now_s: Current time.
        attach_sent_at_s: When, on its own clock, the agent sent its attach request.
        process: Random number of the agent's process, zero if unknown.
    """

    def __init__(
        self,
        *,
        agent: str,
        session: int,
        record: WorkerRecord,
        now_s: float,
        attach_sent_at_s: float = 0.0,
        process: int = 0,
    ) -> None:
        """Initializes a view without runs."""
        self.agent = agent
        self.session = session
        self.record = record
        self.speed_key = speed_key(record)
        self.attach_sent_at_s = attach_sent_at_s
        self.process = process
        self.heard_at_s = now_s
        self.is_leaving = False
        self.is_silent = False
        self.is_evacuated = False
        self.slow_start: SlowStart | None = None
        # Earliest end of an upstream that leaves, None where it did not say.
        self.ends_at_s: float | None = None
        # When the last runs that ended in a probable time were started.
        self.timely_starts_s: collections.deque[float] = collections.deque(
            maxlen=_TIMELY_RUN_COUNT
        )
        self.awaits_attach_until_s = -math.inf
        self.acknowledged = 0
        self.health = WorkerHealth()
        self.runs: dict[TaskKey, Run] = {}
        self._free = record.capacity

    @property
    def free(self) -> Resources:
        """Free resources; runs that are being stopped still use theirs.

        During a slow start, an idle worker may start one task of any size.
        """
        if self.slow_start is None or not self.runs:
            return self._free
        withheld = self.record.capacity.cpu - self.usable_cpu
        return self._free.minus(Resources(cpu=withheld))

    @property
    def usable_cpu(self) -> int:
        """CPU that tasks may use now, in thousandths of a core, free or not."""
        cpu = self.record.capacity.cpu
        if self.slow_start is None:
            return cpu
        return int(cpu * self.slow_start.fraction)

    @property
    def usable_free_cpu(self) -> int:
        """Part of the usable CPU that is free, at least zero."""
        return max(0, min(self.free.cpu, self.usable_cpu))

    def set_capacity(self, capacity: Resources) -> None:
        """Sets the worker's capacity; more of it may be used than there is now."""
        used = self.record.capacity.minus(self._free)
        self.record = msgspec.structs.replace(self.record, capacity=capacity)
        self._free = capacity.minus(used)

    def add(self, run: Run) -> None:
        """Adds a run and reserves its resources."""
        self.runs[run.task] = run
        self._free = self._free.minus(run.needs)

    def remove(self, task: TaskKey) -> Run | None:
        """Removes a run and releases its resources."""
        run = self.runs.pop(task, None)
        if run is not None:
            self._free = self._free.plus(run.needs)
        return run

    def record_done(self, run: Run, run_s: float) -> None:
        """Records a run that completed, which may speed up a slow start.

        Args:
            run: The run.
            run_s: Its run time.
        """
        if self.slow_start is not None:
            share = run.needs.cpu / max(1, self.record.capacity.cpu)
            self.slow_start.record_run(share, run_s, run.expected_s)

    def accepts_work(self, now_s: float, suspect_after_s: float) -> bool:
        """Returns whether the worker accepts new tasks now."""
        if self.is_evacuated or now_s < self.awaits_attach_until_s:
            return False
        if self.is_leaving or self.is_silent or self.health.is_ejected(now_s):
            return False
        if now_s - self.heard_at_s > suspect_after_s:
            return False
        return not (self.health.is_on_probation and self.runs)
