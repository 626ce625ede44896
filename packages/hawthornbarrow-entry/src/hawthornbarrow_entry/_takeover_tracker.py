"""TakeoverTracker: collects from agents the state of inherited jobs."""

import dataclasses

from hawthornbarrow.jobs import Job
from hawthornbarrow.ledger import AgentRecord, LedgerState
from hawthornbarrow.links import EntryIncarnation, JobEpoch, RecoverJobs

TAKEOVER_TIMEOUT_S = 6.0


@dataclasses.dataclass(kw_only=True)
class Recovery:
    """Recovery, from the agents, of the jobs that one takeover moved to this entry.

    Attributes:
        number: Number of the recovery.
        jobs: Inherited jobs by id.
        pending: Agents that have not answered yet.
        lost: Agents that may have held tasks and lost the record of them.
        fenced: Incarnations of the previous owners.
        deadline_at_s: Time after which agents without an answer count as lost.
    """

    number: int
    jobs: dict[str, Job]
    pending: set[str]
    lost: set[str]
    fenced: list[EntryIncarnation]
    deadline_at_s: float

    def request(self) -> RecoverJobs:
        """Returns the request that is sent to each agent."""
        return RecoverJobs(
            recovery=self.number,
            fenced=self.fenced,
            jobs=[
                JobEpoch(job=job.job_id, epoch=job.epoch) for job in self.jobs.values()
            ],
        )


class TakeoverTracker:
    """Tracks the recoveries of one entry, one for each of its takeovers."""

    def __init__(self) -> None:
        """Initializes the tracker without takeovers."""
        self._next_number = 1
        self._recoveries: dict[int, Recovery] = {}

    @property
    def recoveries(self) -> list[Recovery]:
        """Recoveries in progress."""
        return list(self._recoveries.values())

    def begin(
        self,
        jobs: list[Job],
        state: LedgerState,
        fenced: list[EntryIncarnation],
        now_s: float,
    ) -> Recovery:
        """Begins to recover jobs that this entry has just inherited."""
        recovery = Recovery(
            number=self._next_number,
            jobs={job.job_id: job for job in jobs},
            pending=set(state.agents),
            lost=set(),
            fenced=fenced,
            deadline_at_s=now_s + TAKEOVER_TIMEOUT_S,
        )
        self._next_number += 1
        self._recoveries[recovery.number] = recovery
        return recovery

    def record_answer(self, number: int, agent: str) -> Recovery | None:
        """Records an agent's answer and returns its recovery if it is in progress."""
        recovery = self._recoveries.get(number)
        if recovery is not None:
            recovery.pending.discard(agent)
        return recovery

    def take_finished(self, now_s: float) -> list[Recovery]:
        """Removes and returns recoveries that are complete or past their deadline."""
        finished = []
        for recovery in self.recoveries:
            if recovery.pending and now_s < recovery.deadline_at_s:
                continue
            recovery.lost |= recovery.pending
            del self._recoveries[recovery.number]
            finished.append(recovery)
        return finished


def may_have_lost_tasks(agent: AgentRecord, claim_index: int) -> bool:
    """Returns whether an agent may have lost the record of tasks of a claim.

    The ledger orders claims and incarnations of agents: an incarnation that was
    registered after the claim does not know what a previous one started for it. The
    first incarnation of an agent has no previous one.
    """
    return agent.index > claim_index and agent.first_index < agent.index
