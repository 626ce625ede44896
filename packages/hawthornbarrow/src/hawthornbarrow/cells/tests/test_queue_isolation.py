"""Tests that jobs of one queue that crash upstreams leave workers to other queues."""

import math
import unittest

from hawthornbarrow.cells import JobState, Resources, WorkerRecord
from hawthornbarrow.cells._queue_isolation import MEMORY_S, QueueIsolation
from hawthornbarrow.cells._worker_view import WorkerView
from hawthornbarrow.cells.tests._cell_simulation import (
    DOWN_S,
    CellSimulation,
    make_job,
)

SEEDS = range(6)
NOW_S = 100.0


def make_workers(count):
    return [
        WorkerView(
            agent=f"a{index}",
            session=1,
            record=WorkerRecord(
                upstream=f"u{index}",
                service="s",
                data_centre="d",
                labels=(),
                capacity=Resources(cpu=4000),
            ),
            now_s=NOW_S,
        )
        for index in range(count)
    ]


class QueueIsolationTest(unittest.TestCase):
    """Tests when queues are confined, and to which workers."""

    def setUp(self):
        self.workers = make_workers(8)
        self.isolation = QueueIsolation()
        self.isolation.record_submission("s", "q", NOW_S)
        self.isolation.record_submission("s", "r", NOW_S)
        self.update(NOW_S)

    def update(self, now_s, workers=None):
        self.isolation.update(self.workers if workers is None else workers, now_s)

    def confine(self, now_s=NOW_S, workers=None):
        self.isolation.record_cause("s", "q", "j1", now_s)
        self.isolation.record_cause("s", "q", "j2", now_s)
        self.update(now_s, workers)

    def usable(self, queue):
        return {
            worker.agent
            for worker in self.workers
            if self.isolation.may_use("s", queue, worker.agent)
        }

    def test_one_job_that_crashes_upstreams_does_not_confine_its_queue(self):
        self.isolation.record_cause("s", "q", "j1", NOW_S)
        self.isolation.record_cause("s", "q", "j1", NOW_S + 1)
        self.update(NOW_S + 1)
        self.assertFalse(self.isolation.is_active)

    def test_confined_queue_and_the_others_share_no_worker(self):
        self.confine()
        self.assertEqual(2, len(self.usable("q")))
        self.assertEqual(6, len(self.usable("r")))
        self.assertFalse(self.usable("q") & self.usable("r"))

    def test_workers_that_are_away_are_chosen_and_kept(self):
        away = self.workers[4:6]
        attached = [worker for worker in self.workers if worker not in away]
        self.confine(workers=attached)
        self.assertEqual({"a4", "a5"}, self.usable("q"))
        self.update(NOW_S + 1)
        self.assertEqual({"a4", "a5"}, self.usable("q"))

    def test_worker_that_stays_away_is_replaced(self):
        self.confine()
        lost = self.usable("q") - {"a7"}
        attached = [worker for worker in self.workers if worker.agent not in lost]
        self.isolation.record_submission("s", "r", NOW_S + MEMORY_S)
        self.isolation.record_cause("s", "q", "j3", NOW_S + MEMORY_S / 2)
        self.update(NOW_S + MEMORY_S + 1, attached)
        self.assertTrue(self.usable("q"))
        self.assertFalse(self.usable("q") & lost)

    def test_queue_is_released_after_the_last_crash(self):
        self.confine()
        self.isolation.record_crash("s", {"q"}, NOW_S + 5)
        self.isolation.record_submission("s", "r", NOW_S + MEMORY_S)
        self.update(NOW_S + MEMORY_S + 1)
        self.assertTrue(self.isolation.is_active)
        self.update(NOW_S + MEMORY_S + 6)
        self.assertFalse(self.isolation.is_active)

    def test_only_queue_of_a_service_is_not_confined(self):
        self.isolation.record_submission("s", "q", NOW_S + MEMORY_S + 1)
        self.confine(NOW_S + MEMORY_S + 1)
        self.assertFalse(self.isolation.is_active)

    def test_only_worker_of_a_service_is_left_to_all_queues(self):
        self.workers = make_workers(1)
        self.isolation = QueueIsolation()
        self.isolation.record_submission("s", "q", NOW_S)
        self.isolation.record_submission("s", "r", NOW_S)
        self.confine()
        self.assertEqual({"a0"}, self.usable("q"))
        self.assertEqual({"a0"}, self.usable("r"))


class CrashingQueueTest(unittest.TestCase):
    """Plays two queues, of which one has many jobs that crash upstreams."""

    def play(self, seed, *, is_crashing):
        cell = CellSimulation(seed=seed, agents=12)
        cell.run(0.5)
        for index in range(150):
            cell.submit(make_job(f"other{index}", count=2, queue="r"))
            if is_crashing and index % 6 == 0:
                cell.crash_delays_s[f"tried{index}"] = 0.01
            cell.submit(make_job(f"tried{index}", count=1, queue="q"))
            cell.run(0.07)
        cell.run(15)
        return cell

    def test_other_queues_keep_their_workers(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cell = self.play(seed, is_crashing=True)
                others = [cell.answers.get(f"other{index}") for index in range(150)]
                served = others.count(JobState.COMPLETE)
                self.assertGreaterEqual(served, 0.95 * len(others))
                self.assertNotIn(JobState.FAILED, others)

    def test_once_confined_only_the_workers_of_the_queue_crash_again(self):
        # Each upstream crashes once at most before the queue is confined. Then three
        # of twelve crash as often as they are back, in 10.5 s of jobs.
        most = 12 + 3 * math.ceil(10.5 / DOWN_S)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cell = self.play(seed, is_crashing=True)
                crashed = {up for ups in cell.crashed_under.values() for up in ups}
                self.assertLessEqual(len(crashed), most)

    def test_queues_without_crashes_are_not_confined(self):
        cell = self.play(1, is_crashing=False)
        self.assertEqual({JobState.COMPLETE}, set(cell.answers.values()))
        self.assertFalse(cell.dispatcher._isolation.is_active)


if __name__ == "__main__":
    unittest.main()
