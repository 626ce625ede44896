"""Queues: where jobs go, and on what terms."""

from hawthornbarrow.queues._table import (
    ConfigurationFormat,
    InvalidConfigurationError,
    Queue,
    QueueTable,
    Service,
)

__all__ = [
    "ConfigurationFormat",
    "InvalidConfigurationError",
    "Queue",
    "QueueTable",
    "Service",
]
