"""Finds out from the logs of all processes why jobs were not served in time."""

import collections
import collections.abc
import dataclasses
import enum

from hawthornbarrow.observability._log_timeline import LogLine, parse_log_line

_MAX_READY_WAIT_S = 0.02  # a task that is placed within it did not wait for capacity


class Cause(enum.StrEnum):
    """Why a job was not served within its objective."""

    NO_DISPATCHER = "refused without a dispatcher"
    TAKEOVER = "waited for a takeover"
    PREDICTED_WAIT = "refused at a predicted wait"
    GAVE_UP_WAITING = "admitted, then refused for lack of capacity"
    LOST_WORKER = "task on a lost worker"
    UNANSWERED_START = "start without a response"
    STALLED_RUN = "task that made no progress"
    FAILED_RUN = "failed attempts"
    CAPACITY = "waited for capacity, served late"
    SLOW_RUN = "late by its estimate, though it never waited"
    CALLER_LEFT = "the caller left"
    OTHER = "other"


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnservedJob:
    """A job that was not served within its objective.

    Attributes:
        job: Id of the job.
        queue: Name of its queue.
        cause: Why.
        second: Second of the log at which its entry answered it.
        run_s: Total time of its runs in seconds, by the agents.
    """

    job: str
    queue: str
    cause: Cause
    second: str
    run_s: float


def find_unserved_jobs(lines: collections.abc.Iterable[str]) -> list[UnservedJob]:
    """Returns the jobs that were not served in time, each with one cause.

    A process that is lost logs no answers, so jobs of its callers are not found.

    Args:
        lines: Log lines of all processes, in any order.

    Examples:
        >>> line = (
        ...     "timestamp='t1' process='e' event='job_answered' job='j' queue='q' "
        ...     "outcome='refused' reason='no room in time' offers=1 took_s=0.0 "
        ...     "objective_s=0.2"
        ... )
        >>> find_unserved_jobs([line])[0].cause.value
        'refused at a predicted wait'
    """
    by_job: dict[str, list[LogLine]] = collections.defaultdict(list)
    for line in lines:
        parsed = parse_log_line(line)
        job = _job_of(parsed) if parsed else ""
        if parsed is not None and job:
            by_job[job].append(parsed)
    unserved = []
    for job, job_lines in by_job.items():
        answer = _unserved_answer(job_lines)
        if answer is None:
            continue
        unserved.append(
            UnservedJob(
                job=job,
                queue=answer.fields.get("queue", ""),
                cause=_cause_of(answer, job_lines),
                second=answer.timestamp[:19],
                run_s=_run_time_s(job_lines),
            )
        )
    return sorted(unserved, key=lambda job: job.second)


def count_by_cause(
    jobs: collections.abc.Iterable[UnservedJob],
) -> list[tuple[Cause, int, float, str]]:
    """Returns cause, number of jobs, seconds of their runs and first job, by number."""
    groups: dict[Cause, list[UnservedJob]] = collections.defaultdict(list)
    for job in jobs:
        groups[job.cause].append(job)
    rows = [
        (cause, len(group), sum(job.run_s for job in group), group[0].job)
        for cause, group in groups.items()
    ]
    return sorted(rows, key=lambda row: -row[1])


def _job_of(line: LogLine) -> str:
    return line.fields.get("job") or line.fields.get("task", "").split(".")[0]


def _unserved_answer(lines: list[LogLine]) -> LogLine | None:
    """Returns the line that shows that the job was not served, or None."""
    for line in lines:
        if line.event == "job_abandoned":
            return line
        if line.event == "job_refused" and line.fields.get("reason"):
            return line
        if line.event != "job_answered":
            continue
        took_s = float(line.fields.get("took_s", 0.0))
        objective_s = float(line.fields.get("objective_s", "inf"))
        if line.fields.get("outcome") != "complete" or took_s > objective_s:
            return line
    return None


def _cause_of(answer: LogLine, lines: list[LogLine]) -> Cause:
    if answer.event == "job_abandoned":
        return Cause.CALLER_LEFT
    reason = answer.fields.get("reason", "")
    if reason.startswith("no room in time"):
        return Cause.PREDICTED_WAIT
    if answer.event == "job_refused":
        is_gap = reason.startswith("no dispatcher") or reason == "too many callers wait"
        return Cause.NO_DISPATCHER if is_gap else Cause.OTHER
    if int(answer.fields.get("offers", 0)) != 1:
        return Cause.TAKEOVER
    return _cause_from_runs(lines) or _cause_from_waits(answer, lines)


def _cause_from_runs(lines: list[LogLine]) -> Cause | None:
    """Returns the cause that the job's runs show, or None if all were sound."""
    failures = [line for line in lines if line.event == "run_failed"]
    ends = {line.fields.get("end", "") for line in failures}
    reasons = {line.fields.get("reason", "") for line in failures}
    waits_again = [line for line in lines if line.event == "task_waits_again"]
    ends |= {line.fields.get("end", "") for line in waits_again}
    reasons |= {line.fields.get("reason", "") for line in waits_again}
    if any(line.event == "run_stalled" for line in lines):
        return Cause.STALLED_RUN
    if "no answer to the start" in reasons:
        return Cause.UNANSWERED_START
    if "lost" in ends:
        return Cause.LOST_WORKER
    if ends & {"failed", "refused", "superseded"}:
        return Cause.FAILED_RUN
    return None


def _cause_from_waits(answer: LogLine, lines: list[LogLine]) -> Cause:
    placed = [line for line in lines if line.event == "tasks_placed"]
    if not placed:
        is_given_up = answer.fields.get("reason") == "waited too long"
        return Cause.GAVE_UP_WAITING if is_given_up else Cause.TAKEOVER
    waited_s = max(float(line.fields.get("waited_s", 0.0)) for line in placed)
    if waited_s > _MAX_READY_WAIT_S:
        return Cause.CAPACITY
    return Cause.SLOW_RUN


def _run_time_s(lines: list[LogLine]) -> float:
    return sum(
        float(line.fields.get("run_s", 0.0))
        for line in lines
        if line.event == "run_ended"
    )
