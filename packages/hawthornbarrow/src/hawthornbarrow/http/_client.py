"""Pooled HTTP/1.1 client that says how far a failed exchange got."""

import collections
import socket
import time

import curio
import h11

from hawthornbarrow.http._exchange import Response

_READ_BYTES = 64 * 1024
_UNACKNOWLEDGED_LIMIT_MS = 2000
_KEEPALIVE_IDLE_S = 2
POOL_IDLE_LIMIT_S = 50.0


class HttpClientError(Exception):
    """Base of the errors of the HTTP client."""


class RefusedError(HttpClientError):
    """The connection could not be opened."""


class NotSentError(HttpClientError):
    """The connection failed before the request could have been read whole."""


class ResetAfterSendError(HttpClientError):
    """The connection failed after the request was sent, before any answer."""


class TruncatedError(HttpClientError):
    """The answer ended before its announced length, or was not HTTP."""


class _PooledConnection:
    """One open connection with its parser."""

    def __init__(self, *, sock: curio.io.Socket) -> None:
        self.sock = sock
        self.parser = h11.Connection(h11.CLIENT)
        self.used_at_s = time.monotonic()
        self.has_answer = False


class PooledClient:
    """Sends requests to one address over a bounded pool of connections.

    A pooled connection idle for POOL_IDLE_LIMIT_S is not used again, and one that
    has become readable while idle is closed, as its peer has ended it.

    Args:
        host: IP number of the peer.
        port: TCP port of the peer.
        connections: Most connections open at once.
        connect_timeout_s: Longest time that opening a connection may take.
    """

    def __init__(
        self, *, host: str, port: int, connections: int, connect_timeout_s: float = 2.0
    ) -> None:
        """Starts with an empty pool."""
        self._host = host
        self._port = port
        self._connect_s = connect_timeout_s
        self._idle: collections.deque[_PooledConnection] = collections.deque()
        self._permits = curio.Semaphore(connections)

    async def request(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response:
        """Sends one request and returns the whole response.

        Raises:
            RefusedError: No connection could be opened.
            NotSentError: The connection failed before the request was sent whole.
            ResetAfterSendError: It failed after that, before an answer.
            TruncatedError: The answer was cut short or not understood.
        """
        async with self._permits:
            connection = await self._checkout()
            keep = False
            try:
                response = await self._exchange(connection, method, path, headers, body)
                keep = connection.parser.our_state is h11.DONE
                keep = keep and connection.parser.their_state is h11.DONE
                return response
            finally:
                if keep:
                    connection.parser.start_next_cycle()
                    connection.used_at_s = time.monotonic()
                    self._idle.append(connection)
                else:
                    await connection.sock.close()

    async def warm(self, count: int) -> None:
        """Opens connections ahead of need, up to the given number."""
        while len(self._idle) < count:
            try:
                self._idle.append(await self._open())
            except RefusedError:
                return

    async def close(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            await self._idle.pop().sock.close()

    async def _checkout(self) -> _PooledConnection:
        while self._idle:
            connection = self._idle.pop()
            age_s = time.monotonic() - connection.used_at_s
            if age_s < POOL_IDLE_LIMIT_S and not _has_ended(connection.sock):
                return connection
            await connection.sock.close()
        return await self._open()

    async def _open(self) -> _PooledConnection:
        try:
            async with curio.timeout_after(self._connect_s):
                sock = await curio.open_connection(self._host, self._port)
        except (OSError, curio.TaskTimeout) as error:
            raise RefusedError(f"{self._host}:{self._port}: {error!r}") from error
        _detect_silence(sock)
        return _PooledConnection(sock=sock)

    async def _exchange(
        self,
        connection: _PooledConnection,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> Response:
        parser = connection.parser
        connection.has_answer = False
        head = h11.Request(
            method=method,
            target=path,
            headers=[
                ("Host", f"{self._host}:{self._port}"),
                ("Content-Length", str(len(body))),
                *headers.items(),
            ],
        )
        data = parser.send(head)
        data += parser.send(h11.Data(data=body))
        data += parser.send(h11.EndOfMessage())
        try:
            await connection.sock.sendall(data)
        except OSError as error:
            if getattr(error, "bytes_sent", len(data)) < len(data):
                raise NotSentError(str(error)) from error
            raise ResetAfterSendError(str(error)) from error
        try:
            return await _receive_response(connection)
        except h11.RemoteProtocolError as error:
            if not connection.has_answer:
                raise ResetAfterSendError(str(error)) from error
            raise TruncatedError(str(error)) from error
        except OSError as error:
            raise ResetAfterSendError(str(error)) from error


async def _receive_response(connection: _PooledConnection) -> Response:
    head: h11.Response | None = None
    body = bytearray()
    while True:
        event = connection.parser.next_event()
        if event is h11.NEED_DATA:
            connection.parser.receive_data(await connection.sock.recv(_READ_BYTES))
        elif isinstance(event, h11.Response):
            head = event
            connection.has_answer = True
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            break
        elif isinstance(event, h11.ConnectionClosed):
            raise ResetAfterSendError("connection closed before an answer")
    assert head is not None
    headers = {
        name.decode("ascii"): value.decode("latin-1") for name, value in head.headers
    }
    return Response(
        status=head.status_code,
        body=bytes(body),
        content_type=headers.get("content-type", ""),
        headers=headers,
    )


def _detect_silence(sock: curio.io.Socket) -> None:
    """Makes the kernel end a connection whose peer acknowledges nothing.

    The peer's kernel acknowledges data however slow its process is, so this tells
    a lost connection from a slow task.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_LIMIT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)


def _has_ended(sock: curio.io.Socket) -> bool:
    """Tells whether an idle connection was closed or sent unexpected data."""
    try:
        sock._socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
