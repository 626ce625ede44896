"""WorkerHealth: ejects a worker whose runs fail."""

FAILED_JOBS_LIMIT = 2
MIN_EJECTION_S = 2.0
MAX_EJECTION_S = 16.0


class WorkerHealth:
    """Ejects a worker after failures of several jobs in a row.

    Failures of a single job never eject a healthy worker, as that job may be unable to
    run anywhere. After an ejection the worker is on probation: it gets one probe run
    at a time until one completes.
    """

    def __init__(self) -> None:
        """Initializes the health of a worker without failures."""
        self._failed_jobs: set[str] = set()
        self._ejected_until_s = 0.0
        self._ejection_s = MIN_EJECTION_S
        self._is_on_probation = False

    @property
    def is_on_probation(self) -> bool:
        """Whether the worker gets only one probe run at a time."""
        return self._is_on_probation

    def is_ejected(self, now_s: float) -> bool:
        """Returns whether the worker is ejected and gets no tasks now."""
        return now_s < self._ejected_until_s

    def record_success(self) -> None:
        """Records a run that completed."""
        self._failed_jobs.clear()
        self._is_on_probation = False
        self._ejection_s = MIN_EJECTION_S

    def record_failure(self, job: str, now_s: float) -> bool:
        """Records a run that failed or stalled; returns whether this ejects."""
        self._failed_jobs.add(job)
        is_at_limit = (
            len(self._failed_jobs) >= FAILED_JOBS_LIMIT or self._is_on_probation
        )
        if not is_at_limit or self.is_ejected(now_s):
            return False
        self._ejected_until_s = now_s + self._ejection_s
        self._ejection_s = min(self._ejection_s * 2, MAX_EJECTION_S)
        self._is_on_probation = True
        return True
