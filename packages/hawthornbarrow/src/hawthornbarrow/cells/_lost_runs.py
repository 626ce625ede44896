"""LostRuns: runs that were given up while the upstream may still have them."""

import collections.abc
import dataclasses

from hawthornbarrow.cells._parts import StartOrder


@dataclasses.dataclass(frozen=True, kw_only=True)
class LostRun:
    """A run whose end at the upstream was not seen.

    Attributes:
        order: The order that started it.
        survived_s: Time from the order until the upstream was last known to run.
    """

    order: StartOrder
    survived_s: float


class LostRuns:
    """Keeps lost runs until a listing shows that they have ended.

    When the upstream turns out to have crashed before that, it may have crashed under
    them.
    """

    def __init__(self) -> None:
        """Initializes it without runs."""
        self._runs: list[LostRun] = []

    def add(self, order: StartOrder, survived_s: float) -> None:
        """Adds a run that was given up."""
        self._runs.append(LostRun(order=order, survived_s=survived_s))

    def on_listing(self, tasks: collections.abc.Set[str]) -> None:
        """Removes the runs that the upstream does not list any more.

        Args:
            tasks: Names of the tasks that it runs.
        """
        self._runs = [run for run in self._runs if str(run.order.task) in tasks]

    def take(self) -> list[LostRun]:
        """Returns the runs, and removes them."""
        runs, self._runs = self._runs, []
        return runs
