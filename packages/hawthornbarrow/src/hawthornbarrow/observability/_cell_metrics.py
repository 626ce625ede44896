"""Metrics of the processes of a cell: counters, gauges and latency histograms."""

import collections.abc

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View

from hawthornbarrow.observability._meter import ProcessMeter

LATENCY_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)
_CountsGetter = collections.abc.Callable[[], collections.abc.Mapping[str, int]]


class CellMetrics:
    """Metric instruments of one process.

    Args:
        process: Name of this process.
        counts: Returns the counts by event; they never decrease within a process.
        states: Returns the current values by name.
    """

    def __init__(
        self, *, process: str, counts: _CountsGetter, states: _CountsGetter
    ) -> None:
        """Creates the instruments."""
        aggregation = ExplicitBucketHistogramAggregation(LATENCY_BUCKETS_S)
        views = [View(instrument_name="*_seconds", aggregation=aggregation)]
        self._meter = ProcessMeter(process=process, views=views)
        meter = self._meter.meter
        self._jobs = meter.create_counter("hawthornbarrow_caller_jobs")
        self._seconds = meter.create_histogram(
            "hawthornbarrow_caller_job_seconds", unit="s"
        )
        meter.create_observable_counter(
            "hawthornbarrow_events", callbacks=[_observer(counts, "event")]
        )
        meter.create_observable_gauge(
            "hawthornbarrow_states", callbacks=[_observer(states, "state")]
        )

    def count_job(self, queue: str, outcome: str, seconds: float) -> None:
        """Counts a caller's job and records how long the caller waited."""
        queue = self._meter.bounded_label_value("queue", queue)
        self._jobs.add(1, {"queue": queue, "outcome": outcome})
        self._seconds.record(seconds, {"queue": queue})

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return self._meter.render()


def _observer(
    values: _CountsGetter, label: str
) -> collections.abc.Callable[[CallbackOptions], list[Observation]]:
    def observe(_: CallbackOptions) -> list[Observation]:
        return [Observation(value, {label: name}) for name, value in values().items()]

    return observe
