"""AnnouncedUpstreams: upstreams that announced themselves and have not answered yet."""

import collections
import dataclasses

from hawthornbarrow.cells._parts import WorkerRecord
from hawthornbarrow.cells._upstream_calls import Listing

MAX_ANNOUNCED_UPSTREAMS = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnnouncedUpstream:
    """What the newest announcement of an incarnation says.

    Attributes:
        worker: The incarnation.
        address: Its IP address and port, empty if unknown.
        is_leaving: Whether it accepts no new tasks.
        leaving_until_s: Earliest time at which it ends, None if unknown.
        announced_at_s: When the announcement arrived.
    """

    worker: WorkerRecord
    address: str
    is_leaving: bool
    leaving_until_s: float | None
    announced_at_s: float


class AnnouncedUpstreams:
    """Keeps announcements until calls show which incarnation is running.

    An announcement may be held up on its way while its sender crashes and a successor
    registers, so it proves nothing by itself. A listing does: an upstream answers only
    calls that are meant for its own incarnation.
    """

    def __init__(self) -> None:
        """Initializes it without announcements."""
        self._announced: collections.OrderedDict[str, AnnouncedUpstream] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of incarnations."""
        return len(self._announced)

    @property
    def newest(self) -> AnnouncedUpstream | None:
        """The newest announcement, whose sender is asked first."""
        return next(reversed(self._announced.values()), None)

    def add(self, announced: AnnouncedUpstream) -> bool:
        """Adds an announcement; returns whether it is the first of its incarnation."""
        incarnation = announced.worker.incarnation
        is_first = incarnation not in self._announced
        self._announced[incarnation] = announced
        self._announced.move_to_end(incarnation)
        if len(self._announced) > MAX_ANNOUNCED_UPSTREAMS:
            self._announced.popitem(last=False)
        return is_first

    def remove(self, incarnation: str) -> bool:
        """Removes an incarnation that has ended; returns whether it was known."""
        return self._announced.pop(incarnation, None) is not None

    def confirm(self, listing: Listing) -> AnnouncedUpstream | None:
        """Returns the incarnation that a listing shows to be running, if any.

        The others of its id are removed: they are not running.
        """
        confirmed = None
        for announced in list(self._announced.values()):
            worker = announced.worker
            if worker.upstream != listing.upstream:
                continue
            if listing.asked_at_s < announced.announced_at_s:
                continue
            del self._announced[worker.incarnation]
            if not worker.born_ms or listing.born_ms in (0, worker.born_ms):
                confirmed = announced
        return confirmed

    def remove_late(self, asked_at_s: float) -> list[AnnouncedUpstream]:
        """Removes announcements that are older than an answer of the current upstream.

        Args:
            asked_at_s: When the current upstream was asked for the listing.

        Returns:
            The removed ones. They were held up: one upstream runs at a time.
        """
        late = [
            announced
            for announced in self._announced.values()
            if announced.announced_at_s <= asked_at_s
        ]
        for announced in late:
            del self._announced[announced.worker.incarnation]
        return late
