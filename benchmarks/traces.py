"""Generates seeded traces of jobs with open-loop arrivals."""

import dataclasses
import math
import random


@dataclasses.dataclass(frozen=True, kw_only=True)
class TraceJob:
    """One job of a trace.

    Attributes:
        number: Position in the trace.
        arrival_s: Arrival time.
        member: Name of the member.
        service: Name of the service.
        run_times_s: True run time of each task.
        declared_run_s: Declared run time of one task.
        deadline_s: Time from arrival to the deadline.
        cancel_at_s: Time at which the caller cancels the job, or None.
    """

    number: int
    arrival_s: float
    member: str
    service: str
    run_times_s: tuple[float, ...]
    declared_run_s: float
    deadline_s: float
    cancel_at_s: float | None = None

    @property
    def work_s(self) -> float:
        """Sum of the run times of all tasks."""
        return sum(self.run_times_s)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Site:
    """Size of a deployment.

    Attributes:
        workers: Number of workers, each an agent with one upstream.
        slots: Number of slots per worker.
        link_delay_s: One-way delay between data centres.
        client_delay_s: One-way delay to callers.
        data_centres: Number of data centres.
        entries: Number of entries.
    """

    workers: int = 11
    slots: int = 8
    link_delay_s: float = 0.0015
    client_delay_s: float = 0.001
    data_centres: int = 4
    entries: int = 3

    @property
    def total_slots(self) -> int:
        """Number of slots in the deployment."""
        return self.workers * self.slots


CONSORTIUM = Site()
FAIRS = Site(client_delay_s=0.003, data_centres=3)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """Service whose run times are log-normally distributed.

    Attributes:
        name: Name of the service.
        median_s: Median run time.
        sigma: Standard deviation of the natural logarithm of the run time.
    """

    name: str
    median_s: float
    sigma: float


SERVICES = (
    Service(name="catalogue", median_s=0.09, sigma=0.4),
    Service(name="contamination", median_s=0.25, sigma=0.5),
    Service(name="static", median_s=0.5, sigma=0.5),
)


def generate_steady_trace(
    *,
    seed: int,
    site: Site,
    load: float,
    duration_s: float,
    members: int = 10,
    misdeclaration_factor: float = 1.0,
    rate_factors: dict[str, float] | None = None,
) -> list[TraceJob]:
    """Returns a trace with Poisson arrivals at a constant rate and Pareto job sizes.

    Args:
        seed: Seed of all draws.
        site: Size of the deployment.
        load: Mean share of the slots in use, before ``rate_factors`` are applied.
        duration_s: Time over which jobs arrive.
        members: Number of members.
        misdeclaration_factor: Factor by which each declared run time is, at random,
            too high or too low.
        rate_factors: Relative arrival rates of members; 1 if absent.
    """
    generator = random.Random(seed)
    member_names = [f"m{number}" for number in range(members)]
    arrival_weights = [(rate_factors or {}).get(name, 1.0) for name in member_names]
    mean_work_s = _mean_work_s(random.Random(seed + 1))
    arrival_rate = (
        load * site.total_slots / mean_work_s * sum(arrival_weights) / members
    )
    jobs = []
    arrival_s = 0.0
    while True:
        arrival_s += generator.expovariate(arrival_rate)
        if arrival_s >= duration_s:
            break
        member = generator.choices(member_names, arrival_weights)[0]
        jobs.append(
            _draw_job(generator, len(jobs), arrival_s, member, misdeclaration_factor)
        )
    wanted_load = load * sum(arrival_weights) / members
    return _scale_to_load(jobs, site, wanted_load, duration_s)


def generate_burst_trace(
    *,
    seed: int,
    site: Site,
    base_load: float,
    factor: float,
    lead_in_s: float,
    burst_s: float,
    lead_out_s: float,
) -> list[TraceJob]:
    """Returns a trace of a base load with a burst in its middle.

    It models the night of a submission deadline.
    """
    generator = random.Random(seed)
    mean_work_s = _mean_work_s(random.Random(seed + 1))
    arrival_rate = base_load * site.total_slots / mean_work_s
    jobs = []
    arrival_s = 0.0
    while arrival_s < lead_in_s + burst_s + lead_out_s:
        is_in_burst = lead_in_s <= arrival_s < lead_in_s + burst_s
        arrival_s += generator.expovariate(
            arrival_rate * (factor if is_in_burst else 1.0)
        )
        member = f"m{generator.randrange(10)}"
        jobs.append(
            _draw_job(generator, len(jobs), arrival_s, member, 1.0, deadline_s=20.0)
        )
    return jobs


def generate_paper_trace(*, seed: int, site: Site, load: float, duration_s: float):
    """Returns a trace of the paper's case 3 with run times divided by 100.

    10, 20, 20 and 50 per cent of the jobs are long, medium, short and very short,
    with run times of 300, 60, 30 and 10 s in the paper. All 20 tasks of a job have the
    same run time.
    """
    generator = random.Random(seed)
    shares_and_run_times = ((0.1, 3.0), (0.2, 0.6), (0.2, 0.3), (0.5, 0.1))
    mean_s = sum(share * run_s for share, run_s in shares_and_run_times)
    arrival_rate = load * site.total_slots / (mean_s * 20)
    jobs = []
    arrival_s = 0.0
    while arrival_s < duration_s:
        arrival_s += generator.expovariate(arrival_rate)
        run_s = generator.choices(
            [run_s for _, run_s in shares_and_run_times],
            [share for share, _ in shares_and_run_times],
        )[0]
        run_times_s = tuple([run_s] * 20)
        jobs.append(
            TraceJob(
                number=len(jobs),
                arrival_s=arrival_s,
                member="m0",
                service=f"length-{run_s}",
                run_times_s=run_times_s,
                declared_run_s=run_s,
                deadline_s=120.0,
            )
        )
    return jobs


def _draw_job(
    generator: random.Random,
    number: int,
    arrival_s: float,
    member: str,
    misdeclaration_factor: float,
    deadline_s: float = 60.0,
) -> TraceJob:
    service = generator.choices(SERVICES, (6, 3, 1))[0]
    task_count = _draw_task_count(generator)
    run_times_s = tuple(
        min(3.0, service.median_s * math.exp(generator.gauss(0, service.sigma)))
        for _ in range(task_count)
    )
    mean_s = sum(run_times_s) / task_count
    declared_factor = generator.choice(
        (misdeclaration_factor, 1 / misdeclaration_factor)
    )
    return TraceJob(
        number=number,
        arrival_s=arrival_s,
        member=member,
        service=service.name,
        run_times_s=run_times_s,
        declared_run_s=mean_s * declared_factor,
        deadline_s=deadline_s,
    )


def _scale_to_load(
    jobs: list[TraceJob], site: Site, load: float, duration_s: float
) -> list[TraceJob]:
    """Scales the arrival times so that the mean load of the trace is ``load``.

    Job sizes are heavy-tailed, so the work of a short trace can differ a lot from its
    expected value.
    """
    drawn_load = sum(job.work_s for job in jobs) / (duration_s * site.total_slots)
    return [
        dataclasses.replace(job, arrival_s=job.arrival_s * drawn_load / load)
        for job in jobs
    ]


def _draw_task_count(generator: random.Random) -> int:
    return min(270, max(1, int(4 * generator.paretovariate(1.5))))


def _mean_work_s(generator: random.Random) -> float:
    jobs = [_draw_job(generator, 0, 0.0, "m", 1.0) for _ in range(20_000)]
    return sum(job.work_s for job in jobs) / len(jobs)
