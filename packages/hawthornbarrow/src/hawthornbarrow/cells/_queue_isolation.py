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

from hawthornbarrow.cells._confinement_plan import QueueNeed, plan_parts
from hawthornbarrow.cells._decaying_rate import DecayingRate
from hawthornbarrow.cells._return_times import ReturnTimes
from hawthornbarrow.cells._worker_view import WorkerView

CONFINED_FRACTION = 0.25  # of the workers of a service, while no demand is known
MIN_WORKERS = 2  # of a service, so that the other queues keep one
MIN_CAUSES = 2  # jobs of a queue that crashed upstreams, one after the other
MEMORY_S = 10.0  # time after the last such job or crash until the queue is released
DEMAND_PERIOD_S = 2.0
CRASH_PERIOD_S = 4.0
# Runs that survive after the last crash, times the fraction of runs that crashed their
# upstream before, until a queue is released: e^-4.6 is a chance of 1%.
RELEASE_EVIDENCE = 4.6
MIN_QUIET_S = 2.0  # without a crash, until a queue is released
SHRINK_DELAY_S = 0.3  # for which a smaller part must suffice before it gets smaller
# A queue stays confined while another one crashes fewer than this many times as many.
PREFERENCE_FACTOR = 2.0
DRAIN_WEIGHT = 0.5  # of workers that are away, as the other queues may not need them
UP_COUNT_WEIGHT = 0.05  # of the newest number of attached workers in their mean

_log = structlog.get_logger()


@dataclasses.dataclass(kw_only=True)
class _QueueRecord:
    """What is known about one queue.

    Attributes:
        submitted_at_s: When its last job arrived.
        caused_at_s: When each job was found to be a cause of crashes, by job.
        confined_until_s: Time until which it is confined at most.
        crashed_at_s: When a run of it last seemed to crash an upstream.
        survived_count: Runs of it that completed since then.
        work: Core-seconds of its submitted jobs.
        crashes: Upstreams that it seems to have crashed.
        survivals: Runs of it that completed.
        lost_core_s: Mean work that is lost with an upstream.
        crash_fraction: Fraction of its runs that seemed to crash their upstream.
    """

    submitted_at_s: float = -math.inf
    caused_at_s: dict[str, float] = dataclasses.field(default_factory=dict)
    confined_until_s: float = -math.inf
    crashed_at_s: float = -math.inf
    survived_count: int = 0
    work: DecayingRate = dataclasses.field(
        default_factory=lambda: DecayingRate(period_s=DEMAND_PERIOD_S)
    )
    crashes: DecayingRate = dataclasses.field(
        default_factory=lambda: DecayingRate(period_s=CRASH_PERIOD_S)
    )
    survivals: DecayingRate = dataclasses.field(
        default_factory=lambda: DecayingRate(period_s=CRASH_PERIOD_S)
    )
    lost_core_s: float = 0.0
    crash_fraction: float = 0.0

    def record_crash(self, weight: float, lost_core_s: float, now_s: float) -> None:
        """Records an upstream that runs of the queue may have crashed."""
        self.crashes.add(weight, now_s)
        self.crashed_at_s = now_s
        self.survived_count = 0
        self.lost_core_s += (lost_core_s - self.lost_core_s) / 4
        crashes_per_s = self.crashes.per_s(now_s)
        ended_per_s = crashes_per_s + self.survivals.per_s(now_s)
        self.crash_fraction = crashes_per_s / ended_per_s

    def has_stopped_crashing(self, now_s: float) -> bool:
        """Returns whether as many runs as before a crash have survived many times."""
        return (
            now_s - self.crashed_at_s >= MIN_QUIET_S
            and self.survived_count * self.crash_fraction >= RELEASE_EVIDENCE
        )


@dataclasses.dataclass(kw_only=True)
class _Part:
    """Workers to which a queue is confined.

    Attributes:
        agents: Their agents.
        sufficed_from_s: Since when fewer of them would do, infinite if they would not.
        mean_up_count: Mean number of them that were attached, mostly of late.
    """

    agents: frozenset[str] = frozenset()
    sufficed_from_s: float = math.inf
    mean_up_count: float | None = None


class QueueIsolation:
    """Decides which queues are confined, and to which workers.

    Each confined queue has workers of its own, as many as its demand and its crashes
    need (`plan_parts`). At least one queue of a service is not confined, as nobody else
    would use the other workers, and no queue is confined to the only worker.

    Args:
        return_times: Times for which crashed upstreams are away.
    """

    def __init__(self, *, return_times: ReturnTimes | None = None) -> None:
        """Initializes it without confined queues."""
        self._return_times = return_times or ReturnTimes()
        self._queues: dict[str, dict[str, _QueueRecord]] = {}
        self._known_at_s: dict[str, dict[str, float]] = {}
        self._parts: dict[str, dict[str, _Part]] = {}
        self._agents: dict[str, dict[str, str]] = {}  # queue by agent

    @property
    def is_active(self) -> bool:
        """Whether any queue is confined."""
        return bool(self._parts)

    def is_confined(self, service: str, queue: str) -> bool:
        """Returns whether a queue of a service is confined."""
        return queue in self._parts.get(service, ())

    def part_of(self, service: str, queue: str) -> str:
        """Returns a name of the workers of a queue, empty for those of all others."""
        return queue if self.is_confined(service, queue) else ""

    def confined_agents(
        self, service: str, queue: str | None = None
    ) -> collections.abc.Collection[str]:
        """Returns the agents to which one or all confined queues are confined."""
        if queue is None:
            return self._agents.get(service, {}).keys()
        part = self._parts.get(service, {}).get(queue)
        return part.agents if part else frozenset()

    def may_use(self, service: str, queue: str, agent: str) -> bool:
        """Returns whether tasks of a queue may run on the worker of an agent."""
        if service not in self._parts:
            return True
        owner = self._agents[service].get(agent, "")
        return owner == self.part_of(service, queue)

    def record_submission(
        self, service: str, queue: str, now_s: float, *, work_core_s: float = 0.0
    ) -> None:
        """Records that a job of a queue arrived.

        Args:
            service: The service.
            queue: The queue.
            now_s: Current time.
            work_core_s: Expected work of the job.
        """
        record = self._record_of(service, queue)
        record.submitted_at_s = now_s
        record.work.add(work_core_s, now_s)

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
        self,
        service: str,
        queues: collections.abc.Set[str],
        now_s: float,
        *,
        lost_core_s: float = 0.0,
    ) -> None:
        """Records a crash, which prolongs the confinement of the only queue.

        Args:
            service: The service.
            queues: Queues of the runs that may have caused it.
            now_s: Current time.
            lost_core_s: Work of the runs that were lost.
        """
        for queue in queues:
            record = self._record_of(service, queue)
            record.record_crash(1 / len(queues), lost_core_s, now_s)
            if len(queues) == 1 and self.is_confined(service, queue):
                record.confined_until_s = now_s + MEMORY_S

    def record_survival(self, service: str, queue: str, now_s: float) -> None:
        """Records that a run of a queue completed."""
        record = self._record_of(service, queue)
        record.survivals.add(1.0, now_s)
        record.survived_count += 1

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
            confined = self._queues_to_confine(service, queues, now_s)
            if confined:
                known_count = self._known_count(service, now_s)
                if known_count < max(MIN_WORKERS, len(confined) + 1):
                    confined = frozenset()
            if confined != self._parts.get(service, {}).keys():
                self._set_confined(service, confined)
            if confined:
                self._choose_agents(service, attached.get(service, {}), now_s)

    def _record_of(self, service: str, queue: str) -> _QueueRecord:
        queues = self._queues.get(service)
        if queues is None:
            queues = self._queues[service] = {}
        record = queues.get(queue)
        if record is None:
            record = queues[queue] = _QueueRecord()
        return record

    def _queues_to_confine(
        self, service: str, queues: dict[str, _QueueRecord], now_s: float
    ) -> frozenset[str]:
        for record in queues.values():
            if now_s < record.confined_until_s and record.has_stopped_crashing(now_s):
                record.confined_until_s = now_s
        risky = {
            queue for queue, record in queues.items() if now_s < record.confined_until_s
        }
        has_others = any(
            now_s - record.submitted_at_s <= MEMORY_S
            for queue, record in queues.items()
            if queue not in risky
        )
        if risky and not has_others:
            risky.discard(
                min(risky, key=lambda queue: self._harm(service, queue, now_s))
            )
        return frozenset(risky)

    def _harm(self, service: str, queue: str, now_s: float) -> tuple[float, str]:
        """Returns a key by which the queue that does the least harm is not confined."""
        crashes_per_s = self._queues[service][queue].crashes.per_s(now_s)
        if self.is_confined(service, queue):
            crashes_per_s *= PREFERENCE_FACTOR
        return crashes_per_s, queue

    def _set_confined(self, service: str, confined: frozenset[str]) -> None:
        former = self._parts.pop(service, {})
        _log.warning(
            "queues_confined",
            service=service,
            queues=" ".join(sorted(confined)),
            former=" ".join(sorted(former)),
        )
        if confined:
            self._parts[service] = {
                queue: former.get(queue) or _Part() for queue in sorted(confined)
            }
            self._set_agents(service)
        else:
            self._agents.pop(service, None)

    def _set_agents(self, service: str) -> None:
        self._agents[service] = {
            agent: queue
            for queue, part in self._parts[service].items()
            for agent in part.agents
        }

    def _known_count(self, service: str, now_s: float) -> int:
        """Returns the number of agents attached in the last MEMORY_S; drops others."""
        known_at_s = self._known_at_s.get(service, {})
        for agent, at_s in list(known_at_s.items()):
            if now_s - at_s > MEMORY_S:
                del known_at_s[agent]
        return len(known_at_s)

    def _choose_agents(
        self, service: str, attached: dict[str, WorkerView], now_s: float
    ) -> None:
        """Chooses agents, and replaces those that have been away for MEMORY_S.

        The upstreams that a queue crashed stay in its part while they are away, so that
        the workers of the other queues are used up only as far as its demand is worth
        the loss of theirs.
        """
        parts = self._parts[service]
        known = self._known_at_s[service].keys()
        for part in parts.values():
            part.agents = part.agents.intersection(known)
        self._set_agents(service)
        counts = self._plan(service, attached, now_s)
        for queue, part in parts.items():
            former = part.agents
            if counts is None:
                count = math.ceil(CONFINED_FRACTION * len(known) / len(parts))
                self._grow(
                    service,
                    part,
                    count - len(part.agents),
                    attached,
                    is_demand_known=False,
                )
            else:
                if not part.agents:
                    self._grow(service, part, 1, attached, is_demand_known=False)
                excess = len(part.agents & attached.keys()) - counts[queue]
                excess = min(excess, len(part.agents) - 1)
                if excess <= 0:
                    part.sufficed_from_s = math.inf
                    self._grow(service, part, -excess, attached, is_demand_known=True)
                else:
                    part.sufficed_from_s = min(part.sufficed_from_s, now_s)
                    if now_s - part.sufficed_from_s >= SHRINK_DELAY_S:
                        self._shrink(part, attached)
            if part.agents != former:
                self._set_agents(service)
                _log.info(
                    "confined_workers_chosen",
                    service=service,
                    queue=queue,
                    agents=" ".join(sorted(part.agents)),
                    known=len(known),
                )

    def _plan(
        self, service: str, attached: dict[str, WorkerView], now_s: float
    ) -> dict[str, int] | None:
        """Returns how many attached workers each confined queue needs, if known."""
        parts = self._parts[service]
        queues = self._queues[service]
        for part in parts.values():
            if part.mean_up_count is None:
                part.mean_up_count = CONFINED_FRACTION * len(attached)
            up_count = len(part.agents & attached.keys())
            part.mean_up_count += (up_count - part.mean_up_count) * UP_COUNT_WEIGHT
        needs = {
            queue: self._need_of(queues[queue], part, now_s)
            for queue, part in parts.items()
        }
        if not attached or not all(need.demand_cores for need in needs.values()):
            return None
        others = QueueNeed(
            demand_cores=sum(
                record.work.per_s(now_s)
                for queue, record in queues.items()
                if queue not in parts
            )
        )
        cpu = sum(worker.record.capacity.cpu for worker in attached.values())
        cores = cpu / 1000 / len(attached)
        known_count = len(self._known_at_s[service])
        return plan_parts(needs, others, len(attached), known=known_count, cores=cores)

    def _need_of(self, record: _QueueRecord, part: _Part, now_s: float) -> QueueNeed:
        crashes_per_s = record.crashes.per_s(now_s)
        mean_away_count = crashes_per_s * self._return_times.expected_s
        return QueueNeed(
            demand_cores=record.work.per_s(now_s),
            crashes_per_s=crashes_per_s,
            lost_core_s=record.lost_core_s,
            drain=DRAIN_WEIGHT * mean_away_count / max(1.0, part.mean_up_count),
        )

    def _grow(
        self,
        service: str,
        part: _Part,
        count: int,
        attached: dict[str, WorkerView],
        *,
        is_demand_known: bool,
    ) -> None:
        """Adds agents to a part: those with the fewest runs, as others lose theirs.

        While no demand is known, agents whose upstreams have crashed and are away go
        first, as they are not needed elsewhere for the moment.
        """
        if count <= 0:
            return
        taken = self._agents[service].keys() | part.agents
        others = sorted(
            (agent for agent in self._known_at_s[service] if agent not in taken),
            key=lambda agent: (
                (agent in attached) is not is_demand_known,
                len(attached[agent].runs) if agent in attached else 0,
                agent,
            ),
        )
        part.agents |= frozenset(others[:count])

    def _shrink(self, part: _Part, attached: dict[str, WorkerView]) -> None:
        """Returns the worker with the fewest runs to the other queues."""
        released = min(
            part.agents & attached.keys(),
            key=lambda agent: (len(attached[agent].runs), agent),
        )
        part.agents -= {released}
