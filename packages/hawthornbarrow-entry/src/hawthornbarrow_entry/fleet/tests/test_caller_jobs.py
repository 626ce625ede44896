"""Tests of the outcomes that callers get, across changes of the dispatcher."""

import math
import unittest

from hawthornbarrow.cells import (
    DispatcherHeartbeat,
    HandoverComplete,
    JobAnswer,
    JobDocument,
    JobState,
    LoadFeature,
    Resources,
    Step,
    SubmitJob,
    WithdrawJob,
)

from hawthornbarrow_entry.fleet import CallerJobs, OutcomeKind
from hawthornbarrow_entry.fleet._caller_jobs import TAKEOVER_TIMEOUT_S, Waiter
from hawthornbarrow_entry.fleet._gap_waits import MAX_WAITING_COUNT

STEP = Step(count=1, each=Resources(cpu=1), estimated_s=0.1)
JOB = JobDocument(job="j", queue="q", spec="", steps=(STEP,))


def waiter(*, give_up_at_s=100.0, is_abandoned=lambda: False):
    return Waiter(give_up_at_s=give_up_at_s, is_abandoned=is_abandoned)


class CallerJobsTest(unittest.TestCase):
    def setUp(self):
        self.caller_jobs = CallerJobs()

    def heartbeat(
        self, term, now_s, peer="d", *, releases_jobs=True, sent_at_s=-math.inf
    ):
        heartbeat = DispatcherHeartbeat(
            term=term,
            heard_at_s=now_s,
            version=1,
            releases_jobs=releases_jobs,
            sent_at_s=sent_at_s,
        )
        self.caller_jobs.on_heartbeat(peer, heartbeat, now_s)

    def submit(self, caller, now_s, *, objective_s=1.0):
        return self.submit_job(JOB, caller, now_s, objective_s=objective_s)

    def submit_job(self, job, caller, now_s, *, objective_s):
        return self.caller_jobs.submit(
            job, caller, now_s, received_at_s=now_s, objective_s=objective_s
        )

    def take_job_messages(self):
        """Returns the messages about single jobs."""
        return [
            (receiver, message)
            for receiver, message in self.caller_jobs.take_messages()
            if not isinstance(message, HandoverComplete)
        ]

    def test_handover_to_new_dispatcher_is_completed_once(self):
        self.heartbeat(1, 10.0)
        self.submit(waiter(), 10.0)
        self.caller_jobs.take_messages()
        self.heartbeat(2, 11.0, peer="d2")
        self.heartbeat(2, 11.1, peer="d2")
        submission, completion = self.caller_jobs.take_messages()
        self.assertTrue(submission[1].was_offered)
        self.assertEqual(("d2", HandoverComplete(term=2)), completion)

    def handed_over(self, *heartbeats):
        """Returns the last submission of a job after heartbeats of dispatchers."""
        for term, now_s, releases_jobs in heartbeats:
            self.heartbeat(term, now_s, peer=str(term), releases_jobs=releases_jobs)
            if not self.caller_jobs.job_count:
                self.submit(waiter(), now_s, objective_s=50.0)
        return self.take_job_messages()[-1][1]

    def test_standby_is_told_when_the_leader_was_heard_last(self):
        """Guards against a start beside a run of a leader that is cut off."""
        submission = self.handed_over((2, 10.0, True), (2, 10.5, True), (3, 12.0, True))
        self.assertEqual((3, 1.5), (submission.term, submission.former_silent_s))

    def test_leader_is_told_when_a_standby_was_heard_last(self):
        submission = self.handed_over((3, 10.0, True), (4, 10.1, True))
        self.assertAlmostEqual(0.1, submission.former_silent_s)
        submission = self.handed_over((3, 10.4, True), (6, 11.0, True))
        self.assertAlmostEqual(0.6, submission.former_silent_s)

    def test_former_leader_of_the_ledger_has_lost_its_authority(self):
        submission = self.handed_over((2, 10.0, True), (4, 10.1, True))
        self.assertEqual(math.inf, submission.former_silent_s)

    def test_dispatcher_of_an_older_version_may_keep_a_job(self):
        """Guards against a start beside a run of a leader of an older version."""
        submission = self.handed_over((2, 10.0, False), (3, 12.0, True))
        self.assertIsNone(submission.former_silent_s)
        submission = self.handed_over((4, 14.0, True))
        self.assertIsNone(submission.former_silent_s)

    def test_dispatcher_is_told_after_a_gap_that_it_is_followed(self):
        """Guards against jobs that wait, as their entry may follow another one."""
        self.heartbeat(2, 10.0, sent_at_s=50.0)
        self.caller_jobs.take_messages()
        self.heartbeat(2, 10.15, sent_at_s=50.15)
        self.assertEqual([], self.caller_jobs.take_messages())
        for at_s, sent_at_s in ((11.0, 50.3), (11.01, 51.0)):
            self.heartbeat(2, at_s, sent_at_s=sent_at_s)
            told = HandoverComplete(term=2, heartbeat_at_s=sent_at_s)
            self.assertEqual([("d", told)], self.caller_jobs.take_messages())
        for step in range(1, 7):
            self.heartbeat(2, 11.0 + 0.15 * step)
        self.caller_jobs.take_messages()
        self.heartbeat(2, 12.0)
        self.assertEqual([], self.caller_jobs.take_messages())

    def test_job_is_refused_at_once_without_dispatcher(self):
        outcome = self.submit(waiter(), 10.0)
        self.assertEqual(OutcomeKind.REFUSED, outcome.kind)
        self.assertGreater(outcome.retry_after_s, 0)
        self.assertEqual([], self.take_job_messages())

    def test_job_is_refused_at_once_if_information_is_stale(self):
        self.heartbeat(1, 10.0)
        self.assertIsNotNone(self.submit(waiter(), 12.0))

    def test_jobs_are_handed_over_to_new_dispatcher(self):
        self.heartbeat(1, 10.0)
        self.assertIsNone(self.submit(waiter(), 10.0))
        self.heartbeat(2, 11.0, peer="d2")
        first, second = self.take_job_messages()
        self.assertEqual(("d", False), (first[0], first[1].was_offered))
        self.assertEqual(("d2", True), (second[0], second[1].was_offered))

    def test_heartbeat_of_previous_dispatcher_is_ignored(self):
        self.heartbeat(2, 10.0, peer="d2")
        self.heartbeat(1, 10.1, peer="d")
        self.assertEqual("d2", self.caller_jobs.dispatcher)

    def test_refusal_after_previous_submission_is_reported_as_unknown(self):
        caller = waiter()
        self.heartbeat(1, 10.0)
        self.submit(caller, 10.0)
        self.heartbeat(2, 11.0)
        answer = JobAnswer(job="j", state=JobState.UNKNOWN, reason="no room")
        self.caller_jobs.on_answer(answer, 11.1)
        self.assertEqual([caller], self.caller_jobs.take_finished())
        self.assertEqual(OutcomeKind.UNKNOWN, caller.outcome.kind)

    def test_entry_takes_no_new_callers_while_dispatcher_is_silent(self):
        self.heartbeat(1, 10.0)
        self.assertTrue(self.caller_jobs.may_take_callers(10.5))
        self.assertFalse(self.caller_jobs.may_take_callers(10.7))
        self.assertTrue(self.caller_jobs.is_informed(10.7))
        self.heartbeat(2, 10.8, peer="d2")
        self.assertTrue(self.caller_jobs.may_take_callers(10.8))

    def test_entry_takes_no_new_callers_once_its_link_to_dispatcher_is_lost(self):
        self.heartbeat(1, 10.0)
        self.caller_jobs.on_link_down("d")
        self.assertFalse(self.caller_jobs.may_take_callers(10.05))

    def test_second_submission_at_same_entry_joins_first(self):
        self.heartbeat(1, 10.0)
        waiters = [waiter(), waiter()]
        for caller in waiters:
            self.submit(caller, 10.0)
        self.assertEqual(1, len(self.take_job_messages()))
        answer = JobAnswer(job="j", state=JobState.COMPLETE)
        self.caller_jobs.on_answer(answer, 10.5)
        self.assertEqual(waiters, self.caller_jobs.take_finished())

    def test_job_that_its_caller_left_is_withdrawn(self):
        self.heartbeat(1, 10.0)
        self.submit(waiter(is_abandoned=lambda: True), 10.0)
        self.caller_jobs.tick(10.1)
        messages = [message for _, message in self.take_job_messages()]
        self.assertIsInstance(messages[0], SubmitJob)
        self.assertEqual(WithdrawJob(job="j"), messages[1])
        self.assertEqual(0, self.caller_jobs.job_count)

    def test_each_caller_that_left_gets_an_outcome(self):
        """Guards against connections that are kept for good for callers that left."""
        left, stays = waiter(is_abandoned=lambda: True), waiter()
        self.heartbeat(1, 10.0)
        self.submit(left, 10.0)
        self.submit(stays, 10.0)
        self.caller_jobs.tick(10.1)
        self.assertEqual([left], self.caller_jobs.take_finished())
        self.assertIs(OutcomeKind.CANCELLED, left.outcome.kind)
        self.assertEqual(1, self.caller_jobs.job_count)
        stays.is_abandoned = lambda: True
        self.caller_jobs.tick(10.2)
        self.assertEqual([stays], self.caller_jobs.take_finished())
        self.assertEqual(0, self.caller_jobs.job_count)

    def test_cancelled_job_is_not_handed_over_but_cancelled_at_the_next_dispatcher(
        self,
    ):
        """Guards against cancels that end with the dispatcher that got them."""
        caller = waiter()
        self.heartbeat(1, 10.0)
        self.submit(caller, 10.0)
        self.caller_jobs.cancel("j", 10.1)
        self.caller_jobs.cancel("other", 10.2)
        self.assertIs(OutcomeKind.CANCELLED, caller.outcome.kind)
        self.take_job_messages()
        self.heartbeat(2, 11.0, peer="d2")
        cancels = [
            ("d2", WithdrawJob(job=job, is_cancelled=True)) for job in ("j", "other")
        ]
        self.assertEqual(cancels, self.take_job_messages())
        self.caller_jobs.on_path_changed(11.1)
        self.assertEqual(cancels, self.take_job_messages())

    def test_cancel_without_a_dispatcher_is_sent_to_the_first_one(self):
        self.caller_jobs.cancel("j", 10.0)
        self.assertEqual([], self.take_job_messages())
        self.heartbeat(1, 10.5)
        self.assertEqual(
            [("d", WithdrawJob(job="j", is_cancelled=True))], self.take_job_messages()
        )

    def test_submission_that_arrives_after_its_cancel_is_answered_at_once(self):
        self.heartbeat(1, 10.0)
        self.caller_jobs.cancel("j", 10.0)
        outcome = self.submit(waiter(), 12.0)
        self.assertIs(OutcomeKind.CANCELLED, outcome.kind)

    def test_unknown_job_is_gone_only_after_the_handover(self):
        self.heartbeat(1, 10.0)
        self.assertFalse(self.caller_jobs.is_gone(JobState.UNKNOWN, 10.5))
        self.assertTrue(self.caller_jobs.is_gone(JobState.UNKNOWN, 11.0))
        self.assertTrue(self.caller_jobs.is_gone(JobState.CANCELLED, 10.0))
        self.assertFalse(self.caller_jobs.is_gone(JobState.RUNNING, 12.0))

    def test_outcome_is_unknown_after_time_limit(self):
        caller = waiter(give_up_at_s=11.0)
        self.heartbeat(1, 10.0)
        self.submit(caller, 10.0)
        self.caller_jobs.tick(11.0)
        self.assertEqual([caller], self.caller_jobs.take_finished())
        self.assertEqual(OutcomeKind.UNKNOWN, caller.outcome.kind)

    def test_outcome_is_unknown_when_dispatcher_is_silent_too_long(self):
        caller = waiter()
        self.heartbeat(1, 10.0)
        self.submit(caller, 10.0)
        self.caller_jobs.tick(11.0)
        self.assertIsNone(caller.outcome)
        self.caller_jobs.tick(10.0 + TAKEOVER_TIMEOUT_S + 0.1)
        self.assertEqual(OutcomeKind.UNKNOWN, caller.outcome.kind)
        self.assertEqual(0, self.caller_jobs.job_count)

    def test_jobs_are_handed_over_to_standby(self):
        caller = waiter()
        self.heartbeat(1, 10.0)
        self.submit(caller, 10.0)
        self.caller_jobs.tick(11.4)
        self.take_job_messages()
        self.heartbeat(2, 11.5, peer="s")
        self.assertIsNone(caller.outcome)
        ((receiver, message),) = self.take_job_messages()
        self.assertEqual(("s", True), (receiver, message.was_offered))

    def test_job_never_submitted_to_dispatcher_is_refused(self):
        caller = waiter()
        self.heartbeat(1, 10.0)
        self.submit(caller, 10.6)
        self.assertEqual([], self.take_job_messages())
        self.caller_jobs.tick(11.0)
        self.assertEqual(OutcomeKind.REFUSED, caller.outcome.kind)
        self.assertGreater(caller.outcome.retry_after_s, 0)

    def test_wait_for_dispatcher_is_limited_by_objective(self):
        short, long = waiter(), waiter()
        self.heartbeat(1, 10.0)
        self.submit(short, 10.5, objective_s=0.4)
        other = JobDocument(job="long", queue="q", spec="", steps=(STEP,))
        self.submit_job(other, long, 10.5, objective_s=4.0)
        self.caller_jobs.tick(10.65)
        self.assertEqual(OutcomeKind.REFUSED, short.outcome.kind)
        self.assertIsNone(long.outcome)

    def test_submitted_job_does_not_wait_for_takeover_beyond_its_objective(self):
        caller = waiter()
        self.heartbeat(1, 10.0)
        self.submit(caller, 10.0, objective_s=0.2)
        self.caller_jobs.tick(10.35)
        self.assertIsNone(caller.outcome)
        self.caller_jobs.tick(10.65)
        self.assertEqual(OutcomeKind.UNKNOWN, caller.outcome.kind)
        messages = [message for _, message in self.take_job_messages()]
        self.assertIn(WithdrawJob(job="j"), messages)

    def test_job_is_not_submitted_while_dispatcher_link_is_down(self):
        self.heartbeat(1, 10.0)
        self.caller_jobs.on_link_down("other")
        self.submit(waiter(), 10.02)
        self.assertEqual(1, len(self.take_job_messages()))
        self.caller_jobs.on_link_down("d")
        other = JobDocument(job="k", queue="q", spec="", steps=(STEP,))
        self.submit_job(other, waiter(), 10.05, objective_s=1.0)
        self.assertEqual([], self.take_job_messages())
        self.heartbeat(2, 10.1, peer="d2")
        was_submitted = {
            message.document.job: message.was_offered
            for _, message in self.take_job_messages()
        }
        self.assertEqual({"j": True, "k": False}, was_submitted)

    def test_job_received_during_takeover_is_submitted_once(self):
        self.heartbeat(1, 10.0)
        self.submit(waiter(), 10.6)
        self.heartbeat(2, 10.8, peer="d2")
        self.heartbeat(2, 10.9, peer="d2")
        (message,) = self.take_job_messages()
        self.assertEqual(("d2", False), (message[0], message[1].was_offered))

    def test_older_configuration_is_accepted_for_limited_time(self):
        self.heartbeat(1, 10.0)
        heartbeat = DispatcherHeartbeat(term=1, heard_at_s=11.0, version=5)
        self.caller_jobs.on_heartbeat("d", heartbeat, 11.0)
        self.assertTrue(self.caller_jobs.accepts_version(4, 11.3))
        self.assertFalse(self.caller_jobs.accepts_version(4, 11.7))
        self.assertTrue(self.caller_jobs.accepts_version(5, 11.7))

    def test_refusal_of_job_known_not_to_have_run_is_reported_as_refusal(self):
        caller = waiter()
        self.heartbeat(1, 10.0)
        self.submit(caller, 10.0)
        self.heartbeat(2, 11.0)
        answer = JobAnswer(job="j", state=JobState.UNKNOWN, has_not_run=True, term=2)
        self.caller_jobs.on_answer(answer, 11.1)
        self.assertEqual(OutcomeKind.REFUSED, caller.outcome.kind)

    def test_refusal_of_previous_dispatcher_after_handover_is_ignored(self):
        caller = waiter()
        self.heartbeat(1, 10.0)
        self.submit(caller, 10.0)
        self.heartbeat(2, 11.0, peer="d2")
        late = JobAnswer(job="j", state=JobState.UNKNOWN, has_not_run=True, term=1)
        self.caller_jobs.on_answer(late, 11.1)
        self.assertEqual([], self.caller_jobs.take_finished())
        complete = JobAnswer(job="j", state=JobState.COMPLETE, term=2)
        self.caller_jobs.on_answer(complete, 11.2)
        self.assertEqual(OutcomeKind.COMPLETE, caller.outcome.kind)

    def test_refusal_without_term_after_handover_is_reported_as_unknown(self):
        caller = waiter()
        self.heartbeat(1, 10.0)
        self.submit(caller, 10.0)
        self.heartbeat(2, 11.0, peer="d2")
        answer = JobAnswer(job="j", state=JobState.UNKNOWN, has_not_run=True)
        self.caller_jobs.on_answer(answer, 11.1)
        self.assertEqual(OutcomeKind.UNKNOWN, caller.outcome.kind)

    def test_job_cancelled_by_previous_dispatcher_is_withdrawn_from_the_next(self):
        caller = waiter()
        self.heartbeat(1, 10.0)
        self.submit(caller, 10.0)
        self.heartbeat(2, 11.0, peer="d2")
        self.caller_jobs.take_messages()
        answer = JobAnswer(job="j", state=JobState.CANCELLED, term=1)
        self.caller_jobs.on_answer(answer, 11.1)
        self.assertEqual(OutcomeKind.CANCELLED, caller.outcome.kind)
        self.assertEqual([("d2", WithdrawJob(job="j"))], self.take_job_messages())


class GapWaitingTest(unittest.TestCase):
    """Tests of jobs that arrive while there is no dispatcher."""

    def setUp(self):
        self.jobs = CallerJobs(features=frozenset({LoadFeature.GAP_WAITING}))

    def heartbeat(self, term, now_s, *, heard_at_s=None):
        heard_at_s = now_s if heard_at_s is None else heard_at_s
        heartbeat = DispatcherHeartbeat(term=term, heard_at_s=heard_at_s, version=1)
        self.jobs.on_heartbeat(f"d{term}", heartbeat, now_s)

    def submit(self, now_s, *, job="j", caller=None, objective_s=1.0):
        document = JobDocument(job=job, queue="q", spec="", steps=(STEP,))
        caller = caller or waiter(give_up_at_s=now_s + 10.0)
        return self.jobs.submit(
            document, caller, now_s, received_at_s=now_s, objective_s=objective_s
        )

    def submissions(self):
        return [
            message
            for _, message in self.jobs.take_messages()
            if isinstance(message, SubmitJob)
        ]

    def test_job_waits_for_the_first_dispatcher_and_is_then_submitted_as_new(self):
        self.assertIsNone(self.submit(10.0))
        self.assertEqual(1, self.jobs.held_count)
        self.heartbeat(1, 10.4)
        (message,) = self.submissions()
        self.assertFalse(message.was_offered)
        self.assertAlmostEqual(0.4, message.age_s)
        self.assertEqual(0, self.jobs.held_count)
        self.assertEqual(1, self.jobs.counts["held_job_submitted"])

    def test_job_waits_when_information_is_old(self):
        self.heartbeat(1, 10.0)
        self.assertIsNone(self.submit(12.0))

    def test_job_waits_until_a_late_result_is_of_no_use(self):
        caller = waiter()
        self.submit(10.0, caller=caller, objective_s=0.25)
        self.jobs.tick(10.61)
        self.assertIsNone(caller.outcome)
        self.jobs.tick(10.63)
        self.assertIs(OutcomeKind.REFUSED, caller.outcome.kind)
        self.assertGreater(caller.outcome.retry_after_s, 0)
        self.assertEqual([], self.jobs.take_messages())
        self.assertEqual(1, self.jobs.counts["held_job_refused"])

    def test_refusal_comes_before_the_caller_gives_up(self):
        caller = waiter(give_up_at_s=11.0)
        self.submit(10.0, caller=caller, objective_s=3.0)
        self.jobs.tick(10.7)
        self.assertIsNone(caller.outcome)
        self.jobs.tick(10.85)
        self.assertIs(OutcomeKind.REFUSED, caller.outcome.kind)

    def test_job_that_is_already_too_late_is_refused_at_once(self):
        outcome = self.submit(10.0, caller=waiter(give_up_at_s=10.1))
        self.assertIs(OutcomeKind.REFUSED, outcome.kind)
        self.assertEqual(0, self.jobs.held_count)

    def test_number_of_jobs_without_dispatcher_is_limited(self):
        for index in range(MAX_WAITING_COUNT):
            self.assertIsNone(self.submit(10.0, job=f"j{index}"))
        outcome = self.submit(10.0, job="more")
        self.assertIs(OutcomeKind.REFUSED, outcome.kind)
        self.heartbeat(1, 10.2)
        self.assertIsNone(self.submit(10.2, job="more"))

    def test_job_of_a_caller_that_left_is_not_withdrawn_where_it_was_not_submitted(
        self,
    ):
        self.heartbeat(1, 10.0)
        self.jobs.take_messages()
        self.jobs.on_link_down("d1")
        self.submit(10.1, caller=waiter(is_abandoned=lambda: True))
        self.jobs.tick(10.2)
        self.assertEqual((0, 0), (self.jobs.job_count, self.jobs.held_count))
        self.assertEqual([], self.jobs.take_messages())

    def test_outdated_heartbeat_does_not_submit_a_job_that_can_still_be_refused(self):
        caller = waiter()
        self.submit(10.0, caller=caller)
        self.heartbeat(1, 10.1, heard_at_s=5.0)
        self.assertEqual([], self.submissions())
        self.jobs.finish_all("the entry stops", 10.2)
        self.assertIs(OutcomeKind.REFUSED, caller.outcome.kind)

    def test_job_that_a_lost_dispatcher_had_is_still_handed_over_as_offered(self):
        self.heartbeat(1, 10.0)
        self.submit(10.0)
        self.submissions()
        self.heartbeat(2, 11.0)
        (message,) = self.submissions()
        self.assertTrue(message.was_offered)

    def test_job_that_is_cancelled_while_it_waits_is_not_submitted_later(self):
        caller = waiter()
        self.submit(10.0, caller=caller)
        self.jobs.cancel("j", 10.1)
        self.assertIs(OutcomeKind.CANCELLED, caller.outcome.kind)
        self.heartbeat(1, 10.2)
        self.assertEqual([], self.submissions())
