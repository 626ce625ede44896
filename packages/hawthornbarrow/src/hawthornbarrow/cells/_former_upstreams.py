"""FormerUpstreams: incarnations whose announcements come too late."""

import collections

from hawthornbarrow.cells._parts import WorkerRecord

MAX_FORMER_UPSTREAMS = 64


class FormerUpstreams:
    """Remembers the incarnations that were replaced by another one.

    An announcement may be held up while its sender crashes and a successor registers.
    An incarnation that is gone is replaced only once another one announces itself:
    it may have refused a single connection. Of the incarnations under one id, the one
    that started last is the current one.
    """

    def __init__(self) -> None:
        """Initializes it without incarnations."""
        self._former: collections.deque[str] = collections.deque(
            maxlen=MAX_FORMER_UPSTREAMS
        )
        self._newest_born_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._gone = ""

    def __contains__(self, worker: WorkerRecord) -> bool:
        """Returns whether an incarnation was replaced."""
        if worker.born_ms < self._newest_born_ms.get(worker.upstream, 0):
            return True
        return worker.incarnation in self._former

    def on_gone(self, incarnation: str) -> None:
        """Records that an incarnation refused a connection."""
        self._gone = incarnation

    def on_announced(self, worker: WorkerRecord, current: str) -> None:
        """Records a new incarnation.

        Args:
            worker: The new one.
            current: The one that it replaces, empty for none.
        """
        for former in (current, self._gone):
            if former not in ("", worker.incarnation):
                self._former.append(former)
        self._gone = ""
        self._newest_born_ms[worker.upstream] = worker.born_ms
        self._newest_born_ms.move_to_end(worker.upstream)
        if len(self._newest_born_ms) > MAX_FORMER_UPSTREAMS:
            self._newest_born_ms.popitem(last=False)
