"""Commands: the operations on the ledger's state that log entries carry.

Every command is idempotent, so a proposer that got no reply proposes it again. Times
are wall-clock seconds of the proposer; the clock of the state never goes back.
"""

import hashlib

import msgspec

_JOB_ID_BYTES = 16


class _Command(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """Base class of all commands.

    Attributes:
        partition: Number of the Raft group that the command belongs to.
    """

    partition: int = 0


class NoOperation(_Command, kw_only=True):
    """Commits the entries of previous terms when a leader starts."""


class Claim(_Command, kw_only=True):
    """An entry claims a job before the job's first task starts.

    Attributes:
        member: Name of the member.
        key: Idempotency key, unique within the member.
        digest: Digest of the submitted body.
        owner: Name of the claiming entry.
        incarnation: Incarnation of the claiming entry.
        repeatable: Whether the job's tasks may run again.
        task_count: Number of tasks.
        body: The submitted body if the caller does not wait, else empty.
        time_s: Wall-clock time of the claim.
    """

    member: str
    key: str
    digest: bytes
    owner: str
    incarnation: int
    repeatable: bool
    task_count: int
    body: bytes
    time_s: float


class Complete(_Command, kw_only=True):
    """The owner records the final state of a job.

    Attributes:
        job: Job id.
        epoch: Ownership epoch of the owner; the command has no effect under another
            epoch.
        status: Final status.
        answer: Body of the answer if it is small enough, else empty.
        time_s: Wall-clock time of the end.
    """

    job: str
    epoch: int
    status: str
    answer: bytes
    time_s: float


class RegisterEntry(_Command, kw_only=True):
    """An entry joins, or rejoins as a new incarnation."""

    name: str
    incarnation: int
    address: str


class ExpireEntry(_Command, kw_only=True):
    """The leader has not heard from an entry for the duration of its lease."""

    name: str
    incarnation: int


class RegisterAgent(_Command, kw_only=True):
    """An agent joins, or rejoins as a new incarnation without its previous state.

    Attributes:
        name: Name of the agent.
        incarnation: Its incarnation.
        worker: Encoded record of its worker's upstream, empty for none.
    """

    name: str
    incarnation: int
    worker: bytes = b""


class RetireAgent(_Command, kw_only=True):
    """An agent leaves the fleet after it has delivered all its results."""

    name: str
    incarnation: int


class ApplyConfiguration(_Command, kw_only=True):
    """An operator replaces the configuration.

    Attributes:
        request: The operator's request id; a resend gets the outcome of the first
            request.
        expect_version: Version that the operator expects to be in force; another one
            is a conflict.
        document: The new configuration as JSON.
        operator: Name of the operator.
        time_s: Wall-clock time of the request.
    """

    request: str
    expect_version: int
    document: bytes
    operator: str
    time_s: float


class PutConfiguration(_Command, kw_only=True):
    """An operator puts a whole configuration; the highest version wins.

    Attributes:
        version: Version of the configuration.
        document: The configuration as the operator sent it.
    """

    version: int
    document: bytes


class SetEvacuation(_Command, kw_only=True):
    """An operator evacuates a data centre or withdraws its evacuation.

    Attributes:
        data_centre: Name of the data centre.
        is_evacuated: Whether it is to be evacuated.
        expected_revision: Revision of the evacuated data centres on which the order is
            based. Under another revision the command has no effect, so a delayed order
            never overrides a newer one. An order for a state that already holds is
            accepted under any revision.
    """

    data_centre: str
    is_evacuated: bool
    expected_revision: int


class Forget(_Command, kw_only=True):
    """Drops closed claims and operators' requests that are older than a given time."""

    before_s: float
    time_s: float


Command = (
    NoOperation
    | Claim
    | Complete
    | RegisterEntry
    | ExpireEntry
    | RegisterAgent
    | RetireAgent
    | ApplyConfiguration
    | PutConfiguration
    | Forget
    | SetEvacuation
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Returns the command as MessagePack."""
    return _ENCODER.encode(command)


def decode_command(data: bytes) -> Command:
    """Returns the command decoded from MessagePack."""
    return _DECODER.decode(data)


def job_id_of(member: str, key: str) -> str:
    """Returns the fleet-wide id of a member's job."""
    digest = hashlib.blake2b(digest_size=_JOB_ID_BYTES)
    digest.update(member.encode())
    digest.update(b"\0")
    digest.update(key.encode())
    return digest.hexdigest()
