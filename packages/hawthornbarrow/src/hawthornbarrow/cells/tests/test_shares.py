"""Tests of the shares of queues, size classes and data centres under contention."""

import collections
import unittest

from hawthornbarrow.cells import JobDocument, JobRecord, Resources, Step
from hawthornbarrow.cells._job_record import Lane
from hawthornbarrow.cells._shares import (
    _MAX_DATA_CENTRES,
    _MAX_QUEUES,
    USABLE_FRACTION,
    Shares,
)
from hawthornbarrow.queues import Queue

CORES = 100.0 / USABLE_FRACTION


def make_queue(name, priority=0):
    return Queue(
        name=name,
        host="h",
        prefix=f"/{name}/",
        service="s",
        priority=priority,
        slack_factor=1.6,
        objective_s=0.06,
    )


FIRST, SECOND, THIRD = (
    make_queue(name, priority) for priority, name in enumerate(("a", "b", "c"))
)


def make_job(queue, data_centre=""):
    step = Step(count=1, each=Resources(cpu=1000), estimated_s=1.0)
    return JobRecord(
        document=JobDocument(job="j", queue=queue.name, spec="", steps=(step,)),
        queue=queue,
        arrived_at_s=0.0,
        first_attempt=0,
        data_centre=data_centre,
    )


class SharesTest(unittest.TestCase):
    def setUp(self):
        self.counts = collections.Counter()
        self.shares = Shares(forecast=None, counts=self.counts)

    def request(self, queue, cores, until_s=4.0, data_centre=""):
        """Requests jobs of the same work ten times a second."""
        for tenth in range(round(until_s * 10)):
            job = make_job(queue, data_centre)
            self.shares.record_request(job, cores / 10, tenth / 10)
        return job

    def refresh(self, now_s=4.0, cores=CORES, **backlogs):
        return self.shares.refresh("s", cores, backlogs, now_s)

    def rate(self, queue, now_s=4.0):
        return self.shares.lane_rate_cores(queue, Lane.SMALL, now_s)

    def test_a_burst_of_one_queue_leaves_the_others_what_they_request(self):
        self.request(FIRST, 20.0)
        self.request(SECOND, 200.0)
        self.request(THIRD, 15.0)
        self.refresh()
        self.assertTrue(self.shares.is_contended("s"))
        self.assertGreaterEqual(self.rate(FIRST), 20.0)
        self.assertGreaterEqual(self.rate(THIRD), 15.0)
        self.assertAlmostEqual(self.rate(SECOND), 65.0, delta=0.1)

    def test_an_unused_share_is_lent(self):
        self.request(THIRD, 300.0)
        self.refresh()
        self.assertAlmostEqual(self.rate(THIRD), 100.0, delta=0.1)

    def test_queues_that_all_request_too_much_get_rates_by_weight(self):
        for queue in (FIRST, SECOND, THIRD):
            self.request(queue, 300.0)
        self.refresh()
        rates = [self.rate(queue) for queue in (FIRST, SECOND, THIRD)]
        self.assertAlmostEqual(sum(rates), 100.0, delta=0.1)
        self.assertGreater(rates[0], rates[1])
        self.assertGreater(rates[1], rates[2])
        self.assertGreater(rates[2], 15.0)

    def test_while_there_is_free_capacity_nothing_is_contended(self):
        self.request(FIRST, 50.0)
        self.assertFalse(self.refresh())
        self.assertFalse(self.shares.is_contended("s"))

    def test_a_loss_of_workers_begins_contention(self):
        self.request(FIRST, 50.0)
        self.refresh()
        self.assertTrue(self.refresh(4.1, cores=CORES / 4))

    def test_contention_does_not_alternate_with_short_pauses(self):
        self.request(FIRST, 95.0)
        self.refresh(4.0, a=20.0)
        for tenth in range(41, 45):
            self.refresh(tenth / 10, a=0.0)
        self.assertTrue(self.shares.is_contended("s"))
        self.assertEqual(self.counts["contention_began"], 1)

    def test_contention_ends(self):
        self.request(FIRST, 200.0)
        self.refresh()
        self.refresh(9.0)
        self.assertFalse(self.shares.is_contended("s"))
        self.assertEqual(self.counts["contention_ended"], 1)

    def test_jobs_are_classified_by_the_mean_work_of_their_queue(self):
        self.request(FIRST, 10.0)  # one core-second a job
        lanes = []
        for core_s in (0.5, 1.5, 2.5):
            job = make_job(FIRST)
            self.shares.record_request(job, core_s, 4.0)
            lanes.append(job.lane)
        self.assertEqual(lanes, [Lane.SMALL, Lane.LARGE, Lane.LARGEST])

    def test_small_jobs_do_not_take_the_part_of_the_largest(self):
        for tenth in range(40):
            for core_s in (0.5, 0.5, 0.5, 4.5):
                job = make_job(FIRST)
                self.shares.record_request(job, core_s * 10, tenth / 10)
        self.refresh()
        largest = self.shares.lane_rate_cores(FIRST, Lane.LARGEST, 4.0)
        self.assertAlmostEqual(largest, 75.0, delta=8.0)

    def test_a_size_class_that_was_refused_more_goes_earlier(self):
        small, largest = make_job(FIRST), make_job(FIRST)
        largest.lane = Lane.LARGEST
        self.shares.record_start(small, 10.0, 1.0)
        self.shares.record_start(largest, 2.0, 1.0)
        self.shares.record_refusal(largest, 8.0, 1.0)
        self.refresh(1.1)
        self.assertEqual(self.shares.haste(small, 1.2), 0.0)
        self.assertGreater(self.shares.haste(largest, 1.2), 0.2)

    def test_a_data_centre_that_received_least_goes_earlier(self):
        near, far = make_job(FIRST, "near"), make_job(FIRST, "far")
        self.shares.record_start(near, 10.0, 1.0)
        self.shares.record_start(far, 5.0, 1.0)
        self.shares.record_refusal(far, 5.0, 1.0)
        self.refresh(1.1)
        self.assertEqual(self.shares.haste(near, 1.2), 0.0)
        self.assertGreater(self.shares.haste(far, 1.2), 0.2)

    def test_what_happened_before_the_window_is_forgotten(self):
        job = make_job(FIRST, "far")
        job.lane = Lane.LARGEST
        self.shares.record_refusal(job, 8.0, 1.0)
        self.refresh(20.0)
        self.assertEqual(self.shares.haste(job, 20.0), 0.0)

    def test_queues_and_data_centres_are_bounded(self):
        for number in range(2 * _MAX_QUEUES):
            job = make_job(make_queue(f"q{number}"), f"d{number}")
            self.shares.record_request(job, 1.0, 1.0)
        self.assertEqual(len(self.shares._queues), _MAX_QUEUES)
        self.assertEqual(len(self.shares._data_centres), _MAX_DATA_CENTRES)
