"""What the processes tell of themselves: logs, metrics, burn of objectives."""

import typing

from hawthornbarrow.lazy import lazy_attributes

if typing.TYPE_CHECKING:
    from hawthornbarrow.observability._burn import (
        BurnBook,
        BurnRow,
        render_burn_plot,
        render_burn_text,
    )
    from hawthornbarrow.observability._cell_metrics import CellMetrics
    from hawthornbarrow.observability._logs import configure_logs
    from hawthornbarrow.observability._metrics import Metrics

__all__ = [
    "BurnBook",
    "BurnRow",
    "CellMetrics",
    "Metrics",
    "configure_logs",
    "render_burn_plot",
    "render_burn_text",
]

__getattr__ = lazy_attributes(
    __name__,
    {
        "BurnBook": "_burn",
        "BurnRow": "_burn",
        "CellMetrics": "_cell_metrics",
        "Metrics": "_metrics",
        "configure_logs": "_logs",
        "render_burn_plot": "_burn",
        "render_burn_text": "_burn",
    },
)
