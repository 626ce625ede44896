"""JobCustody: which jobs the agent holds, for whom, and what it must refuse."""

from hawthornbarrow.links import (
    DispatchItem,
    EntryIncarnation,
    JobEpoch,
    TaskStart,
)

from hawthornbarrow_agent._records import JobHolding

CLOSED_MEMORY_S = 600.0


class JobCustody:
    """Holdings by job, ends of closed jobs, and fenced entries."""

    def __init__(self) -> None:
        """Starts without jobs."""
        self._records: dict[str, JobHolding] = {}
        self._closed: dict[str, tuple[int, float]] = {}
        self._fenced: set[tuple[str, int]] = set()

    def __len__(self) -> int:
        """Returns the number of jobs held."""
        return len(self._records)

    def get(self, job: str) -> JobHolding | None:
        """Returns what is held of a job."""
        return self._records.get(job)

    def fence(self, former: EntryIncarnation) -> None:
        """Refuses all work of a former owner from here on."""
        self._fenced.add((former.name, former.incarnation))

    def is_fenced(self, peer: str, incarnation: int) -> bool:
        """Tells whether an entry's incarnation is fenced."""
        return (peer, incarnation) in self._fenced

    def refusal(self, item: DispatchItem, start: TaskStart) -> str:
        """Returns why a task must not be taken, or an empty string."""
        closed = self._closed.get(item.job)
        if closed is not None and item.epoch <= closed[0]:
            return "job_closed"
        holding = self._records.get(item.job)
        if holding is None:
            return ""
        if item.epoch < holding.epoch:
            return "stale_epoch"
        if start.attempt <= holding.attempts.get(start.index, 0):
            return "repeated"
        if not item.repeatable and start.index in holding.started:
            return "already_started"
        return ""

    def accept(self, peer: str, item: DispatchItem, start: TaskStart) -> None:
        """Notes a task that was taken."""
        holding = self._records.get(item.job)
        if holding is None:
            holding = JobHolding(owner=peer, epoch=item.epoch)
            self._records[item.job] = holding
        holding.owner = peer
        holding.epoch = item.epoch
        holding.attempts[start.index] = start.attempt
        holding.active += 1

    def adopt(self, peer: str, job: JobEpoch) -> JobHolding | None:
        """Moves a job to its new owner.

        Returns:
            What was held of it, or None when that is nothing or the epoch is old.
        """
        holding = self._records.get(job.job)
        if holding is None:
            self._records[job.job] = JobHolding(owner=peer, epoch=job.epoch)
            return None
        if job.epoch < holding.epoch:
            return None
        holding.owner = peer
        holding.epoch = job.epoch
        return holding

    def close(self, peer: str, job: str, now_s: float) -> None:
        """Forgets a job whose end is committed, but not that it has ended.

        Only its owner may say so; a former owner's word comes too late.
        """
        holding = self._records.get(job)
        if holding is None or holding.owner != peer:
            return
        del self._records[job]
        self._closed[job] = (holding.epoch, now_s)

    def forget_closed(self, now_s: float) -> None:
        """Forgets ends that no late message can ask for any more."""
        while self._closed:
            job, (_, closed_at_s) = next(iter(self._closed.items()))
            if now_s - closed_at_s < CLOSED_MEMORY_S:
                return
            del self._closed[job]
