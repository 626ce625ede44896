"""FleetEntry: the curio tasks of one entry that discovers its fleet from seeds."""

import collections.abc
import random
import secrets

import curio
import msgspec
import structlog
from hawthornbarrow.cells import (
    AttachWorker,
    BootstrapLedger,
    CellMessage,
    ConfigurationOutcome,
    ConfigurationReply,
    Directory,
    DispatcherHeartbeat,
    EvacuationOutcome,
    EvacuationView,
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
    KnownEvacuation,
    LinkPlan,
    LoadFeature,
    ProposeConfiguration,
    ProposeEvacuation,
    RelayedMessage,
    SubmitJob,
    Superseded,
    WithdrawJob,
    WorkerReport,
    is_standby_term,
    rank_standbys,
)
from hawthornbarrow.clock import seconds_since, steady_s
from hawthornbarrow.ledger import Applied, LedgerFailed
from hawthornbarrow.links import (
    FAST_START_LINK_TIMINGS,
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
from hawthornbarrow.observability import EventGuard
from hawthornbarrow.queues import (
    ConfigurationFormat,
    Queue,
    QueueTable,
)

from hawthornbarrow_entry.fleet._caller_jobs import CallerJobs
from hawthornbarrow_entry.fleet._caller_outcome import CallerOutcome, Waiter
from hawthornbarrow_entry.fleet._dispatcher_link import (
    RELAYED_REPLIES,
    DispatcherLink,
)
from hawthornbarrow_entry.fleet._dispatcher_role import DispatcherRole
from hawthornbarrow_entry.fleet._entry_configuration import (
    READ_TIMEOUT_S,
    EntryConfiguration,
)
from hawthornbarrow_entry.fleet._evacuation_orders import EvacuationOrders
from hawthornbarrow_entry.fleet._founding import Founding
from hawthornbarrow_entry.fleet._gap_waits import (
    REFUSAL_MARGIN_S,
    CallerRequest,
    GapWaits,
)
from hawthornbarrow_entry.fleet._leader_requests import (
    LeaderRequests,
    LeaderUnavailableError,
)
from hawthornbarrow_entry.fleet._membership import Membership
from hawthornbarrow_entry.fleet._readiness import (
    ReachableEntries,
    Readiness,
    ServingState,
)
from hawthornbarrow_entry.fleet._relay_forwarding import RelayForwarding
from hawthornbarrow_entry.fleet._replica_manager import ReplicaManager
from hawthornbarrow_entry.fleet._request_gate import RequestGate
from hawthornbarrow_entry.fleet._settings import FleetEntrySettings

ENTRY_ROLE = "entry"
AGENT_ROLE = "agent"
_TICK_INTERVAL_S = 0.05
_IDLE_TICK_INTERVAL_S = 0.15  # heartbeats of the dispatcher wake the entry as often
_SWEEP_INTERVAL_S = 0.1
_MAINTENANCE_INTERVAL_S = 0.5
_PROPOSAL_TIMEOUT_S = 0.9
_JOB_STATE_TIMEOUT_S = 0.8
_CANCEL_TIMEOUT_S = 3.0  # longer than a takeover of the dispatcher
_CANCEL_RETRY_INTERVAL_S = 0.2
_ESTIMATE_SAFETY_FACTOR = 1.5  # on a caller's estimate, which is often inaccurate
_EXIT_MARGIN_S = 0.6
_FINAL_FLUSH_S = 0.2
STARTUP_WAIT_S = 1.0  # two election timeouts; without a leader by then, none is near
STARTUP_S = 3.0  # within which the other processes of a restarted deployment are back
MIN_DRAIN_S = 2.6  # after the request to stop; a balancer may take this long to notice
DRAIN_ACCEPT_S = 2.4  # after the request to stop; callers may still arrive until then

_log = structlog.get_logger()


class FleetEntry:
    """An entry, which may have a replica of the ledger and may be the dispatcher.

    Args:
        settings: Settings of the process.
        configuration_format: Format of the operators' configurations.
    """

    def __init__(
        self, *, settings: FleetEntrySettings, configuration_format: ConfigurationFormat
    ) -> None:
        """Creates the components, which `run` starts."""
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
            timings=(
                FAST_START_LINK_TIMINGS
                if LoadFeature.FAST_RESTART in settings.features
                else FLEET_LINK_TIMINGS
            ),
            machine=settings.machine,
        )
        self._replica = ReplicaManager(
            settings=settings,
            port=self._port,
            events=self._mailbox,
            generator=self._generator,
        )
        is_first_seed = settings.seeds[:1] == (settings.address,)
        self._founding = Founding(
            is_founder=settings.is_first_start and is_first_seed,
            tolerated_losses=settings.tolerated_losses,
        )
        own = FleetMember(
            name=settings.name,
            address=settings.address,
            data_centre=settings.data_centre,
            replica=self._replica.identity,
            is_relay=True,
            relays_entries=True,
            releases_jobs=True,
        )
        self._membership = Membership(own=own, now_s=steady_s())
        self._caller_jobs = CallerJobs(
            features=settings.features, data_centre=settings.data_centre
        )
        self._evacuation = EvacuationView()
        self._dispatcher_role = DispatcherRole(
            settings=settings,
            replica=self._replica,
            port=self._port,
            send=self._send,
            evacuation=self._evacuation,
            now_s=steady_s(),
        )
        self._dispatcher_link = DispatcherLink(
            entry=settings.name,
            port=self._port,
            timing=settings.timing,
            is_enabled=LoadFeature.ENTRY_RELAYS in settings.features,
            now_s=steady_s(),
        )
        self._forwarding = RelayForwarding(
            entry=settings.name,
            port=self._port,
            membership=self._membership,
            caller_jobs=self._caller_jobs,
            dispatcher_link=self._dispatcher_link,
        )
        self._configuration = EntryConfiguration(
            configuration_format=configuration_format
        )
        self._created_at_s = steady_s()
        self._waits_in_gaps = LoadFeature.GAP_WAITING in settings.features
        waits = GapWaits(
            is_enabled=self._waits_in_gaps,
            startup_until_s=self._created_at_s + STARTUP_WAIT_S,
        )
        self._gate = RequestGate(waits=waits)
        self._reachable = ReachableEntries(started_at_s=self._created_at_s)
        self._readiness = Readiness(
            waits_in_gaps=self._waits_in_gaps,
            reachable=self._reachable,
            is_first_start=settings.is_first_start,
        )
        self._roles: dict[str, str] = {}
        self._dialer = Dialer(port=self._port, own_address=settings.address)
        self._link_plan = LinkPlan(own=own)
        self._link_plan.set_members(self._membership.members)
        self._uninformed_roles: set[str] = set()
        self._leader_requests = LeaderRequests(
            send=self._send_now,
            dispatcher=lambda: self._caller_jobs.dispatcher,
            generator=self._generator,
        )
        self._evacuation_orders = EvacuationOrders(
            requests=self._leader_requests,
            view=self._evacuation,
            hears_leader=self._hears_leader,
        )
        self._outcome_events: dict[Waiter, curio.Event] = {}
        self._swept_at_s = -1e9
        self._maintained_at_s = -1e9
        self._events = EventGuard(handler=self._on_event)
        self._is_stopping = False
        self._is_closing = False
        self._stopping_at_s = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether new callers should be routed to this entry."""
        return not self._is_stopping and self._readiness.is_ready(
            self._serving_state(steady_s())
        )

    @property
    def max_body_bytes(self) -> int | None:
        """Size of a caller's body by the configuration in force, None if not said."""
        return self._table.max_body_bytes if self._table else None

    @property
    def job_count(self) -> int:
        """Number of jobs that callers of this entry wait for."""
        return self._caller_jobs.job_count

    @property
    def is_dispatching(self) -> bool:
        """Whether this entry is the dispatcher."""
        return self._dispatcher_role.dispatcher is not None

    @property
    def has_replica(self) -> bool:
        """Whether this entry's replica is open."""
        return self._replica.ledger is not None

    @property
    def is_voter(self) -> bool:
        """Whether this entry's replica is a voter."""
        ledger = self._replica.ledger
        return ledger is not None and self._replica.identity in ledger.members.voters

    @property
    def counts(self) -> dict[str, int]:
        """Number of events by kind: those of its term if this entry dispatches."""
        dispatcher = self._dispatcher_role.dispatcher
        counts = dict(dispatcher.counts) if dispatcher else {}
        return {
            **counts,
            **self._caller_jobs.counts,
            **self._gate.counts,
            "event_failed": self._events.failed_count,
        }

    @property
    def states(self) -> dict[str, int]:
        """Current values of the gauges, by name."""
        dispatcher = self._dispatcher_role.dispatcher
        return {
            "held_jobs": self._caller_jobs.job_count,
            "jobs_without_dispatcher": self._caller_jobs.held_count,
            "waiting_requests": self._gate.count,
            "term": self._caller_jobs.term,
            "configuration_version": self._configuration.version,
            "dispatching": int(dispatcher is not None),
            "evacuated_workers": dispatcher.evacuated_count if dispatcher else 0,
            "attached_workers": len(dispatcher.workers) if dispatcher else 0,
            "waiting_jobs": dispatcher.waiting_count if dispatcher else 0,
            **(dispatcher.gauges if dispatcher else {}),
        }

    @property
    def _table(self) -> QueueTable | None:
        return self._configuration.table

    # Requests of callers and operators

    async def find_queue(
        self, host: str, path: str, request: CallerRequest | None = None
    ) -> Queue | None:
        """Returns the queue of a request, or None when no queue matches.

        A request waits while this entry can not serve it, as GapWaits decides. After a
        restart of the whole deployment the configuration comes with the first
        dispatcher, a fraction of a second later, so most of the callers can still be
        served in time.

        Args:
            host: Host name in the request.
            path: Path of the request.
            request: How long the caller waits, or None when unknown.

        Raises:
            LeaderUnavailableError: This entry's configuration may be out of date.
        """
        now_s = steady_s()
        if not self._is_serving(now_s):
            if request is None:
                request = CallerRequest(
                    received_at_s=now_s, timeout_s=None, is_abandoned=lambda: False
                )
            queue = self._table.find(host, path) if self._table else None
            await self._gate.wait(
                request,
                now_s,
                has_configuration=self._table is not None,
                queue_timeout_s=queue.timeout_s if queue else None,
                held_count=self._caller_jobs.held_count,
            )
        now_s = steady_s()
        if self._table is None or not self._is_serving(now_s):
            _log.info(
                "request_refused",
                path=path,
                reason="the configuration here may be out of date",
                version=self._configuration.version,
                known_version=self._caller_jobs.version,
                information_age_s=round(self._caller_jobs.information_age_s(now_s), 3),
                waiting=self._gate.count,
            )
            raise LeaderUnavailableError("the configuration here may be out of date")
        return self._table.find(host, path)

    async def submit(
        self,
        document: JobDocument,
        *,
        received_at_s: float,
        timeout_s: float,
        is_abandoned: collections.abc.Callable[[], bool],
    ) -> CallerOutcome:
        """Runs a job that need not be stored and returns its outcome.

        Args:
            document: The job.
            received_at_s: When the entry received it.
            timeout_s: How long the caller waits, from then on.
            is_abandoned: Returns whether the caller has closed its connection.
        """
        now_s = steady_s()
        if self._is_stopping and not self._accepts_while_stopping(document, now_s):
            _log.info("job_refused", job=document.job, reason="the entry is stopping")
            return CallerOutcome.refused("the entry is stopping")
        waiter = Waiter(
            give_up_at_s=received_at_s + timeout_s, is_abandoned=is_abandoned
        )
        outcome = self._caller_jobs.submit(
            document,
            waiter,
            now_s,
            received_at_s=received_at_s,
            objective_s=self._objective_s(document),
        )
        if outcome is not None:
            return outcome
        event = curio.Event()
        self._outcome_events[waiter] = event
        try:
            await self._flush()
            await event.wait()
        finally:
            del self._outcome_events[waiter]
        assert waiter.outcome is not None
        return waiter.outcome

    def _objective_s(self, document: JobDocument) -> float:
        """Returns the time within which a job should end, zero for unknown queues."""
        queue = self._table.queues.get(document.queue) if self._table else None
        return queue.objective_for_s(document.longest_chain_s) if queue else 0.0

    def _accepts_while_stopping(self, document: JobDocument, now_s: float) -> bool:
        """Returns whether a stopping entry still accepts a job.

        Callers use open connections until they are closed, so short jobs are accepted
        as long as they should end before the process does.
        """
        if self._is_closing:
            return False
        if now_s - self._stopping_at_s <= DRAIN_ACCEPT_S:
            return True
        ends_at_s = (
            now_s + _ESTIMATE_SAFETY_FACTOR * document.longest_chain_s + _FINAL_FLUSH_S
        )
        return ends_at_s < self._stopping_at_s + self._settings.grace_s - _EXIT_MARGIN_S

    async def job_state(self, job: str) -> JobState:
        """Returns a job's state at the dispatcher.

        Raises:
            LeaderUnavailableError: No dispatcher is known or it did not reply in time.
        """
        answer = await self._leader_requests.request(
            lambda number: GetJobState(number=number, job=job), _JOB_STATE_TIMEOUT_S
        )
        return answer.state

    async def cancel(self, job: str, *, timeout_s: float | None = None) -> None:
        """Cancels a job; returns once the dispatcher has confirmed that.

        A job that the caller submitted at another entry is known only there and to the
        dispatcher. While one takes over, the cancel waits for it.

        Args:
            job: Id of the job.
            timeout_s: How long the caller waits, None if unknown.

        Raises:
            LeaderUnavailableError: No dispatcher has confirmed it in time. It is
                repeated to each new dispatcher all the same.
        """
        limit_s = _CANCEL_TIMEOUT_S
        if timeout_s is not None:
            limit_s = min(limit_s, timeout_s - REFUSAL_MARGIN_S)
        until_s = steady_s() + limit_s
        while True:
            self._caller_jobs.cancel(job, steady_s())
            await self._flush()
            if await self._is_gone(job):
                return
            if steady_s() + _CANCEL_RETRY_INTERVAL_S > until_s:
                raise LeaderUnavailableError("no dispatcher has confirmed the cancel")
            await curio.sleep(_CANCEL_RETRY_INTERVAL_S)

    async def _is_gone(self, job: str) -> bool:
        """Returns whether the dispatcher confirms that a cancelled job has ended."""
        try:
            answer = await self._leader_requests.request(
                lambda number: GetJobState(number=number, job=job),
                _CANCEL_RETRY_INTERVAL_S,
            )
        except LeaderUnavailableError:
            return False
        return self._caller_jobs.is_gone(answer.state, steady_s())

    def waiting_job_count(self, queue: Queue) -> int:
        """Returns the number of a queue's jobs that have not begun."""
        return self._caller_jobs.waiting_job_count(queue.name)

    async def propose_configuration(self, version: int, document: bytes) -> int:
        """Puts a configuration in force unless a version at least as high is.

        Returns:
            The version in force.

        Raises:
            InvalidConfigurationError: The document cannot be put in force.
            LeaderUnavailableError: It is unknown whether it comes into force.
        """
        self._format.decode(document)
        answer = await self._leader_requests.request(
            lambda number: ProposeConfiguration(
                number=number, version=version, document=document
            ),
            _PROPOSAL_TIMEOUT_S,
        )
        if answer.version < version:
            _log.warning("configuration_not_kept", version=version, held=answer.version)
            raise LeaderUnavailableError("the leader holds an older version")
        _log.info("configuration_acknowledged", version=version, held=answer.version)
        return answer.version

    async def read_configuration(self) -> bytes:
        """Returns the newest configuration's document, empty for none.

        Raises:
            LeaderUnavailableError: No leader answered in time.
        """
        asked_at_s = steady_s()
        answer = await self._leader_requests.request(
            lambda number: GetConfiguration(number=number, accepts_compressed=True),
            READ_TIMEOUT_S,
        )
        is_current = self._configuration.is_read_current(
            answer, self._caller_jobs.version, steady_s() - asked_at_s
        )
        if not is_current:
            raise LeaderUnavailableError("the leader's answer is out of date")
        return answer.document

    async def order_evacuation(
        self,
        data_centre: str,
        is_evacuated: bool,
        *,
        is_abandoned: collections.abc.Callable[[], bool],
    ) -> int:
        """Orders or withdraws the evacuation of a data centre.

        Args:
            data_centre: Name of the data centre.
            is_evacuated: Whether to evacuate it, or to withdraw the evacuation.
            is_abandoned: Returns whether the operator has closed the connection.

        Returns:
            Revision in which the order is in force at the dispatcher.

        Raises:
            InvalidEvacuationError: The name is not possible, or too many data centres
                are evacuated.
            LeaderUnavailableError: It is unknown whether the order takes effect.
        """
        return await self._evacuation_orders.order(
            data_centre, is_evacuated, is_abandoned
        )

    def _hears_leader(self) -> bool:
        is_informed = self._caller_jobs.is_informed(steady_s())
        return is_informed and not is_standby_term(self._caller_jobs.term)

    # Tasks

    async def run(self) -> None:
        """Runs the links, the replica and the message loop until cancelled."""
        _log.info(
            "entry_started",
            address=self._settings.address,
            replica=self._replica.identity,
            first_start=self._settings.is_first_start,
            seeds=",".join(self._settings.seeds),
            resend_s=self._settings.resend_s,
            start_took_s=seconds_since(self._settings.started_at_s),
        )
        host, _, port = self._settings.address.rpartition(":")
        async with curio.TaskGroup(wait=any) as group:
            listen_host = self._settings.listen_host or host
            await group.spawn(self._port.listen, listen_host, int(port))
            await group.spawn(self._dialer.run)
            await group.spawn(self._replica.run)
            await group.spawn(self._serve)

    async def stop(self) -> None:
        """Transfers leadership and makes the entry not ready for new callers."""
        self._is_stopping = True
        self._stopping_at_s = steady_s()
        _log.info("entry_stopping", held=self._caller_jobs.job_count)
        own = self._membership.alive[0]
        self._membership.set_own(msgspec.structs.replace(own, is_stopping=True))
        self._uninformed_roles.add(ENTRY_ROLE)
        await self._replica.resign()

    async def drain(self, active_requests: collections.abc.Callable[[], int]) -> None:
        """Stops within the grace period: lets callers leave, then answers the others.

        Args:
            active_requests: Returns the number of requests that are being served.
        """
        await self.stop()
        until_s = self._stopping_at_s + self._settings.grace_s - _EXIT_MARGIN_S
        drains_until_s = self._stopping_at_s + MIN_DRAIN_S
        while steady_s() < until_s and (
            steady_s() < drains_until_s or active_requests()
        ):
            await curio.sleep(_TICK_INTERVAL_S)
        self._is_closing = True
        self._caller_jobs.finish_all("the entry stops", steady_s())
        await self._gate.close()
        await self._flush()
        await curio.sleep(_FINAL_FLUSH_S)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Sets the seeds from the initial or reloaded settings."""
        self._link_plan.set_seeds(seeds)
        self._maintained_at_s = -1e9

    async def _serve(self) -> None:
        self.set_seeds(self._settings.seeds)
        await self._update_links(steady_s())
        while True:
            tick_s = _IDLE_TICK_INTERVAL_S if self._is_idle else _TICK_INTERVAL_S
            items = await self._mailbox.drain(timeout_s=tick_s)
            now_s = steady_s()
            for item in items:
                await self._events.handle(item, now_s)
            await self._dispatcher_role.tick(now_s, self._table, self._membership)
            if self._may_claim and self._dispatcher_role.is_dispatcher_silent(now_s):
                await self._dispatcher_role.claim_agents(self._standby_rank, now_s)
            if now_s - self._swept_at_s >= _SWEEP_INTERVAL_S:
                self._swept_at_s = now_s
                self._caller_jobs.tick(now_s)
                await self._gate.drop_abandoned()
                await self._send_directory(ENTRY_ROLE)
                if self._is_starting(now_s):
                    await self._send_directory(AGENT_ROLE)
            if now_s - self._maintained_at_s >= _MAINTENANCE_INTERVAL_S:
                self._maintained_at_s = now_s
                await self._run_maintenance(now_s)
            await self._ask_entries_if_silent(now_s)
            if self._dispatcher_link.is_probe_due(now_s):
                self._dispatcher_link.probe(self._forwarding.relays(), now_s)
            if self._gate.count and self._is_serving(now_s):
                await self._gate.release(now_s)
            await self._flush()

    @property
    def _is_idle(self) -> bool:
        """Whether nothing here is due within a tick; a replica may begin to lead."""
        has_callers = self.job_count or self._gate.count
        return not (self.has_replica or self.is_dispatching or has_callers)

    def _is_starting(self, now_s: float) -> bool:
        """Returns whether agents, which may know seeds only, are informed at once.

        Later that happens in maintenance, as their links to the dispatcher exist.
        """
        is_enabled = LoadFeature.FAST_RESTART in self._settings.features
        return is_enabled and now_s - self._created_at_s < STARTUP_S

    @property
    def _may_claim(self) -> bool:
        return self._table is not None and not self._is_stopping

    @property
    def _standby_rank(self) -> int:
        """Position among the linked entries in the order in which they claim."""
        ranked = rank_standbys(self._membership.alive)
        return [member.name for member in ranked].index(self._settings.name)

    async def _run_maintenance(self, now_s: float) -> None:
        self._membership.remove_silent(now_s)
        await self._update_links(now_s)
        await self._send_directory(AGENT_ROLE)
        voters = self._founding.voters_to_announce(
            self._membership, self._caller_jobs.term, now_s
        )
        if voters:
            for member in self._membership.alive:
                await self._send(member.name, BootstrapLedger(voters=voters))
        self._dispatcher_role.observe_membership(self._membership)
        await self._dispatcher_role.repair_voters(self._membership, now_s)
        await self._dispatcher_role.retire_agents(now_s)

    async def _update_links(self, now_s: float) -> None:
        """Dials the entries that the plan chooses, and closes links to others."""
        in_use = {self._caller_jobs.dispatcher}
        linked = set(self._port.peers_up(ENTRY_ROLE))
        addresses = self._link_plan.choose(
            linked, in_use, now_s, is_searching=not self._caller_jobs.term
        )
        await self._dialer.set_addresses(addresses)

    async def _ask_entries_if_silent(self, now_s: float) -> None:
        """Sends a message over the links to other entries when a gap begins."""
        if not self._waits_in_gaps:
            return
        dispatcher = self._caller_jobs.dispatcher
        asked = self._reachable.begin_gap_if_due(
            is_dispatcher_heard=self._caller_jobs.hears_dispatcher(now_s),
            linked=set(self._port.peers_up(ENTRY_ROLE)) - {dispatcher},
            now_s=now_s,
        )
        for entry in asked:
            own = self._membership.alive[:1]
            await self._send(entry, Directory(members=own))

    async def _send_directory(self, role: str) -> None:
        """Sends the directory to the processes of a role if it has changed."""
        if role not in self._uninformed_roles:
            return
        self._uninformed_roles.discard(role)
        directory = self._membership.directory()
        for peer in self._port.peers_up(role):
            await self._send(peer, directory)

    # Events

    async def _on_event(self, item: object, now_s: float) -> None:
        match item:
            case PeerUp():
                await self._on_peer_up(item, now_s)
            case PeerDown():
                self._on_peer_down(item, now_s)
            case PeerHeartbeat():
                self._dispatcher_role.on_frame(item.peer, item.confirmed_at_s, now_s)
                self._on_entry_frame(item.peer, item.confirmed_at_s, now_s)
            case MessageReceived():
                self._dispatcher_role.on_frame(item.peer, item.confirmed_at_s, now_s)
                self._on_entry_frame(item.peer, item.confirmed_at_s, now_s)
                await self._on_message(item.peer, item.message, now_s)
            case Applied():
                await self._dispatcher_role.on_applied(item, now_s)
            case LedgerFailed():
                _log.error("replica_lost", reason=item.reason)

    def _on_entry_frame(self, peer: str, confirmed_at_s: float, now_s: float) -> None:
        if self._roles.get(peer) == ENTRY_ROLE:
            self._reachable.on_frame(peer, confirmed_at_s)
            self._dispatcher_role.on_entry_frame(peer, confirmed_at_s, now_s)

    async def _on_peer_up(self, event: PeerUp, now_s: float) -> None:
        self._roles[event.peer] = event.role
        _log.info("peer_up", peer=event.peer, role=event.role)
        self._dispatcher_role.on_peer_up(
            event.peer, is_restarted=event.restarted, process=event.incarnation
        )
        if event.role == ENTRY_ROLE:
            self._membership.on_link_change(event.peer, True, now_s)
            self._reachable.on_link_up(event.peer, now_s)
            self._dispatcher_role.on_entry_up(
                event.peer, is_restarted=event.restarted, now_s=now_s
            )
            self._uninformed_roles.update((ENTRY_ROLE, AGENT_ROLE))
        await self._send(event.peer, self._membership.directory())

    def _on_peer_down(self, event: PeerDown, now_s: float) -> None:
        role = self._roles.get(event.peer, "")
        _log.warning("peer_down", peer=event.peer, role=role)
        if event.peer == self._caller_jobs.dispatcher and self._dispatcher_link.relay:
            # Its jobs were submitted again through the relay.
            self._port.drop_unacknowledged(event.peer)
        else:
            self._caller_jobs.on_link_down(event.peer)
        if role == ENTRY_ROLE:
            self._membership.on_link_change(event.peer, False, now_s)
            self._dispatcher_role.on_entry_down(event.peer, now_s)

    async def _on_message(self, peer: str, message: object, now_s: float) -> None:
        match message:
            case ReplicaPayload():
                await self._replica.deliver(message)
            case DispatcherHeartbeat():
                await self._on_heartbeat(peer, message, now_s)
            case JobAnswer():
                self._caller_jobs.on_answer(message, now_s)
            case JobStateReply() | ConfigurationOutcome() | EvacuationOutcome():
                await self._leader_requests.on_reply(peer, message)
            case ConfigurationReply():
                await self._on_configuration_reply(peer, message)
            case Directory():
                await self._on_directory(peer, message, now_s)
            case BootstrapLedger():
                await self._replica.bootstrap(message.voters)
            case AttachWorker() | WorkerReport() | SubmitJob() | WithdrawJob():
                await self._dispatcher_role.on_message(peer, message, now_s)
            case HandoverComplete() | KnownAgents() | GrantClaim() | Superseded():
                await self._dispatcher_role.on_message(peer, message, now_s)
            case KnownEvacuation():
                await self._dispatcher_role.on_message(peer, message, now_s)
            case RelayedMessage():
                await self._on_relayed(peer, message, now_s)
            case GetJobState() | ProposeConfiguration() | GetConfiguration():
                await self._dispatcher_role.on_request(peer, message, now_s)
            case ProposeEvacuation():
                await self._dispatcher_role.on_request(peer, message, now_s)

    async def _on_relayed(
        self, peer: str, relayed: RelayedMessage, now_s: float
    ) -> None:
        """Takes a forwarded message, or forwards one to or from the dispatcher."""
        if relayed.target == self._settings.name:
            if isinstance(relayed.message, RELAYED_REPLIES):
                await self._on_relayed_reply(peer, relayed, now_s)
                return
            is_entry = relayed.source in self._membership.members
            await self._dispatcher_role.on_relayed(
                peer, relayed, now_s, is_entry=is_entry
            )
            return
        target = self._forwarding.target_of(relayed, now_s)
        if target:
            await self._send(target, msgspec.structs.replace(relayed, target=target))

    async def _on_relayed_reply(
        self, relay: str, relayed: RelayedMessage, now_s: float
    ) -> None:
        """Takes a message that the dispatcher has sent through a relay."""
        if not self._forwarding.is_relayed_dispatcher(relayed.source):
            return
        if isinstance(relayed.message, DispatcherHeartbeat):
            await self._on_heartbeat(
                relayed.source, relayed.message, now_s, relay=relay
            )
        else:
            await self._on_message(relayed.source, relayed.message, now_s)

    async def _on_heartbeat(
        self,
        peer: str,
        heartbeat: DispatcherHeartbeat,
        now_s: float,
        *,
        relay: str = "",
    ) -> None:
        self._dispatcher_role.on_heartbeat(peer, heartbeat, now_s)
        information = self._evacuation.on_heartbeat(heartbeat, now_s)
        if information is not None:
            await self._send(peer, information)
        if heartbeat.term < self._caller_jobs.term:
            self._caller_jobs.on_heartbeat(peer, heartbeat, now_s)
            await self._send(peer, Superseded(term=self._caller_jobs.term))
            return
        has_new_path = self._dispatcher_link.on_heartbeat(relay, heartbeat, now_s)
        if not relay and LoadFeature.ENTRY_RELAYS in self._settings.features:
            self._port.acknowledge(peer)
        self._caller_jobs.on_heartbeat(peer, heartbeat, now_s)
        if has_new_path:
            self._caller_jobs.on_path_changed(now_s)
        if self._caller_jobs.hears_dispatcher(now_s):
            self._reachable.on_dispatcher_heard()
        await self._request_configuration_if_newer(now_s)

    async def _on_directory(
        self, peer: str, directory: Directory, now_s: float
    ) -> None:
        for member in directory.members:
            await self._port.record_peer_address(member.address, member.name)
        if self._membership.on_directory(peer, directory, now_s):
            self._uninformed_roles.update((ENTRY_ROLE, AGENT_ROLE))
            await self._update_links(now_s)

    # Configuration

    def _is_serving(self, now_s: float) -> bool:
        return (
            self._table is not None
            and self._caller_jobs.is_informed(now_s)
            and self._caller_jobs.accepts_version(self._table.version, now_s)
        )

    def _serving_state(self, now_s: float) -> ServingState:
        """Returns what decides on the readiness of this entry."""
        table = self._table
        is_current = table is not None and self._caller_jobs.accepts_version(
            table.version, now_s
        )
        without_dispatcher_s = min(
            self._caller_jobs.information_age_s(now_s), now_s - self._created_at_s
        )
        return ServingState(
            hears_dispatcher=self._caller_jobs.may_take_callers(now_s),
            has_configuration=table is not None,
            is_configuration_current=is_current,
            without_dispatcher_s=without_dispatcher_s,
            has_other_entries=self._has_other_entries,
        )

    @property
    def _has_other_entries(self) -> bool:
        seeds = set(self._settings.seeds) - {self._settings.address}
        return bool(seeds or self._membership.members)

    async def _request_configuration_if_newer(self, now_s: float) -> None:
        request = self._configuration.request_if_due(
            self._caller_jobs.version, self._caller_jobs.term, now_s
        )
        if request is not None:
            await self._send(self._caller_jobs.dispatcher, request)

    async def _on_configuration_reply(
        self, peer: str, message: ConfigurationReply
    ) -> None:
        reply = self._configuration.on_reply(peer, message)
        if reply is None:
            return
        await self._leader_requests.on_reply(peer, reply)
        await self._request_configuration_if_newer(steady_s())

    # Messages

    async def _send_now(self, receiver: str, message: CellMessage) -> None:
        await self._send(receiver, message)
        await self._flush()

    async def _send(self, receiver: str, message: CellMessage) -> None:
        """Sends a message; one to this entry itself goes through its own mailbox."""
        if receiver == self._settings.name:
            await self._mailbox.post(MessageReceived(peer=receiver, message=message))
        elif receiver and receiver == self._caller_jobs.dispatcher:
            self._dispatcher_link.send(receiver, message, steady_s())
        elif receiver:
            self._port.send(receiver, message)

    async def _flush(self) -> None:
        for receiver, message in self._caller_jobs.take_messages():
            await self._send(receiver, message)
        for waiter in self._caller_jobs.take_finished():
            event = self._outcome_events.get(waiter)
            if event is not None:
                await event.set()
        await self._port.flush()
