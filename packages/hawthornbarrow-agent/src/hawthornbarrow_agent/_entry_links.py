"""EntryLinks: the entries that an agent serves, their leases and their backlogs."""

import math

FENCE_S = 5.0


class EntryLink:
    """What the agent knows of one entry."""

    def __init__(self) -> None:
        """Starts linked, without a lease."""
        self.is_up = True
        self.confirmed_at_s = -math.inf
        self.is_served = False
        self.backlog: dict[str, int] = {}


class EntryLinks:
    """Entries by name.

    Args:
        fence_s: How long an entry's work may be started after the newest frame of
            this agent that the entry is known to have heard. The entry gives the
            agent up only later, so work that arrives late, from a queue or a
            buffer, never starts beside its second attempt elsewhere.
    """

    def __init__(self, *, fence_s: float) -> None:
        """Starts without entries."""
        self._fence_s = fence_s
        self._links: dict[str, EntryLink] = {}

    @property
    def names(self) -> list[str]:
        """Names of all entries ever linked."""
        return list(self._links)

    def up(self, name: str, *, restarted: bool) -> None:
        """Notes that an entry is linked; a restarted one starts without backlog."""
        link = self._links.get(name)
        if link is None or restarted:
            link = self._links[name] = EntryLink()
        link.is_up = True

    def down(self, name: str) -> bool:
        """Notes that an entry's link ended; returns False for an unknown one."""
        link = self._links.get(name)
        if link is not None:
            link.is_up = False
        return link is not None

    def renew(self, name: str, confirmed_at_s: float) -> None:
        """Renews the lease of an entry from a time that it confirmed."""
        link = self._links.get(name)
        if link is not None:
            link.confirmed_at_s = max(link.confirmed_at_s, confirmed_at_s)
            link.is_served = True

    def has_lease(self, name: str, now_s: float) -> bool:
        """Tells whether an entry's work may be started."""
        link = self._links.get(name)
        return link is not None and now_s - link.confirmed_at_s < self._fence_s

    def take_lapsed(self, now_s: float) -> list[str]:
        """Returns the entries whose lease has lapsed since the last call."""
        lapsed = []
        for name, link in self._links.items():
            if link.is_served and not self.has_lease(name, now_s):
                link.is_served = False
                lapsed.append(name)
        return lapsed

    def set_backlog(self, name: str, upstream: str, waiting: int) -> int | None:
        """Notes what waits at an entry; returns the count before, or None."""
        link = self._links.get(name)
        if link is None:
            return None
        before = link.backlog.get(upstream, 0)
        link.backlog[upstream] = waiting
        return before

    def backlog(self, name: str, upstream: str) -> int:
        """Returns what waits for an upstream at an entry."""
        link = self._links.get(name)
        return link.backlog.get(upstream, 0) if link else 0

    def backlogs(self, upstream: str) -> dict[str, int]:
        """Returns what waits for an upstream at each linked entry."""
        return {
            name: link.backlog.get(upstream, 0)
            for name, link in self._links.items()
            if link.is_up
        }
