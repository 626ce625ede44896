"""Role and times of a replica, and what it asks its driver to do."""

import dataclasses
import enum

from hawthornbarrow.ledger._messages import LogEntry, RaftMessage, ReplaceReply
from hawthornbarrow.ledger._storage import HardState, Snapshot


class Role(enum.StrEnum):
    """Role of a replica in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RaftSettings:
    """Times of the protocol.

    Attributes:
        heartbeat_s: Interval between a leader's messages.
        election_min_s: Shortest time without a leader before an election.
        election_max_s: Longest such time; each replica draws its own.
        prevote_min_s: Shortest time after which a pre-vote without a majority is
            repeated. It changes no term, so it may come long before another election.
        prevote_max_s: Longest such time.
        retry_min_s: Shortest time after which a candidate without a majority stands
            again; longer than two syncs and a round trip.
        retry_max_s: Longest such time.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.4
    election_max_s: float = 0.8
    prevote_min_s: float = 0.1
    prevote_max_s: float = 0.2
    retry_min_s: float = 0.15
    retry_max_s: float = 0.45


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ready:
    """What the driver must do, in this order.

    Attributes:
        immediate: Messages to send at once.
        snapshot: Snapshot to store durably, or None.
        truncate_from: Stored entries from here on are void, or zero.
        entries: Entries to append durably.
        hard_state: Term and vote to store durably, or None.
        after_sync: Messages to send once all that is durable.
        installed: Snapshot whose state replaces the state machine's, or None.
        committed: Entries to apply.
        replies: Outcomes of replacement requests made at this replica.
    """

    immediate: list[tuple[str, RaftMessage]]
    snapshot: Snapshot | None
    truncate_from: int
    entries: list[LogEntry]
    hard_state: HardState | None
    after_sync: list[tuple[str, RaftMessage]]
    installed: Snapshot | None
    committed: list[LogEntry]
    replies: list[ReplaceReply]

    @property
    def must_sync(self) -> bool:
        """Whether anything must be made durable."""
        return bool(
            self.snapshot or self.truncate_from or self.entries or self.hard_state
        )
