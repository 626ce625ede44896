"""Readiness: whether new callers should be routed to this entry.

An entry without a dispatcher leaves the load balancer's rotation only where another
entry is likely to serve: where it is cut off, or has been without a dispatcher for
longer than a takeover takes. Whether it is cut off shows in which entries answer: when
heartbeats of the dispatcher are missing, the entry sends a message over each link to
another entry, and the acknowledgements tell who can be reached.
"""

import collections.abc
import dataclasses
import math

import structlog

READY_TIMEOUT_S = 0.6  # silence after which it matters who can be reached
# Without a dispatcher; a standby would have begun by then.
TAKEOVER_TIMEOUT_S = 1.7

_log = structlog.get_logger()


class ReachableEntries:
    """Tracks which of the linked entries answer while the dispatcher is silent.

    Args:
        started_at_s: When this entry started.
    """

    def __init__(self, *, started_at_s: float) -> None:
        """Initializes an object for an entry that has just started, without links."""
        self._gap_from_s = started_at_s
        self._is_in_gap = True
        self._asked: set[str] = set()
        self._confirmed_at_s: dict[str, float] = {}

    def confirmed_at_s(self, entry: str) -> float:
        """Returns a time at which an entry was alive, by this process's clock."""
        return self._confirmed_at_s.get(entry, -math.inf)

    def on_link_up(self, entry: str, now_s: float) -> None:
        """Records a new link; an entry linked in a gap counts as reachable."""
        if self._is_in_gap:
            self._asked.add(entry)
            self._confirm(entry, now_s)

    def on_frame(self, entry: str, confirmed_at_s: float) -> None:
        """Records a frame of an entry.

        Args:
            entry: Name of the sender.
            confirmed_at_s: When this process sent the newest frame that the entry is
                known to have received, or infinity when unknown.
        """
        if math.isfinite(confirmed_at_s):
            self._confirm(entry, confirmed_at_s)

    def on_dispatcher_heard(self) -> None:
        """Records that the dispatcher's heartbeats arrive."""
        self._is_in_gap = False

    def begin_gap_if_due(
        self,
        *,
        is_dispatcher_heard: bool,
        linked: collections.abc.Iterable[str],
        now_s: float,
    ) -> frozenset[str]:
        """Returns the entries to send a message to, as the dispatcher is silent.

        Args:
            is_dispatcher_heard: Whether the dispatcher's heartbeats arrive.
            linked: Entries whose links are up, without the dispatcher's.
            now_s: Current time.
        """
        if is_dispatcher_heard or self._is_in_gap:
            return frozenset()
        self._is_in_gap = True
        self._gap_from_s = now_s
        self._asked = set(linked)
        return frozenset(self._asked)

    def is_cut_off(self) -> bool:
        """Returns whether most of the linked entries can not be reached.

        An entry without any link counts as cut off.
        """
        reachable = [
            entry
            for entry in self._asked
            if self._confirmed_at_s.get(entry, -math.inf) >= self._gap_from_s
        ]
        return not reachable or 2 * len(reachable) < len(self._asked)

    def _confirm(self, entry: str, at_s: float) -> None:
        self._confirmed_at_s[entry] = max(self.confirmed_at_s(entry), at_s)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServingState:
    """What an entry knows about whether it can serve new callers.

    Attributes:
        hears_dispatcher: Whether the dispatcher was heard within READY_TIMEOUT_S and
            its information is recent enough to use.
        has_configuration: Whether any configuration has arrived.
        is_configuration_current: Whether requests may be handled with it.
        without_dispatcher_s: Time since the dispatcher's last information, or since the
            start of the process.
        has_other_entries: Whether the deployment has other entries.
    """

    hears_dispatcher: bool
    has_configuration: bool
    is_configuration_current: bool
    without_dispatcher_s: float
    has_other_entries: bool


class Readiness:
    """Decides whether an entry reports to the load balancer that it is ready.

    Args:
        waits_in_gaps: Whether callers wait here while there is no dispatcher.
        reachable: Tracks which entries answer.
        is_first_start: Whether the whole deployment starts for the first time. There
            may be no configuration then for as long as the operator sends none.
    """

    def __init__(
        self,
        *,
        waits_in_gaps: bool,
        reachable: ReachableEntries,
        is_first_start: bool = False,
    ) -> None:
        """Stores the settings."""
        self._waits_in_gaps = waits_in_gaps
        self._is_first_start = is_first_start
        self._reachable = reachable
        self._was_ready: bool | None = None

    def is_ready(self, state: ServingState) -> bool:
        """Returns whether new callers should be routed to the entry."""
        is_ready = self._decide(state)
        if is_ready is not self._was_ready:
            self._was_ready = is_ready
            _log.info(
                "readiness_changed",
                ready=is_ready,
                hears_dispatcher=state.hears_dispatcher,
                has_configuration=state.has_configuration,
                is_configuration_current=state.is_configuration_current,
                without_dispatcher_s=round(state.without_dispatcher_s, 3),
                cut_off=self._reachable.is_cut_off(),
            )
        return is_ready

    def _decide(self, state: ServingState) -> bool:
        if state.has_configuration and not state.is_configuration_current:
            return False
        if self._is_first_start and not state.has_configuration:
            return False
        if state.hears_dispatcher:
            return state.has_configuration or self._waits_in_gaps
        if not self._waits_in_gaps:
            return False
        if state.without_dispatcher_s <= READY_TIMEOUT_S:
            return True
        if state.without_dispatcher_s > TAKEOVER_TIMEOUT_S:
            return False
        return not state.has_other_entries or not self._reachable.is_cut_off()
