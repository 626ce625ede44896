"""Questions: what an entry has asked the leader, until it is answered."""

import collections.abc

import curio
from hawthornbarrow.cells import (
    CellMessage,
    ConfigurationOutcome,
    ConfigurationReply,
    JobStateReply,
)


class NotSureError(Exception):
    """No leader could be asked in time."""


Answer = JobStateReply | ConfigurationOutcome | ConfigurationReply


class _Reply:
    """Where the answer to a question arrives."""

    def __init__(self) -> None:
        self.event = curio.Event()
        self.message: Answer | None = None


class Questions:
    """Numbers questions and gives each its answer.

    Args:
        send: Sends a question to the leader; returns whether one is known.
    """

    def __init__(
        self,
        *,
        send: collections.abc.Callable[
            [CellMessage], collections.abc.Coroutine[None, None, bool]
        ],
    ) -> None:
        """Starts without questions."""
        self._send = send
        self._replies: dict[int, _Reply] = {}
        self._next_number = 1

    async def ask(
        self, question: collections.abc.Callable[[int], CellMessage], limit_s: float
    ) -> Answer:
        """Asks the leader and returns its answer.

        Args:
            question: Returns the question under a number.
            limit_s: How long to wait.

        Raises:
            NotSureError: There is no leader, or it did not answer in time.
        """
        number = self._next_number
        self._next_number += 1
        reply = self._replies[number] = _Reply()
        try:
            if not await self._send(question(number)):
                raise NotSureError("no leader is known")
            await curio.ignore_after(limit_s, reply.event.wait)
        finally:
            del self._replies[number]
        if reply.message is None:
            raise NotSureError("the leader did not answer in time")
        return reply.message

    async def take(self, answer: Answer) -> None:
        """Takes an answer; one that came too late is dropped."""
        reply = self._replies.get(answer.number)
        if reply is not None:
            reply.message = answer
            await reply.event.set()
