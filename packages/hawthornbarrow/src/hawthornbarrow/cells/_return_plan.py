"""ReturnPlan: tells refused callers when to try again."""

import collections
import math

_SLOT_S = 1.0
_MAX_SLOTS = 8
_MAX_REMEMBERED = 4_096  # ids of refused jobs
_FIRST_SHORTAGE_S = 4.0
_SHORTAGE_WEIGHT = 0.3
_MIN_RETRY_AFTER_S = 1
_RETURN_FRACTION = 0.5  # of the free capacity of a second that returns may use


class ReturnPlan:
    """Spreads the returns of refused callers over the time of free capacity.

    It handles a shortage after which all callers that were refused at one moment would
    return at one moment. Each refusal books the job's work in a second after the
    predicted end of the shortage in which that much capacity is expected to be free.
    """

    def __init__(self) -> None:
        """Initializes a plan without bookings."""
        self._booked: dict[int, float] = {}
        self._refused: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._shortage_since_s: float | None = None
        self._mean_shortage_s = _FIRST_SHORTAGE_S

    @property
    def remembered_count(self) -> int:
        """Number of refused jobs that are remembered."""
        return len(self._refused)

    def booked_core_s(self, now_s: float) -> float:
        """Returns the work of callers that are expected to return."""
        self._drop_past(now_s)
        return sum(self._booked.values())

    def update(self, *, is_short: bool, now_s: float) -> None:
        """Records whether less capacity is free than is requested."""
        if is_short and self._shortage_since_s is None:
            self._shortage_since_s = now_s
        elif not is_short and self._shortage_since_s is not None:
            length_s = now_s - self._shortage_since_s
            self._mean_shortage_s += _SHORTAGE_WEIGHT * (
                length_s - self._mean_shortage_s
            )
            self._shortage_since_s = None

    def remaining_s(self, now_s: float) -> float:
        """Returns the predicted time until the shortage ends, zero without one.

        A shortage that has lasted longer than the mean is expected to last another
        second at least.
        """
        if self._shortage_since_s is None:
            return 0.0
        lasted_s = now_s - self._shortage_since_s
        return max(1.0, self._mean_shortage_s - lasted_s)

    def book(
        self, job: str, core_s: float, wait_s: float, free_cores: float, now_s: float
    ) -> int:
        """Returns the Retry-After of a refused job, in whole seconds.

        Args:
            job: Id of the job.
            core_s: Its expected work.
            wait_s: Its predicted wait if it were admitted now.
            free_cores: Capacity that is expected to be free once the shortage ends.
            now_s: Current time.
        """
        self._remember(job)
        self._drop_past(now_s)
        earliest_s = self._earliest_s(wait_s, now_s)
        slots = range(earliest_s, _MAX_SLOTS + 1)
        limit = max(core_s, free_cores * _RETURN_FRACTION * _SLOT_S)
        first = int(now_s / _SLOT_S)
        chosen = next(
            (
                slot
                for slot in slots
                if self._booked.get(first + slot, 0.0) + core_s <= limit
            ),
            None,
        )
        if chosen is None:
            chosen = min(slots, key=lambda slot: self._booked.get(first + slot, 0.0))
        self._booked[first + chosen] = self._booked.get(first + chosen, 0.0) + core_s
        return chosen

    def preview(self, wait_s: float, now_s: float) -> int:
        """Returns the earliest Retry-After, without a booking."""
        return self._earliest_s(wait_s, now_s)

    def take(self, job: str) -> bool:
        """Returns whether a job was refused before, and forgets it."""
        if job not in self._refused:
            return False
        del self._refused[job]
        return True

    def _earliest_s(self, wait_s: float, now_s: float) -> int:
        earliest = math.ceil(max(self.remaining_s(now_s), min(wait_s, _MAX_SLOTS)))
        return max(_MIN_RETRY_AFTER_S, min(_MAX_SLOTS, earliest))

    def _remember(self, job: str) -> None:
        self._refused[job] = None
        self._refused.move_to_end(job)
        if len(self._refused) > _MAX_REMEMBERED:
            self._refused.popitem(last=False)

    def _drop_past(self, now_s: float) -> None:
        first = int(now_s / _SLOT_S)
        for slot in [slot for slot in self._booked if slot < first]:
            del self._booked[slot]
