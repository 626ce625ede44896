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
    """

    __slots__ = ("charged_bytes", "is_evicted", "owner")

    def __init__(self) -> None:
        """Initializes the account of a connection without a request."""
        self.owner: object = None
        self.charged_bytes = 0
        self.is_evicted = False


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


_GRANTED = Growth(is_granted=True)
_DENIED = Growth(is_granted=False)


class PortBudget:
    """Bounds the connections of one port and the bytes that it keeps for them.

    This handles crowds of connections whose requests take much memory and are never
    finished. A request up to INCLUDED_BYTES is paid for by its connection. What a
    larger one takes beyond that is charged to the requests in common. When that is
    used up, the request that has been arriving longest is refused first. A request
    that has arrived in full is never refused for another.

    Args:
        max_connections: Connections that may be open at once.
        request_bytes: Bytes for requests and responses beyond what is included.

    Examples:
        >>> budget = PortBudget(max_connections=2, request_bytes=100_000)
        >>> slow, fast = budget.open(), budget.open()
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
        # Requests that are arriving and charged, the one that began first in front.
        self._arriving: collections.OrderedDict[ConnectionAccount, None] = (
            collections.OrderedDict()
        )
        self._counts = {
            "connection_refused": 0,
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

    def open(self) -> ConnectionAccount | None:
        """Returns the account of a new connection, or None when it must be refused."""
        if self._connection_count >= self._max_connections:
            self._counts["connection_refused"] += 1
            return None
        self._connection_count += 1
        return ConnectionAccount()

    def grow(self, account: ConnectionAccount, held_bytes: int) -> Growth:
        """Decides whether a request that is arriving may keep what it takes.

        Args:
            account: Account of its connection.
            held_bytes: All that the request takes so far.
        """
        if account.is_evicted:
            return _DENIED
        if held_bytes <= INCLUDED_BYTES:
            return _GRANTED
        if account not in self._arriving:
            self._arriving[account] = None
        self._charge(account, held_bytes - INCLUDED_BYTES)
        evicted = []
        while self._charged_bytes > self._request_bytes:
            oldest = next(iter(self._arriving))
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
        if account.charged_bytes:
            self._arriving.pop(account, None)
        return not account.is_evicted

    def hold_response(self, account: ConnectionAccount, size_bytes: int) -> None:
        """Charges a response that is being sent, in place of its request.

        It is charged beyond the budget if need be: a response that is ready is
        delivered, and new requests are refused meanwhile.
        """
        self._charge(account, max(0, size_bytes - INCLUDED_BYTES))

    def release(self, account: ConnectionAccount) -> None:
        """Releases what the connection's request or response was charged with."""
        if account.charged_bytes:
            self._charge(account, 0)
            self._arriving.pop(account, None)

    def close(self, account: ConnectionAccount) -> None:
        """Notes that a connection is closed."""
        self.release(account)
        self._connection_count -= 1

    def _charge(self, account: ConnectionAccount, charged_bytes: int) -> None:
        self._charged_bytes += charged_bytes - account.charged_bytes
        account.charged_bytes = charged_bytes
