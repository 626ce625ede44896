"""What a machine gives one process, and the share of it for each kind of port."""

import dataclasses
import enum

from hawthornbarrow.limits._handshake_budget import HANDSHAKE_CONNECTION_BYTES

_MIB = 1024 * 1024
_FILE_DESCRIPTORS = 264  # for files, links, the ledger and connections to upstreams


class PortKind(enum.Enum):
    """Who connects to a port.

    Each kind has parts of its own, so that callers can not use up what agents,
    operators and probes need.
    """

    CALLERS = "callers"
    OPERATORS = "operators"  # also upstreams that announce themselves to their agent
    PROBES = "probes"  # of a load balancer or a collector of metrics


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Share:
    """Parts of a machine for the ports of one kind.

    Attributes:
        connections: Part of the memory that connections take by being open.
        requests: Part of the memory for what requests and responses take beyond that.
        descriptors: Part of the descriptors for connections.
    """

    connections: float
    requests: float
    descriptors: float


# The rest is for the interpreter, the jobs, the links and the ledger.
_SHARES = {
    PortKind.CALLERS: _Share(connections=1 / 4, requests=1 / 8, descriptors=1 / 2),
    PortKind.OPERATORS: _Share(connections=1 / 32, requests=1 / 8, descriptors=1 / 16),
    PortKind.PROBES: _Share(connections=1 / 64, requests=1 / 64, descriptors=1 / 32),
}

_ANSWER_MEMORY_SHARE = 1 / 8
_HANDSHAKE_MEMORY_SHARE = 1 / 16
_HANDSHAKE_DESCRIPTOR_SHARE = 1 / 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class MachineLimits:
    """Limits of the machine on one process.

    Attributes:
        memory_bytes: Memory of the process, with what has arrived and is unread.
        descriptors: Open descriptors of the process.
    """

    memory_bytes: int = 512 * _MIB
    descriptors: int = 8192

    @property
    def answer_bytes(self) -> int:
        """Memory for the answers of jobs that have ended."""
        return int(self.memory_bytes * _ANSWER_MEMORY_SHARE)

    @property
    def handshakes(self) -> int:
        """Links of peers that have not proved the cluster key, at once."""
        usable = max(0, self.descriptors - _FILE_DESCRIPTORS)
        by_memory = int(self.memory_bytes * _HANDSHAKE_MEMORY_SHARE)
        return max(
            1,
            min(
                by_memory // HANDSHAKE_CONNECTION_BYTES,
                int(usable * _HANDSHAKE_DESCRIPTOR_SHARE),
            ),
        )

    def connection_bytes(self, kind: PortKind) -> int:
        """Returns the memory for open connections at one port of a kind."""
        return int(self.memory_bytes * _SHARES[kind].connections)

    def request_bytes(self, kind: PortKind) -> int:
        """Returns the memory for requests and responses at one port of a kind."""
        return int(self.memory_bytes * _SHARES[kind].requests)

    def connection_descriptors(self, kind: PortKind) -> int:
        """Returns the descriptors for connections at one port of a kind."""
        usable = max(0, self.descriptors - _FILE_DESCRIPTORS)
        return int(usable * _SHARES[kind].descriptors)
