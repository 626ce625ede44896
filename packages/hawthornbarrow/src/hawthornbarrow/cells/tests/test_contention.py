"""Plays loads over the capacity on a dispatcher and checks what callers get."""

import collections
import heapq
import itertools
import random
import unittest

from hawthornbarrow.cells import (
    NO_FEATURES,
    AttachWorker,
    Dispatcher,
    EndedRun,
    JobAnswer,
    JobDocument,
    JobState,
    LoadFeature,
    Resources,
    RunLeaseTiming,
    RunOutcome,
    StartTasks,
    Step,
    SubmitJob,
    WorkerRecord,
    WorkerReport,
)
from hawthornbarrow.queues import Queue, QueueTable, Service

STEP_S = 0.01
START_S = 100.0
CALM_S = 6.0  # longer than the sliding window of the shares
WORKER_COUNT = 8
WORKER_CORES = 16
TASK_CPU = 1800
# Jobs per second, tasks per job and run time of a task, by queue.
KINDS = {
    "check-in": (8.6, 8, 0.12),
    "swap": (25.0, 2, 0.4),
    "settlement": (1.6, 4, 1.8),
}
ALL = frozenset({LoadFeature.SHARES, LoadFeature.FORECAST, LoadFeature.RETURN_PLAN})
SHARES = frozenset({LoadFeature.SHARES})


def make_table():
    queues = [
        Queue(
            name=name,
            host="h",
            prefix=f"/{name}/",
            service="s",
            priority=priority,
            slack_factor=1.6,
            objective_s=0.06,
        )
        for priority, name in enumerate(KINDS)
    ]
    return QueueTable(version=1, queues=queues, services=[Service(name="s")])


class Play:
    """One dispatcher with simulated workers and a load that a test varies."""

    def __init__(self, *, features=NO_FEATURES, seed=1):
        self.random = random.Random(seed)
        self.now_s = START_S
        self.dispatcher = Dispatcher(
            term=1,
            timing=RunLeaseTiming(run_lease_s=1.0, stop_s=0.05),
            expected=(),
            now_s=START_S,
            features=features,
        )
        self.dispatcher.set_table(make_table())
        self.jobs = {}
        self.ends = []
        self.numbers = itertools.count()
        for index in range(WORKER_COUNT):
            record = WorkerRecord(
                upstream=f"u{index}",
                service="s",
                data_centre="d",
                labels=(),
                capacity=Resources(cpu=WORKER_CORES * 1000, memory_mb=10_000),
            )
            self.dispatcher.attach(
                f"a{index}",
                AttachWorker(
                    term=1,
                    session=index + 1,
                    worker=record,
                    is_leaving=False,
                    running=[],
                    ended=[],
                ),
                self.now_s,
            )

    def run(self, seconds, *, factors=None, centres=("d0", "d1"), load=1.0):
        """Plays some seconds, with factors on the rates of some queues."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += STEP_S
            for name, (rate, _, _) in KINDS.items():
                rate *= load * (factors or {}).get(name, 1.0)
                if self.random.random() < rate * STEP_S:
                    self.submit(name, self.random.choice(centres))
            self.step()

    def step(self):
        while self.ends and self.ends[0][0] <= self.now_s:
            _, _, agent, order, run_s = heapq.heappop(self.ends)
            worker = self.dispatcher.workers[agent]
            ended = EndedRun(
                number=worker.acknowledged + 1,
                task=order.task,
                attempt=order.attempt,
                end=RunOutcome.DONE,
                run_s=run_s,
            )
            report = WorkerReport(
                session=worker.session, is_leaving=False, ended=[ended]
            )
            self.dispatcher.report(agent, report, self.now_s)
        for agent in self.dispatcher.workers:
            self.dispatcher.on_frame(agent, self.now_s)
        self.dispatcher.tick(self.now_s)
        for receiver, message in self.dispatcher.take_messages():
            if isinstance(message, JobAnswer):
                self.jobs[message.job].update(answer=message, answered_s=self.now_s)
            elif isinstance(message, StartTasks):
                for order in message.orders:
                    self.start(receiver, order)

    def start(self, agent, order):
        job = self.jobs[order.task.job]
        job["has_run"] = True
        run_s = job["run_s"]
        entry = (self.now_s + run_s, next(self.numbers), agent, order, run_s)
        heapq.heappush(self.ends, entry)

    def submit(self, queue, centre, *, name="", size=0.0):
        _, count, run_s = KINDS[queue]
        name = name or f"j{next(self.numbers)}"
        size = size or self.random.choice((0.5, 0.5, 1.0, 2.5))
        count = max(1, round(count * size))
        self.jobs[name] = {
            "queue": queue,
            "centre": centre,
            "is_large": size > 2,
            "run_s": run_s * self.random.lognormvariate(0, 0.2),
            "work": count * run_s,
            "submitted_s": self.now_s,
            "has_run": False,
            "answer": None,
        }
        step = Step(
            count=count,
            each=Resources(cpu=TASK_CPU, memory_mb=10),
            estimated_s=run_s * self.random.lognormvariate(0, 0.4),
        )
        document = JobDocument(job=name, queue=queue, spec="", steps=(step,))
        message = SubmitJob(
            document=document, age_s=0.0, was_offered=False, data_centre=centre
        )
        self.dispatcher.submit("entry", message, self.now_s)
        return name

    def served(self, **criteria):
        """Returns the part of the work that was done in time, of some jobs."""
        work = in_time = 0.0
        for job in self.jobs.values():
            if any(job[key] != value for key, value in criteria.items()):
                continue
            work += job["work"]
            answer = job["answer"]
            if answer is not None and answer.state is JobState.COMPLETE:
                took_s = job["answered_s"] - job["submitted_s"]
                in_time += job["work"] * (took_s <= 1.6 * job["run_s"] + 0.06)
        return in_time / work

    def refusals(self):
        return [
            job["answer"]
            for job in self.jobs.values()
            if job["answer"] is not None and job["answer"].state is JobState.UNKNOWN
        ]


def play_burst(features, factors, *, seed=1, seconds=6.0, centres=("d0", "d1")):
    """Plays a calm time and a burst; only jobs of the burst are counted."""
    play = Play(features=features, seed=seed)
    play.run(CALM_S)
    play.jobs = {name: job for name, job in play.jobs.items() if job["answer"] is None}
    play.run(seconds, factors=factors, centres=centres)
    play.run(5.0, load=0.0)
    return play


def mean_served(features, factors, *, seeds=(1, 2, 3), **criteria):
    plays = [play_burst(features, factors, seed=seed) for seed in seeds]
    return sum(play.served(**criteria) for play in plays) / len(plays)


class BurstTest(unittest.TestCase):
    """Guards against a burst of one queue that others pay for."""

    BURST = {"swap": 4.0}

    def test_the_queue_of_the_last_priority_keeps_its_share(self):
        before = mean_served(NO_FEATURES, self.BURST, queue="settlement")
        after = mean_served(SHARES, self.BURST, queue="settlement")
        self.assertGreater(after, before + 0.2)
        self.assertGreater(after, 0.7)

    def test_the_queue_of_the_first_priority_does_not_pay_for_the_others(self):
        before = mean_served(NO_FEATURES, self.BURST, queue="check-in")
        after = mean_served(SHARES, self.BURST, queue="check-in")
        self.assertGreater(after, before - 0.05)

    def test_the_total_hardly_falls_and_the_worst_queue_gains(self):
        worst = {}
        total = {}
        for features in (NO_FEATURES, SHARES):
            plays = [play_burst(features, self.BURST, seed=seed) for seed in (1, 2, 3)]
            total[features] = sum(play.served() for play in plays)
            worst[features] = min(
                sum(play.served(queue=name) for play in plays) for name in KINDS
            )
        self.assertGreater(total[SHARES], 0.95 * total[NO_FEATURES])
        self.assertGreater(worst[SHARES], worst[NO_FEATURES])

    def test_the_largest_jobs_of_the_burst_are_not_starved(self):
        large = mean_served(SHARES, self.BURST, queue="swap", is_large=True)
        small = mean_served(SHARES, self.BURST, queue="swap", is_large=False)
        self.assertGreater(large, 0.6 * small)

    def test_no_data_centre_of_callers_is_served_much_worse(self):
        centres = ("d0", "d0", "d0", "d1")
        plays = [
            play_burst(SHARES, self.BURST, seed=seed, centres=centres)
            for seed in (1, 2, 3)
        ]
        parts = [
            sum(play.served(centre=name) for play in plays) / 3 for name in ("d0", "d1")
        ]
        self.assertLess(abs(parts[0] - parts[1]), 0.12)

    def test_a_refusal_as_not_run_is_true_also_of_displaced_jobs(self):
        play = play_burst(ALL, self.BURST)
        self.assertTrue(play.refusals())
        for answer in play.refusals():
            self.assertTrue(answer.has_not_run)
            self.assertFalse(play.jobs[answer.job]["has_run"])


class CalmTest(unittest.TestCase):
    def test_without_contention_every_decision_is_that_without_features(self):
        answers = []
        for features in (NO_FEATURES, SHARES):
            play = Play(features=features)
            play.run(8.0, load=0.6)
            self.assertEqual(play.dispatcher.counts["contention_began"], 0)
            answers.append(
                [(name, job.get("answered_s")) for name, job in play.jobs.items()]
            )
        self.assertEqual(answers[0], answers[1])


class TakeoverTest(unittest.TestCase):
    def test_a_dispatcher_without_history_decides_as_without_features(self):
        answers = []
        for features in (NO_FEATURES, ALL):
            play = Play(features=features)
            play.run(3.5, factors={"swap": 4.0})
            self.assertEqual(play.dispatcher.counts["contention_began"], 0)
            answers.append(
                [
                    (name, job.get("answered_s"), job["answer"])
                    for name, job in play.jobs.items()
                ]
            )
        self.assertEqual(answers[0], answers[1])


class ReturnsTest(unittest.TestCase):
    def test_callers_refused_together_are_told_different_times(self):
        play = play_burst(ALL, {"swap": 6.0})
        times = collections.Counter(answer.retry_after_s for answer in play.refusals())
        self.assertGreater(len(times), 2)
        self.assertTrue(all(time.is_integer() and time >= 1 for time in times))

    def test_a_returned_job_is_admitted_before_new_ones_of_its_queue(self):
        play = Play(features=ALL)
        play.run(CALM_S)
        play.run(3.0, factors={"swap": 6.0})
        refused = next(
            answer.job
            for answer in play.refusals()
            if play.jobs[answer.job]["queue"] == "swap"
        )
        play.submit("swap", "d0", name=refused, size=0.5)
        self.assertEqual(play.dispatcher.counts["job_returned"], 1)
        self.assertIn(refused, play.dispatcher.jobs)


class LevelsTest(unittest.TestCase):
    EARLY = frozenset({LoadFeature.EARLY_REFUSAL})

    def test_no_levels_are_sent_where_the_feature_is_off(self):
        play = Play(features=ALL)
        play.run(1.0)
        self.assertEqual(play.dispatcher.queue_levels(play.now_s), ())

    def test_an_idle_dispatcher_announces_no_wait(self):
        play = Play(features=self.EARLY)
        play.run(2.0, load=0.0)
        levels = play.dispatcher.queue_levels(play.now_s)
        self.assertEqual([level.queue for level in levels], list(KINDS))
        self.assertEqual([level.wait_s for level in levels], [0.0] * 3)

    def test_a_burst_raises_the_level_of_its_queue(self):
        for features in (self.EARLY, ALL | self.EARLY):
            play = Play(features=features)
            play.run(CALM_S)
            play.run(3.0, factors={"swap": 6.0})
            levels = {
                level.queue: level for level in play.dispatcher.queue_levels(play.now_s)
            }
            self.assertGreater(levels["swap"].wait_s, 0.1)
            self.assertGreater(levels["swap"].wait_s, levels["check-in"].wait_s)
            self.assertGreaterEqual(levels["swap"].retry_after_s, 1.0)

    def test_the_heartbeat_carries_the_levels(self):
        play = Play(features=self.EARLY)
        play.run(1.0, load=0.0)
        levels = play.dispatcher.queue_levels(play.now_s)
        heartbeat = play.dispatcher.heartbeat_for_entry(1.0, 1, {}, levels)
        self.assertEqual(heartbeat.levels, levels)
