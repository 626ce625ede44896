"""Tests of three entries and two agents with real links, in one curio kernel."""

import functools
import math
import pathlib
import tempfile
import unittest
from unittest import mock

import curio
from hawthornbarrow.cells import (
    NO_FEATURES,
    DispatcherHeartbeat,
    JobDocument,
    ListedEndedRun,
    ListedRun,
    Listing,
    LoadFeature,
    QueueLevel,
    Resources,
    RunLeaseTiming,
    RunOutcome,
    StartResponse,
    Step,
    SubmitJob,
    WorkerRecord,
    _resubmission,
    is_standby_term,
)
from hawthornbarrow.clock import steady_s
from hawthornbarrow.http import HttpServer, Response
from hawthornbarrow.ledger import LedgerStorageError
from hawthornbarrow.ledger.tests._full_disks import FullDisks
from hawthornbarrow.links import MessageReceived
from hawthornbarrow.queues import ConfigurationFormat, Queue, QueueTable, Service
from hawthornbarrow_agent.fleet import FleetAgent, FleetAgentSettings, UpstreamClient

from hawthornbarrow_entry.fleet import (
    CallerRequest,
    FleetEntry,
    FleetEntrySettings,
    LeaderUnavailableError,
    OutcomeKind,
    _process,
)
from hawthornbarrow_entry.fleet._process import STARTUP_WAIT_S
from hawthornbarrow_entry.fleet._readiness import READY_TIMEOUT_S
from hawthornbarrow_entry.tests._deployment import free_ports, unused_host

KEY = b"key"
TIMING = RunLeaseTiming(run_lease_s=1.0, stop_s=0.05)
RUN_S = 0.05
WAIT_TIMEOUT_S = 20.0
FULL_DISK_S = 1.5
LEFT_CALLER_COUNT = 500
ACKNOWLEDGEMENT_S = 2.0
GAP_FEATURES = frozenset({LoadFeature.GAP_WAITING})


class NumberFormat(ConfigurationFormat):
    """Decodes a document that consists of its version."""

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


class InMemoryUpstream(UpstreamClient):
    """Simulates an upstream whose runs take RUN_S."""

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

    async def renew_runs(
        self, upstream, term, acknowledged, lease_until_s, wait_s, born_ms=0
    ):
        await curio.sleep(0.01)
        now_s = steady_s()
        for task, (attempt, started_at_s) in list(self.runs.items()):
            if now_s - started_at_s >= RUN_S:
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
            upstream=upstream,
            asked_at_s=now_s,
            running=running,
            ended=ended,
            born_ms=born_ms,
        )


def document(name):
    step = Step(count=3, each=Resources(cpu=100), estimated_s=RUN_S)
    return JobDocument(job=name, queue="q", spec="", steps=(step,))


class Fleet:
    """Entries and agents with the curio tasks that run them."""

    def __init__(self, folder, agent_data_centres=("d0", "d0"), features=NO_FEATURES):
        self.folder = folder
        self.agent_data_centres = agent_data_centres
        self.features = features
        host = unused_host()
        self.addresses = [f"{host}:{port}" for port in free_ports(host, 3)]
        self.entries = {}
        self.tasks = {}
        self.upstreams = []

    async def start_entry(self, index, *, is_first, features=NO_FEATURES):
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
            features=features or self.features,
            resend_s=1.3,
        )
        entry = FleetEntry(settings=settings, configuration_format=NumberFormat())
        self.entries[index] = entry
        self.tasks[index] = await curio.spawn(entry.run, daemon=True)

    async def start_agent(self, index):
        upstream = InMemoryUpstream()
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
            data_centre=self.agent_data_centres[index],
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
        await self.propose(0, 1)
        await self.wait_until(lambda: all(e.is_ready for e in self.entries.values()))

    async def propose(self, index, version):
        """Proposes a version until it is acknowledged, as an operator does."""
        async with curio.timeout_after(WAIT_TIMEOUT_S):
            while True:
                try:
                    return await self.entries[index].propose_configuration(
                        version, str(version).encode()
                    )
                except LeaderUnavailableError:
                    await curio.sleep(0.1)

    async def wait_until(self, condition):
        async with curio.timeout_after(WAIT_TIMEOUT_S):
            while not condition():
                await curio.sleep(0.02)

    async def submit(self, index, name):
        """Submits a job until it completes, as a client does."""
        async with curio.timeout_after(WAIT_TIMEOUT_S):
            while True:
                outcome = await self.entries[index].submit(
                    document(name),
                    received_at_s=steady_s(),
                    timeout_s=WAIT_TIMEOUT_S,
                    is_abandoned=lambda: False,
                )
                if outcome.kind is OutcomeKind.COMPLETE:
                    return outcome
                await curio.sleep(0.1)

    def dispatching_index(self):
        return next(i for i, e in self.entries.items() if e.is_dispatching)

    async def stop(self):
        for task in self.tasks.values():
            await task.cancel()


class FleetProcessTest(unittest.TestCase):
    def run_scenario(self, scenario, features=NO_FEATURES):
        async def main():
            with tempfile.TemporaryDirectory() as folder:
                fleet = Fleet(pathlib.Path(folder), features=features)
                try:
                    await fleet.start()
                    await scenario(fleet)
                finally:
                    await fleet.stop()

        curio.run(main)

    def test_jobs_run_from_every_entry(self):
        async def scenario(fleet):
            for index in range(3):
                await fleet.submit(index, f"j{index}")
            started = [task for up in fleet.upstreams for task in up.started]
            self.assertEqual(9, len(started))
            self.assertEqual(9, len(set(started)))

        self.run_scenario(scenario)

    def test_configuration_comes_into_force_at_all_entries(self):
        async def scenario(fleet):
            self.assertEqual(5, await fleet.propose(1, 5))
            self.assertEqual(5, await fleet.propose(2, 3))
            for entry in fleet.entries.values():
                await fleet.wait_until(
                    lambda e=entry: e.states["configuration_version"] == 5
                )
                self.assertEqual(b"5", await entry.read_configuration())

        self.run_scenario(scenario)

    def test_cancel_during_a_takeover_is_confirmed_by_the_next_dispatcher(self):
        """Guards against confirmed cancels that end with the lost dispatcher."""

        async def scenario(fleet):
            lost = fleet.dispatching_index()
            owner, other = (index for index in fleet.entries if index != lost)
            steps = tuple(
                Step(
                    count=1,
                    each=Resources(cpu=100),
                    estimated_s=0.5,
                    after=(n - 1,) if n else (),
                )
                for n in range(20)
            )
            job = JobDocument(job="long", queue="q", spec="", steps=steps)
            task = await curio.spawn(
                functools.partial(
                    fleet.entries[owner].submit,
                    job,
                    received_at_s=steady_s(),
                    timeout_s=60.0,
                    is_abandoned=lambda: False,
                )
            )
            await curio.sleep(1.0)
            await fleet.tasks.pop(lost).cancel()
            del fleet.entries[lost]
            with self.assertRaises(LeaderUnavailableError):
                await fleet.entries[other].cancel("long", timeout_s=0.5)
            await fleet.entries[other].cancel("long")
            started = sum(len(upstream.started) for upstream in fleet.upstreams)
            outcome = await task.join()
            self.assertIs(OutcomeKind.CANCELLED, outcome.kind)
            await curio.sleep(1.5)
            self.assertEqual(
                started, sum(len(upstream.started) for upstream in fleet.upstreams)
            )

        with mock.patch(f"{__name__}.RUN_S", 0.4):
            self.run_scenario(scenario)

    def test_connections_of_callers_that_left_are_closed(self):
        """Guards against an entry that keeps a connection for each of them."""

        async def scenario(fleet):
            entry = fleet.entries[0]
            server = HttpServer(handler=functools.partial(self.submit_to, entry))
            host = unused_host()
            serving = await curio.spawn(server.serve, host, 0, daemon=True)
            while not server.bound_port:
                await curio.sleep(0.01)
            for batch in range(LEFT_CALLER_COUNT // 50):
                async with curio.TaskGroup() as group:
                    for number in range(50):
                        name = f"left-{batch}-{number}"
                        address = (host, server.bound_port)
                        await group.spawn(self.submit_and_leave, address, name)
            await fleet.wait_until(lambda: not server.active_requests)
            await fleet.wait_until(lambda: not server.open_connections)
            self.assertEqual({}, entry._outcome_events)
            self.assertEqual(0, entry.job_count)
            await serving.cancel()

        with mock.patch(f"{__name__}.RUN_S", 30.0):
            self.run_scenario(scenario)

    async def submit_to(self, entry, request):
        await entry.submit(
            document(request.path[1:]),
            received_at_s=steady_s(),
            timeout_s=60.0,
            is_abandoned=request.is_abandoned,
        )
        return Response(status=200)

    async def submit_and_leave(self, address, name):
        sock = await curio.open_connection(*address)
        async with sock:
            await sock.sendall(
                f"POST /{name} HTTP/1.1\r\nHost: h\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            await curio.sleep(0.03)

    def test_changes_are_acknowledged_after_each_disk_was_full_in_turn(self):
        """Guards against replicas that stop for good with their first failed write."""
        disks = FullDisks()

        async def scenario(fleet):
            version = 1
            for full in fleet.entries:
                disks.folders.add((fleet.folder / f"e{full}").resolve())
                until_s = steady_s() + FULL_DISK_S
                while steady_s() < until_s:
                    version += 1
                    await fleet.propose((full + 1) % 3, version)
                    await curio.sleep(0.1)
                self.assertTrue(disks.failed_count)
                disks.folders.clear()
                disks.failed_count = 0
            for index, entry in fleet.entries.items():
                version += 1
                async with curio.timeout_after(ACKNOWLEDGEMENT_S):
                    await fleet.propose(index, version)
                    await fleet.wait_until(lambda e=entry: e.has_replica)
                document = await entry.read_configuration()
                self.assertEqual(str(version).encode(), document)

        with disks.active():
            self.run_scenario(scenario)

    def test_another_entry_dispatches_after_dispatcher_is_lost(self):
        async def scenario(fleet):
            await fleet.submit(0, "before")
            lost_index = fleet.dispatching_index()
            await fleet.tasks.pop(lost_index).cancel()
            del fleet.entries[lost_index]
            other_index = min(fleet.entries)
            await fleet.submit(other_index, "after")
            self.assertEqual(1, await self.version(fleet.entries[other_index]))

        self.run_scenario(scenario)

    def test_jobs_run_while_ledger_has_no_majority(self):
        async def scenario(fleet):
            await fleet.submit(0, "before")
            for index in (1, 2):
                await fleet.tasks.pop(index).cancel()
                del fleet.entries[index]
            survivor = fleet.entries[0]
            await fleet.wait_until(lambda: is_standby_term(survivor.states["term"]))
            await fleet.submit(0, "during")
            with self.assertRaises(LeaderUnavailableError):
                await survivor.read_configuration()
            await fleet.start_entry(1, is_first=False)
            await fleet.wait_until(lambda: not is_standby_term(survivor.states["term"]))
            await fleet.submit(0, "after")
            started = [task for up in fleet.upstreams for task in up.started]
            self.assertEqual(9, len(set(started)))
            self.assertEqual(1, await self.version(survivor))

        self.run_scenario(scenario)

    def test_another_entry_dispatches_after_dispatcher_is_stopped(self):
        async def scenario(fleet):
            first_index = fleet.dispatching_index()
            await fleet.entries[first_index].stop()
            await fleet.wait_until(
                lambda: any(
                    e.is_dispatching
                    for i, e in fleet.entries.items()
                    if i != first_index
                )
            )
            await fleet.submit(first_index, "late")

        self.run_scenario(scenario)

    def test_callers_of_restarted_fleet_wait_for_first_dispatcher(self):
        async def scenario(fleet):
            for index in list(fleet.entries):
                await fleet.tasks.pop(index).cancel()
                del fleet.entries[index]
            for index in range(3):
                await fleet.start_entry(index, is_first=False)
            for entry in fleet.entries.values():
                self.assertEqual("q", (await entry.find_queue("h", "/q/j")).name)

        with mock.patch.object(_process, "STARTUP_WAIT_S", WAIT_TIMEOUT_S):
            self.run_scenario(scenario)

    def test_entry_without_dispatcher_refuses_after_startup_wait(self):
        async def scenario(fleet):
            for index in list(fleet.entries):
                await fleet.tasks.pop(index).cancel()
                del fleet.entries[index]
            await fleet.start_entry(0, is_first=False)
            began_at_s = steady_s()
            with self.assertRaises(LeaderUnavailableError):
                await fleet.entries[0].find_queue("h", "/q/j")
            self.assertLess(steady_s() - began_at_s, STARTUP_WAIT_S + 0.3)
            with self.assertRaises(LeaderUnavailableError):
                await fleet.entries[0].find_queue("h", "/q/j")
            self.assertLess(steady_s() - began_at_s, STARTUP_WAIT_S + 0.3)

        self.run_scenario(scenario)

    def test_requests_wait_for_a_restarted_fleet_as_long_as_their_callers_do(self):
        async def scenario(fleet):
            await self.stop_entries(fleet)
            await fleet.start_entry(0, is_first=False, features=GAP_FEATURES)
            entry = fleet.entries[0]
            self.assertTrue(entry.is_ready)
            patient = await curio.spawn(self.find_queue, entry, WAIT_TIMEOUT_S)
            leaving = await curio.spawn(self.find_queue, entry, 5.0, lambda: True)
            began_at_s = steady_s()
            with self.assertRaises(LeaderUnavailableError):
                await self.find_queue(entry, 0.5)
            self.assertLess(steady_s() - began_at_s, 0.5)
            with self.assertRaises(curio.TaskError):
                await leaving.join()
            self.assertEqual(1, entry.counts["gap_request_abandoned"])
            self.assertEqual(1, entry.states["waiting_requests"])
            for index in (1, 2):
                await fleet.start_entry(index, is_first=False, features=GAP_FEATURES)
            self.assertEqual("q", (await patient.join()).name)
            self.assertEqual(0, entry.states["waiting_requests"])

        self.run_scenario(scenario)

    def test_entry_that_stops_answers_requests_that_wait(self):
        async def scenario(fleet):
            await self.stop_entries(fleet)
            await fleet.start_entry(0, is_first=False, features=GAP_FEATURES)
            entry = fleet.entries[0]
            waiting = await curio.spawn(self.find_queue, entry, WAIT_TIMEOUT_S)
            await curio.sleep(0.1)
            await entry.drain(lambda: 0)
            with self.assertRaises(curio.TaskError):
                await waiting.join()
            self.assertEqual(1, entry.counts["gap_request_stopped"])

        self.run_scenario(scenario)

    def test_entry_that_stays_cut_off_leaves_the_rotation(self):
        async def scenario(fleet):
            await self.stop_entries(fleet)
            await fleet.start_entry(0, is_first=False, features=GAP_FEATURES)
            await curio.sleep(READY_TIMEOUT_S + 0.2)
            self.assertFalse(fleet.entries[0].is_ready)

        self.run_scenario(scenario)

    def test_new_dispatcher_learns_from_the_last_one_which_jobs_are_new(self):
        async def scenario(fleet):
            lost_index = fleet.dispatching_index()
            others = [e for i, e in fleet.entries.items() if i != lost_index]
            began_at_s = steady_s()
            for entry in others:
                await fleet.wait_until(lambda e=entry: new_before_s(e) > began_at_s)
            # The dispatcher goes on waiting for this agent.
            await fleet.tasks.pop("a0").cancel()
            await fleet.tasks.pop(lost_index).cancel()
            del fleet.entries[lost_index]
            await fleet.wait_until(lambda: any(e.is_dispatching for e in others))
            entry = next(e for e in others if e.is_dispatching)
            dispatcher = entry._dispatcher_role.dispatcher
            await fleet.wait_until(lambda: dispatcher._new_before_s > began_at_s)

        def new_before_s(entry):
            return entry._dispatcher_role._resubmission_bound.new_before_s

        with mock.patch.object(_resubmission, "LOST_ENTRY_WINDOW_S", 0.5):
            self.run_scenario(scenario, GAP_FEATURES)

    def test_entries_get_no_levels_while_jobs_of_a_lost_entry_may_come_again(self):
        async def scenario(fleet):
            role = fleet.entries[fleet.dispatching_index()]._dispatcher_role
            level = QueueLevel(queue="q", wait_s=9.0, retry_after_s=2.0)
            heartbeat = DispatcherHeartbeat(
                term=1, heard_at_s=0.0, version=1, levels=(level,)
            )
            known = role._complete_heartbeat(heartbeat, 0.1)
            unknown = role._complete_heartbeat(heartbeat, math.inf)
            self.assertEqual(((level,), ()), (known.levels, unknown.levels))

        self.run_scenario(scenario, GAP_FEATURES)

    async def stop_entries(self, fleet):
        for index in list(fleet.entries):
            await fleet.tasks.pop(index).cancel()
            del fleet.entries[index]

    async def find_queue(self, entry, timeout_s, is_abandoned=lambda: False):
        request = CallerRequest(
            received_at_s=steady_s(), timeout_s=timeout_s, is_abandoned=is_abandoned
        )
        return await entry.find_queue("h", "/q/j", request)

    def test_error_in_a_handler_costs_one_event_and_not_the_process(self):
        async def scenario(fleet):
            index = fleet.dispatching_index()
            entry = fleet.entries[index]
            message = SubmitJob(document=None, age_s=0.0, was_offered=False)
            await entry._mailbox.post(MessageReceived(peer="e9", message=message))
            await fleet.wait_until(lambda: entry.counts["event_failed"])
            await fleet.submit(index, "after")
            self.assertEqual(1, entry.counts["event_failed"])

        self.run_scenario(scenario)

    def test_stopping_entry_accepts_jobs_that_end_in_time(self):
        async def scenario(fleet):
            entry = fleet.entries[0]
            await entry.stop()
            now_s = steady_s()
            step = Step(count=1, each=Resources(cpu=100), estimated_s=1.0)
            long = JobDocument(job="l", queue="q", spec="", steps=(step,))
            answers = [
                (
                    entry._accepts_while_stopping(document("s"), at_s),
                    entry._accepts_while_stopping(long, at_s),
                )
                for at_s in (now_s + 1.0, now_s + 4.0, now_s + 5.4)
            ]
            expected = [(True, True), (True, False), (False, False)]
            self.assertEqual(expected, answers)

        self.run_scenario(scenario)

    def test_drained_entry_refuses_jobs_at_once(self):
        async def scenario(fleet):
            entry = fleet.entries[0]
            await entry.drain(lambda: 0)
            outcome = await entry.submit(
                document("late"),
                received_at_s=steady_s(),
                timeout_s=1.0,
                is_abandoned=lambda: False,
            )
            self.assertEqual(OutcomeKind.REFUSED, outcome.kind)

        self.run_scenario(scenario)

    def test_replica_with_empty_disk_becomes_voter_again(self):
        async def scenario(fleet):
            await fleet.propose(0, 7)
            lost_index = fleet.dispatching_index()
            await fleet.tasks.pop(lost_index).cancel()
            for path in (fleet.folder / f"e{lost_index}").iterdir():
                path.unlink()
            await fleet.start_entry(lost_index, is_first=False)
            restarted = fleet.entries[lost_index]
            await fleet.wait_until(
                lambda: restarted.states["configuration_version"] == 7
            )
            await fleet.wait_until(lambda: restarted.is_voter)

        self.run_scenario(scenario)

    def test_replica_is_reopened_after_failed_write(self):
        async def scenario(fleet):
            failing_index = fleet.dispatching_index()
            failing_entry = fleet.entries[failing_index]
            storage = failing_entry._replica.ledger._storage
            with mock.patch.object(
                storage, "append", side_effect=LedgerStorageError("no space left")
            ):
                other_index = next(i for i in fleet.entries if i != failing_index)
                await fleet.propose(other_index, 9)
                await fleet.wait_until(lambda: not failing_entry.has_replica)
            await fleet.wait_until(lambda: failing_entry.has_replica)
            await fleet.wait_until(
                lambda: failing_entry.states["configuration_version"] == 9
            )
            await fleet.submit(failing_index, "after")

        self.run_scenario(scenario)

    async def version(self, entry):
        while True:
            try:
                return int(await entry.read_configuration())
            except LeaderUnavailableError:
                await curio.sleep(0.1)
