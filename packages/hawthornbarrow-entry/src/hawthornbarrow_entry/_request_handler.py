"""RequestHandler: submissions, look-ups and cancellations of callers."""

from hawthornbarrow.jobs import (
    Job,
    JobSpec,
    JobSpecError,
    JobStatus,
    parse_job_spec,
)
from hawthornbarrow.ledger import Claim, ClaimRecord, job_id_of
from hawthornbarrow.links import ForwardRequest

from hawthornbarrow_entry._answers import (
    PREVIOUS_SUBMISSION_UNKNOWN,
    key_expired,
    key_reused,
    not_found,
    pending,
    unavailable,
)
from hawthornbarrow_entry._context import EntryContext
from hawthornbarrow_entry._effects import Answer, ReplyTarget, refuse
from hawthornbarrow_entry._forwarding import ForwardKind
from hawthornbarrow_entry._job_table import digest_of
from hawthornbarrow_entry._lifecycle import JobLifecycle
from hawthornbarrow_entry._ownership import Ownership


class RequestHandler:
    """Processes requests of callers, received directly or forwarded by an entry.

    Args:
        context: Shared state and collaborators of the entry.
        lifecycle: State transitions of the job records.
        ownership: Tracker of the owners of jobs.
    """

    def __init__(
        self, *, context: EntryContext, lifecycle: JobLifecycle, ownership: Ownership
    ) -> None:
        """Stores the components."""
        self._context = context
        self._lifecycle = lifecycle
        self._ownership = ownership

    def submit(
        self,
        target: ReplyTarget,
        *,
        member: str,
        key: str,
        body: bytes,
        wait: bool,
        now_s: float,
        time_s: float,
    ) -> None:
        """Processes a submission or resubmission.

        Args:
            target: Recipient of the answer.
            member: Name of the authenticated member.
            key: Idempotency key.
            body: The submitted document.
            wait: Whether to answer with the final result instead of 202 at once.
            now_s: Current time.
            time_s: Wall-clock time.
        """
        job_id = job_id_of(member, key)
        digest = digest_of(body)
        job = self._context.job_table.jobs.get(job_id)
        claim = self._context.state.claim(job_id)
        if job is not None:
            if not self._context.job_table.matches(job_id, digest):
                self._context.answer(target, key_reused())
                return
            self._join(job, target, body=body, wait=wait, now_s=now_s)
            return
        if claim is not None:
            self._answer_resubmission(
                target, claim, digest=digest, body=body, wait=wait, now_s=now_s
            )
            return
        if self._is_dispatched_elsewhere(target):
            kind = ForwardKind.NEW if wait else ForwardKind.NEW_ASYNC
            self._forward_to_dispatching_entry(target, kind, member, key, body)
            return
        refusal = self.refusal_of_new_work()
        if refusal is not None:
            self._context.answer(target, refusal)
            return
        if self._context.state.is_expired_key(key, time_s):
            self._context.answer(target, key_expired())
            return
        spec = self._parse_or_refuse(target, member, body)
        if spec is not None:
            self._lifecycle.open_job(
                target, member, key, digest, body, spec, wait=wait, now_s=now_s
            )
            self._propose_claim(job_id, body=b"" if wait else body, time_s=time_s)

    def fetch(
        self, target: ReplyTarget, *, member: str, key: str, now_s: float
    ) -> None:
        """Answers with the state of an open job or the answer of a closed one."""
        job = self._context.job_table.jobs.get(job_id_of(member, key))
        if job is not None:
            self._lifecycle.answer_with(target, job, now_s)
        else:
            self._answer_or_forward(target, ForwardKind.FETCH, member, key)

    def cancel(
        self, target: ReplyTarget, *, member: str, key: str, now_s: float
    ) -> None:
        """Closes a job as cancelled, unless it is closed already."""
        job_id = job_id_of(member, key)
        job = self._context.job_table.jobs.get(job_id)
        if job is not None and job.status is JobStatus.CLAIMING:
            # Another entry may win the claim and start the job, so the cancellation
            # waits until the claim has been decided.
            self._lifecycle.cancels_awaiting_claim.setdefault(job_id, []).append(target)
        elif job is not None:
            self._lifecycle.close(
                job, JobStatus.CANCELLED, "cancelled by the caller", now_s
            )
            self._lifecycle.answer_with(target, job, now_s)
        else:
            self._answer_or_forward(target, ForwardKind.CANCEL, member, key)

    def _answer_or_forward(
        self,
        target: ReplyTarget,
        kind: ForwardKind,
        member: str,
        key: str,
    ) -> None:
        """Answers for a job without a record here, or forwards to its owner.

        Without a claim, the request is forwarded to the dispatching entry.
        """
        claim = self._context.state.claim(job_id_of(member, key))
        if claim is None and self._is_dispatched_elsewhere(target):
            # The claim may be committed already but not yet applied at this entry.
            self._forward_to_dispatching_entry(target, kind, member, key, b"")
        elif claim is None:
            self._context.answer(target, not_found())
        elif claim.status:
            self._context.answer(target, self._lifecycle.answer_for_closed_claim(claim))
        elif self._context.owns(claim):
            self._context.answer(target, pending(key, "orphaned"))
        else:
            self._lifecycle.forward(target, kind, claim, b"")

    def resume_cancels(self, member: str, key: str, now_s: float) -> None:
        """Executes the cancellations that waited for a claim to be decided."""
        for target in self._lifecycle.cancels_awaiting_claim.pop(
            job_id_of(member, key), ()
        ):
            self.cancel(target, member=member, key=key, now_s=now_s)

    def on_forward(self, peer: str, message: ForwardRequest, now_s: float) -> None:
        """Processes a request that another entry forwarded."""
        target = ReplyTarget(peer=peer, request=message.request)
        member, key = message.member, message.key
        if message.kind == ForwardKind.FETCH:
            self.fetch(target, member=member, key=key, now_s=now_s)
        elif message.kind == ForwardKind.CANCEL:
            self.cancel(target, member=member, key=key, now_s=now_s)
        else:
            self._submit_forwarded(target, message, now_s)

    def refusal_of_new_work(self) -> Answer | None:
        """Returns the refusal of new jobs, or None if they are accepted."""
        if not self._context.has_quorum_contact:
            detail = f"no quorum of the ledger; {PREVIOUS_SUBMISSION_UNKNOWN}"
            return unavailable("no_quorum", detail, not_run=False)
        if not self._context.version:
            detail = f"no configuration is in force yet; {PREVIOUS_SUBMISSION_UNKNOWN}"
            return unavailable("no_configuration", detail, not_run=False)
        if not self._context.is_registered():
            detail = f"the entry is joining the fleet; {PREVIOUS_SUBMISSION_UNKNOWN}"
            return unavailable("not_a_member", detail, not_run=False)
        if self._context.is_draining:
            return unavailable("shutting_down", "this entry is shutting down")
        return None

    def _is_dispatched_elsewhere(self, target: ReplyTarget) -> bool:
        """Returns whether a new job should be forwarded to the dispatching entry.

        A single entry that has all jobs orders them better and sends fewer messages
        than several entries that split the slots. It is the ledger's leader, which
        commits claims soonest. If it cannot be reached, any entry dispatches the
        jobs that it receives.
        """
        dispatching_entry = self._context.dispatching_entry
        if (
            not dispatching_entry
            or dispatching_entry == self._context.name
            or target.peer
            or not self._context.has_quorum_contact
        ):
            return False
        record = self._context.state.entries.get(dispatching_entry)
        if record is None or not record.is_alive:
            return False
        return self._context.forwarder.can_reach(dispatching_entry)

    def _forward_to_dispatching_entry(
        self,
        target: ReplyTarget,
        kind: ForwardKind,
        member: str,
        key: str,
        body: bytes,
    ) -> None:
        request = self._context.forwarder.add(self._context.dispatching_entry, target)
        message = ForwardRequest(
            request=request, kind=kind, member=member, key=key, body=body
        )
        self._context.send(self._context.dispatching_entry, message)

    def _parse_or_refuse(
        self, target: ReplyTarget, member: str, body: bytes
    ) -> JobSpec | None:
        """Returns the parsed job of a submission, or answers with its refusal."""
        limits = self._context.configuration.limits
        try:
            spec = parse_job_spec(body, max_tasks=limits.tasks_per_job)
        except JobSpecError as error:
            answer = refuse(400, "invalid_job", str(error), not_run=True)
            self._context.answer(target, answer)
            return None
        refusal = self._refusal_of_service(member, spec)
        if refusal is None:
            refusal = self._refusal_of_load(member, spec)
        if refusal is not None:
            self._context.answer(target, refusal)
            return None
        return spec

    def _refusal_of_service(self, member: str, spec: JobSpec) -> Answer | None:
        service = self._context.configuration.services.get(spec.service)
        if service is None:
            detail = f"service {spec.service!r} is not configured"
            return refuse(422, "can_never_run", detail, not_run=True)
        if service.members and member not in service.members:
            detail = f"service {spec.service!r} is not open to this member"
            return refuse(403, "not_allowed", detail, not_run=True)
        if not self._context.fleet.knows_service(spec.service):
            return None
        if not self._context.fleet.ever_fits(spec.service, spec.resources):
            detail = (
                f"no upstream of {spec.service!r} has {spec.resources.cores} cores, "
                f"{spec.resources.memory_mb} MB and "
                f"{spec.resources.accelerators} accelerators for a task"
            )
            return refuse(422, "can_never_run", detail, not_run=True)
        return None

    def _refusal_of_load(self, member: str, spec: JobSpec) -> Answer | None:
        weights = {
            name: settings.weight
            for name, settings in self._context.configuration.members.items()
        }
        own_weight = weights.get(member, 1.0)
        share = own_weight / max(own_weight, sum(weights.values()))
        refusal = self._context.admission.evaluate(
            member,
            tasks=len(spec.tasks),
            work_s=self._lifecycle.expected_work_s(member, spec),
            deadline_s=self._lifecycle.deadline_s(spec),
            slots=max(1, self._context.fleet.capacity(spec.service)),
            weight_share=share,
        )
        if refusal is None:
            return None
        return refuse(
            refusal.status,
            refusal.reason,
            refusal.detail,
            not_run=True,
            retry_after_s=refusal.retry_after_s,
        )

    def _propose_claim(self, job_id: str, *, body: bytes, time_s: float) -> None:
        job = self._context.job_table.jobs[job_id]
        self._context.propose(
            Claim(
                member=job.member,
                key=job.key,
                digest=digest_of(self._context.job_table.body(job_id)),
                owner=self._context.name,
                incarnation=self._context.incarnation,
                repeatable=job.repeatable,
                task_count=job.task_count,
                body=body,
                time_s=time_s,
            )
        )

    def _join(
        self, job: Job, target: ReplyTarget, *, body: bytes, wait: bool, now_s: float
    ) -> None:
        """Answers a resubmission of a job recorded here, at once or when it ends."""
        if job.status is JobStatus.ORPHANED and job.spec is None:
            self._ownership.set_document(job, body, now_s)
        if job.status.is_final:
            self._lifecycle.answer_with(target, job, now_s)
        elif wait:
            job.timeline.add(now_s, "joined", "a resubmission waits for this job")
            self._context.job_table.add_waiter(job.job_id, target)
        else:
            self._context.answer(target, pending(job.key, job.status.value))

    def _answer_resubmission(
        self,
        target: ReplyTarget,
        claim: ClaimRecord,
        *,
        digest: bytes,
        body: bytes,
        wait: bool,
        now_s: float,
    ) -> None:
        """Answers a resubmission of a claimed job that is not recorded here."""
        if claim.digest != digest:
            self._context.answer(target, key_reused())
        elif claim.status:
            self._context.answer(target, self._lifecycle.answer_for_closed_claim(claim))
        elif self._context.owns(claim):
            self._restart_dropped_job(
                target, claim, digest, body, wait=wait, now_s=now_s
            )
        elif not self._context.has_quorum_contact:
            self._context.answer(
                target, unavailable("no_quorum", "owner unknown", not_run=False)
            )
        else:
            kind = ForwardKind.SUBMIT if wait else ForwardKind.SUBMIT_ASYNC
            self._lifecycle.forward(target, kind, claim, body)

    def _restart_dropped_job(
        self,
        target: ReplyTarget,
        claim: ClaimRecord,
        digest: bytes,
        body: bytes,
        *,
        wait: bool,
        now_s: float,
    ) -> None:
        """Starts a job that was claimed here but dropped before its first task."""
        try:
            spec = parse_job_spec(body, max_tasks=claim.task_count)
        except JobSpecError as error:
            answer = refuse(400, "invalid_job", str(error), not_run=True)
            self._context.answer(target, answer)
            return
        job = self._lifecycle.open_job(
            target,
            claim.member,
            claim.key,
            digest,
            body,
            spec,
            wait=wait,
            now_s=now_s,
            epoch=claim.epoch,
        )
        self._lifecycle.begin(job, now_s)

    def _submit_forwarded(
        self, target: ReplyTarget, message: ForwardRequest, now_s: float
    ) -> None:
        """Processes a forwarded submission if its job is new, closed or owned here."""
        claim = self._context.state.claim(job_id_of(message.member, message.key))
        is_new = message.kind in (ForwardKind.NEW, ForwardKind.NEW_ASYNC)
        if is_new and claim is None:
            self.submit(
                target,
                member=message.member,
                key=message.key,
                body=message.body,
                wait=message.kind == ForwardKind.NEW,
                now_s=now_s,
                time_s=self._context.time_s,
            )
            return
        if claim is None or (not claim.status and not self._context.owns(claim)):
            detail = "the job's owner is changing; resubmit"
            self._context.answer(
                target, unavailable("owner_changing", detail, not_run=False)
            )
            return
        self.submit(
            target,
            member=message.member,
            key=message.key,
            body=message.body,
            wait=message.kind in (ForwardKind.SUBMIT, ForwardKind.NEW),
            now_s=now_s,
            time_s=claim.claimed_at_s,
        )
