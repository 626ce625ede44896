"""WorkerView: what the dispatcher knows of one agent and its worker."""

import dataclasses

from hawthornbarrow.cells._health import WorkerHealth
from hawthornbarrow.cells._parts import (
    Resources,
    TaskKey,
    WorkerRecord,
)


@dataclasses.dataclass(kw_only=True)
class Run:
    """A run that an agent holds or was told to start.

    Attributes:
        task: The task.
        attempt: Number of the start.
        needs: What the task takes.
        started_at_s: When the dispatcher ordered it.
        expected_s: How long it is expected to run, zero when unknown.
        is_stopping: Whether its stop was ordered.
    """

    task: TaskKey
    attempt: int
    needs: Resources
    started_at_s: float
    expected_s: float = 0.0
    is_stopping: bool = False


class WorkerView:
    """One attached agent.

    Args:
        agent: Name of the agent.
        session: Session of its attachment.
        record: Its worker's upstream.
        now_s: Current time.
    """

    def __init__(
        self, *, agent: str, session: int, record: WorkerRecord, now_s: float
    ) -> None:
        """Starts without runs."""
        self.agent = agent
        self.session = session
        self.record = record
        self.heard_at_s = now_s
        self.is_leaving = False
        self.is_silent = False
        self.noted = 0
        self.health = WorkerHealth()
        self.runs: dict[TaskKey, Run] = {}
        self._free = record.capacity

    @property
    def free(self) -> Resources:
        """What no run takes; runs that are being stopped still count."""
        return self._free

    def add(self, run: Run) -> None:
        """Notes a run."""
        self.runs[run.task] = run
        self._free = self._free.minus(run.needs)

    def remove(self, task: TaskKey) -> Run | None:
        """Forgets a run that is over."""
        run = self.runs.pop(task, None)
        if run is not None:
            self._free = self._free.plus(run.needs)
        return run

    def may_take(self, now_s: float, doubted_after_s: float) -> bool:
        """Tells whether the worker gets new work now."""
        if self.is_leaving or self.is_silent or self.health.is_ejected(now_s):
            return False
        if now_s - self.heard_at_s > doubted_after_s:
            return False
        return not (self.health.is_on_trial and self.runs)
