"""Tests of the paths between a dispatcher and agents that it is cut off from."""

import itertools
import unittest

from hawthornbarrow.cells import (
    ActiveRun,
    AttachWorker,
    Dispatcher,
    JobState,
    RelayRoutes,
    Resources,
    StartTasks,
    SubmitJob,
    TaskKey,
    WorkerRecord,
)
from hawthornbarrow.cells._dispatcher_path import DispatcherPath
from hawthornbarrow.cells.tests._cell_simulation import (
    CAPACITY,
    TIMING,
    CellSimulation,
    make_job,
    make_table,
)

HEARTBEAT_S = TIMING.heartbeat_interval_s


class DispatcherPathTest(unittest.TestCase):
    """Plays heartbeats that arrive or not, on the direct link and through relays."""

    def setUp(self):
        self.now_s = 10.0
        self.path = DispatcherPath(timing=TIMING, now_s=self.now_s)

    def heartbeat(self, relay="", *, age_s=0.0):
        return self.path.on_heartbeat(relay, self.now_s - age_s, self.now_s)

    def test_late_heartbeats_do_not_change_a_fresh_path(self):
        for _ in range(20):
            self.now_s += 3 * HEARTBEAT_S
            self.assertFalse(self.path.is_probe_due(self.now_s))
            self.assertFalse(self.heartbeat("r"))
            self.assertFalse(self.heartbeat())

    def test_silent_path_is_replaced_by_the_first_relay_that_answers(self):
        self.now_s += 4 * HEARTBEAT_S
        self.assertTrue(self.path.is_probe_due(self.now_s))
        self.assertTrue(self.heartbeat("r1"))
        self.assertFalse(self.heartbeat("r2"))
        self.assertEqual("r1", self.path.relay)

    def test_relay_that_delivers_old_frames_only_is_not_used(self):
        self.now_s += 4 * HEARTBEAT_S
        self.assertFalse(self.heartbeat("r", age_s=4 * HEARTBEAT_S))
        self.assertEqual("", self.path.relay)

    def test_link_that_is_cut_one_way_is_not_taken_for_sound(self):
        self.now_s += 4 * HEARTBEAT_S
        self.heartbeat("r")
        for step in range(20):
            self.now_s += HEARTBEAT_S
            self.heartbeat("r")
            self.assertFalse(self.heartbeat(age_s=(5 + step) * HEARTBEAT_S))
        self.assertEqual("r", self.path.relay)

    def test_direct_link_is_used_again_after_it_was_fresh_for_a_second(self):
        self.now_s += 4 * HEARTBEAT_S
        self.heartbeat("r")
        changes = []
        for _ in range(10):
            self.heartbeat("r")
            changes.append(self.heartbeat())
            self.now_s += HEARTBEAT_S
        self.assertEqual(7, changes.index(True))
        self.assertEqual("", self.path.relay)

    def test_probes_become_rarer_while_nothing_answers(self):
        probes = []
        for step in range(600):
            if self.path.is_probe_due(self.now_s + step / 100):
                probes.append(step / 100)
        gaps = [b - a for a, b in itertools.pairwise(probes)]
        self.assertLess(5, len(gaps))
        for gap, expected in zip(gaps, [0.15, 0.3, *[0.6] * len(gaps)], strict=False):
            self.assertAlmostEqual(expected, gap, delta=0.011)


class AttachOrderTest(unittest.TestCase):
    """Plays attach requests of one agent that arrive on different paths."""

    def setUp(self):
        self.dispatcher = Dispatcher(term=2, timing=TIMING, expected=(), now_s=10.0)
        self.dispatcher.set_table(make_table())

    def attach(self, session, *, sent_at_s, running=(), process=0):
        record = WorkerRecord(
            upstream="u", service="s", data_centre="d", labels=(), capacity=CAPACITY
        )
        message = AttachWorker(
            term=2,
            session=session,
            worker=record,
            is_leaving=False,
            running=list(running),
            ended=[],
            sent_at_s=sent_at_s,
            process=process,
        )
        self.dispatcher.attach("a", message, 10.0)
        return self.dispatcher.workers["a"]

    def test_outdated_request_does_not_make_a_running_task_start_again(self):
        job = make_job("j", count=1)
        submission = SubmitJob(document=job, age_s=0.0, was_offered=True)
        self.dispatcher.submit("e", submission, 10.0)
        task = TaskKey(job="j", step=0, index=0)
        run = ActiveRun(task=task, attempt=1, needs=Resources(cpu=1000), age_s=0.1)
        self.attach(22, sent_at_s=5.0, running=[run])
        worker = self.attach(11, sent_at_s=4.0)
        self.assertEqual(22, worker.session)
        self.assertIn(task, worker.runs)
        self.dispatcher.tick(10.1)
        self.assertEqual([], self.dispatcher.take_messages())

    def test_request_of_a_restarted_agent_with_an_earlier_clock_is_taken(self):
        self.attach(22, sent_at_s=5.0)
        self.dispatcher.on_agent_restarted("a", 100.0)
        self.assertEqual(33, self.attach(33, sent_at_s=0.5).session)

    def start_count_after_link(self, process):
        """Returns the number of starts after the direct link of a process is up."""
        self.attach(22, sent_at_s=5.0, process=7)
        self.dispatcher.on_agent_restarted("a", 10.0, process=process)
        submission = SubmitJob(
            document=make_job("j", count=1), age_s=0.0, was_offered=False
        )
        self.dispatcher.submit("e", submission, 10.0)
        self.dispatcher.tick(10.1)
        messages = self.dispatcher.take_messages()
        return sum(isinstance(message, StartTasks) for _, message in messages)

    def test_agent_that_attached_through_a_relay_before_its_link_gets_tasks(self):
        """Guards against 2.2 s without tasks after a restart of agent or dispatcher."""
        self.assertEqual(1, self.start_count_after_link(7))

    def test_agent_that_restarted_after_its_attach_request_gets_no_tasks(self):
        for process in (0, 8):
            self.setUp()
            self.assertEqual(0, self.start_count_after_link(process))


class RelayRoutesTest(unittest.TestCase):
    def setUp(self):
        self.routes = RelayRoutes(timing=TIMING)

    def test_first_relay_is_kept_until_it_is_silent(self):
        self.assertTrue(self.routes.on_frame("a", "r1", 5.0, 10.0))
        self.assertFalse(self.routes.on_frame("a", "r2", 5.0, 10.1))
        self.assertEqual("r1", self.routes.relay_of("a"))
        self.assertTrue(self.routes.on_frame("a", "r2", 5.6, 10.6))
        self.assertEqual("r2", self.routes.relay_of("a"))

    def test_newest_time_of_sending_counts(self):
        self.routes.on_frame("a", "r1", 5.0, 10.0)
        self.routes.on_frame("a", "r1", 4.8, 10.1)
        self.assertEqual(5.0, self.routes.sent_at_s("a"))

    def test_silent_agent_is_dropped(self):
        self.routes.on_frame("a", "r1", 5.0, 10.0)
        self.assertEqual(["a"], self.routes.agents(10.0 + TIMING.lost_after_s - 0.01))
        self.assertEqual([], self.routes.agents(10.0 + TIMING.lost_after_s + 0.01))
        self.assertEqual("", self.routes.relay_of("a"))


class RelayTest(unittest.TestCase):
    """Tests of agents that are cut off from the dispatcher but not from all entries."""

    def play_cut(self, relays):
        """Plays jobs beside a cut of one of three agents for three seconds."""
        cell = CellSimulation(seed=11)
        cell.delays_s = [0.002]
        cell.relays = relays
        cell.run(0.5)
        for index in range(60):
            if index == 10:
                cell.unreachable.add("a1")
            if index == 40:
                cell.unreachable.clear()
            cell.submit(make_job(f"j{index}", count=2))
            cell.run(0.1)
        cell.run(6.0)
        self.assertEqual({JobState.COMPLETE}, set(cell.answers.values()))
        self.assertEqual(60, len(cell.answers))
        return cell

    def test_runs_of_an_agent_that_is_cut_off_survive_through_a_relay(self):
        self.assertEqual(0, self.play_cut({"r0", "r1"}).agents["a1"].counts["run_lost"])
        self.assertLess(0, self.play_cut(set()).agents["a1"].counts["run_lost"])

    def test_agent_runs_tasks_while_it_is_cut_off(self):
        done = self.play_cut({"r0"}).agents["a1"].counts["run_done"]
        self.assertLess(self.play_cut(set()).agents["a1"].counts["run_done"], done)

    def test_agent_returns_to_the_direct_link(self):
        cell = self.play_cut({"r0", "r1"})
        self.assertEqual("", cell.agents["a1"].relay)
        self.assertFalse(cell.relay_routes.is_attached("a1"))

    def test_lost_relay_is_replaced_by_another(self):
        cell = CellSimulation(seed=12)
        cell.delays_s = [0.002]
        cell.relays = {"r0", "r1"}
        cell.run(0.5)
        cell.unreachable.add("a1")
        cell.run(1.5)
        first = cell.agents["a1"].relay
        cell.relays.remove(first)
        cell.run(1.5)
        self.assertEqual(cell.relays, {cell.agents["a1"].relay})
        self.assertIn("a1", cell.dispatcher.workers)

    def test_attach_request_that_a_later_one_has_overtaken_is_ignored(self):
        cell = CellSimulation(seed=14)
        cell.delays_s = [0.002]
        cell.relays = {"r0"}
        cell.slow_relays = {"r0"}
        cell.run(0.5)
        cell.unreachable.add("a1")
        cell.run(0.8)
        cell.relays.add("r1")
        for index in range(60):
            cell.submit(make_job(f"j{index}", count=2))
            cell.run(0.1)
        cell.unreachable.clear()
        cell.run(4.0)
        self.assertEqual(60, len(cell.answers))

    def test_takeover_reaches_an_agent_through_a_relay_before_its_leases_expire(self):
        cell = CellSimulation(seed=13)
        cell.delays_s = [0.002]
        cell.relays = {"r0"}
        cell.run(0.5)
        cell.unreachable.add("a1")
        cell.run(1.0)
        cell.take_over()
        cell.run(TIMING.lost_after_s - 0.2)
        self.assertFalse(cell.dispatcher.is_recovering(cell.now_s))
