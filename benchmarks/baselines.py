"""Simulated baseline schedulers and a clairvoyant reference scheduler."""

import abc
import collections
import heapq
import itertools
import random

from benchmarks.results import JobOutcome, RunResult
from benchmarks.traces import Site, TraceJob


class Baseline(abc.ABC):
    """Simulation of a scheduler that does not use the product's code.

    Args:
        site: Size of the deployment.
        seed: Seed of all draws.
    """

    name = ""

    def __init__(self, *, site: Site, seed: int) -> None:
        """Initializes the simulation without jobs."""
        self._site = site
        self._random = random.Random(seed)
        self._events: list = []
        self._event_numbers = itertools.count()
        self._remaining_tasks: dict[int, int] = {}
        self._outcomes: dict[int, JobOutcome] = {}
        self.messages: collections.Counter[str] = collections.Counter()
        self.wasted: collections.Counter[str] = collections.Counter()

    def run(self, trace: list[TraceJob]) -> RunResult:
        """Runs a trace until all of its jobs are completed."""
        for job in trace:
            self._remaining_tasks[job.number] = len(job.run_times_s)
            self._schedule(
                job.arrival_s + self._site.client_delay_s, self.on_job_arrival, job
            )
        while self._events:
            now_s, _, action, arguments = heapq.heappop(self._events)
            action(now_s, *arguments)
        return RunResult(
            name=self.name,
            outcomes=[self._outcomes[job.number] for job in trace],
            messages=dict(self.messages),
            wasted=dict(self.wasted),
        )

    @abc.abstractmethod
    def on_job_arrival(self, now_s: float, job: TraceJob) -> None:
        """Processes the arrival of a job."""

    def _schedule(self, at_s: float, action: object, *arguments: object) -> None:
        heapq.heappush(
            self._events, (at_s, next(self._event_numbers), action, arguments)
        )

    def _on_task_result(self, now_s: float, job: TraceJob) -> None:
        self._remaining_tasks[job.number] -= 1
        if not self._remaining_tasks[job.number]:
            self._outcomes[job.number] = JobOutcome(
                job=job,
                status="completed",
                reason="",
                not_run=False,
                response_s=now_s + self._site.client_delay_s - job.arrival_s,
            )


class RandomPush(Baseline):
    """Pushes each task at once to a random worker, which serves tasks in order.

    With a ``probe_count`` of two, the worker with the shorter queue of two probed
    workers is selected. This costs two probes and their answers per task.
    """

    name = "FCFS, random push"
    probe_count = 1

    def __init__(self, *, site: Site, seed: int) -> None:
        """Initializes the simulation without jobs."""
        super().__init__(site=site, seed=seed)
        self._queues: list[collections.deque] = [
            collections.deque() for _ in range(site.workers)
        ]
        self._busy = [0] * site.workers

    def on_job_arrival(self, now_s: float, job: TraceJob) -> None:
        """Pushes all tasks of the job."""
        for run_s in job.run_times_s:
            probed = self._random.sample(range(self._site.workers), self.probe_count)
            worker = min(probed, key=lambda n: len(self._queues[n]) + self._busy[n])
            if self.probe_count > 1:
                self.messages["probe"] += 2 * self.probe_count
                self.wasted["probe"] += 2 * self.probe_count
            self.messages["dispatch"] += 1
            delay_s = self._site.link_delay_s * (3 if self.probe_count > 1 else 1)
            self._schedule(now_s + delay_s, self._enqueue, worker, job, run_s)

    def _enqueue(self, now_s: float, worker: int, job: TraceJob, run_s: float) -> None:
        self._queues[worker].append((job, run_s))
        self._serve(now_s, worker)

    def _serve(self, now_s: float, worker: int) -> None:
        while self._queues[worker] and self._busy[worker] < self._site.slots:
            job, run_s = self._queues[worker].popleft()
            self._busy[worker] += 1
            self._schedule(now_s + run_s, self._on_run_end, worker, job)

    def _on_run_end(self, now_s: float, worker: int, job: TraceJob) -> None:
        self._busy[worker] -= 1
        self.messages["result"] += 1
        self._schedule(now_s + self._site.link_delay_s, self._on_task_result, job)
        self._serve(now_s, worker)


class TwoChoices(RandomPush):
    """Pushes each task to the less loaded of two randomly probed workers."""

    name = "two random choices, push"
    probe_count = 2


class BatchSampling(Baseline):
    """Sends two probes per task; a worker with a free slot asks for a task.

    Based on K. Ousterhout and others, "Sparrow: Distributed, Low Latency Scheduling"
    (SOSP 2013): batch sampling with late binding.
    """

    name = "batch sampling, late binding"

    def __init__(self, *, site: Site, seed: int) -> None:
        """Initializes the simulation without jobs."""
        super().__init__(site=site, seed=seed)
        self._queues: list[collections.deque] = [
            collections.deque() for _ in range(site.workers)
        ]
        self._busy = [0] * site.workers
        self._unassigned_run_times_s: dict[int, collections.deque] = {}

    def on_job_arrival(self, now_s: float, job: TraceJob) -> None:
        """Sends the probes of the job."""
        self._unassigned_run_times_s[job.number] = collections.deque(job.run_times_s)
        count = 2 * len(job.run_times_s)
        workers = self._site.workers
        order = self._random.sample(range(workers), workers)
        for number in range(count):
            self.messages["probe"] += 1
            worker = order[number % workers]
            self._schedule(now_s + self._site.link_delay_s, self._enqueue, worker, job)

    def _enqueue(self, now_s: float, worker: int, job: TraceJob) -> None:
        self._queues[worker].append(job)
        self._serve(now_s, worker)

    def _serve(self, now_s: float, worker: int) -> None:
        while self._queues[worker] and self._busy[worker] < self._site.slots:
            job = self._queues[worker].popleft()
            self._busy[worker] += 1
            self.messages["ask"] += 1
            self._schedule(
                now_s + self._site.link_delay_s, self._assign_task, worker, job
            )

    def _assign_task(self, now_s: float, worker: int, job: TraceJob) -> None:
        unassigned_s = self._unassigned_run_times_s[job.number]
        self.messages["dispatch"] += 1
        if unassigned_s:
            run_s = unassigned_s.popleft()
            start_s = now_s + self._site.link_delay_s
            self._schedule(start_s + run_s, self._on_run_end, worker, job)
        else:
            # The probe, the request for a task and the reply without a task.
            self.wasted["probe"] += 3
            self._schedule(now_s + self._site.link_delay_s, self._release_slot, worker)

    def _on_run_end(self, now_s: float, worker: int, job: TraceJob) -> None:
        self.messages["result"] += 1
        self._schedule(now_s + self._site.link_delay_s, self._on_task_result, job)
        self._release_slot(now_s, worker)

    def _release_slot(self, now_s: float, worker: int) -> None:
        self._busy[worker] -= 1
        self._serve(now_s, worker)


class ClairvoyantFair(Baseline):
    """Central queue that knows the true run times and shares the slots fairly.

    Members are served by start-time fair queueing with true costs. Within a member,
    the job with the least true remaining work is served first, and its longest task
    first. Links and claims cause no delay.
    """

    name = "clairvoyant fair reference"

    def __init__(self, *, site: Site, seed: int) -> None:
        """Initializes the simulation without jobs."""
        super().__init__(site=site, seed=seed)
        self._free_slots = site.total_slots
        self._waiting_jobs: dict[str, dict[int, list]] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0

    def on_job_arrival(self, now_s: float, job: TraceJob) -> None:
        """Queues the job and fills free slots."""
        run_times_s = sorted(job.run_times_s)
        self._waiting_jobs.setdefault(job.member, {})[job.number] = [
            job,
            run_times_s,
            sum(run_times_s),
        ]
        self._serve(now_s)

    def _serve(self, now_s: float) -> None:
        while self._free_slots and self._waiting_jobs:
            member = min(
                self._waiting_jobs,
                key=lambda m: max(self._virtual_time, self._finish_tag(m)),
            )
            jobs = self._waiting_jobs[member]
            record = min(jobs.values(), key=lambda r: r[2])
            job, run_times_s, _ = record
            run_s = run_times_s.pop()
            self._virtual_time = max(self._virtual_time, self._finish_tag(member))
            self._finish_tags[member] = self._virtual_time + run_s
            self._free_slots -= 1
            if not run_times_s:
                del jobs[job.number]
                if not jobs:
                    del self._waiting_jobs[member]
            self._schedule(now_s + run_s, self._on_run_end, job, run_s)

    def _finish_tag(self, member: str) -> float:
        return self._finish_tags.get(member, 0.0)

    def _on_run_end(self, now_s: float, job: TraceJob, run_s: float) -> None:
        record = self._waiting_jobs.get(job.member, {}).get(job.number)
        if record is not None:
            record[2] -= run_s
        self._free_slots += 1
        self._on_task_result(now_s, job)
        self._serve(now_s)
