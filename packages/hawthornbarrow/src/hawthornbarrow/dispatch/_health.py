"""Health of upstreams: ejection of those that fail or lag, return by canaries."""

import dataclasses

EJECTION_S = 5.0
MAX_EJECTION_S = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class HealthPolicy:
    """When an upstream is ejected and how it returns.

    Attributes:
        failure_limit: Failure rate above which an upstream is ejected.
        min_samples: Results before a rate counts.
        decay: Weight of the newest result in the rate.
        max_ejected_share: Largest share of the fleet ejected at once.
        canaries: Successes in a row after which an upstream is trusted again.
        slow_factor: Mean run time over the fleet's at which it is a straggler.
    """

    failure_limit: float = 0.5
    min_samples: int = 5
    decay: float = 0.2
    max_ejected_share: float = 0.34
    canaries: int = 3
    slow_factor: float = 4.0


@dataclasses.dataclass(kw_only=True)
class _Record:
    failure_rate: float = 0.0
    run_time_ratio: float = 1.0
    samples: int = 0
    ejected_until_s: float = 0.0
    ejections: int = 0
    on_probation: bool = False
    canary_in_flight: bool = False
    canary_successes: int = 0


class UpstreamHealth:
    """Judges upstreams by their results against their peers.

    A failure that returns fast would make its upstream look idle and draw work;
    the rate of failures decides, so that it does not.

    Args:
        policy: Limits of the judgement.
    """

    def __init__(self, *, policy: HealthPolicy | None = None) -> None:
        """Starts with nobody judged."""
        self._policy = policy or HealthPolicy()
        self._records: dict[str, _Record] = {}

    def forget(self, upstream: str) -> None:
        """Drops what is known of an upstream that left."""
        self._records.pop(upstream, None)

    def record(
        self, upstream: str, *, failed: bool, run_time_ratio: float, now_s: float
    ) -> bool:
        """Takes one result; returns whether the upstream is ejected by it.

        Args:
            upstream: Name of the upstream.
            failed: Whether the task failed for a reason of the upstream.
            run_time_ratio: Run time over the expected run time of such a task.
            now_s: Current time.
        """
        record = self._records.setdefault(upstream, _Record())
        weight = max(self._policy.decay, 1 / (record.samples + 1))
        record.samples += 1
        record.failure_rate += weight * (float(failed) - record.failure_rate)
        if not failed:
            record.run_time_ratio += weight * (run_time_ratio - record.run_time_ratio)
        if record.on_probation:
            self._judge_canary(record, failed=failed, now_s=now_s)
            return record.ejected_until_s > now_s
        if self._is_bad(record) and self._may_eject():
            self._eject(record, now_s)
            return True
        return False

    def may_send(self, upstream: str, now_s: float, *, repeatable: bool) -> bool:
        """Tells whether a task may be sent there; on probation, one at a time."""
        record = self._records.get(upstream)
        if record is None or not record.on_probation:
            return True
        if now_s < record.ejected_until_s:
            return False
        return repeatable and not record.canary_in_flight

    def record_sent(self, upstream: str) -> None:
        """Counts a task sent to an upstream on probation as its canary."""
        record = self._records.get(upstream)
        if record is not None and record.on_probation:
            record.canary_in_flight = True

    def is_ejected(self, upstream: str) -> bool:
        """Tells whether an upstream is ejected or on probation."""
        record = self._records.get(upstream)
        return record is not None and record.on_probation

    def _is_bad(self, record: _Record) -> bool:
        if record.samples < self._policy.min_samples:
            return False
        if record.failure_rate > self._policy.failure_limit:
            return True
        return record.run_time_ratio > self._policy.slow_factor

    def _may_eject(self) -> bool:
        ejected = sum(record.on_probation for record in self._records.values())
        allowed = len(self._records) * self._policy.max_ejected_share
        return ejected + 1 <= max(1.0, allowed) and len(self._records) > 1

    def _eject(self, record: _Record, now_s: float) -> None:
        backoff_s = min(EJECTION_S * 2**record.ejections, MAX_EJECTION_S)
        record.ejected_until_s = now_s + backoff_s
        record.ejections += 1
        record.on_probation = True
        record.canary_in_flight = False
        record.canary_successes = 0

    def _judge_canary(self, record: _Record, *, failed: bool, now_s: float) -> None:
        if now_s < record.ejected_until_s:
            return
        record.canary_in_flight = False
        if failed:
            self._eject(record, now_s)
            return
        record.canary_successes += 1
        if record.canary_successes >= self._policy.canaries:
            record.on_probation = False
            record.failure_rate = 0.0
            record.run_time_ratio = 1.0
            record.samples = 0
            record.ejections = 0
