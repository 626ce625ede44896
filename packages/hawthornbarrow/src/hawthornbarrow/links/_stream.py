"""Length-prefixed byte blocks over a curio TCP stream."""

import socket
import struct

import curio

from hawthornbarrow.links._codec import LinkProtocolError

MAX_BLOCK_BYTES = 64 * 1024 * 1024
_PREFIX = struct.Struct("!I")
_READ_BYTES = 256 * 1024


class BlockStream:
    """Sends and receives whole blocks of bytes.

    Args:
        sock: A connected curio socket, owned by this object from here on.
    """

    def __init__(self, *, sock: curio.io.Socket) -> None:
        """Takes over the socket."""
        self._sock = sock
        self._buffer = bytearray()

    async def send_all(self, blocks: list[bytes]) -> None:
        """Sends blocks in one write."""
        parts = []
        for block in blocks:
            parts.append(_PREFIX.pack(len(block)))
            parts.append(block)
        await self._sock.sendall(b"".join(parts))

    async def receive(self) -> bytes | None:
        """Returns the next block, or None at the end of the stream.

        Raises:
            LinkProtocolError: The block is larger than MAX_BLOCK_BYTES.
        """
        if not await self._fill(_PREFIX.size):
            return None
        (size,) = _PREFIX.unpack_from(self._buffer)
        if size > MAX_BLOCK_BYTES:
            raise LinkProtocolError(
                f"block of {size} bytes, expected at most {MAX_BLOCK_BYTES}"
            )
        if not await self._fill(_PREFIX.size + size):
            return None
        block = bytes(self._buffer[_PREFIX.size : _PREFIX.size + size])
        del self._buffer[: _PREFIX.size + size]
        return block

    def disable_delay(self) -> None:
        """Makes the kernel send small blocks at once."""
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def limit_unacknowledged(self, timeout_s: float) -> None:
        """Makes the kernel end the connection when sent data stays unacknowledged."""
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

    async def _fill(self, size: int) -> bool:
        while len(self._buffer) < size:
            data = await self._sock.recv(_READ_BYTES)
            if not data:
                return False
            self._buffer += data
        return True
