"""Tests of the times of stages, as measured from logs."""

import unittest

from hawthornbarrow.observability import (
    Stage,
    measure_stages,
    render_stage_plot,
    render_stage_text,
)


def line(event, second, **fields):
    fields = {
        "timestamp": f"2026-12-04T05:00:{second:06.3f}Z",
        "process": "p",
        "event": event,
    } | fields
    return " ".join(f"{name}={value!r}" for name, value in fields.items())


def complete(job, second, *, placed_s=0.01, ended_s=0.3, answered_s=0.32):
    return [
        line("tasks_placed", second, job=job, waited_s=placed_s),
        line("job_ended", second, job=job, state="complete", took_s=ended_s),
        line("job_answered", second, job=job, outcome="complete", took_s=answered_s),
    ]


class StageTimesTest(unittest.TestCase):
    def rows(self, *lines):
        return measure_stages(lines, window_s=2.0)

    def test_stages_add_up_to_the_time_until_the_answer(self):
        rows = self.rows(*complete("a", 1))
        self.assertEqual(list(Stage), [row.stage for row in rows])
        self.assertAlmostEqual(0.32, sum(row.quantiles_s[0] for row in rows))

    def test_slow_seconds_do_not_disappear_in_the_calm_ones(self):
        rows = self.rows(*complete("a", 1), *complete("b", 4, placed_s=0.2))
        placement = [row for row in rows if row.stage is Stage.PLACEMENT]
        self.assertEqual([0.0, 2.0], [row.from_s for row in placement])
        self.assertEqual([0.01, 0.2], [row.quantiles_s[0] for row in placement])

    def test_task_that_is_placed_again_does_not_count_as_a_late_placement(self):
        again = line("tasks_placed", 1, job="a", waited_s=0.2)
        rows = self.rows(*complete("a", 1), again)
        self.assertEqual(0.01, rows[0].quantiles_s[0])

    def test_refused_jobs_are_left_out(self):
        refused = line("job_answered", 1, job="a", outcome="refused", took_s=0.1)
        self.assertEqual([], self.rows(refused))

    def test_percentiles_of_many_jobs(self):
        lines = [
            text
            for index in range(100)
            for text in complete(f"j{index}", 1, placed_s=(index + 1) / 1000)
        ]
        self.assertEqual((0.05, 0.095, 0.099), self.rows(*lines)[0].quantiles_s)

    def test_table_and_plot_show_all_rows(self):
        rows = self.rows(*complete("a", 1))
        self.assertEqual(4, len(render_stage_text(rows).splitlines()))
        self.assertTrue(render_stage_plot(rows, "png").startswith(b"\x89PNG"))


if __name__ == "__main__":
    unittest.main()
