"""Metrics of the entry and agent that implement the native job interface."""

from hawthornbarrow.observability._meter import ProcessMeter


class Metrics:
    """Metric instruments of one process.

    Args:
        process: Name of this process.
    """

    def __init__(self, *, process: str) -> None:
        """Creates the instruments."""
        self._meter = ProcessMeter(process=process)
        meter = self._meter.meter
        self._jobs = meter.create_counter("hawthornbarrow_jobs")
        self._tasks = meter.create_counter("hawthornbarrow_tasks")
        self._refusals = meter.create_counter("hawthornbarrow_refusals")
        self._wasted = meter.create_counter("hawthornbarrow_wasted_messages")
        self._response = meter.create_histogram(
            "hawthornbarrow_job_response_seconds", unit="s"
        )
        self._gauge = meter.create_gauge("hawthornbarrow_state")

    def count_job(
        self, member: str, service: str, status: str, response_s: float
    ) -> None:
        """Counts a closed job and records its response time."""
        labels = {
            "member": self._meter.bounded_label_value("member", member),
            "service": self._meter.bounded_label_value("service", service),
        }
        self._jobs.add(1, {**labels, "status": status})
        self._response.record(response_s, labels)

    def count_tasks(self, outcome: str, count: int = 1) -> None:
        """Counts attempts that ended."""
        self._tasks.add(count, {"outcome": outcome})

    def count_refusal(self, reason: str) -> None:
        """Counts a refused request."""
        self._refusals.add(1, {"reason": reason})

    def count_wasted_messages(self, cause: str, count: int = 1) -> None:
        """Counts messages that did not advance any job."""
        self._wasted.add(count, {"cause": cause})

    def set_state(self, name: str, value: float) -> None:
        """Sets a gauge that describes the state of the process."""
        self._gauge.set(value, {"name": name})

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return self._meter.render()
