"""AgentRegistry: the sans-I/O state machine that keeps the ledger's list of agents.

A new dispatcher waits for every agent that the ledger lists, as that agent may have
runs of a previous dispatcher or traces of them. So an agent is registered in the ledger
before it gets any work, and retired once neither can matter any more. An agent that
returns is registered again.
"""

import collections.abc
import math

import structlog
from hawthornbarrow.cells import (
    NO_FEATURES,
    TRACE_RETENTION_S,
    AttachWorker,
    LoadFeature,
    RunLeaseTiming,
    WorkerRecord,
)
from hawthornbarrow.ledger import AgentRecord, RegisterAgent, RetireAgent

from hawthornbarrow_entry.fleet._worker_directory import WorkerDirectory

ATTACH_REQUEST_RETENTION_S = 0.4  # agents repeat them at this interval
RETIREMENT_MARGIN_S = 0.5  # beyond the time for which runs or their traces matter

_log = structlog.get_logger()


class AgentRegistry:
    """Decides which agents the ledger lists during the term of one dispatcher.

    Args:
        timing: Durations of the leases of runs.
        features: Optional features that the deployment has enabled.
    """

    def __init__(
        self,
        *,
        timing: RunLeaseTiming,
        features: frozenset[LoadFeature] = NO_FEATURES,
    ) -> None:
        """Initializes a registry without attach requests.

        All agents that the ledger lists may have runs.
        """
        self._retire_after_s = (
            max(TRACE_RETENTION_S, timing.lost_after_s) + RETIREMENT_MARGIN_S
        )
        self._lost_after_s = timing.lost_after_s
        self._retires_idle = LoadFeature.FAST_RESTART in features
        self._attach_requests: dict[str, tuple[AttachWorker, float]] = {}
        self._registering: set[str] = set()
        self._retiring: set[str] = set()
        self._absent_since_s: dict[str, float] = {}
        # Since when agents have told that they have neither an upstream nor runs.
        self._idle_since_s: dict[str, float] = {}
        self._directory = WorkerDirectory(
            is_enabled=LoadFeature.UPSTREAM_DIRECTORY in features
        )

    @property
    def directory(self) -> WorkerDirectory:
        """Records of the agents' upstreams, as the ledger is to list them."""
        return self._directory

    def on_attach_request(
        self, agent: str, message: AttachWorker, now_s: float
    ) -> None:
        """Records an agent's attach request, which replaces an earlier one."""
        self._attach_requests[agent] = (message, now_s)
        self._directory.on_worker(agent, message.worker, is_leaving=message.is_leaving)
        self._absent_since_s.pop(agent, None)
        if self._has_no_runs(message):
            self._idle_since_s.setdefault(agent, now_s)
        else:
            self._idle_since_s.pop(agent, None)

    def _has_no_runs(self, message: AttachWorker) -> bool:
        """Returns whether no run is left at an agent that asks to attach.

        An agent that has just restarted does not know the runs of its predecessor
        before their leases have expired.
        """
        knows_runs = self._lost_after_s <= message.recorded_s < math.inf
        return knows_runs and message.worker is None and not message.running

    def on_report(self, agent: str, worker: WorkerRecord, *, is_leaving: bool) -> None:
        """Records the worker of an attached agent, unless it waits to attach anew."""
        if agent not in self._attach_requests:
            self._directory.on_worker(agent, worker, is_leaving=is_leaving)

    def take_attachable(
        self,
        agents: collections.abc.Container[str],
        now_s: float,
        *,
        records: collections.abc.Mapping[str, AgentRecord] | None = None,
    ) -> list[tuple[str, AttachWorker]]:
        """Returns the attach requests of agents that the ledger lists, and clears them.

        Args:
            agents: Agents that the ledger lists.
            now_s: Current time.
            records: Records of the agents, of which the directory must list the worker,
                or None for a standby, which cannot change the directory.
        """
        attachable = []
        for agent, (message, requested_at_s) in list(self._attach_requests.items()):
            if now_s - requested_at_s > ATTACH_REQUEST_RETENTION_S:
                del self._attach_requests[agent]
            elif (
                agent in agents
                and agent not in self._retiring
                and self._directory.lists(agent, message, records)
            ):
                del self._attach_requests[agent]
                attachable.append((agent, message))
        return attachable

    def take_registrations(
        self, agents: collections.abc.Collection[str]
    ) -> list[RegisterAgent]:
        """Returns the commands that register the agents whose requests wait.

        Args:
            agents: Agents that the ledger lists.
        """
        if not self._attach_requests:
            return []
        self._retiring.intersection_update(agents)
        self._registering.difference_update(agents)
        missing = [
            agent
            for agent in self._attach_requests
            if agent not in agents and agent not in self._registering
        ]
        self._registering.update(missing)
        return [
            RegisterAgent(
                name=agent, incarnation=0, worker=self._directory.record_of(agent)
            )
            for agent in missing
        ]

    def restart_absences(self) -> None:
        """Counts the absence of agents from the next look at them."""
        self._absent_since_s.clear()

    def take_retirements(
        self,
        agents: collections.abc.Mapping[str, AgentRecord],
        attached: collections.abc.Container[str],
        now_s: float,
    ) -> list[RetireAgent]:
        """Returns the commands that retire agents which can have no runs any more.

        Args:
            agents: Agents that the ledger lists.
            attached: Agents that are attached to the dispatcher.
            now_s: Current time.
        """
        retirements = []
        for agent, record in agents.items():
            if agent in attached:
                self._idle_since_s.pop(agent, None)
            if agent in attached or agent in self._attach_requests:
                self._absent_since_s.pop(agent, None)
                continue
            since_s = self._absent_since_s.setdefault(agent, now_s)
            absent_s = now_s - since_s
            if agent not in self._retiring and self._may_retire(agent, absent_s, now_s):
                self._retiring.add(agent)
                self._idle_since_s.pop(agent, None)
                retirements.append(
                    RetireAgent(name=agent, incarnation=record.incarnation)
                )
                _log.info("agent_struck", agent=agent, absent_s=round(absent_s, 1))
        return retirements

    def _may_retire(self, agent: str, absent_s: float, now_s: float) -> bool:
        """Returns whether neither runs nor traces of an absent agent matter any more.

        The time for which traces matter counts from its last run. That is known of an
        agent that had no upstream before it left, as after a scale-in.
        """
        if absent_s > self._retire_after_s:
            return True
        if not self._retires_idle:
            return False
        idle_s = now_s - self._idle_since_s.get(agent, math.inf)
        is_gone = absent_s > self._lost_after_s + RETIREMENT_MARGIN_S
        return is_gone and idle_s > self._retire_after_s
