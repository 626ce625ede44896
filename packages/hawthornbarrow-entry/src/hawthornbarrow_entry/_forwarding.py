"""Forwarder: requests that were forwarded to another entry."""

import enum
import itertools

from hawthornbarrow_entry._effects import ReplyTarget


class ForwardKind(enum.StrEnum):
    """Kind of a forwarded request.

    A new submission (``NEW``) goes to the entry that dispatches new jobs; any other
    submission goes to the owner of an existing claim.
    """

    NEW = "new"
    NEW_ASYNC = "new_async"
    SUBMIT = "submit"
    SUBMIT_ASYNC = "submit_async"
    FETCH = "fetch"
    CANCEL = "cancel"


class Forwarder:
    """Records which caller waits for which forwarded request."""

    def __init__(self) -> None:
        """Initializes the forwarder without reachable entries."""
        self._request_numbers = itertools.count(1)
        self._reachable: set[str] = set()
        self._waiting: dict[int, tuple[str, ReplyTarget]] = {}

    @property
    def is_busy(self) -> bool:
        """Whether any forwarded request is still unanswered."""
        return bool(self._waiting)

    def on_peer_up(self, peer: str) -> None:
        """Records that an entry can be reached."""
        self._reachable.add(peer)

    def on_peer_down(self, peer: str) -> list[ReplyTarget]:
        """Marks an entry as unreachable and returns the targets that wait for it."""
        self._reachable.discard(peer)
        failed_requests = [
            number for number, (name, _) in self._waiting.items() if name == peer
        ]
        return [self._waiting.pop(number)[1] for number in failed_requests]

    def can_reach(self, peer: str) -> bool:
        """Returns whether an entry can be reached."""
        return peer in self._reachable

    def add(self, peer: str, target: ReplyTarget) -> int:
        """Records a request that is about to be sent and returns its number."""
        number = next(self._request_numbers)
        self._waiting[number] = (peer, target)
        return number

    def pop(self, number: int) -> ReplyTarget | None:
        """Removes and returns the target that waits for a request."""
        waiting = self._waiting.pop(number, None)
        return waiting[1] if waiting else None
