"""Dialer: keeps links to a growing set of addresses."""

import curio

from hawthornbarrow.links._port import LinkPort

_LOOK_S = 0.05  # between looks for addresses that were added


class Dialer:
    """Dials each address once it is known, and again whenever its link is lost.

    Args:
        port: Links of the process.
        own_address: Address that is never dialled, empty for none.
    """

    def __init__(self, *, port: LinkPort, own_address: str = "") -> None:
        """Starts without addresses."""
        self._port = port
        self._known = {own_address}
        self._added: list[str] = []

    def add(self, address: str) -> None:
        """Takes an IP number and port to keep a link to."""
        if address not in self._known:
            self._known.add(address)
            self._added.append(address)

    async def run(self) -> None:
        """Dials until cancelled."""
        async with curio.TaskGroup(wait=None) as group:
            while True:
                while self._added:
                    host, _, port = self._added.pop().rpartition(":")
                    await group.spawn(self._port.dial, host, int(port))
                await curio.sleep(_LOOK_S)
