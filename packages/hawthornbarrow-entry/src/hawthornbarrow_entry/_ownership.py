"""Ownership: claims, membership, and takeover of the jobs of failed entries."""

import structlog
from hawthornbarrow.jobs import Job, JobStatus, Placement, parse_job_spec
from hawthornbarrow.ledger import (
    Applied,
    Claim,
    ClaimDecision,
    ClaimRecord,
    Complete,
    ExpireEntry,
    RegisterEntry,
    job_id_of,
)
from hawthornbarrow.links import EntryIncarnation, JobsClosed, JobsRecovered

from hawthornbarrow_entry._answers import key_expired, key_reused, unavailable
from hawthornbarrow_entry._context import EntryContext
from hawthornbarrow_entry._forwarding import ForwardKind
from hawthornbarrow_entry._lifecycle import JobLifecycle
from hawthornbarrow_entry._takeover_tracker import (
    Recovery,
    TakeoverTracker,
    may_have_lost_tasks,
)

INHERITED_JOB_DEADLINE_S = 3600.0
REGISTER_RETRY_INTERVAL_S = 1.0
_INCARNATION_BITS = 62

_log = structlog.get_logger()


class Ownership:
    """Follows the ledger on which entry owns which job, and recovers inherited jobs.

    Args:
        context: Shared state and collaborators of the entry.
        lifecycle: State transitions of the job records.
        address: Link address of the entry.
    """

    def __init__(
        self, *, context: EntryContext, lifecycle: JobLifecycle, address: str
    ) -> None:
        """Initializes the tracker without takeovers."""
        self._context = context
        self._lifecycle = lifecycle
        self._address = address
        self._takeovers = TakeoverTracker()
        self._registration_proposed_at_s = -REGISTER_RETRY_INTERVAL_S

    def on_agent_up(self, agent: str) -> None:
        """Sends the recovery requests that a newly linked agent has not answered."""
        for recovery in self._takeovers.recoveries:
            if agent in recovery.pending:
                self._context.send(agent, recovery.request())

    def on_claim(self, command: Claim, applied: Applied, now_s: float) -> None:
        """Applies the outcome of a claim to the job that waits for it."""
        assert applied.outcome is not None
        job = self._context.job_table.jobs.get(job_id_of(command.member, command.key))
        if job is None or job.status is not JobStatus.CLAIMING:
            return
        claim = applied.outcome.claim
        is_own_claim = command.owner == self._context.name
        is_own_claim = is_own_claim and command.incarnation == self._context.incarnation
        has_same_body = (
            self._context.job_table.matches(job.job_id, claim.digest)
            if claim
            else False
        )
        if claim is not None and has_same_body and self._context.owns(claim):
            job.epoch = claim.epoch
            self._lifecycle.begin(job, now_s)
            return
        if not is_own_claim:
            return
        if applied.outcome.verdict is ClaimDecision.NOT_MEMBER:
            answer = unavailable("not_a_member", "the entry is joining the fleet")
            self._lifecycle.drop(job, answer)
        elif applied.outcome.verdict is ClaimDecision.EXPIRED:
            self._lifecycle.drop(job, key_expired())
        elif applied.outcome.verdict is ClaimDecision.MISMATCH:
            self._lifecycle.drop(job, key_reused())
        elif claim is not None:
            self.on_job_moved(job, claim, now_s)

    def on_snapshot(self, now_s: float) -> list[Job]:
        """Reconciles all job records with the state of an installed snapshot.

        Returns:
            The jobs whose claims were resolved by the snapshot.
        """
        resolved = []
        for job in self._context.job_table.open_jobs:
            claim = self._context.state.claim(job.job_id)
            if claim is None:
                continue
            if job.status is JobStatus.CLAIMING and self._context.owns(claim):
                job.epoch = claim.epoch
                self._lifecycle.begin(job, now_s)
                resolved.append(job)
            elif not self._context.owns(claim) or claim.epoch != job.epoch:
                self.on_job_moved(job, claim, now_s)
                resolved.append(job)
        open_claims = self._context.state.open_claims_of(
            self._context.name, self._context.incarnation
        )
        moved = tuple(claim.job for claim in open_claims if claim.epoch > 1)
        self._inherit_jobs(moved, [], now_s)
        return resolved

    def on_membership(
        self,
        command: RegisterEntry | ExpireEntry,
        moved: tuple[str, ...],
        now_s: float,
    ) -> None:
        """Processes a change of the fleet's members and the jobs that it moved."""
        for job_id in moved:
            job = self._context.job_table.jobs.get(job_id)
            claim = self._context.state.claim(job_id)
            if job is None or claim is None or job.status.is_final:
                continue
            if not self._context.owns(claim):
                self.on_job_moved(job, claim, now_s)
        is_expiry = isinstance(command, ExpireEntry)
        is_own = (command.name, command.incarnation) == (
            self._context.name,
            self._context.incarnation,
        )
        if is_expiry and is_own:
            self._start_new_incarnation()
            return
        fenced = EntryIncarnation(name=command.name, incarnation=command.incarnation)
        self._inherit_jobs(moved, [fenced] if is_expiry else [], now_s)

    def on_complete(self, command: Complete, *, accepted: bool) -> None:
        """Informs agents that the end of a job is committed.

        If the ledger refused the end, the agents are not informed: the job has
        another owner, which needs the state that the agents hold for it.
        """
        job = self._context.job_table.jobs.get(command.job)
        if job is None or command.epoch != job.epoch or not job.status.is_final:
            return
        agents = self._context.uncommitted_closes.pop(command.job, [])
        self._lifecycle.on_end_decided(job, accepted=accepted)
        if not accepted:
            self._context.job_table.remove(command.job)
            return
        for agent in agents:
            self._context.send(agent, JobsClosed(jobs=[command.job]), is_urgent=False)

    def on_job_moved(self, job: Job, claim: ClaimRecord, now_s: float) -> None:
        """Closes the record of a job that moved to another owner or epoch.

        Its waiting callers get the answer if the ledger has the job as closed;
        otherwise their requests are forwarded to the owner.
        """
        body = self._context.job_table.body(job.job_id)
        self._lifecycle.supersede(job, f"owned by {claim.owner} now", now_s)
        waiters = self._context.job_table.remove(job.job_id)
        for target in waiters:
            if claim.status:
                self._context.answer(
                    target, self._lifecycle.answer_for_closed_claim(claim)
                )
            else:
                self._lifecycle.forward(target, ForwardKind.SUBMIT, claim, body)

    def set_document(self, job: Job, body: bytes, now_s: float) -> None:
        """Sets the submitted document of an inherited job."""
        job.spec = parse_job_spec(body, max_tasks=job.task_count)
        job.deadline_at_s = now_s + self._lifecycle.deadline_s(job.spec)
        self._context.job_table.set_body(job.job_id, body)
        self._lifecycle.admit(job, job.spec)
        if job.is_recovered:
            self._lifecycle.begin(job, now_s)

    def on_recovered(self, agent: str, message: JobsRecovered, now_s: float) -> None:
        """Processes the tasks and results that an agent holds for inherited jobs."""
        recovery = self._takeovers.record_answer(message.recovery, agent)
        if recovery is None:
            return
        record = self._context.state.agents.get(agent)
        for holding in message.holdings:
            job = recovery.jobs.get(holding.job)
            if job is None or job.status.is_final:
                continue
            _log.info(
                "job_reported",
                job=job.job_id,
                agent=agent,
                running=len(holding.running),
                finished=len(holding.finished),
            )
            for index, attempt in holding.running:
                placement = Placement(
                    agent=agent, upstream="", attempt=attempt, cost_s=0.0
                )
                job.adopt(index, placement)
            for result in holding.finished:
                self._context.outcomes.on_recovered_result(job, agent, result)
        view = self._context.fleet.agents.get(agent)
        if record is None or view is None or view.incarnation != record.incarnation:
            # The answer comes from an incarnation that joined after the claim but
            # is not in the ledger yet. It does not know what the previous one started.
            recovery.lost.add(agent)
        self.finish_recoveries(now_s)

    def finish_recoveries(self, now_s: float) -> None:
        """Finishes the takeovers that are fully answered or past their deadline."""
        for recovery in self._takeovers.take_finished(now_s):
            for job in recovery.jobs.values():
                if not job.status.is_final:
                    self._finish_recovery(recovery, job, now_s)

    def register_if_needed(self, now_s: float) -> None:
        """Proposes this incarnation, repeatedly until the ledger has it."""
        if (
            self._context.is_registered()
            or now_s - self._registration_proposed_at_s < REGISTER_RETRY_INTERVAL_S
        ):
            return
        self._registration_proposed_at_s = now_s
        self._context.propose(
            RegisterEntry(
                name=self._context.name,
                incarnation=self._context.incarnation,
                address=self._address,
            )
        )

    def _start_new_incarnation(self) -> None:
        """Switches to a new incarnation after the ledger expired the current one."""
        self._context.incarnation = self._context.generator.getrandbits(
            _INCARNATION_BITS
        )
        self._registration_proposed_at_s = -REGISTER_RETRY_INTERVAL_S

    def _inherit_jobs(
        self, moved: tuple[str, ...], fenced: list[EntryIncarnation], now_s: float
    ) -> None:
        """Begins the takeover of the moved jobs that this entry owns now."""
        jobs = []
        for job_id in moved:
            claim = self._context.state.claim(job_id)
            existing = self._context.job_table.jobs.get(job_id)
            if claim is None or claim.status or not self._context.owns(claim):
                continue
            if existing is not None and existing.epoch == claim.epoch:
                continue
            if existing is not None and not existing.status.is_final:
                self._lifecycle.supersede(existing, f"epoch {claim.epoch} now", now_s)
            jobs.append(self._add_inherited_job(claim, now_s))
        if not jobs:
            return
        recovery = self._takeovers.begin(jobs, self._context.state, fenced, now_s)
        for agent in sorted(recovery.pending):
            view = self._context.fleet.agents.get(agent)
            if view is not None and view.is_up:
                self._context.send(agent, recovery.request())

    def _add_inherited_job(self, claim: ClaimRecord, now_s: float) -> Job:
        job = Job(
            job_id=claim.job,
            member=claim.member,
            key=claim.key,
            epoch=claim.epoch,
            task_count=claim.task_count,
            repeatable=claim.repeatable,
            submitted_at_s=now_s,
            deadline_at_s=now_s + INHERITED_JOB_DEADLINE_S,
            spec=None,
        )
        job.orphan()
        job.may_have_run = True
        job.timeline.add(
            now_s, "inherited", f"epoch {claim.epoch} at {self._context.name}"
        )
        self._context.job_table.add(job, claim.digest, b"")
        body = claim.body or self._context.job_table.body(claim.job)
        if body:
            self.set_document(job, body, now_s)
        return job

    def _finish_recovery(self, recovery: Recovery, job: Job, now_s: float) -> None:
        claim = self._context.state.claim(job.job_id)
        if claim is None or claim.epoch != job.epoch or not self._context.owns(claim):
            return
        lost = set(recovery.lost)
        for name, record in self._context.state.agents.items():
            if may_have_lost_tasks(record, claim.index):
                lost.add(name)
        job.is_recovered = True
        job.may_have_run = bool(lost)
        detail = f"{len(job.placed)} running, {job.unfinished_count} unfinished"
        job.timeline.add(now_s, "recovered", f"{detail}, lost agents {sorted(lost)}")
        _log.info(
            "job_recovered",
            job=job.job_id,
            epoch=job.epoch,
            running=len(job.placed),
            unfinished=job.unfinished_count,
            lost_agents=",".join(sorted(lost)),
        )
        job.hold_until_s = now_s + self._context.outcomes.rerun_delay_s(job, lost)
        uncertain = job.unfinished_count - len(job.placed)
        failure = self._context.outcomes.pop_recovered_outcome(job)
        if failure is not None:
            self._lifecycle.close(job, failure.status, failure.reason, now_s)
        elif not job.unfinished_count:
            self._lifecycle.close(job, JobStatus.COMPLETED, "", now_s)
        elif lost and uncertain and not job.repeatable:
            reason = f"tasks may have run at {', '.join(sorted(lost))}"
            self._lifecycle.close(job, JobStatus.UNKNOWN, reason, now_s)
        elif job.spec is not None:
            self._lifecycle.begin(job, now_s)
