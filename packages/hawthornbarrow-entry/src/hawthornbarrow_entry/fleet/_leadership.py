"""Leadership: what an entry does while it dispatches.

It does so while its replica leads the ledger, or as a standby while no replica can.
"""

import collections.abc
import dataclasses

import structlog
from hawthornbarrow.cells import (
    AttachWorker,
    CellMessage,
    ConfigurationOutcome,
    ConfigurationReply,
    Dispatcher,
    GetConfiguration,
    GetJobState,
    GrantClaim,
    HandoverComplete,
    JobStateReply,
    KnownAgents,
    ProposeConfiguration,
    Standby,
    SubmitJob,
    Superseded,
    WithdrawJob,
    WorkerReport,
    is_standby_term,
    ledger_term_of,
)
from hawthornbarrow.ledger import (
    Applied,
    PutConfiguration,
)
from hawthornbarrow.links import LinkPort
from hawthornbarrow.queues import QueueTable

from hawthornbarrow_entry.fleet._agent_registry import AgentRegistry
from hawthornbarrow_entry.fleet._membership import Membership
from hawthornbarrow_entry.fleet._replica_keeper import ReplicaKeeper
from hawthornbarrow_entry.fleet._settings import FleetEntrySettings
from hawthornbarrow_entry.fleet._voter_repair import (
    AddVoter,
    DropLearner,
    ReplaceVoter,
    VoterRepair,
)

CALLERS_GONE_S = 12.0  # after which jobs of an entry that is gone have ended
_log = structlog.get_logger()

_Send = collections.abc.Callable[
    [str, CellMessage], collections.abc.Coroutine[None, None, None]
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Mandate:
    """Why this entry may dispatch.

    Attributes:
        term: Term of the dispatcher.
        agents: Agents that may hold work of an earlier one.
        version: Version of the configuration in force.
    """

    term: int
    agents: collections.abc.Set[str]
    version: int

    @property
    def is_standby(self) -> bool:
        """Whether it dispatches without leading the ledger."""
        return is_standby_term(self.term)


class Leadership:
    """Dispatches and answers questions, only while no other entry can.

    Args:
        settings: Settings of the process.
        replica: This entry's replica.
        port: Links of the process.
        send: Sends a message to a process, this one included.
        now_s: Current time.
    """

    def __init__(
        self,
        *,
        settings: FleetEntrySettings,
        replica: ReplicaKeeper,
        port: LinkPort,
        send: _Send,
        now_s: float,
    ) -> None:
        """Starts as a follower."""
        self._settings = settings
        self._replica = replica
        self._port = port
        self._send = send
        self._dispatcher: Dispatcher | None = None
        self._standby = Standby(timing=settings.timing, now_s=now_s)
        self._began_at_s = now_s
        self._last_dispatcher = ""
        self._former = ""
        self._offered_by: set[str] = set()
        self._voter_repair = VoterRepair(tolerated_losses=settings.tolerated_losses)
        self._told_agents: dict[str, frozenset[str]] = {}
        self._table: QueueTable | None = None
        self._offers: dict[int, tuple[str, int]] = {}
        self._pulsed_at_s = -1e9
        self._pulsed_version = -1
        self._registry = AgentRegistry(timing=settings.timing)

    @property
    def dispatcher(self) -> Dispatcher | None:
        """The dispatcher, while this entry leads."""
        return self._dispatcher

    def heard(self, peer: str, now_s: float) -> None:
        """Notes that a frame arrived."""
        self._standby.on_frame(peer, now_s)
        if self._dispatcher is not None:
            self._dispatcher.on_frame(peer, now_s)

    def take_pulse(self, peer: str, term: int, now_s: float) -> None:
        """Takes note of a dispatcher, this one or another."""
        self._standby.on_heartbeat(term, now_s)
        self._last_dispatcher = peer

    def take_peer_up(self, peer: str) -> None:
        """Takes note of a process that may have been told nothing yet."""
        self._told_agents.pop(peer, None)

    async def tick(
        self, now_s: float, table: QueueTable | None, membership: Membership
    ) -> None:
        """Begins or ends to lead, pulses, and carries out the decisions.

        Args:
            now_s: Current time.
            table: Configuration in force at this entry.
            membership: Entries that are and were alive.
        """
        mandate = self._mandate(now_s, table)
        if mandate is None:
            self._pause()
            return
        if self._dispatcher is None or self._dispatcher.term != mandate.term:
            self._begin(mandate, now_s)
        assert self._dispatcher is not None
        if table is not None and table is not self._table:
            self._table = table
            self._dispatcher.set_table(table)
        if not mandate.is_standby:
            await self._tell_agents(mandate)
        await self._attach_offered(mandate, now_s)
        await self._pulse_if_due(mandate, now_s)
        if self._dispatcher.is_recovering(now_s):
            self._note_offers(self._dispatcher, membership, now_s)
        self._dispatcher.tick(now_s)
        await self._carry_out()

    def is_leaderless(self, now_s: float) -> bool:
        """Tells whether nobody has dispatched for so long that a standby may."""
        return self._standby.is_leaderless(now_s)

    async def claim(self, rank: int, now_s: float) -> None:
        """Claims the agents when nobody else has dispatched for long.

        Args:
            rank: Position of this entry among those that may claim.
            now_s: Current time.
        """
        agents_up = self._port.peers_up("agent")
        claim = self._standby.claim_if_due(agents_up, rank, now_s)
        if claim is not None:
            for agent in self._standby.agents.intersection(agents_up):
                await self._send(agent, claim)

    def _mandate(self, now_s: float, table: QueueTable | None) -> _Mandate | None:
        ledger = self._replica.ledger
        if ledger is not None and ledger.leads(now_s) and ledger.is_caught_up():
            current = self._dispatcher.term if self._dispatcher else 0
            return _Mandate(
                term=self._standby.leader_term(ledger.term, current),
                agents=ledger.state.agents.keys(),
                version=ledger.state.put.version,
            )
        if table is not None and self._standby.is_dispatching(now_s):
            return _Mandate(
                term=self._standby.term,
                agents=self._standby.agents,
                version=table.version,
            )
        return None

    async def take_work(self, peer: str, message: CellMessage, now_s: float) -> None:
        """Takes a message for the dispatcher, or about who dispatches."""
        match message:
            case KnownAgents():
                self._standby.on_known_agents(message.term, message.agents)
            case GrantClaim():
                self._standby.on_grant(peer, message.term, now_s)
            case Superseded():
                self._standby.on_superseded(message.term)
        if self._dispatcher is None:
            return
        match message:
            case AttachWorker():
                self._standby.on_grant(peer, message.term, now_s)
                self._registry.offer(peer, message, now_s)
            case WorkerReport():
                self._dispatcher.report(peer, message, now_s)
            case SubmitJob():
                self._dispatcher.submit(peer, message, now_s)
            case WithdrawJob():
                self._dispatcher.withdraw(message.job, now_s)
            case HandoverComplete() if message.term == self._dispatcher.term:
                self._offered_by.add(peer)

    def _note_offers(
        self, dispatcher: Dispatcher, membership: Membership, now_s: float
    ) -> None:
        """Tells the dispatcher when no caller can come back with a job unknown to it.

        A caller comes back elsewhere when its entry is gone. The runs of the former
        dispatcher's own callers lapse before these do, as it was lost with them. An
        entry that has just started does not know who is gone.
        """
        if dispatcher.is_handover_complete or now_s - self._began_at_s < CALLERS_GONE_S:
            return
        former = {self._former}
        has_lost = membership.lost(now_s, CALLERS_GONE_S) - former
        missing = membership.recent(now_s, CALLERS_GONE_S) - former - self._offered_by
        if has_lost or missing:
            return
        _log.info("all_offers_taken", term=dispatcher.term, former=self._former)
        dispatcher.record_handover_complete()

    async def _tell_agents(self, mandate: _Mandate) -> None:
        """Tells the entries which agents the ledger names, when that changes."""
        peers = [*self._port.peers_up("entry"), self._settings.name]
        untold = [
            peer for peer in peers if self._told_agents.get(peer) != mandate.agents
        ]
        if not untold:
            return
        agents = frozenset(mandate.agents)
        message = KnownAgents(term=mandate.term, agents=tuple(sorted(agents)))
        for peer in untold:
            self._told_agents[peer] = agents
            await self._send(peer, message)

    async def _attach_offered(self, mandate: _Mandate, now_s: float) -> None:
        """Attaches the agents that the ledger names, and has it name the others.

        A standby can have nobody named, so others get no work from it.
        """
        assert self._dispatcher is not None
        for agent, message in self._registry.take_attachable(mandate.agents, now_s):
            self._dispatcher.attach(agent, message, now_s)
            self._pulsed_at_s = -1e9
        ledger = self._replica.ledger
        if ledger is not None and not mandate.is_standby:
            for command in self._registry.take_registrations(mandate.agents):
                await ledger.propose(command)

    async def strike_agents(self, now_s: float) -> None:
        """Strikes agents from the ledger that have lost their work for good."""
        ledger = self._replica.ledger
        if ledger is None or self._dispatcher is None or not ledger.leads(now_s):
            return
        strikes = self._registry.take_strikes(
            ledger.state.agents, self._dispatcher.workers, now_s
        )
        for command in strikes:
            await ledger.propose_in_term(command, ledger_term_of(self._dispatcher.term))

    async def take_question(
        self, peer: str, message: CellMessage, now_s: float
    ) -> None:
        """Answers a question that only a dispatcher or a leader can answer."""
        if isinstance(message, GetJobState):
            if self._mandate(now_s, self._table) and self._dispatcher is not None:
                state = self._dispatcher.state_of(message.job)
                await self._send(
                    peer, JobStateReply(number=message.number, state=state)
                )
            return
        ledger = self._replica.ledger
        if ledger is None or not ledger.leads(now_s) or not ledger.is_caught_up():
            return
        put = ledger.state.put
        match message:
            case GetConfiguration():
                answer = ConfigurationReply(
                    number=message.number, version=put.version, document=put.document
                )
                await self._send(peer, answer)
            case ProposeConfiguration():
                await self._take_offer(peer, message)

    async def repair(self, membership: Membership, now_s: float) -> None:
        """Replaces lost voters, and adds some where there are too few."""
        ledger = self._replica.ledger
        if ledger is None or not ledger.leads(now_s):
            return
        replicas = {member.name: member.replica for member in membership.alive}
        match self._voter_repair.next_change(ledger.members, replicas, now_s):
            case ReplaceVoter(old=old, new=new):
                await ledger.replace(old, new)
            case AddVoter(new=new):
                await ledger.add(new)
            case DropLearner():
                await ledger.drop_learner()

    async def take_applied(self, applied: Applied, now_s: float) -> None:
        """Takes a committed command."""
        offer = self._offers.pop(applied.number, None) if applied.number else None
        if offer is None or applied.outcome is None:
            return
        peer, number = offer
        version = applied.outcome.version
        _log.info("configuration_committed", version=version, index=applied.index)
        await self._send(peer, ConfigurationOutcome(number=number, version=version))

    # --- leading ---------------------------------------------------------------

    def _begin(self, mandate: _Mandate, now_s: float) -> None:
        self._dispatcher = Dispatcher(
            term=mandate.term,
            timing=self._settings.timing,
            expected=mandate.agents,
            now_s=now_s,
            has_lease_expired=mandate.is_standby,
        )
        self._table = None
        is_own = self._last_dispatcher == self._settings.name
        self._former = "" if is_own else self._last_dispatcher
        self._told_agents.clear()
        self._offered_by.clear()
        self._registry = AgentRegistry(timing=self._settings.timing)
        self._pulsed_at_s = -1e9
        _log.info(
            "dispatcher_began",
            term=mandate.term,
            standby=mandate.is_standby,
            expected=",".join(sorted(mandate.agents)),
        )

    def _pause(self) -> None:
        """Ends the dispatcher, unless the same one may lead again."""
        if self._dispatcher is None:
            return
        ledger = self._replica.ledger
        term = self._dispatcher.term
        may_return = ledger is not None and ledger.term == ledger_term_of(term)
        if is_standby_term(term) or not may_return:
            _log.warning("dispatcher_ended", term=term)
            self._dispatcher = None

    async def _take_offer(self, peer: str, message: ProposeConfiguration) -> None:
        ledger = self._replica.ledger
        assert ledger is not None
        held = ledger.state.put.version
        if message.version <= held:
            outcome = ConfigurationOutcome(number=message.number, version=held)
            await self._send(peer, outcome)
            return
        number = await ledger.propose(
            PutConfiguration(version=message.version, document=message.document)
        )
        self._offers[number] = (peer, message.number)

    async def _pulse_if_due(self, mandate: _Mandate, now_s: float) -> None:
        assert self._dispatcher is not None
        version = mandate.version
        has_news = version != self._pulsed_version
        is_due = now_s - self._pulsed_at_s >= self._settings.timing.heartbeat_interval_s
        if not has_news and not is_due:
            return
        self._pulsed_at_s = now_s
        self._pulsed_version = version
        for peer in self._port.peers_up("agent"):
            heard_at_s = self._port.peer_sent_at_s(peer)
            await self._send(
                peer, self._dispatcher.heartbeat_for_agent(peer, heard_at_s)
            )
        for peer in [*self._port.peers_up("entry"), self._settings.name]:
            is_own = peer == self._settings.name
            heard_at_s = now_s if is_own else self._port.peer_sent_at_s(peer)
            pulse = self._dispatcher.heartbeat_for_entry(heard_at_s, version)
            await self._send(peer, pulse)

    async def _carry_out(self) -> None:
        assert self._dispatcher is not None
        for receiver, message in self._dispatcher.take_messages():
            await self._send(receiver, message)
