"""Measures from the logs of all processes how long the stages of jobs take."""

import collections
import collections.abc
import dataclasses
import datetime
import enum
import io
import math

from hawthornbarrow.observability._log_timeline import LogLine, parse_log_line

_QUANTILES = (0.5, 0.95, 0.99)


class Stage(enum.StrEnum):
    """Stage of a job that completed."""

    PLACEMENT = "placement"  # from its arrival at an entry to its first start order
    RUNS = "runs"  # until the dispatcher knows that all its tasks are done
    ANSWER = "answer"  # until its entry answers the caller


@dataclasses.dataclass(frozen=True, kw_only=True)
class StageRow:
    """Times that one stage took for the jobs that were answered in a window.

    Attributes:
        from_s: Begin of the window, in seconds after the first answer.
        stage: The stage.
        jobs: Number of jobs.
        quantiles_s: The 50th, 95th and 99th percentile in seconds.
    """

    from_s: float
    stage: Stage
    jobs: int
    quantiles_s: tuple[float, float, float]


@dataclasses.dataclass(kw_only=True)
class _JobTimes:
    """What the logs say of one job; durations count from its arrival at an entry."""

    placed_after_s: float | None = None
    ended_after_s: float | None = None
    answered_after_s: float | None = None
    answered_at_s: float = 0.0

    def stages(self) -> dict[Stage, float]:
        """Returns the duration of each stage that the logs show."""
        placed, ended = self.placed_after_s, self.ended_after_s
        durations = {Stage.PLACEMENT: placed}
        if placed is not None and ended is not None:
            durations[Stage.RUNS] = ended - placed
        if ended is not None and self.answered_after_s is not None:
            durations[Stage.ANSWER] = self.answered_after_s - ended
        return {
            stage: max(0.0, duration)
            for stage, duration in durations.items()
            if duration is not None
        }


def measure_stages(
    lines: collections.abc.Iterable[str], *, window_s: float
) -> list[StageRow]:
    """Returns the times of all stages by window, in order.

    Args:
        lines: Log lines of all processes, in any order.
        window_s: Length of a window in seconds.

    Examples:
        >>> head = "timestamp='2026-12-04T05:00:01Z' process='e' "
        >>> lines = [
        ...     head + "event='tasks_placed' job='j' waited_s=0.01",
        ...     head + "event='job_ended' job='j' state='complete' took_s=0.21",
        ...     head + "event='job_answered' job='j' outcome='complete' took_s=0.22",
        ... ]
        >>> [row.stage.value for row in measure_stages(lines, window_s=2.0)]
        ['placement', 'runs', 'answer']
    """
    jobs: dict[str, _JobTimes] = collections.defaultdict(_JobTimes)
    for line in lines:
        parsed = parse_log_line(line)
        if parsed is not None:
            _add_line(jobs, parsed)
    answered = [job for job in jobs.values() if job.answered_after_s is not None]
    first_at_s = min((job.answered_at_s for job in answered), default=0.0)
    samples: dict[tuple[int, Stage], list[float]] = collections.defaultdict(list)
    for job in answered:
        window = int((job.answered_at_s - first_at_s) / window_s)
        for stage, duration_s in job.stages().items():
            samples[window, stage].append(duration_s)
    order = list(Stage)
    return [
        StageRow(
            from_s=window * window_s,
            stage=stage,
            jobs=len(durations),
            quantiles_s=tuple(_quantile(durations, q) for q in _QUANTILES),
        )
        for (window, stage), durations in sorted(
            samples.items(), key=lambda item: (item[0][0], order.index(item[0][1]))
        )
    ]


def _add_line(jobs: dict[str, _JobTimes], line: LogLine) -> None:
    fields = line.fields
    match line.event:
        case "tasks_placed":
            job = jobs[fields["job"]]
            waited_s = float(fields["waited_s"])
            if job.placed_after_s is None or waited_s < job.placed_after_s:
                job.placed_after_s = waited_s
        case "job_ended" if fields.get("state") == "complete":
            jobs[fields["job"]].ended_after_s = float(fields["took_s"])
        case "job_answered" if fields.get("outcome") == "complete":
            job = jobs[fields["job"]]
            job.answered_after_s = float(fields["took_s"])
            job.answered_at_s = _seconds(line.timestamp)


def _seconds(timestamp: str) -> float:
    return datetime.datetime.fromisoformat(timestamp).timestamp()


def _quantile(values: list[float], part: float) -> float:
    """Returns the smallest value that at least this part of the values is within."""
    return sorted(values)[max(0, math.ceil(part * len(values)) - 1)]


def render_stage_text(rows: list[StageRow]) -> str:
    """Returns the times of the stages as an aligned text table, in milliseconds."""
    lines = [
        f"{'from s':>8}  {'stage':<10} {'jobs':>6} {'p50':>8} {'p95':>8} {'p99':>8}"
    ]
    for row in rows:
        cells = " ".join(f"{1000 * value_s:>8.1f}" for value_s in row.quantiles_s)
        lines.append(f"{row.from_s:>8.1f}  {row.stage:<10} {row.jobs:>6} {cells}")
    return "\n".join(lines)


def render_stage_plot(rows: list[StageRow], format_name: str) -> bytes:
    """Returns a plot of the 95th percentiles as a "png" or "svg" image."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    for stage in Stage:
        of_stage = [row for row in rows if row.stage is stage]
        axes.plot(
            [row.from_s for row in of_stage],
            [1000 * row.quantiles_s[1] for row in of_stage],
            marker="o",
            label=stage.value,
        )
    axes.set_xlabel("answered at (s)")
    axes.set_ylabel("95th percentile (ms)")
    axes.set_yscale("log")
    axes.set_title("Stages of completed jobs")
    axes.legend()
    buffer = io.BytesIO()
    figure.savefig(buffer, format=format_name)
    pyplot.close(figure)
    return buffer.getvalue()
