"""ReleaseRates: how soon running tasks release capacity on a group of workers."""

import math

_WINDOW_S = 0.5
_UPDATE_INTERVAL_S = 0.05
_MIN_RATE = 1.0  # thousandths of a core per second

# Service, rack or empty for all workers, and speed class.
GroupKey = tuple[str, str, int]


class ReleaseRates:
    """Keeps the CPU that ended runs release per second, by group of workers.

    It answers how long a task waits for a worker of a group that is full now, where
    other waiting tasks go first. CPU promised to waiting tasks counts for one placement
    pass, as each pass goes through the waiting tasks anew.
    """

    def __init__(self) -> None:
        """Initializes rates of zero."""
        self._released: dict[GroupKey, float] = {}
        self._started: dict[tuple[GroupKey, int], float] = {}
        self._new_released: dict[GroupKey, int] = {}
        self._new_started: dict[tuple[GroupKey, int], int] = {}
        self._promised: dict[GroupKey, int] = {}
        self._priorities: set[int] = set()
        self._updated_at_s = -math.inf

    def begin_pass(self, now_s: float) -> None:
        """Begins a pass through the waiting tasks."""
        self._promised.clear()
        if now_s - self._updated_at_s < _UPDATE_INTERVAL_S:
            return
        decay = math.exp((self._updated_at_s - now_s) / _WINDOW_S)
        self._updated_at_s = now_s
        _update(self._released, self._new_released, decay)
        _update(self._started, self._new_started, decay)
        self._priorities = {priority for _, priority in self._started}

    def record_end(self, key: GroupKey, cpu: int) -> None:
        """Records that a run released CPU, in thousandths of a core."""
        self._new_released[key] = self._new_released.get(key, 0) + cpu

    def record_start(self, key: GroupKey, cpu: int, priority: int) -> None:
        """Records that a task of a priority was started."""
        started = (key, priority)
        self._new_started[started] = self._new_started.get(started, 0) + cpu

    def wait_s(self, key: GroupKey, cpu: int, priority: int) -> float:
        """Returns the expected time until a group has released CPU for a task.

        Args:
            key: The group.
            cpu: CPU that the task needs, in thousandths of a core.
            priority: Its priority. Tasks with a lower number that arrive meanwhile get
                CPU before it.
        """
        rate = self._released.get(key, 0.0) - sum(
            self._started.get((key, other), 0.0)
            for other in self._priorities
            if other < priority
        )
        if rate <= 0:
            return math.inf
        return (self._promised.get(key, 0) + cpu) / rate

    def promise(self, key: GroupKey, cpu: int) -> None:
        """Records that a waiting task awaits CPU of a group."""
        self._promised[key] = self._promised.get(key, 0) + cpu


def _update(rates: dict, new: dict, decay: float) -> None:
    """Decays rates, drops those that have faded and adds what is new."""
    for key, rate in list(rates.items()):
        rates[key] = rate * decay
        if rates[key] < _MIN_RATE:
            del rates[key]
    for key, cpu in new.items():
        rates[key] = rates.get(key, 0.0) + cpu / _WINDOW_S
    new.clear()
