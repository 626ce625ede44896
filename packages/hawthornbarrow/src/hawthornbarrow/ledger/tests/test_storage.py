import os
import pathlib
import tempfile
import unittest
from unittest import mock

from hawthornbarrow.ledger import (
    CorruptLogError,
    FileStorage,
    HardState,
    LedgerStorageError,
    LogEntry,
    Members,
    Snapshot,
    initialise_folder,
    load_identity,
)


def entry(index: int) -> LogEntry:
    return LogEntry(index=index, term=1, proposer="r", number=index, command=b"x" * 40)


class StorageTest(unittest.TestCase):
    def setUp(self):
        temporary_folder = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_folder.cleanup)
        self.folder = pathlib.Path(temporary_folder.name)
        self.storage = FileStorage(folder=self.folder)
        self.storage.load()
        self.addCleanup(self.storage.close)

    def reload(self):
        storage = FileStorage(folder=self.folder)
        self.addCleanup(storage.close)
        return storage.load()

    def write(self, batches=3):
        for batch in range(batches):
            first = batch * 2 + 1
            self.storage.append(0, [entry(first), entry(first + 1)])

    def test_appended_entries_and_hard_state_are_loaded(self):
        self.write()
        self.storage.save_hard_state(HardState(term=4, vote="r"))
        stored = self.reload()
        self.assertEqual([e.index for e in stored.entries], [1, 2, 3, 4, 5, 6])
        self.assertEqual(stored.hard, HardState(term=4, vote="r"))

    def test_write_torn_at_any_byte_is_truncated_and_previous_writes_stay(self):
        self.write(2)
        whole = (self.folder / "log").read_bytes()
        second = len(whole) // 2
        for length in range(second, len(whole)):
            (self.folder / "log").write_bytes(whole[:length])
            self.assertEqual([e.index for e in self.reload().entries], [1, 2])
            self.assertEqual((self.folder / "log").stat().st_size, second)

    def test_flipped_byte_before_the_last_record_raises_with_repair_advice(self):
        self.write(3)
        whole = (self.folder / "log").read_bytes()
        for position in range(len(whole) * 2 // 3):
            damaged = bytearray(whole)
            damaged[position] ^= 0xFF
            (self.folder / "log").write_bytes(bytes(damaged))
            with self.assertRaisesRegex(CorruptLogError, "ledger replace"):
                self.reload()

    def test_damaged_hard_state_raises(self):
        self.storage.save_hard_state(HardState(term=4, vote="r"))
        path = self.folder / "term"
        path.write_bytes(path.read_bytes()[:-1] + b"?")
        with self.assertRaises(CorruptLogError):
            self.reload()

    def test_truncation_and_snapshot_rewrite_the_log(self):
        self.write(3)
        self.storage.append(5, [entry(5)])
        members = Members(voters=("r",))
        snapshot = Snapshot(index=3, term=1, members=members, data=b"state")
        self.storage.save_snapshot(snapshot)
        stored = self.reload()
        self.assertEqual([e.index for e in stored.entries], [4, 5])
        self.assertEqual(stored.snapshot, snapshot)

    def test_crash_between_snapshot_and_log_rewrite_loses_no_entries(self):
        self.write(3)
        members = Members(voters=("r",))
        with (
            mock.patch.object(FileStorage, "_rewrite", side_effect=OSError(5, "io")),
            self.assertRaises(LedgerStorageError),
        ):
            self.storage.save_snapshot(
                Snapshot(index=4, term=1, members=members, data=b"s")
            )
        self.assertEqual([e.index for e in self.reload().entries], [5, 6])

    def test_failed_sync_or_write_raises(self):
        for name in ("fdatasync", "write"):
            with (
                mock.patch.object(os, name, side_effect=OSError(28, "no space")),
                self.assertRaisesRegex(LedgerStorageError, "no space"),
            ):
                self.storage.append(0, [entry(1)])


class IdentityTest(unittest.TestCase):
    def test_wiped_folder_gets_a_new_identity(self):
        with tempfile.TemporaryDirectory() as temporary_folder:
            folder = pathlib.Path(temporary_folder) / "r"
            initialise_folder(folder, "r", ["q", "r", "s"])
            self.assertEqual(str(load_identity(folder, "r")), "r.1")
            with self.assertRaises(FileExistsError):
                initialise_folder(folder, "r", ["q", "r", "s"])
            for file in folder.iterdir():
                file.unlink()
            self.assertNotEqual(str(load_identity(folder, "r")), "r.1")
            with self.assertRaisesRegex(ValueError, "belongs to r"):
                load_identity(folder, "other")


if __name__ == "__main__":
    unittest.main()
