"""JobOwnerTable: job records, job owners, and the rules that refuse tasks."""

from hawthornbarrow.links import (
    DispatchItem,
    EntryIncarnation,
    JobEpoch,
    TaskStart,
)

from hawthornbarrow_agent._records import JobRecord

CLOSED_JOB_RETENTION_S = 600.0


class JobOwnerTable:
    """Tracks open jobs and their owners, recently closed jobs, and fenced entries."""

    def __init__(self) -> None:
        """Initializes an empty table."""
        self._records: dict[str, JobRecord] = {}
        # Last epoch and time of closing, by job id, in the order of closing.
        self._closed_jobs: dict[str, tuple[int, float]] = {}
        self._fenced: set[tuple[str, int]] = set()

    def __len__(self) -> int:
        """Returns the number of open jobs."""
        return len(self._records)

    def get(self, job: str) -> JobRecord | None:
        """Returns the record of an open job, or None."""
        return self._records.get(job)

    def fence(self, previous: EntryIncarnation) -> None:
        """Fences a previous owner, so that all its tasks are refused from now on."""
        self._fenced.add((previous.name, previous.incarnation))

    def is_fenced(self, peer: str, incarnation: int) -> bool:
        """Returns whether an incarnation of an entry is fenced."""
        return (peer, incarnation) in self._fenced

    def refusal_reason(self, item: DispatchItem, start: TaskStart) -> str:
        """Returns why a task must be refused, or an empty string."""
        closed = self._closed_jobs.get(item.job)
        if closed is not None and item.epoch <= closed[0]:
            return "job_closed"
        record = self._records.get(item.job)
        if record is None:
            return ""
        if item.epoch < record.epoch:
            return "stale_epoch"
        if start.attempt <= record.attempts.get(start.index, 0):
            return "repeated"
        if not item.repeatable and start.index in record.started:
            return "already_started"
        return ""

    def record_accepted_task(
        self, peer: str, item: DispatchItem, start: TaskStart
    ) -> None:
        """Records a task that the agent has accepted."""
        record = self._records.get(item.job)
        if record is None:
            record = JobRecord(owner=peer, epoch=item.epoch)
            self._records[item.job] = record
        record.owner = peer
        record.epoch = item.epoch
        record.attempts[start.index] = start.attempt
        record.active_task_count += 1

    def change_owner(self, peer: str, job: JobEpoch) -> JobRecord | None:
        """Assigns a job to its new owner.

        An unknown job gets an empty record, so that its tasks from earlier epochs are
        refused.

        Returns:
            The record of the job, or None if it was unknown or if the epoch is older
            than the recorded one.
        """
        record = self._records.get(job.job)
        if record is None:
            self._records[job.job] = JobRecord(owner=peer, epoch=job.epoch)
            return None
        if job.epoch < record.epoch:
            return None
        record.owner = peer
        record.epoch = job.epoch
        return record

    def close(self, peer: str, job: str, now_s: float) -> None:
        """Discards the record of a job whose end is committed.

        The job is remembered as closed, so that late tasks of it are refused. Only its
        owner may close a job; a message from a previous owner is out of date and is
        ignored.
        """
        record = self._records.get(job)
        if record is None or record.owner != peer:
            return
        del self._records[job]
        self._closed_jobs[job] = (record.epoch, now_s)

    def expire_closed_jobs(self, now_s: float) -> None:
        """Removes closed jobs to which no late message can refer any more."""
        while self._closed_jobs:
            job, (_, closed_at_s) = next(iter(self._closed_jobs.items()))
            if now_s - closed_at_s < CLOSED_JOB_RETENTION_S:
                return
            del self._closed_jobs[job]
