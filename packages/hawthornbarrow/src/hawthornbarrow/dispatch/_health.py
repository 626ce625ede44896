"""Upstream health: ejects failing or slow upstreams and readmits them by probe runs."""

import dataclasses

EJECTION_S = 5.0
MAX_EJECTION_S = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class HealthPolicy:
    """When an upstream is ejected and when it is readmitted.

    Attributes:
        max_failure_rate: Failure rate above which an upstream is ejected.
        min_samples: Results needed before an upstream can be ejected.
        min_sample_weight: Minimum weight of the newest result in the running averages.
        max_ejected_share: Maximum share of the fleet that is ejected at a time.
        probe_successes_required: Consecutive successful probe runs after which an
            upstream is readmitted.
        max_run_time_ratio: Mean ratio of the run time to the expected run time above
            which an upstream is ejected as a straggler.
    """

    max_failure_rate: float = 0.5
    min_samples: int = 5
    min_sample_weight: float = 0.2
    max_ejected_share: float = 0.34
    probe_successes_required: int = 3
    max_run_time_ratio: float = 4.0


@dataclasses.dataclass(kw_only=True)
class _HealthRecord:
    failure_rate: float = 0.0
    run_time_ratio: float = 1.0
    samples: int = 0
    ejected_until_s: float = 0.0
    ejections: int = 0
    on_probation: bool = False
    probe_in_flight: bool = False
    probe_successes: int = 0


class UpstreamHealth:
    """Ejects upstreams by their failure rate and their relative run time.

    An upstream that fails quickly looks idle and would attract more tasks. Ejection
    by failure rate prevents this.

    Args:
        policy: Ejection and readmission limits.
    """

    def __init__(self, *, policy: HealthPolicy | None = None) -> None:
        """Initializes the tracker without results."""
        self._policy = policy or HealthPolicy()
        self._records: dict[str, _HealthRecord] = {}

    def forget(self, upstream: str) -> None:
        """Deletes the record of an upstream that left."""
        self._records.pop(upstream, None)

    def record(
        self, upstream: str, *, failed: bool, run_time_ratio: float, now_s: float
    ) -> bool:
        """Records one result and returns whether the upstream is ejected by it.

        Args:
            upstream: Name of the upstream.
            failed: Whether the upstream caused the failure of the task.
            run_time_ratio: Run time over the expected run time of the task.
            now_s: Current time.
        """
        record = self._records.setdefault(upstream, _HealthRecord())
        weight = max(self._policy.min_sample_weight, 1 / (record.samples + 1))
        record.samples += 1
        record.failure_rate += weight * (float(failed) - record.failure_rate)
        if not failed:
            record.run_time_ratio += weight * (run_time_ratio - record.run_time_ratio)
        if record.on_probation:
            self._evaluate_probe(record, failed=failed, now_s=now_s)
            return record.ejected_until_s > now_s
        if self._is_unhealthy(record) and self._may_eject():
            self._eject(record, now_s)
            return True
        return False

    def may_send(self, upstream: str, now_s: float, *, repeatable: bool) -> bool:
        """Returns whether a task may be sent to an upstream.

        An upstream on probation gets one repeatable task at a time.
        """
        record = self._records.get(upstream)
        if record is None or not record.on_probation:
            return True
        if now_s < record.ejected_until_s:
            return False
        return repeatable and not record.probe_in_flight

    def record_sent(self, upstream: str) -> None:
        """Records a task sent to an upstream on probation as its probe run."""
        record = self._records.get(upstream)
        if record is not None and record.on_probation:
            record.probe_in_flight = True

    def is_ejected(self, upstream: str) -> bool:
        """Returns whether an upstream is ejected or on probation."""
        record = self._records.get(upstream)
        return record is not None and record.on_probation

    def _is_unhealthy(self, record: _HealthRecord) -> bool:
        if record.samples < self._policy.min_samples:
            return False
        if record.failure_rate > self._policy.max_failure_rate:
            return True
        return record.run_time_ratio > self._policy.max_run_time_ratio

    def _may_eject(self) -> bool:
        ejected = sum(record.on_probation for record in self._records.values())
        allowed = len(self._records) * self._policy.max_ejected_share
        return ejected + 1 <= max(1.0, allowed) and len(self._records) > 1

    def _eject(self, record: _HealthRecord, now_s: float) -> None:
        backoff_s = min(EJECTION_S * 2**record.ejections, MAX_EJECTION_S)
        record.ejected_until_s = now_s + backoff_s
        record.ejections += 1
        record.on_probation = True
        record.probe_in_flight = False
        record.probe_successes = 0

    def _evaluate_probe(
        self, record: _HealthRecord, *, failed: bool, now_s: float
    ) -> None:
        if now_s < record.ejected_until_s:
            return
        record.probe_in_flight = False
        if failed:
            self._eject(record, now_s)
            return
        record.probe_successes += 1
        if record.probe_successes >= self._policy.probe_successes_required:
            record.on_probation = False
            record.failure_rate = 0.0
            record.run_time_ratio = 1.0
            record.samples = 0
            record.ejections = 0
