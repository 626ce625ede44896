"""Forwarder: requests handed to the entry that owns their job."""

import enum
import itertools

from hawthornbarrow_entry._effects import ReplyTarget


class ForwardKind(enum.StrEnum):
    """What a forwarded request asks for.

    A new submission goes to the entry that dispatches; a plain one to the owner of
    a claim that exists.
    """

    NEW = "new"
    NEW_ASYNC = "new_async"
    SUBMIT = "submit"
    SUBMIT_ASYNC = "submit_async"
    FETCH = "fetch"
    CANCEL = "cancel"


class Forwarder:
    """Keeps who waits for which forwarded request."""

    def __init__(self) -> None:
        """Starts without peers."""
        self._request_numbers = itertools.count(1)
        self._reachable: set[str] = set()
        self._waiting: dict[int, tuple[str, ReplyTarget]] = {}

    @property
    def is_busy(self) -> bool:
        """Whether any forwarded request is unanswered."""
        return bool(self._waiting)

    def on_peer_up(self, peer: str) -> None:
        """Notes that an entry can be reached."""
        self._reachable.add(peer)

    def on_peer_down(self, peer: str) -> list[ReplyTarget]:
        """Notes that an entry can not be reached; returns who waited for it."""
        self._reachable.discard(peer)
        failed_requests = [
            number for number, (name, _) in self._waiting.items() if name == peer
        ]
        return [self._waiting.pop(number)[1] for number in failed_requests]

    def can_reach(self, peer: str) -> bool:
        """Tells whether an entry can be reached."""
        return peer in self._reachable

    def add(self, peer: str, target: ReplyTarget) -> int:
        """Notes a request that is about to be sent; returns its number."""
        number = next(self._request_numbers)
        self._waiting[number] = (peer, target)
        return number

    def pop(self, number: int) -> ReplyTarget | None:
        """Returns and forgets who waits for a request."""
        waiting = self._waiting.pop(number, None)
        return waiting[1] if waiting else None
