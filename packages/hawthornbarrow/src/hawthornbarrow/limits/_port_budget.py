"""PortBudget: which connections a port keeps, and how many bytes for them."""

import collections
import dataclasses

RECEIVE_BUFFER_BYTES = 16 * 1024  # as set on the socket
INCLUDED_BYTES = 16 * 1024  # of a request, charged with the connection
# A connection with its parser and its task, and what the kernel holds unread for it,
# which may be half more than the buffer was set to.
CONNECTION_BYTES = 16 * 1024 + INCLUDED_BYTES + RECEIVE_BUFFER_BYTES * 3 // 2


class ConnectionAccount:
    """What one connection is charged with.

    Attributes:
        owner: The connection, as the user of the budget knows it.
        charged_bytes: Bytes of its request or response beyond what is included.
        is_evicted: Whether its request must be refused, as another one has its bytes.
        is_replaced: Whether another connection has its place, so that it must be
            closed.
    """

    __slots__ = ("charged_bytes", "is_evicted", "is_replaced", "owner")

    def __init__(self) -> None:
        """Initializes the account of a connection without a request."""
        self.owner: object = None
        self.charged_bytes = 0
        self.is_evicted = False
        self.is_replaced = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admission:
    """Decision about a new connection.

    Attributes:
        account: Account of the connection, or None when it must be refused.
        replaced: Connection that must be closed for it, if any.
    """

    account: ConnectionAccount | None
    replaced: ConnectionAccount | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Growth:
    """Decision about a request that has grown.

    Attributes:
        is_granted: Whether the request may keep its bytes; otherwise it must be
            refused and its bytes freed.
        evicted: Other connections whose requests must be refused for it. Nothing is
            charged to them any more, so their bytes must be freed at once.
    """

    is_granted: bool
    evicted: tuple[ConnectionAccount, ...] = ()


_REFUSED = Admission(account=None)
_GRANTED = Growth(is_granted=True)
_DENIED = Growth(is_granted=False)

# Ordered sets, with the connection that has been in them longest in front.
_Accounts = collections.OrderedDict[ConnectionAccount, None]


class PortBudget:
    """Bounds the connections of one port and the bytes that it keeps for them.

    This handles crowds of connections that ask for nothing, or whose requests are
    never finished.

    When all connections are open, a new one takes the place of the one that has waited
    longest with nothing asked, or else of the one whose request has been arriving
    longest. A request up to INCLUDED_BYTES is paid for by its connection. What a
    larger one takes beyond that is charged to the requests in common. When that is
    used up, the request that has been arriving longest is refused first. A request
    that has arrived in full is never refused for another.

    Args:
        max_connections: Connections that may be open at once.
        request_bytes: Bytes for requests and responses beyond what is included.

    Examples:
        >>> budget = PortBudget(max_connections=2, request_bytes=100_000)
        >>> slow, fast = budget.open().account, budget.open().account
        >>> budget.grow(slow, 80_000).is_granted
        True
        >>> budget.grow(fast, 80_000).evicted == (slow,)
        True
    """

    def __init__(self, *, max_connections: int, request_bytes: int) -> None:
        """Initializes a budget without connections."""
        self._max_connections = max_connections
        self._request_bytes = request_bytes
        self._connection_count = 0
        self._charged_bytes = 0
        self._idle: _Accounts = collections.OrderedDict()
        self._arriving: _Accounts = collections.OrderedDict()
        self._charged: _Accounts = collections.OrderedDict()  # and arriving
        self._counts = {
            "connection_refused": 0,
            "connection_replaced": 0,
            "request_evicted": 0,
            "request_over_budget": 0,
        }

    @property
    def max_connections(self) -> int:
        """Connections that may be open at once."""
        return self._max_connections

    @property
    def request_bytes(self) -> int:
        """Bytes for requests and responses beyond what is included."""
        return self._request_bytes

    @property
    def connection_count(self) -> int:
        """Open connections."""
        return self._connection_count

    @property
    def charged_bytes(self) -> int:
        """Bytes that are charged at present."""
        return self._charged_bytes

    @property
    def counts(self) -> dict[str, int]:
        """Number of refusals by cause."""
        return dict(self._counts)

    def open(self) -> Admission:
        """Decides on a new connection, which has asked for nothing yet."""
        replaced = None
        if self._connection_count >= self._max_connections:
            replaced = next(iter(self._idle or self._arriving), None)
            if replaced is None:
                self._counts["connection_refused"] += 1
                return _REFUSED
            self._counts["connection_replaced"] += 1
            self.close(replaced)
            replaced.is_evicted = replaced.is_replaced = True
        self._connection_count += 1
        account = ConnectionAccount()
        self._idle[account] = None
        return Admission(account=account, replaced=replaced)

    def begin(self, account: ConnectionAccount) -> None:
        """Notes that the first bytes of a request have arrived."""
        self._idle.pop(account, None)

    def grow(self, account: ConnectionAccount, held_bytes: int) -> Growth:
        """Decides whether a request that is arriving may keep what it takes.

        Args:
            account: Account of its connection.
            held_bytes: All that the request takes so far.
        """
        if account.is_evicted:
            return _DENIED
        self._arriving[account] = None
        if held_bytes <= INCLUDED_BYTES:
            return _GRANTED
        self._charged[account] = None
        self._charge(account, held_bytes - INCLUDED_BYTES)
        evicted = []
        while self._charged_bytes > self._request_bytes:
            oldest = next(iter(self._charged))
            if oldest is account:
                self._counts["request_over_budget"] += 1
                self.release(account)
                return Growth(is_granted=False, evicted=tuple(evicted))
            self._counts["request_evicted"] += 1
            self.release(oldest)
            oldest.is_evicted = True
            evicted.append(oldest)
        return Growth(is_granted=True, evicted=tuple(evicted)) if evicted else _GRANTED

    def complete(self, account: ConnectionAccount) -> bool:
        """Notes that a request has arrived in full.

        It is kept from then on until it is released. Returns False when it must be
        refused, as it was evicted.
        """
        self._arriving.pop(account, None)
        self._charged.pop(account, None)
        return not account.is_evicted

    def hold_response(self, account: ConnectionAccount, size_bytes: int) -> None:
        """Charges a response that is being sent, in place of its request.

        It is charged beyond the budget if need be: a response that is ready is
        delivered, and new requests are refused meanwhile.
        """
        self._charge(account, max(0, size_bytes - INCLUDED_BYTES))

    def release(self, account: ConnectionAccount) -> None:
        """Releases what the connection's request or response was charged with."""
        self._charge(account, 0)
        self._arriving.pop(account, None)
        self._charged.pop(account, None)

    def wait(self, account: ConnectionAccount) -> None:
        """Releases a connection's request, as it waits for the next one."""
        self.release(account)
        if not account.is_replaced:
            self._idle[account] = None

    def dismiss(self, account: ConnectionAccount) -> None:
        """Releases a request that is refused; its connection is the first to go."""
        self.wait(account)
        if not account.is_replaced:
            self._idle.move_to_end(account, last=False)

    def close(self, account: ConnectionAccount) -> None:
        """Notes that a connection is closed, unless another one has its place."""
        self.release(account)
        self._idle.pop(account, None)
        if not account.is_replaced:
            self._connection_count -= 1

    def _charge(self, account: ConnectionAccount, charged_bytes: int) -> None:
        self._charged_bytes += charged_bytes - account.charged_bytes
        account.charged_bytes = charged_bytes
