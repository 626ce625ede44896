"""RaftLog: the in-memory log after the last snapshot."""

from hawthornbarrow.ledger._messages import LogEntry, Members
from hawthornbarrow.ledger._storage import Snapshot, StoredState


class RaftLog:
    """Log entries after a base index that a snapshot covers.

    Args:
        base_index: Index that the snapshot covers.
        base_term: Term of the entry at that index.
        base_members: Members as of that index.
        entries: Entries after that index.
    """

    def __init__(
        self,
        *,
        base_index: int,
        base_term: int,
        base_members: Members,
        entries: list[LogEntry],
    ) -> None:
        """Stores the entries."""
        self._base_index = base_index
        self._base_term = base_term
        self._base_members = base_members
        self._entries = entries
        self._member_changes = [
            entry.index for entry in entries if entry.members is not None
        ]

    @classmethod
    def from_stored(cls, stored: StoredState) -> "RaftLog":
        """Returns the log that was loaded from a storage."""
        return cls(
            base_index=stored.snapshot.index,
            base_term=stored.snapshot.term,
            base_members=stored.snapshot.members,
            entries=list(stored.entries),
        )

    @property
    def base_index(self) -> int:
        """Index that the snapshot covers."""
        return self._base_index

    @property
    def base_term(self) -> int:
        """Term of the entry at the base index."""
        return self._base_term

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def members(self) -> Members:
        """The latest members in the log, committed or not."""
        return self.members_at(self.last_index)

    @property
    def members_index(self) -> int:
        """Index of the latest membership change, or the base index."""
        return self._member_changes[-1] if self._member_changes else self._base_index

    def members_at(self, index: int) -> Members:
        """Returns the members as of an index."""
        for change in reversed(self._member_changes):
            if change <= index:
                members = self.entry(change).members
                assert members is not None
                return members
        return self._base_members

    def entry(self, index: int) -> LogEntry:
        """Returns the entry at an index after the base."""
        return self._entries[index - self._base_index - 1]

    def term_at(self, index: int) -> int | None:
        """Returns the term at an index, or None when the log does not hold it."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self.entry(index).term
        return None

    def slice(self, start: int, limit: int) -> list[LogEntry]:
        """Returns at most limit entries from the start index on."""
        offset = start - self._base_index - 1
        return self._entries[offset : offset + limit]

    def append(self, entry: LogEntry) -> None:
        """Appends the next entry."""
        assert entry.index == self.last_index + 1
        self._entries.append(entry)
        if entry.members is not None:
            self._member_changes.append(entry.index)

    def truncate(self, index: int) -> None:
        """Drops all entries from an index on."""
        del self._entries[index - self._base_index - 1 :]
        while self._member_changes and self._member_changes[-1] >= index:
            self._member_changes.pop()

    def compact(self, index: int) -> None:
        """Drops all entries up to an index that a snapshot covers."""
        if index <= self._base_index:
            return
        members = self.members_at(index)
        term = self.term_at(index)
        assert term is not None
        del self._entries[: index - self._base_index]
        self._base_index = index
        self._base_term = term
        self._base_members = members
        self._member_changes = [at for at in self._member_changes if at > index]

    def reset(self, index: int, term: int, members: Members) -> None:
        """Resets the log to the position of an installed snapshot."""
        self._entries = []
        self._member_changes = []
        self._base_index = index
        self._base_term = term
        self._base_members = members

    def snapshot(self, index: int, data: bytes) -> Snapshot:
        """Returns a snapshot of an encoded state as of an index in the log."""
        term = self.term_at(index)
        assert term is not None
        return Snapshot(
            index=index, term=term, members=self.members_at(index), data=data
        )
