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
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.folder = pathlib.Path(holder.name)
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

    def test_all_that_was_appended_is_loaded(self):
        self.write()
        self.storage.save_hard_state(HardState(term=4, vote="r"))
        stored = self.reload()
        self.assertEqual([e.index for e in stored.entries], [1, 2, 3, 4, 5, 6])
        self.assertEqual(stored.hard, HardState(term=4, vote="r"))

    def test_a_write_torn_at_any_byte_is_cut_and_nothing_before_it(self):
        self.write(2)
        whole = (self.folder / "log").read_bytes()
        second = len(whole) // 2
        for length in range(second, len(whole)):
            (self.folder / "log").write_bytes(whole[:length])
            self.assertEqual([e.index for e in self.reload().entries], [1, 2])
            self.assertEqual((self.folder / "log").stat().st_size, second)

    def test_a_flipped_byte_before_the_end_is_refused_with_advice(self):
        self.write(3)
        whole = (self.folder / "log").read_bytes()
        for position in range(len(whole) * 2 // 3):
            damaged = bytearray(whole)
            damaged[position] ^= 0xFF
            (self.folder / "log").write_bytes(bytes(damaged))
            with self.assertRaisesRegex(CorruptLogError, "ledger replace"):
                self.reload()

    def test_a_damaged_snapshot_or_vote_is_refused(self):
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

    def test_a_crash_between_snapshot_and_log_is_harmless(self):
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

    def test_a_failed_sync_or_a_full_disk_is_an_error(self):
        for name in ("fdatasync", "write"):
            with (
                mock.patch.object(os, name, side_effect=OSError(28, "no space")),
                self.assertRaisesRegex(LedgerStorageError, "no space"),
            ):
                self.storage.append(0, [entry(1)])


class IdentityTest(unittest.TestCase):
    def test_a_wiped_folder_gets_another_identity(self):
        with tempfile.TemporaryDirectory() as holder:
            folder = pathlib.Path(holder) / "r"
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
