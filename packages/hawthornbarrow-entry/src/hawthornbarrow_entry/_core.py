"""EntryCore: the sans-I/O decisions of one entry."""

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
from hawthornbarrow_entry._desk import JobDesk
from hawthornbarrow_entry._effects import Answer, EntryEffect, ReplyTarget
from hawthornbarrow_entry._fleet import AgentView, FleetView
from hawthornbarrow_entry._intake import Intake
from hawthornbarrow_entry._lifecycle import CANCEL_HOLD_S, JobLifecycle
from hawthornbarrow_entry._ownership import REGISTER_RETRY_S, Ownership

AGENT_LOST_S = 6.0
TICK_S = 0.05
USAGE_INTERVAL_S = 1.0


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

    Events go in by the methods; what there is to do comes out by `take_effects`.

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
        self._context = EntryContext(
            name=identity.name,
            incarnation=identity.incarnation,
            data_centre=identity.data_centre,
            state=state,
            generator=generator,
            order=order,
            placement=placement or LeastExpectedStart(),
        )
        self._lifecycle = JobLifecycle(context=self._context)
        self._ownership = Ownership(
            context=self._context, lifecycle=self._lifecycle, address=identity.address
        )
        self._intake = Intake(
            context=self._context,
            lifecycle=self._lifecycle,
            ownership=self._ownership,
        )
        self._usage_at_s = 0.0
        self._peers: set[str] = set()

    @property
    def name(self) -> str:
        """Name of the entry."""
        return self._context.name

    @property
    def configuration(self) -> Configuration:
        """The configuration in force here."""
        return self._context.configuration

    @property
    def version(self) -> int:
        """Version of the configuration in force here."""
        return self._context.version

    @property
    def time_s(self) -> float:
        """Wall-clock time of the last tick."""
        return self._context.time_s

    @property
    def desk(self) -> JobDesk:
        """The job records."""
        return self._context.desk

    @property
    def fleet(self) -> FleetView:
        """What is known of agents and upstreams."""
        return self._context.fleet

    @property
    def wasted(self) -> dict[str, int]:
        """Messages that did not help any job, by cause."""
        return self._context.outcomes.wasted

    @property
    def is_ready(self) -> bool:
        """Whether new jobs are taken."""
        return self._intake.refusal_of_new_work() is None

    @property
    def is_idle(self) -> bool:
        """Whether no job is open here and no forwarded request unanswered."""
        return not self.desk.open_jobs and not self._context.forwarder.is_busy

    def take_effects(self) -> list[EntryEffect]:
        """Returns what there is to do, and forgets it."""
        return self._context.take_effects()

    @property
    def next_due_s(self) -> float:
        """Longest time until the next tick."""
        return CANCEL_HOLD_S if self._lifecycle.holds_cancels else TICK_S

    def take_closed_jobs(self) -> list[Job]:
        """Returns the jobs closed since the last call."""
        closed = self._lifecycle.closed_jobs
        self._lifecycle.closed_jobs = []
        return closed

    def drain(self) -> None:
        """Takes no new jobs from here on."""
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
        """Takes a submission or resubmission; see `Intake.submit`."""
        self._intake.submit(
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
        """Answers with the state or the end of a job."""
        self._intake.fetch(target, member=member, key=key, now_s=now_s)

    def cancel(
        self, target: ReplyTarget, *, member: str, key: str, now_s: float
    ) -> None:
        """Closes a job as cancelled, unless it has ended before."""
        self._intake.cancel(target, member=member, key=key, now_s=now_s)

    def apply_configuration(self, command: ApplyConfiguration) -> None:
        """Proposes a configuration; the outcome comes with its Applied event."""
        self._context.propose(command)

    def on_applied(self, applied: Applied, now_s: float) -> None:
        """Takes a committed command, or an installed snapshot."""
        command = applied.command
        self._adopt_configuration()
        if command is None:
            self._on_agent_registered()
            for job in self._ownership.on_snapshot(now_s):
                self._intake.resume_cancels(job.member, job.key, now_s)
            return
        assert applied.outcome is not None
        if isinstance(command, Claim):
            self._ownership.on_claim(command, applied, now_s)
            self._intake.resume_cancels(command.member, command.key, now_s)
        elif isinstance(command, RegisterAgent):
            self._on_agent_registered()
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
        """Takes an event of a link to an agent or another entry."""
        if isinstance(event, PeerUp):
            self._peer_up(event, now_s)
        elif isinstance(event, PeerDown):
            self._peer_down(event.peer, now_s)
        elif isinstance(event, MessageReceived):
            self._receive(event.peer, event.message, now_s)

    def _peer_up(self, event: PeerUp, now_s: float) -> None:
        if event.role == "entry":
            self._peers.add(event.peer)
            self._context.forwarder.peer_up(event.peer)
            return
        view = self._context.fleet.agents.get(event.peer)
        if view is None or view.incarnation != event.incarnation:
            self._agent_joined(event, view, now_s)
        else:
            view.is_up = True
            view.is_lost = False
        self._context.dispatcher.forget_agent(event.peer)
        self._send_configuration(event.peer)
        self._ownership.greet_agent(event.peer)
        self._on_agent_registered()

    def _agent_joined(
        self, event: PeerUp, view: AgentView | None, now_s: float
    ) -> None:
        if view is not None:
            self._context.fleet.agent_restarted(event.peer)
            self._give_up_agent(event.peer, "agent_restarted", now_s)
        self._context.fleet.agents[event.peer] = AgentView(
            name=event.peer, incarnation=event.incarnation
        )

    def _on_agent_registered(self) -> None:
        for view in self._context.fleet.agents.values():
            record = self._context.state.agents.get(view.name)
            view.is_registered = (
                record is not None and record.incarnation == view.incarnation
            )
        self._context.fleet.reindex()

    def _peer_down(self, peer: str, now_s: float) -> None:
        view = self._context.fleet.agents.get(peer)
        if view is not None:
            view.is_up = False
            view.down_since_s = now_s
            self._context.fleet.agent_down(peer)
        for target in self._context.forwarder.peer_down(peer):
            detail = f"the link to the job's owner {peer} failed; resubmit"
            self._context.answer(
                target, unavailable("owner_unreachable", detail, not_run=False)
            )

    def _receive(self, peer: str, message: Message, now_s: float) -> None:
        match message:
            case ResultBatch():
                self._on_results(peer, message, now_s)
            case SlotGrant():
                self._context.fleet.grant(peer, message)
            case UpstreamAnnounced():
                self._context.fleet.announce(peer, message.announcement)
            case UpstreamGone():
                self._context.fleet.withdraw(peer, message.upstream)
            case JobsRecovered():
                self._ownership.on_recovered(peer, message, now_s)
            case ForwardRequest():
                self._intake.on_forward(peer, message, now_s)
            case ForwardReply():
                target = self._context.forwarder.take(message.request)
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
            job = self._context.desk.jobs.get(result.job)
            end = self._context.outcomes.take(job, agent, result, now_s)
            if job is not None and end is not None:
                self._lifecycle.close(job, end.status, end.reason, now_s)

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
        self._context.home = home
        self._context.time_s = time_s
        self._context.in_touch = in_touch
        self._ownership.register_if_needed(now_s)
        self._register_agents(now_s)
        self._lifecycle.expire(now_s)
        self._expire_agents(now_s)
        self._ownership.finish_recoveries(now_s)
        self._lifecycle.release_held(now_s)
        self._exchange_usage(now_s)
        self._context.desk.forget_old(now_s, pinned=self._context.closing)
        self._lifecycle.flush_cancels(now_s)
        may_dispatch = in_touch and self._context.is_registered()
        if may_dispatch and not self._lifecycle.holds_cancels:
            self._dispatch(now_s)

    def _dispatch(self, now_s: float) -> None:
        dispatcher = self._context.dispatcher
        for agent, batch in dispatcher.dispatch(self._context.incarnation, now_s):
            self._note_dispatch(agent, batch.items, now_s)
            self._context.send(agent, batch)
        for agent, demand in dispatcher.demands(now_s):
            self._context.send(agent, demand)

    def _note_dispatch(
        self, agent: str, items: list[DispatchItem], now_s: float
    ) -> None:
        for item in items:
            job = self._context.desk.jobs[item.job]
            detail = f"{len(item.tasks)} tasks to {item.upstream} by {agent}"
            job.timeline.add(now_s, "dispatched", detail)

    def _register_agents(self, now_s: float) -> None:
        """Proposes the linked agents' incarnations until the ledger has them.

        A late proposal of an isolated entry can put an old incarnation back, so one
        proposal when the link comes up is not enough.
        """
        for view in self._context.fleet.agents.values():
            is_due = now_s - view.proposed_at_s >= REGISTER_RETRY_S
            if view.is_up and not view.is_registered and is_due:
                view.proposed_at_s = now_s
                command = RegisterAgent(name=view.name, incarnation=view.incarnation)
                self._context.propose(command)

    def _expire_agents(self, now_s: float) -> None:
        for view in self._context.fleet.agents.values():
            if view.is_up or view.is_lost:
                continue
            if now_s - view.down_since_s >= AGENT_LOST_S:
                view.is_lost = True
                self._context.forget_peer(view.name)
                self._give_up_agent(view.name, "agent_lost", now_s)

    def _give_up_agent(self, agent: str, reason: str, now_s: float) -> None:
        for job in self._context.desk.open_jobs:
            end = self._context.outcomes.give_up_agent(job, agent, reason, now_s)
            if end is not None:
                self._lifecycle.close(job, end.status, end.reason, now_s)

    def _exchange_usage(self, now_s: float) -> None:
        if now_s - self._usage_at_s < USAGE_INTERVAL_S:
            return
        self._usage_at_s = now_s
        usage = self._context.dispatcher.take_usage()
        if usage:
            for peer in sorted(self._peers):
                self._context.send(peer, UsageReport(usage=usage), is_urgent=False)
