"""FormerUpstreams: incarnations whose announcements come too late."""

import collections

MAX_FORMER_UPSTREAMS = 64


class FormerUpstreams:
    """Remembers the incarnations that were replaced by another one.

    An announcement may be held up while its sender crashes and a successor registers.
    An incarnation that is gone is replaced only once another one announces itself:
    it may have refused a single connection.
    """

    def __init__(self) -> None:
        """Initializes it without incarnations."""
        self._former: collections.deque[str] = collections.deque(
            maxlen=MAX_FORMER_UPSTREAMS
        )
        self._gone = ""

    def __contains__(self, upstream: str) -> bool:
        """Returns whether an incarnation was replaced."""
        return upstream in self._former

    def on_gone(self, upstream: str) -> None:
        """Records that an incarnation refused a connection."""
        self._gone = upstream

    def on_announced(self, upstream: str, current: str) -> None:
        """Records a new incarnation.

        Args:
            upstream: The new one.
            current: The one that it replaces, empty for none.
        """
        for former in (current, self._gone):
            if former not in ("", upstream):
                self._former.append(former)
        self._gone = ""
