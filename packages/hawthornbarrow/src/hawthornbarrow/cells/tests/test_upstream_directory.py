"""Tests of upstreams that restart under their id, and of the directory of upstreams."""

import random
import unittest

import msgspec

from hawthornbarrow.cells import (
    AnnouncementOrder,
    AttachWorker,
    DispatcherHeartbeat,
    JobState,
    ListedRun,
    Listing,
    LoadFeature,
    Resources,
    RunLeaseTiming,
    RunOutcome,
    RunSupervisor,
    StartCall,
    StartOrder,
    StartResponse,
    StartTasks,
    StopCall,
    TaskKey,
    WorkerRecord,
    WorkerReport,
    decode_worker,
    encode_worker,
    first_term,
)
from hawthornbarrow.cells.tests._cell_simulation import (
    CAPACITY,
    CellSimulation,
    make_job,
)

TIMING = RunLeaseTiming(run_lease_s=1.0, stop_s=0.05)
TERM = first_term(1)
TASK = TaskKey(job="j", step=0, index=0)
DIRECTORY = frozenset({LoadFeature.UPSTREAM_DIRECTORY})
SEEDS = range(24)
FAULT_COUNT = 16


def record_of(born_ms=1000, *, upstream="u", service="s", cpu=8000):
    return WorkerRecord(
        upstream=upstream,
        service=service,
        data_centre="d",
        labels=("r1",),
        capacity=Resources(cpu=cpu),
        born_ms=born_ms,
    )


class _AgentTestCase(unittest.TestCase):
    """Plays the dispatcher and the upstream of an agent that has just started."""

    def setUp(self):
        self.now_s = 10.0
        self.agent = RunSupervisor(
            timing=TIMING,
            generator=random.Random(1),
            now_s=self.now_s,
            features=DIRECTORY,
        )
        self.session = 0
        self.attach_requests = []
        self.reports = []

    def heartbeat(self, known_worker=None, *, term=TERM):
        message = DispatcherHeartbeat(
            term=term,
            heard_at_s=self.now_s,
            version=1,
            session=self.session,
            known_worker=known_worker,
        )
        self.agent.on_heartbeat("d", message, self.now_s)
        self.take_messages()

    def take_messages(self):
        for _, message in self.agent.take_messages():
            if isinstance(message, AttachWorker):
                self.attach_requests.append(message)
                self.session = message.session
            elif isinstance(message, WorkerReport):
                self.reports.append(message)

    def list_runs(self, born_ms=1000, tasks=(), *, asked_at_s=None, upstream="u"):
        listing = Listing(
            upstream=upstream,
            asked_at_s=self.now_s if asked_at_s is None else asked_at_s,
            running=[ListedRun(task=str(task), attempt=1, percent=0) for task in tasks],
            ended=[],
            born_ms=born_ms,
        )
        self.agent.on_listing(listing, self.now_s)
        self.take_messages()

    def attach(self, record=None):
        self.agent.announce(record or record_of(), False, self.now_s)
        self.heartbeat()
        self.list_runs()
        self.heartbeat()

    def start(self):
        order = StartOrder(task=TASK, attempt=1, spec="", needs=Resources(cpu=1000))
        message = StartTasks(term=TERM, session=self.session, orders=[order])
        self.agent.on_orders(message, self.now_s)
        (call,) = self.agent.take_calls()
        self.assertIsInstance(call, StartCall)
        return call

    def tick(self, seconds=0.05):
        self.now_s += seconds
        self.agent.tick(self.now_s)
        self.take_messages()
        return self.agent.take_calls()


class KnownUpstreamTest(_AgentTestCase):
    """Tests when an agent attaches with the worker that the directory lists."""

    def test_listing_of_the_known_incarnation_attaches_it_at_once(self):
        self.heartbeat(record_of())
        self.assertEqual([], self.attach_requests)
        self.assertTrue(self.agent.may_poll(self.now_s))
        self.list_runs()
        (request,) = self.attach_requests
        self.assertEqual((record_of(), TERM), (request.worker, request.term))
        self.assertEqual(1, self.agent.counts["upstream_recognized"])

    def test_nothing_is_attached_before_a_listing(self):
        for _ in range(20):
            self.now_s += 0.05
            self.heartbeat(record_of())
        self.assertEqual([], self.attach_requests)

    def test_unknown_runs_are_stopped_before_the_known_upstream_is_attached(self):
        self.heartbeat(record_of())
        self.list_runs(tasks=[TASK])
        self.assertEqual([], self.attach_requests)
        (stop,) = self.agent.take_calls()
        self.assertEqual(("u", 1000, TERM), (stop.upstream, stop.born_ms, stop.term))
        self.now_s += 0.1
        self.list_runs(tasks=[TASK])
        self.assertEqual([], self.attach_requests)
        self.now_s += 0.1
        self.list_runs()
        self.assertEqual(1, len(self.attach_requests))

    def test_other_incarnation_is_not_attached_with_the_known_record(self):
        for born_ms in (2000, 999, 0):
            with self.subTest(born_ms=born_ms):
                self.setUp()
                self.heartbeat(record_of())
                self.list_runs(born_ms)
                self.heartbeat(record_of())
                self.assertEqual([], self.attach_requests)
                self.assertFalse(self.agent.may_poll(self.now_s))
                self.assertEqual(1, self.agent.counts["known_upstream_rejected"])

    def test_rejected_record_does_not_hide_the_announcement(self):
        self.heartbeat(record_of())
        self.list_runs(2000)
        self.agent.announce(record_of(2000, cpu=4000), False, self.now_s)
        self.list_runs(2000)
        (request,) = self.attach_requests
        self.assertEqual(record_of(2000, cpu=4000), request.worker)

    def test_known_upstream_that_is_gone_is_not_asked_again(self):
        self.heartbeat(record_of())
        self.agent.on_upstream_gone(record_of().incarnation, self.now_s)
        self.heartbeat(record_of())
        self.assertFalse(self.agent.may_poll(self.now_s))

    def test_listing_of_an_earlier_term_proves_nothing(self):
        self.heartbeat(record_of())
        asked_at_s = self.now_s
        self.now_s += 0.1
        self.heartbeat(record_of(), term=first_term(2))
        self.list_runs(asked_at_s=asked_at_s)
        self.assertEqual([], self.attach_requests)
        self.list_runs()
        self.assertEqual(first_term(2), self.attach_requests[0].term)

    def test_recognized_upstream_is_listed_again_for_a_new_dispatcher(self):
        self.heartbeat(record_of())
        self.list_runs()
        asked_at_s = self.now_s
        self.now_s += 0.1
        self.heartbeat(term=first_term(2))
        self.list_runs(asked_at_s=asked_at_s)
        self.assertEqual(1, len(self.attach_requests))
        self.now_s += 0.1
        self.list_runs()
        self.assertEqual(first_term(2), self.attach_requests[1].term)

    def test_announcement_of_the_recognized_upstream_corrects_its_capacity(self):
        self.heartbeat(record_of())
        self.list_runs()
        self.heartbeat()
        self.agent.announce(record_of(cpu=4000), False, self.now_s)
        self.tick()
        self.assertEqual(1, len(self.attach_requests))
        self.assertEqual(Resources(cpu=4000), self.reports[-1].capacity)

    def test_agent_without_the_feature_ignores_the_known_worker(self):
        self.agent = RunSupervisor(
            timing=TIMING, generator=random.Random(1), now_s=self.now_s
        )
        self.heartbeat(record_of())
        self.assertFalse(self.agent.may_poll(self.now_s))


class IncarnationTest(_AgentTestCase):
    """Tests upstreams that restart under the same id."""

    def setUp(self):
        super().setUp()
        self.attach()
        self.attach_requests.clear()

    def test_late_announcement_of_a_former_incarnation_is_dropped(self):
        self.assertTrue(self.agent.announce(record_of(2000), False, self.now_s))
        self.assertFalse(self.agent.announce(record_of(1000), False, self.now_s))
        self.assertFalse(self.agent.announce(record_of(500), False, self.now_s))
        self.assertEqual("u@2000", self.agent.upstream)

    def test_late_listing_of_a_former_incarnation_is_dropped(self):
        self.agent.announce(record_of(2000), False, self.now_s)
        self.list_runs(1000)
        self.assertEqual([], self.attach_requests)
        self.list_runs(2000)
        self.assertEqual(2000, self.attach_requests[0].worker.born_ms)

    def test_announcement_without_its_start_is_of_the_current_incarnation(self):
        self.assertTrue(self.agent.announce(record_of(0), False, self.now_s))
        self.assertEqual("u@1000", self.agent.upstream)
        self.assertTrue(self.agent.is_attached)

    def test_numbers_of_ended_runs_start_anew_with_an_incarnation(self):
        self.agent.announce(record_of(2000), False, self.now_s)
        self.assertEqual(0, self.agent.acknowledged)

    def test_start_that_may_have_reached_the_next_incarnation_is_fenced(self):
        """Guards against a second run elsewhere beside one of a misdirected start."""
        call = self.start()
        self.agent.announce(record_of(2000), False, self.now_s)
        self.agent.on_start_response(call, StartResponse.STARTED, self.now_s)
        (stop,) = self.tick()
        self.assertEqual((TASK, 1, 2000), (stop.task, stop.attempt, stop.born_ms))
        self.list_runs(2000)
        self.heartbeat()
        self.assertEqual([], self.attach_requests)
        self.agent.on_stop_response(stop, True, self.now_s)
        self.list_runs(2000)
        self.assertEqual([], self.attach_requests)
        self.tick(0.06)
        self.list_runs(2000)
        (request,) = self.attach_requests
        self.assertEqual([RunOutcome.LOST], [run.end for run in request.ended])
        self.assertEqual("u@1000", request.ended[0].crashed_upstream)

    def test_unconfirmed_stop_is_repeated(self):
        self.start()
        self.agent.announce(record_of(2000), False, self.now_s)
        (stop,) = self.tick()
        self.agent.on_stop_response(stop, False, self.now_s)
        self.assertEqual([stop], self.tick(0.3))

    def test_stop_confirmed_by_the_former_incarnation_fences_nothing(self):
        self.start()
        self.agent.announce(record_of(2000), False, self.now_s)
        (stop,) = self.tick()
        former = StopCall(upstream="u", task=TASK, attempt=1, term=TERM, born_ms=1000)
        self.agent.on_stop_response(former, True, self.now_s)
        self.tick(0.06)
        self.list_runs(2000)
        self.assertEqual([], self.attach_requests)
        self.assertEqual([stop], self.tick(0.3))

    def test_loss_waits_for_open_start_calls_to_the_same_id(self):
        call = self.start()
        self.agent.on_upstream_gone("u@1000", self.now_s)
        self.heartbeat()
        self.assertEqual([], self.attach_requests)
        self.agent.on_start_response(call, StartResponse.GONE, self.now_s)
        self.now_s += 0.1
        self.heartbeat()
        self.assertIsNone(self.attach_requests[0].worker)

    def test_restart_seen_in_a_listing_waits_for_the_announced_capacity(self):
        """Guards against runs beyond a capacity that is smaller after the restart."""
        self.list_runs(2000)
        self.assertIsNone(self.attach_requests[0].worker)
        self.agent.announce(record_of(2000, cpu=1000), False, self.now_s)
        self.take_messages()
        self.assertEqual(Resources(cpu=1000), self.attach_requests[1].worker.capacity)

    def test_no_start_call_is_made_between_a_broken_call_and_the_next_listing(self):
        self.assertTrue(self.agent.may_start(self.now_s))
        self.agent.on_call_broken("u@1000", self.now_s)
        self.assertFalse(self.agent.may_start(self.now_s))
        self.list_runs()
        self.assertTrue(self.agent.may_start(self.now_s))

    def test_announcement_of_another_service_is_ignored(self):
        self.agent.announce(record_of(), False, self.now_s)
        other = record_of(2000, upstream="v", service="t")
        self.assertFalse(self.agent.announce(other, False, self.now_s))
        self.assertEqual("u@1000", self.agent.upstream)

    def test_labels_that_were_missing_at_first_become_known(self):
        unlabelled = msgspec.structs.replace(record_of(2000), labels=())
        self.agent.announce(unlabelled, False, self.now_s)
        self.list_runs(2000)
        self.heartbeat()
        self.agent.announce(record_of(2000), False, self.now_s)
        self.take_messages()
        labels = [request.worker.labels for request in self.attach_requests]
        self.assertEqual([(), ("r1",)], labels)

    def test_remaining_time_of_a_leaving_upstream_is_reported_as_it_passes(self):
        self.agent.announce(record_of(), True, self.now_s, remaining_s=2.0)
        self.tick()
        self.assertAlmostEqual(1.95, self.reports[-1].remaining_s)
        reports = len(self.reports)
        self.now_s += 0.3
        self.agent.announce(record_of(), True, self.now_s, remaining_s=1.65)
        self.tick()
        self.assertEqual(reports, len(self.reports))
        self.agent.announce(record_of(), True, self.now_s, remaining_s=5.0)
        self.tick()
        self.assertAlmostEqual(4.95, self.reports[-1].remaining_s)


class AnnouncementOrderTest(unittest.TestCase):
    """Tests which announcements are out of date."""

    def setUp(self):
        self.order = AnnouncementOrder()

    def test_sequence_starts_anew_with_an_incarnation(self):
        self.assertTrue(self.order.is_newer("u", 1000, 50))
        self.assertFalse(self.order.is_newer("u", 1000, 50))
        self.assertTrue(self.order.is_newer("u", 2000, 1))
        self.assertFalse(self.order.is_newer("u", 1000, 51))

    def test_delayed_withdrawal_does_not_withdraw_the_next_incarnation_for_good(self):
        self.order.is_newer("u", 1000, 50)
        self.order.is_newer("u", 2000, 1)
        self.assertEqual(2000, self.order.withdraw("u"))
        results = [self.order.is_newer("u", 2000, sequence) for sequence in (2, 3, 4)]
        self.assertEqual([False, False, True], results)

    def test_memory_is_limited(self):
        for number in range(1000):
            self.assertTrue(self.order.is_newer(f"u{number}", 1000, 1))
        self.assertLess(len(self.order._sequences), 100)
        self.assertLess(len(self.order._newest_born_ms), 100)


class RecordTest(unittest.TestCase):
    """Tests the encoded records of the directory."""

    def test_record_is_decoded_as_it_was(self):
        self.assertEqual(record_of(), decode_worker(encode_worker(record_of())))
        self.assertIsNone(decode_worker(encode_worker(None)))

    def test_record_without_a_start_and_unreadable_records_do_no_harm(self):
        fields = ["u", "s", "d", [], [8000]]
        worker = decode_worker(msgspec.msgpack.encode(fields))
        self.assertEqual(("u", 0), (worker.incarnation, worker.born_ms))
        for data in (b"\xff", b"x", msgspec.msgpack.encode(["u"])):
            self.assertIsNone(decode_worker(data))


class RestartTest(unittest.TestCase):
    """Tests restarts in virtual time without violated invariants."""

    def setUp(self):
        self.complete_counts = []

    def restart_delay_s(self, seed, features):
        """Returns the times until a task starts again and until all agents attached."""
        cell = CellSimulation(seed=seed, keeps_id=True, features=features)
        cell.delays_s = [0.002, 0.01]
        cell.are_links_ordered = True
        cell.run(0.5)
        for index in range(2):
            cell.submit(make_job(f"before-{index}", count=4, run_s=2.0))
        cell.run(0.1)
        self.assertLess(0, sum(len(up.runs) for up in cell.upstreams.values()))
        cell.restart_all_processes()
        restarted_at_s = cell.now_s
        cell.submit(make_job("after", count=2, run_s=2.0))
        while not all(agent.is_attached for agent in cell.agents.values()):
            cell.step()
        cell.all_attached_at_s = cell.now_s
        cell.run(8.0)
        self.assertEqual(3, len(cell.answers))
        complete_count = list(cell.answers.values()).count(JobState.COMPLETE)
        self.complete_counts.append(complete_count)
        return (
            cell.first_start_s - restarted_at_s,
            cell.all_attached_at_s - restarted_at_s,
        )

    def test_tasks_start_without_waiting_for_announcements_after_a_restart_of_all(self):
        starts_s, attached_s = self.delays_s(DIRECTORY)
        self.assertEqual({3}, set(self.complete_counts))
        self.assertLess(max(starts_s), 0.3)
        self.assertLess(max(attached_s), 0.4)
        _, attached_without_s = self.delays_s(frozenset())
        self.assertLess(max(attached_s), min(attached_without_s))

    def delays_s(self, features):
        """Returns the times to the first start and to the last agent, by seed."""
        delays = [self.restart_delay_s(seed, features) for seed in SEEDS]
        return [delay[0] for delay in delays], [delay[1] for delay in delays]

    def test_random_restarts_violate_no_invariant(self):
        recognized = restarted = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cell = self.run_random_restarts(seed)
                recognized += cell.recognized_count
                restarted += cell.crash_count
        self.assertGreater(recognized, 0)
        self.assertGreater(restarted, 0)

    def run_random_restarts(self, seed):
        generator = random.Random(seed)
        cell = CellSimulation(seed=seed, keeps_id=True, features=DIRECTORY)
        cell.recognized_count = cell.crash_count = 0
        cell.delays_s = [0.002, 0.002, 0.002, 0.05]
        cell.call_delays_s = (0.05, 1.2)
        for upstream in cell.upstreams.values():
            upstream.max_run_s = 1.5
        cell.run(0.5)
        for number in range(FAULT_COUNT):
            for index in range(3):
                cell.submit(make_job(f"{number}-{index}", run_s=1.0))
            self.inject_fault(cell, generator)
            cell.run(generator.uniform(0.05, 0.9))
        cell.delayed_calls.clear()
        cell.lossy_responses.clear()
        cell.unresponsive.clear()
        cell.frozen.clear()
        if cell.dispatcher is None:
            cell.take_over()
        for name in cell.upstreams:
            cell.set_capacity(name, CAPACITY)
        cell.run(16.0)
        self.assertEqual(set(cell.jobs), set(cell.answers))
        return cell

    def inject_fault(self, cell, generator):
        name = generator.choice(list(cell.agents))
        kind = generator.randrange(9)
        if kind <= 1:
            self.count_recognized(cell)
            cell.restart_all_processes(election_s=generator.uniform(0.1, 1.0))
        elif kind == 2:
            cpu = generator.choice([2000, 4000])
            capacity = Resources(cpu=cpu, memory_mb=4000)
            cell.crash_upstream(name, is_announced=False, capacity=capacity)
            cell.crash_count += 1
        elif kind == 3:
            cell.stop_upstream(name, down_s=generator.uniform(0.02, 0.6))
            cell.crash_count += 1
        elif kind == 4 and not self.has_delayed_starts(cell, name):
            cpu = generator.choice([2000, 4000])
            cell.set_capacity(name, Resources(cpu=cpu, memory_mb=4000))
        elif kind == 5:
            cell.delayed_calls.symmetric_difference_update({name})
        elif kind == 6:
            cell.lossy_responses.symmetric_difference_update({name})
        elif kind == 7:
            cell.frozen.symmetric_difference_update({name})
        else:
            cell.take_over()

    def has_delayed_starts(self, cell, name):
        """Returns whether an upstream may carry out a start after its capacity changed.

        Such a start was made in time, so that it does not fit is no fault of the agent.
        """
        is_delayed = any(item[1].name == name for item in cell.delayed_starts)
        return is_delayed or name in cell.delayed_calls

    def count_recognized(self, cell):
        cell.recognized_count += sum(
            agent.counts["upstream_recognized"] for agent in cell.agents.values()
        )


if __name__ == "__main__":
    unittest.main()
