"""Simulation of callers at one entry while there is no dispatcher, in virtual time.

The waits of requests and jobs and the dispatcher are real. One worker has room for all
jobs, so each caller's outcome depends on the gap alone. Run as a module, it prints the
outcomes by second of arrival, without and with the feature.
"""

import collections
import dataclasses

from hawthornbarrow.cells import (
    NO_FEATURES,
    AttachWorker,
    Dispatcher,
    DispatcherHeartbeat,
    EndedRun,
    JobAnswer,
    JobDocument,
    LoadFeature,
    Resources,
    RunLeaseTiming,
    RunOutcome,
    StartTasks,
    Step,
    SubmitJob,
    WithdrawJob,
    WorkerRecord,
    WorkerReport,
)
from hawthornbarrow.queues import Queue, QueueTable, Service

from hawthornbarrow_entry.fleet._caller_jobs import CallerJobs
from hawthornbarrow_entry.fleet._caller_outcome import OutcomeKind, Waiter
from hawthornbarrow_entry.fleet._gap_waits import CallerRequest, GapWaits

STEP_S = 0.005
ARRIVAL_INTERVAL_S = 0.02
HEARTBEAT_INTERVAL_S = 0.15
SWEEP_INTERVAL_S = 0.1
ATTACH_DELAY_S = 0.05  # until the worker has attached to a new dispatcher
CONFIGURATION_DELAY_S = 0.02
STARTUP_WAIT_S = 1.0
CALLER_TIMEOUT_S = 1.5
TIMING = RunLeaseTiming(run_lease_s=1.0, stop_s=0.05)
RUN_S = {"short": 0.12, "middle": 0.4, "long": 1.8}  # objectives 0.25, 0.7 and 2.9 s
FEATURES = frozenset({LoadFeature.GAP_WAITING})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Gap:
    """A gap that begins at time zero.

    Attributes:
        name: Name of the gap.
        dispatcher_at_s: When the next dispatcher begins.
        entry_at_s: When the entry starts anew, or None when it runs on.
    """

    name: str
    dispatcher_at_s: float
    entry_at_s: float | None = None


GAPS = (
    Gap(name="takeover of 0.6 s", dispatcher_at_s=0.6),
    Gap(name="takeover of 1.3 s", dispatcher_at_s=1.3),
    Gap(name="restart of all", dispatcher_at_s=1.05, entry_at_s=0.6),
)


def _make_table():
    queues = [
        Queue(
            name=name,
            host="h",
            prefix=f"/{name}/",
            service="s",
            slack_factor=1.6,
            objective_s=0.06,
            timeout_s=CALLER_TIMEOUT_S,
        )
        for name in RUN_S
    ]
    return QueueTable(version=1, queues=queues, services=[Service(name="s")])


@dataclasses.dataclass(kw_only=True)
class _Caller:
    name: str
    queue: str
    arrived_at_s: float
    objective_s: float
    timeout_s: float
    outcome: str = ""

    @property
    def document(self):
        step = Step(count=1, each=Resources(cpu=1), estimated_s=RUN_S[self.queue])
        return JobDocument(job=self.name, queue=self.queue, spec="", steps=(step,))


class GapSimulation:
    """Callers of one entry during a gap."""

    def __init__(self, gap, *, features=NO_FEATURES):
        self.gap = gap
        self.table = _make_table()
        self.features = features
        self.callers = []
        self.waiters = {}
        self.requests = {}
        self.answered_at_s = {}
        self.dispatcher = None
        self.heartbeat_at_s = -1.0
        self.swept_at_s = -1.0
        self.runs = []
        self.ended_number = 0
        self.has_configuration = gap.entry_at_s is None
        self.start_entry(gap.entry_at_s or 0.0)
        if self.has_configuration:
            self.send_heartbeat(1, -0.05)

    def start_entry(self, at_s):
        self.jobs = CallerJobs(features=self.features)
        self.waits = GapWaits(
            is_enabled=LoadFeature.GAP_WAITING in self.features,
            startup_until_s=at_s + STARTUP_WAIT_S,
        )

    def run(self, *, arrivals_s=3.0):
        """Runs until all callers who arrived in ``arrivals_s`` have an outcome."""
        first_s = self.gap.entry_at_s or 0.0
        for step in range(int((arrivals_s + 9.5) / STEP_S)):
            now_s = step * STEP_S
            is_arrival = step % round(ARRIVAL_INTERVAL_S / STEP_S) == 0
            if is_arrival and first_s <= now_s < arrivals_s:
                self.arrive_all(now_s)
            self.step_dispatcher(now_s)
            self.step_entry(now_s)
        return self.callers

    def arrive_all(self, now_s):
        for queue, run_s in RUN_S.items():
            objective_s = self.table.queues[queue].objective_for_s(run_s)
            caller = _Caller(
                name=f"{queue}{len(self.callers)}",
                queue=queue,
                arrived_at_s=now_s,
                objective_s=objective_s,
                timeout_s=max(CALLER_TIMEOUT_S, 3 * objective_s),
            )
            self.callers.append(caller)
            self.arrive(caller, now_s)

    def is_serving(self, now_s):
        return self.has_configuration and self.jobs.is_informed(now_s)

    def arrive(self, caller, now_s):
        if self.is_serving(now_s):
            self.submit(caller, now_s)
            return
        request = CallerRequest(
            received_at_s=now_s,
            timeout_s=caller.timeout_s,
            is_abandoned=lambda: False,
        )
        waiting = self.waits.begin(
            request,
            now_s,
            has_configuration=self.has_configuration,
            held_count=self.jobs.held_count,
        )
        if waiting is None:
            caller.outcome = "refused"
        else:
            self.requests[waiting] = caller

    def submit(self, caller, now_s):
        waiter = Waiter(
            give_up_at_s=caller.arrived_at_s + caller.timeout_s,
            is_abandoned=lambda: False,
        )
        outcome = self.jobs.submit(
            caller.document,
            waiter,
            now_s,
            received_at_s=caller.arrived_at_s,
            objective_s=caller.objective_s,
        )
        if outcome is not None:
            caller.outcome = outcome.kind.value
        else:
            self.waiters[waiter] = caller

    def step_entry(self, now_s):
        if now_s - self.swept_at_s >= SWEEP_INTERVAL_S:
            self.swept_at_s = now_s
            self.jobs.tick(now_s)
        for waiting in list(self.requests):
            if now_s >= waiting.until_s:
                self.waits.time_out(waiting)
                self.requests.pop(waiting).outcome = "refused"
        if self.is_serving(now_s):
            for waiting in self.waits.take_served(now_s):
                self.submit(self.requests.pop(waiting), now_s)
        for receiver, message in self.jobs.take_messages():
            if self.dispatcher is None or receiver != "d2":
                continue
            if isinstance(message, SubmitJob):
                self.dispatcher.submit("e", message, now_s)
            elif isinstance(message, WithdrawJob):
                self.dispatcher.withdraw(
                    message.job, now_s, is_cancelled=message.is_cancelled
                )
        for waiter in self.jobs.take_finished():
            self.record(self.waiters.pop(waiter), waiter.outcome, now_s)

    def record(self, caller, outcome, now_s):
        if outcome.kind is not OutcomeKind.COMPLETE:
            caller.outcome = outcome.kind.value
            return
        is_late = now_s - caller.arrived_at_s > caller.objective_s
        is_useless = now_s - caller.arrived_at_s > 3 * caller.objective_s
        caller.outcome = "useless" if is_useless else "late" if is_late else "in time"

    def step_dispatcher(self, now_s):
        if self.dispatcher is None:
            if now_s < self.gap.dispatcher_at_s:
                return
            self.dispatcher = Dispatcher(
                term=2, timing=TIMING, expected=["a"], now_s=now_s
            )
            self.dispatcher.set_table(self.table)
        began_s = now_s - self.gap.dispatcher_at_s
        if began_s >= ATTACH_DELAY_S and not self.dispatcher.workers:
            self.attach(now_s)
        if now_s - self.heartbeat_at_s >= HEARTBEAT_INTERVAL_S:
            self.send_heartbeat(2, now_s)
        if began_s >= CONFIGURATION_DELAY_S:
            self.has_configuration = True
        self.end_runs(now_s)
        self.dispatcher.tick(now_s)
        for _, message in self.dispatcher.take_messages():
            if isinstance(message, JobAnswer):
                self.jobs.on_answer(message, now_s)
            elif isinstance(message, StartTasks):
                for order in message.orders:
                    run_s = RUN_S[order.task.job.rstrip("0123456789")]
                    self.runs.append((now_s + run_s, order))

    def attach(self, now_s):
        record = WorkerRecord(
            upstream="u",
            service="s",
            data_centre="d",
            labels=(),
            capacity=Resources(cpu=10_000_000),
        )
        message = AttachWorker(
            term=2, session=1, worker=record, is_leaving=False, running=[], ended=[]
        )
        self.dispatcher.attach("a", message, now_s)
        self.dispatcher.record_handover_complete()

    def end_runs(self, now_s):
        if not self.dispatcher.workers:
            return
        self.dispatcher.on_frame("a", now_s)
        ended = []
        for item in [item for item in self.runs if item[0] <= now_s]:
            self.runs.remove(item)
            self.ended_number += 1
            ended.append(
                EndedRun(
                    number=self.ended_number,
                    task=item[1].task,
                    attempt=item[1].attempt,
                    end=RunOutcome.DONE,
                )
            )
        if ended:
            report = WorkerReport(session=1, is_leaving=False, ended=ended)
            self.dispatcher.report("a", report, now_s)

    def send_heartbeat(self, term, now_s):
        self.heartbeat_at_s = now_s
        heartbeat = DispatcherHeartbeat(term=term, heard_at_s=now_s, version=1)
        self.jobs.on_heartbeat(f"d{term}", heartbeat, now_s)


def count_outcomes(callers, queue, *, from_s=0.0, until_s=99.0):
    """Returns the number of callers of a queue by outcome and time of arrival."""
    return collections.Counter(
        caller.outcome
        for caller in callers
        if caller.queue == queue and from_s <= caller.arrived_at_s < until_s
    )


def main():
    """Prints the share of each outcome by second of arrival."""
    import logging

    import structlog

    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    for gap in GAPS:
        for features in (NO_FEATURES, FEATURES):
            print(f"{gap.name}, features: {', '.join(features) or 'none'}")
            callers = GapSimulation(gap, features=features).run()
            for queue in RUN_S:
                for second in range(3):
                    counts = count_outcomes(
                        callers, queue, from_s=second, until_s=second + 1
                    )
                    total = max(1, counts.total())
                    shares = ", ".join(
                        f"{outcome} {count / total:.2f}"
                        for outcome, count in sorted(counts.items())
                    )
                    print(f"  {queue:7} {second} s: {shares}")


if __name__ == "__main__":
    main()
