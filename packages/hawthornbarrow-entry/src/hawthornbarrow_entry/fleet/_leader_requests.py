"""LeaderRequests: pending requests of an entry to the dispatcher.

The dispatcher is the leader of the ledger or, while there is none, a standby. A standby
replies to requests for the state of a job only.

A reply may arrive late: after the request has timed out, after this process has
restarted, or from a former leader that has committed a proposal since. So it is matched
with its request by the number, which does not repeat in other processes, by its sender
and by its kind.
"""

import collections.abc
import random

import curio
import structlog
from hawthornbarrow.cells import (
    CellMessage,
    ConfigurationOutcome,
    ConfigurationReply,
    EvacuationOutcome,
    GetConfiguration,
    GetJobState,
    JobStateReply,
    ProposeConfiguration,
    ProposeEvacuation,
)

_NUMBER_BITS = 62

LeaderRequest = (
    GetJobState | ProposeConfiguration | GetConfiguration | ProposeEvacuation
)
LeaderReply = (
    JobStateReply | ConfigurationOutcome | ConfigurationReply | EvacuationOutcome
)

_REPLY_TYPES: dict[type, type] = {
    GetJobState: JobStateReply,
    ProposeConfiguration: ConfigurationOutcome,
    GetConfiguration: ConfigurationReply,
    ProposeEvacuation: EvacuationOutcome,
}

_log = structlog.get_logger()


class LeaderUnavailableError(Exception):
    """No leader is known or it did not answer in time."""


class _PendingReply:
    """Receives the reply to one request."""

    def __init__(self, leader: str, reply_type: type) -> None:
        self.event = curio.Event()
        self.leader = leader
        self.reply_type = reply_type
        self.message: LeaderReply | None = None


class LeaderRequests:
    """Numbers requests and assigns each reply to its request.

    Args:
        send: Sends a request to an entry.
        dispatcher: Returns the name of the dispatcher's entry, empty when unknown.
        generator: Random generator for the first number. Another process of this entry
            must draw another one.
    """

    def __init__(
        self,
        *,
        send: collections.abc.Callable[
            [str, CellMessage], collections.abc.Coroutine[None, None, None]
        ],
        dispatcher: collections.abc.Callable[[], str],
        generator: random.Random,
    ) -> None:
        """Initializes requests without a pending one."""
        self._send = send
        self._dispatcher = dispatcher
        self._pending: dict[int, _PendingReply] = {}
        self._next_number = 1 + generator.getrandbits(_NUMBER_BITS)

    async def request(
        self,
        make_request: collections.abc.Callable[[int], LeaderRequest],
        timeout_s: float,
    ) -> LeaderReply:
        """Sends a request to the dispatcher and returns its reply.

        Args:
            make_request: Returns the request message with the given number.
            timeout_s: How long to wait for the reply.

        Raises:
            LeaderUnavailableError: No dispatcher is known or it did not reply in time.
        """
        leader = self._dispatcher()
        if not leader:
            raise LeaderUnavailableError("no leader is known")
        number = self._next_number
        self._next_number += 1
        request = make_request(number)
        pending = _PendingReply(leader, _REPLY_TYPES[type(request)])
        self._pending[number] = pending
        try:
            await self._send(leader, request)
            await curio.ignore_after(timeout_s, pending.event.wait)
        finally:
            del self._pending[number]
        if pending.message is None:
            raise LeaderUnavailableError("the leader did not answer in time")
        return pending.message

    async def on_reply(self, peer: str, message: LeaderReply) -> None:
        """Passes a reply to the request that waits for it, or drops it.

        Args:
            peer: The entry that sent the reply.
            message: The reply.
        """
        pending = self._pending.get(message.number)
        if pending is None:
            return
        is_reply = isinstance(message, pending.reply_type)
        if not is_reply or peer != pending.leader:
            _log.warning(
                "foreign_reply_dropped",
                peer=peer,
                leader=pending.leader,
                reply=type(message).__name__,
                expected=pending.reply_type.__name__,
            )
            return
        pending.message = message
        await pending.event.set()
