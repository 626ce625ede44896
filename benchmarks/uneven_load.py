"""Simulates uneven workers, long-tail runs and racks on a cell's dispatcher.

    python -m benchmarks.uneven_load --scenario hot --features run-time-tails

It prints for each queue and size class the fractions of jobs that ended in time, late
or were refused. The upstreams are simulated without links and do not fail.
"""

import argparse
import collections
import dataclasses
import heapq
import logging
import math

import structlog
from hawthornbarrow.cells import (
    AttachWorker,
    EndedRun,
    JobDocument,
    JobState,
    LoadFeature,
    Resources,
    RunOutcome,
    Step,
    SubmitJob,
    TimelyPriorityOrder,
    WorkerRecord,
    parse_features,
)

from benchmarks.cell_load import (
    ESTIMATE_SIGMA,
    LATE_LIMIT_FACTOR,
    LATE_WORTH_FACTOR,
    OBJECTIVE_S,
    SLACK_FACTOR,
    TASK_RUN_TIME_SIGMA,
    CellSite,
    JobKind,
    LoadRun,
    _SubmittedJob,
)

_RUN_TIME_SIGMA = 0.4
_RUN_OVERHEAD_S = 0.005


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnevenLoad:
    """Load on a site of uneven workers.

    Attributes:
        site: Workers and kinds of jobs.
        workers_per_rack: Number of workers in each rack.
        remote_factor: Factor on run times away from the rack of the data.
        hot_fraction: Fraction of the jobs whose data is on the first rack; the others
            are spread evenly over all racks.
        tail_fraction: Fraction of the tasks that run several times as long.
        tail_factor: Their run time as a multiple of the mean.
        swing: Relative amplitude of the arrival rates.
        period_s: Period of the arrival rates.
        slowed: Workers of which the speed halves, and when.
        joining_every: Every so many workers attach late, none if zero.
        joining_from_s: When the first of them attaches; the others follow one by one.
    """

    site: CellSite
    workers_per_rack: int
    remote_factor: float
    hot_fraction: float = 0.0
    tail_fraction: float = 0.03
    tail_factor: float = 7.0
    swing: float = 0.55
    period_s: float = 13.0
    slowed: dict[int, float] = dataclasses.field(default_factory=dict)
    joining_every: int = 0
    joining_from_s: float = 8.0


def _second_site() -> CellSite:
    kinds = (
        JobKind(name="quick", rate_per_s=90.6, task_count=8, run_s=0.102, cpu=1300,
                priority=0, worth=0.03),
        JobKind(name="middle", rate_per_s=264.0, task_count=2, run_s=0.34, cpu=1300,
                priority=1, worth=0.01),
        JobKind(name="long", rate_per_s=16.5, task_count=4, run_s=1.52, cpu=1300,
                priority=2, worth=0.16),
    )  # fmt: skip
    return CellSite(
        job_kinds=kinds,
        worker_cores=tuple((16, 16, 24)[index % 3] for index in range(54)),
        relative_speeds=tuple((0.6, 1.0, 1.6)[index % 3] for index in range(54)),
    )


def _first_site() -> CellSite:
    kinds = (
        JobKind(name="quick", rate_per_s=103.0, task_count=8, run_s=0.12, cpu=1800,
                priority=0, worth=0.03),
        JobKind(name="middle", rate_per_s=300.0, task_count=2, run_s=0.4, cpu=1800,
                priority=1, worth=0.01),
        JobKind(name="long", rate_per_s=18.8, task_count=4, run_s=1.8, cpu=1800,
                priority=2, worth=0.16),
    )  # fmt: skip
    return CellSite(
        job_kinds=kinds,
        worker_cores=(16,) * 77,
        relative_speeds=tuple((1.0, 1.0, 1.3)[index % 3] for index in range(77)),
    )


def scenario(name: str) -> UnevenLoad:
    """Returns the load of a scenario."""
    second = UnevenLoad(site=_second_site(), workers_per_rack=9, remote_factor=1.5)
    first = UnevenLoad(
        site=_first_site(),
        workers_per_rack=7,
        remote_factor=3.0,
        tail_fraction=0.0,
        swing=0.0,
    )
    return {
        "spread": second,
        "hot": dataclasses.replace(second, hot_fraction=0.5),
        "slowed": dataclasses.replace(
            second, slowed={index: 8.0 for index in range(1, 54, 9)}
        ),
        "joining": dataclasses.replace(second, joining_every=2),
        "even": first,
        "even-hot": dataclasses.replace(first, hot_fraction=0.3),
    }[name]


class UnevenLoadRun(LoadRun):
    """One simulated run of a load on uneven workers."""

    def __init__(
        self,
        *,
        uneven: UnevenLoad,
        load: float,
        seed: int,
        features: frozenset[LoadFeature],
    ) -> None:
        """Attaches the site's workers.

        Args:
            uneven: The load.
            load: Factor on all arrival rates.
            seed: Seed of arrivals and run times.
            features: Optional features of the dispatcher.
        """
        self._uneven = uneven
        self._mean_load = load
        self._base_s: float | None = None
        self._racks_of_jobs: dict[str, str] = {}
        self._joining: list[int] = []
        super().__init__(
            site=uneven.site,
            order=TimelyPriorityOrder(),
            load=load,
            seed=seed,
            features=features,
        )
        self._base_s = self._now_s

    def _rack(self, worker: int) -> str:
        return f"r{worker // self._uneven.workers_per_rack}"

    def _attach(self, index: int) -> None:
        every = self._uneven.joining_every
        if every and self._base_s is None and index % every:
            self._joining.append(index)
            return
        site = self._uneven.site
        record = WorkerRecord(
            upstream=f"u{index}",
            service="s",
            data_centre="d",
            labels=(f"kind-{index % 3}", self._rack(index)),
            capacity=Resources(cpu=site.worker_cores[index] * 1000, memory_mb=100000),
        )
        request = AttachWorker(
            term=1,
            session=index + 1,
            worker=record,
            is_leaving=False,
            running=[],
            ended=[],
        )
        self._dispatcher.attach(f"a{index}", request, self._now_s)

    def _submit_arrivals(self) -> None:
        phase = 2 * math.pi * (self._now_s - self._base_s) / self._uneven.period_s
        self._load = self._mean_load * (1 + self._uneven.swing * math.sin(phase))
        super()._submit_arrivals()
        joins_from_s = self._base_s + self._uneven.joining_from_s
        if self._joining and self._now_s >= joins_from_s:
            self._attach(self._joining.pop())

    def _draw_run_times(self, kind: JobKind) -> tuple[list[float], float]:
        generator = self._random
        task_count = max(1, round(generator.lognormvariate(0, 0.4) * kind.task_count))
        task_count = min(task_count, round(kind.task_count * 4))
        run_s = kind.run_s * min(4.0, generator.lognormvariate(-0.08, _RUN_TIME_SIGMA))
        run_times_s = []
        for _ in range(task_count):
            time_s = run_s * generator.lognormvariate(0, TASK_RUN_TIME_SIGMA)
            if generator.random() < self._uneven.tail_fraction:
                time_s = kind.run_s * self._uneven.tail_factor
            run_times_s.append(time_s)
        return run_times_s, run_s * generator.lognormvariate(0, ESTIMATE_SIGMA)

    def _submit(self, kind: JobKind) -> None:
        run_times_s, estimate_s = self._draw_run_times(kind)
        rack_count = len(self._uneven.site.worker_cores) // (
            self._uneven.workers_per_rack
        )
        is_hot = self._random.random() < self._uneven.hot_fraction
        rack = "r0" if is_hot else f"r{self._random.randrange(rack_count)}"
        name = f"j{next(self._serial_numbers)}"
        self._racks_of_jobs[name] = rack
        step = Step(
            count=len(run_times_s),
            each=Resources(cpu=kind.cpu, memory_mb=64),
            estimated_s=estimate_s,
            rack=rack,
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

    def _start(self, agent: str, order: object) -> None:
        worker = int(agent[1:])
        submitted = self._submitted[order.task.job]
        run_s = submitted.run_times_s[order.task.index]
        run_s /= self._uneven.site.relative_speeds[worker]
        if self._racks_of_jobs[order.task.job] != self._rack(worker):
            run_s *= self._uneven.remote_factor
        slowed_s = self._uneven.slowed.get(worker, math.inf)
        if self._now_s - self._base_s > slowed_s:
            run_s *= 2
        ended = EndedRun(
            number=1,
            task=order.task,
            attempt=order.attempt,
            end=RunOutcome.DONE,
            run_s=run_s,
        )
        at_s = self._now_s + run_s + _RUN_OVERHEAD_S
        heapq.heappush(
            self._scheduled_ends, (at_s, next(self._serial_numbers), agent, ended)
        )

    def outcomes(self) -> dict[tuple[str, str], collections.Counter[str]]:
        """Returns counts of outcomes and the earned fraction, by queue and size."""
        rows = collections.defaultdict(collections.Counter)
        for job in self._submitted.values():
            relative_size = len(job.run_times_s) / job.kind.task_count
            size = (
                "small"
                if relative_size <= 1
                else "medium"
                if relative_size < 2
                else "large"
            )
            outcome, credit = _outcome(job)
            for key in ((job.kind.name, size), (job.kind.name, "all"), ("all", "all")):
                rows[key][outcome] += 1
                rows[key]["worth"] += job.worth
                rows[key]["earned"] += credit * job.worth
        return rows


def _outcome(job: _SubmittedJob) -> tuple[str, float]:
    took_s = job.answered_s - job.submitted_s
    if job.state is not JobState.COMPLETE:
        return "refused", 0.0
    if took_s <= job.objective_s:
        return "in_time", 1.0
    if took_s <= LATE_LIMIT_FACTOR * job.objective_s:
        return "late", LATE_WORTH_FACTOR
    return "late", 0.0


def run_rows(
    name: str, load: float, seed: int, seconds: float, features: frozenset[LoadFeature]
) -> dict[tuple[str, str], collections.Counter[str]]:
    """Runs one trial and returns its outcomes."""
    run = UnevenLoadRun(uneven=scenario(name), load=load, seed=seed, features=features)
    run.run(seconds)
    return run.outcomes()


def main() -> None:
    """Prints the outcomes by queue and size class."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenario", default="hot")
    parser.add_argument("--seconds", type=float, default=26.0)
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2, 3])
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--features", default="")
    arguments = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    features = parse_features(arguments.features)
    print(f"{arguments.scenario} load {arguments.load} features {features or 'none'}")
    total = collections.defaultdict(collections.Counter)
    for seed in arguments.seeds:
        rows = run_rows(
            arguments.scenario, arguments.load, seed, arguments.seconds, features
        )
        overall = rows["all", "all"]
        print(f"seed {seed} credit {overall['earned'] / overall['worth']:.4f}")
        for key, counts in rows.items():
            total[key].update(counts)
    for (queue, size), counts in sorted(total.items()):
        jobs = sum(counts[outcome] for outcome in ("in_time", "late", "refused"))
        fractions = " ".join(
            f"{outcome} {counts[outcome] / jobs:.4f}"
            for outcome in ("in_time", "late", "refused")
        )
        credit = counts["earned"] / counts["worth"]
        print(f"{queue:7} {size:7} jobs {jobs:6} {fractions} credit {credit:.4f}")


if __name__ == "__main__":
    main()
