"""Sans-I/O state of one link: numbering, resending, duplicates and silence."""

import collections
import dataclasses
import math

from hawthornbarrow.links._frames import Frame, Hello
from hawthornbarrow.links._messages import Message

HEARTBEAT_INTERVAL_S = 1.0
SILENCE_LIMIT_S = 3.0
_MAX_FRAME_MESSAGES = 256


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerUp:
    """A connection to a peer is usable.

    Attributes:
        peer: Name of the peer process.
        role: Kind of the peer process.
        incarnation: Random number of the peer's run.
        restarted: Whether the peer is another incarnation than last time.
    """

    peer: str
    role: str
    incarnation: int
    restarted: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerDown:
    """The connection to a peer ended."""

    peer: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class MessageReceived:
    """A message arrived, in order and for the first time.

    Attributes:
        peer: Name of the peer process.
        message: The message.
        confirmed_at_s: As in PeerHeartbeat.
    """

    peer: str
    message: Message
    confirmed_at_s: float = math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerHeartbeat:
    """A heartbeat arrived.

    Attributes:
        peer: Name of the peer process.
        confirmed_at_s: Time, on this side's clock, of the newest frame that the peer
            is known to have heard. A lease counted from then has not lapsed at the
            peer, whatever the delay of this heartbeat.
    """

    peer: str
    confirmed_at_s: float


LinkEvent = PeerUp | PeerDown | PeerHeartbeat | MessageReceived


class LinkSession:
    """State of the link to one peer, kept across connections.

    Messages are numbered from one. Those not acknowledged are sent again on the
    next connection; the receiver drops repeats by number. When the peer turns out
    to be a new incarnation, what was meant for the old one is dropped.

    Args:
        process: Name of this process.
        role: Kind of this process.
        incarnation: Random number of this run of the process.
        heartbeat_s: Longest time without sending anything.
        silence_s: Longest time without receiving before the connection is closed.
    """

    def __init__(
        self,
        *,
        process: str,
        role: str,
        incarnation: int,
        heartbeat_s: float = HEARTBEAT_INTERVAL_S,
        silence_s: float = SILENCE_LIMIT_S,
    ) -> None:
        """Starts without a connection."""
        self._process = process
        self._role = role
        self._incarnation = incarnation
        self._heartbeat_s = heartbeat_s
        self._silence_s = silence_s
        self._peer: str | None = None
        self._peer_role = ""
        self._peer_incarnation = 0
        self._next_sequence = 1
        self._unacknowledged: collections.deque[Message] = collections.deque()
        self._unsent = 0
        self._received = 0
        self._acknowledgement_due = False
        self._is_frame_requested = False
        self._connected = False
        self._greeted = False
        self._heard_at_s = 0.0
        self._peer_sent_at_s = -math.inf
        self._confirmed_at_s = -math.inf
        self._sent_at_s = 0.0
        self._duplicates = 0

    @property
    def peer(self) -> str | None:
        """Name of the peer, once it has introduced itself."""
        return self._peer

    @property
    def peer_role(self) -> str:
        """Kind of the peer process, empty before it has introduced itself."""
        return self._peer_role

    @property
    def is_up(self) -> bool:
        """Whether both sides have introduced themselves on a connection."""
        return self._connected and self._greeted

    @property
    def duplicates(self) -> int:
        """Number of repeated messages that were dropped."""
        return self._duplicates

    @property
    def unacknowledged(self) -> int:
        """Number of messages that the peer has not acknowledged."""
        return len(self._unacknowledged)

    @property
    def peer_sent_at_s(self) -> float:
        """The peer's own time of sending of the newest frame heard from it."""
        return self._peer_sent_at_s

    @property
    def heard_at_s(self) -> float:
        """Time at which the peer was last heard."""
        return self._heard_at_s

    def connect(self, now_s: float) -> Hello:
        """Begins a new connection and returns this side's introduction."""
        self._connected = True
        self._greeted = False
        self._heard_at_s = now_s
        self._sent_at_s = now_s
        return Hello(
            process=self._process,
            role=self._role,
            incarnation=self._incarnation,
            peer_incarnation=self._peer_incarnation,
            received=self._received,
            sent_at_s=now_s,
        )

    def disconnect(self) -> list[LinkEvent]:
        """Ends the connection; unacknowledged messages are kept."""
        was_up = self.is_up
        self._connected = False
        self._greeted = False
        self._unsent = len(self._unacknowledged)
        if was_up and self._peer is not None:
            return [PeerDown(peer=self._peer)]
        return []

    def send(self, message: Message) -> None:
        """Queues a message for the peer."""
        self._unacknowledged.append(message)
        self._unsent += 1

    def request_frame(self) -> None:
        """Asks for a frame now, even without messages, to show that this side lives."""
        self._is_frame_requested = True

    def drop_unacknowledged(self) -> None:
        """Drops what the peer has not acknowledged, as it must not act on it now."""
        self._unacknowledged.clear()
        self._unsent = 0

    def receive(self, frame: Frame | Hello, now_s: float) -> list[LinkEvent]:
        """Takes one frame from the connection and returns what it means."""
        self._heard_at_s = now_s
        if isinstance(frame, Hello):
            return self._receive_hello(frame)
        return self._receive_frame(frame)

    def frames_due(self, now_s: float) -> list[Frame]:
        """Returns the frames to put on the connection now."""
        if not self.is_up:
            return []
        frames = []
        while self._unsent:
            frames.append(self._next_frame(now_s))
        is_idle = now_s - self._sent_at_s >= self._heartbeat_s
        is_due = is_idle or self._is_frame_requested
        if not frames and (is_due or self._acknowledgement_is_late(now_s)):
            frames.append(self._frame(0, [], now_s))
        if frames:
            self._sent_at_s = now_s
            self._acknowledgement_due = False
            self._is_frame_requested = False
        return frames

    def seconds_until_due(self, now_s: float) -> float:
        """Returns when to look again, unless a message is sent before that."""
        interval_s = self._heartbeat_s
        if self._acknowledgement_due:
            interval_s /= 2
        frame_due_s = self._sent_at_s + interval_s
        silent_s = self._heard_at_s + self._silence_s
        return max(0.0, min(frame_due_s, silent_s) - now_s)

    def is_silent(self, now_s: float) -> bool:
        """Tells whether the connection must be closed for silence."""
        return self._connected and now_s - self._heard_at_s > self._silence_s

    def _acknowledgement_is_late(self, now_s: float) -> bool:
        waited_s = now_s - self._sent_at_s
        return self._acknowledgement_due and waited_s >= self._heartbeat_s / 2

    def _next_frame(self, now_s: float) -> Frame:
        start = len(self._unacknowledged) - self._unsent
        stop = min(start + _MAX_FRAME_MESSAGES, len(self._unacknowledged))
        messages = [self._unacknowledged[index] for index in range(start, stop)]
        self._unsent -= len(messages)
        return self._frame(self._next_sequence + start, messages, now_s)

    def _frame(self, first: int, messages: list[Message], now_s: float) -> Frame:
        return Frame(
            first=first,
            received=self._received,
            sent_at_s=now_s,
            heard_at_s=self._peer_sent_at_s,
            messages=messages,
        )

    def _receive_hello(self, hello: Hello) -> list[LinkEvent]:
        restarted = hello.incarnation != self._peer_incarnation
        if restarted:
            self._received = 0
            if self._peer_incarnation:
                self._unacknowledged.clear()
                self._next_sequence = 1
        if hello.peer_incarnation == self._incarnation and not restarted:
            self._acknowledge(hello.received)
            self._next_sequence = max(self._next_sequence, hello.received + 1)
        elif hello.peer_incarnation != self._incarnation:
            self._next_sequence = 1
        self._peer_sent_at_s = hello.sent_at_s
        self._peer = hello.process
        self._peer_role = hello.role
        self._peer_incarnation = hello.incarnation
        self._unsent = len(self._unacknowledged)
        self._greeted = True
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
        self._confirmed_at_s = max(self._confirmed_at_s, frame.heard_at_s)
        peer = self._peer or ""
        events: list[LinkEvent] = []
        if not frame.messages:
            events.append(PeerHeartbeat(peer=peer, confirmed_at_s=self._confirmed_at_s))
        for offset, message in enumerate(frame.messages):
            sequence = frame.first + offset
            if sequence != self._received + 1:
                self._duplicates += 1
                continue
            self._received = sequence
            self._acknowledgement_due = True
            received = MessageReceived(
                peer=peer, message=message, confirmed_at_s=self._confirmed_at_s
            )
            events.append(received)
        return events

    def _acknowledge(self, received: int) -> None:
        while self._next_sequence <= received and self._unacknowledged:
            self._unacknowledged.popleft()
            self._next_sequence += 1
        self._unsent = min(self._unsent, len(self._unacknowledged))
