"""AgentProcess: the curio tasks that connect AgentCore to links and upstreams."""

import collections
import dataclasses
import hmac
import secrets
import time

import curio
import msgspec
import structlog
from hawthornbarrow.configuration import decode_configuration
from hawthornbarrow.http import HttpServer, Request, Response, problem
from hawthornbarrow.limits import MachineLimits, PortKind, ProcessBudget
from hawthornbarrow.links import LinkPort, Mailbox, PeerDown, PeerUp
from hawthornbarrow.observability import Metrics
from hawthornbarrow.upstreams import Announcement

from hawthornbarrow_agent._caller import CallEnded, UpstreamCaller
from hawthornbarrow_agent._core import AgentCore
from hawthornbarrow_agent._effects import SendMessage, StartCall
from hawthornbarrow_agent._timing import AgentTiming

_DRAIN_POLL_INTERVAL_S = 0.02
_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentSettings:
    """Settings of one agent process.

    Attributes:
        name: Name of the agent, unique in the deployment.
        listen: IP address and port of the HTTP server for announcements.
        entries: Link addresses of all entries.
        cluster_key: Secret shared by all processes of the deployment.
        announce_token: Token that upstreams must present, empty if none is required.
        drain_limit_s: Longest time that a graceful shutdown waits.
        machine: Limits of the machine on the process.
    """

    name: str
    listen: str
    entries: list[str]
    cluster_key: bytes
    announce_token: str = ""
    drain_limit_s: float = 60.0
    machine: MachineLimits = MachineLimits()


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Announced:
    """An upstream announced itself over HTTP."""

    announcement: Announcement


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Withdrawn:
    """An upstream must get no new tasks, as it left or the agent shuts down."""

    upstream: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Wake:
    """Wakes the serving task when something is due before its timeout."""


class AgentProcess:
    """Runs one agent process.

    Args:
        settings: Settings of the process.
        timing: Durations that govern its decisions until a configuration is received,
            None for the defaults.
    """

    def __init__(
        self, *, settings: AgentSettings, timing: AgentTiming | None = None
    ) -> None:
        """Initializes the agent; `run` opens its sockets."""
        self._settings = settings
        self._mailbox = Mailbox()
        self._core = AgentCore(timing=timing)
        self._caller = UpstreamCaller(on_end=self._on_call_ended)
        self._metrics = Metrics(process=settings.name)
        self._budget = ProcessBudget(machine=settings.machine)
        self._http = HttpServer(
            handler=self._handle_request,
            budget=self._budget.add_port("http", PortKind.OPERATORS),
        )
        _log.info("limits_in_force", **self._budget.limits)
        self._port = LinkPort(
            process=settings.name,
            role="agent",
            incarnation=secrets.randbits(62),
            cluster_key=settings.cluster_key,
            mailbox=self._mailbox,
        )
        self._configuration_version = 0
        self._next_wake_at_s = 0.0
        self._call_outcome_counts: collections.Counter[str] = collections.Counter()
        self._is_draining = False

    @property
    def core(self) -> AgentCore:
        """State machine of the agent."""
        return self._core

    @property
    def port(self) -> LinkPort:
        """Links of the agent."""
        return self._port

    @property
    def announce_port(self) -> int:
        """TCP port at which upstreams announce themselves."""
        return self._http.bound_port

    async def run(self) -> None:
        """Serves until cancelled."""
        host, _, port = self._settings.listen.rpartition(":")
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._http.serve, host, int(port))
            for address in self._settings.entries:
                entry_host, _, entry_port = address.rpartition(":")
                await group.spawn(self._port.dial, entry_host, int(entry_port))
            await group.spawn(self._serve)

    async def drain(self) -> None:
        """Shuts down gracefully.

        Withdraws all upstreams, so that no new tasks are accepted. Waits, at most for
        the drain limit, until the running tasks have ended and all results are sent,
        and then until the entries have acknowledged the results.
        """
        self._is_draining = True
        for name in self._core.upstreams:
            await self._mailbox.post(_Withdrawn(upstream=name))
        give_up_at_s = time.monotonic() + self._settings.drain_limit_s
        await curio.sleep(_DRAIN_POLL_INTERVAL_S)
        while time.monotonic() < give_up_at_s:
            if self._core.is_idle and not len(self._mailbox):
                break
            await curio.sleep(_DRAIN_POLL_INTERVAL_S)
        await self._port.wait_until_acknowledged(timeout_s=2.0)

    async def _serve(self) -> None:
        while True:
            timeout_s = self._core.next_due_s(time.monotonic())
            self._next_wake_at_s = time.monotonic() + timeout_s
            events = await self._mailbox.drain(timeout_s=timeout_s)
            now_s = time.monotonic()
            for event in events:
                await self._on_event(event, now_s)
            self._core.tick(now_s)
            await self._execute_effects()
            self._update_task_metrics()

    def _update_task_metrics(self) -> None:
        for outcome, count in self._call_outcome_counts.items():
            self._metrics.count_tasks(outcome, count)
        self._call_outcome_counts.clear()

    async def _on_event(self, event: object, now_s: float) -> None:
        if isinstance(event, _Announced):
            await self._caller.connect(event.announcement)
            self._core.announce(event.announcement, now_s)
        elif isinstance(event, _Withdrawn):
            self._core.withdraw(event.upstream, now_s)
        elif not isinstance(event, _Wake):
            if isinstance(event, PeerUp | PeerDown):
                _log.info("link", peer=event.peer, up=isinstance(event, PeerUp))
            self._core.on_link_event(event, now_s)
            self._apply_configuration()

    async def _on_call_ended(self, ended: CallEnded) -> StartCall | None:
        """Processes an ended call and returns the next call for its slot, or None.

        Runs on the curio task of the call, which is not suspended between the
        decisions of the core and the queueing of their effects.
        """
        self._call_outcome_counts[ended.end.value] += 1
        self._core.on_call_ended(
            upstream=ended.upstream,
            job=ended.job,
            index=ended.index,
            end=ended.end,
            run_s=ended.run_s,
            body=ended.body,
            now_s=time.monotonic(),
        )
        next_call = await self._execute_effects(returns_call=True)
        now_s = time.monotonic()
        if now_s + self._core.next_due_s(now_s) < self._next_wake_at_s:
            self._next_wake_at_s = now_s
            await self._mailbox.post(_Wake())
        return next_call

    async def _execute_effects(self, *, returns_call: bool = False) -> StartCall | None:
        """Carries out the effects that the core has requested.

        Args:
            returns_call: Whether to return the first call to be started instead of
                starting it on a new curio task.

        Returns:
            The call that the caller must run, or None.
        """
        next_call: StartCall | None = None
        for effect in self._core.take_effects():
            if isinstance(effect, SendMessage):
                self._port.send(effect.peer, effect.message)
            elif not isinstance(effect, StartCall):
                await self._caller.stop(effect)
            elif returns_call and next_call is None:
                next_call = effect
            else:
                await self._caller.start(effect)
        await self._port.flush()
        return next_call

    def _apply_configuration(self) -> None:
        update = self._core.configuration
        if update.version <= self._configuration_version:
            return
        self._configuration_version = update.version
        tuning = decode_configuration(update.document).tuning
        self._core.update_timing(
            result_hold_s=tuning.result_hold_ms / 1000, ahead_s=tuning.ahead_ms / 1000
        )
        _log.info("configuration_in_force", version=update.version)

    # HTTP interface

    async def _handle_request(self, request: Request) -> Response:
        parts = request.path.strip("/").split("/")
        if request.path == "/healthz":
            return Response(status=200, body=b'{"status":"ok"}')
        if request.path == "/metrics":
            self._metrics.set_state("jobs_held", self._core.job_count)
            for name, value in {**self._budget.states, **self._budget.counts}.items():
                self._metrics.set_state(name, value)
            return Response(
                status=200, body=self._metrics.render(), content_type="text/plain"
            )
        if request.path == "/v1/status":
            return self._status()
        if parts[:2] != ["v1", "upstreams"] or len(parts) != 3:
            return problem(404, "not found", detail=request.path)
        if not self._has_valid_token(request):
            return problem(401, "announcement token missing or wrong")
        if request.method == "PUT":
            return await self._handle_announcement(parts[2], request.body)
        if request.method == "DELETE":
            await self._mailbox.post(_Withdrawn(upstream=parts[2]))
            return Response(status=204)
        return problem(405, "method not allowed", detail=request.method)

    async def _handle_announcement(self, name: str, body: bytes) -> Response:
        if self._is_draining:
            return problem(503, "the agent is shutting down", retry_after_s=1.0)
        try:
            announcement = msgspec.json.decode(body, type=Announcement)
        except msgspec.DecodeError as error:
            return problem(400, "invalid announcement", detail=str(error))
        if announcement.name != name or not announcement.slots > 0:
            detail = f"name {announcement.name!r}, slots {announcement.slots}"
            return problem(400, "invalid announcement", detail=detail)
        if not announcement.connections >= announcement.slots:
            detail = (
                f"{announcement.connections} connections, expected at least one "
                f"for each of the {announcement.slots} slots"
            )
            return problem(400, "invalid announcement", detail=detail)
        await self._mailbox.post(_Announced(announcement=announcement))
        return Response(status=200, body=b"{}")

    def _has_valid_token(self, request: Request) -> bool:
        if not self._settings.announce_token:
            return True
        expected = f"Bearer {self._settings.announce_token}"
        given = request.headers.get("authorization", "")
        return hmac.compare_digest(given.encode(), expected.encode())

    def _status(self) -> Response:
        document = {
            "agent": self._settings.name,
            "configuration_version": self._core.configuration.version,
            "jobs_held": self._core.job_count,
            "wasted": self._core.wasted,
            "upstreams": {
                name: {
                    "queued": len(slots.queue),
                    "running": len(slots.running),
                    "leaving": slots.is_leaving,
                }
                for name, slots in self._core.upstreams.items()
            },
            "links": dataclasses.asdict(self._port.counters),
        }
        return Response(status=200, body=msgspec.json.encode(document))
