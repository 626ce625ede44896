"""Api: the HTTP interface for callers and operators."""

import collections.abc
import dataclasses
import hmac
import itertools
import uuid

import curio
import msgspec
from hawthornbarrow.configuration import (
    Configuration,
    decode_configuration,
    encode_configuration,
    hash_token,
)
from hawthornbarrow.http import Request, Response, problem
from hawthornbarrow.ledger import (
    Applied,
    ApplyConfiguration,
    Ledger,
    Outcome,
    job_id_of,
)
from hawthornbarrow.limits import ProcessBudget
from hawthornbarrow.links import LinkPort, Mailbox
from hawthornbarrow.observability import (
    BurnRateTracker,
    Metrics,
    render_burn_plot,
    render_burn_text,
)

from hawthornbarrow_entry._core import EntryCore
from hawthornbarrow_entry._effects import Answer, Reply, ReplyTarget

MAX_KEY_CHARS = 200
OPERATOR_TIMEOUT_S = 10.0
_JSON = "application/json"
_PROBLEM = "application/problem+json"

CoreCall = collections.abc.Callable[[EntryCore, float, float], None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerEvent:
    """A request of a caller or an operator that waits to be applied to the core.

    Attributes:
        call: Applies the request to the core at a monotonic and a wall-clock time.
    """

    call: CoreCall

    def apply(self, core: EntryCore, now_s: float, time_s: float) -> None:
        """Applies the request to the core."""
        self.call(core, now_s, time_s)


class ConfigurationRequest(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Request of an operator to replace the configuration."""

    request: str
    expect_version: int
    operator: str
    configuration: Configuration


class ReplaceRequest(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Request of an operator to replace a ledger replica."""

    old: str
    new: str


class Api:
    """Authenticates requests and routes them.

    Args:
        core: State machine of the entry.
        ledger: The entry's ledger replica.
        port: The entry's links.
        metrics: The entry's metrics.
        burn: Tracker of the burn rates of the service-level objectives.
        mailbox: Mailbox of the entry.
        operator_token_hashes: SHA-256 of each operator's token.
        budget: Budget of the process, which is exported with the metrics.
    """

    def __init__(
        self,
        *,
        core: EntryCore,
        ledger: Ledger,
        port: LinkPort,
        metrics: Metrics,
        burn: BurnRateTracker,
        mailbox: Mailbox,
        operator_token_hashes: list[str],
        budget: ProcessBudget,
    ) -> None:
        """Stores the components."""
        self._budget = budget
        self._core = core
        self._ledger = ledger
        self._port = port
        self._metrics = metrics
        self._burn = burn
        self._mailbox = mailbox
        self._operator_token_hashes = operator_token_hashes
        self._request_numbers = itertools.count(1)
        self._reply_queues: dict[int, curio.Queue] = {}
        self._outcome_queues: dict[str, list[curio.Queue]] = {}
        self._replacement_queues: dict[int, curio.Queue] = {}
        self._members_by_token: dict[str, str] = {}
        self._token_index_version = -1

    async def handle(self, request: Request) -> Response:
        """Routes one request and returns its response."""
        path = request.path
        if path == "/healthz":
            return Response(status=200, body=b'{"status":"ok"}')
        if path == "/readyz":
            return self._show_readiness()
        if path == "/metrics":
            return self._render_metrics()
        if path == "/v1/jobs" or path.startswith("/v1/jobs/"):
            return await self._handle_jobs(request)
        if path.startswith("/v1/"):
            return await self._handle_operator(request)
        return problem(404, "not found", detail=path)

    async def reply(self, reply: Reply) -> None:
        """Passes an answer of the core to the request that waits for it."""
        queue = self._reply_queues.get(reply.request)
        if queue is not None:
            await queue.put(reply.answer)

    async def on_applied(self, applied: Applied) -> None:
        """Passes the outcome of a configuration to the requests that wait for it."""
        command = applied.command
        if isinstance(command, ApplyConfiguration):
            for queue in self._outcome_queues.get(command.request, ()):
                await queue.put(applied.outcome)

    async def on_replace_reply(self, reply: object) -> None:
        """Passes the reply of the ledger's leader to the request that waits for it."""
        queue = self._replacement_queues.get(getattr(reply, "number", -1))
        if queue is not None:
            await queue.put(reply)

    def _show_readiness(self) -> Response:
        if self._core.is_ready:
            return Response(status=200, body=b'{"ready":true}')
        return Response(status=503, body=b'{"ready":false}')

    def _render_metrics(self) -> Response:
        self._metrics.set_state("configuration_version", self._core.version)
        self._metrics.set_state("open_jobs", len(self._core.job_table.open_jobs))
        self._metrics.set_state("claims", self._ledger.state.claim_count)
        self._metrics.set_state("frames_sent", self._port.counters.frames_sent)
        for name, value in {**self._budget.states, **self._budget.counts}.items():
            self._metrics.set_state(name, value)
        for cause, count in self._core.wasted.items():
            self._metrics.set_state(f"wasted_{cause}", count)
        return Response(
            status=200, body=self._metrics.render(), content_type="text/plain"
        )

    # Requests of callers

    async def _handle_jobs(self, request: Request) -> Response:
        member = self._member_of(request)
        if member is None:
            return problem(401, "member token missing or wrong", not_run=True)
        if request.path == "/v1/jobs":
            if request.method != "POST":
                return problem(405, "method not allowed", detail=request.method)
            return await self._submit(request, member)
        key = request.path.removeprefix("/v1/jobs/")
        is_explain = key.endswith("/explain")
        key = key.removesuffix("/explain")
        if request.method == "GET" and is_explain:
            return self._explain(member, key)
        if request.method == "GET":
            return await self._request_core(
                lambda target: (
                    lambda core, now_s, time_s: core.fetch(
                        target, member=member, key=key, now_s=now_s
                    )
                )
            )
        if request.method == "DELETE":
            return await self._request_core(
                lambda target: (
                    lambda core, now_s, time_s: core.cancel(
                        target, member=member, key=key, now_s=now_s
                    )
                )
            )
        return problem(405, "method not allowed", detail=request.method)

    async def _submit(self, request: Request, member: str) -> Response:
        key = request.headers.get("idempotency-key", "").strip('"')
        is_plain = key.isascii() and key.isprintable() and "/" not in key
        if not 1 <= len(key) <= MAX_KEY_CHARS or not is_plain:
            detail = (
                f"Idempotency-Key of {len(key)} characters, expected 1 to "
                f"{MAX_KEY_CHARS} printable ASCII characters other than /"
            )
            return problem(400, "invalid idempotency key", detail=detail, not_run=True)
        wait = "respond-async" not in request.headers.get("prefer", "")
        return await self._request_core(
            lambda target: (
                lambda core, now_s, time_s: core.submit(
                    target,
                    member=member,
                    key=key,
                    body=request.body,
                    wait=wait,
                    now_s=now_s,
                    time_s=time_s,
                )
            )
        )

    async def _request_core(
        self, make_call: collections.abc.Callable[[ReplyTarget], CoreCall]
    ) -> Response:
        """Posts a request to the core and waits for its answer."""
        target = ReplyTarget(peer="", request=next(self._request_numbers))
        queue: curio.Queue = curio.Queue()
        self._reply_queues[target.request] = queue
        try:
            await self._mailbox.post(CallerEvent(call=make_call(target)))
            return _response(await queue.get())
        finally:
            del self._reply_queues[target.request]

    def _explain(self, member: str, key: str) -> Response:
        job = self._core.job_table.jobs.get(job_id_of(member, key))
        if job is None:
            claim = self._ledger.state.claim(job_id_of(member, key))
            if claim is None:
                return problem(404, "not_found", detail="no such job")
            detail = f"the job is explained by its owner {claim.owner}"
            return problem(404, "not_here", detail=detail)
        document = {
            "key": key,
            "status": job.status.value,
            "reason": job.reason,
            "omitted_steps": job.timeline.omitted,
            "steps": job.timeline.steps,
        }
        return Response(status=200, body=msgspec.json.encode(document))

    def _member_of(self, request: Request) -> str | None:
        if self._token_index_version != self._core.version:
            self._token_index_version = self._core.version
            self._members_by_token = {
                token_hash: name
                for name, member in self._core.configuration.members.items()
                for token_hash in member.token_hashes
            }
        token = _bearer(request)
        return self._members_by_token.get(hash_token(token)) if token else None

    # Requests of operators

    async def _handle_operator(self, request: Request) -> Response:
        if not self._is_operator(request):
            return problem(401, "operator token missing or wrong")
        route = (request.method, request.path)
        if route == ("GET", "/v1/status"):
            return self._show_status()
        if route == ("GET", "/v1/configuration"):
            return self._show_configuration()
        if route == ("GET", "/v1/configuration/history"):
            return self._show_history()
        if route == ("POST", "/v1/configuration"):
            return await self._apply_configuration(request)
        if route == ("GET", "/v1/ledger"):
            return Response(status=200, body=msgspec.json.encode(self._ledger.status))
        if route == ("POST", "/v1/ledger/replace"):
            return await self._replace_replica(request)
        if request.method == "GET" and request.path.startswith("/v1/burn"):
            return self._report_burn(request.path.removeprefix("/v1/burn"))
        return problem(404, "not found", detail=f"{request.method} {request.path}")

    def _is_operator(self, request: Request) -> bool:
        token_hash = hash_token(_bearer(request))
        matches = [
            hmac.compare_digest(token_hash, known_hash)
            for known_hash in self._operator_token_hashes
        ]
        return any(matches)

    def _show_status(self) -> Response:
        fleet = self._core.fleet
        document = {
            "entry": self._core.name,
            "ready": self._core.is_ready,
            "configuration_version": self._core.version,
            "open_jobs": len(self._core.job_table.open_jobs),
            "claims": self._ledger.state.claim_count,
            "entries": list(self._ledger.state.entries.values()),
            "agents": {
                view.name: {"up": view.is_up, "registered": view.is_registered}
                for view in fleet.agents.values()
            },
            "upstreams": {
                view.name: {
                    "agent": view.agent,
                    "open": view.is_open,
                    "slots": view.granted_slots,
                    "outstanding": view.outstanding,
                }
                for view in fleet.upstreams.values()
            },
            "wasted": self._core.wasted,
            "links": dataclasses.asdict(self._port.counters),
        }
        return Response(status=200, body=_encode(document))

    def _show_configuration(self) -> Response:
        record = self._ledger.state.configuration
        if record is None:
            return problem(404, "no configuration is in force yet")
        document = {
            "version": record.version,
            "operator": record.operator,
            "configuration": decode_configuration(record.document),
        }
        return Response(status=200, body=msgspec.json.encode(document))

    def _show_history(self) -> Response:
        history = [
            {
                "version": record.version,
                "operator": record.operator,
                "request": record.request,
                "time_s": record.time_s,
            }
            for record in self._ledger.state.versions
        ]
        return Response(status=200, body=msgspec.json.encode(history))

    async def _apply_configuration(self, request: Request) -> Response:
        try:
            parsed = msgspec.json.decode(request.body, type=ConfigurationRequest)
        except msgspec.DecodeError as error:
            return problem(400, "invalid configuration", detail=str(error))
        queue: curio.Queue = curio.Queue()
        waiting = self._outcome_queues.setdefault(parsed.request, [])
        waiting.append(queue)
        await self._mailbox.post(CallerEvent(call=_configuration_call(parsed)))
        try:
            async with curio.timeout_after(OPERATOR_TIMEOUT_S):
                outcome: Outcome = await queue.get()
        except curio.TaskTimeout:
            detail = (
                f"not committed within {OPERATOR_TIMEOUT_S} s; resend the request id"
            )
            return problem(503, "outcome unknown", detail=detail, retry_after_s=1.0)
        finally:
            waiting.remove(queue)
            if not waiting:
                self._outcome_queues.pop(parsed.request, None)
        document = {
            "accepted": outcome.accepted,
            "version": outcome.version,
            "winner": outcome.winner,
        }
        return Response(
            status=200 if outcome.accepted else 409, body=msgspec.json.encode(document)
        )

    async def _replace_replica(self, request: Request) -> Response:
        try:
            parsed = msgspec.json.decode(request.body, type=ReplaceRequest)
        except msgspec.DecodeError as error:
            return problem(400, "invalid request", detail=str(error))
        number = await self._ledger.replace(parsed.old, parsed.new)
        queue = self._replacement_queues[number] = curio.Queue()
        try:
            async with curio.timeout_after(OPERATOR_TIMEOUT_S):
                reply = await queue.get()
        except curio.TaskTimeout:
            return problem(503, "no leader answered", retry_after_s=1.0)
        finally:
            del self._replacement_queues[number]
        if reply.reason:
            return problem(409, "replacement refused", detail=reply.reason)
        return Response(status=202, body=b'{"begun":true}')

    def _report_burn(self, suffix: str) -> Response:
        rows = self._burn.rows(self._core.configuration, self._core.time_s)
        if suffix == "":
            return Response(status=200, body=msgspec.json.encode(rows))
        if suffix == ".txt":
            text = render_burn_text(rows)
            return Response(status=200, body=text.encode(), content_type="text/plain")
        if suffix in (".png", ".svg"):
            kind = "image/png" if suffix == ".png" else "image/svg+xml"
            picture = render_burn_plot(rows, suffix[1:])
            return Response(status=200, body=picture, content_type=kind)
        return problem(404, "not found", detail=f"/v1/burn{suffix}")


def _configuration_call(parsed: ConfigurationRequest) -> CoreCall:
    def call(core: EntryCore, now_s: float, time_s: float) -> None:
        del now_s
        core.apply_configuration(
            ApplyConfiguration(
                request=parsed.request or uuid.uuid4().hex,
                expect_version=parsed.expect_version,
                document=encode_configuration(parsed.configuration),
                operator=parsed.operator,
                time_s=time_s,
            )
        )

    return call


def _response(answer: Answer) -> Response:
    headers = {}
    if answer.retry_after_s > 0:
        headers["Retry-After"] = str(max(1, round(answer.retry_after_s)))
    is_problem = answer.status >= 400 and answer.body.startswith(b'{"type"')
    return Response(
        status=answer.status,
        body=answer.body,
        content_type=_PROBLEM if is_problem else _JSON,
        headers=headers,
    )


def _bearer(request: Request) -> str:
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def _encode(document: object) -> bytes:
    return msgspec.json.encode(document)
