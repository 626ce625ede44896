"""Waits of callers while no dispatcher can take their jobs.

A job that was submitted to no dispatcher has certainly not run, so its caller may be
refused at any time. Each wait ends early enough for the refusal to arrive.
"""

import collections
import collections.abc
import dataclasses
import enum
import math

import structlog

MAX_WAITING_COUNT = 2_000  # requests and jobs of one entry, which limits its memory
MAX_REQUEST_WAIT_S = 5.0
DEFAULT_REQUEST_WAIT_S = 1.0  # for callers that do not say how long they wait
# Time before a caller gives up at which it is refused: the interval in which waits are
# checked, and the way of the refusal.
REFUSAL_MARGIN_S = 0.2

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A caller's request that may wait until this entry can serve it.

    Attributes:
        received_at_s: When this entry received it.
        timeout_s: How long the caller waits from then on, or None when it did not say.
        is_abandoned: Returns whether the caller has closed its connection.
    """

    received_at_s: float
    timeout_s: float | None
    is_abandoned: collections.abc.Callable[[], bool]


class WaitEnd(enum.StrEnum):
    """How the wait of a request ended."""

    SERVED = "served"
    TIMED_OUT = "timed out"
    ABANDONED = "abandoned"
    STOPPED = "stopped"


@dataclasses.dataclass(eq=False, kw_only=True)
class WaitingRequest:
    """A request that waits until this entry can serve it.

    Attributes:
        began_at_s: When the wait began.
        until_s: When the wait ends at the latest.
        is_abandoned: Returns whether the caller has closed its connection.
        end: How the wait ended, or None while it lasts.
    """

    began_at_s: float
    until_s: float
    is_abandoned: collections.abc.Callable[[], bool]
    end: WaitEnd | None = None


class GapWaits:
    """Decides how long requests wait while this entry can not serve them.

    An entry can not serve without a configuration, or while its own may be out of date.
    Unless the feature is enabled, requests wait for the first configuration only, and
    until a fixed time after the start.

    Args:
        is_enabled: Whether requests wait as long as their callers allow.
        startup_until_s: Until when requests wait for the first configuration if the
            feature is not enabled.
    """

    def __init__(self, *, is_enabled: bool, startup_until_s: float) -> None:
        """Initializes an object without waiting requests."""
        self._is_enabled = is_enabled
        self._startup_until_s = startup_until_s
        self._waiting: dict[WaitingRequest, None] = {}
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def count(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def counts(self) -> collections.Counter[str]:
        """Number of waits by how they ended, and of requests refused at once."""
        return self._counts

    def begin(
        self,
        request: CallerRequest,
        now_s: float,
        *,
        has_configuration: bool,
        queue_timeout_s: float | None = None,
        held_count: int = 0,
    ) -> WaitingRequest | None:
        """Begins the wait of a request, or returns None when it can not wait.

        Args:
            request: The request.
            now_s: Current time.
            has_configuration: Whether the entry has a configuration, perhaps an old
                one.
            queue_timeout_s: How long callers of its queue wait, by an old
                configuration, or None when unknown.
            held_count: Number of jobs that wait for a dispatcher, which count towards
                the same limit.
        """
        until_s = self._until_s(request, has_configuration, queue_timeout_s)
        if until_s <= now_s:
            return None
        if self._is_enabled and self.count + held_count >= MAX_WAITING_COUNT:
            self._counts["gap_request_over_limit"] += 1
            return None
        waiting = WaitingRequest(
            began_at_s=now_s, until_s=until_s, is_abandoned=request.is_abandoned
        )
        self._waiting[waiting] = None
        return waiting

    def take_served(self, now_s: float) -> list[WaitingRequest]:
        """Ends all waits, as the entry can serve now, and returns them."""
        served = self._end_all(WaitEnd.SERVED)
        if served:
            waits_s = [now_s - waiting.began_at_s for waiting in served]
            _log.info(
                "waiting_requests_served",
                requests=len(served),
                longest_s=round(max(waits_s), 3),
                mean_s=round(sum(waits_s) / len(waits_s), 3),
            )
        return served

    def take_abandoned(self) -> list[WaitingRequest]:
        """Ends and returns the waits of callers that have closed their connections."""
        abandoned = [waiting for waiting in self._waiting if waiting.is_abandoned()]
        for waiting in abandoned:
            self._end(waiting, WaitEnd.ABANDONED)
        return abandoned

    def take_all(self) -> list[WaitingRequest]:
        """Ends and returns all waits, as the entry stops."""
        return self._end_all(WaitEnd.STOPPED)

    def time_out(self, waiting: WaitingRequest) -> None:
        """Ends the wait of a request whose time is over, unless it has ended."""
        if waiting.end is None:
            self._end(waiting, WaitEnd.TIMED_OUT)

    def _until_s(
        self,
        request: CallerRequest,
        has_configuration: bool,
        queue_timeout_s: float | None,
    ) -> float:
        if not self._is_enabled:
            return -math.inf if has_configuration else self._startup_until_s
        timeout_s = request.timeout_s
        if timeout_s is None:
            timeout_s = queue_timeout_s
        if timeout_s is None:
            timeout_s = DEFAULT_REQUEST_WAIT_S
        wait_s = min(timeout_s - REFUSAL_MARGIN_S, MAX_REQUEST_WAIT_S)
        return request.received_at_s + wait_s

    def _end_all(self, end: WaitEnd) -> list[WaitingRequest]:
        ended = list(self._waiting)
        for waiting in ended:
            self._end(waiting, end)
        return ended

    def _end(self, waiting: WaitingRequest, end: WaitEnd) -> None:
        waiting.end = end
        del self._waiting[waiting]
        self._counts[f"gap_request_{end.name.lower()}"] += 1
