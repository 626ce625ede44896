"""Progress: the replication state that a leader keeps for each other replica."""

import dataclasses
import math


@dataclasses.dataclass(kw_only=True)
class Progress:
    """Replication state of one follower.

    Attributes:
        match_index: Last index known to equal the leader's log and to be synced.
        next_index: Index of the next entry to send.
        heard_at_s: Time at which the leader last heard from the follower.
        sent_at_s: Time from which the leader counts the interval to the next
            heartbeat. It is not updated by messages that send the commit index early
            or by snapshot chunks that are sent on a SnapshotReply.
        confirmed_at_s: Time at which the leader sent the newest AppendEntries message
            that the follower has answered.
        promise_s: Time for which it votes for no other replica from then on.
        snapshot_index: Log index of the snapshot being sent, or zero.
        snapshot_received: Bytes of that snapshot known to have been received.
    """

    match_index: int = 0
    next_index: int = 1
    heard_at_s: float = 0.0
    sent_at_s: float = 0.0
    confirmed_at_s: float = -math.inf
    promise_s: float = math.inf
    snapshot_index: int = 0
    snapshot_received: int = 0
