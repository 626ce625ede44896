"""WorkerSpeeds: the speed of each worker, learned from its runs and its kind."""

import dataclasses
import math
import statistics

import structlog

from hawthornbarrow.cells._parts import WorkerRecord
from hawthornbarrow.cells._run_time_model import SPEED_CLASS_WIDTH, class_slowness

_MAX_WORKERS = 4096  # attached or not; the one that left first is dropped
_MAX_LOG_SLOWNESS = 3.0
_PRIOR_SAMPLES = 8.0  # weight of the guess by kind, in runs
_MIN_GAIN = 0.01
_CLASS_INTERVAL = 4  # runs of a worker after which its class is determined anew
# Cumulative sums of residuals show a change of speed. A drift below the slack is left
# to the mean; errors of estimates that several runs share do not reach the limit.
_CHANGE_SLACK = 0.3
_CHANGE_LIMIT = 6.0
_MAX_RESIDUAL = 0.9  # log ratio; a run of a long tail counts no more than this
_CLASS_HYSTERESIS = 1.0  # class widths from the middle of the class
_WELL_KNOWN_SAMPLES = 60
_MIN_KIND_SAMPLES = 30
_MIN_KIND_WORKERS = 2

_log = structlog.get_logger()


@dataclasses.dataclass(kw_only=True)
class _Speed:
    """Learned log slowness of one worker.

    Attributes:
        traits: Labels and capacity, by which workers of its kind are recognized.
        mean: Long-term mean.
        slowness: Its slowness relative to the worker in the middle.
        slower: Cumulative sum of residuals that show that it has become slower.
        slower_count: Number of residuals in it.
        faster: Cumulative sum of residuals that show that it has become faster.
        faster_count: Number of residuals in it.
        sample_count: Runs since the guess or since the last change of speed.
        speed_class: Class in use.
        is_attached: Whether the worker is attached.
    """

    traits: tuple[object, ...]
    mean: float
    slowness: float = 1.0
    slower: float = 0.0
    slower_count: int = 0
    faster: float = 0.0
    faster_count: int = 0
    sample_count: int = 0
    speed_class: int = 0
    is_attached: bool = True

    def restart(self, mean: float) -> None:
        """Begins anew with another mean after a change of speed."""
        self.mean = mean
        self.sample_count = 0
        self.slower = self.faster = 0.0
        self.slower_count = self.faster_count = 0

    def add_evidence(self, residual: float) -> None:
        """Adds a residual to the sums, and takes a change of speed into account."""
        self.slower += residual - _CHANGE_SLACK
        self.slower_count += 1
        if self.slower <= 0:
            self.slower, self.slower_count = 0.0, 0
        self.faster -= residual + _CHANGE_SLACK
        self.faster_count += 1
        if self.faster <= 0:
            self.faster, self.faster_count = 0.0, 0
        if self.slower > _CHANGE_LIMIT:
            change = self.slower / self.slower_count + _CHANGE_SLACK
            self.restart(self.mean + change)
        elif self.faster > _CHANGE_LIMIT:
            change = self.faster / self.faster_count + _CHANGE_SLACK
            self.restart(self.mean - change)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Kind:
    mean: float
    spread: float
    worker_count: int


class WorkerSpeeds:
    """Keeps log slowness by speed key, relative to the attached worker in the middle.

    It handles workers of uneven speeds, new ones included: a new worker starts with
    the mean of the workers that share the label or capacity within which speeds differ
    least. A worker whose speed changes is followed within some tens of runs.
    """

    def __init__(self) -> None:
        """Initializes speeds of no workers."""
        self._speeds: dict[str, _Speed] = {}
        self._kinds: dict[object, _Kind] = {}
        self._class_slowness: dict[int, float] = {}
        self._reference = 0.0

    @property
    def reference(self) -> float:
        """Learned log slowness of the worker in the middle."""
        return self._reference

    @property
    def attached_classes(self) -> list[int]:
        """Speed class of each attached worker."""
        return [
            speed.speed_class for speed in self._speeds.values() if speed.is_attached
        ]

    def log_slowness(self, worker: str) -> float:
        """Returns a worker's log slowness; that of the middle one is zero."""
        speed = self._speeds.get(worker)
        return speed.mean - self._reference if speed is not None else 0.0

    def speed_class(self, worker: str) -> int:
        """Returns the speed class of a worker; lower is faster."""
        speed = self._speeds.get(worker)
        return speed.speed_class if speed is not None else 0

    def is_well_known(self, worker: str) -> bool:
        """Returns whether a worker's speed was learned from many runs."""
        speed = self._speeds.get(worker)
        return speed is not None and speed.sample_count >= _WELL_KNOWN_SAMPLES

    def slowness(self, worker: str) -> float:
        """Returns a worker's slowness; that of the middle one is one."""
        speed = self._speeds.get(worker)
        return speed.slowness if speed is not None else 1.0

    def class_slowness(self, speed_class: int) -> float:
        """Returns the mean slowness of the workers of a class."""
        known = self._class_slowness.get(speed_class)
        return known if known is not None else class_slowness(speed_class)

    def add(self, worker: str, record: WorkerRecord) -> None:
        """Adds a worker that attaches; one that is known keeps its speed."""
        speed = self._speeds.pop(worker, None)
        if speed is None:
            traits = (*record.labels, record.capacity)
            mean = self._guess(traits)
            speed = _Speed(traits=traits, mean=mean)
        speed.is_attached = True
        self._speeds[worker] = speed
        self._set_class(worker, speed)
        if len(self._speeds) > _MAX_WORKERS:
            self._remove_oldest()

    def remove(self, worker: str) -> None:
        """Records that a worker has detached; its speed is kept for its return."""
        speed = self._speeds.get(worker)
        if speed is not None:
            speed.is_attached = False

    def learn(self, worker: str, log_ratio: float) -> float:
        """Updates a worker's speed after a run.

        Args:
            worker: Speed key of the worker.
            log_ratio: Log of the actual run time over the one expected where the
                learned log slowness is zero.

        Returns:
            The unexpected part of the ratio, limited so that a run of a long tail says
            little.
        """
        speed = self._speeds.get(worker)
        if speed is None:
            return 0.0
        residual = log_ratio - speed.mean
        residual = max(-_MAX_RESIDUAL, min(_MAX_RESIDUAL, residual))
        speed.sample_count += 1
        gain = max(_MIN_GAIN, 1 / (_PRIOR_SAMPLES + speed.sample_count))
        speed.mean += gain * residual
        speed.add_evidence(residual)
        if not speed.sample_count % _CLASS_INTERVAL:
            self._set_class(worker, speed)
        return residual

    def raise_to(self, worker: str, log_slowness: float) -> None:
        """Moves a worker halfway to a slowness if that is above its own."""
        speed = self._speeds.get(worker)
        if speed is None:
            return
        observed = min(_MAX_LOG_SLOWNESS, log_slowness) + self._reference
        if observed > speed.mean:
            speed.restart((speed.mean + observed) / 2)
            self._set_class(worker, speed)

    def update(self) -> None:
        """Computes anew the worker in the middle and what each kind has shown."""
        attached = [speed.mean for speed in self._speeds.values() if speed.is_attached]
        if attached:
            self._reference = statistics.median(attached)
        means: dict[object, list[float]] = {}
        classes: dict[int, list[float]] = {}
        for worker, speed in self._speeds.items():
            self._set_class(worker, speed)
            if speed.is_attached:
                classes.setdefault(speed.speed_class, []).append(speed.mean)
            if speed.sample_count >= _MIN_KIND_SAMPLES:
                for trait in speed.traits:
                    means.setdefault(trait, []).append(speed.mean)
        self._class_slowness = {
            speed_class: math.exp(statistics.fmean(values) - self._reference)
            for speed_class, values in classes.items()
        }
        self._kinds = {
            trait: _Kind(
                mean=statistics.fmean(values),
                spread=statistics.pstdev(values),
                worker_count=len(values),
            )
            for trait, values in means.items()
            if len(values) >= _MIN_KIND_WORKERS
        }

    def _guess(self, traits: tuple[object, ...]) -> float:
        """Returns what the workers have shown that are most alike."""
        kinds = [self._kinds[trait] for trait in traits if trait in self._kinds]
        if not kinds:
            return self._reference
        return min(kinds, key=lambda kind: (kind.spread, -kind.worker_count)).mean

    def _set_class(self, worker: str, speed: _Speed) -> None:
        log_slowness = speed.mean - self._reference
        speed.slowness = math.exp(log_slowness)
        position = log_slowness / SPEED_CLASS_WIDTH
        if abs(position - speed.speed_class) <= _CLASS_HYSTERESIS:
            return
        former_class = speed.speed_class
        speed.speed_class = round(position)
        if speed.is_attached:
            _log.info(
                "worker_speed_class_changed",
                worker=worker,
                speed_class=speed.speed_class,
                former_class=former_class,
                slowness=round(speed.slowness, 3),
                runs=speed.sample_count,
            )

    def _remove_oldest(self) -> None:
        oldest = next(
            (key for key, speed in self._speeds.items() if not speed.is_attached),
            next(iter(self._speeds)),
        )
        del self._speeds[oldest]
