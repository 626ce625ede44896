"""LinkPlan: the sans-I/O state machine that decides which links a process keeps.

Links of all processes with all others cost more than the work at hundreds of machines,
as each link has its heartbeats. A process needs links to the entries that may dispatch:
those with a replica, which may lead the ledger, and the first standbys. They also relay
messages in a partition. All processes rank the standbys in the same order, so they meet
at the same entries without an agreement.
"""

import collections.abc

from hawthornbarrow.cells._parts import FleetMember
from hawthornbarrow.cells._standby import LINKED_STANDBY_COUNT, rank_standbys

LINK_COUNT = 8  # entries that a process links to where there are few replicas
ABSENT_AFTER_S = 1.5  # without a link, after which another standby is linked too


class LinkPlan:
    """Chooses the entries that a process keeps links to.

    A standby that cannot be reached is replaced by the next one in rank until it can be
    reached again. Seeds are used until a dispatcher is known, and while at most half of
    the chosen entries are linked, as then the process may know only entries that are
    gone.

    An entry that others choose keeps links to all entries, and dials those that come
    after it in the order of addresses: an entry that has restarted with outdated seeds
    is found by it.

    Args:
        own: This process if it is an entry, else None.
    """

    def __init__(self, *, own: FleetMember | None = None) -> None:
        """Initializes a plan that knows no other entries."""
        self._own = own
        self._members: collections.abc.Mapping[str, FleetMember] = {}
        self._seeds: tuple[str, ...] = ()
        self._wanted_since_s: dict[str, float] = {}

    def set_seeds(self, addresses: tuple[str, ...]) -> None:
        """Sets the addresses of the seeds, in place of earlier ones."""
        self._seeds = addresses

    def set_members(self, members: collections.abc.Mapping[str, FleetMember]) -> None:
        """Sets the known other entries by name; the mapping may change later."""
        self._members = members

    def choose(
        self,
        linked: collections.abc.Container[str],
        in_use: collections.abc.Container[str],
        now_s: float,
        *,
        is_searching: bool = False,
    ) -> frozenset[str]:
        """Returns the addresses to keep links to.

        Args:
            linked: Names of the processes whose links are up.
            in_use: Names of entries whose links must stay, such as the dispatcher's.
            now_s: Current time.
            is_searching: Whether no dispatcher is known. At the first start, entries
                that have linked to each other may be a part of all: only the seeds,
                which all processes have in common, lead to the others.
        """
        chosen, is_own_chosen = self._choose_members(linked, now_s)
        addresses = {member.address for member in chosen}
        for name, member in self._members.items():
            is_next = is_own_chosen and self._own.address < member.address
            if is_next or name in in_use:
                addresses.add(member.address)
        linked_count = sum(member.name in linked for member in chosen)
        if is_searching or 2 * linked_count <= len(chosen):
            addresses.update(self._seeds)
        return frozenset(addresses)

    def _choose_members(
        self, linked: collections.abc.Container[str], now_s: float
    ) -> tuple[list[FleetMember], bool]:
        """Returns the chosen entries, and whether others choose this process."""
        own = [self._own] if self._own else []
        ranked = rank_standbys([*self._members.values(), *own])
        chosen = [member for member in ranked if member.replica]
        needed = max(LINKED_STANDBY_COUNT, LINK_COUNT - len(chosen))
        for member in ranked:
            if member.replica:
                continue
            if needed <= 0:
                self._wanted_since_s.pop(member.name, None)
                continue
            chosen.append(member)
            if member is self._own or self._is_reachable(member.name, linked, now_s):
                needed -= 1
        others = [member for member in chosen if member is not self._own]
        return others, len(others) < len(chosen)

    def _is_reachable(
        self, name: str, linked: collections.abc.Container[str], now_s: float
    ) -> bool:
        """Returns whether a link to an entry is up or may come up shortly."""
        if name in linked:
            self._wanted_since_s[name] = now_s
        since_s = self._wanted_since_s.setdefault(name, now_s)
        return now_s - since_s <= ABSENT_AFTER_S
