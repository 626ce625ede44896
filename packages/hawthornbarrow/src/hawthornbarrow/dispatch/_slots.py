"""Slot leases: how an agent splits its slots, and what an entry knows of them."""

import dataclasses

from hawthornbarrow.upstreams import Announcement


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotShare:
    """Share of an upstream's slots for one entry.

    Attributes:
        slots: Slots that the entry may fill.
        limit: Most tasks that it may have outstanding, queued ones included.
    """

    slots: int
    limit: int


class SlotSplitter:
    """Splits the slots of one upstream among entries by their demand.

    All slots go to the entries with work, by max-min fairness over what they hold
    and what waits at them. An entry without work keeps the credit for one task, so
    a burst there starts without asking first; the agent's line takes the overlap.

    Args:
        slots: Slots of the upstream.
        ahead_s: Work that an entry may queue ahead of its slots, in seconds.
    """

    def __init__(self, *, slots: int, ahead_s: float) -> None:
        """Stores the parameters."""
        self._slots = slots
        self._ahead_s = ahead_s

    def split(self, demand: dict[str, int], mean_run_s: float) -> dict[str, SlotShare]:
        """Returns the share of each entry.

        Args:
            demand: Tasks held for or waiting at each entry, by entry name.
            mean_run_s: Learned run time of the upstream's tasks.
        """
        busy = {name: tasks for name, tasks in demand.items() if tasks > 0}
        shares = _max_min(busy, self._slots) if busy else self._equal(sorted(demand))
        ahead = self._ahead_s / max(mean_run_s, 0.001)
        split = {}
        for name in demand:
            share = shares.get(name, 0)
            split[name] = SlotShare(slots=share, limit=self._limit(share, ahead))
        return split

    def _equal(self, names: list[str]) -> dict[str, int]:
        base, extra = divmod(self._slots, max(1, len(names)))
        return {name: base + (index < extra) for index, name in enumerate(names)}

    def _limit(self, share: int, ahead: float) -> int:
        if not share:
            return 1
        return share + round(share * ahead)


def _max_min(demand: dict[str, int], slots: int) -> dict[str, int]:
    """Gives small demands whole and splits the rest evenly; no slot stays unused."""
    shares = {}
    left = slots
    names = sorted(demand, key=lambda name: (demand[name], name))
    for position, name in enumerate(names):
        is_last = position == len(names) - 1
        fair = -(-left // (len(names) - position))
        shares[name] = left if is_last else min(demand[name], fair)
        left -= shares[name]
    return shares


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
        self.contended_ahead: float | None = None

    @property
    def name(self) -> str:
        """Name of the upstream."""
        return self.announcement.name

    @property
    def credit(self) -> int:
        """Tasks that may be sent there now.

        While several jobs wait, a task that stands in line at an agent can no longer
        give way to one of a smaller job, so the line is kept short then.
        """
        if not self.is_open:
            return 0
        limit = self.limit
        if self.contended_ahead is not None:
            slots = self.granted_slots
            limit = min(limit, max(1, slots + round(slots * self.contended_ahead)))
        return max(0, limit - self.outstanding)

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
