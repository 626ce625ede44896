"""Slot sharing: how an agent splits its slots, and an entry's view of its grants."""

import dataclasses

from hawthornbarrow.upstreams import Announcement


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotShare:
    """An entry's share of the slots of one upstream.

    Attributes:
        slots: Number of slots that the entry may fill.
        limit: Maximum number of outstanding tasks, including queued ones.
    """

    slots: int
    limit: int


class SlotSplitter:
    """Splits the slots of one upstream among entries by their demand.

    All slots go to the entries with work, by max-min fairness over the tasks that are
    held for them or wait at them. An entry without work keeps the credit for one
    task, so a burst there can start without a request for slots. The agent queues
    the tasks that exceed the slots of the upstream because of this credit.

    Args:
        slots: Number of slots of the upstream.
        ahead_s: Amount of work that an entry may queue beyond its slots, in seconds
            of run time.
    """

    def __init__(self, *, slots: int, ahead_s: float) -> None:
        """Initializes the splitter."""
        self._slots = slots
        self._ahead_s = ahead_s

    def split(self, demand: dict[str, int], mean_run_s: float) -> dict[str, SlotShare]:
        """Returns the share of each entry.

        Args:
            demand: Number of tasks held for or waiting at each entry, by entry name.
            mean_run_s: Learned mean run time of the upstream's tasks.
        """
        busy = {name: tasks for name, tasks in demand.items() if tasks > 0}
        shares = (
            _max_min_shares(busy, self._slots)
            if busy
            else self._equal_shares(sorted(demand))
        )
        queued_per_slot = self._ahead_s / max(mean_run_s, 0.001)
        split = {}
        for name in demand:
            share = shares.get(name, 0)
            split[name] = SlotShare(
                slots=share, limit=self._outstanding_limit(share, queued_per_slot)
            )
        return split

    def _equal_shares(self, names: list[str]) -> dict[str, int]:
        base, extra = divmod(self._slots, max(1, len(names)))
        return {name: base + (index < extra) for index, name in enumerate(names)}

    def _outstanding_limit(self, share: int, queued_per_slot: float) -> int:
        if not share:
            return 1
        return share + round(share * queued_per_slot)


def _max_min_shares(demand: dict[str, int], slots: int) -> dict[str, int]:
    """Returns the max-min fair shares of the slots.

    The largest demand gets all slots that remain, so no slot stays unused.
    """
    shares = {}
    remaining_slots = slots
    names = sorted(demand, key=lambda name: (demand[name], name))
    for position, name in enumerate(names):
        is_last = position == len(names) - 1
        fair_share = -(-remaining_slots // (len(names) - position))
        shares[name] = remaining_slots if is_last else min(demand[name], fair_share)
        remaining_slots -= shares[name]
    return shares


class UpstreamView:
    """An entry's view of one upstream and of its own slot grant there.

    Args:
        agent: Name of the agent in front of the upstream.
        announcement: The upstream's latest announcement.
        link_delay_s: One-way delay to the agent.

    Attributes:
        granted_slots: Number of slots that the newest grant allows the entry to fill.
        limit: Maximum number of outstanding tasks by the newest grant.
        generation: Number of the newest grant.
        outstanding: Number of tasks that were sent to the upstream and have not ended.
        is_open: Whether tasks may be sent to the upstream.
        contended_ahead: Number of tasks that may be queued for each granted slot while
            several jobs wait at the entry, or None while at most one job waits.
    """

    def __init__(
        self, *, agent: str, announcement: Announcement, link_delay_s: float = 0.0
    ) -> None:
        """Initializes the view without a grant."""
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
        """Number of tasks that may be sent to the upstream now.

        A task queued at an agent can no longer be overtaken by a task of a smaller
        job, so the queue there is kept short while several jobs wait.
        """
        if not self.is_open:
            return 0
        limit = self.limit
        if self.contended_ahead is not None:
            slots = self.granted_slots
            limit = min(limit, max(1, slots + round(slots * self.contended_ahead)))
        return max(0, limit - self.outstanding)

    def grant(self, *, slots: int, limit: int, generation: int) -> None:
        """Applies a slot grant unless a newer one has already been applied."""
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
