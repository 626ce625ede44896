"""Tests of placement on uneven workers by predicted completion."""

import functools
import random
import unittest
import unittest.mock

from hawthornbarrow.cells import (
    Dispatcher,
    Resources,
    WorkerRecord,
    _completion_placement,
)
from hawthornbarrow.cells._rack_index import RackIndex
from hawthornbarrow.cells._release_rates import ReleaseRates
from hawthornbarrow.cells._tail_run_times import TailRunTimes
from hawthornbarrow.cells._worker_view import WorkerView
from hawthornbarrow.cells.tests import _cell_simulation, test_cell
from hawthornbarrow.cells.tests._uneven_load import TAILS, UnevenCell

SLOW, MIDDLE, FAST = range(3)
SEEDS = (1, 2, 3)


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.cell = UnevenCell()
        self.cell.teach()

    def test_task_is_not_slowed_where_a_fast_worker_is_free(self):
        job = self.cell.submit("quick", [0.1])
        self.cell.run(0.02)
        self.assertEqual({FAST}, self.cell.kinds_of(job))

    def test_short_task_does_not_wait_where_a_slow_worker_is_in_time(self):
        self.cell.submit("long", [3.0] * 6, cpu=13000)
        self.cell.run(0.02)
        job = self.cell.submit("quick", [0.1], cpu=13000)
        self.cell.run(0.02)
        self.assertEqual({SLOW}, self.cell.kinds_of(job))

    def test_long_task_goes_to_no_worker_on_which_it_is_late(self):
        job = self.cell.submit("long", [1.5] * 4)
        self.cell.run(3.0)
        self.assertNotIn(SLOW, self.cell.kinds_of(job))
        self.assertEqual("in_time", self.cell.outcomes[job])

    def test_job_that_has_waited_goes_to_a_faster_worker(self):
        job = self.cell.submit("long", [1.5])
        self.cell.now_s += 0.88
        self.cell.run(0.02)
        self.assertEqual({FAST}, self.cell.kinds_of(job))

    def test_task_stays_near_its_data_where_a_local_worker_is_in_time(self):
        job = self.cell.submit("middle", [0.3] * 4, rack="r1")
        self.cell.run(0.02)
        self.assertEqual({1}, {index // 3 for index in self.cell.workers_of(job)})

    def test_task_leaves_a_full_rack_only_for_a_worker_on_which_it_is_in_time(self):
        for index in range(3):
            self.cell.attach(index)
        fillers = [
            self.cell.submit("quick", [3.0] * 6, rack="r0", cpu=4000) for _ in range(3)
        ]
        self.cell.run(0.05)
        job = self.cell.submit("long", [1.5] * 2, rack="r0", cpu=4000)
        self.cell.run(3.0)
        self.assertEqual(3, len(fillers))
        self.assertEqual("in_time", self.cell.outcomes[job])
        self.assertNotIn(SLOW, self.cell.kinds_of(job))

    def test_rack_without_workers_is_no_reason_to_wait(self):
        job = self.cell.submit("middle", [0.3], rack="nowhere")
        self.cell.run(0.02)
        self.assertEqual(1, len(self.cell.workers_of(job)))

    def test_rack_whose_workers_all_leave_is_not_waited_for_under_load(self):
        for index in range(3):
            self.cell.drain(index, None)
        with unittest.mock.patch.object(_completion_placement, "_SPARE_FRACTION", 2.0):
            job = self.cell.submit("long", [1.5], rack="r0")
            self.cell.now_s += 0.95
            self.cell.run(0.05)
        self.assertEqual(1, len(self.cell.workers_of(job)))

    def test_late_task_under_load_does_not_run_away_from_its_data(self):
        self.cell.submit("quick", [3.0] * 12, rack="r0", cpu=4000)
        self.cell.run(0.05)
        with unittest.mock.patch.object(_completion_placement, "_SPARE_FRACTION", 2.0):
            job = self.cell.submit("long", [1.5], rack="r0", cpu=13000)
            self.cell.now_s += 0.95
            self.cell.run(0.05)
        self.assertEqual(set(), self.cell.workers_of(job))

    def test_task_that_every_worker_would_run_late_still_starts(self):
        job = self.cell.submit("long", [1.5], estimate_s=1.5)
        self.cell.now_s += 1.1
        self.cell.run(4.0)
        self.assertIn(job, self.cell.outcomes)

    def test_leaving_worker_gets_no_tasks(self):
        for index in (0, 3, 6):
            self.cell.drain(index, 60.0)
        job = self.cell.submit("quick", [0.1] * 8)
        self.cell.run(0.5)
        self.assertNotIn(SLOW, self.cell.kinds_of(job))


class DrainTest(unittest.TestCase):
    def setUp(self):
        self.cell = UnevenCell(workers=6)
        self.cell.teach()
        self.job = self.cell.submit("long", [1.5])
        self.cell.run(0.05)
        (self.first,) = self.cell.workers_of(self.job)

    def test_run_that_its_worker_would_cut_off_starts_elsewhere_at_once(self):
        self.cell.drain(self.first, 0.3)
        self.cell.run(0.2)
        self.assertEqual(2, len(self.cell.workers_of(self.job)))
        self.assertEqual(1, self.cell.dispatcher.counts["run_stopped_by_drain"])
        self.cell.run(2.0)
        self.assertIn(self.cell.outcomes[self.job], ("in_time", "late"))

    def test_run_that_may_end_before_its_worker_goes_on(self):
        self.cell.drain(self.first, 1.6)
        self.cell.run(3.0)
        self.assertEqual({self.first}, self.cell.workers_of(self.job))

    def test_run_goes_on_where_the_worker_does_not_say_how_long_it_lasts(self):
        self.cell.drain(self.first, None)
        self.cell.run(3.0)
        self.assertEqual({self.first}, self.cell.workers_of(self.job))

    def test_delayed_report_does_not_shorten_the_remaining_time(self):
        self.cell.drain(self.first, 5.0)
        self.cell.drain(self.first, 0.1)
        self.cell.run(3.0)
        self.assertEqual({self.first}, self.cell.workers_of(self.job))


class LoadTest(unittest.TestCase):
    """Plays long tails, wrong estimates and a hot rack on 18 workers."""

    def play(self, seed, features, *, hot=0.5, rate=6.0, lost=None):
        cell = UnevenCell(features=features, seed=seed, workers=18)
        generator = random.Random(seed)
        kinds = (
            ("quick", 8, 0.102, 5.0),
            ("middle", 2, 0.34, 14.7),
            ("long", 4, 1.52, 0.92),
        )

        def arrive(cell):
            for queue, count, mean_s, per_s in kinds:
                if generator.random() >= per_s * rate * 0.01:
                    continue
                run_s = mean_s * generator.lognormvariate(-0.08, 0.4)
                times_s = [
                    7 * mean_s
                    if generator.random() < 0.03
                    else run_s * generator.lognormvariate(0, 0.15)
                    for _ in range(count)
                ]
                is_hot = generator.random() < hot
                rack = "r0" if is_hot else f"r{generator.randrange(6)}"
                estimate_s = run_s * generator.lognormvariate(0, 0.4)
                cell.submit(queue, times_s, rack=rack, estimate_s=estimate_s)

        cell.run(4.0, arrive)
        if lost is not None:
            cell.silent.update(f"a{index}" for index in lost)
        cell.run(6.0, arrive)
        # The longest runs of the tail take 18 s on slow workers.
        cell.run(30.0)
        self.assertEqual(set(cell.jobs), set(cell.outcomes))
        return cell

    def test_callers_get_more_jobs_in_time_with_a_hot_rack_and_long_tails(self):
        gained = []
        for seed in SEEDS:
            before = self.play(seed, frozenset()).fraction("in_time")
            after = self.play(seed, TAILS).fraction("in_time")
            gained.append(after - before)
        self.assertGreater(min(gained), 0.0, gained)

    def test_jobs_of_workers_that_are_lost_still_end(self):
        for seed in SEEDS:
            cell = self.play(seed, TAILS, rate=3.0, lost=(2, 5, 8))
            self.assertGreater(cell.fraction("in_time"), 0.8)


class RackIndexTest(unittest.TestCase):
    def test_workers_of_a_rack_are_those_of_a_scan_after_random_changes(self):
        for seed in range(10):
            generator = random.Random(seed)
            run_times = TailRunTimes()
            index = RackIndex(run_times=run_times)
            workers = {}
            for number in range(300):
                self.change(generator, index, run_times, workers, number)
                rack = f"r{generator.randrange(4)}"
                is_known = index.track_rack("s", rack)
                self.assertEqual(
                    any(rack in w.record.labels for w in workers.values()), is_known
                )
                for speed_class in index.speed_classes("s"):
                    near = list(index.near("s", rack, speed_class, 1000))
                    expected = [
                        worker
                        for worker in index.near("s", "", speed_class, 1000)
                        if rack in worker.record.labels
                    ]
                    self.assertEqual(expected, near)

    def change(self, generator, index, run_times, workers, number):
        event = generator.random()
        if len(workers) < 3 or event < 0.2:
            label = f"r{generator.randrange(3)}"
            record = WorkerRecord(
                upstream=f"u{number}",
                service="s",
                data_centre="d",
                labels=(label, label, "kind"),
                capacity=Resources(cpu=generator.choice([2000, 4000])),
            )
            worker = WorkerView(agent=f"a{number}", session=1, record=record, now_s=0)
            run_times.add_worker(worker.speed_key, record)
            workers[worker.agent] = worker
            index.add(worker)
            return
        worker = generator.choice(list(workers.values()))
        if event < 0.35:
            del workers[worker.agent]
            index.remove(worker)
            return
        if event < 0.6:
            run_times.record_overrun(worker.speed_key, 4.0)
        else:
            cpu = generator.choice([500, 3000, 4000])
            worker.set_capacity(Resources(cpu=cpu))
        index.update(worker)

    def test_racks_that_no_worker_has_take_no_memory(self):
        index = RackIndex(run_times=TailRunTimes())
        for number in range(1000):
            self.assertFalse(index.track_rack("s", f"x{number}"))
        self.assertEqual({}, index._racks)


class ReleaseRatesTest(unittest.TestCase):
    KEY = ("s", "r0", 0)

    def setUp(self):
        self.now_s = 10.0
        self.releases = ReleaseRates()

    def play(self, seconds, *, started=0):
        for _ in range(round(seconds / 0.01)):
            self.now_s += 0.01
            self.releases.record_end(self.KEY, 100)
            if started:
                self.releases.record_start(self.KEY, started, 0)
            self.releases.begin_pass(self.now_s)

    def test_wait_follows_the_released_capacity_and_the_tasks_ahead(self):
        self.play(5.0)
        alone_s = self.releases.wait_s(self.KEY, 1000, 1)
        self.assertAlmostEqual(0.1, alone_s, delta=0.02)
        self.releases.promise(self.KEY, 1000)
        self.assertAlmostEqual(
            2 * alone_s, self.releases.wait_s(self.KEY, 1000, 1), delta=0.01
        )

    def test_capacity_that_more_urgent_tasks_take_is_not_waited_for(self):
        self.play(5.0, started=100)
        self.assertGreater(self.releases.wait_s(self.KEY, 1000, 1), 10.0)
        self.assertLess(self.releases.wait_s(self.KEY, 1000, 0), 1.0)

    def test_group_that_releases_nothing_any_more_is_not_waited_for(self):
        self.play(1.0)
        for after_s in (0.1, 30.0):
            self.releases.begin_pass(self.now_s + after_s)
        self.assertGreater(self.releases.wait_s(self.KEY, 1000, 1), 10.0)
        self.assertEqual({}, self.releases._released)


class CellWithTailsTest(test_cell.CellTest):
    """Plays the faults of the cell's tests with the feature."""

    def setUp(self):
        super().setUp()
        patch = unittest.mock.patch.object(
            _cell_simulation,
            "Dispatcher",
            functools.partial(Dispatcher, features=TAILS),
        )
        patch.start()
        self.addCleanup(patch.stop)
