"""DemandRate: the rate at which work has arrived lately, by service."""

import collections

_WINDOW_S = 1.0
_MIN_SPAN_S = 0.25  # a shorter span says little about the rate
_MAX_SERVICES = 64


class _Arrivals:
    """Jobs of one service that arrived within the window."""

    def __init__(self, *, first_at_s: float) -> None:
        self._first_at_s = first_at_s
        self._recent: list[tuple[float, float]] = []

    def add(self, arrived_at_s: float, core_s: float) -> None:
        self._first_at_s = min(self._first_at_s, arrived_at_s)
        self._recent.append((arrived_at_s, core_s))

    def cores(self, now_s: float) -> float:
        since_s = now_s - _WINDOW_S
        self._recent = [arrival for arrival in self._recent if arrival[0] >= since_s]
        span_s = max(_MIN_SPAN_S, now_s - max(since_s, self._first_at_s))
        return sum(core_s for _, core_s in self._recent) / span_s


class DemandRate:
    """Measures the work that callers request of each service.

    Jobs count from the time at which their entry received them. So the jobs that
    waited through a gap and are then submitted together do not look like a burst.
    """

    def __init__(self) -> None:
        """Initializes a rate of zero for all services."""
        self._services: collections.OrderedDict[str, _Arrivals] = (
            collections.OrderedDict()
        )

    def record(self, service: str, core_s: float, arrived_at_s: float) -> None:
        """Records a job.

        Args:
            service: Service that it is for.
            core_s: Its expected work.
            arrived_at_s: When its entry received it.
        """
        arrivals = self._services.get(service)
        if arrivals is None:
            arrivals = self._services[service] = _Arrivals(first_at_s=arrived_at_s)
        self._services.move_to_end(service)
        if len(self._services) > _MAX_SERVICES:
            self._services.popitem(last=False)
        arrivals.add(arrived_at_s, core_s)

    def cores(self, service: str, now_s: float) -> float:
        """Returns the core-seconds per second that arrived for a service.

        The rate is taken over the last second, or since the first arrival if that is
        less, as after a takeover.
        """
        arrivals = self._services.get(service)
        return arrivals.cores(now_s) if arrivals is not None else 0.0
