"""Plays a site's load against the real dispatcher and counts what callers get.

    python -m benchmarks.cell_load --load 1.2 --seconds 40

Upstreams are perfect fakes without links: the figures show the decisions alone. A job
answered within its objective earns its worth, one answered within three times that a
fifth, any other nothing; a job's worth grows with its work, as its callers pay for it.
"""

import argparse
import dataclasses
import heapq
import itertools
import logging
import random

import structlog
from hawthornbarrow.cells import (
    ArrivalOrder,
    AttachWorker,
    Dispatcher,
    EndedRun,
    JobAnswer,
    JobDocument,
    JobOrder,
    JobState,
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

TIMING = RunLeaseTiming(run_lease_s=1.0, stop_s=0.05)
STEP_S = 0.01
LATE_SHARE = 0.2
LATE_FACTOR = 3.0
ESTIMATE_SPREAD = 0.4
TASK_SPREAD = 0.15
SLACK_FACTOR = 1.6
OBJECTIVE_S = 0.06


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """One kind of job: rate in jobs a second, run time of a task in seconds."""

    name: str
    rate: float
    width: float
    run_s: float
    cpu: int
    priority: int
    worth: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Site:
    """Kinds of jobs and the cores of each worker."""

    kinds: tuple[Kind, ...]
    cores: tuple[int, ...]
    speeds: tuple[float, ...]


def bearings_site() -> Site:
    """Returns the consortium's site of eleven workers."""
    return _site(cores=64, cpu=6200)


def fairs_site() -> Site:
    """Returns the fairs' site of eleven workers."""
    return _site(cores=16, cpu=1600)


def _site(*, cores: int, cpu: int) -> Site:
    kinds = (
        Kind(name="quick", rate=17.2, width=8, run_s=0.12, cpu=cpu, priority=0,
             worth=0.0291),
        Kind(name="long", rate=3.13, width=4, run_s=1.8, cpu=cpu, priority=2,
             worth=0.16),
        Kind(name="check", rate=50.0, width=2, run_s=0.4, cpu=cpu, priority=1,
             worth=0.01),
    )  # fmt: skip
    sizes = (1.0, 1.0, 1.5)
    return Site(
        kinds=kinds,
        cores=tuple(round(cores * sizes[index % 3]) for index in range(11)),
        speeds=tuple((0.8, 1.0, 1.25)[index % 3] for index in range(11)),
    )


@dataclasses.dataclass(kw_only=True)
class _Owed:
    kind: Kind
    worth: float
    submitted_s: float
    objective_s: float
    run_s: list[float]
    answered_s: float = 0.0
    state: JobState | None = None


class LoadRun:
    """One run of a load against one dispatcher."""

    def __init__(
        self,
        *,
        site: Site,
        order: JobOrder,
        load: float,
        seed: int,
        lost: tuple[float, float] = (0.0, 0.0),
    ) -> None:
        """Attaches the site's workers.

        Args:
            site: Kinds and workers.
            order: Order of waiting jobs.
            load: Factor on all rates.
            seed: Seed of arrivals and run times.
            lost: Span in which two workers take nothing, in seconds.
        """
        self._site = site
        self._load = load
        self._random = random.Random(seed)
        self._now_s = 100.0
        self._lost = lost
        self._dispatcher = Dispatcher(
            term=1, timing=TIMING, expected=(), now_s=self._now_s, order=order
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
            for kind in site.kinds
        ]
        table = QueueTable(version=1, queues=queues, services=[Service(name="s")])
        self._dispatcher.set_table(table)
        self._owed: dict[str, _Owed] = {}
        self._ends: list[tuple[float, int, str, EndedRun]] = []
        self._numbers: dict[str, int] = {}
        self._counter = itertools.count()
        self._peak = 0
        for index in range(len(site.cores)):
            self._attach(index)

    @property
    def dispatcher(self) -> Dispatcher:
        """The dispatcher that is played against."""
        return self._dispatcher

    def play(self, seconds: float) -> dict[str, float]:
        """Plays the load and returns the share of the worth that was earned."""
        begin_s = self._now_s
        end_s = begin_s + seconds
        while self._now_s < end_s + 10.0:
            self._now_s += STEP_S
            if self._now_s < end_s:
                self._arrive()
            self._deliver_ends()
            for agent in self._dispatcher.workers:
                if not self._is_lost(agent, begin_s):
                    self._dispatcher.on_frame(agent, self._now_s)
            self._dispatcher.tick(self._now_s)
            for receiver, message in self._dispatcher.take_messages():
                self._carry_out(receiver, message)
        return self._result()

    def _is_lost(self, agent: str, begin_s: float) -> bool:
        begins_s, ends_s = (begin_s + at_s for at_s in self._lost)
        return agent in ("a0", "a5") and begins_s <= self._now_s < ends_s

    def _attach(self, index: int) -> None:
        record = WorkerRecord(
            upstream=f"u{index}",
            service="s",
            data_centre="d",
            labels=(),
            capacity=Resources(cpu=self._site.cores[index] * 1000, memory_mb=100000),
        )
        offer = AttachWorker(
            term=1,
            session=index + 1,
            worker=record,
            is_leaving=False,
            running=[],
            ended=[],
        )
        self._dispatcher.attach(f"a{index}", offer, self._now_s)

    def _arrive(self) -> None:
        for kind in self._site.kinds:
            expected = kind.rate * self._load * STEP_S
            for _ in range(self._poisson(expected)):
                self._submit(kind)

    def _poisson(self, expected: float) -> int:
        count, left = 0, self._random.expovariate(1.0)
        while left < expected:
            count += 1
            left += self._random.expovariate(1.0)
        return count

    def _submit(self, kind: Kind) -> None:
        width = max(1, round(self._random.lognormvariate(0, 0.4) * kind.width))
        width = min(width, round(kind.width * 4))
        run_s = kind.run_s * min(4.0, self._random.lognormvariate(-0.08, 0.4))
        runs_s = [
            run_s * self._random.lognormvariate(0, TASK_SPREAD) for _ in range(width)
        ]
        estimate_s = run_s * self._random.lognormvariate(0, ESTIMATE_SPREAD)
        name = f"j{next(self._counter)}"
        step = Step(
            count=width,
            each=Resources(cpu=kind.cpu, memory_mb=64),
            estimated_s=estimate_s,
        )
        work = sum(runs_s) / (kind.run_s * kind.width)
        self._owed[name] = _Owed(
            kind=kind,
            worth=kind.worth * min(4.0, 0.3 + 0.7 * work),
            submitted_s=self._now_s,
            objective_s=SLACK_FACTOR * max(runs_s) + OBJECTIVE_S,
            run_s=runs_s,
        )
        document = JobDocument(job=name, queue=kind.name, spec="", steps=(step,))
        message = SubmitJob(document=document, age_s=0.0, was_offered=False)
        self._dispatcher.submit("entry", message, self._now_s)

    def _carry_out(self, receiver: str, message: object) -> None:
        if isinstance(message, JobAnswer):
            owed = self._owed[message.job]
            owed.answered_s = self._now_s
            owed.state = message.state
        elif isinstance(message, StartTasks):
            self._peak = max(self._peak, self._dispatcher.waiting_count)
            for order in message.orders:
                self._start(receiver, order)

    def _start(self, agent: str, order: object) -> None:
        owed = self._owed[order.task.job]
        speed = self._site.speeds[int(agent[1:])]
        run_s = owed.run_s[order.task.index] / speed
        self._numbers[agent] = self._numbers.get(agent, 0) + 1
        ended = EndedRun(
            number=self._numbers[agent],
            task=order.task,
            attempt=order.attempt,
            end=RunOutcome.DONE,
            run_s=run_s,
        )
        at_s = self._now_s + run_s + 0.005
        heapq.heappush(self._ends, (at_s, next(self._counter), agent, ended))

    def _deliver_ends(self) -> None:
        while self._ends and self._ends[0][0] <= self._now_s:
            _, _, agent, ended = heapq.heappop(self._ends)
            worker = self._dispatcher.workers.get(agent)
            if worker is None:
                continue
            number = worker.noted + 1
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

    def _result(self) -> dict[str, float]:
        total = sum(owed.worth for owed in self._owed.values())
        result = {"all": sum(map(_earned, self._owed.values())) / total}
        for kind in self._site.kinds:
            of_kind = [owed for owed in self._owed.values() if owed.kind is kind]
            earned = sum(map(_earned, of_kind))
            result[kind.name] = earned / sum(owed.worth for owed in of_kind)
        answered = [owed for owed in self._owed.values() if _earned(owed)]
        result["served"] = len(answered) / len(self._owed)
        return result


def _earned(owed: _Owed) -> float:
    if owed.state is not JobState.COMPLETE:
        return 0.0
    took_s = owed.answered_s - owed.submitted_s
    if took_s <= owed.objective_s:
        return owed.worth
    return owed.worth * LATE_SHARE if took_s <= LATE_FACTOR * owed.objective_s else 0.0


ORDERS = {
    "arrival": ArrivalOrder,
    "priority": PriorityOrder,
    "product": TimelyPriorityOrder,
}


def main() -> None:
    """Prints the share of worth for each order and load."""
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
            run = LoadRun(
                site=bearings_site(),
                order=order(),
                load=load,
                seed=arguments.seed,
                lost=tuple(arguments.lost),
            )
            result = run.play(arguments.seconds)
            row = " ".join(f"{key} {value:.3f}" for key, value in result.items())
            print(f"load {load:.1f} {name:10} {row}")


if __name__ == "__main__":
    main()
