"""Writes what was sent, answered and run, one line an event."""

import pathlib
import time


class Record:
    """A text file of events with the seconds since its creation.

    Args:
        path: Path of the file.
    """

    def __init__(self, *, path: pathlib.Path) -> None:
        """Creates the file."""
        self._file = path.open("w", encoding="utf-8")
        self._started_at_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Seconds since the creation."""
        return time.monotonic() - self._started_at_s

    def write(self, event: str, **fields: object) -> None:
        """Writes an event."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s:8.3f} {event} {text}".rstrip() + "\n")
        self._file.flush()
