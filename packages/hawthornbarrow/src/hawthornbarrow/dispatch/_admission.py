"""Admission: refuses at once what could not be answered in time."""

import dataclasses
import random

_JITTER = 0.25
_MIN_RETRY_S = 0.5
_MAX_RETRY_S = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmissionLimits:
    """Bounds of what may wait at one entry.

    Attributes:
        tasks: Tasks that may wait in all.
        member_tasks: Tasks of one member that may wait.
    """

    tasks: int = 200_000
    member_tasks: int = 50_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why a job is refused, and when its caller should come back.

    Attributes:
        status: HTTP status code.
        reason: Short machine-readable reason.
        detail: What was got and what was expected.
        retry_after_s: When to come back.
    """

    status: int
    reason: str
    detail: str
    retry_after_s: float


class Admission:
    """Counts waiting work by member and predicts how long new work would wait.

    Args:
        limits: Bounds of what may wait.
        generator: Seeded source of the jitter of retry advice.
    """

    def __init__(self, *, limits: AdmissionLimits, generator: random.Random) -> None:
        """Starts with nothing waiting."""
        self._limits = limits
        self._generator = generator
        self._tasks: dict[str, int] = {}
        self._work_s: dict[str, float] = {}
        self._total = 0

    @property
    def waiting_tasks(self) -> int:
        """Unfinished tasks of all admitted jobs."""
        return self._total

    def set_limits(self, limits: AdmissionLimits) -> None:
        """Takes new bounds from the configuration in force."""
        self._limits = limits

    def add(self, member: str, tasks: int, work_s: float) -> None:
        """Counts admitted work."""
        self._tasks[member] = self._tasks.get(member, 0) + tasks
        self._work_s[member] = self._work_s.get(member, 0.0) + work_s
        self._total += tasks

    def remove(self, member: str, tasks: int, work_s: float) -> None:
        """Uncounts work that ended."""
        self._tasks[member] = max(0, self._tasks.get(member, 0) - tasks)
        self._work_s[member] = max(0.0, self._work_s.get(member, 0.0) - work_s)
        self._total = max(0, self._total - tasks)

    def evaluate(
        self,
        member: str,
        *,
        tasks: int,
        work_s: float,
        deadline_s: float,
        slots: int,
        weight_share: float,
    ) -> Refusal | None:
        """Returns why the job must be refused, or None.

        The predicted wait is the member's own work in line over the slots that its
        share guarantees, so one member's backlog never refuses another's job.

        Args:
            member: Name of the member.
            tasks: Number of tasks of the job.
            work_s: Expected slot time of the job.
            deadline_s: Time from now to the job's deadline.
            slots: Slots of the fleet that run the job's service.
            weight_share: The member's weight over that of all with work here.
        """
        own_slots = max(1.0, slots * weight_share)
        own_work_s = self._work_s.get(member, 0.0)
        drain_s = own_work_s / own_slots
        if self._total + tasks > self._limits.tasks:
            return self._refuse(503, "queue_full", "too many tasks wait", drain_s)
        if self._tasks.get(member, 0) + tasks > self._limits.member_tasks:
            detail = f"the member may have {self._limits.member_tasks} tasks waiting"
            return self._refuse(429, "member_queue_full", detail, drain_s)
        finish_s = drain_s + work_s / max(1.0, min(slots, tasks))
        if own_work_s > 0 and finish_s > deadline_s:
            detail = (
                f"predicted end in {finish_s:.2f} s, deadline in {deadline_s:.2f} s"
            )
            return self._refuse(
                429, "would_miss_deadline", detail, finish_s - deadline_s
            )
        return None

    def _refuse(self, status: int, reason: str, detail: str, wait_s: float) -> Refusal:
        bounded_s = min(max(wait_s, _MIN_RETRY_S), _MAX_RETRY_S)
        jitter = self._generator.uniform(1 - _JITTER, 1 + _JITTER)
        return Refusal(
            status=status,
            reason=reason,
            detail=detail,
            retry_after_s=bounded_s * jitter,
        )
