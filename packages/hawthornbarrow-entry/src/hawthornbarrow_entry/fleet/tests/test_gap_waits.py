"""Tests of how long requests wait while an entry can not serve them."""

import unittest

from hawthornbarrow_entry.fleet._gap_waits import (
    DEFAULT_REQUEST_WAIT_S,
    MAX_REQUEST_WAIT_S,
    MAX_WAITING_COUNT,
    REFUSAL_MARGIN_S,
    CallerRequest,
    GapWaits,
    WaitEnd,
)


def request(*, timeout_s=None, is_abandoned=lambda: False):
    return CallerRequest(
        received_at_s=10.0, timeout_s=timeout_s, is_abandoned=is_abandoned
    )


class GapWaitsTest(unittest.TestCase):
    def setUp(self):
        self.waits = GapWaits(is_enabled=True, startup_until_s=11.0)

    def begin(self, caller, now_s=10.0, **options):
        return self.waits.begin(caller, now_s, has_configuration=False, **options)

    def test_wait_ends_before_the_caller_gives_up(self):
        waiting = self.begin(request(timeout_s=0.7))
        self.assertAlmostEqual(10.7 - REFUSAL_MARGIN_S, waiting.until_s)

    def test_time_before_the_wait_counts_towards_the_deadline(self):
        waiting = self.begin(request(timeout_s=1.5), now_s=11.0)
        self.assertAlmostEqual(11.5 - REFUSAL_MARGIN_S, waiting.until_s)
        self.assertIsNone(self.begin(request(timeout_s=1.5), now_s=11.4))

    def test_caller_that_gives_up_at_once_is_not_kept(self):
        self.assertIsNone(self.begin(request(timeout_s=0.1)))

    def test_caller_without_deadline_waits_as_long_as_its_queue_says(self):
        known = self.begin(request(), queue_timeout_s=1.5)
        unknown = self.begin(request())
        self.assertAlmostEqual(11.5 - REFUSAL_MARGIN_S, known.until_s)
        self.assertAlmostEqual(
            10.0 + DEFAULT_REQUEST_WAIT_S - REFUSAL_MARGIN_S, unknown.until_s
        )

    def test_patient_callers_do_not_wait_without_bound(self):
        waiting = self.begin(request(timeout_s=3600.0))
        self.assertEqual(10.0 + MAX_REQUEST_WAIT_S, waiting.until_s)

    def test_requests_with_an_old_configuration_wait_too(self):
        waiting = self.waits.begin(request(timeout_s=1.5), 10.0, has_configuration=True)
        self.assertIsNotNone(waiting)

    def test_number_of_waiting_requests_and_held_jobs_is_limited(self):
        for _ in range(MAX_WAITING_COUNT - 5):
            self.assertIsNotNone(self.begin(request(timeout_s=1.5)))
        self.assertIsNone(self.begin(request(timeout_s=1.5), held_count=5))
        self.assertEqual(1, self.waits.counts["gap_request_over_limit"])
        self.waits.take_served(10.1)
        self.assertIsNotNone(self.begin(request(timeout_s=1.5), held_count=5))

    def test_requests_of_callers_that_have_left_are_dropped(self):
        gone = self.begin(request(timeout_s=1.5, is_abandoned=lambda: True))
        present = self.begin(request(timeout_s=1.5))
        self.assertEqual([gone], self.waits.take_abandoned())
        self.assertIs(WaitEnd.ABANDONED, gone.end)
        self.assertIsNone(present.end)
        self.assertEqual(1, self.waits.count)

    def test_all_waits_end_once_the_entry_can_serve_or_stops(self):
        served = self.begin(request(timeout_s=1.5))
        self.assertEqual([served], self.waits.take_served(10.6))
        stopped = self.begin(request(timeout_s=1.5))
        self.assertEqual([stopped], self.waits.take_all())
        self.assertEqual((WaitEnd.SERVED, WaitEnd.STOPPED), (served.end, stopped.end))
        self.assertEqual(0, self.waits.count)

    def test_wait_that_ended_while_its_time_ran_out_is_counted_once(self):
        waiting = self.begin(request(timeout_s=1.5))
        self.waits.take_served(11.3)
        self.waits.time_out(waiting)
        self.assertIs(WaitEnd.SERVED, waiting.end)
        self.assertNotIn("gap_request_timed_out", self.waits.counts)

    def test_without_the_feature_only_the_first_configuration_is_awaited(self):
        waits = GapWaits(is_enabled=False, startup_until_s=11.0)
        first = waits.begin(request(timeout_s=0.1), 10.0, has_configuration=False)
        self.assertEqual(11.0, first.until_s)
        self.assertIsNone(waits.begin(request(), 11.0, has_configuration=False))
        self.assertIsNone(waits.begin(request(), 10.0, has_configuration=True))
