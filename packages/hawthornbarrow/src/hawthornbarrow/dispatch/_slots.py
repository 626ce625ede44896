"""Slot leases: how an agent splits its slots, and what an entry knows of them."""

import dataclasses
import math

from hawthornbarrow.upstreams import Announcement


@dataclasses.dataclass(frozen=True, kw_only=True)
class SplitShare:
    """Share of an upstream's slots for one entry.

    Attributes:
        slots: Slots that the entry may fill.
        limit: Most tasks that it may have outstanding, queued ones included.
    """

    slots: int
    limit: int


class SlotSplitter:
    """Splits the slots of one upstream among entries by their demand.

    Every entry keeps at least one slot while there are enough, so a burst at an
    idle entry starts without asking first. The rest goes to the entries by max-min
    fairness over what they hold and what waits at them.

    Args:
        slots: Slots of the upstream.
        ahead_s: Work that an entry may queue ahead of its slots, in seconds.
        ahead_min: Least number of tasks queued ahead of the slots.
    """

    def __init__(self, *, slots: int, ahead_s: float, ahead_min: int = 1) -> None:
        """Stores the parameters."""
        self._slots = slots
        self._ahead_s = ahead_s
        self._ahead_min = ahead_min

    def split(self, demand: dict[str, int], mean_run_s: float) -> dict[str, SplitShare]:
        """Returns the share of each entry.

        Args:
            demand: Tasks held for or waiting at each entry, by entry name.
            mean_run_s: Learned run time of the upstream's tasks.
        """
        if not demand:
            return {}
        names = sorted(demand, key=lambda name: (demand[name], name))
        shares = dict.fromkeys(names, 0)
        left = self._slots
        for position, name in enumerate(names):
            fair = left // (len(names) - position)
            is_last = position == len(names) - 1
            wanted = left if is_last else max(1, demand[name])
            shares[name] = min(wanted, fair if not is_last else left)
            left -= shares[name]
        if not any(demand.values()):
            shares = self._equal(names)
        ahead = self._ahead_s / max(mean_run_s, 0.001)
        return {
            name: SplitShare(slots=share, limit=self._limit(share, ahead))
            for name, share in shares.items()
        }

    def _equal(self, names: list[str]) -> dict[str, int]:
        base, extra = divmod(self._slots, len(names))
        return {name: base + (index < extra) for index, name in enumerate(names)}

    def _limit(self, share: int, ahead: float) -> int:
        return max(1, share) + max(self._ahead_min, math.ceil(share * ahead))


class UpstreamView:
    """What an entry knows of one upstream and its own grant there.

    Args:
        agent: Name of the agent in front of the upstream.
        announcement: The upstream's latest announcement.
        link_delay_s: One-way delay to the agent.
    """

    def __init__(
        self, *, agent: str, announcement: Announcement, link_delay_s: float = 0.0
    ) -> None:
        """Starts without a grant."""
        self.agent = agent
        self.announcement = announcement
        self.link_delay_s = link_delay_s
        self.granted_slots = 0
        self.limit = 0
        self.generation = 0
        self.outstanding = 0
        self.is_open = True

    @property
    def name(self) -> str:
        """Name of the upstream."""
        return self.announcement.name

    @property
    def credit(self) -> int:
        """Tasks that may be sent there now."""
        return max(0, self.limit - self.outstanding) if self.is_open else 0

    def grant(self, *, slots: int, limit: int, generation: int) -> None:
        """Takes a grant unless a later one has arrived before."""
        if generation <= self.generation:
            return
        self.generation = generation
        self.granted_slots = slots
        self.limit = limit

    def expected_wait_s(self, mean_run_s: float) -> float:
        """Returns the expected time until a task sent now would start."""
        slots = max(1, self.granted_slots)
        queued = max(0, self.outstanding + 1 - slots)
        return 2 * self.link_delay_s + queued * mean_run_s / slots
