"""EventGuard: keeps a process running when the handling of one event fails."""

import collections.abc
import traceback

import structlog

_Handler = collections.abc.Callable[
    [object, float], collections.abc.Coroutine[None, None, None]
]

_log = structlog.get_logger()


class EventGuard:
    """Calls a handler; an unexpected error costs the event and not the process.

    Args:
        handler: Processes an event at the given time.
    """

    def __init__(self, *, handler: _Handler) -> None:
        """Initializes a guard without failures."""
        self._handler = handler
        self._failed_count = 0

    @property
    def failed_count(self) -> int:
        """Number of events whose handling failed."""
        return self._failed_count

    async def handle(self, event: object, now_s: float) -> None:
        """Processes an event, or logs why that failed."""
        try:
            await self._handler(event, now_s)
        except Exception as error:
            self._failed_count += 1
            message = getattr(event, "message", None)
            frames = traceback.extract_tb(error.__traceback__)
            _log.error(
                "event_failed",
                kind=type(event).__name__,
                content=type(message).__name__ if message is not None else "",
                peer=getattr(event, "peer", ""),
                error=repr(error),
                trace=" < ".join(
                    f"{frame.name}:{frame.lineno}" for frame in reversed(frames)
                ),
            )
