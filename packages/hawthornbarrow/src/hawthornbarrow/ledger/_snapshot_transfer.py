"""Splitting of a snapshot into chunks and reassembly of the chunks."""

from hawthornbarrow.ledger._messages import InstallSnapshot
from hawthornbarrow.ledger._storage import Snapshot

SNAPSHOT_CHUNK_BYTES = 1024 * 1024


def snapshot_chunk(snapshot: Snapshot, offset: int, term: int) -> InstallSnapshot:
    """Returns the chunk of a snapshot that starts at the given offset."""
    return InstallSnapshot(
        term=term,
        index=snapshot.index,
        index_term=snapshot.term,
        members=snapshot.members,
        offset=offset,
        total=len(snapshot.data),
        data=snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES],
    )


class SnapshotAssembly:
    """Collects the chunks of one snapshot in order.

    Args:
        index: Log index that the snapshot covers.
    """

    def __init__(self, *, index: int) -> None:
        """Initializes an empty assembly."""
        self._index = index
        self._data = bytearray()

    @property
    def index(self) -> int:
        """Log index that the snapshot covers."""
        return self._index

    @property
    def received(self) -> int:
        """Number of bytes received in order."""
        return len(self._data)

    @property
    def data(self) -> bytes:
        """The bytes received so far."""
        return bytes(self._data)

    def add(self, chunk: InstallSnapshot) -> None:
        """Appends a chunk if it is the next one; ignores any other."""
        if chunk.offset == len(self._data):
            self._data += chunk.data
