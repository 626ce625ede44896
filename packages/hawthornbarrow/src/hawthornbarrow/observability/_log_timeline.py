"""Builds the timeline of one request from the logs of all processes."""

import collections.abc
import dataclasses
import re

_KEY_VALUE_PATTERN = re.compile(r"(\w+)=('(?:[^'\\]|\\.)*'|\"(?:[^\"\\]|\\.)*\"|\S+)")
_CONTEXT_EVENTS = frozenset(
    {
        "dispatcher_began",
        "dispatcher_ended",
        "entry_started",
        "entry_stopping",
        "lease_lapsed",
        "upstream_gone",
        "upstream_silent",
        "worker_lost",
    }
)
_HEADER_FIELDS = ("timestamp", "level", "process", "event")


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogLine:
    """Parsed line of the log of a process.

    Attributes:
        timestamp: Wall-clock time of the process, as written in the line.
        process: Name of the process.
        event: Name of the event.
        fields: Values of the other fields, by name.
    """

    timestamp: str
    process: str
    event: str
    fields: dict[str, str]

    @property
    def text(self) -> str:
        """The other fields as text."""
        return " ".join(f"{name}={value}" for name, value in self.fields.items())


def parse_log_line(line: str) -> LogLine | None:
    """Returns the parsed line, or None if it is not a log line.

    Examples:
        >>> parse_log_line("timestamp='1' process='e' event='job_ended' job='j'").event
        'job_ended'
    """
    pairs = {
        name: value.strip("'\"") for name, value in _KEY_VALUE_PATTERN.findall(line)
    }
    if "event" not in pairs or "timestamp" not in pairs:
        return None
    fields = {name: pairs[name] for name in pairs if name not in _HEADER_FIELDS}
    return LogLine(
        timestamp=pairs["timestamp"],
        process=pairs.get("process", ""),
        event=pairs["event"],
        fields=fields,
    )


def build_timeline(job: str, lines: collections.abc.Iterable[str]) -> list[LogLine]:
    """Returns the log lines that concern a job, sorted by timestamp.

    Events of dispatchers, workers and processes are included if they lie between the
    first and the last line of the job.

    Args:
        job: Id of the job.
        lines: Log lines of any number of processes, in any order.
    """
    job_lines: list[LogLine] = []
    context_lines: list[LogLine] = []
    for line in lines:
        is_own = job in line
        if not is_own and not any(event in line for event in _CONTEXT_EVENTS):
            continue
        parsed = parse_log_line(line)
        if parsed is not None:
            (job_lines if is_own else context_lines).append(parsed)
    if not job_lines:
        return []
    first_timestamp = min(line.timestamp for line in job_lines)
    last_timestamp = max(line.timestamp for line in job_lines)
    overlapping_lines = [
        line
        for line in context_lines
        if first_timestamp <= line.timestamp <= last_timestamp
    ]
    return sorted(job_lines + overlapping_lines, key=lambda line: line.timestamp)
