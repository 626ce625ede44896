"""OpenTelemetry instruments of one process, exported in the Prometheus format.

The number of values of a label is limited: values beyond MAX_LABEL_VALUES are counted
as "other".
"""

import collections.abc

import prometheus_client
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import Meter, MeterProvider
from opentelemetry.sdk.metrics.view import View
from opentelemetry.sdk.resources import Resource

MAX_LABEL_VALUES = 200


class ProcessMeter:
    """Creates instruments, limits their label values and renders the metrics.

    Args:
        process: Name of this process.
        views: Aggregations of instruments that differ from the default.
    """

    def __init__(
        self, *, process: str, views: collections.abc.Sequence[View] = ()
    ) -> None:
        """Initializes the meter without instruments."""
        self._registry = prometheus_client.CollectorRegistry()
        self._provider = MeterProvider(
            metric_readers=[PrometheusMetricReader(registry=self._registry)],
            resource=Resource.create({"service.name": process}),
            views=views,
        )
        self._labels: dict[str, set[str]] = {}

    @property
    def meter(self) -> Meter:
        """OpenTelemetry meter that creates the instruments."""
        return self._provider.get_meter("hawthornbarrow")

    def bounded_label_value(self, label: str, value: str) -> str:
        """Returns the label value, or "other" if the label has too many values."""
        known = self._labels.setdefault(label, set())
        if value in known:
            return value
        if len(known) >= MAX_LABEL_VALUES:
            return "other"
        known.add(value)
        return value

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
