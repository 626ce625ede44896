"""EntryCore: the sans-I/O state machine of one entry."""

import dataclasses
import random

from hawthornbarrow.configuration import Configuration, decode_configuration
from hawthornbarrow.dispatch import (
    AdmissionLimits,
    JobOrder,
    LeastExpectedStart,
    LeastRemainingWork,
    PlacementPolicy,
)
from hawthornbarrow.jobs import Job
from hawthornbarrow.ledger import (
    Applied,
    ApplyConfiguration,
    Claim,
    Complete,
    ExpireEntry,
    LedgerState,
    RegisterAgent,
    RegisterEntry,
)
from hawthornbarrow.limits import MachineLimits
from hawthornbarrow.links import (
    ConfigurationUpdate,
    DispatchItem,
    ForwardReply,
    ForwardRequest,
    JobsRecovered,
    LinkEvent,
    Message,
    MessageReceived,
    PeerDown,
    PeerUp,
    ResultBatch,
    SlotGrant,
    UpstreamAnnounced,
    UpstreamGone,
    UsageReport,
)

from hawthornbarrow_entry._answers import unavailable
from hawthornbarrow_entry._context import EntryContext
from hawthornbarrow_entry._effects import Answer, EntryEffect, ReplyTarget
from hawthornbarrow_entry._fleet import AgentView, FleetView
from hawthornbarrow_entry._job_table import JobTable
from hawthornbarrow_entry._lifecycle import CANCEL_BATCH_DELAY_S, JobLifecycle
from hawthornbarrow_entry._ownership import REGISTER_RETRY_INTERVAL_S, Ownership
from hawthornbarrow_entry._request_handler import RequestHandler

AGENT_LOST_TIMEOUT_S = 6.0
TICK_INTERVAL_S = 0.05
USAGE_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryIdentity:
    """Identity of an entry.

    Attributes:
        name: Name of the entry.
        incarnation: Random number that identifies this run of the process.
        address: Link address of the entry.
        data_centre: Name of its data centre.
    """

    name: str
    incarnation: int
    address: str
    data_centre: str = ""


class EntryCore:
    """Owns jobs from their claim to their answer.

    Events enter through the methods; the resulting actions leave through
    `take_effects`.

    Args:
        identity: Identity of this entry.
        state: Local state of the ledger; the entry only reads it.
        generator: Seeded random generator for jitter.
        order: Policy that orders the jobs of one member.
        placement: Policy that chooses the upstream of a task; `LeastExpectedStart`
            by default.
        machine: Limits of the machine on the process, None for the defaults.
    """

    def __init__(
        self,
        *,
        identity: EntryIdentity,
        state: LedgerState,
        generator: random.Random,
        order: type[JobOrder] = LeastRemainingWork,
        placement: PlacementPolicy | None = None,
        machine: MachineLimits | None = None,
    ) -> None:
        """Initializes the entry without jobs, agents or a configuration."""
        self._context = EntryContext(
            name=identity.name,
            incarnation=identity.incarnation,
            data_centre=identity.data_centre,
            state=state,
            generator=generator,
            order=order,
            placement=placement or LeastExpectedStart(),
            machine=machine or MachineLimits(),
        )
        self._lifecycle = JobLifecycle(context=self._context)
        self._ownership = Ownership(
            context=self._context, lifecycle=self._lifecycle, address=identity.address
        )
        self._request_handler = RequestHandler(
            context=self._context,
            lifecycle=self._lifecycle,
            ownership=self._ownership,
        )
        self._usage_sent_at_s = 0.0
        self._entry_peers: set[str] = set()

    @property
    def name(self) -> str:
        """Name of the entry."""
        return self._context.name

    @property
    def configuration(self) -> Configuration:
        """The configuration in force at this entry."""
        return self._context.configuration

    @property
    def version(self) -> int:
        """Version of the configuration in force at this entry."""
        return self._context.version

    @property
    def time_s(self) -> float:
        """Wall-clock time of the last tick."""
        return self._context.time_s

    @property
    def job_table(self) -> JobTable:
        """The job records of this entry."""
        return self._context.job_table

    @property
    def fleet(self) -> FleetView:
        """Known state of agents and upstreams."""
        return self._context.fleet

    @property
    def wasted(self) -> dict[str, int]:
        """Number of received results that did not help any job, by cause."""
        return self._context.outcomes.wasted

    @property
    def is_ready(self) -> bool:
        """Whether the entry accepts new jobs."""
        return self._request_handler.refusal_of_new_work() is None

    @property
    def is_idle(self) -> bool:
        """Whether there is no open job and no unanswered forwarded request."""
        return not self.job_table.open_jobs and not self._context.forwarder.is_busy

    def take_effects(self) -> list[EntryEffect]:
        """Returns the requested effects and clears them."""
        return self._context.take_effects()

    @property
    def next_due_s(self) -> float:
        """Longest time to wait for events before the next tick, in seconds."""
        return (
            CANCEL_BATCH_DELAY_S
            if self._lifecycle.has_pending_cancels
            else TICK_INTERVAL_S
        )

    def take_closed_jobs(self) -> list[Job]:
        """Returns the jobs that were closed since the last call."""
        closed = self._lifecycle.closed_jobs
        self._lifecycle.closed_jobs = []
        return closed

    def drain(self) -> None:
        """Stops accepting new jobs."""
        self._context.is_draining = True

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
        """Processes a submission or resubmission; see `RequestHandler.submit`."""
        self._request_handler.submit(
            target,
            member=member,
            key=key,
            body=body,
            wait=wait,
            now_s=now_s,
            time_s=time_s,
        )

    def fetch(
        self, target: ReplyTarget, *, member: str, key: str, now_s: float
    ) -> None:
        """Answers with the state of an open job or the answer of a closed one."""
        self._request_handler.fetch(target, member=member, key=key, now_s=now_s)

    def cancel(
        self, target: ReplyTarget, *, member: str, key: str, now_s: float
    ) -> None:
        """Closes a job as cancelled, unless it is closed already."""
        self._request_handler.cancel(target, member=member, key=key, now_s=now_s)

    def apply_configuration(self, command: ApplyConfiguration) -> None:
        """Proposes a configuration; its outcome arrives as an `Applied` event."""
        self._context.propose(command)

    def on_applied(self, applied: Applied, now_s: float) -> None:
        """Processes a committed command or an installed snapshot."""
        command = applied.command
        self._adopt_configuration()
        if command is None:
            self._update_agent_registrations()
            for job in self._ownership.on_snapshot(now_s):
                self._request_handler.resume_cancels(job.member, job.key, now_s)
            return
        assert applied.outcome is not None
        if isinstance(command, Claim):
            self._ownership.on_claim(command, applied, now_s)
            self._request_handler.resume_cancels(command.member, command.key, now_s)
        elif isinstance(command, RegisterAgent):
            self._update_agent_registrations()
        elif isinstance(command, Complete):
            self._ownership.on_complete(command, accepted=applied.outcome.accepted)
        elif isinstance(command, RegisterEntry | ExpireEntry):
            self._ownership.on_membership(command, applied.outcome.moved, now_s)

    def _adopt_configuration(self) -> None:
        record = self._context.state.configuration
        if record is None or record.version <= self._context.version:
            return
        self._context.configuration = decode_configuration(record.document)
        self._context.version = record.version
        self._context.dispatcher.configure(self._context.configuration)
        self._context.outcomes.configure(self._context.configuration)
        limits = self._context.configuration.limits
        self._context.admission.set_limits(
            AdmissionLimits(
                tasks=limits.waiting_tasks, member_tasks=limits.member_waiting_tasks
            )
        )
        for agent in self._context.fleet.agents.values():
            self._send_configuration(agent.name)

    def _send_configuration(self, peer: str) -> None:
        record = self._context.state.configuration
        if record is not None:
            update = ConfigurationUpdate(
                version=record.version, document=record.document
            )
            self._context.send(peer, update)

    def on_link_event(self, event: LinkEvent, now_s: float) -> None:
        """Processes an event of a link to an agent or another entry."""
        if isinstance(event, PeerUp):
            self._on_peer_up(event, now_s)
        elif isinstance(event, PeerDown):
            self._on_peer_down(event.peer, now_s)
        elif isinstance(event, MessageReceived):
            self._on_message(event.peer, event.message, now_s)

    def _on_peer_up(self, event: PeerUp, now_s: float) -> None:
        if event.role == "entry":
            self._entry_peers.add(event.peer)
            self._context.forwarder.on_peer_up(event.peer)
            return
        view = self._context.fleet.agents.get(event.peer)
        if view is None or view.incarnation != event.incarnation:
            self._on_agent_started(event, view, now_s)
        else:
            view.is_up = True
            view.is_lost = False
        self._context.dispatcher.reset_sent_backlog(event.peer)
        self._send_configuration(event.peer)
        self._ownership.on_agent_up(event.peer)
        self._update_agent_registrations()

    def _on_agent_started(
        self, event: PeerUp, view: AgentView | None, now_s: float
    ) -> None:
        if view is not None:
            self._context.fleet.on_agent_restarted(event.peer)
            self._on_agent_lost(event.peer, "agent_restarted", now_s)
        self._context.fleet.agents[event.peer] = AgentView(
            name=event.peer, incarnation=event.incarnation
        )

    def _update_agent_registrations(self) -> None:
        for view in self._context.fleet.agents.values():
            record = self._context.state.agents.get(view.name)
            view.is_registered = (
                record is not None and record.incarnation == view.incarnation
            )
        self._context.fleet.reindex()

    def _on_peer_down(self, peer: str, now_s: float) -> None:
        view = self._context.fleet.agents.get(peer)
        if view is not None:
            view.is_up = False
            view.down_since_s = now_s
            self._context.fleet.on_agent_down(peer)
        for target in self._context.forwarder.on_peer_down(peer):
            detail = f"the link to the job's owner {peer} failed; resubmit"
            self._context.answer(
                target, unavailable("owner_unreachable", detail, not_run=False)
            )

    def _on_message(self, peer: str, message: Message, now_s: float) -> None:
        match message:
            case ResultBatch():
                self._on_results(peer, message, now_s)
            case SlotGrant():
                self._context.fleet.on_grant(peer, message)
            case UpstreamAnnounced():
                self._context.fleet.on_announcement(peer, message.announcement)
            case UpstreamGone():
                self._context.fleet.on_upstream_gone(peer, message.upstream)
            case JobsRecovered():
                self._ownership.on_recovered(peer, message, now_s)
            case ForwardRequest():
                self._request_handler.on_forward(peer, message, now_s)
            case ForwardReply():
                target = self._context.forwarder.pop(message.request)
                if target is not None:
                    answer = Answer(
                        status=message.status,
                        body=message.body,
                        retry_after_s=message.retry_after_s,
                    )
                    self._context.answer(target, answer)
            case UsageReport():
                self._context.dispatcher.charge_elsewhere(message.usage)

    def _on_results(self, agent: str, batch: ResultBatch, now_s: float) -> None:
        for result in batch.results:
            job = self._context.job_table.jobs.get(result.job)
            outcome = self._context.outcomes.on_result(job, agent, result, now_s)
            if job is not None and outcome is not None:
                self._lifecycle.close(job, outcome.status, outcome.reason, now_s)

    def tick(
        self,
        now_s: float,
        *,
        time_s: float,
        has_quorum_contact: bool,
        dispatching_entry: str = "",
    ) -> None:
        """Advances time-dependent state to ``now_s`` and dispatches waiting tasks.

        Args:
            now_s: Current time.
            time_s: Wall-clock time.
            has_quorum_contact: Whether a quorum of the ledger was heard within the
                lease.
            dispatching_entry: Name of the entry that dispatches all new jobs. If it
                is empty, each entry dispatches the jobs that it receives.
        """
        self._context.dispatching_entry = dispatching_entry
        self._context.time_s = time_s
        self._context.has_quorum_contact = has_quorum_contact
        self._ownership.register_if_needed(now_s)
        self._register_agents(now_s)
        self._lifecycle.expire(now_s)
        self._expire_agents(now_s)
        self._ownership.finish_recoveries(now_s)
        self._lifecycle.begin_delayed_jobs(now_s)
        self._send_usage(now_s)
        self._context.job_table.drop_old(now_s, pinned=self._context.uncommitted_closes)
        self._lifecycle.flush_cancels(now_s)
        may_dispatch = has_quorum_contact and self._context.is_registered()
        if may_dispatch and not self._lifecycle.has_pending_cancels:
            self._dispatch(now_s)

    def _dispatch(self, now_s: float) -> None:
        dispatcher = self._context.dispatcher
        for agent, batch in dispatcher.dispatch(self._context.incarnation, now_s):
            self._record_dispatch(agent, batch.items, now_s)
            self._context.send(agent, batch)
        for agent, demand in dispatcher.demands(now_s):
            self._context.send(agent, demand)

    def _record_dispatch(
        self, agent: str, items: list[DispatchItem], now_s: float
    ) -> None:
        for item in items:
            job = self._context.job_table.jobs[item.job]
            detail = f"{len(item.tasks)} tasks to {item.upstream} by {agent}"
            job.timeline.add(now_s, "dispatched", detail)

    def _register_agents(self, now_s: float) -> None:
        """Proposes the incarnations of linked agents until the ledger has them.

        One proposal when the link comes up is not enough, because a late proposal of
        an isolated entry can register an old incarnation again.
        """
        for view in self._context.fleet.agents.values():
            is_due = now_s - view.proposed_at_s >= REGISTER_RETRY_INTERVAL_S
            if view.is_up and not view.is_registered and is_due:
                view.proposed_at_s = now_s
                command = RegisterAgent(name=view.name, incarnation=view.incarnation)
                self._context.propose(command)

    def _expire_agents(self, now_s: float) -> None:
        for view in self._context.fleet.agents.values():
            if view.is_up or view.is_lost:
                continue
            if now_s - view.down_since_s >= AGENT_LOST_TIMEOUT_S:
                view.is_lost = True
                self._context.drop_unacknowledged(view.name)
                self._on_agent_lost(view.name, "agent_lost", now_s)

    def _on_agent_lost(self, agent: str, reason: str, now_s: float) -> None:
        for job in self._context.job_table.open_jobs:
            outcome = self._context.outcomes.on_agent_lost(job, agent, reason, now_s)
            if outcome is not None:
                self._lifecycle.close(job, outcome.status, outcome.reason, now_s)

    def _send_usage(self, now_s: float) -> None:
        if now_s - self._usage_sent_at_s < USAGE_INTERVAL_S:
            return
        self._usage_sent_at_s = now_s
        usage = self._context.dispatcher.take_usage()
        if usage:
            for peer in sorted(self._entry_peers):
                self._context.send(peer, UsageReport(usage=usage), is_urgent=False)
