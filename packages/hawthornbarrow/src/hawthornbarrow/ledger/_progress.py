"""What a leader knows of each replica that follows it."""

import dataclasses
import math


@dataclasses.dataclass(kw_only=True)
class Progress:
    """Replication state of one follower.

    Attributes:
        match: Last index known to be equal and synced there.
        next: Next index to send.
        heard_at_s: When the leader last heard from it.
        sent_at_s: When the leader last sent to it.
        confirmed_at_s: When the newest message that it answered was sent.
        snapshot_index: Snapshot being sent, or zero.
        snapshot_received: Bytes of that snapshot known to have arrived.
    """

    match: int = 0
    next: int = 1
    heard_at_s: float = 0.0
    sent_at_s: float = 0.0
    confirmed_at_s: float = -math.inf
    snapshot_index: int = 0
    snapshot_received: int = 0
