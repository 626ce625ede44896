"""Keeps links to a growing set of addresses."""

import curio

from hawthornbarrow.links._port import LinkPort

_POLL_INTERVAL_S = 0.05  # between checks for new addresses


class Dialer:
    """Dials each added address, and dials again whenever its link is lost.

    Args:
        port: Link port of the process.
        own_address: Own `IP:PORT`, which is never dialed; empty for none.
    """

    def __init__(self, *, port: LinkPort, own_address: str = "") -> None:
        """Initializes a dialer without addresses."""
        self._port = port
        self._known_addresses = {own_address}
        self._new_addresses: list[str] = []

    def add(self, address: str) -> None:
        """Adds an `IP:PORT` to keep a link to."""
        if address not in self._known_addresses:
            self._known_addresses.add(address)
            self._new_addresses.append(address)

    async def run(self) -> None:
        """Keeps links to all added addresses until cancelled."""
        async with curio.TaskGroup(wait=None) as group:
            while True:
                while self._new_addresses:
                    host, _, tcp_port = self._new_addresses.pop().rpartition(":")
                    await group.spawn(self._port.dial, host, int(tcp_port))
                await curio.sleep(_POLL_INTERVAL_S)
