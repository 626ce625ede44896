"""Tests what callers of each queue get while queues crash upstreams."""

import statistics
import unittest

from hawthornbarrow.cells.tests._queue_load import QueueLoad, play

SEEDS = range(6)
MAX_STARTS = 5  # three crashes, and fewer than three starts after them
GOAL = 0.05  # by which a confined queue may earn less than the others

SPARE_CAPACITY = QueueLoad(agents=20, rates={"q": 16, "r": 12}, crashing={"q": 0.06})


class ConfinementCostTest(unittest.TestCase):
    """Plays loads of which a quarter of the workers is too little for one queue."""

    def check_earned(self, load, *, q, r):
        results = [play(load, seed) for seed in SEEDS]
        for result in results:
            self.assertEqual([], result.condemned)
            self.assertLessEqual(result.most_starts, MAX_STARTS)
        earned = {
            queue: statistics.mean(result.earned[queue] for result in results)
            for queue in load.rates
        }
        self.assertGreaterEqual(earned["q"], q)
        self.assertGreaterEqual(earned["r"], r)
        return earned

    def test_good_jobs_are_not_refused_while_other_workers_are_free(self):
        self.check_earned(SPARE_CAPACITY, q=0.95, r=0.95)

    def test_large_queue_gets_the_workers_that_it_needs(self):
        load = QueueLoad(agents=16, rates={"q": 30, "r": 10}, crashing={"q": 0.04})
        self.check_earned(load, q=0.72, r=0.8)

    def test_power_loss_does_not_starve_a_confined_queue(self):
        load = QueueLoad(
            agents=20, rates={"q": 25, "r": 10}, crashing={"q": 0.05}, power_loss_s=6
        )
        self.check_earned(load, q=0.78, r=0.82)

    def test_takeover_does_not_starve_a_confined_queue(self):
        load = QueueLoad(
            agents=16, rates={"q": 16, "r": 20}, crashing={"q": 0.06}, takeover_s=6
        )
        self.check_earned(load, q=0.65, r=0.85)

    def test_two_queues_that_crash_upstreams_do_not_starve_each_other(self):
        load = QueueLoad(
            agents=16, rates={"q": 18, "r": 16}, crashing={"q": 0.05, "r": 0.02}
        )
        self.check_earned(load, q=0.75, r=0.7)

    def test_confined_queue_earns_nearly_as_much_as_the_others(self):
        earned = self.check_earned(SPARE_CAPACITY, q=0.0, r=0.95)
        self.assertGreaterEqual(earned["q"], earned["r"] - GOAL)


if __name__ == "__main__":
    unittest.main()
