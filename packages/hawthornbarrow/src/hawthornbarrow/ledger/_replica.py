"""ReplicatedLedger: the curio task that owns one replica."""

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
from hawthornbarrow.ledger._ledger import Applied, Ledger, LedgerFailed, LedgerStatus
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
from hawthornbarrow.ledger._storage import LedgerStorageError, Snapshot, Storage
from hawthornbarrow.ledger._transport import ReplicaTransport
from hawthornbarrow.links import Mailbox

ENTRY_LEASE_S = 1.2
CONFIGURATION_LEASE_S = 1.0
PROPOSAL_RETRY_S = 0.5
WAITING_INTERVAL_S = 0.05
FORGET_INTERVAL_S = 60.0
SNAPSHOT_AFTER_ENTRIES = 5000
SNAPSHOT_AFTER_BYTES = 8 * 1024 * 1024
_TICK_S = 0.04
_NUMBER_BITS = 48

_log = structlog.get_logger()


@dataclasses.dataclass(kw_only=True)
class _Proposal:
    command: bytes
    tried_at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _NewProposal:
    number: int
    command: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class _NewReplacement:
    number: int
    old: str
    new: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _NewVoter:
    name: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _LostLearner:
    """Give the change of members up."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _OneTermProposal:
    term: int
    command: Command


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Resignation:
    """Hand leadership on."""


class ReplicatedLedger(Ledger):
    """One replica with its storage and transport.

    Args:
        identity: Identity of this replica.
        storage: Where it keeps what must survive.
        transport: How it reaches the others.
        events: Mailbox of the entry.
        generator: Seeded source of election timeouts.
        settings: Times of the protocol.
        inactive_since_s: Time since which no process has run the replica; None for now.
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
        """Loads what is stored.

        Raises:
            LedgerStorageError: The storage can not be read or is damaged.
        """
        self._identity = identity
        self._storage = storage
        self._transport = transport
        self._events = events
        self._inbox = Mailbox()
        self._state = LedgerState()
        self._next_number = generator.getrandbits(_NUMBER_BITS)
        self._proposals: dict[int, _Proposal] = {}
        self._waiting: list[_NewProposal] = []
        self._took_waiting_at_s = 0.0
        self._forgot_at_s = steady_s()
        self._expired_at_s: dict[int, float] = {}
        self._stopped = ""
        self._applied_bytes = 0
        self._settled_index = -1
        stored = storage.load()
        self._raft = RaftReplica(
            replica=identity,
            stored=stored,
            settings=settings or RaftSettings(),
            generator=generator,
            inactive_since_s=steady_s()
            if inactive_since_s is None
            else inactive_since_s,
        )
        if stored.snapshot.data:
            self._state.restore(stored.snapshot.data)

    @property
    def state(self) -> LedgerState:
        """The local state."""
        return self._state

    @property
    def status(self) -> LedgerStatus:
        """What an operator sees of this replica."""
        members = self._raft.log.members
        replication = self._raft.replication
        progress = replication.progress if replication is not None else {}
        return LedgerStatus(
            replica=self._identity,
            role=self._raft.role.value,
            term=self._raft.term,
            leader=self._raft.leader or "",
            commit=self._raft.commit,
            applied=self._state.applied,
            voters=list(members.voters),
            learners=list(members.learners),
            leaving=members.leaving,
            matches={name: entry.match for name, entry in progress.items()},
            stopped=self._stopped,
        )

    @property
    def term(self) -> int:
        """Current term of the replica."""
        return self._raft.term

    @property
    def members(self) -> Members:
        """Voters and learners, as this replica knows them."""
        return self._raft.log.members

    async def resign(self) -> None:
        """Hands leadership on, if this replica leads, and stays a follower."""
        await self._inbox.post(_Resignation())

    def leads(self, now_s: float) -> bool:
        """Tells whether no other replica can lead now."""
        return not self._stopped and now_s < self._raft.lease_until_s(now_s)

    def is_caught_up(self) -> bool:
        """Tells whether all that is committed is applied to the state."""
        return self._settled_index == self._raft.commit

    @property
    def leader_name(self) -> str:
        """Name of the entry whose replica leads, empty when unknown."""
        return (self._raft.leader or "").partition(".")[0]

    def has_quorum_contact(self, now_s: float) -> bool:
        """Tells whether a quorum was in touch within the configuration lease."""
        if self._stopped:
            return False
        return self._raft.has_quorum_contact(now_s, CONFIGURATION_LEASE_S)

    async def propose(self, command: Command, *, is_urgent: bool = True) -> int:
        """Proposes a command; it is tried again until it is committed."""
        number = self._take_number()
        proposal = _NewProposal(number=number, command=encode_command(command))
        if is_urgent:
            await self._inbox.post(proposal)
        else:
            self._waiting.append(proposal)
        return number

    async def propose_in_term(self, command: Command, term: int) -> None:
        """Proposes a command that may not take effect after a later leader began.

        It is never tried again: without the lead in that term it is dropped.
        """
        await self._inbox.post(_OneTermProposal(term=term, command=command))

    async def replace(self, old: str, new: str) -> int:
        """Asks the leader to replace a replica."""
        number = self._take_number()
        await self._inbox.post(_NewReplacement(number=number, old=old, new=new))
        return number

    async def add(self, new: str) -> None:
        """Makes a replica one voter more, if this replica leads."""
        await self._inbox.post(_NewVoter(name=new))

    async def drop_learner(self) -> None:
        """Gives a change of members up whose new replica is lost, if this one leads."""
        await self._inbox.post(_LostLearner())

    async def run(self) -> None:
        """Serves the replica until cancelled or until its storage fails."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._transport.receive_into, self._inbox)
            await group.spawn(self._serve)

    async def _serve(self) -> None:
        try:
            while True:
                items = await self._inbox.drain(timeout_s=_TICK_S)
                now_s = steady_s()
                for item in items:
                    await self._take(item, now_s)
                self._take_waiting(now_s)
                self._raft.tick(now_s)
                self._retry_proposals(now_s)
                self._keep_house(now_s)
                self._raft.flush(now_s)
                await self._settle()
        except LedgerStorageError as error:
            self._stopped = str(error)
            _log.error("ledger_stopped", replica=self._identity, reason=str(error))
            await self._events.post(LedgerFailed(reason=str(error)))

    def _take_waiting(self, now_s: float) -> None:
        """Proposes what waited, together, once an interval."""
        if now_s - self._took_waiting_at_s < WAITING_INTERVAL_S:
            return
        self._took_waiting_at_s = now_s
        waiting, self._waiting = self._waiting, []
        for proposal in waiting:
            self._start_proposal(proposal, now_s)

    def _start_proposal(self, proposal: _NewProposal, now_s: float) -> None:
        self._proposals[proposal.number] = _Proposal(
            command=proposal.command, tried_at_s=now_s
        )
        self._try_proposal(proposal.number, proposal.command)

    async def _take(self, item: object, now_s: float) -> None:
        if isinstance(item, ReplicaEnvelope):
            self._raft.receive(item.sender, item.message, now_s)
        elif isinstance(item, _NewProposal):
            self._start_proposal(item, now_s)
        elif isinstance(item, _OneTermProposal):
            if item.term == self._raft.term:
                self._propose_once(item.command)
        elif isinstance(item, _NewVoter):
            self._note_refusal(self._raft.add(item.name, now_s))
        elif isinstance(item, _LostLearner):
            self._note_refusal(self._raft.drop_learner())
        elif isinstance(item, _NewReplacement):
            await self._try_replacement(item, now_s)
        elif isinstance(item, _Resignation):
            self._raft.transfer(now_s)

    async def _settle(self) -> None:
        """Carries out what the replica asks for, until it asks for nothing."""
        while True:
            ready = self._raft.take_ready()
            for receiver, message in ready.immediate:
                self._transport.send(receiver, message)
            await self._transport.flush()
            if ready.must_sync:
                async with curio.disable_cancellation():
                    await curio.run_in_thread(self._persist, ready)
                self._raft.persisted(steady_s())
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
                self._settled_index = self._raft.commit
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
        is_first = self._proposals.pop(number, None) is not None
        await self._events.post(
            Applied(
                index=entry.index,
                command=command,
                outcome=outcome,
                number=number if is_first else 0,
            )
        )

    async def _compact_if_due(self) -> None:
        log = self._raft.log
        is_long = self._state.applied - log.base_index >= SNAPSHOT_AFTER_ENTRIES
        if not is_long and self._applied_bytes < SNAPSHOT_AFTER_BYTES:
            return
        self._applied_bytes = 0
        snapshot: Snapshot = self._raft.snapshot_at(self._state.encode())
        async with curio.disable_cancellation():
            await curio.run_in_thread(self._storage.save_snapshot, snapshot)
        self._raft.compact(snapshot)

    def _take_number(self) -> int:
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
        for number, proposal in self._proposals.items():
            if now_s - proposal.tried_at_s >= PROPOSAL_RETRY_S:
                proposal.tried_at_s = now_s
                self._try_proposal(number, proposal.command)

    def _note_refusal(self, reason: str) -> None:
        """Logs why a change of members was not begun; it is tried again if need be."""
        if reason:
            _log.info("members_unchanged", replica=self._identity, reason=reason)

    async def _try_replacement(self, item: _NewReplacement, now_s: float) -> None:
        leader = self._raft.leader
        if self._raft.role is not Role.LEADER and leader is not None:
            message = ReplaceReplica(
                term=self._raft.term, number=item.number, old=item.old, new=item.new
            )
            self._transport.send(leader, message)
            return
        reason = self._raft.replace(item.old, item.new, now_s)
        await self._events.post(
            ReplaceReply(term=self._raft.term, number=item.number, reason=reason)
        )

    def _keep_house(self, now_s: float) -> None:
        """Expires silent entries and old claims, at the leader."""
        if self._raft.role is not Role.LEADER:
            return
        for entry in list(self._state.entries.values()):
            silent_s = now_s - self._heard_at_s(entry.name)
            if entry.is_alive and silent_s > ENTRY_LEASE_S:
                self._expire(entry, now_s)
        if now_s - self._forgot_at_s >= FORGET_INTERVAL_S:
            self._forgot_at_s = now_s
            self._propose_once(Forget(before_s=time.time(), time_s=time.time()))

    def _expire(self, entry: EntryRecord, now_s: float) -> None:
        tried_at_s = self._expired_at_s.get(entry.incarnation, -PROPOSAL_RETRY_S)
        if now_s - tried_at_s < PROPOSAL_RETRY_S:
            return
        self._expired_at_s[entry.incarnation] = now_s
        self._propose_once(ExpireEntry(name=entry.name, incarnation=entry.incarnation))

    def _heard_at_s(self, entry: str) -> float:
        if entry == self._identity.partition(".")[0]:
            return steady_s()
        replication = self._raft.replication
        if replication is None:
            return steady_s()
        heard_at_s = replication.since_s
        for name, progress in replication.progress.items():
            if name.partition(".")[0] == entry:
                heard_at_s = max(heard_at_s, progress.heard_at_s)
        return heard_at_s

    def _propose_once(self, command: Command) -> None:
        """Proposes without a retry; the next round proposes again if need be."""
        self._raft.propose(proposer="", number=0, command=encode_command(command))
