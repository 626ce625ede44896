import os
import pathlib
import tempfile
import unittest
from unittest import mock

from hawthornbarrow.configuration import Configuration, Objective
from hawthornbarrow.observability import (
    BurnRateTracker,
    Metrics,
    render_burn_plot,
    render_burn_text,
)

CONFIGURATION = Configuration(
    objectives={
        "fast": Objective(service="s", response_s=1.0, share=0.9),
        "all": Objective(response_s=10.0, share=0.99),
    }
)


def record_jobs(tracker, count, response_s, time_s, service="s"):
    for _ in range(count):
        tracker.record(
            CONFIGURATION,
            member="m",
            service=service,
            response_s=response_s,
            completed=True,
            time_s=time_s,
        )


class BurnRateTrackerTest(unittest.TestCase):
    def test_burn_rate_is_bad_share_over_allowed_share_in_each_window(self):
        tracker = BurnRateTracker(path=None)
        record_jobs(tracker, 80, 0.5, 10_000.0)
        record_jobs(tracker, 20, 2.0, 10_000.0)
        record_jobs(tracker, 100, 0.5, 13_000.0)
        rows = {row.objective: row for row in tracker.rows(CONFIGURATION, 13_000.0)}
        self.assertEqual(rows["fast"].burn[300], 0.0)
        self.assertAlmostEqual(rows["fast"].burn[3600], 1.0)
        self.assertEqual(rows["all"].burn[3600], 0.0)
        self.assertEqual(rows["fast"].jobs[3600], 200)

    def test_counts_are_restored_after_a_restart(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "burn.json"
            tracker = BurnRateTracker(path=path)
            record_jobs(tracker, 5, 2.0, 10_000.0)
            tracker.save(10_000.0)
            rows = BurnRateTracker(path=path).rows(CONFIGURATION, 10_000.0)
        self.assertEqual(rows[0].jobs[300], 5)

    def test_counts_that_a_full_disk_refused_are_saved_later(self):
        """Guards against processes that end when the counts cannot be saved."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "burn.json"
            tracker = BurnRateTracker(path=path)
            record_jobs(tracker, 5, 2.0, 10_000.0)
            with mock.patch.object(os, "fsync", side_effect=OSError(28, "no space")):
                tracker.save(10_000.0)
            self.assertFalse(path.exists())
            tracker.save(10_000.0)
            rows = BurnRateTracker(path=path).rows(CONFIGURATION, 10_000.0)
        self.assertEqual(rows[0].jobs[300], 5)

    def test_burn_rates_are_rendered_as_text_and_plots(self):
        tracker = BurnRateTracker(path=None)
        record_jobs(tracker, 5, 2.0, 10_000.0)
        rows = tracker.rows(CONFIGURATION, 10_000.0)
        self.assertIn("10.00 (5)", render_burn_text(rows))
        self.assertTrue(render_burn_plot(rows, "png").startswith(b"\x89PNG"))
        self.assertIn(b"<svg", render_burn_plot(rows, "svg"))


class MetricsTest(unittest.TestCase):
    def test_number_of_label_values_is_limited(self):
        metrics = Metrics(process="test")
        for number in range(300):
            metrics.count_job(f"m{number}", "s", "completed", 0.1)
        text = metrics.render().decode()
        self.assertIn('member="other"', text)
        self.assertLessEqual(text.count("hawthornbarrow_jobs_total{"), 201)


if __name__ == "__main__":
    unittest.main()
