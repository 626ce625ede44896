"""QueueTable: one whole version of the queues and services in force."""

import abc
import dataclasses


class InvalidConfigurationError(Exception):
    """A configuration can not be put in force."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A pool of upstreams.

    Attributes:
        name: Name of the service.
        guards_capacity: Whether its upstreams refuse what does not fit.
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
        host: Host that callers name.
        prefix: Prefix of the path that callers name.
        service: Service whose upstreams run the tasks.
        priority: Zero comes first.
        max_attempts: Failed runs after which a task is given up.
        slack_factor: Share of its longest chain of work that a job may take.
        objective_s: Time that a job may take beyond that.
        timeout_s: Longest time that a caller is kept waiting.
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

    def objective_for_s(self, chain_s: float) -> float:
        """Returns the time from its arrival in which a job should end.

        Args:
            chain_s: Time of the job's longest chain of steps.
        """
        return self.slack_factor * chain_s + self.objective_s


class QueueTable:
    """Finds the queue of a request.

    Args:
        version: Version of the configuration.
        queues: All queues.
        services: All services.

    Raises:
        InvalidConfigurationError: A queue names an unknown service, two queues share
            a host and prefix, or a timeout is not positive.
    """

    def __init__(
        self, *, version: int, queues: list[Queue], services: list[Service]
    ) -> None:
        """Checks the parts and indexes them."""
        self._version = version
        self._services = {service.name: service for service in services}
        self._queues = {queue.name: queue for queue in queues}
        self._prefixes: dict[str, dict[str, Queue]] = {}
        for queue in queues:
            self._add(queue)
        self._lengths = {
            host: sorted({len(prefix) for prefix in prefixes}, reverse=True)
            for host, prefixes in self._prefixes.items()
        }

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self._version

    @property
    def queues(self) -> dict[str, Queue]:
        """Queues by name."""
        return self._queues

    @property
    def services(self) -> dict[str, Service]:
        """Services by name."""
        return self._services

    def find(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of the path, or None."""
        prefixes = self._prefixes.get(host)
        if prefixes is None:
            return None
        for length in self._lengths[host]:
            queue = prefixes.get(path[:length])
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
        prefixes = self._prefixes.setdefault(queue.host, {})
        if queue.prefix in prefixes:
            raise InvalidConfigurationError(
                f"queues {queue.name} and {prefixes[queue.prefix].name} share the "
                f"host {queue.host} and the prefix {queue.prefix}"
            )
        prefixes[queue.prefix] = queue


class ConfigurationFormat(abc.ABC):
    """Reads configurations in the format of one kind of operator."""

    @abc.abstractmethod
    def decode(self, document: bytes) -> QueueTable:
        """Returns what a document says.

        Raises:
            InvalidConfigurationError: The document can not be put in force.
        """
