"""Queues and services, and the lookup of the queue for a request."""

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
