"""Membership: which entries are alive."""

import structlog
from hawthornbarrow.cells import Directory, FleetMember

MEMBER_RETENTION_S = 90.0

_log = structlog.get_logger()


class Membership:
    """Learns of other entries from seeds and from their directories.

    The directory of an entry lists only those that it is linked to, so an entry that is
    gone for good is removed everywhere after MEMBER_RETENTION_S.

    Args:
        own: This entry.
        now_s: Current time.
    """

    def __init__(self, *, own: FleetMember, now_s: float) -> None:
        """Initializes a membership of this entry alone."""
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
    def may_keep_jobs(self) -> bool:
        """Whether an entry that could lead does not release jobs."""
        return any(
            member.replica and not member.releases_jobs
            for member in self._members.values()
        )

    @property
    def changed_at_s(self) -> float:
        """Time of the last change of the known or linked entries."""
        return self._changed_at_s

    def recently_alive(self, now_s: float, within_s: float) -> set[str]:
        """Returns the entries alive in the last ``within_s`` seconds, with this one."""
        seen = {
            name for name, at_s in self._seen_at_s.items() if now_s - at_s <= within_s
        }
        return seen | self._alive | {self._own.name}

    def recently_lost(self, now_s: float, within_s: float) -> set[str]:
        """Returns the entries whose link went down in the last ``within_s`` seconds.

        They may be linked again, for example after a restart.
        """
        return {
            name for name, at_s in self._lost_at_s.items() if now_s - at_s <= within_s
        }

    def directory(self) -> Directory:
        """Returns the directory to send to other processes."""
        return Directory(members=self.alive)

    def on_directory(self, peer: str, directory: Directory, now_s: float) -> bool:
        """Processes a directory and returns whether it changed the known entries.

        What an entry says of itself takes precedence over what others say of it.
        """
        has_changes = False
        for member in directory.members:
            if member.name == self._own.name:
                continue
            self._seen_at_s[member.name] = now_s
            known = self._members.get(member.name)
            is_own_record = member.name == peer
            if known is not None and (known == member or not is_own_record):
                continue
            self._members[member.name] = member
            has_changes = True
            self._changed_at_s = now_s
            _log.info(
                "member_learned",
                member=member.name,
                address=member.address,
                replica=member.replica,
                source=peer,
            )
        return has_changes

    def set_own(self, own: FleetMember) -> None:
        """Replaces the record of this entry."""
        self._own = own

    def on_link_change(self, peer: str, is_up: bool, now_s: float) -> None:
        """Records that the link to an entry came up or went down."""
        self._seen_at_s[peer] = now_s
        self._changed_at_s = now_s
        if is_up:
            self._alive.add(peer)
        else:
            self._alive.discard(peer)
            self._lost_at_s[peer] = now_s

    def remove_silent(self, now_s: float) -> None:
        """Removes entries that no entry has been linked to for MEMBER_RETENTION_S."""
        for name in list(self._members):
            silent_s = now_s - self._seen_at_s.get(name, now_s)
            if name not in self._alive and silent_s > MEMBER_RETENTION_S:
                del self._members[name]
                self._lost_at_s.pop(name, None)
                _log.info("member_forgotten", member=name, silent_s=round(silent_s, 1))
