"""DispatcherTracker: which dispatcher an agent follows and whom it has promised to."""

import structlog

from hawthornbarrow.cells._messages import DispatcherHeartbeat
from hawthornbarrow.cells._standby import is_standby_term
from hawthornbarrow.cells._timing import RunLeaseTiming

_log = structlog.get_logger()


class DispatcherTracker:
    """Follows the dispatcher with the highest term and grants claims of standbys.

    A standby that has no promise of this agent is followed only while no heartbeats of
    another dispatcher arrive. A promise lasts as long as runs can live without a
    dispatcher. An agent that has just started may have given a promise before its
    restart, so it gives none for that long.

    Args:
        timing: Durations of the leases of runs.
        now_s: Current time.
    """

    def __init__(self, *, timing: RunLeaseTiming, now_s: float) -> None:
        """Initializes a tracker as if a heartbeat had just arrived."""
        self._promise_s = timing.lost_after_s
        self._term = 0
        self._dispatcher = ""
        self._heartbeat_at_s = now_s
        self._promised_term = 0
        self._promised_at_s = now_s

    @property
    def term(self) -> int:
        """Highest term of any dispatcher that was followed."""
        return self._term

    @property
    def dispatcher(self) -> str:
        """Name of the entry that is followed, empty before the first."""
        return self._dispatcher

    def silent_s(self, now_s: float) -> float:
        """Returns the time since the last heartbeat of the dispatcher."""
        return now_s - self._heartbeat_at_s

    def on_heartbeat(self, peer: str, term: int, now_s: float) -> bool:
        """Processes a heartbeat and returns whether its sender is now followed."""
        if not self._follows(term, now_s):
            return False
        self._heartbeat_at_s = now_s
        self._term = term
        self._dispatcher = peer
        return True

    def on_claim(self, standby: str, term: int, now_s: float) -> bool:
        """Processes a standby's claim and returns whether it is granted.

        A claim is granted only if its term is the highest, no promise is in force, and
        no heartbeat has arrived for as long as runs can live without a dispatcher.
        """
        is_higher = term > max(self._term, self._promised_term)
        is_free = not self._is_promised(now_s) and self._is_dispatcher_silent(now_s)
        is_granted = is_higher and is_free
        _log.info(
            "claim_granted" if is_granted else "claim_refused",
            standby=standby,
            term=term,
            followed_term=self._term,
            promised_term=self._promised_term,
            silent_s=round(now_s - self._heartbeat_at_s, 3),
        )
        if is_granted:
            self._promised_term = term
            self._promised_at_s = now_s
        return is_granted

    def should_inform(self, heartbeat: DispatcherHeartbeat) -> bool:
        """Returns whether to tell the sender of a heartbeat of the higher term.

        A leader then begins a term above it. A standby is told only if it counts on
        this agent, as it may serve the agents that the other dispatcher can not reach.
        """
        if heartbeat.term >= self._term:
            return False
        has_promise = heartbeat.term == self._promised_term
        is_counted_on = bool(heartbeat.session) or has_promise
        return is_counted_on or not is_standby_term(heartbeat.term)

    def _follows(self, term: int, now_s: float) -> bool:
        if term < self._term:
            return False
        if term < self._promised_term and self._is_promised(now_s):
            return False
        if term == self._term or not is_standby_term(term):
            return True
        return term == self._promised_term or self._is_dispatcher_silent(now_s)

    def _is_promised(self, now_s: float) -> bool:
        return now_s - self._promised_at_s <= self._promise_s

    def _is_dispatcher_silent(self, now_s: float) -> bool:
        return now_s - self._heartbeat_at_s > self._promise_s
