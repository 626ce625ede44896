"""Which announcements of upstreams at an agent are out of date or not meant for it."""

import collections

MAX_INCARNATIONS = 64
# Announcements of an incarnation that may still arrive after it has withdrawn.
MAX_OVERTAKEN = 2

_Key = tuple[str, int]


class AnnouncementOrder:
    """Keeps the sequence numbers of the announcements of each incarnation.

    Sequence numbers start anew with each incarnation. A withdrawal names only the id
    and applies to the newest incarnation. If that goes on announcing itself, the
    withdrawal was a delayed one of its predecessor.
    """

    def __init__(self) -> None:
        """Initializes it without announcements."""
        self._sequences: collections.OrderedDict[_Key, int] = collections.OrderedDict()
        self._newest_born_ms: dict[str, int] = {}
        self._overtaken_left: dict[_Key, int] = {}

    def is_newer(self, upstream: str, born_ms: int, sequence: int) -> bool:
        """Records an announcement; returns whether it is not out of date.

        Args:
            upstream: Id of the upstream.
            born_ms: When its incarnation started, zero if it does not say: then the
                announcement is taken for one of the newest incarnation.
            sequence: Its sequence number, which rises with each announcement.
        """
        newest_born_ms = self.newest_born_ms(upstream)
        born_ms = born_ms or newest_born_ms
        if born_ms < newest_born_ms:
            return False
        key = upstream, born_ms
        if sequence <= self._sequences.get(key, sequence - 1):
            return False
        self._sequences[key] = sequence
        self._sequences.move_to_end(key)
        self._newest_born_ms[upstream] = born_ms
        self._remove_oldest()
        overtaken_left = self._overtaken_left.pop(key, 0)
        if overtaken_left > 0:
            self._overtaken_left[key] = overtaken_left - 1
        return overtaken_left == 0

    def newest_born_ms(self, upstream: str) -> int:
        """Returns when the newest incarnation of an id started, zero if unknown."""
        return self._newest_born_ms.get(upstream, 0)

    def withdraw(self, upstream: str) -> int:
        """Records the withdrawal of an upstream.

        Returns:
            When its newest incarnation started, zero if unknown.
        """
        key = upstream, self.newest_born_ms(upstream)
        if key in self._sequences:
            self._overtaken_left[key] = MAX_OVERTAKEN
        return key[1]

    def _remove_oldest(self) -> None:
        while len(self._sequences) > MAX_INCARNATIONS:
            key, _ = self._sequences.popitem(last=False)
            self._overtaken_left.pop(key, None)
            if self._newest_born_ms.get(key[0]) == key[1]:
                del self._newest_born_ms[key[0]]


class OwnService:
    """The service of an agent: that of its settings, or of its first upstream.

    Announcements do not determine it, as they may come from other writers. Without a
    service in the settings, any announcement counts until an upstream has answered.

    Args:
        service: The service that the settings name, empty for none.
    """

    def __init__(self, *, service: str = "") -> None:
        """Initializes it with the service of the settings."""
        self._service = service

    def on_confirmed(self, service: str) -> None:
        """Records the service of an upstream that has answered."""
        self._service = self._service or service

    def is_own(self, service: str) -> bool:
        """Returns whether an announcement that names a service counts."""
        return self._service in ("", service)
