"""Three entries and two agents, with real links on loopback, in one kernel."""

import pathlib
import socket
import tempfile
import unittest
from unittest import mock

import curio
from hawthornbarrow.cells import (
    JobDocument,
    ListedEndedRun,
    ListedRun,
    Listing,
    Resources,
    RunLeaseTiming,
    RunOutcome,
    StartResponse,
    Step,
    WorkerRecord,
    is_standby_term,
)
from hawthornbarrow.clock import steady_s
from hawthornbarrow.ledger import LedgerStorageError
from hawthornbarrow.queues import ConfigurationFormat, Queue, QueueTable, Service
from hawthornbarrow_agent.fleet import FleetAgent, FleetAgentSettings, UpstreamClient

from hawthornbarrow_entry.fleet import (
    FleetEntry,
    FleetEntrySettings,
    NotSureError,
    OutcomeKind,
)

KEY = b"key"
TIMING = RunLeaseTiming(run_lease_s=1.0, stop_s=0.05)
RUN_S = 0.05
PATIENCE_S = 20.0


class NumberFormat(ConfigurationFormat):
    """A document is just its version."""

    def decode(self, document):
        queue = Queue(
            name="q",
            host="h",
            prefix="/q/",
            service="s",
            max_attempts=3,
            slack_factor=2.0,
            objective_s=5.0,
        )
        return QueueTable(
            version=int(document), queues=[queue], services=[Service(name="s")]
        )


class MemoryUpstream(UpstreamClient):
    """Runs each task for RUN_S."""

    def __init__(self):
        self.runs = {}
        self.ended = []
        self.started = []

    def set_address(self, address):
        return None

    async def start(self, call, lease_until_s):
        task = str(call.order.task)
        self.started.append(task)
        self.runs[task] = (call.order.attempt, steady_s())
        return StartResponse.STARTED

    async def stop(self, call):
        self.runs.pop(str(call.task), None)
        return True

    async def hold(self, upstream, term, acknowledged, lease_until_s, wait_s):
        await curio.sleep(0.01)
        now_s = steady_s()
        for task, (attempt, began_s) in list(self.runs.items()):
            if now_s - began_s >= RUN_S:
                del self.runs[task]
                number = len(self.ended) + 1
                self.ended.append(
                    ListedEndedRun(
                        number=number, task=task, attempt=attempt, end=RunOutcome.DONE
                    )
                )
        running = [
            ListedRun(task=task, attempt=attempt, percent=now_s)
            for task, (attempt, _) in self.runs.items()
        ]
        ended = [end for end in self.ended if end.number > acknowledged]
        return Listing(
            upstream=upstream, asked_at_s=now_s, running=running, ended=ended
        )


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def document(name):
    step = Step(count=3, each=Resources(cpu=100), estimated_s=RUN_S)
    return JobDocument(job=name, queue="q", spec="", steps=(step,))


class Fleet:
    """Entries, agents and the tasks that run them."""

    def __init__(self, folder):
        self.folder = folder
        ports = free_ports(3)
        self.addresses = [f"127.0.0.1:{port}" for port in ports]
        self.entries = {}
        self.tasks = {}
        self.upstreams = []

    async def start_entry(self, index, *, is_first):
        name = f"e{index}"
        settings = FleetEntrySettings(
            name=name,
            address=self.addresses[index],
            data_centre=f"d{index}",
            data_dir=self.folder / name,
            is_first_start=is_first,
            seeds=tuple(self.addresses),
            tolerated_losses=1,
            timing=TIMING,
            cluster_key=KEY,
        )
        entry = FleetEntry(settings=settings, configuration_format=NumberFormat())
        self.entries[index] = entry
        self.tasks[index] = await curio.spawn(entry.run, daemon=True)

    async def start_agent(self, index):
        upstream = MemoryUpstream()
        settings = FleetAgentSettings(
            name=f"a{index}",
            seeds=tuple(self.addresses),
            timing=TIMING,
            cluster_key=KEY,
        )
        agent = FleetAgent(settings=settings, client=upstream)
        record = WorkerRecord(
            upstream=f"u{index}",
            service="s",
            data_centre="d0",
            labels=(),
            capacity=Resources(cpu=4000),
        )
        agent.announce(record, "x", False)
        self.upstreams.append(upstream)
        self.tasks[f"a{index}"] = await curio.spawn(agent.run, daemon=True)

    async def start(self):
        for index in range(3):
            await self.start_entry(index, is_first=True)
        for index in range(2):
            await self.start_agent(index)
        await self.offer(0, 1)
        await self.until(lambda: all(e.is_ready for e in self.entries.values()))

    async def offer(self, index, version):
        """Offers a version until it is acknowledged, as an operator does."""
        async with curio.timeout_after(PATIENCE_S):
            while True:
                try:
                    return await self.entries[index].offer_configuration(
                        version, str(version).encode()
                    )
                except NotSureError:
                    await curio.sleep(0.1)

    async def until(self, condition):
        async with curio.timeout_after(PATIENCE_S):
            while not condition():
                await curio.sleep(0.02)

    async def submit(self, index, name):
        """Submits a job until it is not refused or unknown, as a client does."""
        async with curio.timeout_after(PATIENCE_S):
            while True:
                outcome = await self.entries[index].submit(
                    document(name), limit_s=PATIENCE_S, is_abandoned=lambda: False
                )
                if outcome.kind is OutcomeKind.COMPLETE:
                    return outcome
                await curio.sleep(0.1)

    def leader(self):
        return next(i for i, e in self.entries.items() if e.is_dispatching)

    async def stop(self):
        for task in self.tasks.values():
            await task.cancel()


class FleetProcessTest(unittest.TestCase):
    def play(self, scenario):
        async def main():
            with tempfile.TemporaryDirectory() as folder:
                fleet = Fleet(pathlib.Path(folder))
                try:
                    await fleet.start()
                    await scenario(fleet)
                finally:
                    await fleet.stop()

        curio.run(main)

    def test_jobs_run_wherever_they_are_submitted(self):
        async def scenario(fleet):
            for index in range(3):
                await fleet.submit(index, f"j{index}")
            started = [task for up in fleet.upstreams for task in up.started]
            self.assertEqual(9, len(started))
            self.assertEqual(9, len(set(started)))

        self.play(scenario)

    def test_a_configuration_is_in_force_everywhere_and_read_back(self):
        async def scenario(fleet):
            self.assertEqual(5, await fleet.offer(1, 5))
            self.assertEqual(5, await fleet.offer(2, 3))
            for entry in fleet.entries.values():
                await fleet.until(
                    lambda e=entry: e.states["configuration_version"] == 5
                )
                self.assertEqual(b"5", await entry.read_configuration())

        self.play(scenario)

    def test_another_entry_dispatches_after_the_loss_of_the_first(self):
        async def scenario(fleet):
            await fleet.submit(0, "before")
            lost = fleet.leader()
            await fleet.tasks.pop(lost).cancel()
            del fleet.entries[lost]
            other = min(fleet.entries)
            await fleet.submit(other, "after")
            self.assertEqual(1, await self.version(fleet.entries[other]))

        self.play(scenario)

    def test_jobs_are_served_while_the_ledger_has_no_majority(self):
        async def scenario(fleet):
            await fleet.submit(0, "before")
            for index in (1, 2):
                await fleet.tasks.pop(index).cancel()
                del fleet.entries[index]
            survivor = fleet.entries[0]
            await fleet.until(lambda: is_standby_term(survivor.states["term"]))
            await fleet.submit(0, "during")
            with self.assertRaises(NotSureError):
                await survivor.read_configuration()
            await fleet.start_entry(1, is_first=False)
            await fleet.until(lambda: not is_standby_term(survivor.states["term"]))
            await fleet.submit(0, "after")
            started = [task for up in fleet.upstreams for task in up.started]
            self.assertEqual(9, len(set(started)))
            self.assertEqual(1, await self.version(survivor))

        self.play(scenario)

    def test_leadership_is_handed_on_by_an_entry_that_stops(self):
        async def scenario(fleet):
            first = fleet.leader()
            await fleet.entries[first].stop()
            await fleet.until(
                lambda: any(
                    e.is_dispatching for i, e in fleet.entries.items() if i != first
                )
            )
            await fleet.submit(first, "late")

        self.play(scenario)

    def test_a_stopping_entry_takes_what_ends_in_time(self):
        async def scenario(fleet):
            entry = fleet.entries[0]
            await entry.stop()
            now_s = steady_s()
            step = Step(count=1, each=Resources(cpu=100), estimated_s=1.0)
            long = JobDocument(job="l", queue="q", spec="", steps=(step,))
            answers = [
                (entry._may_finish(document("s"), at_s), entry._may_finish(long, at_s))
                for at_s in (now_s + 1.0, now_s + 4.0, now_s + 5.4)
            ]
            expected = [(True, True), (True, False), (False, False)]
            self.assertEqual(expected, answers)

        self.play(scenario)

    def test_an_entry_at_its_end_refuses_at_once(self):
        async def scenario(fleet):
            entry = fleet.entries[0]
            await entry.drain(lambda: 0)
            outcome = await entry.submit(
                document("late"), limit_s=1.0, is_abandoned=lambda: False
            )
            self.assertEqual(OutcomeKind.REFUSED, outcome.kind)

        self.play(scenario)

    def test_a_replica_with_an_empty_disk_is_taken_in_again(self):
        async def scenario(fleet):
            await fleet.offer(0, 7)
            lost = fleet.leader()
            await fleet.tasks.pop(lost).cancel()
            for path in (fleet.folder / f"e{lost}").iterdir():
                path.unlink()
            await fleet.start_entry(lost, is_first=False)
            back = fleet.entries[lost]
            await fleet.until(lambda: back.states["configuration_version"] == 7)
            await fleet.until(lambda: back.is_voter)

        self.play(scenario)

    def test_a_replica_comes_back_after_its_disk_refused_a_write(self):
        async def scenario(fleet):
            lost = fleet.leader()
            storage = fleet.entries[lost]._replica._storage
            with mock.patch.object(
                storage, "append", side_effect=LedgerStorageError("no space left")
            ):
                other = next(i for i in fleet.entries if i != lost)
                await fleet.offer(other, 9)
                keeper = fleet.entries[lost]._replica
                await fleet.until(lambda: keeper._storage is not storage)
            back = fleet.entries[lost]
            await fleet.until(lambda: back.has_replica)
            await fleet.until(lambda: back.states["configuration_version"] == 9)
            await fleet.submit(lost, "after")

        self.play(scenario)

    async def version(self, entry):
        while True:
            try:
                return int(await entry.read_configuration())
            except NotSureError:
                await curio.sleep(0.1)
