"""Tests of the evacuation of data centres at the dispatcher."""

import unittest

import msgspec

from hawthornbarrow.cells import (
    EvacuationState,
    EvacuationView,
    JobState,
    Resources,
    Step,
    TaskKey,
)
from hawthornbarrow.cells._crash_history import CrashHistory, StartCare
from hawthornbarrow.cells._evacuation import (
    EvacuatedWorkers,
    InvalidEvacuationError,
    check_data_centre_name,
)
from hawthornbarrow.cells._queue_isolation import QueueIsolation
from hawthornbarrow.cells._slow_start import (
    RETURN_FRACTION,
    RETURN_S,
    SlowStart,
)
from hawthornbarrow.cells._start_reservations import StartReservations
from hawthornbarrow.cells.tests._cell_simulation import (
    CAPACITY,
    TIMING,
    CellSimulation,
    make_job,
)

SEEDS = range(8)
LAST_START_S = 5.0  # after an order is acknowledged, nothing may start any more


def state(revision, *data_centres):
    return EvacuationState(revision=revision, data_centres=data_centres)


class EvacuationViewTest(unittest.TestCase):
    def setUp(self):
        self.view = EvacuationView()

    def test_delayed_states_do_not_replace_newer_ones(self):
        self.assertTrue(self.view.observe(state(3, "a"), 1.0))
        self.assertFalse(self.view.observe(state(2), 2.0))
        self.assertFalse(self.view.observe(state(3), 2.0))
        self.assertEqual(state(3, "a"), self.view.state)

    def test_heartbeats_of_the_previous_version_do_not_end_evacuations(self):
        self.view.observe(state(1, "a"), 1.0)
        self.assertFalse(self.view.observe(EvacuationState(), 2.0))
        self.assertEqual(("a",), self.view.state.data_centres)

    def test_withdrawals_are_known_while_workers_may_be_cold(self):
        self.view.observe(state(1, "a", "b"), 1.0)
        self.view.observe(state(2, "b"), 2.0)
        self.assertEqual({"a": 2.0}, self.view.withdrawn_at_s(2.0 + RETURN_S / 2))
        self.assertEqual({}, self.view.withdrawn_at_s(2.0 + RETURN_S))


class SlowStartTest(unittest.TestCase):
    def setUp(self):
        self.start = SlowStart(until_s=15.0, slowness=1.0)

    def test_runs_in_time_raise_the_usable_capacity(self):
        self.assertEqual(RETURN_FRACTION, self.start.fraction)
        for _ in range(6):
            self.start.record_run(0.125, 0.9, 1.0)
        self.assertTrue(self.start.is_complete(11.0))

    def test_runs_of_a_cold_worker_do_not_raise_it(self):
        for _ in range(50):
            self.start.record_run(0.125, 1.5, 1.0)
            self.start.record_run(0.125, 0.2, 0.0)
        self.assertEqual(RETURN_FRACTION, self.start.fraction)
        self.assertFalse(self.start.is_complete(14.9))
        self.assertTrue(self.start.is_complete(15.0))

    def test_a_worker_that_was_slow_before_is_not_taken_for_a_cold_one(self):
        start = SlowStart(until_s=15.0, slowness=1.6)
        start.record_run(0.75, 1.6, 1.0)
        self.assertTrue(start.is_complete(11.0))

    def test_an_evacuation_anew_ends_the_return(self):
        workers = EvacuatedWorkers()
        workers.set_state(state(3, "a"), {"a": 9.0, "b": 9.0})
        self.assertIsNone(workers.slow_start("a", 1.0, 10.0))
        self.assertIsNotNone(workers.slow_start("b", 1.0, 10.0))
        self.assertIsNone(workers.slow_start("b", 1.0, 9.0 + RETURN_S))


class NameTest(unittest.TestCase):
    def test_impossible_names_are_refused(self):
        check_data_centre_name("x" * 64)
        for name in ("", "x" * 65):
            with self.assertRaises(InvalidEvacuationError):
                check_data_centre_name(name)


class EvacuatedCellTest(unittest.TestCase):
    """Plays a cell whose first two of four workers are in another data centre."""

    def make_cell(self, seed, agents=4):
        data_centres = {"a0": "z", "a1": "z"}
        cell = CellSimulation(seed=seed, agents=agents, data_centres=data_centres)
        cell.run(0.5)
        return cell

    def last_start_s(self, cell):
        """Returns a function that returns the last start in the data centre."""
        last_s = [0.0]
        for name in cell.data_centres:
            upstream = cell.upstreams[name]

            def start(order, lease_until, token, now_s, *, start=upstream.start):
                last_s[0] = now_s
                return start(order, lease_until, token, now_s)

            upstream.start = start
        return lambda: last_s[0]

    def play_load(self, cell, first, count):
        for index in range(first, first + count):
            cell.submit(make_job(f"j{index}", count=3))
            cell.run(0.1)

    def test_under_load_nothing_starts_there_and_all_jobs_complete(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cell = self.make_cell(seed)
                last_start_s = self.last_start_s(cell)
                self.play_load(cell, 0, 20)
                cell.evacuate("z")
                ordered_at_s = cell.now_s
                self.play_load(cell, 20, 60)
                cell.run(10.0)
                # Orders that were on their way may still arrive.
                self.assertLess(last_start_s(), ordered_at_s + 0.5)
                self.assertEqual({JobState.COMPLETE}, set(cell.answers.values()))
                self.assertEqual(80, len(cell.answers))

    def test_no_order_is_sent_there_from_the_tick_after_the_evacuation(self):
        cell = self.make_cell(1)
        cell.delays_s = [0.002]
        last_start_s = self.last_start_s(cell)
        self.play_load(cell, 0, 10)
        cell.evacuate("z")
        ordered_at_s = cell.now_s
        self.play_load(cell, 10, 20)
        self.assertLess(last_start_s(), ordered_at_s + 0.02)

    def test_runs_in_progress_continue(self):
        cell = self.make_cell(1)
        cell.delays_s = [0.002]
        cell.submit(make_job("j", count=16))
        cell.run(0.04)
        before = {name: dict(cell.upstreams[name].runs) for name in ("a0", "a1")}
        self.assertTrue(any(before.values()))
        cell.evacuate("z")
        cell.run(0.03)
        for name, runs in before.items():
            for run in cell.upstreams[name].runs.values():
                self.assertNotIn("stops_s", run)
            self.assertLessEqual(set(cell.upstreams[name].runs), set(runs))
        cell.run(5.0)
        self.assertEqual(JobState.COMPLETE, cell.answers["j"])
        self.assertEqual(0, cell.dispatcher.counts["run_stopped"])

    def test_runs_are_adopted_by_a_new_dispatcher_that_starts_nothing_there(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cell = self.make_cell(seed)
                last_start_s = self.last_start_s(cell)
                self.play_load(cell, 0, 10)
                cell.evacuate("z")
                ordered_at_s = cell.now_s
                cell.take_over()
                self.play_load(cell, 10, 30)
                cell.take_over()
                cell.run(10.0)
                self.assertLess(last_start_s(), ordered_at_s + 0.5)

    def test_a_standby_starts_nothing_there(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cell = self.make_cell(seed)
                last_start_s = self.last_start_s(cell)
                self.play_load(cell, 0, 10)
                cell.evacuate("z")
                ordered_at_s = cell.now_s
                cell.lose_leader()
                cell.run(TIMING.lost_after_s + 0.5)
                cell.claim_as_standby()
                self.assertIsNotNone(cell.dispatcher)
                self.play_load(cell, 10, 20)
                self.assertLess(last_start_s(), ordered_at_s + 0.5)

    def test_no_start_is_left_over_from_a_partition(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cell = self.make_cell(seed)
                last_start_s = self.last_start_s(cell)
                self.play_load(cell, 0, 5)
                cell.unreachable = {"a0", "a1"}
                cell.submit(make_job("on the way", count=12))
                cell.run(0.05)
                cell.evacuate("z")
                ordered_at_s = cell.now_s
                cell.run(LAST_START_S - 1.0)
                cell.unreachable = set()
                cell.run(5.0)
                self.assertLess(last_start_s(), ordered_at_s + LAST_START_S)

    def test_a_worker_that_attaches_during_the_evacuation_gets_nothing(self):
        cell = self.make_cell(2)
        cell.evacuate("z")
        cell.stop_upstream("a0")
        last_start_s = self.last_start_s(cell)
        cell.run(8.0)
        self.assertEqual(2, cell.dispatcher.evacuated_count)
        self.play_load(cell, 0, 10)
        self.assertEqual(0.0, last_start_s())

    def test_a_job_that_only_evacuated_workers_could_run_is_refused_at_once(self):
        cell = self.make_cell(1)
        cell.delays_s = [0.002]
        for name in ("a2", "a3"):
            cell.set_capacity(name, Resources(cpu=1000, memory_mb=1000))
        cell.run(0.3)
        cell.submit(make_job("begun", count=4, cpu=3000))
        cell.run(0.02)
        cell.submit(make_job("waiting", count=1, cpu=3000))
        cell.run(0.02)
        self.assertNotIn("waiting", cell.answers)
        cell.evacuate("z")
        cell.run(0.02)
        self.assertEqual(JobState.UNKNOWN, cell.answers["waiting"])
        cell.submit(make_job("new", count=1, cpu=3000))
        cell.run(0.02)
        self.assertEqual(JobState.UNKNOWN, cell.answers["new"])
        self.assertTrue(cell.dispatcher.has_not_run("new"))

    def test_a_lost_upstream_there_is_not_waited_for(self):
        cell = self.make_cell(1)
        for name in ("a2", "a3"):
            cell.set_capacity(name, Resources(cpu=1000, memory_mb=1000))
        cell.evacuate("z")
        cell.stop_upstream("a0")
        cell.run(0.5)
        cell.submit(make_job("new", count=1, cpu=3000))
        cell.run(0.02)
        self.assertEqual(JobState.UNKNOWN, cell.answers["new"])

    def test_capacity_sums_exclude_the_workers_at_once(self):
        cell = self.make_cell(1)
        pool = cell.dispatcher._pool
        self.assertEqual(16.0, pool.ready_capacity("s").rate_cores)
        cell.evacuate("z")
        capacity = pool.ready_capacity("s")
        self.assertEqual(
            (2, 8.0, 8.0),
            (capacity.worker_count, capacity.rate_cores, capacity.free_cores),
        )
        self.assertEqual(2, cell.dispatcher.evacuated_count)

    def test_evacuated_workers_are_no_candidates(self):
        # A placement must not become dearer with the number of evacuated workers.
        cell = self.make_cell(1)
        cell.evacuate("z")
        cell.run(1.0)
        candidates = cell.dispatcher._pool.candidates("s", 1000)
        self.assertEqual({"a2", "a3"}, {worker.agent for _, worker in candidates})

    def test_no_worker_starts_slowly_without_a_withdrawal(self):
        cell = self.make_cell(1)
        cell.evacuate("z")
        cell.run(1.0)
        self.assertEqual(set(), cell.dispatcher._pool._returning)
        workers = cell.dispatcher.workers.values()
        self.assertEqual({None}, {worker.slow_start for worker in workers})

    def test_a_queue_is_not_confined_to_evacuated_workers(self):
        isolation = QueueIsolation()
        cell = self.make_cell(1)
        workers = cell.dispatcher.workers
        isolation.record_submission("s", "r", 0.0)
        for job in ("j1", "j2"):
            isolation.record_cause("s", "q", job, 0.0)
        isolation.update(workers.values(), 0.1)
        self.assertEqual(1, len(isolation.confined_agents("s")))
        (confined,) = isolation.confined_agents("s")
        workers[confined].is_evacuated = True
        isolation.update(workers.values(), 0.2)
        self.assertEqual(1, len(isolation.confined_agents("s")))
        self.assertNotIn(confined, isolation.confined_agents("s"))

    def test_a_suspected_task_does_not_wait_for_an_evacuated_worker(self):
        cell = self.make_cell(1)
        workers = cell.dispatcher.workers
        reservations = StartReservations(crash_history=CrashHistory())
        task = TaskKey(job="j", step=0, index=0)
        worker = reservations.reserve(task, StartCare.ALONE, workers.values())
        reservations.update(workers, lambda task: True, cell.now_s)
        self.assertIs(worker, reservations.worker_for(task, workers))
        worker.is_evacuated = True
        reservations.update(workers, lambda task: True, cell.now_s)
        self.assertIsNone(reservations.worker_for(task, workers))
        self.assertTrue(reservations.may_reserve(task, 3))


class ReturnTest(unittest.TestCase):
    """Plays the return of one worker after the withdrawal of its evacuation."""

    def setUp(self):
        self.cell = CellSimulation(seed=1, agents=1)
        self.cell.delays_s = [0.002]
        self.cell.run(0.5)
        self.cell.evacuate("d")
        self.cell.run(0.3)

    def running_count(self):
        return len(self.cell.upstreams["a0"].runs)

    def test_a_worker_uses_a_quarter_of_its_capacity_at_first(self):
        self.cell.evacuate()
        self.cell.submit(make_job("j", count=8))
        self.cell.run(0.04)
        self.assertEqual(1, self.running_count())

    def test_it_uses_more_as_runs_complete_and_all_after_five_seconds(self):
        self.cell.evacuate()
        most = 0
        for index in range(60):
            self.cell.submit(make_job(f"j{index}", count=4, run_s=0.6))
            self.cell.run(0.1)
            most = max(most, self.running_count())
        self.assertEqual(4, most)

    def test_runs_that_are_late_keep_it_slow_until_five_seconds_have_passed(self):
        self.cell.evacuate()
        withdrawn_at_s = self.cell.now_s
        # The runs take 0.05 to 0.6 s.
        self.cell.submit(make_job("j", count=60, run_s=0.01))
        while self.cell.now_s < withdrawn_at_s + RETURN_S - 0.1:
            self.cell.run(0.1)
            self.assertLessEqual(self.running_count(), 1)
        most = 0
        for _ in range(50):
            self.cell.run(0.01)
            most = max(most, self.running_count())
        self.assertEqual(4, most)

    def test_a_task_larger_than_the_quarter_starts_on_an_idle_worker(self):
        self.cell.evacuate()
        self.cell.submit(make_job("big", count=1, cpu=3000))
        self.cell.run(0.04)
        self.assertEqual(1, self.running_count())

    def test_the_capacity_sums_count_a_quarter(self):
        self.cell.evacuate()
        capacity = self.cell.dispatcher._pool.ready_capacity("s")
        self.assertEqual(1.0, capacity.rate_cores)
        self.assertEqual(1.0, capacity.free_cores)

    def test_a_new_dispatcher_goes_on_with_the_slow_start(self):
        self.cell.evacuate()
        self.cell.complete_handover_probability = 1.0
        self.cell.run(0.5)
        self.cell.take_over()
        self.cell.run(0.5)
        worker = self.cell.dispatcher.workers["a0"]
        self.assertEqual(CAPACITY.cpu * RETURN_FRACTION, worker.usable_cpu)

    def test_another_order_does_not_restart_a_slow_start_that_has_ended(self):
        self.cell.evacuate()
        worker = self.cell.dispatcher.workers["a0"]
        worker.slow_start.record_run(1.0, 0.1, 1.0)
        self.cell.run(0.2)
        self.cell.evacuate("elsewhere")
        self.cell.run(0.2)
        self.assertEqual(CAPACITY.cpu, worker.usable_cpu)

    def test_a_job_of_two_steps_completes_during_a_return(self):
        self.cell.evacuate()
        document = make_job("j", count=4)
        step = Step(
            count=4, each=Resources(cpu=2000, memory_mb=10), estimated_s=0.3, after=(0,)
        )
        document = msgspec.structs.replace(document, steps=(*document.steps, step))
        self.cell.submit(document)
        self.cell.run(8.0)
        self.assertEqual(JobState.COMPLETE, self.cell.answers["j"])


if __name__ == "__main__":
    unittest.main()
