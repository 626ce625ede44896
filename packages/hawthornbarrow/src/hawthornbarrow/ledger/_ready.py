"""Role and settings of a replica, and the pending work for its driver."""

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
    """Timing settings of the protocol.

    Attributes:
        heartbeat_s: Interval between a leader's heartbeats.
        election_min_s: Minimum election timeout, the time without a leader after
            which a replica starts an election.
        election_max_s: Maximum election timeout; each replica draws its own at random.
        prevote_min_s: Minimum time after which a pre-vote without a majority is
            repeated. A pre-vote changes no term, so this may be much shorter than the
            time before another election.
        prevote_max_s: Maximum of that time.
        retry_min_s: Minimum time after which a candidate without a majority starts
            another election; longer than two syncs and a round trip.
        retry_max_s: Maximum of that time.
        has_restart_elections: Whether voters that have all restarted elect a leader
            without waiting for the lease of the former one.
        restart_poll_s: Interval at which a restarted voter asks the others for that.
        rival_deferral_s: Time for which a candidate leaves the election to another
            one whose name sorts first and for which it would vote, so that they do
            not split the vote.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.4
    election_max_s: float = 0.8
    prevote_min_s: float = 0.1
    prevote_max_s: float = 0.2
    retry_min_s: float = 0.15
    retry_max_s: float = 0.45
    has_restart_elections: bool = False
    restart_poll_s: float = 0.05
    rival_deferral_s: float = 0.0


FAST_TAKEOVER_SETTINGS = RaftSettings(
    heartbeat_s=0.06, election_min_s=0.25, election_max_s=0.5, rival_deferral_s=0.05
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ready:
    """Work for the driver, in the order in which it must be done.

    As an exception, hard_state may be stored before the other durable data.

    Attributes:
        immediate: Messages to send at once.
        snapshot: Snapshot to store durably, or None.
        truncate_from: Index from which on stored entries must be dropped, or zero.
        entries: Entries to append durably.
        hard_state: Term and vote to store durably, or None.
        after_sync: Messages to send once all of the above is durable.
        installed: Snapshot to restore the state machine from, or None.
        committed: Committed entries to apply.
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
