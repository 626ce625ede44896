"""FleetEntry: the curio tasks of one entry that finds its fleet by seeds."""

import collections.abc
import random
import secrets

import curio
import structlog
from hawthornbarrow.cells import (
    AttachWorker,
    BootstrapLedger,
    CellMessage,
    ConfigurationOutcome,
    ConfigurationReply,
    Directory,
    DispatcherHeartbeat,
    FleetMember,
    GetConfiguration,
    GetJobState,
    GrantClaim,
    HandoverComplete,
    JobAnswer,
    JobDocument,
    JobState,
    JobStateReply,
    KnownAgents,
    ProposeConfiguration,
    SubmitJob,
    Superseded,
    WithdrawJob,
    WorkerReport,
    rank_standbys,
)
from hawthornbarrow.clock import seconds_since, steady_s
from hawthornbarrow.ledger import Applied, LedgerFailed
from hawthornbarrow.links import (
    FLEET_LINK_TIMINGS,
    Dialer,
    LinkPort,
    Mailbox,
    MessageReceived,
    PeerDown,
    PeerHeartbeat,
    PeerUp,
    ReplicaPayload,
)
from hawthornbarrow.queues import (
    ConfigurationFormat,
    InvalidConfigurationError,
    Queue,
    QueueTable,
)

from hawthornbarrow_entry.fleet._intake import (
    CallerOutcome,
    Intake,
    Waiter,
)
from hawthornbarrow_entry.fleet._leadership import Leadership
from hawthornbarrow_entry.fleet._membership import Membership
from hawthornbarrow_entry.fleet._questions import NotSureError, Questions
from hawthornbarrow_entry.fleet._replica_keeper import ReplicaKeeper
from hawthornbarrow_entry.fleet._settings import FleetEntrySettings

ENTRY_ROLE = "entry"
AGENT_ROLE = "agent"
_TICK_S = 0.05
_SWEEP_S = 0.1
_ASK_AGAIN_S = 0.25
_HOUSEKEEPING_S = 0.5
_READ_LIMIT_S = 0.8
_OFFER_LIMIT_S = 0.9
_STATE_LIMIT_S = 0.8
_CAUTION = 2.5  # on a caller's estimate; it is often far off
_EXIT_MARGIN_S = 0.6
_LAST_ANSWERS_S = 0.2
STAYS_FOR_S = 2.6  # after the request to stop; a balancer may need so long to notice
TAKES_JOBS_FOR_S = 2.4  # after the request to stop; callers may still arrive so long

_log = structlog.get_logger()


class FleetEntry:
    """One entry: callers' jobs, a replica where there is a disk, maybe the dispatcher.

    Args:
        settings: Settings of the process.
        configuration_format: Format of the operators' configurations.
    """

    def __init__(
        self, *, settings: FleetEntrySettings, configuration_format: ConfigurationFormat
    ) -> None:
        """Makes the parts; `run` starts them."""
        self._settings = settings
        self._format = configuration_format
        self._mailbox = Mailbox()
        incarnation = secrets.randbits(62)
        self._generator = random.Random(incarnation)
        self._port = LinkPort(
            process=settings.name,
            role=ENTRY_ROLE,
            incarnation=incarnation,
            cluster_key=settings.cluster_key,
            mailbox=self._mailbox,
            timings=FLEET_LINK_TIMINGS,
        )
        self._replica = ReplicaKeeper(
            settings=settings,
            port=self._port,
            events=self._mailbox,
            generator=self._generator,
        )
        own = FleetMember(
            name=settings.name,
            address=settings.address,
            data_centre=settings.data_centre,
            replica=self._replica.identity,
        )
        self._membership = Membership(own=own, now_s=steady_s())
        self._intake = Intake()
        self._leadership = Leadership(
            settings=settings,
            replica=self._replica,
            port=self._port,
            send=self._send,
            now_s=steady_s(),
        )
        self._table: QueueTable | None = None
        self._roles: dict[str, str] = {}
        self._dialler = Dialer(port=self._port, own_address=settings.address)
        self._questions = Questions(send=self._send_question)
        self._events: dict[Waiter, curio.Event] = {}
        self._asked_at_s = -1e9
        self._asked_version = 0
        self._swept_at_s = -1e9
        self._kept_house_at_s = -1e9
        self._is_stopping = False
        self._is_ending = False
        self._stopping_at_s = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether new callers should come here."""
        return not self._is_stopping and self._is_serving(steady_s())

    @property
    def held_count(self) -> int:
        """Jobs that callers wait for here."""
        return self._intake.held_count

    @property
    def is_dispatching(self) -> bool:
        """Whether this entry is the dispatcher."""
        return self._leadership.dispatcher is not None

    @property
    def has_replica(self) -> bool:
        """Whether this entry's replica is open."""
        return self._replica.ledger is not None

    @property
    def is_voter(self) -> bool:
        """Whether this entry's replica counts towards a majority."""
        ledger = self._replica.ledger
        return ledger is not None and self._replica.identity in ledger.members.voters

    @property
    def counts(self) -> dict[str, int]:
        """Events since the start, by kind."""
        dispatcher = self._leadership.dispatcher
        return dict(dispatcher.counts) if dispatcher else {}

    @property
    def states(self) -> dict[str, int]:
        """Present values, by name."""
        dispatcher = self._leadership.dispatcher
        return {
            "held_jobs": self._intake.held_count,
            "term": self._intake.term,
            "configuration_version": self._table.version if self._table else 0,
            "dispatching": int(dispatcher is not None),
            "attached_workers": len(dispatcher.workers) if dispatcher else 0,
            "waiting_jobs": dispatcher.waiting_count if dispatcher else 0,
        }

    # --- what callers and operators ask ---------------------------------------

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue of a request.

        Raises:
            NotSureError: The configuration here may not be the one in force.
        """
        now_s = steady_s()
        if self._table is None or not self._is_serving(now_s):
            _log.info(
                "request_refused",
                path=path,
                reason="the configuration here may be out of date",
                version=self._table.version if self._table else 0,
                known_version=self._intake.version,
                information_age_s=round(self._intake.information_age_s(now_s), 3),
            )
            raise NotSureError("the configuration here may be out of date")
        return self._table.find(host, path)

    async def submit(
        self,
        document: JobDocument,
        *,
        limit_s: float,
        is_abandoned: collections.abc.Callable[[], bool],
    ) -> CallerOutcome:
        """Runs a job that need not be kept; returns once it has ended.

        Args:
            document: The job.
            limit_s: How long the caller waits.
            is_abandoned: Tells whether the caller has left.
        """
        now_s = steady_s()
        if self._is_stopping and not self._may_finish(document, now_s):
            _log.info("job_refused", job=document.job, reason="the entry is stopping")
            return CallerOutcome.refused("the entry is stopping")
        waiter = Waiter(give_up_at_s=now_s + limit_s, is_abandoned=is_abandoned)
        outcome = self._intake.submit(
            document, waiter, now_s, objective_s=self._objective_s(document)
        )
        if outcome is not None:
            return outcome
        event = curio.Event()
        self._events[waiter] = event
        try:
            await self._flush()
            await event.wait()
        finally:
            del self._events[waiter]
        assert waiter.outcome is not None
        return waiter.outcome

    def _objective_s(self, document: JobDocument) -> float:
        """Returns the time in which a job should end, zero without its queue."""
        queue = self._table.queues.get(document.queue) if self._table else None
        return queue.objective_for_s(document.longest_chain_s) if queue else 0.0

    def _may_finish(self, document: JobDocument, now_s: float) -> bool:
        """Tells whether a stopping entry still takes a job.

        Callers use open connections to the last, so short jobs are taken for as long
        as they should end before the process does.
        """
        if self._is_ending:
            return False
        if now_s - self._stopping_at_s <= TAKES_JOBS_FOR_S:
            return True
        ends_s = now_s + _CAUTION * document.longest_chain_s + _LAST_ANSWERS_S
        return ends_s < self._stopping_at_s + self._settings.grace_s - _EXIT_MARGIN_S

    async def job_state(self, job: str) -> JobState:
        """Returns what the dispatcher knows of a job.

        Raises:
            NotSureError: The dispatcher did not answer in time.
        """
        answer = await self._questions.ask(
            lambda number: GetJobState(number=number, job=job), _STATE_LIMIT_S
        )
        return answer.state

    async def withdraw(self, job: str) -> None:
        """Cancels a job."""
        self._intake.withdraw(job)
        await self._flush()

    def waiting(self, queue: Queue) -> int:
        """Returns the number of a queue's jobs that have not begun."""
        return self._intake.waiting(queue.name)

    async def offer_configuration(self, version: int, document: bytes) -> int:
        """Puts a configuration in force unless a higher version is.

        Returns:
            The version in force.

        Raises:
            InvalidConfigurationError: The document can not be put in force.
            NotSureError: It may or may not come into force.
        """
        self._format.decode(document)
        answer = await self._questions.ask(
            lambda number: ProposeConfiguration(
                number=number, version=version, document=document
            ),
            _OFFER_LIMIT_S,
        )
        _log.info("configuration_acknowledged", version=version, held=answer.version)
        return answer.version

    async def read_configuration(self) -> bytes:
        """Returns the newest configuration's document, empty for none.

        Raises:
            NotSureError: No leader could tell which one it is.
        """
        answer = await self._questions.ask(
            lambda number: GetConfiguration(number=number), _READ_LIMIT_S
        )
        return answer.document

    # --- tasks ----------------------------------------------------------------

    async def run(self) -> None:
        """Serves links, replica and decisions until cancelled."""
        _log.info(
            "entry_started",
            address=self._settings.address,
            replica=self._replica.identity,
            first_start=self._settings.is_first_start,
            seeds=",".join(self._settings.seeds),
            start_took_s=seconds_since(self._settings.started_at_s),
        )
        host, _, port = self._settings.address.rpartition(":")
        async with curio.TaskGroup(wait=any) as group:
            listen_host = self._settings.listen_host or host
            await group.spawn(self._port.listen, listen_host, int(port))
            await group.spawn(self._dialler.run)
            await group.spawn(self._replica.run)
            await group.spawn(self._serve)

    async def stop(self) -> None:
        """Prepares for the end: hands leadership on, takes no new callers."""
        self._is_stopping = True
        self._stopping_at_s = steady_s()
        _log.info("entry_stopping", held=self._intake.held_count)
        await self._replica.resign()

    async def drain(self, busy: collections.abc.Callable[[], int]) -> None:
        """Stops within the grace: callers leave first, then what waits is answered.

        Args:
            busy: Returns the number of requests that are being served.
        """
        await self.stop()
        until_s = self._stopping_at_s + self._settings.grace_s - _EXIT_MARGIN_S
        stays_until_s = self._stopping_at_s + STAYS_FOR_S
        while steady_s() < until_s and (steady_s() < stays_until_s or busy()):
            await curio.sleep(_TICK_S)
        self._is_ending = True
        self._intake.end_all("the entry stops", steady_s())
        await self._flush()
        await curio.sleep(_LAST_ANSWERS_S)

    def add_seeds(self, seeds: tuple[str, ...]) -> None:
        """Takes seeds from the settings, at the start or changed ones."""
        for address in seeds:
            self._dialler.add(address)

    async def _serve(self) -> None:
        self.add_seeds(self._settings.seeds)
        while True:
            items = await self._mailbox.drain(timeout_s=_TICK_S)
            now_s = steady_s()
            for item in items:
                await self._take(item, now_s)
            await self._leadership.tick(now_s, self._table, self._membership)
            if self._may_stand_by and self._leadership.is_leaderless(now_s):
                await self._leadership.claim(self._rank, now_s)
            if now_s - self._swept_at_s >= _SWEEP_S:
                self._swept_at_s = now_s
                self._intake.tick(now_s)
            if now_s - self._kept_house_at_s >= _HOUSEKEEPING_S:
                self._kept_house_at_s = now_s
                await self._keep_house(now_s)
            await self._flush()

    @property
    def _may_stand_by(self) -> bool:
        return self._table is not None and not self._is_stopping

    @property
    def _rank(self) -> int:
        """Position among the linked entries that may stand by."""
        ranked = rank_standbys(self._membership.alive)
        return [member.name for member in ranked].index(self._settings.name)

    async def _keep_house(self, now_s: float) -> None:
        self._membership.forget_silent(now_s)
        founders = self._replica.founders_to_announce(
            self._membership, self._intake.term, now_s
        )
        if founders:
            for member in self._membership.alive:
                await self._send(member.name, BootstrapLedger(voters=founders))
        await self._leadership.repair(self._membership, now_s)
        await self._leadership.strike_agents(now_s)

    # --- events ----------------------------------------------------------------

    async def _take(self, item: object, now_s: float) -> None:
        match item:
            case PeerUp():
                await self._take_peer_up(item, now_s)
            case PeerDown():
                self._take_peer_down(item, now_s)
            case PeerHeartbeat():
                self._leadership.heard(item.peer, now_s)
            case MessageReceived():
                self._leadership.heard(item.peer, now_s)
                await self._take_message(item.peer, item.message, now_s)
            case Applied():
                await self._leadership.take_applied(item, now_s)
            case LedgerFailed():
                _log.error("replica_lost", reason=item.reason)

    async def _take_peer_up(self, event: PeerUp, now_s: float) -> None:
        self._roles[event.peer] = event.role
        _log.info("peer_up", peer=event.peer, role=event.role)
        self._leadership.take_peer_up(event.peer)
        if event.role == ENTRY_ROLE:
            self._membership.note_link(event.peer, True, now_s)
        await self._send(event.peer, self._membership.directory())

    def _take_peer_down(self, event: PeerDown, now_s: float) -> None:
        role = self._roles.get(event.peer, "")
        _log.warning("peer_down", peer=event.peer, role=role)
        self._intake.lose_dispatcher(event.peer)
        if role == ENTRY_ROLE:
            self._membership.note_link(event.peer, False, now_s)

    async def _take_message(self, peer: str, message: object, now_s: float) -> None:
        match message:
            case ReplicaPayload():
                await self._replica.deliver(message)
            case DispatcherHeartbeat():
                await self._take_pulse(peer, message, now_s)
            case JobAnswer():
                self._intake.take_answer(message, now_s)
            case JobStateReply() | ConfigurationOutcome():
                await self._questions.take(message)
            case ConfigurationReply():
                self._take_configuration(message)
                await self._questions.take(message)
            case Directory():
                await self._take_directory(peer, message, now_s)
            case BootstrapLedger():
                await self._replica.found(message.voters)
            case AttachWorker() | WorkerReport() | SubmitJob() | WithdrawJob():
                await self._leadership.take_work(peer, message, now_s)
            case HandoverComplete() | KnownAgents() | GrantClaim() | Superseded():
                await self._leadership.take_work(peer, message, now_s)
            case GetJobState() | ProposeConfiguration() | GetConfiguration():
                await self._leadership.take_question(peer, message, now_s)

    async def _take_pulse(
        self, peer: str, pulse: DispatcherHeartbeat, now_s: float
    ) -> None:
        self._leadership.take_pulse(peer, pulse.term, now_s)
        if pulse.term < self._intake.term:
            await self._send(peer, Superseded(term=self._intake.term))
            return
        self._intake.take_pulse(peer, pulse, now_s)
        await self._pull_configuration(now_s)

    async def _take_directory(
        self, peer: str, directory: Directory, now_s: float
    ) -> None:
        for member in directory.members:
            self._port.record_peer_address(member.address, member.name)
        if not self._membership.take(peer, directory, now_s):
            return
        for member in self._membership.members.values():
            if self._settings.address < member.address:
                self._dialler.add(member.address)
        for name, role in self._roles.items():
            if self._port.is_up(name) and (role == AGENT_ROLE or name != peer):
                await self._send(name, self._membership.directory())

    # --- configuration ---------------------------------------------------------

    def _is_serving(self, now_s: float) -> bool:
        return (
            self._table is not None
            and self._intake.is_informed(now_s)
            and self._intake.tolerates(self._table.version, now_s)
        )

    async def _pull_configuration(self, now_s: float) -> None:
        held = self._table.version if self._table else 0
        is_due = now_s - self._asked_at_s >= _ASK_AGAIN_S
        is_news = self._intake.version > self._asked_version
        if self._intake.version > held and (is_due or is_news):
            self._asked_at_s = now_s
            self._asked_version = self._intake.version
            await self._send(self._intake.dispatcher, GetConfiguration(number=0))

    def _take_configuration(self, message: ConfigurationReply) -> None:
        held = self._table.version if self._table else 0
        if message.version <= held or not message.document:
            return
        try:
            self._table = self._format.decode(message.document)
        except InvalidConfigurationError as error:
            _log.error("configuration_unreadable", reason=str(error))
            return
        _log.info(
            "configuration_in_force",
            version=message.version,
            former=held,
            queues=len(self._table.queues),
        )

    # --- questions ---------------------------------------------------------------

    async def _send_question(self, question: CellMessage) -> bool:
        if not self._intake.dispatcher:
            return False
        await self._send(self._intake.dispatcher, question)
        await self._flush()
        return True

    async def _send(self, receiver: str, message: CellMessage) -> None:
        """Sends a message; one to this entry goes through its own mailbox."""
        if receiver == self._settings.name:
            await self._mailbox.post(MessageReceived(peer=receiver, message=message))
        elif receiver:
            self._port.send(receiver, message)

    async def _flush(self) -> None:
        for receiver, message in self._intake.take_messages():
            await self._send(receiver, message)
        for waiter in self._intake.take_finished():
            event = self._events.get(waiter)
            if event is not None:
                await event.set()
        await self._port.flush()
