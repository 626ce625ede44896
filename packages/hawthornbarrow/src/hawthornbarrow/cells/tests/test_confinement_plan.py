"""Tests how many workers confined queues get."""

import math
import unittest

from hawthornbarrow.cells._confinement_plan import QueueNeed, plan_parts
from hawthornbarrow.cells._decaying_rate import DecayingRate

CORES = 4.0


class PlanPartsTest(unittest.TestCase):
    def plan(self, others_cores, *, workers=20, known=20, **needs):
        confined = {
            queue: need if isinstance(need, QueueNeed) else QueueNeed(demand_cores=need)
            for queue, need in needs.items()
        }
        others = QueueNeed(demand_cores=others_cores)
        return plan_parts(confined, others, workers, known=known, cores=CORES)

    def test_part_is_no_larger_than_the_demand_needs(self):
        self.assertEqual({"q": 3}, self.plan(10.0, q=8.0))

    def test_part_may_be_most_workers_where_others_need_few(self):
        self.assertEqual({"q": 14}, self.plan(10.0, q=40.0))

    def test_shortage_falls_on_both_sides(self):
        part = self.plan(60.0, q=60.0)["q"]
        self.assertIn(part, (9, 10, 11))

    def test_shortage_falls_more_on_the_queue_that_crashes_upstreams(self):
        part = self.plan(60.0, q=60.0)["q"]
        need = QueueNeed(demand_cores=60.0, drain=1.0)
        self.assertLess(self.plan(60.0, q=need)["q"], part)

    def test_crashes_cost_nothing_while_others_need_no_more_workers(self):
        need = QueueNeed(demand_cores=8.0, drain=1.0)
        self.assertEqual({"q": 3}, self.plan(10.0, q=need))

    def test_queue_that_crashes_upstreams_gets_a_worker_for_its_suspects(self):
        need = QueueNeed(demand_cores=8.0, crashes_per_s=0.5)
        self.assertEqual({"q": 4}, self.plan(10.0, q=need))

    def test_others_keep_a_worker(self):
        self.assertEqual({"q": 0}, self.plan(1.0, workers=1, known=1, q=60.0))
        self.assertEqual({"q": 1}, self.plan(0.0, workers=2, known=2, q=60.0))

    def test_two_confined_queues_get_parts_by_their_demand(self):
        parts = self.plan(10.0, q=8.0, r=16.0)
        self.assertEqual({"q": 3, "r": 6}, parts)


class DecayingRateTest(unittest.TestCase):
    def test_steady_amounts_give_their_rate_soon_and_later(self):
        rate = DecayingRate(period_s=2.0)
        for index in range(400):
            rate.add(0.5, 100.0 + index / 20)
            if index >= 40:
                self.assertAlmostEqual(10.0, rate.per_s(100.0 + index / 20), delta=0.6)

    def test_rate_decays_after_the_last_amount(self):
        rate = DecayingRate(period_s=2.0)
        rate.add(1.0, 100.0)
        before = rate.per_s(110.0)
        self.assertAlmostEqual(before * math.exp(-1), rate.per_s(112.0), delta=1e-4)

    def test_rate_without_amounts_is_zero(self):
        self.assertEqual(0.0, DecayingRate(period_s=2.0).per_s(100.0))


if __name__ == "__main__":
    unittest.main()
