"""QueueIsolation: confines queues whose tasks crash upstreams to a part of the workers.

It handles a load in which many jobs of one queue crash the upstreams that start them.
Each such job costs an upstream before it can be told from the others of its queue, so
without a limit all workers are soon away. The other queues keep the workers to which
such a queue is not confined.
"""

import collections
import collections.abc
import dataclasses
import math

import structlog

from hawthornbarrow.cells._worker_view import WorkerView

CONFINED_FRACTION = 0.25  # of the workers of a service
MIN_WORKERS = 2  # of a service, so that the other queues keep one
MIN_CAUSES = 2  # jobs of a queue that crashed upstreams, one after the other
MEMORY_S = 10.0  # time after the last such job or crash until the queue is released

_log = structlog.get_logger()


@dataclasses.dataclass(kw_only=True)
class _QueueRecord:
    """What is known about one queue.

    Attributes:
        submitted_at_s: When its last job arrived.
        caused_at_s: When each job was found to be a cause of crashes, by job.
        confined_until_s: Time until which it is confined.
    """

    submitted_at_s: float = -math.inf
    caused_at_s: dict[str, float] = dataclasses.field(default_factory=dict)
    confined_until_s: float = -math.inf


class QueueIsolation:
    """Decides which queues are confined, and to which workers.

    A queue is confined only while other queues of its service have jobs, as nobody
    else would use the other workers, and never to the only worker.
    """

    def __init__(self) -> None:
        """Initializes it without confined queues."""
        self._queues: dict[str, dict[str, _QueueRecord]] = {}
        self._known_at_s: dict[str, dict[str, float]] = {}
        self._confined: dict[str, frozenset[str]] = {}
        self._agents: dict[str, frozenset[str]] = {}

    @property
    def is_active(self) -> bool:
        """Whether any queue is confined."""
        return bool(self._confined)

    def is_confined(self, service: str, queue: str) -> bool:
        """Returns whether a queue of a service is confined."""
        return queue in self._confined.get(service, ())

    def confined_agents(self, service: str) -> frozenset[str]:
        """Returns the agents to which the confined queues of a service are confined."""
        return self._agents.get(service, frozenset())

    def may_use(self, service: str, queue: str, agent: str) -> bool:
        """Returns whether tasks of a queue may run on the worker of an agent."""
        if service not in self._confined:
            return True
        is_for_confined = agent in self._agents[service]
        return is_for_confined == self.is_confined(service, queue)

    def record_submission(self, service: str, queue: str, now_s: float) -> None:
        """Records that a job of a queue arrived."""
        self._record_of(service, queue).submitted_at_s = now_s

    def record_cause(self, service: str, queue: str, job: str, now_s: float) -> None:
        """Records that a job was found to crash upstreams."""
        record = self._record_of(service, queue)
        record.caused_at_s[job] = now_s
        record.caused_at_s = {
            cause: at_s
            for cause, at_s in record.caused_at_s.items()
            if now_s - at_s <= MEMORY_S
        }
        if len(record.caused_at_s) >= MIN_CAUSES:
            record.confined_until_s = now_s + MEMORY_S

    def record_crash(
        self, service: str, queues: collections.abc.Set[str], now_s: float
    ) -> None:
        """Prolongs the confinement of a queue that had all runs under a crash."""
        if len(queues) != 1:
            return
        (queue,) = queues
        if self.is_confined(service, queue):
            self._record_of(service, queue).confined_until_s = now_s + MEMORY_S

    def update(
        self, workers: collections.abc.Iterable[WorkerView], now_s: float
    ) -> None:
        """Confines and releases queues, and chooses the workers for them.

        Args:
            workers: Attached workers.
            now_s: Current time.
        """
        attached: dict[str, dict[str, WorkerView]] = {}
        for worker in workers:
            service = worker.record.service
            if worker.is_evacuated:
                self._known_at_s.get(service, {}).pop(worker.agent, None)
                continue
            attached.setdefault(service, {})[worker.agent] = worker
            self._known_at_s.setdefault(service, {})[worker.agent] = now_s
        for service, queues in self._queues.items():
            confined = self._queues_to_confine(queues, now_s)
            if confined and self._known_count(service, now_s) < MIN_WORKERS:
                confined = frozenset()
            if confined != self._confined.get(service, frozenset()):
                self._set_confined(service, confined)
            if confined:
                self._choose_agents(service, attached.get(service, {}))

    def _record_of(self, service: str, queue: str) -> _QueueRecord:
        return self._queues.setdefault(service, {}).setdefault(queue, _QueueRecord())

    def _queues_to_confine(
        self, queues: dict[str, _QueueRecord], now_s: float
    ) -> frozenset[str]:
        risky = frozenset(
            queue for queue, record in queues.items() if now_s < record.confined_until_s
        )
        has_others = any(
            now_s - record.submitted_at_s <= MEMORY_S
            for queue, record in queues.items()
            if queue not in risky
        )
        return risky if has_others else frozenset()

    def _set_confined(self, service: str, confined: frozenset[str]) -> None:
        _log.warning(
            "queues_confined",
            service=service,
            queues=" ".join(sorted(confined)),
            former=" ".join(sorted(self._confined.get(service, ()))),
        )
        if confined:
            self._confined[service] = confined
        else:
            self._confined.pop(service, None)
            self._agents.pop(service, None)

    def _known_count(self, service: str, now_s: float) -> int:
        """Returns the number of agents attached in the last MEMORY_S; drops others."""
        known_at_s = self._known_at_s.get(service, {})
        for agent, at_s in list(known_at_s.items()):
            if now_s - at_s > MEMORY_S:
                del known_at_s[agent]
        return len(known_at_s)

    def _choose_agents(self, service: str, attached: dict[str, WorkerView]) -> None:
        """Chooses agents, and replaces those that have been away for MEMORY_S.

        Agents whose upstreams have crashed and are away go first, as they are not
        needed elsewhere for the moment. One that crashes again stays chosen, so that
        the others are not used up one after the other.
        """
        known_at_s = self._known_at_s[service]
        kept = [agent for agent in self._agents.get(service, ()) if agent in known_at_s]
        count = math.ceil(CONFINED_FRACTION * len(known_at_s))
        others = sorted(
            (agent for agent in known_at_s if agent not in kept),
            key=lambda agent: (
                agent in attached,
                len(attached[agent].runs) if agent in attached else 0,
                agent,
            ),
        )
        chosen = frozenset(kept + others[: max(0, count - len(kept))])
        if chosen != self._agents.get(service):
            _log.info(
                "confined_workers_chosen",
                service=service,
                agents=" ".join(sorted(chosen)),
                known=len(known_at_s),
            )
        self._agents[service] = chosen
