"""FleetAgent: the curio tasks of an agent that supervises one upstream of its fleet."""

import abc
import dataclasses
import random
import secrets

import curio
import structlog
from hawthornbarrow.cells import (
    NO_FEATURES,
    CellMessage,
    ClaimAgents,
    Directory,
    DispatcherHeartbeat,
    FleetMember,
    LinkPlan,
    Listing,
    LoadFeature,
    RelayedMessage,
    RunLeaseTiming,
    RunSupervisor,
    StartCall,
    StartResponse,
    StartTasks,
    StopCall,
    StopTasks,
    WorkerRecord,
)
from hawthornbarrow.clock import seconds_since, steady_s
from hawthornbarrow.links import (
    FAST_START_LINK_TIMINGS,
    FLEET_LINK_TIMINGS,
    Dialer,
    LinkPort,
    Mailbox,
    MessageReceived,
    PeerDown,
    PeerUp,
)
from hawthornbarrow.observability import EventGuard
from hawthornbarrow.tasks import BackgroundTasks

_TICK_INTERVAL_S = 0.05
_IDLE_TICK_INTERVAL_S = 0.15  # without runs; heartbeats of the dispatcher wake it too
_LINK_CHECK_INTERVAL_S = 0.5
_POLL_INTERVAL_S = 0.1
_ATTACH_POLL_INTERVAL_S = 0.03  # while the attach request waits for a listing
_LISTING_WAIT_S = 0.25  # for which the upstream may delay a listing until a run ends
_AGENT_ROLE = "agent"

_log = structlog.get_logger()


class UpstreamGoneError(Exception):
    """Nothing listens at the upstream's address."""


class UpstreamSilentError(Exception):
    """The upstream gave no usable answer; it may have executed the call."""


class UpstreamBrokeOffError(UpstreamSilentError):
    """The upstream closed the connection instead of answering, perhaps as it ended."""


class UpstreamClient(abc.ABC):
    """Makes calls to the agent's upstream."""

    @abc.abstractmethod
    async def start(self, call: StartCall, lease_until_s: float) -> StartResponse:
        """Starts a run and returns the response, which may be that none arrived.

        Args:
            call: Run to start.
            lease_until_s: Time until which it may run unless it is renewed.
        """

    @abc.abstractmethod
    async def stop(self, call: StopCall) -> bool:
        """Stops a run and returns whether the upstream confirmed it."""

    @abc.abstractmethod
    async def renew_runs(
        self,
        upstream: str,
        term: int,
        acknowledged: int,
        lease_until_s: float | None,
        wait_s: float,
        born_ms: int = 0,
    ) -> Listing:
        """Renews the leases of all runs and returns a listing of them.

        Args:
            upstream: Id of the upstream.
            term: Fencing token.
            acknowledged: Number of the last ended run that is acknowledged and need
                not be listed.
            lease_until_s: Time until which the runs are renewed, or None to list them
                without renewing.
            wait_s: How long the upstream may wait for a run to end before it answers.
            born_ms: When its incarnation started, zero where upstreams do not say.
                The listing says which incarnation answered.

        Raises:
            UpstreamBrokeOffError: The upstream closed the connection instead of
                answering.
            UpstreamGoneError: Nothing listens at the upstream's address.
            UpstreamSilentError: The upstream gave no usable answer.
        """

    @abc.abstractmethod
    def set_address(self, address: str) -> None:
        """Sets the upstream's IP address and port."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetAgentSettings:
    """Settings of one agent.

    Attributes:
        name: Name of the agent, unique in the deployment.
        seeds: Link addresses of entries to contact first.
        timing: Durations of the leases.
        cluster_key: Secret shared by all processes of the deployment.
        started_at_s: When the process started, on the steady clock, or None when
            unknown.
        features: Optional features that the deployment has enabled.
        service: Service that the agent's upstream serves, empty if not known.
    """

    name: str
    seeds: tuple[str, ...]
    timing: RunLeaseTiming
    cluster_key: bytes
    started_at_s: float | None = None
    features: frozenset[LoadFeature] = NO_FEATURES
    service: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _RunsListed:
    listing: Listing


@dataclasses.dataclass(frozen=True, kw_only=True)
class _UpstreamGone:
    upstream: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _StartAnswered:
    call: StartCall
    response: StartResponse


@dataclasses.dataclass(frozen=True, kw_only=True)
class _StopAnswered:
    call: StopCall
    is_confirmed: bool


class FleetAgent:
    """An agent that supervises one upstream.

    Args:
        settings: Settings of the process.
        client: Makes calls to the upstream.
    """

    def __init__(self, *, settings: FleetAgentSettings, client: UpstreamClient) -> None:
        """Creates the components, which `run` starts."""
        self._settings = settings
        self._client = client
        self._mailbox = Mailbox()
        incarnation = secrets.randbits(62)
        self._port = LinkPort(
            process=settings.name,
            role=_AGENT_ROLE,
            incarnation=incarnation,
            cluster_key=settings.cluster_key,
            mailbox=self._mailbox,
            timings=(
                FAST_START_LINK_TIMINGS
                if LoadFeature.FAST_RESTART in settings.features
                else FLEET_LINK_TIMINGS
            ),
        )
        self._supervisor = RunSupervisor(
            timing=settings.timing,
            generator=random.Random(incarnation),
            now_s=steady_s(),
            features=settings.features,
            process=incarnation,
            service=settings.service,
        )
        self._dialer = Dialer(port=self._port)
        self._link_plan = LinkPlan()
        self._members: dict[str, FleetMember] = {}
        self._links_checked_at_s = -1e9
        self._relays: set[str] = set()
        self._calls: curio.Queue = curio.Queue()
        self._events = EventGuard(handler=self._on_event)

    @property
    def counts(self) -> dict[str, int]:
        """Number of events since the start, by kind."""
        return {
            **self._supervisor.counts,
            "event_failed": self._events.failed_count,
        }

    @property
    def states(self) -> dict[str, int]:
        """Current values of the gauges, by name."""
        return {
            "held_runs": self._supervisor.run_count,
            "attached": int(self._supervisor.is_attached),
            "term": self._supervisor.term,
        }

    def announce(
        self,
        worker: WorkerRecord,
        address: str,
        is_leaving: bool,
        remaining_s: float | None = None,
    ) -> bool:
        """Processes an announcement of the upstream.

        Args:
            worker: The upstream.
            address: Its IP address and port.
            is_leaving: Whether it accepts no new tasks.
            remaining_s: Minimum time until a leaving upstream ends, None if unknown.

        Returns:
            Whether it is not an announcement of a former incarnation.
        """
        may_run = self._supervisor.announce(
            worker, is_leaving, steady_s(), remaining_s=remaining_s, address=address
        )
        self._update_address()
        return may_run

    def withdraw(self, upstream: str) -> None:
        """Processes the departure of the upstream, given by its incarnation."""
        self._supervisor.withdraw(upstream, steady_s())

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Sets the seeds from the initial or reloaded settings."""
        self._link_plan.set_seeds(seeds)
        self._links_checked_at_s = -1e9

    async def run(self) -> None:
        """Runs the agent until cancelled."""
        _log.info(
            "agent_started",
            seeds=",".join(self._settings.seeds),
            start_took_s=seconds_since(self._settings.started_at_s),
        )
        self.set_seeds(self._settings.seeds)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._dialer.run)
            await group.spawn(self._renew_runs)
            await group.spawn(self._make_calls)
            await group.spawn(self._serve)

    async def stop(self) -> None:
        """Logs that the agent is stopping; its upstream's runs end with their lease."""
        _log.info("agent_stopping", held=self._supervisor.run_count)

    async def _serve(self) -> None:
        await self._update_links(steady_s())
        while True:
            has_runs = self._supervisor.run_count
            tick_s = _TICK_INTERVAL_S if has_runs else _IDLE_TICK_INTERVAL_S
            items = await self._mailbox.drain(timeout_s=tick_s)
            now_s = steady_s()
            for item in items:
                await self._events.handle(item, now_s)
            if now_s - self._links_checked_at_s >= _LINK_CHECK_INTERVAL_S:
                await self._update_links(now_s)
            self._supervisor.tick(now_s)
            for call in self._supervisor.take_calls():
                await self._calls.put(call)
            for receiver, message in self._supervisor.take_messages():
                self._send(receiver, message, now_s)
            if self._supervisor.is_probe_due(now_s):
                self._send_probes(now_s)
            await self._port.flush()

    async def _update_links(self, now_s: float) -> None:
        """Dials the entries that the plan chooses, and closes links to others."""
        self._links_checked_at_s = now_s
        in_use = {self._supervisor.dispatcher, self._supervisor.relay}
        linked = set(self._port.peers_up("entry"))
        addresses = self._link_plan.choose(
            linked, in_use, now_s, is_searching=not self._supervisor.term
        )
        await self._dialer.set_addresses(addresses)

    def _send(self, receiver: str, message: CellMessage, now_s: float) -> None:
        """Sends a message, through the relay if it is for the dispatcher."""
        relay = self._supervisor.relay
        if relay and receiver == self._supervisor.dispatcher:
            self._port.send(relay, self._relayed(message, now_s))
        else:
            self._port.send(receiver, message)

    def _send_probes(self, now_s: float) -> None:
        """Shows the dispatcher that this agent runs, through all relays."""
        for entry in self._port.peers_up("entry"):
            if entry in self._relays:
                self._port.send(entry, self._relayed(None, now_s))

    def _relayed(self, message: CellMessage | None, now_s: float) -> RelayedMessage:
        return RelayedMessage(
            source=self._settings.name, target="", sent_at_s=now_s, message=message
        )

    async def _on_event(self, item: object, now_s: float) -> None:
        match item:
            case PeerUp():
                _log.info("peer_up", peer=item.peer)
            case PeerDown():
                _log.warning("peer_down", peer=item.peer)
                self._supervisor.on_link_down(item.peer)
                self._links_checked_at_s = -1e9
            case MessageReceived():
                await self._on_message(item.peer, item.message, now_s)
            case _RunsListed():
                self._supervisor.on_listing(item.listing, now_s)
                self._update_address()
            case _UpstreamGone():
                self._supervisor.on_upstream_gone(item.upstream, now_s)
            case _StartAnswered():
                self._supervisor.on_start_response(item.call, item.response, now_s)
            case _StopAnswered():
                self._supervisor.on_stop_response(item.call, item.is_confirmed, now_s)

    async def _on_message(self, peer: str, message: object, now_s: float) -> None:
        match message:
            case DispatcherHeartbeat():
                self._supervisor.on_heartbeat(peer, message, now_s)
                self._port.acknowledge(peer)
            case RelayedMessage():
                self._on_relayed(peer, message, now_s)
            case ClaimAgents():
                self._supervisor.on_claim(peer, message, now_s)
            case StartTasks() | StopTasks():
                self._supervisor.on_orders(message, now_s)
            case Directory():
                await self._on_directory(peer, message)

    async def _on_directory(self, peer: str, directory: Directory) -> None:
        """Learns of entries; what one says of itself goes before what others say."""
        for member in directory.members:
            await self._port.record_peer_address(member.address, member.name)
            if member.is_relay:
                self._relays.add(member.name)
            if member.name == peer or member.name not in self._members:
                self._members[member.name] = member
        self._link_plan.set_members(self._members)
        self._links_checked_at_s = -1e9

    def _on_relayed(self, relay: str, relayed: RelayedMessage, now_s: float) -> None:
        match relayed.message:
            case DispatcherHeartbeat() as heartbeat:
                self._supervisor.on_heartbeat(
                    relayed.source, heartbeat, now_s, relay=relay
                )
                if relay == self._supervisor.relay:
                    self._port.send(relay, self._relayed(None, now_s))
            case StartTasks() | StopTasks() as orders:
                self._supervisor.on_orders(orders, now_s)

    # Upstream

    async def _renew_runs(self) -> None:
        """Renews the leases of runs and receives their ends as they occur.

        A call that is overdue stays open, as its response may still bring ends, and the
        next one is made at once on another connection. It lists the runs without
        waiting for an end.
        """
        async with BackgroundTasks() as tasks:
            while True:
                now_s = steady_s()
                may_renew = self._supervisor.may_renew(now_s)
                if not may_renew and not self._supervisor.may_poll(now_s):
                    await curio.sleep(self._poll_interval_s)
                    continue
                contact = self._supervisor.contact
                is_patient = may_renew and not contact.overdue_count
                wait_s = _LISTING_WAIT_S if is_patient else 0.0
                is_idle = not self._supervisor.run_count
                call = await tasks.spawn(self._renew_once, may_renew, wait_s)
                overdue_after_s = wait_s + contact.overdue_after_s
                await curio.ignore_after(overdue_after_s, call.wait)
                is_listed = call.terminated and call.result
                if not is_listed:
                    contact.on_listing_overdue()
                if call.terminated and (is_idle or not may_renew or not is_listed):
                    await curio.sleep(self._poll_interval_s)

    @property
    def _poll_interval_s(self) -> float:
        """Time between two listings that the upstream does not delay."""
        has_directory = LoadFeature.UPSTREAM_DIRECTORY in self._settings.features
        if not has_directory or self._supervisor.is_attached:
            return _POLL_INTERVAL_S
        if self._supervisor.contact.overdue_count:
            return _POLL_INTERVAL_S
        if self._supervisor.awaits_clean_listing or not self._supervisor.term:
            return _ATTACH_POLL_INTERVAL_S
        return _POLL_INTERVAL_S

    async def _renew_once(self, may_renew: bool, wait_s: float) -> bool:
        """Makes one call that renews or lists the runs, and posts its response.

        Returns:
            Whether the upstream listed its runs.
        """
        worker = self._supervisor.listed_worker
        if worker is None:
            return False
        self._update_address()
        lease_until_s = self._supervisor.lease_until_s
        may_renew = may_renew and self._supervisor.may_renew(steady_s())
        if may_renew:
            self._supervisor.record_renewal(lease_until_s)
        try:
            listing = await self._client.renew_runs(
                worker.upstream,
                self._supervisor.term,
                self._supervisor.acknowledged,
                lease_until_s if may_renew else None,
                wait_s,
                worker.born_ms,
            )
        except UpstreamGoneError:
            await self._mailbox.post(_UpstreamGone(upstream=worker.incarnation))
            return False
        except UpstreamSilentError as error:
            if isinstance(error, UpstreamBrokeOffError):
                self._supervisor.on_call_broken(worker.incarnation, steady_s())
            _log.warning("hold_failed", upstream=worker.incarnation, reason=str(error))
            return False
        await self._mailbox.post(_RunsListed(listing=listing))
        return True

    def _update_address(self) -> None:
        """Makes the next calls at the address of the upstream that is to answer."""
        if self._supervisor.address:
            self._client.set_address(self._supervisor.address)

    async def _make_calls(self) -> None:
        async with BackgroundTasks() as tasks:
            while True:
                call = await self._calls.get()
                await tasks.spawn(self._make_call, call)

    async def _make_call(self, call: StartCall | StopCall) -> None:
        if isinstance(call, StopCall):
            is_confirmed = await self._client.stop(call)
            await self._mailbox.post(
                _StopAnswered(call=call, is_confirmed=is_confirmed)
            )
            return
        now_s = steady_s()
        response = StartResponse.TOO_LATE
        if self._supervisor.may_start(now_s) and self._supervisor.term == call.term:
            lease_until_s = self._supervisor.lease_until_s
            self._supervisor.record_renewal(lease_until_s)
            response = await self._client.start(call, lease_until_s)
        await self._mailbox.post(_StartAnswered(call=call, response=response))
