"""LedgerState: the deterministic state machine that applies commands."""

import enum
import hashlib
import uuid

import msgspec

from hawthornbarrow.ledger._commands import (
    ApplyConfiguration,
    Claim,
    Command,
    Complete,
    ExpireEntry,
    Forget,
    NoOperation,
    PutConfiguration,
    RegisterAgent,
    RegisterEntry,
    RetireAgent,
    SetEvacuation,
    job_id_of,
)

DEFAULT_RETENTION_S = 6 * 3600.0
MAX_EVACUATED = 256  # data centres at a time
_UUID_VERSION_7 = 7


class ClaimDecision(enum.StrEnum):
    """Decision about a claim."""

    GRANTED = "granted"
    EXISTING = "existing"
    MISMATCH = "mismatch"
    EXPIRED = "expired"
    NOT_MEMBER = "not_member"


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A claimed job.

    Attributes:
        job: Job id.
        member: Name of the member.
        key: Idempotency key.
        digest: Digest of the submitted body.
        owner: Name of the owning entry.
        incarnation: Incarnation of the owning entry.
        epoch: Ownership epoch, from one.
        index: Log index of the claim.
        repeatable: Whether the job's tasks may run again.
        task_count: Number of tasks.
        body: The submitted body if the caller does not wait, else empty.
        claimed_at_s: Wall-clock time of the claim.
        status: Final status, empty while the job is open.
        answer: Body of the answer if it is small enough, else empty.
        closed_at_s: Wall-clock time of the end, zero while open.
    """

    job: str
    member: str
    key: str
    digest: bytes
    owner: str
    incarnation: int
    epoch: int
    index: int
    repeatable: bool
    task_count: int
    body: bytes
    claimed_at_s: float
    status: str = ""
    answer: bytes = b""
    closed_at_s: float = 0.0


class EntryRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An entry of the fleet."""

    name: str
    incarnation: int
    address: str
    is_alive: bool


class AgentRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An agent, with the log indexes of its first and current incarnations.

    Attributes:
        name: Name of the agent.
        incarnation: Its incarnation.
        first_index: Log index at which it was registered first.
        index: Log index at which its incarnation was registered.
        worker: Encoded record of its worker's upstream, empty for none.
    """

    name: str
    incarnation: int
    first_index: int
    index: int
    worker: bytes = b""


class ConfigurationRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One accepted version of the configuration."""

    version: int
    document: bytes
    operator: str
    request: str
    time_s: float


class PutRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The configuration with the highest version that was put."""

    version: int = 0
    document: bytes = b""


class EvacuationRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The evacuated data centres.

    Attributes:
        revision: Number of orders that were accepted.
        data_centres: Names of the evacuated data centres.
    """

    revision: int = 0
    data_centres: tuple[str, ...] = ()


class _RequestRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    version: int
    winner: str
    accepted: bool
    time_s: float


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a command.

    Attributes:
        accepted: Whether the command took effect, now or when it was applied before.
        verdict: For a claim, the decision about it.
        claim: For a claim or completion, the record after the command.
        version: For a configuration, the version in force after the command.
        winner: For a configuration conflict, the operator who applied that version.
        moved: Jobs whose claims were reassigned to another owner.
        evacuation: For an evacuation, the evacuated data centres after the command.
    """

    accepted: bool
    verdict: ClaimDecision | None = None
    claim: ClaimRecord | None = None
    version: int = 0
    winner: str = ""
    moved: tuple[str, ...] = ()
    evacuation: EvacuationRecord = EvacuationRecord()


class _StateSnapshot(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Snapshot of the whole state."""

    claims: list[ClaimRecord]
    entries: list[EntryRecord]
    agents: list[AgentRecord]
    versions: list[ConfigurationRecord]
    requests: dict[str, _RequestRecord]
    clock_s: float
    applied: int
    put: PutRecord = PutRecord()
    evacuation: EvacuationRecord = EvacuationRecord()


class LedgerState:
    """Claims, fleet membership and configuration.

    Applying the same commands in the same order gives the same state on every
    replica, because no method reads a clock or draws a random number.

    Args:
        retention_s: Time for which closed claims are retained.
    """

    def __init__(self, *, retention_s: float = DEFAULT_RETENTION_S) -> None:
        """Initializes an empty state."""
        self._retention_s = retention_s
        self._claims: dict[str, ClaimRecord] = {}
        self._open_claims: dict[tuple[str, int], dict[str, None]] = {}
        self._entries: dict[str, EntryRecord] = {}
        self._agents: dict[str, AgentRecord] = {}
        self._versions: list[ConfigurationRecord] = []
        self._requests: dict[str, _RequestRecord] = {}
        self._put = PutRecord()
        self._evacuation = EvacuationRecord()
        self._clock_s = 0.0
        self._applied = 0

    @property
    def applied(self) -> int:
        """Log index of the last applied command."""
        return self._applied

    @property
    def claim_count(self) -> int:
        """Number of retained claims."""
        return len(self._claims)

    @property
    def entries(self) -> dict[str, EntryRecord]:
        """Entries by name."""
        return self._entries

    @property
    def agents(self) -> dict[str, AgentRecord]:
        """Agents by name."""
        return self._agents

    @property
    def versions(self) -> list[ConfigurationRecord]:
        """Accepted configurations, oldest first."""
        return self._versions

    @property
    def configuration(self) -> ConfigurationRecord | None:
        """The configuration in force, or None before the first."""
        return self._versions[-1] if self._versions else None

    @property
    def put(self) -> PutRecord:
        """The configuration with the highest version that was put."""
        return self._put

    @property
    def evacuation(self) -> EvacuationRecord:
        """The evacuated data centres."""
        return self._evacuation

    def claim(self, job: str) -> ClaimRecord | None:
        """Returns the claim of a job, if there is one."""
        return self._claims.get(job)

    def open_claims_of(self, owner: str, incarnation: int) -> list[ClaimRecord]:
        """Returns the open claims of one incarnation of an entry."""
        jobs = self._open_claims.get((owner, incarnation), {})
        return [self._claims[job] for job in jobs]

    def is_expired_key(self, key: str, now_s: float) -> bool:
        """Returns whether a key is a UUIDv7 that is older than the retention time."""
        created_s = _creation_time_s(key)
        return created_s is not None and created_s < now_s - self._retention_s

    def apply(self, index: int, command: Command) -> Outcome:
        """Applies the command at the given log index."""
        self._applied = index
        match command:
            case Claim():
                return self._claim(index, command)
            case Complete():
                return self._complete(command)
            case RegisterEntry():
                return self._register_entry(command)
            case ExpireEntry():
                return self._expire_entry(command)
            case RegisterAgent():
                return self._register_agent(index, command)
            case RetireAgent():
                return self._retire_agent(command)
            case ApplyConfiguration():
                return self._apply_configuration(command)
            case PutConfiguration():
                return self._put_configuration(command)
            case Forget():
                return self._forget(command)
            case SetEvacuation():
                return self._set_evacuation(command)
            case NoOperation():
                return Outcome(accepted=True)

    def encode(self) -> bytes:
        """Returns the state encoded as snapshot data."""
        snapshot = _StateSnapshot(
            claims=list(self._claims.values()),
            entries=list(self._entries.values()),
            agents=list(self._agents.values()),
            versions=self._versions,
            requests=self._requests,
            clock_s=self._clock_s,
            applied=self._applied,
            put=self._put,
            evacuation=self._evacuation,
        )
        return msgspec.msgpack.encode(snapshot)

    def restore(self, data: bytes) -> None:
        """Replaces the state by decoded snapshot data."""
        snapshot = msgspec.msgpack.decode(data, type=_StateSnapshot)
        self._claims = {claim.job: claim for claim in snapshot.claims}
        self._open_claims = {}
        for claim in snapshot.claims:
            if not claim.status:
                self._index_open_claim(claim)
        self._entries = {entry.name: entry for entry in snapshot.entries}
        self._agents = {agent.name: agent for agent in snapshot.agents}
        self._versions = list(snapshot.versions)
        self._requests = dict(snapshot.requests)
        self._clock_s = snapshot.clock_s
        self._applied = snapshot.applied
        self._put = snapshot.put
        self._evacuation = snapshot.evacuation

    def _claim(self, index: int, command: Claim) -> Outcome:
        self._clock_s = max(self._clock_s, command.time_s)
        job = job_id_of(command.member, command.key)
        known = self._claims.get(job)
        if known is not None:
            is_same = known.digest == command.digest
            verdict = ClaimDecision.EXISTING if is_same else ClaimDecision.MISMATCH
            return Outcome(accepted=is_same, verdict=verdict, claim=known)
        if self.is_expired_key(command.key, self._clock_s):
            return Outcome(accepted=False, verdict=ClaimDecision.EXPIRED)
        if not self._is_alive(command.owner, command.incarnation):
            return Outcome(accepted=False, verdict=ClaimDecision.NOT_MEMBER)
        record = ClaimRecord(
            job=job,
            member=command.member,
            key=command.key,
            digest=command.digest,
            owner=command.owner,
            incarnation=command.incarnation,
            epoch=1,
            index=index,
            repeatable=command.repeatable,
            task_count=command.task_count,
            body=command.body,
            claimed_at_s=command.time_s,
        )
        self._claims[job] = record
        self._index_open_claim(record)
        return Outcome(accepted=True, verdict=ClaimDecision.GRANTED, claim=record)

    def _complete(self, command: Complete) -> Outcome:
        self._clock_s = max(self._clock_s, command.time_s)
        known = self._claims.get(command.job)
        if known is None:
            return Outcome(accepted=False)
        if known.status:
            return Outcome(accepted=known.status == command.status, claim=known)
        if known.epoch != command.epoch:
            return Outcome(accepted=False, claim=known)
        record = msgspec.structs.replace(
            known,
            status=command.status,
            answer=command.answer,
            closed_at_s=command.time_s,
            body=b"",
        )
        self._claims[command.job] = record
        self._open_claims.get((known.owner, known.incarnation), {}).pop(
            command.job, None
        )
        return Outcome(accepted=True, claim=record)

    def _put_configuration(self, command: PutConfiguration) -> Outcome:
        if command.version > self._put.version:
            self._put = PutRecord(version=command.version, document=command.document)
        return Outcome(accepted=True, version=self._put.version)

    def _set_evacuation(self, command: SetEvacuation) -> Outcome:
        """Evacuates a data centre or withdraws its evacuation.

        An order for a state that already holds raises the revision too. Otherwise an
        older order for the opposite state, delayed since before it was accepted, could
        still take effect and override it.
        """
        current = self._evacuation
        names = set(current.data_centres)
        is_held = (command.data_centre in names) == command.is_evacuated
        if not is_held and command.expected_revision != current.revision:
            return Outcome(accepted=False, evacuation=current)
        if command.is_evacuated:
            names.add(command.data_centre)
        else:
            names.discard(command.data_centre)
        if len(names) > MAX_EVACUATED:
            return Outcome(accepted=False, evacuation=current)
        self._evacuation = EvacuationRecord(
            revision=current.revision + 1, data_centres=tuple(sorted(names))
        )
        return Outcome(accepted=True, evacuation=self._evacuation)

    def _register_entry(self, command: RegisterEntry) -> Outcome:
        self._entries[command.name] = EntryRecord(
            name=command.name,
            incarnation=command.incarnation,
            address=command.address,
            is_alive=True,
        )
        return Outcome(accepted=True, moved=self._reassign_orphaned_claims())

    def _expire_entry(self, command: ExpireEntry) -> Outcome:
        known = self._entries.get(command.name)
        if known is None or known.incarnation != command.incarnation:
            return Outcome(accepted=False)
        self._entries[command.name] = msgspec.structs.replace(known, is_alive=False)
        return Outcome(accepted=True, moved=self._reassign_orphaned_claims())

    def _register_agent(self, index: int, command: RegisterAgent) -> Outcome:
        known = self._agents.get(command.name)
        if known is not None and known.incarnation == command.incarnation:
            if known.worker != command.worker:
                self._agents[command.name] = msgspec.structs.replace(
                    known, worker=command.worker
                )
            return Outcome(accepted=True)
        self._agents[command.name] = AgentRecord(
            name=command.name,
            incarnation=command.incarnation,
            first_index=known.first_index if known else index,
            index=index,
            worker=command.worker,
        )
        return Outcome(accepted=True)

    def _retire_agent(self, command: RetireAgent) -> Outcome:
        known = self._agents.get(command.name)
        if known is None or known.incarnation != command.incarnation:
            return Outcome(accepted=False)
        del self._agents[command.name]
        return Outcome(accepted=True)

    def _apply_configuration(self, command: ApplyConfiguration) -> Outcome:
        self._clock_s = max(self._clock_s, command.time_s)
        previous = self._requests.get(command.request)
        if previous is not None:
            return Outcome(
                accepted=previous.accepted,
                version=previous.version,
                winner=previous.winner,
            )
        current = self.configuration
        version = current.version if current else 0
        accepted = command.expect_version == version
        winner = current.operator if current else ""
        if accepted:
            version += 1
            winner = command.operator
            self._versions.append(
                ConfigurationRecord(
                    version=version,
                    document=command.document,
                    operator=command.operator,
                    request=command.request,
                    time_s=command.time_s,
                )
            )
        self._requests[command.request] = _RequestRecord(
            version=version, winner=winner, accepted=accepted, time_s=command.time_s
        )
        return Outcome(accepted=accepted, version=version, winner=winner)

    def _forget(self, command: Forget) -> Outcome:
        self._clock_s = max(self._clock_s, command.time_s)
        before_s = min(command.before_s, self._clock_s - self._retention_s)
        expired = [
            job
            for job, claim in self._claims.items()
            if claim.status and claim.closed_at_s < before_s
        ]
        for job in expired:
            del self._claims[job]
        self._requests = {
            request: record
            for request, record in self._requests.items()
            if record.time_s >= before_s
        }
        return Outcome(accepted=True)

    def _is_alive(self, name: str, incarnation: int) -> bool:
        entry = self._entries.get(name)
        if entry is None:
            return False
        return entry.is_alive and entry.incarnation == incarnation

    def _index_open_claim(self, claim: ClaimRecord) -> None:
        owner = (claim.owner, claim.incarnation)
        self._open_claims.setdefault(owner, {})[claim.job] = None

    def _reassign_orphaned_claims(self) -> tuple[str, ...]:
        """Reassigns the open claims of dead entries to live entries.

        The new owner is chosen by rendezvous hashing (D. Thaler and C. Ravishankar,
        "Using Name-Based Mappings to Increase Hit Rates", 1998).
        """
        live_entries = [entry for entry in self._entries.values() if entry.is_alive]
        if not live_entries:
            return ()
        moved = []
        for owner in list(self._open_claims):
            if self._is_alive(*owner):
                continue
            for job in self._open_claims.pop(owner):
                new_owner = max(
                    live_entries, key=lambda entry: _rendezvous_weight(job, entry.name)
                )
                record = msgspec.structs.replace(
                    self._claims[job],
                    owner=new_owner.name,
                    incarnation=new_owner.incarnation,
                    epoch=self._claims[job].epoch + 1,
                )
                self._claims[job] = record
                self._index_open_claim(record)
                moved.append(job)
        return tuple(moved)


def _rendezvous_weight(job: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{job}\0{entry}".encode(), digest_size=8).digest()


def _creation_time_s(key: str) -> float | None:
    """Returns the creation time in a UUIDv7 key, or None for other keys."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != _UUID_VERSION_7:
        return None
    return (value.int >> 80) / 1000
