"""Results of running a trace, and statistics of them."""

import dataclasses
import heapq
import statistics

from hdrh.histogram import HdrHistogram

from benchmarks.traces import Site, TraceJob

_MAX_LAG_US = 600_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobOutcome:
    """Outcome of one job as its caller saw it.

    Attributes:
        job: The job.
        status: Status of the job in the answer, or "refused" and the HTTP status.
        reason: Reason or title in the answer.
        not_run: Whether the answer states that no task of the job was started.
        response_s: Time from the arrival of the job to its answer.
    """

    job: TraceJob
    status: str
    reason: str
    not_run: bool
    response_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunResult:
    """Outcomes of the jobs of a run, and the messages that were sent.

    Attributes:
        name: Name of the policy.
        outcomes: Outcomes of the jobs that ended.
        messages: Messages between processes, by kind.
        wasted: Wasted messages, by cause.
        starts: Number of task starts, by agent.
        unanswered: Number of jobs whose caller got no answer.
    """

    name: str
    outcomes: list[JobOutcome]
    messages: dict[str, int]
    wasted: dict[str, int]
    starts: dict[str, int] = dataclasses.field(default_factory=dict)
    unanswered: int = 0

    @property
    def completed(self) -> list[JobOutcome]:
        """Outcomes of the completed jobs."""
        return [outcome for outcome in self.outcomes if outcome.status == "completed"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunStatistics:
    """Statistics of one run.

    The lag of a job is the time by which its response exceeds the ideal response time
    (see :func:`ideal_response_s`).

    Attributes:
        name: Name of the policy.
        jobs: Number of completed jobs.
        p50_ms: Median lag in milliseconds.
        p99_ms: 99th percentile of the lag in milliseconds.
        mean_ms: Mean lag in milliseconds.
        ratio_p99: 99th percentile of the ratio of response time to ideal response time.
        slowdown: Mean ratio of the response time to the mean run time of the job's
            tasks.
        jain: Jain's index of the members' mean ratios of ideal response time to
            response time.
        messages: Messages between processes, by kind.
        wasted: Wasted messages, by cause.
    """

    name: str
    jobs: int
    p50_ms: float
    p99_ms: float
    mean_ms: float
    ratio_p99: float
    slowdown: float
    jain: float
    messages: dict[str, int]
    wasted: dict[str, int]


def ideal_response_s(job: TraceJob, site: Site) -> float:
    """Returns the response time of a job that has the whole fleet to itself.

    Its tasks are list-scheduled on all slots, the longest task first. One round trip
    of the caller is added.
    """
    slots = min(len(job.run_times_s), site.total_slots)
    slot_ends_s = [0.0] * slots
    for run_s in sorted(job.run_times_s, reverse=True):
        heapq.heapreplace(slot_ends_s, slot_ends_s[0] + run_s)
    return max(slot_ends_s) + 2 * site.client_delay_s


def compute_statistics(
    result: RunResult, site: Site, members: set[str] | None = None
) -> RunStatistics:
    """Returns the statistics of a run.

    Args:
        result: The run.
        site: Size of the deployment.
        members: Members whose jobs are counted; None counts all.
    """
    outcomes = [
        outcome
        for outcome in result.completed
        if members is None or outcome.job.member in members
    ]
    histogram = HdrHistogram(1, _MAX_LAG_US, 3)
    ratios = []
    slowdowns = []
    relative_speeds: dict[str, list[float]] = {}
    for outcome in outcomes:
        ideal_s = ideal_response_s(outcome.job, site)
        lag_s = max(0.0, outcome.response_s - ideal_s)
        histogram.record_value(max(1, int(lag_s * 1e6)))
        ratios.append(outcome.response_s / ideal_s)
        slowdowns.append(
            outcome.response_s / (outcome.job.work_s / len(outcome.job.run_times_s))
        )
        relative_speeds.setdefault(outcome.job.member, []).append(
            ideal_s / outcome.response_s
        )
    ratios.sort()
    return RunStatistics(
        name=result.name,
        jobs=len(outcomes),
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
        mean_ms=histogram.get_mean_value() / 1000,
        ratio_p99=ratios[int(len(ratios) * 0.99)] if ratios else 0.0,
        slowdown=statistics.fmean(slowdowns) if slowdowns else 0.0,
        jain=jain_index(
            [statistics.fmean(values) for values in relative_speeds.values()]
        ),
        messages=result.messages,
        wasted=result.wasted,
    )


def jain_index(values: list[float]) -> float:
    """Returns Jain's fairness index, 1 when all values are equal."""
    if not values:
        return 1.0
    return sum(values) ** 2 / (len(values) * sum(value * value for value in values))
