"""Tests of announcements that arrive after their sender has crashed."""

import random
import unittest

from hawthornbarrow.cells import (
    AttachWorker,
    DispatcherHeartbeat,
    JobState,
    ListedEndedRun,
    Listing,
    LoadFeature,
    Resources,
    RunLeaseTiming,
    RunOutcome,
    RunSupervisor,
    StartOrder,
    StartTasks,
    TaskKey,
    WorkerRecord,
    WorkerReport,
    first_term,
)
from hawthornbarrow.cells.tests._cell_simulation import CellSimulation, make_job

TIMING = RunLeaseTiming(run_lease_s=1.0, stop_s=0.05)
TERM = first_term(1)
TASK = TaskKey(job="j", step=0, index=0)
TICK_S = 0.05
SEEDS = range(16)
FAULT_COUNT = 12
FEATURES = frozenset({LoadFeature.UPSTREAM_DIRECTORY})


def record_of(upstream, born_ms=0):
    return WorkerRecord(
        upstream=upstream,
        service="s",
        data_centre="d",
        labels=(),
        capacity=Resources(cpu=8000),
        born_ms=born_ms,
    )


class LateAnnouncementTest(unittest.TestCase):
    """Plays an agent whose upstream answers as one incarnation only."""

    def setUp(self):
        self.now_s = 10.0
        self.running = ("u2", 0)  # the incarnation that answers, None for none
        self.is_silent = False
        self.restart_agent()

    def restart_agent(self):
        self.agent = RunSupervisor(
            timing=TIMING, generator=random.Random(1), now_s=self.now_s
        )
        self.session = 0
        self.attach_requests = []
        self.ended = []

    def announce(self, upstream, born_ms=0, *, is_leaving=False):
        worker = record_of(upstream, born_ms)
        return self.agent.announce(worker, is_leaving, self.now_s, address=upstream)

    def attach(self):
        self.announce(*self.running)
        self.tick(0.3)
        self.assertTrue(self.agent.is_attached)

    def start(self):
        order = StartOrder(task=TASK, attempt=1, spec="", needs=Resources(cpu=1000))
        message = StartTasks(term=TERM, session=self.session, orders=[order])
        self.agent.on_orders(message, self.now_s)
        self.assertEqual(1, self.agent.run_count)

    def tick(self, seconds):
        """Advances the time; the upstream answers as its protocol asks for."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += TICK_S
            heartbeat = DispatcherHeartbeat(
                term=TERM, heard_at_s=self.now_s, version=1, session=self.session
            )
            self.agent.on_heartbeat("d", heartbeat, self.now_s)
            self.ask()
            self.agent.tick(self.now_s)
            for _, message in self.agent.take_messages():
                self.ended += message.ended
                if isinstance(message, AttachWorker):
                    self.attach_requests.append(message)
                    self.session = message.session
                else:
                    self.assertIsInstance(message, WorkerReport)

    def ask(self):
        worker = self.agent.listed_worker
        if worker is None:
            return
        if self.is_silent and worker.upstream != self.running[0]:
            self.agent.contact.on_listing_overdue()
        elif self.running is None or worker.upstream != self.running[0]:
            self.agent.on_upstream_gone(worker.incarnation, self.now_s)
        else:
            listing = Listing(
                upstream=worker.upstream,
                asked_at_s=self.now_s,
                running=[],
                ended=[],
                born_ms=self.running[1],
            )
            self.agent.on_listing(listing, self.now_s)

    def test_late_announcement_ends_no_run_of_the_living_upstream(self):
        """Guards against second runs beside those of an upstream that is running."""
        self.attach()
        self.start()
        self.announce("u1")
        self.tick(1.0)
        self.assertEqual([], self.ended)
        self.assertEqual(("u2", 1), (self.agent.upstream, self.agent.run_count))
        self.assertEqual(1, self.agent.counts["late_announcement"])

    def test_living_upstream_is_used_after_a_late_announcement(self):
        """Guards against an upstream whose announcements are ignored from then on."""
        for has_refused in (False, True):
            with self.subTest(has_refused=has_refused):
                self.setUp()
                self.attach()
                if has_refused:
                    self.agent.on_upstream_gone("u2", self.now_s)
                self.announce("u1")
                self.tick(0.3)
                self.announce("u2")
                self.tick(0.3)
                self.assertTrue(self.agent.is_attached)
                self.assertEqual("u2", self.attach_requests[-1].worker.upstream)
                self.start()

    def test_restarted_agent_reports_no_loss_after_a_late_announcement(self):
        """Guards against second runs beside those that outlive their agent."""
        self.announce("u1")
        self.tick(TIMING.lost_after_s - 2 * TICK_S)
        self.assertEqual([], self.attach_requests)
        self.announce("u2")
        self.tick(0.2)
        self.assertEqual("u2", self.attach_requests[0].worker.upstream)

    def test_successor_replaces_a_crashed_upstream_with_its_first_listing(self):
        self.attach()
        self.start()
        self.running = ("u3", 0)
        self.announce("u3")
        self.tick(0.2)
        self.assertEqual("u3", self.agent.upstream)
        self.assertEqual({"u2"}, {run.crashed_upstream for run in self.ended})
        self.assertEqual({TASK}, {run.task for run in self.ended})
        self.assertEqual("u3", self.agent.address)

    def test_successor_replaces_a_silent_upstream_after_its_runs_have_ended(self):
        self.attach()
        self.start()
        self.running, self.is_silent = ("u3", 0), True
        self.announce("u3")
        self.tick(0.3)
        self.assertEqual(("u2", []), (self.agent.upstream, self.ended))
        self.tick(2.0)
        self.assertEqual("u3", self.agent.upstream)
        self.assertEqual({RunOutcome.LOST}, {run.end for run in self.ended})
        crashed = {run.crashed_upstream for run in self.attach_requests[-1].ended}
        self.assertIn("u2", crashed)

    def test_silent_upstream_is_asked_again_after_a_late_announcement(self):
        self.attach()
        self.is_silent = True
        running, self.running = self.running, ("nobody", 0)
        self.tick(1.5)
        self.announce("u1")
        self.is_silent = False
        self.agent.on_upstream_gone("u1", self.now_s)
        self.running = running
        self.tick(0.3)
        self.assertEqual("u2", self.agent.upstream)
        self.assertTrue(self.agent.is_attached)

    def test_successor_is_found_among_late_announcements(self):
        self.attach()
        self.running = ("u9", 0)
        self.announce("u9")
        self.announce("u1")
        self.announce("u3")
        self.tick(0.5)
        self.assertEqual("u9", self.agent.upstream)

    def test_no_ended_run_is_acknowledged_to_an_upstream_before_its_first_listing(self):
        """Guards against ends of a successor that count as noted before they occur."""
        self.attach()
        ended = ListedEndedRun(
            number=57, task=str(TASK), attempt=1, end=RunOutcome.DONE
        )
        listing = Listing(
            upstream="u2", asked_at_s=self.now_s, running=[], ended=[ended]
        )
        self.agent.on_listing(listing, self.now_s)
        self.assertEqual(57, self.agent.acknowledged)
        self.announce("u3")
        self.assertEqual(57, self.agent.acknowledged)
        self.agent.on_upstream_gone("u2", self.now_s)
        self.assertEqual("u3", self.agent.listed_worker.upstream)
        self.assertEqual(0, self.agent.acknowledged)

    def test_successor_that_is_leaving_is_attached_as_leaving(self):
        self.announce("u2", is_leaving=True)
        self.tick(0.2)
        self.assertTrue(self.attach_requests[-1].is_leaving)

    def test_announcement_is_dropped_when_its_sender_leaves(self):
        self.announce("u2")
        self.agent.withdraw("u2", self.now_s)
        self.assertIsNone(self.agent.listed_worker)

    def test_late_announcement_of_an_earlier_start_is_disproved_by_the_later_one(self):
        self.running = ("u", 2000)
        self.announce("u", 1000)
        self.tick(0.2)
        self.assertEqual("", self.agent.upstream)
        self.announce("u", 2000)
        self.tick(0.2)
        self.assertEqual("u@2000", self.agent.upstream)

    def test_number_of_kept_announcements_is_limited(self):
        self.attach()
        for number in range(1000):
            self.announce(f"v{number}")
        self.assertLess(len(self.agent._announced), 10)


class RandomDelayTest(unittest.TestCase):
    """Holds announcements up in virtual time; no invariant may be violated."""

    def test_late_announcements_violate_no_invariant(self):
        for seed in SEEDS:
            for keeps_id in (False, True):
                with self.subTest(seed=seed, keeps_id=keeps_id):
                    self.run_seed(seed, keeps_id)

    def run_seed(self, seed, keeps_id):
        generator = random.Random(seed)
        cell = CellSimulation(seed=seed, keeps_id=keeps_id, features=FEATURES)
        cell.delays_s = [0.002, 0.002, 0.01]
        for upstream in cell.upstreams.values():
            upstream.max_run_s = 1.5
        cell.run(0.5)
        for number in range(FAULT_COUNT):
            for index in range(3):
                cell.submit(make_job(f"{number}-{index}", run_s=1.0))
            cell.run(generator.uniform(0.05, 0.5))
            name = generator.choice(list(cell.agents))
            if name in cell.back_at_s:
                continue
            cell.announce_late(name, generator.uniform(0.3, 6.0))
            cell.stop_upstream(name, down_s=generator.uniform(0.05, 1.0))
            if generator.random() < 0.3:
                cell.restart_all_processes(election_s=generator.uniform(0.1, 1.0))
            cell.run(generator.uniform(0.05, 1.5))
        cell.run(7.0)
        for name in cell.agents:
            cell.announce(name)
        cell.run(1.0)
        cell.submit(make_job("last", count=8))
        cell.run(3.0)
        self.assertEqual(set(cell.jobs), set(cell.answers))
        self.assertIs(JobState.COMPLETE, cell.answers["last"])
        for name, agent in cell.agents.items():
            self.assertTrue(agent.is_attached)
            self.assertEqual(cell.record_of(name).incarnation, agent.upstream)


if __name__ == "__main__":
    unittest.main()
