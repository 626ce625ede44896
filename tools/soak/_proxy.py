"""Loopback proxy that delays, resets or stalls connections, also in one direction."""

import enum
import socket
import struct

import curio

_MAX_READ_BYTES = 64 * 1024
_DELAY_S = 0.15
_LINGER_RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """How the proxy forwards the bytes of its connections.

    Stalled bytes are held back and forwarded when the mode changes.
    """

    PASS = "pass"
    DELAY = "delay"
    STALL_INBOUND = "cut_in"
    STALL_OUTBOUND = "cut_out"
    STALL_BOTH = "silent"


class Proxy:
    """Forwards connections from one address to another.

    Args:
        listen: Host and port to listen at.
        target: Host and port to forward to.
    """

    def __init__(self, *, listen: tuple[str, int], target: tuple[str, int]) -> None:
        """Initializes the proxy in a mode that forwards without faults."""
        self._listen = listen
        self._target = target
        self._open_sockets: set[curio.io.Socket] = set()
        self.mode = Mode.PASS

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        sock = curio.network.tcp_server_socket(
            *self._listen, backlog=256, reuse_address=True
        )
        async with sock, curio.TaskGroup(wait=None) as group:
            while True:
                client, _ = await sock.accept()
                await group.spawn(self._serve, client)

    def reset(self) -> None:
        """Resets all open connections."""
        for sock in list(self._open_sockets):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
                sock._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    async def _serve(self, client: curio.io.Socket) -> None:
        async with client:
            try:
                server = await curio.open_connection(*self._target)
            except OSError:
                return
            async with server:
                self._open_sockets.update((client, server))
                try:
                    async with curio.TaskGroup(wait=any) as group:
                        await group.spawn(
                            self._copy, client, server, Mode.STALL_INBOUND
                        )
                        await group.spawn(
                            self._copy, server, client, Mode.STALL_OUTBOUND
                        )
                finally:
                    self._open_sockets.difference_update((client, server))

    async def _copy(
        self, source: curio.io.Socket, destination: curio.io.Socket, stall_mode: Mode
    ) -> None:
        try:
            while True:
                data = await source.recv(_MAX_READ_BYTES)
                if not data:
                    return
                while self.mode in (Mode.STALL_BOTH, stall_mode):
                    await curio.sleep(0.05)
                if self.mode is Mode.DELAY:
                    await curio.sleep(_DELAY_S)
                await destination.sendall(data)
        except OSError:
            return
