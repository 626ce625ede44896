"""CallerJobs: the sans-I/O state machine for the jobs of waiting callers."""

import collections.abc
import dataclasses
import enum
import math

import structlog
from hawthornbarrow.cells import (
    GIVE_UP_FACTOR,
    NO_FEATURES,
    DispatcherHeartbeat,
    HandoverComplete,
    JobAnswer,
    JobDocument,
    JobState,
    LoadFeature,
    SubmitJob,
    WithdrawJob,
)

INFORMATION_LEASE_S = 1.2  # dispatcher information older than this is not used
TAKEOVER_TIMEOUT_S = 1.7  # without a dispatcher; a standby would have begun by then
HEARTBEAT_TIMEOUT_S = 0.25  # after a longer silence jobs wait and are not submitted
# After a longer silence new callers should go to other entries: four heartbeats are
# missing, so this entry may be cut off. A takeover is over soon after that.
READY_TIMEOUT_S = 0.6
UNSUBMITTED_WAIT_FACTOR = 0.25  # of the objective; maximum wait before a submission
MAX_VERSION_LAG_S = 0.6  # within which a newer configuration must be in force here
RETRY_AFTER_S = 1.0

JobMessage = SubmitJob | WithdrawJob | HandoverComplete

_log = structlog.get_logger()


class OutcomeKind(enum.StrEnum):
    """Outcome of a job as reported to its caller."""

    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerOutcome:
    """Outcome of a job with the details that its caller gets.

    Attributes:
        kind: Outcome of the job.
        reason: Why the job was refused or its outcome is unknown, or empty.
        retry_after_s: Time after which the caller may try again, or zero for no advice.
    """

    kind: OutcomeKind
    reason: str = ""
    retry_after_s: float = 0.0

    @classmethod
    def refused(cls, reason: str) -> "CallerOutcome":
        """Returns the outcome of a refused job that may be submitted again soon."""
        return cls(kind=OutcomeKind.REFUSED, reason=reason, retry_after_s=RETRY_AFTER_S)


_OUTCOMES = {
    JobState.COMPLETE: OutcomeKind.COMPLETE,
    JobState.FAILED: OutcomeKind.FAILED,
    JobState.CANCELLED: OutcomeKind.CANCELLED,
}


class Waiter:
    """One caller that waits for a job.

    Args:
        give_up_at_s: When the caller stops waiting.
        is_abandoned: Returns whether the caller has closed its connection.
    """

    def __init__(
        self, *, give_up_at_s: float, is_abandoned: collections.abc.Callable[[], bool]
    ) -> None:
        """Initializes a waiter without an outcome."""
        self.give_up_at_s = give_up_at_s
        self.is_abandoned = is_abandoned
        self.outcome: CallerOutcome | None = None


@dataclasses.dataclass(kw_only=True)
class _CallerJob:
    document: JobDocument
    objective_s: float
    received_at_s: float
    waiters: list[Waiter]
    submitted_term: int = 0
    submission_count: int = 0


def _unanswered_outcome(job: _CallerJob, reason: str) -> CallerOutcome:
    """Returns the outcome of a job that no dispatcher has answered."""
    if job.submission_count:
        return CallerOutcome(kind=OutcomeKind.UNKNOWN, reason=reason)
    return CallerOutcome.refused(reason)


class CallerJobs:
    """Tracks the jobs of this entry's callers and submits them to the dispatcher.

    Args:
        features: Optional features that the deployment has enabled.
        data_centre: Data centre of this entry.
    """

    def __init__(
        self,
        *,
        features: frozenset[LoadFeature] = NO_FEATURES,
        data_centre: str = "",
    ) -> None:
        """Initializes the state without jobs and without a known dispatcher."""
        self._features = features
        self._data_centre = data_centre
        self._dispatcher = ""
        self._term = 0
        self._version = 0
        self._version_changed_at_s = -math.inf
        self._informed_at_s = -math.inf
        self._heartbeat_at_s = -math.inf
        self._waiting: dict[str, int] = {}
        self._jobs: dict[str, _CallerJob] = {}
        self._messages: list[tuple[str, JobMessage]] = []
        self._finished: list[Waiter] = []

    @property
    def dispatcher(self) -> str:
        """Name of the dispatcher's entry, empty when unknown."""
        return self._dispatcher

    @property
    def term(self) -> int:
        """Term of the dispatcher."""
        return self._term

    @property
    def version(self) -> int:
        """Version of the configuration in force, by the dispatcher's heartbeats."""
        return self._version

    @property
    def job_count(self) -> int:
        """Number of jobs that callers wait for."""
        return len(self._jobs)

    def is_informed(self, now_s: float) -> bool:
        """Returns whether the dispatcher's information is recent enough to use."""
        return self.information_age_s(now_s) < INFORMATION_LEASE_S

    def hears_dispatcher(self, now_s: float) -> bool:
        """Returns whether the dispatcher's heartbeats arrive now."""
        return now_s - self._heartbeat_at_s <= HEARTBEAT_TIMEOUT_S

    def may_take_callers(self, now_s: float) -> bool:
        """Returns whether new callers are likely to be served here."""
        is_heard = now_s - self._heartbeat_at_s <= READY_TIMEOUT_S
        return is_heard and self.is_informed(now_s)

    def information_age_s(self, now_s: float) -> float:
        """Returns the age of the dispatcher's information, infinite without any."""
        return now_s - self._informed_at_s

    def accepts_version(self, version: int, now_s: float) -> bool:
        """Returns whether requests may be handled with a version of the configuration.

        An older version is accepted for MAX_VERSION_LAG_S after a newer one is known.
        """
        if version >= self._version:
            return True
        return now_s - self._version_changed_at_s < MAX_VERSION_LAG_S

    def waiting_job_count(self, queue: str) -> int:
        """Returns the number of a queue's jobs not begun, by the last heartbeat."""
        return self._waiting.get(queue, 0)

    def take_messages(self) -> list[tuple[str, JobMessage]]:
        """Returns the messages to send with their receivers, and clears them."""
        messages, self._messages = self._messages, []
        return messages

    def take_finished(self) -> list[Waiter]:
        """Returns the waiters that got an outcome, and clears them."""
        finished, self._finished = self._finished, []
        return finished

    def on_heartbeat(
        self, peer: str, heartbeat: DispatcherHeartbeat, now_s: float
    ) -> None:
        """Processes a heartbeat and hands all jobs over to a new dispatcher."""
        if heartbeat.term < self._term:
            return
        is_new = heartbeat.term > self._term
        self._term = heartbeat.term
        self._heartbeat_at_s = now_s
        if heartbeat.version > self._version:
            self._version_changed_at_s = now_s
            self._version = heartbeat.version
        self._informed_at_s = max(self._informed_at_s, heartbeat.heard_at_s)
        self._waiting = heartbeat.waiting
        if is_new:
            _log.info(
                "dispatcher_found",
                dispatcher=peer,
                term=heartbeat.term,
                former=self._dispatcher,
                held=len(self._jobs),
            )
            self._dispatcher = peer
        for job in self._jobs.values():
            if job.submitted_term < self._term:
                self._submit_to_dispatcher(job, now_s)
        if is_new:
            self._messages.append((peer, HandoverComplete(term=heartbeat.term)))

    def on_link_down(self, peer: str) -> None:
        """Processes the loss of a link; jobs wait if it led to the dispatcher.

        Information that the dispatcher sent before stays valid until it expires.
        """
        if peer == self._dispatcher:
            self._heartbeat_at_s = -math.inf

    def submit(
        self,
        document: JobDocument,
        waiter: Waiter,
        now_s: float,
        *,
        received_at_s: float,
        objective_s: float,
    ) -> CallerOutcome | None:
        """Accepts a job, or returns an outcome if it is refused at once.

        Args:
            document: The job.
            waiter: Caller that waits for it.
            now_s: Current time.
            received_at_s: When this entry received the job.
            objective_s: Time within which the job should end, from then on.
        """
        job = self._jobs.get(document.job)
        if job is not None:
            job.waiters.append(waiter)
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
        job = _CallerJob(
            document=document,
            objective_s=objective_s,
            received_at_s=received_at_s,
            waiters=[waiter],
        )
        self._jobs[document.job] = job
        if self.hears_dispatcher(now_s):
            self._submit_to_dispatcher(job, now_s)
        return None

    def withdraw(self, job: str) -> None:
        """Cancels a job at the dispatcher, whichever entry's callers wait for it."""
        if self._dispatcher:
            self._messages.append((self._dispatcher, WithdrawJob(job=job)))

    def on_answer(self, answer: JobAnswer, now_s: float) -> None:
        """Processes a dispatcher's answer to a job.

        A refusal counts only from the dispatcher to which the job was submitted last:
        the next one may run a job that its predecessor refused. Any dispatcher may
        report how a job ended; one that did not complete is then withdrawn from the
        dispatcher that has it now.
        """
        job = self._jobs.get(answer.job)
        if job is None:
            return
        kind = _OUTCOMES.get(answer.state)
        is_previous = 0 < answer.term < job.submitted_term
        if kind is None and is_previous:
            _log.info(
                "late_refusal_ignored",
                job=answer.job,
                refused_in_term=answer.term,
                term=job.submitted_term,
                reason=answer.reason,
            )
            return
        del self._jobs[answer.job]
        if is_previous and answer.state is not JobState.COMPLETE:
            self.withdraw(answer.job)
        is_refusal_certain = answer.has_not_run and answer.term > 0
        if kind is None and job.submission_count > 1 and not is_refusal_certain:
            # A previous dispatcher may have run it, so "refused" would be wrong.
            kind = OutcomeKind.UNKNOWN
        outcome = CallerOutcome(
            kind=kind or OutcomeKind.REFUSED,
            reason=answer.reason,
            retry_after_s=answer.retry_after_s,
        )
        self._finish(job, outcome, now_s)

    def tick(self, now_s: float) -> None:
        """Answers callers whose wait is over, and drops jobs that all callers left.

        When the dispatcher has been silent for too long, the leases of its runs have
        expired and no standby has begun. It is then unknown whether a job has run, and
        the caller may submit it again.
        """
        for job in list(self._jobs.values()):
            if self._should_give_up(job, now_s):
                self._give_up(job, now_s)
                continue
            job.waiters = [
                waiter for waiter in job.waiters if not waiter.is_abandoned()
            ]
            if not job.waiters:
                del self._jobs[job.document.job]
                _log.info(
                    "job_abandoned",
                    job=job.document.job,
                    waited_s=round(now_s - job.received_at_s, 3),
                )
                self.withdraw(job.document.job)
            elif now_s >= max(waiter.give_up_at_s for waiter in job.waiters):
                del self._jobs[job.document.job]
                self.withdraw(job.document.job)
                outcome = CallerOutcome(
                    kind=OutcomeKind.UNKNOWN, reason="the time limit passed"
                )
                self._finish(job, outcome, now_s)

    def _should_give_up(self, job: _CallerJob, now_s: float) -> bool:
        """Returns whether to stop waiting for a dispatcher to run or answer a job."""
        waited_s = now_s - job.received_at_s
        if not job.submission_count:
            return waited_s > UNSUBMITTED_WAIT_FACTOR * job.objective_s
        if self.information_age_s(now_s) > TAKEOVER_TIMEOUT_S:
            return True
        is_silent = not self.hears_dispatcher(now_s)
        return is_silent and waited_s > GIVE_UP_FACTOR * job.objective_s

    def _give_up(self, job: _CallerJob, now_s: float) -> None:
        """Answers a job for which no dispatcher was available.

        A job that was never submitted to a dispatcher has certainly not run. For any
        other job this is unknown.
        """
        del self._jobs[job.document.job]
        if job.submission_count:
            self.withdraw(job.document.job)
        self._finish(job, _unanswered_outcome(job, "no dispatcher"), now_s)

    def finish_all(self, reason: str, now_s: float) -> None:
        """Answers the callers of all jobs: with a refusal or an unknown outcome."""
        jobs, self._jobs = self._jobs, {}
        for job in jobs.values():
            self._finish(job, _unanswered_outcome(job, reason), now_s)

    def _submit_to_dispatcher(self, job: _CallerJob, now_s: float) -> None:
        job.submission_count += 1
        job.submitted_term = self._term
        message = SubmitJob(
            document=job.document,
            age_s=now_s - job.received_at_s,
            was_offered=job.submission_count > 1,
            data_centre=self._data_centre,
        )
        self._messages.append((self._dispatcher, message))

    def _finish(self, job: _CallerJob, outcome: CallerOutcome, now_s: float) -> None:
        _log.info(
            "job_answered",
            job=job.document.job,
            queue=job.document.queue,
            outcome=outcome.kind.value,
            reason=outcome.reason,
            term=job.submitted_term,
            offers=job.submission_count,
            took_s=round(now_s - job.received_at_s, 3),
            objective_s=round(job.objective_s, 3),
        )
        for waiter in job.waiters:
            waiter.outcome = outcome
            self._finished.append(waiter)
