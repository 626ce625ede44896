"""JobTable: the job records of one entry and who waits for them."""

import collections
import collections.abc
import hashlib

from hawthornbarrow.jobs import Job, JobStatus

from hawthornbarrow_entry._effects import Answer, ReplyTarget

ANSWER_RETENTION_S = 600.0
MAX_CLOSED_ANSWER_BYTES = 64 * 1024 * 1024


class JobTable:
    """Open jobs, answers of closed ones, and callers that wait."""

    def __init__(self) -> None:
        """Starts empty."""
        self.jobs: dict[str, Job] = {}
        self._digests: dict[str, bytes] = {}
        self._bodies: dict[str, bytes] = {}
        self._waiters: dict[str, list[ReplyTarget]] = {}
        self._answers: dict[str, Answer] = {}
        self._open: dict[str, Job] = {}
        self._closed: collections.deque[Job] = collections.deque()
        self._answer_bytes = 0

    @property
    def open_jobs(self) -> list[Job]:
        """Jobs that are not final."""
        return list(self._open.values())

    def add(self, job: Job, digest: bytes, body: bytes) -> None:
        """Adds a record."""
        self.jobs[job.job_id] = job
        self._open[job.job_id] = job
        self._digests[job.job_id] = digest
        if body:
            self._bodies[job.job_id] = body

    def remove(self, job_id: str) -> list[ReplyTarget]:
        """Forgets a record; returns who still waited for it."""
        self.jobs.pop(job_id, None)
        self._open.pop(job_id, None)
        self._digests.pop(job_id, None)
        self._bodies.pop(job_id, None)
        answer = self._answers.pop(job_id, None)
        if answer is not None:
            self._answer_bytes -= len(answer.body)
        return self._waiters.pop(job_id, [])

    def matches(self, job_id: str, digest: bytes) -> bool:
        """Tells whether a submission has the body of the recorded one."""
        return self._digests.get(job_id) == digest

    def body(self, job_id: str) -> bytes:
        """Returns the submitted body, empty when it is not known."""
        return self._bodies.get(job_id, b"")

    def set_body(self, job_id: str, body: bytes) -> None:
        """Keeps the submitted body while the job is open."""
        self._bodies[job_id] = body

    def add_waiter(self, job_id: str, target: ReplyTarget) -> None:
        """Adds a caller that waits for the job's end."""
        self._waiters.setdefault(job_id, []).append(target)

    def take_waiters(self, job_id: str) -> list[ReplyTarget]:
        """Returns and forgets the callers that wait for a job."""
        return self._waiters.pop(job_id, [])

    def close(self, job: Job, answer: Answer) -> None:
        """Keeps the answer of a job that has become final."""
        self._open.pop(job.job_id, None)
        self._closed.append(job)
        self._answers[job.job_id] = answer
        self._answer_bytes += len(answer.body)
        self._bodies.pop(job.job_id, None)

    def answer(self, job_id: str) -> Answer | None:
        """Returns the answer of a closed job, if it is still kept."""
        return self._answers.get(job_id)

    def drop_old(self, now_s: float, *, pinned: collections.abc.Container[str]) -> None:
        """Drops closed jobs that are old, or all beyond the memory bound.

        Args:
            now_s: Current time.
            pinned: Jobs whose end the ledger does not know yet; forgetting one
                would let a resubmission run it again.
        """
        while self._closed:
            job = self._closed[0]
            is_old = now_s - job.closed_at_s > ANSWER_RETENTION_S
            if not is_old and self._answer_bytes <= MAX_CLOSED_ANSWER_BYTES:
                return
            if job.job_id in pinned:
                return
            self._closed.popleft()
            if self.jobs.get(job.job_id) is job:
                self.remove(job.job_id)


def digest_of(body: bytes) -> bytes:
    """Returns the digest by which two submissions of a key are compared."""
    return hashlib.blake2b(body, digest_size=16).digest()


def status_code_of(status: JobStatus) -> int:
    """Returns the HTTP status of a closed job's answer."""
    return 200 if status is JobStatus.COMPLETED else 409
