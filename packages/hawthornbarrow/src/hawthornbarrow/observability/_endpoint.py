"""Endpoint: serves a process's metrics over HTTP."""

import typing

from hawthornbarrow.http import HttpServer, Request, Response
from hawthornbarrow.observability._cell_metrics import CellMetrics

_TEXT_FORMAT = "text/plain; version=0.0.4"


class MetricsSource(typing.Protocol):
    """A process that tells its counts and states."""

    counts: dict[str, int]
    states: dict[str, int]


class MetricsEndpoint:
    """Serves the metrics of a process on an address of its own.

    Args:
        name: Name of the process.
        measured: What tells its counts and states.
        address: IP number and port to listen at.
    """

    def __init__(self, *, name: str, source: MetricsSource, address: str) -> None:
        """Makes the instruments."""
        self._address = address
        self._metrics = CellMetrics(
            process=name,
            counts=lambda: source.counts,
            states=lambda: source.states,
        )

    @property
    def metrics(self) -> CellMetrics:
        """The instruments."""
        return self._metrics

    async def run(self) -> None:
        """Serves until cancelled."""
        await HttpServer(handler=self._handle).serve_address(self._address)

    async def _handle(self, request: Request) -> Response:
        return Response(
            status=200, body=self._metrics.render(), content_type=_TEXT_FORMAT
        )
