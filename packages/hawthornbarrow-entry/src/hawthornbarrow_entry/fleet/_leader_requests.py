"""LeaderRequests: pending requests of an entry to the dispatcher.

The dispatcher is the leader of the ledger or, while there is none, a standby. A standby
replies to requests for the state of a job only.
"""

import collections.abc

import curio
from hawthornbarrow.cells import (
    CellMessage,
    ConfigurationOutcome,
    ConfigurationReply,
    EvacuationOutcome,
    JobStateReply,
)


class LeaderUnavailableError(Exception):
    """No leader is known or it did not answer in time."""


LeaderReply = (
    JobStateReply | ConfigurationOutcome | ConfigurationReply | EvacuationOutcome
)


class _PendingReply:
    """Receives the reply to one request."""

    def __init__(self) -> None:
        self.event = curio.Event()
        self.message: LeaderReply | None = None


class LeaderRequests:
    """Numbers requests and assigns each reply to its request.

    Args:
        send: Sends a request to the dispatcher and returns whether one is known.
    """

    def __init__(
        self,
        *,
        send: collections.abc.Callable[
            [CellMessage], collections.abc.Coroutine[None, None, bool]
        ],
    ) -> None:
        """Initializes requests without a pending one."""
        self._send = send
        self._pending: dict[int, _PendingReply] = {}
        self._next_number = 1

    async def request(
        self,
        make_request: collections.abc.Callable[[int], CellMessage],
        timeout_s: float,
    ) -> LeaderReply:
        """Sends a request to the dispatcher and returns its reply.

        Args:
            make_request: Returns the request message with the given number.
            timeout_s: How long to wait for the reply.

        Raises:
            LeaderUnavailableError: No dispatcher is known or it did not reply in time.
        """
        number = self._next_number
        self._next_number += 1
        pending = self._pending[number] = _PendingReply()
        try:
            if not await self._send(make_request(number)):
                raise LeaderUnavailableError("no leader is known")
            await curio.ignore_after(timeout_s, pending.event.wait)
        finally:
            del self._pending[number]
        if pending.message is None:
            raise LeaderUnavailableError("the leader did not answer in time")
        return pending.message

    async def on_reply(self, message: LeaderReply) -> None:
        """Passes a reply to the request that waits for it, or drops a late one."""
        pending = self._pending.get(message.number)
        if pending is not None:
            pending.message = message
            await pending.event.set()
