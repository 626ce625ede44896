"""Messages between ledger replicas and the entries of the log."""

import msgspec


class _Part(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base of the parts of replica messages."""


class _Wire(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """Base of replica messages.

    Attributes:
        term: Term of the sender.
    """

    term: int


class Members(_Part, kw_only=True):
    """Who holds the log.

    Attributes:
        voters: Replicas that count towards a quorum.
        learners: Replicas that receive the log but do not count.
        leaving: Voter that a learner will replace, or empty.
    """

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()
    leaving: str = ""

    @property
    def quorum(self) -> int:
        """Number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    @property
    def everyone(self) -> tuple[str, ...]:
        """Voters and learners."""
        return self.voters + self.learners


class LogEntry(_Part, kw_only=True):
    """One entry of the log.

    Attributes:
        index: Position in the log, from one.
        term: Term of the leader that made it.
        proposer: Replica that proposed the command, or empty.
        number: The proposer's own number of the proposal.
        command: Encoded command, empty for a change of members.
        members: The new members, for a change of members.
    """

    index: int
    term: int
    proposer: str
    number: int
    command: bytes
    members: Members | None = None


class RequestVote(_Wire, kw_only=True):
    """A candidate asks for a vote, or whether it would get one.

    Attributes:
        last_index: Last index of the candidate's log.
        last_term: Term of the entry there.
        is_prevote: Whether it only asks whether it would get the vote.
        is_transfer: Whether the leader has given up its lease for the candidate.
    """

    last_index: int
    last_term: int
    is_prevote: bool
    is_transfer: bool = False


class VoteReply(_Wire, kw_only=True):
    """Answer to RequestVote."""

    granted: bool
    is_prevote: bool


class AppendEntries(_Wire, kw_only=True):
    """The leader's entries after a position; without entries a heartbeat.

    Attributes:
        previous_index: Position that the entries follow.
        previous_term: Term of the entry there.
        entries: The entries.
        commit: The leader's commit index.
        sent_at_s: Time of sending on the leader's clock.
    """

    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit: int
    sent_at_s: float = 0.0


class AppendReply(_Wire, kw_only=True):
    """Answer to AppendEntries.

    Attributes:
        accepted: Whether the position matched.
        match: Last index known to equal the leader's, synced to disk.
        hint: Where the leader should look next when the position did not match.
        sent_at_s: The sent_at_s of the message that is answered.
    """

    accepted: bool
    match: int
    hint: int
    sent_at_s: float = 0.0


class InstallSnapshot(_Wire, kw_only=True):
    """One chunk of the leader's snapshot."""

    index: int
    index_term: int
    members: Members
    offset: int
    total: int
    data: bytes


class SnapshotReply(_Wire, kw_only=True):
    """How many bytes of the snapshot have arrived."""

    index: int
    received: int


class TransferLeadership(_Wire, kw_only=True):
    """The leader has given up its lease and asks the receiver to stand at once."""


class ForwardProposal(_Wire, kw_only=True):
    """A proposal on its way to the leader."""

    number: int
    command: bytes


class ReplaceReplica(_Wire, kw_only=True):
    """An operator's request, on its way to the leader, to replace a replica."""

    number: int
    old: str
    new: str


class ReplaceReply(_Wire, kw_only=True):
    """The leader's answer; the reason is empty when the change has begun."""

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


class ReplicaEnvelope(_Part, kw_only=True):
    """A message with its sender and receiver.

    Attributes:
        partition: Ledger group.
        sender: Identity of the sending replica.
        receiver: Identity of the receiving replica.
        heard_age_s: Time since the sender last heard the receiver.
        message: The message.
    """

    partition: int
    sender: str
    receiver: str
    heard_age_s: float
    message: RaftMessage


def stale_reply(term: int, message: RaftMessage) -> RaftMessage | None:
    """Returns the answer that tells a sender of an older term which term it is."""
    match message:
        case AppendEntries() | InstallSnapshot():
            return AppendReply(term=term, accepted=False, match=0, hint=0)
        case RequestVote():
            return VoteReply(term=term, granted=False, is_prevote=message.is_prevote)
        case _:
            return None
