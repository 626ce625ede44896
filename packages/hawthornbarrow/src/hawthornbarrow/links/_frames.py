"""Frames: the units that a link puts on the wire."""

import msgspec

from hawthornbarrow.links._messages import Message


class Hello(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """First frame of each side on a new connection.

    Attributes:
        process: Name of the sending process.
        role: Kind of the sending process, "entry" or "agent".
        incarnation: Random number drawn when the sender started.
        peer_incarnation: Incarnation of the receiver as last seen, or zero.
        received: Sequence number of the last message received from it.
        sent_at_s: Time of sending on the sender's clock.
    """

    process: str
    role: str
    incarnation: int
    peer_incarnation: int
    received: int
    sent_at_s: float


class Frame(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """Messages in sequence; without messages it is a heartbeat.

    Attributes:
        first: Sequence number of the first message.
        received: Sequence number of the last message received in order.
        sent_at_s: Time of sending on the sender's clock.
        heard_at_s: The receiver's own sent_at_s in the last frame heard from it.
        messages: The messages, numbered from first upwards.
    """

    first: int
    received: int
    sent_at_s: float
    heard_at_s: float
    messages: list[Message]
