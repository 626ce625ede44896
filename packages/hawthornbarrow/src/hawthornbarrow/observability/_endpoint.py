"""HTTP endpoint that serves the metrics of a process."""

import importlib
import typing

import curio

from hawthornbarrow.http import HttpLimits, HttpServer, Request, Response
from hawthornbarrow.limits import PortKind, ProcessBudget

if typing.TYPE_CHECKING:
    from hawthornbarrow.observability._cell_metrics import CellMetrics

_METRICS_MODULE = "hawthornbarrow.observability._cell_metrics"
_CONTENT_TYPE = "text/plain; version=0.0.4"
_LIMITS = HttpLimits(body_bytes=64 * 1024)


class MetricsSource(typing.Protocol):
    """Process whose counts and states are exported as metrics."""

    counts: dict[str, int]
    states: dict[str, int]


class MetricsEndpoint:
    """Serves the metrics of a process at a separate address.

    The instruments are created on first use, as their libraries take a large part of
    the time that a process needs to start.

    Args:
        name: Name of the process.
        source: Process that provides the counts and states.
        address: IP address and port to listen at.
        budget: Budget of the process, which is exported as well.
    """

    def __init__(
        self, *, name: str, source: MetricsSource, address: str, budget: ProcessBudget
    ) -> None:
        """Initializes an endpoint without instruments."""
        self._name = name
        self._source = source
        self._address = address
        self._budget = budget
        self._port = budget.add_port("metrics", PortKind.PROBES)
        self._metrics: CellMetrics | None = None

    @property
    def metrics(self) -> "CellMetrics":
        """Metric instruments of the process."""
        if self._metrics is None:
            module = importlib.import_module(_METRICS_MODULE)
            self._metrics = module.CellMetrics(
                process=self._name,
                counts=lambda: {**self._source.counts, **self._budget.counts},
                states=lambda: {**self._source.states, **self._budget.states},
            )
        return self._metrics

    async def run(self) -> None:
        """Serves requests until cancelled."""
        server = HttpServer(handler=self._handle, limits=_LIMITS, budget=self._port)
        await server.serve_address(self._address)

    async def _handle(self, request: Request) -> Response:
        if self._metrics is None:
            # The serving thread must not wait for the import.
            await curio.run_in_thread(importlib.import_module, _METRICS_MODULE)
        return Response(
            status=200, body=self.metrics.render(), content_type=_CONTENT_TYPE
        )
