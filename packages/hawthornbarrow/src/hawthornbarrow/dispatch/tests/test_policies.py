import random
import unittest

from hawthornbarrow.dispatch import (
    Admission,
    AdmissionLimits,
    FairQueue,
    FirstComeFirstServed,
    LeastExpectedStart,
    LeastRemainingWork,
    RetryBudget,
    RunTimeEstimator,
    SlotSplitter,
    UpstreamHealth,
    UpstreamView,
)
from hawthornbarrow.jobs import Job, JobSpec
from hawthornbarrow.upstreams import Announcement, Resources


def make_job(member="m", tasks=4, at_s=0.0, service="s", name="", deadline_s=1e9):
    spec = JobSpec(service=service, tasks=[b"1"] * tasks)
    job = Job(
        job_id=f"{member}-{at_s}-{tasks}-{name}",
        member=member,
        key="k",
        epoch=1,
        task_count=tasks,
        repeatable=True,
        submitted_at_s=at_s,
        deadline_at_s=deadline_s,
        spec=spec,
    )
    job.begin()
    return job


def serve_tasks(queue, count, cost_s=0.1):
    """Serves tasks one after another and returns the job of each."""
    served = []
    for step in range(count):
        picked = queue.pick({"s"}, step * 0.01)
        if picked is None:
            break
        picked.pop_waiting_task()
        queue.charge_start(picked, cost_s)
        queue.charge_end(picked.member, charged_s=cost_s, measured_s=cost_s)
        served.append(picked)
    return served


class FairQueueTest(unittest.TestCase):
    def make_queue(self, order=LeastRemainingWork):
        return FairQueue(order=order(estimator=RunTimeEstimator()))

    def test_slots_are_shared_by_weight(self):
        queue = self.make_queue()
        queue.set_member("a", weight=3.0)
        queue.set_member("b", weight=1.0)
        for member in "ab":
            queue.push(make_job(member, 1000))
        served = serve_tasks(queue, 200)
        share = sum(job.member == "a" for job in served) / len(served)
        self.assertAlmostEqual(share, 0.75, delta=0.02)

    def test_measured_run_time_replaces_expected_charge(self):
        queue = self.make_queue()
        for member in "ab":
            queue.push(make_job(member, 1000))
        used = {"a": 0.0, "b": 0.0}
        for step in range(300):
            picked = queue.pick({"s"}, step * 0.01)
            measured_s = 0.5 if picked.member == "a" else 0.1
            picked.pop_waiting_task()
            queue.charge_start(picked, 0.1)
            queue.charge_end(picked.member, charged_s=0.1, measured_s=measured_s)
            used[picked.member] += measured_s
        self.assertAlmostEqual(used["a"] / used["b"], 1.0, delta=0.1)

    def test_least_remaining_work_goes_first_until_a_job_has_no_slack(self):
        queue = self.make_queue()
        large = make_job(tasks=100, deadline_s=20.0)
        small = make_job(tasks=2, at_s=1.0)
        queue.push(large)
        queue.push(small)
        self.assertIs(queue.pick({"s"}, 1.0), small)
        self.assertIs(queue.pick({"s"}, 19.0), large, "its slack is used up")

    def test_slot_quota_limits_running_tasks(self):
        queue = self.make_queue(FirstComeFirstServed)
        queue.set_member("m", weight=1.0, slot_quota=2)
        waiting = make_job(tasks=5)
        queue.push(waiting)
        for _ in range(2):
            waiting.pop_waiting_task()
            queue.charge_start(queue.pick({"s"}, 0.0), 0.1)
        self.assertIsNone(queue.pick({"s"}, 0.0))
        queue.charge_end("m", charged_s=0.1, measured_s=0.1)
        self.assertIsNotNone(queue.pick({"s"}, 0.0))

    def test_member_far_above_its_share_is_penalized(self):
        queue = self.make_queue()
        for name in "abcde":
            queue.set_member(name, weight=1.0)
        queue.push(make_job("a", 10_000))
        serve_tasks(queue, 200)
        small = make_job("b", 20, at_s=3.0)
        queue.push(small)
        served = [queue.pick({"s"}, 3.0 + step) for step in range(3)]
        self.assertTrue(all(job is small for job in served))


class SlotSplitterTest(unittest.TestCase):
    def test_all_slots_go_to_entries_with_work(self):
        splitter = SlotSplitter(slots=8, ahead_s=0.0)
        shares = splitter.split({"a": 100, "b": 0, "c": 2}, 0.2)
        slots = {name: share.slots for name, share in shares.items()}
        self.assertEqual(slots, {"a": 6, "b": 0, "c": 2})
        self.assertGreaterEqual(shares["b"].limit, 1, "a burst may start at once")

    def test_queue_limit_depends_on_run_time(self):
        splitter = SlotSplitter(slots=8, ahead_s=0.04)
        self.assertEqual(splitter.split({"a": 9}, 0.05)["a"].limit, 8 + 6)
        self.assertEqual(splitter.split({"a": 9}, 1.0)["a"].limit, 8)


class PlacementTest(unittest.TestCase):
    def make_view(self, name, delay_s=0.0, outstanding=0, limit=8):
        announcement = Announcement(
            name=name, address="", services=["s"], slots=8, connections=8
        )
        view = UpstreamView(agent="a", announcement=announcement, link_delay_s=delay_s)
        view.grant(slots=8, limit=limit, generation=1)
        view.outstanding = outstanding
        return view

    def test_near_and_idle_upstreams_are_chosen_first(self):
        near, far = self.make_view("near"), self.make_view("far", delay_s=0.002)
        policy = LeastExpectedStart()
        self.assertIs(policy.choose([far, near], 0.1), near)
        near.outstanding = 8
        near.limit = 20
        self.assertIs(policy.choose([far, near], 0.1), far)

    def test_upstream_without_credit_is_not_chosen(self):
        full = self.make_view("full", outstanding=8)
        self.assertIsNone(LeastExpectedStart().choose([full], 0.1))

    def test_grant_that_is_not_newer_is_ignored(self):
        view = self.make_view("v")
        view.grant(slots=1, limit=1, generation=1)
        self.assertEqual(view.limit, 8)

    def test_resources_fit_only_if_each_amount_fits(self):
        capacity = Resources(cores=8, memory_mb=100, accelerators=1)
        self.assertTrue(Resources(cores=8, accelerators=1).fits(capacity))
        self.assertFalse(Resources(cores=1, memory_mb=101).fits(capacity))


class HealthTest(unittest.TestCase):
    def test_failing_upstream_is_ejected_and_readmitted_by_probe_runs(self):
        health = UpstreamHealth()
        for name in ("good", "other"):
            health.record(name, failed=False, run_time_ratio=1.0, now_s=0.0)
        for _ in range(6):
            health.record("bad", failed=True, run_time_ratio=1.0, now_s=0.0)
        self.assertFalse(health.may_send("bad", 1.0, repeatable=True))
        self.assertFalse(health.may_send("bad", 9.0, repeatable=False))
        for _ in range(3):
            self.assertTrue(health.may_send("bad", 9.0, repeatable=True))
            health.record_sent("bad")
            self.assertFalse(health.may_send("bad", 9.0, repeatable=True))
            health.record("bad", failed=False, run_time_ratio=1.0, now_s=9.0)
        self.assertTrue(health.may_send("bad", 9.0, repeatable=False))

    def test_ejected_share_is_limited(self):
        health = UpstreamHealth()
        for name in "abcdef":
            for _ in range(6):
                health.record(name, failed=True, run_time_ratio=1.0, now_s=0.0)
        ejected = sum(health.is_ejected(name) for name in "abcdef")
        self.assertLessEqual(ejected, 2)


class AdmissionTest(unittest.TestCase):
    def evaluate(self, admission, member="m", deadline_s=10.0):
        return admission.evaluate(
            member,
            tasks=10,
            work_s=10.0,
            deadline_s=deadline_s,
            slots=10,
            weight_share=0.5,
        )

    def make_admission(self, **limits):
        return Admission(limits=AdmissionLimits(**limits), generator=random.Random(1))

    def test_job_that_would_miss_its_deadline_is_refused_with_retry_time(self):
        admission = self.make_admission()
        self.assertIsNone(self.evaluate(admission))
        admission.add("m", 100, 100.0)
        refusal = self.evaluate(admission)
        self.assertEqual((refusal.status, refusal.reason), (429, "would_miss_deadline"))
        self.assertGreater(refusal.retry_after_s, 0)

    def test_backlog_of_one_member_does_not_refuse_jobs_of_another(self):
        admission = self.make_admission()
        admission.add("greedy", 10_000, 10_000.0)
        self.assertIsNone(self.evaluate(admission, "small"))

    def test_waiting_tasks_are_limited(self):
        admission = self.make_admission(tasks=15)
        admission.add("other", 10, 0.0)
        self.assertEqual(self.evaluate(admission).reason, "queue_full")


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_limited_to_a_share_of_successes(self):
        budget = RetryBudget(share=0.1, burst=2.0)
        self.assertEqual([budget.try_retry() for _ in range(3)], [True, True, False])
        for _ in range(11):
            budget.record_success()
        self.assertTrue(budget.try_retry())
        self.assertFalse(budget.try_retry())


class EstimatorTest(unittest.TestCase):
    def test_declared_run_time_counts_only_until_first_observation(self):
        estimator = RunTimeEstimator()
        self.assertEqual(estimator.mean_s("m", "s", 5.0), 5.0)
        for _ in range(50):
            estimator.observe("m", "s", 0.1)
        self.assertAlmostEqual(estimator.mean_s("m", "s", 5.0), 0.1)


if __name__ == "__main__":
    unittest.main()
