"""Tests of the ownership of jobs on a simulated fleet.

The fleet raises `ViolationError` when an invariant is violated, so a few tests end
without an assertion of their own.
"""

import unittest

import msgspec
from hawthornbarrow.configuration import Service
from hawthornbarrow.upstreams import CallOutcome

from hawthornbarrow_entry.tests._fleet import Fleet


def status(fleet, number):
    answer = fleet.requests[number].answer
    return answer and msgspec.json.decode(answer.body).get("status")


class SubmissionTest(unittest.TestCase):
    def test_a_completed_job_is_answered_with_all_results(self):
        fleet = Fleet()
        number = fleet.submit("e0", "k", tasks=10)
        fleet.quiesce(2.0)
        self.assertEqual(status(fleet, number), "completed")
        self.assertEqual(len(fleet.runs), 10)

    def test_a_resubmission_elsewhere_joins_the_running_job(self):
        fleet = Fleet()
        first = fleet.submit("e0", "k", tasks=10)
        fleet.quiesce(0.1, finish=False)
        second = fleet.submit("e1", "k", tasks=10)
        third = fleet.submit("e0", "k", tasks=10)
        fleet.quiesce(2.0)
        fourth = fleet.submit("e2", "k", tasks=10)
        fleet.quiesce(0.5)
        for number in (first, second, third, fourth):
            self.assertEqual(status(fleet, number), "completed")
        self.assertEqual(len(fleet.runs), 10)

    def test_concurrent_submissions_of_one_key_are_one_job(self):
        fleet = Fleet()
        numbers = [fleet.submit(f"e{n}", "k", tasks=4) for n in range(3)]
        fleet.quiesce(2.0)
        for number in numbers:
            self.assertEqual(status(fleet, number), "completed")
        self.assertEqual(len(fleet.runs), 4)

    def test_another_body_under_the_same_key_is_refused(self):
        fleet = Fleet()
        fleet.submit("e0", "k", tasks=4)
        fleet.quiesce(0.5)
        other = fleet.submit("e1", "k", tasks=5)
        fleet.quiesce(0.5)
        self.assertEqual(fleet.requests[other].answer.status, 422)

    def test_a_new_job_is_found_at_every_entry_before_its_claim_is_applied(self):
        fleet = Fleet()
        fleet.home = "e0"
        fleet.quiesce(0.1)
        fleet.submit("e0", "k", tasks=4)
        number = fleet.fetch("e1", "k")
        for _ in range(50):
            fleet.deliver(0)
        self.assertEqual(fleet.requests[number].answer.status, 202)

    def test_an_isolated_entry_refuses_and_starts_nothing(self):
        fleet = Fleet()
        fleet.isolate("e0")
        fleet.quiesce(1.1)
        number = fleet.submit("e0", "k")
        document = msgspec.json.decode(fleet.requests[number].answer.body)
        self.assertEqual(document["status"], 503)
        fleet.recover()
        self.assertEqual(fleet.runs, [])

    def test_an_isolated_entry_does_not_report_a_previous_submission_as_not_run(
        self,
    ):
        fleet = Fleet()
        fleet.isolate("e0")
        fleet.submit("e1", "k")
        fleet.quiesce(1.1)
        number = fleet.submit("e0", "k")
        document = msgspec.json.decode(fleet.requests[number].answer.body)
        self.assertFalse(document["not_run"])


class UncommittedCancelTest(unittest.TestCase):
    """Tests of a job that is cancelled at an owner that is cut off at that moment."""

    def cancel_at(self, fleet, entry):
        """Cancels a job that is being claimed; returns the number of the request."""
        fleet.submit(entry, "k", tasks=4, repeatable=True, wait=False)
        return fleet.cancel(entry, "k")

    def test_job_that_another_owner_runs_is_not_answered_as_not_run(self):
        fleet = Fleet()
        fleet.quiesce(0.5)
        number = self.cancel_at(fleet, "e1")
        fleet.isolate("e1")
        fleet.quiesce(2.0)
        fleet.heal()
        fleet.quiesce(8.0)
        self.assertEqual(4, len(fleet.runs))
        fleet.check_not_run()
        document = msgspec.json.decode(fleet.requests[number].answer.body)
        self.assertFalse(document["not_run"])

    def test_cancelled_job_is_answered_as_not_run_once_that_is_committed(self):
        fleet = Fleet()
        fleet.quiesce(0.5)
        number = self.cancel_at(fleet, "e1")
        fleet.quiesce(0.5)
        document = msgspec.json.decode(fleet.requests[number].answer.body)
        self.assertTrue(document["not_run"])
        fleet.recover()
        self.assertEqual([], fleet.runs)


class OwnerFailureTest(unittest.TestCase):
    def running_job(self, repeatable, stops_on_disconnect=True):
        fleet = Fleet(stops_on_disconnect=stops_on_disconnect)
        fleet.submit("e0", "k", tasks=8, repeatable=repeatable)
        fleet.quiesce(0.3, finish=False)
        fleet.finish(0)
        fleet.finish(1)
        fleet.quiesce(0.1, finish=False)
        self.assertGreater(len(fleet.runs), 4)
        return fleet

    def test_the_new_owner_completes_the_job_without_starting_a_task_again(self):
        fleet = self.running_job(repeatable=False)
        fleet.crash_entry("e0")
        fleet.quiesce(1.0, finish=False)
        number = fleet.submit("e1", "k", tasks=8)
        fleet.quiesce(3.0)
        self.assertEqual(status(fleet, number), "completed")
        self.assertEqual(len(fleet.runs), 8)

    def test_agents_keep_a_job_whose_end_the_ledger_refuses(self):
        fleet = self.running_job(repeatable=False)
        fleet.isolate("e0")
        fleet.tick(0.5)
        fleet.cancel("e0", "k")
        for agent in ("a0", "a1"):
            fleet.cut_link("e1", agent)
            fleet.cut_link("e2", agent)
        fleet.tick(1.0)
        for entry in fleet.entries.values():
            entry.isolated_since = None
        fleet.quiesce(1.0, finish=False)
        fleet.heal()
        fleet.quiesce(8.0)
        fleet.submit("e1", "k", tasks=8)
        fleet.submit("e2", "k", tasks=8)
        fleet.quiesce(8.0)

    def test_an_agent_restart_after_the_claim_makes_the_job_unknown(self):
        fleet = self.running_job(repeatable=False)
        fleet.crash_entry("e0")
        fleet.crash_agent("a0")
        fleet.start_agent("a0")
        number = fleet.submit("e1", "k", tasks=8)
        fleet.quiesce(9.0)
        if fleet.requests[number].answer.status == 503:
            number = fleet.submit("e1", "k", tasks=8)
            fleet.quiesce(9.0)
        self.assertEqual(status(fleet, number), "unknown")

    def test_an_answer_of_an_unregistered_restarted_agent_does_not_recover_its_tasks(
        self,
    ):
        fleet = self.running_job(repeatable=False)
        fleet.crash_agent("a0")
        fleet.crash_entry("e0")
        fleet.isolate("e2")
        fleet.start_agent("a0")
        fleet.tick(0.05)
        for _ in range(200):
            fleet.deliver(0)
        number = fleet.submit("e1", "k", tasks=8)
        fleet.recover()
        if fleet.requests[number].answer.status == 503:
            number = fleet.submit("e1", "k", tasks=8)
            fleet.quiesce(9.0)
        self.assertEqual(status(fleet, number), "unknown")

    def test_an_entry_that_inherits_its_own_jobs_answers_waiting_callers(self):
        fleet = Fleet(entries=1)
        number = fleet.submit("e0", "k", tasks=8, repeatable=True)
        fleet.quiesce(0.2, finish=False)
        old_record = fleet.entries["e0"].core.job_table.open_jobs[0]
        fleet.isolate("e0")
        fleet.quiesce(2.0, finish=False)
        fleet.heal()
        fleet.quiesce(20.0)
        self.assertTrue(old_record.status.is_final, "the old record is still open")
        self.assertEqual(status(fleet, number), "completed")

    def test_a_dispatch_of_the_previous_owner_after_the_takeover_is_refused(
        self,
    ):
        for guard in ("epoch", "fence"):
            fleet = Fleet()
            fleet.submit("e0", "k", tasks=4, repeatable=True)
            fleet.tick(0.01)
            while fleet.apply_one(0):
                pass
            fleet.tick(0.01)
            fleet.frozen |= {("e0", "a0"), ("e0", "a1")}
            fleet.isolate("e0")
            fleet.quiesce(2.0, finish=False)
            for agent in fleet.agents.values():
                if guard == "epoch":
                    agent._job_owners._fenced.clear()
                else:
                    agent._job_owners._records.clear()
            fleet.frozen.clear()
            while fleet.deliver(0):
                pass
            self.assertEqual(fleet.runs, [], f"only the {guard} check was active")

    def test_a_returned_owner_is_fenced(self):
        fleet = self.running_job(repeatable=True)
        fleet.isolate("e0")
        fleet.quiesce(3.0, finish=False)
        fleet.heal()
        fleet.recover()
        fleet.check_all_answered()


class AgentFailureTest(unittest.TestCase):
    def test_a_job_with_non_repeatable_tasks_at_a_lost_agent_ends_unknown(self):
        fleet = Fleet()
        number = fleet.submit("e0", "k", tasks=4)
        fleet.quiesce(0.2, finish=False)
        fleet.crash_agent("a0")
        fleet.quiesce(8.0)
        self.assertEqual(status(fleet, number), "unknown")

    def test_repeatable_tasks_of_a_lost_agent_run_again(self):
        for stops_on_disconnect in (True, False):
            fleet = Fleet(stops_on_disconnect=stops_on_disconnect)
            number = fleet.submit("e0", "k", tasks=4, repeatable=True)
            fleet.quiesce(0.2, finish=False)
            fleet.crash_agent("a0")
            fleet.quiesce(20.0)
            self.assertEqual(status(fleet, number), "completed")

    def test_a_task_lost_with_its_agent_at_every_attempt_fails_its_job(self):
        fleet = Fleet(agents=1)
        number = fleet.submit("e0", "k", tasks=1, repeatable=True)
        for attempt in range(1, Service().attempts + 1):
            fleet.quiesce(10.0, finish=False)
            self.assertEqual(attempt, len(fleet.runs))
            fleet.crash_agent("a0")
            fleet.start_agent("a0")
        fleet.quiesce(2.0, finish=False)
        self.assertEqual(status(fleet, number), "failed")

    def test_a_short_link_failure_does_not_affect_the_job(self):
        fleet = Fleet()
        number = fleet.submit("e0", "k", tasks=4)
        fleet.quiesce(0.2, finish=False)
        fleet.cut_link("e0", "a0")
        fleet.quiesce(1.0)
        fleet.heal()
        fleet.quiesce(2.0)
        self.assertEqual(status(fleet, number), "completed")
        self.assertEqual(len(fleet.runs), 4)

    def test_a_dispatch_that_arrives_after_its_agent_counts_as_lost_never_starts(self):
        fleet = Fleet()
        number = fleet.submit("e0", "k", tasks=4, repeatable=True)
        fleet.tick(0.01)
        while fleet.apply_one(0):
            pass
        fleet.tick(0.01)
        fleet.cut_link("e0", "a0")
        fleet.quiesce(7.0, finish=False)
        fleet.heal()
        fleet.quiesce(10.0)
        self.assertEqual(status(fleet, number), "completed")

    def test_an_agent_starts_no_task_after_its_lease_has_expired(self):
        fleet = Fleet()
        fleet.submit("e0", "k", tasks=4, repeatable=True)
        fleet.tick(0.01)
        while fleet.apply_one(0):
            pass
        fleet.tick(0.01)
        fleet.now_s += 7.0
        while fleet.deliver(0):
            pass
        self.assertEqual(fleet.runs, [])

    def test_an_uncertain_outcome_is_final_unless_the_job_is_repeatable(self):
        for repeatable, expected in ((False, "unknown"), (True, "completed")):
            fleet = Fleet()
            number = fleet.submit("e0", "k", tasks=2, repeatable=repeatable)
            fleet.quiesce(0.2, finish=False)
            fleet.finish(0, CallOutcome.RESET_AFTER_SENT)
            fleet.quiesce(4.0)
            self.assertEqual(status(fleet, number), expected)


class CancellationTest(unittest.TestCase):
    def test_a_cancellation_waits_for_a_claim_that_another_entry_may_win(self):
        fleet = Fleet()
        fleet.submit("e0", "k")
        fleet.submit("e1", "k")
        number = fleet.cancel("e1", "k")
        self.assertIsNone(fleet.requests[number].answer)
        fleet.quiesce(1.0)
        fleet.check_not_run()
        self.assertIsNotNone(fleet.requests[number].answer)

    def test_waiting_tasks_of_a_cancelled_job_never_start(self):
        fleet = Fleet()
        fleet.submit("e0", "k", tasks=50, repeatable=True)
        fleet.quiesce(0.2, finish=False)
        started = len(fleet.runs)
        number = fleet.cancel("e1", "k")
        fleet.quiesce(0.1, finish=False)
        fleet.quiesce(2.0)
        self.assertEqual(status(fleet, number), "cancelled")
        self.assertEqual(len(fleet.runs), started)


if __name__ == "__main__":
    unittest.main()
