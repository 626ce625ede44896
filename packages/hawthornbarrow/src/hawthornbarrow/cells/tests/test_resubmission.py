"""Tests that jobs which start early at a takeover never run beside previous runs."""

import math
import random
import unittest

from hawthornbarrow.cells import EntryWatch, ResubmissionBound, SubmitJob
from hawthornbarrow.cells._resubmission import LOST_ENTRY_WINDOW_S
from hawthornbarrow.cells.tests._cell_simulation import (
    TIMING,
    CellSimulation,
    ViolationError,
    make_job,
)

RESEND_S = 1.3
STATEMENT_INTERVAL_S = 0.15
MAX_ACKNOWLEDGEMENT_DELAY_S = 0.4
LONG_RUN_S = 6.0
LOSSES_S = 1.3
SEEDS = range(40)


class CallersSimulation(CellSimulation):
    """A cell with entries, whose callers submit their jobs again after a loss.

    Args:
        bound_s: Returns the time before which received jobs are new, or None for that
            of ResubmissionBound.
    """

    def __init__(self, *, seed, entries=5, bound_s=None):
        self.entries = {f"e{index}": [] for index in range(entries)}
        self.lost_entries = set()
        self.resubmissions = []
        self.received_at_s = {}
        self.offered = set()
        self.choose_bound_s = bound_s
        self.bound = ResubmissionBound(resend_s=RESEND_S)
        self.watch = EntryWatch(now_s=0.0)
        for name in self.entries:
            self.watch.on_link_up(name, is_restarted=True, now_s=0.0)
        self.stated_at_s = -math.inf
        super().__init__(seed=seed)

    def start_dispatcher(self, term, *, has_lease_expired):
        jobs, self.jobs = self.jobs, {}
        self.complete_handover_probability = 0.0
        super().start_dispatcher(term, has_lease_expired=has_lease_expired)
        self.jobs = jobs
        for name in self.entries.keys() - self.lost_entries:
            for document in self.entries[name]:
                if document.job not in self.answers:
                    self.offer(document)
        bound_s = self.bound.new_before_s
        if self.choose_bound_s is not None:
            bound_s = self.choose_bound_s(self)
        self.dispatcher.record_new_before(bound_s)

    def submit_at(self, entry, document):
        self.jobs[document.job] = document
        self.entries[entry].append(document)
        self.received_at_s[document.job] = self.now_s
        self.offer(document)

    def offer(self, document):
        if self.dispatcher is None:
            return
        message = SubmitJob(
            document=document,
            age_s=self.now_s - self.received_at_s[document.job],
            was_offered=document.job in self.offered,
        )
        self.offered.add(document.job)
        self.dispatcher.submit("entry", message, self.now_s)

    def lose_entry(self, name):
        """Breaks the connections of an entry's callers, who will come again."""
        self.lost_entries.add(name)
        for document in self.entries[name]:
            if document.job not in self.answers:
                at_s = self.now_s + RESEND_S + self.generator.uniform(0.0, 0.3)
                self.resubmissions.append((at_s, document))

    def step(self):
        super().step()
        if self.dispatcher is not None:
            self.state_entries()
        for item in [item for item in self.resubmissions if item[0] <= self.now_s]:
            self.resubmissions.remove(item)
            entry = min(self.entries.keys() - self.lost_entries)
            # The entry that gets it does not know that it was submitted before.
            self.offered.discard(item[1].job)
            self.submit_at(entry, item[1])

    def state_entries(self):
        """Lets the entries acknowledge frames, and hears what the dispatcher says."""
        delay_s = self.generator.uniform(0.0, MAX_ACKNOWLEDGEMENT_DELAY_S)
        for name in self.entries.keys() - self.lost_entries:
            self.watch.on_frame(name, self.now_s - delay_s)
        if self.now_s - self.stated_at_s < STATEMENT_INTERVAL_S:
            return
        self.stated_at_s = self.now_s
        age_s = self.watch.alive_age_s(dispatching_since_s=0.0, now_s=self.now_s)
        self.bound.on_heartbeat(self.now_s - self.generator.uniform(0, 0.1), age_s)


class TakeoverWithLostEntriesTest(unittest.TestCase):
    """Tests of takeovers in which entries and agents are lost too."""

    def run_losses(self, seed, *, bound_s=None):
        """Loses entries, agents and the dispatcher at about the same time."""
        generator = random.Random(seed)
        cell = CallersSimulation(seed=seed, bound_s=bound_s)
        cell.run(0.6)
        for index in range(10):
            entry = f"e{generator.randrange(2, 5)}"
            document = make_job(f"old{index}", count=2, run_s=0.5)
            cell.submit_at(entry, document)
        cell.run(0.1)
        # Its runs last until their leases expire; the others leave free capacity.
        missing = max(cell.agents, key=lambda name: len(cell.upstreams[name].runs))
        for run in cell.upstreams[missing].runs.values():
            run["ends_s"] = cell.now_s + LONG_RUN_S
        self.lose_all(cell, generator, missing)
        cell.run(generator.uniform(0.0, 0.7))
        new = [make_job(f"new{index}", count=1, run_s=0.1) for index in range(4)]
        for document in new[:2]:
            cell.submit_at("e0", document)
        cell.take_over()
        for document in new[2:]:
            cell.submit_at("e0", document)
        cell.run(0.3)
        started = [f"{job.job}.0.0.0" in cell.starts for job in new]
        cell.run(1.6)
        cell.unreachable.clear()
        cell.run(8.0)
        self.assertEqual(set(cell.jobs), set(cell.answers), seed)
        return started

    def lose_all(self, cell, generator, missing):
        """Loses two entries, an agent and then the dispatcher within LOSSES_S."""
        losses = [
            (generator.uniform(0.0, LOSSES_S), lambda: cell.lose_entry("e3")),
            (generator.uniform(0.0, LOSSES_S), lambda: cell.lose_entry("e4")),
            (
                generator.uniform(LOSSES_S / 2, LOSSES_S),
                lambda: cell.unreachable.add(missing),
            ),
            (LOSSES_S, cell.lose_leader),
        ]
        began_s = cell.now_s
        for after_s, lose in sorted(losses, key=lambda loss: loss[0]):
            cell.run(began_s + after_s - cell.now_s)
            lose()

    def test_resubmitted_jobs_never_run_beside_their_previous_runs(self):
        started = [self.run_losses(seed) for seed in SEEDS]
        self.assertTrue(any(any(jobs) for jobs in started))

    def test_simulation_finds_a_bound_that_ignores_lost_entries(self):
        with self.assertRaises(ViolationError):
            for seed in SEEDS:
                self.run_losses(seed, bound_s=lambda cell: math.inf)

    def test_simulation_finds_a_bound_that_counts_from_the_takeover(self):
        with self.assertRaises(ViolationError):
            for seed in SEEDS:
                self.run_losses(seed, bound_s=lambda cell: cell.now_s + RESEND_S)

    def test_new_jobs_start_although_an_entry_was_lost_with_the_dispatcher(self):
        cell = CallersSimulation(seed=3)
        cell.run(0.6)
        cell.unreachable.add("a0")
        cell.lose_entry("e4")
        cell.lose_leader()
        cell.run(0.3)
        cell.submit_at("e0", make_job("new", count=1, run_s=0.1))
        cell.take_over()
        cell.run(0.3)
        self.assertTrue(cell.dispatcher.is_recovering(cell.now_s))
        self.assertTrue(cell.dispatcher.jobs["new"].has_begun)

    def test_job_that_may_be_a_resubmission_waits_for_the_missing_agent(self):
        cell = CallersSimulation(seed=3)
        cell.run(0.6)
        cell.unreachable.add("a0")
        cell.lose_entry("e4")
        cell.lose_leader()
        cell.run(0.6)
        cell.take_over()
        cell.run(RESEND_S - 0.6)
        cell.submit_at("e0", make_job("late", count=1, run_s=0.1))
        cell.run(0.2)
        self.assertTrue(cell.dispatcher.is_recovering(cell.now_s))
        self.assertFalse(cell.dispatcher.jobs["late"].has_begun)
        cell.run(TIMING.lost_after_s)
        self.assertTrue(cell.dispatcher.jobs["late"].has_begun)


class EntryWatchTest(unittest.TestCase):
    def setUp(self):
        self.watch = EntryWatch(now_s=0.0)
        for entry in ("e1", "e2"):
            self.watch.on_link_up(entry, is_restarted=True, now_s=0.0)
        self.now_s = LOST_ENTRY_WINDOW_S + 1.0

    def age_s(self, *, dispatching_since_s=0.0):
        return self.watch.alive_age_s(
            dispatching_since_s=dispatching_since_s, now_s=self.now_s
        )

    def test_age_is_that_of_the_entry_confirmed_longest_ago(self):
        self.watch.on_frame("e1", self.now_s - 0.1)
        self.watch.on_frame("e2", self.now_s - 0.4)
        self.watch.on_frame("e2", self.now_s - 0.6)
        self.assertAlmostEqual(0.4, self.age_s())

    def test_entry_that_never_confirmed_a_frame_makes_the_age_infinite(self):
        self.watch.on_frame("e1", self.now_s)
        self.watch.on_frame("e2", math.inf)
        self.assertEqual(math.inf, self.age_s())

    def test_nothing_is_known_after_the_loss_or_start_of_an_entry(self):
        for change in (
            lambda at_s: self.watch.on_link_down("e3", at_s),
            lambda at_s: self.watch.on_link_up("e2", is_restarted=True, now_s=at_s),
        ):
            change(self.now_s - LOST_ENTRY_WINDOW_S + 0.1)
            for entry in ("e1", "e2"):
                self.watch.on_frame(entry, self.now_s)
            self.assertEqual(math.inf, self.age_s())
            self.now_s += 0.2
            self.assertLess(self.age_s(), 1.0)

    def test_link_that_came_back_without_a_restart_changes_nothing(self):
        for entry in ("e1", "e2"):
            self.watch.on_frame(entry, self.now_s)
        self.watch.on_link_up("e2", is_restarted=False, now_s=self.now_s)
        self.assertLess(self.age_s(), 1.0)

    def test_nothing_is_known_at_the_begin_of_a_term(self):
        for entry in ("e1", "e2"):
            self.watch.on_frame(entry, self.now_s)
        self.assertEqual(math.inf, self.age_s(dispatching_since_s=self.now_s - 3.0))


class ResubmissionBoundTest(unittest.TestCase):
    def test_no_job_is_known_to_be_new_without_a_resend_delay(self):
        bound = ResubmissionBound(resend_s=None)
        bound.on_heartbeat(100.0, 0.2)
        self.assertEqual(-math.inf, bound.new_before_s)

    def test_bound_is_below_the_earliest_resubmission(self):
        bound = ResubmissionBound(resend_s=RESEND_S)
        self.assertEqual(-math.inf, bound.new_before_s)
        bound.on_heartbeat(100.0, 0.2)
        self.assertLess(bound.new_before_s, 99.8 + RESEND_S)
        self.assertGreater(bound.new_before_s, 99.6 + RESEND_S)

    def test_later_heartbeat_without_knowledge_does_not_lower_the_bound(self):
        bound = ResubmissionBound(resend_s=RESEND_S)
        bound.on_heartbeat(100.0, 0.2)
        known_s = bound.new_before_s
        bound.on_heartbeat(101.0, math.inf)
        self.assertEqual(known_s, bound.new_before_s)
