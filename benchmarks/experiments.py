"""Published experiments on scheduling policies under virtual time."""

import collections
import collections.abc
import dataclasses

from hawthornbarrow.dispatch import (
    AgedCount,
    DeclaredWork,
    FirstComeFirstServed,
    ShortTasksFirst,
)

from benchmarks.baselines import (
    BatchSampling,
    ClairvoyantFair,
    RandomPush,
    TwoChoices,
)
from benchmarks.results import RunResult, RunStatistics, compute_statistics
from benchmarks.traces import (
    CONSORTIUM,
    FAIRS,
    TraceJob,
    generate_burst_trace,
    generate_paper_trace,
    generate_steady_trace,
)
from benchmarks.virtual_fleet import Faults, Policy, VirtualFleet

_LOW_LAG = Policy(name="product, lag first", ahead_s=0.0, result_hold_s=0.0)
_FEW_MESSAGES = Policy(
    name="product, messages first",
    ahead_s=0.1,
    contended_ahead_s=0.1,
    result_hold_s=0.06,
)
_TRACE_DURATION_S = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """Required bound of a measured value.

    Attributes:
        text: Description of the measured value.
        bound: Largest allowed value, or the smallest if ``is_least`` is set.
        measured: Measured value.
        is_least: Whether the bound is a minimum instead of a maximum.
    """

    text: str
    bound: float
    measured: float
    is_least: bool = False

    @property
    def is_met(self) -> bool:
        """Whether the measured value is within the bound."""
        if self.is_least:
            return self.measured >= self.bound
        return self.measured <= self.bound


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Results of one experiment.

    Attributes:
        name: Name of the experiment in the output.
        rows: Statistics of each run.
        targets: Required bounds and their measured values.
        notes: Additional lines of the output.
    """

    name: str
    rows: list[RunStatistics]
    targets: list[Target]
    notes: list[str] = dataclasses.field(default_factory=list)


def run_consortium_trace(seed: int) -> Report:
    """Compares all policies and baselines on the consortium trace at 80% load."""
    trace = generate_steady_trace(
        seed=seed, site=CONSORTIUM, load=0.8, duration_s=_TRACE_DURATION_S
    )
    baseline_classes = (ClairvoyantFair, RandomPush, TwoChoices, BatchSampling)
    results = [
        baseline_class(site=CONSORTIUM, seed=seed).run(trace)
        for baseline_class in baseline_classes
    ]
    policies = (
        _LOW_LAG,
        Policy(name="product, default"),
        _FEW_MESSAGES,
        dataclasses.replace(_LOW_LAG, name="no home entry", has_home=False),
        dataclasses.replace(
            _LOW_LAG,
            name="no home, no usage exchange",
            has_home=False,
            exchanges_usage=False,
        ),
        _with_order("FCFS", FirstComeFirstServed),
        _with_order("aged count", AgedCount),
        _with_order("declared work", DeclaredWork),
        _with_order("short classes first", ShortTasksFirst),
    )
    results += [_run_consortium_fleet(policy, trace, seed) for policy in policies]
    rows = [compute_statistics(result, CONSORTIUM) for result in results]
    reference, random_push, product = rows[0], rows[1], rows[4]
    targets = [
        Target(text="p50 lag, ms", bound=10.0, measured=product.p50_ms),
        Target(text="p99 response over ideal", bound=1.5, measured=product.ratio_p99),
        Target(
            text="p99 lag over the clairvoyant reference",
            bound=1.25,
            measured=product.p99_ms / reference.p99_ms,
        ),
        Target(
            text="p99 lag of FCFS with random push over the product's",
            bound=8.0,
            measured=random_push.p99_ms / product.p99_ms,
            is_least=True,
        ),
    ]
    notes = [
        f"the reference itself: p99 response over ideal {reference.ratio_p99:.2f}, "
        f"{random_push.p99_ms / reference.p99_ms:.2f} times below random push"
    ]
    return Report(
        name="consortium at 80% load", rows=rows, targets=targets, notes=notes
    )


def run_greedy_member(seed: int) -> Report:
    """Measures how a member with ten times its share affects nine small members."""
    rate_factors = {"m0": 10.0}
    full_trace = generate_steady_trace(
        seed=seed,
        site=CONSORTIUM,
        load=0.5,
        duration_s=_TRACE_DURATION_S,
        rate_factors=rate_factors,
    )
    trace_without_m0 = [job for job in full_trace if job.member != "m0"]
    small_members = {f"m{number}" for number in range(1, 10)}
    rows = []
    for name, trace in (("without", trace_without_m0), ("with", full_trace)):
        policy = dataclasses.replace(_LOW_LAG, name=f"product, {name} the greedy one")
        rows.append(
            compute_statistics(
                _run_consortium_fleet(policy, trace, seed), CONSORTIUM, small_members
            )
        )
        random_push = RandomPush(site=CONSORTIUM, seed=seed).run(trace)
        random_push = dataclasses.replace(random_push, name=f"FCFS push, {name} it")
        rows.append(compute_statistics(random_push, CONSORTIUM, small_members))
    lag_ratio = rows[2].p99_ms / rows[0].p99_ms
    target = Target(
        text="small members' p99 lag with over without", bound=1.2, measured=lag_ratio
    )
    return Report(name="greedy member", rows=rows, targets=[target])


def run_midnight_burst(seed: int) -> Report:
    """Runs the fairs' midnight burst, in which the load is 20 times the base load."""
    trace = generate_burst_trace(
        seed=seed,
        site=FAIRS,
        base_load=0.08,
        factor=20.0,
        lead_in_s=10.0,
        burst_s=20.0,
        lead_out_s=10.0,
    )
    fleet = VirtualFleet(site=FAIRS, policy=_FEW_MESSAGES, seed=seed)
    result = fleet.run(trace)
    statistics = compute_statistics(result, FAIRS)
    message_count = sum(statistics.messages.values())
    wasted_count = sum(statistics.wasted.values()) + statistics.messages.get(
        "heartbeat", 0
    )
    late_count = sum(
        outcome.response_s > outcome.job.deadline_s + 0.1
        for outcome in result.completed
    )
    refused = [
        outcome for outcome in result.outcomes if outcome.status.startswith("refused")
    ]
    refusal_without_not_run_count = sum(not outcome.not_run for outcome in refused)
    accepted_task_count = sum(
        len(outcome.job.run_times_s)
        for outcome in result.outcomes
        if outcome not in refused
    )
    started_count = sum(result.starts.values())
    targets = [
        Target(
            text="wasted share of messages",
            bound=0.02,
            measured=wasted_count / message_count,
        ),
        Target(text="accepted jobs answered late", bound=0, measured=late_count),
        Target(
            text="refusals that do not say not_run",
            bound=0,
            measured=refusal_without_not_run_count,
        ),
        Target(
            text="tasks started beyond those of accepted jobs",
            bound=0,
            measured=max(0, started_count - accepted_task_count),
        ),
    ]
    statuses = collections.Counter(outcome.status for outcome in result.outcomes)
    notes = [
        f"{len(trace)} jobs, ends {dict(statuses)}, unanswered {result.unanswered}",
        f"{message_count} messages, {message_count / max(1, started_count):.2f} a task",
    ]
    return Report(
        name="midnight burst", rows=[statistics], targets=targets, notes=notes
    )


def run_paper_trace(seed: int) -> Report:
    """Compares mean slowdowns of job orders and random push on the paper's case 3."""
    trace = generate_paper_trace(
        seed=seed, site=CONSORTIUM, load=0.9, duration_s=_TRACE_DURATION_S
    )
    rows = [
        compute_statistics(_run_consortium_fleet(policy, trace, seed), CONSORTIUM)
        for policy in (
            _LOW_LAG,
            _with_order("FCFS", FirstComeFirstServed),
            _with_order("short classes first", ShortTasksFirst),
        )
    ]
    random_push = RandomPush(site=CONSORTIUM, seed=seed).run(trace)
    rows.append(compute_statistics(random_push, CONSORTIUM))
    target = Target(
        text="mean response over run time, FCFS over the product",
        bound=5.0,
        measured=rows[1].slowdown / rows[0].slowdown,
        is_least=True,
    )
    notes = [f"with push: {rows[3].slowdown / rows[0].slowdown:.2f}"]
    return Report(name="the paper's case 3", rows=rows, targets=[target], notes=notes)


def run_misdeclared_run_times(seed: int) -> Report:
    """Measures the effect of declared run times that are ten times too high or low."""
    rows = []
    for name, factor in (("true", 1.0), ("ten times off", 10.0)):
        trace = generate_steady_trace(
            seed=seed,
            site=CONSORTIUM,
            load=0.8,
            duration_s=_TRACE_DURATION_S,
            misdeclaration_factor=factor,
        )
        for policy in (_LOW_LAG, _with_order("declared work", DeclaredWork)):
            named = dataclasses.replace(policy, name=f"{policy.name}, {name}")
            rows.append(
                compute_statistics(
                    _run_consortium_fleet(named, trace, seed), CONSORTIUM
                )
            )
    target = Target(
        text="p99 lag, misdeclared over true",
        bound=1.3,
        measured=rows[2].p99_ms / rows[0].p99_ms,
    )
    return Report(name="misdeclared run times", rows=rows, targets=[target])


def run_faulty_workers(seed: int) -> Report:
    """Measures the effect of a worker that fails every task or is ten times slower."""
    trace = generate_steady_trace(
        seed=seed, site=CONSORTIUM, load=0.6, duration_s=_TRACE_DURATION_S
    )
    rows = []
    note_values = {}
    for name, faults in (
        ("healthy", Faults()),
        ("one fails all", Faults(failing=frozenset({3}), from_s=0.0)),
        ("one ten times slow", Faults(slow={3: 10.0}, from_s=0.0)),
    ):
        policy = dataclasses.replace(_LOW_LAG, name=name)
        fleet = VirtualFleet(site=CONSORTIUM, policy=policy, seed=seed, faults=faults)
        result = fleet.run(trace)
        rows.append(compute_statistics(result, CONSORTIUM))
        note_values[name] = result.starts.get("a3", 0) / sum(result.starts.values())
        unfinished = [
            outcome for outcome in result.outcomes if outcome.status != "completed"
        ]
        note_values[f"{name}: jobs not completed"] = len(unfinished)
    target = Target(
        text="share of tasks that reach the failing worker",
        bound=0.01,
        measured=note_values["one fails all"],
    )
    notes = [f"{name}: {value:.4g}" for name, value in note_values.items()]
    return Report(name="faulty workers", rows=rows, targets=[target], notes=notes)


def run_cancellation_wave(seed: int) -> Report:
    """Cancels 10,000 jobs at the same moment."""
    jobs = [
        TraceJob(
            number=number,
            arrival_s=number * 1e-4,
            member=f"m{number % 10}",
            service="wave",
            run_times_s=(1.0,),
            declared_run_s=1.0,
            deadline_s=600.0,
            cancel_at_s=2.0,
        )
        for number in range(10_000)
    ]
    fleet = VirtualFleet(site=CONSORTIUM, policy=_LOW_LAG, seed=seed)
    result = fleet.run(jobs)
    statistics = compute_statistics(result, CONSORTIUM)
    started_count = sum(result.starts.values())
    cancel_message_count = statistics.messages.get("CancelJobs", 0)
    notes = [
        f"{started_count} started in all, {cancel_message_count} cancel messages, "
        f"{statistics.messages}"
    ]
    # All starts of the run are counted; the bound is three starts per slot.
    targets = [
        Target(
            text="starts after the wave",
            bound=CONSORTIUM.total_slots * 2 + 88,
            measured=started_count,
        ),
        Target(text="jobs without an answer", bound=0, measured=result.unanswered),
    ]
    return Report(
        name="cancellation wave", rows=[statistics], targets=targets, notes=notes
    )


EXPERIMENTS: dict[str, collections.abc.Callable[[int], Report]] = {
    "consortium": run_consortium_trace,
    "greedy": run_greedy_member,
    "midnight": run_midnight_burst,
    "paper": run_paper_trace,
    "misdeclared": run_misdeclared_run_times,
    "faulty": run_faulty_workers,
    "cancel-wave": run_cancellation_wave,
}


def _with_order(name: str, order: type) -> Policy:
    return dataclasses.replace(_LOW_LAG, name=name, order=order)


def _run_consortium_fleet(
    policy: Policy, trace: list[TraceJob], seed: int
) -> RunResult:
    return VirtualFleet(site=CONSORTIUM, policy=policy, seed=seed).run(trace)
