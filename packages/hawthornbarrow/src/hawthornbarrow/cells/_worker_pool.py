"""WorkerPool: the attached agents and the orders that wait to be sent to them."""

import collections.abc
import math

import structlog

from hawthornbarrow.cells._messages import (
    AttachWorker,
    CellMessage,
    StartTasks,
    StopTasks,
)
from hawthornbarrow.cells._parts import (
    StartOrder,
    TaskKey,
)
from hawthornbarrow.cells._timing import TRACE_RETENTION_S, RunLeaseTiming
from hawthornbarrow.cells._worker_view import Run, WorkerView

ATTACH_S = 0.25  # in which agents that can be reached attach to a new dispatcher

_log = structlog.get_logger()


class WorkerPool:
    """Knows which agents are attached and which are still to be waited for.

    Args:
        term: Term of the dispatcher.
        timing: Lengths of the leases.
        expected: Agents that may hold work of an earlier dispatcher.
        now_s: Current time.
        has_lease_expired: Whether the leases of the previous dispatcher have expired.
    """

    def __init__(
        self,
        *,
        term: int,
        timing: RunLeaseTiming,
        expected: collections.abc.Iterable[str],
        now_s: float,
        has_lease_expired: bool = False,
    ) -> None:
        """Starts without agents."""
        self._term = term
        self._timing = timing
        self._expected = set(expected)
        self._told_at_s = now_s
        self._gathers_until_s = now_s + ATTACH_S
        self._recovers_until_s = now_s + (
            0.0 if has_lease_expired else timing.lost_after_s
        )
        self._workers: dict[str, WorkerView] = {}
        self._starts: dict[str, list[StartOrder]] = {}
        self._stops: dict[str, list[TaskKey]] = {}

    @property
    def workers(self) -> dict[str, WorkerView]:
        """Attached agents by name."""
        return self._workers

    @property
    def recovers_until_s(self) -> float:
        """When nothing that is not told runs any more."""
        return self._recovers_until_s

    @property
    def told_from_s(self) -> float:
        """Time from which on all expected agents have told of their runs.

        An agent tells what it holds and the ends of the last TRACE_RETENTION_S.
        """
        return math.inf if self._expected else self._told_at_s - TRACE_RETENTION_S

    def is_recovering(self, now_s: float) -> bool:
        """Tells whether work of an earlier dispatcher may run unseen."""
        return now_s < self._recovers_until_s and bool(self._expected)

    def is_gathering(self, now_s: float) -> bool:
        """Tells whether agents that can be reached may still attach any moment."""
        return now_s < self._gathers_until_s and bool(self._expected)

    def paused_s(self, now_s: float) -> float:
        """Returns how long no work is given out yet, unless missing agents attach."""
        return self._recovers_until_s - now_s if self.is_recovering(now_s) else 0.0

    def attach(
        self, agent: str, message: AttachWorker, now_s: float
    ) -> WorkerView | None:
        """Attaches an agent; returns None when it has no worker to offer."""
        if agent in self._expected:
            self._expected.remove(agent)
            self._told_at_s = now_s
        if message.worker is None:
            return None
        worker = WorkerView(
            agent=agent, session=message.session, record=message.worker, now_s=now_s
        )
        worker.is_leaving = message.is_leaving
        self._workers[agent] = worker
        _log.info(
            "worker_attached",
            agent=agent,
            upstream=message.worker.upstream,
            session=message.session,
            term=self._term,
            running=len(message.running),
            leaving=message.is_leaving,
        )
        return worker

    def detach(self, worker: WorkerView, reason: str, now_s: float) -> None:
        """Gives an agent up; nothing of its session runs any more."""
        del self._workers[worker.agent]
        self._starts.pop(worker.agent, None)
        self._stops.pop(worker.agent, None)
        _log.warning(
            "worker_lost",
            agent=worker.agent,
            upstream=worker.record.upstream,
            session=worker.session,
            reason=reason,
            silent_s=round(now_s - worker.heard_at_s, 3),
            lost_runs=len(worker.runs),
        )

    def on_frame(self, agent: str, now_s: float) -> bool:
        """Notes a frame of an agent; returns whether it was in doubt before."""
        worker = self._workers.get(agent)
        if worker is None:
            return False
        was_doubted = now_s - worker.heard_at_s > self._timing.doubted_after_s
        worker.heard_at_s = now_s
        return was_doubted

    def silent(self, now_s: float) -> list[WorkerView]:
        """Returns the agents that have been silent until nothing of them runs."""
        return [
            worker
            for worker in self._workers.values()
            if now_s - worker.heard_at_s > self._timing.lost_after_s
        ]

    def ready(self, now_s: float) -> list[WorkerView]:
        """Returns the workers that may take work."""
        return [
            worker
            for worker in self._workers.values()
            if worker.may_take(now_s, self._timing.doubted_after_s)
        ]

    def order_start(self, worker: WorkerView, order: StartOrder) -> None:
        """Queues an order to start a task."""
        self._starts.setdefault(worker.agent, []).append(order)

    def order_stop(self, worker: WorkerView, run: Run) -> None:
        """Queues an order to stop a run."""
        run.is_stopping = True
        self._stops.setdefault(worker.agent, []).append(run.task)

    def stop_job(self, job: str) -> None:
        """Queues orders to stop all runs of a job."""
        for worker in self._workers.values():
            for run in worker.runs.values():
                if run.task.job == job and not run.is_stopping:
                    self.order_stop(worker, run)

    def take_orders(self) -> list[tuple[str, CellMessage]]:
        """Returns the orders to send, by agent, and forgets them."""
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
