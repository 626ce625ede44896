"""AgentRegistry: the sans-I/O state machine that keeps the ledger's list of agents.

A new dispatcher waits for every agent that the ledger lists, as that agent may have
runs of a previous dispatcher or traces of them. So an agent is registered in the ledger
before it gets any work, and retired once neither can matter any more. An agent that
returns is registered again.
"""

import collections.abc

import structlog
from hawthornbarrow.cells import TRACE_RETENTION_S, AttachWorker, RunLeaseTiming
from hawthornbarrow.ledger import AgentRecord, RegisterAgent, RetireAgent

ATTACH_REQUEST_RETENTION_S = 0.4  # agents repeat them at this interval
RETIREMENT_MARGIN_S = 0.5  # beyond the time for which runs or their traces matter

_log = structlog.get_logger()


class AgentRegistry:
    """Decides which agents the ledger lists during the term of one dispatcher.

    Args:
        timing: Durations of the leases of runs.
    """

    def __init__(self, *, timing: RunLeaseTiming) -> None:
        """Initializes a registry without attach requests.

        All agents that the ledger lists may have runs.
        """
        self._retire_after_s = (
            max(TRACE_RETENTION_S, timing.lost_after_s) + RETIREMENT_MARGIN_S
        )
        self._attach_requests: dict[str, tuple[AttachWorker, float]] = {}
        self._registering: set[str] = set()
        self._retiring: set[str] = set()
        self._absent_since_s: dict[str, float] = {}

    def on_attach_request(
        self, agent: str, message: AttachWorker, now_s: float
    ) -> None:
        """Records an agent's attach request, which replaces an earlier one."""
        self._attach_requests[agent] = (message, now_s)
        self._absent_since_s.pop(agent, None)

    def take_attachable(
        self, agents: collections.abc.Container[str], now_s: float
    ) -> list[tuple[str, AttachWorker]]:
        """Returns the attach requests of agents that the ledger lists, and clears them.

        Args:
            agents: Agents that the ledger lists.
            now_s: Current time.
        """
        attachable = []
        for agent, (message, requested_at_s) in list(self._attach_requests.items()):
            if now_s - requested_at_s > ATTACH_REQUEST_RETENTION_S:
                del self._attach_requests[agent]
            elif agent in agents and agent not in self._retiring:
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
        return [RegisterAgent(name=agent, incarnation=0) for agent in missing]

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
            if agent in attached or agent in self._attach_requests:
                self._absent_since_s.pop(agent, None)
                continue
            since_s = self._absent_since_s.setdefault(agent, now_s)
            absent_s = now_s - since_s
            if absent_s > self._retire_after_s and agent not in self._retiring:
                self._retiring.add(agent)
                retirements.append(
                    RetireAgent(name=agent, incarnation=record.incarnation)
                )
                _log.info("agent_struck", agent=agent, absent_s=round(absent_s, 1))
        return retirements
