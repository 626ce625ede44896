"""PreviousRuns: runs that a previous dispatcher started at the agents."""

from hawthornbarrow.cells._parts import (
    TaskKey,
)
from hawthornbarrow.cells._timing import ENTRY_CONTACT_S

ORPHAN_RETENTION_S = 2.5
RETENTION_S = 60.0


class PreviousRuns:
    """Tracks runs of jobs that have not been submitted to this dispatcher yet.

    Args:
        recovery_until_s: Time by which all agents have reported or lost their runs.
            Runs that no submission claims are retained for ORPHAN_RETENTION_S after it.
    """

    def __init__(self, *, recovery_until_s: float) -> None:
        """Initializes a tracker without runs."""
        self._recovery_until_s = recovery_until_s
        self._runs: dict[TaskKey, tuple[str, float]] = {}
        self._done: dict[TaskKey, float] = {}
        self._traces: dict[str, float] = {}
        self._submitted_before: dict[str, float] = {}
        self._arrived_at_s: dict[str, float] = {}

    def record_previous_submission(
        self, job: str, arrived_at_s: float, now_s: float
    ) -> None:
        """Records that a job was submitted to a previous dispatcher."""
        self._submitted_before[job] = now_s
        self._arrived_at_s[job] = arrived_at_s

    def record_run(self, task: TaskKey, agent: str, now_s: float) -> None:
        """Records a run that no submitted job has claimed."""
        self._runs[task] = (agent, now_s)

    def record_trace(self, job: str, now_s: float) -> None:
        """Records that a task of a job was started at some time."""
        self._traces[job] = now_s

    def record_done(self, task: TaskKey, now_s: float) -> None:
        """Records a task that completed before its job was submitted here."""
        self._done[task] = now_s

    def remove_run(self, task: TaskKey) -> None:
        """Removes a run that has ended."""
        self._runs.pop(task, None)

    def pop_done(self, task: TaskKey) -> bool:
        """Returns whether a task is done already, and removes its record."""
        return self._done.pop(task, None) is not None

    def pop_run(self, task: TaskKey) -> str:
        """Returns the agent that runs a task, empty for none, and removes the run."""
        agent, _ = self._runs.pop(task, ("", 0.0))
        return agent

    def may_have_run(self, job: str, *, reported_from_s: float) -> bool:
        """Returns whether a previous dispatcher may have started a task of a job.

        Args:
            job: The job.
            reported_from_s: Time since when agents have reported all their runs. A job
                that arrived earlier may have run and left no trace.
        """
        if not self.was_submitted_before(job):
            return False
        return self._arrived_at_s[job] < reported_from_s or job in self._traces

    def was_submitted_before(self, job: str) -> bool:
        """Returns whether a job was submitted to a previous dispatcher."""
        return job in self._submitted_before

    def has_trace(self, job: str) -> bool:
        """Returns whether an agent has reported a run of a job."""
        return job in self._traces

    def take_unclaimed(
        self, now_s: float, *, may_be_elsewhere: bool = False
    ) -> list[tuple[TaskKey, str]]:
        """Removes and returns runs that no job claimed in time; removes old records.

        Args:
            now_s: Current time.
            may_be_elsewhere: Whether their entries may follow another dispatcher, which
                waits only until the silence of an entry is noticed.
        """
        unclaimed = [
            (task, agent)
            for task, (agent, found_at_s) in self._runs.items()
            if now_s - max(found_at_s, self._recovery_until_s) >= ORPHAN_RETENTION_S
            or (may_be_elsewhere and now_s - found_at_s >= ENTRY_CONTACT_S)
        ]
        for task, _ in unclaimed:
            del self._runs[task]
        for known in (
            self._done,
            self._traces,
            self._submitted_before,
            self._arrived_at_s,
        ):
            for key in [
                key for key, at_s in known.items() if now_s - at_s > RETENTION_S
            ]:
                del known[key]
        return unclaimed
