"""Loopback proxy that delays, resets, cuts one way or silences connections."""

import enum
import socket
import struct

import curio

_READ_BYTES = 64 * 1024
_DELAY_S = 0.15
_RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What the proxy does to the bytes of its connections."""

    PASS = "pass"
    DELAY = "delay"
    CUT_IN = "cut_in"
    CUT_OUT = "cut_out"
    SILENT = "silent"


class Proxy:
    """Forwards one address to another.

    Args:
        listen: Host and port to listen at.
        target: Host and port to forward to.
    """

    def __init__(self, *, listen: tuple[str, int], target: tuple[str, int]) -> None:
        """Starts by passing everything on."""
        self._listen = listen
        self._target = target
        self._open: set[curio.io.Socket] = set()
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
        for sock in list(self._open):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
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
                self._open.update((client, server))
                try:
                    async with curio.TaskGroup(wait=any) as group:
                        await group.spawn(self._copy, client, server, Mode.CUT_IN)
                        await group.spawn(self._copy, server, client, Mode.CUT_OUT)
                finally:
                    self._open.difference_update((client, server))

    async def _copy(
        self, source: curio.io.Socket, sink: curio.io.Socket, cut: Mode
    ) -> None:
        try:
            while True:
                data = await source.recv(_READ_BYTES)
                if not data:
                    return
                while self.mode in (Mode.SILENT, cut):
                    await curio.sleep(0.05)
                if self.mode is Mode.DELAY:
                    await curio.sleep(_DELAY_S)
                await sink.sendall(data)
        except OSError:
            return
