"""StandInUpstream: announces itself to an agent and runs tasks."""

import dataclasses
import pathlib
import time

import curio
import msgspec

from hawthornbarrow.http import (
    HttpClientError,
    HttpLimits,
    HttpServer,
    PooledClient,
    Request,
    Response,
    problem,
)
from hawthornbarrow.standin._bearings import BearingCheck, check_bearing
from hawthornbarrow.standin._fairs import FairEntry, answer_entry
from hawthornbarrow.upstreams import ANNOUNCEMENT_LEASE_S, Announcement, Resources

SERVICES = ("bearing-check", "fair-entry", "echo")
_RENEWAL_S = ANNOUNCEMENT_LEASE_S / 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class StandInSettings:
    """Settings of a stand-in upstream.

    Attributes:
        name: Name of the upstream.
        listen: IP number and port for tasks.
        agent: IP number and port at which its agent takes announcements.
        announce_token: Token to present; empty for none.
        slots: Tasks that it runs at once.
        connections: Connections that it accepts.
        journal: File to which each start is appended, or None.
        worker: Name of the worker that it runs on.
        rack: Name of the worker's rack.
        data_centre: Name of the worker's data centre.
        resources: What one task may use at most.
    """

    name: str
    listen: str
    agent: str
    announce_token: str = ""
    slots: int = 8
    connections: int = 64
    journal: pathlib.Path | None = None
    worker: str = ""
    rack: str = ""
    data_centre: str = ""
    resources: Resources = Resources(cores=8, memory_mb=16384)


class _Echo(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A task that returns its nonce after a while.

    Attributes:
        nonce: Value to return unchanged.
        run_ms: Time to take.
        fail: Whether to answer with a server error.
    """

    nonce: str = ""
    run_ms: float = 0.0
    fail: bool = False


_TASK_TYPES = {"bearing-check": BearingCheck, "fair-entry": FairEntry, "echo": _Echo}


class StandInUpstream:
    """Runs tasks over HTTP, as the published interface of upstreams says.

    Args:
        settings: Settings of the upstream.
    """

    def __init__(self, *, settings: StandInSettings) -> None:
        """Builds the upstream without opening sockets."""
        self._settings = settings
        limits = HttpLimits(idle_timeout_s=600.0)
        self._server = HttpServer(handler=self._handle, limits=limits)
        self._journal = None
        if settings.journal is not None:
            self._journal = settings.journal.open("a", buffering=1, encoding="utf-8")
        self._started = 0

    @property
    def started(self) -> int:
        """Number of tasks started."""
        return self._started

    async def run(self) -> None:
        """Serves and announces until cancelled."""
        host, _, port = self._settings.listen.rpartition(":")
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._server.serve, host, int(port))
            await group.spawn(self._announce, host)

    async def leave(self) -> None:
        """Withdraws the announcement."""
        await self._call_agent("DELETE", b"")

    async def _announce(self, host: str) -> None:
        while not self._server.bound_port:
            await curio.sleep(0.01)
        settings = self._settings
        announcement = Announcement(
            name=settings.name,
            address=f"{host}:{self._server.bound_port}",
            services=list(SERVICES),
            slots=settings.slots,
            connections=settings.connections,
            resources=settings.resources,
            worker=settings.worker,
            rack=settings.rack,
            data_centre=settings.data_centre,
            stops_on_disconnect=False,
        )
        body = msgspec.json.encode(announcement)
        while True:
            is_known = await self._call_agent("PUT", body)
            await curio.sleep(_RENEWAL_S if is_known else 0.1)

    async def _call_agent(self, method: str, body: bytes) -> bool:
        host, _, port = self._settings.agent.rpartition(":")
        client = PooledClient(host=host, port=int(port), connections=1)
        token = self._settings.announce_token
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        path = f"/v1/upstreams/{self._settings.name}"
        try:
            response = await client.request(method, path, headers, body)
        except HttpClientError:
            return False
        finally:
            await client.close()
        return response.status < 300

    async def _handle(self, request: Request) -> Response:
        service = request.path.removeprefix("/tasks/")
        if request.method != "POST" or service not in _TASK_TYPES:
            return problem(404, "no such service", detail=request.path)
        self._write_journal("start", request)
        try:
            task = msgspec.json.decode(request.body, type=_TASK_TYPES[service])
        except msgspec.DecodeError as error:
            return problem(400, "invalid task", detail=str(error))
        if task.run_ms > 0:
            await curio.sleep(task.run_ms / 1000)
        response = _run(task)
        self._write_journal("end", request)
        return response

    def _write_journal(self, event: str, request: Request) -> None:
        if event == "start":
            self._started += 1
        if self._journal is None:
            return
        key = request.headers.get("idempotency-key", "")
        attempt = request.headers.get("hawthornbarrow-attempt", "")
        name = self._settings.name
        print(f"{event} {key} {attempt} {name} {time.time():.6f}", file=self._journal)


def _run(task: BearingCheck | FairEntry | _Echo) -> Response:
    if isinstance(task, _Echo):
        if task.fail:
            return problem(500, "asked to fail")
        return Response(status=200, body=msgspec.json.encode({"nonce": task.nonce}))
    try:
        if isinstance(task, BearingCheck):
            answer: object = check_bearing(task)
        else:
            answer = answer_entry(task)
    except (ValueError, ZeroDivisionError) as error:
        return problem(400, "invalid task", detail=str(error))
    return Response(status=200, body=msgspec.json.encode(answer))
