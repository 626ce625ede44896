"""Tests of upstreams whose capacity shrinks and grows while they run tasks."""

import unittest

from hawthornbarrow.cells import JobState, Resources
from hawthornbarrow.cells.tests._cell_simulation import (
    CAPACITY,
    CellSimulation,
    make_job,
)

SEEDS = range(6)
SMALL = Resources(cpu=1000, memory_mb=1000)


class CapacityChangeTest(unittest.TestCase):
    """The simulation checks at each start that the runs fit into the capacity."""

    def play(self, seed, change):
        cell = CellSimulation(seed=seed)
        cell.run(0.5)
        for index in range(60):
            cell.submit(make_job(f"j{index}", count=3))
            cell.run(0.05)
            change(cell, index)
        for name in cell.upstreams:
            cell.set_capacity(name, CAPACITY)
        cell.run(10.0)
        self.assertEqual(60, len(cell.answers))
        return set(cell.answers.values())

    def test_starts_never_exceed_a_capacity_that_shrinks_and_grows(self):
        def change(cell, index):
            name = f"a{cell.generator.randrange(4)}"
            if index % 4 == 0:
                cpu = cell.generator.choice([1000, 2000, 3000, 4000])
                cell.set_capacity(name, Resources(cpu=cpu, memory_mb=cpu))

        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual({JobState.COMPLETE}, self.play(seed, change))

    def test_starts_never_exceed_it_while_runs_are_being_stopped(self):
        def change(cell, index):
            if index % 8 == 0:
                cell.set_capacity("a0", SMALL)
            if index % 8 == 4:
                cell.set_capacity("a0", CAPACITY)
            if index % 3 == 0 and f"j{index - 3}" not in cell.answers:
                cell.dispatcher.withdraw(f"j{index - 3}", cell.now_s)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                cell = CellSimulation(seed=seed)
                cell.run(0.5)
                for index in range(60):
                    cell.submit(make_job(f"j{index}", count=3))
                    cell.run(0.05)
                    change(cell, index)

    def test_capacity_that_shrank_holds_after_a_takeover(self):
        def change(cell, index):
            if index == 10:
                for name in ("a0", "a1", "a2"):
                    cell.set_capacity(name, SMALL)
            if index in (11, 30):
                cell.take_over()

        for seed in SEEDS:
            with self.subTest(seed=seed):
                # New jobs are refused while no agent has attached.
                self.assertLessEqual(
                    self.play(seed, change), {JobState.COMPLETE, JobState.UNKNOWN}
                )

    def test_capacity_that_grew_is_used(self):
        cell = CellSimulation(seed=1, agents=1)
        cell.run(0.5)
        cell.set_capacity("a0", SMALL)
        cell.run(0.5)
        cell.set_capacity("a0", CAPACITY)
        cell.run(0.5)
        cell.submit(make_job("j", count=4))
        cell.run(0.04)
        self.assertEqual(4, len(cell.upstreams["a0"].runs))


class UnrunnableJobTest(unittest.TestCase):
    """Tests that a job that no worker can run any longer is refused at once."""

    def setUp(self):
        self.cell = CellSimulation(seed=1, agents=2)
        self.cell.delays_s = [0.002]
        self.cell.run(0.5)

    def shrink_all(self):
        for name in self.cell.upstreams:
            self.cell.set_capacity(name, SMALL)
        self.cell.run(0.3)

    def test_job_that_arrives_after_all_have_shrunk_is_refused_at_once(self):
        self.shrink_all()
        self.cell.submit(make_job("big", count=1, cpu=3000))
        self.cell.submit(make_job("small", count=1))
        self.cell.run(0.02)
        self.assertEqual({"big": JobState.UNKNOWN}, self.cell.answers)
        self.assertTrue(self.cell.dispatcher.has_not_run("big"))
        self.cell.run(2.0)
        self.assertEqual(JobState.COMPLETE, self.cell.answers["small"])

    def test_job_that_waits_while_all_shrink_is_refused_at_once(self):
        self.cell.submit(make_job("first", count=8))
        self.cell.run(0.02)
        self.cell.submit(make_job("big", count=1, cpu=3000))
        self.cell.run(0.02)
        self.shrink_all()
        self.assertEqual(JobState.UNKNOWN, self.cell.answers.get("big"))

    def test_job_that_has_begun_waits_for_capacity_to_grow(self):
        self.cell.submit(make_job("big", count=4, cpu=3000))
        self.cell.run(0.05)
        self.shrink_all()
        self.cell.run(2.0)
        self.assertNotIn("big", self.cell.answers)
        for name in self.cell.upstreams:
            self.cell.set_capacity(name, CAPACITY)
        self.cell.run(4.0)
        self.assertEqual(JobState.COMPLETE, self.cell.answers["big"])

    def test_job_with_time_left_waits_for_an_upstream_that_crashed(self):
        self.cell.set_capacity("a0", SMALL)
        self.cell.run(0.3)
        self.cell.stop_upstream("a1")
        self.cell.run(0.3)
        self.cell.submit(make_job("big", count=1, cpu=3000))
        self.cell.run(5.0)
        self.assertEqual(JobState.COMPLETE, self.cell.answers["big"])


if __name__ == "__main__":
    unittest.main()
