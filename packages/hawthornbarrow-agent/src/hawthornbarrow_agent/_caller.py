"""Runs tasks on upstreams by HTTP calls over pooled connections."""

import collections.abc
import dataclasses
import time

import curio
import msgspec
from hawthornbarrow.http import (
    NotSentError,
    PooledClient,
    RefusedError,
    ResetAfterSendError,
    Response,
    TruncatedError,
)
from hawthornbarrow.upstreams import Announcement, CallOutcome

from hawthornbarrow_agent._effects import StartCall, StopCall

NOT_RUN_HEADER = "hawthornbarrow-not-run"
_HTTP_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallEnded:
    """Outcome and result of a call to an upstream.

    Attributes:
        upstream: Name of the upstream.
        job: Job id.
        index: Position of the task in its job.
        end: How the call ended.
        run_s: Time from the start of the call to its end.
        body: Body of the response, empty unless the call was answered.
    """

    upstream: str
    job: str
    index: int
    end: CallOutcome
    run_s: float
    body: bytes


CallEndHandler = collections.abc.Callable[
    [CallEnded], collections.abc.Awaitable[StartCall | None]
]


class UpstreamCaller:
    """Runs one curio task for each slot in use.

    When its call ends, the curio task of a slot reports this to the agent and
    continues with the call that the agent returns. This saves one task switch between
    two calls on a slot: when several calls end together, the successor of the first
    one starts before the outcomes of the others are processed.

    Args:
        on_end: Processes an ended call; returns the next call for its slot, or None.
    """

    def __init__(self, *, on_end: CallEndHandler) -> None:
        """Initializes a caller without connections."""
        self._on_end = on_end
        self._clients: dict[str, tuple[Announcement, PooledClient]] = {}
        self._calls: dict[tuple[str, int, int], curio.Task] = {}

    async def connect(self, announcement: Announcement) -> None:
        """Creates a pool for an announced upstream and opens one connection per slot.

        An unchanged announcement keeps the existing pool.
        """
        existing = self._clients.get(announcement.name)
        if existing is not None and existing[0] == announcement:
            return
        host, _, port = announcement.address.rpartition(":")
        client = PooledClient(
            host=host, port=int(port), connections=announcement.connections
        )
        self._clients[announcement.name] = (announcement, client)
        await curio.spawn(client.warm, announcement.slots, daemon=True)

    async def start(self, call: StartCall) -> None:
        """Starts a call on a new curio task."""
        await curio.spawn(self._run_calls, call, daemon=True)

    async def stop(self, stop: StopCall) -> None:
        """Stops a call by closing its connection."""
        task = self._calls.get((stop.job, stop.index, stop.attempt))
        if task is not None:
            await task.cancel(blocking=False)

    async def _run_calls(self, call: StartCall) -> None:
        next_call: StartCall | None = call
        while next_call is not None:
            next_call = await self._run_call(next_call)

    async def _run_call(self, call: StartCall) -> StartCall | None:
        """Runs one call and returns the next one for its slot, or None."""
        identity = (call.job, call.index, call.attempt)
        self._calls[identity] = await curio.current_task()
        started_at_s = time.monotonic()
        try:
            end, body = await self._send_request(call)
        except curio.CancelledError:
            end, body = CallOutcome.STOPPED, b""
        del self._calls[identity]
        return await self._on_end(
            CallEnded(
                upstream=call.upstream,
                job=call.job,
                index=call.index,
                end=end,
                run_s=time.monotonic() - started_at_s,
                body=body,
            )
        )

    async def _send_request(self, call: StartCall) -> tuple[CallOutcome, bytes]:
        _, client = self._clients[call.upstream]
        headers = {
            "Content-Type": "application/json",
            "Idempotency-Key": f"{call.job}-{call.index}",
            "Hawthornbarrow-Attempt": str(call.attempt),
        }
        path = f"/tasks/{call.service}"
        try:
            async with curio.timeout_after(call.timeout_s):
                response = await client.request("POST", path, headers, call.payload)
        except curio.TaskTimeout:
            return CallOutcome.TIMED_OUT, b""
        except RefusedError:
            return CallOutcome.REFUSED, b""
        except NotSentError:
            return CallOutcome.RESET_BEFORE_SENT, b""
        except ResetAfterSendError:
            return CallOutcome.RESET_AFTER_SENT, b""
        except TruncatedError:
            return CallOutcome.TRUNCATED, b""
        return _classify_response(response)


def _classify_response(response: Response) -> tuple[CallOutcome, bytes]:
    if response.status == _HTTP_UNAVAILABLE:
        declined = response.headers.get(NOT_RUN_HEADER, "") == "true"
        return (CallOutcome.DECLINED if declined else CallOutcome.SERVER_ERROR), b""
    if response.status >= 500:
        return CallOutcome.SERVER_ERROR, b""
    if response.status != 200:
        return CallOutcome.CLIENT_ERROR, b""
    try:
        msgspec.json.decode(response.body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return CallOutcome.MALFORMED_ANSWER, b""
    return CallOutcome.ANSWERED, response.body
