"""JobTable: the job records of one entry and the callers that wait for them."""

import collections
import collections.abc
import hashlib

from hawthornbarrow.jobs import Job, JobStatus

from hawthornbarrow_entry._effects import Answer, ReplyTarget

ANSWER_RETENTION_S = 600.0


class JobTable:
    """Holds open jobs, the answers of closed ones and the waiting callers.

    Args:
        max_answer_bytes: Maximum size of the answers of closed jobs together.
    """

    def __init__(self, *, max_answer_bytes: int) -> None:
        """Initializes an empty table."""
        self._max_answer_bytes = max_answer_bytes
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
        """Jobs whose state is not final."""
        return list(self._open.values())

    def add(self, job: Job, digest: bytes, body: bytes) -> None:
        """Adds the record of an open job."""
        self.jobs[job.job_id] = job
        self._open[job.job_id] = job
        self._digests[job.job_id] = digest
        if body:
            self._bodies[job.job_id] = body

    def remove(self, job_id: str) -> list[ReplyTarget]:
        """Removes a record and returns the callers that still waited for it."""
        self.jobs.pop(job_id, None)
        self._open.pop(job_id, None)
        self._digests.pop(job_id, None)
        self._bodies.pop(job_id, None)
        answer = self._answers.pop(job_id, None)
        if answer is not None:
            self._answer_bytes -= len(answer.body)
        return self._waiters.pop(job_id, [])

    def matches(self, job_id: str, digest: bytes) -> bool:
        """Returns whether a submission has the same body as the recorded one."""
        return self._digests.get(job_id) == digest

    def body(self, job_id: str) -> bytes:
        """Returns the submitted body, or an empty one if it is not known."""
        return self._bodies.get(job_id, b"")

    def set_body(self, job_id: str, body: bytes) -> None:
        """Stores the submitted body until the job is closed."""
        self._bodies[job_id] = body

    def add_waiter(self, job_id: str, target: ReplyTarget) -> None:
        """Adds a caller that waits for the answer of a job."""
        self._waiters.setdefault(job_id, []).append(target)

    def take_waiters(self, job_id: str) -> list[ReplyTarget]:
        """Removes and returns the callers that wait for a job."""
        return self._waiters.pop(job_id, [])

    def close(self, job: Job, answer: Answer) -> None:
        """Stores the answer of a job that has reached a final state."""
        self._open.pop(job.job_id, None)
        self._closed.append(job)
        self._answers[job.job_id] = answer
        self._answer_bytes += len(answer.body)
        self._bodies.pop(job.job_id, None)

    def answer(self, job_id: str) -> Answer | None:
        """Returns the answer of a closed job, or None if it is no longer stored."""
        return self._answers.get(job_id)

    def drop_old(self, now_s: float, *, pinned: collections.abc.Container[str]) -> None:
        """Drops closed jobs, oldest first, past the retention or the memory limit.

        Args:
            now_s: Current time.
            pinned: Jobs whose end is not committed to the ledger yet. They are not
                dropped, because a resubmission would run a dropped one again.
        """
        while self._closed:
            job = self._closed[0]
            is_old = now_s - job.closed_at_s > ANSWER_RETENTION_S
            if not is_old and self._answer_bytes <= self._max_answer_bytes:
                return
            if job.job_id in pinned:
                return
            self._closed.popleft()
            if self.jobs.get(job.job_id) is job:
                self.remove(job.job_id)


def digest_of(body: bytes) -> bytes:
    """Returns the digest for comparing two submissions of the same key."""
    return hashlib.blake2b(body, digest_size=16).digest()


def status_code_of(status: JobStatus) -> int:
    """Returns the HTTP status code for the answer of a closed job."""
    return 200 if status is JobStatus.COMPLETED else 409
