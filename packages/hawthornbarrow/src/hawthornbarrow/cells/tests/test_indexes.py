"""Tests of the dispatcher's indexes against the plain scans that they replace."""

import random
import unittest

from hawthornbarrow.cells import (
    JobDocument,
    JobRecord,
    Resources,
    RunTimes,
    Step,
    TaskKey,
    TimelyPriorityOrder,
    WorkerRecord,
)
from hawthornbarrow.cells._ready_capacity import CapacitySum, ReadyCapacity
from hawthornbarrow.cells._run_times import SPEED_CLASS_WIDTH
from hawthornbarrow.cells._waiting_jobs import WaitingJobs, plain_work_ahead_core_s
from hawthornbarrow.cells._worker_index import WorkerIndex
from hawthornbarrow.cells._worker_selector import _REMOTE_RACK_PENALTY, WorkerSelector
from hawthornbarrow.cells._worker_view import Run, WorkerView
from hawthornbarrow.queues import Queue

SUSPECT_AFTER_S = 0.375
SEQUENCE_COUNT = 30
STEP_COUNT = 150
SERVICES = ("s", "t")


def make_queue(priority):
    return Queue(
        name=f"q{priority}",
        host="h",
        prefix=f"/q{priority}/",
        service="s",
        priority=priority,
        slack_factor=1.6,
        objective_s=0.06,
    )


QUEUES = [make_queue(priority) for priority in range(3)]


def make_job(generator, name, now_s, **constraints):
    step = Step(
        count=generator.randint(1, 6),
        each=Resources(cpu=generator.choice([500, 1000, 4000]), memory_mb=64),
        estimated_s=generator.choice([0.1, 0.4, 2.0]),
        **constraints,
    )
    queue = generator.choice(QUEUES)
    record = JobRecord(
        document=JobDocument(job=name, queue=queue.name, spec="", steps=(step,)),
        queue=queue,
        arrived_at_s=now_s,
        first_attempt=0,
    )
    record.set_times(step.estimated_s)
    return record


def choose_by_scan(job, index, workers, run_times, now_s):
    """Returns the preferred worker by looking at every worker, as the oracle."""
    step = job.document.steps[0]
    avoided = job.tasks[0][index].avoided
    best, best_key = None, ()
    for worker in workers:
        if not worker.accepts_work(now_s, SUSPECT_AFTER_S):
            continue
        if not step.each.fits_into(worker.free):
            continue
        if step.label and step.label not in worker.record.labels:
            continue
        limit = step.most_on_worker
        if limit and job.count_on(0, worker.agent) >= limit:
            continue
        is_remote = bool(step.rack) and step.rack not in worker.record.labels
        penalty = is_remote * _REMOTE_RACK_PENALTY / SPEED_CLASS_WIDTH
        key = (
            worker.agent in avoided,
            run_times.speed_class(worker.record.upstream) + penalty,
            -worker.free.cpu,
        )
        if best is None or key < best_key:
            best, best_key = worker, key
    return best


class WorkerIndexTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 10.0
        self.run_times = RunTimes()
        self.index = WorkerIndex(run_times=self.run_times)
        self.ready = ReadyCapacity(
            run_times=self.run_times, suspect_after_s=SUSPECT_AFTER_S
        )
        self.selector = WorkerSelector(suspect_after_s=SUSPECT_AFTER_S)
        self.workers = {}
        self.number = 0

    def attach(self, generator):
        self.number += 1
        name = f"a{self.number}"
        labels = (generator.choice(["r0", "r1", "r2"]), generator.choice(["x", "y"]))
        record = WorkerRecord(
            upstream=f"u{self.number}",
            service=generator.choice(SERVICES),
            data_centre="d",
            labels=labels,
            capacity=Resources(cpu=generator.choice([4000, 8000]), memory_mb=512),
        )
        worker = WorkerView(agent=name, session=1, record=record, now_s=self.now_s)
        self.workers[name] = worker
        self.index.add(worker)
        self.ready.refresh(worker, self.now_s)

    def change(self, generator, *, after_s=0.01):
        """Applies one random event, as the pool reports them to the indexes."""
        self.now_s += after_s
        event = generator.random()
        if not self.workers or event < 0.15:
            self.attach(generator)
            return
        worker = generator.choice(list(self.workers.values()))
        if event < 0.2:
            del self.workers[worker.agent]
            self.index.remove(worker)
            self.ready.remove(worker)
            return
        if event < 0.4:
            worker.heard_at_s = self.now_s
        elif event < 0.5:
            worker.is_leaving = generator.random() < 0.2
        elif event < 0.6:
            self.run_times.record_overrun(worker.record.upstream, 4.0)
        elif event < 0.65:
            worker.health.record_failure(f"j{generator.random()}", self.now_s)
        elif event < 0.7 and worker.runs:
            worker.remove(generator.choice(list(worker.runs)))
        self.index.update(worker)
        self.ready.refresh(worker, self.now_s)

    def start(self, worker, job, index):
        key = TaskKey(job=job.job, step=0, index=index)
        needs = job.document.steps[0].each
        worker.add(Run(task=key, attempt=1, needs=needs, started_at_s=self.now_s))
        self.index.update(worker)
        self.ready.refresh(worker, self.now_s)

    def test_choice_is_that_of_a_scan_over_all_workers(self):
        chosen_count = 0
        for seed in range(SEQUENCE_COUNT):
            self.setUp()
            generator = random.Random(seed)
            for number in range(STEP_COUNT):
                self.change(generator)
                constraints = generator.choice(
                    [{}, {}, {"rack": "r1"}, {"label": "x"}, {"most_on_worker": 2}]
                )
                job = make_job(generator, f"j{number}", self.now_s, **constraints)
                job.tasks[0][0].avoided.update(
                    generator.sample(list(self.workers), min(2, len(self.workers)))
                )
                service = generator.choice(SERVICES)
                workers = [
                    w for w in self.workers.values() if w.record.service == service
                ]
                expected = choose_by_scan(job, 0, workers, self.run_times, self.now_s)
                cpu = job.document.steps[0].each.cpu
                candidates = self.index.candidates(service, cpu)
                actual = self.selector.choose(job, 0, 0, candidates, self.now_s)
                self.assertIs(expected, actual)
                if actual is not None:
                    chosen_count += 1
                    self.start(actual, job, 0)
        self.assertGreater(chosen_count, SEQUENCE_COUNT * STEP_COUNT / 4)

    def test_capacity_follows_each_change(self):
        for seed in range(SEQUENCE_COUNT):
            self.setUp()
            generator = random.Random(seed)
            for _ in range(STEP_COUNT):
                self.change(generator, after_s=0.0)
                self.assert_capacity()

    def test_capacity_follows_time_at_each_sweep(self):
        for seed in range(SEQUENCE_COUNT):
            self.setUp()
            generator = random.Random(seed)
            for _ in range(STEP_COUNT):
                self.change(generator)
                self.ready.refresh_all(self.workers.values(), self.now_s)
                self.assert_capacity()

    def assert_capacity(self):
        for service in SERVICES:
            ready = [
                worker
                for worker in self.workers.values()
                if worker.record.service == service
                and worker.accepts_work(self.now_s, SUSPECT_AFTER_S)
            ]
            rate_cores = sum(
                worker.record.capacity.cpu
                / 1000
                / self.run_times.slowness(worker.record.upstream)
                for worker in ready
            )
            free_cores = sum(max(0, worker.free.cpu) for worker in ready) / 1000
            actual = self.ready.of_service(service)
            self.assertEqual(len(ready), actual.worker_count)
            self.assertAlmostEqual(rate_cores, actual.rate_cores)
            self.assertAlmostEqual(free_cores, actual.free_cores)

    def test_silent_worker_leaves_the_sum_at_the_next_sweep(self):
        self.attach(random.Random(1))
        (worker,) = self.workers.values()
        service = worker.record.service
        self.assertEqual(1, self.ready.of_service(service).worker_count)
        later_s = self.now_s + 2 * SUSPECT_AFTER_S
        self.ready.refresh_all(self.workers.values(), later_s)
        self.assertEqual(CapacitySum(), self.ready.of_service(service))


class WaitingJobsTest(unittest.TestCase):
    """Plays random arrivals, starts, ends and time against sorting all jobs."""

    def setUp(self):
        self.now_s = 10.0
        self.order = TimelyPriorityOrder()
        self.waiting = WaitingJobs(order=self.order)
        self.run_times = RunTimes()
        self.jobs = {}

    def change(self, generator, number):
        self.now_s += generator.choice([0.0, 0.01, 0.3])
        event = generator.random()
        if not self.jobs or event < 0.5:
            job = make_job(generator, f"j{number}", self.now_s)
            self.jobs[job.job] = job
            self.waiting.add(job)
            return
        job = generator.choice(list(self.jobs.values()))
        if event < 0.8:
            job.begin(0, job.waiting_tasks(0)[0], "a")
        elif job.running_count:
            index = next(i for i, task in enumerate(job.tasks[0]) if task.worker)
            job.end(0, index, is_done=generator.random() < 0.5)
        if job.is_all_begun:
            del self.jobs[job.job]
            self.waiting.discard(job)
        else:
            self.waiting.touch(job)

    def test_order_and_work_are_those_of_sorting_and_adding_up_all_jobs(self):
        for seed in range(SEQUENCE_COUNT):
            self.setUp()
            generator = random.Random(seed)
            for number in range(STEP_COUNT):
                self.change(generator, number)
                self.run_times.learn("q1", "u", 1.0, generator.uniform(0.5, 2.0))
                expected = sorted(
                    self.jobs.values(), key=lambda j: self.order.key(j, self.now_s)
                )
                self.assertEqual(expected, self.waiting.in_order(self.now_s))
                for priority in range(3):
                    self.assertAlmostEqual(
                        plain_work_ahead_core_s(
                            self.jobs.values(), priority, self.run_times, self.now_s
                        ),
                        self.waiting.work_ahead_core_s(
                            priority, self.run_times, self.now_s
                        ),
                    )

    def test_no_work_is_left_by_rounding_when_no_job_waits(self):
        generator = random.Random(1)
        jobs = [make_job(generator, f"j{n}", self.now_s) for n in range(50)]
        for job in jobs:
            self.waiting.add(job)
            self.waiting.work_ahead_core_s(2, self.run_times, self.now_s)
        for job in jobs:
            self.waiting.discard(job)
        work = self.waiting.work_ahead_core_s(2, self.run_times, self.now_s)
        self.assertEqual(0, work)
