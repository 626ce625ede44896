"""WorkerDecisions: the parts of a dispatcher that judge workers and choose them."""

import abc
import collections
import collections.abc

from hawthornbarrow.cells._completion_placement import CompletionPlacement
from hawthornbarrow.cells._drain_policy import (
    DrainPolicy,
    KeepRunsPolicy,
    RemainingTimePolicy,
)
from hawthornbarrow.cells._load_features import LoadFeature
from hawthornbarrow.cells._rack_index import RackIndex
from hawthornbarrow.cells._release_rates import ReleaseRates
from hawthornbarrow.cells._run_time_model import RunTimeModel
from hawthornbarrow.cells._run_times import RunTimes
from hawthornbarrow.cells._tail_run_times import TailRunTimes
from hawthornbarrow.cells._tail_worker_monitor import TailWorkerMonitor
from hawthornbarrow.cells._worker_choice import FastestWorkerChoice, WorkerChoice
from hawthornbarrow.cells._worker_index import WorkerIndex
from hawthornbarrow.cells._worker_monitor import WorkerMonitor
from hawthornbarrow.cells._worker_pool import WorkerPool
from hawthornbarrow.cells._worker_selector import WorkerSelector


class WorkerDecisions(abc.ABC):
    """Builds the parts that go together, with or without the feature."""

    @property
    @abc.abstractmethod
    def run_times(self) -> RunTimeModel:
        """Expected run times."""

    @property
    @abc.abstractmethod
    def index(self) -> WorkerIndex:
        """Index of the attached workers."""

    @property
    @abc.abstractmethod
    def monitor(self) -> WorkerMonitor:
        """Detects slow workers."""

    @property
    @abc.abstractmethod
    def drain_policy(self) -> DrainPolicy:
        """Judges the runs of leaving workers."""

    @abc.abstractmethod
    def build_choice(
        self,
        pool: WorkerPool,
        selector: WorkerSelector,
        counts: collections.Counter[str],
    ) -> WorkerChoice:
        """Returns the part that chooses the workers of tasks."""

    def sweep(self, now_s: float) -> None:
        """Runs periodic maintenance."""
        self.run_times.update(now_s)


class PlainDecisions(WorkerDecisions):
    """Prefers the fastest worker; any run of many times the mean makes it slower."""

    def __init__(self) -> None:
        """Initializes parts that know no workers."""
        self._run_times = RunTimes()
        self._index = WorkerIndex(run_times=self._run_times)
        self._monitor = WorkerMonitor(run_times=self._run_times)
        self._drain_policy = KeepRunsPolicy()

    @property
    def run_times(self) -> RunTimeModel:
        """Expected run times."""
        return self._run_times

    @property
    def index(self) -> WorkerIndex:
        """Index of the attached workers."""
        return self._index

    @property
    def monitor(self) -> WorkerMonitor:
        """Detects slow workers."""
        return self._monitor

    @property
    def drain_policy(self) -> DrainPolicy:
        """Judges the runs of leaving workers."""
        return self._drain_policy

    def build_choice(
        self,
        pool: WorkerPool,
        selector: WorkerSelector,
        counts: collections.Counter[str],
    ) -> WorkerChoice:
        """Returns the part that chooses the workers of tasks."""
        return FastestWorkerChoice(pool=pool, selector=selector)


class TailDecisions(WorkerDecisions):
    """Tells slow workers from long tails and places tasks by predicted completion."""

    def __init__(self) -> None:
        """Initializes parts that know no workers."""
        self._run_times = TailRunTimes()
        self._index = RackIndex(run_times=self._run_times)
        self._releases = ReleaseRates()
        self._monitor = TailWorkerMonitor(
            run_times=self._run_times, index=self._index, releases=self._releases
        )
        self._drain_policy = RemainingTimePolicy(run_times=self._run_times)

    @property
    def run_times(self) -> RunTimeModel:
        """Expected run times."""
        return self._run_times

    @property
    def index(self) -> WorkerIndex:
        """Index of the attached workers."""
        return self._index

    @property
    def monitor(self) -> WorkerMonitor:
        """Detects slow workers."""
        return self._monitor

    @property
    def drain_policy(self) -> DrainPolicy:
        """Judges the runs of leaving workers."""
        return self._drain_policy

    def build_choice(
        self,
        pool: WorkerPool,
        selector: WorkerSelector,
        counts: collections.Counter[str],
    ) -> WorkerChoice:
        """Returns the part that chooses the workers of tasks."""
        return CompletionPlacement(
            pool=pool,
            index=self._index,
            selector=selector,
            run_times=self._run_times,
            releases=self._releases,
            counts=counts,
        )


def build_worker_decisions(
    features: collections.abc.Set[LoadFeature],
) -> WorkerDecisions:
    """Returns the parts for the features that are enabled."""
    if LoadFeature.RUN_TIME_TAILS in features:
        return TailDecisions()
    return PlainDecisions()
