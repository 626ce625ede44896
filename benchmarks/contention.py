"""Compares the dispatcher's features under contention on the load of two customers.

    python -m benchmarks.contention --seeds 1 2 3 --features shares,forecast

Each day has one burst of each queue, and an eighth of the workers is lost for five
seconds during two of them. The demand of the second customer also swings. Callers who
are refused return once after the time that they were told. Credit is that of
`benchmarks.cell_load` for first submissions; returns only add load.
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import logging
import math
import random

import structlog
from hawthornbarrow.cells import (
    AttachWorker,
    JobAnswer,
    JobDocument,
    JobOrder,
    JobState,
    LoadFeature,
    Resources,
    Step,
    SubmitJob,
    WorkerRecord,
    parse_features,
)

from benchmarks.cell_load import (
    ESTIMATE_SIGMA,
    OBJECTIVE_S,
    SLACK_FACTOR,
    TASK_RUN_TIME_SIGMA,
    CellSite,
    JobKind,
    LoadRun,
    _earned_worth,
    _SubmittedJob,
)

REST_LOAD = 0.6  # of the capacity
LOSS_S = 5.0
DAY_S = 36.0
BURST_STARTS_S = (5.0, 15.0, 25.0)
DATA_CENTRES = ("d0", "d1", "d2")
# Fractions of callers near each data centre at rest, and during the second burst.
CALLER_WEIGHTS = (0.5, 0.3, 0.2)
SHIFTED_CALLER_WEIGHTS = (0.2, 0.3, 0.5)
SETTLE_S = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Customer:
    """A customer's site and what varies in its load.

    Attributes:
        site: Workers and kinds of jobs.
        swing: Relative amplitude of the demand.
        period_s: Period of the swing.
        tail_probability: Probability of a task that runs longer than its job.
        tail_factor: Factor on the run time of such a task.
    """

    site: CellSite
    swing: float = 0.0
    period_s: float = 13.0
    tail_probability: float = 0.0
    tail_factor: float = 7.0


def first_customer() -> Customer:
    """Returns the customer with 77 workers and three contending queues."""
    return Customer(
        site=_build_site(
            workers=77,
            cpu=1800,
            rates_per_s=(103.0, 300.0, 18.8),
            run_times_s=(0.12, 0.4, 1.8),
            speeds=(0.9, 1.0, 1.1),
        )
    )


def second_customer() -> Customer:
    """Returns the customer with 54 uneven workers, swinging demand and tails."""
    return Customer(
        site=_build_site(
            workers=54,
            cpu=1300,
            rates_per_s=(90.6, 264.0, 16.5),
            run_times_s=(0.102, 0.34, 1.52),
            speeds=(0.6, 1.0, 1.6),
        ),
        swing=0.55,
        tail_probability=0.03,
    )


def _build_site(
    *,
    workers: int,
    cpu: int,
    rates_per_s: tuple[float, ...],
    run_times_s: tuple[float, ...],
    speeds: tuple[float, ...],
) -> CellSite:
    names = ("check-in", "swap", "settlement")
    task_counts = (8, 2, 4)
    worths = (0.0291, 0.01, 0.16)
    kinds = tuple(
        JobKind(
            name=names[index],
            rate_per_s=rates_per_s[index],
            task_count=task_counts[index],
            run_s=run_times_s[index],
            cpu=cpu,
            priority=index,
            worth=worths[index],
        )
        for index in range(3)
    )
    return CellSite(
        job_kinds=kinds,
        worker_cores=tuple((16, 16, 24)[index % 3] for index in range(workers)),
        relative_speeds=tuple(speeds[index % 3] for index in range(workers)),
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Burst:
    start_s: float
    end_s: float
    kind: str
    factor: float
    is_lossy: bool


class ContentionRun(LoadRun):
    """One simulated day of a customer on one dispatcher."""

    def __init__(
        self,
        *,
        customer: Customer,
        seed: int,
        features: frozenset[LoadFeature],
        order: JobOrder | None = None,
    ) -> None:
        """Attaches the workers and draws the bursts of the day."""
        self._customer = customer
        generator = random.Random(seed * 1000 + 7)
        self._bursts = self._draw_bursts(generator)
        worker_count = len(customer.site.worker_cores)
        lost = generator.sample(range(worker_count), worker_count // 8)
        self._lost_agents = {f"a{index}" for index in lost}
        self._is_lost = False
        self._sessions = itertools.count(1)
        self._centres: dict[str, str] = {}
        self._returns: list[tuple[float, int, JobDocument, str]] = []
        self._returning: set[str] = set()
        self._documents: dict[str, JobDocument] = {}
        self.return_states: collections.Counter[str] = collections.Counter()
        super().__init__(
            site=customer.site,
            order=order,
            load=self._scale_to_rest(customer.site),
            seed=seed,
            features=features,
        )
        self._start_s = self._now_s
        self._answers: collections.Counter[str] = collections.Counter()

    @staticmethod
    def _scale_to_rest(site: CellSite) -> float:
        work_cores = sum(
            kind.rate_per_s * kind.task_count * kind.run_s * kind.cpu / 1000
            for kind in site.job_kinds
        )
        capacity = zip(site.worker_cores, site.relative_speeds, strict=True)
        # Sizes of jobs are drawn with a mean of 1.08 of the typical number of tasks.
        rest_cores = sum(cores * speed for cores, speed in capacity)
        return REST_LOAD * rest_cores / (work_cores * 1.08)

    def _draw_bursts(self, generator: random.Random) -> list[_Burst]:
        names = [kind.name for kind in self._customer.site.job_kinds]
        generator.shuffle(names)
        lossless = generator.randrange(3)
        return [
            _Burst(
                start_s=start_s,
                end_s=start_s + generator.uniform(3.0, 7.0),
                kind=names[index],
                factor=generator.uniform(1.6, 2.5),
                is_lossy=index != lossless,
            )
            for index, start_s in enumerate(BURST_STARTS_S)
        ]

    @property
    def _day_s(self) -> float:
        return self._now_s - self._start_s

    def _rate_factor(self, kind: JobKind) -> float:
        turn = 2 * math.pi * self._day_s / self._customer.period_s
        factor = 1.0 + self._customer.swing * math.sin(turn)
        for burst in self._bursts:
            if burst.kind == kind.name and burst.start_s <= self._day_s < burst.end_s:
                factor *= burst.factor
        return factor

    def _submit_arrivals(self) -> None:
        self._update_loss()
        super()._submit_arrivals()
        while self._returns and self._returns[0][0] <= self._now_s:
            _, _, document, centre = heapq.heappop(self._returns)
            message = SubmitJob(
                document=document, age_s=0.0, was_offered=False, data_centre=centre
            )
            self._dispatcher.submit("entry", message, self._now_s)

    def _update_loss(self) -> None:
        is_lost = any(
            burst.is_lossy
            and burst.start_s <= self._day_s - 1.0 < burst.start_s + LOSS_S
            for burst in self._bursts
        )
        if self._is_lost and not is_lost:
            for agent in sorted(self._lost_agents):
                self._attach(int(agent[1:]))
        self._is_lost = is_lost

    def _is_silent(self, agent: str, start_s: float) -> bool:
        return self._is_lost and agent in self._lost_agents

    def _attach(self, index: int) -> None:
        record = WorkerRecord(
            upstream=f"u{index}",
            service="s",
            data_centre=DATA_CENTRES[index % 3],
            labels=(),
            capacity=Resources(
                cpu=self._site.worker_cores[index] * 1000, memory_mb=100000
            ),
        )
        request = AttachWorker(
            term=1,
            session=next(self._sessions),
            worker=record,
            is_leaving=False,
            running=[],
            ended=[],
            sent_at_s=self._now_s,
        )
        self._dispatcher.attach(f"a{index}", request, self._now_s)

    def _report_ended_runs(self) -> None:
        if self._is_lost:
            self._scheduled_ends = [
                end
                for end in self._scheduled_ends
                if end[2] not in self._lost_agents or end[0] > self._now_s
            ]
            heapq.heapify(self._scheduled_ends)
        super()._report_ended_runs()

    def _submit(self, kind: JobKind) -> None:
        task_count = round(self._random.lognormvariate(0, 0.4) * kind.task_count)
        task_count = min(max(1, task_count), round(kind.task_count * 4))
        run_s = kind.run_s * min(4.0, self._random.lognormvariate(-0.08, 0.4))
        run_times_s = [self._draw_run_s(run_s) for _ in range(task_count)]
        name = f"j{next(self._serial_numbers)}"
        step = Step(
            count=task_count,
            each=Resources(cpu=kind.cpu, memory_mb=64),
            estimated_s=run_s * self._random.lognormvariate(0, ESTIMATE_SIGMA),
        )
        work_ratio = sum(run_times_s) / (kind.run_s * kind.task_count)
        self._submitted[name] = _SubmittedJob(
            kind=kind,
            worth=kind.worth * min(4.0, 0.3 + 0.7 * work_ratio),
            submitted_s=self._now_s,
            objective_s=SLACK_FACTOR * max(run_times_s) + OBJECTIVE_S,
            run_times_s=run_times_s,
        )
        self._centres[name] = self._draw_data_centre()
        document = JobDocument(job=name, queue=kind.name, spec="", steps=(step,))
        self._documents[name] = document
        message = SubmitJob(
            document=document,
            age_s=0.0,
            was_offered=False,
            data_centre=self._centres[name],
        )
        self._dispatcher.submit("entry", message, self._now_s)

    def _draw_run_s(self, run_s: float) -> float:
        run_s *= self._random.lognormvariate(0, TASK_RUN_TIME_SIGMA)
        if self._random.random() < self._customer.tail_probability:
            run_s *= self._customer.tail_factor
        return run_s

    def _draw_data_centre(self) -> str:
        burst = self._bursts[1]
        is_shifted = burst.start_s <= self._day_s < burst.end_s
        weights = SHIFTED_CALLER_WEIGHTS if is_shifted else CALLER_WEIGHTS
        return self._random.choices(DATA_CENTRES, weights)[0]

    def _process_message(self, receiver: str, message: object) -> None:
        if not isinstance(message, JobAnswer):
            super()._process_message(receiver, message)
            return
        if message.job in self._returning:
            # The answer to a second submission earns nothing here.
            self.return_states[message.state.value] += 1
            return
        super()._process_message(receiver, message)
        if message.state is JobState.UNKNOWN:
            self._returning.add(message.job)
            at_s = self._now_s + math.ceil(message.retry_after_s)
            if at_s - self._start_s < DAY_S:
                entry = (
                    at_s,
                    next(self._serial_numbers),
                    self._documents[message.job],
                    self._centres[message.job],
                )
                heapq.heappush(self._returns, entry)

    def measure(self) -> dict[str, float]:
        """Runs the day and returns the earned part of the worth, by group."""
        self.run(DAY_S)
        jobs = self._submitted
        result = {"all": _earned(jobs.values())}
        queues, classes = {}, {}
        for kind in self._site.job_kinds:
            of_kind = [job for job in jobs.values() if job.kind is kind]
            queues[kind.name] = _earned(of_kind)
            by_work = sorted(of_kind, key=lambda job: sum(job.run_times_s))
            count = len(by_work)
            classes[f"{kind.name}-tenth"] = _earned(by_work[round(count * 0.9) :])
            classes[f"{kind.name}-fifth"] = _earned(
                by_work[round(count * 0.7) : round(count * 0.9)]
            )
        centres = {
            name: _earned(
                [job for key, job in jobs.items() if self._centres[key] == name]
            )
            for name in DATA_CENTRES
        }
        result |= {"worst-queue": min(queues.values())} | queues
        result |= {"worst-class": min(classes.values())} | classes
        result |= {"worst-centre": min(centres.values())} | centres
        result |= self._count_outcomes()
        return result

    def _count_outcomes(self) -> dict[str, float]:
        jobs = self._submitted.values()
        refused = sum(job.state is JobState.UNKNOWN for job in jobs)
        complete = [job for job in jobs if job.state is JobState.COMPLETE]
        late = sum(
            job.answered_s - job.submitted_s > job.objective_s for job in complete
        )
        returns = max(1, self.return_states.total())
        return {
            "late": late,
            "refused": refused,
            "cancelled": len(jobs) - refused - len(complete),
            "returned": self.return_states.total(),
            "returns-done": self.return_states["complete"] / returns,
        }


def _earned(jobs) -> float:  # noqa: ANN001
    jobs = list(jobs)
    return sum(map(_earned_worth, jobs)) / max(1e-9, sum(job.worth for job in jobs))


CUSTOMERS = {"first": first_customer, "second": second_customer}


def main() -> None:
    """Prints the results of each customer, set of features and seed, and means."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2, 3])
    parser.add_argument("--customers", nargs="*", default=list(CUSTOMERS))
    parser.add_argument("--features", nargs="*", default=["", "shares,forecast"])
    parser.add_argument("--each", action="store_true", help="print each seed")
    arguments = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    for customer in arguments.customers:
        for names in arguments.features:
            results = []
            for seed in arguments.seeds:
                run = ContentionRun(
                    customer=CUSTOMERS[customer](),
                    seed=seed,
                    features=parse_features(names),
                )
                results.append(run.measure())
                if arguments.each:
                    _print_row(customer, names, f"seed {seed}", results[-1])
            mean = {
                key: sum(result[key] for result in results) / len(results)
                for key in results[0]
            }
            _print_row(customer, names, "mean", mean)


def _print_row(customer: str, names: str, label: str, result: dict) -> None:
    row = " ".join(
        f"{key} {value:.3f}" if value <= 1 else f"{key} {value:.0f}"
        for key, value in result.items()
    )
    print(f"{customer} [{names or 'none'}] {label}: {row}", flush=True)


if __name__ == "__main__":
    main()
