"""Shares: what queues, size classes and callers' data centres get under contention."""

import collections
import collections.abc
import dataclasses

import structlog

from hawthornbarrow.cells._arrival_forecast import ArrivalForecast
from hawthornbarrow.cells._job_record import JobRecord, Lane
from hawthornbarrow.queues import Queue

USABLE_FRACTION = 0.92  # of the capacity; the rest is lost to uneven task sizes
_BIN_S = 0.25
_WINDOW_BINS = 16
WINDOW_S = _BIN_S * _WINDOW_BINS
_DEMAND_BINS = 4  # 1 s
_BACKLOG_S = 0.5  # time in which a backlog should be served
_BEGIN_PRESSURE = 1.0
_END_PRESSURE = 0.9
_MIN_CONTENTION_S = 1.0
_MEAN_WORK_WEIGHT = 0.02
_LARGEST_FACTOR = 2.0  # times the mean work of a queue
_MAX_HASTE = 0.5  # part of the slack by which a job that got little is advanced
_MAX_QUEUES = 256
_MAX_DATA_CENTRES = 64
_MIN_RATE_CORES = 0.001

_log = structlog.get_logger()


class _SlidingSum:
    """Sum over a window of bins, with a bounded number of bins."""

    def __init__(self) -> None:
        self._bins = [0.0] * _WINDOW_BINS
        self._number = 0
        self._total = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Adds an amount now."""
        self._advance(now_s)
        self._bins[self._number % _WINDOW_BINS] += amount
        self._total += amount

    def total(self, now_s: float) -> float:
        """Returns the sum over the window."""
        self._advance(now_s)
        return self._total

    def recent_rate(self, now_s: float) -> float:
        """Returns the amount per second in the newest full bins."""
        self._advance(now_s)
        amount = sum(
            self._bins[(self._number - back) % _WINDOW_BINS]
            for back in range(1, _DEMAND_BINS + 1)
        )
        return amount / (_DEMAND_BINS * _BIN_S)

    def _advance(self, now_s: float) -> None:
        number = int(now_s / _BIN_S)
        if number <= self._number:
            return
        for gone in range(max(self._number, number - _WINDOW_BINS) + 1, number + 1):
            self._bins[gone % _WINDOW_BINS] = 0.0
        self._number = number
        # Adding all bins anew also removes what rounding has left.
        self._total = sum(self._bins)


class _Usage:
    """Work that was requested, started and refused over the window."""

    def __init__(self) -> None:
        self.requested = _SlidingSum()
        self.started = _SlidingSum()
        self.refused = _SlidingSum()

    def received_part(self, now_s: float) -> float:
        """Returns the part of what was decided that was started, 1 without any."""
        started = self.started.total(now_s)
        decided = started + self.refused.total(now_s)
        return started / decided if decided > 0 else 1.0


class _QueueUsage:
    """Usage of a queue, in all and by lane."""

    def __init__(self, *, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight
        self.mean_core_s = 0.0
        self.all = _Usage()
        self.by_lane = [_Usage() for _ in Lane]

    def classify(self, core_s: float) -> Lane:
        """Returns the lane of a job by its work, and counts it in the mean."""
        if not self.mean_core_s:
            self.mean_core_s = core_s
        mean = self.mean_core_s
        self.mean_core_s += _MEAN_WORK_WEIGHT * (core_s - mean)
        if core_s <= mean:
            return Lane.SMALL
        return Lane.LARGE if core_s < _LARGEST_FACTOR * mean else Lane.LARGEST


@dataclasses.dataclass(kw_only=True)
class _ServiceState:
    """Contention for the workers of a service.

    Attributes:
        is_contended: Whether more is requested than the workers serve.
        pressed_at_s: When that was last so.
        rate_cores: Work that they complete per second.
        demand_cores: Demand by queue, as rates.
        available_cores: Rate that each queue could use, by queue.
        over_share: Queues that request more than their share.
    """

    is_contended: bool = False
    pressed_at_s: float = 0.0
    rate_cores: float = 0.0
    demand_cores: dict[str, float] = dataclasses.field(default_factory=dict)
    available_cores: dict[str, float] = dataclasses.field(default_factory=dict)
    over_share: frozenset[str] = frozenset()


class Shares:
    """Guarantees each queue, size class and data centre a share under contention.

    It handles a burst of one queue, which must not cost the others their share, and a
    load in which the largest jobs or the callers of one data centre would always come
    last. A queue's share follows from weighted max-min fairness: no queue gets more
    than it requests, and what it leaves is lent to the others by their weights.

    Args:
        forecast: Forecast of the demand, or None to use what arrived in the last
            second.
        counts: Event counters.
    """

    def __init__(
        self,
        *,
        forecast: ArrivalForecast | None,
        counts: collections.Counter[str],
    ) -> None:
        """Initializes shares of no queues, without contention."""
        self._forecast = forecast
        self._counts = counts
        self._queues: collections.OrderedDict[str, _QueueUsage] = (
            collections.OrderedDict()
        )
        self._data_centres: collections.OrderedDict[str, _Usage] = (
            collections.OrderedDict()
        )
        self._services: dict[str, _ServiceState] = {}
        self._mean_part = 1.0

    @property
    def contended_count(self) -> int:
        """Number of services whose workers are contended."""
        return sum(state.is_contended for state in self._services.values())

    def is_contended(self, service: str) -> bool:
        """Returns whether the workers of a service are contended."""
        state = self._services.get(service)
        return state is not None and state.is_contended

    def is_over_share(self, queue: Queue) -> bool:
        """Returns whether a queue requests more than its share."""
        state = self._services.get(queue.service)
        return state is not None and queue.name in state.over_share

    def record_request(self, job: JobRecord, core_s: float, now_s: float) -> None:
        """Records a new job, and sets its lane by its work unless it returned.

        Args:
            job: The job.
            core_s: Its expected work.
            now_s: Current time.
        """
        queue = self._queue_of(job)
        lane = queue.classify(core_s)
        if job.lane is not Lane.RETURNED:
            job.lane = lane
        for usage in self._usages(job, queue):
            usage.requested.add(core_s, now_s)

    def record_start(self, job: JobRecord, core_s: float, now_s: float) -> None:
        """Records the start of tasks of a job."""
        for usage in self._usages(job, self._queue_of(job)):
            usage.started.add(core_s, now_s)

    def record_refusal(self, job: JobRecord, core_s: float, now_s: float) -> None:
        """Records that a job that has not begun was refused."""
        for usage in self._usages(job, self._queue_of(job)):
            usage.refused.add(core_s, now_s)

    def queue_rate_cores(self, queue: Queue) -> float:
        """Returns the rate that a queue would get if it requested without limit."""
        state = self._services.get(queue.service)
        usage = self._queues.get(queue.name)
        if state is None or usage is None:
            return _MIN_RATE_CORES
        rate = state.available_cores.get(queue.name)
        if rate is None:
            rate = self._available_cores(state, queue.name, usage.weight)
            state.available_cores[queue.name] = rate
        return max(rate, _MIN_RATE_CORES)

    def lane_rate_cores(self, queue: Queue, lane: Lane, now_s: float) -> float:
        """Returns the rate at which work of a queue's lane is served.

        A lane gets the part of its queue's share that it has of the requests; returned
        jobs get twice that, so that they are served before new ones.
        """
        rate = self.queue_rate_cores(queue)
        usage = self._queues.get(queue.name)
        requested = usage.all.requested.total(now_s) if usage else 0.0
        if requested <= 0:
            return rate
        part = usage.by_lane[lane].requested.total(now_s) / requested
        if lane is Lane.RETURNED:
            part = min(1.0, 2 * part)
        return max(rate * part, _MIN_RATE_CORES)

    def haste(self, job: JobRecord, now_s: float) -> float:
        """Returns the part of its slack by which a job is advanced.

        It is zero for a job whose queue, size class and data centre received at least
        the mean of what they requested, and more the less they received.
        """
        queue = self._queue_of(job)
        in_queue = queue.all.received_part(now_s)
        of_lane = queue.by_lane[job.lane].received_part(now_s)
        lacking = max(0.0, in_queue - of_lane)
        centre = self._data_centres.get(job.data_centre)
        if centre is not None:
            lacking += max(0.0, self._mean_part - centre.received_part(now_s))
        return min(_MAX_HASTE, 2 * lacking)

    def refresh(
        self,
        service: str,
        rate_cores: float,
        backlogs_core_s: dict[str, float],
        now_s: float,
    ) -> bool:
        """Computes the shares of a service anew; returns whether the order changed.

        Args:
            service: Name of the service.
            rate_cores: Work that its workers complete per second.
            backlogs_core_s: Expected work that waits, by queue.
            now_s: Current time.
        """
        state = self._services.setdefault(service, _ServiceState())
        state.rate_cores = max(rate_cores * USABLE_FRACTION, _MIN_RATE_CORES)
        state.demand_cores = {
            name: self._demand_cores(name, queue, now_s)
            + backlogs_core_s.get(name, 0.0) / _BACKLOG_S
            for name, queue in self._queues.items()
            if queue.service == service
        }
        state.available_cores.clear()
        self._mean_part = self._mean_centre_part(now_s)
        pressure = sum(state.demand_cores.values()) / state.rate_cores
        if pressure >= _END_PRESSURE:
            state.pressed_at_s = now_s
        if state.is_contended:
            is_contended = now_s - state.pressed_at_s < _MIN_CONTENTION_S
        else:
            is_contended = pressure >= _BEGIN_PRESSURE
        former_over_share = state.over_share
        state.over_share = self._over_share(state) if is_contended else frozenset()
        if is_contended == state.is_contended:
            return state.over_share != former_over_share
        state.is_contended = is_contended
        self._counts["contention_began" if is_contended else "contention_ended"] += 1
        _log.info(
            "contention_changed",
            service=service,
            is_contended=is_contended,
            pressure=round(pressure, 2),
            rate_cores=round(state.rate_cores, 1),
            demand=_format_rates(state.demand_cores),
            backlog=_format_rates(backlogs_core_s),
        )
        return True

    def _demand_cores(self, name: str, queue: _QueueUsage, now_s: float) -> float:
        if self._forecast is not None:
            return self._forecast.predict(name, now_s).rate_cores
        return queue.all.requested.recent_rate(now_s)

    def _available_cores(self, state: _ServiceState, name: str, weight: float) -> float:
        """Returns the rate that a queue would get if it requested without limit."""
        others = sorted(
            (demand / self._queues[other].weight, demand, self._queues[other].weight)
            for other, demand in state.demand_cores.items()
            if other != name and other in self._queues
        )
        rate = state.rate_cores
        weights = weight + sum(other_weight for _, _, other_weight in others)
        for level, demand, other_weight in others:
            if level >= rate / weights:
                break
            rate -= demand
            weights -= other_weight
        return rate * weight / weights

    def _over_share(self, state: _ServiceState) -> frozenset[str]:
        """Returns the queues that request more than weighted max-min fairness gives."""
        by_level = sorted(
            (demand / self._queues[name].weight, name)
            for name, demand in state.demand_cores.items()
        )
        rate = state.rate_cores
        weights = sum(self._queues[name].weight for _, name in by_level)
        for position, (level, name) in enumerate(by_level):
            if level > rate / weights:
                return frozenset(other for _, other in by_level[position:])
            rate -= state.demand_cores[name]
            weights -= self._queues[name].weight
        return frozenset()

    def _mean_centre_part(self, now_s: float) -> float:
        parts = [usage.received_part(now_s) for usage in self._data_centres.values()]
        return sum(parts) / len(parts) if parts else 1.0

    def _queue_of(self, job: JobRecord) -> _QueueUsage:
        name = job.queue.name
        queue = self._queues.get(name)
        weight = weight_of(job.queue.priority)
        if queue is None or (queue.service, queue.weight) != (
            job.queue.service,
            weight,
        ):
            queue = _QueueUsage(service=job.queue.service, weight=weight)
            self._queues[name] = queue
            if len(self._queues) > _MAX_QUEUES:
                self._queues.popitem(last=False)
        self._queues.move_to_end(name)
        return queue

    def _usages(
        self, job: JobRecord, queue: _QueueUsage
    ) -> collections.abc.Iterator[_Usage]:
        yield queue.all
        yield queue.by_lane[job.lane]
        if not job.data_centre:
            return
        usage = self._data_centres.get(job.data_centre)
        if usage is None:
            usage = self._data_centres[job.data_centre] = _Usage()
            if len(self._data_centres) > _MAX_DATA_CENTRES:
                self._data_centres.popitem(last=False)
        self._data_centres.move_to_end(job.data_centre)
        yield usage


def weight_of(priority: int) -> float:
    """Returns the weight of a queue of some priority in the division of capacity."""
    return 1 / (1 + max(0, priority))


def _format_rates(rates: dict[str, float]) -> str:
    return " ".join(f"{name}={rate:.1f}" for name, rate in sorted(rates.items()))
