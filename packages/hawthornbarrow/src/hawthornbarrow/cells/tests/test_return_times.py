"""Tests of observed returns of upstreams, and of what is kept about workers."""

import math
import unittest
import unittest.mock

from hawthornbarrow.cells import AttachWorker, Resources, Step, WorkerRecord
from hawthornbarrow.cells import _worker_pool as worker_pool
from hawthornbarrow.cells._return_times import (
    MIN_RETURNS,
    UPSTREAM_RETURN_S,
    ReturnTimes,
)
from hawthornbarrow.cells._run_times import RunTimes
from hawthornbarrow.cells._worker_pool import WorkerPool
from hawthornbarrow.cells.tests._cell_simulation import TIMING

NOW_S = 100.0
STEP = Step(count=1, each=Resources(cpu=2000), estimated_s=0.3)


class ReturnTimesTest(unittest.TestCase):
    def test_constant_holds_until_enough_returns_were_observed(self):
        times = ReturnTimes()
        for _ in range(MIN_RETURNS - 1):
            times.add(1.0)
            self.assertEqual(UPSTREAM_RETURN_S, times.limit_s)
        times.add(1.0)
        self.assertLess(times.limit_s, 1.5)

    def test_slow_returns_lengthen_the_limit(self):
        times = ReturnTimes()
        for away_s in (3.0, 3.1, 6.0, 3.2, 3.0):
            times.add(away_s)
        self.assertGreater(times.limit_s, 6.0)
        self.assertEqual(3.1, times.expected_s)

    def test_long_absence_is_no_return(self):
        times = ReturnTimes()
        for _ in range(MIN_RETURNS):
            times.add(60.0)
        self.assertEqual(UPSTREAM_RETURN_S, times.limit_s)


class WorkerPoolReturnTest(unittest.TestCase):
    def setUp(self):
        self.now_s = NOW_S
        self.session = 0
        self.pool = WorkerPool(
            term=1, timing=TIMING, run_times=RunTimes(), expected=(), now_s=NOW_S
        )

    def attach(self, agent, upstream, *, cpu=4000):
        self.session += 1
        record = WorkerRecord(
            upstream=upstream,
            service="s",
            data_centre="d",
            labels=(),
            capacity=Resources(cpu=cpu),
        )
        message = AttachWorker(
            term=1,
            session=self.session,
            worker=record,
            is_leaving=False,
            running=[],
            ended=[],
        )
        return self.pool.attach(agent, message, self.now_s)

    def can_run(self, slack_s=math.inf):
        return self.pool.can_run("s", STEP, slack_s, self.now_s)

    def observe_returns(self, away_s):
        worker = self.attach("a0", "u0")
        for index in range(MIN_RETURNS):
            self.pool.detach(worker, "crashed", self.now_s)
            self.now_s += away_s
            worker = self.attach("a0", f"u{index + 1}")
        return worker

    def test_job_with_slack_for_the_observed_return_is_not_refused(self):
        worker = self.observe_returns(1.0)
        self.pool.detach(worker, "crashed", self.now_s)
        self.assertTrue(self.can_run(slack_s=1.5))
        self.assertFalse(self.can_run(slack_s=0.5))

    def test_retry_is_advised_for_the_time_of_the_return(self):
        worker = self.observe_returns(3.2)
        self.pool.detach(worker, "crashed", self.now_s)
        self.now_s += 1.2
        delay_s = self.pool.return_delay_s("s", STEP, self.now_s)
        self.assertAlmostEqual(2.0, delay_s)

    def test_no_return_is_predicted_without_observations(self):
        worker = self.attach("a0", "u0")
        self.pool.detach(worker, "crashed", self.now_s)
        self.assertIsNone(self.pool.return_delay_s("s", STEP, self.now_s))

    def test_agent_that_attaches_with_the_same_upstream_shows_no_return(self):
        for _ in range(MIN_RETURNS + 1):
            worker = self.attach("a0", "u0")
            self.pool.detach(worker, "silent", self.now_s)
            self.now_s += 0.5
        self.assertEqual(UPSTREAM_RETURN_S, self.pool.return_times.limit_s)

    def test_kept_answer_follows_attachment_capacity_departure_and_loss(self):
        self.assertFalse(self.can_run())
        worker = self.attach("a0", "u0", cpu=1000)
        self.assertFalse(self.can_run())
        worker.set_capacity(Resources(cpu=4000))
        self.pool.refresh(worker, self.now_s)
        self.assertTrue(self.can_run())
        worker.is_leaving = True
        self.pool.refresh(worker, self.now_s)
        self.assertFalse(self.can_run())
        worker = self.attach("a1", "u1")
        self.assertTrue(self.can_run())
        self.pool.detach(worker, "crashed", self.now_s)
        self.assertFalse(self.can_run(slack_s=0.1))
        self.assertTrue(self.can_run())
        self.now_s += UPSTREAM_RETURN_S + 0.1
        self.assertFalse(self.can_run())

    def test_workers_are_not_looked_at_again_for_each_job(self):
        for index in range(20):
            self.attach(f"a{index}", f"u{index}", cpu=1000)
        fits_step = worker_pool._fits_step
        with unittest.mock.patch.object(
            worker_pool, "_fits_step", side_effect=fits_step
        ) as looks:
            for _ in range(50):
                self.can_run()
        self.assertLessEqual(looks.call_count, 20)


if __name__ == "__main__":
    unittest.main()
