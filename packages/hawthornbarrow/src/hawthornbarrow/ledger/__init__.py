"""Ledger: the project's own replicated log and the state that it carries."""

import typing

from hawthornbarrow.lazy import lazy_attributes
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
    decode_command,
    encode_command,
    job_id_of,
)
from hawthornbarrow.ledger._identity import (
    ReplicaIdentity,
    holds_ledger,
    initialise_folder,
    load_identity,
    store_initial_voters,
)
from hawthornbarrow.ledger._ledger import (
    Applied,
    LeadershipGained,
    Ledger,
    LedgerFailed,
    LedgerStatus,
)
from hawthornbarrow.ledger._link_transport import LinkReplicaTransport
from hawthornbarrow.ledger._messages import (
    AppendEntries,
    AppendReply,
    ForwardProposal,
    InstallSnapshot,
    LogEntry,
    Members,
    RaftMessage,
    ReplaceReplica,
    ReplicaEnvelope,
    RequestVote,
    SnapshotReply,
    VoteReply,
)
from hawthornbarrow.ledger._raft import RaftReplica
from hawthornbarrow.ledger._raft_log import RaftLog
from hawthornbarrow.ledger._ready import (
    FAST_TAKEOVER_SETTINGS,
    RaftSettings,
    Ready,
    Role,
)
from hawthornbarrow.ledger._replica import ReplicatedLedger
from hawthornbarrow.ledger._state import (
    AgentRecord,
    ClaimDecision,
    ClaimRecord,
    ConfigurationRecord,
    EntryRecord,
    EvacuationRecord,
    LedgerState,
    Outcome,
    PutRecord,
)
from hawthornbarrow.ledger._storage import (
    CorruptLogError,
    FileStorage,
    HardState,
    LedgerStorageError,
    Snapshot,
    Storage,
    StoredState,
)
from hawthornbarrow.ledger._transport import ReplicaTransport

if typing.TYPE_CHECKING:
    from hawthornbarrow.ledger._nng_transport import NngReplicaTransport

__all__ = [
    "FAST_TAKEOVER_SETTINGS",
    "AgentRecord",
    "AppendEntries",
    "AppendReply",
    "Applied",
    "ApplyConfiguration",
    "Claim",
    "ClaimRecord",
    "ClaimDecision",
    "Command",
    "Complete",
    "ConfigurationRecord",
    "CorruptLogError",
    "EntryRecord",
    "EvacuationRecord",
    "ExpireEntry",
    "FileStorage",
    "Forget",
    "ForwardProposal",
    "HardState",
    "InstallSnapshot",
    "Ledger",
    "LeadershipGained",
    "LedgerFailed",
    "LedgerState",
    "LedgerStatus",
    "LedgerStorageError",
    "LinkReplicaTransport",
    "LogEntry",
    "Members",
    "NngReplicaTransport",
    "NoOperation",
    "Outcome",
    "PutConfiguration",
    "PutRecord",
    "RaftLog",
    "RaftMessage",
    "RaftReplica",
    "RaftSettings",
    "Ready",
    "RegisterAgent",
    "RegisterEntry",
    "ReplaceReplica",
    "ReplicaEnvelope",
    "ReplicaIdentity",
    "ReplicaTransport",
    "ReplicatedLedger",
    "RequestVote",
    "RetireAgent",
    "SetEvacuation",
    "Role",
    "Snapshot",
    "SnapshotReply",
    "Storage",
    "StoredState",
    "VoteReply",
    "decode_command",
    "encode_command",
    "holds_ledger",
    "initialise_folder",
    "job_id_of",
    "load_identity",
    "store_initial_voters",
]

__getattr__ = lazy_attributes(__name__, {"NngReplicaTransport": "_nng_transport"})
