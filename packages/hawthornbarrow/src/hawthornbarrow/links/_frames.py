"""Frames: the units of transmission on a link."""

import msgspec

from hawthornbarrow.links._messages import Message


class Hello(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """First frame of each side on a new connection.

    Attributes:
        process: Name of the sending process.
        role: Kind of the sending process, "entry" or "agent".
        incarnation: Random number drawn when the sender started.
        peer_incarnation: Last known incarnation of the receiver, or zero.
        received: Sequence number of the last message received from the receiver.
        sent_at_s: Time of sending on the sender's clock.
    """

    process: str
    role: str
    incarnation: int
    peer_incarnation: int
    received: int
    sent_at_s: float


class Frame(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """Messages in sequence; a frame without messages is a link heartbeat.

    Attributes:
        first: Sequence number of the first message.
        received: Sequence number of the last message that the sender received in
            order; acknowledges all messages up to it.
        sent_at_s: Time of sending on the sender's clock.
        heard_at_s: The sent_at_s of the last frame that the sender received from the
            receiver, on the receiver's clock.
        messages: The messages, numbered from first upwards.
        next_within_s: Time within which the sender sends another frame, zero from
            processes of a version that does not send it.
    """

    first: int
    received: int
    sent_at_s: float
    heard_at_s: float
    messages: list[Message]
    next_within_s: float = 0.0
