"""RequestReader: assembles one request from the events of a connection's parser."""

import h11

from hawthornbarrow.http._exchange import Request

_HEADER_OVERHEAD_BYTES = 4
_FIELD_BYTES = 200  # objects of the parser for one header field
_BLOCK_BYTES = 64 * 1024
_READ_BYTES = 8 * 1024
_SMALL_READ_BYTES = 1024
_SMALL_READ_EVENTS = 32  # from which on 8 KiB would take many turns to parse


class BodyTooLargeError(Exception):
    """The request body is larger than the limit."""


class RequestReader:
    """Assembles one request from the events of a connection's parser.

    Args:
        connection: Parser of the connection.
        header_bytes: Maximum size of the request line and the headers together.
        body_bytes: Maximum size of the body.
    """

    def __init__(
        self, *, connection: h11.Connection, header_bytes: int, body_bytes: int
    ) -> None:
        """Initializes a reader that has read nothing."""
        self._connection = connection
        self._header_bytes = header_bytes
        self._body_bytes = body_bytes
        self._head: h11.Request | None = None
        self._announced_bytes: int | None = None
        self._body = _BodyBuffer()
        self._held_bytes = 0
        self._needs_data = False
        self._event_count = 0  # since data was received last

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes so far."""
        return self._held_bytes + len(self._body)

    @property
    def needs_data(self) -> bool:
        """Whether all that was received has been read."""
        return self._needs_data

    @property
    def next_read_bytes(self) -> int:
        """Number of bytes to receive next.

        No more than the body still needs, as the parser keeps what follows it, and
        little of a body in small chunks, which others wait for.
        """
        if self._announced_bytes is None:
            is_fine = self._event_count > _SMALL_READ_EVENTS
            return _SMALL_READ_BYTES if is_fine else _READ_BYTES
        return max(1, min(_BLOCK_BYTES, self._announced_bytes - len(self._body)))

    def read(self, max_events: int) -> Request | None:
        """Returns the request once it is complete, or None while it is not.

        Args:
            max_events: Events of the parser to process at most.

        Raises:
            BodyTooLargeError: The body is larger than the limit.
            ConnectionResetError: The connection ended within the request.
            h11.RemoteProtocolError: The request is not valid HTTP, or its head is
                larger than the limit.
        """
        if self._needs_data:
            self._event_count = 0
        self._needs_data = False
        for _ in range(max_events):
            event = self._connection.next_event()
            self._event_count += 1
            if event is h11.NEED_DATA:
                self._needs_data = True
                return None
            if isinstance(event, h11.Request):
                self._begin(event)
            elif isinstance(event, h11.Data):
                self._body.append(event.data)
                self._check_body_size(len(self._body))
            elif isinstance(event, h11.EndOfMessage) and self._head is not None:
                return _build_request(self._head, self._body.take())
            else:
                raise ConnectionResetError(
                    "connection closed before the request was complete"
                )
        return None

    def discard(self) -> None:
        """Frees what the request takes, as it will be refused."""
        self._head = None
        self._body = _BodyBuffer()

    def _begin(self, head: h11.Request) -> None:
        """Checks the head and the size of body that it announces.

        The parser limits only the size of an incomplete head, so it accepts a larger
        one that arrives at once.
        """
        size = len(head.target)
        is_chunked = False
        fields = head.headers.raw_items()
        for name, value in fields:
            size += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
            if name.lower() == b"content-length":
                self._announced_bytes = int(value)
            elif name.lower() == b"transfer-encoding":
                is_chunked = True
        if size > self._header_bytes:
            raise h11.RemoteProtocolError(
                f"request line and headers of {size} bytes, expected at most "
                f"{self._header_bytes}",
                error_status_hint=431,
            )
        if is_chunked:
            self._announced_bytes = None  # chunks go before an announced size
        self._check_body_size(self._announced_bytes or 0)
        self._head = head
        self._held_bytes = size + len(fields) * _FIELD_BYTES

    def _check_body_size(self, size: int) -> None:
        if size > self._body_bytes:
            raise BodyTooLargeError(f"body is larger than {self._body_bytes} bytes")


class _BodyBuffer:
    """Collects a body in blocks, so that one that grows is not copied each time."""

    def __init__(self) -> None:
        self._blocks: list[bytes | bytearray] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes | bytearray) -> None:
        """Appends data, to the last block while it is small."""
        self._size += len(data)
        last = self._blocks[-1] if self._blocks else b""
        if isinstance(last, bytearray) and len(last) + len(data) <= _BLOCK_BYTES:
            last += data
        elif len(data) * 2 < _BLOCK_BYTES:
            self._blocks.append(bytearray(data))
        else:
            self._blocks.append(bytes(data))

    def take(self) -> bytes:
        """Returns the whole body and drops the blocks; the size stays."""
        blocks, self._blocks = self._blocks, []
        return b"".join(blocks)


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
