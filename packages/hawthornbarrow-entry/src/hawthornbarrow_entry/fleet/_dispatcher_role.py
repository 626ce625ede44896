"""DispatcherRole: the dispatcher of an entry that has the authority to dispatch.

An entry dispatches while its replica leads the ledger, or as a standby while no replica
can lead.
"""

import collections.abc
import dataclasses
import math

import msgspec
import structlog
from hawthornbarrow.cells import (
    ENTRY_CONTACT_S,
    LOST_ENTRY_WINDOW_S,
    AttachWorker,
    CellMessage,
    ConfigurationOutcome,
    ConfigurationSender,
    Dispatcher,
    DispatcherHeartbeat,
    DispatchScope,
    EntryWatch,
    EvacuationOutcome,
    EvacuationState,
    EvacuationView,
    Followers,
    FollowingAgents,
    GetConfiguration,
    GetJobState,
    GrantClaim,
    HandoverComplete,
    JobStateReply,
    KnownAgents,
    KnownEvacuation,
    LoadFeature,
    ProposeConfiguration,
    ProposeEvacuation,
    RelayedMessage,
    RelayRoutes,
    ResubmissionBound,
    Standby,
    SubmitJob,
    Superseded,
    WithdrawJob,
    WorkerReport,
    is_standby_term,
    ledger_term_of,
)
from hawthornbarrow.clock import steady_s
from hawthornbarrow.ledger import (
    Applied,
    EvacuationRecord,
    PutConfiguration,
    SetEvacuation,
)
from hawthornbarrow.links import LinkPort
from hawthornbarrow.queues import QueueTable

from hawthornbarrow_entry.fleet._agent_registry import AgentRegistry
from hawthornbarrow_entry.fleet._membership import Membership
from hawthornbarrow_entry.fleet._replica_manager import ReplicaManager
from hawthornbarrow_entry.fleet._settings import FleetEntrySettings
from hawthornbarrow_entry.fleet._voter_repair import (
    AddVoter,
    DropLearner,
    ReplaceVoter,
    VoterRepair,
)

# A busy dispatcher ticks far more often, and a look costs time for each agent.
_SCOPE_INTERVAL_S = 0.05

_log = structlog.get_logger()

_Send = collections.abc.Callable[
    [str, CellMessage], collections.abc.Coroutine[None, None, None]
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _DispatchAuthority:
    """Authority of this entry to dispatch in a term.

    Attributes:
        term: Term of the dispatcher.
        agents: Agents that may have runs of a previous dispatcher.
        version: Version of the configuration in force.
        evacuation: Evacuated data centres.
    """

    term: int
    agents: collections.abc.Set[str]
    version: int
    evacuation: EvacuationState

    @property
    def is_standby(self) -> bool:
        """Whether the entry dispatches without leading the ledger."""
        return is_standby_term(self.term)


class DispatcherRole:
    """Dispatches and answers requests, only while no other entry can.

    Args:
        settings: Settings of the process.
        replica: Manages this entry's replica.
        port: Links of the process.
        send: Sends a message to any process, including this one.
        evacuation: State of the evacuations that this process knows.
        now_s: Current time.
    """

    def __init__(
        self,
        *,
        settings: FleetEntrySettings,
        replica: ReplicaManager,
        port: LinkPort,
        send: _Send,
        evacuation: EvacuationView,
        now_s: float,
    ) -> None:
        """Initializes the role without a dispatcher."""
        self._settings = settings
        self._replica = replica
        self._port = port
        self._send = send
        self._evacuation = evacuation
        self._dispatcher: Dispatcher | None = None
        self._standby = Standby(timing=settings.timing, now_s=now_s)
        self._started_at_s = now_s
        self._last_heartbeat_from = ""
        self._previous_dispatcher = ""
        self._handed_over_by: set[str] = set()
        self._entry_watch = EntryWatch(now_s=now_s)
        self._following_agents = FollowingAgents()
        self._following_entries = Followers(timeout_s=ENTRY_CONTACT_S)
        self._scope_updated_at_s = -math.inf
        self._processes: dict[str, int] = {}
        # Processes that were replaced, until their entries' jobs are looked at.
        self._replaced: set[str] = set()
        has_gap_waiting = LoadFeature.GAP_WAITING in settings.features
        self._resubmission_bound = ResubmissionBound(
            resend_s=settings.resend_s if has_gap_waiting else None
        )
        self._dispatching_since_s = now_s
        self._voter_repair = VoterRepair(
            tolerated_losses=settings.tolerated_losses,
            catch_up_s=settings.catch_up_s,
            now_s=now_s,
        )
        self._sent_agents: dict[str, frozenset[str]] = {}
        self._table: QueueTable | None = None
        self._configuration_sender = ConfigurationSender()
        self._pending_proposals: dict[int, tuple[str, int]] = {}
        self._heartbeat_sent_at_s = -1e9
        self._sent_version = -1
        self._sent_evacuation_revision = -1
        self._registry = AgentRegistry(
            timing=settings.timing, features=settings.features
        )
        self._relay_routes = RelayRoutes(timing=settings.timing)
        self._relayed_entries: set[str] = set()

    @property
    def dispatcher(self) -> Dispatcher | None:
        """The current dispatcher, kept while it may resume in its term, or None."""
        return self._dispatcher

    def on_frame(self, peer: str, confirmed_at_s: float, now_s: float) -> None:
        """Records that a frame arrived.

        Args:
            peer: Its sender.
            confirmed_at_s: When this process sent the newest frame that the sender is
                known to have received, or infinity when unknown.
            now_s: Current time.
        """
        contact_at_s = min(confirmed_at_s, now_s)
        self._standby.on_frame(peer, contact_at_s)
        self._following_agents.on_frame(peer, contact_at_s, now_s)
        if self._dispatcher is not None:
            self._dispatcher.on_frame(peer, now_s)

    async def on_relayed(
        self, relay: str, relayed: RelayedMessage, now_s: float, *, is_entry: bool
    ) -> None:
        """Processes a message of an agent or entry that another entry has forwarded.

        Args:
            relay: Entry that forwarded it.
            relayed: The message.
            now_s: Current time.
            is_entry: Whether its source is an entry.
        """
        source = relayed.source
        is_new = self._relay_routes.on_frame(source, relay, relayed.sent_at_s, now_s)
        if self._dispatcher is None or relay != self._relay_routes.relay_of(source):
            return
        if is_entry:
            self._relayed_entries.add(source)
            self._following_entries.on_frame(source, now_s, now_s)
        else:
            self.on_frame(source, now_s, now_s)
        if is_new and self._current_authority(now_s, self._table) is not None:
            await self._send_relayed_heartbeat(self._dispatcher, source, now_s)
        if is_entry:
            await self._on_relayed_entry_message(source, relayed.message, now_s)
            return
        if isinstance(relayed.message, AttachWorker):
            self._relay_routes.on_attach(source, is_relayed=True)
        if relayed.message is not None:
            await self._on_agent_message(source, relayed.message, now_s)

    async def _on_relayed_entry_message(
        self, entry: str, message: CellMessage | None, now_s: float
    ) -> None:
        """Processes a message of an entry, which gets its answers through its relay."""
        if message is None:
            return
        self._entry_watch.on_relayed_entry(now_s)
        self._relay_routes.on_attach(entry, is_relayed=True)
        if isinstance(message, SubmitJob | WithdrawJob):
            self._on_job_message(entry, message, now_s)
        else:
            await self._answer_request(entry, message, now_s)

    def on_heartbeat(
        self, peer: str, heartbeat: DispatcherHeartbeat, now_s: float
    ) -> None:
        """Processes a heartbeat of a dispatcher, at this entry or another."""
        self._standby.on_heartbeat(heartbeat.term, now_s)
        self._last_heartbeat_from = peer
        self._resubmission_bound.on_heartbeat(
            heartbeat.heard_at_s, heartbeat.entries_alive_s
        )

    def on_entry_frame(self, entry: str, confirmed_at_s: float, now_s: float) -> None:
        """Records which frame another entry is known to have received."""
        self._entry_watch.on_frame(entry, confirmed_at_s)
        if math.isfinite(confirmed_at_s):
            self._following_entries.on_frame(entry, confirmed_at_s, now_s)

    def on_entry_up(self, entry: str, *, is_restarted: bool, now_s: float) -> None:
        """Records a new link to another entry, after `on_peer_up`."""
        if entry in self._replaced and self._dispatcher is not None:
            self._dispatcher.on_entry_restarted(entry)
        self._replaced.clear()
        self._entry_watch.on_link_up(entry, is_restarted=is_restarted, now_s=now_s)

    def on_entry_down(self, entry: str, now_s: float) -> None:
        """Records that the link to another entry was lost."""
        self._entry_watch.on_link_down(entry, now_s)

    def on_peer_up(self, peer: str, *, is_restarted: bool, process: int = 0) -> None:
        """Processes a new link, to a process that may not know the agents yet."""
        self._sent_agents.pop(peer, None)
        if self._processes.get(peer, process) != process:
            self._on_process_replaced(peer)
        self._processes[peer] = process
        if is_restarted and self._dispatcher is not None:
            self._dispatcher.on_agent_restarted(peer, steady_s(), process=process)

    def _on_process_replaced(self, peer: str) -> None:
        """Forgets what a former process of an agent or entry promised or submitted."""
        self._standby.on_agent_restarted(peer)
        self._following_agents.on_restarted(peer)
        self._following_entries.forget(peer)
        # Its new process has not asked for what the former one proposed.
        self._pending_proposals = {
            number: proposal
            for number, proposal in self._pending_proposals.items()
            if proposal[0] != peer
        }
        self._replaced.add(peer)

    async def tick(
        self, now_s: float, table: QueueTable | None, membership: Membership
    ) -> None:
        """Starts or stops dispatching, sends heartbeats and the dispatcher's messages.

        Args:
            now_s: Current time.
            table: Configuration in force at this entry.
            membership: Entries that are or were alive.
        """
        self._observe_replica(now_s)
        authority = self._current_authority(now_s, table)
        if authority is None:
            self._suspend_dispatcher()
            return
        if self._dispatcher is None or self._dispatcher.term != authority.term:
            self._start_dispatcher(authority, now_s)
        assert self._dispatcher is not None
        if table is not None and table is not self._table:
            self._table = table
            self._dispatcher.set_table(table)
        self._put_evacuation_in_force(authority.evacuation, now_s)
        await self._attach_agents(authority, now_s)
        await self._send_heartbeats_if_due(authority, now_s)
        self._update_scope(self._dispatcher, authority, now_s)
        if self._dispatcher.is_recovering(now_s):
            self._check_handover(self._dispatcher, membership, now_s)
        self._dispatcher.tick(now_s)
        await self._send_dispatcher_messages()

    def _update_scope(
        self, dispatcher: Dispatcher, authority: _DispatchAuthority, now_s: float
    ) -> None:
        """Tells the dispatcher from time to time whether another one may be at work.

        It is told at once of agents and entries that begin to follow it, as jobs wait
        for them during a takeover.
        """
        if now_s - self._scope_updated_at_s < _SCOPE_INTERVAL_S:
            return
        self._scope_updated_at_s = now_s
        scope = self._following_agents.scope(
            authority.agents, now_s, is_standby=authority.is_standby
        )
        entries = self._following_entries.in_contact(now_s)
        dispatcher.set_scope(scope, entries | {self._settings.name})

    def _observe_replica(self, now_s: float) -> None:
        """Takes a newer state of the evacuations from this entry's replica."""
        ledger = self._replica.ledger
        if ledger is None:
            return
        record = ledger.state.evacuation
        if record.revision > self._evacuation.state.revision:
            self._evacuation.observe(_evacuation_state(record), now_s)

    def _put_evacuation_in_force(self, state: EvacuationState, now_s: float) -> None:
        dispatcher = self._dispatcher
        if dispatcher is None or dispatcher.evacuation.revision == state.revision:
            return
        withdrawn_at_s = self._evacuation.withdrawn_at_s(now_s)
        dispatcher.set_evacuation(state, withdrawn_at_s, now_s)

    def is_dispatcher_silent(self, now_s: float) -> bool:
        """Returns whether no heartbeat arrived for so long that a standby may claim."""
        return self._standby.is_dispatcher_silent(now_s)

    async def claim_agents(self, rank: int, now_s: float) -> None:
        """Sends a claim to the agents if this entry may take over as a standby.

        Args:
            rank: Position of this entry among those that may claim.
            now_s: Current time.
        """
        agents_up = self._port.peers_up("agent")
        claim = self._standby.claim_if_due(agents_up, rank, now_s)
        if claim is not None:
            for agent in self._standby.agents.intersection(agents_up):
                await self._send(agent, claim)

    def _current_authority(
        self, now_s: float, table: QueueTable | None
    ) -> _DispatchAuthority | None:
        """Returns the authority of this entry to dispatch, or None without any."""
        ledger = self._replica.ledger
        if ledger is not None and ledger.leads(now_s) and ledger.is_caught_up():
            current = self._dispatcher.term if self._dispatcher else 0
            return _DispatchAuthority(
                term=self._standby.leader_term(ledger.term, current),
                agents=ledger.state.agents.keys(),
                version=ledger.state.put.version,
                evacuation=_evacuation_state(ledger.state.evacuation),
            )
        if table is not None and self._standby.is_dispatching(now_s):
            return _DispatchAuthority(
                term=self._standby.term,
                agents=self._standby.agents,
                version=table.version,
                evacuation=self._evacuation.state,
            )
        return None

    async def on_message(self, peer: str, message: CellMessage, now_s: float) -> None:
        """Processes a message to the dispatcher or about the authority to dispatch."""
        match message:
            case KnownAgents():
                self._standby.on_known_agents(message.term, message.agents)
            case GrantClaim():
                self._standby.on_grant(peer, message.term, now_s)
            case Superseded():
                self._standby.on_superseded(message.term)
            case KnownEvacuation():
                state = EvacuationState(
                    revision=message.revision, data_centres=message.evacuated
                )
                self._evacuation.observe(state, now_s)
        if self._dispatcher is None:
            return
        match message:
            case AttachWorker() | WorkerReport():
                if isinstance(message, AttachWorker):
                    self._relay_routes.on_attach(peer, is_relayed=False)
                await self._on_agent_message(peer, message, now_s)
            case SubmitJob() | WithdrawJob():
                self._relay_routes.on_attach(peer, is_relayed=False)
                self._on_job_message(peer, message, now_s)
            case HandoverComplete() if message.term == self._dispatcher.term:
                self._handed_over_by.add(peer)
                self._following_entries.on_follow(peer, message.heartbeat_at_s, now_s)
                self._scope_updated_at_s = -math.inf

    def _on_job_message(
        self, entry: str, message: SubmitJob | WithdrawJob, now_s: float
    ) -> None:
        assert self._dispatcher is not None
        if isinstance(message, SubmitJob):
            self._dispatcher.submit(entry, message, now_s)
        else:
            self._dispatcher.withdraw(
                message.job, now_s, is_cancelled=message.is_cancelled
            )

    async def _on_agent_message(
        self, agent: str, message: CellMessage, now_s: float
    ) -> None:
        assert self._dispatcher is not None
        match message:
            case AttachWorker():
                self._standby.on_grant(agent, message.term, now_s)
                if message.term == self._dispatcher.term:
                    self._following_agents.on_attach(
                        agent, message.heartbeat_at_s, now_s
                    )
                    self._scope_updated_at_s = -math.inf
                self._registry.on_attach_request(agent, message, now_s)
            case WorkerReport():
                self._dispatcher.report(agent, message, now_s)
                worker = self._dispatcher.workers.get(agent)
                if worker is not None and worker.session == message.session:
                    self._following_agents.on_report(
                        agent, message.heartbeat_at_s, now_s
                    )
                if worker is not None:
                    self._registry.on_report(
                        agent, worker.record, is_leaving=worker.is_leaving
                    )

    def _check_handover(
        self, dispatcher: Dispatcher, membership: Membership, now_s: float
    ) -> None:
        """Completes the handover once no caller can resubmit a job unknown here.

        A caller resubmits at another entry when its entry is lost. The entry of the
        previous dispatcher does not count: it was lost together with its own callers,
        and the runs of their jobs expire before they resubmit. An entry that has just
        started does not know which entries were lost.
        """
        if dispatcher.is_handover_complete:
            return
        linked = {member.name for member in membership.alive}
        if linked <= self._handed_over_by:
            # Each of them has handed over its jobs. Others come from lost entries.
            dispatcher.record_new_before(self._resubmission_bound.new_before_s)
        if now_s - self._started_at_s < LOST_ENTRY_WINDOW_S:
            return
        previous = {self._previous_dispatcher}
        has_lost = membership.recently_lost(now_s, LOST_ENTRY_WINDOW_S) - previous
        missing = (
            membership.recently_alive(now_s, LOST_ENTRY_WINDOW_S)
            - previous
            - self._handed_over_by
        )
        if has_lost or missing:
            return
        _log.info(
            "all_offers_taken", term=dispatcher.term, former=self._previous_dispatcher
        )
        dispatcher.record_handover_complete()

    async def _send_known_agents(self, authority: _DispatchAuthority) -> None:
        """Sends the agents that the ledger lists to entries that do not know them."""
        peers = [*self._port.peers_up("entry"), self._settings.name]
        outdated = [
            peer for peer in peers if self._sent_agents.get(peer) != authority.agents
        ]
        if not outdated:
            return
        agents = frozenset(authority.agents)
        message = KnownAgents(term=authority.term, agents=tuple(sorted(agents)))
        for peer in outdated:
            self._sent_agents[peer] = agents
            await self._send(peer, message)

    async def _attach_agents(self, authority: _DispatchAuthority, now_s: float) -> None:
        """Attaches the agents that the ledger lists, and registers the others.

        A standby cannot register agents, so other agents get no work from it.
        """
        assert self._dispatcher is not None
        ledger = self._replica.ledger
        records = None
        if ledger is not None and not authority.is_standby:
            records = ledger.state.agents
        for agent, message in self._registry.take_attachable(
            authority.agents, now_s, records=records
        ):
            self._dispatcher.attach(agent, message, now_s)
            self._heartbeat_sent_at_s = -1e9
        if ledger is not None and records is not None:
            commands = self._registry.take_registrations(authority.agents)
            for command in commands + self._registry.directory.take_changes(records):
                await ledger.propose(command)

    def _heartbeat_for_agent(
        self, dispatcher: Dispatcher, agent: str, heard_at_s: float, now_s: float
    ) -> DispatcherHeartbeat:
        """Returns a heartbeat with the worker that the ledger lists, where needed."""
        known_worker = None
        ledger = self._replica.ledger
        if (
            ledger is not None
            and not is_standby_term(dispatcher.term)
            and dispatcher.awaits_first_attach(agent)
        ):
            record = ledger.state.agents.get(agent)
            known_worker = self._registry.directory.known_worker(record)
        return dispatcher.heartbeat_for_agent(
            agent, heard_at_s, known_worker, sent_at_s=now_s
        )

    async def retire_agents(self, now_s: float) -> None:
        """Retires agents from the ledger that can have no runs any more.

        An agent that a leader without a majority does not hear may work for a standby.
        """
        ledger = self._replica.ledger
        if ledger is None or self._dispatcher is None or not ledger.leads(now_s):
            return
        if self._dispatcher.scope is DispatchScope.PART:
            self._registry.restart_absences()
            return
        retirements = self._registry.take_retirements(
            ledger.state.agents, self._dispatcher.workers, now_s
        )
        for command in retirements:
            self._following_agents.on_retired(command.name, now_s)
            await ledger.propose_in_term(command, ledger_term_of(self._dispatcher.term))

    async def on_request(self, peer: str, message: CellMessage, now_s: float) -> None:
        """Replies to a request that only the dispatcher or the leader can answer."""
        if isinstance(message, GetJobState | GetConfiguration):
            self._relay_routes.on_attach(peer, is_relayed=False)
        await self._answer_request(peer, message, now_s)

    async def _answer_request(
        self, peer: str, message: CellMessage, now_s: float
    ) -> None:
        if isinstance(message, GetJobState):
            if (
                self._current_authority(now_s, self._table)
                and self._dispatcher is not None
            ):
                state = self._dispatcher.state_of(message.job)
                reply = JobStateReply(number=message.number, state=state)
                await self._send_on_path(peer, reply)
            return
        ledger = self._replica.ledger
        if ledger is None or not ledger.leads(now_s) or not ledger.is_caught_up():
            return
        put = ledger.state.put
        match message:
            case GetConfiguration():
                reply = self._configuration_sender.reply(
                    message, put.version, put.document
                )
                await self._send_on_path(peer, reply)
            case ProposeConfiguration():
                await self._on_proposal(peer, message)
            case ProposeEvacuation():
                command = SetEvacuation(
                    data_centre=message.data_centre,
                    is_evacuated=message.is_evacuated,
                    expected_revision=message.expected_revision,
                )
                number = await ledger.propose(command)
                self._pending_proposals[number] = (peer, message.number)

    def observe_membership(self, membership: Membership) -> None:
        """Takes into account of which versions the other entries are."""
        self._standby.set_needs_all_agents(membership.may_keep_jobs)

    async def repair_voters(self, membership: Membership, now_s: float) -> None:
        """Replaces lost voters and adds voters where there are too few."""
        ledger = self._replica.ledger
        if ledger is None:
            return
        replicas = {member.name: member.replica for member in membership.alive}
        # A leader that stops transfers its leadership, and the next one replaces it.
        stopping = {
            member.name
            for member in membership.alive
            if member.is_stopping and member.name != self._settings.name
        }
        self._voter_repair.observe(ledger.members, replicas, now_s, stopping=stopping)
        if not ledger.leads(now_s):
            return
        change = self._voter_repair.next_change(
            ledger.members, replicas, now_s, stopping=stopping
        )
        match change:
            case ReplaceVoter(old=old, new=new, is_stopping=is_stopping):
                await ledger.replace(old, new, is_stopping=is_stopping)
            case AddVoter(new=new):
                await ledger.add(new)
            case DropLearner():
                await ledger.drop_learner()

    async def on_applied(self, applied: Applied, now_s: float) -> None:
        """Replies to the entry whose proposal is now committed."""
        if isinstance(applied.command, SetEvacuation):
            self._on_evacuation_committed(applied, now_s)
        proposal = (
            self._pending_proposals.pop(applied.number, None)
            if applied.number
            else None
        )
        if proposal is None or applied.outcome is None:
            return
        peer, number = proposal
        if isinstance(applied.command, SetEvacuation):
            ledger = self._replica.ledger
            if ledger is None or not ledger.leads(now_s):
                # Another dispatcher may not have applied it yet; the entry asks again.
                return
            record = applied.outcome.evacuation
            reply = EvacuationOutcome(
                number=number,
                is_accepted=applied.outcome.accepted,
                revision=record.revision,
                evacuated=record.data_centres,
            )
            await self._send(peer, reply)
            return
        version = applied.outcome.version
        _log.info("configuration_committed", version=version, index=applied.index)
        await self._send(peer, ConfigurationOutcome(number=number, version=version))

    def _on_evacuation_committed(self, applied: Applied, now_s: float) -> None:
        """Puts a committed order in force here, before it is acknowledged."""
        ledger = self._replica.ledger
        if ledger is None or applied.outcome is None:
            return
        record = applied.outcome.evacuation
        _log.info(
            "evacuation_committed",
            data_centre=applied.command.data_centre,
            is_evacuated=applied.command.is_evacuated,
            is_accepted=applied.outcome.accepted,
            revision=record.revision,
            index=applied.index,
        )
        self._observe_replica(now_s)
        self._put_evacuation_in_force(_evacuation_state(ledger.state.evacuation), now_s)

    # Dispatching

    def _start_dispatcher(self, authority: _DispatchAuthority, now_s: float) -> None:
        self._dispatcher = Dispatcher(
            term=authority.term,
            timing=self._settings.timing,
            expected=authority.agents,
            now_s=now_s,
            has_lease_expired=authority.is_standby,
            features=self._settings.features,
            resend_s=self._resubmission_bound.resend_s,
        )
        self._following_agents.begin_term()
        self._following_entries.begin_term()
        self._scope_updated_at_s = -math.inf
        self._table = None
        self._dispatching_since_s = now_s
        is_own = self._last_heartbeat_from == self._settings.name
        self._previous_dispatcher = "" if is_own else self._last_heartbeat_from
        self._sent_agents.clear()
        self._handed_over_by.clear()
        self._relay_routes = RelayRoutes(timing=self._settings.timing)
        self._relayed_entries.clear()
        self._registry = AgentRegistry(
            timing=self._settings.timing, features=self._settings.features
        )
        self._heartbeat_sent_at_s = -1e9
        _log.info(
            "dispatcher_began",
            term=authority.term,
            standby=authority.is_standby,
            expected=",".join(sorted(authority.agents)),
        )

    def _suspend_dispatcher(self) -> None:
        """Discards the dispatcher, unless it may resume in the same term."""
        if self._dispatcher is None:
            return
        ledger = self._replica.ledger
        term = self._dispatcher.term
        may_resume = ledger is not None and ledger.term == ledger_term_of(term)
        if is_standby_term(term) or not may_resume:
            _log.warning("dispatcher_ended", term=term)
            self._dispatcher = None

    async def _on_proposal(self, peer: str, message: ProposeConfiguration) -> None:
        ledger = self._replica.ledger
        assert ledger is not None
        current_version = ledger.state.put.version
        if message.version <= current_version:
            outcome = ConfigurationOutcome(
                number=message.number, version=current_version
            )
            await self._send(peer, outcome)
            return
        number = await ledger.propose(
            PutConfiguration(version=message.version, document=message.document)
        )
        self._pending_proposals[number] = (peer, message.number)

    async def _send_heartbeats_if_due(
        self, authority: _DispatchAuthority, now_s: float
    ) -> None:
        assert self._dispatcher is not None
        version = authority.version
        revision = self._dispatcher.evacuation.revision
        is_new_version = (
            version != self._sent_version or revision != self._sent_evacuation_revision
        )
        is_due = (
            now_s - self._heartbeat_sent_at_s
            >= self._settings.timing.heartbeat_interval_s
        )
        if not is_new_version and not is_due:
            return
        self._heartbeat_sent_at_s = now_s
        self._sent_version = version
        self._sent_evacuation_revision = revision
        if not authority.is_standby:
            await self._send_known_agents(authority)
        for peer in self._port.peers_up("agent"):
            heard_at_s = self._port.peer_sent_at_s(peer)
            heartbeat = self._heartbeat_for_agent(
                self._dispatcher, peer, heard_at_s, now_s
            )
            await self._send(peer, heartbeat)
        for agent in self._relay_routes.agents(now_s):
            await self._send_relayed_heartbeat(self._dispatcher, agent, now_s)
        template = self._entry_heartbeat(self._dispatcher, now_s)
        for peer in [*self._port.peers_up("entry"), self._settings.name]:
            is_own = peer == self._settings.name
            heard_at_s = now_s if is_own else self._port.peer_sent_at_s(peer)
            heartbeat = msgspec.structs.replace(template, heard_at_s=heard_at_s)
            await self._send(peer, heartbeat)

    def _entry_heartbeat(
        self, dispatcher: Dispatcher, now_s: float
    ) -> DispatcherHeartbeat:
        """Returns a heartbeat for entries that lacks only when each one was heard."""
        heartbeat = dispatcher.heartbeat_for_entry(
            -math.inf,
            max(0, self._sent_version),
            dispatcher.count_waiting_by_queue(),
            dispatcher.queue_levels(now_s),
        )
        # Frames may have arrived since this tick began, of which the heartbeats tell.
        alive_age_s = self._entry_watch.alive_age_s(
            dispatching_since_s=self._dispatching_since_s, now_s=steady_s()
        )
        heartbeat = msgspec.structs.replace(heartbeat, sent_at_s=now_s)
        return self._complete_heartbeat(heartbeat, alive_age_s)

    def _complete_heartbeat(
        self, heartbeat: DispatcherHeartbeat, alive_age_s: float
    ) -> DispatcherHeartbeat:
        """Returns a heartbeat for an entry with what depends on the other entries.

        While callers of a lost entry may submit their jobs again, entries must not
        refuse jobs by levels: such a job may be running. Whether an entry was lost is
        not known while the age of the oldest proof is infinite.
        """
        if LoadFeature.GAP_WAITING in self._settings.features:
            heartbeat = msgspec.structs.replace(heartbeat, entries_alive_s=alive_age_s)
        if heartbeat.levels and not math.isfinite(alive_age_s):
            heartbeat = msgspec.structs.replace(heartbeat, levels=())
        return heartbeat

    async def _send_dispatcher_messages(self) -> None:
        assert self._dispatcher is not None
        for receiver, message in self._dispatcher.take_messages():
            await self._send_on_path(receiver, message)

    async def _send_on_path(self, receiver: str, message: CellMessage) -> None:
        """Sends a message directly, or through the receiver's relay if it uses one."""
        if self._relay_routes.is_attached(receiver):
            await self._send_relayed(receiver, message)
        else:
            await self._send(receiver, message)

    async def _send_relayed_heartbeat(
        self, dispatcher: Dispatcher, receiver: str, now_s: float
    ) -> None:
        heard_at_s = self._relay_routes.sent_at_s(receiver)
        if receiver in self._relayed_entries:
            template = self._entry_heartbeat(dispatcher, now_s)
            heartbeat = msgspec.structs.replace(template, heard_at_s=heard_at_s)
        else:
            heartbeat = self._heartbeat_for_agent(
                dispatcher, receiver, heard_at_s, now_s
            )
        await self._send_relayed(receiver, heartbeat)

    async def _send_relayed(self, receiver: str, message: CellMessage) -> None:
        """Sends a message through the receiver's relay, or drops it without one."""
        relay = self._relay_routes.relay_of(receiver)
        relayed = RelayedMessage(
            source=self._settings.name,
            target=receiver,
            sent_at_s=steady_s(),
            message=message,
        )
        await self._send(relay, relayed)


def _evacuation_state(record: EvacuationRecord) -> EvacuationState:
    return EvacuationState(revision=record.revision, data_centres=record.data_centres)
