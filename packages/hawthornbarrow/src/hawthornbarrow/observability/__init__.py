"""What the processes tell of themselves: logs, metrics, burn of objectives."""

from hawthornbarrow.observability._burn import (
    BurnBook,
    BurnRow,
    render_burn_plot,
    render_burn_text,
)
from hawthornbarrow.observability._logs import configure_logs
from hawthornbarrow.observability._metrics import Metrics

__all__ = [
    "BurnBook",
    "BurnRow",
    "Metrics",
    "configure_logs",
    "render_burn_plot",
    "render_burn_text",
]
