"""Calls tasks on upstreams over pooled connections."""

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
from hawthornbarrow.links import Mailbox
from hawthornbarrow.upstreams import Announcement, CallEnd

from hawthornbarrow_agent._effects import StartCall, StopCall

NOT_RUN_HEADER = "hawthornbarrow-not-run"
_HTTP_UNAVAILABLE = 503


class CallEnded(msgspec.Struct, frozen=True, kw_only=True):
    """A call ended; posted to the agent's mailbox."""

    upstream: str
    job: str
    index: int
    end: CallEnd
    run_s: float
    body: bytes


class UpstreamCaller:
    """Runs one curio task for each call.

    Args:
        mailbox: Where the ends of calls are posted.
    """

    def __init__(self, *, mailbox: Mailbox) -> None:
        """Starts without connections."""
        self._mailbox = mailbox
        self._clients: dict[str, tuple[Announcement, PooledClient]] = {}
        self._calls: dict[tuple[str, int, int], curio.Task] = {}

    def connect(self, announcement: Announcement) -> None:
        """Prepares a pool for an announced upstream."""
        known = self._clients.get(announcement.name)
        if known is not None and known[0] == announcement:
            return
        host, _, port = announcement.address.rpartition(":")
        client = PooledClient(
            host=host, port=int(port), connections=announcement.connections
        )
        self._clients[announcement.name] = (announcement, client)

    async def start(self, call: StartCall) -> None:
        """Starts a call."""
        task = await curio.spawn(self._run, call, daemon=True)
        self._calls[call.job, call.index, call.attempt] = task

    async def stop(self, stop: StopCall) -> None:
        """Ends a call by closing its connection."""
        task = self._calls.get((stop.job, stop.index, stop.attempt))
        if task is not None:
            await task.cancel(blocking=False)

    async def _run(self, call: StartCall) -> None:
        started_at_s = time.monotonic()
        end = CallEnd.STOPPED
        body = b""
        try:
            end, body = await self._call(call)
        finally:
            self._calls.pop((call.job, call.index, call.attempt), None)
            ended = CallEnded(
                upstream=call.upstream,
                job=call.job,
                index=call.index,
                end=end,
                run_s=time.monotonic() - started_at_s,
                body=body,
            )
            async with curio.disable_cancellation():
                await self._mailbox.post(ended)

    async def _call(self, call: StartCall) -> tuple[CallEnd, bytes]:
        _, client = self._clients[call.upstream]
        headers = {
            "Content-Type": "application/json",
            "Idempotency-Key": f"{call.job}-{call.index}",
            "Hawthornbarrow-Attempt": str(call.attempt),
        }
        path = f"/tasks/{call.service}"
        try:
            async with curio.timeout_after(call.limit_s):
                response = await client.request("POST", path, headers, call.payload)
        except curio.TaskTimeout:
            return CallEnd.TIMED_OUT, b""
        except RefusedError:
            return CallEnd.REFUSED, b""
        except NotSentError:
            return CallEnd.RESET_BEFORE_SENT, b""
        except ResetAfterSendError:
            return CallEnd.RESET_AFTER_SENT, b""
        except TruncatedError:
            return CallEnd.TRUNCATED, b""
        return _classify(response)


def _classify(response: Response) -> tuple[CallEnd, bytes]:
    if response.status == _HTTP_UNAVAILABLE:
        declined = response.headers.get(NOT_RUN_HEADER, "") == "true"
        return (CallEnd.DECLINED if declined else CallEnd.SERVER_ERROR), b""
    if response.status >= 500:
        return CallEnd.SERVER_ERROR, b""
    if response.status != 200:
        return CallEnd.CLIENT_ERROR, b""
    try:
        msgspec.json.decode(response.body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return CallEnd.GARBAGE, b""
    return CallEnd.ANSWERED, response.body
