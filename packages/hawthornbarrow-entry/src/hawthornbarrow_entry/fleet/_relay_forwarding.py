"""RelayForwarding: decides which messages an entry forwards as a relay, and to whom."""

from hawthornbarrow.cells import RelayedMessage
from hawthornbarrow.links import LinkPort

from hawthornbarrow_entry.fleet._caller_jobs import CallerJobs
from hawthornbarrow_entry.fleet._dispatcher_link import DispatcherLink
from hawthornbarrow_entry.fleet._membership import Membership

MAX_FORWARDED_COUNT = 500  # messages that a peer has not acknowledged


class RelayForwarding:
    """Forwards between the dispatcher and a process that is cut off from it, one hop.

    Args:
        entry: Name of this entry.
        port: Links of the process.
        membership: Entries that are or were alive.
        caller_jobs: Knows the dispatcher and whether it is heard.
        dispatcher_link: This entry's own path to the dispatcher.
    """

    def __init__(
        self,
        *,
        entry: str,
        port: LinkPort,
        membership: Membership,
        caller_jobs: CallerJobs,
        dispatcher_link: DispatcherLink,
    ) -> None:
        """Stores what the decisions depend on."""
        self._entry = entry
        self._port = port
        self._membership = membership
        self._caller_jobs = caller_jobs
        self._dispatcher_link = dispatcher_link

    def target_of(self, relayed: RelayedMessage, now_s: float) -> str:
        """Returns to whom to forward a message for another process, or "" to drop it.

        A message without a target is for the dispatcher. It is dropped where this
        entry does not hear the dispatcher, or only through a relay itself.
        """
        target = relayed.target
        hears_directly = not self._dispatcher_link.relay
        if not target and hears_directly and self._caller_jobs.hears_dispatcher(now_s):
            target = self._caller_jobs.dispatcher
        if target == self._entry or not self._may_forward(target):
            return ""
        return target

    def relays(self) -> list[str]:
        """Returns the linked entries that may forward messages of this one."""
        return [
            member.name
            for member in self._membership.alive
            if member.relays_entries
            and member.name not in (self._entry, self._caller_jobs.dispatcher)
        ]

    def is_relayed_dispatcher(self, entry: str) -> bool:
        """Returns whether an entry understands relayed messages of other entries."""
        member = self._membership.members.get(entry)
        return member is not None and member.relays_entries

    def _may_forward(self, target: str) -> bool:
        """Returns whether a message can be forwarded at once to a process.

        A message that waits for a link would only arrive when it is out of date.
        """
        member = self._membership.members.get(target)
        understands = member is None or member.is_relay
        has_room = self._port.unacknowledged_count(target) < MAX_FORWARDED_COUNT
        return self._port.is_up(target) and understands and has_room
