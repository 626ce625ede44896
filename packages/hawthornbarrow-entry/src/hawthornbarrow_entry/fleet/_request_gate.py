"""RequestGate: the curio tasks of requests that wait until an entry can serve."""

import curio
import structlog
from hawthornbarrow.clock import steady_s

from hawthornbarrow_entry.fleet._gap_waits import (
    CallerRequest,
    GapWaits,
    WaitEnd,
    WaitingRequest,
)

_log = structlog.get_logger()


class RequestGate:
    """Blocks the tasks of requests as GapWaits decides.

    Args:
        waits: Decides how long requests wait.
    """

    def __init__(self, *, waits: GapWaits) -> None:
        """Initializes a gate without waiting requests."""
        self._waits = waits
        self._events: dict[WaitingRequest, curio.Event] = {}
        self._is_closed = False

    @property
    def count(self) -> int:
        """Number of waiting requests."""
        return self._waits.count

    @property
    def counts(self) -> dict[str, int]:
        """Number of waits by how they ended."""
        return dict(self._waits.counts)

    async def wait(
        self,
        request: CallerRequest,
        now_s: float,
        *,
        has_configuration: bool,
        queue_timeout_s: float | None,
        held_count: int,
    ) -> None:
        """Waits until requests can be served, or until the wait must end.

        Args:
            request: The request.
            now_s: Current time.
            has_configuration: As in GapWaits.begin.
            queue_timeout_s: As in GapWaits.begin.
            held_count: As in GapWaits.begin.
        """
        if self._is_closed:
            return
        waiting = self._waits.begin(
            request,
            now_s,
            has_configuration=has_configuration,
            queue_timeout_s=queue_timeout_s,
            held_count=held_count,
        )
        if waiting is None:
            return
        event = curio.Event()
        self._events[waiting] = event
        try:
            await curio.ignore_after(waiting.until_s - now_s, event.wait)
        finally:
            del self._events[waiting]
            self._waits.time_out(waiting)
        if waiting.end is not WaitEnd.SERVED:
            _log.info(
                "request_wait_ended",
                end=waiting.end.value,
                waited_s=round(steady_s() - waiting.began_at_s, 3),
                waiting=self.count,
            )

    async def release(self, now_s: float) -> None:
        """Ends all waits, as the entry can serve now."""
        await self._wake(self._waits.take_served(now_s))

    async def drop_abandoned(self) -> None:
        """Ends the waits of callers that have closed their connections."""
        await self._wake(self._waits.take_abandoned())

    async def close(self) -> None:
        """Ends all waits, as the entry stops; later requests do not wait."""
        self._is_closed = True
        await self._wake(self._waits.take_all())

    async def _wake(self, ended: list[WaitingRequest]) -> None:
        for waiting in ended:
            await self._events[waiting].set()
