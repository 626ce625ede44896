"""Slot leases: how an agent splits its slots, and what an entry knows of them."""

import dataclasses
import math

from hawthornbarrow.upstreams import Announcement

WORK_CLASSES = 8
_SMALLEST_CLASS_S = 0.5


def work_class(remaining_s: float) -> int:
    """Returns the class of a job's remaining work, from zero for the least.

    Classes double in width: up to 0.5 s, 1 s, 2 s and so on; the last is open.
    """
    if remaining_s <= _SMALLEST_CLASS_S:
        return 0
    exponent = math.ceil(math.log2(remaining_s / _SMALLEST_CLASS_S))
    return min(exponent, WORK_CLASSES - 1)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryDemand:
    """What an entry holds of an upstream and wants of it.

    Attributes:
        held: Tasks of the entry that the agent has, running or in line.
        waiting: Tasks that wait at the entry, by class of remaining work.
    """

    held: int
    waiting: tuple[int, ...] = ()


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

    An entry keeps the slots that it fills. Free slots go to the waiting tasks of
    jobs with the least remaining work, whichever entry has them, so the order that
    each entry keeps among its jobs holds across entries too. What nobody waits for
    is split evenly, so a burst at an idle entry starts without asking first.

    Args:
        slots: Slots of the upstream.
        ahead_s: Work that an entry may queue ahead of its slots, in seconds.
    """

    def __init__(self, *, slots: int, ahead_s: float) -> None:
        """Stores the parameters."""
        self._slots = slots
        self._ahead_s = ahead_s

    def split(
        self, demand: dict[str, EntryDemand], mean_run_s: float
    ) -> dict[str, SplitShare]:
        """Returns the share of each entry.

        Args:
            demand: Demand of each entry, by its name.
            mean_run_s: Learned run time of the upstream's tasks.
        """
        names = sorted(demand)
        held = sum(entry.held for entry in demand.values())
        free = max(0, self._slots - held)
        granted = dict.fromkeys(names, 0)
        for level in range(WORK_CLASSES):
            free = _give(granted, names, demand, level, free)
        for position, name in enumerate(names):
            granted[name] += _even_part(free, len(names), position)
        ahead = self._ahead_s / max(mean_run_s, 0.001)
        return {name: self._share(demand[name], granted[name], ahead) for name in names}

    def _share(self, demand: EntryDemand, granted: int, ahead: float) -> SplitShare:
        slots = min(self._slots, demand.held + granted)
        limit = max(demand.held + granted, slots + round(slots * ahead))
        return SplitShare(slots=slots, limit=max(1, limit))


def _give(
    granted: dict[str, int],
    names: list[str],
    demand: dict[str, EntryDemand],
    level: int,
    free: int,
) -> int:
    """Gives free slots to one class, one each in turn; returns what is left."""
    wanted = {
        name: demand[name].waiting[level]
        for name in names
        if len(demand[name].waiting) > level and demand[name].waiting[level]
    }
    while free and wanted:
        for name in list(wanted):
            if not free:
                break
            granted[name] += 1
            wanted[name] -= 1
            free -= 1
            if not wanted[name]:
                del wanted[name]
    return free


def _even_part(total: int, parts: int, position: int) -> int:
    base, extra = divmod(total, parts)
    return base + (position < extra)


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
