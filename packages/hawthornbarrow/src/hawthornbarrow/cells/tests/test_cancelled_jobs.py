"""Tests of jobs that callers cancel, across changes of the dispatcher."""

import unittest

import msgspec

from hawthornbarrow.cells import CancelledJobs, JobState, SubmitJob, WithdrawJob
from hawthornbarrow.cells._cancelled_jobs import MAX_CANCELLED_JOBS, MEMORY_S
from hawthornbarrow.cells.tests._cell_simulation import CellSimulation, make_job


class CancelledJobsTest(unittest.TestCase):
    def test_jobs_are_forgotten_after_a_while(self):
        jobs = CancelledJobs()
        jobs.add("a", 10.0)
        jobs.add("b", 10.0 + MEMORY_S)
        self.assertIn("a", jobs)
        jobs.remove_old(10.1 + MEMORY_S)
        self.assertEqual(["b"], list(jobs))

    def test_number_of_jobs_is_limited(self):
        jobs = CancelledJobs()
        for number in range(MAX_CANCELLED_JOBS + 10):
            jobs.add(str(number), 10.0)
        self.assertEqual(MAX_CANCELLED_JOBS, len(list(jobs)))
        self.assertNotIn("0", jobs)


class DispatcherTest(unittest.TestCase):
    """Tests cancels that reach a new dispatcher before the job or its runs do."""

    def setUp(self):
        self.cell = CellSimulation(seed=3)
        self.cell.delays_s = [0.002]
        self.cell.complete_handover_probability = 0.0
        for upstream in self.cell.upstreams.values():
            upstream.max_run_s = 30.0
        self.cell.run(0.5)
        self.document = make_job("j", count=4, run_s=30.0)

    def run_count(self):
        return sum(len(up.runs) for up in self.cell.upstreams.values())

    def test_job_that_was_cancelled_before_its_handover_does_not_run(self):
        """Guards against cancelled jobs that a new dispatcher goes on with."""
        self.cell.submit(self.document)
        self.cell.run(0.3)
        self.assertEqual(4, self.run_count())
        self.cell.jobs.clear()
        self.cell.take_over()
        self.cell.dispatcher.withdraw("j", self.cell.now_s, is_cancelled=True)
        self.assertIs(JobState.CANCELLED, self.cell.dispatcher.state_of("j"))
        message = SubmitJob(document=self.document, age_s=1.0, was_offered=True)
        self.cell.dispatcher.submit("entry", message, self.cell.now_s)
        self.cell.run(1.0)
        self.assertIs(JobState.CANCELLED, self.cell.answers["j"])
        self.assertEqual(0, self.run_count())
        self.cell.run(2.0)
        self.assertEqual(0, self.run_count())

    def test_runs_of_a_cancelled_job_are_stopped_without_its_handover(self):
        self.cell.submit(self.document)
        self.cell.run(0.3)
        self.cell.jobs.clear()
        self.cell.take_over()
        self.cell.dispatcher.withdraw("j", self.cell.now_s, is_cancelled=True)
        self.cell.run(1.0)
        self.assertEqual(0, self.run_count())

    def test_job_that_its_callers_left_may_be_submitted_again(self):
        self.cell.dispatcher.withdraw("j", self.cell.now_s)
        self.cell.submit(self.document)
        self.cell.run(0.3)
        self.assertEqual(4, self.run_count())

    def test_job_that_had_ended_keeps_its_state(self):
        for upstream in self.cell.upstreams.values():
            upstream.max_run_s = 0.1
        self.cell.submit(self.document)
        self.cell.run(1.0)
        self.cell.dispatcher.withdraw("j", self.cell.now_s, is_cancelled=True)
        self.assertIs(JobState.COMPLETE, self.cell.dispatcher.state_of("j"))


class _WithdrawJobBefore(
    msgspec.Struct, array_like=True, kw_only=True, tag="WithdrawJob"
):
    """WithdrawJob of the version before, without the kind of withdrawal."""

    job: str


class MixedVersionTest(unittest.TestCase):
    def test_cancel_is_read_by_the_version_before_as_a_withdrawal(self):
        data = msgspec.msgpack.encode(WithdrawJob(job="j", is_cancelled=True))
        before = msgspec.msgpack.decode(data, type=_WithdrawJobBefore)
        self.assertEqual("j", before.job)

    def test_withdrawal_of_the_version_before_is_no_cancel(self):
        data = msgspec.msgpack.encode(_WithdrawJobBefore(job="j"))
        message = msgspec.msgpack.decode(data, type=WithdrawJob)
        self.assertEqual(("j", False), (message.job, message.is_cancelled))


if __name__ == "__main__":
    unittest.main()
