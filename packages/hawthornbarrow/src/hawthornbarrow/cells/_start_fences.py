"""StartFences: starts that may reach an upstream that restarted under the same id.

A start call names only the id of its upstream, so a call that was meant for the former
incarnation may be carried out by the next one. Such starts are fenced by stop calls,
which close their attempts, before anyone may start the tasks elsewhere.
"""

import dataclasses

from hawthornbarrow.cells._parts import TaskKey, WorkerRecord
from hawthornbarrow.cells._run_record import RunRecord
from hawthornbarrow.cells._timing import RunLeaseTiming
from hawthornbarrow.cells._upstream_calls import StartCall, StartResponse, StopCall

_NOT_CARRIED_OUT = frozenset(
    {StartResponse.GONE, StartResponse.TOO_LATE, StartResponse.NO_ANSWER}
)


@dataclasses.dataclass(kw_only=True)
class _Fence:
    """A start to fence.

    Attributes:
        open_call_count: Start calls that have no response yet.
        is_carried_out: Whether an upstream answered a call after the loss.
        expires_at_s: When no run of it can exist any more.
        stop_sent_at_s: When its stop call was made last.
        confirmed_at_s: When the current incarnation confirmed the stop, or None.
    """

    open_call_count: int
    expires_at_s: float
    is_carried_out: bool = False
    stop_sent_at_s: float = -1e9
    confirmed_at_s: float | None = None


class StartFences:
    """Fences the starts that were under way when an upstream was lost.

    Args:
        timing: Durations of the leases.
        retry_interval_s: Interval at which stop calls are repeated.
    """

    def __init__(self, *, timing: RunLeaseTiming, retry_interval_s: float) -> None:
        """Initializes it without starts."""
        self._timing = timing
        self._retry_interval_s = retry_interval_s
        self._upstream = ""
        self._fences: dict[tuple[TaskKey, int], _Fence] = {}

    def add(self, upstream: str, record: RunRecord, now_s: float) -> None:
        """Adds the start of a run that was lost with its upstream.

        Args:
            upstream: Id of the upstream.
            record: The run.
            now_s: Current time.
        """
        if upstream != self._upstream:
            self._fences.clear()
            self._upstream = upstream
        key = record.order.task, record.order.attempt
        self._fences[key] = _Fence(
            open_call_count=record.open_call_count,
            expires_at_s=now_s + self._timing.lost_after_s,
        )

    def on_start_response(
        self, call: StartCall, response: StartResponse, now_s: float
    ) -> None:
        """Processes the response to a start call."""
        fence = self._fences.get((call.order.task, call.order.attempt))
        if fence is None or call.upstream != self._upstream:
            return
        fence.open_call_count -= 1
        if response not in _NOT_CARRIED_OUT:
            fence.is_carried_out = True
            fence.expires_at_s = now_s + self._timing.lost_after_s

    def on_incarnation(self, upstream: str) -> None:
        """Processes a new incarnation; calls to another id do not reach it."""
        if upstream != self._upstream:
            self._fences.clear()
        for fence in self._fences.values():
            fence.stop_sent_at_s = -1e9
            fence.confirmed_at_s = None

    def on_stop_confirmed(self, call: StopCall, now_s: float) -> None:
        """Processes the confirmation of a stop by the current incarnation."""
        fence = self._fences.get((call.task, call.attempt))
        if fence is not None and fence.confirmed_at_s is None:
            fence.confirmed_at_s = now_s

    def take_calls(
        self, worker: WorkerRecord, term: int, now_s: float
    ) -> list[StopCall]:
        """Returns the stop calls to make now."""
        calls = []
        for (task, attempt), fence in self._fences.items():
            is_due = now_s - fence.stop_sent_at_s >= self._retry_interval_s
            if fence.confirmed_at_s is None and is_due:
                fence.stop_sent_at_s = now_s
                calls.append(
                    StopCall(
                        upstream=worker.upstream,
                        task=task,
                        attempt=attempt,
                        term=term,
                        born_ms=worker.born_ms,
                    )
                )
        return calls

    def on_listing(self, asked_at_s: float) -> bool:
        """Removes the fences that a listing completes.

        Returns:
            Whether none is left.
        """
        for key, fence in list(self._fences.items()):
            confirmed_at_s = fence.confirmed_at_s
            if (
                confirmed_at_s is not None
                and asked_at_s > confirmed_at_s + self._timing.stop_s
            ):
                del self._fences[key]
        return not self._fences

    def may_run(self, now_s: float) -> bool:
        """Returns whether a start may be carried out by an unannounced incarnation."""
        return any(
            now_s < fence.expires_at_s
            and (fence.open_call_count > 0 or fence.is_carried_out)
            for fence in self._fences.values()
        )
