"""FormerUpstreams: incarnations that another one of the same id has replaced."""

import collections

from hawthornbarrow.cells._parts import WorkerRecord

MAX_UPSTREAM_IDS = 64


class FormerUpstreams:
    """Remembers the newest incarnation of each id.

    Of the incarnations under one id, the one that started last is the current one.
    Between ids, announcements give no order: only the upstream's own answers do.
    """

    def __init__(self) -> None:
        """Initializes it without incarnations."""
        self._newest_born_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __contains__(self, worker: WorkerRecord) -> bool:
        """Returns whether a later incarnation of its id is known."""
        return worker.born_ms < self._newest_born_ms.get(worker.upstream, 0)

    def add_newest(self, worker: WorkerRecord) -> None:
        """Records that an incarnation is the newest of its id."""
        self._newest_born_ms[worker.upstream] = worker.born_ms
        self._newest_born_ms.move_to_end(worker.upstream)
        if len(self._newest_born_ms) > MAX_UPSTREAM_IDS:
            self._newest_born_ms.popitem(last=False)
