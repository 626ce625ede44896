"""Length-prefixed blocks of bytes over a curio TCP socket."""

import math
import socket
import struct

import curio

from hawthornbarrow.clock import steady_s
from hawthornbarrow.links._codec import LinkProtocolError

MAX_BLOCK_BYTES = 64 * 1024 * 1024
_LENGTH_PREFIX = struct.Struct("!I")
_READ_SIZE_BYTES = 256 * 1024


class BlockStream:
    """Sends and receives whole blocks of bytes.

    Args:
        sock: A connected curio socket, owned by this object from here on.
    """

    def __init__(self, *, sock: curio.io.Socket) -> None:
        """Initializes a stream with an empty buffer."""
        self._sock = sock
        self._buffer = bytearray()
        self._received_at_s = -math.inf

    @property
    def received_at_s(self) -> float:
        """Time at which the last bytes arrived, also of a block that is not whole."""
        return self._received_at_s

    async def send_all(self, blocks: list[bytes]) -> None:
        """Sends blocks in one write."""
        parts = []
        for block in blocks:
            parts.append(_LENGTH_PREFIX.pack(len(block)))
            parts.append(block)
        await self._sock.sendall(b"".join(parts))

    async def receive(self, *, max_bytes: int = MAX_BLOCK_BYTES) -> bytes | None:
        """Returns the next block, or None at the end of the stream.

        Args:
            max_bytes: Maximum size of the block.

        Raises:
            LinkProtocolError: The block is larger.
        """
        read_bytes = min(_READ_SIZE_BYTES, max_bytes)
        if not await self._fill(_LENGTH_PREFIX.size, read_bytes):
            return None
        (size,) = _LENGTH_PREFIX.unpack_from(self._buffer)
        if size > max_bytes:
            raise LinkProtocolError(
                f"block of {size} bytes, expected at most {max_bytes}"
            )
        if not await self._fill(_LENGTH_PREFIX.size + size, read_bytes):
            return None
        block = bytes(self._buffer[_LENGTH_PREFIX.size : _LENGTH_PREFIX.size + size])
        del self._buffer[: _LENGTH_PREFIX.size + size]
        return block

    def disable_delay(self) -> None:
        """Makes the kernel send small blocks without delay (TCP_NODELAY)."""
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def set_unacknowledged_timeout(self, timeout_s: float) -> None:
        """Makes the kernel end the connection when sent data stays unacknowledged.

        Args:
            timeout_s: Longest time that sent data may stay unacknowledged.
        """
        self._sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(timeout_s * 1000)
        )

    def shut_down(self) -> None:
        """Makes a blocked reader of the stream return at once."""
        try:
            self._sock._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    async def close(self) -> None:
        """Closes the socket."""
        await self._sock.close()

    async def _fill(self, size: int, read_bytes: int) -> bool:
        while len(self._buffer) < size:
            data = await self._sock.recv(read_bytes)
            if not data:
                return False
            self._buffer += data
            self._received_at_s = steady_s()
        return True
