"""JobLifecycle: state transitions of job records from opening to closing."""

from hawthornbarrow.jobs import Job, JobSpec, JobStatus
from hawthornbarrow.ledger import ClaimRecord, Complete, job_id_of
from hawthornbarrow.links import CancelJobs, ForwardRequest

from hawthornbarrow_entry._answers import (
    PREVIOUS_SUBMISSION_UNKNOWN,
    not_found,
    pending,
    unavailable,
)
from hawthornbarrow_entry._context import EntryContext
from hawthornbarrow_entry._effects import Answer, ReplyTarget, refuse
from hawthornbarrow_entry._forwarding import ForwardKind
from hawthornbarrow_entry._job_table import status_code_of

CLAIM_TIMEOUT_S = 3.0
EXPIRY_INTERVAL_S = 0.05
CANCEL_BATCH_DELAY_S = 0.005
MAX_LEDGER_ANSWER_BYTES = 4096


class JobLifecycle:
    """Opens, begins and closes the job records of one entry.

    Args:
        context: Shared state and collaborators of the entry.
    """

    def __init__(self, *, context: EntryContext) -> None:
        """Initializes the lifecycle without jobs."""
        self._context = context
        self._admitted_work_s: dict[str, float] = {}
        self._delayed_jobs: list[Job] = []
        self._last_expiry_at_s = 0.0
        self._pending_cancels: dict[str, list[str]] = {}
        self._cancel_batch_started_at_s = 0.0
        self.cancels_awaiting_claim: dict[str, list[ReplyTarget]] = {}
        self.closed_jobs: list[Job] = []
        # Callers to tell that a job has not run, with the time since when they wait.
        self._awaiting_end: dict[str, list[tuple[ReplyTarget, float]]] = {}

    def open_job(
        self,
        target: ReplyTarget,
        member: str,
        key: str,
        digest: bytes,
        body: bytes,
        spec: JobSpec,
        *,
        wait: bool,
        now_s: float,
        epoch: int = 1,
    ) -> Job:
        """Records a new job; answers with 202 if the caller does not wait."""
        job = Job(
            job_id=job_id_of(member, key),
            member=member,
            key=key,
            epoch=epoch,
            task_count=len(spec.tasks),
            repeatable=spec.repeatable,
            submitted_at_s=now_s,
            deadline_at_s=now_s + self.deadline_s(spec),
            spec=spec,
        )
        job.timeline.add(
            now_s, "received", f"{job.task_count} tasks at {self._context.name}"
        )
        self._context.job_table.add(job, digest, body)
        self.admit(job, spec)
        if wait:
            self._context.job_table.add_waiter(job.job_id, target)
        else:
            self._context.answer(target, pending(key, job.status.value))
        return job

    def admit(self, job: Job, spec: JobSpec) -> None:
        """Counts the work of a job against the admission limits."""
        work_s = self.expected_work_s(job.member, spec)
        self._admitted_work_s[job.job_id] = work_s
        self._context.admission.add(job.member, job.task_count, work_s)

    def begin(self, job: Job, now_s: float) -> None:
        """Queues the tasks of a job, or delays the job until ``hold_until_s``.

        Until then, runs that a previous owner dispatched may still be active.
        """
        if now_s < job.hold_until_s:
            self._delayed_jobs.append(job)
            return
        job.begin()
        job.timeline.add(now_s, "claimed", f"epoch {job.epoch}")
        self._context.dispatcher.enqueue(job)

    def begin_delayed_jobs(self, now_s: float) -> None:
        """Begins the recovered jobs whose delay is over."""
        due = [job for job in self._delayed_jobs if now_s >= job.hold_until_s]
        self._delayed_jobs = [
            job for job in self._delayed_jobs if now_s < job.hold_until_s
        ]
        for job in due:
            if (
                self._context.job_table.jobs.get(job.job_id) is job
                and not job.status.is_final
            ):
                self.begin(job, now_s)

    def expire(self, now_s: float) -> None:
        """Closes jobs past their deadline and drops jobs whose claim timed out.

        The check runs at most once per ``EXPIRY_INTERVAL_S``, because it iterates
        over all open jobs.
        """
        if now_s - self._last_expiry_at_s < EXPIRY_INTERVAL_S:
            return
        self._last_expiry_at_s = now_s
        self._expire_awaited_ends(now_s)
        for job in self._context.job_table.open_jobs:
            if job.status is JobStatus.CLAIMING:
                if now_s - job.submitted_at_s >= CLAIM_TIMEOUT_S:
                    detail = (
                        f"the claim was not committed; {PREVIOUS_SUBMISSION_UNKNOWN}"
                    )
                    answer = unavailable("no_quorum", detail, not_run=False)
                    self.drop(job, answer)
            elif now_s >= job.deadline_at_s:
                self.close(job, JobStatus.FAILED, "deadline", now_s)

    def close(self, job: Job, status: JobStatus, reason: str, now_s: float) -> None:
        """Closes a job, answers its callers and releases its resources."""
        self._context.dispatcher.dequeue(job)
        if not job.close(status, reason, now_s):
            return
        self.release_admission(job)
        placed = sorted({placement.agent for placement in job.placed.values()})
        self._context.outcomes.release_all(job)
        if placed:
            self._add_pending_cancel(job.job_id, placed, now_s)
        answer = Answer(status=status_code_of(status), body=job.answer_body())
        self._context.job_table.close(job, answer)
        self._context.uncommitted_closes[job.job_id] = sorted(job.agents)
        for target in self._context.job_table.take_waiters(job.job_id):
            self.answer_with(target, job, now_s)
        is_small = len(answer.body) <= MAX_LEDGER_ANSWER_BYTES
        command = Complete(
            job=job.job_id,
            epoch=job.epoch,
            status=status.value,
            answer=answer.body if is_small else b"",
            time_s=self._context.time_s,
        )
        if job.never_dispatched:
            self._context.propose(command)
        else:
            self._context.propose_later(command)
        self.closed_jobs.append(job)
        job.release_payloads()

    @property
    def has_pending_cancels(self) -> bool:
        """Whether cancellations wait to be sent in a batch.

        Nothing should be dispatched meanwhile: when many jobs are cancelled at once,
        the next task would belong to a job that is cancelled a moment later.
        """
        return bool(self._pending_cancels)

    def flush_cancels(self, now_s: float) -> None:
        """Sends the batched cancellations, one message to each agent."""
        if now_s - self._cancel_batch_started_at_s < CANCEL_BATCH_DELAY_S:
            return
        cancels, self._pending_cancels = self._pending_cancels, {}
        for agent, jobs in cancels.items():
            self._context.send(agent, CancelJobs(jobs=jobs))

    def _add_pending_cancel(self, job_id: str, agents: list[str], now_s: float) -> None:
        if not self._pending_cancels:
            self._cancel_batch_started_at_s = now_s
        for agent in agents:
            self._pending_cancels.setdefault(agent, []).append(job_id)

    def drop(self, job: Job, answer: Answer) -> None:
        """Refuses a job of which no task was sent; the ledger is not changed."""
        self.release_admission(job)
        waiters = self._context.job_table.remove(
            job.job_id
        ) + self.cancels_awaiting_claim.pop(job.job_id, [])
        for target in waiters:
            self._context.answer(target, answer)

    def supersede(self, job: Job, reason: str, now_s: float) -> None:
        """Closes a record whose job continues under another owner or epoch.

        Nothing is committed or answered, and waiting tasks are no longer dispatched.
        """
        self._context.dispatcher.dequeue(job)
        self.release_admission(job)
        self._context.outcomes.release_all(job)
        job.close(JobStatus.UNKNOWN, reason, now_s)

    def release_admission(self, job: Job) -> None:
        """Stops counting the work of a job against the admission limits."""
        work_s = self._admitted_work_s.pop(job.job_id, None)
        if work_s is not None:
            self._context.admission.remove(job.member, job.task_count, work_s)

    def forward(
        self,
        target: ReplyTarget,
        kind: ForwardKind,
        claim: ClaimRecord,
        body: bytes,
    ) -> None:
        """Forwards a request to the entry that owns the job."""
        if target.peer or not self._context.forwarder.can_reach(claim.owner):
            detail = f"the job's owner {claim.owner} can not be reached; resubmit"
            self._context.answer(
                target, unavailable("owner_unreachable", detail, not_run=False)
            )
            return
        request = self._context.forwarder.add(claim.owner, target)
        self._context.send(
            claim.owner,
            ForwardRequest(
                request=request,
                kind=kind,
                member=claim.member,
                key=claim.key,
                body=body,
            ),
        )

    def expected_work_s(self, member: str, spec: JobSpec) -> float:
        """Returns the expected slot time of all tasks of a job."""
        mean_s = self._context.estimator.mean_s(
            member, spec.service, spec.declared_run_s
        )
        return len(spec.tasks) * mean_s

    def deadline_s(self, spec: JobSpec) -> float:
        """Returns the time from submission to the deadline."""
        if spec.deadline_s is not None:
            return spec.deadline_s
        service = self._context.configuration.services.get(spec.service)
        return service.deadline_s if service else 60.0

    def answer_with(self, target: ReplyTarget, job: Job, now_s: float) -> None:
        """Answers a caller with the state of a job that is recorded here.

        The answer that a job has not run waits until its end is committed. Until then
        the job may move to another entry, which would run it.
        """
        is_end_open = job.job_id in self._context.uncommitted_closes
        if is_end_open and job.status.is_final and job.never_dispatched:
            awaiting = self._awaiting_end.setdefault(job.job_id, [])
            awaiting.append((target, now_s))
        else:
            self._context.answer(target, self.answer_for(job))

    def on_end_decided(self, job: Job, *, accepted: bool) -> None:
        """Answers the callers that waited until the end of a job was committed."""
        for target, _ in self._awaiting_end.pop(job.job_id, []):
            if accepted:
                self._context.answer(target, self.answer_for(job))
            else:
                detail = "the job's owner is changing; resubmit"
                answer = unavailable("owner_changing", detail, not_run=False)
                self._context.answer(target, answer)

    def _expire_awaited_ends(self, now_s: float) -> None:
        """Answers callers whose job's end is not committed within CLAIM_TIMEOUT_S."""
        detail = "the end of the job was not committed; resubmit"
        answer = unavailable("no_quorum", detail, not_run=False)
        for job_id, awaiting in list(self._awaiting_end.items()):
            if now_s - awaiting[0][1] >= CLAIM_TIMEOUT_S:
                for target, _ in self._awaiting_end.pop(job_id):
                    self._context.answer(target, answer)

    def answer_for(self, job: Job) -> Answer:
        """Returns the answer for a job that is recorded here."""
        if not job.status.is_final:
            return pending(job.key, job.status.value)
        answer = self._context.job_table.answer(job.job_id)
        return answer if answer is not None else not_found()

    def answer_for_closed_claim(self, claim: ClaimRecord) -> Answer:
        """Returns the answer of a closed job from the ledger."""
        status = status_code_of(JobStatus(claim.status))
        if claim.answer:
            return Answer(status=status, body=claim.answer)
        detail = f"the job ended as {claim.status}; its answer is no longer held"
        return refuse(410, "answer_gone", detail, not_run=False)
