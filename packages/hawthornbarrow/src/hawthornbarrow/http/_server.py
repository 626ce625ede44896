"""HTTP/1.1 server: one curio task per connection, with resource limits."""

import collections.abc
import dataclasses
import itertools
import socket

import curio
import h11

from hawthornbarrow.http._exchange import Request, Response, problem
from hawthornbarrow.http._request_reader import BodyTooLargeError, RequestReader
from hawthornbarrow.http._sending import (
    bad_request,
    encode_response,
    linger,
    refusal,
    send_at_once,
    turn_away,
)
from hawthornbarrow.limits import (
    RECEIVE_BUFFER_BYTES,
    ConnectionAccount,
    Listener,
    MachineLimits,
    PortBudget,
    PortKind,
    ProcessBudget,
)
from hawthornbarrow.tasks import BackgroundTasks

_ACCEPTS_PER_TURN = 16
_FIRST_READ_BYTES = 8 * 1024
_FIRST_READ_EVENTS = 16
_EVENTS_PER_TURN = 128
_SEPARATE_BODY_BYTES = 16 * 1024  # from which on a copy costs more than a second send

Handler = collections.abc.Callable[[Request], collections.abc.Awaitable[Response]]
BodyLimit = collections.abc.Callable[[], int | None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class HttpLimits:
    """Limits on the connections and requests of a server.

    Attributes:
        header_bytes: Maximum size of the request line and the headers together.
        body_bytes: Maximum size of a request body.
        connections: Maximum number of connections open at once.
        idle_timeout_s: Longest time that a connection may wait for its next request.
        request_timeout_s: Longest time that one request may take to arrive.
        send_timeout_s: Longest time that the peer may take to read one response.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    connections: int = 2048
    idle_timeout_s: float = 60.0
    request_timeout_s: float = 10.0
    send_timeout_s: float = 30.0


class _EvictedError(curio.TaskCancelled):
    """The connection's request is refused, as another one needs its memory."""


class _OverBudgetError(Exception):
    """The request takes more memory than there is."""


class _Connection:
    """One open connection.

    Args:
        sock: Its socket.
        limits: Limits on its requests.
        task: The task that serves it.
    """

    def __init__(
        self, *, sock: curio.io.Socket, limits: HttpLimits, task: curio.Task
    ) -> None:
        self.sock = sock
        self.task = task
        self.parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self.reader: RequestReader | None = None


class HttpServer:
    """Serves one handler on one address.

    Requests on one connection are answered in order. Cancelling `serve` closes the
    listening socket and all connections. To answer the requests that have arrived,
    call `drain` and wait until `active_requests` is zero before cancelling it.

    Args:
        handler: Coroutine function from request to response.
        limits: Limits on connections and requests, None for the defaults.
        budget: Bounds what the connections take together, None for that of a machine
            with the default limits.
        body_limit: Returns the maximum size of a request body that is in force, or
            None for that of the limits. It is asked for each request.
        refusal_status: Status of refusals for want of room. They must not promise that
            a request has not run, as it may repeat an earlier one.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: HttpLimits | None = None,
        budget: PortBudget | None = None,
        body_limit: BodyLimit | None = None,
        refusal_status: int = 503,
    ) -> None:
        """Initializes a server without connections."""
        self._handler = handler
        limits = limits or HttpLimits()
        if budget is None:
            budget = ProcessBudget(machine=MachineLimits()).add_port(
                "http", PortKind.CALLERS, max_connections=limits.connections
            )
        self._limits = limits
        self._budget = budget
        self._body_limit = body_limit
        self._refusal_status = refusal_status
        # Held while a request that is not complete is read, so that no crowd of them
        # takes more than one turn at a time.
        self._reading = curio.Lock()
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

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return self._budget.connection_count

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
        # Connections inherit it, so that what arrives unread is bounded as well.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._bound_port = sock.getsockname()[1]
        listener = Listener(sock=sock, name=f"{host}:{self._bound_port}")
        async with sock, BackgroundTasks() as tasks:
            for number in itertools.count(1):
                client = await listener.accept()
                admission = self._budget.open()
                if admission.replaced is not None:
                    await _evict(admission.replaced)
                if admission.account is None:
                    await turn_away(client, self._refusal_status)
                else:
                    await tasks.spawn(self._serve_connection, client, admission.account)
                if number % _ACCEPTS_PER_TURN == 0:
                    await curio.sleep(0)

    async def _serve_connection(
        self, sock: curio.io.Socket, account: ConnectionAccount
    ) -> None:
        connection = _Connection(
            sock=sock, limits=self._limits, task=await curio.current_task()
        )
        account.owner = connection
        try:
            if account.is_replaced:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while await self._serve_request(connection, account):
                connection.parser.start_next_cycle()
        except (OSError, curio.TaskTimeout, h11.LocalProtocolError, _EvictedError):
            return
        finally:
            self._budget.close(account)
            await sock.close()

    async def _serve_request(
        self, connection: _Connection, account: ConnectionAccount
    ) -> bool:
        """Serves one request; returns whether the connection stays open for another."""
        request = await self._receive_or_refuse(connection, account)
        if request is None:
            return False
        sock, parser = connection.sock, connection.parser
        request = dataclasses.replace(
            request, is_abandoned=lambda: _is_closed_by_peer(sock)
        )
        self._active_requests += 1
        try:
            response = await self._handle(request)
            del request
            must_close = (
                self._is_draining
                or response.closes_connection
                or parser.their_state is not h11.DONE
            )
            self._budget.hold_response(account, len(response.body))
            await self._send(connection, response, close=must_close)
        finally:
            self._active_requests -= 1
            self._budget.wait(account)
        return parser.our_state is h11.DONE and not must_close

    async def _handle(self, request: Request) -> Response:
        """Calls the handler; a body that is nested too deeply to be read gets a 400."""
        try:
            return await self._handler(request)
        except RecursionError:
            return problem(400, "bad request", detail="the body is nested too deeply")

    async def _receive_or_refuse(
        self, connection: _Connection, account: ConnectionAccount
    ) -> Request | None:
        """Returns the next request, or None when the connection must be closed.

        Its bytes are freed before a refusal is sent.
        """
        try:
            return await self._receive_request(connection, account)
        except h11.RemoteProtocolError as error:
            answer = bad_request(error.error_status_hint, str(error))
        except BodyTooLargeError as error:
            answer = bad_request(413, str(error))
        except (_OverBudgetError, _EvictedError):
            if connection.reader is None:
                return None
            reason = "the room is needed for other requests"
            answer = refusal(self._refusal_status, reason)
        finally:
            connection.reader = None
        self._budget.dismiss(account)
        if connection.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._send(connection, answer, close=True)
            if not account.is_replaced:
                await linger(connection.sock)
        return None

    async def _receive_request(
        self, connection: _Connection, account: ConnectionAccount
    ) -> Request | None:
        """Returns the next request, or None when the connection has ended.

        Data that has already arrived is parsed without a timeout, as setting a
        timeout costs more than parsing a small request.
        """
        if not await self._wait_for_request(connection):
            return None
        self._budget.begin(account)
        reader = connection.reader = RequestReader(
            connection=connection.parser,
            header_bytes=self._limits.header_bytes,
            body_bytes=self._max_body_bytes(),
        )
        request = reader.read(_FIRST_READ_EVENTS)
        if request is None:
            await self._keep(account, reader)
            async with curio.timeout_after(self._limits.request_timeout_s):
                while request is None:
                    request = await self._receive_more(connection, account, reader)
        if not self._budget.complete(account):
            raise _OverBudgetError
        return request

    def _max_body_bytes(self) -> int:
        """Returns the limit in force; a larger body could never be kept."""
        in_force = self._body_limit() if self._body_limit is not None else None
        if in_force is None:
            in_force = self._limits.body_bytes
        return min(in_force, self._budget.request_bytes)

    async def _wait_for_request(self, connection: _Connection) -> bool:
        """Waits for the first bytes of a request; returns False when none arrive."""
        if connection.parser.trailing_data[0]:
            return True
        data = await curio.ignore_after(
            self._limits.idle_timeout_s, connection.sock.recv, _FIRST_READ_BYTES
        )
        if not data:
            return False
        connection.parser.receive_data(data)
        return True

    async def _receive_more(
        self,
        connection: _Connection,
        account: ConnectionAccount,
        reader: RequestReader,
    ) -> Request | None:
        """Waits for more of a request and reads it when it is this one's turn."""
        if reader.needs_data:
            await self._wait_for_data(connection)
        async with self._reading:
            if reader.needs_data:
                data = await connection.sock.recv(reader.next_read_bytes)
                connection.parser.receive_data(data)
            while True:
                request = reader.read(_EVENTS_PER_TURN)
                await self._keep(account, reader)
                await curio.sleep(0)
                if request is not None or reader.needs_data:
                    return request

    async def _wait_for_data(self, connection: _Connection) -> None:
        """Waits until data has arrived, without taking it from the socket.

        What has been taken and waits for its turn would not be charged.
        """
        parser, sock = connection.parser, connection.sock
        if parser.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await sock.sendall(parser.send(continue_response))
        if not await sock.recv(1, socket.MSG_PEEK):
            raise ConnectionResetError(
                "connection closed before the request was complete"
            )

    async def _send(
        self, connection: _Connection, response: Response, *, close: bool
    ) -> None:
        """Sends a response, with a timeout if it does not fit into the send buffer."""
        head, body = encode_response(connection.parser, response, close=close)
        parts = [head, body] if len(body) > _SEPARATE_BODY_BYTES else [head + body]
        for part in parts:
            sent = send_at_once(connection.sock, part)
            if sent < len(part):
                async with curio.timeout_after(self._limits.send_timeout_s):
                    await connection.sock.sendall(memoryview(part)[sent:])

    async def _keep(self, account: ConnectionAccount, reader: RequestReader) -> None:
        """Charges what a request takes, at the expense of others if need be."""
        growth = self._budget.grow(account, reader.held_bytes)
        for evicted in growth.evicted:
            await _evict(evicted)
        if not growth.is_granted:
            raise _OverBudgetError


def _is_closed_by_peer(sock: curio.io.Socket) -> bool:
    """Tells whether the peer has closed the connection without a reset.

    Returns False after a reset, as the peer may not have closed it on purpose.
    """
    try:
        return not sock._socket.recv(1, socket.MSG_PEEK)
    except OSError:
        return False


async def _evict(account: ConnectionAccount) -> None:
    """Frees what a connection keeps, and lets its task refuse its request."""
    connection = account.owner
    if not isinstance(connection, _Connection):
        return  # its task has not begun and will find that it is replaced
    if connection.reader is not None:
        connection.reader.discard()
    await connection.task.cancel(exc=_EvictedError, blocking=False)
