"""Queue table: all queues and services of one configuration version."""

import abc
import dataclasses


class InvalidConfigurationError(Exception):
    """The configuration is invalid and cannot be put in force."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A pool of upstreams.

    Attributes:
        name: Name of the service.
        guards_capacity: Whether its upstreams refuse tasks that exceed their capacity.
        health_path: Path of the upstreams' health check.
    """

    name: str
    guards_capacity: bool = False
    health_path: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queue:
    """A queue of jobs.

    Attributes:
        name: Name of the queue.
        host: Host name in requests for this queue.
        prefix: Path prefix of requests for this queue.
        service: Service whose upstreams run the tasks.
        priority: Priority of the jobs; zero is the highest.
        max_attempts: Number of failed runs after which a task is abandoned.
        slack_factor: Multiple of its critical path time that a job may take.
        objective_s: Time that a job may take in addition.
        timeout_s: Maximum time that a caller waits for an answer.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    objective_s: float = 0.0
    timeout_s: float = 60.0

    def objective_for_s(self, critical_path_s: float) -> float:
        """Returns the time after its arrival by which a job should end.

        Args:
            critical_path_s: Time of the job's longest chain of dependent steps.
        """
        return self.slack_factor * critical_path_s + self.objective_s


class QueueTable:
    """Finds the queue of a request.

    Args:
        version: Version of the configuration.
        queues: All queues.
        services: All services.
        max_body_bytes: Maximum size of a caller's request body, or None if the
            configuration does not say.

    Raises:
        InvalidConfigurationError: A queue refers to an unknown service, two queues
            share a host and prefix, or a timeout is not positive.
    """

    def __init__(
        self,
        *,
        version: int,
        queues: list[Queue],
        services: list[Service],
        max_body_bytes: int | None = None,
    ) -> None:
        """Validates the queues and builds the index."""
        self._version = version
        self._max_body_bytes = max_body_bytes
        self._services = {service.name: service for service in services}
        self._queues = {queue.name: queue for queue in queues}
        self._queues_by_prefix: dict[str, dict[str, Queue]] = {}
        for queue in queues:
            self._add(queue)
        self._prefix_lengths = {
            host: sorted({len(prefix) for prefix in queues_by_prefix}, reverse=True)
            for host, queues_by_prefix in self._queues_by_prefix.items()
        }

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self._version

    @property
    def max_body_bytes(self) -> int | None:
        """Maximum size of a caller's request body, or None if it is not said."""
        return self._max_body_bytes

    @property
    def queues(self) -> dict[str, Queue]:
        """Queues by name."""
        return self._queues

    @property
    def services(self) -> dict[str, Service]:
        """Services by name."""
        return self._services

    def find(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching path prefix, or None."""
        queues_by_prefix = self._queues_by_prefix.get(host)
        if queues_by_prefix is None:
            return None
        for length in self._prefix_lengths[host]:
            queue = queues_by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None

    def _add(self, queue: Queue) -> None:
        if queue.service not in self._services:
            raise InvalidConfigurationError(
                f"queue {queue.name} names the unknown service {queue.service}"
            )
        if queue.timeout_s <= 0:
            raise InvalidConfigurationError(
                f"queue {queue.name} has a timeout of {queue.timeout_s} s"
            )
        queues_by_prefix = self._queues_by_prefix.setdefault(queue.host, {})
        if queue.prefix in queues_by_prefix:
            raise InvalidConfigurationError(
                f"queues {queue.name} and {queues_by_prefix[queue.prefix].name} "
                f"share the host {queue.host} and the prefix {queue.prefix}"
            )
        queues_by_prefix[queue.prefix] = queue


class ConfigurationFormat(abc.ABC):
    """Decodes configuration documents of one operator format."""

    @abc.abstractmethod
    def decode(self, document: bytes) -> QueueTable:
        """Returns the queue table that a document describes.

        Raises:
            InvalidConfigurationError: The document is invalid.
        """
