"""Standby: the sans-I/O state machine by which an entry dispatches without a ledger.

Jobs that need not be stored are placed without a record in the ledger, so they can be
served while too many replicas are down to elect a leader. An entry that has received no
heartbeat for longer than any run can live claims the agents. An agent gives its promise
to one entry at a time, and only after its own leases have expired. So at most one entry
gets the promises of a majority of the agents that the ledger lists, and no run of the
previous dispatcher exists at these agents any more.

Each term of the ledger contains TERMS_PER_LEDGER_TERM terms of dispatchers: leaders of
the ledger use even numbers, standbys odd ones. So every later leader supersedes a
standby, and a leader that was only unreachable starts a new term above the standby's.
"""

import collections
import collections.abc

import structlog

from hawthornbarrow.cells._messages import (
    ClaimAgents,
)
from hawthornbarrow.cells._parts import (
    FleetMember,
)
from hawthornbarrow.cells._timing import CONTACT_TIMEOUT_S, RunLeaseTiming

TERMS_PER_LEDGER_TERM = 1024
CLAIM_MARGIN_S = 0.1  # added to the time after which agents may follow another entry
RANK_DELAY_S = 0.2  # between the first claims of entries of successive rank
CLAIM_RETRY_INTERVAL_S = 0.4
LINKED_STANDBY_COUNT = 3  # at least, beside the entries with replicas

_log = structlog.get_logger()


def first_term(ledger_term: int) -> int:
    """Returns the first term of a dispatcher in a term of the ledger."""
    return ledger_term * TERMS_PER_LEDGER_TERM


def ledger_term_of(term: int) -> int:
    """Returns the term of the ledger in which a dispatcher's term lies."""
    return term // TERMS_PER_LEDGER_TERM


def is_standby_term(term: int) -> bool:
    """Returns whether a dispatcher's term is that of a standby."""
    return term % 2 == 1


def rank_standbys(
    members: collections.abc.Iterable[FleetMember],
) -> list[FleetMember]:
    """Returns entries in the order in which they claim, those without a replica first.

    While the ledger has no leader, many entries with replicas are down or recovering.
    Entries that follow one another are in different data centres, so that the loss of
    one does not take all of the first.
    """
    ranked = []
    by_data_centre: collections.Counter[tuple[bool, str]] = collections.Counter()
    for member in sorted(members, key=lambda member: member.name):
        group = (bool(member.replica), member.data_centre)
        ranked.append((group[0], by_data_centre[group], member.name, member))
        by_data_centre[group] += 1
    return [member for *_, member in sorted(ranked, key=lambda rank: rank[:3])]


class Standby:
    """Decides when an entry dispatches without a leader of the ledger.

    Args:
        timing: Durations of the leases of runs.
        now_s: Current time.
    """

    def __init__(self, *, timing: RunLeaseTiming, now_s: float) -> None:
        """Initializes a standby as if a heartbeat had just arrived."""
        self._timing = timing
        self._highest_term = 0
        self._heartbeat_at_s = now_s
        self._agents: frozenset[str] = frozenset()
        self._agents_term = 0
        self._claimed_term = 0
        self._claimed_at_s = now_s
        self._granted: set[str] = set()
        self._needs_all_agents = False
        self._heard_at_s: dict[str, float] = {}

    @property
    def term(self) -> int:
        """Term of this entry's newest claim."""
        return self._claimed_term

    @property
    def highest_term(self) -> int:
        """Highest term of any dispatcher that was observed."""
        return self._highest_term

    @property
    def agents(self) -> frozenset[str]:
        """Agents that the ledger lists, as reported by the last leader."""
        return self._agents

    def set_needs_all_agents(self, needs_all_agents: bool) -> None:
        """Sets whether promises of all agents are needed, not of a majority.

        Args:
            needs_all_agents: Whether a leader may be of a version that does not stop
                the runs of jobs whose entries it no longer hears.
        """
        self._needs_all_agents = needs_all_agents

    def on_known_agents(self, term: int, agents: collections.abc.Iterable[str]) -> None:
        """Updates the agents that the ledger lists, ignoring older leaders.

        Args:
            term: Term of the leader that reports them.
            agents: Their names.
        """
        if term >= self._agents_term:
            self._agents_term = term
            self._agents = frozenset(agents)

    def on_heartbeat(self, term: int, now_s: float) -> None:
        """Processes a heartbeat of a dispatcher."""
        if term >= self._highest_term:
            self._highest_term = term
            self._heartbeat_at_s = now_s

    def on_superseded(self, term: int) -> None:
        """Records a higher term of another dispatcher."""
        self._highest_term = max(self._highest_term, term)

    def on_grant(self, agent: str, term: int, now_s: float) -> None:
        """Processes an agent's promise to follow this entry."""
        if term != self._claimed_term or agent not in self._agents:
            return
        was_enough = self._is_enough(self._granted)
        self._granted.add(agent)
        self._heard_at_s[agent] = now_s
        if not was_enough and self._is_enough(self._granted):
            _log.warning(
                "standby_elected",
                term=term,
                granted=len(self._granted),
                agents=len(self._agents),
            )

    def on_frame(self, agent: str, contact_at_s: float) -> None:
        """Records when an agent last heard this entry."""
        if agent in self._granted:
            known_s = self._heard_at_s[agent]
            self._heard_at_s[agent] = max(known_s, contact_at_s)

    def on_agent_restarted(self, agent: str) -> None:
        """Records that an agent has restarted, which ends its promise."""
        self._granted.discard(agent)

    def is_dispatcher_silent(self, now_s: float) -> bool:
        """Returns whether no heartbeat arrived for longer than any run can live."""
        return now_s - self._heartbeat_at_s > self._timing.lost_after_s

    def is_dispatching(self, now_s: float) -> bool:
        """Returns whether this entry dispatches in place of the ledger's leader."""
        if not self._granted or self._highest_term > self._claimed_term:
            return False
        in_contact = {
            agent
            for agent in self._granted
            if now_s - self._heard_at_s[agent] <= CONTACT_TIMEOUT_S
        }
        return self._is_enough(in_contact)

    def claim_if_due(
        self, agents_up: collections.abc.Collection[str], rank: int, now_s: float
    ) -> ClaimAgents | None:
        """Returns a claim to send to the agents, or None when none is due.

        Args:
            agents_up: Agents that this entry is linked to.
            rank: Position of this entry among those that may claim.
            now_s: Current time.
        """
        silent_s = now_s - self._heartbeat_at_s
        claim_after_s = self._timing.lost_after_s + CLAIM_MARGIN_S + rank * RANK_DELAY_S
        if self.is_dispatching(now_s) or silent_s <= claim_after_s:
            return None
        if now_s - self._claimed_at_s < CLAIM_RETRY_INTERVAL_S:
            return None
        if not self._is_enough(self._agents.intersection(agents_up)):
            return None
        self._claimed_at_s = now_s
        self._claimed_term = (max(self._highest_term, self._claimed_term) + 1) | 1
        self._granted = set()
        _log.warning(
            "standby_claims",
            term=self._claimed_term,
            silent_s=round(silent_s, 3),
            rank=rank,
            agents=len(self._agents),
        )
        return ClaimAgents(term=self._claimed_term)

    def leader_term(self, ledger_term: int, current: int) -> int:
        """Returns the term in which a leader of the ledger dispatches.

        Args:
            ledger_term: Term of the ledger in which it leads.
            current: Term in which it dispatches now, or zero.
        """
        first = first_term(ledger_term)
        is_valid = current >= max(first, self._highest_term)
        if is_valid and not is_standby_term(current):
            return current
        return max(first, (self._highest_term // 2 + 1) * 2)

    def _is_enough(self, agents: collections.abc.Collection[str]) -> bool:
        """Returns whether no leader can dispatch to so many agents beside it."""
        if self._needs_all_agents and len(agents) < len(self._agents):
            return False
        return 2 * len(agents) > len(self._agents)
