"""HTTP/1.1 server: one curio task per connection, with resource limits."""

import collections.abc
import dataclasses
import socket

import curio
import h11

from hawthornbarrow.http._exchange import Request, Response, problem
from hawthornbarrow.tasks import BackgroundTasks

_READ_SIZE_BYTES = 64 * 1024
_HEADER_OVERHEAD_BYTES = 4

Handler = collections.abc.Callable[[Request], collections.abc.Awaitable[Response]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class HttpLimits:
    """Limits on the connections and requests of a server.

    Attributes:
        header_bytes: Maximum size of the request line and the headers together.
        body_bytes: Maximum size of a request body.
        connections: Maximum number of connections open at once.
        idle_timeout_s: Longest time that a connection may wait for its next request.
        request_timeout_s: Longest time that one request may take to arrive.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    connections: int = 2048
    idle_timeout_s: float = 60.0
    request_timeout_s: float = 10.0


class _BodyTooLargeError(Exception):
    """The request body is larger than the limit."""


class HttpServer:
    """Serves one handler on one address.

    Requests on one connection are answered in order. Cancelling `serve` closes the
    listening socket and all connections. To answer the requests that have arrived,
    call `drain` and wait until `active_requests` is zero before cancelling it.

    Args:
        handler: Coroutine function from request to response.
        limits: Limits on connections and requests, None for the defaults.
    """

    def __init__(self, *, handler: Handler, limits: HttpLimits | None = None) -> None:
        """Initializes a server without connections."""
        self._handler = handler
        self._limits = limits or HttpLimits()
        self._open_connections = 0
        self._active_requests = 0
        self._is_draining = False
        self._bound_port = 0

    @property
    def bound_port(self) -> int:
        """TCP port that the server is bound to, or zero."""
        return self._bound_port

    @property
    def active_requests(self) -> int:
        """Number of requests received and not yet answered."""
        return self._active_requests

    def drain(self) -> None:
        """Makes the server close each connection after its next response.

        New connections are still accepted, and their first requests answered: a load
        balancer may send callers here until it has noticed that the server leaves.
        """
        self._is_draining = True

    async def serve_address(self, address: str) -> None:
        """Accepts connections at `IP:PORT` until cancelled."""
        host, _, port = address.rpartition(":")
        await self.serve(host, int(port))

    async def serve(self, host: str, port: int) -> None:
        """Accepts connections until cancelled."""
        sock = curio.network.tcp_server_socket(
            host, port, backlog=1024, reuse_address=True
        )
        self._bound_port = sock.getsockname()[1]
        async with sock, BackgroundTasks() as tasks:
            while True:
                client, _ = await sock.accept()
                await tasks.spawn(self._serve_connection, client)

    async def _serve_connection(self, sock: curio.io.Socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open_connections += 1
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        try:
            if self._open_connections > self._limits.connections:
                busy = problem(
                    503, "too many connections", not_run=True, retry_after_s=1.0
                )
                await _send(sock, connection, busy, close=True)
                return
            while await self._serve_request(sock, connection):
                connection.start_next_cycle()
        except (OSError, curio.TaskTimeout, h11.LocalProtocolError):
            return
        finally:
            self._open_connections -= 1
            await sock.close()

    async def _serve_request(
        self, sock: curio.io.Socket, connection: h11.Connection
    ) -> bool:
        """Serves one request; returns whether the connection stays open for another."""
        try:
            request = await self._receive_request(sock, connection)
        except h11.RemoteProtocolError as error:
            await self._refuse(sock, connection, error.error_status_hint, str(error))
            return False
        except _BodyTooLargeError:
            detail = f"body is larger than {self._limits.body_bytes} bytes"
            await self._refuse(sock, connection, 413, detail)
            return False
        if request is None:
            return False
        request = dataclasses.replace(
            request, is_abandoned=lambda: _is_closed_by_peer(sock)
        )
        self._active_requests += 1
        try:
            response = await self._handle(request)
            must_close = (
                self._is_draining
                or response.closes_connection
                or connection.their_state is not h11.DONE
            )
            await _send(sock, connection, response, close=must_close)
        finally:
            self._active_requests -= 1
        return connection.our_state is h11.DONE and not must_close

    async def _handle(self, request: Request) -> Response:
        """Calls the handler; a body that is nested too deeply to be read gets a 400."""
        try:
            return await self._handler(request)
        except RecursionError:
            return problem(400, "bad request", detail="the body is nested too deeply")

    async def _receive_request(
        self, sock: curio.io.Socket, connection: h11.Connection
    ) -> Request | None:
        """Returns the next request, or None when the connection has ended.

        Data that has already arrived is parsed without a timeout, as setting a
        timeout costs more than parsing a small request.
        """
        if not await self._wait_for_request(sock, connection):
            return None
        reader = _RequestReader(connection=connection, limits=self._limits)
        request = reader.read()
        if request is None:
            async with curio.timeout_after(self._limits.request_timeout_s):
                while request is None:
                    await self._receive_more(sock, connection)
                    request = reader.read()
        return request

    async def _wait_for_request(
        self, sock: curio.io.Socket, connection: h11.Connection
    ) -> bool:
        """Waits for the first bytes of a request; returns False when none arrive."""
        if connection.trailing_data[0]:
            return True
        data = await curio.ignore_after(
            self._limits.idle_timeout_s, sock.recv, _READ_SIZE_BYTES
        )
        if not data:
            return False
        connection.receive_data(data)
        return True

    async def _receive_more(
        self, sock: curio.io.Socket, connection: h11.Connection
    ) -> None:
        if connection.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await sock.sendall(connection.send(continue_response))
        data = await sock.recv(_READ_SIZE_BYTES)
        if not data:
            raise ConnectionResetError(
                "connection closed before the request was complete"
            )
        connection.receive_data(data)

    async def _refuse(
        self, sock: curio.io.Socket, connection: h11.Connection, status: int, text: str
    ) -> None:
        if connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            refusal = problem(status, "bad request", detail=text, not_run=True)
            await _send(sock, connection, refusal, close=True)


class _RequestReader:
    """Assembles one request from the events of a connection's parser."""

    def __init__(self, *, connection: h11.Connection, limits: HttpLimits) -> None:
        self._connection = connection
        self._limits = limits
        self._head: h11.Request | None = None
        self._body = bytearray()

    def read(self) -> Request | None:
        """Returns the request once it is complete, or None while more data is needed.

        Raises:
            _BodyTooLargeError: The body is larger than the limit.
            ConnectionResetError: The connection ended within the request.
            h11.RemoteProtocolError: The request is not valid HTTP, or its head is
                larger than the limit.
        """
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.Request):
                self._check_head_size(event)
                self._head = event
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > self._limits.body_bytes:
                    raise _BodyTooLargeError
            elif isinstance(event, h11.EndOfMessage) and self._head is not None:
                return _build_request(self._head, bytes(self._body))
            else:
                raise ConnectionResetError(
                    "connection closed before the request was complete"
                )

    def _check_head_size(self, head: h11.Request) -> None:
        """Refuses a request head over the limit.

        The parser limits only the size of an incomplete head, so it accepts a larger
        one that arrives at once.
        """
        size = len(head.target)
        for name, value in head.headers.raw_items():
            size += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        if size > self._limits.header_bytes:
            raise h11.RemoteProtocolError(
                f"request line and headers of {size} bytes, expected at most "
                f"{self._limits.header_bytes}",
                error_status_hint=431,
            )


def _is_closed_by_peer(sock: curio.io.Socket) -> bool:
    """Tells whether the peer has closed the connection without a reset.

    Returns False after a reset, as the peer may not have closed it on purpose.
    """
    try:
        return not sock._socket.recv(1, socket.MSG_PEEK)
    except OSError:
        return False


def _build_request(head: h11.Request, body: bytes) -> Request:
    target = head.target.decode("ascii", "replace")
    headers = {
        name.decode("ascii"): value.decode("latin-1") for name, value in head.headers
    }
    return Request(
        method=head.method.decode("ascii"),
        path=target.partition("?")[0],
        headers=headers,
        body=body,
    )


async def _send(
    sock: curio.io.Socket,
    connection: h11.Connection,
    response: Response,
    *,
    close: bool,
) -> None:
    headers = [
        ("Content-Length", str(len(response.body))),
        ("Content-Type", response.content_type),
        *response.headers.items(),
    ]
    if close:
        headers.append(("Connection", "close"))
    head = h11.Response(status_code=response.status, headers=headers)
    data = connection.send(head)
    data += connection.send(h11.Data(data=response.body))
    data += connection.send(h11.EndOfMessage())
    await sock.sendall(data)
