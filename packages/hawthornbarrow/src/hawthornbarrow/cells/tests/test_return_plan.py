"""Tests of the plan of the returns of refused callers."""

import collections
import unittest

from hawthornbarrow.cells._return_plan import _MAX_REMEMBERED, _MAX_SLOTS, ReturnPlan


class ReturnPlanTest(unittest.TestCase):
    def book(self, plan, job, **changes):
        arguments = {"core_s": 1.0, "wait_s": 0.2, "free_cores": 20.0, "now_s": 10.0}
        return plan.book(job, **(arguments | changes))

    def test_callers_refused_at_one_moment_do_not_return_at_one_moment(self):
        plan = ReturnPlan()
        times = collections.Counter(self.book(plan, f"j{n}") for n in range(40))
        # Half of 20 free cores takes ten jobs of one core-second in each second.
        self.assertEqual(times, {1: 10, 2: 10, 3: 10, 4: 10})

    def test_the_time_is_whole_and_at_least_one_second(self):
        retry_after_s = self.book(ReturnPlan(), "j", wait_s=0.0)
        self.assertIsInstance(retry_after_s, int)
        self.assertEqual(retry_after_s, 1)

    def test_nobody_is_told_to_return_within_the_shortage(self):
        plan = ReturnPlan()
        plan.update(is_short=True, now_s=9.0)
        self.assertEqual(self.book(plan, "j"), 3)  # 4 s are expected, 1 s has passed

    def test_a_shortage_longer_than_usual_is_not_expected_to_end_at_once(self):
        plan = ReturnPlan()
        plan.update(is_short=True, now_s=0.0)
        self.assertEqual(plan.remaining_s(60.0), 1.0)

    def test_the_length_of_shortages_is_learned(self):
        plan = ReturnPlan()
        for start_s in range(0, 200, 10):
            plan.update(is_short=True, now_s=start_s)
            plan.update(is_short=False, now_s=start_s + 6.0)
        plan.update(is_short=True, now_s=200.0)
        self.assertAlmostEqual(plan.remaining_s(200.0), 6.0, delta=0.1)

    def test_a_full_plan_still_spreads_and_stays_within_its_horizon(self):
        plan = ReturnPlan()
        times = [self.book(plan, f"j{n}", free_cores=1.0) for n in range(80)]
        self.assertEqual(
            collections.Counter(times), dict.fromkeys(range(1, _MAX_SLOTS + 1), 10)
        )

    def test_past_bookings_do_not_accumulate(self):
        plan = ReturnPlan()
        for second in range(1000):
            self.book(plan, f"j{second}", now_s=float(second))
        self.assertLessEqual(len(plan._booked), _MAX_SLOTS + 1)

    def test_a_returned_job_is_recognized_once(self):
        plan = ReturnPlan()
        self.book(plan, "j")
        self.assertEqual([plan.take("j"), plan.take("j")], [True, False])

    def test_remembered_ids_are_bounded_and_the_oldest_are_dropped(self):
        plan = ReturnPlan()
        for number in range(_MAX_REMEMBERED + 1):
            self.book(plan, f"j{number}")
        self.assertEqual(plan.remembered_count, _MAX_REMEMBERED)
        self.assertEqual([plan.take("j0"), plan.take("j1")], [False, True])
