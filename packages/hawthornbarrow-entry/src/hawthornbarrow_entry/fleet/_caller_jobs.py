"""CallerJobs: the sans-I/O state machine for the jobs of waiting callers."""

import collections
import math

import structlog
from hawthornbarrow.cells import (
    GIVE_UP_FACTOR,
    NO_FEATURES,
    CancelledJobs,
    DispatcherHeartbeat,
    HandoverComplete,
    JobAnswer,
    JobDocument,
    JobState,
    LoadFeature,
    SubmitJob,
    WithdrawJob,
    is_standby_term,
)

from hawthornbarrow_entry.fleet._caller_job import CallerJob
from hawthornbarrow_entry.fleet._caller_outcome import (
    CallerOutcome,
    OutcomeKind,
    Waiter,
)
from hawthornbarrow_entry.fleet._gap_waits import MAX_WAITING_COUNT
from hawthornbarrow_entry.fleet._queue_levels import QueueLevels
from hawthornbarrow_entry.fleet._readiness import READY_TIMEOUT_S, TAKEOVER_TIMEOUT_S

INFORMATION_LEASE_S = 1.2  # dispatcher information older than this is not used
HEARTBEAT_TIMEOUT_S = 0.25  # after a longer silence jobs wait and are not submitted
UNSUBMITTED_WAIT_FACTOR = 0.25  # of the objective; maximum wait before a submission
CONFIRMATION_S = 0.5  # in which each heartbeat after a gap is answered
HANDOVER_S = 1.0  # in which entries hand their jobs over to a new dispatcher
MAX_VERSION_LAG_S = 0.6  # within which a newer configuration must be in force here

JobMessage = SubmitJob | WithdrawJob | HandoverComplete

_log = structlog.get_logger()


_OUTCOMES = {
    JobState.COMPLETE: OutcomeKind.COMPLETE,
    JobState.FAILED: OutcomeKind.FAILED,
    JobState.CANCELLED: OutcomeKind.CANCELLED,
}


def _unanswered_outcome(job: CallerJob, reason: str) -> CallerOutcome:
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
        self._heard_at_s = -math.inf
        self._confirms_until_s = -math.inf
        # When a previous dispatcher was heard last that may still have its jobs.
        self._former_heard_at_s = -math.inf
        self._releases_jobs = False
        self._waiting: dict[str, int] = {}
        self._levels = QueueLevels()
        # Ids of the jobs that were submitted to no dispatcher yet.
        self._held: set[str] = set()
        self._cancelled = CancelledJobs()
        self._term_since_s = math.inf
        self._counts: collections.Counter[str] = collections.Counter()
        self._jobs: dict[str, CallerJob] = {}
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

    @property
    def held_count(self) -> int:
        """Number of jobs that wait for a dispatcher and were submitted to none."""
        return len(self._held)

    @property
    def counts(self) -> collections.Counter[str]:
        """Number of jobs that waited for a dispatcher or were refused here, by kind."""
        return self._counts

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
            self._on_former_heard(heartbeat.term, now_s, releases_jobs=True)
            return
        is_new = heartbeat.term > self._term
        # After a gap the dispatcher does not know whether this entry still follows it.
        if not is_new and not self.hears_dispatcher(now_s):
            self._confirms_until_s = now_s + CONFIRMATION_S
        if is_new:
            former_term, self._term = self._term, heartbeat.term
            self._on_former_heard(
                former_term, self._heard_at_s, releases_jobs=self._releases_jobs
            )
        self._heartbeat_at_s = self._heard_at_s = now_s
        self._releases_jobs = heartbeat.releases_jobs
        if heartbeat.version > self._version:
            self._version_changed_at_s = now_s
            self._version = heartbeat.version
        self._informed_at_s = max(self._informed_at_s, heartbeat.heard_at_s)
        self._waiting = heartbeat.waiting
        self._levels.on_heartbeat(heartbeat.levels, now_s)
        if is_new:
            _log.info(
                "dispatcher_found",
                dispatcher=peer,
                term=heartbeat.term,
                former=self._dispatcher,
                held=len(self._jobs),
            )
            self._dispatcher = peer
            self._term_since_s = now_s
            self._repeat_cancels(now_s)
        self._submit_all(now_s)
        if is_new or now_s <= self._confirms_until_s:
            message = HandoverComplete(
                term=heartbeat.term, heartbeat_at_s=heartbeat.sent_at_s
            )
            self._messages.append((peer, message))

    def _on_former_heard(
        self, term: int, heard_at_s: float, *, releases_jobs: bool
    ) -> None:
        """Records when a previous dispatcher was heard that may still have its jobs.

        A leader of the ledger has lost its authority before the next one gets it. A
        standby and a leader may dispatch at the same time.
        """
        if not is_standby_term(term) and not is_standby_term(self._term):
            return
        self._former_heard_at_s = max(self._former_heard_at_s, heard_at_s)
        if releases_jobs:
            return
        for job in self._jobs.values():
            job.may_be_kept = job.may_be_kept or job.submission_count > 0

    def _former_silent_s(self, job: CallerJob, now_s: float) -> float | None:
        """Returns the time since a dispatcher was heard that may have a job."""
        return None if job.may_be_kept else now_s - self._former_heard_at_s

    def _submit_all(self, now_s: float) -> None:
        """Submits the jobs that this dispatcher does not have yet."""
        held_s = []
        # The dispatcher that sent outdated information may be gone. A job that was
        # submitted to none can still be refused.
        may_submit_held = not self._waits_in_gaps or self.is_informed(now_s)
        for job in self._jobs.values():
            if job.submitted_term >= self._term:
                continue
            if not job.submission_count:
                if not may_submit_held:
                    continue
                held_s.append(now_s - job.received_at_s)
            self._submit_to_dispatcher(job, now_s)
        if held_s:
            self._counts["held_job_submitted"] += len(held_s)
            _log.info(
                "held_jobs_submitted",
                jobs=len(held_s),
                longest_s=round(max(held_s), 3),
                mean_s=round(sum(held_s) / len(held_s), 3),
                term=self._term,
            )

    def on_path_changed(self, now_s: float) -> None:
        """Submits all jobs again, as messages on the former path may be lost.

        The dispatcher answers those that it knows, and those that have ended, again.
        """
        self._repeat_cancels(now_s)
        jobs = [
            job for job in self._jobs.values() if job.submitted_term == self._term != 0
        ]
        for job in jobs:
            self._submit_to_dispatcher(job, now_s)
            job.has_late_copy = True
        if jobs:
            self._counts["job_submitted_on_new_path"] += len(jobs)
            _log.info("jobs_submitted_on_new_path", jobs=len(jobs), term=self._term)

    def on_link_down(self, peer: str) -> None:
        """Processes the loss of a link; jobs wait if it led to the dispatcher.

        Information that the dispatcher sent before stays valid until it expires.
        """
        if peer == self._dispatcher:
            self._heartbeat_at_s = -math.inf
            self._levels.clear()

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
        if document.job in self._cancelled:
            return CallerOutcome(kind=OutcomeKind.CANCELLED, reason="cancelled before")
        job = self._jobs.get(document.job)
        if job is not None:
            job.waiters.append(waiter)
            return None
        job = CallerJob(
            document=document,
            objective_s=objective_s,
            received_at_s=received_at_s,
            waiters=[waiter],
        )
        refusal = self._refusal_at_once(job, now_s)
        if refusal is not None:
            return refusal
        self._jobs[document.job] = job
        if self._can_submit(now_s):
            self._submit_to_dispatcher(job, now_s)
        else:
            self._held.add(document.job)
        return None

    @property
    def _waits_in_gaps(self) -> bool:
        return LoadFeature.GAP_WAITING in self._features

    def _can_submit(self, now_s: float) -> bool:
        """Returns whether a job can be submitted to a dispatcher now."""
        has_dispatcher = bool(self._dispatcher) and self.is_informed(now_s)
        return has_dispatcher and self.hears_dispatcher(now_s)

    def _refusal_at_once(self, job: CallerJob, now_s: float) -> CallerOutcome | None:
        """Returns the outcome of a new job that is not accepted, or None."""
        if LoadFeature.EARLY_REFUSAL in self._features:
            refusal = self._levels.refusal(job, self._term, now_s)
            if refusal is not None:
                self._counts["early_refusal"] += 1
                return refusal
        if not self._waits_in_gaps:
            if self._dispatcher and self.is_informed(now_s):
                return None
            return self._refuse(job, "no dispatcher", now_s)
        if self._can_submit(now_s):
            return None
        if now_s >= self._hold_until_s(job):
            return self._refuse(job, "no dispatcher in time", now_s)
        if self.held_count >= MAX_WAITING_COUNT:
            return self._refuse(job, "too many callers wait", now_s)
        return None

    def _refuse(self, job: CallerJob, reason: str, now_s: float) -> CallerOutcome:
        """Refuses a new job for lack of a dispatcher."""
        self._counts["refused_without_dispatcher"] += 1
        _log.info(
            "job_refused",
            job=job.document.job,
            queue=job.document.queue,
            reason=reason,
            information_age_s=round(self.information_age_s(now_s), 3),
            waited_s=round(now_s - job.received_at_s, 3),
            held=self.held_count,
            term=self._term,
        )
        return CallerOutcome.refused(reason)

    def _hold_until_s(self, job: CallerJob) -> float:
        """Returns until when a job that no dispatcher has may wait for one."""
        if self._waits_in_gaps:
            return job.hold_until_s
        return job.received_at_s + UNSUBMITTED_WAIT_FACTOR * job.objective_s

    def cancel(self, job: str, now_s: float) -> None:
        """Cancels a job at a caller's request, whichever entry has it.

        Callers here get their answer, and the job is handed over to no dispatcher any
        more. The cancel is repeated to each new one: its entry may hand the job over.
        """
        self._cancelled.add(job, now_s)
        own = self._jobs.get(job)
        if own is not None:
            self._remove(own)
            outcome = CallerOutcome(kind=OutcomeKind.CANCELLED, reason="withdrawn")
            self._finish(own, outcome, now_s)
        self._send_cancel(job)

    def _send_cancel(self, job: str) -> None:
        if self._dispatcher:
            message = WithdrawJob(job=job, is_cancelled=True)
            self._messages.append((self._dispatcher, message))

    def _repeat_cancels(self, now_s: float) -> None:
        self._cancelled.remove_old(now_s)
        for job in self._cancelled:
            self._send_cancel(job)

    def is_gone(self, state: JobState, now_s: float) -> bool:
        """Returns whether the dispatcher's state of a cancelled job is conclusive.

        A dispatcher that does not know the job may get it in the handover.
        """
        if state is JobState.UNKNOWN:
            return now_s - self._term_since_s >= HANDOVER_S
        return state.is_final

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
        self._remove(job)
        if is_previous and answer.state is not JobState.COMPLETE:
            self.withdraw(answer.job)
        is_refusal_certain = answer.has_not_run and answer.term > 0
        may_run = job.has_late_copy or not is_refusal_certain
        if kind is None and job.submission_count > 1 and may_run:
            # A previous dispatcher may have run it, or this one may run a submission
            # that arrives late, so "refused" would be wrong.
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
            self._release_abandoned(job)
            if not job.waiters:
                self._remove(job)
                _log.info(
                    "job_abandoned",
                    job=job.document.job,
                    waited_s=round(now_s - job.received_at_s, 3),
                )
                # Another entry may have submitted the job since.
                if job.submission_count or not self._waits_in_gaps:
                    self.withdraw(job.document.job)
            elif now_s >= max(waiter.give_up_at_s for waiter in job.waiters):
                self._remove(job)
                self.withdraw(job.document.job)
                outcome = CallerOutcome(
                    kind=OutcomeKind.UNKNOWN, reason="the time limit passed"
                )
                self._finish(job, outcome, now_s)

    def _release_abandoned(self, job: CallerJob) -> None:
        """Ends the wait of the callers that left, so that their connections close."""
        abandoned = [waiter for waiter in job.waiters if waiter.is_abandoned()]
        if not abandoned:
            return
        for waiter in abandoned:
            waiter.outcome = CallerOutcome(
                kind=OutcomeKind.CANCELLED, reason="the caller left"
            )
            self._finished.append(waiter)
        job.waiters = [waiter for waiter in job.waiters if waiter.outcome is None]

    def _should_give_up(self, job: CallerJob, now_s: float) -> bool:
        """Returns whether to stop waiting for a dispatcher to run or answer a job."""
        if not job.submission_count:
            return now_s > self._hold_until_s(job)
        waited_s = now_s - job.received_at_s
        if self.information_age_s(now_s) > TAKEOVER_TIMEOUT_S:
            return True
        is_silent = not self.hears_dispatcher(now_s)
        return is_silent and waited_s > GIVE_UP_FACTOR * job.objective_s

    def _give_up(self, job: CallerJob, now_s: float) -> None:
        """Answers a job for which no dispatcher was available.

        A job that was never submitted to a dispatcher has certainly not run. For any
        other job this is unknown.
        """
        self._remove(job)
        if job.submission_count:
            self.withdraw(job.document.job)
        else:
            self._counts["held_job_refused"] += 1
        self._finish(job, _unanswered_outcome(job, "no dispatcher"), now_s)

    def finish_all(self, reason: str, now_s: float) -> None:
        """Answers the callers of all jobs: with a refusal or an unknown outcome."""
        jobs, self._jobs = self._jobs, {}
        self._held.clear()
        for job in jobs.values():
            self._finish(job, _unanswered_outcome(job, reason), now_s)

    def _submit_to_dispatcher(self, job: CallerJob, now_s: float) -> None:
        self._held.discard(job.document.job)
        job.submission_count += 1
        job.submitted_term = self._term
        message = SubmitJob(
            document=job.document,
            age_s=now_s - job.received_at_s,
            was_offered=job.submission_count > 1,
            data_centre=self._data_centre,
            former_silent_s=self._former_silent_s(job, now_s),
            term=self._term,
        )
        self._messages.append((self._dispatcher, message))

    def _remove(self, job: CallerJob) -> None:
        del self._jobs[job.document.job]
        self._held.discard(job.document.job)

    def _finish(self, job: CallerJob, outcome: CallerOutcome, now_s: float) -> None:
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
