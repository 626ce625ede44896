"""Tests of what an agent reports after its upstream has crashed."""

import random
import unittest

import msgspec

from hawthornbarrow.cells import (
    AttachWorker,
    DispatcherHeartbeat,
    EndedRun,
    ListedRun,
    Listing,
    Resources,
    RunLeaseTiming,
    RunOutcome,
    RunSupervisor,
    StartOrder,
    StartResponse,
    StartTasks,
    TaskKey,
    WorkerRecord,
    first_term,
)
from hawthornbarrow.cells._ended_run_log import MAX_CRASHED_RUNS, EndedRunLog

TIMING = RunLeaseTiming(run_lease_s=1.0, stop_s=0.05)
CAPACITY = Resources(cpu=8000)
TERM = first_term(1)


def task_at(index):
    return TaskKey(job="j", step=0, index=index)


def record_of(upstream, capacity=CAPACITY):
    return WorkerRecord(
        upstream=upstream, service="s", data_centre="d", labels=(), capacity=capacity
    )


class _AgentTestCase(unittest.TestCase):
    """Plays an upstream that starts tasks and crashes."""

    def setUp(self):
        self.now_s = 10.0
        self.agent = RunSupervisor(
            timing=TIMING, generator=random.Random(1), now_s=self.now_s
        )
        self.attach_requests = []
        self.session = 0
        self.announce("u1")
        self.list_runs("u1")
        self.attach()

    def announce(self, upstream, *, is_leaving=False):
        self.agent.announce(record_of(upstream), is_leaving, self.now_s)

    def list_runs(self, upstream, indexes=()):
        running = [
            ListedRun(task=str(task_at(index)), attempt=1, percent=self.now_s)
            for index in indexes
        ]
        listing = Listing(
            upstream=upstream, asked_at_s=self.now_s, running=running, ended=[]
        )
        self.agent.on_listing(listing, self.now_s)

    def heartbeat(self):
        message = DispatcherHeartbeat(
            term=TERM, heard_at_s=self.now_s, version=1, session=self.session
        )
        self.agent.on_heartbeat("d", message, self.now_s)
        for _, sent in self.agent.take_messages():
            if isinstance(sent, AttachWorker):
                self.session = sent.session
                self.attach_requests.append(sent)

    def attach(self):
        self.heartbeat()
        self.heartbeat()

    def start(self, index, *, crashes=()):
        order = StartOrder(
            task=task_at(index),
            attempt=1,
            spec="",
            needs=Resources(cpu=1000),
            crashes=crashes,
        )
        message = StartTasks(term=TERM, session=self.session, orders=[order])
        self.agent.on_orders(message, self.now_s)
        (call,) = self.agent.take_calls()
        return call

    def crashed(self):
        self.now_s += 1
        self.heartbeat()
        return [run for run in self.attach_requests[-1].ended if run.crashed_upstream]


class CrashReportTest(_AgentTestCase):
    """Tests which runs are reported as those of a crash."""

    def test_runs_under_a_crash_are_reported_with_the_time_they_survived(self):
        self.agent.on_start_response(self.start(0), StartResponse.STARTED, self.now_s)
        self.now_s += 0.5
        self.start(1, crashes=("u0",))
        self.now_s += 0.02
        self.agent.on_call_broken("u1", self.now_s)
        self.now_s += 0.1
        self.agent.on_upstream_gone("u1", self.now_s)
        first, second = self.crashed()
        self.assertEqual("u1", first.crashed_upstream)
        self.assertAlmostEqual(0.52, first.run_s)
        self.assertAlmostEqual(0.02, second.run_s)
        self.assertEqual(("u0",), second.crashes)

    def test_orders_after_a_crash_have_no_part_in_it(self):
        self.agent.on_call_broken("u1", self.now_s)
        self.now_s += 0.05
        late, refused = self.start(0), self.start(1)
        self.agent.on_start_response(refused, StartResponse.GONE, self.now_s)
        self.agent.on_start_response(late, StartResponse.GONE, self.now_s)
        self.assertEqual([], self.crashed())

    def test_end_of_an_upstream_that_was_leaving_is_no_crash(self):
        self.start(0)
        self.announce("u1", is_leaving=True)
        self.agent.on_upstream_gone("u1", self.now_s)
        self.assertEqual([], self.crashed())

    def test_departure_of_an_upstream_is_no_crash(self):
        self.start(0)
        self.agent.withdraw("u1", self.now_s)
        self.assertEqual([], self.crashed())

    def test_crash_that_is_seen_after_the_runs_were_lost_is_reported(self):
        self.agent.on_start_response(self.start(0), StartResponse.STARTED, self.now_s)
        self.now_s += 5.0
        self.agent.tick(self.now_s)
        self.announce("u2")
        self.list_runs("u2")
        (run,) = self.crashed()
        self.assertEqual(("u1", task_at(0)), (run.crashed_upstream, run.task))

    def test_runs_that_were_lost_before_a_listing_have_no_part_in_a_crash(self):
        self.agent.on_start_response(self.start(0), StartResponse.STARTED, self.now_s)
        self.now_s += 5.0
        self.agent.tick(self.now_s)
        self.list_runs("u1")
        self.announce("u2")
        self.list_runs("u2")
        self.assertEqual([], self.crashed())

    def test_crashes_are_reported_to_dispatchers_that_begin_later(self):
        self.start(0)
        self.agent.on_upstream_gone("u1", self.now_s)
        self.now_s += 30.0
        self.agent.tick(self.now_s)
        self.assertEqual([task_at(0)], [run.task for run in self.crashed()])


class CrashedRunLimitTest(unittest.TestCase):
    """Tests which crashed runs an agent still lists after many of them."""

    def setUp(self):
        self.log = EndedRunLog()
        self.now_s = 100.0

    def crash(self, upstream, indexes, *, run_s):
        for index in indexes:
            order = StartOrder(
                task=task_at(index), attempt=1, spec="", needs=Resources(cpu=1000)
            )
            self.log.add(
                order,
                RunOutcome.LOST,
                self.now_s,
                worker=record_of(upstream),
                run_s=run_s,
                crashed_at_s=self.now_s,
            )

    def listed(self, upstream):
        self.log.acknowledge(10_000)
        self.log.remove_old(self.now_s + 10.0)
        return [
            run.task.index
            for run in self.log.retained()
            if run.crashed_upstream == upstream
        ]

    def test_suspect_is_listed_after_many_later_runs_that_are_none(self):
        self.crash("u1", range(1), run_s=0.01)
        self.crash("u2", range(100, 100 + MAX_CRASHED_RUNS), run_s=1.0)
        self.assertEqual([0], self.listed("u1"))

    def test_suspect_is_listed_after_many_runs_of_other_crashes(self):
        for number in range(1, 9):
            self.crash(f"u{number}", range(1), run_s=0.01)
            self.crash(f"u{number}", range(100, 115), run_s=1.0)
        for number in range(1, 9):
            self.assertIn(0, self.listed(f"u{number}"))

    def test_crash_without_suspects_is_not_listed_in_part(self):
        self.crash("u1", range(40), run_s=1.0)
        self.crash("u2", range(40), run_s=1.0)
        self.assertEqual([], self.listed("u1"))
        self.assertEqual(40, len(self.listed("u2")))

    def test_number_of_listed_runs_is_limited(self):
        for number in range(20):
            self.crash(f"u{number}", range(20), run_s=0.01)
        total = sum(len(self.listed(f"u{number}")) for number in range(20))
        self.assertLessEqual(total, MAX_CRASHED_RUNS)


class DelayedAnnouncementTest(_AgentTestCase):
    """Tests that an announcement of a former incarnation changes nothing."""

    def check_ignored(self):
        self.announce("u2")
        self.list_runs("u2")
        self.attach()
        self.start(1)
        self.announce("u1")
        self.assertEqual("u2", self.agent.upstream)
        self.assertEqual(1, self.agent.run_count)

    def test_announcement_that_arrives_after_a_replacement_is_ignored(self):
        self.check_ignored()

    def test_announcement_that_arrives_after_a_crash_is_ignored(self):
        self.agent.on_upstream_gone("u1", self.now_s)
        self.check_ignored()

    def test_upstream_that_refused_a_connection_once_is_used_again(self):
        self.agent.on_upstream_gone("u1", self.now_s)
        self.announce("u1")
        self.list_runs("u1")
        self.assertEqual("u1", self.agent.upstream)
        self.attach()
        self.start(1)


class _EndedRunBefore(msgspec.Struct, array_like=True, kw_only=True):
    """EndedRun of the version before, without crashes."""

    number: int
    task: TaskKey
    attempt: int
    end: RunOutcome
    run_s: float = 0.0
    reason: str = ""


class MixedVersionTest(unittest.TestCase):
    """Tests that the version before reads ended runs with crashes, and is read."""

    def test_ended_run_is_read_by_the_version_before(self):
        run = EndedRun(
            number=3,
            task=task_at(0),
            attempt=2,
            end=RunOutcome.LOST,
            crashed_upstream="u1",
            crashes=("u0",),
        )
        data = msgspec.msgpack.encode(run)
        before = msgspec.msgpack.decode(data, type=_EndedRunBefore)
        self.assertEqual((3, 2), (before.number, before.attempt))

    def test_ended_run_of_the_version_before_has_no_crash(self):
        before = _EndedRunBefore(
            number=3, task=task_at(0), attempt=2, end=RunOutcome.LOST
        )
        data = msgspec.msgpack.encode(before)
        run = msgspec.msgpack.decode(data, type=EndedRun)
        self.assertEqual(("", ()), (run.crashed_upstream, run.crashes))


if __name__ == "__main__":
    unittest.main()
