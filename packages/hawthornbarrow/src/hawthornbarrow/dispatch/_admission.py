"""Admission control: refuses jobs that could not be answered in time."""

import dataclasses
import random

_JITTER_FRACTION = 0.25
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmissionLimits:
    """Limits on the tasks that may wait at one entry.

    Attributes:
        tasks: Maximum number of waiting tasks of all members.
        member_tasks: Maximum number of waiting tasks of one member.
    """

    tasks: int = 200_000
    member_tasks: int = 50_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why a job is refused, and when its caller should retry.

    Attributes:
        status: HTTP status code.
        reason: Short machine-readable reason.
        detail: Human-readable explanation.
        retry_after_s: Time to wait before submitting the job again.
    """

    status: int
    reason: str
    detail: str
    retry_after_s: float


class Admission:
    """Counts the work of open jobs by member and predicts how long new work would wait.

    Args:
        limits: Limits on the waiting tasks.
        generator: Seeded source of the jitter of the retry times.
    """

    def __init__(self, *, limits: AdmissionLimits, generator: random.Random) -> None:
        """Initializes the counts with no waiting work."""
        self._limits = limits
        self._generator = generator
        self._tasks: dict[str, int] = {}
        self._work_s: dict[str, float] = {}
        self._total = 0

    @property
    def waiting_tasks(self) -> int:
        """Number of tasks of all open admitted jobs, including finished tasks."""
        return self._total

    def set_limits(self, limits: AdmissionLimits) -> None:
        """Replaces the limits by those of the configuration in force."""
        self._limits = limits

    def add(self, member: str, tasks: int, work_s: float) -> None:
        """Counts admitted work."""
        self._tasks[member] = self._tasks.get(member, 0) + tasks
        self._work_s[member] = self._work_s.get(member, 0.0) + work_s
        self._total += tasks

    def remove(self, member: str, tasks: int, work_s: float) -> None:
        """Removes work that ended from the counts."""
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
        """Returns why a job must be refused, or None if it is admitted.

        The predicted wait is the work of the member's own admitted jobs divided by
        the slots that its share guarantees, so the backlog of one member never causes
        the deadline refusal of another member's job. A member without admitted work
        is not refused for its deadline.

        Args:
            member: Name of the member.
            tasks: Number of tasks of the job.
            work_s: Expected slot time of the job.
            deadline_s: Time from now to the job's deadline.
            slots: Number of slots in the fleet that run the job's service.
            weight_share: The member's weight over the total weight of all members
                with work at this entry.
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
        bounded_s = min(max(wait_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
        jitter = self._generator.uniform(1 - _JITTER_FRACTION, 1 + _JITTER_FRACTION)
        return Refusal(
            status=status,
            reason=reason,
            detail=detail,
            retry_after_s=bounded_s * jitter,
        )
