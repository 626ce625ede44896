"""Tests of replicas whose disks have no room for a while."""

import os
import pathlib
import random
import tempfile
import unittest
from unittest import mock

import curio

from hawthornbarrow.clock import steady_s
from hawthornbarrow.ledger import (
    Applied,
    FileStorage,
    HardState,
    LedgerFailed,
    LedgerStorageError,
    LogEntry,
    Members,
    PutConfiguration,
    RaftSettings,
    ReplicatedLedger,
    ReplicaTransport,
    Snapshot,
    store_initial_voters,
)
from hawthornbarrow.ledger._messages import ReplicaEnvelope
from hawthornbarrow.ledger.tests._full_disks import FullDisks
from hawthornbarrow.links import Mailbox

NAMES = ("a.1", "b.1", "c.1")
FULL_S = 1.0
COMMIT_S = 2.0  # in which a change is committed once all disks have room


def entry(index):
    return LogEntry(index=index, term=1, proposer="r", number=index, command=b"x" * 40)


class StorageTest(unittest.TestCase):
    """Tests a storage that is loaded again after an operation has failed."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name).resolve()
        self.storage = FileStorage(folder=self.folder)
        self.storage.load()
        self.addCleanup(self.storage.close)
        self.disks = FullDisks()
        self.enterContext(self.disks.active())
        self.storage.append(0, [entry(1), entry(2)])

    def fail(self, operation, *arguments):
        self.disks.folders.add(self.folder)
        with self.assertRaisesRegex(LedgerStorageError, "No space"):
            operation(*arguments)

    def load_with_room(self):
        self.disks.folders.clear()
        return self.storage.load()

    def check_appends(self, index):
        self.storage.append(0, [entry(index)])
        other = FileStorage(folder=self.folder)
        self.addCleanup(other.close)
        self.assertEqual(index, other.load().entries[-1].index)

    def test_partly_written_record_is_dropped_and_its_index_written_again(self):
        self.fail(self.storage.append, 0, [entry(3), entry(4)])
        stored = self.load_with_room()
        self.assertEqual([1, 2], [e.index for e in stored.entries])
        self.check_appends(3)

    def test_rewrite_that_runs_out_of_room_keeps_the_former_log(self):
        self.fail(self.storage.append, 2, [entry(2)])
        stored = self.load_with_room()
        self.assertEqual([1, 2], [e.index for e in stored.entries])
        self.check_appends(3)

    def test_snapshot_that_runs_out_of_room_loses_no_entries(self):
        members = Members(voters=("r",))
        snapshot = Snapshot(index=1, term=1, members=members, data=b"state")
        self.fail(self.storage.save_snapshot, snapshot)
        self.assertEqual(0, self.load_with_room().snapshot.index)
        self.check_appends(3)

    def test_term_that_runs_out_of_room_keeps_the_former_one(self):
        self.storage.save_hard_state(HardState(term=4, vote="r"))
        self.fail(self.storage.save_hard_state, HardState(term=5, vote="q"))
        self.assertEqual(HardState(term=4, vote="r"), self.load_with_room().hard)

    def test_storage_is_not_loaded_before_its_disk_has_room(self):
        self.fail(self.storage.append, 0, [entry(3)])
        for _ in range(3):
            self.fail(self.storage.load)
        self.load_with_room()
        self.check_appends(3)

    def test_descriptors_of_failed_operations_are_closed(self):
        """Guards against a process that runs out of descriptors on a full disk."""
        before = len(os.listdir("/proc/self/fd"))
        self.fail(self.storage.append, 2, [entry(2)])
        for _ in range(20):
            self.fail(self.storage.load)
        self.load_with_room()
        self.assertEqual(before, len(os.listdir("/proc/self/fd")))

    def test_entries_whose_sync_failed_are_written_anew(self):
        """Guards against entries that only the page cache has after a failed sync."""
        with (
            mock.patch.object(os, "fdatasync", side_effect=OSError(5, "io")),
            self.assertRaises(LedgerStorageError),
        ):
            self.storage.append(0, [entry(3)])
        inode = (self.folder / "log").stat().st_ino
        self.assertEqual(3, self.storage.load().entries[-1].index)
        self.assertNotEqual(inode, (self.folder / "log").stat().st_ino)

    def test_entries_of_a_process_that_was_killed_before_its_sync_are_synced(self):
        other = FileStorage(folder=self.folder)
        self.addCleanup(other.close)
        with mock.patch.object(os, "fdatasync") as sync:
            other.load()
        sync.assert_called_once()


class Network:
    """Delivers the messages of replicas within this process."""

    def __init__(self):
        self.inboxes = {}

    def transport(self, name):
        return _Transport(name, self)


class _Transport(ReplicaTransport):
    def __init__(self, name, network):
        self._name = name
        self._network = network
        self._unsent = []

    def send(self, receiver, message):
        envelope = ReplicaEnvelope(
            partition=0,
            sender=self._name,
            receiver=receiver,
            heard_age_s=0.0,
            message=message,
        )
        self._unsent.append(envelope)

    async def flush(self):
        unsent, self._unsent = self._unsent, []
        for envelope in unsent:
            if envelope.receiver in self._network.inboxes:
                await self._network.inboxes[envelope.receiver].post(envelope)

    async def receive_into(self, mailbox):
        self._network.inboxes[self._name] = mailbox
        await curio.Event().wait()

    def close(self):
        pass


class Group:
    """Three replicas with their folders in one process."""

    def __init__(self, folder, disks):
        self.folders = {name: folder / name for name in NAMES}
        self.disks = disks
        self.ledgers = {}
        self.events = {}
        self.tasks = []

    async def start(self):
        network = Network()
        for seed, (name, folder) in enumerate(self.folders.items()):
            folder.mkdir()
            store_initial_voters(folder, NAMES)
            self.events[name] = Mailbox()
            self.ledgers[name] = ReplicatedLedger(
                identity=name,
                storage=FileStorage(folder=folder),
                transport=network.transport(name),
                events=self.events[name],
                generator=random.Random(seed),
                settings=RaftSettings(),
            )
            task = await curio.spawn(self.ledgers[name].run, daemon=True)
            self.tasks.append(task)
        await self.change("a.1", 1)

    async def stop(self):
        for task in self.tasks:
            await task.cancel()

    async def change(self, name, version, timeout_s=10.0):
        """Changes the configuration at a replica; returns when that is committed."""
        put = PutConfiguration(version=version, document=b"%d" % version)
        number = await self.ledgers[name].propose(put)
        async with curio.timeout_after(timeout_s):
            while True:
                for event in await self.events[name].drain(timeout_s=0.1):
                    if isinstance(event, Applied) and event.number == number:
                        return

    def leader(self):
        now_s = steady_s()
        return next(n for n, ledger in self.ledgers.items() if ledger.leads(now_s))

    async def fill(self, name):
        """Leaves a disk without room for a while, and changes at all replicas."""
        self.disks.folders.add(self.folders[name])
        until_s = steady_s() + FULL_S
        version = self.newest_version
        while steady_s() < until_s:
            version += 1
            put = PutConfiguration(version=version, document=b"%d" % version)
            for ledger in self.ledgers.values():
                await ledger.propose(put)
            await curio.sleep(0.05)
        self.disks.folders.clear()

    @property
    def newest_version(self):
        return max(ledger.state.put.version for ledger in self.ledgers.values())


class FullDiskTest(unittest.TestCase):
    """Tests that replicas take part again once their disks have room."""

    def run_scenario(self, scenario):
        async def main():
            disks = FullDisks()
            with tempfile.TemporaryDirectory() as name, disks.active():
                group = Group(pathlib.Path(name).resolve(), disks)
                try:
                    await group.start()
                    await scenario(group)
                finally:
                    await group.stop()

        curio.run(main)

    def test_changes_are_committed_at_each_replica_after_each_disk_was_full(self):
        """Guards against replicas that stop for good with their first failed write."""

        async def scenario(group):
            acknowledged = {}
            for name in (*NAMES, NAMES[0]):
                failed = group.disks.failed_count
                await group.fill(name)
                self.assertGreater(group.disks.failed_count, failed, name)
                acknowledged[name] = group.newest_version
                for other in NAMES:
                    version = group.newest_version
                    self.assertGreaterEqual(version, acknowledged[name])
                    await group.change(other, version + 1, COMMIT_S)
            self.assertFalse(any(led.is_stopped for led in group.ledgers.values()))

        self.run_scenario(scenario)

    def test_full_disk_of_each_leader_in_turn_stops_no_changes(self):
        async def scenario(group):
            for _ in range(3):
                leader = group.leader()
                await group.fill(leader)
                for name in NAMES:
                    await group.change(name, group.newest_version + 1, COMMIT_S)

        self.run_scenario(scenario)

    def test_state_does_not_go_back_when_a_replica_starts_again(self):
        """Guards against an older configuration in force after a failed write."""

        async def scenario(group):
            await group.change("b.1", 7)
            ledger = group.ledgers["b.1"]
            while ledger.state.put.version < 7:
                await curio.sleep(0.01)
            group.disks.folders.add(group.folders["b.1"])
            await group.change("a.1", 8)
            while not ledger.is_stopped:
                await curio.sleep(0.01)
            group.disks.folders.clear()
            async with curio.timeout_after(COMMIT_S):
                while ledger.state.put.version < 8:
                    self.assertEqual(7, ledger.state.put.version)
                    await curio.sleep(0.005)
            kinds = [type(e) for e in await group.events["b.1"].drain(timeout_s=0)]
            self.assertIn(LedgerFailed, kinds)

        self.run_scenario(scenario)

    def test_proposal_at_a_stopped_replica_is_committed_once_it_runs_again(self):
        async def scenario(group):
            group.disks.folders.add(group.folders["c.1"])
            await group.change("a.1", 5)
            while not group.ledgers["c.1"].is_stopped:
                await curio.sleep(0.01)
            task = await curio.spawn(group.change, "c.1", 9, 5.0)
            await curio.sleep(0.3)
            group.disks.folders.clear()
            await task.join()
            self.assertEqual(9, group.newest_version)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
