"""WorkerHealth: keeps work away from a worker that fails what it starts."""

FAILED_JOBS_LIMIT = 2
FIRST_EJECTION_S = 2.0
LONGEST_EJECTION_S = 16.0


class WorkerHealth:
    """Ejects a worker after failures of several jobs in a row.

    One job alone never ejects a worker, as a job may be unable to run anywhere. After
    the ejection a single run at a time tests the worker until one ends well.
    """

    def __init__(self) -> None:
        """Starts healthy."""
        self._failed_jobs: set[str] = set()
        self._ejected_until_s = 0.0
        self._ejection_s = FIRST_EJECTION_S
        self._is_on_trial = False

    @property
    def is_on_trial(self) -> bool:
        """Whether only one run at a time may test the worker."""
        return self._is_on_trial

    def is_ejected(self, now_s: float) -> bool:
        """Tells whether the worker gets no work now."""
        return now_s < self._ejected_until_s

    def note_success(self) -> None:
        """Takes a run that ended well."""
        self._failed_jobs.clear()
        self._is_on_trial = False
        self._ejection_s = FIRST_EJECTION_S

    def note_failure(self, job: str, now_s: float) -> bool:
        """Takes a run that failed or stalled; returns whether it ejects."""
        self._failed_jobs.add(job)
        is_over = len(self._failed_jobs) >= FAILED_JOBS_LIMIT or self._is_on_trial
        if not is_over or self.is_ejected(now_s):
            return False
        self._ejected_until_s = now_s + self._ejection_s
        self._ejection_s = min(self._ejection_s * 2, LONGEST_EJECTION_S)
        self._is_on_trial = True
        return True
