"""DispatcherPath: the way on which a process exchanges messages with its dispatcher.

A partition may separate an agent or an entry from the dispatcher, while other entries
reach both. The upstream of the agent would stay idle and its runs would end with their
leases, and the callers of the entry would not be served. So one of those entries
forwards the messages of both sides, at most one hop, until the direct link works again.

The process that is cut off decides, as it knows first whether its lease is renewed. A
path is fresh while heartbeats on it show that the dispatcher hears the process: each
one carries the time at which the process sent the newest frame that arrived on the same
path. Leases rest on these times of sending, so a relay that delays messages can only
shorten them.
"""

import math

import structlog

from hawthornbarrow.cells._timing import RunLeaseTiming

DIRECT = ""
# Heartbeat intervals without a fresh heartbeat, after which a path counts as cut. A
# fresh one is up to two intervals old, and one may be late.
STALE_HEARTBEAT_COUNT = 3.5
RETURN_AFTER_S = 1.0  # for which the direct link must be fresh before it is used again
MAX_PROBE_INTERVAL_S = 0.6

_log = structlog.get_logger()


class DispatcherPath:
    """Decides whether a process uses its link to the dispatcher or a relay.

    Args:
        timing: Durations of the leases of runs.
        now_s: Current time.
    """

    def __init__(self, *, timing: RunLeaseTiming, now_s: float) -> None:
        """Initializes the direct path, as if it were fresh."""
        self._first_probe_interval_s = timing.heartbeat_interval_s
        self._stale_after_s = STALE_HEARTBEAT_COUNT * timing.heartbeat_interval_s
        self._relay = DIRECT
        self._changed_at_s = now_s
        self._heard_at_s: dict[str, float] = {}
        self._direct_since_s = math.inf
        self._probed_at_s = -math.inf
        self._probe_interval_s = self._first_probe_interval_s / 2

    @property
    def relay(self) -> str:
        """Entry that forwards the messages, empty for the direct link."""
        return self._relay

    def is_fresh(self, now_s: float) -> bool:
        """Returns whether the dispatcher hears the process on the current path."""
        heard_at_s = self._heard_at_s.get(self._relay, -math.inf)
        return now_s - max(heard_at_s, self._changed_at_s) <= self._stale_after_s

    def reset(self, relay: str, now_s: float) -> None:
        """Starts with the path on which a new dispatcher was heard first."""
        self._heard_at_s.clear()
        self._use(relay, now_s)

    def on_heartbeat(self, relay: str, heard_at_s: float, now_s: float) -> bool:
        """Processes a heartbeat; returns whether the path has changed.

        Args:
            relay: Entry that forwarded it, or empty.
            heard_at_s: When the process sent the newest frame that the dispatcher heard
                on the same path.
            now_s: Current time.
        """
        newest_s = max(heard_at_s, self._heard_at_s.get(relay, -math.inf))
        self._heard_at_s[relay] = newest_s
        is_path_fresh = now_s - newest_s <= self._stale_after_s
        if relay == DIRECT:
            self._track_direct(is_path_fresh, now_s)
            is_better = now_s - self._direct_since_s >= RETURN_AFTER_S
        else:
            is_better = is_path_fresh and not self.is_fresh(now_s)
        if relay == self._relay or not is_better:
            return False
        self._use(relay, now_s)
        return True

    def is_probe_due(self, now_s: float) -> bool:
        """Returns whether to ask all relays for the dispatcher now.

        Probes become rarer while nothing answers, as there may be no dispatcher.
        """
        if self.is_fresh(now_s):
            self._probe_interval_s = self._first_probe_interval_s / 2
            return False
        if now_s - self._probed_at_s < self._probe_interval_s:
            return False
        self._probe_interval_s = min(MAX_PROBE_INTERVAL_S, 2 * self._probe_interval_s)
        self._probed_at_s = now_s
        return True

    def _track_direct(self, is_direct_fresh: bool, now_s: float) -> None:
        if not is_direct_fresh:
            self._direct_since_s = math.inf
        elif self._direct_since_s == math.inf:
            self._direct_since_s = now_s

    def _use(self, relay: str, now_s: float) -> None:
        if relay != self._relay:
            _log.warning("path_changed", relay=relay or "none", former=self._relay)
        self._relay = relay
        self._changed_at_s = now_s
        self._direct_since_s = math.inf
