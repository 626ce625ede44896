"""Membership: which entries are alive, and who founds the ledger."""

import structlog
from hawthornbarrow.cells import Directory, FleetMember

FORGOTTEN_AFTER_S = 90.0

_log = structlog.get_logger()


class Membership:
    """Learns of other entries from seeds and from their directories.

    An entry tells others only of those that it is linked to, so one that is gone for
    good is forgotten everywhere after a while.

    Args:
        own: This entry.
        now_s: Current time.
    """

    def __init__(self, *, own: FleetMember, now_s: float) -> None:
        """Starts alone."""
        self._own = own
        self._members: dict[str, FleetMember] = {}
        self._alive: set[str] = set()
        self._seen_at_s: dict[str, float] = {}
        self._lost_at_s: dict[str, float] = {}
        self._changed_at_s = now_s

    @property
    def members(self) -> dict[str, FleetMember]:
        """Other entries by name, whether they are linked or not."""
        return self._members

    @property
    def alive(self) -> list[FleetMember]:
        """Linked entries and this one, by name."""
        names = sorted(self._alive & set(self._members))
        return [self._own, *(self._members[name] for name in names)]

    @property
    def changed_at_s(self) -> float:
        """When the set of linked entries changed last."""
        return self._changed_at_s

    def recent(self, now_s: float, within_s: float) -> set[str]:
        """Returns the names of entries that were alive within a time, this one too."""
        seen = {
            name for name, at_s in self._seen_at_s.items() if now_s - at_s <= within_s
        }
        return seen | self._alive | {self._own.name}

    def lost(self, now_s: float, within_s: float) -> set[str]:
        """Returns the names of entries whose link went down within a time.

        They may be linked again, as after a restart.
        """
        return {
            name for name, at_s in self._lost_at_s.items() if now_s - at_s <= within_s
        }

    def directory(self) -> Directory:
        """Returns what to tell others."""
        return Directory(members=self.alive)

    def take(self, peer: str, directory: Directory, now_s: float) -> bool:
        """Takes a directory; returns whether it names anybody new."""
        has_news = False
        for member in directory.members:
            if member.name == self._own.name:
                continue
            self._seen_at_s[member.name] = now_s
            known = self._members.get(member.name)
            is_first_hand = member.name == peer
            if known is not None and (known == member or not is_first_hand):
                continue
            self._members[member.name] = member
            has_news = True
            self._changed_at_s = now_s
            _log.info(
                "member_learned",
                member=member.name,
                address=member.address,
                replica=member.replica,
                source=peer,
            )
        return has_news

    def note_link(self, peer: str, is_up: bool, now_s: float) -> None:
        """Notes that the link to an entry came up or went down."""
        self._seen_at_s[peer] = now_s
        self._changed_at_s = now_s
        if is_up:
            self._alive.add(peer)
        else:
            self._alive.discard(peer)
            self._lost_at_s[peer] = now_s

    def forget_silent(self, now_s: float) -> None:
        """Forgets entries that nobody has been linked to for long."""
        for name in list(self._members):
            silent_s = now_s - self._seen_at_s.get(name, now_s)
            if name not in self._alive and silent_s > FORGOTTEN_AFTER_S:
                del self._members[name]
                self._lost_at_s.pop(name, None)
                _log.info("member_forgotten", member=name, silent_s=round(silent_s, 1))


def choose_founders(
    members: list[FleetMember], tolerated_losses: int
) -> tuple[str, ...]:
    """Returns the replicas that found the ledger, spread over data centres.

    Args:
        members: Entries that are alive.
        tolerated_losses: Disks that may be lost at once.

    Returns:
        Identities of twice the losses and one more replicas, or of the greatest odd
        number that there are.
    """
    by_centre: dict[str, list[str]] = {}
    for member in sorted(members, key=lambda member: member.name):
        if member.replica:
            by_centre.setdefault(member.data_centre, []).append(member.replica)
    ranked = [
        (rank, centre, replica)
        for centre, replicas in by_centre.items()
        for rank, replica in enumerate(replicas)
    ]
    count = min(2 * tolerated_losses + 1, len(ranked))
    count -= 1 - count % 2
    return tuple(sorted(replica for _, _, replica in sorted(ranked)[: max(0, count)]))


def founders_wanted(tolerated_losses: int) -> int:
    """Returns how many replicas a ledger is founded with."""
    return 2 * tolerated_losses + 1
