"""Intake: the sans-I/O state machine that keeps callers until their jobs end."""

import collections.abc
import dataclasses
import enum
import math

import structlog
from hawthornbarrow.cells import (
    GIVE_UP_FACTOR,
    DispatcherHeartbeat,
    HandoverComplete,
    JobAnswer,
    JobDocument,
    JobState,
    SubmitJob,
    WithdrawJob,
)

INFORMATION_LEASE_S = 1.2  # what a dispatcher told earlier is not acted on any more
STANDBY_LIMIT_S = 1.7  # without a dispatcher, by which a standby may have begun
PULSE_LATE_S = 0.25  # without a pulse for longer, jobs wait here and are not offered
UNOFFERED_SHARE = 0.25  # of a job's objective, for which it may wait so
VERSION_LAG_S = 0.6  # a newer configuration must be in force here so soon
RETRY_SOON_S = 1.0

IntakeMessage = SubmitJob | WithdrawJob | HandoverComplete

_log = structlog.get_logger()


class OutcomeKind(enum.StrEnum):
    """What a caller is told of its job."""

    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerOutcome:
    """The answer to a caller.

    Attributes:
        kind: What became of the job.
        reason: Why it was refused or is unknown, empty else.
        retry_after_s: When the caller may come back, zero for no advice.
    """

    kind: OutcomeKind
    reason: str = ""
    retry_after_s: float = 0.0

    @classmethod
    def refused(cls, reason: str) -> "CallerOutcome":
        """Returns the answer to a job that may be submitted again soon."""
        return cls(kind=OutcomeKind.REFUSED, reason=reason, retry_after_s=RETRY_SOON_S)


_OUTCOMES = {
    JobState.COMPLETE: OutcomeKind.COMPLETE,
    JobState.FAILED: OutcomeKind.FAILED,
    JobState.CANCELLED: OutcomeKind.CANCELLED,
}


class Waiter:
    """One caller that waits for a job.

    Args:
        give_up_at_s: When the caller stops waiting.
        is_abandoned: Tells whether the caller has left.
    """

    def __init__(
        self, *, give_up_at_s: float, is_abandoned: collections.abc.Callable[[], bool]
    ) -> None:
        """Starts without an outcome."""
        self.give_up_at_s = give_up_at_s
        self.is_abandoned = is_abandoned
        self.outcome: CallerOutcome | None = None


@dataclasses.dataclass(kw_only=True)
class _HeldJob:
    document: JobDocument
    objective_s: float
    received_at_s: float
    waiters: list[Waiter]
    offered_term: int = 0
    offers: int = 0


def _lost_outcome(held: _HeldJob, reason: str) -> CallerOutcome:
    """Returns what to tell of a job whose dispatcher is lost."""
    if held.offers:
        return CallerOutcome(kind=OutcomeKind.UNKNOWN, reason=reason)
    return CallerOutcome.refused(reason)


class Intake:
    """Keeps the jobs of this entry's callers and hands them to the dispatcher."""

    def __init__(self) -> None:
        """Starts without a dispatcher."""
        self._dispatcher = ""
        self._term = 0
        self._version = 0
        self._version_learnt_at_s = -math.inf
        self._heard_at_s = -math.inf
        self._pulsed_at_s = -math.inf
        self._waiting: dict[str, int] = {}
        self._jobs: dict[str, _HeldJob] = {}
        self._messages: list[tuple[str, IntakeMessage]] = []
        self._finished: list[Waiter] = []

    @property
    def dispatcher(self) -> str:
        """Name of the entry that dispatches, empty when unknown."""
        return self._dispatcher

    @property
    def term(self) -> int:
        """Term of the dispatcher."""
        return self._term

    @property
    def version(self) -> int:
        """Version in force by the dispatcher's last pulse."""
        return self._version

    @property
    def held_count(self) -> int:
        """Jobs that callers wait for."""
        return len(self._jobs)

    def is_informed(self, now_s: float) -> bool:
        """Tells whether what the dispatcher told is recent enough to act on."""
        return self.information_age_s(now_s) < INFORMATION_LEASE_S

    def information_age_s(self, now_s: float) -> float:
        """Returns the age of what the dispatcher told, infinite when it never did."""
        return now_s - self._heard_at_s

    def tolerates(self, version: int, now_s: float) -> bool:
        """Tells whether requests may be handled by a version of the configuration."""
        if version >= self._version:
            return True
        return now_s - self._version_learnt_at_s < VERSION_LAG_S

    def waiting(self, queue: str) -> int:
        """Returns the number of a queue's jobs not begun, by the last pulse."""
        return self._waiting.get(queue, 0)

    def take_messages(self) -> list[tuple[str, IntakeMessage]]:
        """Returns the messages to send, by receiver, and forgets them."""
        messages, self._messages = self._messages, []
        return messages

    def take_finished(self) -> list[Waiter]:
        """Returns the waiters that have an outcome now, and forgets them."""
        finished, self._finished = self._finished, []
        return finished

    def take_pulse(self, peer: str, pulse: DispatcherHeartbeat, now_s: float) -> None:
        """Takes a dispatcher's pulse; a new one is offered all jobs."""
        if pulse.term < self._term:
            return
        is_new = pulse.term > self._term
        self._term = pulse.term
        self._pulsed_at_s = now_s
        if pulse.version > self._version:
            self._version_learnt_at_s = now_s
            self._version = pulse.version
        self._heard_at_s = max(self._heard_at_s, pulse.heard_at_s)
        self._waiting = pulse.waiting
        if is_new:
            _log.info(
                "dispatcher_found",
                dispatcher=peer,
                term=pulse.term,
                former=self._dispatcher,
                held=len(self._jobs),
            )
            self._dispatcher = peer
        for job in self._jobs.values():
            if job.offered_term < self._term:
                self._offer(job, now_s)
        if is_new:
            self._messages.append((peer, HandoverComplete(term=pulse.term)))

    def lose_dispatcher(self, peer: str) -> None:
        """Takes note that the link to a process is down; jobs wait here until a pulse.

        What the dispatcher told before stays valid for its time.
        """
        if peer == self._dispatcher:
            self._pulsed_at_s = -math.inf

    def submit(
        self,
        document: JobDocument,
        waiter: Waiter,
        now_s: float,
        *,
        objective_s: float,
    ) -> CallerOutcome | None:
        """Takes a job; returns an outcome when it is refused at once.

        Args:
            document: The job.
            waiter: Its caller.
            now_s: Current time.
            objective_s: Time in which the job should end.
        """
        held = self._jobs.get(document.job)
        if held is not None:
            held.waiters.append(waiter)
            return None
        if not self._dispatcher or not self.is_informed(now_s):
            _log.info(
                "job_refused",
                job=document.job,
                queue=document.queue,
                reason="no dispatcher",
                information_age_s=round(self.information_age_s(now_s), 3),
                term=self._term,
            )
            return CallerOutcome.refused("no dispatcher")
        held = _HeldJob(
            document=document,
            objective_s=objective_s,
            received_at_s=now_s,
            waiters=[waiter],
        )
        self._jobs[document.job] = held
        if now_s - self._pulsed_at_s <= PULSE_LATE_S:
            self._offer(held, now_s)
        return None

    def withdraw(self, job: str) -> None:
        """Cancels a job, whoever holds it."""
        if self._dispatcher:
            self._messages.append((self._dispatcher, WithdrawJob(job=job)))

    def take_answer(self, answer: JobAnswer, now_s: float) -> None:
        """Takes what became of a job."""
        held = self._jobs.pop(answer.job, None)
        if held is None:
            return
        kind = _OUTCOMES.get(answer.state)
        if kind is None and held.offers > 1 and not answer.has_not_run:
            # An earlier dispatcher may have run it, so "refused" would not be true.
            kind = OutcomeKind.UNKNOWN
        outcome = CallerOutcome(
            kind=kind or OutcomeKind.REFUSED,
            reason=answer.reason,
            retry_after_s=answer.retry_after_s,
        )
        self._finish(held, outcome, now_s)

    def tick(self, now_s: float) -> None:
        """Answers callers that wait no longer, and drops jobs that nobody wants.

        When the dispatcher has been silent for too long, its runs have lost their
        leases and no standby has come. Whether a job has run is not known then, so the
        caller may ask again.
        """
        for held in list(self._jobs.values()):
            if self._is_hopeless(held, now_s):
                self._give_up(held, now_s)
                continue
            held.waiters = [
                waiter for waiter in held.waiters if not waiter.is_abandoned()
            ]
            if not held.waiters:
                del self._jobs[held.document.job]
                _log.info(
                    "job_abandoned",
                    job=held.document.job,
                    waited_s=round(now_s - held.received_at_s, 3),
                )
                self.withdraw(held.document.job)
            elif now_s >= max(waiter.give_up_at_s for waiter in held.waiters):
                del self._jobs[held.document.job]
                self.withdraw(held.document.job)
                outcome = CallerOutcome(
                    kind=OutcomeKind.UNKNOWN, reason="the time limit passed"
                )
                self._finish(held, outcome, now_s)

    def _is_hopeless(self, held: _HeldJob, now_s: float) -> bool:
        """Tells whether a job waits for a dispatcher beyond the time of use."""
        waited_s = now_s - held.received_at_s
        if not held.offers:
            return waited_s > UNOFFERED_SHARE * held.objective_s
        if self.information_age_s(now_s) > STANDBY_LIMIT_S:
            return True
        is_silent = now_s - self._pulsed_at_s > PULSE_LATE_S
        return is_silent and waited_s > GIVE_UP_FACTOR * held.objective_s

    def _give_up(self, held: _HeldJob, now_s: float) -> None:
        """Answers a job that no dispatcher was there for.

        One that was never offered has surely not run; of another that is not known.
        """
        del self._jobs[held.document.job]
        if held.offers:
            self.withdraw(held.document.job)
        self._finish(held, _lost_outcome(held, "no dispatcher"), now_s)

    def end_all(self, reason: str, now_s: float) -> None:
        """Tells all callers that it is not known what became of their jobs."""
        jobs, self._jobs = self._jobs, {}
        for held in jobs.values():
            self._finish(held, _lost_outcome(held, reason), now_s)

    def _offer(self, held: _HeldJob, now_s: float) -> None:
        held.offers += 1
        held.offered_term = self._term
        message = SubmitJob(
            document=held.document,
            age_s=now_s - held.received_at_s,
            was_offered=held.offers > 1,
        )
        self._messages.append((self._dispatcher, message))

    def _finish(self, held: _HeldJob, outcome: CallerOutcome, now_s: float) -> None:
        _log.info(
            "job_answered",
            job=held.document.job,
            queue=held.document.queue,
            outcome=outcome.kind.value,
            reason=outcome.reason,
            term=held.offered_term,
            offers=held.offers,
            took_s=round(now_s - held.received_at_s, 3),
        )
        for waiter in held.waiters:
            waiter.outcome = outcome
            self._finished.append(waiter)
