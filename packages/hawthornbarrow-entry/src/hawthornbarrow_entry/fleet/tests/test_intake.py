"""What callers are told, whoever dispatches."""

import unittest

from hawthornbarrow.cells import (
    DispatcherHeartbeat,
    HandoverComplete,
    JobAnswer,
    JobDocument,
    JobState,
    Resources,
    Step,
    SubmitJob,
    WithdrawJob,
)

from hawthornbarrow_entry.fleet import Intake, OutcomeKind
from hawthornbarrow_entry.fleet._intake import STANDBY_LIMIT_S, Waiter

STEP = Step(count=1, each=Resources(cpu=1), estimated_s=0.1)
JOB = JobDocument(job="j", queue="q", spec="", steps=(STEP,))


def waiter(*, give_up_at_s=100.0, is_abandoned=lambda: False):
    return Waiter(give_up_at_s=give_up_at_s, is_abandoned=is_abandoned)


class IntakeTest(unittest.TestCase):
    def setUp(self):
        self.intake = Intake()

    def pulse(self, term, now_s, peer="d"):
        pulse = DispatcherHeartbeat(term=term, heard_at_s=now_s, version=1)
        self.intake.take_pulse(peer, pulse, now_s)

    def submit(self, one, now_s, *, objective_s=1.0):
        return self.intake.submit(JOB, one, now_s, objective_s=objective_s)

    def take_jobs(self):
        """Returns the messages about jobs."""
        return [
            (receiver, message)
            for receiver, message in self.intake.take_messages()
            if not isinstance(message, HandoverComplete)
        ]

    def test_a_new_dispatcher_is_told_once_when_it_has_all_offers(self):
        self.pulse(1, 10.0)
        self.submit(waiter(), 10.0)
        self.intake.take_messages()
        self.pulse(2, 11.0, peer="d2")
        self.pulse(2, 11.1, peer="d2")
        offer, end = self.intake.take_messages()
        self.assertTrue(offer[1].was_offered)
        self.assertEqual(("d2", HandoverComplete(term=2)), end)

    def test_without_a_dispatcher_a_job_is_refused_at_once(self):
        outcome = self.submit(waiter(), 10.0)
        self.assertEqual(OutcomeKind.REFUSED, outcome.kind)
        self.assertGreater(outcome.retry_after_s, 0)
        self.assertEqual([], self.take_jobs())

    def test_stale_information_refuses_too(self):
        self.pulse(1, 10.0)
        self.assertIsNotNone(self.submit(waiter(), 12.0))

    def test_a_new_dispatcher_is_offered_what_is_held(self):
        self.pulse(1, 10.0)
        self.assertIsNone(self.submit(waiter(), 10.0))
        self.pulse(2, 11.0, peer="d2")
        first, second = self.take_jobs()
        self.assertEqual(("d", False), (first[0], first[1].was_offered))
        self.assertEqual(("d2", True), (second[0], second[1].was_offered))

    def test_an_older_dispatcher_is_ignored(self):
        self.pulse(2, 10.0, peer="d2")
        self.pulse(1, 10.1, peer="d")
        self.assertEqual("d2", self.intake.dispatcher)

    def test_a_refusal_after_an_earlier_offer_is_not_called_one(self):
        held = waiter()
        self.pulse(1, 10.0)
        self.submit(held, 10.0)
        self.pulse(2, 11.0)
        answer = JobAnswer(job="j", state=JobState.UNKNOWN, reason="no room")
        self.intake.take_answer(answer, 11.1)
        self.assertEqual([held], self.intake.take_finished())
        self.assertEqual(OutcomeKind.UNKNOWN, held.outcome.kind)

    def test_a_second_submission_at_the_same_entry_joins(self):
        self.pulse(1, 10.0)
        waiters = [waiter(), waiter()]
        for one in waiters:
            self.submit(one, 10.0)
        self.assertEqual(1, len(self.take_jobs()))
        answer = JobAnswer(job="j", state=JobState.COMPLETE)
        self.intake.take_answer(answer, 10.5)
        self.assertEqual(waiters, self.intake.take_finished())

    def test_a_job_that_its_caller_left_is_withdrawn(self):
        self.pulse(1, 10.0)
        self.submit(waiter(is_abandoned=lambda: True), 10.0)
        self.intake.tick(10.1)
        messages = [message for _, message in self.take_jobs()]
        self.assertIsInstance(messages[0], SubmitJob)
        self.assertEqual(WithdrawJob(job="j"), messages[1])
        self.assertEqual(0, self.intake.held_count)

    def test_the_time_limit_ends_the_wait_as_unknown(self):
        held = waiter(give_up_at_s=11.0)
        self.pulse(1, 10.0)
        self.submit(held, 10.0)
        self.intake.tick(11.0)
        self.assertEqual([held], self.intake.take_finished())
        self.assertEqual(OutcomeKind.UNKNOWN, held.outcome.kind)

    def test_a_silent_dispatcher_leaves_no_caller_waiting(self):
        held = waiter()
        self.pulse(1, 10.0)
        self.submit(held, 10.0)
        self.intake.tick(11.0)
        self.assertIsNone(held.outcome)
        self.intake.tick(10.0 + STANDBY_LIMIT_S + 0.1)
        self.assertEqual(OutcomeKind.UNKNOWN, held.outcome.kind)
        self.assertEqual(0, self.intake.held_count)

    def test_a_standby_is_offered_what_is_held(self):
        held = waiter()
        self.pulse(1, 10.0)
        self.submit(held, 10.0)
        self.intake.tick(11.4)
        self.take_jobs()
        self.pulse(2, 11.5, peer="s")
        self.assertIsNone(held.outcome)
        ((receiver, message),) = self.take_jobs()
        self.assertEqual(("s", True), (receiver, message.was_offered))

    def test_a_job_that_was_never_offered_is_refused_truly_and_soon(self):
        held = waiter()
        self.pulse(1, 10.0)
        self.submit(held, 10.6)
        self.assertEqual([], self.take_jobs())
        self.intake.tick(11.0)
        self.assertEqual(OutcomeKind.REFUSED, held.outcome.kind)
        self.assertGreater(held.outcome.retry_after_s, 0)

    def test_a_job_waits_for_a_dispatcher_as_long_as_its_objective_allows(self):
        short, long = waiter(), waiter()
        self.pulse(1, 10.0)
        self.submit(short, 10.5, objective_s=0.4)
        other = JobDocument(job="long", queue="q", spec="", steps=(STEP,))
        self.intake.submit(other, long, 10.5, objective_s=4.0)
        self.intake.tick(10.65)
        self.assertEqual(OutcomeKind.REFUSED, short.outcome.kind)
        self.assertIsNone(long.outcome)

    def test_an_offered_job_does_not_wait_for_a_takeover_that_is_of_no_use(self):
        held = waiter()
        self.pulse(1, 10.0)
        self.submit(held, 10.0, objective_s=0.2)
        self.intake.tick(10.35)
        self.assertIsNone(held.outcome)
        self.intake.tick(10.65)
        self.assertEqual(OutcomeKind.UNKNOWN, held.outcome.kind)
        messages = [message for _, message in self.take_jobs()]
        self.assertIn(WithdrawJob(job="j"), messages)

    def test_a_job_is_not_offered_over_a_link_that_is_down(self):
        self.pulse(1, 10.0)
        self.intake.lose_dispatcher("other")
        self.submit(waiter(), 10.02)
        self.assertEqual(1, len(self.take_jobs()))
        self.intake.lose_dispatcher("d")
        other = JobDocument(job="k", queue="q", spec="", steps=(STEP,))
        self.intake.submit(other, waiter(), 10.05, objective_s=1.0)
        self.assertEqual([], self.take_jobs())
        self.pulse(2, 10.1, peer="d2")
        offered = {
            message.document.job: message.was_offered for _, message in self.take_jobs()
        }
        self.assertEqual({"j": True, "k": False}, offered)

    def test_a_job_kept_during_a_takeover_is_offered_once(self):
        self.pulse(1, 10.0)
        self.submit(waiter(), 10.6)
        self.pulse(2, 10.8, peer="d2")
        self.pulse(2, 10.9, peer="d2")
        (message,) = self.take_jobs()
        self.assertEqual(("d2", False), (message[0], message[1].was_offered))

    def test_an_older_configuration_serves_for_a_moment_only(self):
        self.pulse(1, 10.0)
        pulse = DispatcherHeartbeat(term=1, heard_at_s=11.0, version=5)
        self.intake.take_pulse("d", pulse, 11.0)
        self.assertTrue(self.intake.tolerates(4, 11.3))
        self.assertFalse(self.intake.tolerates(4, 11.7))
        self.assertTrue(self.intake.tolerates(5, 11.7))

    def test_a_refusal_that_knows_of_no_run_is_called_one(self):
        held = waiter()
        self.pulse(1, 10.0)
        self.submit(held, 10.0)
        self.pulse(2, 11.0)
        answer = JobAnswer(job="j", state=JobState.UNKNOWN, has_not_run=True)
        self.intake.take_answer(answer, 11.1)
        self.assertEqual(OutcomeKind.REFUSED, held.outcome.kind)
