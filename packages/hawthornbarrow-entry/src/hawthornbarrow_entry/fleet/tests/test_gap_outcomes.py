"""Tests of what callers get who arrive while there is no dispatcher."""

import unittest

from hawthornbarrow.cells import NO_FEATURES

from hawthornbarrow_entry.fleet._caller_jobs import HEARTBEAT_TIMEOUT_S
from hawthornbarrow_entry.fleet.tests._gap_simulation import (
    FEATURES,
    GAPS,
    RUN_S,
    Gap,
    GapSimulation,
    count_outcomes,
)


def outcomes(gap, queue, features):
    return count_outcomes(GapSimulation(gap, features=features).run(), queue)


class GapOutcomesTest(unittest.TestCase):
    def test_waiting_costs_no_job_that_would_be_in_time_without_it(self):
        for gap in GAPS:
            for queue in RUN_S:
                with self.subTest(gap=gap.name, queue=queue):
                    before = outcomes(gap, queue, NO_FEATURES)
                    after = outcomes(gap, queue, FEATURES)
                    self.assertGreaterEqual(after["in time"], before["in time"])
                    self.assertLessEqual(after["refused"], before["refused"])
                    self.assertLessEqual(after["unknown"], before["unknown"])

    def test_jobs_of_more_than_half_a_second_are_served_through_a_takeover(self):
        for gap in GAPS[:2]:
            for queue in ("middle", "long"):
                with self.subTest(gap=gap.name, queue=queue):
                    after = outcomes(gap, queue, FEATURES)
                    self.assertEqual(after.total(), after["in time"] + after["late"])

    def test_long_jobs_with_slack_for_the_gap_are_in_time(self):
        after = outcomes(GAPS[0], "long", FEATURES)
        self.assertEqual(after.total(), after["in time"])

    def test_callers_are_refused_truthfully_when_no_dispatcher_comes(self):
        gap = Gap(name="no dispatcher", dispatcher_at_s=60.0)
        for queue in RUN_S:
            simulation = GapSimulation(gap, features=FEATURES)
            callers = simulation.run(arrivals_s=1.0)
            # Jobs that arrived earlier were submitted to the lost dispatcher.
            counts = count_outcomes(callers, queue, from_s=HEARTBEAT_TIMEOUT_S)
            self.assertEqual({"refused"}, set(counts), queue)
            self.assertEqual(0, simulation.jobs.held_count)
            self.assertEqual(0, simulation.waits.count)

    def test_callers_of_a_restarted_entry_wait_beyond_a_second(self):
        gap = Gap(name="slow restart", dispatcher_at_s=1.8, entry_at_s=0.5)
        before = outcomes(gap, "long", NO_FEATURES)
        after = outcomes(gap, "long", FEATURES)
        self.assertGreater(before["refused"], 0)
        self.assertEqual(0, after["refused"])
