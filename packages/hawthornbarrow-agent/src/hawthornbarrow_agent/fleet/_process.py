"""FleetAgent: the curio tasks of an agent that guards one upstream of its fleet."""

import abc
import dataclasses
import random
import secrets

import curio
import structlog
from hawthornbarrow.cells import (
    ClaimAgents,
    Directory,
    DispatcherHeartbeat,
    Listing,
    RunLeaseTiming,
    RunSupervisor,
    StartCall,
    StartResponse,
    StartTasks,
    StopCall,
    StopTasks,
    WorkerRecord,
    choose_linked_entries,
)
from hawthornbarrow.clock import seconds_since, steady_s
from hawthornbarrow.links import (
    FLEET_LINK_TIMINGS,
    Dialer,
    LinkPort,
    Mailbox,
    MessageReceived,
    PeerDown,
    PeerUp,
)

_TICK_S = 0.05
_LOOK_AGAIN_S = 0.1
_HOLD_WAIT_S = 0.25
_AGENT_ROLE = "agent"

_log = structlog.get_logger()


class UpstreamGoneError(Exception):
    """Nothing listens at the upstream's address."""


class UpstreamSilentError(Exception):
    """The upstream gave no usable answer; it may have carried the call out."""


class UpstreamClient(abc.ABC):
    """Calls to the upstream beside the agent."""

    @abc.abstractmethod
    async def start(self, call: StartCall, lease_until_s: float) -> StartResponse:
        """Starts a run; a lack of an answer is a verdict too.

        Args:
            call: What to start.
            lease_until_s: Until when it may run unless it is held again.
        """

    @abc.abstractmethod
    async def stop(self, call: StopCall) -> bool:
        """Stops a run; returns whether the upstream confirmed it."""

    @abc.abstractmethod
    async def hold(
        self,
        upstream: str,
        term: int,
        acknowledged: int,
        lease_until_s: float | None,
        wait_s: float,
    ) -> Listing:
        """Holds all runs for longer, and lists them.

        Args:
            upstream: Incarnation that is meant.
            term: Fencing token.
            acknowledged: Number of the last end that needs no listing.
            lease_until_s: Until when runs are held; None only looks.
            wait_s: How long the upstream may wait for an end.

        Raises:
            UpstreamGoneError: Nothing listens there.
            UpstreamSilentError: There was no usable answer.
        """

    @abc.abstractmethod
    def set_address(self, address: str) -> None:
        """Takes the upstream's IP number and port."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetAgentSettings:
    """Settings of one agent.

    Attributes:
        name: Name of the agent, unique in the deployment.
        seeds: Link addresses of entries to contact first.
        timing: Lengths of the leases.
        cluster_key: Secret shared by all processes of the deployment.
        started_at_s: When the process started, on the steady clock; None when that is
            not known.
    """

    name: str
    seeds: tuple[str, ...]
    timing: RunLeaseTiming
    cluster_key: bytes
    started_at_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Listed:
    listing: Listing


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Gone:
    upstream: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Started:
    call: StartCall
    verdict: StartResponse


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Stopped:
    call: StopCall
    is_confirmed: bool


class FleetAgent:
    """One agent beside its upstream.

    Args:
        settings: Settings of the process.
        client: Calls to the upstream.
    """

    def __init__(self, *, settings: FleetAgentSettings, client: UpstreamClient) -> None:
        """Makes the parts; `run` starts them."""
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
            timings=FLEET_LINK_TIMINGS,
        )
        self._custodian = RunSupervisor(
            timing=settings.timing,
            generator=random.Random(incarnation),
            now_s=steady_s(),
        )
        self._dialler = Dialer(port=self._port)
        self._calls: curio.Queue = curio.Queue()

    @property
    def counts(self) -> dict[str, int]:
        """Events since the start, by kind."""
        return dict(self._custodian.counts)

    @property
    def states(self) -> dict[str, int]:
        """Present values, by name."""
        return {
            "held_runs": self._custodian.run_count,
            "attached": int(self._custodian.is_attached),
            "term": self._custodian.term,
        }

    def announce(self, worker: WorkerRecord, address: str, is_leaving: bool) -> None:
        """Takes the upstream's announcement of itself."""
        self._client.set_address(address)
        self._custodian.announce(worker, is_leaving, steady_s())

    def withdraw(self, upstream: str) -> None:
        """Takes the upstream's leave."""
        self._custodian.withdraw(upstream, steady_s())

    def add_seeds(self, seeds: tuple[str, ...]) -> None:
        """Takes seeds from the settings, at the start or changed ones."""
        for address in seeds:
            self._dialler.add(address)

    async def run(self) -> None:
        """Serves until cancelled."""
        _log.info(
            "agent_started",
            seeds=",".join(self._settings.seeds),
            start_took_s=seconds_since(self._settings.started_at_s),
        )
        self.add_seeds(self._settings.seeds)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._dialler.run)
            await group.spawn(self._hold)
            await group.spawn(self._make_calls)
            await group.spawn(self._serve)

    async def stop(self) -> None:
        """Says that the agent stops; its upstream's runs end with their lease."""
        _log.info("agent_stopping", held=self._custodian.run_count)

    async def _serve(self) -> None:
        while True:
            items = await self._mailbox.drain(timeout_s=_TICK_S)
            now_s = steady_s()
            for item in items:
                self._take(item, now_s)
            self._custodian.tick(now_s)
            for call in self._custodian.take_calls():
                await self._calls.put(call)
            for receiver, message in self._custodian.take_messages():
                self._port.send(receiver, message)
            await self._port.flush()

    def _take(self, item: object, now_s: float) -> None:
        match item:
            case PeerUp():
                _log.info("peer_up", peer=item.peer)
            case PeerDown():
                _log.warning("peer_down", peer=item.peer)
                self._custodian.on_link_down(item.peer)
            case MessageReceived():
                self._take_message(item.peer, item.message, now_s)
            case _Listed():
                self._custodian.on_listing(item.listing, now_s)
            case _Gone():
                self._custodian.on_upstream_gone(item.upstream, now_s)
            case _Started():
                self._custodian.on_start_response(item.call, item.verdict, now_s)
            case _Stopped():
                self._custodian.on_stop_response(item.call, item.is_confirmed, now_s)

    def _take_message(self, peer: str, message: object, now_s: float) -> None:
        match message:
            case DispatcherHeartbeat():
                self._custodian.on_heartbeat(peer, message, now_s)
                self._port.acknowledge(peer)
            case ClaimAgents():
                self._custodian.on_claim(peer, message, now_s)
            case StartTasks() | StopTasks():
                self._custodian.on_orders(message, now_s)
            case Directory():
                for member in message.members:
                    self._port.record_peer_address(member.address, member.name)
                for member in choose_linked_entries(message.members):
                    self._dialler.add(member.address)

    # --- the upstream -----------------------------------------------------------

    async def _hold(self) -> None:
        """Holds what runs, and learns of ends as they come."""
        while True:
            now_s = steady_s()
            lease_until_s = self._custodian.lease_until_s
            may_renew = self._custodian.may_renew(now_s)
            if not may_renew and not self._custodian.may_poll(now_s):
                await curio.sleep(_LOOK_AGAIN_S)
                continue
            upstream = self._custodian.upstream
            is_idle = not self._custodian.run_count
            if may_renew:
                self._custodian.record_renewal(lease_until_s)
            try:
                listing = await self._client.hold(
                    upstream,
                    self._custodian.term,
                    self._custodian.acknowledged,
                    lease_until_s if may_renew else None,
                    _HOLD_WAIT_S if may_renew else 0.0,
                )
                await self._mailbox.post(_Listed(listing=listing))
                if is_idle or not may_renew:
                    await curio.sleep(_LOOK_AGAIN_S)
            except UpstreamGoneError:
                await self._mailbox.post(_Gone(upstream=upstream))
                await curio.sleep(_LOOK_AGAIN_S)
            except UpstreamSilentError as error:
                _log.warning("hold_failed", upstream=upstream, reason=str(error))
                await curio.sleep(_LOOK_AGAIN_S)

    async def _make_calls(self) -> None:
        async with curio.TaskGroup(wait=None) as group:
            while True:
                call = await self._calls.get()
                await group.spawn(self._make_call, call)

    async def _make_call(self, call: StartCall | StopCall) -> None:
        if isinstance(call, StopCall):
            is_confirmed = await self._client.stop(call)
            await self._mailbox.post(_Stopped(call=call, is_confirmed=is_confirmed))
            return
        now_s = steady_s()
        verdict = StartResponse.TOO_LATE
        if self._custodian.may_renew(now_s) and self._custodian.term == call.term:
            lease_until_s = self._custodian.lease_until_s
            self._custodian.record_renewal(lease_until_s)
            verdict = await self._client.start(call, lease_until_s)
        await self._mailbox.post(_Started(call=call, verdict=verdict))
