"""Tests of what a dispatcher may run while another dispatcher may be at work."""

import math
import unittest

from hawthornbarrow.cells import (
    AttachWorker,
    Dispatcher,
    DispatcherHeartbeat,
    DispatchScope,
    FollowingAgents,
    Resources,
    StartTasks,
    StopTasks,
    SubmitJob,
    Superseded,
    WorkerRecord,
    WorkerReport,
    first_term,
)
from hawthornbarrow.cells._dispatch_scope import (
    REACTION_S,
    RESUME_S,
    RETIRED_RETENTION_S,
)
from hawthornbarrow.cells._parts import EndedRun, RunOutcome
from hawthornbarrow.cells._timing import CONTACT_TIMEOUT_S, ENTRY_CONTACT_S
from hawthornbarrow.cells.tests._cell_simulation import (
    TIMING,
    CellSimulation,
    make_job,
    make_table,
)

AGENTS = frozenset({"a", "b", "c", "d", "e"})
TERM = first_term(2)
RESEND_S = 1.3
NOTICE_S = TIMING.heartbeat_interval_s + ENTRY_CONTACT_S + REACTION_S
RELEASE_S = NOTICE_S + TIMING.lost_after_s


class FollowingAgentsTest(unittest.TestCase):
    """Tests with five agents that the ledger lists, which attached at time zero."""

    def setUp(self):
        self.following = FollowingAgents()
        self.following.begin_term()

    def attach(self, *agents, now_s=0.0):
        for agent in agents:
            self.following.on_attach(agent, now_s, now_s)

    def scope(self, now_s=0.0, agents=AGENTS, *, is_standby=False):
        return self.following.scope(agents, now_s, is_standby=is_standby)

    def test_leader_without_a_majority_of_the_agents_knows_of_a_part_only(self):
        self.attach("a", "b")
        self.assertIs(DispatchScope.PART, self.scope())
        self.attach("c")
        self.assertIs(DispatchScope.MAJORITY, self.scope())
        self.attach("d", "e")
        self.assertIs(DispatchScope.ALL, self.scope())

    def test_standby_with_a_majority_may_share_the_agents_with_a_leader(self):
        self.attach("a", "b", "c", "d")
        self.assertIs(DispatchScope.PART, self.scope(is_standby=True))
        self.attach("e")
        self.assertIs(DispatchScope.ALL, self.scope(is_standby=True))

    def test_contact_is_what_an_agent_has_heard_of_this_process(self):
        self.attach("a", "b", "c")
        now_s = CONTACT_TIMEOUT_S - 0.1
        for agent, contact_at_s in (("a", now_s), ("b", now_s), ("c", 0.05)):
            self.following.on_frame(agent, contact_at_s, now_s)
        self.assertIs(DispatchScope.MAJORITY, self.scope(now_s))
        self.assertIs(DispatchScope.PART, self.scope(now_s + 0.3))

    def test_frames_after_a_gap_do_not_show_whom_an_agent_follows(self):
        """Guards against runs that resume before a report of a higher term arrives."""
        self.attach("a", "b", "c")
        for agent in ("a", "b", "c"):
            self.following.on_frame(agent, 5.0, 5.0)
        self.assertIs(DispatchScope.PART, self.scope(5.0))
        self.following.on_report("a", 0.2, 5.0)
        self.following.on_report("b", 4.9, 5.0)
        self.following.on_report("c", 4.9, 5.0)
        self.assertIs(DispatchScope.PART, self.scope(5.0))
        self.following.on_report("a", 4.9, 5.0)
        self.assertIs(DispatchScope.MAJORITY, self.scope(5.0))

    def test_agents_of_an_older_version_count_after_a_longer_contact(self):
        for agent in ("a", "b", "c"):
            self.following.on_attach(agent, -math.inf, 0.0)
        for now_s in (0.0, 0.4, 0.8):
            for agent in ("a", "b", "c"):
                self.following.on_frame(agent, now_s, now_s)
        self.assertIs(DispatchScope.PART, self.scope(0.9))
        self.assertIs(DispatchScope.MAJORITY, self.scope(RESUME_S))

    def test_frames_of_agents_that_have_not_attached_do_not_count(self):
        for now_s in (0.0, 0.4, 0.8, 1.2):
            for agent in AGENTS:
                self.following.on_frame(agent, now_s, now_s)
        self.assertIs(DispatchScope.PART, self.scope(1.2))

    def test_restarted_agent_counts_once_it_has_attached_again(self):
        self.attach("a", "b", "c")
        self.following.on_restarted("c")
        self.following.on_frame("c", 0.0, 0.0)
        self.assertIs(DispatchScope.PART, self.scope())

    def test_retired_agents_count_while_entries_may_not_know_of_it(self):
        """Guards against two majorities, of an old and of a new list of agents."""
        self.attach("a", "b")
        for agent in ("d", "e"):
            self.following.on_retired(agent, 0.0)
        # The ledger lists them until the command is committed.
        self.assertIs(DispatchScope.PART, self.scope(0.05))
        self.assertIs(DispatchScope.PART, self.scope(0.1, {"a", "b", "c"}))
        later_s = RETIRED_RETENTION_S + 0.1
        self.attach("a", "b", now_s=later_s)
        self.assertIs(DispatchScope.MAJORITY, self.scope(later_s, {"a", "b", "c"}))


class ScopedDispatchTest(unittest.TestCase):
    """Tests of a dispatcher with one attached agent and the entries e and f."""

    def setUp(self):
        self.start_dispatcher(resend_s=RESEND_S)

    def start_dispatcher(self, *, resend_s, missing=()):
        self.now_s = 10.0
        self.dispatcher = Dispatcher(
            term=TERM,
            timing=TIMING,
            expected=missing,
            now_s=self.now_s,
            resend_s=resend_s,
        )
        self.dispatcher.set_table(make_table(objective_s=4.0))
        worker = WorkerRecord(
            upstream="u",
            service="s",
            data_centre="d",
            labels=(),
            capacity=Resources(cpu=4000, memory_mb=4000),
        )
        attach = AttachWorker(
            term=TERM, session=1, worker=worker, is_leaving=False, running=[], ended=[]
        )
        self.dispatcher.attach("a", attach, self.now_s)

    def set_scope(self, scope, *entries):
        self.dispatcher.set_scope(scope, frozenset(entries))

    def submit(self, job="j", entry="e", **fields):
        fields = {"age_s": 0.0, "was_offered": False, **fields}
        message = SubmitJob(document=make_job(job, count=1), **fields)
        self.dispatcher.submit(entry, message, self.now_s)

    def run_until(self, at_s):
        """Returns the kinds of the orders to the agent, with their times."""
        orders = []
        while self.now_s < at_s:
            self.now_s = round(self.now_s + 0.05, 2)
            self.dispatcher.on_frame("a", self.now_s)
            self.dispatcher.tick(self.now_s)
            for _, message in self.dispatcher.take_messages():
                if isinstance(message, StartTasks | StopTasks):
                    orders.append((type(message), self.now_s))
        return orders

    def started_at_s(self, until_s):
        starts = [at_s for kind, at_s in self.run_until(until_s) if kind is StartTasks]
        return starts[0] if starts else None

    def test_new_jobs_of_entries_in_contact_start_without_a_delay(self):
        self.set_scope(DispatchScope.PART, "e")
        self.submit()
        self.assertEqual(10.05, self.started_at_s(10.5))

    def test_offered_job_starts_once_the_other_dispatcher_has_released_it(self):
        """Guards against a start beside a run of a leader that is cut off."""
        for scope in (DispatchScope.PART, DispatchScope.MAJORITY):
            with self.subTest(scope=scope):
                self.start_dispatcher(resend_s=RESEND_S, missing=("b",))
                self.set_scope(scope, "e")
                self.submit(was_offered=True, former_silent_s=0.2)
                started_at_s = self.started_at_s(13.0)
                self.assertGreaterEqual(started_at_s, 10.0 + RELEASE_S - 0.2)
                self.assertLess(started_at_s, 10.2 + RELEASE_S - 0.2)

    def test_offered_job_starts_at_once_when_all_agents_have_told_their_runs(self):
        for scope in DispatchScope:
            with self.subTest(scope=scope):
                self.start_dispatcher(resend_s=RESEND_S)
                self.set_scope(scope, "e")
                self.submit(was_offered=True, former_silent_s=0.0)
                self.assertEqual(10.05, self.started_at_s(10.5))

    def test_offered_job_that_may_be_kept_starts_only_with_a_majority(self):
        """Guards against a start beside a run of a leader of an older version."""
        self.start_dispatcher(resend_s=RESEND_S, missing=("b",))
        self.set_scope(DispatchScope.PART, "e")
        self.submit(was_offered=True)
        self.assertIsNone(self.started_at_s(10.0 + RELEASE_S + 0.5))
        self.start_dispatcher(resend_s=RESEND_S, missing=("b",))
        self.set_scope(DispatchScope.MAJORITY, "e")
        self.submit(was_offered=True)
        self.assertIsNotNone(self.started_at_s(10.0 + RELEASE_S + 0.5))

    def test_possible_resubmission_waits_where_callers_return_at_once(self):
        self.start_dispatcher(resend_s=None)
        self.set_scope(DispatchScope.PART, "e")
        self.submit()
        self.assertGreaterEqual(self.started_at_s(12.0), 10.0 + NOTICE_S)

    def test_runs_are_stopped_when_their_entry_may_follow_another_dispatcher(self):
        """Guards against runs that a leader renews for an entry that has left it."""
        self.set_scope(DispatchScope.PART, "e")
        self.submit()
        self.run_until(10.2)
        self.set_scope(DispatchScope.PART, "f")
        kinds = [kind for kind, _ in self.run_until(10.5)]
        self.assertEqual([StopTasks], kinds)
        ended = EndedRun(
            number=1,
            task=next(iter(self.dispatcher.workers["a"].runs)),
            attempt=1,
            end=RunOutcome.STOPPED,
        )
        report = WorkerReport(session=1, is_leaving=False, ended=[ended])
        self.dispatcher.report("a", report, self.now_s)
        self.assertEqual([], self.run_until(11.0))
        self.set_scope(DispatchScope.PART, "e")
        kinds = [kind for kind, _ in self.run_until(11.2)]
        self.assertEqual([StartTasks], kinds)

    def test_runs_go_on_with_a_majority_although_their_entry_is_silent(self):
        self.set_scope(DispatchScope.MAJORITY, "e")
        self.submit()
        self.run_until(10.2)
        self.set_scope(DispatchScope.MAJORITY, "f")
        self.assertEqual([], self.run_until(11.0))

    def test_job_of_a_restarted_entry_does_not_go_on_for_its_former_process(self):
        self.set_scope(DispatchScope.PART, "e")
        self.submit()
        self.run_until(10.2)
        self.dispatcher.on_entry_restarted("e")
        kinds = [kind for kind, _ in self.run_until(10.5)]
        self.assertEqual([StopTasks], kinds)

    def test_late_submission_to_a_former_dispatcher_is_ignored(self):
        """Guards against "not run" for a job that ran at another dispatcher since."""
        self.submit(term=first_term(1))
        self.assertEqual({}, self.dispatcher.jobs)
        self.submit(term=TERM)
        self.assertEqual(["j"], list(self.dispatcher.jobs))


class InformTest(unittest.TestCase):
    """Tests of an agent that follows a leader and hears other dispatchers."""

    def setUp(self):
        self.simulation = CellSimulation(seed=1, agents=1)
        self.simulation.run(1.0)
        self.agent = self.simulation.agents["a0"]
        self.agent.take_messages()

    def informed(self, term, session=0):
        heartbeat = DispatcherHeartbeat(
            term=term, heard_at_s=self.simulation.now_s, version=1, session=session
        )
        self.agent.on_heartbeat("x", heartbeat, self.simulation.now_s)
        superseded = Superseded(term=self.agent.term)
        return ("x", superseded) in self.agent.take_messages()

    def test_former_dispatchers_that_count_on_an_agent_are_informed(self):
        """Guards against a standby that counts an agent which follows another one."""
        self.simulation.take_over()
        self.simulation.run(1.0)
        self.agent.take_messages()
        self.assertTrue(self.informed(first_term(1)))
        self.assertTrue(self.informed(first_term(1) + 1, session=3))

    def test_dispatcher_is_told_after_a_gap_that_it_is_followed(self):
        now_s = self.simulation.now_s
        for gap_s, is_told in ((0.1, False), (0.5, True), (0.1, True), (0.5, True)):
            now_s += gap_s
            heartbeat = self.simulation.dispatcher.heartbeat_for_agent(
                "a0", now_s, sent_at_s=now_s - 20.0
            )
            self.agent.on_heartbeat("e", heartbeat, now_s)
            self.agent.tick(now_s)
            reports = [
                message.heartbeat_at_s
                for _, message in self.agent.take_messages()
                if isinstance(message, WorkerReport)
            ]
            self.assertEqual([now_s - 20.0] if is_told else [], reports)

    def test_standby_that_does_not_count_on_an_agent_is_not_informed(self):
        self.simulation.take_over()
        self.simulation.run(1.0)
        self.agent.take_messages()
        self.assertFalse(self.informed(first_term(1) + 1))
        self.assertFalse(self.informed(first_term(9)))


if __name__ == "__main__":
    unittest.main()
