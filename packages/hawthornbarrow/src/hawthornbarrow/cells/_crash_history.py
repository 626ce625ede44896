"""CrashHistory: finds the tasks that crash the upstreams that start them.

It handles a load in which some tasks can never be done, as they crash each upstream
that starts them. Each start of such a task costs its worker's other runs and capacity.
A crash alone proves nothing about a run: upstreams crash by themselves, in groups, and
under several runs at once. So tasks that were started shortly before a crash are
started again one at a time, and a task is the cause only when an upstream crashes
again while no other job can be it.
"""

import collections
import collections.abc
import dataclasses
import enum
import math

import structlog

from hawthornbarrow.cells._parts import TaskKey

# Time after its start in which a task under observation is the youngest on its worker.
OBSERVATION_S = 0.1
# Upstreams that crashed soon after a task started, for it to count as the cause.
MIN_CRASHES = 2
# Upstreams that crashed under a task, after which it only runs alone on a worker.
ALONE_CRASHES = 3
MAX_CRASHES = 4  # after which a task counts as the cause in any case
GROUP_WINDOW_S = 0.1  # time within which crashes in a data centre belong together
REPORT_WINDOW_S = 0.3  # time within which crashes that belong together are reported
IDLE_UNCERTAINTY_S = 0.4  # within which the end of an idle upstream is noticed
GROUP_SIZE = 3  # crashes of different upstreams that are not blamed on their runs
# Time within which a crash that is seen late is reported. Fewer losses than
# ALONE_CRASHES that stay unexplained count for nothing after it.
UNEXPLAINED_RETENTION_S = 10.0
RETENTION_S = 300.0
CLEANING_INTERVAL_S = 1.0

_log = structlog.get_logger()


class StartCare(enum.IntEnum):
    """How far a task is separated from others when it is started."""

    NONE = 0
    OBSERVED = 1  # nothing else starts on the worker for OBSERVATION_S
    ALONE = 2  # nothing else runs on the worker
    HELD = 3  # not started until it is known which upstreams crashed


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashedRun:
    """A run that an upstream had when it crashed.

    Attributes:
        task: The task.
        survived_s: Time from its start for which the upstream is known to have run.
        service: Service of the upstream.
        queue: Name of the job's queue.
        data_centre: Data centre of the upstream.
    """

    task: TaskKey
    survived_s: float
    service: str = ""
    queue: str = ""
    data_centre: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashCause:
    """A task that crashes the upstreams that start it.

    Attributes:
        task: The task.
        service: Service of the upstream that crashed last.
        queue: Name of the job's queue.
    """

    task: TaskKey
    service: str
    queue: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _LostRun:
    """A run that was lost with an incarnation that may have crashed."""

    upstream: str
    lost_at_s: float


@dataclasses.dataclass(kw_only=True)
class _TaskCrashes:
    """Crashes under one task.

    Attributes:
        changed_at_s: When the last crash became known.
        upstreams: Incarnations that crashed under it.
        unexplained: Runs that were lost for unknown reasons, by attempt number.
        is_suspect: Whether it may have caused the last crash.
        service: Service of the upstream that crashed last.
        queue: Name of the job's queue.
    """

    changed_at_s: float
    service: str = ""
    queue: str = ""
    upstreams: list[str] = dataclasses.field(default_factory=list)
    unexplained: dict[int, _LostRun] = dataclasses.field(default_factory=dict)
    is_suspect: bool = False

    @property
    def possible_count(self) -> int:
        """Number of incarnations that may have crashed under it."""
        lost_with = (lost.upstream for lost in self.unexplained.values())
        return len({*self.upstreams, *lost_with})

    def drop_losses_before(self, time_s: float) -> None:
        """Removes unexplained losses that are older than a time."""
        for attempt, lost in list(self.unexplained.items()):
            if lost.lost_at_s < time_s:
                del self.unexplained[attempt]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Crash:
    """When and where an upstream crashed.

    Attributes:
        crashed_at_s: When its agent noticed the crash.
        data_centre: Its data centre.
        uncertainty_s: How much earlier it may have crashed.
    """

    crashed_at_s: float
    data_centre: str
    uncertainty_s: float = 0.0

    @property
    def had_runs(self) -> bool:
        """Whether the upstream is known to have had runs."""
        return not self.uncertainty_s

    def is_near(self, other: "_Crash") -> bool:
        """Returns whether two crashes may have had the same cause."""
        gap_s = abs(self.crashed_at_s - other.crashed_at_s)
        most_s = GROUP_WINDOW_S + self.uncertainty_s + other.uncertainty_s
        return gap_s <= most_s and self.data_centre == other.data_centre


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Suspicion:
    """A task that seems to have crashed an upstream, until it is judged."""

    task: TaskKey
    crash: _Crash
    judged_from_s: float


class CrashHistory:
    """Records crashes of upstreams under tasks, and decides which tasks cause them.

    An incarnation of an upstream counts once for each task, however often and by
    whomever its crash is reported.
    """

    def __init__(self) -> None:
        """Initializes a history without crashes."""
        self._tasks: dict[TaskKey, _TaskCrashes] = {}
        self._tasks_by_job: dict[str, set[TaskKey]] = {}
        self._crashes: dict[str, _Crash] = {}  # by incarnation of the upstream
        self._suspicions: list[_Suspicion] = []
        self._beyond_limit: list[TaskKey] = []
        self._causes: dict[str, tuple[TaskKey, float]] = {}
        self._cleaned_at_s = -math.inf

    def has_crashes(self, job: str) -> bool:
        """Returns whether an upstream may have crashed under a task of a job."""
        return job in self._tasks_by_job

    def crashes_under(self, task: TaskKey) -> tuple[str, ...]:
        """Returns the incarnations that crashed under a task."""
        crashes = self._tasks.get(task)
        return tuple(crashes.upstreams) if crashes else ()

    def cause_in(self, job: str) -> TaskKey | None:
        """Returns the task of a job that crashes upstreams, or None without any."""
        task, _ = self._causes.get(job, (None, 0.0))
        return task

    def care_for(self, task: TaskKey) -> StartCare:
        """Returns how far to separate the next start of a task from others.

        A job with several tasks may crash several upstreams at once, so the crashes
        under all of them decide whether they run alone.
        """
        siblings = self._tasks_by_job.get(task.job)
        if siblings is None:
            return StartCare.NONE
        crashes = self._tasks.get(task)
        possible_count = crashes.possible_count if crashes else 0
        if possible_count >= MAX_CRASHES or self.is_pending(task.job):
            return StartCare.HELD
        if possible_count >= ALONE_CRASHES:
            return StartCare.ALONE
        upstreams: set[str] = set()
        for sibling in siblings:
            upstreams.update(self._tasks[sibling].upstreams)
        if len(upstreams) >= ALONE_CRASHES:
            return StartCare.ALONE
        if any(self._tasks[sibling].is_suspect for sibling in siblings):
            return StartCare.OBSERVED
        return StartCare.NONE

    def is_pending(self, job: str) -> bool:
        """Returns whether a task of a job is yet to be judged."""
        return any(suspicion.task.job == job for suspicion in self._suspicions)

    def learn(
        self, task: TaskKey, upstreams: collections.abc.Sequence[str], now_s: float
    ) -> None:
        """Adds crashes under a task that an agent was told by another dispatcher."""
        if not upstreams:
            return
        crashes = self._crashes_of(task, now_s)
        for upstream in upstreams:
            if self._add_upstream(task, crashes, upstream):
                crashes.is_suspect = True

    def record_unexplained_loss(
        self, task: TaskKey, attempt: int, upstream: str, now_s: float
    ) -> None:
        """Records that a run was lost and that its upstream may have crashed."""
        lost = _LostRun(upstream=upstream, lost_at_s=now_s)
        self._crashes_of(task, now_s).unexplained[attempt] = lost

    def explain_loss(self, task: TaskKey, attempt: int) -> None:
        """Records that it is known how a run ended, or that it has not ended."""
        crashes = self._tasks.get(task)
        if crashes is not None:
            crashes.unexplained.pop(attempt, None)

    def record_crash(
        self,
        upstream: str,
        runs: collections.abc.Sequence[CrashedRun],
        crashed_at_s: float,
        now_s: float,
    ) -> bool:
        """Records the crash of an upstream with the runs that it had.

        Runs of a crash that is known already were reported late. They are counted, but
        nothing more is concluded from them.

        Args:
            upstream: The incarnation.
            runs: Its runs.
            crashed_at_s: When its agent noticed the crash.
            now_s: Current time.

        Returns:
            Whether the crash was not known yet.
        """
        known = self._crashes.get(upstream)
        crash = _Crash(crashed_at_s=crashed_at_s, data_centre=runs[0].data_centre)
        if known is None or not known.had_runs:
            self._crashes[upstream] = crash
        for run in runs:
            crashes = self._crashes_of(run.task, now_s)
            crashes.service = run.service
            crashes.queue = run.queue
            self._add_upstream(run.task, crashes, upstream)
        if known is not None and known.had_runs:
            return False
        suspects = self._suspects(runs)
        for task in suspects:
            self._tasks[task].is_suspect = True
        _log.warning(
            "upstream_crashed",
            upstream=upstream,
            runs=len(runs),
            suspects=" ".join(str(task) for task in suspects),
            crashes=max(
                (len(self._tasks[task].upstreams) for task in suspects), default=0
            ),
        )
        is_sole_job = len({task.job for task in suspects}) == 1
        are_young = all(
            run.survived_s <= OBSERVATION_S for run in runs if run.task in suspects
        )
        enough = MIN_CRASHES if are_young else ALONE_CRASHES
        for task in suspects:
            if is_sole_job and len(self._tasks[task].upstreams) >= enough:
                self._suspicions.append(
                    _Suspicion(
                        task=task,
                        crash=crash,
                        judged_from_s=now_s + REPORT_WINDOW_S,
                    )
                )
        return True

    def record_idle_crash(self, upstream: str, data_centre: str, now_s: float) -> None:
        """Records the crash of an upstream that had no runs."""
        crash = _Crash(
            crashed_at_s=now_s,
            data_centre=data_centre,
            uncertainty_s=IDLE_UNCERTAINTY_S,
        )
        self._crashes.setdefault(upstream, crash)

    def clear(self, task: TaskKey) -> None:
        """Records that a task ran past its observation, or completed."""
        crashes = self._tasks.get(task)
        if crashes is not None:
            crashes.is_suspect = False

    def take_causes(self, now_s: float) -> list[CrashCause]:
        """Judges suspicions, and returns the tasks that are found to be causes.

        Each one waits for REPORT_WINDOW_S, so that crashes that belong together are
        known by then.
        """
        found = []
        waiting = []
        for suspicion in self._suspicions:
            if now_s < suspicion.judged_from_s:
                waiting.append(suspicion)
            elif not self._is_in_group(suspicion):
                found.append(suspicion.task)
        self._suspicions = waiting
        found += self._beyond_limit
        self._beyond_limit = []
        for task in found:
            self._causes[task.job] = (task, now_s)
        return [
            CrashCause(
                task=task,
                service=self._tasks[task].service,
                queue=self._tasks[task].queue,
            )
            for task in found
        ]

    def remove_old(self, now_s: float) -> None:
        """Removes what is older than its retention time, once a CLEANING_INTERVAL_S."""
        if now_s - self._cleaned_at_s < CLEANING_INTERVAL_S:
            return
        self._cleaned_at_s = now_s
        for task, crashes in list(self._tasks.items()):
            if crashes.possible_count < ALONE_CRASHES:
                crashes.drop_losses_before(now_s - UNEXPLAINED_RETENTION_S)
            if now_s - crashes.changed_at_s > RETENTION_S:
                del self._tasks[task]
                siblings = self._tasks_by_job[task.job]
                siblings.discard(task)
                if not siblings:
                    del self._tasks_by_job[task.job]
        for job, (_, found_at_s) in list(self._causes.items()):
            if now_s - found_at_s > RETENTION_S:
                del self._causes[job]
        for upstream, crash in list(self._crashes.items()):
            if now_s - crash.crashed_at_s > RETENTION_S:
                del self._crashes[upstream]

    def _crashes_of(self, task: TaskKey, now_s: float) -> _TaskCrashes:
        crashes = self._tasks.get(task)
        if crashes is None:
            crashes = self._tasks[task] = _TaskCrashes(changed_at_s=now_s)
            self._tasks_by_job.setdefault(task.job, set()).add(task)
        crashes.changed_at_s = now_s
        return crashes

    def _add_upstream(
        self, task: TaskKey, crashes: _TaskCrashes, upstream: str
    ) -> bool:
        """Adds an incarnation that crashed under a task; returns whether it is new."""
        if upstream in crashes.upstreams:
            return False
        crashes.upstreams.append(upstream)
        if len(crashes.upstreams) == MAX_CRASHES and task.job not in self._causes:
            self._beyond_limit.append(task)
        return True

    def _suspects(self, runs: collections.abc.Sequence[CrashedRun]) -> list[TaskKey]:
        """Returns the tasks that may have caused a crash.

        These are the tasks started shortly before it, or those of the only job.
        """
        young = [run.task for run in runs if run.survived_s <= OBSERVATION_S]
        if young or len({run.task.job for run in runs}) != 1:
            return young
        return [run.task for run in runs]

    def _is_in_group(self, suspicion: _Suspicion) -> bool:
        """Returns whether others crashed then and there without a task of the job."""
        job_upstreams: set[str] = set()
        for sibling in self._tasks_by_job.get(suspicion.task.job, ()):
            job_upstreams.update(self._tasks[sibling].upstreams)
        others = sum(
            crash.is_near(suspicion.crash) and upstream not in job_upstreams
            for upstream, crash in self._crashes.items()
        )
        return others + 1 >= GROUP_SIZE
