"""Tests of learned run times and speeds of workers."""

import math
import random
import unittest

from hawthornbarrow.cells import Resources, TaskKey, WorkerRecord
from hawthornbarrow.cells._rack_index import RackIndex
from hawthornbarrow.cells._release_rates import ReleaseRates
from hawthornbarrow.cells._tail_run_times import TailRunTimes
from hawthornbarrow.cells._tail_worker_monitor import TailWorkerMonitor
from hawthornbarrow.cells._worker_speeds import _MAX_WORKERS
from hawthornbarrow.cells._worker_view import Run, WorkerView, speed_key

SPEEDS = (0.6, 1.0, 1.6)
CORES = (16, 16, 24)
ESTIMATE_SIGMA = 0.4
RUN_S = 0.3


def make_record(index, *, upstream="", kind=None, born_ms=0):
    kind = index % 3 if kind is None else kind
    return WorkerRecord(
        upstream=upstream or f"u{index}",
        service="s",
        data_centre="d",
        labels=(f"kind-{kind}", f"r{index // 9}"),
        capacity=Resources(cpu=CORES[kind] * 1000, memory_mb=1000),
        born_ms=born_ms,
    )


class LearningTest(unittest.TestCase):
    def setUp(self):
        self.generator = random.Random(7)
        self.run_times = TailRunTimes()
        self.speeds = {}
        for index in range(18):
            self.add(f"u{index}", make_record(index), SPEEDS[index % 3])
        self.now_s = 10.0

    def add(self, worker, record, speed):
        self.run_times.add_worker(worker, record)
        self.speeds[worker] = speed

    def run_tasks(self, count, *, tail=0.03, workers=None, remote=0.0, choose=None):
        """Completes tasks, one a job, on random workers or as chosen by estimate."""
        workers = workers or list(self.speeds)
        for number in range(count):
            run_s = RUN_S * self.generator.lognormvariate(0, 0.4)
            estimate_s = run_s * self.generator.lognormvariate(0, ESTIMATE_SIGMA)
            if self.generator.random() < tail:
                run_s = 7 * RUN_S
            worker = self.generator.choice(workers)
            if choose is not None:
                worker = choose(estimate_s)
            is_remote = self.generator.random() < remote
            run_s *= 3.0 if is_remote else 1.0
            run_s /= self.speeds[worker]
            self.run_times.learn("q", worker, estimate_s, run_s, is_remote=is_remote)
            if number % 50 == 0:
                self.now_s += 1.0
                self.run_times.update(self.now_s)
        self.now_s += 1.0
        self.run_times.update(self.now_s)

    def assert_slowness(self, worker, expected, tolerance=0.2):
        actual = self.run_times.slowness(worker)
        self.assertLess(abs(math.log(actual / expected)), tolerance, worker)

    def test_long_tail_and_rough_estimates_do_not_hide_the_speeds(self):
        self.run_tasks(18 * 150)
        for worker, speed in self.speeds.items():
            self.assert_slowness(worker, 1 / speed)

    def test_low_estimates_on_slow_workers_are_not_taken_for_their_slowness(self):
        slow = [name for name, speed in self.speeds.items() if speed < 1]
        other = [name for name, speed in self.speeds.items() if speed >= 1]

        def choose(estimate_s):
            workers = slow if estimate_s < RUN_S * 0.8 else other
            if self.generator.random() < 0.1:
                workers = slow + other
            return self.generator.choice(workers)

        self.run_tasks(18 * 300, choose=choose)
        for worker in slow:
            self.assert_slowness(worker, 1 / 0.6, 0.25)

    def test_remote_factor_is_learned_and_does_not_slow_the_workers(self):
        self.run_tasks(18 * 200, remote=0.3)
        self.assertAlmostEqual(3.0, self.run_times.remote_factor("q"), delta=0.5)
        for worker, speed in self.speeds.items():
            self.assert_slowness(worker, 1 / speed)

    def test_distribution_shows_the_tail(self):
        self.run_tasks(18 * 200)
        self.assertAlmostEqual(0.03, self.run_times.tail_fraction("q"), delta=0.015)
        distribution = self.run_times.distribution("q")
        self.assertLess(distribution.low_ratio, 1.0)
        self.assertLess(distribution.high_ratio, 2.5)
        self.assertGreater(distribution.safe_ratio, distribution.high_ratio)

    def test_new_worker_is_not_taken_for_average_where_its_kind_is_known(self):
        self.run_tasks(18 * 150)
        for kind, speed in enumerate(SPEEDS):
            self.add(f"new{kind}", make_record(100, kind=kind), speed)
            self.assert_slowness(f"new{kind}", 1 / speed)

    def test_speed_is_kept_over_a_new_session_of_the_same_incarnation(self):
        self.run_tasks(18 * 150)
        before = self.run_times.slowness("u0")
        self.run_times.remove_worker("u0")
        self.run_times.add_worker("u0", make_record(0))
        self.assertEqual(before, self.run_times.slowness("u0"))

    def test_speed_of_another_incarnation_under_the_same_id_is_not_kept(self):
        first = make_record(1, upstream="u", born_ms=1000)
        second = make_record(1, upstream="u", born_ms=2000)
        self.add(speed_key(first), first, 0.3)
        self.run_tasks(100, workers=[speed_key(first)], tail=0.0)
        self.assertGreater(self.run_times.slowness(speed_key(first)), 2.0)
        self.run_times.remove_worker(speed_key(first))
        self.run_times.add_worker(speed_key(second), second)
        self.assertLess(self.run_times.slowness(speed_key(second)), 1.5)

    def test_change_of_speed_is_followed_within_some_tens_of_runs(self):
        self.run_tasks(18 * 150)
        for factor in (0.5, 2.0):
            self.speeds["u1"] *= factor
            self.run_tasks(60, workers=["u1"])
            self.assert_slowness("u1", 1 / self.speeds["u1"], 0.35)

    def test_speeds_of_workers_that_come_and_go_do_not_fill_the_memory(self):
        for index in range(_MAX_WORKERS + 200):
            self.run_times.add_worker(f"v{index}", make_record(index))
            self.run_times.remove_worker(f"v{index}")
        self.assertLessEqual(len(self.run_times._speeds._speeds), _MAX_WORKERS)

    def test_speed_class_does_not_alternate_where_speeds_are_even(self):
        run_times = self.run_times = TailRunTimes()
        self.speeds = {}
        for index in range(18):
            self.add(f"u{index}", make_record(index, kind=1), 1.0)
        self.run_tasks(18 * 100)
        changes = 0
        classes = {name: run_times.speed_class(name) for name in self.speeds}
        for _ in range(20):
            self.run_tasks(18 * 10)
            for name in self.speeds:
                changes += classes[name] != run_times.speed_class(name)
                classes[name] = run_times.speed_class(name)
        # 3,600 runs.
        self.assertLess(changes, 36)


class SlowWorkerTest(unittest.TestCase):
    """Plays overdue runs on one worker of a queue with a long tail."""

    def setUp(self):
        self.set_up(tail=0.03)

    def set_up(self, *, tail):
        self.now_s = 100.0
        self.run_times = TailRunTimes()
        self.monitor = TailWorkerMonitor(
            run_times=self.run_times,
            index=RackIndex(run_times=self.run_times),
            releases=ReleaseRates(),
        )
        self.worker = WorkerView(
            agent="a", session=1, record=make_record(1), now_s=self.now_s
        )
        self.run_times.add_worker("u1", self.worker.record)
        self.train(tail=tail)

    def train(self, *, tail):
        generator = random.Random(3)
        for _ in range(2000):
            run_s = 7 * RUN_S if generator.random() < tail else RUN_S
            self.run_times.learn("q", "u1", RUN_S, run_s, is_remote=False)
        self.run_times.update(self.now_s)
        self.before = self.run_times.slowness("u1")

    def start(self, job, index=0):
        run = Run(
            task=TaskKey(job=job, step=0, index=index),
            attempt=1,
            needs=Resources(cpu=100),
            started_at_s=self.now_s,
            expected_s=RUN_S,
            queue="q",
        )
        self.worker.add(run)

    def has_slowed(self):
        for _ in range(5):
            self.now_s += 0.4
            self.monitor.detect_slow_runs(self.worker, self.now_s)
        return self.run_times.slowness("u1") > 1.5 * self.before

    def test_one_run_of_the_tail_is_not_taken_for_a_slow_worker(self):
        self.start("j")
        self.assertFalse(self.has_slowed())

    def test_two_overdue_runs_suffice_where_the_queue_has_no_tail(self):
        self.set_up(tail=0.0)
        for number in range(2):
            self.start(f"j{number}")
        self.assertTrue(self.has_slowed())

    def test_two_overdue_runs_do_not_suffice_where_it_has_one(self):
        for number in range(2):
            self.start(f"j{number}")
        self.assertFalse(self.has_slowed())

    def test_several_overdue_runs_at_once_are_taken_for_a_slow_worker(self):
        for number in range(4):
            self.start(f"j{number}")
        self.assertTrue(self.has_slowed())

    def test_overdue_runs_of_one_job_with_a_wrong_estimate_do_not_slow_the_worker(self):
        for index in range(8):
            self.start("j", index)
        self.assertFalse(self.has_slowed())

    def test_overdue_runs_beside_timely_ones_are_taken_for_the_tail(self):
        for number in range(4):
            self.start(f"j{number}")
        self.worker.timely_starts_s.extend([self.now_s + 0.1] * 5)
        self.assertFalse(self.has_slowed())
