"""CellMetrics: counters and latency histograms of a fleet's processes."""

import collections.abc

import prometheus_client
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource

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
MAX_QUEUES = 200
_Counts = collections.abc.Callable[[], collections.abc.Mapping[str, int]]


class CellMetrics:
    """The instruments of one process.

    Args:
        process: Name of this process.
        counts: Returns counts by event, which only grow in one process.
        states: Returns present values by name.
    """

    def __init__(self, *, process: str, counts: _Counts, states: _Counts) -> None:
        """Makes the instruments."""
        self._collectors = prometheus_client.CollectorRegistry()
        aggregation = ExplicitBucketHistogramAggregation(LATENCY_BUCKETS_S)
        provider = MeterProvider(
            metric_readers=[PrometheusMetricReader(registry=self._collectors)],
            resource=Resource.create({"service.name": process}),
            views=[View(instrument_name="*_seconds", aggregation=aggregation)],
        )
        meter = provider.get_meter("hawthornbarrow")
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
        self._queues: set[str] = set()

    def count_job(self, queue: str, outcome: str, seconds: float) -> None:
        """Counts a caller's job and how long the caller waited."""
        if queue not in self._queues:
            if len(self._queues) >= MAX_QUEUES:
                queue = "other"
            self._queues.add(queue)
        self._jobs.add(1, {"queue": queue, "outcome": outcome})
        self._seconds.record(seconds, {"queue": queue})

    def render(self) -> bytes:
        """Returns all metrics in Prometheus' text format."""
        return prometheus_client.generate_latest(self._collectors)


def _observer(
    values: _Counts, label: str
) -> collections.abc.Callable[[CallbackOptions], list[Observation]]:
    def observe(_: CallbackOptions) -> list[Observation]:
        return [Observation(value, {label: name}) for name, value in values().items()]

    return observe
