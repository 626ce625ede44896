"""CallerJob: an entry's state of one job, with the times until which it may wait."""

import dataclasses

from hawthornbarrow.cells import GIVE_UP_FACTOR, OVERHEAD_S, JobDocument

from hawthornbarrow_entry.fleet._caller_outcome import Waiter
from hawthornbarrow_entry.fleet._gap_waits import REFUSAL_MARGIN_S


@dataclasses.dataclass(kw_only=True)
class CallerJob:
    """State of one job at the entry of its callers.

    Attributes:
        document: The job.
        objective_s: Time from its arrival within which it should end.
        received_at_s: When the entry received it.
        waiters: Callers that wait for it.
        submitted_term: Term of the dispatcher that it was submitted to last, or zero.
        submission_count: Number of its submissions, to any dispatcher.
        has_late_copy: Whether an earlier submission to the same dispatcher may still
            arrive there, on another path.
        may_be_kept: Whether a previous dispatcher may have it that does not release
            the jobs of entries it no longer hears.
    """

    document: JobDocument
    objective_s: float
    received_at_s: float
    waiters: list[Waiter]
    submitted_term: int = 0
    submission_count: int = 0
    has_late_copy: bool = False
    may_be_kept: bool = False

    @property
    def start_by_s(self) -> float:
        """Latest start at which it is expected to meet its objective."""
        return self._latest_start_s(self.objective_s)

    @property
    def hold_until_s(self) -> float:
        """Until when it may wait for a dispatcher before it is submitted.

        A start by then is still of use to its caller, who has not given up, although
        the objective may be missed.
        """
        give_up_at_s = max(waiter.give_up_at_s for waiter in self.waiters)
        latest_start_s = self._latest_start_s(GIVE_UP_FACTOR * self.objective_s)
        return min(latest_start_s, give_up_at_s - REFUSAL_MARGIN_S)

    def _latest_start_s(self, limit_s: float) -> float:
        run_s = self.document.longest_chain_s + OVERHEAD_S
        return self.received_at_s + limit_s - run_s
