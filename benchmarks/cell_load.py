"""Simulates a site's load on a cell's dispatcher and measures what callers get.

    python -m benchmarks.cell_load --load 1.2 --seconds 40

The upstreams are simulated without links and do not fail, so the results depend only
on the dispatcher's decisions. A job that is answered within its objective earns its
full worth, one that is answered within three times its objective earns a fifth of it,
and any other job earns nothing. The worth of a job grows with its work, because its
callers pay for the work.
"""

import argparse
import dataclasses
import heapq
import itertools
import logging
import random

import structlog
from hawthornbarrow.cells import (
    NO_FEATURES,
    ArrivalOrder,
    AttachWorker,
    Dispatcher,
    EndedRun,
    JobAnswer,
    JobDocument,
    JobOrder,
    JobState,
    LoadFeature,
    PriorityOrder,
    Resources,
    RunLeaseTiming,
    RunOutcome,
    StartTasks,
    Step,
    SubmitJob,
    TimelyPriorityOrder,
    WorkerRecord,
    WorkerReport,
)
from hawthornbarrow.queues import Queue, QueueTable, Service

LEASE_TIMING = RunLeaseTiming(run_lease_s=1.0, stop_s=0.05)
TIME_STEP_S = 0.01
LATE_WORTH_FACTOR = 0.2
LATE_LIMIT_FACTOR = 3.0
ESTIMATE_SIGMA = 0.4
TASK_RUN_TIME_SIGMA = 0.15
SLACK_FACTOR = 1.6
OBJECTIVE_S = 0.06


@dataclasses.dataclass(frozen=True, kw_only=True)
class JobKind:
    """Jobs of one queue.

    Attributes:
        name: Name of the queue.
        rate_per_s: Mean number of jobs that arrive per second at a load of 1.
        task_count: Typical number of tasks of a job.
        run_s: Typical run time of a task, at a relative speed of 1.
        cpu: Millicores that each task reserves.
        priority: Priority of the queue.
        worth: Worth of a job with the typical amount of work.
    """

    name: str
    rate_per_s: float
    task_count: float
    run_s: float
    cpu: int
    priority: int
    worth: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class CellSite:
    """Workers of a site and the jobs that arrive there.

    Attributes:
        job_kinds: Kinds of jobs.
        worker_cores: Number of cores of each worker.
        relative_speeds: Speed of each worker, by which the run times are divided.
    """

    job_kinds: tuple[JobKind, ...]
    worker_cores: tuple[int, ...]
    relative_speeds: tuple[float, ...]


def bearings_site() -> CellSite:
    """Returns the consortium's site of eleven workers."""
    return _build_site(cores=64, cpu=6200)


def fairs_site() -> CellSite:
    """Returns the fairs' site of eleven workers."""
    return _build_site(cores=16, cpu=1600)


def _build_site(*, cores: int, cpu: int) -> CellSite:
    job_kinds = (
        JobKind(name="quick", rate_per_s=17.2, task_count=8, run_s=0.12, cpu=cpu,
                priority=0, worth=0.0291),
        JobKind(name="long", rate_per_s=3.13, task_count=4, run_s=1.8, cpu=cpu,
                priority=2, worth=0.16),
        JobKind(name="check", rate_per_s=50.0, task_count=2, run_s=0.4, cpu=cpu,
                priority=1, worth=0.01),
    )  # fmt: skip
    size_factors = (1.0, 1.0, 1.5)
    return CellSite(
        job_kinds=job_kinds,
        worker_cores=tuple(
            round(cores * size_factors[index % 3]) for index in range(11)
        ),
        relative_speeds=tuple((0.8, 1.0, 1.25)[index % 3] for index in range(11)),
    )


@dataclasses.dataclass(kw_only=True)
class _SubmittedJob:
    """Job that was submitted to the dispatcher, and its answer."""

    kind: JobKind
    worth: float
    submitted_s: float
    objective_s: float
    run_times_s: list[float]
    answered_s: float = 0.0
    state: JobState | None = None


class LoadRun:
    """One simulated run of a load on one dispatcher."""

    def __init__(
        self,
        *,
        site: CellSite,
        order: JobOrder | None,
        load: float,
        seed: int,
        silent_span_s: tuple[float, float] = (0.0, 0.0),
        features: frozenset[LoadFeature] = NO_FEATURES,
    ) -> None:
        """Attaches the site's workers.

        Args:
            site: Workers of the site and its kinds of jobs.
            order: Order of waiting jobs.
            load: Factor on all arrival rates.
            seed: Seed of arrivals and run times.
            silent_span_s: Start and end of the time in which two workers send no
                frames except reports of ended runs, in seconds from the start of the
                load. A worker that is detached meanwhile does not attach again.
            features: Optional features of the dispatcher.
        """
        self._site = site
        self._load = load
        self._random = random.Random(seed)
        self._now_s = 100.0
        self._silent_span_s = silent_span_s
        self._dispatcher = Dispatcher(
            term=1,
            timing=LEASE_TIMING,
            expected=(),
            now_s=self._now_s,
            order=order,
            features=features,
        )
        queues = [
            Queue(
                name=kind.name,
                host="h",
                prefix=f"/{kind.name}/",
                service="s",
                priority=kind.priority,
                max_attempts=3,
                slack_factor=SLACK_FACTOR,
                objective_s=OBJECTIVE_S,
            )
            for kind in site.job_kinds
        ]
        table = QueueTable(version=1, queues=queues, services=[Service(name="s")])
        self._dispatcher.set_table(table)
        self._submitted: dict[str, _SubmittedJob] = {}
        self._scheduled_ends: list[tuple[float, int, str, EndedRun]] = []
        self._run_counts: dict[str, int] = {}
        self._serial_numbers = itertools.count()
        self._peak_waiting_count = 0
        for index in range(len(site.worker_cores)):
            self._attach(index)

    @property
    def dispatcher(self) -> Dispatcher:
        """The simulated cell's dispatcher."""
        return self._dispatcher

    def run(self, seconds: float) -> dict[str, float]:
        """Runs the load and returns the shares of the worth that were earned.

        The keys are ``all`` for all jobs and the name of each kind for its jobs. The
        key ``served`` holds the share of jobs that earned anything.
        """
        start_s = self._now_s
        end_s = start_s + seconds
        while self._now_s < end_s + 10.0:
            self._now_s += TIME_STEP_S
            if self._now_s < end_s:
                self._submit_arrivals()
            self._report_ended_runs()
            for agent in self._dispatcher.workers:
                if not self._is_silent(agent, start_s):
                    self._dispatcher.on_frame(agent, self._now_s)
            self._dispatcher.tick(self._now_s)
            for receiver, message in self._dispatcher.take_messages():
                self._process_message(receiver, message)
        return self._compute_earned_shares()

    def _is_silent(self, agent: str, start_s: float) -> bool:
        silent_from_s, silent_until_s = (start_s + at_s for at_s in self._silent_span_s)
        return agent in ("a0", "a5") and silent_from_s <= self._now_s < silent_until_s

    def _attach(self, index: int) -> None:
        record = WorkerRecord(
            upstream=f"u{index}",
            service="s",
            data_centre="d",
            labels=(),
            capacity=Resources(
                cpu=self._site.worker_cores[index] * 1000, memory_mb=100000
            ),
        )
        attach_request = AttachWorker(
            term=1,
            session=index + 1,
            worker=record,
            is_leaving=False,
            running=[],
            ended=[],
        )
        self._dispatcher.attach(f"a{index}", attach_request, self._now_s)

    def _submit_arrivals(self) -> None:
        for kind in self._site.job_kinds:
            rate_per_s = kind.rate_per_s * self._load * self._rate_factor(kind)
            expected = rate_per_s * TIME_STEP_S
            for _ in range(self._draw_poisson(expected)):
                self._submit(kind)

    def _rate_factor(self, kind: JobKind) -> float:
        """Returns the factor on the arrival rate of a kind of job at this time."""
        return 1.0

    def _draw_poisson(self, expected: float) -> int:
        count, elapsed = 0, self._random.expovariate(1.0)
        while elapsed < expected:
            count += 1
            elapsed += self._random.expovariate(1.0)
        return count

    def _submit(self, kind: JobKind) -> None:
        task_count = max(
            1, round(self._random.lognormvariate(0, 0.4) * kind.task_count)
        )
        task_count = min(task_count, round(kind.task_count * 4))
        run_s = kind.run_s * min(4.0, self._random.lognormvariate(-0.08, 0.4))
        run_times_s = [
            run_s * self._random.lognormvariate(0, TASK_RUN_TIME_SIGMA)
            for _ in range(task_count)
        ]
        estimate_s = run_s * self._random.lognormvariate(0, ESTIMATE_SIGMA)
        name = f"j{next(self._serial_numbers)}"
        step = Step(
            count=task_count,
            each=Resources(cpu=kind.cpu, memory_mb=64),
            estimated_s=estimate_s,
        )
        work_ratio = sum(run_times_s) / (kind.run_s * kind.task_count)
        self._submitted[name] = _SubmittedJob(
            kind=kind,
            worth=kind.worth * min(4.0, 0.3 + 0.7 * work_ratio),
            submitted_s=self._now_s,
            objective_s=SLACK_FACTOR * max(run_times_s) + OBJECTIVE_S,
            run_times_s=run_times_s,
        )
        document = JobDocument(job=name, queue=kind.name, spec="", steps=(step,))
        message = SubmitJob(document=document, age_s=0.0, was_offered=False)
        self._dispatcher.submit("entry", message, self._now_s)

    def _process_message(self, receiver: str, message: object) -> None:
        if isinstance(message, JobAnswer):
            submitted = self._submitted[message.job]
            submitted.answered_s = self._now_s
            submitted.state = message.state
        elif isinstance(message, StartTasks):
            self._peak_waiting_count = max(
                self._peak_waiting_count, self._dispatcher.waiting_count
            )
            for order in message.orders:
                self._start(receiver, order)

    def _start(self, agent: str, order: object) -> None:
        submitted = self._submitted[order.task.job]
        speed = self._site.relative_speeds[int(agent[1:])]
        run_s = submitted.run_times_s[order.task.index] / speed
        self._run_counts[agent] = self._run_counts.get(agent, 0) + 1
        ended = EndedRun(
            number=self._run_counts[agent],
            task=order.task,
            attempt=order.attempt,
            end=RunOutcome.DONE,
            run_s=run_s,
        )
        at_s = self._now_s + run_s + 0.005
        heapq.heappush(
            self._scheduled_ends, (at_s, next(self._serial_numbers), agent, ended)
        )

    def _report_ended_runs(self) -> None:
        while self._scheduled_ends and self._scheduled_ends[0][0] <= self._now_s:
            _, _, agent, ended = heapq.heappop(self._scheduled_ends)
            worker = self._dispatcher.workers.get(agent)
            if worker is None:
                continue
            number = worker.acknowledged + 1
            ended = EndedRun(
                number=number,
                task=ended.task,
                attempt=ended.attempt,
                end=ended.end,
                run_s=ended.run_s,
            )
            report = WorkerReport(
                session=worker.session, is_leaving=False, ended=[ended]
            )
            self._dispatcher.report(agent, report, self._now_s)

    def _compute_earned_shares(self) -> dict[str, float]:
        total = sum(job.worth for job in self._submitted.values())
        result = {"all": sum(map(_earned_worth, self._submitted.values())) / total}
        for kind in self._site.job_kinds:
            of_kind = [job for job in self._submitted.values() if job.kind is kind]
            earned = sum(map(_earned_worth, of_kind))
            result[kind.name] = earned / sum(job.worth for job in of_kind)
        earning = [job for job in self._submitted.values() if _earned_worth(job)]
        result["served"] = len(earning) / len(self._submitted)
        return result


def _earned_worth(job: _SubmittedJob) -> float:
    if job.state is not JobState.COMPLETE:
        return 0.0
    took_s = job.answered_s - job.submitted_s
    if took_s <= job.objective_s:
        return job.worth
    return (
        job.worth * LATE_WORTH_FACTOR
        if took_s <= LATE_LIMIT_FACTOR * job.objective_s
        else 0.0
    )


ORDERS = {
    "arrival": ArrivalOrder,
    "priority": PriorityOrder,
    "product": TimelyPriorityOrder,
}


def main() -> None:
    """Prints the earned shares of the worth for each load and job order."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--load", type=float, nargs="*", default=[1.0, 1.3, 1.7])
    parser.add_argument("--lost", type=float, nargs=2, default=(5.0, 9.0))
    arguments = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    for load in arguments.load:
        for name, order in ORDERS.items():
            load_run = LoadRun(
                site=bearings_site(),
                order=order(),
                load=load,
                seed=arguments.seed,
                silent_span_s=tuple(arguments.lost),
            )
            result = load_run.run(arguments.seconds)
            row = " ".join(f"{key} {value:.3f}" for key, value in result.items())
            print(f"load {load:.1f} {name:10} {row}")


if __name__ == "__main__":
    main()
