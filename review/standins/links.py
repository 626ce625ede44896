"""Stand-in network between the machines: a proxy before the links of each entry."""

import asyncio
import os
import pathlib

from standins.deployment import LINK_PORTS, Deployment, Machine
from standins.record import Record

_READ_BYTES = 64 * 1024


class LinkNetwork:
    """Forwards the links of all machines, and can cut machines off from all others.

    A cut is silent: channels over it stay open, and nothing arrives. When it heals, the
    channels that it has held up are closed.

    Args:
        deployment: The deployment, created with `has_link_network`.
        record: Where events are written.
    """

    def __init__(self, *, deployment: Deployment, record: Record) -> None:
        """Initializes a network without a cut."""
        self._deployment = deployment
        self._record = record
        self._cut_off: set[str] = set()
        self._servers: list[asyncio.Server] = []
        self._channels: set[tuple[str, str, asyncio.StreamWriter]] = set()

    async def open(self) -> None:
        """Begins to forward."""
        for entry in self._deployment.entries:
            server = await asyncio.start_server(
                lambda reader, writer, entry=entry: self._forward(
                    reader, writer, entry
                ),
                entry.link_ip,
                LINK_PORTS[0],
                backlog=256,
            )
            self._servers.append(server)

    def close(self) -> None:
        """Stops forwarding."""
        for server in self._servers:
            server.close()
        self._close_channels(lambda source, target: True)

    def cut_off(self, machine: Machine) -> None:
        """Cuts a machine off from all other machines of the system."""
        self._cut_off.add(machine.name)
        self._record.write("cut_begins", machine=machine.name)

    def heal(self, machine: Machine) -> None:
        """Ends the cut of a machine."""
        self._cut_off.discard(machine.name)
        self._close_channels(lambda source, target: machine.name in (source, target))
        self._record.write("cut_ends", machine=machine.name)

    def _close_channels(self, is_closed) -> None:
        for source, target, writer in list(self._channels):
            if is_closed(source, target):
                writer.transport.abort()

    def _is_cut(self, source: str, target: str) -> bool:
        return source in self._cut_off or target in self._cut_off

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: Machine,
    ) -> None:
        source = self._machine_of(writer)
        onward = None
        self._channels.add((source, target.name, writer))
        try:
            while self._is_cut(source, target.name):
                await asyncio.sleep(0.02)
                if writer.transport.is_closing():
                    return
            onward_reader, onward = await asyncio.open_connection(
                target.ip, LINK_PORTS[0]
            )
            self._channels.add((source, target.name, onward))
            await asyncio.wait(
                [
                    asyncio.create_task(self._copy(reader, onward, source, target)),
                    asyncio.create_task(
                        self._copy(onward_reader, writer, source, target)
                    ),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
        except OSError:
            return
        finally:
            for one in (writer, onward):
                if one is not None:
                    self._channels.discard((source, target.name, one))
                    one.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        target: Machine,
    ) -> None:
        try:
            while data := await reader.read(_READ_BYTES):
                while self._is_cut(source, target.name):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except OSError:
            return

    def _machine_of(self, writer: asyncio.StreamWriter) -> str:
        """Returns the name of the machine whose process has opened a channel.

        All channels come from one loopback address, so the process is found by the
        inode of its socket.
        """
        _, port = writer.get_extra_info("peername")[:2]
        inode = _inode_of(port, LINK_PORTS[0])
        for machine in self._deployment.machines:
            if machine.is_running and _has_socket(machine.process.pid, inode):
                return machine.name
        return ""


def _inode_of(local_port: int, remote_port: int) -> str:
    """Returns the inode of the socket with the given ports, empty for none."""
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        words = line.split()
        local, remote = (int(word.rpartition(":")[2], 16) for word in words[1:3])
        if (local, remote) == (local_port, remote_port):
            return words[9]
    return ""


def _has_socket(pid: int, inode: str) -> bool:
    """Returns whether a process has the socket with an inode."""
    folder = pathlib.Path(f"/proc/{pid}/fd")
    try:
        for name in os.listdir(folder):
            try:
                if os.readlink(folder / name) == f"socket:[{inode}]":
                    return True
            except OSError:
                continue
    except OSError:
        return False
    return False
