"""Dispatcher and custodians together, under faults and virtual time."""

import random
import unittest

from hawthornbarrow.cells import JobState
from hawthornbarrow.cells.tests._cell_simulation import (
    TIMING,
    CellSimulation,
    job,
    table,
)

SEEDS = range(24)
FAULTS_A_RUN = 16


class CellTest(unittest.TestCase):
    def test_jobs_complete_on_a_calm_cell(self):
        cell = CellSimulation(seed=1)
        cell.run(0.5)
        for index in range(12):
            cell.submit(job(f"j{index}"))
        cell.run(5.0)
        self.assertEqual({JobState.COMPLETE}, set(cell.answers.values()))
        self.assertEqual(12, len(cell.answers))

    def test_takeover_adopts_what_runs(self):
        cell = CellSimulation(seed=2)
        cell.run(0.5)
        for index in range(4):
            cell.submit(job(f"j{index}", run_s=0.5))
        cell.run(0.1)
        started = sum(len(upstream.runs) for upstream in cell.upstreams.values())
        cell.take_over()
        cell.run(0.2)
        still = sum(len(upstream.runs) for upstream in cell.upstreams.values())
        self.assertGreater(started, 0)
        self.assertGreater(still, 0)
        cell.run(5.0)
        self.assertEqual(4, len(cell.answers))

    def test_takeover_with_an_agent_cut_off_waits_for_its_lease(self):
        cell = CellSimulation(seed=3)
        cell.run(0.5)
        cell.submit(job("j", count=8, run_s=0.5))
        cell.run(0.08)
        for upstream in cell.upstreams.values():
            upstream.hangs = True
        cell.cut.add("a0")
        cell.take_over()
        cell.run(1.5)
        for upstream in cell.upstreams.values():
            upstream.hangs = False
        cell.run(6.0)
        self.assertEqual({"j": JobState.COMPLETE}, cell.answers)

    def test_jobs_go_on_while_the_ledger_has_no_leader(self):
        cell = CellSimulation(seed=4)
        cell.run(0.5)
        cell.submit(job("before", count=4, run_s=0.3))
        cell.run(0.1)
        cell.lose_leader()
        cell.stand_by()
        self.assertIsNone(cell.dispatcher)
        cell.run(TIMING.lost_after_s + 0.1)
        cell.submit(job("during", count=4, run_s=0.3))
        cell.stand_by()
        cell.run(3.0)
        self.assertEqual({"before", "during"}, set(cell.answers))
        cell.submit(job("across", count=4, run_s=0.3))
        cell.run(0.1)
        cell.take_over()
        cell.run(3.0)
        self.assertEqual({JobState.COMPLETE}, set(cell.answers.values()))
        self.assertEqual(3, len(cell.answers))

    def test_orders_carried_out_late_never_run_beside_their_successors(self):
        for seed in range(6):
            cell = CellSimulation(seed=100 + seed)
            cell.silent_orders = set(cell.upstreams)
            cell.run(0.5)
            for index in range(10):
                cell.submit(job(f"j{index}"))
                cell.run(0.2)
            cell.run(8.0)
            cell.silent_orders = set()
            cell.run(6.0)
            self.assertEqual(10, len(cell.answers), seed)

    def test_lost_answers_leave_no_run_beside_its_successor(self):
        for seed in range(6):
            cell = CellSimulation(seed=200 + seed)
            cell.lost_answers = set(cell.upstreams)
            cell.run(0.5)
            for index in range(20):
                cell.submit(job(f"j{index}", count=4))
                cell.run(0.1)
            cell.run(10.0)
            self.assertEqual(20, len(cell.answers), seed)

    def test_worker_that_fails_all_gets_little_work(self):
        cell = CellSimulation(seed=5)
        cell.upstreams["a1"].fails_all = True
        cell.run(0.5)
        for index in range(30):
            cell.submit(job(f"j{index}", count=2))
            cell.run(0.1)
        cell.run(3.0)
        self.assertEqual({JobState.COMPLETE}, set(cell.answers.values()))
        self.assertLess(cell.upstreams["a1"].number, 15)

    def test_stalled_runs_go_on_elsewhere(self):
        cell = CellSimulation(seed=6)
        cell.run(0.5)
        cell.upstreams["a2"].hangs = True
        for index in range(6):
            cell.submit(job(f"j{index}", count=3))
        cell.run(8.0)
        self.assertEqual(6, len(cell.answers))

    def test_an_upstream_that_is_gone_draws_no_work(self):
        cell = CellSimulation(seed=7)
        cell.run(0.5)
        cell.upstreams["a1"].is_up = False
        for index in range(30):
            cell.submit(job(f"j{index}", count=2))
            cell.run(0.1)
        cell.run(3.0)
        self.assertEqual({JobState.COMPLETE}, set(cell.answers.values()))
        self.assertLess(cell.dispatcher.counts["run_lost"], 10)

    def test_an_upstream_that_answers_nothing_draws_no_work(self):
        cell = CellSimulation(seed=8)
        cell.run(0.5)
        cell.submit(job("first", count=8, run_s=0.5))
        cell.deaf.add("a1")
        for index in range(30):
            cell.submit(job(f"j{index}", count=2))
            cell.run(0.1)
        cell.run(4.0)
        self.assertEqual({JobState.COMPLETE}, set(cell.answers.values()))
        self.assertLess(cell.dispatcher.counts["run_lost"], 25)

    def test_random_faults_break_no_promise(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(seed)

    def play(self, seed):
        generator = random.Random(seed)
        cell = CellSimulation(seed=seed)
        cell.run(0.4)
        for number in range(FAULTS_A_RUN):
            for index in range(generator.randint(0, 3)):
                count = generator.randint(1, 6)
                cell.submit(job(f"s{seed}n{number}j{index}", count=count))
            self.disturb(cell, generator)
            cell.run(generator.choice([0.05, 0.3, 1.2, 2.0]))
        cell.cut.clear()
        cell.frozen.clear()
        cell.silent_orders.clear()
        cell.deaf.clear()
        cell.lost_answers.clear()
        for upstream in cell.upstreams.values():
            upstream.hangs = False
            upstream.fails_all = False
        if cell.dispatcher is None:
            cell.take_over()
        cell.run(25.0)
        self.assertEqual(set(cell.jobs), set(cell.answers))

    def disturb(self, cell, generator):
        name = generator.choice(list(cell.agents))
        match generator.choice(
            [
                "over",
                "leaderless",
                "standby",
                "cut",
                "heal",
                "crash",
                "restart",
                "mute",
                "freeze",
                "hang",
                "deaf",
                "lose",
            ]
        ):
            case "over":
                cell.take_over()
            case "leaderless":
                cell.lose_leader()
            case "standby":
                if cell.dispatcher is None:
                    cell.stand_by()
            case "cut":
                cell.cut.add(name)
            case "heal":
                cell.cut.clear()
                cell.frozen.clear()
            case "crash":
                cell.crash_upstream(name)
            case "restart":
                cell.start_agent(name)
            case "mute":
                cell.silent_orders ^= {name}
            case "freeze":
                cell.frozen ^= {name}
            case "lose":
                cell.lost_answers ^= {name}
            case "deaf":
                cell.deaf ^= {name}
            case "hang":
                cell.upstreams[name].hangs = not cell.upstreams[name].hangs


class NewJobsTest(unittest.TestCase):
    """A takeover with an agent missing that may hold work."""

    def take_over(self, *, is_handover_complete):
        cell = CellSimulation(seed=5)
        cell.all_offers_share = float(is_handover_complete)
        cell.run(0.5)
        cell.submit(job("old", count=8, run_s=0.5))
        cell.run(0.1)
        for upstream in cell.upstreams.values():
            upstream.hangs = True
        cell.cut.add("a0")
        cell.take_over()
        cell.submit(job("new", count=2, run_s=0.1))
        cell.run(0.9)
        runs = [task for up in cell.upstreams.values() for task in up.runs]
        return cell, [task for task in runs if task.startswith("new")]

    def test_new_jobs_begin_when_all_entries_have_offered_theirs(self):
        cell, started = self.take_over(is_handover_complete=True)
        self.assertEqual(2, len(started))
        waiting = cell.dispatcher.jobs["old"].waiting_tasks(0)
        self.assertTrue(waiting)

    def test_they_wait_while_an_entry_is_missing(self):
        _, started = self.take_over(is_handover_complete=False)
        self.assertEqual([], started)


class RefusalTest(unittest.TestCase):
    def setUp(self):
        self.age_s = 1.5
        self.cell = CellSimulation(seed=9)
        self.cell.run(0.5)
        self.cell.submit(job("ran", count=2, run_s=0.5))
        self.cell.run(0.1)

    def refusals(self):
        dispatcher = self.cell.dispatcher
        for name in ("ran", "new"):
            now_s = self.cell.now_s
            dispatcher._previous_runs.record_previous_submission(
                name, now_s - self.age_s, now_s
            )
        return {name: dispatcher.has_not_run(name) for name in ("ran", "new")}

    def test_a_new_dispatcher_knows_what_never_ran(self):
        self.cell.take_over()
        self.cell.run(1.0)
        self.assertEqual({"ran": False, "new": True}, self.refusals())

    def test_it_does_not_know_of_jobs_older_than_the_traces(self):
        self.age_s = 8.0
        self.cell.run(6.0)
        self.cell.take_over()
        self.cell.run(1.0)
        self.assertEqual({"ran": False, "new": False}, self.refusals())

    def test_it_does_not_know_while_an_agent_is_missing(self):
        self.cell.cut.add("a0")
        self.cell.take_over()
        self.cell.run(1.0)
        self.assertEqual({"ran": False, "new": False}, self.refusals())

    def test_jobs_that_can_not_begin_in_time_are_refused_early(self):
        cell = CellSimulation(seed=10)
        cell.run(0.5)
        for upstream in cell.upstreams.values():
            upstream.hangs = True
        for index in range(8):
            cell.submit(job(f"full{index}", count=2, run_s=30.0))
        cell.run(0.2)
        cell.dispatcher.set_table(table(objective_s=0.06))
        cell.submit(job("late", run_s=0.1))
        self.assertNotIn("late", cell.answers)
        cell.run(0.6)
        self.assertIs(JobState.UNKNOWN, cell.answers.get("late"))

    def test_a_job_that_a_takeover_keeps_for_too_long_is_refused_at_once(self):
        cell = self.cell
        cell.cut.add("a0")
        cell.all_offers_share = 0.0
        cell.take_over()
        cell.dispatcher.set_table(table(objective_s=0.06))
        cell.run(0.4)
        cell.submit(job("short", run_s=0.1))
        cell.submit(job("patient", run_s=5.0))
        cell.run(0.05)
        self.assertIs(JobState.UNKNOWN, cell.answers.get("short"))
        self.assertNotIn("patient", cell.answers)
