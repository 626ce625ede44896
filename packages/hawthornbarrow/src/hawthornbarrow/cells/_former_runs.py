"""FormerRuns: what an earlier dispatcher left behind at the agents."""

from hawthornbarrow.cells._parts import (
    TaskKey,
)

ORPHAN_KEPT_S = 2.5
KEPT_S = 60.0


class FormerRuns:
    """Runs and ends of jobs that have not been submitted to this dispatcher yet.

    Args:
        kept_from_s: When all agents have told or lost what they held; runs that no
            submission claims are kept for a moment from then on.
    """

    def __init__(self, *, kept_from_s: float) -> None:
        """Starts without runs."""
        self._kept_from_s = kept_from_s
        self._runs: dict[TaskKey, tuple[str, float]] = {}
        self._done: dict[TaskKey, float] = {}
        self._ran: dict[str, float] = {}
        self._offered: dict[str, float] = {}
        self._arrived_at_s: dict[str, float] = {}

    def note_offered(self, job: str, arrived_at_s: float, now_s: float) -> None:
        """Notes that an earlier dispatcher was offered a job."""
        self._offered[job] = now_s
        self._arrived_at_s[job] = arrived_at_s

    def note_run(self, task: TaskKey, agent: str, now_s: float) -> None:
        """Notes a run that nobody has claimed."""
        self._runs[task] = (agent, now_s)

    def note_trace(self, job: str, now_s: float) -> None:
        """Notes that a task of a job has started at some time."""
        self._ran[job] = now_s

    def note_done(self, task: TaskKey, now_s: float) -> None:
        """Notes a task whose run ended well before its job was submitted here."""
        self._done[task] = now_s

    def forget_run(self, task: TaskKey) -> None:
        """Forgets a run that has ended."""
        self._runs.pop(task, None)

    def take_done(self, task: TaskKey) -> bool:
        """Tells whether a task is done already, and forgets it."""
        return self._done.pop(task, None) is not None

    def take_run(self, task: TaskKey) -> str:
        """Returns the agent that runs a task, empty for none, and forgets it."""
        agent, _ = self._runs.pop(task, ("", 0.0))
        return agent

    def may_have_run(self, job: str, *, told_from_s: float) -> bool:
        """Tells whether a task of a job may have started under another dispatcher.

        Args:
            job: The job.
            told_from_s: Time from which on all agents have told of their runs; a job
                that arrived earlier may have run and left no trace.
        """
        if job not in self._offered:
            return False
        return self._arrived_at_s[job] < told_from_s or job in self._ran

    def has_trace(self, job: str) -> bool:
        """Tells whether an agent has told of a run of a job."""
        return job in self._ran

    def take_unclaimed(self, now_s: float) -> list[tuple[TaskKey, str]]:
        """Returns runs that nobody claimed in time, and forgets what is old."""
        unclaimed = [
            (task, agent)
            for task, (agent, found_at_s) in self._runs.items()
            if now_s - max(found_at_s, self._kept_from_s) >= ORPHAN_KEPT_S
        ]
        for task, _ in unclaimed:
            del self._runs[task]
        for known in (self._done, self._ran, self._offered, self._arrived_at_s):
            for key in [key for key, at_s in known.items() if now_s - at_s > KEPT_S]:
                del known[key]
        return unclaimed
