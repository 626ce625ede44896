"""What a run of a trace gave, and the figures drawn from it."""

import dataclasses
import heapq
import statistics

from hdrh.histogram import HdrHistogram

from benchmarks.traces import Site, TraceJob

_MAX_US = 600_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobEnd:
    """End of one job as its caller saw it."""

    job: TraceJob
    status: str
    reason: str
    not_run: bool
    response_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunResult:
    """All ends of a run, and the messages it took."""

    name: str
    ends: list[JobEnd]
    messages: dict[str, int]
    wasted: dict[str, int]
    starts: dict[str, int] = dataclasses.field(default_factory=dict)
    unanswered: int = 0

    @property
    def completed(self) -> list[JobEnd]:
        """Ends with a whole answer."""
        return [end for end in self.ends if end.status == "completed"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figures:
    """Figures of one run; lags in milliseconds.

    Attributes:
        name: Name of the policy.
        jobs: Completed jobs.
        p50_ms: Median lag.
        p99_ms: 99th percentile of the lag.
        mean_ms: Mean lag.
        ratio_p99: 99th percentile of response over ideal.
        slowdown: Mean of response over the job's mean run time.
        jain: Jain's index of the members' mean lag-free speeds.
        messages: Messages between processes, by kind.
        wasted: Messages that did not help, by cause.
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


def ideal_s(job: TraceJob, site: Site) -> float:
    """Returns the fastest possible answer: a list schedule alone on the fleet.

    The longest tasks go first; one round trip of the caller is added.
    """
    slots = min(len(job.runs_s), site.total_slots)
    ends = [0.0] * slots
    for run_s in sorted(job.runs_s, reverse=True):
        heapq.heapreplace(ends, ends[0] + run_s)
    return max(ends) + 2 * site.client_s


def figures_of(
    result: RunResult, site: Site, members: set[str] | None = None
) -> Figures:
    """Returns the figures of a run.

    Args:
        result: The run.
        site: Size of the deployment.
        members: Members to count; None for all.
    """
    ends = [
        end for end in result.completed if members is None or end.job.member in members
    ]
    histogram = HdrHistogram(1, _MAX_US, 3)
    ratios = []
    slowdowns = []
    lags: dict[str, list[float]] = {}
    for end in ends:
        ideal = ideal_s(end.job, site)
        lag_s = max(0.0, end.response_s - ideal)
        histogram.record_value(max(1, int(lag_s * 1e6)))
        ratios.append(end.response_s / ideal)
        slowdowns.append(end.response_s / (end.job.work_s / len(end.job.runs_s)))
        lags.setdefault(end.job.member, []).append(ideal / end.response_s)
    ratios.sort()
    return Figures(
        name=result.name,
        jobs=len(ends),
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
        mean_ms=histogram.get_mean_value() / 1000,
        ratio_p99=ratios[int(len(ratios) * 0.99)] if ratios else 0.0,
        slowdown=statistics.fmean(slowdowns) if slowdowns else 0.0,
        jain=jain_index([statistics.fmean(values) for values in lags.values()]),
        messages=result.messages,
        wasted=result.wasted,
    )


def jain_index(values: list[float]) -> float:
    """Returns Jain's fairness index, 1 when all values are equal."""
    if not values:
        return 1.0
    return sum(values) ** 2 / (len(values) * sum(value * value for value in values))
