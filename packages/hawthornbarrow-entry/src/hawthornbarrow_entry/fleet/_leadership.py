"""Leadership: what an entry does while its replica leads the ledger."""

import collections.abc

import structlog
from hawthornbarrow.cells import (
    AskConfiguration,
    AskJobState,
    AttachWorker,
    CellMessage,
    ConfigurationOutcome,
    Dispatcher,
    NewestConfiguration,
    OfferConfiguration,
    SubmitJob,
    TellJobState,
    WithdrawJob,
    WorkerReport,
)
from hawthornbarrow.ledger import (
    Applied,
    PutConfiguration,
    ReplicatedLedger,
)
from hawthornbarrow.links import LinkPort
from hawthornbarrow.queues import QueueTable

from hawthornbarrow_entry.fleet._agent_registry import AgentRegistry
from hawthornbarrow_entry.fleet._membership import Membership
from hawthornbarrow_entry.fleet._replica_keeper import ReplicaKeeper
from hawthornbarrow_entry.fleet._settings import FleetEntrySettings

REPLACED_AFTER_S = 6.0  # silence after which a voter's place goes to a spare disk

_log = structlog.get_logger()

_Send = collections.abc.Callable[
    [str, CellMessage], collections.abc.Coroutine[None, None, None]
]


class Leadership:
    """Dispatches and answers questions, only while no other replica can lead.

    Args:
        settings: Settings of the process.
        replica: This entry's replica.
        port: Links of the process.
        send: Sends a message to a process, this one included.
    """

    def __init__(
        self,
        *,
        settings: FleetEntrySettings,
        replica: ReplicaKeeper,
        port: LinkPort,
        send: _Send,
    ) -> None:
        """Starts as a follower."""
        self._settings = settings
        self._replica = replica
        self._port = port
        self._send = send
        self._dispatcher: Dispatcher | None = None
        self._table: QueueTable | None = None
        self._offers: dict[int, tuple[str, int]] = {}
        self._pulsed_at_s = -1e9
        self._pulsed_version = -1
        self._silent_since_s: dict[str, float] = {}
        self._registry = AgentRegistry(timing=settings.timing)

    @property
    def dispatcher(self) -> Dispatcher | None:
        """The dispatcher, while this entry leads."""
        return self._dispatcher

    def heard(self, peer: str, now_s: float) -> None:
        """Notes that a frame arrived."""
        if self._dispatcher is not None:
            self._dispatcher.heard(peer, now_s)

    async def tick(self, now_s: float, table: QueueTable | None) -> None:
        """Begins or ends to lead, pulses, and carries out the decisions.

        Args:
            now_s: Current time.
            table: Configuration in force at this entry.
        """
        ledger = self._replica.ledger
        if ledger is None or not ledger.leads(now_s) or not ledger.has_settled():
            self._pause()
            return
        if self._dispatcher is None or self._dispatcher.term != ledger.term:
            self._begin(ledger.term, set(ledger.state.agents), now_s)
        assert self._dispatcher is not None
        if table is not None and table is not self._table:
            self._table = table
            self._dispatcher.set_table(table)
        await self._attach_offered(ledger, now_s)
        await self._pulse_if_due(now_s)
        self._dispatcher.tick(now_s)
        await self._carry_out()

    async def take_work(self, peer: str, message: CellMessage, now_s: float) -> None:
        """Takes a message for the dispatcher."""
        if self._dispatcher is None:
            return
        match message:
            case AttachWorker():
                self._registry.offer(peer, message, now_s)
            case WorkerReport():
                self._dispatcher.report(peer, message, now_s)
            case SubmitJob():
                self._dispatcher.submit(peer, message, now_s)
            case WithdrawJob():
                self._dispatcher.withdraw(message.job, now_s)

    async def _attach_offered(self, ledger: ReplicatedLedger, now_s: float) -> None:
        """Attaches the agents that the ledger names, and has it name the others."""
        assert self._dispatcher is not None
        agents = ledger.state.agents
        for agent, message in self._registry.take_attachable(agents, now_s):
            self._dispatcher.attach(agent, message, now_s)
            self._pulsed_at_s = -1e9
        for command in self._registry.take_registrations(agents):
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
            await ledger.propose_in_term(command, self._dispatcher.term)

    async def take_question(
        self, peer: str, message: CellMessage, now_s: float
    ) -> None:
        """Answers a question that only a leader can answer."""
        ledger = self._replica.ledger
        if ledger is None or not ledger.leads(now_s) or not ledger.has_settled():
            return
        put = ledger.state.put
        match message:
            case AskConfiguration():
                answer = NewestConfiguration(
                    number=message.number, version=put.version, document=put.document
                )
                await self._send(peer, answer)
            case OfferConfiguration():
                await self._take_offer(peer, message)
            case AskJobState() if self._dispatcher is not None:
                state = self._dispatcher.state_of(message.job)
                await self._send(peer, TellJobState(number=message.number, state=state))

    async def take_applied(self, applied: Applied, now_s: float) -> None:
        """Takes a committed command."""
        offer = self._offers.pop(applied.number, None) if applied.number else None
        if offer is None or applied.outcome is None:
            return
        peer, number = offer
        version = applied.outcome.version
        _log.info("configuration_committed", version=version, index=applied.index)
        await self._send(peer, ConfigurationOutcome(number=number, version=version))

    async def repair(self, membership: Membership, now_s: float) -> None:
        """Replaces a voter whose disk is lost by one that is there."""
        ledger = self._replica.ledger
        if ledger is None or not ledger.leads(now_s):
            return
        members = ledger.members
        if members.learners or members.leaving:
            return
        replicas = {member.name: member.replica for member in membership.alive}
        voters = {voter.partition(".")[0] for voter in members.voters}
        for voter in members.voters:
            name = voter.partition(".")[0]
            present = replicas.get(name)
            if present == voter:
                self._silent_since_s.pop(voter, None)
                continue
            since_s = self._silent_since_s.setdefault(voter, now_s)
            successor = present
            if successor is None and now_s - since_s >= REPLACED_AFTER_S:
                spares = [
                    replica
                    for spare, replica in replicas.items()
                    if replica and spare not in voters
                ]
                successor = min(spares, default=None)
            if successor:
                _log.warning(
                    "replica_replaced",
                    old=voter,
                    new=successor,
                    silent_s=round(now_s - since_s, 1),
                )
                await ledger.replace(voter, successor)
                return

    # --- leading ---------------------------------------------------------------

    def _begin(
        self,
        term: int,
        known_workers: collections.abc.Collection[str],
        now_s: float,
    ) -> None:
        self._dispatcher = Dispatcher(
            term=term,
            timing=self._settings.timing,
            expected=known_workers,
            now_s=now_s,
        )
        self._table = None
        self._registry = AgentRegistry(timing=self._settings.timing)
        self._pulsed_at_s = -1e9
        _log.info(
            "dispatcher_began", term=term, expected=",".join(sorted(known_workers))
        )

    def _pause(self) -> None:
        ledger = self._replica.ledger
        if self._dispatcher is None or ledger is None:
            return
        if ledger.term != self._dispatcher.term:
            _log.warning("dispatcher_ended", term=self._dispatcher.term)
            self._dispatcher = None

    async def _take_offer(self, peer: str, message: OfferConfiguration) -> None:
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

    async def _pulse_if_due(self, now_s: float) -> None:
        assert self._dispatcher is not None and self._replica.ledger is not None
        version = self._replica.ledger.state.put.version
        has_news = version != self._pulsed_version
        is_due = now_s - self._pulsed_at_s >= self._settings.timing.pulse_s
        if not has_news and not is_due:
            return
        self._pulsed_at_s = now_s
        self._pulsed_version = version
        for peer in self._port.peers_up("agent"):
            heard_at_s = self._port.peer_sent_at_s(peer)
            await self._send(peer, self._dispatcher.pulse_for_agent(peer, heard_at_s))
        for peer in [*self._port.peers_up("entry"), self._settings.name]:
            is_own = peer == self._settings.name
            heard_at_s = now_s if is_own else self._port.peer_sent_at_s(peer)
            pulse = self._dispatcher.pulse_for_entry(heard_at_s, version)
            await self._send(peer, pulse)

    async def _carry_out(self) -> None:
        assert self._dispatcher is not None
        for receiver, message in self._dispatcher.take_messages():
            await self._send(receiver, message)
