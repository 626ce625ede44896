"""Logs: one line of key=value pairs for each event, on standard error."""

import logging
import sys

import structlog


def configure_logs(*, process: str, level: int = logging.INFO) -> None:
    """Sets up structured logs that name the process in each line.

    Args:
        process: Name of this process.
        level: Least level that is written.
    """
    # curio warns when an operation ends a moment after its timeout; that is normal
    # where a timeout bounds a wait for the next tick.
    logging.getLogger("curio").setLevel(logging.ERROR)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.KeyValueRenderer(
                key_order=["timestamp", "level", "process", "event"]
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(process=process)
