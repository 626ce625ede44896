"""Logs: one line of key=value pairs for each event, on standard output.

Writing never waits: what the pipe does not take is dropped and counted, and so is what
goes beyond LINES_A_SECOND. The next line that is written tells how many were dropped.
"""

import logging
import os
import sys
import time

import structlog

LINES_A_SECOND = 400.0
LINES_AT_ONCE = 2000.0
_STDOUT = 1


class BoundedWriter:
    """Writes lines to a descriptor without waiting, within a budget.

    Args:
        descriptor: File descriptor to write to.
        lines_a_second: Budget that is gained each second.
        lines_at_once: Most budget that is kept.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        lines_a_second: float = LINES_A_SECOND,
        lines_at_once: float = LINES_AT_ONCE,
    ) -> None:
        """Makes the descriptor non-blocking."""
        self._descriptor = descriptor
        self._lines_a_second = lines_a_second
        self._lines_at_once = lines_at_once
        self._budget = lines_at_once
        self._refilled_at_s = time.monotonic()
        self._rest = b""
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last one that was written."""
        return self._dropped

    def write_line(self, line: str) -> None:
        """Writes a line, or drops it."""
        now_s = time.monotonic()
        gained = (now_s - self._refilled_at_s) * self._lines_a_second
        self._budget = min(self._lines_at_once, self._budget + gained)
        self._refilled_at_s = now_s
        if self._budget < 1 or not self._push_rest():
            self._dropped += 1
            return
        if self._dropped:
            line = f"{line} dropped_lines={self._dropped}"
        if self._push(line.encode("utf-8", "replace") + b"\n"):
            self._budget -= 1
            self._dropped = 0
        else:
            self._dropped += 1

    def _push_rest(self) -> bool:
        """Writes the rest of a line that was cut; returns whether it is out."""
        if not self._rest:
            return True
        rest, self._rest = self._rest, b""
        if self._push(rest):
            return not self._rest
        self._rest = rest
        return False

    def _push(self, data: bytes) -> bool:
        """Writes what the pipe takes; returns False when it takes nothing."""
        try:
            written = os.write(self._descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            return False
        self._rest = data[written:]
        return True


class _LineLogger:
    """The logger at the end of structlog's processors."""

    def __init__(self, *, writer: BoundedWriter) -> None:
        self._writer = writer

    def msg(self, line: str) -> None:
        self._writer.write_line(line)

    debug = info = warning = error = critical = msg


def configure_logs(*, process: str, level: int = logging.INFO) -> None:
    """Sets up structured logs that name the process in each line.

    Args:
        process: Name of this process.
        level: Least level that is written.
    """
    # curio warns when an operation ends a moment after its timeout; that is normal
    # where a timeout bounds a wait for the next tick.
    logging.getLogger("curio").setLevel(logging.ERROR)
    sys.stdout.flush()
    writer = BoundedWriter(descriptor=_STDOUT)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.KeyValueRenderer(
                key_order=["timestamp", "level", "process", "event"]
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=lambda *_: _LineLogger(writer=writer),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(process=process)
