"""Tells the story of one request from the logs of all processes."""

import collections.abc
import dataclasses
import re

_PAIR = re.compile(r"(\w+)=('(?:[^'\\]|\\.)*'|\"(?:[^\"\\]|\\.)*\"|\S+)")
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
_HIDDEN = ("timestamp", "level", "process", "event")


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogLine:
    """One line of a process's log.

    Attributes:
        timestamp: Time of day at the process, as written.
        process: Name of the process.
        event: Name of the event.
        fields: All other pairs, by name.
    """

    timestamp: str
    process: str
    event: str
    fields: dict[str, str]

    @property
    def text(self) -> str:
        """The other pairs as text."""
        return " ".join(f"{name}={value}" for name, value in self.fields.items())


def parse_line(line: str) -> LogLine | None:
    """Returns the parts of a line, or None when it is no log line.

    Examples:
        >>> parse_line("timestamp='1' process='e' event='job_ended' job='j'").event
        'job_ended'
    """
    pairs = {name: value.strip("'\"") for name, value in _PAIR.findall(line)}
    if "event" not in pairs or "timestamp" not in pairs:
        return None
    fields = {name: pairs[name] for name in pairs if name not in _HIDDEN}
    return LogLine(
        timestamp=pairs["timestamp"],
        process=pairs.get("process", ""),
        event=pairs["event"],
        fields=fields,
    )


def build_timeline(job: str, lines: collections.abc.Iterable[str]) -> list[LogLine]:
    """Returns the lines that concern a job, in the order of their times.

    Lines that tell of a dispatcher, a worker or a process are told too when they fall
    between the job's first and last line.

    Args:
        job: Id of the job.
        lines: Lines of the logs of any processes, in any order.
    """
    own: list[LogLine] = []
    context: list[LogLine] = []
    for line in lines:
        is_own = job in line
        if not is_own and not any(event in line for event in _CONTEXT_EVENTS):
            continue
        parsed = parse_line(line)
        if parsed is not None:
            (own if is_own else context).append(parsed)
    if not own:
        return []
    first = min(line.timestamp for line in own)
    last = max(line.timestamp for line in own)
    near = [line for line in context if first <= line.timestamp <= last]
    return sorted(own + near, key=lambda line: line.timestamp)
