"""Tests of what is concluded from crashes."""

import unittest

from hawthornbarrow.cells import TaskKey
from hawthornbarrow.cells._crash_history import (
    REPORT_WINDOW_S,
    UNEXPLAINED_RETENTION_S,
    CrashedRun,
    CrashHistory,
    StartCare,
)

NOW_S = 100.0


def task_of(job, index=0):
    return TaskKey(job=job, step=0, index=index)


class CrashHistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = CrashHistory()

    def crash(self, upstream, *jobs, now_s=NOW_S, survived_s=0.01, data_centre="d"):
        runs = [
            CrashedRun(
                task=task_of(job),
                survived_s=survived_s,
                queue="q",
                service="s",
                data_centre=data_centre,
            )
            for job in jobs
        ]
        return self.history.record_crash(upstream, runs, now_s, now_s)

    def causes(self, now_s=NOW_S + 10):
        causes = self.history.take_causes(now_s + REPORT_WINDOW_S)
        return [cause.task.job for cause in causes]

    def care(self, job, index=0):
        return self.history.care_for(task_of(job, index))

    def test_one_crash_makes_young_runs_suspects_and_no_cause(self):
        self.crash("u1", "a", "b")
        self.assertEqual([], self.causes())
        self.assertIs(StartCare.OBSERVED, self.care("a"))
        self.history.clear(task_of("a"))
        self.assertIs(StartCare.NONE, self.care("a"))
        self.assertIs(StartCare.OBSERVED, self.care("b"))

    def test_second_crash_right_after_the_start_of_one_suspect_finds_the_cause(self):
        self.crash("u1", "a", "b")
        self.crash("u2", "a", now_s=NOW_S + 1)
        self.assertIs(StartCare.HELD, self.care("a"))
        self.assertEqual(["a"], self.causes())
        self.assertEqual(task_of("a"), self.history.cause_in("a"))

    def test_two_jobs_that_started_together_are_not_told_apart(self):
        self.crash("u1", "a", "b")
        self.crash("u2", "a", "b", now_s=NOW_S + 1)
        self.assertEqual([], self.causes())

    def test_crashes_of_others_at_the_same_place_and_time_void_it(self):
        self.crash("u1", "a")
        for upstream in ("u2", "u3"):
            self.crash(upstream, f"other-{upstream}", now_s=NOW_S + 1)
        self.crash("u4", "a", now_s=NOW_S + 1)
        self.assertEqual([], self.causes())

    def test_crashes_of_others_in_another_data_centre_do_not_void_it(self):
        self.crash("u1", "a")
        for upstream in ("u2", "u3"):
            self.crash(upstream, f"other-{upstream}", now_s=NOW_S + 1, data_centre="e")
        self.crash("u4", "a", now_s=NOW_S + 1)
        self.assertEqual(["a"], self.causes())

    def test_idle_upstreams_that_crash_with_it_void_it(self):
        self.crash("u1", "a")
        self.crash("u2", "a", now_s=NOW_S + 1)
        for upstream in ("u3", "u4"):
            self.history.record_idle_crash(upstream, "d", NOW_S + 1.3)
        self.assertEqual([], self.causes())

    def test_crash_with_runs_counts_although_the_upstream_seemed_idle(self):
        self.history.record_idle_crash("u1", "d", NOW_S)
        self.assertTrue(self.crash("u1", "a"))
        self.assertIs(StartCare.OBSERVED, self.care("a"))

    def test_crash_counts_once_however_often_it_is_reported(self):
        for _ in range(5):
            self.crash("u1", "a")
        self.assertEqual(("u1",), self.history.crashes_under(task_of("a")))
        self.history.learn(task_of("a"), ("u1",), NOW_S)
        self.assertEqual([], self.causes())

    def test_long_runs_are_causes_only_alone_or_beyond_the_limit(self):
        for number in (1, 2, 3):
            self.crash(f"u{number}", "a", "b", survived_s=2.0, now_s=NOW_S + number)
        self.assertEqual([], self.causes())
        self.assertIs(StartCare.ALONE, self.care("a"))
        self.crash("u4", "a", survived_s=2.0, now_s=NOW_S + 4)
        self.assertEqual(["a"], self.causes()[:1])

    def test_crashes_under_all_tasks_of_a_job_count_for_their_care(self):
        for index in range(3):
            run = CrashedRun(task=task_of("a", index), survived_s=2.0)
            other = CrashedRun(task=task_of("b"), survived_s=2.0)
            self.history.record_crash(f"u{index}", [run, other], NOW_S, NOW_S)
        self.assertIs(StartCare.ALONE, self.care("a", 7))

    def test_losses_of_unknown_cause_hold_a_task_until_they_are_explained(self):
        for attempt in range(1, 5):
            self.history.record_unexplained_loss(
                task_of("a"), attempt, f"u{attempt}", NOW_S
            )
        self.history.remove_old(NOW_S + UNEXPLAINED_RETENTION_S + 1)
        self.assertIs(StartCare.HELD, self.care("a"))
        self.history.explain_loss(task_of("a"), 2)
        self.assertIs(StartCare.ALONE, self.care("a"))

    def test_few_losses_of_unknown_cause_are_dropped(self):
        for attempt in (1, 2):
            self.history.record_unexplained_loss(
                task_of("a"), attempt, f"u{attempt}", NOW_S
            )
        self.history.remove_old(NOW_S + UNEXPLAINED_RETENTION_S + 1)
        for attempt in (3, 4):
            self.history.record_unexplained_loss(
                task_of("a"), attempt, f"u{attempt}", NOW_S
            )
        self.assertIs(StartCare.NONE, self.care("a"))


if __name__ == "__main__":
    unittest.main()
