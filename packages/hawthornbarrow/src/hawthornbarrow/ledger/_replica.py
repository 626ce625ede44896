"""ReplicatedLedger: runs one replica as a curio task."""

import dataclasses
import random
import time

import curio
import structlog

from hawthornbarrow.clock import steady_s
from hawthornbarrow.ledger._commands import (
    Command,
    ExpireEntry,
    Forget,
    decode_command,
    encode_command,
)
from hawthornbarrow.ledger._ledger import (
    Applied,
    LeadershipGained,
    Ledger,
    LedgerFailed,
    LedgerStatus,
)
from hawthornbarrow.ledger._messages import (
    ForwardProposal,
    LogEntry,
    Members,
    ReplaceReplica,
    ReplaceReply,
    ReplicaEnvelope,
)
from hawthornbarrow.ledger._raft import RaftReplica
from hawthornbarrow.ledger._ready import RaftSettings, Ready, Role
from hawthornbarrow.ledger._state import EntryRecord, LedgerState
from hawthornbarrow.ledger._storage import (
    CorruptLogError,
    LedgerStorageError,
    Snapshot,
    Storage,
    StoredState,
)
from hawthornbarrow.ledger._transport import ReplicaTransport
from hawthornbarrow.links import Mailbox

ENTRY_LEASE_S = 1.2
CONFIGURATION_LEASE_S = 1.0
PROPOSAL_RETRY_INTERVAL_S = 0.5
PROPOSAL_BATCH_INTERVAL_S = 0.05
FORGET_INTERVAL_S = 60.0
REOPEN_INTERVAL_S = 0.5
SNAPSHOT_AFTER_ENTRIES = 5000
SNAPSHOT_AFTER_BYTES = 8 * 1024 * 1024
_TICK_INTERVAL_S = 0.04
_NUMBER_BITS = 48

_log = structlog.get_logger()


@dataclasses.dataclass(kw_only=True)
class _PendingProposal:
    command: bytes
    proposed_at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _ProposalRequest:
    number: int
    command: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class _ReplacementRequest:
    number: int
    old: str
    new: str
    is_stopping: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class _AdditionRequest:
    name: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _LearnerRemovalRequest:
    """Request to abort a membership change whose learner is lost."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _TermBoundProposal:
    term: int
    command: Command


@dataclasses.dataclass(frozen=True, kw_only=True)
class _ResignationRequest:
    """Request to lead no longer."""


class ReplicatedLedger(Ledger):
    """One replica with its storage and transport.

    Args:
        identity: Identity of this replica.
        storage: Durable storage of the replica.
        transport: Transport to the other replicas.
        events: Mailbox of the entry.
        generator: Seeded random generator for election timeouts.
        settings: Timing settings of the protocol.
        inactive_since_s: Time since which no process has run the replica; None for
            the current time.
    """

    def __init__(
        self,
        *,
        identity: str,
        storage: Storage,
        transport: ReplicaTransport,
        events: Mailbox,
        generator: random.Random,
        settings: RaftSettings | None = None,
        inactive_since_s: float | None = None,
    ) -> None:
        """Initializes the replica from its storage.

        Raises:
            LedgerStorageError: The storage cannot be read or is damaged.
        """
        self._identity = identity
        self._storage = storage
        self._settings = settings or RaftSettings()
        self._generator = generator
        self._transport = transport
        self._events = events
        self._inbox = Mailbox()
        self._state = LedgerState()
        self._next_number = generator.getrandbits(_NUMBER_BITS)
        self._pending_proposals: dict[int, _PendingProposal] = {}
        self._batched_proposals: list[_ProposalRequest] = []
        self._batch_proposed_at_s = 0.0
        self._forget_proposed_at_s = steady_s()
        self._expiry_proposed_at_s: dict[int, float] = {}
        self._stop_reason = ""
        self._is_resigning = False
        self._applied_bytes = 0
        self._applied_commit_index = -1
        self._was_leading = False
        stored = storage.load()
        self._raft = self._build_raft(
            stored, steady_s() if inactive_since_s is None else inactive_since_s
        )
        if stored.snapshot.data:
            self._state.restore(stored.snapshot.data)

    def _build_raft(self, stored: StoredState, inactive_since_s: float) -> RaftReplica:
        return RaftReplica(
            replica=self._identity,
            stored=stored,
            settings=self._settings,
            generator=self._generator,
            inactive_since_s=inactive_since_s,
            applied_index=self._state.applied,
        )

    @property
    def state(self) -> LedgerState:
        """The local state, as of the last applied command."""
        return self._state

    @property
    def status(self) -> LedgerStatus:
        """Status of this replica as shown to an operator."""
        members = self._raft.log.members
        replication = self._raft.replication
        progress = replication.progress if replication is not None else {}
        return LedgerStatus(
            replica=self._identity,
            role=self._raft.role.value,
            term=self._raft.term,
            leader=self._raft.leader or "",
            commit=self._raft.commit_index,
            applied=self._state.applied,
            voters=list(members.voters),
            learners=list(members.learners),
            leaving=members.leaving,
            matches={name: follower.match_index for name, follower in progress.items()},
            stopped=self._stop_reason,
        )

    @property
    def is_stopped(self) -> bool:
        """Whether its storage has failed and is not open again."""
        return bool(self._stop_reason)

    @property
    def term(self) -> int:
        """Current term of the replica."""
        return self._raft.term

    @property
    def members(self) -> Members:
        """Voters and learners, as this replica knows them."""
        return self._raft.log.members

    async def resign(self) -> None:
        """Transfers any leadership, now or gained later, as soon as possible."""
        await self._inbox.post(_ResignationRequest())

    def leads(self, now_s: float) -> bool:
        """Returns whether this replica holds the leader lease.

        While it does, no other replica can be the leader.
        """
        return not self._stop_reason and now_s < self._raft.lease_until_s(now_s)

    def is_caught_up(self) -> bool:
        """Returns whether all committed entries are applied to the state."""
        return self._applied_commit_index == self._raft.commit_index

    @property
    def leader_name(self) -> str:
        """Name of the entry whose replica is the leader, empty when unknown."""
        return (self._raft.leader or "").partition(".")[0]

    def has_quorum_contact(self, now_s: float) -> bool:
        """Returns whether a quorum was in contact within the configuration lease."""
        if self._stop_reason:
            return False
        return self._raft.has_quorum_contact(now_s, CONFIGURATION_LEASE_S)

    async def propose(self, command: Command, *, is_urgent: bool = True) -> int:
        """Proposes a command until it is committed; returns the proposal's number."""
        number = self._allocate_number()
        proposal = _ProposalRequest(number=number, command=encode_command(command))
        if is_urgent:
            await self._inbox.post(proposal)
        else:
            self._batched_proposals.append(proposal)
        return number

    async def propose_in_term(self, command: Command, term: int) -> None:
        """Proposes a command that must not take effect in a later term.

        The proposal is never retried. It is dropped unless this replica is the leader
        in the given term.
        """
        await self._inbox.post(_TermBoundProposal(term=term, command=command))

    async def replace(self, old: str, new: str, *, is_stopping: bool = False) -> int:
        """Asks the leader to replace a replica; returns the request's number.

        Args:
            old: Voter to remove.
            new: Replica to add.
            is_stopping: Whether the old voter's process is about to end. Only this
                replica, if it leads, replaces a voter that is still alive.
        """
        number = self._allocate_number()
        request = _ReplacementRequest(
            number=number, old=old, new=new, is_stopping=is_stopping
        )
        await self._inbox.post(request)
        return number

    async def add(self, new: str) -> None:
        """Starts the addition of a voter if this replica is the leader."""
        await self._inbox.post(_AdditionRequest(name=new))

    async def drop_learner(self) -> None:
        """Aborts a membership change whose learner is lost, if this replica leads."""
        await self._inbox.post(_LearnerRemovalRequest())

    async def run(self) -> None:
        """Runs the replica until cancelled.

        A replica whose storage fails stops, and starts again from what is stored, as
        in a restart of its process. It keeps its state, which has only commands that
        were committed, and the proposals that are not.
        """
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._transport.receive_into, self._inbox)
            await group.spawn(self._run_replica)

    async def _run_replica(self) -> None:
        while True:
            try:
                await self._take_part()
            except LedgerStorageError as error:
                await self._stop_until_reopened(str(error))

    async def _take_part(self) -> None:
        """Takes part in the group until the storage fails."""
        while True:
            items = await self._inbox.drain(timeout_s=_TICK_INTERVAL_S)
            now_s = steady_s()
            for item in items:
                await self._on_inbox_item(item, now_s)
            self._propose_batched(now_s)
            self._raft.tick(now_s)
            self._retry_proposals(now_s)
            self._run_maintenance(now_s)
            self._raft.flush(now_s)
            await self._process_ready()
            await self._report_leadership(steady_s())

    async def _stop_until_reopened(self, reason: str) -> None:
        """Stops the replica until its storage can be opened again."""
        self._stop_reason = reason
        self._was_leading = False
        stopped_at_s = steady_s()
        _log.error("ledger_stopped", replica=self._identity, reason=reason)
        await self._events.post(LedgerFailed(reason=reason))
        while self._stop_reason:
            await self._take_requests(until_s=steady_s() + REOPEN_INTERVAL_S)
            try:
                async with curio.disable_cancellation():
                    stored = await curio.run_in_thread(self._storage.load)
                await self._start_again(stored, stopped_at_s)
            except LedgerStorageError as error:
                _log.warning("replica_not_opened", reason=str(error))

    async def _take_requests(self, *, until_s: float) -> None:
        """Takes requests while the replica is stopped.

        Proposals wait until it runs again. Messages of other replicas are dropped.
        """
        while (left_s := until_s - steady_s()) > 0:
            for item in await self._inbox.drain(timeout_s=left_s):
                if isinstance(item, _ProposalRequest):
                    self._batched_proposals.append(item)
                elif isinstance(item, _ResignationRequest):
                    self._is_resigning = True

    async def _start_again(self, stored: StoredState, stopped_at_s: float) -> None:
        """Starts the replica from what is stored.

        Raises:
            CorruptLogError: Entries are missing that were stored and applied.
        """
        snapshot = stored.snapshot
        last_index = max(snapshot.index, *(e.index for e in stored.entries[-1:]), 0)
        if last_index < self._state.applied:
            raise CorruptLogError(
                f"the log ends at {last_index}, {self._state.applied} was applied"
            )
        if snapshot.index > self._state.applied and snapshot.data:
            # It was stored before the storage failed, but not restored.
            self._state.restore(snapshot.data)
            await self._events.post(
                Applied(index=0, command=None, outcome=None, number=0)
            )
        self._raft = self._build_raft(stored, stopped_at_s)
        if self._is_resigning:
            self._raft.resign(steady_s())
        self._applied_commit_index = -1
        self._stop_reason = ""
        _log.info(
            "replica_opened",
            replica=self._identity,
            stopped_s=round(steady_s() - stopped_at_s, 3),
            applied=self._state.applied,
            last=self._raft.log.last_index,
        )

    async def _report_leadership(self, now_s: float) -> None:
        """Lets the entry begin to dispatch without waiting for its next tick."""
        is_leading = self.leads(now_s) and self.is_caught_up()
        if is_leading and not self._was_leading:
            await self._events.post(LeadershipGained())
        self._was_leading = is_leading

    def _propose_batched(self, now_s: float) -> None:
        """Proposes the batched proposals together, once per interval."""
        if now_s - self._batch_proposed_at_s < PROPOSAL_BATCH_INTERVAL_S:
            return
        self._batch_proposed_at_s = now_s
        batch, self._batched_proposals = self._batched_proposals, []
        for proposal in batch:
            self._start_proposal(proposal, now_s)

    def _start_proposal(self, proposal: _ProposalRequest, now_s: float) -> None:
        self._pending_proposals[proposal.number] = _PendingProposal(
            command=proposal.command, proposed_at_s=now_s
        )
        self._try_proposal(proposal.number, proposal.command)

    async def _on_inbox_item(self, item: object, now_s: float) -> None:
        if isinstance(item, ReplicaEnvelope):
            self._raft.receive(item.sender, item.message, now_s)
        elif isinstance(item, _ProposalRequest):
            self._start_proposal(item, now_s)
        elif isinstance(item, _TermBoundProposal):
            if item.term == self._raft.term:
                self._propose_once(item.command)
        elif isinstance(item, _AdditionRequest):
            self._log_refusal(self._raft.add(item.name, now_s))
        elif isinstance(item, _LearnerRemovalRequest):
            self._log_refusal(self._raft.drop_learner())
        elif isinstance(item, _ReplacementRequest):
            await self._try_replacement(item, now_s)
        elif isinstance(item, _ResignationRequest):
            self._is_resigning = True
            self._raft.resign(now_s)

    async def _process_ready(self) -> None:
        """Carries out the pending work of the replica until there is none."""
        while True:
            ready = self._raft.take_ready()
            for receiver, message in ready.immediate:
                self._transport.send(receiver, message)
            await self._transport.flush()
            if ready.must_sync:
                async with curio.disable_cancellation():
                    await curio.run_in_thread(self._persist, ready)
                self._raft.on_persisted(steady_s())
            for receiver, message in ready.after_sync:
                self._transport.send(receiver, message)
            await self._transport.flush()
            if ready.installed is not None:
                self._state.restore(ready.installed.data)
                await self._events.post(
                    Applied(index=0, command=None, outcome=None, number=0)
                )
            for entry in ready.committed:
                await self._apply(entry)
            for reply in ready.replies:
                await self._events.post(reply)
            await self._compact_if_due()
            if not ready.must_sync and not ready.committed:
                self._applied_commit_index = self._raft.commit_index
                return

    def _persist(self, ready: Ready) -> None:
        if ready.hard_state is not None:
            self._storage.save_hard_state(ready.hard_state)
        if ready.snapshot is not None:
            self._storage.save_snapshot(ready.snapshot)
        if ready.truncate_from or ready.entries:
            self._storage.append(ready.truncate_from, ready.entries)

    async def _apply(self, entry: LogEntry) -> None:
        if not entry.command:
            return
        self._applied_bytes += len(entry.command)
        command = decode_command(entry.command)
        outcome = self._state.apply(entry.index, command)
        number = entry.number if entry.proposer == self._identity else 0
        was_pending = self._pending_proposals.pop(number, None) is not None
        await self._events.post(
            Applied(
                index=entry.index,
                command=command,
                outcome=outcome,
                number=number if was_pending else 0,
            )
        )

    async def _compact_if_due(self) -> None:
        log = self._raft.log
        is_long = self._state.applied - log.base_index >= SNAPSHOT_AFTER_ENTRIES
        if not is_long and self._applied_bytes < SNAPSHOT_AFTER_BYTES:
            return
        self._applied_bytes = 0
        snapshot: Snapshot = self._raft.create_snapshot(self._state.encode())
        async with curio.disable_cancellation():
            await curio.run_in_thread(self._storage.save_snapshot, snapshot)
        self._raft.compact(snapshot)

    def _allocate_number(self) -> int:
        number = self._next_number
        self._next_number += 1
        return number

    def _try_proposal(self, number: int, command: bytes) -> None:
        if self._raft.propose(proposer=self._identity, number=number, command=command):
            return
        leader = self._raft.leader
        if leader is not None:
            message = ForwardProposal(
                term=self._raft.term, number=number, command=command
            )
            self._transport.send(leader, message)

    def _retry_proposals(self, now_s: float) -> None:
        for number, proposal in self._pending_proposals.items():
            if now_s - proposal.proposed_at_s >= PROPOSAL_RETRY_INTERVAL_S:
                proposal.proposed_at_s = now_s
                self._try_proposal(number, proposal.command)

    def _log_refusal(self, reason: str) -> None:
        """Logs why a membership change was not started; the caller may retry it."""
        if reason:
            _log.info("members_unchanged", replica=self._identity, reason=reason)

    async def _try_replacement(self, item: _ReplacementRequest, now_s: float) -> None:
        leader = self._raft.leader
        if self._raft.role is not Role.LEADER and leader is not None:
            message = ReplaceReplica(
                term=self._raft.term, number=item.number, old=item.old, new=item.new
            )
            self._transport.send(leader, message)
            return
        reason = self._raft.replace(
            item.old, item.new, now_s, is_stopping=item.is_stopping
        )
        await self._events.post(
            ReplaceReply(term=self._raft.term, number=item.number, reason=reason)
        )

    def _run_maintenance(self, now_s: float) -> None:
        """Expires silent entries and old claims if this replica is the leader."""
        if self._raft.role is not Role.LEADER:
            return
        for entry in list(self._state.entries.values()):
            silent_s = now_s - self._heard_at_s(entry.name)
            if entry.is_alive and silent_s > ENTRY_LEASE_S:
                self._expire_entry(entry, now_s)
        if now_s - self._forget_proposed_at_s >= FORGET_INTERVAL_S:
            self._forget_proposed_at_s = now_s
            self._propose_once(Forget(before_s=time.time(), time_s=time.time()))

    def _expire_entry(self, entry: EntryRecord, now_s: float) -> None:
        proposed_at_s = self._expiry_proposed_at_s.get(
            entry.incarnation, -PROPOSAL_RETRY_INTERVAL_S
        )
        if now_s - proposed_at_s < PROPOSAL_RETRY_INTERVAL_S:
            return
        self._expiry_proposed_at_s[entry.incarnation] = now_s
        self._propose_once(ExpireEntry(name=entry.name, incarnation=entry.incarnation))

    def _heard_at_s(self, entry: str) -> float:
        if entry == self._identity.partition(".")[0]:
            return steady_s()
        replication = self._raft.replication
        if replication is None:
            return steady_s()
        heard_at_s = replication.leading_since_s
        for name, progress in replication.progress.items():
            if name.partition(".")[0] == entry:
                heard_at_s = max(heard_at_s, progress.heard_at_s)
        return heard_at_s

    def _propose_once(self, command: Command) -> None:
        """Proposes a command once, without retries.

        Maintenance proposes it again later if it is still needed.
        """
        self._raft.propose(proposer="", number=0, command=encode_command(command))
