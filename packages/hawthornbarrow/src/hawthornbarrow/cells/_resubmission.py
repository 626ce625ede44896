"""Which jobs can not be resubmissions, although entries were lost at a takeover.

A caller whose connection breaks submits its job again, at another entry, no earlier
than the resend delay later. The first submission may have put runs on agents that the
new dispatcher does not hear, so a resubmission must wait until these have expired.

A dispatcher tells the entries how old its oldest proof is that an entry was alive. An
entry that hears this knows a time `a`, on its own clock, at which every entry was alive
that has jobs at the dispatcher. With `b` for the break of a caller's connection, `r`
for the time at which an entry receives the job again, and `d` for the resend delay,

    a <= b    and    r >= b + d    so    r >= a + d

for each resubmission. A job that was received before `a + d` and that its entry has
submitted to no other dispatcher is therefore new, and no run of it can exist. See
docs/design/gaps.md for the assumptions.
"""

import math

from hawthornbarrow.cells._timing import CLOCK_DRIFT, MARGIN_S

LOST_ENTRY_WINDOW_S = 12.0  # jobs of an entry that was lost earlier have ended


class EntryWatch:
    """Tracks at the dispatcher's entry when the other entries were alive.

    It knows an entry as linked until the loss of the link was processed here. So a link
    that is lost already, but is still linked here, shows in the age.
    """

    def __init__(self, *, now_s: float) -> None:
        """Initializes a watch that knows no entries."""
        self._linked: set[str] = set()
        self._confirmed_at_s: dict[str, float] = {}
        self._changed_at_s = now_s

    def on_link_up(self, entry: str, *, is_restarted: bool, now_s: float) -> None:
        """Records a new link, perhaps to an entry that has started anew."""
        self._linked.add(entry)
        if is_restarted:
            self._confirmed_at_s.pop(entry, None)
            self._changed_at_s = now_s

    def on_link_down(self, entry: str, now_s: float) -> None:
        """Records that the link to an entry was lost."""
        self._linked.discard(entry)
        self._changed_at_s = now_s

    def on_relayed_entry(self, now_s: float) -> None:
        """Records that an entry without a link here has jobs here through a relay."""
        self._changed_at_s = now_s

    def on_frame(self, entry: str, confirmed_at_s: float) -> None:
        """Records a frame of an entry.

        Args:
            entry: Name of the sender.
            confirmed_at_s: When this process sent the newest frame that the entry is
                known to have received, or infinity when unknown.
        """
        if math.isfinite(confirmed_at_s):
            known_s = self._confirmed_at_s.get(entry, -math.inf)
            self._confirmed_at_s[entry] = max(known_s, confirmed_at_s)

    def alive_age_s(self, *, dispatching_since_s: float, now_s: float) -> float:
        """Returns the age of the oldest proof that an entry was alive.

        It is infinite, so that nothing follows from it, where entries with jobs may be
        unknown here: after a loss or a start of an entry, after a takeover, and while
        entries use relays.

        Args:
            dispatching_since_s: When this entry began to dispatch.
            now_s: Current time.
        """
        settled_at_s = max(self._changed_at_s, dispatching_since_s)
        if now_s - settled_at_s < LOST_ENTRY_WINDOW_S:
            return math.inf
        confirmed_s = [
            self._confirmed_at_s.get(entry, -math.inf) for entry in self._linked
        ]
        return now_s - min(confirmed_s, default=now_s)


class ResubmissionBound:
    """Knows at an entry before which time received jobs can not be resubmissions.

    Args:
        resend_s: Minimum time after which a caller whose connection broke submits its
            job again, or None when unknown.
    """

    def __init__(self, *, resend_s: float | None) -> None:
        """Initializes a bound that holds for no job."""
        self._resend_s = resend_s
        self._alive_at_s = -math.inf

    @property
    def resend_s(self) -> float | None:
        """Minimum time until a caller submits a job again, None when unknown."""
        return self._resend_s

    @property
    def new_before_s(self) -> float:
        """Time before which a received job is new, on this process's clock."""
        if self._resend_s is None:
            return -math.inf
        delay_s = self._resend_s * (1 - CLOCK_DRIFT) - MARGIN_S
        return self._alive_at_s + max(0.0, delay_s)

    def on_heartbeat(self, heard_at_s: float, alive_age_s: float) -> None:
        """Processes what a dispatcher says about the entries.

        Args:
            heard_at_s: Time on this process's clock before the dispatcher spoke.
            alive_age_s: Age of its oldest proof that an entry was alive.
        """
        alive_at_s = heard_at_s - alive_age_s * (1 + CLOCK_DRIFT)
        self._alive_at_s = max(self._alive_at_s, alive_at_s)
