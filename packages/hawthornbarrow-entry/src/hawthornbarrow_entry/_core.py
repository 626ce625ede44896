"""EntryCore: the sans-I/O decisions of one entry."""

import dataclasses
import random

import msgspec
from hawthornbarrow.configuration import Configuration, decode_configuration
from hawthornbarrow.dispatch import (
    Admission,
    AdmissionLimits,
    JobOrder,
    LeastExpectedFinish,
    LeastRemainingWork,
    PlacementPolicy,
    RetryBudget,
    RunTimeEstimator,
    UpstreamHealth,
)
from hawthornbarrow.jobs import (
    Job,
    JobSpec,
    JobSpecError,
    JobStatus,
    Placement,
    parse_job_spec,
)
from hawthornbarrow.ledger import (
    Applied,
    ApplyConfiguration,
    Claim,
    ClaimRecord,
    ClaimVerdict,
    Complete,
    ExpireEntry,
    LedgerState,
    RegisterAgent,
    RegisterEntry,
    job_id_of,
)
from hawthornbarrow.links import (
    CancelJobs,
    ConfigurationUpdate,
    DispatchItem,
    EntryIncarnation,
    ForwardReply,
    ForwardRequest,
    JobsClosed,
    JobsRecovered,
    LinkEvent,
    Message,
    PeerDown,
    PeerUp,
    ResultBatch,
    SlotGrant,
    UpstreamAnnounced,
    UpstreamGone,
    UsageReport,
)

from hawthornbarrow_entry._desk import JobDesk, digest_of, status_code_of
from hawthornbarrow_entry._dispatcher import Dispatcher
from hawthornbarrow_entry._effects import (
    Answer,
    EntryEffect,
    Propose,
    Reply,
    ReplyTarget,
    SendMessage,
    refuse,
)
from hawthornbarrow_entry._fleet import AgentView, FleetView
from hawthornbarrow_entry._forwarding import Forwarder, ForwardKind
from hawthornbarrow_entry._outcomes import OutcomeHandler
from hawthornbarrow_entry._takeover import Recovery, Takeover, has_lost_memory

CLAIM_LIMIT_S = 3.0
AGENT_LOST_S = 6.0
SMALL_ANSWER_BYTES = 4096
ORPHAN_LIMIT_S = 3600.0
REGISTER_RETRY_S = 1.0
USAGE_INTERVAL_S = 1.0
_RETRY_SOON_S = 1.0
_EARLIER_UNKNOWN = (
    "this submission starts nothing, but an earlier one with the same key may have run"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryIdentity:
    """Who an entry is.

    Attributes:
        name: Name of the entry.
        incarnation: Random number of this run of the process.
        address: Link address of the entry.
        data_centre: Name of its data centre.
    """

    name: str
    incarnation: int
    address: str
    data_centre: str = ""


class EntryCore:
    """Owns jobs from claim to answer.

    Args:
        identity: Who this entry is.
        state: The ledger's local state; only read here.
        generator: Seeded source of jitter.
        order: Order of the jobs of one member.
        placement: Choice of upstreams; least expected finish by default.
    """

    def __init__(
        self,
        *,
        identity: EntryIdentity,
        state: LedgerState,
        generator: random.Random,
        order: type[JobOrder] = LeastRemainingWork,
        placement: PlacementPolicy | None = None,
    ) -> None:
        """Starts without jobs, agents and configuration."""
        self._identity = identity
        self._incarnation = identity.incarnation
        self._state = state
        self._generator = generator
        self._effects: list[EntryEffect] = []
        self._configuration = Configuration()
        self._version = 0
        self._registered_at_s = -REGISTER_RETRY_S
        self._usage_at_s = 0.0
        self._time_s = 0.0
        self._is_draining = False
        self._desk = JobDesk()
        self._health = UpstreamHealth()
        self._estimator = RunTimeEstimator()
        self._fleet = FleetView(health=self._health, data_centre=identity.data_centre)
        self._dispatcher = Dispatcher(
            fleet=self._fleet,
            health=self._health,
            estimator=self._estimator,
            order=order(estimator=self._estimator),
            placement=placement or LeastExpectedFinish(),
        )
        self._admission = Admission(limits=AdmissionLimits(), generator=generator)
        self._admitted: dict[str, float] = {}
        self._takeover = Takeover()
        self._forwarder = Forwarder()
        self._outcomes = OutcomeHandler(
            dispatcher=self._dispatcher,
            health=self._health,
            estimator=self._estimator,
            budget=RetryBudget(),
            fleet=self._fleet,
            generator=generator,
        )
        self._peers: set[str] = set()
        self._closing: dict[str, list[str]] = {}
        self._in_touch = False
        self._home = ""
        self._held: list[Job] = []
        self._cancels: dict[str, list[ReplyTarget]] = {}
        self.closed_jobs: list[Job] = []

    @property
    def name(self) -> str:
        """Name of the entry."""
        return self._identity.name

    @property
    def configuration(self) -> Configuration:
        """The configuration in force here."""
        return self._configuration

    @property
    def version(self) -> int:
        """Version of the configuration in force here."""
        return self._version

    @property
    def time_s(self) -> float:
        """Wall-clock time of the last tick."""
        return self._time_s

    @property
    def desk(self) -> JobDesk:
        """The job records."""
        return self._desk

    @property
    def fleet(self) -> FleetView:
        """What is known of agents and upstreams."""
        return self._fleet

    @property
    def wasted(self) -> dict[str, int]:
        """Messages that did not help any job, by cause."""
        return self._outcomes.wasted

    @property
    def is_ready(self) -> bool:
        """Whether new jobs are taken."""
        return self._refusal_of_new_work() is None

    @property
    def is_idle(self) -> bool:
        """Whether no job is open here."""
        return not self._desk.open_jobs and not self._forwarder.is_busy

    def take_effects(self) -> list[EntryEffect]:
        """Returns what there is to do, and forgets it."""
        effects, self._effects = self._effects, []
        return effects

    def drain(self) -> None:
        """Takes no new jobs from here on."""
        self._is_draining = True

    # --- callers -------------------------------------------------------------

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
        """Takes a submission or resubmission.

        Args:
            target: Who waits for the answer.
            member: Name of the authenticated member.
            key: Idempotency key.
            body: The submitted document.
            wait: Whether to answer with the whole result, not at once with 202.
            now_s: Current time.
            time_s: Wall-clock time.
        """
        job_id = job_id_of(member, key)
        digest = digest_of(body)
        job = self._desk.jobs.get(job_id)
        claim = self._state.claim(job_id)
        if job is not None:
            if not self._desk.matches(job_id, digest):
                self._answer(target, _mismatch())
                return
            self._join(job, target, body=body, wait=wait, now_s=now_s)
            return
        if claim is not None:
            self._resubmit(
                target, claim, digest=digest, body=body, wait=wait, now_s=now_s
            )
            return
        if self._has_other_home(target):
            self._forward_home(target, member, key, body, wait=wait)
            return
        refusal = self._refusal_of_new_work()
        if refusal is not None:
            self._answer(target, refusal)
            return
        if self._state.is_expired_key(key, time_s):
            self._answer(target, _expired())
            return
        spec = self._admit(target, member, body, now_s)
        if spec is not None:
            self._open_job(
                target, member, key, digest, body, spec, wait=wait, now_s=now_s
            )
            self._propose_claim(job_id, body=b"" if wait else body, time_s=time_s)

    def fetch(
        self, target: ReplyTarget, *, member: str, key: str, now_s: float
    ) -> None:
        """Answers with the state or the end of a job."""
        job_id = job_id_of(member, key)
        job = self._desk.jobs.get(job_id)
        claim = self._state.claim(job_id)
        if job is not None:
            self._answer(target, self._state_of(job))
        elif claim is None:
            self._answer(target, _not_found())
        elif claim.status:
            self._answer(target, self._closed_answer(claim))
        elif self._owns(claim):
            self._answer(target, _pending(key, "orphaned"))
        else:
            self._forward(target, ForwardKind.FETCH, claim, b"", now_s)

    def cancel(
        self, target: ReplyTarget, *, member: str, key: str, now_s: float
    ) -> None:
        """Closes a job as cancelled, unless it has ended before."""
        job_id = job_id_of(member, key)
        job = self._desk.jobs.get(job_id)
        claim = self._state.claim(job_id)
        if job is not None and job.status is JobStatus.CLAIMING:
            # Another entry may win the claim and start the job, so the end of the
            # claim decides whom to ask.
            self._cancels.setdefault(job_id, []).append(target)
        elif job is not None:
            self._close(job, JobStatus.CANCELLED, "cancelled by the caller", now_s)
            self._answer(target, self._state_of(job))
        elif claim is None:
            self._answer(target, _not_found())
        elif claim.status:
            self._answer(target, self._closed_answer(claim))
        elif self._owns(claim):
            self._answer(target, _pending(key, "orphaned"))
        else:
            self._forward(target, ForwardKind.CANCEL, claim, b"", now_s)

    def caller_gone(self, target: ReplyTarget) -> None:
        """Forgets a caller whose connection ended; its job goes on."""
        self._desk.forget_waiter(target)

    def apply_configuration(self, command: ApplyConfiguration) -> None:
        """Proposes a configuration; the outcome comes with its Applied event."""
        self._effects.append(Propose(command=command))

    # --- submission ----------------------------------------------------------

    def _refusal_of_new_work(self) -> Answer | None:
        """Returns why no new job may be taken now, or None."""
        if not self._in_touch:
            detail = f"no quorum of the ledger; {_EARLIER_UNKNOWN}"
            return _unavailable("no_quorum", detail, not_run=False)
        if not self._version:
            detail = f"no configuration is in force yet; {_EARLIER_UNKNOWN}"
            return _unavailable("no_configuration", detail, not_run=False)
        if not self._is_registered():
            detail = f"the entry is joining the fleet; {_EARLIER_UNKNOWN}"
            return _unavailable("not_a_member", detail, not_run=False)
        if self._is_draining:
            return _unavailable("shutting_down", "this entry is shutting down")
        return None

    def _has_other_home(self, target: ReplyTarget) -> bool:
        """Tells whether a new job should be dispatched by another entry.

        One entry with all jobs before it orders them better and sends fewer
        messages than several that split the slots; the ledger's leader commits
        claims soonest. Any entry serves as well when that one can not be reached.
        """
        home = self._home
        if not home or home == self.name or target.peer or not self._in_touch:
            return False
        record = self._state.entries.get(home)
        if record is None or not record.is_alive:
            return False
        return self._forwarder.can_reach(home)

    def _forward_home(
        self, target: ReplyTarget, member: str, key: str, body: bytes, *, wait: bool
    ) -> None:
        request = self._forwarder.add(self._home, target)
        kind = ForwardKind.NEW if wait else ForwardKind.NEW_ASYNC
        message = ForwardRequest(
            request=request, kind=kind, member=member, key=key, body=body
        )
        self._send(self._home, message)

    def _is_registered(self) -> bool:
        record = self._state.entries.get(self.name)
        if record is None or not record.is_alive:
            return False
        return record.incarnation == self._incarnation

    def _owns(self, claim: ClaimRecord) -> bool:
        return claim.owner == self.name and claim.incarnation == self._incarnation

    def _admit(
        self, target: ReplyTarget, member: str, body: bytes, now_s: float
    ) -> JobSpec | None:
        """Returns the job of a submission, or answers why it is refused."""
        del now_s
        limits = self._configuration.limits
        try:
            spec = parse_job_spec(body, max_tasks=limits.tasks_per_job)
        except JobSpecError as error:
            answer = refuse(400, "invalid_job", str(error), not_run=True)
            self._answer(target, answer)
            return None
        refusal = self._refusal_of_service(member, spec)
        if refusal is None:
            refusal = self._refusal_of_load(member, spec)
        if refusal is not None:
            self._answer(target, refusal)
            return None
        return spec

    def _refusal_of_service(self, member: str, spec: JobSpec) -> Answer | None:
        service = self._configuration.services.get(spec.service)
        if service is None:
            detail = f"service {spec.service!r} is not configured"
            return refuse(422, "can_never_run", detail, not_run=True)
        if service.members and member not in service.members:
            detail = f"service {spec.service!r} is not open to this member"
            return refuse(403, "not_allowed", detail, not_run=True)
        if not self._fleet.knows_service(spec.service):
            return None
        if not self._fleet.ever_fits(spec.service, spec.resources):
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
            for name, settings in self._configuration.members.items()
        }
        own = weights.get(member, 1.0)
        share = own / max(own, sum(weights.values()))
        refusal = self._admission.judge(
            member,
            tasks=len(spec.tasks),
            work_s=self._work_s(member, spec),
            deadline_s=self._deadline_s(spec),
            slots=max(1, self._fleet.capacity(spec.service)),
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

    def _work_s(self, member: str, spec: JobSpec) -> float:
        mean_s = self._estimator.mean_s(member, spec.service, spec.declared_run_s)
        return len(spec.tasks) * mean_s

    def _deadline_s(self, spec: JobSpec) -> float:
        if spec.deadline_s is not None:
            return spec.deadline_s
        service = self._configuration.services.get(spec.service)
        return service.deadline_s if service else 60.0

    def _open_job(
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
        job = Job(
            job_id=job_id_of(member, key),
            member=member,
            key=key,
            epoch=epoch,
            task_count=len(spec.tasks),
            repeatable=spec.repeatable,
            submitted_at_s=now_s,
            deadline_at_s=now_s + self._deadline_s(spec),
            spec=spec,
        )
        job.timeline.add(now_s, "received", f"{job.task_count} tasks at {self.name}")
        self._desk.add(job, digest, body)
        self._admission_add(job, spec)
        if wait:
            self._desk.wait(job.job_id, target)
        else:
            self._answer(target, _pending(key, job.status.value))
        return job

    def _admission_add(self, job: Job, spec: JobSpec) -> None:
        work_s = self._work_s(job.member, spec)
        self._admitted[job.job_id] = work_s
        self._admission.add(job.member, job.task_count, work_s)

    def _propose_claim(self, job_id: str, *, body: bytes, time_s: float) -> None:
        job = self._desk.jobs[job_id]
        self._effects.append(
            Propose(
                command=Claim(
                    member=job.member,
                    key=job.key,
                    digest=digest_of(self._desk.body(job_id)),
                    owner=self.name,
                    incarnation=self._incarnation,
                    repeatable=job.repeatable,
                    task_count=job.task_count,
                    body=body,
                    time_s=time_s,
                )
            )
        )

    def _join(
        self, job: Job, target: ReplyTarget, *, body: bytes, wait: bool, now_s: float
    ) -> None:
        """Lets a resubmission share the job that is recorded here."""
        if job.status is JobStatus.ORPHANED and job.spec is None:
            self._attach(job, body, now_s)
        if job.status.is_final:
            self._answer(target, self._state_of(job))
        elif wait:
            job.timeline.add(now_s, "joined", "a resubmission waits for this job")
            self._desk.wait(job.job_id, target)
        else:
            self._answer(target, _pending(job.key, job.status.value))

    def _resubmit(
        self,
        target: ReplyTarget,
        claim: ClaimRecord,
        *,
        digest: bytes,
        body: bytes,
        wait: bool,
        now_s: float,
    ) -> None:
        """Answers a resubmission of a job that is not recorded here."""
        if claim.digest != digest:
            self._answer(target, _mismatch())
        elif claim.status:
            self._answer(target, self._closed_answer(claim))
        elif self._owns(claim):
            self._start_unopened(target, claim, digest, body, wait=wait, now_s=now_s)
        elif not self._in_touch:
            self._answer(
                target, _unavailable("no_quorum", "owner unknown", not_run=False)
            )
        else:
            kind = ForwardKind.SUBMIT if wait else ForwardKind.SUBMIT_ASYNC
            self._forward(target, kind, claim, body, now_s)

    def _start_unopened(
        self,
        target: ReplyTarget,
        claim: ClaimRecord,
        digest: bytes,
        body: bytes,
        *,
        wait: bool,
        now_s: float,
    ) -> None:
        """Starts a job that was claimed but given up before its first task."""
        try:
            spec = parse_job_spec(body, max_tasks=claim.task_count)
        except JobSpecError as error:
            answer = refuse(400, "invalid_job", str(error), not_run=True)
            self._answer(target, answer)
            return
        job = self._open_job(
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
        self._begin(job, now_s)

    # --- ledger --------------------------------------------------------------

    def on_applied(self, applied: Applied, now_s: float) -> None:
        """Takes a committed command, or an installed snapshot."""
        command = applied.command
        self._adopt_configuration()
        if command is None:
            self._on_snapshot(now_s)
            return
        assert applied.outcome is not None
        if isinstance(command, Claim):
            self._on_claim(command, applied, now_s)
            self._resume_cancels(command.member, command.key, now_s)
        elif isinstance(command, RegisterAgent):
            self._on_agent_registered()
        elif isinstance(command, Complete):
            self._on_complete(command, accepted=applied.outcome.accepted)
        elif isinstance(command, RegisterEntry | ExpireEntry):
            self._on_membership(command, applied.outcome.moved, now_s)

    def _on_claim(self, command: Claim, applied: Applied, now_s: float) -> None:
        assert applied.outcome is not None
        job = self._desk.jobs.get(job_id_of(command.member, command.key))
        if job is None or job.status is not JobStatus.CLAIMING:
            return
        claim = applied.outcome.claim
        is_ours = command.owner == self.name
        is_ours = is_ours and command.incarnation == self._incarnation
        is_same = self._desk.matches(job.job_id, claim.digest) if claim else False
        if claim is not None and is_same and self._owns(claim):
            job.epoch = claim.epoch
            self._begin(job, now_s)
            return
        if not is_ours:
            return
        if applied.outcome.verdict is ClaimVerdict.NOT_MEMBER:
            answer = _unavailable("not_a_member", "the entry is joining the fleet")
            self._drop(job, answer)
        elif applied.outcome.verdict is ClaimVerdict.EXPIRED:
            self._drop(job, _expired())
        elif applied.outcome.verdict is ClaimVerdict.MISMATCH:
            self._drop(job, _mismatch())
        elif claim is not None:
            self._hand_over(job, claim, now_s)

    def _resume_cancels(self, member: str, key: str, now_s: float) -> None:
        """Carries out cancellations that waited for the end of a claim."""
        for target in self._cancels.pop(job_id_of(member, key), ()):
            self.cancel(target, member=member, key=key, now_s=now_s)

    def _on_complete(self, command: Complete, *, accepted: bool) -> None:
        job = self._desk.jobs.get(command.job)
        if job is None or command.epoch != job.epoch or not job.status.is_final:
            return
        if not accepted:
            self._desk.remove(command.job)
        for agent in self._closing.pop(command.job, ()):
            self._send(agent, JobsClosed(jobs=[command.job]), is_urgent=False)

    def _on_snapshot(self, now_s: float) -> None:
        """Compares all records with a state that has jumped forward."""
        self._on_agent_registered()
        for job in self._desk.open_jobs:
            claim = self._state.claim(job.job_id)
            if claim is None:
                continue
            if job.status is JobStatus.CLAIMING and self._owns(claim):
                job.epoch = claim.epoch
                self._begin(job, now_s)
                self._resume_cancels(job.member, job.key, now_s)
            elif not self._owns(claim) or claim.epoch != job.epoch:
                self._hand_over(job, claim, now_s)
                self._resume_cancels(job.member, job.key, now_s)
        held = self._state.open_claims_of(self.name, self._incarnation)
        moved = tuple(claim.job for claim in held if claim.epoch > 1)
        self._inherit(moved, [], now_s)

    def _on_membership(
        self,
        command: RegisterEntry | ExpireEntry,
        moved: tuple[str, ...],
        now_s: float,
    ) -> None:
        for job_id in moved:
            job = self._desk.jobs.get(job_id)
            claim = self._state.claim(job_id)
            if job is None or claim is None or job.status.is_final:
                continue
            if not self._owns(claim):
                self._hand_over(job, claim, now_s)
        is_expiry = isinstance(command, ExpireEntry)
        is_own = (command.name, command.incarnation) == (self.name, self._incarnation)
        if is_expiry and is_own:
            self._leave_incarnation()
            return
        fenced = EntryIncarnation(name=command.name, incarnation=command.incarnation)
        self._inherit(moved, [fenced] if is_expiry else [], now_s)

    def _leave_incarnation(self) -> None:
        """Takes a new incarnation, as the fleet has given up the current one."""
        self._incarnation = self._generator.getrandbits(62)
        self._registered_at_s = -REGISTER_RETRY_S

    def _adopt_configuration(self) -> None:
        record = self._state.configuration
        if record is None or record.version <= self._version:
            return
        self._configuration = decode_configuration(record.document)
        self._version = record.version
        self._dispatcher.configure(self._configuration)
        self._outcomes.configure(self._configuration)
        limits = self._configuration.limits
        self._admission.set_limits(
            AdmissionLimits(
                tasks=limits.waiting_tasks, member_tasks=limits.member_waiting_tasks
            )
        )
        for agent in self._fleet.agents.values():
            self._send_configuration(agent.name)

    def _send_configuration(self, peer: str) -> None:
        record = self._state.configuration
        if record is not None:
            update = ConfigurationUpdate(
                version=record.version, document=record.document
            )
            self._send(peer, update)

    # --- change of owner -----------------------------------------------------

    def _hand_over(self, job: Job, claim: ClaimRecord, now_s: float) -> None:
        """Gives up a job that another entry owns, and forwards its callers."""
        body = self._desk.body(job.job_id)
        self._uncount(job)
        self._outcomes.release_all(job)
        waiters = self._desk.remove(job.job_id)
        job.close(JobStatus.UNKNOWN, f"owned by {claim.owner} now", now_s)
        for target in waiters:
            if claim.status:
                self._answer(target, self._closed_answer(claim))
            else:
                self._forward(target, ForwardKind.SUBMIT, claim, body, now_s)

    def _inherit(
        self, moved: tuple[str, ...], fenced: list[EntryIncarnation], now_s: float
    ) -> None:
        """Begins the takeover of the moved jobs that this entry owns now."""
        jobs = []
        for job_id in moved:
            claim = self._state.claim(job_id)
            known = self._desk.jobs.get(job_id)
            if claim is None or claim.status or not self._owns(claim):
                continue
            if known is None or known.epoch != claim.epoch:
                jobs.append(self._orphan(claim, now_s))
        if not jobs:
            return
        recovery = self._takeover.begin(jobs, self._state, fenced, now_s)
        for agent in sorted(recovery.pending):
            view = self._fleet.agents.get(agent)
            if view is not None and view.is_up:
                self._send(agent, recovery.request())

    def _orphan(self, claim: ClaimRecord, now_s: float) -> Job:
        job = Job(
            job_id=claim.job,
            member=claim.member,
            key=claim.key,
            epoch=claim.epoch,
            task_count=claim.task_count,
            repeatable=claim.repeatable,
            submitted_at_s=now_s,
            deadline_at_s=now_s + ORPHAN_LIMIT_S,
            spec=None,
        )
        job.orphan()
        job.may_have_run = True
        job.timeline.add(now_s, "inherited", f"epoch {claim.epoch} at {self.name}")
        self._desk.add(job, claim.digest, b"")
        if claim.body:
            self._attach(job, claim.body, now_s)
        return job

    def _attach(self, job: Job, body: bytes, now_s: float) -> None:
        """Gives an inherited job its document."""
        job.spec = parse_job_spec(body, max_tasks=job.task_count)
        job.deadline_at_s = now_s + self._deadline_s(job.spec)
        self._desk.set_body(job.job_id, body)
        self._admission_add(job, job.spec)
        if job.is_recovered:
            self._begin(job, now_s)

    def _on_recovered(self, agent: str, message: JobsRecovered, now_s: float) -> None:
        recovery = self._takeover.answered(message.recovery, agent)
        if recovery is None:
            return
        record = self._state.agents.get(agent)
        for holding in message.holdings:
            job = recovery.jobs.get(holding.job)
            if job is None or job.status.is_final:
                continue
            for index, attempt in holding.running:
                placement = Placement(
                    agent=agent, upstream="", attempt=attempt, cost_s=0.0
                )
                job.adopt(index, placement)
            for result in holding.finished:
                self._outcomes.take_recovered(job, agent, result)
        view = self._fleet.agents.get(agent)
        if record is None or view is None or view.incarnation != record.incarnation:
            # The answer comes from an incarnation that joined after the claim but
            # is not in the ledger yet; it can not speak for the one before.
            recovery.lost.add(agent)
        self._finish_recoveries(now_s)

    def _finish_recoveries(self, now_s: float) -> None:
        for recovery in self._takeover.take_finished(now_s):
            for job in recovery.jobs.values():
                if not job.status.is_final:
                    self._finish_recovery(recovery, job, now_s)

    def _finish_recovery(self, recovery: Recovery, job: Job, now_s: float) -> None:
        claim = self._state.claim(job.job_id)
        if claim is None or claim.epoch != job.epoch or not self._owns(claim):
            return
        lost = set(recovery.lost)
        for name, record in self._state.agents.items():
            if has_lost_memory(record, claim.index):
                lost.add(name)
        job.is_recovered = True
        job.may_have_run = bool(lost)
        detail = f"{len(job.placed)} running, {job.unfinished_count} unfinished"
        job.timeline.add(now_s, "recovered", f"{detail}, lost agents {sorted(lost)}")
        job.hold_until_s = now_s + self._outcomes.hold_s(job, lost)
        uncertain = job.unfinished_count - len(job.placed)
        failure = self._outcomes.failure_of(job)
        if failure is not None:
            self._close(job, failure.status, failure.reason, now_s)
        elif not job.unfinished_count:
            self._close(job, JobStatus.COMPLETED, "", now_s)
        elif lost and uncertain and not job.repeatable:
            reason = f"tasks may have run at {', '.join(sorted(lost))}"
            self._close(job, JobStatus.UNKNOWN, reason, now_s)
        elif job.spec is not None:
            self._begin(job, now_s)

    def _begin(self, job: Job, now_s: float) -> None:
        """Lets the tasks of a job wait for slots, unless earlier runs may go on."""
        if now_s < job.hold_until_s:
            self._held.append(job)
            return
        job.begin()
        job.timeline.add(now_s, "claimed", f"epoch {job.epoch}")
        self._dispatcher.enqueue(job)

    # --- links ---------------------------------------------------------------

    def on_link_event(self, event: LinkEvent, now_s: float) -> None:
        """Takes an event of a link to an agent or another entry."""
        if isinstance(event, PeerUp):
            self._peer_up(event, now_s)
        elif isinstance(event, PeerDown):
            self._peer_down(event.peer, now_s)
        else:
            self._receive(event.peer, event.message, now_s)

    def _peer_up(self, event: PeerUp, now_s: float) -> None:
        if event.role == "entry":
            self._peers.add(event.peer)
            self._forwarder.peer_up(event.peer)
            return
        view = self._fleet.agents.get(event.peer)
        if view is None or view.incarnation != event.incarnation:
            self._agent_joined(event, view, now_s)
        else:
            view.is_up = True
            view.is_lost = False
        self._dispatcher.forget_agent(event.peer)
        self._send_configuration(event.peer)
        for recovery in self._takeover.recoveries:
            if event.peer in recovery.pending:
                self._send(event.peer, recovery.request())
        self._on_agent_registered()

    def _agent_joined(
        self, event: PeerUp, view: AgentView | None, now_s: float
    ) -> None:
        if view is not None:
            self._fleet.agent_restarted(event.peer)
            self._give_up_agent(event.peer, "agent_restarted", now_s)
        self._fleet.agents[event.peer] = AgentView(
            name=event.peer, incarnation=event.incarnation
        )

    def _on_agent_registered(self) -> None:
        for view in self._fleet.agents.values():
            record = self._state.agents.get(view.name)
            view.is_registered = (
                record is not None and record.incarnation == view.incarnation
            )
        self._fleet.reindex()

    def _peer_down(self, peer: str, now_s: float) -> None:
        view = self._fleet.agents.get(peer)
        if view is not None:
            view.is_up = False
            view.down_since_s = now_s
            self._fleet.agent_down(peer)
        for target in self._forwarder.peer_down(peer):
            detail = f"the link to the job's owner {peer} failed; resubmit"
            self._answer(
                target, _unavailable("owner_unreachable", detail, not_run=False)
            )

    def _receive(self, peer: str, message: Message, now_s: float) -> None:
        match message:
            case ResultBatch():
                self._on_results(peer, message, now_s)
            case SlotGrant():
                self._fleet.grant(peer, message)
            case UpstreamAnnounced():
                self._fleet.announce(peer, message.announcement)
            case UpstreamGone():
                self._fleet.withdraw(peer, message.upstream)
            case JobsRecovered():
                self._on_recovered(peer, message, now_s)
            case ForwardRequest():
                self._on_forward(peer, message, now_s)
            case ForwardReply():
                target = self._forwarder.take(message.request)
                if target is not None:
                    answer = Answer(
                        status=message.status,
                        body=message.body,
                        retry_after_s=message.retry_after_s,
                    )
                    self._answer(target, answer)
            case UsageReport():
                self._dispatcher.charge_elsewhere(message.usage)

    def _on_results(self, agent: str, batch: ResultBatch, now_s: float) -> None:
        for result in batch.results:
            job = self._desk.jobs.get(result.job)
            end = self._outcomes.take(job, agent, result, now_s)
            if job is not None and end is not None:
                self._close(job, end.status, end.reason, now_s)

    def _on_forward(self, peer: str, message: ForwardRequest, now_s: float) -> None:
        target = ReplyTarget(peer=peer, request=message.request)
        member, key = message.member, message.key
        if message.kind == ForwardKind.FETCH:
            self.fetch(target, member=member, key=key, now_s=now_s)
        elif message.kind == ForwardKind.CANCEL:
            self.cancel(target, member=member, key=key, now_s=now_s)
        else:
            self._submit_forwarded(target, message, now_s)

    def _submit_forwarded(
        self, target: ReplyTarget, message: ForwardRequest, now_s: float
    ) -> None:
        """Takes a submission that another entry believes is owned here."""
        claim = self._state.claim(job_id_of(message.member, message.key))
        is_new = message.kind in (ForwardKind.NEW, ForwardKind.NEW_ASYNC)
        if is_new and claim is None:
            self.submit(
                target,
                member=message.member,
                key=message.key,
                body=message.body,
                wait=message.kind == ForwardKind.NEW,
                now_s=now_s,
                time_s=self._time_s,
            )
            return
        if claim is None or (not claim.status and not self._owns(claim)):
            detail = "the job's owner is changing; resubmit"
            self._answer(target, _unavailable("owner_changing", detail, not_run=False))
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

    def _forward(
        self,
        target: ReplyTarget,
        kind: ForwardKind,
        claim: ClaimRecord,
        body: bytes,
        now_s: float,
    ) -> None:
        """Hands a request to the entry that owns the job."""
        del now_s
        if target.peer or not self._forwarder.can_reach(claim.owner):
            detail = f"the job's owner {claim.owner} can not be reached; resubmit"
            self._answer(
                target, _unavailable("owner_unreachable", detail, not_run=False)
            )
            return
        request = self._forwarder.add(claim.owner, target)
        self._send(
            claim.owner,
            ForwardRequest(
                request=request,
                kind=kind,
                member=claim.member,
                key=claim.key,
                body=body,
            ),
        )

    # --- time ----------------------------------------------------------------

    def tick(
        self, now_s: float, *, time_s: float, in_touch: bool, home: str = ""
    ) -> None:
        """Lets time pass, then dispatches what there is credit for.

        Args:
            now_s: Current time.
            time_s: Wall-clock time.
            in_touch: Whether a quorum of the ledger was heard within the lease.
            home: Entry that dispatches new jobs; empty for whoever takes them.
        """
        self._home = home
        self._time_s = time_s
        self._in_touch = in_touch
        self._register_if_needed(now_s)
        self._register_agents(now_s)
        self._expire_jobs(now_s)
        self._expire_agents(now_s)
        self._finish_recoveries(now_s)
        self._release_held(now_s)
        self._exchange_usage(now_s)
        self._desk.forget_old(now_s, pinned=self._closing)
        if in_touch and self._is_registered():
            for agent, batch in self._dispatcher.dispatch(self._incarnation, now_s):
                self._note_dispatch(agent, batch.items, now_s)
                self._send(agent, batch)
            for agent, demand in self._dispatcher.demands(now_s):
                self._send(agent, demand)

    def _note_dispatch(
        self, agent: str, items: list[DispatchItem], now_s: float
    ) -> None:
        for item in items:
            job = self._desk.jobs[item.job]
            detail = f"{len(item.tasks)} tasks to {item.upstream} by {agent}"
            job.timeline.add(now_s, "dispatched", detail)

    def _register_if_needed(self, now_s: float) -> None:
        if self._is_registered() or now_s - self._registered_at_s < REGISTER_RETRY_S:
            return
        self._registered_at_s = now_s
        self._effects.append(
            Propose(
                command=RegisterEntry(
                    name=self.name,
                    incarnation=self._incarnation,
                    address=self._identity.address,
                )
            )
        )

    def _release_held(self, now_s: float) -> None:
        """Begins the recovered jobs whose earlier runs have ended by now."""
        due = [job for job in self._held if now_s >= job.hold_until_s]
        self._held = [job for job in self._held if now_s < job.hold_until_s]
        for job in due:
            if self._desk.jobs.get(job.job_id) is job and not job.status.is_final:
                self._begin(job, now_s)

    def _expire_jobs(self, now_s: float) -> None:
        for job in self._desk.open_jobs:
            if job.status is JobStatus.CLAIMING:
                if now_s - job.submitted_at_s >= CLAIM_LIMIT_S:
                    detail = f"the claim was not committed; {_EARLIER_UNKNOWN}"
                    answer = _unavailable("no_quorum", detail, not_run=False)
                    self._drop(job, answer)
            elif now_s >= job.deadline_at_s:
                self._close(job, JobStatus.FAILED, "deadline", now_s)

    def _register_agents(self, now_s: float) -> None:
        """Proposes the linked agents' incarnations until the ledger has them.

        A late proposal of an isolated entry can put an old incarnation back, so one
        proposal when the link comes up is not enough.
        """
        for view in self._fleet.agents.values():
            is_due = now_s - view.proposed_at_s >= REGISTER_RETRY_S
            if view.is_up and not view.is_registered and is_due:
                view.proposed_at_s = now_s
                command = RegisterAgent(name=view.name, incarnation=view.incarnation)
                self._effects.append(Propose(command=command))

    def _expire_agents(self, now_s: float) -> None:
        for view in self._fleet.agents.values():
            if view.is_up or view.is_lost:
                continue
            if now_s - view.down_since_s >= AGENT_LOST_S:
                view.is_lost = True
                self._give_up_agent(view.name, "agent_lost", now_s)

    def _give_up_agent(self, agent: str, reason: str, now_s: float) -> None:
        for job in self._desk.open_jobs:
            end = self._outcomes.give_up_agent(job, agent, reason, now_s)
            if end is not None:
                self._close(job, end.status, end.reason, now_s)

    def _exchange_usage(self, now_s: float) -> None:
        if now_s - self._usage_at_s < USAGE_INTERVAL_S:
            return
        self._usage_at_s = now_s
        usage = self._dispatcher.take_usage()
        if usage:
            for peer in sorted(self._peers):
                self._send(peer, UsageReport(usage=usage), is_urgent=False)

    # --- ends ----------------------------------------------------------------

    def _close(self, job: Job, status: JobStatus, reason: str, now_s: float) -> None:
        """Moves a job to its end, answers its callers, frees what it holds."""
        self._dispatcher.dequeue(job)
        if not job.close(status, reason, now_s):
            return
        self._uncount(job)
        placed = sorted({placement.agent for placement in job.placed.values()})
        self._outcomes.release_all(job)
        for agent in placed:
            self._send(agent, CancelJobs(jobs=[job.job_id]))
        answer = Answer(status=status_code_of(status), body=job.answer_body())
        self._desk.close(job, answer)
        for target in self._desk.take_waiters(job.job_id):
            self._answer(target, answer)
        self._closing[job.job_id] = sorted(job.agents)
        is_small = len(answer.body) <= SMALL_ANSWER_BYTES
        self._effects.append(
            Propose(
                command=Complete(
                    job=job.job_id,
                    epoch=job.epoch,
                    status=status.value,
                    answer=answer.body if is_small else b"",
                    time_s=self._time_s,
                )
            )
        )
        self.closed_jobs.append(job)
        job.release_payloads()

    def _drop(self, job: Job, answer: Answer) -> None:
        """Refuses a job of which no task was ever sent; nothing is recorded."""
        self._uncount(job)
        waiters = self._desk.remove(job.job_id) + self._cancels.pop(job.job_id, [])
        for target in waiters:
            self._answer(target, answer)

    def _uncount(self, job: Job) -> None:
        work_s = self._admitted.pop(job.job_id, None)
        if work_s is not None:
            self._admission.remove(job.member, job.task_count, work_s)

    def _state_of(self, job: Job) -> Answer:
        if not job.status.is_final:
            return _pending(job.key, job.status.value)
        answer = self._desk.answer(job.job_id)
        return answer if answer is not None else _not_found()

    def _closed_answer(self, claim: ClaimRecord) -> Answer:
        """Returns the answer of a closed job from the ledger."""
        status = status_code_of(JobStatus(claim.status))
        if claim.answer:
            return Answer(status=status, body=claim.answer)
        detail = f"the job ended as {claim.status}; its answer is no longer held"
        return refuse(410, "answer_gone", detail, not_run=False)

    def _answer(self, target: ReplyTarget, answer: Answer) -> None:
        if not target.peer:
            self._effects.append(Reply(request=target.request, answer=answer))
            return
        self._send(
            target.peer,
            ForwardReply(
                request=target.request,
                status=answer.status,
                body=answer.body,
                retry_after_s=answer.retry_after_s,
            ),
        )

    def _send(self, peer: str, message: Message, *, is_urgent: bool = True) -> None:
        self._effects.append(
            SendMessage(peer=peer, message=message, is_urgent=is_urgent)
        )


def _pending(key: str, status: str) -> Answer:
    document = {"key": key, "status": status}
    return Answer(status=202, body=msgspec.json.encode(document))


def _unavailable(reason: str, detail: str, *, not_run: bool = True) -> Answer:
    return refuse(503, reason, detail, not_run=not_run, retry_after_s=_RETRY_SOON_S)


def _mismatch() -> Answer:
    detail = "the idempotency key was used before with another body"
    return refuse(422, "key_reused", detail, not_run=False)


def _expired() -> Answer:
    detail = "the key is a UUIDv7 from before the horizon of the ledger"
    return refuse(422, "key_expired", detail, not_run=False)


def _not_found() -> Answer:
    return refuse(404, "not_found", "no such job", not_run=False)
