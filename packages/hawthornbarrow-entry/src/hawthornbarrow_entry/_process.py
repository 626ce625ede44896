"""EntryProcess: runs the core of one entry with its curio tasks and sockets."""

import dataclasses
import pathlib
import random
import secrets
import time

import curio
import structlog
from hawthornbarrow.http import HttpLimits, HttpServer
from hawthornbarrow.ledger import (
    Applied,
    FileStorage,
    LeadershipGained,
    Ledger,
    LedgerFailed,
    NngReplicaTransport,
    ReplicatedLedger,
    load_identity,
)
from hawthornbarrow.limits import MachineLimits, PortKind, ProcessBudget
from hawthornbarrow.links import (
    LinkPort,
    Mailbox,
    MessageReceived,
    PeerDown,
    PeerHeartbeat,
    PeerUp,
)
from hawthornbarrow.observability import BurnRateTracker, Metrics

from hawthornbarrow_entry._api import Api, CallerEvent
from hawthornbarrow_entry._core import EntryCore, EntryIdentity
from hawthornbarrow_entry._effects import DropUnacknowledged, Propose, Reply

_DRAIN_POLL_INTERVAL_S = 0.05
_BURN_SAVE_INTERVAL_S = 10.0
_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """Settings of one entry process.

    Attributes:
        name: Name of the entry, unique in the deployment.
        listen: IP number and port for callers and operators.
        link_listen: IP number and port for links of agents and entries.
        ledger_listen: IP number and port for ledger replicas.
        peers: Link address of each other entry, by name.
        ledger_peers: Ledger address of each other replica, by name.
        data_dir: Data folder of the ledger replica.
        data_centre: Name of the entry's data centre.
        cluster_key: Secret shared by all processes of the deployment.
        operator_token_hashes: SHA-256 of each operator's token.
        drain_limit_s: Timeout of a graceful shutdown.
        limits: Limits of the HTTP server on requests and connections.
        machine: Limits of the machine on the process.
    """

    name: str
    listen: str
    link_listen: str
    ledger_listen: str
    peers: dict[str, str]
    ledger_peers: dict[str, str]
    data_dir: pathlib.Path
    cluster_key: bytes
    operator_token_hashes: list[str]
    data_centre: str = ""
    drain_limit_s: float = 60.0
    limits: HttpLimits = HttpLimits()
    machine: MachineLimits = MachineLimits()


class EntryProcess:
    """Runs one entry with its ledger replica.

    Args:
        settings: Settings of the process.
    """

    def __init__(self, *, settings: EntrySettings) -> None:
        """Loads the ledger and opens its sockets."""
        self._settings = settings
        self._mailbox = Mailbox()
        incarnation = secrets.randbits(62)
        generator = random.Random(incarnation)
        self._ledger = self._open_ledger(generator)
        self._core = EntryCore(
            identity=EntryIdentity(
                name=settings.name,
                incarnation=incarnation,
                address=settings.link_listen,
                data_centre=settings.data_centre,
            ),
            state=self._ledger.state,
            generator=generator,
            machine=settings.machine,
        )
        self._metrics = Metrics(process=settings.name)
        self._burn = BurnRateTracker(path=settings.data_dir / "burn.json")
        self._burn_saved_at_s = time.monotonic()
        self._port = LinkPort(
            process=settings.name,
            role="entry",
            incarnation=incarnation,
            cluster_key=settings.cluster_key,
            mailbox=self._mailbox,
            machine=settings.machine,
        )
        budget = ProcessBudget(machine=settings.machine)
        http_budget = budget.add_port(
            "http", PortKind.CALLERS, max_connections=settings.limits.connections
        )
        _log.info("limits_in_force", **budget.limits)
        self._api = Api(
            core=self._core,
            ledger=self._ledger,
            port=self._port,
            metrics=self._metrics,
            burn=self._burn,
            mailbox=self._mailbox,
            operator_token_hashes=settings.operator_token_hashes,
            budget=budget,
        )
        self._http = HttpServer(
            handler=self._api.handle, limits=settings.limits, budget=http_budget
        )

    @property
    def core(self) -> EntryCore:
        """State machine of the entry."""
        return self._core

    @property
    def ledger(self) -> Ledger:
        """The entry's ledger replica."""
        return self._ledger

    @property
    def port(self) -> LinkPort:
        """The entry's links."""
        return self._port

    @property
    def http_port(self) -> int:
        """TCP port for callers."""
        return self._http.bound_port

    async def run(self) -> None:
        """Serves until cancelled."""
        settings = self._settings
        host, port = _split_address(settings.listen)
        link_host, link_port = _split_address(settings.link_listen)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._serve)
            await group.spawn(self._ledger.run)
            await group.spawn(self._port.listen, link_host, link_port)
            for name, address in settings.peers.items():
                if name < settings.name:
                    await group.spawn(self._port.dial, *_split_address(address))
            await group.spawn(self._http.serve, host, port)

    async def drain(self) -> None:
        """Stops accepting new jobs and waits until open requests are answered."""
        self._core.drain()
        self._http.drain()
        until_s = time.monotonic() + self._settings.drain_limit_s
        while time.monotonic() < until_s:
            if self._core.is_idle and not self._http.active_requests:
                break
            await curio.sleep(_DRAIN_POLL_INTERVAL_S)
        await self._port.wait_until_acknowledged(timeout_s=2.0)
        self._burn.save(time.time())

    def _open_ledger(self, generator: random.Random) -> ReplicatedLedger:
        settings = self._settings
        identity = str(load_identity(settings.data_dir, settings.name))
        transport = NngReplicaTransport(
            identity=identity,
            listen=settings.ledger_listen,
            peers=settings.ledger_peers,
            cluster_key=settings.cluster_key,
        )
        return ReplicatedLedger(
            identity=identity,
            storage=FileStorage(folder=settings.data_dir),
            transport=transport,
            events=self._mailbox,
            generator=generator,
        )

    async def _serve(self) -> None:
        while True:
            events = await self._mailbox.drain(timeout_s=self._core.next_due_s)
            now_s = time.monotonic()
            for event in events:
                await self._on_event(event, now_s)
            has_quorum_contact = self._ledger.has_quorum_contact(now_s)
            self._core.tick(
                now_s,
                time_s=time.time(),
                has_quorum_contact=has_quorum_contact,
                dispatching_entry=self._ledger.leader_name,
            )
            await self._run_effects()
            self._record_closed_jobs(now_s)

    async def _on_event(self, event: object, now_s: float) -> None:
        if isinstance(event, CallerEvent):
            event.apply(self._core, now_s, time.time())
        elif isinstance(event, Applied):
            self._core.on_applied(event, now_s)
            await self._api.on_applied(event)
        elif isinstance(event, LedgerFailed):
            _log.error("ledger_lost", reason=event.reason)
        elif isinstance(event, PeerUp | PeerDown | PeerHeartbeat | MessageReceived):
            if isinstance(event, PeerUp | PeerDown):
                _log.info("link", peer=event.peer, up=isinstance(event, PeerUp))
            self._core.on_link_event(event, now_s)
        elif not isinstance(event, LeadershipGained):
            await self._api.on_replace_reply(event)

    async def _run_effects(self) -> None:
        for effect in self._core.take_effects():
            if isinstance(effect, Reply):
                await self._api.reply(effect)
            elif isinstance(effect, Propose):
                await self._ledger.propose(effect.command, is_urgent=effect.is_urgent)
            elif isinstance(effect, DropUnacknowledged):
                self._port.drop_unacknowledged(effect.peer)
            else:
                self._port.send(effect.peer, effect.message, is_urgent=effect.is_urgent)
        await self._port.flush()

    def _record_closed_jobs(self, now_s: float) -> None:
        """Records closed jobs in the metrics, the burn rates and the log."""
        for job in self._core.take_closed_jobs():
            response_s = job.closed_at_s - job.submitted_at_s
            completed = job.status.value == "completed"
            self._metrics.count_job(
                job.member, job.closed_service, job.status.value, response_s
            )
            self._burn.record(
                self._core.configuration,
                member=job.member,
                service=job.closed_service,
                response_s=response_s,
                completed=completed,
                time_s=time.time(),
            )
            _log.info(
                "job_closed",
                job=job.job_id,
                member=job.member,
                status=job.status.value,
                reason=job.reason,
                tasks=job.task_count,
                response_ms=round(response_s * 1000, 1),
            )
        if now_s - self._burn_saved_at_s >= _BURN_SAVE_INTERVAL_S:
            self._burn_saved_at_s = now_s
            self._burn.save(time.time())


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
