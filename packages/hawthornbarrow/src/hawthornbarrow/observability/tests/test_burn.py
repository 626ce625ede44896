import pathlib
import tempfile
import unittest

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


def record(book, count, response_s, time_s, service="s"):
    for _ in range(count):
        book.record(
            CONFIGURATION,
            member="m",
            service=service,
            response_s=response_s,
            completed=True,
            time_s=time_s,
        )


class BurnTest(unittest.TestCase):
    def test_burn_is_the_bad_share_over_the_allowed_share_in_each_window(self):
        book = BurnRateTracker(path=None)
        record(book, 80, 0.5, 10_000.0)
        record(book, 20, 2.0, 10_000.0)
        record(book, 100, 0.5, 13_000.0)
        rows = {row.objective: row for row in book.rows(CONFIGURATION, 13_000.0)}
        self.assertEqual(rows["fast"].burn[300], 0.0)
        self.assertAlmostEqual(rows["fast"].burn[3600], 1.0)
        self.assertEqual(rows["all"].burn[3600], 0.0)
        self.assertEqual(rows["fast"].jobs[3600], 200)

    def test_counts_survive_a_restart(self):
        with tempfile.TemporaryDirectory() as holder:
            path = pathlib.Path(holder) / "burn.json"
            book = BurnRateTracker(path=path)
            record(book, 5, 2.0, 10_000.0)
            book.save(10_000.0)
            rows = BurnRateTracker(path=path).rows(CONFIGURATION, 10_000.0)
        self.assertEqual(rows[0].jobs[300], 5)

    def test_text_and_plots(self):
        book = BurnRateTracker(path=None)
        record(book, 5, 2.0, 10_000.0)
        rows = book.rows(CONFIGURATION, 10_000.0)
        self.assertIn("10.00 (5)", render_burn_text(rows))
        self.assertTrue(render_burn_plot(rows, "png").startswith(b"\x89PNG"))
        self.assertIn(b"<svg", render_burn_plot(rows, "svg"))


class MetricsTest(unittest.TestCase):
    def test_label_values_are_bounded(self):
        metrics = Metrics(process="test")
        for number in range(300):
            metrics.count_job(f"m{number}", "s", "completed", 0.1)
        text = metrics.render().decode()
        self.assertIn('member="other"', text)
        self.assertLessEqual(text.count("hawthornbarrow_jobs_total{"), 201)


if __name__ == "__main__":
    unittest.main()
