"""Observability: logs, metrics and burn rates of service-level objectives."""

import typing

from hawthornbarrow.lazy import lazy_attributes

if typing.TYPE_CHECKING:
    from hawthornbarrow.observability._burn import (
        BurnRateTracker,
        BurnRow,
        render_burn_plot,
        render_burn_text,
    )
    from hawthornbarrow.observability._cell_metrics import CellMetrics
    from hawthornbarrow.observability._endpoint import MetricsEndpoint
    from hawthornbarrow.observability._event_guard import EventGuard
    from hawthornbarrow.observability._log_timeline import (
        LogLine,
        build_timeline,
        parse_log_line,
    )
    from hawthornbarrow.observability._logs import configure_logs
    from hawthornbarrow.observability._metrics import Metrics
    from hawthornbarrow.observability._stage_times import (
        Stage,
        StageRow,
        measure_stages,
        render_stage_plot,
        render_stage_text,
    )
    from hawthornbarrow.observability._unserved_jobs import (
        Cause,
        UnservedJob,
        count_by_cause,
        find_unserved_jobs,
    )

__all__ = [
    "BurnRateTracker",
    "BurnRow",
    "Cause",
    "CellMetrics",
    "EventGuard",
    "LogLine",
    "Metrics",
    "MetricsEndpoint",
    "Stage",
    "StageRow",
    "UnservedJob",
    "configure_logs",
    "count_by_cause",
    "find_unserved_jobs",
    "measure_stages",
    "parse_log_line",
    "render_burn_plot",
    "render_burn_text",
    "render_stage_plot",
    "render_stage_text",
    "build_timeline",
]

__getattr__ = lazy_attributes(
    __name__,
    {
        "LogLine": "_log_timeline",
        "parse_log_line": "_log_timeline",
        "build_timeline": "_log_timeline",
        "BurnRateTracker": "_burn",
        "BurnRow": "_burn",
        "CellMetrics": "_cell_metrics",
        "EventGuard": "_event_guard",
        "Metrics": "_metrics",
        "Stage": "_stage_times",
        "StageRow": "_stage_times",
        "measure_stages": "_stage_times",
        "render_stage_plot": "_stage_times",
        "render_stage_text": "_stage_times",
        "Cause": "_unserved_jobs",
        "UnservedJob": "_unserved_jobs",
        "count_by_cause": "_unserved_jobs",
        "find_unserved_jobs": "_unserved_jobs",
        "MetricsEndpoint": "_endpoint",
        "configure_logs": "_logs",
        "render_burn_plot": "_burn",
        "render_burn_text": "_burn",
    },
)
