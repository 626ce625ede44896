"""Plays jobs on one dispatcher with uneven simulated workers in virtual time."""

import heapq
import itertools
import random

from hawthornbarrow.cells import (
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
    StopTasks,
    SubmitJob,
    WorkerRecord,
    WorkerReport,
)
from hawthornbarrow.queues import Queue, QueueTable, Service

TAILS = frozenset({LoadFeature.RUN_TIME_TAILS})
SPEEDS = (0.6, 1.0, 1.6)
CORES = (16, 16, 24)
REMOTE_FACTOR = 1.5
STEP_S = 0.01
TIMING = RunLeaseTiming(run_lease_s=1.0, stop_s=0.05)
QUEUES = [
    Queue(
        name=name,
        host="h",
        prefix=f"/{name}/",
        service="s",
        priority=priority,
        slack_factor=1.6,
        objective_s=0.06,
    )
    for priority, name in enumerate(("quick", "middle", "long"))
]


class UnevenCell:
    """Workers of three speeds, three a rack, and the jobs that run there."""

    def __init__(self, *, features=TAILS, seed=1, workers=9):
        self.generator = random.Random(seed)
        self.now_s = 100.0
        self.dispatcher = Dispatcher(
            term=1, timing=TIMING, expected=(), now_s=self.now_s, features=features
        )
        table = QueueTable(version=1, queues=QUEUES, services=[Service(name="s")])
        self.dispatcher.set_table(table)
        self.numbers = itertools.count(1)
        self.ends = []
        self.running = {}
        self.jobs = {}
        self.outcomes = {}
        self.starts = []
        self.silent = set()
        for index in range(workers):
            self.attach(index)

    def attach(self, index):
        record = WorkerRecord(
            upstream=f"u{index}",
            service="s",
            data_centre="d",
            labels=(f"kind-{index % 3}", f"r{index // 3}"),
            capacity=Resources(cpu=CORES[index % 3] * 1000, memory_mb=100000),
        )
        request = AttachWorker(
            term=1,
            session=next(self.numbers),
            worker=record,
            is_leaving=False,
            running=[],
            ended=[],
        )
        self.dispatcher.attach(f"a{index}", request, self.now_s)

    def teach(self, runs=400):
        """Lets the dispatcher learn the speeds and the remote factor."""
        run_times = self.dispatcher._run_times
        for number in range(runs * len(self.dispatcher.workers)):
            index = number % len(self.dispatcher.workers)
            is_remote = number % 7 == 0
            run_s = self.generator.lognormvariate(0, 0.1) / SPEEDS[index % 3]
            run_s *= REMOTE_FACTOR if is_remote else 1.0
            for queue in QUEUES:
                run_times.learn(
                    queue.name, f"u{index}", 1.0, run_s, is_remote=is_remote
                )
            if number % 100 == 0:
                run_times.update(self.now_s + number)
        self.now_s += 0.5
        self.hear()

    def hear(self):
        for agent in self.dispatcher.workers:
            if agent not in self.silent:
                self.dispatcher.on_frame(agent, self.now_s)

    def submit(self, queue, run_times_s, *, rack="", estimate_s=None, cpu=1300):
        name = f"j{next(self.numbers)}"
        step = Step(
            count=len(run_times_s),
            each=Resources(cpu=cpu, memory_mb=64),
            estimated_s=estimate_s or run_times_s[0],
            rack=rack,
        )
        document = JobDocument(job=name, queue=queue, spec="", steps=(step,))
        objective_s = 1.6 * max(run_times_s) + 0.06
        self.jobs[name] = (self.now_s, objective_s, run_times_s, rack)
        message = SubmitJob(document=document, age_s=0.0, was_offered=False)
        self.dispatcher.submit("e", message, self.now_s)
        return name

    def run(self, seconds, arrivals=None):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            if arrivals is not None:
                arrivals(self)
            while self.ends and self.ends[0][0] <= self.now_s:
                _, _, agent, session, order, run_s = heapq.heappop(self.ends)
                if self.running.pop((agent, order.task), None):
                    self.report(agent, session, order, RunOutcome.DONE, run_s)
            self.hear()
            self.dispatcher.tick(self.now_s)
            for receiver, message in self.dispatcher.take_messages():
                self.process(receiver, message)

    def process(self, receiver, message):
        if isinstance(message, JobAnswer):
            submitted_s, objective_s, _, _ = self.jobs[message.job]
            is_in_time = self.now_s - submitted_s <= objective_s
            is_complete = message.state is JobState.COMPLETE
            self.outcomes[message.job] = (
                "refused" if not is_complete else "in_time" if is_in_time else "late"
            )
        elif isinstance(message, StartTasks):
            for order in message.orders:
                self.start(receiver, message.session, order)
        elif isinstance(message, StopTasks):
            for task in message.tasks:
                order = self.running.pop((receiver, task), None)
                if order is not None:
                    self.report(
                        receiver, message.session, order, RunOutcome.STOPPED, 0.0
                    )

    def start(self, agent, session, order):
        index = int(agent[1:])
        _, _, run_times_s, rack = self.jobs[order.task.job]
        run_s = run_times_s[order.task.index] / SPEEDS[index % 3]
        if rack and rack != f"r{index // 3}":
            run_s *= REMOTE_FACTOR
        self.starts.append((order.task.job, index))
        self.running[agent, order.task] = order
        entry = (self.now_s + run_s, next(self.numbers), agent, session, order, run_s)
        heapq.heappush(self.ends, entry)

    def report(self, agent, session, order, end, run_s, **values):
        worker = self.dispatcher.workers.get(agent)
        if worker is None or worker.session != session:
            return
        ended = EndedRun(
            number=worker.acknowledged + 1,
            task=order.task,
            attempt=order.attempt,
            end=end,
            run_s=run_s,
        )
        report = WorkerReport(
            session=session, is_leaving=worker.is_leaving, ended=[ended], **values
        )
        self.dispatcher.report(agent, report, self.now_s)

    def drain(self, index, remaining_s):
        worker = self.dispatcher.workers[f"a{index}"]
        report = WorkerReport(
            session=worker.session,
            is_leaving=True,
            ended=[],
            remaining_s=remaining_s,
        )
        self.dispatcher.report(worker.agent, report, self.now_s)

    def kinds_of(self, job):
        return {index % 3 for name, index in self.starts if name == job}

    def workers_of(self, job):
        return {index for name, index in self.starts if name == job}

    def fraction(self, outcome):
        values = list(self.outcomes.values())
        return values.count(outcome) / len(values)
