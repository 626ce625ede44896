"""EntryLinks: the links, leases and backlogs of the entries that an agent serves."""

import math

ENTRY_LEASE_S = 5.0


class EntryLink:
    """State of the link to one entry.

    Attributes:
        is_up: Whether the link is up.
        confirmed_at_s: Time at which this agent sent the newest frame that the entry
            is known to have received; the lease of the entry starts at this time.
        is_expiry_pending: Whether the lease was renewed and its expiry has not been
            reported since.
        backlog: Number of tasks that wait at the entry, by upstream.
    """

    def __init__(self) -> None:
        """Initializes a link that is up, without a lease."""
        self.is_up = True
        self.confirmed_at_s = -math.inf
        self.is_expiry_pending = False
        self.backlog: dict[str, int] = {}


class EntryLinks:
    """Tracks the links to entries by name.

    Args:
        lease_s: How long the tasks of an entry may be started after this agent sent
            the newest frame that the entry is known to have received. The entry
            declares the agent lost only after a longer time, so a task that was
            delayed in a queue or a buffer never starts here while another attempt of
            it runs elsewhere.
    """

    def __init__(self, *, lease_s: float) -> None:
        """Initializes the table without entries."""
        self._lease_s = lease_s
        self._links: dict[str, EntryLink] = {}

    @property
    def names(self) -> list[str]:
        """Names of all entries that have ever connected."""
        return list(self._links)

    def on_link_up(self, name: str, *, restarted: bool) -> None:
        """Records that the link to an entry is up.

        The lease and the backlog of a restarted entry are discarded.
        """
        link = self._links.get(name)
        if link is None or restarted:
            link = self._links[name] = EntryLink()
        link.is_up = True

    def on_link_down(self, name: str) -> bool:
        """Records that the link to an entry is down.

        Returns:
            Whether the entry is known.
        """
        link = self._links.get(name)
        if link is not None:
            link.is_up = False
        return link is not None

    def renew_lease(self, name: str, confirmed_at_s: float) -> None:
        """Renews the lease of an entry.

        Args:
            name: Name of the entry.
            confirmed_at_s: Time at which this agent sent the newest frame that the
                entry is known to have received.
        """
        link = self._links.get(name)
        if link is not None:
            link.confirmed_at_s = max(link.confirmed_at_s, confirmed_at_s)
            link.is_expiry_pending = True

    def has_lease(self, name: str, now_s: float) -> bool:
        """Returns whether the tasks of an entry may be started."""
        link = self._links.get(name)
        return link is not None and now_s - link.confirmed_at_s < self._lease_s

    def take_expired(self, now_s: float) -> list[str]:
        """Returns the entries whose lease has expired since the last call."""
        expired = []
        for name, link in self._links.items():
            if link.is_expiry_pending and not self.has_lease(name, now_s):
                link.is_expiry_pending = False
                expired.append(name)
        return expired

    def set_backlog(self, name: str, upstream: str, waiting: int) -> int | None:
        """Sets the number of tasks that wait at an entry for an upstream.

        Returns:
            The previous number, or None if the entry is unknown.
        """
        link = self._links.get(name)
        if link is None:
            return None
        previous = link.backlog.get(upstream, 0)
        link.backlog[upstream] = waiting
        return previous

    def backlog(self, name: str, upstream: str) -> int:
        """Returns the number of tasks that wait at an entry for an upstream."""
        link = self._links.get(name)
        return link.backlog.get(upstream, 0) if link else 0

    def backlogs(self, upstream: str) -> dict[str, int]:
        """Returns the number of tasks that wait for an upstream, by connected entry."""
        return {
            name: link.backlog.get(upstream, 0)
            for name, link in self._links.items()
            if link.is_up
        }
