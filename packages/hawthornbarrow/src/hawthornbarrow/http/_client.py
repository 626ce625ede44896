"""Pooled HTTP/1.1 client whose errors tell how far a failed exchange got."""

import collections
import socket
import time

import curio
import h11

from hawthornbarrow.http._exchange import Response

_READ_SIZE_BYTES = 64 * 1024
_UNACKNOWLEDGED_TIMEOUT_MS = 2000
_KEEPALIVE_IDLE_S = 2
POOL_IDLE_TIMEOUT_S = 50.0


class HttpClientError(Exception):
    """Base of the errors of the HTTP client."""


class RefusedError(HttpClientError):
    """The connection could not be opened."""


class NotSentError(HttpClientError):
    """The connection failed before the complete request was sent.

    The peer cannot have received the complete request.
    """


class ResetAfterSendError(HttpClientError):
    """The connection failed after the request was sent, before any response."""


class TruncatedError(HttpClientError):
    """The response ended before its declared length, or was not valid HTTP."""


class _PooledConnection:
    """Holds an open connection, its parser and the state of the last exchange."""

    def __init__(self, *, sock: curio.io.Socket) -> None:
        self.sock = sock
        self.parser = h11.Connection(h11.CLIENT)
        self.last_used_at_s = time.monotonic()
        self.has_response = False


class PooledClient:
    """Sends requests to one address over a bounded pool of connections.

    A pooled connection that was idle for POOL_IDLE_TIMEOUT_S is closed instead of
    reused, and so is one that became readable while idle, as its peer has closed it
    or sent unexpected data.

    Args:
        host: IP number of the peer.
        port: TCP port of the peer.
        connections: Maximum number of connections that requests use at once.
        connect_timeout_s: Longest time that opening a connection may take.
    """

    def __init__(
        self, *, host: str, port: int, connections: int, connect_timeout_s: float = 2.0
    ) -> None:
        """Initializes an empty pool."""
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._idle: collections.deque[_PooledConnection] = collections.deque()
        self._connection_semaphore = curio.Semaphore(connections)

    async def request(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response:
        """Sends one request and returns the complete response.

        Raises:
            RefusedError: No connection could be opened.
            NotSentError: The connection failed before the complete request was sent.
            ResetAfterSendError: It failed after that, before a response.
            TruncatedError: The response was truncated or could not be parsed.
        """
        async with self._connection_semaphore:
            connection = await self._checkout()
            is_reusable = False
            try:
                response = await self._exchange(connection, method, path, headers, body)
                is_reusable = connection.parser.our_state is h11.DONE
                is_reusable = is_reusable and connection.parser.their_state is h11.DONE
                return response
            finally:
                if is_reusable:
                    connection.parser.start_next_cycle()
                    connection.last_used_at_s = time.monotonic()
                    self._idle.append(connection)
                else:
                    await connection.sock.close()

    async def warm(self, count: int) -> None:
        """Opens connections in advance until the given number is idle."""
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
            idle_time_s = time.monotonic() - connection.last_used_at_s
            if idle_time_s < POOL_IDLE_TIMEOUT_S and not _is_readable_or_closed(
                connection.sock
            ):
                return connection
            await connection.sock.close()
        return await self._open()

    async def _open(self) -> _PooledConnection:
        try:
            async with curio.timeout_after(self._connect_timeout_s):
                sock = await curio.open_connection(self._host, self._port)
        except (OSError, curio.TaskTimeout) as error:
            raise RefusedError(
                f"cannot connect to {self._host}:{self._port}: {error!r}"
            ) from error
        _enable_dead_peer_detection(sock)
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
        connection.has_response = False
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
            if not connection.has_response:
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
            connection.parser.receive_data(await connection.sock.recv(_READ_SIZE_BYTES))
        elif isinstance(event, h11.Response):
            head = event
            connection.has_response = True
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


def _enable_dead_peer_detection(sock: curio.io.Socket) -> None:
    """Makes the kernel end a connection whose peer acknowledges nothing.

    The peer's kernel acknowledges data however slow its process is, so this
    distinguishes a lost connection from a slow task.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_TIMEOUT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)


def _is_readable_or_closed(sock: curio.io.Socket) -> bool:
    """Tells whether an idle connection was closed or sent unexpected data."""
    try:
        sock._socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
