"""Structured logs: one line of key=value pairs per event, on standard output.

Writing never blocks or fails: lines that the pipe or the file does not accept, and
lines beyond the rate limit of MAX_LINES_PER_S, are dropped and counted. The next line
that is written contains the number of dropped lines.
"""

import logging
import os
import sys
import time

import structlog

MAX_LINES_PER_S = 400.0
MAX_BURST_LINE_COUNT = 2000.0
_STDOUT_DESCRIPTOR = 1


class BoundedWriter:
    """Writes lines to a descriptor without blocking, at a limited rate.

    Args:
        descriptor: File descriptor to write to.
        lines_per_s: Number of lines by which the budget grows each second.
        max_burst_lines: Maximum budget, in lines.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        lines_per_s: float = MAX_LINES_PER_S,
        max_burst_lines: float = MAX_BURST_LINE_COUNT,
    ) -> None:
        """Sets the descriptor to non-blocking mode."""
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._max_burst_lines = max_burst_lines
        self._budget = max_burst_lines
        self._refilled_at_s = time.monotonic()
        self._unwritten = b""
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last written line."""
        return self._dropped

    def write_line(self, line: str) -> None:
        """Writes a line, or drops and counts it."""
        now_s = time.monotonic()
        gained_lines = (now_s - self._refilled_at_s) * self._lines_per_s
        self._budget = min(self._max_burst_lines, self._budget + gained_lines)
        self._refilled_at_s = now_s
        if self._budget < 1 or not self._flush_unwritten():
            self._dropped += 1
            return
        if self._dropped:
            line = f"{line} dropped_lines={self._dropped}"
        if self._write_available(line.encode("utf-8", "replace") + b"\n"):
            self._budget -= 1
            self._dropped = 0
        else:
            self._dropped += 1

    def _flush_unwritten(self) -> bool:
        """Writes the rest of a partial line and returns whether it is complete."""
        if not self._unwritten:
            return True
        unwritten, self._unwritten = self._unwritten, b""
        if self._write_available(unwritten):
            return not self._unwritten
        self._unwritten = unwritten
        return False

    def _write_available(self, data: bytes) -> bool:
        """Writes what the descriptor accepts; returns False if that is nothing.

        A pipe may be full or closed, and the disk of a file may have no room.
        """
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            return False
        self._unwritten = data[written:]
        return True


class _LineLogger:
    """Logger that receives the lines rendered by the structlog processors."""

    def __init__(self, *, writer: BoundedWriter) -> None:
        self._writer = writer

    def msg(self, line: str) -> None:
        self._writer.write_line(line)

    debug = info = warning = error = critical = msg


def configure_logs(*, process: str, level: int = logging.INFO) -> None:
    """Configures structured logs with the process name in each line.

    Args:
        process: Name of this process.
        level: Minimum level that is written.
    """
    # curio warns when an operation ends shortly after its timeout. This is normal where
    # the timeout limits the wait for the next tick.
    logging.getLogger("curio").setLevel(logging.ERROR)
    sys.stdout.flush()
    writer = BoundedWriter(descriptor=_STDOUT_DESCRIPTOR)
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
