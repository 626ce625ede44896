"""Sans-I/O state of one link: numbering, resending, duplicates and timeouts."""

import collections
import dataclasses
import math

from hawthornbarrow.links._frames import Frame, Hello
from hawthornbarrow.links._messages import Message

HEARTBEAT_INTERVAL_S = 1.0
SILENCE_TIMEOUT_S = 3.0
_MAX_FRAME_MESSAGES = 256
_IDLE_AFTER_INTERVALS = 4  # heartbeat intervals without messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerUp:
    """A connection to a peer is usable.

    Attributes:
        peer: Name of the peer process.
        role: Kind of the peer process.
        incarnation: Random number drawn when the peer started.
        restarted: Whether the incarnation differs from that on the previous
            connection, or there was none.
    """

    peer: str
    role: str
    incarnation: int
    restarted: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerDown:
    """The connection to a peer ended.

    Attributes:
        peer: Name of the peer process.
    """

    peer: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class MessageReceived:
    """A message arrived, in order and for the first time.

    Attributes:
        peer: Name of the peer process.
        message: The message.
        confirmed_at_s: As in PeerHeartbeat, infinity unless set.
    """

    peer: str
    message: Message
    confirmed_at_s: float = math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerHeartbeat:
    """A link heartbeat, that is a frame without messages, arrived.

    Attributes:
        peer: Name of the peer process.
        confirmed_at_s: Time, on this side's clock, at which this side sent the newest
            frame that the peer is known to have received. The peer received it at
            that time or later, so a lease that this side counts from then expires
            here no later than at the peer, however late this heartbeat arrives.
    """

    peer: str
    confirmed_at_s: float


LinkEvent = PeerUp | PeerDown | PeerHeartbeat | MessageReceived


class LinkSession:
    """Holds the state of the link to one peer across connections.

    Messages are numbered from one. Messages that were not acknowledged are sent again
    on the next connection; the receiver drops duplicates by number. When the peer
    has restarted as a new incarnation, the messages for the previous one are dropped.

    Args:
        process: Name of this process.
        role: Kind of this process.
        incarnation: Random number drawn when this process started.
        heartbeat_interval_s: Longest time without sending anything.
        silence_timeout_s: Longest time without receiving before the connection is
            closed.
        idle_interval_s: As heartbeat_interval_s, while the link carries no messages;
            None for the same. Each frame tells when the next one follows, and the
            receiver waits for it in proportion.
    """

    def __init__(
        self,
        *,
        process: str,
        role: str,
        incarnation: int,
        heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S,
        silence_timeout_s: float = SILENCE_TIMEOUT_S,
        idle_interval_s: float | None = None,
    ) -> None:
        """Initializes a session without a connection."""
        self._process = process
        self._role = role
        self._incarnation = incarnation
        self._heartbeat_interval_s = heartbeat_interval_s
        self._silence_timeout_s = silence_timeout_s
        self._idle_interval_s = idle_interval_s or heartbeat_interval_s
        self._next_within_s = heartbeat_interval_s
        self._announced_within_s = heartbeat_interval_s
        self._peer_next_within_s = 0.0
        self._message_at_s = -math.inf
        self._peer: str | None = None
        self._peer_role = ""
        self._peer_incarnation = 0
        self._first_unacknowledged = 1
        self._unacknowledged: collections.deque[Message] = collections.deque()
        self._unsent_count = 0
        self._last_received = 0
        self._resumes_after_received = False
        self._acknowledgement_pending = False
        self._is_frame_requested = False
        self._connected = False
        self._hello_received = False
        self._heard_at_s = 0.0
        self._peer_sent_at_s = -math.inf
        self._confirmed_at_s = -math.inf
        self._sent_at_s = 0.0
        self._duplicate_count = 0

    @property
    def peer(self) -> str | None:
        """Name of the peer, None before its first Hello frame."""
        return self._peer

    @property
    def peer_role(self) -> str:
        """Kind of the peer process, empty before its first Hello frame."""
        return self._peer_role

    @property
    def peer_incarnation(self) -> int:
        """Incarnation of the peer process, zero before its first Hello frame."""
        return self._peer_incarnation

    @property
    def is_up(self) -> bool:
        """Whether the peer's Hello frame arrived on the current connection."""
        return self._connected and self._hello_received

    @property
    def duplicate_count(self) -> int:
        """Number of messages dropped as duplicates or out of sequence."""
        return self._duplicate_count

    @property
    def unacknowledged_count(self) -> int:
        """Number of messages that the peer has not acknowledged."""
        return len(self._unacknowledged)

    @property
    def peer_sent_at_s(self) -> float:
        """Time, on the peer's clock, at which it sent its newest received frame."""
        return self._peer_sent_at_s

    @property
    def heard_at_s(self) -> float:
        """Time at which the last frame arrived from the peer."""
        return self._heard_at_s

    def connect(self, now_s: float) -> Hello:
        """Begins a new connection and returns this side's Hello frame."""
        self._connected = True
        self._hello_received = False
        self._heard_at_s = now_s
        self._sent_at_s = now_s
        self._message_at_s = now_s
        self._announced_within_s = self._heartbeat_interval_s
        self._peer_next_within_s = 0.0
        return Hello(
            process=self._process,
            role=self._role,
            incarnation=self._incarnation,
            peer_incarnation=self._peer_incarnation,
            received=self._last_received,
            sent_at_s=now_s,
        )

    def disconnect(self) -> list[LinkEvent]:
        """Ends the connection; unacknowledged messages are kept."""
        was_up = self.is_up
        self._connected = False
        self._hello_received = False
        self._unsent_count = len(self._unacknowledged)
        if was_up and self._peer is not None:
            return [PeerDown(peer=self._peer)]
        return []

    def send(self, message: Message) -> None:
        """Queues a message for the peer."""
        self._unacknowledged.append(message)
        self._unsent_count += 1

    def request_frame(self) -> None:
        """Makes a frame due now, even without messages, to show that this side runs."""
        self._is_frame_requested = True

    def drop_unacknowledged(self) -> None:
        """Drops the unacknowledged messages, on which the peer must no longer act.

        Messages that were sent on a connection that is still up can not be recalled.
        Otherwise the numbering resumes after the last message that the peer received,
        which it tells in its next Hello frame.
        """
        if self.is_up:
            for _ in range(self._unsent_count):
                self._unacknowledged.pop()
        else:
            self._unacknowledged.clear()
            self._resumes_after_received = True
        self._unsent_count = 0

    def receive(self, frame: Frame | Hello, now_s: float) -> list[LinkEvent]:
        """Processes a frame from the connection and returns the resulting events."""
        self._heard_at_s = now_s
        if isinstance(frame, Hello):
            return self._receive_hello(frame)
        if frame.messages:
            self._message_at_s = now_s
        return self._receive_frame(frame)

    def record_bytes(self, received_at_s: float) -> None:
        """Records when the last bytes arrived on the connection.

        A large frame may take longer on a slow link than the silence timeout. Closing
        the connection meanwhile would begin it anew each time.
        """
        if self._connected:
            self._heard_at_s = max(self._heard_at_s, received_at_s)

    def frames_due(self, now_s: float) -> list[Frame]:
        """Returns the frames to put on the connection now."""
        if not self.is_up:
            return []
        frames = []
        if self._unsent_count:
            self._message_at_s = now_s
        self._next_within_s = self._interval_s(now_s)
        while self._unsent_count:
            frames.append(self._next_frame(now_s))
        is_idle = now_s - self._sent_at_s >= self._announced_within_s
        is_due = is_idle or self._is_frame_requested
        if not frames and (is_due or self._is_acknowledgement_due(now_s)):
            frames.append(self._build_frame(0, [], now_s))
        if frames:
            self._sent_at_s = now_s
            self._announced_within_s = self._next_within_s
            self._acknowledgement_pending = False
            self._is_frame_requested = False
        return frames

    def seconds_until_due(self, now_s: float) -> float:
        """Returns the seconds until a frame or the silence timeout is due.

        A message that is queued in the meantime is due at once.
        """
        interval_s = self._announced_within_s
        if self._acknowledgement_pending:
            interval_s = self._heartbeat_interval_s / 2
        frame_due_s = self._sent_at_s + interval_s
        silent_s = self._heard_at_s + self._silent_after_s
        return max(0.0, min(frame_due_s, silent_s) - now_s)

    def is_silent(self, now_s: float) -> bool:
        """Tells whether the silence timeout of the connection has passed."""
        return self._connected and now_s - self._heard_at_s > self._silent_after_s

    @property
    def _silent_after_s(self) -> float:
        """Silence after which a connection is closed, by what the peer announced."""
        slowdown = self._peer_next_within_s / self._heartbeat_interval_s
        return self._silence_timeout_s * max(1.0, slowdown)

    def _interval_s(self, now_s: float) -> float:
        """Returns the time within which the frame after the next one follows."""
        is_idle = now_s - self._message_at_s >= _IDLE_AFTER_INTERVALS * (
            self._heartbeat_interval_s
        )
        # A peer that does not announce its own frames would not wait for this one.
        if is_idle and self._peer_next_within_s:
            return self._idle_interval_s
        return self._heartbeat_interval_s

    def _is_acknowledgement_due(self, now_s: float) -> bool:
        waited_s = now_s - self._sent_at_s
        return (
            self._acknowledgement_pending and waited_s >= self._heartbeat_interval_s / 2
        )

    def _next_frame(self, now_s: float) -> Frame:
        start = len(self._unacknowledged) - self._unsent_count
        stop = min(start + _MAX_FRAME_MESSAGES, len(self._unacknowledged))
        messages = [self._unacknowledged[index] for index in range(start, stop)]
        self._unsent_count -= len(messages)
        return self._build_frame(self._first_unacknowledged + start, messages, now_s)

    def _build_frame(self, first: int, messages: list[Message], now_s: float) -> Frame:
        return Frame(
            first=first,
            received=self._last_received,
            sent_at_s=now_s,
            heard_at_s=self._peer_sent_at_s,
            messages=messages,
            next_within_s=self._next_within_s,
        )

    def _receive_hello(self, hello: Hello) -> list[LinkEvent]:
        restarted = hello.incarnation != self._peer_incarnation
        if restarted:
            self._last_received = 0
            if self._peer_incarnation:
                self._unacknowledged.clear()
                self._first_unacknowledged = 1
        if hello.peer_incarnation == self._incarnation and not restarted:
            if not self._resumes_after_received:
                self._acknowledge(hello.received)
            self._first_unacknowledged = max(
                self._first_unacknowledged, hello.received + 1
            )
        elif hello.peer_incarnation != self._incarnation:
            self._first_unacknowledged = 1
        self._resumes_after_received = False
        self._peer_sent_at_s = hello.sent_at_s
        self._peer = hello.process
        self._peer_role = hello.role
        self._peer_incarnation = hello.incarnation
        self._unsent_count = len(self._unacknowledged)
        self._hello_received = True
        return [
            PeerUp(
                peer=hello.process,
                role=hello.role,
                incarnation=hello.incarnation,
                restarted=restarted,
            )
        ]

    def _receive_frame(self, frame: Frame) -> list[LinkEvent]:
        self._acknowledge(frame.received)
        self._peer_sent_at_s = frame.sent_at_s
        self._peer_next_within_s = frame.next_within_s
        self._confirmed_at_s = max(self._confirmed_at_s, frame.heard_at_s)
        peer = self._peer or ""
        events: list[LinkEvent] = []
        if not frame.messages:
            events.append(PeerHeartbeat(peer=peer, confirmed_at_s=self._confirmed_at_s))
        for offset, message in enumerate(frame.messages):
            sequence = frame.first + offset
            if sequence != self._last_received + 1:
                self._duplicate_count += 1
                continue
            self._last_received = sequence
            self._acknowledgement_pending = True
            received = MessageReceived(
                peer=peer, message=message, confirmed_at_s=self._confirmed_at_s
            )
            events.append(received)
        return events

    def _acknowledge(self, received: int) -> None:
        while self._first_unacknowledged <= received and self._unacknowledged:
            self._unacknowledged.popleft()
            self._first_unacknowledged += 1
        self._unsent_count = min(self._unsent_count, len(self._unacknowledged))
