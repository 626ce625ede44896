"""Keeps links to a changing set of addresses."""

import collections.abc

import curio

from hawthornbarrow.links._port import LinkPort
from hawthornbarrow.tasks import BackgroundTasks


class Dialer:
    """Dials each address of a set, and dials again whenever its link is lost.

    Args:
        port: Link port of the process.
        own_address: Own `IP:PORT`, which is never dialed; empty for none.
    """

    def __init__(self, *, port: LinkPort, own_address: str = "") -> None:
        """Initializes a dialer without addresses."""
        self._port = port
        self._own_address = own_address
        self._addresses: frozenset[str] = frozenset()
        self._has_changes = curio.Event()
        self._tasks: dict[str, curio.Task] = {}

    async def set_addresses(self, addresses: collections.abc.Iterable[str]) -> None:
        """Sets each `IP:PORT` to keep a link to; links to former ones are closed."""
        addresses = frozenset(addresses) - {self._own_address}
        if addresses != self._addresses:
            self._addresses = addresses
            await self._has_changes.set()

    async def run(self) -> None:
        """Keeps links to the addresses until cancelled."""
        async with BackgroundTasks() as tasks:
            while True:
                await self._has_changes.wait()
                self._has_changes.clear()
                for address in self._addresses - self._tasks.keys():
                    host, _, tcp_port = address.rpartition(":")
                    self._tasks[address] = await tasks.spawn(
                        self._port.dial, host, int(tcp_port)
                    )
                for address in self._tasks.keys() - self._addresses:
                    await self._tasks.pop(address).cancel()
