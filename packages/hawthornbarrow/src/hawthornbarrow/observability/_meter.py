"""ProcessMeter: OpenTelemetry instruments of one process, read by Prometheus.

Label values are bounded: beyond MAX_LABEL_VALUES of a label they count as "other".
"""

import collections.abc

import prometheus_client
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import Meter, MeterProvider
from opentelemetry.sdk.metrics.view import View
from opentelemetry.sdk.resources import Resource

MAX_LABEL_VALUES = 200


class ProcessMeter:
    """Makes instruments, bounds their labels and renders what they hold.

    Args:
        process: Name of this process.
        views: How instruments are aggregated, where not as usual.
    """

    def __init__(
        self, *, process: str, views: collections.abc.Sequence[View] = ()
    ) -> None:
        """Starts without instruments."""
        self._collectors = prometheus_client.CollectorRegistry()
        self._provider = MeterProvider(
            metric_readers=[PrometheusMetricReader(registry=self._collectors)],
            resource=Resource.create({"service.name": process}),
            views=views,
        )
        self._labels: dict[str, set[str]] = {}

    @property
    def meter(self) -> Meter:
        """What makes the instruments."""
        return self._provider.get_meter("hawthornbarrow")

    def bounded(self, label: str, value: str) -> str:
        """Returns a label's value, or "other" once there are too many."""
        known = self._labels.setdefault(label, set())
        if value in known:
            return value
        if len(known) >= MAX_LABEL_VALUES:
            return "other"
        known.add(value)
        return value

    def render(self) -> bytes:
        """Returns all metrics in Prometheus' text format."""
        return prometheus_client.generate_latest(self._collectors)
