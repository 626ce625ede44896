"""HTTP endpoint that serves the metrics of a process."""

import typing

from hawthornbarrow.http import HttpServer, Request, Response
from hawthornbarrow.observability._cell_metrics import CellMetrics

_CONTENT_TYPE = "text/plain; version=0.0.4"


class MetricsSource(typing.Protocol):
    """Process whose counts and states are exported as metrics."""

    counts: dict[str, int]
    states: dict[str, int]


class MetricsEndpoint:
    """Serves the metrics of a process at a separate address.

    Args:
        name: Name of the process.
        source: Process that provides the counts and states.
        address: IP address and port to listen at.
    """

    def __init__(self, *, name: str, source: MetricsSource, address: str) -> None:
        """Creates the instruments."""
        self._address = address
        self._metrics = CellMetrics(
            process=name,
            counts=lambda: source.counts,
            states=lambda: source.states,
        )

    @property
    def metrics(self) -> CellMetrics:
        """Metric instruments of the process."""
        return self._metrics

    async def run(self) -> None:
        """Serves requests until cancelled."""
        await HttpServer(handler=self._handle).serve_address(self._address)

    async def _handle(self, request: Request) -> Response:
        return Response(
            status=200, body=self._metrics.render(), content_type=_CONTENT_TYPE
        )
