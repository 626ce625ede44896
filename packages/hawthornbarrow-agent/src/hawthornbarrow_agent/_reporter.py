"""ResultReporter: batches task results by entry until they are due."""

import math

from hawthornbarrow.links import ResultBatch, TaskResult


class ResultReporter:
    """Collects results that wait for the next message to the owner of their job.

    An urgent result is added with the current time as its due time, so its batch is
    sent at once.
    """

    def __init__(self) -> None:
        """Initializes a reporter without results."""
        self._results: dict[str, list[TaskResult]] = {}
        self._due_at_s: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no result waits."""
        return not self._results

    @property
    def due_at_s(self) -> float:
        """Time at which the next batch is due, infinite if there is none."""
        return min(self._due_at_s.values(), default=math.inf)

    def add(self, peer: str, result: TaskResult, due_at_s: float) -> None:
        """Adds a result to an entry's batch, which is due at this time or earlier."""
        self._results.setdefault(peer, []).append(result)
        batch_due_at_s = self._due_at_s.get(peer, math.inf)
        self._due_at_s[peer] = min(batch_due_at_s, due_at_s)

    def take_due(self, now_s: float) -> list[tuple[str, ResultBatch]]:
        """Removes and returns the batches that are due, with their entries."""
        due = [peer for peer, at_s in self._due_at_s.items() if now_s >= at_s]
        batches = []
        for peer in due:
            del self._due_at_s[peer]
            batches.append((peer, ResultBatch(results=self._results.pop(peer))))
        return batches
