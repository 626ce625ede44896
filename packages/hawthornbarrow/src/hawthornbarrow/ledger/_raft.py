"""RaftReplica: the sans-I/O state machine of one ledger replica.

Follows D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
Algorithm" (2014), with pre-vote, check-quorum and single-server membership changes
of D. Ongaro's dissertation (2014). The driver calls `tick`, `receive`, `propose`
and `on_persisted`, and after each call carries out what `take_ready` returns.
"""

import math
import random

import structlog

from hawthornbarrow.ledger._membership import (
    addition_refusal_reason,
    next_members,
    replacement_refusal_reason,
)
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
    stale_term_reply,
)
from hawthornbarrow.ledger._raft_log import RaftLog
from hawthornbarrow.ledger._ready import RaftSettings, Ready, Role
from hawthornbarrow.ledger._replication import Replication
from hawthornbarrow.ledger._snapshot_transfer import SnapshotAssembly
from hawthornbarrow.ledger._storage import HardState, Snapshot, StoredState

# A leader lease lasts this share of the minimum election timeout; the rest covers
# clock drift.
LEASE_FACTOR = 0.9
# Interval at which a resigning leader repeats a transfer that had no effect.
TRANSFER_RETRY_INTERVAL_S = 0.2

_log = structlog.get_logger()


class RaftReplica:
    """Raft state machine of one replica.

    Args:
        replica: Identity of this replica.
        stored: State loaded from its storage at the start.
        settings: Timing settings of the protocol.
        generator: Seeded random generator for election timeouts.
        inactive_since_s: Time since which this replica has not run. It may lie before
            the start of the process.
        applied_index: Index up to which the state machine has applied the log. These
            entries are committed, and the replica has stored them.
    """

    def __init__(
        self,
        *,
        replica: str,
        stored: StoredState,
        settings: RaftSettings,
        generator: random.Random,
        inactive_since_s: float,
        applied_index: int = 0,
    ) -> None:
        """Initializes the replica as a follower."""
        self._replica = replica
        self._settings = settings
        self._generator = generator
        self._hard_state = stored.hard
        self._snapshot = stored.snapshot
        self._log = RaftLog.from_stored(stored)
        self._commit_index = max(stored.snapshot.index, applied_index)
        self._delivered_index = self._commit_index
        self._synced_index = self._log.last_index
        self._role = Role.FOLLOWER
        self._leader: str | None = None
        # A replica with a stored term has voted or followed before. It may have
        # acknowledged a leader's lease just before its restart, so it grants no vote
        # until that lease has expired.
        self._leader_heard_at_s = inactive_since_s if stored.hard.term else -math.inf
        self._has_known_leader = False
        self._is_unanimous = False
        self._rival_seen_at_s = -math.inf
        self._restart_poll_due_at_s = inactive_since_s
        self._restart_polls_until_s = inactive_since_s + settings.election_min_s
        self._election_due_at_s = 0.0
        self._votes: set[str] = set()
        self._is_prevote = False
        self._has_given_up_lease = False
        self._is_resigning = False
        self._transferred_at_s = -math.inf
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
        return self._hard_state.term

    @property
    def leader(self) -> str | None:
        """Identity of the leader of this term, if known."""
        return self._leader

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._commit_index

    @property
    def log(self) -> RaftLog:
        """The log in memory."""
        return self._log

    @property
    def replication(self) -> Replication | None:
        """Replication state of the other replicas, or None unless this one leads."""
        return self._replication

    def has_quorum_contact(self, now_s: float, timeout_s: float) -> bool:
        """Returns whether this replica is in contact with a quorum.

        A leader checks that it heard from a quorum within the timeout. Any other
        replica checks that it heard within the timeout from the leader, which steps
        down when it loses contact with a quorum.
        """
        if self._replication is not None:
            return self._replication.has_quorum_contact(now_s, timeout_s)
        return now_s - self._leader_heard_at_s <= timeout_s

    def lease_until_s(self, now_s: float) -> float:
        """Returns when the leader lease expires; minus infinity if there is none.

        No other replica can become leader before that time.
        """
        if self._replication is None or not self.has_committed_own_term:
            return -math.inf
        if self._has_given_up_lease:
            return -math.inf
        confirmed_at_s = self._replication.confirmed_at_s(now_s)
        promise_s = min(self._settings.election_min_s, self._replication.promise_s())
        return confirmed_at_s + promise_s * LEASE_FACTOR

    def resign(self, now_s: float) -> None:
        """Transfers leadership as soon as a follower can take over.

        From now on it also transfers any leadership that this replica gains.
        """
        self._is_resigning = True
        self._transfer_if_due(now_s)

    def _transfer_if_due(self, now_s: float) -> None:
        """Transfers leadership if this replica resigns and still leads.

        A follower that was asked may be lost or cut off before it takes over, so the
        transfer is repeated, to a follower that is up to date by then.
        """
        is_due = now_s - self._transferred_at_s >= TRANSFER_RETRY_INTERVAL_S
        if self._is_resigning and is_due and self.transfer(now_s):
            self._transferred_at_s = now_s

    def transfer(self, now_s: float) -> bool:
        """Transfers leadership to a follower whose log is complete.

        Returns:
            Whether such a follower was heard recently and was asked to take over.
        """
        if self._replication is None:
            return False
        heard = self._replication.recently_heard(now_s, self._settings.election_min_s)
        successors = [
            name
            for name in self._log.members.voters
            if name != self._replica
            and name in heard
            and self._replication.match_index_of(name) == self._log.last_index
        ]
        if not successors:
            return False
        self._has_given_up_lease = True
        message = TransferLeadership(term=self.term)
        self._immediate.append((min(successors), message))
        return True

    @property
    def has_committed_own_term(self) -> bool:
        """Whether a leader has committed an entry of its own term."""
        return self._log.term_at(self._commit_index) == self.term

    def tick(self, now_s: float) -> None:
        """Advances time-dependent state to ``now_s``."""
        if self._replication is not None:
            self._tick_leader(self._replication, now_s)
        elif self._is_restart_poll_due(now_s):
            self._start_election(now_s, is_prevote=True, is_unanimous=True)
        elif now_s >= self._election_due_at_s:
            self._start_election(now_s, is_prevote=True)

    def propose(self, *, proposer: str, number: int, command: bytes) -> bool:
        """Appends a command; returns False when this replica is not the leader."""
        if self._role is not Role.LEADER:
            return False
        self._append(proposer=proposer, number=number, command=command)
        return True

    def replace(
        self, old: str, new: str, now_s: float, *, is_stopping: bool = False
    ) -> str:
        """Starts the replacement of one voter by a new replica.

        Args:
            old: Voter to remove.
            new: Replica to add.
            now_s: Current time.
            is_stopping: Whether the old voter's process is about to end.

        Returns:
            An empty string, or the reason why the request is refused.
        """
        members = self._log.members
        reason = self._change_refusal_reason() or replacement_refusal_reason(
            members, old, new, self._recently_heard(now_s), is_stopping=is_stopping
        )
        if not reason:
            self._append(
                members=Members(voters=members.voters, learners=(new,), leaving=old)
            )
        return reason

    def add(self, new: str, now_s: float) -> str:
        """Starts the addition of a replica as a voter.

        Returns:
            An empty string, or the reason why the request is refused.
        """
        members = self._log.members
        reason = self._change_refusal_reason() or addition_refusal_reason(
            members, new, self._recently_heard(now_s)
        )
        if not reason:
            self._append(members=Members(voters=members.voters, learners=(new,)))
        return reason

    def drop_learner(self) -> str:
        """Aborts a membership change whose new replica is lost.

        Returns:
            An empty string, or the reason why the request is refused.
        """
        members = self._log.members
        reason = self._change_refusal_reason()
        if not reason and not members.learners:
            reason = "nobody is learning"
        if not reason:
            self._append(members=Members(voters=members.voters))
        return reason

    def _change_refusal_reason(self) -> str:
        """Returns why the members cannot be changed now, or an empty string."""
        if self._replication is None:
            return "not the leader"
        if self._log.members_index > self._commit_index:
            return "an earlier change of members is not committed yet"
        return ""

    def _recently_heard(self, now_s: float) -> set[str]:
        """Returns the replicas that the leader heard from recently, itself included."""
        assert self._replication is not None
        return self._replication.recently_heard(now_s, self._settings.election_max_s)

    def receive(self, sender: str, message: RaftMessage, now_s: float) -> None:
        """Processes one message from another replica."""
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
            reply = stale_term_reply(self.term, message)
            if reply is not None:
                self._after_sync.append((sender, reply))
            return
        self._handle(sender, message, now_s)

    def on_persisted(self, now_s: float = 0.0) -> None:
        """Records that everything in the last Ready is durable."""
        self._synced_index = self._log.last_index
        if self._replication is not None:
            self._advance_commit(self._replication, now_s)

    def compact(self, snapshot: Snapshot) -> None:
        """Discards the part of the log that a stored snapshot covers."""
        self._snapshot = snapshot
        if self._replication is not None:
            self._replication.snapshot = snapshot
        self._log.compact(snapshot.index)

    def create_snapshot(self, data: bytes) -> Snapshot:
        """Returns a snapshot as of the last entry that was handed out to be applied.

        Args:
            data: Encoded state as of that entry.
        """
        return self._log.snapshot(self._delivered_index, data)

    def take_ready(self) -> Ready:
        """Returns the pending work for the driver and clears it."""
        committed = []
        if self._commit_index > self._delivered_index:
            committed = self._log.slice(
                self._delivered_index + 1, self._commit_index - self._delivered_index
            )
            self._delivered_index = self._commit_index
        immediate, after_sync = self._immediate, self._after_sync
        if self._replication is not None:
            immediate = immediate + self._replication.take_messages()
        if self._hard_state_changed:
            immediate, after_sync = [], immediate + after_sync
        ready = Ready(
            immediate=immediate,
            snapshot=self._installed,
            truncate_from=self._truncate_from,
            entries=self._to_persist,
            hard_state=self._hard_state if self._hard_state_changed else None,
            after_sync=after_sync,
            installed=self._installed,
            committed=committed,
            replies=self._replies,
        )
        self._clear_ready()
        return ready

    # Terms and elections

    def _accept_term(self, message: RaftMessage, now_s: float) -> bool:
        """Adopts the term of a message if it is newer.

        Returns:
            False if the message must not be handled: its term is older, or it is a
            vote request while a leader is known to be alive.
        """
        if isinstance(message, RequestVote) and message.is_prevote:
            return True
        if isinstance(message, VoteReply) and message.is_prevote and message.granted:
            return True
        if message.term > self.term:
            is_vote = isinstance(message, RequestVote)
            is_bound = is_vote and not message.is_transfer
            if is_bound and not self._may_vote(message, now_s):
                return False
            is_from_leader = isinstance(message, AppendEntries | InstallSnapshot)
            self._become_follower(message.term, now_s, reset_timer=is_from_leader)
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
                self._replication.on_append_reply(
                    sender, message, now_s, self._commit_index
                )
                self._advance_commit(self._replication, now_s)
            case InstallSnapshot():
                self._on_install_snapshot(sender, message, now_s)
            case TransferLeadership():
                self._start_election(now_s, is_prevote=False, is_transfer=True)
            case SnapshotReply() if self._replication is not None:
                self._replication.on_snapshot_reply(sender, message, now_s)

    def _has_leader(self, now_s: float) -> bool:
        """Returns whether a live leader makes an election unnecessary."""
        if self._role is Role.LEADER:
            return True
        return now_s - self._leader_heard_at_s < self._settings.election_min_s

    def _may_vote(self, request: RequestVote, now_s: float) -> bool:
        """Returns whether no lease of a leader forbids a vote or pre-vote.

        A candidate that all voters have to vote for needs no lease to expire: the
        leader would be among them, and none of them leads in an earlier term
        afterwards. To leave a live leader alone, only voters that have known none
        since their start take part.
        """
        if not self._has_leader(now_s):
            return True
        return request.is_unanimous and not self._has_known_leader

    def _is_restart_poll_due(self, now_s: float) -> bool:
        """Returns whether to ask all voters for a unanimous vote now.

        Only the first of them does, so that restarted voters do not compete.
        """
        if not self._settings.has_restart_elections or self._has_known_leader:
            return False
        if not self._restart_poll_due_at_s <= now_s < self._restart_polls_until_s:
            return False
        return self._replica == min(self._log.members.voters, default="")

    def _start_election(
        self,
        now_s: float,
        *,
        is_prevote: bool,
        is_transfer: bool = False,
        is_unanimous: bool = False,
    ) -> None:
        self._schedule_retry(now_s, is_prevote=is_prevote, is_unanimous=is_unanimous)
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
                unanimous=is_unanimous,
                silent_s=round(now_s - self._leader_heard_at_s, 3),
            )
        self._role = Role.CANDIDATE
        self._leader = None
        self._is_prevote = is_prevote
        self._is_unanimous = is_unanimous
        self._votes = {self._replica}
        term = self.term + 1
        if not is_prevote:
            self._set_hard_state(HardState(term=term, vote=self._replica))
        request = RequestVote(
            term=term,
            last_index=self._log.last_index,
            last_term=self._log.last_term,
            is_prevote=is_prevote,
            is_transfer=is_transfer,
            is_unanimous=is_unanimous,
        )
        for voter in members.voters:
            if voter != self._replica:
                self._after_sync.append((voter, request))
        self._count_votes(now_s)

    def _schedule_retry(
        self, now_s: float, *, is_prevote: bool, is_unanimous: bool
    ) -> None:
        """Sets when the election that begins now is followed by another."""
        settings = self._settings
        if is_unanimous and is_prevote:
            self._restart_poll_due_at_s = now_s + settings.restart_poll_s
            return
        retry_range_s = (settings.retry_min_s, settings.retry_max_s)
        if is_prevote:
            retry_range_s = (settings.prevote_min_s, settings.prevote_max_s)
        due_at_s = now_s + self._generator.uniform(*retry_range_s)
        self._election_due_at_s = due_at_s
        self._restart_poll_due_at_s = due_at_s

    def _on_request_vote(self, sender: str, message: RequestVote, now_s: float) -> None:
        is_log_up_to_date = (message.last_term, message.last_index) >= (
            self._log.last_term,
            self._log.last_index,
        )
        if message.is_prevote:
            granted = (
                is_log_up_to_date
                and message.term > self.term
                and self._may_vote(message, now_s)
            )
            term = message.term if granted else self.term
            if granted and sender < self._replica:
                self._rival_seen_at_s = now_s
        else:
            granted = is_log_up_to_date and self._hard_state.vote in ("", sender)
            term = self.term
            if granted:
                self._set_hard_state(HardState(term=self.term, vote=sender))
                self._reset_election_timer(now_s)
            else:
                _log.info(
                    "vote_refused",
                    replica=self._replica,
                    candidate=sender,
                    term=message.term,
                    voted_for=self._hard_state.vote,
                    has_newer_log=not is_log_up_to_date,
                )
        reply = VoteReply(term=term, granted=granted, is_prevote=message.is_prevote)
        self._after_sync.append((sender, reply))

    def _on_vote_reply(self, sender: str, message: VoteReply, now_s: float) -> None:
        if self._role is not Role.CANDIDATE or not message.granted:
            return
        expected_term = self.term + 1 if self._is_prevote else self.term
        if message.is_prevote != self._is_prevote or message.term != expected_term:
            return
        self._votes.add(sender)
        self._count_votes(now_s)

    def _count_votes(self, now_s: float) -> None:
        members = self._log.members
        needed = len(members.voters) if self._is_unanimous else members.quorum
        if len(self._votes.intersection(members.voters)) < needed:
            return
        if self._is_prevote:
            if now_s - self._rival_seen_at_s < self._settings.rival_deferral_s:
                return
            is_unanimous = self._is_unanimous
            self._start_election(now_s, is_prevote=False, is_unanimous=is_unanimous)
        else:
            self._become_leader(now_s)

    def _become_leader(self, now_s: float) -> None:
        _log.info("election_won", replica=self._replica, term=self.term)
        self._role = Role.LEADER
        self._has_known_leader = True
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
            self._set_hard_state(HardState(term=term, vote=""))
        if self._role is Role.LEADER or reset_timer:
            self._reset_election_timer(now_s)
        self._role = Role.FOLLOWER
        self._leader = None
        self._replication = None
        self._assembly = None

    def _reset_election_timer(self, now_s: float) -> None:
        self._election_due_at_s = now_s + self._generator.uniform(
            self._settings.election_min_s, self._settings.election_max_s
        )

    # Leader

    def _tick_leader(self, replication: Replication, now_s: float) -> None:
        if not replication.has_quorum_contact(now_s, self._settings.election_max_s):
            self._become_follower(self.term, now_s, reset_timer=True)
            return
        self._continue_membership_change(replication)
        self._transfer_if_due(now_s)
        self.flush(now_s)

    def flush(self, now_s: float) -> None:
        """Sends newly appended entries without waiting for the next tick."""
        if self._replication is not None:
            self._replication.sync_members(now_s)
            self._replication.broadcast(now_s, self._commit_index)

    def _continue_membership_change(self, replication: Replication) -> None:
        is_committed = self._log.members_index <= self._commit_index
        if not is_committed or self._log.term_at(self._commit_index) != self.term:
            return
        match_indexes = {
            name: progress.match_index
            for name, progress in replication.progress.items()
        }
        members = next_members(self._log.members, match_indexes, self._commit_index)
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
        index = replication.quorum_index(self._synced_index)
        if index <= self._commit_index or self._log.term_at(index) != self.term:
            return
        committed = self._log.slice(self._commit_index + 1, index - self._commit_index)
        self._commit_index = index
        proposers = [entry.proposer for entry in committed]
        replication.send_commit_index(proposers, index, now_s)

    # Follower

    def _follow(self, leader: str, now_s: float) -> None:
        self._role = Role.FOLLOWER
        self._leader = leader
        self._has_known_leader = True
        self._leader_heard_at_s = now_s
        self._reset_election_timer(now_s)

    def _on_append_entries(
        self, sender: str, message: AppendEntries, now_s: float
    ) -> None:
        self._follow(sender, now_s)
        previous_index = message.previous_index
        if previous_index < self._log.base_index:
            base_index = self._log.base_index
            self._reply_append(
                sender,
                accepted=True,
                match_index=base_index,
                sent_at_s=message.sent_at_s,
            )
            return
        if self._log.term_at(previous_index) != message.previous_term:
            hint = min(self._log.last_index + 1, previous_index)
            self._reply_append(
                sender,
                accepted=False,
                match_index=0,
                hint=hint,
                sent_at_s=message.sent_at_s,
            )
            return
        self._store_entries(message.entries)
        match_index = previous_index + len(message.entries)
        self._commit_index = max(self._commit_index, min(message.commit, match_index))
        self._reply_append(
            sender, accepted=True, match_index=match_index, sent_at_s=message.sent_at_s
        )

    def _store_entries(self, entries: list[LogEntry]) -> None:
        for entry in entries:
            if self._log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self._log.last_index:
                assert entry.index > self._commit_index
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
        match_index: int,
        hint: int = 0,
        sent_at_s: float = -math.inf,
    ) -> None:
        reply = AppendReply(
            term=self.term,
            accepted=accepted,
            match=match_index,
            hint=hint,
            sent_at_s=sent_at_s,
            promise_s=self._settings.election_min_s,
        )
        self._after_sync.append((leader, reply))

    def _on_install_snapshot(
        self, sender: str, message: InstallSnapshot, now_s: float
    ) -> None:
        self._follow(sender, now_s)
        if message.index <= self._commit_index:
            self._reply_append(sender, accepted=True, match_index=self._commit_index)
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
        self._commit_index = snapshot.index
        self._delivered_index = snapshot.index
        self._reply_append(leader, accepted=True, match_index=snapshot.index)

    # Pending work for the driver

    def _set_hard_state(self, hard: HardState) -> None:
        self._hard_state = hard
        self._hard_state_changed = True

    def _clear_ready(self) -> None:
        self._immediate: list[tuple[str, RaftMessage]] = []
        self._after_sync: list[tuple[str, RaftMessage]] = []
        self._to_persist: list[LogEntry] = []
        self._replies: list[ReplaceReply] = []
        self._truncate_from = 0
        self._hard_state_changed = False
        self._installed: Snapshot | None = None
