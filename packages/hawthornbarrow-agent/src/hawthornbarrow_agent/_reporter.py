"""ResultReporter: batches results by entry, and sends urgent ones at once."""

import math

from hawthornbarrow.links import ResultBatch, TaskResult


class ResultReporter:
    """Results that wait for the next message to their job's owner."""

    def __init__(self) -> None:
        """Starts empty."""
        self._results: dict[str, list[TaskResult]] = {}
        self._due_at_s: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no result waits."""
        return not self._results

    @property
    def due_at_s(self) -> float:
        """When the next batch is due; infinite when none waits."""
        return min(self._due_at_s.values(), default=math.inf)

    def add(self, peer: str, result: TaskResult, due_at_s: float) -> None:
        """Adds a result to the batch of an entry, due then or earlier."""
        self._results.setdefault(peer, []).append(result)
        known_s = self._due_at_s.get(peer, math.inf)
        self._due_at_s[peer] = min(known_s, due_at_s)

    def take_due(self, now_s: float) -> list[tuple[str, ResultBatch]]:
        """Returns and forgets the batches that are due."""
        due = [peer for peer, at_s in self._due_at_s.items() if now_s >= at_s]
        batches = []
        for peer in due:
            del self._due_at_s[peer]
            batches.append((peer, ResultBatch(results=self._results.pop(peer))))
        return batches
