"""DispatcherLink: an entry's way to the dispatcher, directly or through a relay.

This handles a partition between the entry and the dispatcher: the entry's callers
would be refused, or wait for jobs whose answers do not arrive, although other entries
reach both sides.
"""

import collections.abc

from hawthornbarrow.cells import (
    CellMessage,
    ConfigurationReply,
    DispatcherHeartbeat,
    DispatcherPath,
    GetConfiguration,
    GetJobState,
    JobAnswer,
    JobStateReply,
    RelayedMessage,
    RunLeaseTiming,
    SubmitJob,
    WithdrawJob,
)
from hawthornbarrow.links import LinkPort

# Orders of operators are not among them: they may be large, and an operator repeats
# them at another entry.
_RELAYED_REQUESTS = SubmitJob | WithdrawJob | GetJobState | GetConfiguration
RELAYED_REPLIES = DispatcherHeartbeat | JobAnswer | JobStateReply | ConfigurationReply


class DispatcherLink:
    """Sends messages to the dispatcher on the path on which it hears this entry.

    Args:
        entry: Name of this entry.
        port: Links of the process.
        timing: Durations of the leases of runs.
        is_enabled: Whether relays are used.
        now_s: Current time.
    """

    def __init__(
        self,
        *,
        entry: str,
        port: LinkPort,
        timing: RunLeaseTiming,
        is_enabled: bool,
        now_s: float,
    ) -> None:
        """Initializes the direct path."""
        self._entry = entry
        self._port = port
        self._is_enabled = is_enabled
        self._path = DispatcherPath(timing=timing, now_s=now_s)
        self._term = 0

    @property
    def relay(self) -> str:
        """Entry that forwards the messages, empty for the direct link."""
        return self._path.relay

    def on_heartbeat(
        self, relay: str, heartbeat: DispatcherHeartbeat, now_s: float
    ) -> bool:
        """Processes a heartbeat of the current dispatcher and answers it.

        Args:
            relay: Entry that forwarded it, or empty.
            heartbeat: The heartbeat.
            now_s: Current time.

        Returns:
            Whether the path to a known dispatcher has changed.
        """
        if not self._is_enabled:
            return False
        if heartbeat.term > self._term:
            self._term = heartbeat.term
            self._path.reset(relay, now_s)
        has_changed = self._path.on_heartbeat(relay, heartbeat.heard_at_s, now_s)
        if relay and relay == self._path.relay:
            self._send_relayed(relay, None, now_s)
        return has_changed

    def send(self, dispatcher: str, message: CellMessage, now_s: float) -> None:
        """Sends a message to the dispatcher."""
        if self.relay and isinstance(message, _RELAYED_REQUESTS):
            self._send_relayed(self.relay, message, now_s)
        else:
            self._port.send(dispatcher, message)

    def is_probe_due(self, now_s: float) -> bool:
        """Returns whether to ask the relays now, as the dispatcher hears nothing."""
        return self._is_enabled and self._term > 0 and self._path.is_probe_due(now_s)

    def probe(self, relays: collections.abc.Iterable[str], now_s: float) -> None:
        """Asks relays for the dispatcher.

        Args:
            relays: Linked entries that forward messages of entries.
            now_s: Current time.
        """
        for relay in relays:
            self._send_relayed(relay, None, now_s)

    def _send_relayed(
        self, relay: str, message: CellMessage | None, now_s: float
    ) -> None:
        relayed = RelayedMessage(
            source=self._entry, target="", sent_at_s=now_s, message=message
        )
        self._port.send(relay, relayed)
