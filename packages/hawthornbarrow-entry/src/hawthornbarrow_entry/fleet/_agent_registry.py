"""AgentRegistry: the sans-I/O state machine that keeps the ledger's list of agents.

A new dispatcher waits for every agent that the ledger names, as that agent may hold
work of an earlier one or traces of it. So an agent is named there before it gets any
work, and struck once neither can matter any more; one that comes back is named anew.
"""

import collections.abc

import structlog
from hawthornbarrow.cells import TRACE_RETENTION_S, AttachWorker, RunLeaseTiming
from hawthornbarrow.ledger import AgentRecord, RegisterAgent, RetireAgent

OFFER_KEPT_S = 0.4  # agents repeat their offers after this long
STRIKE_MARGIN_S = 0.5  # beyond the time for which its work or traces of it may matter

_log = structlog.get_logger()


class AgentRegistry:
    """Decides which agents the ledger names while one dispatcher leads.

    Args:
        timing: Lengths of the leases of runs.
    """

    def __init__(self, *, timing: RunLeaseTiming) -> None:
        """Starts without offers; all agents that the ledger names may hold work."""
        self._struck_after_s = (
            max(TRACE_RETENTION_S, timing.lost_after_s) + STRIKE_MARGIN_S
        )
        self._offers: dict[str, tuple[AttachWorker, float]] = {}
        self._registering: set[str] = set()
        self._striking: set[str] = set()
        self._absent_since_s: dict[str, float] = {}

    def offer(self, agent: str, message: AttachWorker, now_s: float) -> None:
        """Takes an agent's offer; the newest counts."""
        self._offers[agent] = (message, now_s)
        self._absent_since_s.pop(agent, None)

    def take_attachable(
        self, agents: collections.abc.Container[str], now_s: float
    ) -> list[tuple[str, AttachWorker]]:
        """Returns the offers of agents that the ledger names, and forgets them.

        Args:
            agents: Agents that the ledger names.
            now_s: Current time.
        """
        attachable = []
        for agent, (message, offered_at_s) in list(self._offers.items()):
            if now_s - offered_at_s > OFFER_KEPT_S:
                del self._offers[agent]
            elif agent in agents and agent not in self._striking:
                del self._offers[agent]
                attachable.append((agent, message))
        return attachable

    def take_registrations(
        self, agents: collections.abc.Collection[str]
    ) -> list[RegisterAgent]:
        """Returns the commands that name the agents whose offers wait.

        Args:
            agents: Agents that the ledger names.
        """
        self._striking.intersection_update(agents)
        self._registering.difference_update(agents)
        missing = [
            agent
            for agent in self._offers
            if agent not in agents and agent not in self._registering
        ]
        self._registering.update(missing)
        return [RegisterAgent(name=agent, incarnation=0) for agent in missing]

    def take_strikes(
        self,
        agents: collections.abc.Mapping[str, AgentRecord],
        attached: collections.abc.Container[str],
        now_s: float,
    ) -> list[RetireAgent]:
        """Returns the commands that strike agents which can hold no work any more.

        Args:
            agents: Agents that the ledger names.
            attached: Agents that the dispatcher gives work to.
            now_s: Current time.
        """
        strikes = []
        for agent, record in agents.items():
            if agent in attached or agent in self._offers:
                self._absent_since_s.pop(agent, None)
                continue
            since_s = self._absent_since_s.setdefault(agent, now_s)
            absent_s = now_s - since_s
            if absent_s > self._struck_after_s and agent not in self._striking:
                self._striking.add(agent)
                strikes.append(RetireAgent(name=agent, incarnation=record.incarnation))
                _log.info("agent_struck", agent=agent, absent_s=round(absent_s, 1))
        return strikes
