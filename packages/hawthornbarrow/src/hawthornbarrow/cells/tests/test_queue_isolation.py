"""Tests that jobs of one queue that crash upstreams leave workers to other queues."""

import unittest

from hawthornbarrow.cells import JobState, Resources, WorkerRecord
from hawthornbarrow.cells._queue_isolation import MEMORY_S, QueueIsolation
from hawthornbarrow.cells._worker_view import WorkerView
from hawthornbarrow.cells.tests._cell_simulation import CellSimulation, make_job

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


def record_confined_crashes(cell, crashes):
    """Records crashes by tasks started while their queue was confined.

    Adds pairs of the agent and whether its worker was the queue's at that start.
    """
    was_own = {}
    pool, stop_upstream = cell.dispatcher._pool, cell.stop_upstream
    order_start = pool.order_start

    def order_and_record(worker, order):
        isolation = cell.dispatcher._isolation
        was_own.pop(str(order.task), None)
        if isolation.is_confined("s", order.queue):
            is_own = isolation.may_use("s", order.queue, worker.agent)
            was_own[str(order.task)] = is_own
        order_start(worker, order)

    def stop_and_record(name, **options):
        for task in cell.upstreams[name].runs:
            if task.partition(".")[0] in cell.crash_delays_s and task in was_own:
                crashes.append((name, was_own[task]))
        stop_upstream(name, **options)

    pool.order_start, cell.stop_upstream = order_and_record, stop_and_record


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

    def crash(self, queue, now_s, count=1):
        for _ in range(count):
            self.isolation.record_crash("s", {queue}, now_s, lost_core_s=0.1)

    def test_of_two_crashing_queues_only_the_worse_is_confined_without_others(self):
        self.crash("q", NOW_S, count=4)
        self.crash("r", NOW_S)
        for job in ("j1", "j2"):
            self.isolation.record_cause("s", "q", job, NOW_S)
            self.isolation.record_cause("s", "r", job, NOW_S)
        self.update(NOW_S)
        self.assertTrue(self.isolation.is_confined("s", "q"))
        self.assertFalse(self.isolation.is_confined("s", "r"))
        self.crash("r", NOW_S + 1, count=4)
        self.update(NOW_S + 1)
        self.assertTrue(self.isolation.is_confined("s", "q"))

    def test_two_confined_queues_crash_no_workers_of_each_other(self):
        self.isolation.record_submission("s", "t", NOW_S)
        for job in ("j1", "j2"):
            self.isolation.record_cause("s", "q", job, NOW_S)
            self.isolation.record_cause("s", "r", job, NOW_S)
        self.update(NOW_S)
        self.assertTrue(self.usable("q"))
        self.assertTrue(self.usable("r"))
        self.assertFalse(self.usable("q") & self.usable("r"))
        self.assertFalse(self.usable("t") & (self.usable("q") | self.usable("r")))

    def test_part_follows_the_demand(self):
        for index in range(40):
            now_s = NOW_S + index / 10
            self.isolation.record_submission("s", "q", now_s, work_core_s=1.2)
            self.isolation.record_submission("s", "r", now_s, work_core_s=0.1)
        self.confine(NOW_S + 4)
        self.assertEqual(4, len(self.usable("q")))

    def test_part_shrinks_with_the_demand(self):
        self.test_part_follows_the_demand()
        for index in range(60):
            now_s = NOW_S + 4 + index / 10
            self.isolation.record_submission("s", "q", now_s, work_core_s=0.2)
            self.isolation.record_submission("s", "r", now_s, work_core_s=0.1)
            self.update(now_s)
        self.assertEqual(1, len(self.usable("q")))

    def test_queue_is_released_once_enough_runs_survived(self):
        for _ in range(20):
            self.isolation.record_survival("s", "q", NOW_S)
        self.crash("q", NOW_S, count=2)
        self.confine()
        for index in range(30):
            self.isolation.record_survival("s", "q", NOW_S + index / 10)
        self.update(NOW_S + 3)
        self.assertTrue(self.isolation.is_active)
        for index in range(30):
            self.isolation.record_survival("s", "q", NOW_S + 3 + index / 10)
        self.update(NOW_S + 6)
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

    def play(self, seed, *, is_crashing, crashes=None):
        cell = CellSimulation(seed=seed, agents=12)
        if crashes is not None:
            record_confined_crashes(cell, crashes)
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
        for seed in SEEDS:
            with self.subTest(seed=seed):
                crashes = []
                self.play(seed, is_crashing=True, crashes=crashes)
                self.assertTrue(crashes)
                self.assertEqual(
                    set(), {agent for agent, is_own in crashes if not is_own}
                )

    def test_queues_without_crashes_are_not_confined(self):
        cell = self.play(1, is_crashing=False)
        self.assertEqual({JobState.COMPLETE}, set(cell.answers.values()))
        self.assertFalse(cell.dispatcher._isolation.is_active)


if __name__ == "__main__":
    unittest.main()
