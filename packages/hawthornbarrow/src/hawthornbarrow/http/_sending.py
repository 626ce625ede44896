"""Refusals, and how responses and refusals reach a peer."""

import contextlib
import functools
import socket

import curio
import h11

from hawthornbarrow.http._exchange import Response, problem

_RETRY_S = 1.0
# A peer that still sends when its connection is closed loses the response.
_LINGER_S = 1.0
_LINGER_BYTES = 1024 * 1024
_LINGER_READ_BYTES = 64 * 1024


def refusal(status: int, reason: str) -> Response:
    """Returns the refusal of a request for want of room.

    The request has not been read, so it is not known whether it repeats an earlier one
    that has run.
    """
    return problem(status, reason, not_run=False, retry_after_s=_RETRY_S)


def bad_request(status: int, detail: str) -> Response:
    """Returns the refusal of a request that can not be read."""
    return problem(status, "bad request", detail=detail, not_run=True)


def send_at_once(sock: curio.io.Socket, data: bytes) -> int:
    """Returns how much of the data fitted into the send buffer."""
    try:
        return sock._socket.send(data)
    except BlockingIOError:
        return 0


def encode_response(
    connection: h11.Connection, response: Response, *, close: bool
) -> tuple[bytes, bytes]:
    """Returns the head and the body of a response as they are sent."""
    headers = [
        ("Content-Length", str(len(response.body))),
        ("Content-Type", response.content_type),
        *response.headers.items(),
    ]
    if close:
        headers.append(("Connection", "close"))
    head = connection.send(h11.Response(status_code=response.status, headers=headers))
    body = connection.send(h11.Data(data=response.body))
    return head, body + connection.send(h11.EndOfMessage())


@functools.cache
def _encoded_turn_away(status: int) -> bytes:
    connection = h11.Connection(h11.SERVER)
    return b"".join(
        encode_response(connection, refusal(status, "too many connections"), close=True)
    )


async def turn_away(sock: curio.io.Socket, status: int) -> None:
    """Refuses a connection for which there is no room, and closes it at once."""
    with contextlib.suppress(OSError):
        sock._socket.send(_encoded_turn_away(status))
    await sock.close()


async def linger(sock: curio.io.Socket) -> None:
    """Reads and drops what a refused peer still sends, within bounds.

    Closing a connection that has unread data resets it, and the peer may then lose the
    response.
    """
    sock._socket.shutdown(socket.SHUT_WR)
    async with curio.ignore_after(_LINGER_S):
        for _ in range(_LINGER_BYTES // _LINGER_READ_BYTES):
            if not await sock.recv(_LINGER_READ_BYTES):
                return
            await curio.sleep(0)
