"""Durable storage of one replica: term and vote, log, snapshot.

The log is one append-only file of records. Each record holds all entries of one
write, so a write that a crash interrupts leaves exactly one bad record at the end.
"""

import abc
import os
import pathlib
import struct
import zlib

import msgspec

from hawthornbarrow.ledger._files import (
    CorruptFileError,
    read_checked,
    sync_folder,
    write_atomically,
)
from hawthornbarrow.ledger._messages import LogEntry, Members

_RECORD_HEADER = struct.Struct("!II")
_HEADER_CHECKSUM = struct.Struct("!I")
_HEADER_BYTES = _RECORD_HEADER.size + _HEADER_CHECKSUM.size
_LOG_FILE = "log"
_HARD_STATE_FILE = "term"
_SNAPSHOT_FILE = "snapshot"


class LedgerStorageError(Exception):
    """A storage operation failed; nothing may be acknowledged after it."""


class CorruptLogError(LedgerStorageError):
    """Synced data is damaged: a checksum does not match or entries are missing."""


class HardState(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Current term of a replica and its vote in that term, empty for none."""

    term: int = 0
    vote: str = ""


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State of the ledger as of a log index.

    Attributes:
        index: Log index that the snapshot covers.
        term: Term of the entry at that index.
        members: Members as of that index.
        data: The encoded state.
    """

    index: int
    term: int
    members: Members
    data: bytes


class StoredState(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that a storage held when it was loaded."""

    hard: HardState
    snapshot: Snapshot
    entries: list[LogEntry]


class Storage(abc.ABC):
    """Durable storage of a replica.

    When a method returns, its effect is durable. After a LedgerStorageError the
    storage must be loaded again before it is used: the operation may have been
    carried out in part.
    """

    @abc.abstractmethod
    def load(self) -> StoredState:
        """Returns what is stored; it is durable when the method returns."""

    @abc.abstractmethod
    def save_hard_state(self, hard: HardState) -> None:
        """Stores term and vote."""

    @abc.abstractmethod
    def append(self, truncate_from: int, entries: list[LogEntry]) -> None:
        """Drops entries from an index on (zero for none), then appends entries."""

    @abc.abstractmethod
    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Stores a snapshot and drops the entries that it covers."""

    @abc.abstractmethod
    def close(self) -> None:
        """Releases the resources of the storage."""


class FileStorage(Storage):
    """Storage in the files of one folder.

    Args:
        folder: The replica's data folder.
    """

    def __init__(self, *, folder: pathlib.Path) -> None:
        """Stores the folder; nothing is opened before `load`."""
        self._folder = folder
        self._log_descriptor = -1
        self._entries: list[LogEntry] = []
        self._snapshot_index = 0
        self._has_failed = False

    def load(self) -> StoredState:
        """Returns what is stored, after truncating a write that was interrupted.

        After a failed operation the log is written anew. Data that a sync has failed
        to write may still be read from memory, and would count as durable.

        Raises:
            CorruptLogError: Data that was synced is damaged.
            LedgerStorageError: The folder cannot be read, or a file not be written.
        """
        self.close()
        try:
            stored = self._load_files()
            if self._has_failed:
                self._rewrite()
        except OSError as error:
            self.close()
            raise self._failure(error) from error
        except CorruptLogError:
            self.close()
            raise
        self._has_failed = False
        return stored

    def _load_files(self) -> StoredState:
        try:
            hard = self._load(_HARD_STATE_FILE, HardState, HardState())
            empty = Snapshot(index=0, term=0, members=Members(voters=()), data=b"")
            snapshot = self._load(_SNAPSHOT_FILE, Snapshot, empty)
            self._snapshot_index = snapshot.index
            entries = self._load_log()
        except CorruptFileError as error:
            raise CorruptLogError(f"{error}; {_REPAIR_ADVICE}") from error
        self._entries = [entry for entry in entries if entry.index > snapshot.index]
        self._check_contiguous()
        return StoredState(hard=hard, snapshot=snapshot, entries=list(self._entries))

    def save_hard_state(self, hard: HardState) -> None:
        """Stores term and vote."""
        try:
            write_atomically(
                self._folder / _HARD_STATE_FILE, msgspec.msgpack.encode(hard)
            )
        except OSError as error:
            raise self._failure(f"term and vote: {error}") from error

    def append(self, truncate_from: int, entries: list[LogEntry]) -> None:
        """Writes all entries with one sync."""
        try:
            if truncate_from:
                self._entries = [
                    entry for entry in self._entries if entry.index < truncate_from
                ]
                self._entries += entries
                self._rewrite()
                return
            self._entries += entries
            _write_all(self._log_descriptor, _encode_record(entries))
            os.fdatasync(self._log_descriptor)
        except OSError as error:
            raise self._failure(f"log: {error}") from error

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Stores a snapshot, then rewrites the log without the entries it covers."""
        try:
            write_atomically(
                self._folder / _SNAPSHOT_FILE, msgspec.msgpack.encode(snapshot)
            )
            overlaps = self._entries and (
                self._entries[0].index <= snapshot.index + 1
                and snapshot.index <= self._entries[-1].index
            )
            self._entries = [
                entry
                for entry in self._entries
                if overlaps and entry.index > snapshot.index
            ]
            self._snapshot_index = snapshot.index
            self._rewrite()
        except OSError as error:
            raise self._failure(f"snapshot: {error}") from error

    def close(self) -> None:
        """Closes the log file."""
        if self._log_descriptor >= 0:
            os.close(self._log_descriptor)
            self._log_descriptor = -1

    def _failure(self, reason: object) -> LedgerStorageError:
        """Returns the error of a failed operation, and records the failure."""
        self._has_failed = True
        return LedgerStorageError(str(reason))

    def _load(self, name: str, kind: type, default: object) -> object:
        path = self._folder / name
        if not path.exists():
            return default
        return msgspec.msgpack.decode(read_checked(path), type=kind)

    def _load_log(self) -> list[LogEntry]:
        path = self._folder / _LOG_FILE
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        self._log_descriptor = os.open(path, flags, 0o600)
        raw = path.read_bytes()
        entries: list[LogEntry] = []
        offset = 0
        while offset < len(raw):
            record = _decode_record(raw, offset)
            if record is None:
                self._truncate_torn_record(raw, offset)
                break
            record_entries, offset = record
            entries += record_entries
        os.fdatasync(self._log_descriptor)
        sync_folder(self._folder)
        return entries

    def _truncate_torn_record(self, raw: bytes, offset: int) -> None:
        """Truncates a torn record at the end; raises for damage before the end."""
        if not _is_last_write(raw, offset):
            raise CorruptLogError(
                f"{self._folder / _LOG_FILE}: damaged record at byte {offset} of "
                f"{len(raw)}, with more data behind it; {_REPAIR_ADVICE}"
            )
        os.ftruncate(self._log_descriptor, offset)
        os.fsync(self._log_descriptor)

    def _check_contiguous(self) -> None:
        expected = self._snapshot_index
        for entry in self._entries:
            expected += 1
            if entry.index != expected:
                raise CorruptLogError(
                    f"{self._folder / _LOG_FILE}: entry {entry.index}, "
                    f"expected {expected}; {_REPAIR_ADVICE}"
                )

    def _rewrite(self) -> None:
        """Replaces the log file by one that contains only the current entries."""
        temporary_path = self._folder / (_LOG_FILE + ".new")
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        descriptor = os.open(temporary_path, flags, 0o600)
        try:
            if self._entries:
                _write_all(descriptor, _encode_record(self._entries))
            os.fsync(descriptor)
            os.replace(temporary_path, self._folder / _LOG_FILE)
            sync_folder(self._folder)
        except OSError:
            os.close(descriptor)
            raise
        self.close()
        self._log_descriptor = descriptor


_REPAIR_ADVICE = (
    "keep the folder for inspection, start with an empty one and replace this "
    "replica with `ledger replace`"
)


def _encode_record(entries: list[LogEntry]) -> bytes:
    payload = msgspec.msgpack.encode(entries)
    header = _RECORD_HEADER.pack(len(payload), zlib.crc32(payload))
    return header + _HEADER_CHECKSUM.pack(zlib.crc32(header)) + payload


def _decode_record(raw: bytes, offset: int) -> tuple[list[LogEntry], int] | None:
    """Returns a record's entries and its end offset, or None when it is damaged."""
    if not _has_valid_header(raw, offset):
        return None
    size, checksum = _RECORD_HEADER.unpack_from(raw, offset)
    start = offset + _HEADER_BYTES
    payload = raw[start : start + size]
    if len(payload) < size or zlib.crc32(payload) != checksum:
        return None
    return msgspec.msgpack.decode(payload, type=list[LogEntry]), start + size


def _has_valid_header(raw: bytes, offset: int) -> bool:
    if offset + _HEADER_BYTES > len(raw):
        return False
    header = raw[offset : offset + _RECORD_HEADER.size]
    (checksum,) = _HEADER_CHECKSUM.unpack_from(raw, offset + _RECORD_HEADER.size)
    return zlib.crc32(header) == checksum


def _is_last_write(raw: bytes, offset: int) -> bool:
    """Returns whether a damaged record is the last write of the file.

    The size in a header is trusted only if the header's own checksum matches.
    Otherwise a flipped bit in the middle of the file could look like a torn write,
    and the records after it would be dropped.
    """
    if offset + _HEADER_BYTES > len(raw):
        return True
    if not _has_valid_header(raw, offset):
        return not any(raw[offset:])
    size, _ = _RECORD_HEADER.unpack_from(raw, offset)
    return offset + _HEADER_BYTES + size >= len(raw)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        written = os.write(descriptor, view)
        view = view[written:]
