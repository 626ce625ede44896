"""Tests of finding out from logs why jobs were not served in time."""

import unittest

from hawthornbarrow.observability import Cause, count_by_cause, find_unserved_jobs


def line(event, **fields):
    fields = {"timestamp": "2026-12-04T05:00:01.5Z", "process": "e", "event": event} | (
        fields
    )
    return " ".join(f"{name}={value!r}" for name, value in fields.items())


def answer(outcome="complete", *, reason="", offers=1, took_s=0.1):
    return line(
        "job_answered",
        job="j",
        queue="q",
        outcome=outcome,
        reason=reason,
        offers=offers,
        took_s=took_s,
        objective_s=0.2,
    )


PLACED = line("tasks_placed", job="j", waited_s=0.001)
GIVEN_UP = answer("refused", reason="waited too long")


class UnservedJobsTest(unittest.TestCase):
    def causes(self, *lines):
        return [job.cause for job in find_unserved_jobs(lines)]

    def test_job_served_in_time_is_not_listed(self):
        self.assertEqual([], self.causes(PLACED, answer()))

    def test_each_unserved_job_has_one_cause(self):
        late = answer(took_s=0.4)
        lost = line("task_waits_again", job="j", end="lost", reason="")
        unanswered = line(
            "run_failed", job="j", end="lost", reason="no answer to the start"
        )
        stalled = line("run_stalled", job="j")
        failed = line("run_failed", job="j", end="failed", reason="")
        refused = answer("refused", reason="no room in time")
        no_dispatcher = line("job_refused", job="j", reason="no dispatcher")
        cases = {
            Cause.PREDICTED_WAIT: (refused,),
            Cause.NO_DISPATCHER: (no_dispatcher,),
            Cause.GAVE_UP_WAITING: (GIVEN_UP,),
            Cause.TAKEOVER: (PLACED, answer("unknown", offers=2)),
            Cause.LOST_WORKER: (PLACED, lost, late),
            Cause.UNANSWERED_START: (PLACED, unanswered, lost, late),
            Cause.STALLED_RUN: (PLACED, stalled, lost, late),
            Cause.FAILED_RUN: (PLACED, failed, late),
            Cause.CAPACITY: (line("tasks_placed", job="j", waited_s=0.15), late),
            Cause.SLOW_RUN: (PLACED, late),
            Cause.CALLER_LEFT: (PLACED, line("job_abandoned", job="j")),
        }
        for cause, lines in cases.items():
            with self.subTest(cause=cause.value):
                self.assertEqual([cause], self.causes(*lines))

    def test_refusals_of_an_entry_have_the_cause_of_its_reason(self):
        for reason, cause in {
            "no dispatcher in time": Cause.NO_DISPATCHER,
            "too many callers wait": Cause.NO_DISPATCHER,
            "no room in time by the level of the queue": Cause.PREDICTED_WAIT,
            "the entry is stopping": Cause.OTHER,
        }.items():
            with self.subTest(reason=reason):
                refused = line("job_refused", job="j", reason=reason)
                self.assertEqual([cause], self.causes(refused))

    def test_causes_are_counted_with_the_time_of_their_runs(self):
        run = line("run_ended", task="j.0.0.1", run_s=0.25)
        jobs = find_unserved_jobs([run, GIVEN_UP])
        self.assertEqual([(Cause.GAVE_UP_WAITING, 1, 0.25, "j")], count_by_cause(jobs))
