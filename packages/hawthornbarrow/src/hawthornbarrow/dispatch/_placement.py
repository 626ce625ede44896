"""Placement: selects the upstream for a task."""

import abc
import random

from hawthornbarrow.dispatch._slots import UpstreamView

MAX_CANDIDATES = 16


class PlacementPolicy(abc.ABC):
    """Chooses an upstream for one task."""

    @abc.abstractmethod
    def choose(
        self, candidates: list[UpstreamView], mean_run_s: float
    ) -> UpstreamView | None:
        """Returns the upstream for a task, or None when none has credit.

        Args:
            candidates: Upstreams that run the service and fit the resources.
            mean_run_s: Expected run time of the task.
        """


class LeastExpectedStart(PlacementPolicy):
    """Selects the upstream with credit that has the least expected start time.

    The expected start includes the link delay. At most MAX_CANDIDATES upstreams
    with credit are compared, from a rotating start, so the cost of a decision does
    not grow with the number of upstreams with credit.
    """

    def __init__(self) -> None:
        """Initializes the rotation offset."""
        self._offset = 0

    def choose(
        self, candidates: list[UpstreamView], mean_run_s: float
    ) -> UpstreamView | None:
        """Returns the candidate with the least expected start, or None."""
        best: UpstreamView | None = None
        best_rank = (0.0, 0.0)
        self._offset += 1
        seen = 0
        count = len(candidates)
        for step in range(count):
            view = candidates[(self._offset + step) % count]
            if view.credit <= 0:
                continue
            load = view.outstanding / max(1, view.granted_slots)
            rank = (view.expected_wait_s(mean_run_s), load)
            if best is None or rank < best_rank:
                best, best_rank = view, rank
            seen += 1
            if seen >= MAX_CANDIDATES:
                break
        return best


class RandomTwoChoices(PlacementPolicy):
    """Baseline: selects the less loaded of two random upstreams and ignores credit.

    After M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing".

    Args:
        generator: Seeded source of the random choices.
        choices: Number of upstreams drawn.
    """

    def __init__(self, *, generator: random.Random, choices: int = 2) -> None:
        """Initializes the policy with a random generator."""
        self._generator = generator
        self._choices = choices

    def choose(
        self, candidates: list[UpstreamView], mean_run_s: float
    ) -> UpstreamView | None:
        """Returns the drawn upstream with the fewest outstanding tasks."""
        del mean_run_s
        drawn = self._generator.choices(candidates, k=self._choices)
        return min(drawn, key=lambda view: view.outstanding)
