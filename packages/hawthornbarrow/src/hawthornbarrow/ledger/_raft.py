"""RaftReplica: the sans-I/O state machine of one ledger replica.

Follows D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
Algorithm" (2014), with pre-vote, check-quorum and single-server membership changes
of D. Ongaro's dissertation (2014). The driver calls `tick`, `receive`, `propose`
and `persisted`, and after each takes what `take_ready` returns.
"""

import math
import random

import structlog

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
    TransferLeadership,
    VoteReply,
    stale_reply,
)
from hawthornbarrow.ledger._raft_log import RaftLog
from hawthornbarrow.ledger._ready import RaftSettings, Ready, Role
from hawthornbarrow.ledger._replacement import (
    next_members,
    refusal_of_addition,
    refusal_of_replacement,
)
from hawthornbarrow.ledger._replication import Replication
from hawthornbarrow.ledger._snapshot_transfer import SnapshotAssembly
from hawthornbarrow.ledger._storage import HardState, Snapshot, StoredState

LEASE_SHARE = 0.9  # of the shortest election timeout; the rest covers clock drift

_log = structlog.get_logger()


class RaftReplica:
    """One replica.

    Args:
        replica: Identity of this replica.
        stored: What its storage held at the start.
        settings: Times of the protocol.
        generator: Seeded source of election timeouts.
        inactive_since_s: Time since which nothing of this replica has run, as before
            the start of its process.
    """

    def __init__(
        self,
        *,
        replica: str,
        stored: StoredState,
        settings: RaftSettings,
        generator: random.Random,
        inactive_since_s: float,
    ) -> None:
        """Starts as a follower."""
        self._replica = replica
        self._settings = settings
        self._generator = generator
        self._hard = stored.hard
        self._snapshot = stored.snapshot
        self._log = RaftLog.from_stored(stored)
        self._commit = stored.snapshot.index
        self._delivered = stored.snapshot.index
        self._synced = self._log.last_index
        self._role = Role.FOLLOWER
        self._leader: str | None = None
        # A replica that has voted or followed before may have promised a leader's
        # lease just before its restart, so it votes for nobody until that is over.
        self._leader_heard_at_s = inactive_since_s if stored.hard.term else -math.inf
        self._election_at_s = 0.0
        self._votes: set[str] = set()
        self._is_prevote = False
        self._has_given_up_lease = False
        self._replication: Replication | None = None
        self._assembly: SnapshotAssembly | None = None
        self._clear_ready()
        self._reset_election_timer(inactive_since_s)

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
    def replication(self) -> Replication | None:
        """At a leader, what it knows of the others."""
        return self._replication

    def has_quorum_contact(self, now_s: float, limit_s: float) -> bool:
        """Tells whether a leader that a quorum follows was heard within the limit."""
        if self._replication is not None:
            return self._replication.hears_quorum(now_s, limit_s)
        return now_s - self._leader_heard_at_s <= limit_s

    def lease_until_s(self, now_s: float) -> float:
        """Returns until when no other replica can lead; in the past for none."""
        if self._replication is None or not self.has_applied_own_term:
            return -math.inf
        if self._has_given_up_lease:
            return -math.inf
        confirmed_at_s = self._replication.confirmed_at_s(now_s)
        return confirmed_at_s + self._settings.election_min_s * LEASE_SHARE

    def transfer(self, now_s: float) -> bool:
        """Hands leadership to the follower with the newest log; False for none."""
        if self._replication is None:
            return False
        heard = self._replication.heard(now_s, self._settings.election_min_s)
        successors = [
            name
            for name in self._log.members.voters
            if name != self._replica
            and name in heard
            and self._replication.match_of(name) == self._log.last_index
        ]
        if not successors:
            return False
        self._has_given_up_lease = True
        message = TransferLeadership(term=self.term)
        self._immediate.append((min(successors), message))
        return True

    @property
    def has_applied_own_term(self) -> bool:
        """Whether a leader has committed an entry of its own term."""
        return self._log.term_at(self._commit) == self.term

    def tick(self, now_s: float) -> None:
        """Lets time pass."""
        if self._replication is not None:
            self._tick_leader(self._replication, now_s)
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
        members = self._log.members
        reason = self._refusal_of_change() or refusal_of_replacement(
            members, old, new, self._heard(now_s)
        )
        if not reason:
            self._append(
                members=Members(voters=members.voters, learners=(new,), leaving=old)
            )
        return reason

    def add(self, new: str, now_s: float) -> str:
        """Begins to make a replica one voter more.

        Returns:
            An empty string, or why the request is refused.
        """
        members = self._log.members
        reason = self._refusal_of_change() or refusal_of_addition(
            members, new, self._heard(now_s)
        )
        if not reason:
            self._append(members=Members(voters=members.voters, learners=(new,)))
        return reason

    def drop_learner(self) -> str:
        """Gives a change of members up whose new replica is lost.

        Returns:
            An empty string, or why the request is refused.
        """
        members = self._log.members
        reason = self._refusal_of_change()
        if not reason and not members.learners:
            reason = "nobody is learning"
        if not reason:
            self._append(members=Members(voters=members.voters))
        return reason

    def _refusal_of_change(self) -> str:
        """Returns why members can not be changed now, or an empty string."""
        if self._replication is None:
            return "not the leader"
        if self._log.members_index > self._commit:
            return "an earlier change of members is not committed yet"
        return ""

    def _heard(self, now_s: float) -> set[str]:
        """Returns the replicas that a leader heard lately, itself included."""
        assert self._replication is not None
        return self._replication.heard(now_s, self._settings.election_max_s)

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
            reply = stale_reply(self.term, message)
            if reply is not None:
                self._after_sync.append((sender, reply))
            return
        self._handle(sender, message, now_s)

    def persisted(self, now_s: float = 0.0) -> None:
        """Notes that all of the last Ready is durable."""
        self._synced = self._log.last_index
        if self._replication is not None:
            self._advance_commit(self._replication, now_s)

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces the applied part of the log by a stored snapshot."""
        self._snapshot = snapshot
        if self._replication is not None:
            self._replication.snapshot = snapshot
        self._log.compact(snapshot.index)

    def snapshot_at(self, data: bytes) -> Snapshot:
        """Returns a snapshot of all that was handed out for applying."""
        return self._log.snapshot(self._delivered, data)

    def take_ready(self) -> Ready:
        """Returns what there is to do, and forgets it."""
        committed = []
        if self._commit > self._delivered:
            committed = self._log.slice(
                self._delivered + 1, self._commit - self._delivered
            )
            self._delivered = self._commit
        immediate, after_sync = self._immediate, self._after_sync
        if self._replication is not None:
            immediate = immediate + self._replication.take_messages()
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
            is_vote = isinstance(message, RequestVote)
            if is_vote and not message.is_transfer and self._has_leader(now_s):
                return False
            leads = isinstance(message, AppendEntries | InstallSnapshot)
            self._become_follower(message.term, now_s, reset_timer=leads)
        return message.term >= self.term

    def _handle(self, sender: str, message: RaftMessage, now_s: float) -> None:
        match message:
            case RequestVote():
                self._on_request_vote(sender, message, now_s)
            case VoteReply():
                self._on_vote_reply(sender, message, now_s)
            case AppendEntries():
                self._on_append_entries(sender, message, now_s)
            case AppendReply() if self._replication is not None:
                self._replication.take_append_reply(
                    sender, message, now_s, self._commit
                )
                self._advance_commit(self._replication, now_s)
            case InstallSnapshot():
                self._on_install_snapshot(sender, message, now_s)
            case TransferLeadership():
                self._start_election(now_s, is_prevote=False, is_transfer=True)
            case SnapshotReply() if self._replication is not None:
                self._replication.take_snapshot_reply(sender, message, now_s)

    def _has_leader(self, now_s: float) -> bool:
        """Tells whether a live leader makes an election needless."""
        if self._role is Role.LEADER:
            return True
        return now_s - self._leader_heard_at_s < self._settings.election_min_s

    def _start_election(
        self, now_s: float, *, is_prevote: bool, is_transfer: bool = False
    ) -> None:
        settings = self._settings
        retry = (settings.retry_min_s, settings.retry_max_s)
        if is_prevote:
            retry = (settings.prevote_min_s, settings.prevote_max_s)
        self._election_at_s = now_s + self._generator.uniform(*retry)
        members = self._log.members
        if self._replica not in members.voters:
            return
        if not is_prevote or self._role is not Role.CANDIDATE:
            _log.info(
                "election_started",
                replica=self._replica,
                term=self.term + 1,
                prevote=is_prevote,
                handed_on=is_transfer,
                silent_s=round(now_s - self._leader_heard_at_s, 3),
            )
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
            is_transfer=is_transfer,
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
            else:
                _log.info(
                    "vote_refused",
                    replica=self._replica,
                    candidate=sender,
                    term=message.term,
                    voted_for=self._hard.vote,
                    has_newer_log=not is_fresh,
                )
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
        _log.info("election_won", replica=self._replica, term=self.term)
        self._role = Role.LEADER
        self._has_given_up_lease = False
        self._leader = self._replica
        self._replication = Replication(
            replica=self._replica,
            term=self.term,
            log=self._log,
            snapshot=self._snapshot,
            heartbeat_s=self._settings.heartbeat_s,
            now_s=now_s,
        )
        self._append()
        self.flush(now_s)
        self._advance_commit(self._replication, now_s)

    def _become_follower(self, term: int, now_s: float, *, reset_timer: bool) -> None:
        if term > self.term:
            self._set_hard(HardState(term=term, vote=""))
        if self._role is Role.LEADER or reset_timer:
            self._reset_election_timer(now_s)
        self._role = Role.FOLLOWER
        self._leader = None
        self._replication = None
        self._assembly = None

    def _reset_election_timer(self, now_s: float) -> None:
        self._election_at_s = now_s + self._generator.uniform(
            self._settings.election_min_s, self._settings.election_max_s
        )

    # --- leader --------------------------------------------------------------

    def _tick_leader(self, replication: Replication, now_s: float) -> None:
        if not replication.hears_quorum(now_s, self._settings.election_max_s):
            self._become_follower(self.term, now_s, reset_timer=True)
            return
        self._continue_replacement(replication)
        self.flush(now_s)

    def flush(self, now_s: float) -> None:
        """Sends newly appended entries without waiting for the next tick."""
        if self._replication is not None:
            self._replication.sync_members(now_s)
            self._replication.broadcast(now_s, self._commit)

    def _continue_replacement(self, replication: Replication) -> None:
        is_settled = self._log.members_index <= self._commit
        if not is_settled or self._log.term_at(self._commit) != self.term:
            return
        matches = {
            name: progress.match for name, progress in replication.progress.items()
        }
        members = next_members(self._log.members, matches, self._commit)
        if members is not None:
            self._append(members=members)

    def _append(
        self,
        *,
        proposer: str = "",
        number: int = 0,
        command: bytes = b"",
        members: Members | None = None,
    ) -> None:
        entry = LogEntry(
            index=self._log.last_index + 1,
            term=self.term,
            proposer=proposer,
            number=number,
            command=command,
            members=members,
        )
        self._log.append(entry)
        self._to_persist.append(entry)

    def _advance_commit(self, replication: Replication, now_s: float) -> None:
        index = replication.quorum_index(self._synced)
        if index <= self._commit or self._log.term_at(index) != self.term:
            return
        committed = self._log.slice(self._commit + 1, index - self._commit)
        self._commit = index
        names = [entry.proposer for entry in committed]
        replication.tell_commit(names, index, now_s)

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
            self._reply_append(
                sender, accepted=True, match=known, sent_at_s=message.sent_at_s
            )
            return
        if self._log.term_at(previous) != message.previous_term:
            hint = min(self._log.last_index + 1, previous)
            self._reply_append(
                sender,
                accepted=False,
                match=0,
                hint=hint,
                sent_at_s=message.sent_at_s,
            )
            return
        self._store_entries(message.entries)
        match = previous + len(message.entries)
        self._commit = max(self._commit, min(message.commit, match))
        self._reply_append(
            sender, accepted=True, match=match, sent_at_s=message.sent_at_s
        )

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
        self,
        leader: str,
        *,
        accepted: bool,
        match: int,
        hint: int = 0,
        sent_at_s: float = -math.inf,
    ) -> None:
        reply = AppendReply(
            term=self.term,
            accepted=accepted,
            match=match,
            hint=hint,
            sent_at_s=sent_at_s,
        )
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
