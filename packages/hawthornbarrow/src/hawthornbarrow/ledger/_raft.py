"""RaftReplica: the sans-I/O state machine of one ledger replica.

Follows D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
Algorithm" (2014), with pre-vote, check-quorum and single-server membership changes
of D. Ongaro's dissertation (2014). The driver calls `tick`, `receive`, `propose`
and `persisted`, and after each takes what `take_ready` returns.
"""

import dataclasses
import enum
import random

from hawthornbarrow.ledger._messages import (
    AppendEntries,
    AppendReply,
    ForwardProposal,
    InstallSnapshot,
    LogEntry,
    Members,
    RaftMessage,
    ReplaceReplica,
    ReplaceReply,
    RequestVote,
    SnapshotReply,
    VoteReply,
)
from hawthornbarrow.ledger._progress import Progress
from hawthornbarrow.ledger._raft_log import RaftLog
from hawthornbarrow.ledger._replacement import (
    next_members,
    refusal_of_replacement,
)
from hawthornbarrow.ledger._snapshot_transfer import SnapshotAssembly, chunk_of
from hawthornbarrow.ledger._storage import HardState, Snapshot, StoredState

MAX_ENTRIES_PER_MESSAGE = 256


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
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.4
    election_max_s: float = 0.8


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


class RaftReplica:
    """One replica.

    Args:
        replica: Identity of this replica.
        stored: What its storage held at the start.
        settings: Times of the protocol.
        generator: Seeded source of election timeouts.
        now_s: Current time.
    """

    def __init__(
        self,
        *,
        replica: str,
        stored: StoredState,
        settings: RaftSettings,
        generator: random.Random,
        now_s: float,
    ) -> None:
        """Starts as a follower."""
        self._replica = replica
        self._settings = settings
        self._generator = generator
        self._hard = stored.hard
        self._snapshot = stored.snapshot
        self._log = RaftLog(
            base_index=stored.snapshot.index,
            base_term=stored.snapshot.term,
            base_members=stored.snapshot.members,
            entries=list(stored.entries),
        )
        self._commit = stored.snapshot.index
        self._delivered = stored.snapshot.index
        self._synced = self._log.last_index
        self._role = Role.FOLLOWER
        self._leader: str | None = None
        self._leader_heard_at_s = -1e9
        self._election_at_s = 0.0
        self._votes: set[str] = set()
        self._is_prevote = False
        self._progress: dict[str, Progress] = {}
        self._led_since_s = 0.0
        self._assembly: SnapshotAssembly | None = None
        self._clear_ready()
        self._reset_election_timer(now_s)

    @property
    def replica(self) -> str:
        """Identity of this replica."""
        return self._replica

    @property
    def role(self) -> Role:
        """Current role."""
        return self._role

    @property
    def term(self) -> int:
        """Current term."""
        return self._hard.term

    @property
    def leader(self) -> str | None:
        """Identity of the leader of this term, if known."""
        return self._leader

    @property
    def commit(self) -> int:
        """Index of the last entry known to be committed."""
        return self._commit

    @property
    def log(self) -> RaftLog:
        """The log in memory."""
        return self._log

    @property
    def progress(self) -> dict[str, Progress]:
        """At a leader, what it knows of the others."""
        return self._progress

    @property
    def led_since_s(self) -> float:
        """When this replica became leader."""
        return self._led_since_s

    def is_in_touch(self, now_s: float, limit_s: float) -> bool:
        """Tells whether a leader that a quorum follows was heard within the limit."""
        if self._role is Role.LEADER:
            return self._hears_quorum(now_s, limit_s)
        return now_s - self._leader_heard_at_s <= limit_s

    def tick(self, now_s: float) -> None:
        """Lets time pass."""
        if self._role is Role.LEADER:
            self._tick_leader(now_s)
        elif now_s >= self._election_at_s:
            self._start_election(now_s, is_prevote=True)

    def propose(self, *, proposer: str, number: int, command: bytes) -> bool:
        """Appends a command; returns False when this replica is not the leader."""
        if self._role is not Role.LEADER:
            return False
        self._append(proposer=proposer, number=number, command=command)
        return True

    def replace(self, old: str, new: str, now_s: float) -> str:
        """Begins to replace one voter by a new replica.

        Returns:
            An empty string, or why the request is refused.
        """
        if self._role is not Role.LEADER:
            return "not the leader"
        if self._log.members_index > self._commit:
            return "an earlier change of members is not committed yet"
        heard = self._heard_replicas(now_s, self._settings.election_max_s)
        reason = refusal_of_replacement(self._log.members, old, new, heard)
        if reason:
            return reason
        members = self._log.members
        self._append_members(
            Members(voters=members.voters, learners=(new,), leaving=old)
        )
        return ""

    def receive(self, sender: str, message: RaftMessage, now_s: float) -> None:
        """Takes one message from another replica."""
        if isinstance(message, ForwardProposal):
            self.propose(
                proposer=sender, number=message.number, command=message.command
            )
            return
        if isinstance(message, ReplaceReplica):
            reason = self.replace(message.old, message.new, now_s)
            reply = ReplaceReply(term=self.term, number=message.number, reason=reason)
            self._immediate.append((sender, reply))
            return
        if isinstance(message, ReplaceReply):
            self._replies.append(message)
            return
        if not self._accept_term(message, now_s):
            self._answer_stale(sender, message)
            return
        self._handle(sender, message, now_s)

    def persisted(self) -> None:
        """Notes that all of the last Ready is durable."""
        self._synced = self._log.last_index
        if self._role is Role.LEADER:
            self._advance_commit()

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces the applied part of the log by a stored snapshot."""
        self._snapshot = snapshot
        self._log.compact(snapshot.index)

    def snapshot_at(self, data: bytes) -> Snapshot:
        """Returns a snapshot of all that was handed out for applying."""
        term = self._log.term_at(self._delivered)
        assert term is not None
        return Snapshot(
            index=self._delivered,
            term=term,
            members=self._log.members_at(self._delivered),
            data=data,
        )

    def take_ready(self) -> Ready:
        """Returns what there is to do, and forgets it."""
        committed = []
        if self._commit > self._delivered:
            committed = self._log.slice(
                self._delivered + 1, self._commit - self._delivered
            )
            self._delivered = self._commit
        immediate, after_sync = self._immediate, self._after_sync
        if self._hard_changed:
            immediate, after_sync = [], immediate + after_sync
        ready = Ready(
            immediate=immediate,
            snapshot=self._installed,
            truncate_from=self._truncate_from,
            entries=self._to_persist,
            hard_state=self._hard if self._hard_changed else None,
            after_sync=after_sync,
            installed=self._installed,
            committed=committed,
            replies=self._replies,
        )
        self._clear_ready()
        return ready

    # --- terms and elections -------------------------------------------------

    def _accept_term(self, message: RaftMessage, now_s: float) -> bool:
        """Moves to a newer term; returns False for a message of an older one."""
        if isinstance(message, RequestVote) and message.is_prevote:
            return True
        if isinstance(message, VoteReply) and message.is_prevote and message.granted:
            return True
        if message.term > self.term:
            if isinstance(message, RequestVote) and self._has_leader(now_s):
                return False
            leads = isinstance(message, AppendEntries | InstallSnapshot)
            self._become_follower(message.term, now_s, reset_timer=leads)
        return message.term >= self.term

    def _answer_stale(self, sender: str, message: RaftMessage) -> None:
        """Tells a sender of an older term which term it is."""
        if isinstance(message, AppendEntries | InstallSnapshot):
            reply = AppendReply(term=self.term, accepted=False, match=0, hint=0)
            self._after_sync.append((sender, reply))
        elif isinstance(message, RequestVote):
            refusal = VoteReply(
                term=self.term, granted=False, is_prevote=message.is_prevote
            )
            self._after_sync.append((sender, refusal))

    def _handle(self, sender: str, message: RaftMessage, now_s: float) -> None:
        match message:
            case RequestVote():
                self._on_request_vote(sender, message, now_s)
            case VoteReply():
                self._on_vote_reply(sender, message, now_s)
            case AppendEntries():
                self._on_append_entries(sender, message, now_s)
            case AppendReply():
                self._on_append_reply(sender, message, now_s)
            case InstallSnapshot():
                self._on_install_snapshot(sender, message, now_s)
            case SnapshotReply():
                self._on_snapshot_reply(sender, message, now_s)

    def _has_leader(self, now_s: float) -> bool:
        """Tells whether a live leader makes an election needless."""
        if self._role is Role.LEADER:
            return True
        return now_s - self._leader_heard_at_s < self._settings.election_min_s

    def _start_election(self, now_s: float, *, is_prevote: bool) -> None:
        self._reset_election_timer(now_s)
        members = self._log.members
        if self._replica not in members.voters:
            return
        self._role = Role.CANDIDATE
        self._leader = None
        self._is_prevote = is_prevote
        self._votes = {self._replica}
        term = self.term + 1
        if not is_prevote:
            self._set_hard(HardState(term=term, vote=self._replica))
        request = RequestVote(
            term=term,
            last_index=self._log.last_index,
            last_term=self._log.last_term,
            is_prevote=is_prevote,
        )
        for voter in members.voters:
            if voter != self._replica:
                self._after_sync.append((voter, request))
        self._count_votes(now_s)

    def _on_request_vote(self, sender: str, message: RequestVote, now_s: float) -> None:
        is_fresh = (message.last_term, message.last_index) >= (
            self._log.last_term,
            self._log.last_index,
        )
        if message.is_prevote:
            granted = (
                is_fresh and message.term > self.term and not self._has_leader(now_s)
            )
            term = message.term if granted else self.term
        else:
            granted = is_fresh and self._hard.vote in ("", sender)
            term = self.term
            if granted:
                self._set_hard(HardState(term=self.term, vote=sender))
                self._reset_election_timer(now_s)
        reply = VoteReply(term=term, granted=granted, is_prevote=message.is_prevote)
        self._after_sync.append((sender, reply))

    def _on_vote_reply(self, sender: str, message: VoteReply, now_s: float) -> None:
        if self._role is not Role.CANDIDATE or not message.granted:
            return
        expected = self.term + 1 if self._is_prevote else self.term
        if message.is_prevote != self._is_prevote or message.term != expected:
            return
        self._votes.add(sender)
        self._count_votes(now_s)

    def _count_votes(self, now_s: float) -> None:
        members = self._log.members
        if len(self._votes.intersection(members.voters)) < members.quorum:
            return
        if self._is_prevote:
            self._start_election(now_s, is_prevote=False)
        else:
            self._become_leader(now_s)

    def _become_leader(self, now_s: float) -> None:
        self._role = Role.LEADER
        self._leader = self._replica
        self._led_since_s = now_s
        self._progress = {}
        self._sync_progress(now_s)
        self._append(proposer="", number=0, command=b"")
        self._broadcast(now_s)
        self._advance_commit()

    def _become_follower(self, term: int, now_s: float, *, reset_timer: bool) -> None:
        if term > self.term:
            self._set_hard(HardState(term=term, vote=""))
        if self._role is Role.LEADER or reset_timer:
            self._reset_election_timer(now_s)
        self._role = Role.FOLLOWER
        self._leader = None
        self._assembly = None

    def _reset_election_timer(self, now_s: float) -> None:
        self._election_at_s = now_s + self._generator.uniform(
            self._settings.election_min_s, self._settings.election_max_s
        )

    # --- leader --------------------------------------------------------------

    def _tick_leader(self, now_s: float) -> None:
        if not self._hears_quorum(now_s, self._settings.election_max_s):
            self._become_follower(self.term, now_s, reset_timer=True)
            return
        self._sync_progress(now_s)
        self._continue_replacement()
        self._broadcast(now_s)

    def _hears_quorum(self, now_s: float, limit_s: float) -> bool:
        if now_s - self._led_since_s <= limit_s:
            return True
        voters = self._log.members.voters
        heard = self._heard_replicas(now_s, limit_s)
        count = sum(voter in heard for voter in voters)
        return count >= self._log.members.quorum

    def _heard_replicas(self, now_s: float, limit_s: float) -> set[str]:
        heard = {self._replica}
        for name, progress in self._progress.items():
            if now_s - progress.heard_at_s <= limit_s:
                heard.add(name)
        return heard

    def _sync_progress(self, now_s: float) -> None:
        others = set(self._log.members.everyone) - {self._replica}
        for gone in set(self._progress) - others:
            del self._progress[gone]
        for name in others - set(self._progress):
            self._progress[name] = Progress(
                next=self._log.last_index + 1, heard_at_s=now_s, sent_at_s=-1e9
            )

    def _continue_replacement(self) -> None:
        if self._log.members_index > self._commit or not self._committed_own_term():
            return
        matches = {name: entry.match for name, entry in self._progress.items()}
        members = next_members(self._log.members, matches, self._commit)
        if members is not None:
            self._append_members(members)

    def _committed_own_term(self) -> bool:
        return self._log.term_at(self._commit) == self.term

    def _broadcast(self, now_s: float) -> None:
        for name in list(self._progress):
            self._send_to(name, now_s)

    def _send_to(self, name: str, now_s: float) -> None:
        progress = self._progress[name]
        is_due = now_s - progress.sent_at_s >= self._settings.heartbeat_s
        has_news = progress.next <= self._log.last_index
        if not is_due and not has_news:
            return
        if is_due and 0 < progress.match < progress.next - 1:
            progress.next = progress.match + 1
        needs_snapshot = progress.next <= self._log.base_index
        if needs_snapshot and not is_due:
            return
        progress.sent_at_s = now_s
        if needs_snapshot:
            self._send_snapshot(name, progress)
        else:
            self._send_entries(name, progress)

    def _send_entries(self, name: str, progress: Progress) -> None:
        previous = progress.next - 1
        term = self._log.term_at(previous)
        assert term is not None
        entries = self._log.slice(progress.next, MAX_ENTRIES_PER_MESSAGE)
        progress.next += len(entries)
        message = AppendEntries(
            term=self.term,
            previous_index=previous,
            previous_term=term,
            entries=entries,
            commit=self._commit,
        )
        self._immediate.append((name, message))

    def _send_snapshot(self, name: str, progress: Progress) -> None:
        snapshot = self._snapshot
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index = snapshot.index
            progress.snapshot_received = 0
        chunk = chunk_of(snapshot, progress.snapshot_received, self.term)
        self._immediate.append((name, chunk))

    def _append(self, *, proposer: str, number: int, command: bytes) -> None:
        entry = LogEntry(
            index=self._log.last_index + 1,
            term=self.term,
            proposer=proposer,
            number=number,
            command=command,
        )
        self._log.append(entry)
        self._to_persist.append(entry)

    def _append_members(self, members: Members) -> None:
        entry = LogEntry(
            index=self._log.last_index + 1,
            term=self.term,
            proposer="",
            number=0,
            command=b"",
            members=members,
        )
        self._log.append(entry)
        self._to_persist.append(entry)

    def flush(self, now_s: float) -> None:
        """Sends newly appended entries without waiting for the next tick."""
        if self._role is Role.LEADER:
            self._sync_progress(now_s)
            self._broadcast(now_s)

    def _on_append_reply(self, sender: str, message: AppendReply, now_s: float) -> None:
        progress = self._progress.get(sender)
        if self._role is not Role.LEADER or progress is None:
            return
        progress.heard_at_s = now_s
        if message.accepted:
            progress.match = max(progress.match, message.match)
            progress.next = max(progress.next, progress.match + 1)
            self._advance_commit()
        else:
            progress.next = max(1, min(progress.next - 1, message.hint))
            progress.match = min(progress.match, progress.next - 1)
        if progress.next <= self._log.last_index:
            self._send_to(sender, now_s)

    def _on_snapshot_reply(
        self, sender: str, message: SnapshotReply, now_s: float
    ) -> None:
        progress = self._progress.get(sender)
        if self._role is not Role.LEADER or progress is None:
            return
        progress.heard_at_s = now_s
        if message.index != progress.snapshot_index:
            return
        progress.snapshot_received = message.received
        if message.received < len(self._snapshot.data):
            self._send_snapshot(sender, progress)

    def _advance_commit(self) -> None:
        members = self._log.members
        matches = sorted(
            (self._match_of(voter) for voter in members.voters), reverse=True
        )
        index = matches[members.quorum - 1]
        if index > self._commit and self._log.term_at(index) == self.term:
            start = self._commit + 1
            self._commit = index
            self._tell_proposers(self._log.slice(start, index - start + 1))

    def _tell_proposers(self, entries: list[LogEntry]) -> None:
        """Sends the new commit index at once to those who wait for it."""
        for name in {entry.proposer for entry in entries}:
            progress = self._progress.get(name)
            if progress is not None and progress.next > self._log.base_index:
                self._send_entries(name, progress)

    def _match_of(self, voter: str) -> int:
        if voter == self._replica:
            return self._synced
        progress = self._progress.get(voter)
        return progress.match if progress else 0

    # --- follower ------------------------------------------------------------

    def _follow(self, leader: str, now_s: float) -> None:
        self._role = Role.FOLLOWER
        self._leader = leader
        self._leader_heard_at_s = now_s
        self._reset_election_timer(now_s)

    def _on_append_entries(
        self, sender: str, message: AppendEntries, now_s: float
    ) -> None:
        self._follow(sender, now_s)
        previous = message.previous_index
        if previous < self._log.base_index:
            known = self._log.base_index
            self._reply_append(sender, accepted=True, match=known)
            return
        if self._log.term_at(previous) != message.previous_term:
            hint = min(self._log.last_index + 1, previous)
            self._reply_append(sender, accepted=False, match=0, hint=hint)
            return
        self._store_entries(message.entries)
        match = previous + len(message.entries)
        self._commit = max(self._commit, min(message.commit, match))
        self._reply_append(sender, accepted=True, match=match)

    def _store_entries(self, entries: list[LogEntry]) -> None:
        for entry in entries:
            if self._log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self._log.last_index:
                assert entry.index > self._commit
                self._truncate(entry.index)
            self._log.append(entry)
            self._to_persist.append(entry)

    def _truncate(self, index: int) -> None:
        self._log.truncate(index)
        self._to_persist = [entry for entry in self._to_persist if entry.index < index]
        if self._truncate_from == 0 or index < self._truncate_from:
            self._truncate_from = index

    def _reply_append(
        self, leader: str, *, accepted: bool, match: int, hint: int = 0
    ) -> None:
        reply = AppendReply(term=self.term, accepted=accepted, match=match, hint=hint)
        self._after_sync.append((leader, reply))

    def _on_install_snapshot(
        self, sender: str, message: InstallSnapshot, now_s: float
    ) -> None:
        self._follow(sender, now_s)
        if message.index <= self._commit:
            self._reply_append(sender, accepted=True, match=self._commit)
            return
        if self._assembly is None or self._assembly.index != message.index:
            self._assembly = SnapshotAssembly(index=message.index)
        self._assembly.add(message)
        reply = SnapshotReply(
            term=self.term, index=message.index, received=self._assembly.received
        )
        self._after_sync.append((sender, reply))
        if self._assembly.received == message.total:
            self._install(sender, message, self._assembly.data)

    def _install(self, leader: str, message: InstallSnapshot, data: bytes) -> None:
        self._assembly = None
        snapshot = Snapshot(
            index=message.index,
            term=message.index_term,
            members=message.members,
            data=data,
        )
        self._snapshot = snapshot
        self._installed = snapshot
        self._log.reset(snapshot.index, snapshot.term, snapshot.members)
        self._to_persist = []
        self._truncate_from = 0
        self._commit = snapshot.index
        self._delivered = snapshot.index
        self._reply_append(leader, accepted=True, match=snapshot.index)

    # --- readiness -----------------------------------------------------------

    def _set_hard(self, hard: HardState) -> None:
        self._hard = hard
        self._hard_changed = True

    def _clear_ready(self) -> None:
        self._immediate: list[tuple[str, RaftMessage]] = []
        self._after_sync: list[tuple[str, RaftMessage]] = []
        self._to_persist: list[LogEntry] = []
        self._replies: list[ReplaceReply] = []
        self._truncate_from = 0
        self._hard_changed = False
        self._installed: Snapshot | None = None
