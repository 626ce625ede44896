"""Messages between ledger replicas and the entries of the log."""

import msgspec


class _MessagePart(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base class of the structures inside replica messages."""


class _ReplicaMessage(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True
):
    """Base class of replica messages.

    Attributes:
        term: Term of the sender.
    """

    term: int


class Members(_MessagePart, kw_only=True):
    """Members of a Raft group, the cluster configuration in the Raft papers.

    Attributes:
        voters: Replicas that count towards a quorum.
        learners: Replicas that receive the log but do not count towards a quorum.
        leaving: Voter that a learner will replace, or empty.
    """

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()
    leaving: str = ""

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def all_replicas(self) -> tuple[str, ...]:
        """Voters and learners."""
        return self.voters + self.learners


class LogEntry(_MessagePart, kw_only=True):
    """One entry of the log.

    Attributes:
        index: Position in the log, from one.
        term: Term of the leader that created it.
        proposer: Replica that proposed the command, or empty.
        number: Number that the proposer gave to the proposal.
        command: Encoded command, empty for a membership change.
        members: The new members, for a membership change.
    """

    index: int
    term: int
    proposer: str
    number: int
    command: bytes
    members: Members | None = None


class RequestVote(_ReplicaMessage, kw_only=True):
    """A candidate requests a vote or a pre-vote.

    Attributes:
        last_index: Last index of the candidate's log.
        last_term: Term of the entry at that index.
        is_prevote: Whether it only asks if it would get the vote.
        is_transfer: Whether the leader gave up its lease to transfer leadership to
            the candidate.
        is_unanimous: Whether the candidate leads only if all voters vote for it.
    """

    last_index: int
    last_term: int
    is_prevote: bool
    is_transfer: bool = False
    is_unanimous: bool = False


class VoteReply(_ReplicaMessage, kw_only=True):
    """Reply to RequestVote."""

    granted: bool
    is_prevote: bool


class AppendEntries(_ReplicaMessage, kw_only=True):
    """The leader sends entries to append; without entries it is a heartbeat.

    Attributes:
        previous_index: Index of the entry before the first of the entries.
        previous_term: Term of the entry at that index.
        entries: Entries to append.
        commit: The leader's commit index.
        sent_at_s: Time of sending by the leader's clock.
    """

    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit: int
    sent_at_s: float = 0.0


class AppendReply(_ReplicaMessage, kw_only=True):
    """Reply to AppendEntries, and to InstallSnapshot once the log covers the snapshot.

    Attributes:
        accepted: Whether the entry before the sent entries matched.
        match: Last index known to equal the leader's, synced to disk.
        hint: Next index for the leader to try after a mismatch.
        sent_at_s: The sent_at_s of the AppendEntries message that is answered, minus
            infinity if InstallSnapshot is answered, zero if the message was stale.
        promise_s: Time for which the replica votes for no other one from now on, by
            its settings. Replicas of versions that do not send it promise 0.4 s.
    """

    accepted: bool
    match: int
    hint: int
    sent_at_s: float = 0.0
    promise_s: float = 0.4


class InstallSnapshot(_ReplicaMessage, kw_only=True):
    """The leader sends one chunk of its snapshot."""

    index: int
    index_term: int
    members: Members
    offset: int
    total: int
    data: bytes


class SnapshotReply(_ReplicaMessage, kw_only=True):
    """Reply to InstallSnapshot: number of bytes received so far."""

    index: int
    received: int


class TransferLeadership(_ReplicaMessage, kw_only=True):
    """The leader gave up its lease and asks the receiver to start an election."""


class ForwardProposal(_ReplicaMessage, kw_only=True):
    """A replica forwards a proposal to the leader."""

    number: int
    command: bytes


class ReplaceReplica(_ReplicaMessage, kw_only=True):
    """A replica forwards an operator's request to replace a replica to the leader."""

    number: int
    old: str
    new: str


class ReplaceReply(_ReplicaMessage, kw_only=True):
    """Reply to ReplaceReplica; the reason is empty when the change has started."""

    number: int
    reason: str


RaftMessage = (
    RequestVote
    | VoteReply
    | AppendEntries
    | AppendReply
    | InstallSnapshot
    | SnapshotReply
    | TransferLeadership
    | ForwardProposal
    | ReplaceReplica
    | ReplaceReply
)


class ReplicaEnvelope(_MessagePart, kw_only=True):
    """A replica message with its sender and receiver.

    Attributes:
        partition: Number of the Raft group.
        sender: Identity of the sending replica.
        receiver: Identity of the receiving replica.
        heard_age_s: Time since the sender last heard from the receiver.
        message: The message.
    """

    partition: int
    sender: str
    receiver: str
    heard_age_s: float
    message: RaftMessage


def stale_term_reply(term: int, message: RaftMessage) -> RaftMessage | None:
    """Returns the reply that reports the current term for a message not handled.

    Args:
        term: Current term of the receiver.
        message: Message of an older term, or a vote request that is refused because
            a leader is known to be alive.

    Returns:
        The reply, or None for a message that gets no reply.
    """
    match message:
        case AppendEntries() | InstallSnapshot():
            return AppendReply(term=term, accepted=False, match=0, hint=0)
        case RequestVote():
            return VoteReply(term=term, granted=False, is_prevote=message.is_prevote)
        case _:
            return None
