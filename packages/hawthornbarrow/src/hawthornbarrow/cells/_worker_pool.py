"""WorkerPool: the attached agents and the orders to send to them."""

import collections.abc
import math

import structlog

from hawthornbarrow.cells._evacuation import EvacuatedWorkers, EvacuationState
from hawthornbarrow.cells._messages import (
    AttachWorker,
    CellMessage,
    StartTasks,
    StopTasks,
)
from hawthornbarrow.cells._parts import (
    StartOrder,
    Step,
    TaskKey,
    WorkerRecord,
)
from hawthornbarrow.cells._ready_capacity import CapacitySum, ReadyCapacity
from hawthornbarrow.cells._run_time_model import RunTimeModel
from hawthornbarrow.cells._timing import TRACE_RETENTION_S, RunLeaseTiming
from hawthornbarrow.cells._worker_index import WorkerIndex
from hawthornbarrow.cells._worker_view import Run, WorkerView

UPSTREAM_RETURN_S = 4.0  # time within which a lost upstream is expected back
ATTACH_WINDOW_S = 0.25  # time in which reachable workers attach to a new dispatcher
# That time where restarted agents ask the upstreams that the directory lists, and stop
# their runs first.
DIRECTORY_ATTACH_WINDOW_S = 0.5

_log = structlog.get_logger()


def _fits_step(record: WorkerRecord, service: str, step: Step) -> bool:
    """Returns whether a worker that is idle can run a task of a step."""
    if record.service != service or not step.each.fits_into(record.capacity):
        return False
    return not step.label or step.label in record.labels


class WorkerPool:
    """Tracks which agents are attached and which are still awaited.

    Args:
        term: Term of the dispatcher.
        timing: Durations of the leases.
        run_times: Expected run times.
        expected: Agents that may still run tasks of a previous dispatcher.
        now_s: Current time.
        has_lease_expired: Whether the leases of the previous dispatcher have expired.
        attach_window_s: Time in which reachable workers attach.
        index: Index of the workers, None for one without racks.
    """

    def __init__(
        self,
        *,
        term: int,
        timing: RunLeaseTiming,
        run_times: RunTimeModel,
        expected: collections.abc.Iterable[str],
        now_s: float,
        has_lease_expired: bool = False,
        attach_window_s: float = ATTACH_WINDOW_S,
        index: WorkerIndex | None = None,
    ) -> None:
        """Initializes a pool without agents."""
        self._term = term
        self._timing = timing
        self._run_times = run_times
        self._expected = set(expected)
        self._without_worker = set(self._expected)
        self._reported_from_s = now_s - TRACE_RETENTION_S
        self._attach_window_until_s = now_s + attach_window_s
        self._recovery_until_s = now_s + (
            0.0 if has_lease_expired else timing.lost_after_s
        )
        self._workers: dict[str, WorkerView] = {}
        self._evacuations = EvacuatedWorkers()
        self._evacuated: set[str] = set()
        self._returning: set[str] = set()
        self._run_times = run_times
        self._index = index or WorkerIndex(run_times=run_times)
        self._ready = ReadyCapacity(
            run_times=run_times, suspect_after_s=timing.suspect_after_s
        )
        self._lost: dict[str, tuple[WorkerRecord, float]] = {}
        # Agents at which runs may exist that this dispatcher has ordered.
        self._had_session: set[str] = set()
        self._runs_by_job: dict[str, dict[tuple[str, TaskKey], Run]] = {}
        self._starts: dict[str, list[StartOrder]] = {}
        self._stops: dict[str, list[TaskKey]] = {}

    @property
    def workers(self) -> dict[str, WorkerView]:
        """Attached agents by name."""
        return self._workers

    @property
    def evacuation(self) -> EvacuationState:
        """The state of the evacuations in force."""
        return self._evacuations.state

    @property
    def evacuated_count(self) -> int:
        """Number of attached workers in evacuated data centres."""
        return len(self._evacuated)

    @property
    def recovery_until_s(self) -> float:
        """Time after which no unreported run can exist."""
        return self._recovery_until_s

    @property
    def reported_from_s(self) -> float:
        """Time since when all runs on expected agents have been reported.

        On attachment an agent reports its runs and the outcomes of the last
        TRACE_RETENTION_S, but none from before it was started. The value is infinite
        while an expected agent is missing.
        """
        return math.inf if self._expected else self._reported_from_s

    @property
    def has_missing_agents(self) -> bool:
        """Whether an agent has not told yet which runs it had before this term."""
        return bool(self._expected)

    @property
    def suspect_after_s(self) -> float:
        """Silence after which a worker gets no new tasks."""
        return self._timing.suspect_after_s

    def is_recovering(self, now_s: float) -> bool:
        """Returns whether unreported runs of a previous dispatcher may exist."""
        return now_s < self._recovery_until_s and bool(self._expected)

    def is_in_attach_window(self, now_s: float) -> bool:
        """Returns whether workers are expected to attach shortly.

        After a restart of its agent, an upstream takes a moment to announce itself.
        """
        return now_s < self._attach_window_until_s and bool(self._without_worker)

    def start_delay_s(self, now_s: float) -> float:
        """Returns the time until tasks may start if missing agents do not attach."""
        return self._recovery_until_s - now_s if self.is_recovering(now_s) else 0.0

    def attach(
        self, agent: str, message: AttachWorker, now_s: float
    ) -> WorkerView | None:
        """Attaches an agent; returns None when it has no worker."""
        if agent in self._expected:
            self._expected.remove(agent)
            recorded_s = min(TRACE_RETENTION_S, message.recorded_s)
            self._reported_from_s = max(self._reported_from_s, now_s - recorded_s)
        if message.worker is None:
            _log.info(
                "agent_without_upstream",
                agent=agent,
                session=message.session,
                term=self._term,
                ended=len(message.ended),
            )
            return None
        self._without_worker.discard(agent)
        self._had_session.add(agent)
        worker = WorkerView(
            agent=agent,
            session=message.session,
            record=message.worker,
            now_s=now_s,
            attach_sent_at_s=message.sent_at_s,
            process=message.process,
        )
        worker.is_leaving = message.is_leaving
        self._workers[agent] = worker
        self._lost.pop(agent, None)
        self._run_times.add_worker(worker.speed_key, worker.record)
        self._index.add(worker)
        self._apply_evacuation(worker, now_s, is_returning=True)
        self._ready.refresh(worker, now_s)
        _log.info(
            "worker_attached",
            agent=agent,
            upstream=message.worker.incarnation,
            session=message.session,
            term=self._term,
            running=len(message.running),
            ended=len(message.ended),
            leaving=message.is_leaving,
        )
        return worker

    def set_evacuation(
        self,
        state: EvacuationState,
        withdrawn_at_s: collections.abc.Mapping[str, float],
        now_s: float,
    ) -> None:
        """Puts a state of the evacuations in force; runs in progress continue.

        Args:
            state: The state.
            withdrawn_at_s: When recent withdrawals were seen, by data centre.
            now_s: Current time.
        """
        self._evacuations.set_state(state, withdrawn_at_s)
        for worker in self._workers.values():
            self._apply_evacuation(worker, now_s, is_returning=worker.is_evacuated)
        self.refresh_all(now_s)

    def _apply_evacuation(
        self, worker: WorkerView, now_s: float, *, is_returning: bool
    ) -> None:
        """Removes a worker from the candidates, or adds it to them again.

        The cost of a placement does not grow with the number of evacuated workers, as
        they are not candidates.

        Args:
            worker: The attached worker.
            now_s: Current time.
            is_returning: Whether it was evacuated or has just attached, so that it may
                be cold.
        """
        data_centre = worker.record.data_centre
        was_evacuated = worker.is_evacuated
        worker.is_evacuated = self._evacuations.is_evacuated(data_centre)
        if worker.is_evacuated:
            worker.slow_start = None
            self._returning.discard(worker.agent)
            self._evacuated.add(worker.agent)
            if not was_evacuated:
                self._index.remove(worker)
            return
        self._evacuated.discard(worker.agent)
        if is_returning:
            slowness = self._run_times.slowness(worker.speed_key)
            worker.slow_start = self._evacuations.slow_start(
                data_centre, slowness, now_s
            )
            if worker.slow_start is not None:
                self._returning.add(worker.agent)
        if was_evacuated:
            self._index.add(worker)

    def _end_slow_starts(self, now_s: float) -> None:
        for agent in list(self._returning):
            worker = self._workers[agent]
            if worker.slow_start is None or worker.slow_start.is_complete(now_s):
                worker.slow_start = None
                self._returning.remove(agent)

    def awaits_first_attach(self, agent: str) -> bool:
        """Returns whether no run that this dispatcher ordered can be at an agent."""
        return agent not in self._had_session

    def forget_sessions(self, agent: str) -> None:
        """Records that the leases of all runs at an agent have expired."""
        self._had_session.discard(agent)

    def await_attach(self, worker: WorkerView, now_s: float) -> None:
        """Starts nothing on a worker until its agent has attached again, or is late."""
        worker.awaits_attach_until_s = now_s + 2 * self._timing.lost_after_s
        self.refresh(worker, now_s)

    def detach(self, worker: WorkerView, reason: str, now_s: float) -> None:
        """Detaches an agent; no run of its session can exist any more."""
        del self._workers[worker.agent]
        if not worker.is_leaving:
            self._lost[worker.agent] = (worker.record, now_s)
        if worker.agent not in self._evacuated:
            self._index.remove(worker)
        self._evacuated.discard(worker.agent)
        self._returning.discard(worker.agent)
        self._ready.remove(worker)
        self._run_times.remove_worker(worker.speed_key)
        self._starts.pop(worker.agent, None)
        self._stops.pop(worker.agent, None)
        _log.warning(
            "worker_lost",
            agent=worker.agent,
            upstream=worker.record.incarnation,
            session=worker.session,
            reason=reason,
            silent_s=round(now_s - worker.heard_at_s, 3),
            lost_runs=len(worker.runs),
        )

    def on_frame(self, agent: str, now_s: float) -> bool:
        """Records a frame of an agent; returns whether it was suspected before."""
        worker = self._workers.get(agent)
        if worker is None:
            return False
        was_suspected = now_s - worker.heard_at_s > self._timing.suspect_after_s
        worker.heard_at_s = now_s
        if was_suspected:
            self._ready.refresh(worker, now_s)
        return was_suspected

    def silent_workers(self, now_s: float) -> list[WorkerView]:
        """Returns the agents silent for so long that none of their runs can exist."""
        return [
            worker
            for worker in self._workers.values()
            if now_s - worker.heard_at_s > self._timing.lost_after_s
        ]

    def ready_capacity(self, service: str) -> CapacitySum:
        """Returns the capacity of the workers of a service that accept new tasks."""
        return self._ready.of_service(service)

    def ready_capacity_of(
        self, service: str, agents: collections.abc.Iterable[str]
    ) -> CapacitySum:
        """Returns the capacity of some of the workers that accept new tasks."""
        return self._ready.of_workers(service, agents)

    def workers_of(self, service: str) -> list[WorkerView]:
        """Returns the attached workers of a service."""
        return [
            worker
            for worker in self._workers.values()
            if worker.record.service == service
        ]

    def can_run(self, service: str, step: Step, slack_s: float, now_s: float) -> bool:
        """Returns whether a worker is or will be able to run a task of a step in time.

        Whether it has free capacity now does not matter.

        Args:
            service: Service of the workers.
            step: The step.
            slack_s: Time until the task must start. A worker whose upstream was lost
                counts only if that is long enough for its return.
            now_s: Current time.
        """
        attached = (
            worker.record
            for worker in self._workers.values()
            if not worker.is_leaving and not worker.is_evacuated
        )
        if any(_fits_step(record, service, step) for record in attached):
            return True
        return slack_s >= UPSTREAM_RETURN_S and any(
            _fits_step(record, service, step)
            for record, lost_at_s in self._lost.values()
            if now_s - lost_at_s <= UPSTREAM_RETURN_S
            and not self._evacuations.is_evacuated(record.data_centre)
        )

    def candidates(
        self, service: str, cpu: int
    ) -> collections.abc.Iterator[tuple[int, WorkerView]]:
        """Yields the speed classes and workers with enough free CPU, best first."""
        return self._index.candidates(service, cpu)

    def refresh(self, worker: WorkerView, now_s: float) -> None:
        """Takes a change of an attached worker's speed or readiness into account."""
        if self._workers.get(worker.agent) is worker:
            if not worker.is_evacuated:
                self._index.update(worker)
            self._ready.refresh(worker, now_s)

    def refresh_all(self, now_s: float) -> None:
        """Takes into account which workers have become silent or slow."""
        self._end_slow_starts(now_s)
        for worker in self._workers.values():
            if not worker.is_evacuated:
                self._index.update(worker)
        self._ready.refresh_all(self._workers.values(), now_s)

    def add_run(self, worker: WorkerView, run: Run, now_s: float) -> None:
        """Adds a run to a worker and reserves its resources."""
        worker.add(run)
        runs = self._runs_by_job.setdefault(run.task.job, {})
        runs[worker.agent, run.task] = run
        self.refresh(worker, now_s)

    def remove_run(self, worker: WorkerView, task: TaskKey, now_s: float) -> None:
        """Removes a run from a worker and releases its resources."""
        self.release_run(worker, task)
        self.refresh(worker, now_s)

    def release_run(self, worker: WorkerView, task: TaskKey) -> None:
        """Removes a run from a worker that the caller refreshes afterwards.

        After a report of several ended runs it needs to be refreshed only once.
        """
        worker.remove(task)
        runs = self._runs_by_job.get(task.job, {})
        runs.pop((worker.agent, task), None)
        if not runs:
            self._runs_by_job.pop(task.job, None)

    def order_start(self, worker: WorkerView, order: StartOrder) -> None:
        """Queues an order to start a task."""
        self._starts.setdefault(worker.agent, []).append(order)

    def order_stop(self, worker: WorkerView, run: Run) -> None:
        """Queues an order to stop a run."""
        run.is_stopping = True
        self._stops.setdefault(worker.agent, []).append(run.task)

    @property
    def running_jobs(self) -> list[str]:
        """Jobs that have runs on attached agents."""
        return list(self._runs_by_job)

    def stop_job(self, job: str) -> int:
        """Queues orders to stop all runs of a job; returns their number."""
        count = 0
        for (agent, _), run in self._runs_by_job.get(job, {}).items():
            if not run.is_stopping:
                self.order_stop(self._workers[agent], run)
                count += 1
        return count

    def take_orders(self) -> list[tuple[str, CellMessage]]:
        """Returns the orders to send with their agents, and clears them."""
        messages: list[tuple[str, CellMessage]] = []
        for agent, orders in self._starts.items():
            session = self._workers[agent].session
            message = StartTasks(term=self._term, session=session, orders=orders)
            messages.append((agent, message))
        for agent, tasks in self._stops.items():
            session = self._workers[agent].session
            message = StopTasks(term=self._term, session=session, tasks=tasks)
            messages.append((agent, message))
        self._starts = {}
        self._stops = {}
        return messages
