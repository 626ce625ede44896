"""Baselines and the clairvoyant reference, on the same traces and sites."""

import abc
import collections
import heapq
import itertools
import random

from benchmarks.results import JobEnd, RunResult
from benchmarks.traces import Site, TraceJob


class Baseline(abc.ABC):
    """A way to run a trace without the product's cores.

    Args:
        site: Size of the deployment.
        seed: Seed of all draws.
    """

    name = ""

    def __init__(self, *, site: Site, seed: int) -> None:
        """Starts idle."""
        self._site = site
        self._random = random.Random(seed)
        self._events: list = []
        self._serial = itertools.count()
        self._left: dict[int, int] = {}
        self._ends: dict[int, JobEnd] = {}
        self.messages: collections.Counter[str] = collections.Counter()
        self.wasted: collections.Counter[str] = collections.Counter()

    def run(self, trace: list[TraceJob]) -> RunResult:
        """Runs a trace to its end."""
        for job in trace:
            self._left[job.number] = len(job.runs_s)
            self._at(job.at_s + self._site.client_s, self.arrive, job)
        while self._events:
            now_s, _, action, arguments = heapq.heappop(self._events)
            action(now_s, *arguments)
        return RunResult(
            name=self.name,
            ends=[self._ends[job.number] for job in trace],
            messages=dict(self.messages),
            wasted=dict(self.wasted),
        )

    @abc.abstractmethod
    def arrive(self, now_s: float, job: TraceJob) -> None:
        """Takes a job."""

    def _at(self, at_s: float, action: object, *arguments: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._serial), action, arguments))

    def _task_done(self, now_s: float, job: TraceJob) -> None:
        self._left[job.number] -= 1
        if not self._left[job.number]:
            self._ends[job.number] = JobEnd(
                job=job,
                status="completed",
                reason="",
                not_run=False,
                response_s=now_s + self._site.client_s - job.at_s,
            )


class RandomPush(Baseline):
    """Each task is pushed to an executor at once; executors serve in order.

    With two choices the executor with the shorter line of two probed ones is taken,
    which costs two probes and their answers a task.
    """

    name = "FCFS, random push"
    choices = 1

    def __init__(self, *, site: Site, seed: int) -> None:
        """Starts idle."""
        super().__init__(site=site, seed=seed)
        self._lines: list[collections.deque] = [
            collections.deque() for _ in range(site.executors)
        ]
        self._busy = [0] * site.executors

    def arrive(self, now_s: float, job: TraceJob) -> None:
        """Pushes all tasks."""
        for run_s in job.runs_s:
            drawn = self._random.sample(range(self._site.executors), self.choices)
            chosen = min(drawn, key=lambda n: len(self._lines[n]) + self._busy[n])
            if self.choices > 1:
                self.messages["probe"] += 2 * self.choices
                self.wasted["probe"] += 2 * self.choices
            self.messages["dispatch"] += 1
            delay_s = self._site.link_s * (3 if self.choices > 1 else 1)
            self._at(now_s + delay_s, self._enqueue, chosen, job, run_s)

    def _enqueue(self, now_s: float, chosen: int, job: TraceJob, run_s: float) -> None:
        self._lines[chosen].append((job, run_s))
        self._serve(now_s, chosen)

    def _serve(self, now_s: float, chosen: int) -> None:
        while self._lines[chosen] and self._busy[chosen] < self._site.slots:
            job, run_s = self._lines[chosen].popleft()
            self._busy[chosen] += 1
            self._at(now_s + run_s, self._end, chosen, job)

    def _end(self, now_s: float, chosen: int, job: TraceJob) -> None:
        self._busy[chosen] -= 1
        self.messages["result"] += 1
        self._at(now_s + self._site.link_s, self._task_done, job)
        self._serve(now_s, chosen)


class TwoChoices(RandomPush):
    """The less loaded of two probed executors."""

    name = "two random choices, push"
    choices = 2


class BatchSampling(Baseline):
    """Probes of twice the tasks; a slot that comes free asks for a task.

    After K. Ousterhout and others, "Sparrow: Distributed, Low Latency Scheduling"
    (SOSP 2013): batch sampling with late binding.
    """

    name = "batch sampling, late binding"

    def __init__(self, *, site: Site, seed: int) -> None:
        """Starts idle."""
        super().__init__(site=site, seed=seed)
        self._lines: list[collections.deque] = [
            collections.deque() for _ in range(site.executors)
        ]
        self._busy = [0] * site.executors
        self._waiting: dict[int, collections.deque] = {}

    def arrive(self, now_s: float, job: TraceJob) -> None:
        """Sends the probes."""
        self._waiting[job.number] = collections.deque(job.runs_s)
        count = 2 * len(job.runs_s)
        executors = self._site.executors
        order = self._random.sample(range(executors), executors)
        for number in range(count):
            self.messages["probe"] += 1
            chosen = order[number % executors]
            self._at(now_s + self._site.link_s, self._enqueue, chosen, job)

    def _enqueue(self, now_s: float, chosen: int, job: TraceJob) -> None:
        self._lines[chosen].append(job)
        self._serve(now_s, chosen)

    def _serve(self, now_s: float, chosen: int) -> None:
        while self._lines[chosen] and self._busy[chosen] < self._site.slots:
            job = self._lines[chosen].popleft()
            self._busy[chosen] += 1
            self.messages["ask"] += 1
            self._at(now_s + self._site.link_s, self._give, chosen, job)

    def _give(self, now_s: float, chosen: int, job: TraceJob) -> None:
        waiting = self._waiting[job.number]
        self.messages["dispatch"] += 1
        if waiting:
            run_s = waiting.popleft()
            start_s = now_s + self._site.link_s
            self._at(start_s + run_s, self._end, chosen, job)
        else:
            self.wasted["probe"] += 3
            self._at(now_s + self._site.link_s, self._free, chosen)

    def _end(self, now_s: float, chosen: int, job: TraceJob) -> None:
        self.messages["result"] += 1
        self._at(now_s + self._site.link_s, self._task_done, job)
        self._free(now_s, chosen)

    def _free(self, now_s: float, chosen: int) -> None:
        self._busy[chosen] -= 1
        self._serve(now_s, chosen)


class ClairvoyantFair(Baseline):
    """One central queue that knows true run times and splits slots fairly.

    Members are served by start-time fair queueing with true costs; inside a member
    the job with the least true remaining work goes first, its longest task first.
    Nothing is delayed by links or claims.
    """

    name = "clairvoyant fair reference"

    def __init__(self, *, site: Site, seed: int) -> None:
        """Starts idle."""
        super().__init__(site=site, seed=seed)
        self._free = site.total_slots
        self._open: dict[str, dict[int, list]] = {}
        self._tags: dict[str, float] = {}
        self._virtual = 0.0

    def arrive(self, now_s: float, job: TraceJob) -> None:
        """Takes a job and fills free slots."""
        runs = sorted(job.runs_s)
        self._open.setdefault(job.member, {})[job.number] = [job, runs, sum(runs)]
        self._serve(now_s)

    def _serve(self, now_s: float) -> None:
        while self._free and self._open:
            member = min(self._open, key=lambda m: max(self._virtual, self._tag(m)))
            jobs = self._open[member]
            record = min(jobs.values(), key=lambda r: r[2])
            job, runs, _ = record
            run_s = runs.pop()
            self._virtual = max(self._virtual, self._tag(member))
            self._tags[member] = self._virtual + run_s
            self._free -= 1
            if not runs:
                del jobs[job.number]
                if not jobs:
                    del self._open[member]
            self._at(now_s + run_s, self._end, job, run_s)

    def _tag(self, member: str) -> float:
        return self._tags.get(member, 0.0)

    def _end(self, now_s: float, job: TraceJob, run_s: float) -> None:
        record = self._open.get(job.member, {}).get(job.number)
        if record is not None:
            record[2] -= run_s
        self._free += 1
        self._task_done(now_s, job)
        self._serve(now_s)
