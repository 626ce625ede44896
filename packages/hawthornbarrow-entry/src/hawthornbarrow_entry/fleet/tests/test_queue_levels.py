"""Tests of refusals at an entry by the dispatcher's prediction for a queue."""

import unittest

from hawthornbarrow.cells import (
    DispatcherHeartbeat,
    JobDocument,
    LoadFeature,
    QueueLevel,
    Resources,
    Step,
)

from hawthornbarrow_entry.fleet import CallerJobs, OutcomeKind
from hawthornbarrow_entry.fleet._caller_outcome import Waiter
from hawthornbarrow_entry.fleet._queue_levels import LEVEL_VALIDITY_S

STEP = Step(count=1, each=Resources(cpu=1), estimated_s=0.4)
OBJECTIVE_S = 0.7  # leaves a slack of 0.27 s


class EarlyRefusalTest(unittest.TestCase):
    def setUp(self):
        self.jobs = CallerJobs(features=frozenset({LoadFeature.EARLY_REFUSAL}))

    def heartbeat(self, wait_s, now_s, *, term=1, queue="q"):
        level = QueueLevel(queue=queue, wait_s=wait_s, retry_after_s=3.0)
        message = DispatcherHeartbeat(
            term=term, heard_at_s=now_s, version=1, levels=(level,)
        )
        self.jobs.on_heartbeat("d", message, now_s)

    def submit(self, now_s, *, received_at_s=None, job="j"):
        document = JobDocument(job=job, queue="q", spec="", steps=(STEP,))
        return self.jobs.submit(
            document,
            Waiter(give_up_at_s=now_s + 1.5, is_abandoned=lambda: False),
            now_s,
            received_at_s=now_s if received_at_s is None else received_at_s,
            objective_s=OBJECTIVE_S,
        )

    def test_job_that_can_not_start_in_time_is_refused_without_a_hop(self):
        self.heartbeat(0.4, 10.0)
        self.jobs.take_messages()
        outcome = self.submit(10.0)
        self.assertIs(OutcomeKind.REFUSED, outcome.kind)
        self.assertEqual(3.0, outcome.retry_after_s)
        self.assertEqual([], self.jobs.take_messages())
        self.assertEqual(1, self.jobs.counts["early_refusal"])

    def test_job_that_can_start_in_time_is_submitted(self):
        self.heartbeat(0.2, 10.0)
        self.assertIsNone(self.submit(10.0))

    def test_time_that_the_job_has_waited_reduces_its_slack(self):
        self.heartbeat(0.2, 10.0)
        self.assertIsNotNone(self.submit(10.0, received_at_s=9.9))

    def test_age_of_the_level_reduces_the_wait(self):
        self.heartbeat(0.5, 10.0)
        self.assertIsNotNone(self.submit(10.2, job="early"))
        self.assertIsNone(self.submit(10.3, job="later"))

    def test_old_level_refuses_nothing(self):
        self.heartbeat(60.0, 10.0)
        self.assertIsNotNone(self.submit(10.0 + LEVEL_VALIDITY_S, job="valid"))
        self.assertIsNone(self.submit(10.01 + LEVEL_VALIDITY_S, job="old"))

    def test_level_of_another_queue_refuses_nothing(self):
        self.heartbeat(60.0, 10.0, queue="other")
        self.assertIsNone(self.submit(10.0))

    def test_level_of_a_lost_dispatcher_refuses_nothing(self):
        self.heartbeat(60.0, 10.0)
        self.jobs.on_link_down("d")
        self.assertIsNone(self.submit(10.05))

    def test_level_of_the_previous_dispatcher_refuses_nothing(self):
        self.heartbeat(60.0, 10.0)
        message = DispatcherHeartbeat(term=2, heard_at_s=10.1, version=1)
        self.jobs.on_heartbeat("d2", message, 10.1)
        self.assertIsNone(self.submit(10.1))

    def test_late_job_is_left_to_the_dispatcher_when_there_is_no_wait(self):
        self.heartbeat(0.0, 10.0)
        self.assertIsNone(self.submit(10.0, received_at_s=9.0))

    def test_job_that_callers_wait_for_is_joined_and_not_refused(self):
        self.heartbeat(0.0, 10.0)
        self.assertIsNone(self.submit(10.0))
        self.heartbeat(60.0, 10.1)
        self.assertIsNone(self.submit(10.1))

    def test_nothing_is_refused_early_without_the_feature(self):
        self.jobs = CallerJobs()
        self.heartbeat(60.0, 10.0)
        self.assertIsNone(self.submit(10.0))
